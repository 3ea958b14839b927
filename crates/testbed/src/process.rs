//! Processes of a trial: they end with it, and what the system says of them.

use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use sablecross_hierarchy::rollout::RolloutError;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum TrialError {
    #[error("{what}: {why}")]
    Io { what: String, why: io::Error },
    #[error("the log of the driver: {0}")]
    Log(#[from] sablecross_controller_log::ControllerLogError),
    #[error("the hierarchy of the experiment: {0}")]
    Hierarchy(#[from] RolloutError),
    #[error("{name} did not serve within {within} s: see {log}")]
    NotServing { name: String, within: u64, log: String },
    #[error("does not fit: {0}")]
    TooLarge(String),
}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let what = what.into();
    move |why| TrialError::Io { what, why }
}

/// A process that ends with the trial.
pub struct ChildProcess(pub Child);

impl ChildProcess {
    /// What it logs is added to the file.
    pub fn start(command: &mut Command, log: &Path, what: &str) -> Result<ChildProcess, TrialError> {
        let out = std::fs::File::options().create(true).append(true).open(log);
        let out = out.map_err(io_error(log.display().to_string()))?;
        command.stderr(out).stdin(Stdio::piped());
        command.spawn().map(ChildProcess).map_err(io_error(what))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            // It may have ended by itself, which the report counts.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(drop)
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }

    /// CPU seconds that it has used.
    pub fn cpu_seconds(&self) -> f64 {
        cpu_seconds_of(self.0.id())
    }

    /// MB of memory that it holds.
    pub fn resident_mb(&self) -> f64 {
        megabytes(&format!("/proc/{}/status", self.0.id()), "VmRSS:")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // A stopped one ends as well; it may have ended by itself.
        let _ = self.kill();
    }
}

/// CPU seconds that a process has used.
pub fn cpu_seconds_of(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(") ").map_or("", |s| s.1);
    let ticks = |n: usize| after.split(' ').nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    // Of user and system, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

/// MB that a file of the system names behind this key.
fn megabytes(file: &str, key: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}

/// MB of memory of the machine.
pub fn machine_memory_mb() -> f64 {
    megabytes("/proc/meminfo", "MemTotal:")
}
