//! Tests of the violations that the checker finds and of what it accepts. Each bound is a literal here.

use super::slow_start::ColdCall;
use super::*;

const REQUEST: u64 = 7;
const DIRECTOR: usize = 2;
const NODE: usize = 4;
const SOURCE: usize = 5;
const OBJECT: u64 = 9;

fn request(written_at: Seconds, budget: f64) -> Request {
    Request {
        director: DIRECTOR,
        effect: Effect::Idempotent,
        object: OBJECT,
        written_at,
        written_by: None,
        budget,
        client_gone_at: None,
        answered: false,
        executed_at: Vec::new(),
        sent: Vec::new(),
    }
}

fn attempt(wait_ms: u64) -> Attempt {
    Attempt {
        request: REQUEST,
        node: NODE,
        source: Some(SOURCE),
        wait_ms,
        read_late: false,
        link: NodeLink::default(),
        sent_at: None,
    }
}

fn cold_call(at: Seconds) -> ColdCall {
    ColdCall { director: Some(DIRECTOR), at, read_at: at, is_in_send_log: true }
}

/// Returns the ports of a connection with this port at the director's end.
fn on_port(director: u16) -> LinkPorts {
    LinkPorts { director, ..LinkPorts::default() }
}

fn rules(findings: &[Finding]) -> Vec<Rule> {
    findings.iter().map(|finding| finding.rule).collect()
}

fn evidence(findings: &[Finding]) -> Vec<Evidence> {
    findings.iter().map(|finding| finding.evidence).collect()
}

fn observed(from: Seconds, to: Seconds) -> Evidence {
    Evidence::Observed(TimeSpan { from, to })
}

fn found(checker: &RuleChecker) -> Vec<Rule> {
    checker.finish().0.iter().map(|violation| violation.rule).collect()
}

fn found_evidence(checker: &RuleChecker) -> Vec<Evidence> {
    checker.finish().0.iter().map(|violation| violation.evidence).collect()
}

#[test]
fn an_attempt_without_a_request_is_unknown() {
    let findings = CheckerState::default().check_attempt(&attempt(0), 1.0);
    assert_eq!(rules(&findings), [Rule::Unknown]);
}

#[test]
fn a_wait_may_exceed_the_remaining_time_by_a_quarter_second() {
    let mut state = CheckerState::default();
    state.requests.insert(REQUEST, request(1.0, 1.0));
    // Half a second is left.
    assert_eq!(rules(&state.check_attempt(&attempt(749), 1.5)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(751), 1.5)), [Rule::WaitTooLong]);
    // Nothing is left.
    assert_eq!(rules(&state.check_attempt(&attempt(249), 9.0)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(251), 9.0)), [Rule::WaitTooLong]);
    let late = Attempt { read_late: true, ..attempt(5_000) };
    assert_eq!(rules(&state.check_attempt(&late, 9.0)), []);
}

#[test]
fn an_attempt_may_begin_up_to_a_fifth_of_a_second_after_its_client_has_gone() {
    let mut state = CheckerState::default();
    state.requests.insert(REQUEST, Request { client_gone_at: Some(3.0), ..request(1.0, 9.0) });
    assert_eq!(rules(&state.check_attempt(&attempt(0), 3.19)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(0), 3.21)), [Rule::ClientGone]);
    let late = Attempt { read_late: true, ..attempt(0) };
    assert_eq!(rules(&state.check_attempt(&late, 3.21)), []);
}

#[test]
fn no_attempt_uses_a_draining_node_or_source_after_the_grace() {
    for node in [NODE, SOURCE] {
        let mut state = CheckerState::default();
        state.requests.insert(REQUEST, request(1.0, 9.0));
        state.directors.entry(DIRECTOR).or_default().drained.insert(node, 1.0);
        assert_eq!(rules(&state.check_attempt(&attempt(0), 3.09)), []);
        assert_eq!(rules(&state.check_attempt(&attempt(0), 3.11)), [Rule::Drained]);
        let late = Attempt { read_late: true, ..attempt(0) };
        assert_eq!(rules(&state.check_attempt(&late, 3.11)), []);
        // Another director was not notified.
        state.requests.insert(REQUEST, Request { director: DIRECTOR + 1, ..request(1.0, 9.0) });
        assert_eq!(rules(&state.check_attempt(&attempt(0), 3.11)), []);
    }
}

