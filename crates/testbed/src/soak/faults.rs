//! What goes wrong, and when: rounds of two or three troubles that overlap, drawn by the seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::nodes::Misbehavior;
use super::{Options, Seconds};

#[derive(Clone, Debug)]
pub enum Fault {
    /// Told to end, then started again.
    Restart(usize),
    /// Killed, then started again.
    Kill(usize),
    StandStill(usize, f64),
    Reload(usize),
    /// A fault of system calls, by its rule's words.
    Fault(usize, &'static str, f64),
    /// The wall clock steps by so many milliseconds.
    ClockStep(usize, i64),
    /// Killed, and started under a wall clock that is off for its first seconds.
    KillUnderClock(usize, i64),
    DiscoveryDown(f64),
    DiscoverySilent(f64),
    Purge(u64),
    /// A node drains, goes, and another takes its place, cold.
    Replace(usize),
    Misbehave(usize, Misbehavior, f64),
    DropConnections(usize, bool),
    /// New connections to it come up late.
    ConnectLate(usize, f64),
}

/// System calls that fail for a moment. Those that break connections are marked by their errors.
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

pub fn breaks_connections(fault: &str) -> bool {
    ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ECONNABORTED"].iter().any(|error| fault.contains(error))
}

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

/// Seconds between two rounds, and within one between its troubles at most.
const ROUND: f64 = 1.5;
const WITHIN_ROUND: f64 = 0.4;

/// Directors that share one series of rounds, and how often a trouble strikes the one that the round is about.
const GROUP: usize = 4;
const SAME: f64 = 0.7;

fn draw(rng: &mut Pcg32, o: &Options, victim: usize) -> Fault {
    let director = if rng.random::<f64>() < SAME { victim } else { rng.random_range(0..o.directors) };
    let node = rng.random_range(0..o.caches + 2);
    let cache = rng.random_range(0..o.caches);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Restart(director),
        2 => Fault::Kill(director),
        3 => Fault::StandStill(director, 0.1 + 1.2 * rng.random::<f64>()),
        4 => Fault::Reload(director),
        5 | 6 if o.fault_library.is_some() => {
            let fault = SYSTEM_CALL_FAULTS[rng.random_range(0..SYSTEM_CALL_FAULTS.len())];
            Fault::Fault(director, fault, 0.05 + 0.35 * rng.random::<f64>())
        }
        7 if o.fault_library.is_some() => {
            let step = [3_600_000, -3_600_000, 5_000, -5_000][rng.random_range(0..4)];
            if rng.random() {
                Fault::ClockStep(director, step)
            } else {
                Fault::KillUnderClock(director, step)
            }
        }
        8 => Fault::DiscoveryDown(0.5 + 3.0 * rng.random::<f64>()),
        9 => Fault::DiscoverySilent(1.0 + 3.0 * rng.random::<f64>()),
        10 | 14 => Fault::Purge(1 + rng.random_range(0..super::clients::OBJECTS)),
        11 => Fault::Replace(cache),
        12 => Fault::DropConnections(node, rng.random()),
        13 => Fault::ConnectLate(node, 0.5 + rng.random::<f64>()),
        _ => {
            let mode = MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())];
            Fault::Misbehave(node, mode, 0.3 + 2.0 * rng.random::<f64>())
        }
    }
}

/// All troubles of a soak with their times, in order.
pub fn plan(o: &Options) -> Vec<(Seconds, Fault)> {
    let mut rng = Pcg32::seed_from_u64(o.seed);
    let mut all = Vec::new();
    for group in 0..o.directors.div_ceil(GROUP) {
        let from = group * GROUP;
        let to = (from + GROUP).min(o.directors);
        let mut at = 2.0 + ROUND * rng.random::<f64>();
        while at < o.seconds as f64 - 1.0 {
            let victim = rng.random_range(from..to);
            for _ in 0..rng.random_range(2..=3) {
                all.push((at + WITHIN_ROUND * rng.random::<f64>(), draw(&mut rng, o, victim)));
            }
            at += ROUND * (0.6 + 0.8 * rng.random::<f64>());
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}
