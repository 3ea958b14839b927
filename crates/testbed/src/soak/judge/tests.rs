//! What the judge finds and what it lets pass, with each bound as a literal.

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

/// A connection with this port at the director's end.
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

fn found(judge: &Judge) -> Vec<Rule> {
    judge.finish().0.iter().map(|violation| violation.rule).collect()
}

fn found_evidence(judge: &Judge) -> Vec<Evidence> {
    judge.finish().0.iter().map(|violation| violation.evidence).collect()
}

#[test]
fn an_attempt_for_no_request_is_unknown() {
    let findings = JudgeState::default().check_attempt(&attempt(0), 1.0);
    assert_eq!(rules(&findings), [Rule::Unknown]);
}

#[test]
fn a_node_is_told_a_quarter_second_more_than_is_left_at_most() {
    let mut state = JudgeState::default();
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
fn an_attempt_begins_a_fifth_of_a_second_after_its_client_left_at_most() {
    let mut state = JudgeState::default();
    state.requests.insert(REQUEST, Request { client_gone_at: Some(3.0), ..request(1.0, 9.0) });
    assert_eq!(rules(&state.check_attempt(&attempt(0), 3.19)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(0), 3.21)), [Rule::ClientGone]);
    let late = Attempt { read_late: true, ..attempt(0) };
    assert_eq!(rules(&state.check_attempt(&late, 3.21)), []);
}

