//! Bytes that have been read and are not used yet; messages are parsed where they lie.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use crate::memory_budget::{MemoryBudget, Reservation};

/// A buffer that grows while a message is not complete.
pub(crate) struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    initial_length: usize,
    max_length: usize,
    /// What it has grown by counts with the bodies: many messages in part must not fill the memory.
    memory_budget: Arc<MemoryBudget>,
    grown: Option<Reservation>,
}

impl ReadBuffer {
    /// Grows from its first length to hold a message of at most `max_length` bytes.
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
            memory_budget: Arc::clone(memory_budget),
            grown: None,
        }
    }

    /// The bytes that are not used yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// So many of them are used. An empty buffer shrinks back to its first length.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > self.initial_length {
                self.bytes = vec![0; self.initial_length];
                self.grown = None;
            }
        }
    }

    /// Reads more, once; false at the end of the source.
    ///
    /// # Errors
    /// `InvalidData` if the message is longer than one may be, `OutOfMemory` without room for it, else the source's
    /// own error.
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
            return Err(io::Error::new(ErrorKind::InvalidData, "too long"));
        }
        let length = (2 * self.end).min(self.max_length);
        // What it held before comes free first: it needs the larger room alone.
        self.grown = None;
        self.grown = Some(self.memory_budget.reserve(length).ok_or(ErrorKind::OutOfMemory)?);
        self.bytes.resize(length, 0);
        Ok(())
    }
}
