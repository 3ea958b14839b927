//! What may be begun, answered or closed now.
//!
//! The one place that holds the rules a director must never break, apart from how it chooses: every path that begins,
//! repeats or answers something, or closes a connection, asks here at the moment of doing it. A choice that breaks a
//! rule is not carried out and is counted as a violation: there should be none.

use crate::interface::{Effect, EndpointState, Ns, Outcome};

/// An attempt is begun only if its client was known to be there so shortly before: a process that stood still has to
/// look first who has gone meanwhile. Longer than the pause between two looks while it runs.
pub const CLIENT_CHECK_MAX_AGE: Ns = 80_000_000;

/// An attempt that waits to be written to its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Its first byte must leave before.
    pub begin_by: Ns,
    /// Its answer must come before.
    pub answer_by: Ns,
    /// The desk has given it up, or news have come against it: a drain, a purge.
    pub is_withdrawn: bool,
    /// Its client has closed or cancelled.
    pub is_client_gone: bool,
    /// When all that clients had said, or that they had gone, was heard last.
    pub clients_checked_at: Ns,
}

/// Why an attempt is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginDenied {
    Expired,
    Withdrawn,
    ClientGone,
    /// Whether its client has gone is to be looked at first: the attempt stays.
    Unconfirmed,
}

impl PendingAttempt {
    /// Whether its first byte may leave now; the time that its client has left then.
    pub fn may_begin(&self, now: Ns) -> Result<Ns, BeginDenied> {
        if self.is_client_gone {
            return Err(BeginDenied::ClientGone);
        }
        if self.is_withdrawn {
            return Err(BeginDenied::Withdrawn);
        }
        if now >= self.begin_by || now >= self.answer_by {
            return Err(BeginDenied::Expired);
        }
        if now.saturating_sub(self.clients_checked_at) > CLIENT_CHECK_MAX_AGE {
            return Err(BeginDenied::Unconfirmed);
        }
        Ok(self.answer_by - now)
    }
}

/// What is under way on a client's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnectionState {
    pub open_requests: usize,
    pub unwritten_responses: usize,
    /// The first bytes of a request have come.
    pub has_partial_request: bool,
}

/// What a connection that may not be closed still owes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDenied {
    ResponsePending,
    /// The rest of a request: once it is whole, it is owed an answer.
    RequestIncomplete,
}

impl ClientConnectionState {
    /// Whether the director may close it of its own accord.
    pub fn may_close(&self) -> Result<(), CloseDenied> {
        if self.open_requests > 0 || self.unwritten_responses > 0 {
            return Err(CloseDenied::ResponsePending);
        }
        if self.has_partial_request {
            return Err(CloseDenied::RequestIncomplete);
        }
        Ok(())
    }
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorAttempt {
    pub sent_at: Ns,
    pub outcome: Option<Outcome>,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        let never = [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Miss];
        self.outcome.is_none_or(|outcome| !never.contains(&outcome))
    }
}

/// An attempt that was chosen, with all that the rules ask of it.
#[derive(Clone, Copy, Debug)]
pub struct ProposedAttempt<'a> {
    pub effect: Effect,
    pub is_answered: bool,
    pub is_client_gone: bool,
    pub deadline: Ns,
    pub node_state: EndpointState,
    pub source_state: Option<EndpointState>,
    pub prior_attempts: &'a [PriorAttempt],
}

/// A rule that an attempt or an answer would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    AnsweredTwice,
    AttemptAfterAnswer,
    AttemptAfterDeadline,
    AttemptForGoneClient,
    NodeNotReady,
    SourceNotReady,
    EffectRepeated,
}

impl ProposedAttempt<'_> {
    /// Whether it may be handed to a connection.
    pub fn check(&self, now: Ns) -> Result<(), Violation> {
        if self.is_answered {
            return Err(Violation::AttemptAfterAnswer);
        }
        if self.is_client_gone {
            return Err(Violation::AttemptForGoneClient);
        }
        if now >= self.deadline {
            return Err(Violation::AttemptAfterDeadline);
        }
        if self.node_state != EndpointState::Ready {
            return Err(Violation::NodeNotReady);
        }
        if self.source_state.is_some_and(|source| source != EndpointState::Ready) {
            return Err(Violation::SourceNotReady);
        }
        if self.repeats_effect(now) {
            return Err(Violation::EffectRepeated);
        }
        Ok(())
    }

    fn repeats_effect(&self, now: Ns) -> bool {
        let mut ran = self.prior_attempts.iter().filter(|e| e.may_have_run());
        match self.effect {
            Effect::Idempotent => false,
            Effect::SideEffecting => ran.next().is_some(),
            Effect::Deduplicated { window: memory, .. } => {
                ran.map(|e| e.sent_at).min().is_some_and(|first| now >= first.saturating_add(memory))
            }
        }
    }
}

/// Whether a request may be given an answer.
pub fn check_answer(answered: bool) -> Result<(), Violation> {
    if answered { Err(Violation::AnsweredTwice) } else { Ok(()) }
}
