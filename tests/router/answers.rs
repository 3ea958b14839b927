//! One answer before the deadline, no effect twice, retries within their budget.

use sablecross::*;

use crate::support::*;

#[test]
fn without_members_a_request_goes_on_or_is_rejected_at_once() {
    // (caches, parents, origin listed, node, source)
    let cases = [
        (2, 0, true, Some((true, Some(ORIGIN)))),
        (0, 1, true, Some((false, Some(ORIGIN)))),
        (0, 0, true, None),
        (0, 0, false, None),
        (2, 0, false, Some((true, None))),
    ];
    for (caches, parents, origin, want) in cases {
        let mut lines = endpoint_list(caches, parents);
        lines.retain(|l| origin || l.node != ORIGIN);
        let mut router = router_with(settings(), &lines);
        match (router.route(START, &new_request(5, START)), want) {
            (RouteDecision::Attempt(s), Some((cache, source))) => {
                assert_eq!((s.node < 50, s.source), (cache, source));
            }
            (RouteDecision::Reject { retry_after: pause }, None) => assert!(pause > 0),
            (got, want) => panic!("{caches} {parents} {origin}: {got:?}, not {want:?}"),
        }
    }
    let mut unlisted = Router::new(settings(), 1, START);
    assert!(matches!(unlisted.route(START, &new_request(5, START)), RouteDecision::Reject { .. }));
}

