//! The result of a scale trial: how long events took to be applied everywhere, the resource use of directors and
//! relays, and the effect of the faults.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::settings::ScaleTrial;
use crate::client_load::histogram;
use crate::trial_report::{Chart, TrialReport};

/// Largest relative difference between the bytes of simulated and real directors at which the simulated figures count.
const MAX_BYTES_DIFFERENCE: f64 = 0.1;
/// Largest relative difference between the CPU time or memory of simulated and real directors.
const MAX_USE_DIFFERENCE: f64 = 0.25;
/// If this program was woken later than this, the machine was too busy for the measured times to be judged.
const BUSY_MACHINE_DELAY_SECONDS: f64 = 0.5;

/// Latencies of some events, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// How many events.
    pub events: usize,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
    /// How many were applied everywhere later than allowed.
    pub late: usize,
}

impl Latency {
    /// Summarizes latencies in milliseconds. None of them counts as late.
    pub(crate) fn new(millis: &[f64]) -> Latency {
        if millis.is_empty() {
            return Latency::default();
        }
        let histogram = histogram(millis.iter().map(|ms| (ms * 1e3) as u64));
        let max = millis.iter().copied().fold(0.0, f64::max);
        let quantile = |q: f64| (histogram.value_at_quantile(q) as f64 / 1e3).min(max);
        Latency { events: millis.len(), p50: quantile(0.5), p99: quantile(0.99), max, late: 0 }
    }
}

/// The average resource use of one director.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DirectorUse {
    /// How many directors.
    #[serde(rename = "many")]
    pub count: usize,
    /// Bytes of payload received a second.
    #[serde(rename = "heard")]
    pub received: f64,
    /// Bytes of payload sent a second.
    #[serde(rename = "said")]
    pub sent: f64,
    /// The part of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub memory: f64,
}

impl DirectorUse {
    fn bytes(&self) -> f64 {
        self.received + self.sent
    }
}

/// The resource use of a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayUse {
    /// Its name.
    pub name: String,
    /// Whether the relay votes.
    pub voter: bool,
    /// The part of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub memory: f64,
    /// Bytes received a second from other relays.
    #[serde(rename = "heard")]
    pub received: f64,
    /// Bytes sent a second to other relays.
    #[serde(rename = "told")]
    pub sent: f64,
}

/// A fault, and until when events took more than a second to be applied everywhere because of the fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveryTime {
    /// The fault.
    pub what: String,
    /// When it began, in seconds from the start of the load.
    pub at: f64,
    /// How many seconds it lasted.
    pub lasted: f64,
    /// Seconds from its start until the last late event was applied everywhere; 0 if none was late.
    pub from_begin: f64,
    /// Seconds from its end until the last late event was applied everywhere; 0 if none was late, or if that was before
    /// its end.
    pub from_end: f64,
}

/// The result of a scale trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The settings.
    pub trial: ScaleTrial,
    /// Events that were queued for publication. The times from publication below count from then.
    pub published: usize,
    /// Of these, those that the leader of the relays or the source never confirmed.
    pub unconfirmed: usize,
    /// Failed attempts to publish an event. Each is followed by a retry until the trial gives up.
    #[serde(rename = "again")]
    pub publish_retries: usize,
    /// The time from publication to the confirmation by the leader of the relays or by the source.
    pub confirmed: Latency,
    /// The time from publication until an event was applied everywhere, for purges without a fault in the way.
    pub purges: Latency,
    /// The same time for changes of the list without a fault in the way.
    pub changes: Latency,
    /// The same time for purges with a fault in the way.
    #[serde(rename = "struck_purges")]
    pub purges_in_faults: Latency,
    /// The same time for changes of the list with a fault in the way.
    #[serde(rename = "struck_changes")]
    pub changes_in_faults: Latency,
    /// The time from publication until the relays report that an event is applied everywhere, for events without a fault
    /// in the way.
    #[serde(rename = "known")]
    pub known_by_relays: Latency,
    /// Events that the relays reported as applied everywhere before they were.
    #[serde(rename = "early")]
    pub reported_early: usize,
    /// Events that a director did not apply.
    pub missed: u64,
    /// Events that came out of order.
    #[serde(rename = "disorder")]
    pub out_of_order: u64,
    /// Events that were applied twice.
    #[serde(rename = "twice")]
    pub applied_twice: u64,
    /// Events that differ from the one that another director had, or that was published, under the same number.
    #[serde(rename = "differs")]
    pub different_events: u64,
    /// Events that a director did not apply, as a snapshot replaced them and need not contain them any more.
    #[serde(rename = "lapsed")]
    pub expired: u64,
    /// Endpoint lists that are not as they were published.
    pub wrong_lists: u64,
    /// New subscriptions of simulated directors because an event was missing or unreadable.
    pub gaps: u64,
    /// Events that simulated directors skipped as unreadable.
    pub skipped: u64,
    /// Restarts of directors.
    pub restarts: u64,
    /// The time from a director's restart until it had applied all that others had applied at the restart.
    pub catch_up: Latency,
    /// What a simulated director used.
    #[serde(rename = "hollow")]
    pub simulated: DirectorUse,
    /// What a real director used.
    pub real: DirectorUse,
    /// Bytes a second of a simulated director with packet headers and acknowledgements, by arithmetic.
    #[serde(rename = "with_heads")]
    pub bytes_with_headers: f64,
    /// Reads a second of a simulated director.
    pub reads: f64,
    /// Calls a second of a simulated director.
    pub calls: f64,
    /// What each relay used.
    #[serde(rename = "roles")]
    pub relays: Vec<RelayUse>,
    /// This program's part of a core; if no relay votes, it includes the source.
    pub own_cpu: f64,
    /// The faults, and how long they made events late.
    pub faults: Vec<RecoveryTime>,
    /// Processes of simulated directors that had not applied the last event in time.
    pub behind: usize,
    /// Real directors that had not applied the last event in time.
    pub reals_behind: usize,
    /// Events that real directors skipped as unreadable.
    #[serde(rename = "reals_gaps")]
    pub reals_skipped: u64,
    /// Processes of simulated directors that reported no result.
    pub silent: usize,
    /// Processes that exited by themselves.
    #[serde(rename = "ended")]
    pub exited: usize,
    /// The longest delay with which this program was woken, in seconds.
    #[serde(rename = "late")]
    pub max_wake_delay: f64,
    /// The longest time until applied everywhere, in milliseconds, by the second of publication.
    pub seconds: Vec<u64>,
}

