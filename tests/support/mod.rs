//! Builders and helpers that the tests share.

use sablecross::*;

pub(crate) const MS: Ns = 1_000_000;
pub(crate) const SEC: Ns = 1_000 * MS;
pub(crate) const START: Ns = 1_000 * SEC;
pub(crate) const ORIGIN: usize = 90;

pub(crate) fn class_with_effect(effect: Effect) -> RequestClass {
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

pub(crate) fn settings() -> Settings {
    Settings {
        zone: 2,
        director_index: 0,
        directors_per_zone: vec![0, 0, 1, 1],
        request_classes: vec![class_with_effect(Effect::Idempotent)],
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
        purge_propagation_window: 6 * SEC,
        tick: 2 * MS,
    }
}

pub(crate) fn endpoint(node: usize, machine_kind: usize) -> EndpointUpdate {
    let zone = if machine_kind == 0 { 2 } else { machine_kind - 1 };
    let rank = 1_000 + node as u64 * 37;
    EndpointUpdate {
        node,
        rank,
        zone,
        machine_kind,
        cell: node / 2,
        started_at: 0,
        state: EndpointState::Ready,
        withheld_virtual_nodes: 0,
    }
}

/// Caches with indices from 0, parents with indices from 50, and the origin.
pub(crate) fn endpoint_list(caches: usize, parents: usize) -> Vec<EndpointUpdate> {
    let caches = (0..caches).map(|n| endpoint(n, 0));
    caches.chain((50..50 + parents).map(|n| endpoint(n, 1))).chain([endpoint(ORIGIN, 2)]).collect()
}

pub(crate) fn router_with(settings: Settings, list: &[EndpointUpdate]) -> Router {
    let mut router = Router::new(settings, 7, START);
    router.update_endpoints(START, list, true);
    router
}

/// Directors that share one zone and its nodes.
pub(crate) fn routers_sharing_zone(size: usize, list: &[EndpointUpdate]) -> Vec<Router> {
    let settings_of =
        |index| Settings { director_index: index, directors_per_zone: vec![0, 0, size], ..settings() };
    (0..size).map(|index| router_with(settings_of(index), list)).collect()
}

pub(crate) fn new_request(object: u64, now: Ns) -> Request {
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

pub(crate) fn new_attempt(spec: &AttemptSpec, sent_at: Ns) -> Attempt {
    Attempt { node: spec.node, source: spec.source, sent_at, outcome: None }
}

/// Routes a request and records the attempt, if one is returned.
pub(crate) fn route_and_record(router: &mut Router, now: Ns, request: &mut Request) -> RouteDecision {
    let route = router.route(now, request);
    if let RouteDecision::Attempt(spec) = &route {
        request.attempts.push(new_attempt(spec, now));
    }
    route
}

/// Ends the last attempt of a request.
pub(crate) fn finish_last(router: &mut Router, now: Ns, request: &mut Request, outcome: Outcome) -> NextStep {
    let index = request.attempts.len() - 1;
    request.attempts[index].outcome = Some(outcome);
    router.on_outcome(now, request, index, now - request.attempts[index].sent_at, None)
}

/// Routes a request for an object and ends its first attempt after `elapsed`.
pub(crate) fn route_and_finish(
    router: &mut Router,
    now: Ns,
    object: u64,
    elapsed: Ns,
    outcome: Outcome,
) -> Option<AttemptSpec> {
    let mut request = new_request(object, now);
    let RouteDecision::Attempt(spec) = route_and_record(router, now, &mut request) else { return None };
    finish_last(router, now + elapsed, &mut request, outcome);
    Some(spec)
}

pub(crate) fn count_log_lines(router: &mut Router, start: &str) -> usize {
    router.take_log_lines().iter().filter(|l| l.starts_with(start)).count()
}
