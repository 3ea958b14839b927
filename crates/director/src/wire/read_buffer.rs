//! Bytes that have come and are not used yet; heads are parsed where they lie.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use crate::memory_budget::{MemoryBudget, Reservation};

pub struct ReadBuffer {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
    first: usize,
    most: usize,
    /// What it has grown by counts with the bodies: many half messages must not fill the memory.
    room: Arc<MemoryBudget>,
    grown: Option<Reservation>,
}

impl ReadBuffer {
    /// Grows from its first size to hold a message of at most this size.
    pub fn new(first: usize, most: usize, room: &Arc<MemoryBudget>) -> ReadBuffer {
        let room = Arc::clone(room);
        ReadBuffer { bytes: vec![0; first], from: 0, to: 0, first, most, room, grown: None }
    }

    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn consume(&mut self, n: usize) {
        self.from = (self.from + n).min(self.to);
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
            if self.bytes.len() > self.first {
                self.bytes = vec![0; self.first];
                self.grown = None;
            }
        }
    }

    /// Reads more, once; false at the end. An error may be but a pause.
    pub fn fill(&mut self, mut source: impl Read) -> io::Result<bool> {
        if self.to == self.bytes.len() {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
            if self.to == self.bytes.len() {
                if self.to >= self.most {
                    return Err(io::Error::new(ErrorKind::InvalidData, "too long"));
                }
                let length = (2 * self.to).min(self.most);
                self.grown = None;
                self.grown = Some(self.room.reserve(length).ok_or(ErrorKind::OutOfMemory)?);
                self.bytes.resize(length, 0);
            }
        }
        let n = source.read(&mut self.bytes[self.to..])?;
        self.to += n;
        Ok(n > 0)
    }
}
