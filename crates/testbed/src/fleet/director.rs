//! The directors of a trial: their processes, configurations and clients.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;

use super::load::Clients;
use super::node::{COLLAPSE_MULTIPLE, SLOW_START_INITIAL_SHARE, SLOW_START_WINDOW_SECONDS};
use super::settings::Trial;
use crate::director_process::{NodeModel, director_config, spawn_director};
use crate::discovery_stub::DiscoveryStub;
use crate::process::{ChildProcess, TrialError, io_error};

/// The rate of one transfer from a node, as directors assume it.
const STREAM_KB_PER_S: f64 = 400.0;

/// The files of one director.
pub(super) struct DirectorFiles {
    pub(super) config: PathBuf,
    pub(super) log: PathBuf,
    /// The coordination settings, if the trial has coordination.
    pub(super) coordination: Option<PathBuf>,
}

/// One director with its clients.
pub(super) struct Director {
    pub(super) files: DirectorFiles,
    pub(super) address: SocketAddr,
    pub(super) process: ChildProcess,
    /// `None` until the load begins.
    pub(super) clients: Option<Arc<Clients>>,
    /// The number of the discovery copy that the director subscribes to.
    pub(super) discovery: usize,
    /// Whether the trial has killed the process and not restarted it yet.
    pub(super) is_killed: bool,
}

impl Director {
    /// Starts the director for the first time.
    pub(super) fn start(
        files: DirectorFiles,
        address: SocketAddr,
        discovery: usize,
        program: &dyn Fn() -> Command,
    ) -> Result<Director, TrialError> {
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&files.log);
        let process = spawn_director(program, &files.config, &files.log, files.coordination.as_deref())?;
        Ok(Director { files, address, process, clients: None, discovery, is_killed: false })
    }

    /// Restarts the director after it was killed.
    pub(super) fn restart(&mut self, program: &dyn Fn() -> Command) -> Result<(), TrialError> {
        let files = &self.files;
        self.process = spawn_director(program, &files.config, &files.log, files.coordination.as_deref())?;
        self.is_killed = false;
        Ok(())
    }

    /// Kills the director, and excuses unanswered lookups until `to`.
    pub(super) fn kill(&mut self, now: f64, to: f64) -> Result<(), TrialError> {
        self.excuse(now, to);
        self.is_killed = true;
        self.process.kill().map_err(io_error("killing a director"))
    }

    /// Excuses unanswered lookups from `from` to `to`, while an injected fault affects the director.
    pub(super) fn excuse(&self, from: f64, to: f64) {
        if let Some(clients) = &self.clients {
            clients.excuse(from, to);
        }
    }
}

/// Writes the configuration of a director, with all discovery events so far.
pub(super) fn write_config(
    trial: &Trial,
    number: usize,
    address: SocketAddr,
    discovery: &DiscoveryStub,
    file: &Path,
) -> Result<(), TrialError> {
    let model = NodeModel {
        slow_start_initial_share: SLOW_START_INITIAL_SHARE,
        slow_start_us: (SLOW_START_WINDOW_SECONDS * 1e6) as u64,
        collapse_multiple: COLLAPSE_MULTIPLE,
        stream_kb_per_s: STREAM_KB_PER_S,
    };
    let events = discovery.events();
    let feed = (discovery.address, &events[..]);
    let config = director_config(number, trial.directors, trial.seed, address, feed, &model);
    std::fs::write(file, config.to_string()).map_err(io_error(file.display().to_string()))
}
