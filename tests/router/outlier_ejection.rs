//! Which nodes are ejected, which node a failure is blamed on, and when nodes are restored.

use sablecross::*;

use crate::support::*;

#[test]
fn failing_cache_gets_only_trials_until_it_works_again() {
    for outcome in [Outcome::Error, Outcome::ConnectionLost, Outcome::ConnectFailed] {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut now = START;
        let mut attempts = 0;
        for object in 0..2_000_u64 {
            now += 5 * MS;
            let mut request = new_request(object, now);
            let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let is_failing = spec.node == 2;
            attempts += u32::from(is_failing && object > 400);
            finish_last(
                &mut router,
                now + 2 * MS,
                &mut request,
                if is_failing { outcome } else { Outcome::Success },
            );
        }
        assert_eq!(count_log_lines(&mut router, "down node=2"), 1, "{outcome:?}");
        assert!(attempts < 10, "{attempts} attempts at a failing cache");
        for object in 0..2_000 {
            now += 5 * MS;
            route_and_finish(&mut router, now, object, 2 * MS, Outcome::Success);
        }
        assert_eq!(count_log_lines(&mut router, "up node=2"), 1);
    }
}

#[test]
fn parent_failures_are_distinguished_from_network_and_origin_failures() {
    // (whether the parent itself fails, the sources whose fills fail): only attempts sent directly to the parent
    // eject it.
    let cases: [(bool, &[usize]); 3] = [(true, &[51]), (false, &[51]), (false, &[50, 51])];
    for (is_failing, failing_sources) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let (mut direct_checks, mut lines) = (0, Vec::new());
        for object in 0..3_000_u64 {
            let now = START + object * 10 * MS;
            let mut request = new_request(object, now);
            let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let is_at_parent = spec.node >= 50;
            direct_checks += u32::from(is_at_parent && spec.source.is_none());
            let outcome = match (is_at_parent, spec.source) {
                (true, _) if is_failing => Outcome::Error,
                (true, _) => Outcome::Miss,
                (false, Some(source)) if failing_sources.contains(&source) => Outcome::Error,
                _ => Outcome::Success,
            };
            if finish_last(&mut router, now + 60 * MS, &mut request, outcome) == NextStep::Retry
                && let RouteDecision::Attempt(again) =
                    route_and_record(&mut router, now + 60 * MS, &mut request)
                && failing_sources == [51]
                && spec.source == Some(51)
            {
                assert_ne!(again.source, Some(51), "a failed fill is asked of the other parent");
            }
            lines.extend(router.take_log_lines().into_iter().filter(|line| line.starts_with("down")));
        }
        assert!(direct_checks > 0);
        assert_eq!(lines.iter().any(|line| line.contains("node=51")), is_failing, "{lines:?}");
    }
}

#[test]
fn unresponsive_cache_is_ejected_sooner_than_a_slow_one() {
    // (whether the cache answers other requests meanwhile, the least and the most timeouts until it is ejected)
    for (is_answering, min_timeouts, max_timeouts) in [(false, 2, 2), (true, 4, 20)] {
        let mut router = router_with(settings(), &endpoint_list(1, 2));
        let mut timeouts = 0;
        while count_log_lines(&mut router, "down node=0") == 0 && timeouts < 30 {
            let now = START + timeouts * 10 * SEC;
            let (mut request, mut other) = (new_request(timeouts, now), new_request(900 + timeouts, now));
            route_and_record(&mut router, now, &mut request);
            route_and_record(&mut router, now, &mut other);
            if is_answering {
                finish_last(&mut router, now + SEC, &mut other, Outcome::Success);
            }
            request.attempts[0].outcome = Some(Outcome::TimedOut);
            router.on_outcome(now + 3 * SEC, &request, 0, 3 * SEC, None);
            timeouts += 1;
        }
        assert!((min_timeouts..=max_timeouts).contains(&timeouts), "{is_answering}: {timeouts}");
    }
}

/// Guards against ejections caused by clients that give less time than an attempt takes: their timeouts say nothing
/// about caches, parents or an overload.
#[test]
fn timeouts_of_short_deadlines_eject_no_node() {
    let run = |given: Ns| {
        let case_settings = Settings { directors_per_zone: vec![0, 0, 8], ..settings() };
        let mut router = router_with(case_settings, &endpoint_list(4, 2));
        for index in 0..200 {
            let now = START + index * 50 * MS;
            let mut request = Request { deadline: now + given, ..new_request(index % 7, now) };
            if let RouteDecision::Attempt(_) = route_and_record(&mut router, now, &mut request) {
                finish_last(&mut router, now + given - 4 * MS, &mut request, Outcome::TimedOut);
            }
        }
        let now = START + 11 * SEC;
        let mut sent = 0;
        for index in 0..20 {
            sent += usize::from(matches!(
                route_and_record(&mut router, now, &mut new_request(index, now)),
                RouteDecision::Attempt(_)
            ));
        }
        (count_log_lines(&mut router, "down "), sent)
    };
    // A transfer takes 100 ms. 90 or 150 ms are too little time for an attempt, but a timeout after four seconds is
    // the node's fault.
    assert_eq!(run(90 * MS), (0, 20));
    assert_eq!(run(150 * MS), (0, 20));
    assert!(run(4 * SEC).0 > 0);
}
