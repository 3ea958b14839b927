//! Who is ejected, by whose fault, and restored.

use sablecross::*;

use crate::support::*;

#[test]
fn a_failing_cache_gets_only_trials_until_it_is_well() {
    for outcome in [Outcome::Error, Outcome::ConnectionLost, Outcome::ConnectFailed] {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut now = START;
        let mut hits = 0;
        for o in 0..2_000_u64 {
            now += 5 * MS;
            let mut request = new_request(o, now);
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let ill = s.node == 2;
            hits += u32::from(ill && o > 400);
            finish_last(
                &mut router,
                now + 2 * MS,
                &mut request,
                if ill { outcome } else { Outcome::Success },
            );
        }
        assert_eq!(count_log_lines(&mut router, "down node=2"), 1, "{outcome:?}");
        assert!(hits < 10, "{hits} sends to a failing cache");
        for o in 0..2_000 {
            now += 5 * MS;
            route_and_finish(&mut router, now, o, 2 * MS, Outcome::Success);
        }
        assert_eq!(count_log_lines(&mut router, "up node=2"), 1);
    }
}

#[test]
fn a_parents_fault_is_distinguished_from_its_path_and_the_origin() {
    // (whether the parent itself fails, whose fills fail): only attempts direct at the parent eject it.
    let cases: [(bool, &[usize]); 3] = [(true, &[51]), (false, &[51]), (false, &[50, 51])];
    for (ill, cut) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let (mut looks, mut lines) = (0, Vec::new());
        for o in 0..3_000_u64 {
            let now = START + o * 10 * MS;
            let mut request = new_request(o, now);
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let at_parent = s.node >= 50;
            looks += u32::from(at_parent && s.source.is_none());
            let outcome = match (at_parent, s.source) {
                (true, _) if ill => Outcome::Error,
                (true, _) => Outcome::Miss,
                (false, Some(p)) if cut.contains(&p) => Outcome::Error,
                _ => Outcome::Success,
            };
            if finish_last(&mut router, now + 60 * MS, &mut request, outcome) == NextStep::Retry
                && let RouteDecision::Attempt(again) =
                    route_and_record(&mut router, now + 60 * MS, &mut request)
                && cut == [51]
                && s.source == Some(51)
            {
                assert_ne!(again.source, Some(51), "a failed fill is asked of the other parent");
            }
            lines.extend(router.take_log_lines().into_iter().filter(|l| l.starts_with("down")));
        }
        assert!(looks > 0);
        assert_eq!(lines.iter().any(|l| l.contains("node=51")), ill, "{lines:?}");
    }
}

#[test]
fn a_silent_cache_is_found_sooner_than_a_slow_one() {
    // (whether the cache answers other requests meanwhile, least and most timeouts until it is ejected)
    for (answers, least, most) in [(false, 2, 2), (true, 4, 20)] {
        let mut router = router_with(settings(), &endpoint_list(1, 2));
        let mut times = 0;
        while count_log_lines(&mut router, "down node=0") == 0 && times < 30 {
            let now = START + times * 10 * SEC;
            let (mut request, mut other) = (new_request(times, now), new_request(900 + times, now));
            route_and_record(&mut router, now, &mut request);
            route_and_record(&mut router, now, &mut other);
            if answers {
                finish_last(&mut router, now + SEC, &mut other, Outcome::Success);
            }
            request.attempts[0].outcome = Some(Outcome::TimedOut);
            router.on_outcome(now + 3 * SEC, &request, 0, 3 * SEC, None);
            times += 1;
        }
        assert!((least..=most).contains(&times), "{answers}: {times}");
    }
}

/// Clients that give less time than an attempt takes: what came of it says nothing of caches, parents or an overload.
#[test]
fn clients_that_give_too_little_time_eject_no_member() {
    let run = |given: Ns| {
        let set = Settings { directors_per_zone: vec![0, 0, 8], ..settings() };
        let mut router = router_with(set, &endpoint_list(4, 2));
        for n in 0..200 {
            let now = START + n * 50 * MS;
            let mut request = Request { deadline: now + given, ..new_request(n % 7, now) };
            if let RouteDecision::Attempt(_) = route_and_record(&mut router, now, &mut request) {
                finish_last(&mut router, now + given - 4 * MS, &mut request, Outcome::TimedOut);
            }
        }
        let now = START + 11 * SEC;
        let mut sent = 0;
        for n in 0..20 {
            sent += usize::from(matches!(
                route_and_record(&mut router, now, &mut new_request(n, now)),
                RouteDecision::Attempt(_)
            ));
        }
        (count_log_lines(&mut router, "down "), sent)
    };
    // A transfer of 100 ms in 90 or 150 ms; in four seconds a timeout is a node's own.
    assert_eq!(run(90 * MS), (0, 20));
    assert_eq!(run(150 * MS), (0, 20));
    assert!(run(4 * SEC).0 > 0);
}
