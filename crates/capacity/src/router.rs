//! What the decision module costs: its purges, its list, its calls, its memory.

use std::hint::black_box;
use std::time::Instant;

use sablecross::{
    Attempt, Effect, EndpointState, EndpointUpdate, Ns, Outcome, Request, RequestClass, RouteDecision,
    Router, Settings, mix, rank,
};

use crate::cost::{
    Cost, MeasurementKind, measure_interleaved, median, resident_growth_per_item, time_micros,
};
use crate::fit::Point;

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
const START: Ns = 10_000 * SEC;
/// Time in which nodes apply a purge; the router keeps it two minutes longer.
const PURGE_PROPAGATION: Ns = 6 * SEC;
const PURGE_WINDOW_S: u64 = 126;

/// Numbers of nodes; each list has seven or eight nodes a zone and a quarter of parents, as at the target size.
const NODES: [usize; 7] = [10, 20, 50, 100, 200, 350, 490];
const KNOWN_PURGES: [usize; 6] = [100, 1_000, 4_400, 20_000, 44_100, 126_000];
const RATES: [u64; 7] = [5, 10, 20, 35, 70, 140, 350];
const DIRECTORS_PER_ZONE: usize = 59;
const ROUNDS: usize = 11;

fn zone_count(nodes: usize) -> usize {
    (nodes * 64 / 490).max(1)
}

/// Returns the settings of a director among so many nodes.
pub fn settings(nodes: usize) -> Settings {
    let kind = RequestClass {
        latency_objective: 400 * MS,
        latency_objective_stretch: Some(1.5),
        priority_weight: 1.0,
        effect: Effect::Idempotent,
        fresh_for: 0,
        stale_for: 0,
        is_multipart: false,
        is_uncacheable: false,
    };
    Settings {
        zone: zone_count(nodes) / 2,
        director_index: 0,
        directors_per_zone: vec![DIRECTORS_PER_ZONE; zone_count(nodes)],
        request_classes: vec![kind],
        parent_kind: Some(1),
        origin_kind: 2,
        polls_endpoint_list: false,
        may_cancel: true,
        may_hedge: true,
        may_send_retry_after: true,
        max_retry_after: 2 * SEC,
        max_attempts: 6,
        slow_start_initial_share: 0.2,
        slow_start_window: 20 * SEC,
        collapse_multiple: 3.0,
        parent_slow_start_initial_share: 0.1,
        parent_slow_start_window: 20 * SEC,
        parent_collapse_multiple: 2.0,
        stream_kb_per_s: 1_000.0,
        may_bypass_cache: true,
        may_coalesce: true,
        purge_propagation_window: PURGE_PROPAGATION,
        tick: 2 * MS,
    }
}

/// Returns the endpoint list, zone by zone: every fourth node is a parent, the last one is the origin.
pub fn endpoint_list(nodes: usize) -> Vec<EndpointUpdate> {
    let machine = |n| if n + 1 == nodes { 2 } else { usize::from(n % 4 == 1) };
    let line = |n: usize| EndpointUpdate {
        node: n,
        rank: rank(&format!("s-{:08x}", mix(n as u64) as u32)),
        zone: n * zone_count(nodes) / nodes,
        machine_kind: machine(n),
        cell: n / 2,
        started_at: 0,
        state: EndpointState::Ready,
        withheld_virtual_nodes: 0,
    };
    (0..nodes).map(line).collect()
}

pub(crate) fn router_with_nodes(nodes: usize) -> Router {
    let mut router = Router::new(settings(nodes), 7, START);
    router.update_endpoints(START, &endpoint_list(nodes), true);
    router
}

fn router_with_purges(known: usize) -> Router {
    let mut router = Router::new(settings(10), 7, START);
    (0..known as u64).for_each(|n| router.record_purge(START, Some(mix(n)), 0, 0));
    router
}

