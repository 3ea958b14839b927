//! The coordination figures of a trial: whether a request of a former holder was accepted, how long takeovers of roles
//! took, and how regular the health checks of nodes were.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;

use sablecross_coordination::Member;
use sablecross_coordination::messages::RoleId;
use serde::{Deserialize, Serialize};

use super::coordination_watch::{HierarchyEvent, HolderFault, LeaseStart, hierarchy_events};
use super::node::{HealthCheck, RequestAfterRestart, Seconds};
use super::report::FaultWindow;
use super::settings::CoordinationTrial;

/// Gaps and bursts of health checks at a node are excused until this long after a fault of the node.
const EXCUSED_AFTER_SECONDS: f64 = 1.0;
/// The length of each period after a cache's restart over which hits are counted.
const AFTER_RESTART_SPAN_SECONDS: f64 = 5.0;

/// The coordination figures of a trial.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CoordinationReport {
    /// Health checks that arrived at nodes.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Health checks that nodes rejected because they came from a former holder.
    pub refused: u64,
    /// Messages of former holders that voters rejected, since each voter's last start.
    pub refused_by_voters: u64,
    /// Stale assignments that voters ignored, since each voter's last start. Other members are not asked.
    #[serde(rename = "passed_over")]
    pub stale_assignments: u64,
    /// Health checks that a node accepted although it had already accepted a newer token.
    #[serde(rename = "disorder")]
    pub stale_accepted: u64,
    /// Terms for which one node accepted health checks of two holders, summed over the nodes.
    #[serde(rename = "twins")]
    pub shared_tokens: u64,
    /// Terms with two holders, which occur if a majority of the voters does not know that the term was granted before.
    #[serde(rename = "same_term")]
    pub reused_terms: u64,
    /// Leases that were acquired.
    #[serde(rename = "owners")]
    pub leases: u64,
    /// Seconds from the fault of a holder until another member held the role: median, 99th percentile, maximum.
    pub takeover: [f64; 3],
    /// Faults injected into holders.
    #[serde(rename = "blows")]
    pub holder_faults: usize,
    /// Faults of holders after which no other member acquired the role before the next fault of a holder of that role,
    /// or before the end of the load.
    #[serde(rename = "unanswered")]
    pub without_takeover: usize,
    /// The longest gap between two accepted health checks of a node, in seconds, without gaps that a fault of the node
    /// excuses.
    pub gap: f64,
    /// The node with the longest gap.
    pub gap_at: String,
    /// The highest number of health checks of one node within a second, without bursts that a fault of the node
    /// excuses.
    pub burst: u32,
    /// The ratio of `burst` to the configured rate.
    pub burst_times: f64,
    /// Health checks per node and second, on average.
    pub rate: f64,
    /// Bytes per second between one member and all voters, in both directions, on average.
    pub bytes: f64,
    /// The CPU use of one director on average, in seconds per second.
    pub cpu: f64,
    /// Proposals of a changed hierarchy that a holder of the hierarchy role accepted.
    #[serde(rename = "wished")]
    pub changes_proposed: u64,
    /// Changes that were started.
    #[serde(rename = "changes")]
    pub changes_begun: u64,
    /// Changes that ended.
    #[serde(rename = "changed")]
    pub changes_ended: u64,
    /// How often a member replaced its version with an older one without a restart in between.
    #[serde(rename = "back")]
    pub regressions: u64,
    /// The largest difference between the version numbers of two members at the same time.
    #[serde(rename = "apart")]
    pub max_version_difference: u64,
    /// The newest version that a member applied.
    pub version: u64,
    /// Accepted cache warming requests.
    #[serde(rename = "warmed")]
    pub warming_requests: u64,
    /// Cache warming requests of former holders, which nodes rejected.
    #[serde(rename = "warm_refused")]
    pub warming_refused: u64,
    /// Hits and all requests at restarted caches, in the first five seconds after the restart and in the next five.
    #[serde(rename = "fresh")]
    pub hits_after_restart: [(u64, u64); 2],
}

/// The observed health checks, faults and leases of a trial. Times count from the start of the load.
pub(crate) struct Observations<'a> {
    pub(crate) settings: &'a CoordinationTrial,
    /// The duration of the load.
    pub(crate) seconds: Seconds,
    pub(crate) warm_up: Seconds,
    /// Health checks by node.
    pub(crate) health_checks: &'a BTreeMap<String, Vec<HealthCheck>>,
    pub(crate) faults: &'a [FaultWindow],
    pub(crate) holder_faults: &'a [HolderFault],
    pub(crate) leases: &'a [LeaseStart],
}

