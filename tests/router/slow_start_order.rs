//! The attempts that cold nodes get from all directors together, when the order of events makes the directors'
//! measurements misleading.

use sablecross::*;

use crate::fleet::*;
use crate::support::*;

pub(crate) const DIRECTORS: usize = 24;
pub(crate) const CACHES: usize = 6;
pub(crate) const PARENTS: usize = 3;
/// The requests per second that arrive at all directors together.
pub(crate) const REQUESTS_PER_SECOND: f64 = 1_200.0;
/// The requests per second that one warm cache can serve.
const CACHE_CAPACITY: f64 = REQUESTS_PER_SECOND / CACHES as f64;
/// The requests per second that one warm parent can serve.
const PARENT_CAPACITY: f64 = REQUESTS_PER_SECOND / PARENTS as f64;

const OLD_CACHE: usize = 2;
pub(crate) const NEW_CACHE: usize = 20;
const OLD_PARENT: usize = 51;
pub(crate) const NEW_PARENT: usize = 70;
const SLOW_START_WINDOW: Ns = 6 * SEC;

/// The transfer time of an object of 100 kilobytes with these settings.
pub(crate) const TRANSFER_TIME: Ns = 100 * MS;
const STREAM_KB_PER_MS: f64 = 1.0;
/// The latency objective of a class whose transfers take as long as directors assume before any measurement, which is
/// half of the objective.
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

/// Traffic of a class whose clients name the size of objects.
pub(crate) fn of_known_size(per_second: f64, transfer_time: Ns) -> ClassTraffic {
    let size_kb = transfer_time as f64 / MS as f64 * STREAM_KB_PER_MS;
    ClassTraffic { per_second, size_kb, transfer_time }
}

pub(crate) fn of_unknown_size(per_second: f64, transfer_time: Ns) -> ClassTraffic {
    ClassTraffic { per_second, size_kb: 0.0, transfer_time }
}

/// Replaces a warm cache and a warm parent with cold ones.
pub(crate) fn replace_one_of_each(fleet: &mut Fleet) {
    fleet.replace(OLD_CACHE, NEW_CACHE);
    fleet.replace(OLD_PARENT, NEW_PARENT);
}

/// Lets a cold cache and a cold parent warm up, and checks that neither collapses.
fn assert_cold_nodes_warm_up(fleet: &mut Fleet, settings: &Settings, traffic: &[ClassTraffic], case: &str) {
    let started_at = fleet.now;
    replace_one_of_each(fleet);
    fleet.announce();
    fleet.run_for(SLOW_START_WINDOW, traffic);
    let cold = [
        ColdNode::cache(settings, NEW_CACHE, started_at, CACHE_CAPACITY),
        ColdNode::parent(settings, NEW_PARENT, started_at, PARENT_CAPACITY),
    ];
    assert_no_collapse(fleet, &cold, &vec![1.0; traffic.len()], case);
}

pub(crate) fn assert_no_collapse(fleet: &Fleet, cold: &[ColdNode], work: &[f64], case: &str) {
    let collapses: Vec<String> =
        cold.iter().filter_map(|node| node.find_collapse(&fleet.attempts, work)).collect();
    assert!(collapses.is_empty(), "{case}: {}", collapses.join("; "));
}

// ---- the mean transfer time of a class falls ----

/// Guards against a load estimate that stays in use after transfer times have changed.
#[test]
fn transfers_far_shorter_than_their_objective_overload_no_cold_node() {
    let short = 2 * MS;
    let settings = settings_with(&[300 * MS]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, short)];
    for seconds in [8, 30] {
        let mut fleet = fleet_with(&settings);
        fleet.run_for(seconds * SEC, &traffic);
        assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, &format!("after {seconds} s"));
    }
}

