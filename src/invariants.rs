//! The rules that a director must never break, whatever it decides.
//!
//! Every path that begins, repeats or answers something, or closes a connection, asks here at the moment of doing it. A
//! decision that breaks a rule is not carried out and is counted as a violation; there should be none.

use crate::types::{Attempt, Effect, EndpointState, Ns, Outcome};

/// An attempt begins only if its client was known to be connected so shortly before: a process that was suspended has to
/// check first which clients have gone meanwhile. Longer than the time between two checks while it runs.
pub const CLIENT_CHECK_MAX_AGE: Ns = 80_000_000;

/// An attempt that waits to be written to its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// The time by which its first byte must have left.
    pub begin_by: Ns,
    /// The time by which its answer must have come.
    pub answer_by: Ns,
    /// Whether the dispatcher has abandoned it, or a drain or a purge has come since it was chosen.
    pub is_withdrawn: bool,
    /// Whether its client has closed the connection or cancelled the request.
    pub is_client_gone: bool,
    /// When all clients' connections were last read, so that one that had closed would be known.
    pub clients_checked_at: Ns,
}

/// Why an attempt does not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginDenied {
    /// Its time has passed.
    Expired,
    /// It was withdrawn.
    Withdrawn,
    /// Its client has gone.
    ClientGone,
    /// Whether its client has gone has to be checked first: the attempt stays pending.
    Unconfirmed,
}

impl PendingAttempt {
    /// Whether its first byte may leave now; returns the time that its client has left then.
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
    /// Requests without a final answer.
    pub open_requests: usize,
    /// Responses that are not written, or not to their end.
    pub unwritten_responses: usize,
    /// Whether the first bytes of a request have come, but not its last.
    pub has_partial_request: bool,
}

/// Why a connection must not be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDenied {
    /// A response is owed.
    ResponsePending,
    /// A request is being read; once it is complete, a response is owed.
    RequestIncomplete,
}

impl ClientConnectionState {
    /// Whether the director may close the connection of its own accord.
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

/// Whether an attempt with this outcome, or with none yet, may have been executed.
pub(crate) fn may_have_run(outcome: Option<Outcome>) -> bool {
    use Outcome::{ConnectFailed, Miss, NotSent, Overloaded};
    !matches!(outcome, Some(Overloaded | ConnectFailed | NotSent | Miss))
}

/// An attempt that was chosen, with all that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct ProposedAttempt<'a> {
    /// What a repeat of the request would do.
    pub effect: Effect,
    /// Whether the request has its final answer.
    pub is_answered: bool,
    /// Whether the client has gone.
    pub is_client_gone: bool,
    /// When the client gives up.
    pub deadline: Ns,
    /// The state of the node that it goes to.
    pub node_state: EndpointState,
    /// The state of the node that a miss is filled from, if there is one.
    pub source_state: Option<EndpointState>,
    /// All earlier attempts of the request.
    pub prior_attempts: &'a [Attempt],
}

/// The rule that an attempt or an answer would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request has one final answer.
    AnsweredTwice,
    /// After its answer a request has no attempts.
    AttemptAfterAnswer,
    /// After its deadline a request has no attempts.
    AttemptAfterDeadline,
    /// Without its client a request has no attempts.
    AttemptForGoneClient,
    /// A node that is draining or gone gets no attempts.
    NodeNotReady,
    /// A node that is draining or gone fills no misses.
    SourceNotReady,
    /// A request takes effect once.
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
        let mut possibly_run = self.prior_attempts.iter().filter(|prior| may_have_run(prior.outcome));
        match self.effect {
            Effect::Idempotent => false,
            Effect::SideEffecting => possibly_run.next().is_some(),
            Effect::Deduplicated { window, .. } => {
                let first = possibly_run.map(|prior| prior.sent_at).min();
                first.is_some_and(|sent_at| now >= sent_at.saturating_add(window))
            }
        }
    }
}

/// Whether a request may be given an answer.
pub fn check_answer(is_answered: bool) -> Result<(), Violation> {
    if is_answered { Err(Violation::AnsweredTwice) } else { Ok(()) }
}
