//! What the commands that run a trial have in common.

use std::path::Path;
use std::process::Command;

use sablecross_sexpr_config::ConfigError;
use sablecross_testbed::{TrialError, TrialReport};

use crate::CommandOutcome;

/// The settings of a trial.
pub(crate) fn settings<T>(
    file: &Path,
    read: fn(&str, &str) -> Result<T, Vec<ConfigError>>,
) -> Result<T, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    read(&name, &text).map_err(|f| f.iter().map(ToString::to_string).collect())
}

/// Runs it, with this program under other words as its processes; then writes and prints the report.
pub(crate) fn run<R: TrialReport>(
    out: &Path,
    trial: impl FnOnce(&dyn Fn(&[&str]) -> Command) -> Result<R, TrialError>,
) -> Result<CommandOutcome, Vec<String>> {
    let own = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let program = |words: &[&str]| {
        let mut command = Command::new(&own);
        command.args(words);
        command
    };
    let report = trial(&program).map_err(|e| vec![e.to_string()])?;
    report.write(out).map_err(|e| vec![format!("{}: {e}", out.display())])?;
    print!("{report}");
    println!("report, plot and logs: {}", out.display());
    Ok(if report.violations().is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}
