//! Finds the end of a call whose bytes are discarded as they arrive, because there is no memory to keep them until the
//! call is complete.

use super::decode::read_call_number;
use super::value_length::read_value_head;
use super::{DecodeError, MessageError};
use crate::limits::Limits;

/// A call that is being received and whose bytes are discarded.
#[derive(Debug)]
pub struct SkippedCall {
    number: u32,
    /// How many values are to follow, without those nested in them.
    pending_values: usize,
    /// How many bytes of the current value are to follow.
    pending_bytes: usize,
    /// The number of values so far.
    value_count: usize,
    skipped_bytes: usize,
}

impl SkippedCall {
    /// Starts to skip the call that begins with these bytes. None of them are skipped yet.
    ///
    /// # Errors
    /// Returns an error if the bytes are not the beginning of a call, or do not contain its number.
    pub fn start(mut bytes: &[u8]) -> Result<SkippedCall, MessageError> {
        let number = read_call_number(&mut bytes)?;
        Ok(SkippedCall { number, pending_values: 1, pending_bytes: 0, value_count: 0, skipped_bytes: 0 })
    }

    /// The number of the call.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// The number of bytes that were skipped.
    pub fn skipped_bytes(&self) -> usize {
        self.skipped_bytes
    }

    /// Whether all bytes of the call are skipped.
    pub fn is_complete(&self) -> bool {
        self.pending_values == 0 && self.pending_bytes == 0
    }

    /// Skips the next bytes of the call. Returns how many were skipped: the others follow the call, or are too few to
    /// tell the length of the next value.
    ///
    /// # Errors
    /// Returns an error if the bytes exceed the limits of a message or are not valid values.
    pub fn skip(&mut self, bytes: &[u8], limits: &Limits) -> Result<usize, MessageError> {
        let mut rest = bytes;
        loop {
            let count = self.pending_bytes.min(rest.len());
            self.pending_bytes -= count;
            rest = &rest[count..];
            if self.pending_bytes > 0
                || self.pending_values == 0
                || !self.skip_value_head(&mut rest, limits)?
            {
                break;
            }
        }
        let skipped = bytes.len() - rest.len();
        self.skipped_bytes += skipped;
        if self.skipped_bytes > limits.max_head_bytes + limits.max_body_bytes {
            return Err(MessageError::TooLong);
        }
        Ok(skipped)
    }

    /// Skips the marker and length of the next value. Returns false if they are incomplete.
    fn skip_value_head(&mut self, bytes: &mut &[u8], limits: &Limits) -> Result<bool, MessageError> {
        let (mut rest, mut value_count) = (*bytes, self.value_count);
        let extent = match read_value_head(&mut rest, limits, &mut value_count) {
            Ok(extent) => extent,
            Err(DecodeError::Incomplete) => return Ok(false),
            Err(DecodeError::Invalid(error)) => return Err(error),
        };
        (*bytes, self.value_count) = (rest, value_count);
        self.pending_values = self.pending_values - 1 + extent.nested;
        self.pending_bytes = extent.payload;
        Ok(true)
    }
}
