//! `sablecross scale ...`

use std::path::PathBuf;

use clap::Args;
use sablecross_testbed::scale;

use crate::{CommandOutcome, trial};

#[derive(Args)]
pub(crate) struct Arguments {
    /// The trial, as an S-expression: see docs/scale-operators.md.
    file: PathBuf,
    /// Where the report, the plot and all logs go.
    #[arg(long, default_value = "found/scale")]
    out: PathBuf,
    /// In place of the file's own.
    #[arg(long)]
    hollow: Option<usize>,
    #[arg(long)]
    real: Option<usize>,
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long)]
    seconds: Option<u64>,
    /// The same with no relays: one source speaks with all directors.
    #[arg(long)]
    star: bool,
}

pub(crate) fn run(a: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let mut s = trial::settings(&a.file, scale::settings::parse)?;
    s.hollow = a.hollow.unwrap_or(s.hollow);
    s.real = a.real.unwrap_or(s.real);
    s.seed = a.seed.unwrap_or(s.seed);
    s.seconds = a.seconds.unwrap_or(s.seconds);
    if a.star {
        s = s.without_relays();
    }
    s.checked().map_err(|e| vec![e])?;
    trial::run(&a.out, |program| scale::run(&s, program, &a.out, |line| eprintln!("{line}")))
}
