//! What was taken in, sent and answered.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use sablecross::Outcome;
use sablecross::invariants::{BeginDenied, Violation};

/// Kept by the desk alone.
#[derive(Default, Debug)]
pub struct Counters {
    pub received: u64,
    pub succeeded: u64,
    pub unchanged: u64,
    pub rejected: u64,
    pub rejected_overload: u64,
    pub failed: u64,
    pub unusable: u64,
    pub cancelled: u64,
    pub in_flight: u64,
    pub attempts: u64,
    pub further_attempts: u64,
    pub outcomes: [u64; 9],
    /// Answers decided after their client had given up.
    pub late: u64,
    pub connections_opened: u64,
    pub connections_open: u64,
    pub discovery_events: u64,
    /// Rules that something chosen would have broken; it was not carried out.
    pub violations: u64,
}

/// Kept by the threads that serve connections.
#[derive(Default, Debug)]
pub struct ConnectionCounters {
    pub answers: AtomicU64,
    pub answer_bytes: AtomicU64,
    /// Answers that were not begun, or not finished, by their time.
    pub unsent_answers: AtomicU64,
    pub body_bytes: AtomicU64,
    pub bad_messages: AtomicU64,
    pub bad_lines: AtomicU64,
    /// Connections of clients: all, closed as idle after their time or to make room, over the limit.
    pub clients: AtomicU64,
    pub idle_closed: AtomicU64,
    pub evicted_for_room: AtomicU64,
    pub rejected_connections: AtomicU64,
    /// Attempts that were not begun: past their time, given up by the desk, their client gone.
    pub expired: AtomicU64,
    pub withdrawn: AtomicU64,
    pub client_gone: AtomicU64,
    /// Times an attempt waited as it had to be looked first whether its client was there.
    pub unconfirmed: AtomicU64,
    /// Times the process stood still for longer than a request may lose unnoticed.
    pub stalls: AtomicU64,
    /// Connections that could not be made, taken or watched for want of something on this machine.
    pub shortages: AtomicU64,
    pub feed_calls: AtomicU64,
    pub feed_gaps: AtomicU64,
    pub feed_skipped: AtomicU64,
}

/// Counts why an attempt was not begun.
pub fn count_denial(counters: &ConnectionCounters, why: BeginDenied) {
    let counter = match why {
        BeginDenied::Expired => &counters.expired,
        BeginDenied::Withdrawn => &counters.withdrawn,
        BeginDenied::ClientGone => &counters.client_gone,
        BeginDenied::Unconfirmed => &counters.unconfirmed,
    };
    add(counter, 1);
}

pub fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}

impl Counters {
    /// Something that was chosen would have broken a rule: said with the request's name, and counted.
    pub fn record_violation(&mut self, name: &str, why: Violation) {
        self.violations += 1;
        tracing::error!("violation request={name} rule={why:?}");
    }

    pub fn record_outcome(&mut self, outcome: Outcome) {
        self.outcomes[place(outcome)] += 1;
    }
}

fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Success => 0,
        Outcome::Error => 1,
        Outcome::Overloaded => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::Miss => 8,
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [ok, error, full, timed_out, unconnected, broken, called_off, never_sent, miss] = self.outcomes;
        write!(
            f,
            "taken={} satisfied={} nacked={} failed={} cancelled={} in_hand={} unchanged={} crowded={} \
             unfit={} sends={} further={} ok={ok} miss={miss} full={full} error={error} \
             timed_out={timed_out} unconnected={unconnected} broken={broken} called_off={called_off} \
             never_sent={never_sent} late={} links={} links_open={} facts={} violations={}",
            self.received,
            self.succeeded,
            self.rejected,
            self.failed,
            self.cancelled,
            self.in_flight,
            self.unchanged,
            self.rejected_overload,
            self.unusable,
            self.attempts,
            self.further_attempts,
            self.late,
            self.connections_opened,
            self.connections_open,
            self.discovery_events,
            self.violations,
        )
    }
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let of = |c: &AtomicU64| c.load(Ordering::Relaxed);
        write!(
            f,
            "answers={} answer_bytes={} unsent={} body_bytes={} bad_messages={} bad_lines={} clients={} \
             idle_closed={} made_room={} turned_away={} shortages={} stalls={} expired={} retracted={} client_gone={} unconfirmed={} \
             feed_calls={} feed_gaps={} feed_skipped={}",
            of(&self.answers),
            of(&self.answer_bytes),
            of(&self.unsent_answers),
            of(&self.body_bytes),
            of(&self.bad_messages),
            of(&self.bad_lines),
            of(&self.clients),
            of(&self.idle_closed),
            of(&self.evicted_for_room),
            of(&self.rejected_connections),
            of(&self.shortages),
            of(&self.stalls),
            of(&self.expired),
            of(&self.withdrawn),
            of(&self.client_gone),
            of(&self.unconfirmed),
            of(&self.feed_calls),
            of(&self.feed_gaps),
            of(&self.feed_skipped),
        )
    }
}

/// Threads and the most memory used so far, where the system tells.
pub fn process_usage() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let of = |key: &str, name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key))?;
        Some(format!(" {name}={}", line.split_whitespace().next()?))
    };
    [of("Threads:", "threads"), of("VmHWM:", "memory_peak_kb")].into_iter().flatten().collect()
}
