//! The attempts that cold nodes get from all directors together, when classes differ in their transfer times. No
//! class may earn credit that other classes spend all at once.

use sablecross::*;

use crate::fleet::*;
use crate::slow_start_order::*;
use crate::support::*;

/// A slow-start window during most of which demand exceeds the capacity of a cold node.
const LONG_WINDOW: Ns = 20 * SEC;
/// A slow-start window so long that the capacity of a cold node hardly changes during a quiet period.
const ENDLESS_WINDOW: Ns = 120 * SEC;

fn settings_with_window(objectives: &[Ns], window: Ns) -> Settings {
    Settings { slow_start_window: window, parent_slow_start_window: window, ..settings_with(objectives) }
}

/// The sum of the transfer times that one second of traffic asks for, in nanoseconds.
fn work_of(traffic: &[ClassTraffic]) -> f64 {
    traffic.iter().map(|class| class.per_second * class.transfer_time as f64).sum()
}

/// Checks that neither a cold cache nor a cold parent collapses while the traffic of `phases` arrives. Warm nodes
/// have the capacity for `capacity_traffic` or for the traffic of the last phase, whichever is more work. Work is the
/// sum of each traffic's own transfer times, in units of the mean transfer time of the last phase.
fn assert_no_collapse_during(
    fleet: &mut Fleet,
    settings: &Settings,
    phases: &[(Ns, &[ClassTraffic])],
    capacity_traffic: &[ClassTraffic],
    case: &str,
) {
    let started_at = fleet.now;
    replace_one_of_each(fleet);
    fleet.announce();
    phases.iter().for_each(|&(duration, traffic)| fleet.run_for(duration, traffic));
    let Some(&(_, last)) = phases.last() else { return };
    let mean = work_of(last) / last.iter().map(|class| class.per_second).sum::<f64>();
    let work: Vec<f64> = last.iter().map(|class| class.transfer_time as f64 / mean).collect();
    let capacity = work_of(capacity_traffic).max(work_of(last)) / mean;
    let cold = [
        ColdNode::cache(settings, NEW_CACHE, started_at, capacity / CACHES as f64),
        ColdNode::parent(settings, NEW_PARENT, started_at, capacity / PARENTS as f64),
    ];
    assert_no_collapse(fleet, &cold, &work, case);
}

// ---- credit that a class earns by its mean transfer time ----

/// Guards against a load estimate in which earlier requests of a class count as much as its present ones, which take
/// longer.
#[test]
fn class_whose_objects_become_larger_overloads_no_cold_node() {
    let settings = settings_with(&[4 * MS, OBJECTIVE]);
    let before = [of_known_size(3_000.0, 2 * MS), of_known_size(600.0, TRANSFER_TIME)];
    let after = [of_known_size(30.0, 500 * MS), of_known_size(600.0, TRANSFER_TIME)];
    for seconds in [10, 20, 40] {
        let mut fleet = fleet_with(&settings);
        fleet.run_for(10 * SEC, &before);
        fleet.run_for(seconds * SEC, &after);
        let case = format!("{seconds} s after");
        assert_no_collapse_during(&mut fleet, &settings, &[(6 * SEC, &after)], &before, &case);
    }
}

/// Guards against a class that earns credit for others by its initial mean, which is far above its real transfer
/// times.
#[test]
fn class_far_within_its_objective_earns_no_credit_for_others() {
    let settings = settings_with_window(&[OBJECTIVE, 10 * SEC], LONG_WINDOW);
    for share in [0.05, 0.2] {
        let traffic = [
            of_known_size(REQUESTS_PER_SECOND * (1.0 - share), TRANSFER_TIME),
            of_known_size(REQUESTS_PER_SECOND * share, TRANSFER_TIME / 2),
        ];
        let mut fleet = fleet_with(&settings);
        fleet.run_for(4 * SEC, &traffic);
        let case = format!("{share} of all requests");
        assert_no_collapse_during(&mut fleet, &settings, &[(LONG_WINDOW, &traffic)], &traffic, &case);
    }
}

