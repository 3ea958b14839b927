//! `sablecross lab ...`

use std::path::PathBuf;

use clap::Subcommand;
use sablecross_testbed::settings;

use crate::{CommandOutcome, trial};

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs an experiment and writes report.txt, report.json and plot.svg.
    Run {
        file: PathBuf,
        /// Where the report and the directors' logs go.
        #[arg(long, default_value = "found/lab")]
        out: PathBuf,
        /// In place of the file's own.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// A director of an experiment: what `run` starts.
    #[command(hide = true)]
    Director,
    /// Hollow directors of a scale trial.
    #[command(hide = true)]
    Hollow,
}

pub(crate) fn run(command: &Command) -> Result<CommandOutcome, Vec<String>> {
    let Command::Run { file, out, seed } = command else { return Ok(CommandOutcome::Success) };
    let mut experiment = trial::settings(file, settings::parse)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    trial::run(out, |program| {
        let director = || program(&["testbed", "director"]);
        sablecross_testbed::run(&experiment, &director, out, |line| eprintln!("{line}"))
    })
}