impl Observations<'_> {
    /// Whether a fault of the node excuses gaps and bursts in this period.
    fn excuses(&self, node: &str, from: Seconds, to: Seconds) -> bool {
        self.faults.iter().any(|fault| {
            fault.nodes.iter().any(|name| name == node)
                && fault.from < to
                && fault.to + EXCUSED_AFTER_SECONDS > from
        })
    }

    /// The configured number of health checks per node and second, but at least 1.
    fn usual_rate(&self) -> f64 {
        (1_000.0 / self.settings.probe_ms as f64).max(1.0)
    }
}

impl CoordinationReport {
    pub(crate) fn new(observations: &Observations) -> CoordinationReport {
        let mut report = CoordinationReport {
            holder_faults: observations.holder_faults.len(),
            ..CoordinationReport::default()
        };
        for (node, checks) in observations.health_checks {
            report.add_tokens(checks);
            report.add_gaps(observations, node, checks);
            report.add_bursts(observations, node, checks);
        }
        report.burst_times = f64::from(report.burst) / observations.usual_rate();
        let nodes = observations.health_checks.len().max(1) as f64;
        report.rate = report.health_checks as f64 / nodes / observations.seconds.max(1.0);
        report.add_leases(observations);
        report.add_takeovers(observations);
        report
    }

    /// Adds the figures on the fencing tokens of one node's health checks.
    fn add_tokens(&mut self, checks: &[HealthCheck]) {
        self.health_checks += checks.len() as u64;
        let mut newest_term = 0;
        let mut holders: BTreeMap<u64, BTreeSet<Member>> = BTreeMap::new();
        for check in checks {
            if !check.is_admitted {
                self.refused += 1;
                continue;
            }
            self.stale_accepted += u64::from(check.token.term < newest_term);
            newest_term = newest_term.max(check.token.term);
            holders.entry(check.token.term).or_default().insert(check.token.holder);
        }
        self.shared_tokens += holders.values().filter(|holders| holders.len() > 1).count() as u64;
    }

    /// Updates the longest gap with the accepted health checks of one node.
    fn add_gaps(&mut self, observations: &Observations, node: &str, checks: &[HealthCheck]) {
        let times = checks.iter().filter(|check| check.is_admitted).map(|check| check.at);
        let mut last = observations.warm_up;
        for at in times.filter(|at| *at >= observations.warm_up).chain([observations.seconds]) {
            if at - last > self.gap && !observations.excuses(node, last, at) {
                (self.gap, self.gap_at) = (at - last, node.to_owned());
            }
            last = at;
        }
    }

    /// Updates the largest burst with the health checks of one node.
    fn add_bursts(&mut self, observations: &Observations, node: &str, checks: &[HealthCheck]) {
        let times: Vec<Seconds> =
            checks.iter().map(|check| check.at).filter(|at| *at >= observations.warm_up).collect();
        for (i, at) in times.iter().enumerate() {
            let in_second = times[i..].iter().take_while(|later| **later < at + 1.0).count() as u32;
            // Health checks that were delayed by a fault arrive all at once when the fault ends.
            if in_second > self.burst && !observations.excuses(node, *at, at + 1.0) {
                self.burst = in_second;
            }
        }
    }

    fn add_leases(&mut self, observations: &Observations) {
        let mut holders: BTreeMap<(RoleId, u64), BTreeSet<usize>> = BTreeMap::new();
        for lease in observations.leases {
            holders.entry((lease.role, lease.term)).or_default().insert(lease.member);
        }
        self.reused_terms = holders.values().filter(|members| members.len() > 1).count() as u64;
        self.leases = observations.leases.len() as u64;
    }

    /// Adds the times from the fault of each holder until another member held the role.
    fn add_takeovers(&mut self, observations: &Observations) {
        let mut times = Vec::new();
        for (i, fault) in observations.holder_faults.iter().enumerate() {
            let next = observations.holder_faults[i + 1..].iter().find(|later| later.role == fault.role);
            let next_at = next.map_or(observations.seconds, |next| next.at);
            let by_others = observations.leases.iter().filter(|lease| {
                lease.role == fault.role
                    && lease.member != fault.member
                    && lease.at > fault.at
                    && lease.at < next_at
            });
            match by_others.map(|lease| lease.at - fault.at).min_by(f64::total_cmp) {
                Some(time) => times.push(time),
                None => self.without_takeover += 1,
            }
        }
        times.sort_by(f64::total_cmp);
        if let Some(last) = times.len().checked_sub(1) {
            self.takeover = [times[last / 2], times[last * 99 / 100], times[last]];
        }
    }

