//! The plan of faults: which faults a soak injects, and when. They come in rounds of two or three overlapping faults,
//! drawn from the seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::node::Misbehavior;
use super::{Options, Seconds};

/// A fault. A director is identified by its number, a node by its place in the list (caches, then the parent, then the
/// origin).
#[derive(Clone, Debug)]
pub enum Fault {
    /// The director is stopped by SIGTERM and started again.
    Restart {
        /// The director.
        director: usize,
    },
    /// The director is killed by SIGKILL and started again.
    Kill {
        /// The director.
        director: usize,
    },
    /// The director's process is paused and resumed (SIGSTOP, SIGCONT).
    Pause {
        /// The director.
        director: usize,
        /// The duration in seconds.
        seconds: f64,
    },
    /// The director reloads its configuration, which has the other discovery address.
    Reload {
        /// The director.
        director: usize,
    },
    /// Some system calls of the director fail.
    SystemCalls {
        /// The director.
        director: usize,
        /// The rule of the fault library, without its time span and probability.
        rule: &'static str,
        /// The duration in seconds.
        seconds: f64,
    },
    /// The director's wall clock steps, and steps back later.
    ClockStep {
        /// The director.
        director: usize,
        /// The size of the step.
        offset_ms: i64,
    },
    /// The director is killed and started again with a wall clock that is wrong for the first two seconds.
    KillWithClockOffset {
        /// The director.
        director: usize,
        /// The error of the wall clock.
        offset_ms: i64,
    },
    /// Discovery ends all connections, and each new one at once.
    DiscoveryOutage {
        /// The duration in seconds.
        seconds: f64,
    },
    /// Discovery sends nothing on its connections.
    DiscoverySilence {
        /// The duration in seconds.
        seconds: f64,
    },
    /// An object is purged.
    Purge {
        /// The object.
        object: u64,
    },
    /// A cache node drains and is removed, and a cold one takes its place.
    ReplaceNode {
        /// The place of the node.
        place: usize,
    },
    /// A node misbehaves.
    Misbehave {
        /// The place of the node.
        place: usize,
        /// The way in which it misbehaves.
        behavior: Misbehavior,
        /// The duration in seconds.
        seconds: f64,
    },
    /// A node ends all its connections.
    DropConnections {
        /// The place of the node.
        place: usize,
        /// Whether they end by RST instead of FIN.
        by_reset: bool,
    },
    /// A node accepts new connections late.
    DelayConnections {
        /// The place of the node.
        place: usize,
        /// The duration in seconds.
        seconds: f64,
    },
}

/// A fault and when it is injected.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Seconds since the soak began.
    pub at: Seconds,
    /// The fault.
    pub fault: Fault,
}

/// Rules of the fault library, each of which is in force for a short time.
const SYSTEM_CALL_FAULTS: [&str; 16] = [
    "fail accept ECONNABORTED",
    "fail accept ENFILE",
    "fail accept EMFILE",
    "fail socket ENFILE",
    "fail socket ENOBUFS",
    "fail connect EADDRNOTAVAIL",
    "fail connect ENETUNREACH",
    "fail connect EINTR",
    "fail epoll_ctl ENOMEM",
    "fail wait EINTR",
    "fail open EMFILE",
    "short receive 3",
    "short send 9",
    "fail receive ETIMEDOUT",
    "fail send EHOSTUNREACH",
    "fail receive ECONNRESET",
];

/// Errors that break a connection although the director works correctly.
const CONNECTION_ERRORS: [&str; 4] = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ECONNABORTED"];

const CLOCK_OFFSETS_MS: [i64; 4] = [3_600_000, -3_600_000, 5_000, -5_000];

const MISBEHAVIORS: [Misbehavior; 8] = [
    Misbehavior::Hangs,
    Misbehavior::Stuck,
    Misbehavior::Resets,
    Misbehavior::Full,
    Misbehavior::Errors,
    Misbehavior::Garbage,
    Misbehavior::Twice,
    Misbehavior::WrongTag,
];

