//! Each rule alone, at its edges.

use sablecross::invariants::{
    BeginDenied, CLIENT_CHECK_MAX_AGE, ClientConnectionState, CloseDenied, PendingAttempt, ProposedAttempt,
    Violation, check_answer,
};
use sablecross::{Attempt, DeduplicationScope, Effect, EndpointState, Outcome};

const NOW: u64 = 10_000_000_000;

const PENDING: PendingAttempt = PendingAttempt {
    begin_by: u64::MAX,
    answer_by: NOW + 5,
    is_withdrawn: false,
    is_client_gone: false,
    clients_checked_at: NOW,
};

#[test]
fn an_attempt_begins_only_in_its_time_and_for_a_client_that_is_there() {
    let cases = [
        (PENDING, Ok(5)),
        (PendingAttempt { answer_by: NOW, ..PENDING }, Err(BeginDenied::Expired)),
        (PendingAttempt { begin_by: NOW, ..PENDING }, Err(BeginDenied::Expired)),
        (PendingAttempt { begin_by: NOW + 1, ..PENDING }, Ok(5)),
        (PendingAttempt { is_withdrawn: true, ..PENDING }, Err(BeginDenied::Withdrawn)),
        (
            PendingAttempt { is_client_gone: true, is_withdrawn: true, ..PENDING },
            Err(BeginDenied::ClientGone),
        ),
        (PendingAttempt { clients_checked_at: NOW - CLIENT_CHECK_MAX_AGE, ..PENDING }, Ok(5)),
        (
            PendingAttempt { clients_checked_at: NOW - CLIENT_CHECK_MAX_AGE - 1, ..PENDING },
            Err(BeginDenied::Unconfirmed),
        ),
        (PendingAttempt { clients_checked_at: NOW + 1, ..PENDING }, Ok(5)),
    ];
    for (waiting, expected) in cases {
        assert_eq!(waiting.may_begin(NOW), expected, "{waiting:?}");
    }
}

#[test]
fn a_connection_closes_only_when_it_owes_nothing() {
    let none = ClientConnectionState::default();
    let cases = [
        (none, Ok(())),
        (ClientConnectionState { open_requests: 1, ..none }, Err(CloseDenied::ResponsePending)),
        (ClientConnectionState { unwritten_responses: 1, ..none }, Err(CloseDenied::ResponsePending)),
        (ClientConnectionState { has_partial_request: true, ..none }, Err(CloseDenied::RequestIncomplete)),
        (
            ClientConnectionState { has_partial_request: true, open_requests: 1, ..none },
            Err(CloseDenied::ResponsePending),
        ),
    ];
    for (connection, expected) in cases {
        assert_eq!(connection.may_close(), expected, "{connection:?}");
    }
    assert_eq!((check_answer(false), check_answer(true)), (Ok(()), Err(Violation::AnsweredTwice)));
}

#[test]
fn what_is_chosen_is_held_against_each_rule() {
    let window = 1_000;
    let deduplicated = Effect::Deduplicated { within: DeduplicationScope::All, window };
    let never = [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Miss];
    let attempt = |sent_at, outcome| Attempt { node: 0, source: None, sent_at, outcome };
    let never = never.map(|outcome| attempt(NOW - 5_000, Some(outcome)));
    let maybe = |at, outcome| [attempt(at, outcome)];
    let (lost, old) =
        (maybe(NOW - 999, Some(Outcome::ConnectionLost)), maybe(NOW - 1_000, Some(Outcome::TimedOut)));
    let out = maybe(NOW - 1, None);
    let good = ProposedAttempt {
        effect: Effect::Idempotent,
        is_answered: false,
        is_client_gone: false,
        deadline: NOW + 1,
        node_state: EndpointState::Ready,
        source_state: Some(EndpointState::Ready),
        prior_attempts: &[],
    };
    let cases = [
        (good, Ok(())),
        (ProposedAttempt { is_answered: true, ..good }, Err(Violation::AttemptAfterAnswer)),
        (ProposedAttempt { is_client_gone: true, ..good }, Err(Violation::AttemptForGoneClient)),
        (ProposedAttempt { deadline: NOW, ..good }, Err(Violation::AttemptAfterDeadline)),
        (ProposedAttempt { node_state: EndpointState::Draining, ..good }, Err(Violation::NodeNotReady)),
        (ProposedAttempt { node_state: EndpointState::Gone, ..good }, Err(Violation::NodeNotReady)),
        (
            ProposedAttempt { source_state: Some(EndpointState::Draining), ..good },
            Err(Violation::SourceNotReady),
        ),
        (ProposedAttempt { source_state: None, ..good }, Ok(())),
        (ProposedAttempt { prior_attempts: &old, ..good }, Ok(())),
        (ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &never, ..good }, Ok(())),
        (
            ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &lost, ..good },
            Err(Violation::EffectRepeated),
        ),
        (
            ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &out, ..good },
            Err(Violation::EffectRepeated),
        ),
        (ProposedAttempt { effect: deduplicated, prior_attempts: &lost, ..good }, Ok(())),
        (
            ProposedAttempt { effect: deduplicated, prior_attempts: &old, ..good },
            Err(Violation::EffectRepeated),
        ),
        (ProposedAttempt { effect: deduplicated, prior_attempts: &never, ..good }, Ok(())),
    ];
    for (chosen, expected) in cases {
        assert_eq!(chosen.check(NOW), expected, "{chosen:?}");
    }
}