#[test]
fn a_cold_node_may_get_the_calls_that_slow_start_allows() {
    let mut state = CheckerState::default();
    let cold = ColdNode { since: 10.0, capacity: 100.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, cold);
    // 2 * 0.25 * 100 calls are allowed at first, with a random margin of 2 * sqrt(50) + 2.
    let calls = |state: &mut CheckerState, count: usize| -> usize {
        (0..count).filter_map(|_| state.check_slow_start(NODE, cold_call(10.0))).count()
    };
    assert_eq!(calls(&mut state, 66), 0);
    assert_eq!(calls(&mut state, 1), 1);
    // A collapse is reported once for each node.
    assert_eq!(calls(&mut state, 100), 0);
    let warm = ColdNode { since: 10.0, capacity: 1.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, warm);
    assert_eq!((0..100).filter_map(|_| state.check_slow_start(NODE, cold_call(16.1))).count(), 0);
}

#[test]
fn a_second_execution_is_a_violation_unless_the_effect_allows_it() {
    for (effect, expected) in [
        (Effect::Idempotent, vec![]),
        (Effect::AtMostOnce, vec![Rule::EffectTwice]),
        // Nodes still recognize a repeat that arrives at once.
        (Effect::Deduplicated, vec![]),
    ] {
        let checker = RuleChecker::new();
        checker.on_request(REQUEST, DIRECTOR, effect, OBJECT, 1.0);
        checker.on_executed(REQUEST);
        checker.on_executed(REQUEST);
        assert_eq!(found(&checker), expected, "{effect:?}");
    }
}

#[test]
fn a_deduplicated_effect_does_not_run_again_after_the_window() {
    for (first, expected) in [(-1.4, vec![]), (-1.61, vec![Rule::EffectTwice])] {
        let checker = RuleChecker::new();
        checker.on_request(REQUEST, DIRECTOR, Effect::Deduplicated, OBJECT, 1.0);
        let executed_at = vec![checker.now() + first];
        lock(&checker.state).requests.get_mut(&REQUEST).unwrap().executed_at = executed_at;
        checker.on_executed(REQUEST);
        assert_eq!(found(&checker), expected, "{first}");
    }
}

#[test]
fn a_second_answer_and_a_wrong_body_are_violations() {
    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    checker.on_answer(REQUEST, Some(OBJECT));
    assert_eq!(found(&checker), []);
    checker.on_answer(REQUEST, None);
    assert_eq!(found(&checker), [Rule::Stray]);
    checker.on_answer(REQUEST, Some(OBJECT + 1));
    assert_eq!(found(&checker), [Rule::Stray, Rule::WrongBytes]);
}

#[test]
fn an_older_copy_after_a_purge_and_its_grace_is_a_violation() {
    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    let purge = NotifiedPurge { notified_at: 5.0, made_ms: 1_000 };
    lock(&checker.state).directors.entry(DIRECTOR).or_default().purged.insert(OBJECT, purge);
    checker.on_copy_served(REQUEST, 6.11, 1_000);
    checker.on_copy_served(REQUEST, 6.09, 999);
    assert_eq!(found(&checker), []);
    checker.on_copy_served(REQUEST, 6.11, 999);
    assert_eq!(found(&checker), [Rule::Purged]);
}

#[test]
fn the_newest_purge_counts() {
    let checker = RuleChecker::new();
    checker.on_notified_purge(DIRECTOR, OBJECT, 1_000);
    checker.on_notified_purge(DIRECTOR, OBJECT, 500);
    let made_ms = |checker: &RuleChecker| lock(&checker.state).directors[&DIRECTOR].purged[&OBJECT].made_ms;
    assert_eq!(made_ms(&checker), 1_000);
    checker.on_notified_purge(DIRECTOR, OBJECT, 2_000);
    assert_eq!(made_ms(&checker), 2_000);
}

