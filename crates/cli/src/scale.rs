//! The command `sablecross scale`, which runs a scale trial.

use std::path::PathBuf;

use clap::Args;
use sablecross_testbed::scale;

use crate::{CommandOutcome, trial};

#[derive(Args)]
pub(crate) struct Arguments {
    /// The trial, as an S-expression: see docs/scale-operators.md.
    file: PathBuf,
    /// The folder for the report, the plot and all logs.
    #[arg(long, default_value = "found/scale")]
    out: PathBuf,
    /// Overrides the number of simulated directors of the file.
    #[arg(long)]
    hollow: Option<usize>,
    /// Overrides the number of real directors of the file.
    #[arg(long)]
    real: Option<usize>,
    /// Overrides the seed of the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Overrides the duration of the file, in seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Runs the trial without relays: one source sends events to all directors.
    #[arg(long)]
    star: bool,
}

pub(crate) fn run(arguments: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let mut settings = trial::read_settings(&arguments.file, scale::settings::parse)?;
    settings.hollow = arguments.hollow.unwrap_or(settings.hollow);
    settings.real = arguments.real.unwrap_or(settings.real);
    settings.seed = arguments.seed.unwrap_or(settings.seed);
    settings.seconds = arguments.seconds.unwrap_or(settings.seconds);
    if arguments.star {
        settings = settings.without_relays();
    }
    settings.checked().map_err(|e| vec![e])?;
    trial::run(&arguments.out, |program| {
        scale::run(&settings, program, &arguments.out, |line| eprintln!("{line}"))
    })
}
