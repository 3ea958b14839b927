//! What is written to a node: an attempt, or the kill of one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablecross::Ns;
use sablecross::invariants::{BeginDenied, PendingAttempt};

use super::node_protocol;
use crate::events::{CancellationFlag, RequestId};
use crate::memory_budget::Body;

/// Set by a connection's thread before it looks whether a message may be begun, for the dispatcher to read.
#[derive(Clone, Debug, Default)]
pub struct BeginFlag(Arc<AtomicBool>);

impl BeginFlag {
    /// Sets the flag for good.
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A message that waits to be written to a node.
pub struct OutgoingMessage {
    /// The request for which it is.
    pub request_id: RequestId,
    /// Its content.
    pub content: Content,
    /// Set by the dispatcher: it is not to be begun any more.
    pub withdrawal: CancellationFlag,
    /// Set once the message may be begun.
    pub begin: BeginFlag,
    /// Set by the client's connection: the client has cancelled or gone.
    pub client_cancellation: CancellationFlag,
}

/// The content of a message.
pub enum Content {
    /// An attempt.
    Pull {
        /// Its line, but for the client's time left.
        head: node_protocol::PullHead,
        /// The body that follows the line.
        body: Arc<Body>,
        /// Its first byte must leave before.
        begin_by: Ns,
        /// When its time-out is over.
        answer_by: Ns,
    },
    /// The kill of an attempt that was written before.
    Kill {
        /// Until when it may be written.
        deadline: Ns,
    },
}

impl OutgoingMessage {
    /// The kill of a request's attempt.
    pub(super) fn kill(request_id: RequestId, deadline: Ns) -> OutgoingMessage {
        OutgoingMessage {
            request_id,
            content: Content::Kill { deadline },
            withdrawal: CancellationFlag::default(),
            begin: BeginFlag::default(),
            client_cancellation: CancellationFlag::default(),
        }
    }

    pub(super) fn is_attempt(&self) -> bool {
        matches!(self.content, Content::Pull { .. })
    }

    /// Until when it may be begun.
    pub(super) fn deadline(&self) -> Ns {
        match self.content {
            Content::Pull { begin_by, answer_by, .. } => begin_by.min(answer_by),
            Content::Kill { deadline } => deadline,
        }
    }

    /// Whether its first byte may leave now; the time that its client has left then.
    pub(super) fn may_begin(&self, now: Ns, clients_checked_at: Ns) -> Result<Ns, BeginDenied> {
        match self.content {
            Content::Kill { .. } => Ok(0),
            Content::Pull { begin_by, answer_by, .. } => {
                let pending = PendingAttempt {
                    begin_by,
                    answer_by,
                    is_withdrawn: self.withdrawal.is_cancelled(),
                    is_client_gone: self.client_cancellation.is_cancelled(),
                    clients_checked_at,
                };
                pending.may_begin(now)
            }
        }
    }

    /// Its line, as it is written now.
    pub(super) fn line(&self, time_left: Ns) -> Vec<u8> {
        match &self.content {
            Content::Pull { head, .. } => head.with_wait(time_left),
            Content::Kill { .. } => node_protocol::kill_line(&self.request_id),
        }
    }

    /// What follows its line: a body and the end of that.
    pub(super) fn body_parts(&self) -> (&[u8], &[u8]) {
        match &self.content {
            Content::Pull { body, .. } => (body.bytes(), node_protocol::LINE_END),
            Content::Kill { .. } => (&[], &[]),
        }
    }
}
