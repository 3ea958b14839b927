//! Decodes messages of clients and other directors, and the responses to this director's own calls.

use std::str::FromStr;

use rmp::decode::{self, NumValueReadError, RmpReadErr, ValueReadError};

use super::value_length::{skip_value, value_length};
use super::{DecodeError, Message, MessageError, RequestFields};
use crate::clock::NS_PER_MS;
use crate::limits::Limits;
use crate::name_table::{NameTable, PEER_CALL_METHOD};

const MAX_WORD_BYTES: usize = 64;

/// The number of parts of a message that is a call, and its type.
const CALL: (u32, u8) = (4, 0);

impl<E: RmpReadErr> From<ValueReadError<E>> for MessageError {
    fn from(_: ValueReadError<E>) -> MessageError {
        MessageError::WrongType
    }
}

impl<E: RmpReadErr> From<NumValueReadError<E>> for MessageError {
    fn from(_: NumValueReadError<E>) -> MessageError {
        MessageError::NumberOutOfRange
    }
}

/// Decodes the first message in the bytes. Returns the message and its length in bytes.
pub fn decode<'a>(
    bytes: &'a [u8],
    names: &NameTable,
    limits: &Limits,
) -> Result<(Message<'a>, usize), DecodeError> {
    let length = match value_length(bytes, limits) {
        Err(DecodeError::Incomplete) if bytes.len() > limits.max_head_bytes + limits.max_body_bytes => {
            return Err(MessageError::TooLong.into());
        }
        other => other?,
    };
    Ok((decode_message(&bytes[..length], names, limits)?, length))
}

fn decode_message<'a>(
    mut bytes: &'a [u8],
    names: &NameTable,
    limits: &Limits,
) -> Result<Message<'a>, MessageError> {
    const NOTIFICATION: (u32, u8) = (3, 2);
    let parts = decode::read_array_len(&mut bytes)?;
    match (parts, decode::read_int::<u8, _>(&mut bytes)?) {
        CALL => {
            let call = decode::read_int(&mut bytes)?;
            // From here on the number of the call is known, so an error can be answered.
            Ok(decode_call(bytes, call, names, limits)
                .unwrap_or_else(|cause| Message::Unusable { call, cause }))
        }
        NOTIFICATION => {
            let method = read_string(&mut bytes)?;
            if method != "cancelRequest" || decode::read_array_len(&mut bytes)? != 1 {
                return Err(MessageError::UnknownNotification);
            }
            Ok(Message::Cancel { call: decode::read_int(&mut bytes)? })
        }
        _ => Err(MessageError::UnknownKind),
    }
}

/// Reads the number of a call, with which the call begins.
pub(super) fn read_call_number(bytes: &mut &[u8]) -> Result<u32, MessageError> {
    let start = (decode::read_array_len(bytes)?, decode::read_int::<u8, _>(bytes)?);
    if start != CALL {
        return Err(MessageError::UnknownKind);
    }
    Ok(decode::read_int(bytes)?)
}

fn decode_call<'a>(
    mut bytes: &'a [u8],
    call: u32,
    names: &NameTable,
    limits: &Limits,
) -> Result<Message<'a>, MessageError> {
    let method = read_string(&mut bytes)?;
    let parts = decode::read_array_len(&mut bytes)?;
    if method == "alive" {
        return Ok(Message::HealthCheck { call });
    }
    if names.answers_peers && method == PEER_CALL_METHOD && parts == 2 {
        return decode_peer_call(bytes, call, limits);
    }
    let class = names.classes.iter().position(|name| name == method).ok_or(MessageError::UnknownMethod)?;
    if parts != 2 {
        return Err(MessageError::InvalidParameters);
    }
    let fields = decode_request_fields(&mut bytes, class, limits)?;
    let body = read_binary(&mut bytes)?;
    Ok(Message::Request { call, fields, body })
}

fn decode_peer_call<'a>(
    mut bytes: &'a [u8],
    call: u32,
    limits: &Limits,
) -> Result<Message<'a>, MessageError> {
    for _ in 0..2 * decode::read_map_len(&mut bytes)? {
        skip_value(&mut bytes, limits).map_err(|error| match error {
            DecodeError::Incomplete => MessageError::Truncated,
            DecodeError::Invalid(error) => error,
        })?;
    }
    Ok(Message::PeerCall { call, body: read_binary(&mut bytes)? })
}

