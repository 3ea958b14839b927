//! What cold nodes get from all directors together where classes differ in how long their transfers take: no class may
//! earn credit that others spend on a rush.

use sablecross::*;

use crate::fleet::*;
use crate::slow_start_order::*;
use crate::support::*;

/// So long that demand is above what a cold node bears for most of it.
const LONG_WINDOW: Ns = 20 * SEC;
/// So long that a quiet time changes nothing in what a cold node bears.
const ENDLESS_WINDOW: Ns = 120 * SEC;

fn settings_with_window(objectives: &[Ns], window: Ns) -> Settings {
    Settings { slow_start_window: window, parent_slow_start_window: window, ..settings_with(objectives) }
}

/// The transfer time that a second asks for, in nanoseconds.
fn work_of(traffic: &[ClassTraffic]) -> f64 {
    traffic.iter().map(|class| class.per_second * class.transfer_time as f64).sum()
}

/// What the cold cache and the cold parent get over this time. Warm ones bear the most of these kinds of traffic, by the
/// transfer times of the last one.
fn assert_both_stand(
    fleet: &mut Fleet,
    settings: &Settings,
    played: &[(Ns, &[ClassTraffic])],
    borne: &[ClassTraffic],
    case: &str,
) {
    let started_at = fleet.now;
    replace_one_of_each(fleet);
    fleet.announce();
    played.iter().for_each(|&(duration, traffic)| fleet.play(duration, traffic));
    let Some(&(_, last)) = played.last() else { return };
    let mean = work_of(last) / last.iter().map(|class| class.per_second).sum::<f64>();
    let work: Vec<f64> = last.iter().map(|class| class.transfer_time as f64 / mean).collect();
    let bears = work_of(borne).max(work_of(last)) / mean;
    let cold = [
        ColdNode::cache(settings, FRESH_CACHE, started_at, bears / CACHES as f64),
        ColdNode::parent(settings, FRESH_PARENT, started_at, bears / PARENTS as f64),
    ];
    assert_none_collapses(fleet, &cold, &work, case);
}

// ---- what a class earns by its mean ----

/// Guards against requests of the past that count as much as the class's requests of now, which take longer.
#[test]
fn a_class_whose_objects_become_larger_pushes_no_cold_node() {
    let settings = settings_with(&[4 * MS, OBJECTIVE]);
    let before = [of_known_size(3_000.0, 2 * MS), of_known_size(600.0, TRANSFER_TIME)];
    let after = [of_known_size(30.0, 500 * MS), of_known_size(600.0, TRANSFER_TIME)];
    for seconds in [10, 20, 40] {
        let mut fleet = fleet_with(&settings);
        fleet.play(10 * SEC, &before);
        fleet.play(seconds * SEC, &after);
        let case = format!("{seconds} s after");
        assert_both_stand(&mut fleet, &settings, &[(6 * SEC, &after)], &before, &case);
    }
}

/// Guards against a class that earns for others by its first mean, which is far above what its transfers take.
#[test]
fn a_class_far_within_its_objective_earns_no_rush_of_others() {
    let settings = settings_with_window(&[OBJECTIVE, 10 * SEC], LONG_WINDOW);
    for part in [0.05, 0.2] {
        let traffic = [
            of_known_size(PER_SECOND * (1.0 - part), TRANSFER_TIME),
            of_known_size(PER_SECOND * part, TRANSFER_TIME / 2),
        ];
        let mut fleet = fleet_with(&settings);
        fleet.play(4 * SEC, &traffic);
        let case = format!("{part} of all requests");
        assert_both_stand(&mut fleet, &settings, &[(LONG_WINDOW, &traffic)], &traffic, &case);
    }
}

/// Guards against a class that earns for others while its answers are slow.
#[test]
fn a_class_with_slow_answers_earns_no_rush_of_others() {
    let (usual, slow) = (20 * MS, 500 * MS);
    let settings = settings_with_window(&[2 * usual, 2 * usual], LONG_WINDOW);
    let other = of_known_size(1_000.0, usual);
    let traffic = [other, of_unknown_size(200.0, usual)];
    let mut fleet = fleet_with(&settings);
    fleet.play(10 * SEC, &traffic);
    fleet.play(8 * SEC, &[other, of_unknown_size(200.0, slow)]);
    let slow_time = [other, of_unknown_size(200.0, slow)];
    // Its last moment weighs requests as they usually are: what is slow is no work.
    let played = [(LONG_WINDOW / 2, slow_time.as_slice()), (MS, traffic.as_slice())];
    assert_both_stand(&mut fleet, &settings, &played, &traffic, "in a slow time");
}

