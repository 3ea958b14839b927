//! The processes of directors: each runs many simulated directors or one real director.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::mpsc::Sender;

use super::evaluation::ProcessUse;
use super::pool_messages::{Finished, PoolCommand, PoolProgress, PoolReport};
use super::tier::Program;
use crate::ports::ReservedPort;
use crate::process::{ChildProcess, TrialError, io_error};
use crate::threads::spawn;

/// CPU time and memory of a process up to now.
pub(super) fn process_use(process: &ChildProcess) -> ProcessUse {
    ProcessUse { cpu_seconds: process.cpu_seconds(), memory_mb: process.resident_mb() }
}

/// A report of one process of simulated directors.
pub(super) struct ReportFromPool {
    /// The number of the process.
    pub(super) pool: usize,
    pub(super) report: PoolReport,
}

/// A process of simulated directors.
pub(super) struct PoolProcess {
    pub(super) process: ChildProcess,
    /// The number of directors in the process.
    pub(super) directors: usize,
    /// The last progress report.
    pub(super) progress: PoolProgress,
    /// The result, once the process has reported it.
    pub(super) finished: Option<Box<Finished>>,
}

impl PoolProcess {
    /// Starts the process. Its log goes to the folder and its reports go to `reports`.
    pub(super) fn start(
        program: Program,
        number: usize,
        folder: &Path,
        reports: Sender<ReportFromPool>,
        directors: usize,
    ) -> Result<PoolProcess, TrialError> {
        let log = folder.join(format!("hollow-{number}.log"));
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&log);
        let mut command = program(&["testbed", "hollow"]);
        let mut process = ChildProcess::start(command.stdout(Stdio::piped()), &log, "simulated directors")?;
        if let Some(output) = process.0.stdout.take() {
            spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    let Ok(report) = serde_json::from_str(&line) else { continue };
                    if reports.send(ReportFromPool { pool: number, report }).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(PoolProcess { process, directors, progress: PoolProgress::default(), finished: None })
    }

    pub(super) fn send(&mut self, command: &PoolCommand) -> Result<(), TrialError> {
        let Some(input) = &mut self.process.0.stdin else { return Ok(()) };
        let text = serde_json::to_string(command).unwrap_or_default();
        writeln!(input, "{text}").map_err(io_error("a command to simulated directors"))
    }
}

/// A real director.
pub(super) struct RealDirector {
    pub(super) process: ChildProcess,
    pub(super) log: PathBuf,
    pub(super) _port: ReservedPort,
}

impl RealDirector {
    /// The number of events that it skipped as unreadable; none until its log has a line of counters.
    pub(super) fn skipped_events(&self) -> Option<u64> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let line = text.lines().rev().find(|line| line.contains("counters "))?;
        line.split("feed_skipped=").nth(1)?.split([' ', '"']).next()?.parse().ok()
    }
}
