//! `sablecross fleet-trial ...`

use std::path::PathBuf;

use clap::Args;
use sablecross_testbed::fleet;

use crate::{CommandOutcome, trial};

#[derive(Args)]
pub(crate) struct Arguments {
    /// The trial, as an S-expression: see docs/spread-operators.md.
    file: PathBuf,
    /// Where the report, the plot and the directors' logs go.
    #[arg(long, default_value = "found/fleet")]
    out: PathBuf,
    /// In place of the file's own.
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long)]
    directors: Option<usize>,
    /// Another build of the director to try, in place of this program's own.
    #[arg(long)]
    director: Option<PathBuf>,
}

pub(crate) fn run(a: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let mut trial = trial::settings(&a.file, fleet::settings::parse)?;
    trial.seed = a.seed.unwrap_or(trial.seed);
    trial.directors = a.directors.unwrap_or(trial.directors);
    trial::run(&a.out, |own| {
        let program = || match &a.director {
            Some(other) => std::process::Command::new(other),
            None => own(&["testbed", "director"]),
        };
        fleet::run(&trial, &program, &a.out, |line| eprintln!("{line}"))
    })
}
