//! Checks each invariant separately, at its limits.

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
fn pending_attempt_begins_only_in_time_and_for_a_connected_client() {
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
    for (pending, expected) in cases {
        assert_eq!(pending.may_begin(NOW), expected, "{pending:?}");
    }
}

#[test]
fn client_connection_closes_only_without_pending_work() {
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
fn proposed_attempt_is_checked_against_each_rule() {
    let window = 1_000;
    let deduplicated = Effect::Deduplicated { within: DeduplicationScope::All, window };
    let not_executed = [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Miss];
    let attempt = |sent_at, outcome| Attempt { node: 0, source: None, sent_at, outcome };
    let not_executed = not_executed.map(|outcome| attempt(NOW - 5_000, Some(outcome)));
    let possibly_executed = |at, outcome| [attempt(at, outcome)];
    let (lost, old) = (
        possibly_executed(NOW - 999, Some(Outcome::ConnectionLost)),
        possibly_executed(NOW - 1_000, Some(Outcome::TimedOut)),
    );
    let outstanding = possibly_executed(NOW - 1, None);
    let valid = ProposedAttempt {
        effect: Effect::Idempotent,
        is_answered: false,
        is_client_gone: false,
        deadline: NOW + 1,
        node_state: EndpointState::Ready,
        source_state: Some(EndpointState::Ready),
        prior_attempts: &[],
    };
    let cases = [
        (valid, Ok(())),
        (ProposedAttempt { is_answered: true, ..valid }, Err(Violation::AttemptAfterAnswer)),
        (ProposedAttempt { is_client_gone: true, ..valid }, Err(Violation::AttemptForGoneClient)),
        (ProposedAttempt { deadline: NOW, ..valid }, Err(Violation::AttemptAfterDeadline)),
        (ProposedAttempt { node_state: EndpointState::Draining, ..valid }, Err(Violation::NodeNotReady)),
        (ProposedAttempt { node_state: EndpointState::Gone, ..valid }, Err(Violation::NodeNotReady)),
        (
            ProposedAttempt { source_state: Some(EndpointState::Draining), ..valid },
            Err(Violation::SourceNotReady),
        ),
        (ProposedAttempt { source_state: None, ..valid }, Ok(())),
        (ProposedAttempt { prior_attempts: &old, ..valid }, Ok(())),
        (ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &not_executed, ..valid }, Ok(())),
        (
            ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &lost, ..valid },
            Err(Violation::EffectRepeated),
        ),
        (
            ProposedAttempt { effect: Effect::SideEffecting, prior_attempts: &outstanding, ..valid },
            Err(Violation::EffectRepeated),
        ),
        (ProposedAttempt { effect: deduplicated, prior_attempts: &lost, ..valid }, Ok(())),
        (
            ProposedAttempt { effect: deduplicated, prior_attempts: &old, ..valid },
            Err(Violation::EffectRepeated),
        ),
        (ProposedAttempt { effect: deduplicated, prior_attempts: &not_executed, ..valid }, Ok(())),
    ];
    for (proposed, expected) in cases {
        assert_eq!(proposed.check(NOW), expected, "{proposed:?}");
    }
}
