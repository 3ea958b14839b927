//! Requests are answered earlier while the caller's threads are woken late.

use sablecross::*;

use crate::support::*;

/// Asks the router at each time that it names until it ends the outstanding attempt; the time that is left then.
fn left_at_time_out(router: &mut Router, mut now: Ns, request: &Request) -> Option<Ns> {
    while let Some(wait) = router.next_check(now, request) {
        now += wait;
        match router.route(now, request) {
            RouteDecision::Wait => {}
            RouteDecision::TimeOutOutstanding => return Some(request.deadline - now),
            other => panic!("{other:?}"),
        }
    }
    None
}

/// Guards against answers after the deadline on a machine that is short of processors.
#[test]
fn an_answer_leaves_earlier_by_what_threads_are_late() {
    let set = Settings { may_hedge: false, ..settings() };
    // (delay, budget, the most and the least that is left when the attempt is ended early; none: it is not)
    let cases = [
        (0, 4 * SEC, None),
        (5 * MS, 4 * SEC, None),
        (10 * MS, 4 * SEC, Some((19 * MS, 23 * MS))),
        (25 * MS, 4 * SEC, Some((64 * MS, 68 * MS))),
        // No more than three times 45 ms, and no more than a quarter of the budget.
        (600 * MS, 4 * SEC, Some((139 * MS, 143 * MS))),
        (600 * MS, 400 * MS, Some((104 * MS, 108 * MS))),
    ];
    for (delay, budget, expected) in cases {
        let mut router = router_with(set.clone(), &endpoint_list(3, 2));
        router.record_wakeup_delay(START, 0);
        let mut request = Request { deadline: START + budget, ..new_request(1, START) };
        let route = route_and_record(&mut router, START, &mut request);
        assert!(matches!(route, RouteDecision::Attempt(spec) if spec.timeout == budget - 4 * MS));
        let measured_at = START + budget.saturating_sub(500 * MS);
        router.record_wakeup_delay(measured_at, delay);
        let left = left_at_time_out(&mut router, measured_at, &request);
        let is_expected = match expected {
            None => left.is_none(),
            Some((least, most)) => left.is_some_and(|left| (least..=most).contains(&left)),
        };
        assert!(is_expected, "{delay} of {budget}: {left:?} left");
    }
}

#[test]
fn delays_are_forgotten_and_a_router_that_is_told_of_none_looks_no_further() {
    let set = Settings { may_hedge: false, ..settings() };
    let mut router = router_with(set, &endpoint_list(3, 2));
    let mut request = new_request(1, START);
    route_and_record(&mut router, START, &mut request);
    assert_eq!(router.next_check(START, &request), None);
    router.record_wakeup_delay(START, 50 * MS);
    let later = START + 10 * SEC;
    let mut request = new_request(2, later);
    let route = route_and_record(&mut router, later, &mut request);
    assert!(matches!(route, RouteDecision::Attempt(spec) if spec.timeout == 4 * SEC - 4 * MS), "{route:?}");
}
