//! The processes of a trial, which end with it, and what the system says of them.

use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use sablecross_hierarchy::rollout::RolloutError;
use thiserror::Error;

/// The kernel counts CPU time in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Where `/proc/<pid>/stat` has the CPU time of the process and of the kernel for it, counted from the state, which
/// follows the program's name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const KB_PER_MB: f64 = 1_024.0;

/// Why a trial could not be carried out.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A file, socket or process of the trial failed.
    #[error("{what}: {why}")]
    Io {
        /// The file's path, or what else was needed.
        what: String,
        /// What the system said.
        why: io::Error,
    },
    /// The log of the hierarchy controller can't be opened or written.
    #[error("the log of the driver: {0}")]
    Log(#[from] sablecross_controller_log::ControllerLogError),
    /// The trial's first hierarchy is not valid.
    #[error("the hierarchy of the experiment: {0}")]
    Hierarchy(#[from] RolloutError),
    /// A process that was started does not accept connections.
    #[error("{name} did not serve within {within} s: see {log}")]
    NotServing {
        /// Which process.
        name: String,
        /// How many seconds it was waited for.
        within: u64,
        /// The file of its log.
        log: String,
    },
    /// The machine is too small for the trial.
    #[error("does not fit: {0}")]
    TooLarge(String),
}

/// Names what was needed when the system refuses something.
pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let what = what.into();
    move |why| TrialError::Io { what, why }
}

/// A process that is killed when this is dropped.
pub(crate) struct ChildProcess(pub(crate) Child);

impl ChildProcess {
    /// Starts a process whose standard error is appended to `log`. `what` names it in the error.
    pub(crate) fn start(command: &mut Command, log: &Path, what: &str) -> Result<ChildProcess, TrialError> {
        let output = std::fs::File::options().create(true).append(true).open(log);
        let output = output.map_err(io_error(log.display().to_string()))?;
        // Its standard input closes with this program, which tells it to end.
        command.stderr(output).stdin(Stdio::piped());
        command.spawn().map(ChildProcess).map_err(io_error(what))
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            // It may have exited by itself, which the report counts.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it and waits for its end.
    pub(crate) fn kill(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(drop)
    }

    /// Whether it has exited by itself.
    pub(crate) fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }

    /// The CPU time that it has used.
    pub(crate) fn cpu_seconds(&self) -> f64 {
        cpu_seconds_of(self.0.id())
    }

    /// The memory that it holds.
    pub(crate) fn resident_mb(&self) -> f64 {
        read_megabytes(&format!("/proc/{}/status", self.0.id()), "VmRSS:")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // A stopped one ends as well; it may have exited by itself.
        let _ = self.kill();
    }
}

/// The CPU time that a process has used; 0 if there is no such process.
pub(crate) fn cpu_seconds_of(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks =
        |field: usize| after_name.split(' ').nth(field).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) / TICKS_PER_SECOND
}

/// The size that a file of the system states in kB behind a key, in MB; 0 if it states none.
fn read_megabytes(file: &str, key: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / KB_PER_MB
}

/// The memory of the machine.
pub(crate) fn machine_memory_mb() -> f64 {
    read_megabytes("/proc/meminfo", "MemTotal:")
}
