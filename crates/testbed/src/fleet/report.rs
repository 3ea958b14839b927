//! The result of a fleet trial: load balance within each tier, effects of each fault on other nodes, and outcomes of
//! lookups.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::coordination_report::CoordinationReport;
use super::load::ClientTally;
use super::node::{NodeCounts, SLOW_START_WINDOW_SECONDS, SenderInSecond, Tier};
use super::settings::Trial;
use crate::trial_report::{Chart, TrialReport};

/// The length of the windows over which load balance is measured.
const EVENNESS_WINDOW_SECONDS: usize = 5;
/// Load counts as even again when no node gets more than this multiple of its fair share.
const EVEN_RATIO: f64 = 1.5;
const TENTHS_PER_SECOND: usize = 10;
/// Above this wake-up delay of the trial's own program, the machine was too busy for a valid result.
const BUSY_MACHINE_DELAY_SECONDS: f64 = 0.1;

/// The counts and the capacity of a node.
pub(crate) struct NodeOutcome {
    pub(crate) name: String,
    pub(crate) tier: Tier,
    pub(crate) capacity: f64,
    pub(crate) counts: NodeCounts,
}

/// The load balance of a tier in a window, as the ratio of each node's load to its fair share. Fair shares are
/// proportional to capacity.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Evenness {
    /// The first second of the window.
    pub from: usize,
    /// The tier.
    pub tier: Tier,
    /// The highest ratio of load to fair share.
    pub most: f64,
    /// The node with the highest ratio.
    pub most_at: String,
    /// The lowest ratio of load to fair share.
    pub least: f64,
    /// The node with the lowest ratio.
    pub least_at: String,
    /// The ratio of the tier's load to its capacity.
    pub load: f64,
    /// Whether there was no fault in the window or shortly before it.
    pub calm: bool,
}

/// The effect of a fault on the nodes that it did not affect directly.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultAftermath {
    /// The kind of the fault.
    pub what: String,
    /// When the fault began, in seconds from the start of the load.
    pub at: f64,
    /// The highest ratio of load to fair share of an undisturbed cache in the first whole second after the fault began.
    pub next_second: f64,
    /// Seconds from the end of the fault until the load of all undisturbed caches was even for two seconds. `None` if
    /// that did not happen before the end of the trial.
    pub even_after: Option<f64>,
}

/// The result of a fleet trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The settings of the trial.
    pub trial: Trial,
    /// The outcomes of all lookups.
    pub total: ClientTally,
    /// The outcomes of lookups by the second in which they were sent.
    pub seconds: Vec<ClientTally>,
    /// The load balance by window and tier.
    pub windows: Vec<Evenness>,
    /// The effects of the faults on other nodes.
    pub aftermath: Vec<FaultAftermath>,
    /// The largest share of all directors that started to send to the same cache in the same second.
    #[serde(rename = "herd_most")]
    pub herd_max: f64,
    /// The average of that share over all caches and all seconds after the warm-up.
    pub herd_mean: f64,
    /// The share of seconds of undisturbed caches and parents in which no request arrived.
    #[serde(rename = "idle")]
    pub idle_share: f64,
    /// Cold nodes that collapsed under their load.
    #[serde(rename = "falls")]
    pub collapses: u64,
    /// Requests to nodes that had left the endpoint list, after the grace period.
    #[serde(rename = "strays")]
    pub stray_requests: u64,
    /// Directors that exited by themselves.
    #[serde(rename = "ended")]
    pub exited_directors: usize,
    /// The longest wake-up delay of the trial's own program in seconds. Above a tenth of a second, the machine was too
    /// busy for a valid result.
    #[serde(rename = "late")]
    pub max_wake_delay: f64,
    /// The requests at each node by second.
    #[serde(rename = "came")]
    pub requests: BTreeMap<String, Vec<u32>>,
    /// The coordination figures, if the trial had coordination.
    #[serde(rename = "watched")]
    pub coordination: Option<CoordinationReport>,
}

/// A fault that was injected. Times are in seconds from the start of the load.
pub(crate) struct FaultWindow {
    pub(crate) what: String,
    /// The affected nodes.
    pub(crate) nodes: Vec<String>,
    pub(crate) from: f64,
    pub(crate) to: f64,
}

