//! Parses request heads and builds responses.

use thiserror::Error;

/// Longest request head in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 8_192;
const MAX_HEADERS: usize = 48;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = sablecross_relay::log::MAX_IDEMPOTENCY_KEY_BYTES;

/// The operation that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// `GET /v1/events`.
    Subscribe {
        /// From `Last-Event-ID`: the stream starts after the event with this number.
        after: u64,
    },
    /// `GET /v1/status`.
    Status,
    /// `POST /v1/events`.
    Publish {
        /// From the header `Sablecross-Mark`.
        idempotency_key: Option<String>,
    },
    /// `POST /v1/relay`: a call of another voter.
    PeerCall,
    /// `POST /v1/hierarchy/in-force`: a subscriber reports the hierarchy that it has applied.
    ReportApplied,
}

/// The relay that sent a request, as its headers identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallingRelay {
    /// `Sablecross-Relay`: its number.
    pub(crate) number: u32,
    /// `Sablecross-In-Force`: the number that it and all its subscribers have applied.
    pub(crate) applied_number: Option<u64>,
}

/// A parsed request head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) operation: Operation,
    pub(crate) relay: Option<CallingRelay>,
    /// Length of the head in bytes.
    pub(crate) head_len: usize,
    /// Length of the body in bytes.
    pub(crate) body_len: usize,
    /// The connection is closed after the response.
    pub(crate) closes: bool,
}

/// Why a request is rejected, with the status code of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {reason}")]
pub(crate) struct RequestError {
    pub(crate) code: u16,
    pub(crate) reason: String,
}

impl RequestError {
    pub(crate) fn new(code: u16, reason: impl Into<String>) -> RequestError {
        RequestError { code, reason: reason.into() }
    }
}

/// Values of the request headers that the relay uses.
#[derive(Default)]
struct Headers {
    content_length: usize,
    last_event_id: u64,
    idempotency_key: Option<String>,
    relay_number: Option<u32>,
    applied_number: Option<u64>,
    closes: bool,
}

impl Headers {
    fn parse(headers: &[httparse::Header]) -> Result<Headers, RequestError> {
        let mut parsed = Headers::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            parsed.set(&header.name.to_ascii_lowercase(), value)?;
        }
        Ok(parsed)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), RequestError> {
        let bad_request = |reason: &str| RequestError::new(400, reason);
        match name {
            "content-length" => {
                self.content_length =
                    value.parse().map_err(|_| bad_request("Content-Length: not a length"))?;
            }
            "transfer-encoding" => return Err(RequestError::new(411, "bodies come with Content-Length")),
            "last-event-id" => {
                self.last_event_id = value.parse().map_err(|_| bad_request("Last-Event-ID: not a number"))?;
            }
            "connection" if value.eq_ignore_ascii_case("close") => self.closes = true,
            "sablecross-relay" => self.relay_number = value.parse().ok(),
            "sablecross-in-force" => self.applied_number = value.parse().ok(),
            "sablecross-mark" => {
                if value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
                    return Err(bad_request(&format!(
                        "Sablecross-Mark: between 1 and {MAX_IDEMPOTENCY_KEY_BYTES} bytes of UTF-8"
                    )));
                }
                self.idempotency_key = Some(value.to_owned());
            }
            _ => {}
        }
        Ok(())
    }
}

/// Parses the request head at the start of `bytes`. Returns `None` while it is incomplete.
pub(crate) fn parse_head(bytes: &[u8]) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) => {
            let reason = format!("the head is longer than {MAX_HEAD_BYTES} bytes");
            return Err(RequestError::new(431, reason));
        }
        Err(e) => return Err(RequestError::new(400, format!("not HTTP: {e}"))),
    };
    let headers = Headers::parse(parsed.headers)?;
    let is_http_1_0 = parsed.version == Some(0);
    let path = parsed.path.unwrap_or("").split('?').next().unwrap_or("");
    let operation = match (parsed.method.unwrap_or(""), path) {
        ("GET", "/v1/events") => Operation::Subscribe { after: headers.last_event_id },
        ("GET", "/v1/status") => Operation::Status,
        ("POST", "/v1/events") => Operation::Publish { idempotency_key: headers.idempotency_key },
        ("POST", "/v1/relay") => Operation::PeerCall,
        ("POST", "/v1/hierarchy/in-force") => Operation::ReportApplied,
        (_, "/v1/events" | "/v1/status" | "/v1/relay" | "/v1/hierarchy/in-force") => {
            return Err(RequestError::new(405, "another method"));
        }
        _ => return Err(RequestError::new(404, "nothing is here")),
    };
    let applied_number = headers.applied_number;
    Ok(Some(RequestHead {
        operation,
        relay: headers.relay_number.map(|number| CallingRelay { number, applied_number }),
        head_len,
        body_len: headers.content_length,
        closes: headers.closes || is_http_1_0,
    }))
}

/// Builds a response with a body. `closes`: the connection is closed after it.
pub(crate) fn response(code: u16, content_type: &str, body: &[u8], closes: bool) -> Vec<u8> {
    let content_type =
        if body.is_empty() { String::new() } else { format!("Content-Type: {content_type}\r\n") };
    let connection = if closes { "Connection: close\r\n" } else { "" };
    let (reason, length) = (reason_phrase(code), body.len());
    let head =
        format!("HTTP/1.1 {code} {reason}\r\n{content_type}Content-Length: {length}\r\n{connection}\r\n");
    let mut response = head.into_bytes();
    response.extend_from_slice(body);
    response
}

fn reason_phrase(code: u16) -> &'static str {
    match code {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        507 => "Insufficient Storage",
        _ => "Service Unavailable",
    }
}

/// Response head of an event stream. It has no length: the end of the connection ends the stream.
pub(crate) const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
    Cache-Control: no-store\r\nConnection: close\r\n\r\n";
