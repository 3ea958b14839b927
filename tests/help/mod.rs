//! Builders shared by the tests.

use sablecross::*;

pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
pub const START: Ns = 1_000 * SEC;
pub const ORIGIN: usize = 90;

pub fn kind(effect: Effect) -> RequestClass {
    RequestClass {
        latency_objective: 400 * MS,
        latency_objective_stretch: Some(1.5),
        priority_weight: 1.0,
        effect,
        fresh_for: 0,
        stale_for: 0,
        is_multipart: false,
        is_uncacheable: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        zone: 2,
        director_index: 0,
        directors_per_zone: vec![0, 0, 1, 1],
        request_classes: vec![kind(Effect::Idempotent)],
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
        purge_propagation_window: 6 * SEC,
        tick: 2 * MS,
    }
}

pub fn line(node: usize, machine: usize) -> EndpointUpdate {
    let zone = if machine == 0 { 2 } else { machine - 1 };
    let rank = 1_000 + node as u64 * 37;
    EndpointUpdate {
        node,
        rank,
        zone,
        machine_kind: machine,
        cell: node / 2,
        started_at: 0,
        state: EndpointState::Ready,
        withheld_virtual_nodes: 0,
    }
}

/// Caches 0.., parents 50.., and the origin.
pub fn list(caches: usize, parents: usize) -> Vec<EndpointUpdate> {
    let caches = (0..caches).map(|n| line(n, 0));
    caches.chain((50..50 + parents).map(|n| line(n, 1))).chain([line(ORIGIN, 2)]).collect()
}

pub fn director(set: Settings, list: &[EndpointUpdate]) -> Router {
    let mut c = Router::new(set, 7, START);
    c.update_endpoints(START, list, true);
    c
}

/// Directors that share one location.
pub fn team(size: usize, list: &[EndpointUpdate]) -> Vec<Router> {
    let of = |number| Settings { director_index: number, directors_per_zone: vec![0, 0, size], ..settings() };
    (0..size).map(|number| director(of(number), list)).collect()
}

pub fn lookup(object: u64, now: Ns) -> Request {
    Request {
        object,
        part: 0,
        group: 3,
        class: 0,
        size_kb: 100.0,
        arrived_at: now,
        deadline: now + 4 * SEC,
        is_client_retry: false,
        is_write: false,
        attempts: Vec::new(),
    }
}

pub fn sent(send: &AttemptSpec, at: Ns) -> Attempt {
    Attempt { node: send.node, source: send.source, sent_at: at, outcome: None }
}

/// Routes a lookup and notes the send, if there is one.
pub fn go(c: &mut Router, now: Ns, lk: &mut Request) -> RouteDecision {
    let route = c.route(now, lk);
    if let RouteDecision::Attempt(s) = &route {
        lk.attempts.push(sent(s, now));
    }
    route
}

/// The outcome of the last send.
pub fn end(c: &mut Router, now: Ns, lk: &mut Request, outcome: Outcome) -> NextStep {
    let shot = lk.attempts.len() - 1;
    lk.attempts[shot].outcome = Some(outcome);
    c.on_outcome(now, lk, shot, now - lk.attempts[shot].sent_at, None)
}

/// Looks an object up and ends its first send.
pub fn look(c: &mut Router, now: Ns, object: u64, took: Ns, outcome: Outcome) -> Option<AttemptSpec> {
    let mut lk = lookup(object, now);
    let RouteDecision::Attempt(s) = go(c, now, &mut lk) else { return None };
    end(c, now + took, &mut lk, outcome);
    Some(s)
}

pub fn mode_lines(c: &mut Router, word: &str) -> usize {
    c.take_log_lines().iter().filter(|l| l.starts_with(word)).count()
}
