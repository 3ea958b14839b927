//! Where a MessagePack value ends, found before any of it is looked into.

use std::io::ErrorKind;

use rmp::Marker;
use rmp::decode;

use super::{DecodeError, MessageError};
use crate::limits::Limits;

/// The length of the first value in the bytes, of any kind.
pub(super) fn value_length(bytes: &[u8], limits: &Limits) -> Result<usize, DecodeError> {
    let mut rest = bytes;
    skip_value(&mut rest, limits)?;
    Ok(bytes.len() - rest.len())
}

/// Passes over one value.
pub(super) fn skip_value(bytes: &mut &[u8], limits: &Limits) -> Result<(), DecodeError> {
    skip_nested(bytes, limits, 0, &mut 0)
}

fn skip_nested(
    bytes: &mut &[u8],
    limits: &Limits,
    depth: usize,
    value_count: &mut usize,
) -> Result<(), DecodeError> {
    *value_count += 1;
    if depth > limits.max_nesting_depth {
        return Err(MessageError::TooDeep.into());
    }
    let marker = decode::read_marker(bytes).map_err(|e| match e.0.kind() {
        ErrorKind::UnexpectedEof => DecodeError::Incomplete,
        _ => MessageError::Unreadable.into(),
    })?;
    let Extent { payload, nested } = extent(marker, bytes)?;
    // Known before they come: an endless message is none from its first bytes on.
    if payload > limits.max_body_bytes || *value_count + nested > limits.max_values {
        return Err(MessageError::ValueTooLong.into());
    }
    take(bytes, payload)?;
    (0..nested).try_for_each(|_| skip_nested(bytes, limits, depth + 1, value_count))
}

/// What follows a marker and its length.
struct Extent {
    /// Bytes of its own.
    payload: usize,
    /// Values that it holds.
    nested: usize,
}

fn extent(marker: Marker, bytes: &mut &[u8]) -> Result<Extent, DecodeError> {
    let payload = |payload| Extent { payload, nested: 0 };
    let nested = |nested| Extent { payload: 0, nested };
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => payload(0),
        Marker::U8 | Marker::I8 => payload(1),
        Marker::U16 | Marker::I16 => payload(2),
        Marker::U32 | Marker::I32 | Marker::F32 => payload(4),
        Marker::U64 | Marker::I64 | Marker::F64 => payload(8),
        Marker::FixStr(length) => payload(usize::from(length)),
        Marker::Str8 | Marker::Bin8 => payload(length(bytes, 1)?),
        Marker::Str16 | Marker::Bin16 => payload(length(bytes, 2)?),
        Marker::Str32 | Marker::Bin32 => payload(length(bytes, 4)?),
        Marker::FixArray(count) => nested(usize::from(count)),
        Marker::Array16 => nested(length(bytes, 2)?),
        Marker::Array32 => nested(length(bytes, 4)?),
        Marker::FixMap(count) => nested(2 * usize::from(count)),
        Marker::Map16 => nested(2 * length(bytes, 2)?),
        Marker::Map32 => nested(2 * length(bytes, 4)?),
        _ => return Err(MessageError::UnknownType.into()),
    })
}

fn length(bytes: &mut &[u8], size: usize) -> Result<usize, DecodeError> {
    Ok(take(bytes, size)?.iter().fold(0, |length, &byte| length << 8 | usize::from(byte)))
}

fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a [u8], DecodeError> {
    let (head, rest) = bytes.split_at_checked(count).ok_or(DecodeError::Incomplete)?;
    *bytes = rest;
    Ok(head)
}
