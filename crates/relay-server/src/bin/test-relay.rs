//! Runs a relay in a process of its own, for tests. `sablecross relay run --with-parent FILE` does the same.

use std::path::Path;
use std::process::ExitCode;

use sablecross_relay_server::{RelayServerConfig, process};

const EXIT_CONFIG_ERROR: u8 = 2;

fn main() -> ExitCode {
    let file = std::env::args_os().nth(1).unwrap_or_default();
    match run(Path::new(&file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            lines.iter().for_each(|line| eprintln!("{line}"));
            ExitCode::from(EXIT_CONFIG_ERROR)
        }
    }
}

fn run(file: &Path) -> Result<(), Vec<String>> {
    let config = RelayServerConfig::load(file)?;
    process::exit_with_parent();
    process::run(config).map_err(|error| vec![error.to_string()])
}
