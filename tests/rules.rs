//! Each rule alone, at its edges.

use sablecross::rules::{
    CONFIRMED_WITHIN, Chosen, Connection, Earlier, Hold, Owed, Violation, Waiting, check_answer,
};
use sablecross::{Effect, Outcome, State, Within};

const NOW: u64 = 10_000_000_000;

const WAITING: Waiting = Waiting {
    begin_by: u64::MAX,
    answer_by: NOW + 5,
    retracted: false,
    client_gone: false,
    clients_heard_at: NOW,
};

#[test]
fn an_attempt_begins_only_in_its_time_and_for_a_client_that_is_there() {
    let cases = [
        (WAITING, Ok(5)),
        (Waiting { answer_by: NOW, ..WAITING }, Err(Hold::Expired)),
        (Waiting { begin_by: NOW, ..WAITING }, Err(Hold::Expired)),
        (Waiting { begin_by: NOW + 1, ..WAITING }, Ok(5)),
        (Waiting { retracted: true, ..WAITING }, Err(Hold::Retracted)),
        (Waiting { client_gone: true, retracted: true, ..WAITING }, Err(Hold::ClientGone)),
        (Waiting { clients_heard_at: NOW - CONFIRMED_WITHIN, ..WAITING }, Ok(5)),
        (Waiting { clients_heard_at: NOW - CONFIRMED_WITHIN - 1, ..WAITING }, Err(Hold::Unconfirmed)),
        (Waiting { clients_heard_at: NOW + 1, ..WAITING }, Ok(5)),
    ];
    for (waiting, expected) in cases {
        assert_eq!(waiting.may_begin(NOW), expected, "{waiting:?}");
    }
}

#[test]
fn a_connection_closes_only_when_it_owes_nothing() {
    let none = Connection::default();
    let cases = [
        (none, Ok(())),
        (Connection { open_requests: 1, ..none }, Err(Owed::Answer)),
        (Connection { unwritten_answers: 1, ..none }, Err(Owed::Answer)),
        (Connection { partial_request: true, ..none }, Err(Owed::Request)),
        (Connection { partial_request: true, open_requests: 1, ..none }, Err(Owed::Answer)),
    ];
    for (connection, expected) in cases {
        assert_eq!(connection.may_close(), expected, "{connection:?}");
    }
    assert_eq!((check_answer(false), check_answer(true)), (Ok(()), Err(Violation::AnsweredTwice)));
}

#[test]
fn what_is_chosen_is_held_against_each_rule() {
    let memory = 1_000;
    let deduplicated = Effect::Deduplicated { within: Within::All, memory };
    let never = [Outcome::Full, Outcome::Unconnected, Outcome::NeverSent, Outcome::Miss];
    let never = never.map(|outcome| Earlier { at: NOW - 5_000, outcome: Some(outcome) });
    let maybe = |at, outcome| [Earlier { at, outcome }];
    let (lost, old) = (maybe(NOW - 999, Some(Outcome::Broken)), maybe(NOW - 1_000, Some(Outcome::TimedOut)));
    let out = maybe(NOW - 1, None);
    let good = Chosen {
        effect: Effect::Idempotent,
        answered: false,
        client_gone: false,
        deadline: NOW + 1,
        node: State::Ready,
        source: Some(State::Ready),
        earlier: &[],
    };
    let cases = [
        (good, Ok(())),
        (Chosen { answered: true, ..good }, Err(Violation::AttemptAfterAnswer)),
        (Chosen { client_gone: true, ..good }, Err(Violation::AttemptForGoneClient)),
        (Chosen { deadline: NOW, ..good }, Err(Violation::AttemptAfterDeadline)),
        (Chosen { node: State::Draining, ..good }, Err(Violation::NodeNotReady)),
        (Chosen { node: State::Gone, ..good }, Err(Violation::NodeNotReady)),
        (Chosen { source: Some(State::Draining), ..good }, Err(Violation::SourceNotReady)),
        (Chosen { source: None, ..good }, Ok(())),
        (Chosen { earlier: &old, ..good }, Ok(())),
        (Chosen { effect: Effect::SideEffecting, earlier: &never, ..good }, Ok(())),
        (Chosen { effect: Effect::SideEffecting, earlier: &lost, ..good }, Err(Violation::EffectRepeated)),
        (Chosen { effect: Effect::SideEffecting, earlier: &out, ..good }, Err(Violation::EffectRepeated)),
        (Chosen { effect: deduplicated, earlier: &lost, ..good }, Ok(())),
        (Chosen { effect: deduplicated, earlier: &old, ..good }, Err(Violation::EffectRepeated)),
        (Chosen { effect: deduplicated, earlier: &never, ..good }, Ok(())),
    ];
    for (chosen, expected) in cases {
        assert_eq!(chosen.check(NOW), expected, "{chosen:?}");
    }
}
