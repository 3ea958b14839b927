//! The command `sablecross fleet-trial`, which runs a fleet trial.

use std::path::PathBuf;

use clap::Args;
use sablecross_testbed::fleet;

use crate::{CommandOutcome, trial};

#[derive(Args)]
pub(crate) struct Arguments {
    /// The trial, as an S-expression: see docs/spread-operators.md.
    file: PathBuf,
    /// The folder for the report, the plot and the directors' logs.
    #[arg(long, default_value = "found/fleet")]
    out: PathBuf,
    /// Overrides the seed of the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Overrides the number of directors of the file.
    #[arg(long)]
    directors: Option<usize>,
    /// The director program to run, instead of the director that is built into this program.
    #[arg(long)]
    director: Option<PathBuf>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let mut trial = trial::read_settings(&arguments.file, fleet::settings::parse)?;
    trial.seed = arguments.seed.unwrap_or(trial.seed);
    trial.directors = arguments.directors.unwrap_or(trial.directors);
    trial::run(&arguments.out, |program| {
        let director = || match &arguments.director {
            Some(path) => std::process::Command::new(path),
            None => program(&["testbed", "director"]),
        };
        fleet::run(&trial, &director, &arguments.out, |line| eprintln!("{line}"))
    })
}
