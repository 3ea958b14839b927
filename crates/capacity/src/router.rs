//! Measures the router: the time of purges, endpoint changes and calls, and its memory.

use std::hint::black_box;
use std::time::Instant;

use sablecross::{
    Attempt, Effect, EndpointState, EndpointUpdate, Ns, Outcome, Request, RequestClass, RouteDecision,
    Router, Settings, rank, split_mix64,
};

use crate::cost::{
    Cost, MeasurementKind, measure_interleaved, median, resident_growth_per_item, time_micros,
};
use crate::fit::Point;

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
const START_TIME: Ns = 10_000 * SEC;
/// Time within which nodes clear purged objects. The router keeps the purge 120 s longer.
const PURGE_PROPAGATION: Ns = 6 * SEC;
/// Seconds for which the router keeps a purge: the propagation window and 120 s.
const PURGE_WINDOW_S: u64 = 126;

/// Numbers of nodes. Lists of 50 nodes or more have about eight nodes a zone, as at the target size; the two shorter
/// ones have ten. About a quarter of the nodes are parents.
const NODE_COUNTS: [usize; 7] = [10, 20, 50, 100, 200, 350, 490];
const KNOWN_PURGE_COUNTS: [usize; 6] = [100, 1_000, 4_400, 20_000, 44_100, 126_000];
const PURGE_RATES: [u64; 7] = [5, 10, 20, 35, 70, 140, 350];
const DIRECTORS_PER_ZONE: usize = 59;
const ROUNDS: usize = 11;

fn zone_count(nodes: usize) -> usize {
    (nodes * 64 / 490).max(1)
}

