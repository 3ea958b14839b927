//! Messages to nodes: an attempt, or the `KILL` of an earlier one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablecross::Ns;
use sablecross::invariants::{BeginDenied, PendingAttempt};

use super::node_protocol;
use crate::events::{CancellationFlag, RequestId};
use crate::memory_budget::Body;

/// Set by the node thread before it checks whether a message may be begun; read by the dispatcher.
#[derive(Clone, Debug, Default)]
pub struct BeginFlag(Arc<AtomicBool>);

impl BeginFlag {
    /// Sets the flag. It is never cleared.
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Returns whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A message to a node that is queued on a connection.
pub struct OutgoingMessage {
    /// The request to which the message belongs.
    pub request_id: RequestId,
    /// The content of the message.
    pub content: Content,
    /// Set by the dispatcher: the message must not be begun any more.
    pub withdrawal: CancellationFlag,
    /// Set by the node thread before it begins the message.
    pub begin: BeginFlag,
    /// Set by the client thread: the client has cancelled the request or disconnected.
    pub client_cancellation: CancellationFlag,
}

/// The content of a message.
pub enum Content {
    /// An attempt.
    Pull {
        /// The line of the attempt, without the time that is left for the answer.
        head: node_protocol::PullHead,
        /// The body that follows the line.
        body: Arc<Body>,
        /// The first byte must be written before this time.
        begin_by: Ns,
        /// When the attempt times out.
        answer_by: Ns,
    },
    /// Cancels an attempt that was written before.
    Kill {
        /// The time by which the message must be written, not counting `write_finish_grace`.
        deadline: Ns,
    },
}

impl OutgoingMessage {
    /// A message that cancels the attempt of a request.
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

    /// The time by which an attempt must be begun, and a `Kill` be written. A message that is not written completely
    /// within `write_finish_grace` of this time ends the connection.
    pub(super) fn deadline(&self) -> Ns {
        match self.content {
            Content::Pull { begin_by, answer_by, .. } => begin_by.min(answer_by),
            Content::Kill { deadline } => deadline,
        }
    }

    /// Checks whether the first byte may be written now. Returns the time that is left for the answer; 0 for a `Kill`.
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

    /// The line of the message; for an attempt, `time_left` is the time that is left for the answer.
    pub(super) fn line(&self, time_left: Ns) -> Vec<u8> {
        match &self.content {
            Content::Pull { head, .. } => head.with_wait(time_left),
            Content::Kill { .. } => node_protocol::kill_line(&self.request_id),
        }
    }

    /// The bytes after the line: the body and its terminator, both empty for a `Kill`.
    pub(super) fn body_parts(&self) -> (&[u8], &[u8]) {
        match &self.content {
            Content::Pull { body, .. } => (body.bytes(), node_protocol::LINE_END),
            Content::Kill { .. } => (&[], &[]),
        }
    }
}
