//! Computes the report of a scale trial from its counters and samples.

use std::collections::{BTreeMap, BTreeSet};

use super::pool_messages::{EventArrival, Finished, PoolProgress};
use super::report::{DirectorUse, Latency, RecoveryTime, RelayUse, Report};
use super::settings::ScaleTrial;
use super::source::LoadEvent;

/// Bytes of packet headers for each read: a data packet and its acknowledgement, with 66 bytes each.
const HEADER_BYTES_PER_READ: f64 = 132.0;
/// Bytes of packet headers for each call beyond those of its reads: nine packets with 66 bytes each.
const HEADER_BYTES_PER_CALL: f64 = 594.0;
const NS_PER_MS: f64 = 1e6;
const NS_PER_SECOND: f64 = 1e9;
/// An event that takes longer than this to be applied everywhere counts towards the recovery time of a fault.
const LATE_NS: u64 = 1_000_000_000;
/// Largest expected difference between the wall clock, which is read in whole milliseconds, and the shared clock.
const CLOCK_TOLERANCE_NS: u64 = 5_000_000;

/// When a fault was in force, by the shared clock.
#[derive(Clone, Debug)]
pub(crate) struct FaultWindow {
    pub(crate) what: String,
    /// The index of the fault in the settings.
    pub(crate) number: usize,
    pub(crate) from_ns: u64,
    pub(crate) to_ns: u64,
}

/// CPU time and memory of a process up to a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUse {
    pub(crate) cpu_seconds: f64,
    pub(crate) memory_mb: f64,
}

/// Bytes that a relay exchanged with other relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayBytes {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// The resource use of all processes at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// When the sample was taken, by the shared clock.
    pub(crate) at_ns: u64,
    /// The progress of each process of simulated directors.
    pub(crate) progress: Vec<PoolProgress>,
    pub(crate) simulated: Vec<ProcessUse>,
    pub(crate) real: Vec<ProcessUse>,
    /// Bytes that all real directors sent and received.
    pub(crate) real_bytes: [u64; 2],
    pub(crate) relays: Vec<ProcessUse>,
    pub(crate) relay_bytes: Vec<RelayBytes>,
    /// CPU time of this program, which is also the source if no relay votes.
    pub(crate) own_cpu_seconds: f64,
}

/// An event number, and when it was applied everywhere according to the relays, by the shared clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedNumber {
    pub(crate) number: u64,
    pub(crate) since_ns: u64,
}

/// Counters of the whole trial.
pub(crate) struct Counts {
    /// When the load started, by the shared clock.
    pub(crate) start_ns: u64,
    /// The event with content `n` is at index `n - 1`.
    pub(crate) load_events: Vec<LoadEvent>,
    pub(crate) publish_retries: usize,
    pub(crate) progress: Vec<PoolProgress>,
    pub(crate) finished: Vec<Finished>,
    /// Processes that reported no result.
    pub(crate) silent: usize,
    /// Processes whose directors had not applied the last event in time.
    pub(crate) behind: usize,
    pub(crate) reals_behind: usize,
    pub(crate) reals_skipped: u64,
    pub(crate) exited: usize,
    pub(crate) max_wake_delay: f64,
    /// What the relays report, by rising numbers.
    pub(crate) reported: Vec<ReportedNumber>,
}

/// The input from which the report is computed.
pub(crate) struct Evaluation<'a> {
    pub(crate) settings: &'a ScaleTrial,
    pub(crate) counts: &'a Counts,
    /// The sample at the end of the warm-up.
    pub(crate) first: &'a Sample,
    /// The sample at the end of the load.
    pub(crate) last: &'a Sample,
    /// The names of the relays.
    pub(crate) relays: &'a [String],
    pub(crate) faults: &'a [FaultWindow],
}

/// The arrivals of all processes, merged by event number.
struct Arrivals {
    by_number: BTreeMap<u64, EventArrival>,
    /// Events whose content differs between directors, or from the published one.
    different: u64,
    /// Events that arrived under two numbers.
    duplicated: u64,
}

