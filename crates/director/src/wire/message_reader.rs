//! Receives the messages of one client connection: keeps the bytes of the message that is incomplete, or discards them if
//! the memory is needed elsewhere, and knows how long that message has been incomplete.

use std::io::{self, ErrorKind, Read};

use sablecross::Ns;

use super::read_buffer::ReadBuffer;
use super::rpc::{self, DecodeError, Message, MessageError, SkippedCall};
use crate::clock::NS_PER_S;
use crate::limits::Limits;
use crate::name_table::NameTable;
use crate::os_error::is_retryable;
use crate::shared::SharedContext;

/// Receives messages.
pub(super) struct MessageReader {
    buffer: ReadBuffer,
    /// The incomplete message, if its bytes are discarded.
    skipped: Option<SkippedCall>,
    /// Since when there has been an incomplete message.
    began_at: Option<Ns>,
    /// When bytes of the incomplete message were last received.
    last_received_at: Ns,
    /// Since when the incomplete message waits for further bytes of the client.
    waiting_since: Option<Ns>,
}

/// How long a message may be incomplete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum MessageTimeout {
    /// `partial_message_timeout` in all.
    Total,
    /// `partial_message_timeout` without further bytes, and in all that and the time that its bytes take at
    /// `min_message_bytes_per_s`.
    Progress,
}

impl MessageReader {
    pub(super) fn new(shared: &SharedContext) -> MessageReader {
        let limits = &shared.limits;
        let max_message = limits.max_head_bytes + limits.max_body_bytes;
        let buffer = ReadBuffer::new(limits.initial_read_bytes, max_message, &shared.memory_budget);
        MessageReader::with_buffer(buffer)
    }

    fn with_buffer(buffer: ReadBuffer) -> MessageReader {
        MessageReader { buffer, skipped: None, began_at: None, last_received_at: 0, waiting_since: None }
    }

    /// Drops the incomplete message and all memory. No more messages are received.
    pub(super) fn close(&mut self, shared: &SharedContext) {
        *self = MessageReader::with_buffer(ReadBuffer::new(0, 0, &shared.memory_budget));
    }

    /// Whether the beginning of a message was received, but not its end.
    pub(super) fn has_partial_message(&self) -> bool {
        self.skipped.is_some() || !self.buffer.unread().is_empty()
    }

    /// Whether the incomplete message has taken too long.
    pub(super) fn is_overdue(&self, now: Ns, timeout: MessageTimeout, limits: &Limits) -> bool {
        let Some(began_at) = self.began_at else { return false };
        let deadline = match timeout {
            MessageTimeout::Total => began_at,
            MessageTimeout::Progress => {
                let transfer = self.received_bytes() as Ns * NS_PER_S / limits.min_message_bytes_per_s;
                self.last_received_at.min(began_at + transfer)
            }
        };
        now >= deadline + limits.partial_message_timeout
    }

    /// The number of received bytes of the incomplete message.
    fn received_bytes(&self) -> usize {
        self.buffer.unread().len() + self.skipped.as_ref().map_or(0, SkippedCall::skipped_bytes)
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
        (self.skipped, self.began_at, self.waiting_since) = (None, None, None);
    }

    /// Reads more bytes once. Returns false at the end of the source.
    ///
    /// # Errors
    /// Returns the errors of [`ReadBuffer::fill`].
    pub(super) fn fill(&mut self, source: impl Read, now: Ns) -> io::Result<bool> {
        if self.has_partial_message() && self.began_at.is_none() {
            (self.began_at, self.last_received_at) = (Some(now), now);
        }
        let result = self.buffer.fill(source);
        match &result {
            Ok(_) => (self.waiting_since, self.last_received_at) = (None, now),
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
