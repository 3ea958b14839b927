//! The director as a program: configuration, log, signals, startup and shutdown.

pub mod config;
mod director;
mod logging;
mod signals;
mod startup;

use std::process::ExitCode;

use logging::LogWriter;
use startup::StartupRetry;

/// Runs a director with its log, from loading its configuration until it has shut down, and returns the exit code.
pub fn run() -> ExitCode {
    let startup = StartupRetry::new();
    let log = LogWriter::start(&startup);
    let code = match director::run(&startup) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    };
    log.flush();
    code
}