#[test]
fn nothing_comes_to_a_draining_node_or_from_one_after_the_grace() {
    for node in [NODE, SOURCE] {
        let mut state = JudgeState::default();
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
fn a_cold_node_gets_what_slow_start_allows() {
    let mut state = JudgeState::default();
    let cold = ColdNode { since: 10.0, capacity: 100.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, cold);
    // 2 * 0.25 * 100 calls are allowed at first, with a scatter of 2 * sqrt(50) + 2.
    let calls = |state: &mut JudgeState, count: usize| -> usize {
        (0..count).filter_map(|_| state.check_slow_start(NODE, cold_call(10.0))).count()
    };
    assert_eq!(calls(&mut state, 66), 0);
    assert_eq!(calls(&mut state, 1), 1);
    // Once for a node.
    assert_eq!(calls(&mut state, 100), 0);
    let warm = ColdNode { since: 10.0, capacity: 1.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, warm);
    assert_eq!((0..100).filter_map(|_| state.check_slow_start(NODE, cold_call(16.1))).count(), 0);
}

#[test]
fn an_effect_runs_once() {
    for (effect, expected) in [
        (Effect::Idempotent, vec![]),
        (Effect::AtMostOnce, vec![Rule::EffectTwice]),
        // Nodes still recognize a repeat that comes at once.
        (Effect::Deduplicated, vec![]),
    ] {
        let judge = Judge::new();
        judge.on_request(REQUEST, DIRECTOR, effect, OBJECT, 1.0);
        judge.on_executed(REQUEST);
        judge.on_executed(REQUEST);
        assert_eq!(found(&judge), expected, "{effect:?}");
    }
}

#[test]
fn a_deduplicated_effect_does_not_run_again_after_the_window() {
    for (first, expected) in [(-1.4, vec![]), (-1.61, vec![Rule::EffectTwice])] {
        let judge = Judge::new();
        judge.on_request(REQUEST, DIRECTOR, Effect::Deduplicated, OBJECT, 1.0);
        let executed_at = vec![judge.now() + first];
        lock(&judge.state).requests.get_mut(&REQUEST).unwrap().executed_at = executed_at;
        judge.on_executed(REQUEST);
        assert_eq!(found(&judge), expected, "{first}");
    }
}

#[test]
fn a_second_answer_and_other_bytes_are_found() {
    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    judge.on_answer(REQUEST, Some(OBJECT));
    assert_eq!(found(&judge), []);
    judge.on_answer(REQUEST, None);
    assert_eq!(found(&judge), [Rule::Stray]);
    judge.on_answer(REQUEST, Some(OBJECT + 1));
    assert_eq!(found(&judge), [Rule::Stray, Rule::WrongBytes]);
}

#[test]
fn no_older_copy_is_served_after_a_purge_and_its_grace() {
    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    let purge = NotifiedPurge { notified_at: 5.0, made_ms: 1_000 };
    lock(&judge.state).directors.entry(DIRECTOR).or_default().purged.insert(OBJECT, purge);
    judge.on_copy_served(REQUEST, 6.11, 1_000);
    judge.on_copy_served(REQUEST, 6.09, 999);
    assert_eq!(found(&judge), []);
    judge.on_copy_served(REQUEST, 6.11, 999);
    assert_eq!(found(&judge), [Rule::Purged]);
}

#[test]
fn the_newest_purge_counts() {
    let judge = Judge::new();
    judge.on_notified_purge(DIRECTOR, OBJECT, 1_000);
    judge.on_notified_purge(DIRECTOR, OBJECT, 500);
    let made_ms = |judge: &Judge| lock(&judge.state).directors[&DIRECTOR].purged[&OBJECT].made_ms;
    assert_eq!(made_ms(&judge), 1_000);
    judge.on_notified_purge(DIRECTOR, OBJECT, 2_000);
    assert_eq!(made_ms(&judge), 2_000);
}

#[test]
fn an_attempt_whose_time_of_sending_is_known_is_judged_by_it() {
    let mut state = JudgeState::default();
    state.requests.insert(REQUEST, Request { client_gone_at: Some(1.2), ..request(1.0, 1.0) });
    // Read late or not, and however long after it was sent.
    for read_late in [false, true] {
        let sent = |wait_ms, sent_at| Attempt { read_late, sent_at: Some(sent_at), ..attempt(wait_ms) };
        assert_eq!(rules(&state.check_attempt(&sent(749, 1.39), 9.0)), []);
        assert_eq!(rules(&state.check_attempt(&sent(0, 1.41), 9.0)), [Rule::ClientGone]);
        assert_eq!(rules(&state.check_attempt(&sent(1_100, 1.2), 9.0)), [Rule::WaitTooLong]);
    }
}

#[test]
fn an_effect_is_sent_again_only_while_nodes_recognise_it_or_after_proof_that_it_never_ran() {
    let second = |judge: &Judge, sent_at: Seconds| {
        let link = NodeLink { ports: on_port(2), accepted_at: 0.0 };
        judge.on_attempt(&Attempt { sent_at: Some(sent_at), link, ..attempt(0) });
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
            let judge = Judge::new();
            judge.on_request(REQUEST, DIRECTOR, effect, OBJECT, 9.0);
            // Proofs count from now on.
            let first = Attempt {
                sent_at: Some(0.0),
                link: NodeLink { ports: on_port(1), accepted_at: 0.0 },
                ..attempt(0)
            };
            if is_read_in_order {
                judge.on_attempt(&first);
            }
            if is_proven {
                judge.on_not_run(REQUEST, on_port(1));
            }
            second(&judge, apart);
            if !is_read_in_order {
                judge.on_attempt(&first);
            }
            if is_proven && !is_read_in_order {
                continue;
            }
            assert_eq!(found(&judge), expected, "{effect:?} {apart} {is_proven} {is_read_in_order}");
        }
    }
}

#[test]
fn a_request_counts_from_the_end_of_its_write() {
    let mut state = JudgeState::default();
    state.requests.insert(REQUEST, Request { written_by: Some(1.2), ..request(1.0, 1.0) });
    // 0.7 s are left.
    assert_eq!(rules(&state.check_attempt(&attempt(949), 1.5)), []);
    assert_eq!(rules(&state.check_attempt(&attempt(951), 1.5)), [Rule::WaitTooLong]);
}

#[test]
fn an_attempt_by_the_send_log_is_exact_evidence_where_clients_stamp_afterwards() {
    let mut state = JudgeState::default();
    let gone = Request { client_gone_at: Some(2.0), written_by: Some(1.1), ..request(1.0, 9.0) };
    state.requests.insert(REQUEST, gone.clone());
    let sent = |wait_ms, sent_at| Attempt { sent_at: Some(sent_at), read_late: true, ..attempt(wait_ms) };
    // After its client had gone, read at 9 s.
    assert_eq!(evidence(&state.check_attempt(&sent(0, 2.3), 9.0)), [Evidence::Exact]);
    assert_eq!(evidence(&state.check_attempt(&attempt(0), 2.3)), [observed(2.0, 2.3)]);
    // Too long a wait: 8.6 s are left of the time.
    let present = Request { client_gone_at: None, ..gone };
    state.requests.insert(REQUEST, present.clone());
    assert_eq!(evidence(&state.check_attempt(&sent(9_000, 1.5), 9.0)), [Evidence::Exact]);
    assert_eq!(evidence(&state.check_attempt(&attempt(9_000), 1.5)), [observed(1.0, 1.5)]);
    // Its write may not be over: what is known is when it began.
    state.requests.insert(REQUEST, Request { written_by: None, ..present });
    assert_eq!(evidence(&state.check_attempt(&sent(9_000, 1.5), 9.0)), [observed(1.0, 1.5)]);
}

#[test]
fn what_discovery_told_is_evidence_from_then_on() {
    let mut state = JudgeState::default();
    state.requests.insert(REQUEST, request(1.0, 9.0));
    state.directors.entry(DIRECTOR).or_default().drained.insert(NODE, 1.0);
    let sent = Attempt { sent_at: Some(3.2), read_late: true, ..attempt(0) };
    assert_eq!(evidence(&state.check_attempt(&sent, 9.0)), [observed(1.0, 3.2)]);
    assert_eq!(evidence(&state.check_attempt(&attempt(0), 3.3)), [observed(1.0, 3.3)]);

    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    let purge = NotifiedPurge { notified_at: 5.0, made_ms: 1_000 };
    lock(&judge.state).directors.entry(DIRECTOR).or_default().purged.insert(OBJECT, purge);
    judge.on_copy_served(REQUEST, 6.2, 999);
    assert_eq!(found_evidence(&judge), [observed(5.0, 6.2)]);
}

#[test]
fn calls_of_a_second_are_evidence_of_that_second() {
    let mut state = JudgeState::default();
    let cold = ColdNode { since: 10.0, capacity: 1.0, ..ColdNode::default() };
    state.cold_nodes.insert(NODE, cold);
    let read = ColdCall { is_in_send_log: false, ..cold_call(12.0) };
    let findings: Vec<Finding> = (0..100).filter_map(|_| state.check_slow_start(NODE, read)).collect();
    assert_eq!(evidence(&findings), [observed(11.0, 12.0)]);
}

#[test]
fn effects_sent_or_counted_twice_are_exact_and_a_second_run_by_time_is_observed_from_the_end_of_the_window() {
    assert_eq!(second_execution(Effect::AtMostOnce, 1.0, 1.1), Some(Evidence::Exact));
    assert_eq!(second_execution(Effect::Deduplicated, 1.0, 2.59), None);
    assert_eq!(second_execution(Effect::Deduplicated, 1.0, 2.61), Some(observed(2.5, 2.61)));
    assert_eq!(second_execution(Effect::Idempotent, 1.0, 9.0), None);

    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::AtMostOnce, OBJECT, 9.0);
    for port in [1, 2] {
        let link = NodeLink { ports: on_port(port), accepted_at: 0.0 };
        judge.on_attempt(&Attempt { sent_at: Some(0.1 * f64::from(port)), link, ..attempt(0) });
    }
    assert_eq!(found_evidence(&judge), [Evidence::Exact]);
}

