//! The result of an experiment, as text, JSON and charts over time.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::client_load::{ClientStats, TimedLatency, histogram};
use crate::settings::Experiment;
use crate::trial_report::{Chart, TrialReport};
use crate::trial_state::Second;

/// The result of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The settings of the experiment.
    pub experiment: Experiment,
    /// The number of all lookups.
    pub lookups: u64,
    /// Lookups that succeeded.
    pub satisfied: u64,
    /// Lookups that were rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Lookups that failed.
    pub failed: u64,
    /// Lookups without an answer.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Answers without a matching lookup, repeated answers, bytes that are not a valid answer, and successes whose body
    /// does not begin with an issue time.
    #[serde(rename = "strange")]
    pub unexpected: u64,
    /// Answers with a copy from before a purge, to lookups sent after the grace period of the purge.
    #[serde(rename = "old")]
    pub stale: u64,
    /// Clients that did not finish in time.
    #[serde(rename = "missing")]
    pub unfinished_clients: usize,
    /// The median latency of lookups that succeeded, in microseconds.
    #[serde(rename = "p50")]
    pub p50_us: u64,
    /// The 99th percentile of the latency of lookups that succeeded, in microseconds.
    #[serde(rename = "p99")]
    pub p99_us: u64,
    /// The highest number of fetches from the origin in a second.
    #[serde(rename = "origin_most")]
    pub origin_max: u64,
    /// Fetches from the origin per second, on average.
    pub origin_mean: f64,
    /// Requests that nodes answered from their copies.
    pub hits: u64,
    /// Requests for which nodes began a fill, including fills that failed.
    pub fills: u64,
    /// Fills that arrived at a node that they had already passed, or with a path that was too long.
    pub loops: u64,
    /// Cold nodes that collapsed under their load.
    #[serde(rename = "falls")]
    pub collapses: u64,
    /// Requests to nodes that had left the hierarchy, after their grace period.
    #[serde(rename = "strays")]
    pub stray_requests: u64,
    /// Changes of the hierarchy that were proposed.
    pub changes: usize,
    /// The number of changes by outcome.
    #[serde(rename = "endings")]
    pub change_outcomes: BTreeMap<String, u64>,
    /// How often the rollout driver was killed.
    #[serde(rename = "kills")]
    pub driver_kills: u64,
    /// The counts of each second.
    pub seconds: Vec<Second>,
    /// Log lines of the rollout, rejected inputs, and injected failures of parents.
    pub notes: Vec<String>,
}

/// The counts of an experiment, from which its report is computed.
pub(crate) struct ExperimentOutcome {
    pub(crate) seconds: Vec<Second>,
    pub(crate) client_stats: Vec<ClientStats>,
    pub(crate) unfinished_clients: usize,
    /// The seconds of the trial that the figures on latencies, origin fetches, hits and fills cover: the load without
    /// its warm-up.
    pub(crate) window: Range<u64>,
    pub(crate) changes: usize,
    pub(crate) change_outcomes: BTreeMap<String, u64>,
    pub(crate) driver_kills: u64,
    pub(crate) notes: Vec<String>,
}

impl ExperimentOutcome {
    fn sum(&self, field: fn(&ClientStats) -> u64) -> u64 {
        self.client_stats.iter().map(field).sum()
    }

    fn latencies(&self) -> impl Iterator<Item = &TimedLatency> {
        self.client_stats.iter().flat_map(|stats| &stats.latencies)
    }

    /// Sets the 99th percentile of the latency of each second.
    fn set_percentiles(&mut self) {
        for number in 0..self.seconds.len() {
            let latencies = self.latencies().filter(|latency| latency.second == number as u64);
            let p99_us = histogram(latencies.map(|latency| latency.micros)).value_at_quantile(0.99);
            self.seconds[number].p99_us = p99_us;
        }
    }

    /// The counts of the seconds in the window, as far as they exist.
    fn measured_seconds(&self) -> &[Second] {
        let from = (self.window.start as usize).min(self.seconds.len());
        // The window may end after the last counted second.
        let to = (self.window.end as usize).min(self.seconds.len()).max(from);
        &self.seconds[from..to]
    }
}

