//! MessagePack-RPC as clients speak it.

use std::io::ErrorKind;

use rmp::Marker;
use rmp::decode::{self, RmpReadErr, ValueReadError};
use rmp::encode;

use crate::clock::NS_PER_MS;
use crate::limits::Limits;
use crate::name_table::{NameTable, PEER_CALL_METHOD};

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    Request {
        call: u32,
        fields: RequestFields<'a>,
        body: &'a [u8],
    },
    HealthCheck {
        call: u32,
    },
    Cancel {
        call: u32,
    },
    /// Another member of the fleet calls, on behalf of all.
    PeerCall {
        call: u32,
        body: &'a [u8],
    },
    /// An id is known, but what it asks for can't be used.
    Unusable {
        call: u32,
        cause: &'static str,
    },
}

/// The fields of a lookup as they lie in the message.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    pub request_id: [u8; 16],
    pub class: usize,
    pub budget_ms: u64,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    pub client_tag: Option<&'a str>,
    pub idempotency_key: Option<&'a str>,
    /// The client says that it has asked before.
    pub is_client_retry: bool,
}

/// Why bytes are no message: more must come, or none will ever make it one.
#[derive(Debug, PartialEq)]
pub enum DecodeError {
    Incomplete,
    Invalid(&'static str),
}

type Read<T> = Result<T, DecodeError>;

impl<E: RmpReadErr> From<ValueReadError<E>> for DecodeError {
    fn from(_: ValueReadError<E>) -> DecodeError {
        DecodeError::Invalid("not of the type that belongs there")
    }
}

impl<E: RmpReadErr> From<decode::NumValueReadError<E>> for DecodeError {
    fn from(_: decode::NumValueReadError<E>) -> DecodeError {
        DecodeError::Invalid("not a number of the range that belongs there")
    }
}

/// The first message in the bytes and its length.
pub fn decode<'a>(bytes: &'a [u8], names: &NameTable, limits: &Limits) -> Read<(Message<'a>, usize)> {
    let mut rest = bytes;
    match skip(&mut rest, limits, 0, &mut 0) {
        Err(DecodeError::Incomplete) if bytes.len() > limits.max_head_bytes + limits.max_body_bytes => {
            return Err(DecodeError::Invalid("message too long"));
        }
        other => other?,
    }
    let length = bytes.len() - rest.len();
    Ok((message(&bytes[..length], names, limits)?, length))
}

fn message<'a>(mut b: &'a [u8], names: &NameTable, limits: &Limits) -> Read<Message<'a>> {
    let parts = decode::read_array_len(&mut b)?;
    match (parts, decode::read_int::<u8, _>(&mut b)?) {
        (4, 0) => {
            let call = decode::read_int(&mut b)?;
            // An id is known from here on.
            request(b, call, names, limits).or_else(|flaw| match flaw {
                DecodeError::Invalid(why) => Ok(Message::Unusable { call, cause: why }),
                DecodeError::Incomplete => Err(DecodeError::Invalid("cut short")),
            })
        }
        (3, 2) => {
            let method = text(&mut b)?;
            if method != "cancelRequest" || decode::read_array_len(&mut b)? != 1 {
                return Err(DecodeError::Invalid("unknown notice"));
            }
            Ok(Message::Cancel { call: decode::read_int(&mut b)? })
        }
        _ => Err(DecodeError::Invalid("neither a request nor a notice")),
    }
}