/// Returns the settings of a director in an installation with this number of nodes.
pub fn settings(nodes: usize) -> Settings {
    let request_class = RequestClass {
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
        request_classes: vec![request_class],
        parent_kind: Some(1),
        origin_kind: 2,
        must_subscribe_to_endpoint_list: false,
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

/// Returns an endpoint list ordered by zone. Every fourth node is a parent, and the last node is the origin.
pub fn endpoint_list(nodes: usize) -> Vec<EndpointUpdate> {
    let machine_kind = |n| if n + 1 == nodes { 2 } else { usize::from(n % 4 == 1) };
    let endpoint = |n: usize| EndpointUpdate {
        node: n,
        rank: rank(&format!("s-{:08x}", split_mix64(n as u64) as u32)),
        zone: n * zone_count(nodes) / nodes,
        machine_kind: machine_kind(n),
        cell: n / 2,
        started_at: 0,
        state: EndpointState::Ready,
        withheld_virtual_nodes: 0,
    };
    (0..nodes).map(endpoint).collect()
}

pub(crate) fn router_with_nodes(nodes: usize) -> Router {
    let mut router = Router::new(settings(nodes), 7, START_TIME);
    router.update_endpoints(START_TIME, &endpoint_list(nodes), true);
    router
}

fn router_with_purges(known: usize) -> Router {
    let mut router = Router::new(settings(10), 7, START_TIME);
    (0..known as u64).for_each(|n| router.record_purge(START_TIME, Some(split_mix64(n)), 0, 0));
    router
}

/// Measures the time of one purge at 35 purges a second. The purged objects are already known as purged, so that their
/// number stays the same. A round lasts one second of simulated time and so includes the work that the router does once
/// a second.
pub(crate) fn measure_known_purges() -> Cost {
    struct PurgeLoad {
        router: Router,
        known: u64,
        next: u64,
    }
    let new_load = |&known: &usize| {
        let load = PurgeLoad { router: router_with_purges(known), known: known as u64, next: 0 };
        (known as f64, load)
    };
    let mut sizes: Vec<(f64, PurgeLoad)> = KNOWN_PURGE_COUNTS.iter().map(new_load).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |load| {
        let (elapsed, ()) = time_micros(|| {
            for _ in 0..35 {
                let now = START_TIME + SEC + load.next * SEC / 35;
                load.router.record_purge(now, Some(split_mix64(load.next % load.known)), 0, 0);
                load.next += 1;
            }
        });
        elapsed / 35.0
    });
    Cost {
        name: "module-purge-known",
        description: "time of one purge at 35 purges a second, by the number of known purges",
        size_unit: "known purges",
        unit: "us",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// Measures the processor time of purges at a steady rate, after the number of known purges has become stable.
pub(crate) fn measure_purge_rate() -> Cost {
    struct PurgeLoad {
        router: Router,
        rate: u64,
        next: u64,
    }
    impl PurgeLoad {
        fn purge(&mut self) {
            let now = START_TIME + self.next * SEC / self.rate;
            self.router.record_purge(now, Some(split_mix64(self.next)), 0, 0);
            self.next += 1;
        }
    }
    let warmed_up_load = |rate| {
        let mut load = PurgeLoad { router: Router::new(settings(10), 7, START_TIME), rate, next: 0 };
        (0..rate * (PURGE_WINDOW_S + 4)).for_each(|_| load.purge());
        (rate as f64, load)
    };
    let mut sizes: Vec<(f64, PurgeLoad)> = PURGE_RATES.iter().map(|r| warmed_up_load(*r)).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |load| {
        // Whole seconds include the work that the router does once a second.
        let count = 2 * load.rate;
        let (elapsed, ()) = time_micros(|| (0..count).for_each(|_| load.purge()));
        elapsed / 2.0 / 1e4
    });
    Cost {
        name: "module-purge-rate",
        description: "processor time of the router for purges, with all active purges known",
        size_unit: "purges a second",
        unit: "% of a core",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// Measures the time in which the router removes nodes that are gone, and adds them again when they are back.
fn measure_endpoint_change(
    name: &'static str,
    description: &'static str,
    select_nodes: impl Fn(usize) -> Vec<usize>,
    in_one_update: bool,
) -> Cost {
    let new_state = |&nodes: &usize| {
        let endpoints = endpoint_list(nodes);
        let updates: Vec<EndpointUpdate> = select_nodes(nodes).into_iter().map(|n| endpoints[n]).collect();
        (nodes as f64, (router_with_nodes(nodes), updates, false))
    };
    let mut sizes: Vec<_> = NODE_COUNTS[1..].iter().map(new_state).collect();
    let points = measure_interleaved(&mut sizes, 4 * ROUNDS, |(router, updates, is_gone)| {
        *is_gone = !*is_gone;
        updates
            .iter_mut()
            .for_each(|l| l.state = if *is_gone { EndpointState::Gone } else { EndpointState::Ready });
        let (elapsed, ()) = time_micros(|| {
            if in_one_update {
                router.update_endpoints(START_TIME, updates, false);
            } else {
                updates
                    .iter()
                    .for_each(|l| router.update_endpoints(START_TIME, std::slice::from_ref(l), false));
            }
        });
        router.take_log_lines();
        elapsed
    });
    Cost { name, description, size_unit: "nodes", unit: "us", kind: MeasurementKind::Timed, points }
}

/// Returns the number of a parent in the middle of the list.
fn middle_parent(nodes: usize) -> Vec<usize> {
    vec![nodes / 2 / 4 * 4 + 1]
}

/// Returns the numbers of eight adjacent nodes in the middle of the list, some of them in the director's own zone.
fn middle_zone(nodes: usize) -> Vec<usize> {
    let from = (nodes / 2).saturating_sub(4);
    (from..from + 8).collect()
}

pub(crate) fn measure_endpoint_changes() -> Vec<Cost> {
    vec![
        measure_endpoint_change(
            "module-change-parent",
            "one parent is removed or added",
            middle_parent,
            false,
        ),
        measure_endpoint_change(
            "module-change-cache",
            "one cache of another zone is removed or added",
            |_| vec![0],
            false,
        ),
        measure_endpoint_change(
            "module-zone-loss",
            "eight nodes are removed or added by eight events",
            middle_zone,
            false,
        ),
        measure_endpoint_change(
            "module-zone-loss-at-once",
            "eight nodes are removed or added by one event",
            middle_zone,
            true,
        ),
    ]
}

/// Runs requests through the router: calls `route` for each, and `next_check` and `on_outcome` with a success for each
/// that is attempted.
struct RequestPath {
    router: Router,
    now: Ns,
    next: u64,
    /// Nanoseconds of `route`, `on_outcome` and `next_check` in the last round.
    elapsed_ns: [f64; 3],
    /// Number of requests in the last round that were attempted at a node.
    attempts: u64,
}

const REQUESTS_PER_ROUND: u64 = 1_000;

impl RequestPath {
    fn run_round(&mut self, clock_overhead_ns: f64) {
        (self.elapsed_ns, self.attempts) = ([0.0; 3], 0);
        for _ in 0..REQUESTS_PER_ROUND {
            self.now += 2 * MS;
            self.next = split_mix64(self.next);
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
            self.elapsed_ns[0] += started.elapsed().as_nanos() as f64 - clock_overhead_ns;
            let RouteDecision::Attempt(attempt) = route else { continue };
            self.attempts += 1;
            request.attempts.push(Attempt {
                node: attempt.node,
                source: attempt.source,
                sent_at: self.now,
                outcome: None,
            });
            let started = Instant::now();
            black_box(self.router.next_check(self.now, &request));
            self.elapsed_ns[2] += started.elapsed().as_nanos() as f64 - clock_overhead_ns;
            request.attempts[0].outcome = Some(Outcome::Success);
            let started = Instant::now();
            black_box(self.router.on_outcome(self.now + 30 * MS, &request, 0, 30 * MS, None));
            self.elapsed_ns[1] += started.elapsed().as_nanos() as f64 - clock_overhead_ns;
        }
        self.router.take_log_lines();
    }
}

pub(crate) fn measure_calls() -> Vec<Cost> {
    let clock_overhead_ns = median((0..2_001).map(|_| Instant::now().elapsed().as_nanos() as f64).collect());
    let warmed_up_path = |&nodes: &usize| {
        let mut path = RequestPath {
            router: router_with_nodes(nodes),
            now: START_TIME,
            next: 1,
            elapsed_ns: [0.0; 3],
            attempts: 0,
        };
        (0..20).for_each(|_| path.run_round(clock_overhead_ns));
        path
    };
    let mut paths: Vec<RequestPath> = NODE_COUNTS.iter().map(warmed_up_path).collect();
    let mut samples = vec![[const { Vec::new() }; 3]; NODE_COUNTS.len()];
    for _ in 0..4 * ROUNDS {
        for (path, samples) in paths.iter_mut().zip(&mut samples) {
            path.run_round(clock_overhead_ns);
            let counts = [REQUESTS_PER_ROUND, path.attempts.max(1), path.attempts.max(1)];
            for call in 0..3 {
                samples[call].push(path.elapsed_ns[call] / counts[call] as f64);
            }
        }
    }
    let descriptions = [
        ("module-route", "route: selects the node for a request"),
        ("module-after", "on_outcome: decides after an attempt's outcome"),
        ("module-patience", "next_check: time until the request is checked again"),
    ];
    let points_of_call = |call: usize| {
        NODE_COUNTS
            .iter()
            .zip(&samples)
            .map(move |(n, s)| Point { size: *n as f64, value: median(s[call].clone()) })
    };
    let cost = |(call, (name, description))| {
        let points = points_of_call(call).collect();
        Cost { name, description, size_unit: "nodes", unit: "ns", kind: MeasurementKind::Timed, points }
    };
    descriptions.into_iter().enumerate().map(cost).collect()
}

/// Returns the resident bytes of one router. The result is right only in a process in which nothing else was measured.
pub(crate) fn router_memory(nodes: usize) -> f64 {
    resident_growth_per_item(20_000 / nodes, |_| router_with_nodes(nodes))
}

pub(crate) fn router_purge_memory(known: usize) -> f64 {
    resident_growth_per_item((200_000 / known).max(1), |_| router_with_purges(known))
}

pub(crate) const MEMORY_SIZES: [usize; 7] = NODE_COUNTS;
pub(crate) const PURGE_MEMORY_SIZES: [usize; 6] = KNOWN_PURGE_COUNTS;