/// The counts of a trial, from which its report is computed.
pub(crate) struct TrialOutcome<'a> {
    pub(crate) trial: &'a Trial,
    pub(crate) nodes: &'a [NodeOutcome],
    /// Outcomes of lookups by director, then by second.
    pub(crate) clients: &'a [Vec<ClientTally>],
    pub(crate) faults: &'a [FaultWindow],
    pub(crate) exited_directors: usize,
    pub(crate) max_wake_delay: f64,
    pub(crate) coordination: Option<CoordinationReport>,
}

impl NodeOutcome {
    /// The number of requests from second `from` to second `to`, exclusive.
    fn requests(&self, from: usize, to: usize) -> u32 {
        let tenths = &self.counts.requests;
        let place = |second: usize| (TENTHS_PER_SECOND * second).min(tenths.len());
        tenths[place(from)..place(to)].iter().sum()
    }

    fn requests_by_second(&self, seconds: usize) -> Vec<u32> {
        (0..seconds).map(|second| self.requests(second, second + 1)).collect()
    }

    /// For each second, the number of directors that sent a request but had sent none in the second before.
    fn new_senders(&self, seconds: usize) -> Vec<u32> {
        let senders = &self.counts.senders;
        let mut new = vec![0u32; seconds];
        for SenderInSecond { second, director } in senders {
            let before = second.checked_sub(1).map(|second| SenderInSecond { second, director: *director });
            let is_new = before.is_none_or(|before| !senders.contains(&before));
            if let Some(count) = new.get_mut(*second as usize) {
                *count += u32::from(is_new);
            }
        }
        new
    }
}

impl TrialOutcome<'_> {
    fn seconds(&self) -> usize {
        self.trial.seconds as usize
    }

    fn warm_up(&self) -> usize {
        self.trial.warm_up as usize
    }

    fn tally_by_second(&self) -> Vec<ClientTally> {
        let mut by_second = vec![ClientTally::default(); self.seconds()];
        for (second, tally) in self.clients.iter().flat_map(|client| client.iter().enumerate()) {
            if let Some(sum) = by_second.get_mut(second) {
                sum.add(tally);
            }
        }
        by_second
    }

    fn total(&self) -> ClientTally {
        let mut total = ClientTally::default();
        self.clients.iter().flatten().for_each(|tally| total.add(tally));
        total
    }

    /// Whether the node was cold or affected by a fault in this period. A node that was restarted also counts as cold
    /// in all periods before the restart.
    fn is_disturbed(&self, node: &NodeOutcome, from: f64, to: f64) -> bool {
        let is_cold = node.counts.cold_since.is_some_and(|since| since + SLOW_START_WINDOW_SECONDS > from);
        is_cold
            || self
                .faults
                .iter()
                .any(|fault| fault.nodes.contains(&node.name) && fault.from < to && fault.to > from)
    }

    /// The load balance of the undisturbed nodes of a tier, or `None` if there are no such nodes.
    fn evenness(&self, tier: Tier, from: usize, to: usize) -> Option<Evenness> {
        let is_selected =
            |node: &&NodeOutcome| node.tier == tier && !self.is_disturbed(node, from as f64, to as f64);
        let nodes: Vec<&NodeOutcome> = self.nodes.iter().filter(is_selected).collect();
        let requests: u32 = nodes.iter().map(|node| node.requests(from, to)).sum();
        let capacity: f64 = nodes.iter().map(|node| node.capacity).sum();
        let load_ratio = |node: &NodeOutcome| {
            f64::from(node.requests(from, to)) / node.capacity * capacity / f64::from(requests.max(1))
        };
        let by_load_ratio = |a: &&&NodeOutcome, b: &&&NodeOutcome| load_ratio(a).total_cmp(&load_ratio(b));
        let (most, least) = (nodes.iter().max_by(by_load_ratio)?, nodes.iter().min_by(by_load_ratio)?);
        let is_clear = |fault: &FaultWindow| {
            fault.from >= to as f64 || fault.to + EVENNESS_WINDOW_SECONDS as f64 <= from as f64
        };
        Some(Evenness {
            from,
            tier,
            most: load_ratio(most),
            most_at: most.name.clone(),
            least: load_ratio(least),
            least_at: least.name.clone(),
            load: f64::from(requests) / capacity / (to - from) as f64,
            calm: self.faults.iter().all(is_clear),
        })
    }

    fn windows(&self) -> Vec<Evenness> {
        let starts = (self.warm_up()..self.seconds()).step_by(EVENNESS_WINDOW_SECONDS);
        starts
            .map(|from| (from, from + EVENNESS_WINDOW_SECONDS))
            .filter(|(_, to)| *to <= self.seconds())
            .flat_map(|(from, to)| [Tier::Cache, Tier::Parent].map(|tier| self.evenness(tier, from, to)))
            .flatten()
            .collect()
    }

    /// The highest ratio of load to fair share of any undisturbed cache in a second.
    fn max_load_ratio(&self, second: usize) -> f64 {
        self.evenness(Tier::Cache, second, second + 1).map_or(0.0, |evenness| evenness.most)
    }

    fn aftermath(&self, fault: &FaultWindow) -> FaultAftermath {
        let end = fault.to.ceil() as usize;
        let is_even = |second: usize| self.max_load_ratio(second) <= EVEN_RATIO;
        let even_at =
            (end..self.seconds().saturating_sub(1)).find(|&second| is_even(second) && is_even(second + 1));
        FaultAftermath {
            what: fault.what.clone(),
            at: fault.from,
            next_second: self.max_load_ratio(fault.from.ceil() as usize),
            even_after: even_at.map(|second| second as f64 - fault.to),
        }
    }

    /// For each cache and second, the share of all directors that started to send to the cache.
    fn new_sender_shares(&self) -> Vec<f64> {
        let caches = self.nodes.iter().filter(|node| node.tier == Tier::Cache);
        let directors = self.trial.directors as f64;
        caches
            .flat_map(|cache| cache.new_senders(self.seconds()).split_off(self.warm_up()))
            .map(|new| f64::from(new) / directors)
            .collect()
    }

    /// The share of seconds of undisturbed caches and parents in which no request arrived.
    fn idle_share(&self) -> f64 {
        let (mut idle, mut all) = (0u32, 0u32);
        for second in self.warm_up()..self.seconds() {
            let (from, to) = (second as f64, second as f64 + 1.0);
            let nodes = self.nodes.iter().filter(|node| node.tier != Tier::Origin);
            for node in nodes.filter(|node| !self.is_disturbed(node, from, to)) {
                idle += u32::from(node.requests(second, second + 1) == 0);
                all += 1;
            }
        }
        f64::from(idle) / f64::from(all.max(1))
    }
}