#[test]
fn an_attempt_is_judged_by_its_send_time_if_that_is_known() {
    let mut state = CheckerState::default();
    state.requests.insert(REQUEST, Request { client_gone_at: Some(1.2), ..request(1.0, 1.0) });
    // The result does not depend on when the node read the attempt.
    for read_late in [false, true] {
        let sent = |wait_ms, sent_at| Attempt { read_late, sent_at: Some(sent_at), ..attempt(wait_ms) };
        assert_eq!(rules(&state.check_attempt(&sent(749, 1.39), 9.0)), []);
        assert_eq!(rules(&state.check_attempt(&sent(0, 1.41), 9.0)), [Rule::ClientGone]);
        assert_eq!(rules(&state.check_attempt(&sent(1_100, 1.2), 9.0)), [Rule::WaitTooLong]);
    }
}

#[test]
fn an_effect_is_sent_again_only_while_nodes_recognise_it_or_after_proof_that_it_never_ran() {
    let second = |checker: &RuleChecker, sent_at: Seconds| {
        let link = NodeLink { ports: on_port(2), accepted_at: 0.0 };
        checker.on_attempt(&Attempt { sent_at: Some(sent_at), link, ..attempt(0) });
    };
    for (effect, apart, is_proven, expected) in [
        (Effect::Idempotent, 0.5, false, vec![]),
        (Effect::AtMostOnce, 0.5, false, vec![Rule::EffectTwice]),
        (Effect::AtMostOnce, 0.5, true, vec![]),
        (Effect::Deduplicated, 1.54, false, vec![]),
        (Effect::Deduplicated, 1.56, false, vec![Rule::EffectTwice]),
        (Effect::Deduplicated, 1.56, true, vec![]),
    ] {
        for is_read_in_order in [true, false] {
            let checker = RuleChecker::new();
            checker.on_request(REQUEST, DIRECTOR, effect, OBJECT, 9.0);
            // A proof is recorded with the current time, which is before the send time of the second attempt.
            let first = Attempt {
                sent_at: Some(0.0),
                link: NodeLink { ports: on_port(1), accepted_at: 0.0 },
                ..attempt(0)
            };
            if is_read_in_order {
                checker.on_attempt(&first);
            }
            if is_proven {
                checker.on_not_run(REQUEST, on_port(1));
            }
            second(&checker, apart);
            if !is_read_in_order {
                checker.on_attempt(&first);
            }
            if is_proven && !is_read_in_order {
                continue;
            }
            assert_eq!(found(&checker), expected, "{effect:?} {apart} {is_proven} {is_read_in_order}");
        }
    }
}

#[test]
fn a_budget_counts_from_the_end_of_the_write() {
    let mut state = CheckerState::default();
    state.requests.insert(REQUEST, Request { written_by: Some(1.2), ..request(1.0, 1.0) });
    // 0.7 s are left.
    assert_eq!(rules(&state.check_attempt(&attempt(949), 1.5)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(951), 1.5)), [Rule::WaitTooLong]);
}

#[test]
fn an_attempt_in_the_send_log_is_exact_evidence_if_the_client_takes_its_time_afterwards() {
    let mut state = CheckerState::default();
    let gone = Request { client_gone_at: Some(2.0), written_by: Some(1.1), ..request(1.0, 9.0) };
    state.requests.insert(REQUEST, gone.clone());
    let sent = |wait_ms, sent_at| Attempt { sent_at: Some(sent_at), read_late: true, ..attempt(wait_ms) };
    // The attempt was sent after its client had gone, and read at 9 s.
    assert_eq!(evidence(&state.check_attempt(&sent(0, 2.3), 9.0)), [Evidence::Exact]);
    assert_eq!(evidence(&state.check_attempt(&attempt(0), 2.3)), [observed(2.0, 2.3)]);
    // The wait is too long: 8.6 s of the budget are left.
    let present = Request { client_gone_at: None, ..gone };
    state.requests.insert(REQUEST, present.clone());
    assert_eq!(evidence(&state.check_attempt(&sent(9_000, 1.5), 9.0)), [Evidence::Exact]);
    assert_eq!(evidence(&state.check_attempt(&attempt(9_000), 1.5)), [observed(1.0, 1.5)]);
    // The write may not have ended: only its beginning is known.
    state.requests.insert(REQUEST, Request { written_by: None, ..present });
    assert_eq!(evidence(&state.check_attempt(&sent(9_000, 1.5), 9.0)), [observed(1.0, 1.5)]);
}