/// Guards against an outdated load estimate in directors that have just started, among others that have run longer.
#[test]
fn staggered_director_starts_with_short_transfers_overload_no_cold_node() {
    let short = 2 * MS;
    let settings = settings_with(&[300 * MS]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, short)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(4 * SEC, &traffic);
    for director in 0..DIRECTORS {
        fleet.restart(director);
        fleet.run_for(SEC / 2, &traffic);
    }
    assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, "started within 12 s");
}

/// Guards against an outdated load estimate after a period in which all answers were slow.
#[test]
fn slow_answers_before_a_node_starts_do_not_overload_it() {
    let (usual, slow) = (20 * MS, 500 * MS);
    let settings = settings_with(&[2 * usual]);
    let traffic = [of_unknown_size(REQUESTS_PER_SECOND, usual)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(10 * SEC, &traffic);
    fleet.run_for(6 * SEC, &[of_unknown_size(REQUESTS_PER_SECOND, slow)]);
    fleet.run_for(4 * SEC, &traffic);
    assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, "4 s after slow answers");
}

/// Guards against an outdated load estimate after clients have begun to request smaller objects.
#[test]
fn objects_that_become_smaller_overload_no_cold_node() {
    let (small, large) = (20 * MS, 500 * MS);
    let settings = settings_with(&[2 * large]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, small)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(10 * SEC, &[of_known_size(REQUESTS_PER_SECOND, large)]);
    fleet.run_for(6 * SEC, &traffic);
    assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, "6 s after large objects");
}

/// Guards against overload by short transfers while there are no warm nodes, so that the load of one is estimated
/// from demand.
#[test]
fn short_transfers_overload_no_node_while_all_nodes_and_directors_are_new() {
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
    fleet.run_for(15 * SEC, &[of_known_size(REQUESTS_PER_SECOND, short)]);
    let cold: Vec<ColdNode> = nodes
        .into_iter()
        .map(|node| match node {
            0..CACHES => ColdNode::cache(&settings, node, START, CACHE_CAPACITY),
            _ => ColdNode::parent(&settings, node, START, PARENT_CAPACITY),
        })
        .collect();
    assert_no_collapse(&fleet, &cold, &[1.0], "all cold and new");
}

// ---- saved credit ----

/// Guards against credit that is saved for one request of a class with long transfers and spent on many short ones.
#[test]
fn credit_of_long_transfers_is_not_spent_on_short_ones() {
    let (long, long_per_second) = (2_000 * MS, 1.0);
    let (window, quiet) = (120 * SEC, 20 * SEC);
    let settings = Settings {
        slow_start_window: window,
        parent_slow_start_window: window,
        ..settings_with(&[OBJECTIVE, 2 * long])
    };
    let usual = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME), of_known_size(long_per_second, long)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(10 * SEC, &usual);
    let started_at = fleet.now;
    replace_one_of_each(&mut fleet);
    fleet.announce();
    fleet.run_for(quiet, &[of_known_size(DIRECTORS as f64, TRANSFER_TIME)]);
    fleet.run_for(5 * SEC, &usual);
    let (short, long) = (TRANSFER_TIME as f64, long as f64);
    let requests = REQUESTS_PER_SECOND + long_per_second;
    let mean = (REQUESTS_PER_SECOND * short + long_per_second * long) / requests;
    let cold = [
        ColdNode::cache(&settings, NEW_CACHE, started_at, requests / CACHES as f64),
        ColdNode::parent(&settings, NEW_PARENT, started_at, requests / PARENTS as f64),
    ];
    assert_no_collapse(&fleet, &cold, &[short / mean, long / mean], "after a quiet period");
}

// ---- demand that moves between directors ----

/// Guards against load estimates that together exceed what nodes ever served, because each director has served for
/// others in turn.
#[test]
fn demand_that_moves_between_directors_overloads_no_cold_node() {
    let groups = 4;
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(4 * SEC, &traffic);
    for group in 0..groups {
        fleet.serving = (group..DIRECTORS).step_by(groups).collect();
        fleet.run_for(6 * SEC, &traffic);
    }
    fleet.serving = (0..DIRECTORS).collect();
    fleet.run_for(2 * SEC, &traffic);
    assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, "all serve again");
}

