//! The retention time against the real router: an older purge changes nothing that it decides, a younger
//! one does.

#[allow(dead_code, unreachable_pub)]
#[path = "../../../tests/support/mod.rs"]
mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::*;
use sablecross_relay::RetentionWindow;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use support::*;

fn with(cleared: Ns, fresh_time: Ns, grace_time: Ns) -> Settings {
    let kinds = vec![RequestClass {
        fresh_for: fresh_time,
        stale_for: grace_time,
        ..class_with_effect(Effect::Idempotent)
    }];
    Settings { purge_propagation_window: cleared, request_classes: kinds, ..settings() }
}

/// What a director decides from `from` on for a few objects of two groups, as it has received a purge or not
/// (object and time).
fn decides(set: &Settings, told: Option<(Option<u64>, Ns)>, from: Ns, seed: u64) -> Vec<RouteDecision> {
    let mut c = Router::new(set.clone(), seed, START);
    c.update_endpoints(START, &endpoint_list(4, 2), true);
    if let Some((object, at)) = told {
        c.record_purge(at, object, 3, 0);
    }
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut routes = Vec::new();
    for i in 0..60 {
        let now = from + i * 20 * MS;
        let mut lk = new_request(rng.random_range(0..4), now);
        lk.group = if rng.random_bool(0.7) { 3 } else { 4 };
        let route = route_and_record(&mut c, now, &mut lk);
        if let RouteDecision::Attempt(_) = route {
            let outcomes =
                [Outcome::Success, Outcome::Success, Outcome::Overloaded, Outcome::Miss, Outcome::TimedOut];
            let outcome = outcomes[rng.random_range(0..outcomes.len())];
            if finish_last(&mut c, now + 10 * MS, &mut lk, outcome) == NextStep::Retry {
                routes.push(route_and_record(&mut c, now + 12 * MS, &mut lk));
            }
        }
        routes.push(route);
    }
    routes
}

/// For purges of an object and of a group, classes that are fresh until purged, that age, and that may then be
/// served stale. How many decisions are the same, and how many differ.
fn differ(before: Ns, of: impl Fn(&RetentionWindow) -> Ns) -> (usize, usize) {
    let at = START + SEC;
    let (mut same, mut other) = (0, 0);
    for purge_propagation in [0, 6 * SEC, 90 * SEC] {
        for (fresh_for, stale_for) in [(0, 0), (3_600 * SEC, 0), (3_600 * SEC, 600 * SEC)] {
            for (object, seed) in (0..40).map(|s| ((s % 2 == 0).then_some(s % 4), s)) {
                let set = with(purge_propagation, fresh_for, stale_for);
                let window =
                    RetentionWindow { purge_propagation, hold_time: PURGE_HOLD_TIME, clock_tolerance: 0 };
                let from = at + of(&window) - before;
                let received = decides(&set, Some((object, at)), from, seed);
                let missed = decides(&set, None, from, seed);
                if received == missed { same += 1 } else { other += 1 }
            }
        }
    }
    (same, other)
}

#[test]
fn a_purge_past_its_lifetime_changes_no_decision_and_a_younger_one_does() {
    assert_eq!(differ(0, RetentionWindow::purge_lifetime), (360, 0), "at the end of its lifetime");
    let (same, other) = differ(50 * MS, RetentionWindow::purge_lifetime);
    assert!(other > 250, "50 ms before it: {other} of {} differ", same + other);
    // Of the log's own rule in Unix milliseconds, which rounds up.
    let window = RetentionWindow {
        purge_propagation: 6 * SEC + 1,
        hold_time: PURGE_HOLD_TIME,
        clock_tolerance: 2 * SEC,
    };
    assert_eq!(window.retention_time(), 128 * SEC + 1);
    assert!(!window.is_expired(1_000, 129_000) && window.is_expired(1_000, 129_001));
}