fn request<'a>(mut b: &'a [u8], call: u32, names: &NameTable, limits: &Limits) -> Read<Message<'a>> {
    let method = text(&mut b)?;
    let parts = decode::read_array_len(&mut b)?;
    if method == "alive" {
        return Ok(Message::HealthCheck { call });
    }
    if names.answers_peers && method == PEER_CALL_METHOD && parts == 2 {
        (0..2 * decode::read_map_len(&mut b)?).try_for_each(|_| skip(&mut b, limits, 0, &mut 0))?;
        let length = decode::read_bin_len(&mut b)? as usize;
        return Ok(Message::PeerCall { call, body: b.get(..length).ok_or(DecodeError::Incomplete)? });
    }
    let kind =
        names.classes.iter().position(|k| k == method).ok_or(DecodeError::Invalid("unknown method"))?;
    if parts != 2 {
        return Err(DecodeError::Invalid("not fields and a body"));
    }
    let (mut rid, mut budget, mut object, mut part) = (None, None, None, None);
    let mut fields = RequestFields { class: kind, ..RequestFields::default() };
    for _ in 0..decode::read_map_len(&mut b)? {
        let (name, value) = (text(&mut b)?, text(&mut b)?);
        match name {
            "rid" => rid = Some(digits(value)?),
            "budget" => {
                let ms: u64 = number(value)?;
                if ms.saturating_mul(NS_PER_MS) > limits.max_budget {
                    return Err(DecodeError::Invalid("budget out of range"));
                }
                budget = Some(ms);
            }
            "obj" => {
                digits(value)?;
                object = Some(u64::from_str_radix(value, 16).map_err(|_| DecodeError::Invalid("no object"))?);
            }
            "piece" => part = Some(number(value)?),
            "lot" => fields.group = number::<u8>(value)?.into(),
            "mem" => {
                let size: f64 = number(value)?;
                if !(0.0..=limits.max_size_kb).contains(&size) {
                    return Err(DecodeError::Invalid("size out of range"));
                }
                fields.size_kb = size;
            }
            "ver" => fields.client_tag = Some(word(value)?),
            "again" => fields.is_client_retry = number::<u64>(value)? > 0,
            "token" => fields.idempotency_key = Some(word(value)?),
            _ => {}
        }
    }
    let (Some(name), Some(budget_ms), Some(object), Some(part)) = (rid, budget, object, part) else {
        return Err(DecodeError::Invalid("a field is missing"));
    };
    let fields = RequestFields { request_id: name, budget_ms, object, part, ..fields };
    let length = decode::read_bin_len(&mut b)? as usize;
    let body = b.get(..length).ok_or(DecodeError::Incomplete)?;
    Ok(Message::Request { call, fields, body })
}

fn number<T: std::str::FromStr>(text: &str) -> Read<T> {
    text.parse().map_err(|_| DecodeError::Invalid("a field is not a number"))
}

/// What becomes a word of a line, in a list of fields.
fn word(value: &str) -> Read<&str> {
    let fits = (1..=64).contains(&value.len()) && value.bytes().all(|c| c.is_ascii_alphanumeric());
    fits.then_some(value).ok_or(DecodeError::Invalid("a field is no word"))
}

/// 16 hex digits, small ones: the text goes on as it came.
fn digits(text: &str) -> Read<[u8; 16]> {
    let digits: [u8; 16] =
        text.as_bytes().try_into().map_err(|_| DecodeError::Invalid("not 16 hex digits"))?;
    let hex = digits.iter().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'));
    hex.then_some(digits).ok_or(DecodeError::Invalid("not 16 hex digits"))
}

fn text<'a>(b: &mut &'a [u8]) -> Read<&'a str> {
    let bytes: &'a [u8] = b;
    let (text, rest) = decode::read_str_from_slice(bytes).map_err(|_| DecodeError::Invalid("not a text"))?;
    *b = rest;
    Ok(text)
}

/// Passes over one value, of any kind: where a message ends is known before it is looked into.
fn skip(b: &mut &[u8], limits: &Limits, depth: usize, values: &mut usize) -> Read<()> {
    *values += 1;
    if depth > limits.max_nesting_depth {
        return Err(DecodeError::Invalid("nested too deep"));
    }
    let marker = decode::read_marker(b).map_err(|e| match e.0.kind() {
        ErrorKind::UnexpectedEof => DecodeError::Incomplete,
        _ => DecodeError::Invalid("unreadable"),
    })?;
    let (bytes, within) = match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => (0, 0),
        Marker::U8 | Marker::I8 => (1, 0),
        Marker::U16 | Marker::I16 => (2, 0),
        Marker::U32 | Marker::I32 | Marker::F32 => (4, 0),
        Marker::U64 | Marker::I64 | Marker::F64 => (8, 0),
        Marker::FixStr(n) => (usize::from(n), 0),
        Marker::Str8 | Marker::Bin8 => (length(b, 1)?, 0),
        Marker::Str16 | Marker::Bin16 => (length(b, 2)?, 0),
        Marker::Str32 | Marker::Bin32 => (length(b, 4)?, 0),
        Marker::FixArray(n) => (0, usize::from(n)),
        Marker::Array16 => (0, length(b, 2)?),
        Marker::Array32 => (0, length(b, 4)?),
        Marker::FixMap(n) => (0, 2 * usize::from(n)),
        Marker::Map16 => (0, 2 * length(b, 2)?),
        Marker::Map32 => (0, 2 * length(b, 4)?),
        _ => return Err(DecodeError::Invalid("a type that no message holds")),
    };
    // Known before they come: an endless message is none from its first bytes on.
    if bytes > limits.max_body_bytes || *values + within > limits.max_values {
        return Err(DecodeError::Invalid("too long"));
    }
    take(b, bytes)?;
    (0..within).try_for_each(|_| skip(b, limits, depth + 1, values))
}