impl Report {
    pub(crate) fn new(experiment: &Experiment, mut outcome: ExperimentOutcome) -> Report {
        outcome.set_percentiles();
        let in_window = outcome.latencies().filter(|latency| outcome.window.contains(&latency.second));
        let latencies = histogram(in_window.map(|latency| latency.micros));
        let measured = outcome.measured_seconds();
        let measured_sum = |field: fn(&Second) -> u64| -> u64 { measured.iter().map(field).sum() };
        let total = |field: fn(&Second) -> u64| -> u64 { outcome.seconds.iter().map(field).sum() };
        Report {
            experiment: experiment.clone(),
            lookups: outcome.sum(|stats| stats.requests),
            satisfied: outcome.sum(|stats| stats.succeeded),
            rejected: outcome.sum(|stats| stats.rejected),
            failed: outcome.sum(|stats| stats.failed),
            unanswered: outcome.sum(|stats| stats.unanswered),
            unexpected: outcome.sum(|stats| stats.unexpected),
            stale: outcome.sum(|stats| stats.stale),
            unfinished_clients: outcome.unfinished_clients,
            p50_us: latencies.value_at_quantile(0.5),
            p99_us: latencies.value_at_quantile(0.99),
            origin_max: measured.iter().map(|second| second.origin_fetches).max().unwrap_or(0),
            origin_mean: measured_sum(|second| second.origin_fetches) as f64 / measured.len().max(1) as f64,
            hits: measured_sum(|second| second.hits),
            fills: measured_sum(|second| second.fills),
            loops: total(|second| second.loops),
            collapses: total(|second| second.collapses),
            stray_requests: total(|second| second.stray_requests),
            changes: outcome.changes,
            change_outcomes: outcome.change_outcomes,
            driver_kills: outcome.driver_kills,
            seconds: outcome.seconds,
            notes: outcome.notes,
        }
    }

    fn all_unanswered(&self) -> u64 {
        self.unanswered + self.unfinished_clients as u64
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let must_be_zero = [
            ("fills that arrived at a node twice", self.loops),
            ("cold nodes that collapsed", self.collapses),
            ("requests to nodes that had left", self.stray_requests),
            ("lookups without an answer", self.all_unanswered()),
            ("answers without a matching lookup", self.unexpected),
            ("copies from before a purge", self.stale),
        ];
        let found = must_be_zero.iter().filter(|(_, count)| *count > 0);
        let mut violations: Vec<String> = found.map(|(what, count)| format!("{what}: {count}")).collect();
        let ceiling = self.experiment.ceiling;
        if self.origin_max as f64 > ceiling {
            violations.push(format!("origin: {} fetches in a second, ceiling {ceiling}", self.origin_max));
        }
        violations
    }

    fn title(&self) -> String {
        format!("{}: {} lookups, {} changes", self.experiment.name, self.lookups, self.changes)
    }

    fn charts(&self) -> Vec<Chart> {
        let chart = |name, field: fn(&Second) -> u64, line| Chart {
            name,
            curves: vec![self.seconds.iter().map(field).collect()],
            limit_line: line,
        };
        let ceiling = Some(self.experiment.ceiling as u64);
        vec![
            chart(
                "fetches from the origin per second (line: ceiling)",
                |second| second.origin_fetches,
                ceiling,
            ),
            chart("hits per second", |second| second.hits, None),
            chart("99th percentile of the latency, ms", |second| second.p99_us / 1_000, None),
            chart("published version", |second| second.version, None),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let settings = &self.experiment;
        writeln!(
            f,
            "{}: {} directors, {} caches, {} parents, seed {}",
            settings.name, settings.directors, settings.caches, settings.uppers, settings.seed
        )?;
        writeln!(
            f,
            "lookups {}  satisfied {} ({:.2}%)  rejected {}  failed {}  without an answer {}",
            self.lookups,
            self.satisfied,
            100.0 * self.satisfied as f64 / self.lookups.max(1) as f64,
            self.rejected,
            self.failed,
            self.all_unanswered()
        )?;
        let (p50_ms, p99_ms) = (self.p50_us as f64 / 1e3, self.p99_us as f64 / 1e3);
        writeln!(f, "latency p50 {p50_ms:.1} ms  p99 {p99_ms:.1} ms")?;
        writeln!(
            f,
            "origin {:.0} per second, {} at most, ceiling {}  hits {}  fills {}",
            self.origin_mean, self.origin_max, settings.ceiling, self.hits, self.fills
        )?;
        writeln!(
            f,
            "changes {} {:?}  driver killed {} times",
            self.changes, self.change_outcomes, self.driver_kills
        )?;
        writeln!(
            f,
            "fills twice at a node {}  cold nodes collapsed {}  stray requests {}  stale copies {}",
            self.loops, self.collapses, self.stray_requests, self.stale
        )?;
        let violations = self.violations();
        if violations.is_empty() {
            writeln!(f, "no violations")
        } else {
            writeln!(f, "violations: {}", violations.join("; "))
        }
    }
}