#[test]
fn evidence_that_depends_on_a_notification_begins_with_it() {
    let mut state = CheckerState::default();
    state.requests.insert(REQUEST, request(1.0, 9.0));
    state.directors.entry(DIRECTOR).or_default().drained.insert(NODE, 1.0);
    let sent = Attempt { sent_at: Some(3.2), read_late: true, ..attempt(0) };
    assert_eq!(evidence(&state.check_attempt(&sent, 9.0)), [observed(1.0, 3.2)]);
    assert_eq!(evidence(&state.check_attempt(&attempt(0), 3.3)), [observed(1.0, 3.3)]);

    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    let purge = NotifiedPurge { notified_at: 5.0, made_ms: 1_000 };
    lock(&checker.state).directors.entry(DIRECTOR).or_default().purged.insert(OBJECT, purge);
    checker.on_copy_served(REQUEST, 6.2, 999);
    assert_eq!(found_evidence(&checker), [observed(5.0, 6.2)]);
}

#[test]
fn calls_without_send_times_are_evidence_of_their_second() {
    let mut state = CheckerState::default();
    let cold = ColdNode { since: 10.0, capacity: 1.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, cold);
    let read = ColdCall { is_in_send_log: false, ..cold_call(12.0) };
    let findings: Vec<Finding> = (0..100).filter_map(|_| state.check_slow_start(NODE, read)).collect();
    assert_eq!(evidence(&findings), [observed(11.0, 12.0)]);
}

#[test]
fn repeats_by_send_time_or_count_are_exact_and_by_execution_time_observed_from_the_end_of_the_window() {
    assert_eq!(second_execution(Effect::AtMostOnce, 1.0, 1.1), Some(Evidence::Exact));
    assert_eq!(second_execution(Effect::Deduplicated, 1.0, 2.59), None);
    assert_eq!(second_execution(Effect::Deduplicated, 1.0, 2.61), Some(observed(2.5, 2.61)));
    assert_eq!(second_execution(Effect::Idempotent, 1.0, 9.0), None);

    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::AtMostOnce, OBJECT, 9.0);
    for port in [1, 2] {
        let link = NodeLink { ports: on_port(port), accepted_at: 0.0 };
        checker.on_attempt(&Attempt { sent_at: Some(0.1 * f64::from(port)), link, ..attempt(0) });
    }
    assert_eq!(found_evidence(&checker), [Evidence::Exact]);
}

#[test]
fn wrong_answers_unknown_attempts_and_logged_violations_are_exact() {
    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    checker.on_answer(REQUEST, Some(OBJECT + 1));
    checker.on_answer(REQUEST, None);
    checker.on_attempt(&Attempt { request: REQUEST + 1, ..attempt(0) });
    checker.record_violation(Rule::Inside, String::new());
    assert_eq!(found_evidence(&checker), [Evidence::Exact; 4]);
}

#[test]
fn an_observed_violation_has_a_span_that_ends_now() {
    let checker = RuleChecker::new();
    let before = checker.now();
    checker.record_observed(Rule::Lost, -3.0, String::new());
    let [Evidence::Observed(span)] = found_evidence(&checker)[..] else {
        panic!("expected one observed violation")
    };
    assert_eq!(span.from, -3.0);
    assert!((before..=checker.now()).contains(&span.to), "{span:?}");
}

#[test]
fn the_writes_of_clients_are_kept_with_their_times() {
    let checker = RuleChecker::new();
    checker.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    checker.on_request_sent(REQUEST);
    assert!(checker.writes().longest() < 0.1, "{:?}", checker.writes());
    // The thread of the client was not scheduled for 0.2 s.
    let written_at = checker.now() - 0.2;
    lock(&checker.state).requests.insert(REQUEST, request(written_at, 1.0));
    checker.on_request_sent(REQUEST);
    let lateness = crate::soak::Lateness { writes: checker.writes(), ..Default::default() };
    let spans: Vec<TimeSpan> = lateness.past_tolerance().copied().collect();
    assert!(spans.len() == 1 && spans[0].from == written_at && spans[0].duration() >= 0.2, "{spans:?}");
}