/// The ratios of the figures of simulated directors to those of real directors.
struct SimulationRatios {
    bytes: f64,
    cpu: f64,
    memory: f64,
}

impl Report {
    /// The ratios of simulated to real figures; none if there are no real directors.
    fn simulation_ratios(&self) -> Option<SimulationRatios> {
        let (simulated, real) = (&self.simulated, &self.real);
        (real.count > 0).then(|| SimulationRatios {
            bytes: simulated.bytes() / real.bytes(),
            cpu: simulated.cpu / real.cpu,
            memory: simulated.memory / real.memory,
        })
    }

    /// The figures of simulated directors that differ too much from those of the real directors in the same trial.
    fn unusable_figures(&self) -> Vec<String> {
        let Some(ratios) = self.simulation_ratios() else { return Vec::new() };
        let figures = [("processor time", ratios.cpu), ("memory", ratios.memory)];
        let unusable = figures.into_iter().filter(|(_, ratio)| (ratio - 1.0).abs() > MAX_USE_DIFFERENCE);
        unusable.map(|(what, ratio)| format!("{what}: {ratio:.2} times that of a real director")).collect()
    }

    /// Counters that must be 0 and are not.
    fn counted_violations(&self) -> Vec<String> {
        let must_be_zero = [
            ("events missed", self.missed),
            ("events out of order", self.out_of_order),
            ("events applied twice", self.applied_twice),
            ("event numbers under which directors had different events", self.different_events),
            ("lists that are not as they were published", self.wrong_lists),
            ("events skipped as unreadable", self.skipped + self.reals_skipped),
            ("events that the source never confirmed", self.unconfirmed as u64),
            ("events that the relays reported as applied everywhere too early", self.reported_early as u64),
            ("processes whose directors had not applied the last event in time", self.behind as u64),
            ("real directors that had not applied the last event in time", self.reals_behind as u64),
            ("processes that reported no result", self.silent as u64),
            ("processes that exited by themselves", self.exited as u64),
        ];
        let found = must_be_zero.iter().filter(|(_, count)| *count > 0);
        found.map(|(what, count)| format!("{what}: {count}")).collect()
    }

    fn late_events(&self) -> Vec<String> {
        let (purge_within, change_within) = (self.trial.purge_within, self.trial.change_within);
        let bounds = [
            ("purges", &self.purges, purge_within),
            ("changes", &self.changes, change_within),
            ("purges with a fault in the way", &self.purges_in_faults, purge_within),
            ("changes with a fault in the way", &self.changes_in_faults, change_within),
        ];
        let late = bounds.iter().filter(|(_, latency, _)| latency.late > 0);
        late.map(|(what, latency, within)| {
            format!("{what} applied everywhere later than {within} s: {}", latency.late)
        })
        .collect()
    }

    /// Resource use beyond the bounds of the settings.
    fn excessive_uses(&self) -> Vec<String> {
        let settings = &self.trial;
        // Bytes that are sent again after a fault, or in a burst, are not part of the steady load.
        let is_steady = settings.faults.is_empty();
        let mut bounds = Vec::new();
        for (kind, used) in [("simulated", &self.simulated), ("real", &self.real)] {
            bounds.push((format!("part of a core of a {kind} director"), used.cpu, settings.core));
            bounds.push((format!("MB of a {kind} director"), used.memory, settings.memory_mb));
            if is_steady {
                bounds.push((format!("bytes a second of a {kind} director"), used.bytes(), settings.bytes));
            }
        }
        if is_steady {
            let what = "bytes a second of a simulated director with headers and acknowledgements";
            bounds.push((what.into(), self.bytes_with_headers, settings.bytes));
        }
        for relay in &self.relays {
            bounds.push((format!("part of a core of {}", relay.name), relay.cpu, settings.relay_core));
        }
        let exceeded = bounds.into_iter().filter(|(_, used, max)| used > max);
        exceeded.map(|(what, used, max)| format!("{what}: {used:.4}, limit {max}")).collect()
    }

