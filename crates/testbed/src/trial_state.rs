//! The state that the stubs of one trial share: its start time, whether it is over, counts by second, and the addresses
//! of nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, RwLock};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::threads::lock;

/// The counts of one second of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Fetches from the origin.
    #[serde(rename = "origin")]
    pub origin_fetches: u64,
    /// Requests that a node answered from its copies.
    pub hits: u64,
    /// Requests for which a node began a fill, including fills that failed.
    pub fills: u64,
    /// Fills that arrived at a node that they had already passed, or with a path that was too long.
    pub loops: u64,
    /// Cold nodes that collapsed under their load.
    #[serde(rename = "falls")]
    pub collapses: u64,
    /// Requests that arrived at a node after it had left the hierarchy and its grace period was over.
    #[serde(rename = "strays")]
    pub stray_requests: u64,
    /// Lookups that succeeded.
    pub satisfied: u64,
    /// Lookups that were rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Lookups that failed.
    pub failed: u64,
    /// The newest hierarchy version that was published.
    pub version: u64,
    /// The 99th percentile of the latency of lookups that succeeded, in microseconds.
    #[serde(rename = "p99")]
    pub p99_us: u64,
}

/// The state that all stubs of a trial share.
pub(crate) struct TrialState {
    /// When the trial started.
    pub(crate) started: Instant,
    over: AtomicBool,
    seconds: Mutex<Vec<Second>>,
    addresses: RwLock<BTreeMap<String, SocketAddr>>,
}

impl TrialState {
    pub(crate) fn new(started: Instant) -> TrialState {
        let over = AtomicBool::new(false);
        TrialState { started, over, seconds: Mutex::default(), addresses: RwLock::default() }
    }

    /// Updates the counts of the current second.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Second)) {
        let current = self.started.elapsed().as_secs() as usize;
        let mut seconds = lock(&self.seconds);
        if seconds.len() <= current {
            let version = seconds.last().map_or(0, |second| second.version);
            seconds.resize(current + 1, Second { version, ..Second::default() });
        }
        change(&mut seconds[current]);
    }

    /// The counts of all seconds so far.
    pub(crate) fn seconds(&self) -> Vec<Second> {
        lock(&self.seconds).clone()
    }

    /// The counts of the second before the last one that was counted, or zeros before there is one.
    pub(crate) fn last_complete_second(&self) -> Second {
        lock(&self.seconds).iter().rev().nth(1).cloned().unwrap_or_default()
    }

    /// Ends the trial, so that the stubs stop.
    pub(crate) fn finish(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Registers the address of a node, so that other nodes can fill from it.
    pub(crate) fn add_address(&self, node: &str, address: SocketAddr) {
        let mut addresses = self.addresses.write().unwrap_or_else(|e| e.into_inner());
        addresses.insert(node.to_owned(), address);
    }

    pub(crate) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.addresses.read().unwrap_or_else(|e| e.into_inner()).get(node).copied()
    }
}
