//! What an experiment came to: a table, JSON, a plot over time.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::client_load::{ClientStats, histogram};
use crate::node_stub::Second;
use crate::settings::Experiment;
use crate::trial_report::{Chart, TrialReport};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub experiment: Experiment,
    pub lookups: u64,
    pub satisfied: u64,
    pub nacked: u64,
    pub failed: u64,
    /// Lookups without an answer, with one that was not asked for, with a copy from before a purge.
    pub lost: u64,
    pub strange: u64,
    pub old: u64,
    /// Clients that did not come to an end.
    pub missing: usize,
    /// Of satisfied lookups, in microseconds.
    pub p50: u64,
    pub p99: u64,
    /// The most fetches at the origin in a second.
    pub origin_most: u64,
    pub origin_mean: f64,
    pub hits: u64,
    pub fills: u64,
    /// Fills that came to a node twice, and cold nodes that fell.
    pub loops: u64,
    pub falls: u64,
    /// Requests to nodes that had left, after their grace.
    pub strays: u64,
    pub changes: usize,
    pub endings: BTreeMap<String, u64>,
    pub kills: u64,
    pub seconds: Vec<Second>,
    pub notes: Vec<String>,
}

impl Report {
    pub fn of(
        e: &Experiment,
        mut seconds: Vec<Second>,
        seen: Vec<ClientStats>,
        missing: usize,
        window: Range<u64>,
        (endings, kills, changes): (BTreeMap<String, u64>, u64, usize),
        notes: Vec<String>,
    ) -> Report {
        let sum = |of: fn(&ClientStats) -> u64| seen.iter().map(of).sum();
        let timed = || seen.iter().flat_map(|s| &s.latencies);
        let all = histogram(timed().filter(|(at, _)| window.contains(at)).map(|(_, us)| *us));
        for (at, second) in seconds.iter_mut().enumerate() {
            let of = histogram(timed().filter(|(s, _)| *s == at as u64).map(|(_, us)| *us));
            second.p99 = of.value_at_quantile(0.99);
        }
        let from = (window.start as usize).min(seconds.len());
        // The last second is cut short.
        let measured = &seconds[from..(window.end as usize).min(seconds.len()).max(from)];
        Report {
            experiment: e.clone(),
            lookups: sum(|s| s.requests),
            satisfied: sum(|s| s.succeeded),
            nacked: sum(|s| s.rejected),
            failed: sum(|s| s.failed),
            lost: sum(|s| s.unanswered),
            strange: sum(|s| s.unexpected),
            old: sum(|s| s.stale),
            missing,
            p50: all.value_at_quantile(0.5),
            p99: all.value_at_quantile(0.99),
            origin_most: measured.iter().map(|s| s.origin).max().unwrap_or(0),
            origin_mean: measured.iter().map(|s| s.origin).sum::<u64>() as f64 / measured.len().max(1) as f64,
            hits: measured.iter().map(|s| s.hits).sum(),
            fills: measured.iter().map(|s| s.fills).sum(),
            loops: seconds.iter().map(|s| s.loops).sum(),
            falls: seconds.iter().map(|s| s.falls).sum(),
            strays: seconds.iter().map(|s| s.strays).sum(),
            changes,
            endings,
            kills,
            seconds,
            notes,
        }
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut none = |what: &str, n: u64| {
            if n > 0 {
                found.push(format!("{what}: {n}"));
            }
        };
        none("fills that came to a node twice", self.loops);
        none("cold nodes that fell", self.falls);
        none("requests to nodes that had left", self.strays);
        none("lookups without an answer", self.lost + self.missing as u64);
        none("answers that were not asked for", self.strange);
        none("copies from before a purge", self.old);
        if self.origin_most as f64 > self.experiment.ceiling {
            found.push(format!("origin: {} in a second, of {}", self.origin_most, self.experiment.ceiling));
        }
        found
    }

    fn title(&self) -> String {
        format!("{}: {} lookups, {} changes", self.experiment.name, self.lookups, self.changes)
    }

    fn charts(&self) -> Vec<Chart> {
        let panel = |name, of: fn(&Second) -> u64, line| Chart {
            name,
            curves: vec![self.seconds.iter().map(of).collect()],
            line,
        };
        let ceiling = Some(self.experiment.ceiling as u64);
        vec![
            panel("fetches at the origin, a second (line: ceiling)", |s| s.origin, ceiling),
            panel("hits, a second", |s| s.hits, None),
            panel("99th percentile of the latency, ms", |s| s.p99 / 1_000, None),
            panel("version told", |s| s.version, None),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let e = &self.experiment;
        let all = self.lookups.max(1) as f64;
        writeln!(
            f,
            "{}: {} directors, {} caches, {} upper caches, seed {}",
            e.name, e.directors, e.caches, e.parents, e.seed
        )?;
        writeln!(
            f,
            "lookups {}  satisfied {} ({:.2}%)  nacked {}  failed {}  without an answer {}",
            self.lookups,
            self.satisfied,
            100.0 * self.satisfied as f64 / all,
            self.nacked,
            self.failed,
            self.lost + self.missing as u64
        )?;
        writeln!(f, "latency p50 {:.1} ms  p99 {:.1} ms", self.p50 as f64 / 1e3, self.p99 as f64 / 1e3)?;
        writeln!(
            f,
            "origin {:.0} a second, {} at most, ceiling {}  hits {}  fills {}",
            self.origin_mean, self.origin_most, e.ceiling, self.hits, self.fills
        )?;
        writeln!(
            f,
            "changes {} {:?}  driver killed {} times  fills twice at a node {}  cold nodes fallen {}  strays {}  old copies {}",
            self.changes, self.endings, self.kills, self.loops, self.falls, self.strays, self.old
        )?;
        let breaches = self.violations();
        if breaches.is_empty() {
            writeln!(f, "all is well")
        } else {
            writeln!(f, "BROKEN: {}", breaches.join("; "))
        }
    }
}