impl Report {
    pub(crate) fn new(outcome: TrialOutcome) -> Report {
        let new_senders = outcome.new_sender_shares();
        let nodes = outcome.nodes;
        let requests_by_second =
            |node: &NodeOutcome| (node.name.clone(), node.requests_by_second(outcome.seconds()));
        Report {
            trial: outcome.trial.clone(),
            total: outcome.total(),
            seconds: outcome.tally_by_second(),
            windows: outcome.windows(),
            aftermath: outcome.faults.iter().map(|fault| outcome.aftermath(fault)).collect(),
            herd_max: new_senders.iter().copied().fold(0.0, f64::max),
            herd_mean: new_senders.iter().sum::<f64>() / new_senders.len().max(1) as f64,
            idle_share: outcome.idle_share(),
            collapses: nodes.iter().map(|node| node.counts.collapses).sum(),
            stray_requests: nodes.iter().map(|node| node.counts.stray_requests).sum(),
            exited_directors: outcome.exited_directors,
            max_wake_delay: outcome.max_wake_delay,
            requests: nodes.iter().map(requests_by_second).collect(),
            coordination: outcome.coordination,
        }
    }

    /// Describes the calm windows whose load balance is outside the limits of the settings.
    fn uneven_windows(&self) -> Vec<String> {
        let describe = |window: &Evenness, node: &str, share: f64| {
            format!(
                "{:?} {node} got {share:.2} times its fair share in the window from {} s",
                window.tier, window.from
            )
        };
        let mut found = Vec::new();
        for window in self.windows.iter().filter(|window| window.calm) {
            if window.most > self.trial.most {
                found.push(describe(window, &window.most_at, window.most));
            }
            if window.least < self.trial.least {
                found.push(describe(window, &window.least_at, window.least));
            }
        }
        found
    }