    fn write_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "published {}: {} of them never confirmed, {} calls retried",
            self.published, self.unconfirmed, self.publish_retries
        )?;
        writeln!(f, "from publication to applied everywhere")?;
        let latencies = [
            ("confirmed", &self.confirmed),
            ("purges", &self.purges),
            ("changes", &self.changes),
            ("purges, fault", &self.purges_in_faults),
            ("changes, fault", &self.changes_in_faults),
            ("known by relays", &self.known_by_relays),
            ("restart", &self.catch_up),
        ];
        for (what, latency) in latencies.iter().filter(|(_, latency)| latency.events > 0) {
            writeln!(f, "  {what:<15} {latency}")?;
        }
        writeln!(
            f,
            "events missed {}, out of order {}, applied twice {}; expired {}; gaps {}, skipped as unreadable {}",
            self.missed, self.out_of_order, self.applied_twice, self.expired, self.gaps, self.skipped
        )
    }

    fn write_uses(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "a director          bytes/s received   sent   part of a core       MB")?;
        for (kind, used) in [("simulated", &self.simulated), ("real", &self.real)] {
            writeln!(
                f,
                "  {kind:<9} {:>5}          {:>7.0} {:>6.0}          {:>7.4}  {:>7.2}",
                used.count, used.received, used.sent, used.cpu, used.memory
            )?;
        }
        writeln!(
            f,
            "  with headers and acknowledgements {:.0} bytes/s, computed from {:.2} reads and {:.2} calls a second",
            self.bytes_with_headers, self.reads, self.calls
        )?;
        for relay in &self.relays {
            writeln!(
                f,
                "  {:<9} {:<6} part of a core {:>6.3}  {:>6.1} MB  with other relays: received {:>8.0}, sent {:>8.0} bytes/s",
                relay.name,
                if relay.voter { "votes" } else { "plain" },
                relay.cpu,
                relay.memory,
                relay.received,
                relay.sent
            )?;
        }
        writeln!(
            f,
            "this program {:.3} of a core, woken {:.2} s late at most",
            self.own_cpu, self.max_wake_delay
        )?;
        if self.max_wake_delay > BUSY_MACHINE_DELAY_SECONDS {
            writeln!(f, "the machine was too busy for the times to be judged")?;
        }
        Ok(())
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let mut violations = self.counted_violations();
        violations.extend(self.late_events());
        // If the bytes differ, the simulated directors did not have the load of real ones. With faults the bytes are
        // not compared, as some faults affect only simulated directors.
        if self.trial.faults.is_empty()
            && let Some(SimulationRatios { bytes, .. }) = self.simulation_ratios()
            && (bytes - 1.0).abs() > MAX_BYTES_DIFFERENCE
        {
            let ratio = format!("{bytes:.2} times those of a real director");
            violations.push(format!("simulated figures not usable: bytes a second: {ratio}"));
        }
        violations.extend(self.excessive_uses());
        violations
    }

    fn title(&self) -> String {
        format!("{}: {} directors, {} events", self.trial.name, self.trial.hollow, self.published)
    }

    fn charts(&self) -> Vec<Chart> {
        let name = "longest ms to applied everywhere, by the second of publication (line: bound of purges)";
        let line = Some((1e3 * self.trial.purge_within) as u64);
        vec![Chart { name, curves: vec![self.seconds.clone()], limit_line: line }]
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} events  p50 {:>8.1} ms  p99 {:>8.1} ms  most {:>8.1} ms",
            self.events, self.p50, self.p99, self.max
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let settings = &self.trial;
        let tier = match settings.relays {
            0 => "one source, no relays".into(),
            relays => format!("{relays} relays, {} of them vote", settings.voters),
        };
        writeln!(
            f,
            "{}: {} simulated and {} real directors, {tier}, {} nodes, seed {}, {} s",
            settings.name, settings.hollow, settings.real, settings.nodes, settings.seed, settings.seconds
        )?;
        self.write_latencies(f)?;
        self.write_uses(f)?;
        for fault in &self.faults {
            writeln!(
                f,
                "{:>6.1} s {} for {:.1} s: events over a second late until {:.1} s after its start, {:.1} s after its end",
                fault.at, fault.what, fault.lasted, fault.from_begin, fault.from_end
            )?;
        }
        for figure in self.unusable_figures() {
            writeln!(f, "simulated figure not usable, the figure of the real directors applies: {figure}")?;
        }
        for violation in self.violations() {
            writeln!(f, "NOT WELL {violation}")?;
        }
        Ok(())
    }
}
