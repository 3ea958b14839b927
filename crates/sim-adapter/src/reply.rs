//! Writes the actions of one batch's reply. The names of actions are those of the operators' protocol page.

use sablecross::{AttemptSpec, Ns};

use crate::event::Address;

/// The record codes of actions.
mod code {
    pub(super) const PRINT: u8 = 66;
    pub(super) const READ_THROUGH: u8 = 68;
    pub(super) const BUSY: u8 = 69;
    pub(super) const STREAM_CHANGES: u8 = 70;
    pub(super) const RESPOND_ERROR: u8 = 71;
    pub(super) const DEFER: u8 = 72;
    pub(super) const CALL_OFF: u8 = 74;
}

/// The bits of a read-through's `manner`.
const MANNER_JOIN: u8 = 1;
const MANNER_RENEW: u8 = 8;
/// The shortest time limit and the smallest age that are not 0, which would mean none.
const MIN_DURATION: Ns = 1_000;

/// The actions so far.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    fn begin(&mut self, code: u8, director: u32) {
        self.count += 1;
        self.bytes.push(code);
        self.bytes.extend(director.to_be_bytes());
    }

    /// Makes an attempt; `source` is the node itself where a miss is not to be filled.
    pub(crate) fn read_through(
        &mut self,
        director: u32,
        request: u32,
        spec: &AttemptSpec,
        node: Address,
        source: Address,
    ) {
        self.begin(code::READ_THROUGH, director);
        self.bytes.extend(request.to_be_bytes());
        let max_age = spec.max_age.map_or(0, |age| age.max(MIN_DURATION));
        self.bytes.extend(micros(max_age).to_be_bytes());
        let join = if spec.coalesce { MANNER_JOIN } else { 0 };
        let renew = if spec.refresh { MANNER_RENEW } else { 0 };
        self.bytes.push(join | renew);
        self.bytes.extend(node);
        self.bytes.extend(source);
        self.bytes.extend(micros(spec.timeout.max(MIN_DURATION)).to_be_bytes());
        self.bytes.push(spec.retention_rank);
    }

    /// Rejects a request.
    pub(crate) fn busy(&mut self, director: u32, request: u32, retry_after: Ns) {
        self.begin(code::BUSY, director);
        self.bytes.extend(request.to_be_bytes());
        self.bytes.extend(micros(retry_after).to_be_bytes());
    }

    /// Answers a request with a failure.
    pub(crate) fn respond_error(&mut self, director: u32, request: u32) {
        self.begin(code::RESPOND_ERROR, director);
        self.bytes.extend(request.to_be_bytes());
    }

    /// Cancels an attempt.
    pub(crate) fn call_off(&mut self, director: u32, request: u32, attempt: u16) {
        self.begin(code::CALL_OFF, director);
        self.bytes.extend(request.to_be_bytes());
        self.bytes.extend(attempt.to_be_bytes());
    }

    /// Sets a timer.
    pub(crate) fn defer(&mut self, director: u32, wait: Ns, handle: u64) {
        self.begin(code::DEFER, director);
        self.bytes.extend(micros(wait).max(1).to_be_bytes());
        self.bytes.extend(handle.to_be_bytes());
    }

    /// Subscribes to changes of the list of nodes.
    pub(crate) fn stream_changes(&mut self, director: u32) {
        self.begin(code::STREAM_CHANGES, director);
        self.bytes.push(1);
    }

    /// Writes a line of the log; a longer one is cut.
    pub(crate) fn print(&mut self, director: u32, line: &str) {
        self.begin(code::PRINT, director);
        let length = u16::try_from(line.len()).unwrap_or(u16::MAX);
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(&line.as_bytes()[..usize::from(length)]);
    }

    /// The frame of the reply to the batch with this number.
    pub(crate) fn into_frame(self, batch: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.bytes.len());
        frame.extend(batch.to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend((self.bytes.len() as u32).to_be_bytes());
        frame.extend(self.bytes);
        frame
    }
}

fn micros(duration: Ns) -> u32 {
    u32::try_from(duration / 1_000).unwrap_or(u32::MAX)
}
