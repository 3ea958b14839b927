//! A buffer of bytes that are read and not consumed yet, in which messages are parsed in place.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use crate::memory_budget::{BufferReservation, MemoryBudget};

/// A buffer that grows while a message is incomplete.
pub(crate) struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    initial_length: usize,
    max_length: usize,
    /// The memory of a grown buffer, so that many partial messages can't exhaust the memory.
    reservation: BufferReservation,
}

impl ReadBuffer {
    /// Creates a buffer of `initial_length` bytes, which grows to hold a message of at most `max_length` bytes.
    pub(crate) fn new(
        initial_length: usize,
        max_length: usize,
        memory_budget: &Arc<MemoryBudget>,
    ) -> ReadBuffer {
        ReadBuffer {
            bytes: vec![0; initial_length],
            start: 0,
            end: 0,
            initial_length,
            max_length,
            reservation: BufferReservation::new(memory_budget),
        }
    }

    /// The bytes that are not consumed yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// How much of the memory budget the buffer holds.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Consumes the first `count` unread bytes. A buffer that has grown shrinks back to its initial length as soon as the
    /// other ones fit into that.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        let unread = self.end - self.start;
        if self.bytes.len() > self.initial_length && unread <= self.initial_length {
            let mut bytes = vec![0; self.initial_length];
            bytes[..unread].copy_from_slice(self.unread());
            self.bytes = bytes;
            (self.start, self.end) = (0, unread);
            self.reservation.release();
        } else if unread == 0 {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Reads from the source once. Returns false at the end of the source.
    ///
    /// # Errors
    /// Returns `InvalidData` if the message is longer than the maximum length, `OutOfMemory` if the memory
    /// budget has no room for it, which leaves the unread bytes as they are, and otherwise the error of the source if
    /// reading fails.
    pub(crate) fn fill(&mut self, mut source: impl Read) -> io::Result<bool> {
        if self.end == self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if self.end == self.bytes.len() {
                self.grow()?;
            }
        }
        let count = source.read(&mut self.bytes[self.end..])?;
        self.end += count;
        Ok(count > 0)
    }

    fn grow(&mut self) -> io::Result<()> {
        if self.end >= self.max_length {
            return Err(io::Error::new(
                ErrorKind::InvalidData,
                "message is longer than the read buffer may grow",
            ));
        }
        let length = (2 * self.end).min(self.max_length);
        if !self.reservation.grow_to(length) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.bytes.resize(length, 0);
        Ok(())
    }
}
