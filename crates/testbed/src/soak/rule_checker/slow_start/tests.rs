//! Tests of when a cold node collapses, whose calls break the rule, and which node came closest. Each bound is a
//! literal here.

use super::*;

const NODE: usize = 12;

/// Returns a state with a cold node that started at second 10.
fn started(capacity: f64) -> CheckerState {
    let mut state = CheckerState::default();
    state.cold_nodes.insert(NODE, ColdNode { since: 10.0, capacity, ..ColdNode::default() });
    state
}

fn call(director: usize, at: Seconds) -> ColdCall {
    ColdCall { director: Some(director), at, read_at: at, is_in_send_log: true }
}

/// Reports this many calls of a director. Returns whether one of them broke the rule.
fn report(state: &mut CheckerState, director: usize, at: Seconds, count: usize) -> bool {
    (0..count).filter_map(|_| state.check_slow_start(NODE, call(director, at))).count() > 0
}

#[test]
fn a_cold_node_collapses_above_twice_its_capacity_and_the_random_margin() {
    // 50 + 2 * sqrt(50) + 2, 125 + 2 * sqrt(125) + 2, 200 + 2 * sqrt(200) + 2; below 30: 20 + 3 * sqrt(20) + 3.
    for (capacity, at, tolerated) in
        [(100.0, 10.0, 66), (100.0, 13.0, 149), (100.0, 16.0, 230), (40.0, 10.0, 36)]
    {
        let mut state = started(capacity);
        assert!(!report(&mut state, 1, at, tolerated) && !state.has_collapsed(NODE), "{tolerated} at {at}");
        assert!(report(&mut state, 1, at, 1) && state.has_collapsed(NODE), "one more at {at}");
        // The node stays down, and its collapse is reported once.
        assert!(!report(&mut state, 1, at, 500) && state.has_collapsed(NODE));
        assert_eq!(state.counts["cold nodes that collapsed"], 1);
    }
}

#[test]
fn a_node_that_is_warm_or_never_was_cold_does_not_collapse() {
    let mut state = started(1.0);
    assert!(!report(&mut state, 1, 16.01, 500) && !state.has_collapsed(NODE));
    let mut state = CheckerState::default();
    assert!(!report(&mut state, 1, 10.0, 500) && !state.has_collapsed(NODE));
}

#[test]
fn calls_count_for_a_second() {
    let mut state = started(100.0);
    assert!(!report(&mut state, 1, 10.0, 66));
    // 2 * 0.375 * 100 are allowed at 11 s, with a random margin of 2 * sqrt(75) + 2.
    assert!(!report(&mut state, 1, 11.0, 60));
    assert_eq!(state.nearest_cold_node.map(|nearest| nearest.calls), Some(66));
    assert!(!report(&mut state, 1, 11.0, 34));
    assert!(report(&mut state, 1, 11.0, 1));
    let mut state = started(100.0);
    assert!(!report(&mut state, 1, 10.01, 66));
    assert!(!report(&mut state, 1, 11.0, 28));
    assert!(report(&mut state, 1, 11.0, 1));
}

#[test]
fn the_rule_is_broken_if_over_two_thirds_of_the_calls_came_from_directors_that_were_sent_the_start() {
    // The start was sent to director 2 only after its calls.
    for (by_uninformed, is_broken) in [(22, true), (23, false)] {
        // 45 and 44 of 67 calls come from director 1.
        let mut state = started(100.0);
        let cold = state.cold_nodes.get_mut(&NODE).unwrap();
        cold.start_sent_at.extend([(1, 9.0), (2, 10.5)]);
        assert!(!report(&mut state, 2, 10.0, by_uninformed));
        assert_eq!(report(&mut state, 1, 10.0, 67 - by_uninformed), is_broken, "{by_uninformed}");
        assert!(state.has_collapsed(NODE));
        // The node has collapsed already: further calls of any director break no rule.
        assert!(!report(&mut state, 1, 10.6, 500));
    }
}

