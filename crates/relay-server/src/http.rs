//! Heads of requests, and answers.

use thiserror::Error;

/// The longest head.
pub const LONGEST: usize = 8_192;
/// A publisher's mark.
pub const LONGEST_MARK: usize = 128;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Want {
    /// The feed, from after this number.
    Events(u64),
    Status,
    /// An event to publish, under its mark.
    Publish(Option<String>),
    /// A call of another voter.
    Relay,
    /// A reader's word on the hierarchy.
    InForce,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub want: Want,
    /// The relay that calls, by its number, and what is in force at all below it.
    pub relay: Option<u32>,
    pub in_force: Option<u64>,
    /// Bytes of its head and of its body.
    pub head: usize,
    pub body: usize,
    /// The connection ends with the answer.
    pub closes: bool,
}

/// A request that can't be served: the code it is answered, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {why}")]
pub struct Refused {
    pub code: u16,
    pub why: String,
}

fn refused(code: u16, why: impl Into<String>) -> Refused {
    Refused { code, why: why.into() }
}

/// The request that the bytes begin with; none while its head is not whole.
pub fn request(bytes: &[u8]) -> Result<Option<Request>, Refused> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= LONGEST => head,
        Ok(httparse::Status::Partial) if bytes.len() < LONGEST => return Ok(None),
        Ok(_) => return Err(refused(431, format!("the head is longer than {LONGEST} bytes"))),
        Err(e) => return Err(refused(400, format!("not HTTP: {e}"))),
    };
    let (mut body, mut last, mut mark, mut relay, mut in_force) = (0, 0, None, None, None);
    let mut closes = parsed.version == Some(0);
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            body = value.parse().map_err(|_| refused(400, "Content-Length: not a length"))?;
        } else if is("transfer-encoding") {
            return Err(refused(411, "bodies come with Content-Length"));
        } else if is("last-event-id") {
            last = value.parse().map_err(|_| refused(400, "Last-Event-ID: not a number"))?;
        } else if is("connection") && value.eq_ignore_ascii_case("close") {
            closes = true;
        } else if is("sablecross-relay") {
            relay = value.parse().ok();
        } else if is("sablecross-in-force") {
            in_force = value.parse().ok();
        } else if is("sablecross-mark") {
            if value.is_empty() || value.len() > LONGEST_MARK {
                let why = format!("Sablecross-Mark: between 1 and {LONGEST_MARK} bytes of UTF-8");
                return Err(refused(400, why));
            }
            mark = Some(value.to_owned());
        }
    }
    let path = parsed.path.unwrap_or("").split('?').next().unwrap_or("");
    let want = match (parsed.method.unwrap_or(""), path) {
        ("GET", "/v1/events") => Want::Events(last),
        ("GET", "/v1/status") => Want::Status,
        ("POST", "/v1/events") => Want::Publish(mark),
        ("POST", "/v1/relay") => Want::Relay,
        ("POST", "/v1/hierarchy/in-force") => Want::InForce,
        (_, "/v1/events" | "/v1/status" | "/v1/relay" | "/v1/hierarchy/in-force") => {
            return Err(refused(405, "another method"));
        }
        _ => return Err(refused(404, "nothing is here")),
    };
    Ok(Some(Request { want, relay, in_force, head, body, closes }))
}

/// An answer with its whole body.
pub fn answer(code: u16, kind: &str, body: &[u8], closes: bool) -> Vec<u8> {
    let word = match code {
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
    };
    let end = if closes { "Connection: close\r\n" } else { "" };
    let kind = if body.is_empty() { String::new() } else { format!("Content-Type: {kind}\r\n") };
    let length = body.len();
    let mut all =
        format!("HTTP/1.1 {code} {word}\r\n{kind}Content-Length: {length}\r\n{end}\r\n").into_bytes();
    all.extend_from_slice(body);
    all
}

/// The head of a stream, which ends with its connection.
pub const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
    Cache-Control: no-store\r\nConnection: close\r\n\r\n";