/// The mean time between two rounds.
const MEAN_ROUND_INTERVAL_SECONDS: f64 = 1.5;
/// The faults of one round are injected within this span of time.
const ROUND_SPREAD_SECONDS: f64 = 0.4;
/// No round begins before this time, and none in the last second.
const FIRST_ROUND_AT: Seconds = 2.0;

/// How many directors share one sequence of rounds.
const DIRECTORS_PER_GROUP: usize = 4;
/// The probability that a fault of a director affects the target director of its round. Otherwise one of all directors
/// is drawn.
const SAME_DIRECTOR_PROBABILITY: f64 = 0.7;

/// Whether connections of the director may break while this rule is in force.
pub(crate) fn breaks_connections(rule: &str) -> bool {
    CONNECTION_ERRORS.iter().any(|error| rule.contains(error))
}

/// Returns all faults of a soak, ordered by time. The same options give the same plan.
pub fn plan_faults(options: &Options) -> Vec<ScheduledFault> {
    let mut rng = Pcg32::seed_from_u64(options.seed);
    let mut plan = Vec::new();
    for group in 0..options.directors.div_ceil(DIRECTORS_PER_GROUP) {
        let first = group * DIRECTORS_PER_GROUP;
        let end = (first + DIRECTORS_PER_GROUP).min(options.directors);
        let mut round_at = FIRST_ROUND_AT + MEAN_ROUND_INTERVAL_SECONDS * rng.random::<f64>();
        while round_at < options.seconds as f64 - 1.0 {
            let target = rng.random_range(first..end);
            for _ in 0..rng.random_range(2..=3) {
                let at = round_at + ROUND_SPREAD_SECONDS * rng.random::<f64>();
                plan.push(ScheduledFault { at, fault: draw_fault(&mut rng, options, target) });
            }
            round_at += MEAN_ROUND_INTERVAL_SECONDS * (0.6 + 0.8 * rng.random::<f64>());
        }
    }
    plan.sort_by(|a, b| a.at.total_cmp(&b.at));
    plan
}

/// Draws one fault. The draws and their order must not change: they determine the plan of a seed.
fn draw_fault(rng: &mut Pcg32, options: &Options, target: usize) -> Fault {
    let hits_target = rng.random::<f64>() < SAME_DIRECTOR_PROBABILITY;
    let director = if hits_target { target } else { rng.random_range(0..options.directors) };
    let place = rng.random_range(0..options.caches + 2);
    let cache = rng.random_range(0..options.caches);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Restart { director },
        2 => Fault::Kill { director },
        3 => Fault::Pause { director, seconds: 0.1 + 1.2 * rng.random::<f64>() },
        4 => Fault::Reload { director },
        5 | 6 if options.fault_library.is_some() => {
            let rule = SYSTEM_CALL_FAULTS[rng.random_range(0..SYSTEM_CALL_FAULTS.len())];
            Fault::SystemCalls { director, rule, seconds: 0.05 + 0.35 * rng.random::<f64>() }
        }
        7 if options.fault_library.is_some() => {
            let offset_ms = CLOCK_OFFSETS_MS[rng.random_range(0..CLOCK_OFFSETS_MS.len())];
            if rng.random() {
                Fault::ClockStep { director, offset_ms }
            } else {
                Fault::KillWithClockOffset { director, offset_ms }
            }
        }
        8 => Fault::DiscoveryOutage { seconds: 0.5 + 3.0 * rng.random::<f64>() },
        9 => Fault::DiscoverySilence { seconds: 1.0 + 3.0 * rng.random::<f64>() },
        10 | 14 => Fault::Purge { object: 1 + rng.random_range(0..super::client::OBJECT_COUNT) },
        11 => Fault::ReplaceNode { place: cache },
        12 => Fault::DropConnections { place, by_reset: rng.random() },
        13 => Fault::DelayConnections { place, seconds: 0.5 + rng.random::<f64>() },
        _ => {
            let behavior = MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())];
            Fault::Misbehave { place, behavior, seconds: 0.3 + 2.0 * rng.random::<f64>() }
        }
    }
}
