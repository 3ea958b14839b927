//! The command `sablecross testbed` (alias `lab`), which runs experiments on loopback.

use std::path::PathBuf;

use clap::Subcommand;
use sablecross_testbed::settings;

use crate::{CommandOutcome, trial};

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs an experiment and writes report.txt, report.json and plot.svg.
    Run {
        /// The experiment, as an S-expression.
        file: PathBuf,
        /// The folder for the report and the directors' logs.
        #[arg(long, default_value = "found/lab")]
        out: PathBuf,
        /// Overrides the seed of the file.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a director of an experiment; `run` starts these.
    #[command(hide = true)]
    Director,
    /// Runs simulated directors of a scale trial; `scale` starts these.
    #[command(hide = true)]
    Hollow,
}

pub(crate) fn run(command: &Command) -> Result<CommandOutcome, Vec<String>> {
    let Command::Run { file, out, seed } = command else { return Ok(CommandOutcome::Success) };
    let mut experiment = trial::read_settings(file, settings::parse)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    trial::run(out, |program| {
        let director = || program(&["testbed", "director"]);
        sablecross_testbed::run(&experiment, &director, out, |line| eprintln!("{line}"))
    })
}
