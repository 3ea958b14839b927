//! `sablecross slopes ...`

use clap::Args;
use sablecross_capacity::suite;
use serde_json::json;

use crate::CommandOutcome;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Only costs whose names begin so.
    #[arg(long, default_value = "")]
    only: String,
    /// One line of JSON for each cost.
    #[arg(long)]
    json: bool,
    /// As forms for docs/capacity.scm, with this as their run: date and time.
    #[arg(long, value_name = "RUN")]
    forms: Option<String>,
    /// Names alone, nothing is measured.
    #[arg(long)]
    names: bool,
    /// One size of a cost of memory in this process: what the command asks of itself.
    #[arg(long, hide = true, num_args = 2, value_names = ["NAME", "SIZE"])]
    bare: Vec<String>,
}

pub(crate) fn run(a: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    if let [name, size] = &a.bare[..] {
        let size = size.parse().ok().filter(|s| *s > 0);
        let size = size.ok_or_else(|| vec![format!("--bare {name}: the size is no count")])?;
        let value =
            suite::measure_memory(name, size).ok_or_else(|| vec![format!("--bare {name}: no such cost")])?;
        println!("{value}");
        return Ok(CommandOutcome::Success);
    }
    let known = suite::names().filter(|n| n.starts_with(&a.only)).collect::<Vec<_>>();
    if known.is_empty() {
        let all: Vec<&str> = suite::names().collect();
        return Err(vec![format!("--only {}: no cost begins so; there are {}", a.only, all.join(", "))]);
    }
    if a.names {
        known.iter().for_each(|n| println!("{n}"));
        return Ok(CommandOutcome::Success);
    }
    let own = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let ask = |name: &str, size: usize| {
        let bare = ["slopes", "--bare", name, &size.to_string()];
        let out = std::process::Command::new(&own).args(bare).output().ok()?;
        std::str::from_utf8(&out.stdout).ok()?.trim().parse().ok()
    };
    let director = || {
        let mut command = std::process::Command::new(&own);
        command.args(["testbed", "director"]);
        command
    };
    let mut unfit = Vec::new();
    let ways = suite::MeasurementEnvironment { measure_memory: &ask, director_command: &director };
    let taken = suite::measure(&a.only, &ways, |cost| {
        if cost.fit().is_none() {
            unfit.push(format!("{}: no line through {} points", cost.name, cost.points.len()));
        }
        if let (Some(run), Some(form)) = (&a.forms, cost.fit().map(|l| cost.to_form(&l))) {
            println!("{form} (run . {run:?}))");
        } else if a.json {
            println!("{}", json!({"cost": cost, "line": cost.fit()}));
        } else {
            println!("{cost}");
        }
    });
    taken.map_err(|e| vec![format!("slopes: {e}")])?;
    unfit.iter().for_each(|u| eprintln!("NOT WELL {u}"));
    Ok(if unfit.is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}
