//! Requests are answered once and before their deadline, no effect is repeated, and retries keep to their budget.

use sablecross::*;

use crate::support::*;

#[test]
fn request_without_caches_or_parents_is_attempted_or_rejected() {
    // (caches, parents, origin listed, expected: whether the node is a cache, and the source)
    let cases = [
        (2, 0, true, Some((true, Some(ORIGIN)))),
        (0, 1, true, Some((false, Some(ORIGIN)))),
        (0, 0, true, None),
        (0, 0, false, None),
        (2, 0, false, Some((true, None))),
    ];
    for (caches, parents, origin, expected) in cases {
        let mut lines = endpoint_list(caches, parents);
        lines.retain(|l| origin || l.node != ORIGIN);
        let mut router = router_with(settings(), &lines);
        match (router.route(START, &new_request(5, START)), expected) {
            (RouteDecision::Attempt(spec), Some((cache, source))) => {
                assert_eq!((spec.node < 50, spec.source), (cache, source));
            }
            (RouteDecision::Reject { retry_after }, None) => assert!(retry_after > 0),
            (got, expected) => panic!("{caches} {parents} {origin}: {got:?}, not {expected:?}"),
        }
    }
    let mut unlisted = Router::new(settings(), 1, START);
    assert!(matches!(unlisted.route(START, &new_request(5, START)), RouteDecision::Reject { .. }));
}

#[test]
fn every_request_is_answered_before_its_deadline() {
    // The transfer time is 100 ms. A request with much less time left is given up immediately.
    for time_left in [0, MS, 4 * MS, 60 * MS, 80 * MS, 400 * MS] {
        let mut router = router_with(settings(), &endpoint_list(3, 2));
        let mut request = Request { deadline: START + time_left, ..new_request(1, START) };
        match route_and_record(&mut router, START, &mut request) {
            RouteDecision::Attempt(spec) => {
                assert!(spec.timeout < time_left, "the last time-out leaves time to answer");
                let now = START + spec.timeout;
                assert_eq!(finish_last(&mut router, now, &mut request, Outcome::TimedOut), NextStep::Retry);
                assert!(matches!(router.route(now, &request), RouteDecision::Reject { .. }));
            }
            decision => {
                assert!(
                    time_left <= 60 * MS && matches!(decision, RouteDecision::Reject { .. }),
                    "{time_left} {decision:?}"
                )
            }
        }
    }
    // A success ends the request, and the outstanding attempt is cancelled.
    let mut router = router_with(settings(), &endpoint_list(3, 2));
    let mut request = new_request(1, START);
    route_and_record(&mut router, START, &mut request);
    let wait = router.next_check(START, &request).expect("a hedge is possible");
    assert!(matches!(route_and_record(&mut router, START + wait, &mut request), RouteDecision::Attempt(_)));
    assert_ne!(request.attempts[0].node, request.attempts[1].node);
    assert_eq!(
        finish_last(&mut router, START + wait + MS, &mut request, Outcome::Success),
        NextStep::Done { cancel_outstanding: true }
    );
}

#[test]
fn effects_are_not_repeated() {
    use Outcome::*;
    let dedup = |within| Effect::Deduplicated { within, window: SEC };
    // (effect, outcome of the first attempt, its elapsed time, whether there is another attempt, whether the request
    // may be rejected at the deadline). At the deadline nodes no longer recognise a repeat, so a client's retry would
    // be executed again.
    let cases = [
        (Effect::Idempotent, Error, MS, true, true),
        (Effect::SideEffecting, Error, MS, false, false),
        (Effect::SideEffecting, TimedOut, MS, false, false),
        (Effect::SideEffecting, ConnectionLost, MS, false, false),
        (Effect::SideEffecting, Cancelled, MS, false, false),
        (Effect::SideEffecting, Overloaded, MS, true, true),
        (Effect::SideEffecting, ConnectFailed, MS, true, true),
        (Effect::SideEffecting, Miss, MS, true, true),
        (Effect::SideEffecting, NotSent, MS, true, true),
        (dedup(DeduplicationScope::All), Error, MS, true, false),
        (dedup(DeduplicationScope::All), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::All), Overloaded, 2 * SEC, true, true),
        (dedup(DeduplicationScope::Zone), Error, MS, true, false),
        (dedup(DeduplicationScope::Zone), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::Cell), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::Cell), Overloaded, MS, true, true),
    ];
    for (effect, outcome, elapsed, is_retried, is_rejected) in cases {
        let case_settings = Settings { request_classes: vec![class_with_effect(effect)], ..settings() };
        let mut router = router_with(case_settings, &endpoint_list(4, 2));
        let mut request = new_request(8, START);
        route_and_record(&mut router, START, &mut request);
        if effect == Effect::SideEffecting {
            assert_eq!(router.route(START + SEC, &request), RouteDecision::Wait, "no hedge");
        }
        assert_eq!(finish_last(&mut router, START + elapsed, &mut request, outcome), NextStep::Retry);
        let decision = router.route(START + elapsed, &request);
        assert_eq!(
            matches!(decision, RouteDecision::Attempt(_)),
            is_retried,
            "{effect:?} {outcome:?} {decision:?}"
        );
        let decision = router.route(request.deadline, &request);
        assert_eq!(matches!(decision, RouteDecision::Reject { .. }), is_rejected, "{effect:?} {outcome:?}");
        assert_eq!(decision == RouteDecision::Fail, !is_rejected);
    }
    // A repeat of a request that is deduplicated within a cell stays in that cell.
    for object in 0..50 {
        let case_settings = Settings {
            request_classes: vec![class_with_effect(dedup(DeduplicationScope::Cell))],
            ..settings()
        };
        let mut router = router_with(case_settings, &endpoint_list(4, 2));
        let mut request = new_request(object, START);
        route_and_record(&mut router, START, &mut request);
        finish_last(&mut router, START + MS, &mut request, Outcome::Error);
        if let RouteDecision::Attempt(spec) = router.route(START + MS, &request) {
            assert_eq!(spec.node / 2, request.attempts[0].node / 2);
        }
    }
}