#[test]
fn a_call_counts_as_informed_unless_it_was_sent_before_the_recorded_start() {
    let mut state = started(100.0);
    let cold = state.cold_nodes.get_mut(&NODE).unwrap();
    cold.start_sent_at.insert(1, 10.5);
    assert!(!cold.is_by_informed_director(&call(1, 10.49)));
    assert!(cold.is_by_informed_director(&call(1, 10.5)));
    // The start was not recorded as sent to director 2, and a request that no client sent has no director.
    assert!(cold.is_by_informed_director(&call(2, 10.0)));
    assert!(cold.is_by_informed_director(&ColdCall { director: None, ..call(1, 10.0) }));
}

#[test]
fn calls_count_by_their_send_time_in_any_read_order() {
    // The calls were sent over three seconds and read at once, by a node that was stuck.
    let mut state = started(100.0);
    for number in 0..150 {
        let sent = ColdCall { read_at: 13.0, ..call(1, 10.0 + f64::from(number) / 50.0) };
        assert!(state.check_slow_start(NODE, sent).is_none());
    }
    assert!(!state.has_collapsed(NODE));
    assert_eq!(state.counts["cold nodes that read at once calls sent over a longer time"], 1);
    // The calls were sent at once and read over two seconds, the last ones first.
    let mut state = started(100.0);
    let sent = |number: u32| ColdCall { read_at: 12.0 - f64::from(number) / 40.0, ..call(1, 10.0) };
    assert_eq!((0..67).rev().filter_map(|number| state.check_slow_start(NODE, sent(number))).count(), 1);
    // A call that is read late falls into a window that ended before: 55 + 2 * sqrt(55) + 2 calls are allowed at 10.2
    // s.
    let mut state = started(100.0);
    assert!(!report(&mut state, 1, 10.0, 33));
    assert!(!report(&mut state, 1, 10.2, 35));
    assert!(!report(&mut state, 1, 14.0, 9));
    assert!(!report(&mut state, 1, 10.1, 3));
    assert!(report(&mut state, 1, 10.1, 1));
}

#[test]
fn the_nearest_cold_node_is_the_one_with_the_highest_load_ratio() {
    let mut state = started(100.0);
    assert_eq!(state.nearest_cold_node, None);
    let other = ColdNode { since: 12.0, capacity: 100.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE + 1, other);
    report(&mut state, 1, 13.0, 40);
    report(&mut state, 2, 13.0, 40);
    // These are fewer calls, but a higher load ratio, as the node is colder: 66.1 calls are allowed with the random
    // margin, not 149.4.
    for director in [1, 2, 3] {
        for _ in 0..13 {
            state.check_slow_start(NODE + 1, call(director, 12.0));
        }
    }
    report(&mut state, 1, 15.0, 10);
    let nearest = state.nearest_cold_node.unwrap();
    assert_eq!((nearest.node, nearest.calls, nearest.directors), (13, 39, 3));
    assert_eq!((nearest.at, nearest.age), (12.0, 0.0));
    let printed = "node 13, 0.00 s old at 12.000 s: 39 calls in a second, 66.1 allowed with the random margin (0.59), \
                   from 3 directors";
    assert_eq!(nearest.to_string(), printed);
}

/// Guards against lateness on a busy machine that hides a collapse although the send logs have the times of all calls.
#[test]
fn a_collapse_is_exact_evidence_if_the_send_logs_have_all_calls() {
    let observed = Evidence::Observed(TimeSpan { from: 9.0, to: 10.0 });
    for (is_in_send_log, expected) in [(true, Evidence::Exact), (false, observed)] {
        let mut state = started(100.0);
        report(&mut state, 1, 10.0, 66);
        let last = ColdCall { is_in_send_log, ..call(1, 10.0) };
        let finding = state.check_slow_start(NODE, last).expect("one call more than the node can take");
        assert_eq!(finding.evidence, expected);
    }
}