/// Time of a purge at 35 a second, of objects that are known as purged, so that their number stays. A round lasts one
/// second of simulated time, so that it includes what the router does once a second.
pub(crate) fn measure_known_purges() -> Cost {
    struct At {
        router: Router,
        known: u64,
        next: u64,
    }
    let begin = |&known: &usize| {
        let at = At { router: router_with_purges(known), known: known as u64, next: 0 };
        (known as f64, at)
    };
    let mut sizes: Vec<(f64, At)> = KNOWN_PURGES.iter().map(begin).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |at| {
        let (elapsed, ()) = time_micros(|| {
            for _ in 0..35 {
                let now = START + SEC + at.next * SEC / 35;
                at.router.record_purge(now, Some(mix(at.next % at.known)), 0, 0);
                at.next += 1;
            }
        });
        elapsed / 35.0
    });
    Cost {
        name: "module-purge-known",
        description: "one more purge of 35 a second while so many are known",
        size_unit: "known purges",
        unit: "us",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// Processor time of purges at a steady rate, once as many are known as the router keeps.
pub(crate) fn measure_purge_rate() -> Cost {
    struct At {
        router: Router,
        rate: u64,
        next: u64,
    }
    impl At {
        fn purge(&mut self) {
            let now = START + self.next * SEC / self.rate;
            self.router.record_purge(now, Some(mix(self.next)), 0, 0);
            self.next += 1;
        }
    }
    let begin = |rate| {
        let mut at = At { router: Router::new(settings(10), 7, START), rate, next: 0 };
        (0..rate * (PURGE_WINDOW_S + 4)).for_each(|_| at.purge());
        (rate as f64, at)
    };
    let mut sizes: Vec<(f64, At)> = RATES.iter().map(|r| begin(*r)).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |at| {
        // Full seconds, so that what the router does once a second is included.
        let many = 2 * at.rate;
        let (elapsed, ()) = time_micros(|| (0..many).for_each(|_| at.purge()));
        elapsed / 2.0 / 1e4
    });
    Cost {
        name: "module-purge-rate",
        description: "the module's part of a core for purges, with as many known as bind",
        size_unit: "purges a second",
        unit: "% of a core",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// Time in which the router applies that nodes go, and that they come back.
fn measure_endpoint_change(
    name: &'static str,
    what: &'static str,
    which: impl Fn(usize) -> Vec<usize>,
    at_once: bool,
) -> Cost {
    let begin = |&nodes: &usize| {
        let lines = endpoint_list(nodes);
        let moved: Vec<EndpointUpdate> = which(nodes).into_iter().map(|n| lines[n]).collect();
        (nodes as f64, (router_with_nodes(nodes), moved, false))
    };
    let mut sizes: Vec<_> = NODES[1..].iter().map(begin).collect();
    let points = measure_interleaved(&mut sizes, 4 * ROUNDS, |(router, moved, gone)| {
        *gone = !*gone;
        moved
            .iter_mut()
            .for_each(|l| l.state = if *gone { EndpointState::Gone } else { EndpointState::Ready });
        let (elapsed, ()) = time_micros(|| {
            if at_once {
                router.update_endpoints(START, moved, false);
            } else {
                moved.iter().for_each(|l| router.update_endpoints(START, std::slice::from_ref(l), false));
            }
        });
        router.take_log_lines();
        elapsed
    });
    Cost { name, description: what, size_unit: "nodes", unit: "us", kind: MeasurementKind::Timed, points }
}

/// A parent in the middle of the list.
fn middle_parent(nodes: usize) -> Vec<usize> {
    vec![nodes / 2 / 4 * 4 + 1]
}

/// Eight neighbours in the list, the own zone's nodes among them.
fn middle_zone(nodes: usize) -> Vec<usize> {
    let from = (nodes / 2).saturating_sub(4);
    (from..from + 8).collect()
}

pub(crate) fn measure_endpoint_changes() -> Vec<Cost> {
    vec![
        measure_endpoint_change("module-change-parent", "one parent goes or comes", middle_parent, false),
        measure_endpoint_change(
            "module-change-cache",
            "one cache of another zone goes or comes",
            |_| vec![0],
            false,
        ),
        measure_endpoint_change(
            "module-zone-loss",
            "eight nodes go or come by eight events",
            middle_zone,
            false,
        ),
        measure_endpoint_change(
            "module-zone-loss-at-once",
            "eight nodes go or come by one event",
            middle_zone,
            true,
        ),
    ]
}

/// Requests on the ordinary path: each is routed, asked for its next check, and succeeds.
struct RequestPath {
    router: Router,
    now: Ns,
    next: u64,
    /// Nanoseconds of the three calls in the last round, and the number of attempts.
    elapsed_ns: [f64; 3],
    attempts: u64,
}

const LOOKUPS: u64 = 1_000;

impl RequestPath {
    fn round(&mut self, clock: f64) {
        (self.elapsed_ns, self.attempts) = ([0.0; 3], 0);
        for _ in 0..LOOKUPS {
            self.now += 2 * MS;
            self.next = mix(self.next);
            let mut request = Request {
                object: self.next % 20_000,
                part: 0,
                group: 3,
                class: 0,
                size_kb: 100.0,
                arrived_at: self.now,
                deadline: self.now + 4 * SEC,
                is_client_retry: false,
                is_write: false,
                attempts: Vec::with_capacity(1),
            };
            let started = Instant::now();
            let route = self.router.route(self.now, &request);
            self.elapsed_ns[0] += started.elapsed().as_nanos() as f64 - clock;
            let RouteDecision::Attempt(send) = route else { continue };
            self.attempts += 1;
            request.attempts.push(Attempt {
                node: send.node,
                source: send.source,
                sent_at: self.now,
                outcome: None,
            });
            let started = Instant::now();
            black_box(self.router.next_check(self.now, &request));
            self.elapsed_ns[2] += started.elapsed().as_nanos() as f64 - clock;
            request.attempts[0].outcome = Some(Outcome::Success);
            let started = Instant::now();
            black_box(self.router.on_outcome(self.now + 30 * MS, &request, 0, 30 * MS, None));
            self.elapsed_ns[1] += started.elapsed().as_nanos() as f64 - clock;
        }
        self.router.take_log_lines();
    }
}

pub(crate) fn measure_calls() -> Vec<Cost> {
    let clock = median((0..2_001).map(|_| Instant::now().elapsed().as_nanos() as f64).collect());
    let begin = |&nodes: &usize| {
        let mut path = RequestPath {
            router: router_with_nodes(nodes),
            now: START,
            next: 1,
            elapsed_ns: [0.0; 3],
            attempts: 0,
        };
        (0..20).for_each(|_| path.round(clock));
        path
    };
    let mut paths: Vec<RequestPath> = NODES.iter().map(begin).collect();
    let mut samples = vec![[const { Vec::new() }; 3]; NODES.len()];
    for _ in 0..4 * ROUNDS {
        for (path, samples) in paths.iter_mut().zip(&mut samples) {
            path.round(clock);
            let many = [LOOKUPS, path.attempts.max(1), path.attempts.max(1)];
            for call in 0..3 {
                samples[call].push(path.elapsed_ns[call] / many[call] as f64);
            }
        }
    }
    let whats = [
        ("module-route", "where to send a request"),
        ("module-after", "what next, after its outcome"),
        ("module-patience", "how long until it is asked again"),
    ];
    let point = |call: usize| {
        NODES
            .iter()
            .zip(&samples)
            .map(move |(n, s)| Point { size: *n as f64, value: median(s[call].clone()) })
    };
    let cost = |(call, (name, what))| {
        let points = point(call).collect();
        Cost { name, description: what, size_unit: "nodes", unit: "ns", kind: MeasurementKind::Timed, points }
    };
    whats.into_iter().enumerate().map(cost).collect()
}

/// Bytes of one router; measure it in a process of its own.
pub(crate) fn router_memory(nodes: usize) -> f64 {
    resident_growth_per_item(20_000 / nodes, |_| router_with_nodes(nodes))
}

pub(crate) fn router_purge_memory(known: usize) -> f64 {
    resident_growth_per_item((200_000 / known).max(1), |_| router_with_purges(known))
}

pub(crate) const MEMORY_SIZES: [usize; 7] = NODES;
pub(crate) const PURGE_MEMORY_SIZES: [usize; 6] = KNOWN_PURGES;
