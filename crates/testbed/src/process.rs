//! Child processes of a trial, which end with the trial, and their resource use as reported by the system.

use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use sablecross_hierarchy::rollout::RolloutError;
use thiserror::Error;

/// The kernel reports CPU time in ticks of a hundredth of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The index of the user CPU time in `/proc/<pid>/stat`, counted from the state field, which follows the program name.
const USER_TICKS_FIELD: usize = 11;
/// The index of the system CPU time, counted likewise.
const SYSTEM_TICKS_FIELD: usize = 12;
const KB_PER_MB: f64 = 1_024.0;

/// The reason why a trial could not be run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A file, socket or process of the trial failed.
    #[error("{what}: {why}")]
    Io {
        /// The file's path, or the operation or process that failed.
        what: String,
        /// The system's error.
        why: io::Error,
    },
    /// The log of the hierarchy controller can't be opened or written.
    #[error("the log of the hierarchy controller: {0}")]
    Log(#[from] sablecross_controller_log::ControllerLogError),
    /// A hierarchy of the trial is not valid, or the controller can't be recovered from its log.
    #[error("the hierarchy of the trial: {0}")]
    Hierarchy(#[from] RolloutError),
    /// A started process did not accept connections in time.
    #[error("{name} did not accept connections within {within} s: see {log}")]
    NotServing {
        /// The name of the process.
        name: String,
        /// The timeout in seconds.
        within: u64,
        /// The log file of the process.
        log: String,
    },
    /// The machine is too small for the trial.
    #[error("the trial does not fit on this machine: {0}")]
    TooLarge(String),
}

/// Wraps an I/O error together with the file or operation that failed.
pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let what = what.into();
    move |why| TrialError::Io { what, why }
}

/// A child process that is killed when this value is dropped.
pub(crate) struct ChildProcess(pub(crate) Child);

impl ChildProcess {
    /// Starts a process whose standard error is appended to `log`. `what` names the process in the error.
    pub(crate) fn start(command: &mut Command, log: &Path, what: &str) -> Result<ChildProcess, TrialError> {
        let output = std::fs::File::options().create(true).append(true).open(log);
        let output = output.map_err(io_error(log.display().to_string()))?;
        // The pipe to its standard input closes when this program ends, which tells the child to exit.
        command.stderr(output).stdin(Stdio::piped());
        command.spawn().map(ChildProcess).map_err(io_error(what))
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            // The process may have exited by itself, which the report counts.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(drop)
    }

    /// Whether the process has exited by itself.
    pub(crate) fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }

    /// The CPU time that the process has used.
    pub(crate) fn cpu_seconds(&self) -> f64 {
        cpu_seconds_of(self.0.id())
    }

    /// The resident memory of the process.
    pub(crate) fn resident_mb(&self) -> f64 {
        read_megabytes(&format!("/proc/{}/status", self.0.id()), "VmRSS:")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process. An error means that the process has already exited.
        let _ = self.kill();
    }
}

/// The CPU time that a process has used, or 0 if there is no such process.
pub(crate) fn cpu_seconds_of(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks =
        |field: usize| after_name.split(' ').nth(field).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) / TICKS_PER_SECOND
}

/// Reads a size in kB after a key from a file in `/proc`. Returns it in MB, or 0 if the key is missing.
fn read_megabytes(file: &str, key: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / KB_PER_MB
}

/// The total memory of the machine.
pub(crate) fn machine_memory_mb() -> f64 {
    read_megabytes("/proc/meminfo", "MemTotal:")
}