impl Arrivals {
    fn new(counts: &Counts) -> Arrivals {
        let mut by_number: BTreeMap<u64, EventArrival> = BTreeMap::new();
        let mut different = counts.finished.iter().map(|finished| finished.different_events).sum();
        for arrival in counts.finished.iter().flat_map(|finished| &finished.arrivals) {
            let merged =
                by_number.entry(arrival.number).or_insert(EventArrival { count: 0, last_ns: 0, ..*arrival });
            different += u64::from(merged.content.zip(arrival.content).is_some_and(|(a, b)| a != b));
            merged.content = merged.content.or(arrival.content);
            merged.count += arrival.count;
            merged.last_ns = merged.last_ns.max(arrival.last_ns);
        }
        let contents: Vec<u32> =
            by_number.values().filter_map(|arrival| arrival.content).filter(|content| *content > 0).collect();
        // A content under two numbers counts as applied twice, even if no single director applied it twice.
        let duplicated = (contents.len() - contents.iter().collect::<BTreeSet<_>>().len()) as u64;
        let mut arrivals = Arrivals { by_number, different, duplicated };
        arrivals.different += arrivals.wrong_contents(&counts.load_events);
        arrivals
    }

    /// Counts the published events under whose number another event arrived.
    fn wrong_contents(&self, load_events: &[LoadEvent]) -> u64 {
        let is_wrong = |(place, event): &(usize, &LoadEvent)| {
            let content = event.number.and_then(|number| self.by_number.get(&number)?.content);
            content.is_some_and(|content| content as usize != place + 1)
        };
        load_events.iter().enumerate().filter(is_wrong).count() as u64
    }

    /// When an event was applied everywhere; none if it was not confirmed or has no timed arrival.
    fn applied_everywhere(&self, event: &LoadEvent) -> Option<u64> {
        let arrival = self.by_number.get(&event.number?)?;
        Some(arrival.last_ns).filter(|at| *at > 0)
    }
}

/// Latencies of the events of one kind.
#[derive(Default)]
struct EventLatencies {
    millis: Vec<f64>,
    late: usize,
}

impl EventLatencies {
    fn latency(&self) -> Latency {
        Latency { late: self.late, ..Latency::new(&self.millis) }
    }
}

/// Latencies of all events.
struct Latencies {
    purges: EventLatencies,
    changes: EventLatencies,
    purges_in_faults: EventLatencies,
    changes_in_faults: EventLatencies,
    known_by_relays: Vec<f64>,
    reported_early: usize,
    /// The longest latency for each second of publication, in milliseconds.
    seconds: Vec<u64>,
}