/// Guards against a class that earns credit for others while its answers are slow.
#[test]
fn class_with_slow_answers_earns_no_credit_for_others() {
    let (usual, slow) = (20 * MS, 500 * MS);
    let settings = settings_with_window(&[2 * usual, 2 * usual], LONG_WINDOW);
    let other = of_known_size(1_000.0, usual);
    let traffic = [other, of_unknown_size(200.0, usual)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(10 * SEC, &traffic);
    fleet.run_for(8 * SEC, &[other, of_unknown_size(200.0, slow)]);
    let slow_traffic = [other, of_unknown_size(200.0, slow)];
    // The last phase determines how much work a request is. It has the usual transfer times, because a slow answer is
    // not more work.
    let phases = [(LONG_WINDOW / 2, slow_traffic.as_slice()), (MS, traffic.as_slice())];
    assert_no_collapse_during(&mut fleet, &settings, &phases, &traffic, "while answers are slow");
}

/// Guards against an initial credit below 0 because of a class of which nothing is known. The minimum share is the
/// one that `cold_nodes_get_a_growing_share` requires of a younger cache.
#[test]
fn class_without_requests_does_not_keep_a_cold_cache_idle() {
    let short = 2 * MS;
    let settings = settings_with_window(&[OBJECTIVE, 20 * SEC], LONG_WINDOW);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, short)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(20 * SEC, &traffic);
    replace_one_of_each(&mut fleet);
    fleet.announce();
    let attempts_before = fleet.attempts.len();
    fleet.run_for(LONG_WINDOW, &traffic);
    let received =
        fleet.attempts[attempts_before..].iter().filter(|attempt| attempt.involves(NEW_CACHE)).count() as f64;
    let full_share = REQUESTS_PER_SECOND / CACHES as f64 * (LONG_WINDOW / SEC) as f64;
    assert!(received >= 0.3 * full_share, "{received} of {full_share:.0}");
}

// ---- saved credit ----

/// Starts cold nodes at the beginning of a quiet period of 20 s, with only a few requests of the first class.
fn assert_no_collapse_after_quiet_period(settings: &Settings, traffic: &[ClassTraffic]) {
    let quiet = [ClassTraffic { per_second: DIRECTORS as f64, ..traffic[0] }];
    let mut fleet = fleet_with(settings);
    fleet.run_for(10 * SEC, traffic);
    let phases = [(20 * SEC, quiet.as_slice()), (5 * SEC, traffic)];
    assert_no_collapse_during(&mut fleet, settings, &phases, traffic, "after a quiet period");
}

/// Guards against credit saved for the longest transfers that is spent by a common class, whose transfers are also
/// above the mean.
#[test]
fn common_class_above_the_mean_spends_no_credit_of_a_longer_one() {
    let (short, long) = (20 * MS, 2_000 * MS);
    let settings = settings_with_window(&[2 * short, OBJECTIVE, 2 * long], ENDLESS_WINDOW);
    let usual = of_known_size(900.0, TRANSFER_TIME);
    let traffic = [of_known_size(300.0, short), usual, of_known_size(1.0, long)];
    assert_no_collapse_after_quiet_period(&settings, &traffic);
}

#[test]
fn long_transfers_overload_no_cold_node_after_a_quiet_period() {
    let (short, long) = (10 * MS, 1_000 * MS);
    let settings = settings_with_window(&[2 * short, 2 * long], ENDLESS_WINDOW);
    let traffic = [of_known_size(1_000.0, short), of_known_size(100.0, long)];
    assert_no_collapse_after_quiet_period(&settings, &traffic);
}

#[test]
fn similar_classes_overload_no_cold_node_after_a_quiet_period() {
    let (shorter, longer) = (90 * MS, 110 * MS);
    let settings = settings_with_window(&[2 * shorter, 2 * longer], ENDLESS_WINDOW);
    let traffic = [of_known_size(600.0, shorter), of_known_size(600.0, longer)];
    assert_no_collapse_after_quiet_period(&settings, &traffic);
}

// ---- demand that moves between directors ----

/// Guards against load estimates that together exceed what nodes ever served, because each director has served for
/// all in turn.
#[test]
fn directors_that_have_served_for_all_in_turn_overload_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(4 * SEC, &traffic);
    for director in 0..DIRECTORS {
        fleet.serving = vec![director];
        fleet.run_for(4 * SEC, &traffic);
    }
    fleet.serving = (0..DIRECTORS).collect();
    fleet.run_for(2 * SEC, &traffic);
    assert_no_collapse_during(&mut fleet, &settings, &[(6 * SEC, &traffic)], &traffic, "all serve again");
}
