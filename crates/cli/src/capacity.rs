//! The command `sablecross capacity`, which computes the capacity tables.

use std::path::PathBuf;

use clap::Args;
use sablecross_capacity::{model, report};

use crate::CommandOutcome;

#[derive(Args)]
pub(crate) struct Arguments {
    /// The file with the slopes, the target size and the budgets, as S-expressions.
    #[arg(default_value = "docs/capacity.scm")]
    file: PathBuf,
    /// Writes the tables between the markers of this page, instead of printing them.
    #[arg(long, value_name = "PAGE")]
    write: Option<PathBuf>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let name = arguments.file.display().to_string();
    let text = std::fs::read_to_string(&arguments.file).map_err(|e| vec![format!("{name}: {e}")])?;
    let model = model::parse(&name, &text)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    let tables = model.tables();
    let Some(path) = &arguments.write else {
        print!("{tables}");
        return Ok(CommandOutcome::Success);
    };
    let name = path.display().to_string();
    let old = std::fs::read_to_string(path).map_err(|e| vec![format!("{name}: {e}")])?;
    let new = report::replace_tables(&old, &tables).ok_or_else(|| {
        vec![format!(
            "{name}: the markers {} and {} are missing or not in this order",
            report::TABLES_BEGIN,
            report::TABLES_END
        )]
    })?;
    std::fs::write(path, new).map_err(|e| vec![format!("{name}: {e}")])?;
    let verdicts = model.verdicts();
    println!(
        "{name}: {} over their budget, {} not measured yet",
        verdicts.over_budget.len(),
        verdicts.not_measured.len()
    );
    Ok(CommandOutcome::Success)
}
