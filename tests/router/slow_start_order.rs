//! What cold nodes get from all directors together under orders of events that mislead what directors have measured.

use sablecross::*;

use crate::fleet::*;
use crate::support::*;

pub(crate) const DIRECTORS: usize = 24;
pub(crate) const CACHES: usize = 6;
pub(crate) const PARENTS: usize = 3;
pub(crate) const PER_SECOND: f64 = 1_200.0;
const CACHE_BEARS: f64 = PER_SECOND / CACHES as f64;
const PARENT_BEARS: f64 = PER_SECOND / PARENTS as f64;

const OLD_CACHE: usize = 2;
pub(crate) const FRESH_CACHE: usize = 20;
const OLD_PARENT: usize = 51;
pub(crate) const FRESH_PARENT: usize = 70;
const SLOW_START_WINDOW: Ns = 6 * SEC;

/// A transfer of a hundred kilobytes, by the settings.
pub(crate) const TRANSFER_TIME: Ns = 100 * MS;
const STREAM_KB_PER_MS: f64 = 1.0;
/// A class whose transfers take as long as directors assume before they see any: half of its objective.
pub(crate) const OBJECTIVE: Ns = 2 * TRANSFER_TIME;

pub(crate) fn settings_with(objectives: &[Ns]) -> Settings {
    let class =
        |&latency_objective: &Ns| RequestClass { latency_objective, ..class_with_effect(Effect::Idempotent) };
    Settings {
        request_classes: objectives.iter().map(class).collect(),
        stream_kb_per_s: STREAM_KB_PER_MS * 1_000.0,
        slow_start_initial_share: 0.25,
        slow_start_window: SLOW_START_WINDOW,
        collapse_multiple: 2.0,
        parent_slow_start_initial_share: 0.25,
        parent_slow_start_window: SLOW_START_WINDOW,
        parent_collapse_multiple: 2.0,
        ..settings()
    }
}

pub(crate) fn fleet_with(settings: &Settings) -> Fleet {
    Fleet::start(DIRECTORS, settings.clone(), endpoint_list(CACHES, PARENTS))
}

/// Requests whose clients name their size.
pub(crate) fn of_known_size(per_second: f64, transfer_time: Ns) -> ClassTraffic {
    let size_kb = transfer_time as f64 / MS as f64 * STREAM_KB_PER_MS;
    ClassTraffic { per_second, size_kb, transfer_time }
}

pub(crate) fn of_unknown_size(per_second: f64, transfer_time: Ns) -> ClassTraffic {
    ClassTraffic { per_second, size_kb: 0.0, transfer_time }
}

/// Puts a cold cache and a cold parent in the places of warm ones.
pub(crate) fn replace_one_of_each(fleet: &mut Fleet) {
    fleet.replace(OLD_CACHE, FRESH_CACHE);
    fleet.replace(OLD_PARENT, FRESH_PARENT);
}

/// Lets a cold cache and a cold parent get warm. Neither may have collapsed.
fn assert_both_get_warm(fleet: &mut Fleet, settings: &Settings, traffic: &[ClassTraffic], case: &str) {
    let started_at = fleet.now;
    replace_one_of_each(fleet);
    fleet.announce();
    fleet.play(SLOW_START_WINDOW, traffic);
    let cold = [
        ColdNode::cache(settings, FRESH_CACHE, started_at, CACHE_BEARS),
        ColdNode::parent(settings, FRESH_PARENT, started_at, PARENT_BEARS),
    ];
    assert_none_collapses(fleet, &cold, &vec![1.0; traffic.len()], case);
}

pub(crate) fn assert_none_collapses(fleet: &Fleet, cold: &[ColdNode], work: &[f64], case: &str) {
    let collapses: Vec<String> =
        cold.iter().filter_map(|node| node.find_collapse(&fleet.calls, work)).collect();
    assert!(collapses.is_empty(), "{case}: {}", collapses.join("; "));
}

// ---- the mean transfer time of a class falls ----

/// Guards against an estimate of the load that outlives the transfer times in which it was counted.
#[test]
fn transfers_far_shorter_than_their_objective_push_no_cold_node() {
    let short = 2 * MS;
    let settings = settings_with(&[300 * MS]);
    let traffic = [of_known_size(PER_SECOND, short)];
    for seconds in [8, 30] {
        let mut fleet = fleet_with(&settings);
        fleet.play(seconds * SEC, &traffic);
        assert_both_get_warm(&mut fleet, &settings, &traffic, &format!("after {seconds} s"));
    }
}

