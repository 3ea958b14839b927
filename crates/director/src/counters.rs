//! Counters of requests, attempts and answers, and the log line that lists them.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use sablecross::Outcome;
use sablecross::invariants::{BeginDenied, Violation};

/// The counters of the dispatcher.
#[derive(Default, Debug)]
pub struct Counters {
    /// Calls for objects, and unusable calls.
    pub received: u64,
    /// Requests that were answered with the object.
    pub succeeded: u64,
    /// Succeeded requests whose client already held the current copy.
    pub unchanged: u64,
    /// Rejected calls.
    pub rejected: u64,
    /// Rejected calls for which there was no capacity, before the router was asked.
    pub rejected_overload: u64,
    /// Failed calls.
    pub failed: u64,
    /// Failed calls that were invalid.
    pub unusable: u64,
    /// Requests whose client cancelled them or disconnected.
    pub cancelled: u64,
    /// Requests that are not answered yet.
    pub in_flight: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts after the first one of a request.
    pub further_attempts: u64,
    /// The outcomes of attempts.
    pub outcomes: OutcomeCounts,
    /// Answers that were given at or after their client's deadline.
    pub late: u64,
    /// Connections to nodes opened since the start, including those that were never established.
    pub connections_opened: u64,
    /// Connections to nodes that are open or being opened.
    pub connections_open: u64,
    /// Discovery events.
    pub discovery_events: u64,
    /// Attempts and answers that violated an invariant and were not sent.
    pub violations: u64,
    /// Entries that the router keeps for objects that clients have requested.
    pub remembered_objects: u64,
}

/// The number of attempts that ended with each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    success: u64,
    error: u64,
    overloaded: u64,
    timed_out: u64,
    connect_failed: u64,
    connection_lost: u64,
    cancelled: u64,
    not_sent: u64,
    miss: u64,
}

/// The counters of the threads that serve connections.
#[derive(Default, Debug)]
pub struct ConnectionCounters {
    /// Responses that were written completely.
    pub answers: AtomicU64,
    /// The bytes of the bodies of these responses.
    pub answer_bytes: AtomicU64,
    /// Responses that were not written completely, because they were too late or their connection was closed.
    pub unsent_answers: AtomicU64,
    /// The bytes of bodies that nodes sent.
    pub body_bytes: AtomicU64,
    /// Unusable messages of clients, and faults of clients that caused their connection to be closed.
    pub bad_messages: AtomicU64,
    /// Incomplete messages of clients whose bytes were discarded because the memory was needed for others.
    pub skipped_messages: AtomicU64,
    /// Faults of nodes that caused their connection to be closed.
    pub bad_lines: AtomicU64,
    /// Client connections accepted since the start, without those in `rejected_connections`.
    pub clients: AtomicU64,
    /// Client connections that were closed because a timeout had expired.
    pub idle_closed: AtomicU64,
    /// Client connections that were closed to make room for others.
    pub evicted_for_room: AtomicU64,
    /// Client connections that were closed at once because there was no room.
    pub rejected_connections: AtomicU64,
    /// Attempts that were not begun because their time had expired.
    pub expired: AtomicU64,
    /// Attempts that were not begun because they had been withdrawn.
    pub withdrawn: AtomicU64,
    /// Attempts that were not begun because their client had disconnected or cancelled the request.
    pub client_gone: AtomicU64,
    /// How often an attempt waited because it had to be checked first whether its client was still connected.
    pub unconfirmed: AtomicU64,
    /// How often input of clients may have lain unread for longer than the threshold of `StallDetector`, usually
    /// because the process was stopped.
    pub stalls: AtomicU64,
    /// How often a connection could not be established, accepted or registered for polling because this machine lacked
    /// a resource.
    pub shortages: AtomicU64,
    /// Calls of the discovery feed.
    pub feed_calls: AtomicU64,
    /// Calls of the discovery feed that were answered after another call had been made beside them.
    pub feed_late_answers: AtomicU64,
    /// Missing or unreadable events, after which the feed was called again.
    pub feed_gaps: AtomicU64,
    /// Events that could not be used.
    pub feed_skipped: AtomicU64,
}