#[test]
fn what_was_answered_or_never_asked_is_exact() {
    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    judge.on_answer(REQUEST, Some(OBJECT + 1));
    judge.on_answer(REQUEST, None);
    judge.on_attempt(&Attempt { request: REQUEST + 1, ..attempt(0) });
    judge.record_violation(Rule::Inside, String::new());
    assert_eq!(found_evidence(&judge), [Evidence::Exact; 4]);
}

#[test]
fn what_was_observed_since_then_is_evidence_until_now() {
    let judge = Judge::new();
    let before = judge.now();
    judge.record_observed(Rule::Lost, -3.0, String::new());
    let [Evidence::Observed(span)] = found_evidence(&judge)[..] else { panic!("one that was observed") };
    assert_eq!(span.from, -3.0);
    assert!((before..=judge.now()).contains(&span.to), "{span:?}");
}

#[test]
fn the_writes_of_clients_are_kept_with_their_times() {
    let judge = Judge::new();
    judge.on_request(REQUEST, DIRECTOR, Effect::Idempotent, OBJECT, 1.0);
    judge.on_request_sent(REQUEST);
    assert!(judge.writes().longest() < 0.1, "{:?}", judge.writes());
    // Its thread was not run for 0.2 s.
    let written_at = judge.now() - 0.2;
    lock(&judge.state).requests.insert(REQUEST, request(written_at, 1.0));
    judge.on_request_sent(REQUEST);
    let lateness = crate::soak::Lateness { writes: judge.writes(), ..Default::default() };
    let spans: Vec<TimeSpan> = lateness.past_tolerance().copied().collect();
    assert!(spans.len() == 1 && spans[0].from == written_at && spans[0].duration() >= 0.2, "{spans:?}");
}