fn length(b: &mut &[u8], bytes: usize) -> Read<usize> {
    Ok(take(b, bytes)?.iter().fold(0, |n, &byte| n << 8 | usize::from(byte)))
}

fn take<'a>(b: &mut &'a [u8], n: usize) -> Read<&'a [u8]> {
    let (head, rest) = b.split_at_checked(n).ok_or(DecodeError::Incomplete)?;
    *b = rest;
    Ok(head)
}

/// The first answer in the bytes to a call of this program's own: the call, its body if it went well, and its length.
pub fn decode_response<'a>(bytes: &'a [u8], limits: &Limits) -> Read<(u32, Option<&'a [u8]>, usize)> {
    let mut rest = bytes;
    skip(&mut rest, limits, 0, &mut 0)?;
    let length = bytes.len() - rest.len();
    let mut b = &bytes[..length];
    if (decode::read_array_len(&mut b)?, decode::read_int::<u8, _>(&mut b)?) != (4, 1) {
        return Err(DecodeError::Invalid("no answer"));
    }
    let call = decode::read_int(&mut b)?;
    if decode::read_nil(&mut b).is_err() {
        return Ok((call, None, length));
    }
    if decode::read_array_len(&mut b)? != 2 {
        return Err(DecodeError::Invalid("not a body and fields"));
    }
    let size = decode::read_bin_len(&mut b)? as usize;
    Ok((call, Some(b.get(..size).ok_or(DecodeError::Invalid("cut short"))?), length))
}

/// A call of this program's own.
pub fn encode_call(call: u32, method: &str, body: &[u8]) -> Vec<u8> {
    built(|out| {
        encode::write_array_len(out, 4)?;
        encode::write_uint(out, 0)?;
        encode::write_uint(out, u64::from(call))?;
        encode::write_str(out, method)?;
        encode::write_array_len(out, 2)?;
        fields(out, &[])?;
        encode::write_bin(out, body)
    })
}

/// What stands before and after the body of an answer.
pub struct ResponseFrame {
    pub before: Vec<u8>,
    pub after: Vec<u8>,
}

/// Writing into memory does not fail.
fn built(write: impl FnOnce(&mut Vec<u8>) -> Result<(), ValueWriteError>) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    let done = write(&mut out);
    debug_assert!(done.is_ok());
    out
}

type ValueWriteError = encode::ValueWriteError<std::io::Error>;

fn answer(out: &mut Vec<u8>, call: u32) -> Result<(), ValueWriteError> {
    encode::write_array_len(out, 4)?;
    encode::write_uint(out, 1)?;
    encode::write_uint(out, u64::from(call))?;
    Ok(())
}

fn fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) -> Result<(), ValueWriteError> {
    encode::write_map_len(out, fields.len() as u32)?;
    for (name, value) in fields {
        encode::write_str(out, name)?;
        encode::write_str(out, value)?;
    }
    Ok(())
}

fn nil(out: &mut Vec<u8>) -> Result<(), ValueWriteError> {
    encode::write_nil(out).map_err(ValueWriteError::InvalidMarkerWrite)
}

pub fn encode_success(call: u32, length: usize, unchanged: bool) -> ResponseFrame {
    let before = built(|out| {
        answer(out, call)?;
        nil(out)?;
        encode::write_array_len(out, 2)?;
        encode::write_bin_len(out, length as u32)?;
        Ok(())
    });
    let told: &[_] = if unchanged { &[("unchanged", "1")] } else { &[] };
    ResponseFrame { before, after: built(|out| fields(out, told)) }
}

pub fn encode_error(call: u32, word: &str, told: &[(&str, &str)]) -> Vec<u8> {
    built(|out| {
        answer(out, call)?;
        encode::write_array_len(out, 2)?;
        encode::write_str(out, word)?;
        fields(out, told)?;
        nil(out)
    })
}

pub fn encode_health(call: u32, alive: bool) -> Vec<u8> {
    built(|out| {
        answer(out, call)?;
        nil(out)?;
        encode::write_array_len(out, 2)?;
        encode::write_bool(out, alive).map_err(ValueWriteError::InvalidMarkerWrite)?;
        fields(out, &[])
    })
}
