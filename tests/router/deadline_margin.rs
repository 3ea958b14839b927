//! Requests are answered earlier while the caller's threads are woken late.

use sablecross::*;

use crate::support::*;

/// Calls the router at each time that it asks for, until it ends the outstanding attempt. Returns the time that is
/// then left.
fn time_left_at_timeout(router: &mut Router, mut now: Ns, request: &Request) -> Option<Ns> {
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

/// Guards against answers after the deadline on a machine with too few processors.
#[test]
fn answers_leave_earlier_while_threads_are_woken_late() {
    let case_settings = Settings { may_hedge: false, ..settings() };
    // (delay, budget, the least and the most time left when the attempt is ended early; none if it is not ended
    // early)
    let cases = [
        (0, 4 * SEC, None),
        (5 * MS, 4 * SEC, None),
        (10 * MS, 4 * SEC, Some((19 * MS, 23 * MS))),
        (25 * MS, 4 * SEC, Some((64 * MS, 68 * MS))),
        // The margin is at most three times 45 ms, and at most a quarter of the budget.
        (600 * MS, 4 * SEC, Some((139 * MS, 143 * MS))),
        (600 * MS, 400 * MS, Some((104 * MS, 108 * MS))),
    ];
    for (delay, budget, expected) in cases {
        let mut router = router_with(case_settings.clone(), &endpoint_list(3, 2));
        router.record_wakeup_delay(START, 0);
        let mut request = Request { deadline: START + budget, ..new_request(1, START) };
        let route = route_and_record(&mut router, START, &mut request);
        assert!(matches!(route, RouteDecision::Attempt(spec) if spec.timeout == budget - 4 * MS));
        let measured_at = START + budget.saturating_sub(500 * MS);
        router.record_wakeup_delay(measured_at, delay);
        let left = time_left_at_timeout(&mut router, measured_at, &request);
        let is_expected = match expected {
            None => left.is_none(),
            Some((least, most)) => left.is_some_and(|left| (least..=most).contains(&left)),
        };
        assert!(is_expected, "{delay} of {budget}: {left:?} left");
    }
}

#[test]
fn wakeup_delays_are_forgotten_and_without_any_no_check_is_due() {
    let case_settings = Settings { may_hedge: false, ..settings() };
    let mut router = router_with(case_settings, &endpoint_list(3, 2));
    let mut request = new_request(1, START);
    route_and_record(&mut router, START, &mut request);
    assert_eq!(router.next_check(START, &request), None);
    router.record_wakeup_delay(START, 50 * MS);
    let later = START + 10 * SEC;
    let mut request = new_request(2, later);
    let route = route_and_record(&mut router, later, &mut request);
    assert!(matches!(route, RouteDecision::Attempt(spec) if spec.timeout == 4 * SEC - 4 * MS), "{route:?}");
}
