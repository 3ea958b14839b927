//! The director as a program: configuration, log, signals, start and end.

pub mod config;
mod director;
mod logging;
mod signals;
mod startup;

use std::process::ExitCode;

use logging::LogWriter;
use startup::StartupRetry;

/// Runs a director from its configuration to the last answer, with its log.
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
