//! `sablecross lab ...`

use std::path::PathBuf;

use clap::Subcommand;
use sablecross_testbed::settings;

use crate::{Verdict, trial};

#[derive(Subcommand)]
pub enum Command {
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

pub fn run(command: &Command) -> Result<Verdict, Vec<String>> {
    let Command::Run { file, out, seed } = command else { return Ok(Verdict::Well) };
    let mut experiment = trial::settings(file, settings::read)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    trial::run(out, |program| {
        let director = || program(&["lab", "director"]);
        sablecross_testbed::run(&experiment, &director, out, |line| eprintln!("{line}"))
    })
}
