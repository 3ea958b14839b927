//! Encodes the actions in the reply to a batch. Actions have the names of the operators' protocol page.

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

/// Flags in the `manner` of a read-through.
const MANNER_JOIN: u8 = 1;
const MANNER_RENEW: u8 = 8;
/// The shortest timeout and the smallest maximum age that are sent: one microsecond, because 0 on the wire means no
/// limit.
const MIN_LIMIT: Ns = 1_000;

/// The reply to a batch, to which actions are appended.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    fn begin_action(&mut self, code: u8, director: u32) {
        self.count += 1;
        self.bytes.push(code);
        self.bytes.extend(director.to_be_bytes());
    }

    /// Makes an attempt. `source` equals `node` if a miss must not be filled.
    pub(crate) fn read_through(
        &mut self,
        director: u32,
        request: u32,
        spec: &AttemptSpec,
        node: Address,
        source: Address,
    ) {
        self.begin_action(code::READ_THROUGH, director);
        self.bytes.extend(request.to_be_bytes());
        let max_age = spec.max_age.map_or(0, |age| age.max(MIN_LIMIT));
        self.bytes.extend(to_micros(max_age).to_be_bytes());
        let join = if spec.coalesce { MANNER_JOIN } else { 0 };
        let renew = if spec.refresh { MANNER_RENEW } else { 0 };
        self.bytes.push(join | renew);
        self.bytes.extend(node);
        self.bytes.extend(source);
        self.bytes.extend(to_micros(spec.timeout.max(MIN_LIMIT)).to_be_bytes());
        self.bytes.push(spec.retention_rank);
    }

    /// Rejects a request.
    pub(crate) fn busy(&mut self, director: u32, request: u32, retry_after: Ns) {
        self.begin_action(code::BUSY, director);
        self.bytes.extend(request.to_be_bytes());
        self.bytes.extend(to_micros(retry_after).to_be_bytes());
    }

    /// Answers a request with a failure.
    pub(crate) fn respond_error(&mut self, director: u32, request: u32) {
        self.begin_action(code::RESPOND_ERROR, director);
        self.bytes.extend(request.to_be_bytes());
    }

    /// Cancels an attempt.
    pub(crate) fn call_off(&mut self, director: u32, request: u32, attempt: u16) {
        self.begin_action(code::CALL_OFF, director);
        self.bytes.extend(request.to_be_bytes());
        self.bytes.extend(attempt.to_be_bytes());
    }

    /// Sets a timer, of one microsecond at least.
    pub(crate) fn defer(&mut self, director: u32, after: Ns, handle: u64) {
        self.begin_action(code::DEFER, director);
        self.bytes.extend(to_micros(after).max(1).to_be_bytes());
        self.bytes.extend(handle.to_be_bytes());
    }

    /// Subscribes to changes of the endpoint list.
    pub(crate) fn stream_changes(&mut self, director: u32) {
        self.begin_action(code::STREAM_CHANGES, director);
        self.bytes.push(1);
    }

    /// Writes a log line. A line that is too long for its 16-bit length field is truncated.
    pub(crate) fn print(&mut self, director: u32, line: &str) {
        self.begin_action(code::PRINT, director);
        let length = u16::try_from(line.len()).unwrap_or(u16::MAX);
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(&line.as_bytes()[..usize::from(length)]);
    }

    /// Returns the frame of the reply to the batch with this number.
    pub(crate) fn into_frame(self, batch: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.bytes.len());
        frame.extend(batch.to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend((self.bytes.len() as u32).to_be_bytes());
        frame.extend(self.bytes);
        frame
    }
}

/// Converts to whole microseconds, at most `u32::MAX`.
fn to_micros(duration: Ns) -> u32 {
    u32::try_from(duration / 1_000).unwrap_or(u32::MAX)
}
