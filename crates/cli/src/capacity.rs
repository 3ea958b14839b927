//! `sablecross capacity ...`

use std::path::PathBuf;

use clap::Args;
use sablecross_capacity::{model, report};

use crate::CommandOutcome;

#[derive(Args)]
pub(crate) struct Arguments {
    /// The slopes, the target size and the budgets, as S-expressions.
    #[arg(default_value = "docs/capacity.scm")]
    file: PathBuf,
    /// Puts the tables between the marks of this page, instead of printing them.
    #[arg(long, value_name = "PAGE")]
    write: Option<PathBuf>,
}

pub(crate) fn run(a: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let name = a.file.display().to_string();
    let text = std::fs::read_to_string(&a.file).map_err(|e| vec![format!("{name}: {e}")])?;
    let model = model::parse(&name, &text)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    let tables = model.tables();
    let Some(path) = &a.write else {
        print!("{tables}");
        return Ok(CommandOutcome::Success);
    };
    let name = path.display().to_string();
    let old = std::fs::read_to_string(path).map_err(|e| vec![format!("{name}: {e}")])?;
    let new = report::replace_tables(&old, &tables).ok_or_else(|| {
        vec![format!("{name}: no {} and {} in this order", report::TABLES_BEGIN, report::TABLES_END)]
    })?;
    std::fs::write(path, new).map_err(|e| vec![format!("{name}: {e}")])?;
    let verdicts = model.verdicts();
    println!(
        "{name}: {} past their budget, {} not measured yet",
        verdicts.over_budget.len(),
        verdicts.not_measured.len()
    );
    Ok(CommandOutcome::Success)
}