#[test]
fn every_request_has_its_answer_before_the_deadline() {
    // The transfer time is 100 ms: with less than most of that left the request is given up at once.
    for left in [0, MS, 4 * MS, 60 * MS, 80 * MS, 400 * MS] {
        let mut router = router_with(settings(), &endpoint_list(3, 2));
        let mut request = Request { deadline: START + left, ..new_request(1, START) };
        match route_and_record(&mut router, START, &mut request) {
            RouteDecision::Attempt(s) => {
                assert!(s.timeout < left, "the last time-out leaves time to answer");
                let now = START + s.timeout;
                assert_eq!(finish_last(&mut router, now, &mut request, Outcome::TimedOut), NextStep::Retry);
                assert!(matches!(router.route(now, &request), RouteDecision::Reject { .. }));
            }
            route => {
                assert!(left <= 60 * MS && matches!(route, RouteDecision::Reject { .. }), "{left} {route:?}")
            }
        }
    }
    // Success ends it, and what is still outstanding is cancelled.
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
fn effects_do_not_happen_twice() {
    use Outcome::*;
    let dedup = |within| Effect::Deduplicated { within, window: SEC };
    // (effect, outcome of the first attempt, when, another attempt, whether a rejection is allowed at the deadline, by
    // when nodes no longer recognise a repeat: the client's retry would be executed again)
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
    for (effect, outcome, after, again, rejected) in cases {
        let set = Settings { request_classes: vec![class_with_effect(effect)], ..settings() };
        let mut router = router_with(set, &endpoint_list(4, 2));
        let mut request = new_request(8, START);
        route_and_record(&mut router, START, &mut request);
        if effect == Effect::SideEffecting {
            assert_eq!(router.route(START + SEC, &request), RouteDecision::Wait, "no hedge");
        }
        assert_eq!(finish_last(&mut router, START + after, &mut request, outcome), NextStep::Retry);
        let route = router.route(START + after, &request);
        assert_eq!(matches!(route, RouteDecision::Attempt(_)), again, "{effect:?} {outcome:?} {route:?}");
        let route = router.route(request.deadline, &request);
        assert_eq!(matches!(route, RouteDecision::Reject { .. }), rejected, "{effect:?} {outcome:?}");
        assert_eq!(route == RouteDecision::Fail, !rejected);
    }
    // A cell's repeats stay in the cell.
    for object in 0..50 {
        let set = Settings {
            request_classes: vec![class_with_effect(dedup(DeduplicationScope::Cell))],
            ..settings()
        };
        let mut router = router_with(set, &endpoint_list(4, 2));
        let mut request = new_request(object, START);
        route_and_record(&mut router, START, &mut request);
        finish_last(&mut router, START + MS, &mut request, Outcome::Error);
        if let RouteDecision::Attempt(s) = router.route(START + MS, &request) {
            assert_eq!(s.node / 2, request.attempts[0].node / 2);
        }
    }
}

/// Guards against an effect that runs twice: a node that stands still begins an attempt once the others have forgotten
/// the one that ran.
#[test]
fn outstanding_attempts_are_cancelled_before_nodes_forget_the_effect() {
    use Outcome::*;
    let window = SEC;
    // (outcome of the first attempt, none while it is outstanding; whether the second is cancelled)
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
        let set = Settings { request_classes: vec![class_with_effect(effect)], ..settings() };
        let mut router = router_with(set, &endpoint_list(4, 2));
        let mut request = new_request(8, START);
        route_and_record(&mut router, START, &mut request);
        assert!(router.next_check(START, &request).is_none_or(|wait| wait < window), "only a hedge is due");
        if let Some(outcome) = outcome {
            finish_last(&mut router, START + 300 * MS, &mut request, outcome);
        }
        let second_at = START + 500 * MS;
        let second = route_and_record(&mut router, second_at, &mut request);
        assert!(matches!(second, RouteDecision::Attempt(_)), "{outcome:?} {second:?}");
        // The checks that the router asks for, up to the end of the window.
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
fn an_attempt_that_was_never_sent_costs_no_retry_budget() {
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
fn a_repeat_comes_while_nodes_recognise_it_or_not_at_all() {
    let effect = Effect::Deduplicated { within: DeduplicationScope::All, window: SEC };
    // (given up so long after the first attempt, outcome of that, whether it is rejected)
    let cases = [
        (100 * MS, Outcome::Error, true),
        (600 * MS, Outcome::TimedOut, true),
        (970 * MS, Outcome::ConnectionLost, false),
        (2 * SEC, Outcome::Error, false),
        (2 * SEC, Outcome::Overloaded, true),
    ];
    for (after, outcome, rejected) in cases {
        for pauses in [true, false] {
            let set = Settings {
                request_classes: vec![class_with_effect(effect)],
                may_send_retry_after: pauses,
                max_attempts: 2,
                ..settings()
            };
            let mut router = router_with(set, &endpoint_list(4, 2));
            let mut request = new_request(8, START);
            let RouteDecision::Attempt(first) = route_and_record(&mut router, START, &mut request) else {
                panic!("sent")
            };
            assert_eq!(first.begin_by, Ns::MAX);
            finish_last(&mut router, START + after, &mut request, outcome);
            if rejected && outcome != Outcome::Overloaded {
                // A further attempt may wait for its connection: no longer than nodes recognise it.
                let RouteDecision::Attempt(next) = router.route(START + after, &request) else {
                    panic!("sent again")
                };
                assert_eq!(next.begin_by, START + SEC);
            }
            request.deadline = START + after;
            let RouteDecision::Reject { retry_after: pause } = router.route(START + after, &request) else {
                assert!(!rejected, "{after} {outcome:?}");
                assert_eq!(router.route(START + after, &request), RouteDecision::Fail);
                continue;
            };
            assert!(rejected && (pause > 0) == pauses, "{after} {outcome:?}");
            assert!(outcome == Outcome::Overloaded || after + pause < SEC, "{after} {pause}");
        }
    }
}

#[test]
fn a_broken_answer_is_asked_of_its_primary_cache_once_more() {
    // (outcome of the first attempt, whether the second goes to the same cache)
    let cases = [
        (Outcome::ConnectionLost, true),
        (Outcome::Error, true),
        (Outcome::Overloaded, false),
        (Outcome::ConnectFailed, false),
    ];
    for (outcome, same) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut request = new_request(5, START);
        for _ in 0..2 {
            assert!(matches!(
                route_and_record(&mut router, START + MS, &mut request),
                RouteDecision::Attempt(_)
            ));
            finish_last(&mut router, START + 2 * MS, &mut request, outcome);
        }
        assert_eq!(request.attempts[0].node == request.attempts[1].node, same, "{outcome:?}");
        assert!(
            !matches!(router.route(START + 3 * MS, &request), RouteDecision::Attempt(s) if s.node == request.attempts[0].node)
        );
    }
}