/// Guards against an effect that happens twice: a stalled node begins an outstanding attempt after the other nodes
/// have forgotten the attempt that was executed.
#[test]
fn outstanding_attempts_are_cancelled_before_the_deduplication_window_ends() {
    use Outcome::*;
    let window = SEC;
    // (outcome of the first attempt, none while it is outstanding; whether the second attempt is cancelled)
    let cases = [
        (None, true),
        (Some(Error), true),
        (Some(TimedOut), true),
        (Some(ConnectionLost), true),
        (Some(Overloaded), false),
        (Some(ConnectFailed), false),
    ];
    for (outcome, is_cancelled) in cases {
        let effect = Effect::Deduplicated { within: DeduplicationScope::All, window };
        let case_settings = Settings { request_classes: vec![class_with_effect(effect)], ..settings() };
        let mut router = router_with(case_settings, &endpoint_list(4, 2));
        let mut request = new_request(8, START);
        route_and_record(&mut router, START, &mut request);
        assert!(router.next_check(START, &request).is_none_or(|wait| wait < window), "only a hedge is due");
        if let Some(outcome) = outcome {
            finish_last(&mut router, START + 300 * MS, &mut request, outcome);
        }
        let second_at = START + 500 * MS;
        let second = route_and_record(&mut router, second_at, &mut request);
        assert!(matches!(second, RouteDecision::Attempt(_)), "{outcome:?} {second:?}");
        // Follows the checks that the router asks for, up to the end of the deduplication window.
        let mut now = second_at;
        let mut decision = None;
        while let Some(wait) = router.next_check(now, &request).filter(|wait| now + wait < START + window) {
            now += wait;
            decision = Some(router.route(now, &request));
            if decision == Some(RouteDecision::CancelOutstanding) {
                break;
            }
        }
        assert_eq!(decision == Some(RouteDecision::CancelOutstanding), is_cancelled, "{outcome:?}");
    }
}

#[test]
fn unsent_attempt_costs_no_retry_budget() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for object in 0..40 {
        let mut request = new_request(object, START);
        route_and_record(&mut router, START, &mut request);
        finish_last(&mut router, START, &mut request, Outcome::NotSent);
        assert!(
            matches!(route_and_record(&mut router, START, &mut request), RouteDecision::Attempt(_)),
            "{object}"
        );
        finish_last(&mut router, START + MS, &mut request, Outcome::Success);
    }
}

#[test]
fn repeats_stay_within_the_deduplication_window() {
    let effect = Effect::Deduplicated { within: DeduplicationScope::All, window: SEC };
    // (time after the first attempt at which the request is given up, outcome of that attempt, whether the request is
    // rejected)
    let cases = [
        (100 * MS, Outcome::Error, true),
        (600 * MS, Outcome::TimedOut, true),
        (970 * MS, Outcome::ConnectionLost, false),
        (2 * SEC, Outcome::Error, false),
        (2 * SEC, Outcome::Overloaded, true),
    ];
    for (elapsed, outcome, is_rejected) in cases {
        for sends_retry_after in [true, false] {
            let case_settings = Settings {
                request_classes: vec![class_with_effect(effect)],
                may_send_retry_after: sends_retry_after,
                max_attempts: 2,
                ..settings()
            };
            let mut router = router_with(case_settings, &endpoint_list(4, 2));
            let mut request = new_request(8, START);
            let RouteDecision::Attempt(first) = route_and_record(&mut router, START, &mut request) else {
                panic!("no attempt")
            };
            assert_eq!(first.begin_by, Ns::MAX);
            finish_last(&mut router, START + elapsed, &mut request, outcome);
            if is_rejected && outcome != Outcome::Overloaded {
                // A further attempt may wait for its connection only as long as nodes recognise it as a repeat.
                let RouteDecision::Attempt(next) = router.route(START + elapsed, &request) else {
                    panic!("no second attempt")
                };
                assert_eq!(next.begin_by, START + SEC);
            }
            request.deadline = START + elapsed;
            let RouteDecision::Reject { retry_after } = router.route(START + elapsed, &request) else {
                assert!(!is_rejected, "{elapsed} {outcome:?}");
                assert_eq!(router.route(START + elapsed, &request), RouteDecision::Fail);
                continue;
            };
            assert!(is_rejected && (retry_after > 0) == sends_retry_after, "{elapsed} {outcome:?}");
            assert!(outcome == Outcome::Overloaded || elapsed + retry_after < SEC, "{elapsed} {retry_after}");
        }
    }
}

#[test]
fn failed_answer_is_retried_once_at_the_primary_cache() {
    // (outcome of the first attempt, whether the second attempt goes to the same cache)
    let cases = [
        (Outcome::ConnectionLost, true),
        (Outcome::Error, true),
        (Outcome::Overloaded, false),
        (Outcome::ConnectFailed, false),
    ];
    for (outcome, is_same_cache) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut request = new_request(5, START);
        for _ in 0..2 {
            assert!(matches!(
                route_and_record(&mut router, START + MS, &mut request),
                RouteDecision::Attempt(_)
            ));
            finish_last(&mut router, START + 2 * MS, &mut request, outcome);
        }
        assert_eq!(request.attempts[0].node == request.attempts[1].node, is_same_cache, "{outcome:?}");
        assert!(
            !matches!(router.route(START + 3 * MS, &request), RouteDecision::Attempt(s) if s.node == request.attempts[0].node)
        );
    }
}