fn decode_request_fields<'a>(
    bytes: &mut &'a [u8],
    class: usize,
    limits: &Limits,
) -> Result<RequestFields<'a>, MessageError> {
    let (mut request_id, mut budget_ms, mut object, mut part) = (None, None, None, None);
    let mut fields = RequestFields { class, ..RequestFields::default() };
    for _ in 0..decode::read_map_len(bytes)? {
        let (name, value) = (read_string(bytes)?, read_string(bytes)?);
        match name {
            "rid" => request_id = Some(parse_hex_digits(value)?),
            "budget" => budget_ms = Some(parse_budget(value, limits)?),
            "obj" => object = Some(parse_object(value)?),
            "piece" => part = Some(parse_number(value)?),
            "lot" => fields.group = parse_number::<u8>(value)?.into(),
            "mem" => fields.size_kb = parse_size(value, limits)?,
            "ver" => fields.client_tag = Some(parse_word(value)?),
            "again" => fields.is_client_retry = parse_number::<u64>(value)? > 0,
            "token" => fields.idempotency_key = Some(parse_word(value)?),
            _ => {}
        }
    }
    Ok(RequestFields {
        request_id: request_id.ok_or(MessageError::MissingField)?,
        budget_ms: budget_ms.ok_or(MessageError::MissingField)?,
        object: object.ok_or(MessageError::MissingField)?,
        part: part.ok_or(MessageError::MissingField)?,
        ..fields
    })
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, MessageError> {
    text.parse().map_err(|_| MessageError::NotANumber)
}

fn parse_budget(text: &str, limits: &Limits) -> Result<u64, MessageError> {
    let ms: u64 = parse_number(text)?;
    let is_in_range = ms.saturating_mul(NS_PER_MS) <= limits.max_budget;
    is_in_range.then_some(ms).ok_or(MessageError::BudgetOutOfRange)
}

fn parse_size(text: &str, limits: &Limits) -> Result<f64, MessageError> {
    let size: f64 = parse_number(text)?;
    let is_in_range = (0.0..=limits.max_size_kb).contains(&size);
    is_in_range.then_some(size).ok_or(MessageError::SizeOutOfRange)
}

fn parse_object(text: &str) -> Result<u64, MessageError> {
    parse_hex_digits(text)?;
    u64::from_str_radix(text, 16).map_err(|_| MessageError::NotHexDigits)
}

/// Parses the value of a field that is copied into a line to a node: 1 to 64 ASCII letters and digits.
fn parse_word(text: &str) -> Result<&str, MessageError> {
    let is_word =
        (1..=MAX_WORD_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_word.then_some(text).ok_or(MessageError::NotAWord)
}

/// Parses 16 hex digits. They must be lowercase, because the text is passed on unchanged.
fn parse_hex_digits(text: &str) -> Result<[u8; 16], MessageError> {
    let digits: [u8; 16] = text.as_bytes().try_into().map_err(|_| MessageError::NotHexDigits)?;
    let is_hex = digits.iter().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    is_hex.then_some(digits).ok_or(MessageError::NotHexDigits)
}

fn read_string<'a>(bytes: &mut &'a [u8]) -> Result<&'a str, MessageError> {
    let (text, rest) = decode::read_str_from_slice(*bytes).map_err(|_| MessageError::NotAString)?;
    *bytes = rest;
    Ok(text)
}

fn read_binary<'a>(bytes: &mut &'a [u8]) -> Result<&'a [u8], MessageError> {
    let length = decode::read_bin_len(bytes)? as usize;
    let (binary, rest) = bytes.split_at_checked(length).ok_or(MessageError::Truncated)?;
    *bytes = rest;
    Ok(binary)
}

/// Decodes the first response in the bytes to a call of this director. Returns the number of the call, the body unless the
/// response is an error, and the length of the response in bytes.
pub fn decode_response<'a>(
    bytes: &'a [u8],
    limits: &Limits,
) -> Result<(u32, Option<&'a [u8]>, usize), DecodeError> {
    let length = value_length(bytes, limits)?;
    let (call, body) = decode_complete_response(&bytes[..length])?;
    Ok((call, body, length))
}

fn decode_complete_response(mut bytes: &[u8]) -> Result<(u32, Option<&[u8]>), MessageError> {
    const RESPONSE: (u32, u8) = (4, 1);
    if (decode::read_array_len(&mut bytes)?, decode::read_int::<u8, _>(&mut bytes)?) != RESPONSE {
        return Err(MessageError::NotAResponse);
    }
    let call = decode::read_int(&mut bytes)?;
    if decode::read_nil(&mut bytes).is_err() {
        return Ok((call, None));
    }
    if decode::read_array_len(&mut bytes)? != 2 {
        return Err(MessageError::InvalidResult);
    }
    Ok((call, Some(read_binary(&mut bytes)?)))
}