    /// The requests by second of each node whose name starts with the prefix.
    fn curves(&self, prefix: &str) -> Vec<Vec<u64>> {
        let nodes = self.requests.iter().filter(|(name, _)| name.starts_with(prefix));
        nodes.map(|(_, requests)| requests.iter().map(|count| u64::from(*count)).collect()).collect()
    }

    fn write_lookups(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (total, trial) = (&self.total, &self.trial);
        writeln!(
            f,
            "{}: {} directors, {} caches, {} parents, seed {}",
            trial.name, trial.directors, trial.caches, trial.parents, trial.seed
        )?;
        writeln!(
            f,
            "lookups {}: satisfied {} ({} late), rejected {}, failed {}, excused {}, unanswered {}, unexpected {}",
            total.asked,
            total.satisfied,
            total.late,
            total.rejected,
            total.failed,
            total.excused,
            total.unanswered,
            total.unexpected
        )
    }

    fn write_windows(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "window     tier     load   highest ratio         lowest ratio of load to fair share")?;
        for window in &self.windows {
            writeln!(
                f,
                "{:>3} to {:>3} {:<8} {:>5.2}   {:>5.2} {:<12}    {:>5.2} {:<12} {}",
                window.from,
                window.from + EVENNESS_WINDOW_SECONDS,
                format!("{:?}", window.tier).to_lowercase(),
                window.load,
                window.most,
                window.most_at,
                window.least,
                window.least_at,
                if window.calm { "" } else { "fault" }
            )?;
        }
        Ok(())
    }

    fn write_aftermath(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for after in &self.aftermath {
            let again = after.even_after.map_or("not before the end".into(), |s| format!("after {s:.1} s"));
            writeln!(
                f,
                "{:>6.1} s {}: highest ratio of the other caches in the next second {:.2}; even {again}",
                after.at, after.what, after.next_second
            )?;
        }
        Ok(())
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let must_be_zero = [
            ("lookups without an answer", self.total.unanswered),
            ("answers without a matching lookup, or repeated answers", self.total.unexpected),
            ("cold nodes that collapsed", self.collapses),
            ("requests to nodes that had left, after the grace period", self.stray_requests),
            ("directors that exited by themselves", self.exited_directors as u64),
        ];
        let found = must_be_zero.iter().filter(|(_, count)| *count > 0);
        let mut violations: Vec<String> = found.map(|(what, count)| format!("{what}: {count}")).collect();
        violations.extend(self.uneven_windows());
        if let (Some(report), Some(settings)) = (&self.coordination, &self.trial.duties) {
            violations.extend(report.violations(settings));
        }
        let owed = (self.total.asked - self.total.excused).max(1);
        let share = self.total.satisfied as f64 / owed as f64;
        if share < self.trial.satisfied {
            violations.push(format!(
                "satisfied {share:.3} of the lookups that were not excused, at least {:.3} required",
                self.trial.satisfied
            ));
        }
        violations
    }

    fn title(&self) -> String {
        format!("{}: {} directors, {} lookups", self.trial.name, self.trial.directors, self.total.asked)
    }

    /// Charts of the requests at each cache and parent, and of the outcomes of lookups, by second.
    fn charts(&self) -> Vec<Chart> {
        let fields: [fn(&ClientTally) -> u64; 3] =
            [|tally| tally.asked, |tally| tally.satisfied, |tally| tally.rejected];
        let lookups = fields.map(|field| self.seconds.iter().map(field).collect()).to_vec();
        let chart = |name, curves| Chart { name, curves, limit_line: None };
        vec![
            chart("requests per second at each cache", self.curves("cache")),
            chart("requests per second at each parent", self.curves("parent")),
            chart("lookups per second: asked, satisfied, rejected", lookups),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_lookups(f)?;
        self.write_windows(f)?;
        self.write_aftermath(f)?;
        writeln!(
            f,
            "new senders of a cache in a second, as a share of all directors: maximum {:.2}, mean {:.2}; share of idle node seconds {:.4}",
            self.herd_max, self.herd_mean, self.idle_share
        )?;
        if self.max_wake_delay > BUSY_MACHINE_DELAY_SECONDS {
            writeln!(
                f,
                "the machine was too busy: this program was woken {:.2} s late",
                self.max_wake_delay
            )?;
        }
        if let Some(report) = &self.coordination {
            write!(f, "{report}")?;
        }
        for violation in self.violations() {
            writeln!(f, "NOT WELL {violation}")?;
        }
        Ok(())
    }
}