/// Guards against the same in directors that have just started, among others that have not.
#[test]
fn directors_that_started_one_after_another_push_no_cold_node_with_short_transfers() {
    let short = 2 * MS;
    let settings = settings_with(&[300 * MS]);
    let traffic = [of_known_size(PER_SECOND, short)];
    let mut fleet = fleet_with(&settings);
    fleet.play(4 * SEC, &traffic);
    for director in 0..DIRECTORS {
        fleet.restart(director);
        fleet.play(SEC / 2, &traffic);
    }
    assert_both_get_warm(&mut fleet, &settings, &traffic, "started within 12 s");
}

/// Guards against the same after a time in which all answers were slow.
#[test]
fn a_slow_time_before_the_start_of_a_cold_node_does_not_push_it() {
    let (usual, slow) = (20 * MS, 500 * MS);
    let settings = settings_with(&[2 * usual]);
    let traffic = [of_unknown_size(PER_SECOND, usual)];
    let mut fleet = fleet_with(&settings);
    fleet.play(10 * SEC, &traffic);
    fleet.play(6 * SEC, &[of_unknown_size(PER_SECOND, slow)]);
    fleet.play(4 * SEC, &traffic);
    assert_both_get_warm(&mut fleet, &settings, &traffic, "4 s after a slow time");
}

/// Guards against the same when clients ask for smaller objects than before.
#[test]
fn objects_that_become_smaller_push_no_cold_node() {
    let (small, large) = (20 * MS, 500 * MS);
    let settings = settings_with(&[2 * large]);
    let traffic = [of_known_size(PER_SECOND, small)];
    let mut fleet = fleet_with(&settings);
    fleet.play(10 * SEC, &[of_known_size(PER_SECOND, large)]);
    fleet.play(6 * SEC, &traffic);
    assert_both_get_warm(&mut fleet, &settings, &traffic, "6 s after large objects");
}

/// Guards against the same where demand stands in for the load of warm nodes, as there are none.
#[test]
fn short_transfers_push_no_node_while_all_are_cold_and_all_directors_new() {
    let (short, window) = (2 * MS, 60 * SEC);
    let settings = Settings {
        slow_start_window: window,
        parent_slow_start_window: window,
        ..settings_with(&[300 * MS])
    };
    let mut list = endpoint_list(CACHES, PARENTS);
    list.iter_mut().filter(|listing| listing.node != ORIGIN).for_each(|listing| listing.started_at = START);
    let nodes: Vec<usize> = list.iter().map(|listing| listing.node).filter(|&node| node != ORIGIN).collect();
    let mut fleet = Fleet::start(DIRECTORS, settings.clone(), list);
    fleet.play(15 * SEC, &[of_known_size(PER_SECOND, short)]);
    let cold: Vec<ColdNode> = nodes
        .into_iter()
        .map(|node| match node {
            0..CACHES => ColdNode::cache(&settings, node, START, CACHE_BEARS),
            _ => ColdNode::parent(&settings, node, START, PARENT_BEARS),
        })
        .collect();
    assert_none_collapses(&fleet, &cold, &[1.0], "all cold and new");
}

// ---- saved credit ----

/// Guards against credit that is saved for one request of a class with long transfers and spent on many short ones.
#[test]
fn a_class_with_long_transfers_saves_no_rush_of_short_ones() {
    let (long, long_per_second) = (2_000 * MS, 1.0);
    let (window, quiet) = (120 * SEC, 20 * SEC);
    let settings = Settings {
        slow_start_window: window,
        parent_slow_start_window: window,
        ..settings_with(&[OBJECTIVE, 2 * long])
    };
    let usual = [of_known_size(PER_SECOND, TRANSFER_TIME), of_known_size(long_per_second, long)];
    let mut fleet = fleet_with(&settings);
    fleet.play(10 * SEC, &usual);
    let started_at = fleet.now;
    replace_one_of_each(&mut fleet);
    fleet.announce();
    fleet.play(quiet, &[of_known_size(DIRECTORS as f64, TRANSFER_TIME)]);
    fleet.play(5 * SEC, &usual);
    let (short, long) = (TRANSFER_TIME as f64, long as f64);
    let requests = PER_SECOND + long_per_second;
    let mean = (PER_SECOND * short + long_per_second * long) / requests;
    let cold = [
        ColdNode::cache(&settings, FRESH_CACHE, started_at, requests / CACHES as f64),
        ColdNode::parent(&settings, FRESH_PARENT, started_at, requests / PARENTS as f64),
    ];
    assert_none_collapses(&fleet, &cold, &[short / mean, long / mean], "after a quiet time");
}

