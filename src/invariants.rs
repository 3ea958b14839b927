//! The rules that a director must never break, whatever the router decides.
//!
//! All code that begins, repeats or answers a request, or closes a connection, checks these rules immediately before
//! it acts. A decision that breaks a rule is not carried out and is counted as a violation. No violations are
//! expected.

use crate::types::{Attempt, Effect, EndpointState, Ns, Outcome};

/// An attempt begins only if its client was confirmed to be connected at most this long ago. A process that was
/// suspended therefore has to check first which clients have disconnected meanwhile. The value is longer than the
/// time between two checks while the process runs.
pub const CLIENT_CHECK_MAX_AGE: Ns = 80_000_000;

/// An attempt that waits to be sent to its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// The time by which the first byte must be sent.
    pub begin_by: Ns,
    /// The time by which the answer must have arrived.
    pub answer_by: Ns,
    /// Whether the dispatcher has abandoned the attempt, or a drain or a purge has arrived since the attempt was
    /// chosen.
    pub is_withdrawn: bool,
    /// Whether the client has closed the connection or cancelled the request.
    pub is_client_gone: bool,
    /// When the connections of all clients were last read. A connection that had closed by then is known to be
    /// closed.
    pub clients_checked_at: Ns,
}

/// The reason why an attempt must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginDenied {
    /// The time to begin or to answer has passed.
    Expired,
    /// The attempt was withdrawn.
    Withdrawn,
    /// The client has disconnected or cancelled the request.
    ClientGone,
    /// Whether the client is still connected has to be checked first; the attempt stays pending.
    Unconfirmed,
}

impl PendingAttempt {
    /// Checks whether the first byte may be sent now, and returns the time that is then left for the answer.
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

/// The work in progress on a client's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnectionState {
    /// The number of requests without a final answer.
    pub open_requests: usize,
    /// The number of responses that are not written completely.
    pub unwritten_responses: usize,
    /// Whether the beginning of a request has been received, but not its end.
    pub has_partial_request: bool,
}

/// The reason why a connection must not be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDenied {
    /// A response still has to be sent.
    ResponsePending,
    /// A request is being received; once it is complete, a response has to be sent.
    RequestIncomplete,
}

impl ClientConnectionState {
    /// Checks whether the director may close the connection on its own initiative.
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
pub fn may_have_executed(outcome: Option<Outcome>) -> bool {
    use Outcome::{ConnectFailed, Miss, NotSent, Overloaded};
    !matches!(outcome, Some(Overloaded | ConnectFailed | NotSent | Miss))
}

/// An attempt that was chosen, with everything that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct ProposedAttempt<'a> {
    /// What a repeat of the request would do.
    pub effect: Effect,
    /// Whether the request already has its final answer.
    pub is_answered: bool,
    /// Whether the client has disconnected or cancelled the request.
    pub is_client_gone: bool,
    /// When the client stops waiting for an answer.
    pub deadline: Ns,
    /// The state of the node that the attempt goes to.
    pub node_state: EndpointState,
    /// The state of the node from which a miss is filled, if there is one.
    pub source_state: Option<EndpointState>,
    /// All earlier attempts of the request.
    pub prior_attempts: &'a [Attempt],
}

/// The rule that an attempt or an answer would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request gets one final answer.
    AnsweredTwice,
    /// A request gets no attempts after its answer.
    AttemptAfterAnswer,
    /// A request gets no attempts from its deadline on.
    AttemptAfterDeadline,
    /// A request gets no attempts after its client has disconnected or cancelled it.
    AttemptForGoneClient,
    /// A node that is draining or gone gets no attempts.
    NodeNotReady,
    /// A node that is draining or gone is not the source of a fill.
    SourceNotReady,
    /// A request takes effect only once.
    EffectRepeated,
}

impl ProposedAttempt<'_> {
    /// Checks whether the attempt may be handed to a connection.
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
        let mut possibly_executed =
            self.prior_attempts.iter().filter(|prior| may_have_executed(prior.outcome));
        match self.effect {
            Effect::Idempotent => false,
            Effect::SideEffecting => possibly_executed.next().is_some(),
            Effect::Deduplicated { window, .. } => {
                let first = possibly_executed.map(|prior| prior.sent_at).min();
                first.is_some_and(|sent_at| now >= sent_at.saturating_add(window))
            }
        }
    }
}

/// Checks whether a request may be given an answer.
pub fn check_answer(is_answered: bool) -> Result<(), Violation> {
    if is_answered { Err(Violation::AnsweredTwice) } else { Ok(()) }
}
