//! The command `sablecross soak`, which runs directors under overlapping faults and checks the invariants.

use std::path::PathBuf;
use std::process::Command;

use clap::Args;
use sablecross_testbed::soak::{self, Options, Verdict};

use super::CommandOutcome;

#[derive(Args)]
pub(crate) struct Arguments {
    /// The seed of the first soak; each further soak has the next seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of soaks, which run one after another.
    #[arg(long, default_value_t = 1)]
    soaks: u64,
    /// The duration of each soak in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3_600))]
    seconds: u64,
    /// The number of directors.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=100))]
    directors: u16,
    /// The number of cache nodes.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=100))]
    caches: u16,
    /// The number of clients of each director.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=50))]
    clients: u16,
    /// The director program to run, instead of the director that is built into this program.
    #[arg(long)]
    director: Option<PathBuf>,
    /// The fault library (libsablecross_fault_injection.so); without it no system calls fail.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// The folder for configurations and logs.
    #[arg(long, default_value = "found/soak")]
    folder: PathBuf,
}

/// Canonicalizes the path of a file, which must exist.
fn existing_path(path: Option<&PathBuf>) -> Result<Option<PathBuf>, String> {
    path.map(|p| p.canonicalize().map_err(|e| format!("{}: {e}", p.display()))).transpose()
}

pub(crate) fn run(arguments: &Arguments) -> Result<CommandOutcome, Vec<String>> {
    let to_errors = |e: String| vec![e];
    let director = existing_path(arguments.director.as_ref()).map_err(to_errors)?;
    let fault_library = existing_path(arguments.faults.as_ref()).map_err(to_errors)?;
    let executable = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let program = || match &director {
        Some(path) => Command::new(path),
        None => {
            let mut command = Command::new(&executable);
            command.args(["testbed", "director"]);
            command
        }
    };
    let mut verdict = CommandOutcome::Success;
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.soaks) {
        let options = Options {
            seed,
            seconds: arguments.seconds,
            directors: arguments.directors.into(),
            caches: arguments.caches.into(),
            clients_per_director: arguments.clients.into(),
            fault_library: fault_library.clone(),
        };
        let folder = arguments.folder.join(seed.to_string());
        let outcome = soak::run(&options, &program, &folder).map_err(|e| vec![e.to_string()])?;
        println!("seed {seed}: {outcome}");
        verdict = match (outcome.verdict(), verdict) {
            (Verdict::Failed, _) | (_, CommandOutcome::Rejected) => CommandOutcome::Rejected,
            (Verdict::NotJudged, _) => CommandOutcome::NotJudged,
            (Verdict::Passed, earlier) => earlier,
        };
    }
    Ok(verdict)
}