impl Evaluation<'_> {
    pub(crate) fn report(&self) -> Report {
        let counts = self.counts;
        let sum = |field: fn(&Finished) -> u64| counts.finished.iter().map(field).sum::<u64>();
        let progress_sum = |field: fn(&PoolProgress) -> u64| counts.progress.iter().map(field).sum::<u64>();
        let arrivals = Arrivals::new(counts);
        let latencies = self.latencies(&arrivals);
        let simulated = self.simulated_use();
        let (reads, calls) = (
            self.rate_of_simulated(|progress| progress.reads),
            self.rate_of_simulated(|progress| progress.calls),
        );
        let headers = HEADER_BYTES_PER_READ * reads + HEADER_BYTES_PER_CALL * calls;
        let catch_up: Vec<f64> =
            counts.finished.iter().flat_map(|finished| &finished.catch_up).map(|ms| *ms as f64).collect();
        Report {
            trial: self.settings.clone(),
            published: counts.load_events.len(),
            unconfirmed: counts.load_events.iter().filter(|event| event.number.is_none()).count(),
            publish_retries: counts.publish_retries,
            confirmed: self.confirmation_latency(),
            purges: latencies.purges.latency(),
            changes: latencies.changes.latency(),
            purges_in_faults: latencies.purges_in_faults.latency(),
            changes_in_faults: latencies.changes_in_faults.latency(),
            known_by_relays: Latency::new(&latencies.known_by_relays),
            reported_early: latencies.reported_early,
            missed: sum(|finished| finished.missed),
            out_of_order: sum(|finished| finished.out_of_order),
            applied_twice: sum(|finished| finished.applied_twice) + arrivals.duplicated,
            different_events: arrivals.different,
            expired: sum(|finished| finished.expired),
            wrong_lists: sum(|finished| finished.wrong_lists),
            gaps: progress_sum(|progress| progress.gaps),
            skipped: progress_sum(|progress| progress.skipped),
            restarts: sum(|finished| finished.restarts),
            catch_up: Latency::new(&catch_up),
            bytes_with_headers: simulated.received + simulated.sent + headers,
            reads,
            calls,
            simulated,
            real: self.real_use(),
            relays: self.relay_uses(),
            own_cpu: (self.last.own_cpu_seconds - self.first.own_cpu_seconds) / self.measured_seconds(),
            faults: self.recovery_times(&arrivals),
            behind: counts.behind,
            reals_behind: counts.reals_behind,
            reals_skipped: counts.reals_skipped,
            silent: counts.silent,
            exited: counts.exited,
            max_wake_delay: counts.max_wake_delay,
            seconds: latencies.seconds,
        }
    }

    /// Seconds from the first sample to the last.
    fn measured_seconds(&self) -> f64 {
        ((self.last.at_ns - self.first.at_ns) as f64 / NS_PER_SECOND).max(1e-3)
    }

    /// For each fault, when all events queued before its end were applied everywhere.
    fn recovered_at(&self, arrivals: &Arrivals) -> Vec<u64> {
        let recovered_at = |fault: &FaultWindow| {
            let before = self.counts.load_events.iter().filter(|event| event.queued_ns <= fault.to_ns);
            let applied = before.filter_map(|event| arrivals.applied_everywhere(event));
            applied.filter(|at| *at >= fault.from_ns).max().unwrap_or(fault.to_ns).max(fault.to_ns)
        };
        self.faults.iter().map(recovered_at).collect()
    }

    /// The end times of the faults that overlap with the delivery of an event and excuse its lateness.
    fn faults_in_way(&self, event: &LoadEvent, applied_at: u64, recovered_at: &[u64]) -> Vec<u64> {
        let faults = self.faults.iter().zip(recovered_at);
        faults
            .filter(|(fault, _)| self.settings.faults[fault.number].kind.excuses_lateness())
            .filter(|(fault, recovered_at)| event.queued_ns <= **recovered_at && applied_at >= fault.from_ns)
            .map(|(fault, _)| fault.to_ns)
            .collect()
    }

    fn latencies(&self, arrivals: &Arrivals) -> Latencies {
        let recovered_at = self.recovered_at(arrivals);
        let mut all = Latencies {
            purges: EventLatencies::default(),
            changes: EventLatencies::default(),
            purges_in_faults: EventLatencies::default(),
            changes_in_faults: EventLatencies::default(),
            known_by_relays: Vec::new(),
            reported_early: 0,
            seconds: vec![0; self.settings.seconds as usize],
        };
        for event in &self.counts.load_events {
            let Some(applied_at) = arrivals.applied_everywhere(event) else { continue };
            let ends = self.faults_in_way(event, applied_at, &recovered_at);
            let millis = applied_at.saturating_sub(event.queued_ns) as f64 / NS_PER_MS;
            let kind = match (ends.is_empty(), event.is_change) {
                (true, false) => &mut all.purges,
                (true, true) => &mut all.changes,
                (false, false) => &mut all.purges_in_faults,
                (false, true) => &mut all.changes_in_faults,
            };
            kind.millis.push(millis);
            kind.late += usize::from(self.is_late(event, applied_at, &ends));
            if ends.is_empty() {
                self.add_reported(&mut all, event, applied_at);
            }
            let second =
                (event.queued_ns.saturating_sub(self.counts.start_ns) as f64 / NS_PER_SECOND) as usize;
            if let Some(longest) = all.seconds.get_mut(second) {
                *longest = millis.max(*longest as f64) as u64;
            }
        }
        all
    }

    /// Whether an event took longer than the settings allow, counted from when it was queued for publication or, if
    /// later, from the end of the last fault in its way.
    fn is_late(&self, event: &LoadEvent, applied_at: u64, fault_ends: &[u64]) -> bool {
        let settings = self.settings;
        let within_ms = 1e3 * if event.is_change { settings.change_within } else { settings.purge_within };
        let since = fault_ends.iter().copied().fold(event.queued_ns, u64::max);
        applied_at.saturating_sub(since) as f64 / NS_PER_MS > within_ms
    }

    /// Records when the relays reported that an event was applied everywhere, and whether that was too early.
    fn add_reported(&self, all: &mut Latencies, event: &LoadEvent, applied_at: u64) {
        let reported = &self.counts.reported;
        // A leader reports only numbers that were applied everywhere after it became the leader.
        if reported.first().is_none_or(|first| first.since_ns > event.queued_ns) {
            return;
        }
        let place = reported.partition_point(|reported| Some(reported.number) < event.number);
        if let Some(ReportedNumber { since_ns, .. }) = reported.get(place) {
            all.known_by_relays.push(since_ns.saturating_sub(event.queued_ns) as f64 / NS_PER_MS);
            all.reported_early += usize::from(since_ns + CLOCK_TOLERANCE_NS < applied_at);
        }
    }

    fn confirmation_latency(&self) -> Latency {
        let confirmed = self.counts.load_events.iter().filter(|event| event.number.is_some());
        let millis: Vec<f64> = confirmed
            .map(|event| event.confirmed_ns.saturating_sub(event.queued_ns) as f64 / NS_PER_MS)
            .collect();
        Latency::new(&millis)
    }

    fn recovery_times(&self, arrivals: &Arrivals) -> Vec<RecoveryTime> {
        let recovered_at = self.recovered_at(arrivals);
        let recovery_time = |(fault, recovered_at): (&FaultWindow, &u64)| {
            let before = self.counts.load_events.iter().filter(|event| event.queued_ns <= *recovered_at);
            let applied =
                before.filter_map(|event| Some((event.queued_ns, arrivals.applied_everywhere(event)?)));
            let late =
                applied.filter(|(at, applied_at)| *applied_at >= fault.from_ns && applied_at - at > LATE_NS);
            let last = late.map(|(_, applied_at)| applied_at).max();
            let seconds_since =
                |from: u64| last.map_or(0.0, |last| last.saturating_sub(from) as f64 / NS_PER_SECOND);
            RecoveryTime {
                what: fault.what.clone(),
                at: fault.from_ns.saturating_sub(self.counts.start_ns) as f64 / NS_PER_SECOND,
                lasted: (fault.to_ns - fault.from_ns) as f64 / NS_PER_SECOND,
                from_begin: seconds_since(fault.from_ns),
                from_end: seconds_since(fault.to_ns),
            }
        };
        self.faults.iter().zip(&recovered_at).map(recovery_time).collect()
    }

    /// The rate of a counter for each simulated director and second.
    fn rate_of_simulated(&self, field: fn(&PoolProgress) -> u64) -> f64 {
        let sum = |sample: &Sample| sample.progress.iter().map(field).sum::<u64>();
        (sum(self.last) - sum(self.first)) as f64 / self.director_seconds(self.settings.hollow)
    }

    /// The measured time multiplied by the number of directors.
    fn director_seconds(&self, directors: usize) -> f64 {
        directors.max(1) as f64 * self.measured_seconds()
    }

    /// The CPU time of these processes between the samples.
    fn cpu_seconds(&self, processes: fn(&Sample) -> &[ProcessUse]) -> f64 {
        let sum = |sample| processes(sample).iter().map(|process| process.cpu_seconds).sum::<f64>();
        sum(self.last) - sum(self.first)
    }

    fn simulated_use(&self) -> DirectorUse {
        let count = self.settings.hollow;
        let memory: f64 = self.last.simulated.iter().map(|process| process.memory_mb).sum();
        DirectorUse {
            count,
            received: self.rate_of_simulated(|progress| progress.bytes_in),
            sent: self.rate_of_simulated(|progress| progress.bytes_out),
            cpu: self.cpu_seconds(|sample| &sample.simulated) / self.director_seconds(count),
            memory: memory / count as f64,
        }
    }

    fn real_use(&self) -> DirectorUse {
        let count = self.settings.real;
        let memory: f64 = self.last.real.iter().map(|process| process.memory_mb).sum();
        let bytes = |direction: usize| {
            let grown = self.last.real_bytes[direction] - self.first.real_bytes[direction];
            grown as f64 / self.director_seconds(count)
        };
        DirectorUse {
            count,
            received: bytes(1),
            sent: bytes(0),
            cpu: self.cpu_seconds(|sample| &sample.real) / self.director_seconds(count),
            memory: memory / count.max(1) as f64,
        }
    }

    fn relay_uses(&self) -> Vec<RelayUse> {
        let seconds = self.measured_seconds();
        let relay_use = |(number, name): (usize, &String)| {
            let (first, last) = (self.first.relay_bytes[number], self.last.relay_bytes[number]);
            let (before, after) = (self.first.relays[number], self.last.relays[number]);
            RelayUse {
                name: name.clone(),
                voter: number < self.settings.voters,
                cpu: (after.cpu_seconds - before.cpu_seconds) / seconds,
                memory: after.memory_mb,
                received: (last.received - first.received) as f64 / seconds,
                sent: (last.sent - first.sent) as f64 / seconds,
            }
        };
        self.relays.iter().enumerate().map(relay_use).collect()
    }
}