    /// Adds the hierarchy figures from the directors' logs.
    pub(crate) fn add_versions(&mut self, logs: &[&Path]) {
        // Time, member, and the version that the member applied at that time; 0 means none.
        let mut applied: Vec<(u64, usize, u64)> = Vec::new();
        for (member, log) in logs.iter().enumerate() {
            for (at, event) in hierarchy_events(log) {
                match event {
                    HierarchyEvent::Started => applied.push((at, member, 0)),
                    HierarchyEvent::Applied { version } => applied.push((at, member, version)),
                    HierarchyEvent::ChangeBegun => self.changes_begun += 1,
                    HierarchyEvent::ChangeEnded => self.changes_ended += 1,
                }
            }
        }
        applied.sort_unstable();
        let mut versions: BTreeMap<usize, u64> = BTreeMap::new();
        for (_, member, version) in applied {
            let before = versions.insert(member, version).unwrap_or(0);
            self.regressions += u64::from(version > 0 && version < before);
            self.version = self.version.max(version);
            let known = versions.values().filter(|version| **version > 0);
            let (oldest, newest) = (known.clone().min(), known.max());
            let difference = newest.zip(oldest).map_or(0, |(newest, oldest)| newest - oldest);
            self.max_version_difference = self.max_version_difference.max(difference);
        }
    }

    /// Adds the requests at a cache that was restarted at `restarted_at`.
    pub(crate) fn add_after_restart(&mut self, restarted_at: Seconds, requests: &[RequestAfterRestart]) {
        for request in requests {
            let span = ((request.at - restarted_at) / AFTER_RESTART_SPAN_SECONDS) as usize;
            if let Some((hits, all)) = self.hits_after_restart.get_mut(span) {
                *hits += u64::from(request.is_hit);
                *all += 1;
            }
        }
    }

    pub(crate) fn violations(&self, settings: &CoordinationTrial) -> Vec<String> {
        let must_be_zero = [
            ("health checks of a former holder that were accepted", self.stale_accepted),
            ("fencing tokens with two accepted holders", self.shared_tokens),
            ("hierarchy versions that a member replaced with an older one", self.regressions),
            (
                "members whose hierarchy versions differed by more than one",
                u64::from(self.max_version_difference > 1),
            ),
            ("coordination: no health check arrived at any node", u64::from(self.health_checks == 0)),
        ];
        let found = must_be_zero.iter().filter(|(_, count)| *count > 0);
        let mut violations: Vec<String> = found.map(|(what, count)| format!("{what}: {count}")).collect();
        if self.gap > settings.gap_s {
            violations.push(format!(
                "{} got no health check for {:.1} s, limit {:.1} s",
                self.gap_at, self.gap, settings.gap_s
            ));
        }
        if self.burst_times > settings.burst {
            violations.push(format!(
                "health checks of a node reached {:.1} times the configured rate, limit {:.1}",
                self.burst_times, settings.burst
            ));
        }
        violations
    }

    fn write_health_checks(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "coordination: {} health checks, {:.2} per node and second, {} of former holders refused, {} accepted; {} tokens with two \
             holders; {} messages of former holders refused by voters, {} older assignments ignored",
            self.health_checks,
            self.rate,
            self.refused,
            self.stale_accepted,
            self.shared_tokens,
            self.refused_by_voters,
            self.stale_assignments
        )?;
        writeln!(
            f,
            "longest gap between health checks of a node {:.2} s, maximum in a second {} ({:.1} times the configured rate)",
            self.gap, self.burst, self.burst_times
        )
    }

    fn write_leases(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [median, p99, longest] = self.takeover;
        writeln!(
            f,
            "leases {} ({} terms with two holders); {} faults of holders: another member held the role after {median:.2} s in the \
             median, {p99:.2} s at the 99th percentile, {longest:.2} s at most; after {} of them no other member held it",
            self.leases, self.reused_terms, self.holder_faults, self.without_takeover
        )
    }

    fn write_warming(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [(early_hits, early), (late_hits, late)] = self.hits_after_restart;
        let share = |hits: u64, all: u64| hits as f64 / all.max(1) as f64;
        writeln!(
            f,
            "restarted caches: {:.3} of {early} requests found a copy in 5 s, {:.3} of {late} in the next 5; {} objects fetched to \
             warm them, {} of former holders refused",
            share(early_hits, early),
            share(late_hits, late),
            self.warming_requests,
            self.warming_refused
        )
    }

    fn write_hierarchy(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "hierarchy: {} changes proposed, {} begun, {} ended, version {}; members {} versions apart at most, {} times a member returned to an older version",
            self.changes_proposed,
            self.changes_begun,
            self.changes_ended,
            self.version,
            self.max_version_difference,
            self.regressions
        )
    }
}

impl fmt::Display for CoordinationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_health_checks(f)?;
        self.write_leases(f)?;
        if self.hits_after_restart[0].1 > 0 {
            self.write_warming(f)?;
        }
        if self.changes_proposed > 0 {
            self.write_hierarchy(f)?;
        }
        writeln!(
            f,
            "between a member and the voters {:.0} bytes per second; CPU of a director {:.4} seconds per second",
            self.bytes, self.cpu
        )
    }
}