// ---- demand that moves between directors ----

/// Guards against directors that together remember more than nodes ever got, as each has served for others in turn.
#[test]
fn demand_that_moved_from_director_to_director_pushes_no_cold_node() {
    let groups = 4;
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.play(4 * SEC, &traffic);
    for group in 0..groups {
        fleet.serving = (group..DIRECTORS).step_by(groups).collect();
        fleet.play(6 * SEC, &traffic);
    }
    fleet.serving = (0..DIRECTORS).collect();
    fleet.play(2 * SEC, &traffic);
    assert_both_get_warm(&mut fleet, &settings, &traffic, "all serve again");
}

// ---- orders of events with transfer times that stay as they are ----

#[test]
fn a_cold_node_among_warm_ones_is_not_pushed() {
    for transfer_time in [20 * MS, TRANSFER_TIME] {
        let settings = settings_with(&[2 * transfer_time]);
        let traffic = [of_known_size(PER_SECOND, transfer_time)];
        let mut fleet = fleet_with(&settings);
        fleet.play(8 * SEC, &traffic);
        assert_both_get_warm(&mut fleet, &settings, &traffic, &format!("{} ms", transfer_time / MS));
    }
}

#[test]
fn directors_that_have_just_started_push_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    for (restarted, before) in [(DIRECTORS, 0), (DIRECTORS, 1), (DIRECTORS, 3), (DIRECTORS / 2, 3)] {
        let mut fleet = fleet_with(&settings);
        fleet.play(8 * SEC, &traffic);
        (0..restarted).for_each(|director| fleet.restart(director));
        fleet.play(before * SEC, &traffic);
        let case = format!("{restarted} directors started {before} s before");
        assert_both_get_warm(&mut fleet, &settings, &traffic, &case);
    }
}

#[test]
fn nodes_that_fail_or_refuse_push_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    let (one, two) = ([FRESH_CACHE].as_slice(), [3, 4].as_slice());
    for (nodes, outcome) in [
        (two, Outcome::Error),
        (two, Outcome::Overloaded),
        (two, Outcome::TimedOut),
        (two, Outcome::ConnectFailed),
        (one, Outcome::Error),
        (one, Outcome::Overloaded),
    ] {
        let mut fleet = fleet_with(&settings);
        fleet.play(8 * SEC, &traffic);
        fleet.outcomes.extend(nodes.iter().map(|&node| (node, outcome)));
        fleet.play(SEC, &traffic);
        assert_both_get_warm(&mut fleet, &settings, &traffic, &format!("{nodes:?}: {outcome:?}"));
    }
}

#[test]
fn replacements_that_overlap_push_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    for (replaced, apart) in [(3, 0), (5, SEC / 2), (CACHES, 0)] {
        let mut fleet = fleet_with(&settings);
        fleet.play(8 * SEC, &traffic);
        let mut cold = Vec::new();
        for old in 0..replaced {
            let fresh = FRESH_CACHE + old;
            fleet.replace(old, fresh);
            fleet.announce();
            cold.push(ColdNode::cache(&settings, fresh, fleet.now, CACHE_BEARS));
            fleet.play(apart, &traffic);
        }
        fleet.play(SLOW_START_WINDOW, &traffic);
        assert_none_collapses(&fleet, &cold, &[1.0], &format!("{replaced} caches"));
    }
}

#[test]
fn directors_that_hear_of_a_start_late_and_at_once_push_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.play(8 * SEC, &traffic);
    let started_at = fleet.now;
    replace_one_of_each(&mut fleet);
    fleet.outcomes.extend([OLD_CACHE, OLD_PARENT].map(|node| (node, Outcome::ConnectFailed)));
    fleet.play(5 * SEC / 2, &traffic);
    fleet.announce();
    fleet.play(SLOW_START_WINDOW, &traffic);
    let cold = [
        ColdNode::cache(&settings, FRESH_CACHE, started_at, CACHE_BEARS),
        ColdNode::parent(&settings, FRESH_PARENT, started_at, PARENT_BEARS),
    ];
    assert_none_collapses(&fleet, &cold, &[1.0], "2.5 s late");
}