/// Counts why an attempt was not begun.
pub fn count_denial(counters: &ConnectionCounters, denied: BeginDenied) {
    let counter = match denied {
        BeginDenied::Expired => &counters.expired,
        BeginDenied::Withdrawn => &counters.withdrawn,
        BeginDenied::ClientGone => &counters.client_gone,
        BeginDenied::Unconfirmed => &counters.unconfirmed,
    };
    add(counter, 1);
}

/// Adds to a counter that several threads share.
pub fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

impl Counters {
    /// Counts and logs the violation of an invariant, with the id of the request.
    pub fn record_violation(&mut self, request_id: &str, violation: Violation) {
        self.violations += 1;
        tracing::error!("violation request={request_id} rule={violation:?}");
    }

    /// Counts the end of an attempt by its outcome.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let outcomes = &mut self.outcomes;
        let counter = match outcome {
            Outcome::Success => &mut outcomes.success,
            Outcome::Error => &mut outcomes.error,
            Outcome::Overloaded => &mut outcomes.overloaded,
            Outcome::TimedOut => &mut outcomes.timed_out,
            Outcome::ConnectFailed => &mut outcomes.connect_failed,
            Outcome::ConnectionLost => &mut outcomes.connection_lost,
            Outcome::Cancelled => &mut outcomes.cancelled,
            Outcome::NotSent => &mut outcomes.not_sent,
            Outcome::Miss => &mut outcomes.miss,
        };
        *counter += 1;
    }
}

// The names in these lines must not change, because operators' tools read them.

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "ok={} miss={} full={} error={} timed_out={} unconnected={} broken={} called_off={} never_sent={}",
            self.success,
            self.miss,
            self.overloaded,
            self.error,
            self.timed_out,
            self.connect_failed,
            self.connection_lost,
            self.cancelled,
            self.not_sent,
        )
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "taken={} satisfied={} nacked={} failed={} cancelled={} in_hand={} unchanged={} crowded={} \
             unfit={} sends={} further={} {} late={} links={} links_open={} facts={} violations={} objects={}",
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
            self.outcomes,
            self.late,
            self.connections_opened,
            self.connections_open,
            self.discovery_events,
            self.violations,
            self.remembered_objects,
        )
    }
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        write!(
            f,
            "answers={} answer_bytes={} unsent={} body_bytes={} bad_messages={} bad_lines={} clients={} \
             idle_closed={} made_room={} turned_away={} shortages={} stalls={} expired={} retracted={} client_gone={} unconfirmed={} \
             feed_calls={} feed_gaps={} feed_skipped={} skipped_messages={} feed_late={}",
            count(&self.answers),
            count(&self.answer_bytes),
            count(&self.unsent_answers),
            count(&self.body_bytes),
            count(&self.bad_messages),
            count(&self.bad_lines),
            count(&self.clients),
            count(&self.idle_closed),
            count(&self.evicted_for_room),
            count(&self.rejected_connections),
            count(&self.shortages),
            count(&self.stalls),
            count(&self.expired),
            count(&self.withdrawn),
            count(&self.client_gone),
            count(&self.unconfirmed),
            count(&self.feed_calls),
            count(&self.feed_gaps),
            count(&self.feed_skipped),
            count(&self.skipped_messages),
            count(&self.feed_late_answers),
        )
    }
}

/// Returns the number of threads and the peak memory use, in the form of the line of counters. A value that the system
/// does not report is left out.
pub fn process_usage() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |key: &str, name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(key))?;
        Some(format!(" {name}={}", value.split_whitespace().next()?))
    };
    [field("Threads:", "threads"), field("VmHWM:", "memory_peak_kb")].into_iter().flatten().collect()
}
