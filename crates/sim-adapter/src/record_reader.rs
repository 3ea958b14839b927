//! Reads the fields of records: big-endian, without padding. A read past the end of the batch is an error.

use crate::error::{AdapterError, Result};

/// Reads a batch from front to back.
pub(crate) struct RecordReader<'a> {
    /// The bytes that are not read yet.
    bytes: &'a [u8],
}

macro_rules! read_number {
    ($name:ident, $number:ty) => {
        pub(crate) fn $name(&mut self) -> Result<$number> {
            Ok(<$number>::from_be_bytes(self.array()?))
        }
    };
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        RecordReader { bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads the next `count` bytes.
    pub(crate) fn take(&mut self, count: usize) -> Result<&'a [u8]> {
        let (head, rest) = self.bytes.split_at_checked(count).ok_or(AdapterError::TruncatedRecord)?;
        self.bytes = rest;
        Ok(head)
    }

    pub(crate) fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        self.take(N)?.try_into().map_err(|_| AdapterError::TruncatedRecord)
    }

    read_number!(u8, u8);
    read_number!(u16, u16);
    read_number!(u32, u32);
    read_number!(u64, u64);
    read_number!(f32, f32);

    /// Reads an integer that is sent as a float.
    pub(crate) fn u32_from_f32(&mut self) -> Result<u32> {
        let number = self.f32()?;
        if number >= 0.0 && number < u32::MAX as f32 && number.fract() == 0.0 {
            return Ok(number as u32);
        }
        Err(AdapterError::NotAnInteger(number))
    }

    /// Reads a duration in microseconds and returns it in nanoseconds.
    pub(crate) fn duration(&mut self) -> Result<u64> {
        Ok(u64::from(self.u32()?) * 1_000)
    }

    /// Reads a point in time in microseconds and returns it in nanoseconds.
    pub(crate) fn time(&mut self) -> Result<u64> {
        Ok(self.u64()?.saturating_mul(1_000))
    }
}
