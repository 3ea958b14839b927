//! Finds the length of a MessagePack value before it is decoded.

use std::io::ErrorKind;

use rmp::Marker;
use rmp::decode;

use super::{DecodeError, MessageError};
use crate::limits::Limits;

/// The length in bytes of the first value, of any type.
pub(super) fn value_length(bytes: &[u8], limits: &Limits) -> Result<usize, DecodeError> {
    let mut rest = bytes;
    skip_value(&mut rest, limits)?;
    Ok(bytes.len() - rest.len())
}

/// Skips one value.
pub(super) fn skip_value(bytes: &mut &[u8], limits: &Limits) -> Result<(), DecodeError> {
    skip_nested(bytes, limits, 0, &mut 0)
}

fn skip_nested(
    bytes: &mut &[u8],
    limits: &Limits,
    depth: usize,
    value_count: &mut usize,
) -> Result<(), DecodeError> {
    if depth > limits.max_nesting_depth {
        return Err(MessageError::TooDeep.into());
    }
    let Extent { payload, nested } = read_value_head(bytes, limits, value_count)?;
    read_bytes(bytes, payload)?;
    (0..nested).try_for_each(|_| skip_nested(bytes, limits, depth + 1, value_count))
}

/// What follows the marker and length of a value.
pub(super) struct Extent {
    /// The number of payload bytes.
    pub(super) payload: usize,
    /// The number of nested values.
    pub(super) nested: usize,
}

/// Reads the marker and length of a value, and counts the value.
pub(super) fn read_value_head(
    bytes: &mut &[u8],
    limits: &Limits,
    value_count: &mut usize,
) -> Result<Extent, DecodeError> {
    let marker = decode::read_marker(bytes).map_err(|e| match e.0.kind() {
        ErrorKind::UnexpectedEof => DecodeError::Incomplete,
        _ => MessageError::Unreadable.into(),
    })?;
    let extent = read_extent(marker, bytes)?;
    *value_count += 1;
    // The lengths are checked before the bytes arrive, so that an oversized message is rejected from its first bytes on.
    if extent.payload > limits.max_body_bytes || *value_count + extent.nested > limits.max_values {
        return Err(MessageError::ValueTooLong.into());
    }
    Ok(extent)
}

fn read_extent(marker: Marker, bytes: &mut &[u8]) -> Result<Extent, DecodeError> {
    let payload = |payload| Extent { payload, nested: 0 };
    let nested = |nested| Extent { payload: 0, nested };
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => payload(0),
        Marker::U8 | Marker::I8 => payload(1),
        Marker::U16 | Marker::I16 => payload(2),
        Marker::U32 | Marker::I32 | Marker::F32 => payload(4),
        Marker::U64 | Marker::I64 | Marker::F64 => payload(8),
        Marker::FixStr(length) => payload(usize::from(length)),
        Marker::Str8 | Marker::Bin8 => payload(read_length(bytes, 1)?),
        Marker::Str16 | Marker::Bin16 => payload(read_length(bytes, 2)?),
        Marker::Str32 | Marker::Bin32 => payload(read_length(bytes, 4)?),
        Marker::FixArray(count) => nested(usize::from(count)),
        Marker::Array16 => nested(read_length(bytes, 2)?),
        Marker::Array32 => nested(read_length(bytes, 4)?),
        Marker::FixMap(count) => nested(2 * usize::from(count)),
        Marker::Map16 => nested(2 * read_length(bytes, 2)?),
        Marker::Map32 => nested(2 * read_length(bytes, 4)?),
        _ => return Err(MessageError::UnknownType.into()),
    })
}

/// Reads a big-endian length of `size` bytes.
fn read_length(bytes: &mut &[u8], size: usize) -> Result<usize, DecodeError> {
    Ok(read_bytes(bytes, size)?.iter().fold(0, |length, &byte| length << 8 | usize::from(byte)))
}

fn read_bytes<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a [u8], DecodeError> {
    let (head, rest) = bytes.split_at_checked(count).ok_or(DecodeError::Incomplete)?;
    *bytes = rest;
    Ok(head)
}