/// Guards against a first credit below 0 by a class of which nothing is known. The least part is that of
/// `cold_members_get_a_growing_part`, which asks it of a younger cache.
#[test]
fn a_class_that_nobody_asks_for_does_not_keep_a_cold_cache_idle() {
    let short = 2 * MS;
    let settings = settings_with_window(&[OBJECTIVE, 20 * SEC], LONG_WINDOW);
    let traffic = [of_known_size(PER_SECOND, short)];
    let mut fleet = fleet_with(&settings);
    fleet.play(20 * SEC, &traffic);
    replace_one_of_each(&mut fleet);
    fleet.announce();
    let calls_before = fleet.calls.len();
    fleet.play(LONG_WINDOW, &traffic);
    let got = fleet.calls[calls_before..].iter().filter(|call| call.involves(FRESH_CACHE)).count() as f64;
    let full_share = PER_SECOND / CACHES as f64 * (LONG_WINDOW / SEC) as f64;
    assert!(got >= 0.3 * full_share, "{got} of {full_share:.0}");
}

// ---- saved credit ----

/// Lets cold nodes start into a quiet time of 20 s, in which only a few requests of the first class come.
fn assert_both_stand_after_a_quiet_time(settings: &Settings, traffic: &[ClassTraffic]) {
    let quiet = [ClassTraffic { per_second: DIRECTORS as f64, ..traffic[0] }];
    let mut fleet = fleet_with(settings);
    fleet.play(10 * SEC, traffic);
    let played = [(20 * SEC, quiet.as_slice()), (5 * SEC, traffic)];
    assert_both_stand(&mut fleet, settings, &played, traffic, "after a quiet time");
}

/// Guards against a reserve for the longest transfers that a usual class spends as it is above the mean.
#[test]
fn a_usual_class_above_the_mean_spends_no_reserve_of_a_longer_one() {
    let (short, long) = (20 * MS, 2_000 * MS);
    let settings = settings_with_window(&[2 * short, OBJECTIVE, 2 * long], ENDLESS_WINDOW);
    let usual = of_known_size(900.0, TRANSFER_TIME);
    let traffic = [of_known_size(300.0, short), usual, of_known_size(1.0, long)];
    assert_both_stand_after_a_quiet_time(&settings, &traffic);
}

#[test]
fn long_transfers_that_make_most_of_the_work_push_no_cold_node_after_a_quiet_time() {
    let (short, long) = (10 * MS, 1_000 * MS);
    let settings = settings_with_window(&[2 * short, 2 * long], ENDLESS_WINDOW);
    let traffic = [of_known_size(1_000.0, short), of_known_size(100.0, long)];
    assert_both_stand_after_a_quiet_time(&settings, &traffic);
}

#[test]
fn classes_near_each_other_push_no_cold_node_after_a_quiet_time() {
    let (shorter, longer) = (90 * MS, 110 * MS);
    let settings = settings_with_window(&[2 * shorter, 2 * longer], ENDLESS_WINDOW);
    let traffic = [of_known_size(600.0, shorter), of_known_size(600.0, longer)];
    assert_both_stand_after_a_quiet_time(&settings, &traffic);
}

// ---- demand that moves between directors ----

/// Guards against directors that together remember more than nodes ever got, as each has served for all in turn.
#[test]
fn directors_that_have_served_for_all_in_turn_push_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.play(4 * SEC, &traffic);
    for director in 0..DIRECTORS {
        fleet.serving = vec![director];
        fleet.play(4 * SEC, &traffic);
    }
    fleet.serving = (0..DIRECTORS).collect();
    fleet.play(2 * SEC, &traffic);
    assert_both_stand(&mut fleet, &settings, &[(6 * SEC, &traffic)], &traffic, "all serve again");
}
