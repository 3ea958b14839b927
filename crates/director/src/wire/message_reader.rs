//! Receives the messages of one client connection: keeps the bytes of the message that is incomplete, or discards them if
//! the memory is needed elsewhere, and knows how long that message has been incomplete.

use std::io::{self, ErrorKind, Read};

use sablecross::Ns;

use super::read_buffer::ReadBuffer;
use super::rpc::{self, DecodeError, Message, MessageError, SkippedCall};
use crate::limits::Limits;
use crate::name_table::NameTable;
use crate::os_error::is_retryable;
use crate::shared::SharedContext;

/// Receives messages.
pub(super) struct MessageReader {
    buffer: ReadBuffer,
    /// The incomplete message, if its bytes are discarded.
    skipped: Option<SkippedCall>,
    /// The time by which the incomplete message must be complete.
    deadline: Option<Ns>,
    /// Since when the incomplete message waits for further bytes of the client.
    waiting_since: Option<Ns>,
}

impl MessageReader {
    pub(super) fn new(shared: &SharedContext) -> MessageReader {
        let limits = &shared.limits;
        let max_message = limits.max_head_bytes + limits.max_body_bytes;
        let buffer = ReadBuffer::new(limits.initial_read_bytes, max_message, &shared.memory_budget);
        MessageReader { buffer, skipped: None, deadline: None, waiting_since: None }
    }

    /// Drops the incomplete message and all memory. No more messages are received.
    pub(super) fn close(&mut self, shared: &SharedContext) {
        let buffer = ReadBuffer::new(0, 0, &shared.memory_budget);
        *self = MessageReader { buffer, skipped: None, deadline: None, waiting_since: None };
    }

    /// Whether the beginning of a message was received, but not its end.
    pub(super) fn has_partial_message(&self) -> bool {
        self.skipped.is_some() || !self.buffer.unread().is_empty()
    }

    /// Whether the incomplete message has taken too long.
    pub(super) fn is_overdue(&self, now: Ns) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }

    /// The next message, with the number of bytes to be passed to [`MessageReader::consume`].
    pub(super) fn decode(
        &mut self,
        names: &NameTable,
        limits: &Limits,
    ) -> Result<(Message<'_>, usize), DecodeError> {
        if self.skipped.is_none() {
            return rpc::decode(self.buffer.unread(), names, limits);
        }
        self.discard_skipped(limits)?;
        match &self.skipped {
            Some(call) if call.is_complete() => Ok((Message::Skipped { call: call.number() }, 0)),
            _ => Err(DecodeError::Incomplete),
        }
    }

    /// Removes a message that was decoded.
    pub(super) fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        (self.skipped, self.deadline, self.waiting_since) = (None, None, None);
    }

    /// Reads more bytes once. Returns false at the end of the source.
    ///
    /// # Errors
    /// Returns the errors of [`ReadBuffer::fill`].
    pub(super) fn fill(&mut self, source: impl Read, now: Ns, limits: &Limits) -> io::Result<bool> {
        if self.has_partial_message() {
            self.deadline.get_or_insert(now + limits.partial_message_timeout);
        }
        let result = self.buffer.fill(source);
        match &result {
            Ok(_) => self.waiting_since = None,
            Err(e) if e.kind() == ErrorKind::Interrupted || !is_retryable(e) => {}
            Err(_) => _ = self.waiting_since.get_or_insert(now),
        }
        result
    }

    /// How much memory discarding the incomplete message would free, and since when the message waits for further bytes.
    /// `None` if it would free none, or if further bytes may be there to be read.
    pub(super) fn reclaimable(&self) -> Option<(usize, Ns)> {
        let bytes = self.buffer.reserved_bytes();
        if bytes > 0 { Some((bytes, self.waiting_since?)) } else { None }
    }

    /// Discards the bytes of the incomplete message, and from now on those that are still to come.
    ///
    /// # Errors
    /// Returns an error if the message is not a call, or is invalid.
    pub(super) fn skip_message(&mut self, limits: &Limits) -> Result<(), MessageError> {
        self.skipped = Some(SkippedCall::start(self.buffer.unread())?);
        self.discard_skipped(limits)
    }

    fn discard_skipped(&mut self, limits: &Limits) -> Result<(), MessageError> {
        let Some(call) = &mut self.skipped else { return Ok(()) };
        let count = call.skip(self.buffer.unread(), limits)?;
        self.buffer.consume(count);
        Ok(())
    }
}
