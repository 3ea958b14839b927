//! The command `sablecross cost-slopes` (alias `slopes`), which measures the costs of the components.

use clap::Args;
use sablecross_capacity::suite;
use serde_json::json;

use crate::CommandOutcome;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Measures only the costs whose names begin with this prefix.
    #[arg(long, default_value = "")]
    only: String,
    /// Prints one line of JSON for each cost.
    #[arg(long)]
    json: bool,
    /// Prints forms for docs/capacity.scm, with this text (date and time) as their run.
    #[arg(long, value_name = "RUN")]
    forms: Option<String>,
    /// Prints the names of the costs and measures nothing.
    #[arg(long)]
    names: bool,
    /// Measures a memory cost at one size in this process; the command starts itself with this option for each size.
    #[arg(long, hide = true, num_args = 2, value_names = ["NAME", "SIZE"])]
    bare: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    if let [name, size] = &arguments.bare[..] {
        let size = size.parse().ok().filter(|s| *s > 0);
        let size = size.ok_or_else(|| vec![format!("--bare {name}: the size must be a positive integer")])?;
        let value =
            suite::measure_memory(name, size).ok_or_else(|| vec![format!("--bare {name}: no such cost")])?;
        println!("{value}");
        return Ok(CommandOutcome::Success);
    }
    let selected = suite::names().filter(|n| n.starts_with(&arguments.only)).collect::<Vec<_>>();
    if selected.is_empty() {
        let all: Vec<&str> = suite::names().collect();
        return Err(vec![format!(
            "--only {}: no cost has this prefix; the costs are {}",
            arguments.only,
            all.join(", ")
        )]);
    }
    if arguments.names {
        selected.iter().for_each(|n| println!("{n}"));
        return Ok(CommandOutcome::Success);
    }
    let executable = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let measure_memory = |name: &str, size: usize| {
        let bare = ["slopes", "--bare", name, &size.to_string()];
        let out = std::process::Command::new(&executable).args(bare).output().ok()?;
        std::str::from_utf8(&out.stdout).ok()?.trim().parse().ok()
    };
    let director_command = || {
        let mut command = std::process::Command::new(&executable);
        command.args(["testbed", "director"]);
        command
    };
    let mut unfitted = Vec::new();
    let environment = suite::MeasurementEnvironment {
        measure_memory: &measure_memory,
        director_command: &director_command,
    };
    let result = suite::measure(&arguments.only, &environment, |cost| {
        if cost.fit().is_none() {
            unfitted.push(format!("{}: no line fits its {} points", cost.name, cost.points.len()));
        }
        if let (Some(run), Some(form)) = (&arguments.forms, cost.fit().map(|l| cost.to_form(&l))) {
            println!("{form} (run . {run:?}))");
        } else if arguments.json {
            println!("{}", json!({"cost": cost, "line": cost.fit()}));
        } else {
            println!("{cost}");
        }
    });
    result.map_err(|e| vec![format!("slopes: {e}")])?;
    unfitted.iter().for_each(|line| eprintln!("NOT WELL {line}"));
    Ok(if unfitted.is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}
