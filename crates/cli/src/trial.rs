//! Functions shared by the commands that run a trial.

use std::path::Path;
use std::process::Command;

use sablecross_sexpr_config::ConfigError;
use sablecross_testbed::{TrialError, TrialReport};

use crate::CommandOutcome;

/// Reads and parses the settings file of a trial.
pub(crate) fn read_settings<T>(
    file: &Path,
    parse: fn(&str, &str) -> Result<T, Vec<ConfigError>>,
) -> Result<T, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    parse(&name, &text).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

/// Runs a trial, then writes and prints its report. `trial` gets a function that returns the command to start this
/// program with other arguments, by which it starts its processes.
pub(crate) fn run<R: TrialReport>(
    out: &Path,
    trial: impl FnOnce(&dyn Fn(&[&str]) -> Command) -> Result<R, TrialError>,
) -> Result<CommandOutcome, Vec<String>> {
    let executable = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let program = |args: &[&str]| {
        let mut command = Command::new(&executable);
        command.args(args);
        command
    };
    let report = trial(&program).map_err(|e| vec![e.to_string()])?;
    report.write(out).map_err(|e| vec![format!("{}: {e}", out.display())])?;
    print!("{report}");
    println!("report, plot and logs: {}", out.display());
    Ok(if report.violations().is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}
