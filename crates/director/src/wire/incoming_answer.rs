//! An answer from a node, while its body is being read.

use std::io::{self, Read};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::{Ns, Outcome};

use super::node_protocol::{AnswerHead, LINE_END};
use super::read_buffer::ReadBuffer;
use crate::events::{AttemptEnded, CachedCopy};
use crate::memory_budget::{Body, MemoryBudget};

/// An answer whose head is parsed and whose body is being read.
pub(super) struct IncomingAnswer {
    ended: AttemptEnded,
    tag: Box<str>,
    is_unchanged: bool,
    /// `None` if the memory budget has no room for the body: its bytes are read and discarded.
    body: Option<Body>,
    body_length: usize,
    received: usize,
}

impl IncomingAnswer {
    /// Begins an answer from its head, and reserves memory for its body.
    pub(super) fn new(head: &AnswerHead<'_>, memory_budget: &Arc<MemoryBudget>) -> IncomingAnswer {
        IncomingAnswer {
            ended: AttemptEnded {
                request_id: head.request_id,
                outcome: head.outcome,
                is_cache_hit: head.is_cache_hit,
                load: head.load,
                copy: None,
                ended_at: 0,
            },
            tag: head.tag.unwrap_or_default().into(),
            is_unchanged: head.is_unchanged,
            body: memory_budget.allocate_body(head.body_length),
            body_length: head.body_length,
            received: 0,
        }
    }

    pub(super) fn body_length(&self) -> usize {
        self.body_length
    }

    /// Whether the whole body has been received.
    pub(super) fn is_body_complete(&self) -> bool {
        self.received == self.body_length
    }

    /// Reads more of the body; once the body is complete, reads the line end after it into `buffer`. Returns false at the
    /// end of the stream.
    pub(super) fn read(&mut self, buffer: &mut ReadBuffer, mut stream: &TcpStream) -> io::Result<bool> {
        let buffered = buffer.unread().len().min(self.body_length - self.received);
        if let Some(body) = self.body.as_mut() {
            let target = &mut body.bytes_mut()[self.received..self.received + buffered];
            target.copy_from_slice(&buffer.unread()[..buffered]);
        }
        buffer.consume(buffered);
        self.received += buffered;
        let is_body_incomplete = self.received < self.body_length;
        match self.body.as_mut() {
            Some(body) if is_body_incomplete => {
                let read = stream.read(&mut body.bytes_mut()[self.received..])?;
                self.received += read;
                Ok(read > 0)
            }
            None if is_body_incomplete => buffer.fill(stream),
            _ if buffer.unread().len() >= LINE_END.len() => Ok(true),
            _ => buffer.fill(stream),
        }
    }

    /// The result of the attempt; `ended_at` is the time at which the answer was complete.
    pub(super) fn into_result(self, ended_at: Ns) -> AttemptEnded {
        let IncomingAnswer { mut ended, tag, is_unchanged, body, .. } = self;
        ended.ended_at = ended_at;
        match body {
            // The body was discarded for lack of memory: the attempt counts as cancelled.
            None => ended.outcome = Outcome::Cancelled,
            Some(body) if ended.outcome == Outcome::Success => {
                ended.copy = Some(CachedCopy { tag, body: (!is_unchanged).then(|| Arc::new(body)) });
            }
            Some(_) => {}
        }
        ended
    }
}
