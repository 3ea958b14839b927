//! Encodes responses to clients, and the calls that this director makes.

use rmp::encode;

type WriteError = encode::ValueWriteError<std::io::Error>;

/// The bytes before and after the body of a response, so that the body itself is not copied.
pub struct ResponseFrame {
    /// The bytes before the body.
    pub before_body: Vec<u8>,
    /// The bytes after the body.
    pub after_body: Vec<u8>,
}

impl ResponseFrame {
    /// The frame of a response without a body.
    pub(crate) fn without_body(response: Vec<u8>) -> ResponseFrame {
        ResponseFrame { before_body: response, after_body: Vec::new() }
    }
}

/// Encodes a call to another director.
pub fn encode_call(call: u32, method: &str, body: &[u8]) -> Vec<u8> {
    encode_to_vec(|out| {
        encode::write_array_len(out, 4)?;
        encode::write_uint(out, 0)?;
        encode::write_uint(out, u64::from(call))?;
        encode::write_str(out, method)?;
        encode::write_array_len(out, 2)?;
        write_fields(out, &[])?;
        encode::write_bin(out, body)
    })
}

/// Encodes the response with an object whose body has this length; `unchanged` says that the copy that the client holds
/// is the current one.
pub fn encode_success(call: u32, body_length: usize, unchanged: bool) -> ResponseFrame {
    let before_body = encode_to_vec(|out| {
        write_response_head(out, call)?;
        write_nil(out)?;
        encode::write_array_len(out, 2)?;
        encode::write_bin_len(out, body_length as u32)?;
        Ok(())
    });
    let fields: &[_] = if unchanged { &[("unchanged", "1")] } else { &[] };
    ResponseFrame { before_body, after_body: encode_to_vec(|out| write_fields(out, fields)) }
}

/// Encodes the error response to a call, with the error's name and fields.
pub fn encode_error(call: u32, name: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    encode_to_vec(|out| {
        write_response_head(out, call)?;
        encode::write_array_len(out, 2)?;
        encode::write_str(out, name)?;
        write_fields(out, fields)?;
        write_nil(out)
    })
}

/// Encodes the response to a health check.
pub fn encode_health(call: u32, is_healthy: bool) -> Vec<u8> {
    encode_to_vec(|out| {
        write_response_head(out, call)?;
        write_nil(out)?;
        encode::write_array_len(out, 2)?;
        encode::write_bool(out, is_healthy).map_err(WriteError::InvalidMarkerWrite)?;
        write_fields(out, &[])
    })
}

/// Runs an encoder on a new buffer. Encoding into memory can't fail.
fn encode_to_vec(write: impl FnOnce(&mut Vec<u8>) -> Result<(), WriteError>) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    let written = write(&mut out);
    debug_assert!(written.is_ok());
    out
}

fn write_response_head(out: &mut Vec<u8>, call: u32) -> Result<(), WriteError> {
    encode::write_array_len(out, 4)?;
    encode::write_uint(out, 1)?;
    encode::write_uint(out, u64::from(call))?;
    Ok(())
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) -> Result<(), WriteError> {
    encode::write_map_len(out, fields.len() as u32)?;
    for (name, value) in fields {
        encode::write_str(out, name)?;
        encode::write_str(out, value)?;
    }
    Ok(())
}

fn write_nil(out: &mut Vec<u8>) -> Result<(), WriteError> {
    encode::write_nil(out).map_err(WriteError::InvalidMarkerWrite)
}