// ---- orders of events while transfer times stay the same ----

#[test]
fn cold_node_among_warm_ones_is_not_overloaded() {
    for transfer_time in [20 * MS, TRANSFER_TIME] {
        let settings = settings_with(&[2 * transfer_time]);
        let traffic = [of_known_size(REQUESTS_PER_SECOND, transfer_time)];
        let mut fleet = fleet_with(&settings);
        fleet.run_for(8 * SEC, &traffic);
        assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, &format!("{} ms", transfer_time / MS));
    }
}

#[test]
fn new_directors_overload_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    for (restarted, before) in [(DIRECTORS, 0), (DIRECTORS, 1), (DIRECTORS, 3), (DIRECTORS / 2, 3)] {
        let mut fleet = fleet_with(&settings);
        fleet.run_for(8 * SEC, &traffic);
        (0..restarted).for_each(|director| fleet.restart(director));
        fleet.run_for(before * SEC, &traffic);
        let case = format!("{restarted} directors started {before} s before");
        assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, &case);
    }
}

#[test]
fn failing_and_rejecting_nodes_overload_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    let (one, two) = ([NEW_CACHE].as_slice(), [3, 4].as_slice());
    for (nodes, outcome) in [
        (two, Outcome::Error),
        (two, Outcome::Overloaded),
        (two, Outcome::TimedOut),
        (two, Outcome::ConnectFailed),
        (one, Outcome::Error),
        (one, Outcome::Overloaded),
    ] {
        let mut fleet = fleet_with(&settings);
        fleet.run_for(8 * SEC, &traffic);
        fleet.outcomes.extend(nodes.iter().map(|&node| (node, outcome)));
        fleet.run_for(SEC, &traffic);
        assert_cold_nodes_warm_up(&mut fleet, &settings, &traffic, &format!("{nodes:?}: {outcome:?}"));
    }
}

#[test]
fn overlapping_replacements_overload_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    for (replaced, apart) in [(3, 0), (5, SEC / 2), (CACHES, 0)] {
        let mut fleet = fleet_with(&settings);
        fleet.run_for(8 * SEC, &traffic);
        let mut cold = Vec::new();
        for old in 0..replaced {
            let new_node = NEW_CACHE + old;
            fleet.replace(old, new_node);
            fleet.announce();
            cold.push(ColdNode::cache(&settings, new_node, fleet.now, CACHE_CAPACITY));
            fleet.run_for(apart, &traffic);
        }
        fleet.run_for(SLOW_START_WINDOW, &traffic);
        assert_no_collapse(&fleet, &cold, &[1.0], &format!("{replaced} caches"));
    }
}

#[test]
fn late_endpoint_list_updates_overload_no_cold_node() {
    let settings = settings_with(&[OBJECTIVE]);
    let traffic = [of_known_size(REQUESTS_PER_SECOND, TRANSFER_TIME)];
    let mut fleet = fleet_with(&settings);
    fleet.run_for(8 * SEC, &traffic);
    let started_at = fleet.now;
    replace_one_of_each(&mut fleet);
    fleet.outcomes.extend([OLD_CACHE, OLD_PARENT].map(|node| (node, Outcome::ConnectFailed)));
    fleet.run_for(5 * SEC / 2, &traffic);
    fleet.announce();
    fleet.run_for(SLOW_START_WINDOW, &traffic);
    let cold = [
        ColdNode::cache(&settings, NEW_CACHE, started_at, CACHE_CAPACITY),
        ColdNode::parent(&settings, NEW_PARENT, started_at, PARENT_CAPACITY),
    ];
    assert_no_collapse(&fleet, &cold, &[1.0], "2.5 s late");
}
