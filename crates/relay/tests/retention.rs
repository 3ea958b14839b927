//! Tests the retention time with the real router: a purge older than its lifetime changes no decision, a younger one
//! does.

#[allow(dead_code, unreachable_pub)]
#[path = "../../../tests/support/mod.rs"]
mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::*;
use sablecross_relay::RetentionWindow;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use support::*;

fn settings_with(purge_propagation_window: Ns, fresh_for: Ns, stale_for: Ns) -> Settings {
    let request_classes =
        vec![RequestClass { fresh_for, stale_for, ..class_with_effect(Effect::Idempotent) }];
    Settings { purge_propagation_window, request_classes, ..settings() }
}

/// Returns the decisions of a router from `from` on for a few objects of two groups. `purge` is the purge that the
/// router has received, if any: its object, or `None` for the whole group, and its time.
fn decisions(
    settings: &Settings,
    purge: Option<(Option<u64>, Ns)>,
    from: Ns,
    seed: u64,
) -> Vec<RouteDecision> {
    let mut router = Router::new(settings.clone(), seed, START);
    router.update_endpoints(START, &endpoint_list(4, 2), true);
    if let Some((object, at)) = purge {
        router.record_purge(at, object, 3, 0);
    }
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut routes = Vec::new();
    for i in 0..60 {
        let now = from + i * 20 * MS;
        let mut request = new_request(rng.random_range(0..4), now);
        request.group = if rng.random_bool(0.7) { 3 } else { 4 };
        let route = route_and_record(&mut router, now, &mut request);
        if let RouteDecision::Attempt(_) = route {
            let outcomes =
                [Outcome::Success, Outcome::Success, Outcome::Overloaded, Outcome::Miss, Outcome::TimedOut];
            let outcome = outcomes[rng.random_range(0..outcomes.len())];
            if finish_last(&mut router, now + 10 * MS, &mut request, outcome) == NextStep::Retry {
                routes.push(route_and_record(&mut router, now + 12 * MS, &mut request));
            }
        }
        routes.push(route);
    }
    routes
}

/// Returns how many decision sequences are the same with and without the purge, and how many differ. The decisions
/// begin `before` ahead of the end of the purge's lifetime, which `lifetime` returns. The cases are purges of an object
/// and of a group, and request classes whose copies are fresh until purged, that expire, and that may be served stale
/// after that.
fn count_same_and_different(before: Ns, lifetime: impl Fn(&RetentionWindow) -> Ns) -> (usize, usize) {
    let at = START + SEC;
    let (mut same, mut different) = (0, 0);
    for purge_propagation in [0, 6 * SEC, 90 * SEC] {
        for (fresh_for, stale_for) in [(0, 0), (3_600 * SEC, 0), (3_600 * SEC, 600 * SEC)] {
            for (object, seed) in (0..40).map(|s| ((s % 2 == 0).then_some(s % 4), s)) {
                let settings = settings_with(purge_propagation, fresh_for, stale_for);
                let window =
                    RetentionWindow { purge_propagation, hold_time: PURGE_HOLD_TIME, clock_tolerance: 0 };
                let from = at + lifetime(&window) - before;
                let received = decisions(&settings, Some((object, at)), from, seed);
                let missed = decisions(&settings, None, from, seed);
                if received == missed { same += 1 } else { different += 1 }
            }
        }
    }
    (same, different)
}

#[test]
fn a_purge_past_its_lifetime_changes_no_decision_and_a_younger_one_does() {
    assert_eq!(
        count_same_and_different(0, RetentionWindow::purge_lifetime),
        (360, 0),
        "at the end of its lifetime"
    );
    let (same, different) = count_same_and_different(50 * MS, RetentionWindow::purge_lifetime);
    assert!(different > 250, "50 ms before it: {different} of {} differ", same + different);
    // The log applies the same rule in Unix milliseconds, rounded up.
    let window = RetentionWindow {
        purge_propagation: 6 * SEC + 1,
        hold_time: PURGE_HOLD_TIME,
        clock_tolerance: 2 * SEC,
    };
    assert_eq!(window.retention_time(), 128 * SEC + 1);
    assert!(!window.is_expired(1_000, 129_000) && window.is_expired(1_000, 129_001));
}
