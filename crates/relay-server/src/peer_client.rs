//! A blocking HTTP client for relays that keeps its connection open between requests.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

const READ_CHUNK_BYTES: usize = 16_384;
const MAX_HEADERS: usize = 32;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error("the response is not HTTP: {0}")]
    NotHttp(httparse::Error),
    /// The response has no valid `Content-Length`.
    #[error("the response has no valid Content-Length")]
    MissingLength,
    /// The response's body is larger than allowed.
    #[error("the response body has {bytes} bytes, more than {limit}")]
    TooLong {
        /// Size of the body in bytes.
        bytes: usize,
        /// Largest size that is allowed, in bytes.
        limit: usize,
    },
    /// There was no complete response within this time.
    #[error("no response in {0:?}")]
    TimedOut(Duration),
}

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub code: u16,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Sends requests to one relay, over a connection that is opened on demand and kept open.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    /// Limit for sending a request and reading its response.
    timeout: Duration,
    max_body_bytes: usize,
    connection: Option<TcpStream>,
}

/// The fields of a response head that are used.
struct ResponseHead {
    code: u16,
    head_len: usize,
    body_len: usize,
    /// The server closes the connection after the response.
    closes: bool,
}

impl PeerClient {
    /// Creates a client for this address. A request fails if its response takes longer than `timeout` or has a body of
    /// more than `max_body_bytes`.
    pub fn new(address: SocketAddr, timeout: Duration, max_body_bytes: usize) -> PeerClient {
        PeerClient { address, timeout, max_body_bytes, connection: None }
    }

    /// Returns the address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response. `headers` holds complete header lines, each ending in CRLF.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + self.timeout;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\n{headers}Content-Length: {}\r\n\r\n",
            self.address,
            body.len()
        );
        let mut request = head.into_bytes();
        request.extend_from_slice(body);
        let kept = self.connection.take();
        let was_kept = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let (response, closes) = match self.exchange(&mut stream, &request, deadline) {
            // The server may have closed an idle connection; the request is sent again on a new one.
            Err(CallError::Io(error)) if was_kept && is_disconnect(&error) => {
                stream = self.connect()?;
                self.exchange(&mut stream, &request, deadline)?
            }
            result => result?,
        };
        if !closes {
            self.connection = Some(stream);
        }
        Ok(response)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns the response, and whether the server closes the connection after it.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &[u8],
        deadline: Instant,
    ) -> Result<(HttpResponse, bool), CallError> {
        stream.set_write_timeout(Some(self.time_left(deadline)?))?;
        stream.write_all(request)?;
        let mut received = Vec::new();
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            if let Some(head) = self.parse_head(&received)?
                && received.len() >= head.head_len + head.body_len
            {
                let body = received[head.head_len..head.head_len + head.body_len].to_vec();
                return Ok((HttpResponse { code: head.code, body }, head.closes));
            }
            stream.set_read_timeout(Some(self.time_left(deadline)?))?;
            match stream.read(&mut chunk) {
                Ok(0) => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
                Ok(n) => received.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(CallError::TimedOut(self.timeout));
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn time_left(&self, deadline: Instant) -> Result<Duration, CallError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() { Err(CallError::TimedOut(self.timeout)) } else { Ok(left) }
    }

    /// Parses the response head at the start of `bytes`. Returns `None` while it is incomplete.
    fn parse_head(&self, bytes: &[u8]) -> Result<Option<ResponseHead>, CallError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let head_len = match response.parse(bytes).map_err(CallError::NotHttp)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(length) => length,
        };
        let header = |name: &str| {
            let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
        };
        let body_len = match response.code {
            Some(204) => 0,
            _ => header("content-length").and_then(|v| v.parse().ok()).ok_or(CallError::MissingLength)?,
        };
        if body_len > self.max_body_bytes {
            return Err(CallError::TooLong { bytes: body_len, limit: self.max_body_bytes });
        }
        let closes = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok(Some(ResponseHead { code: response.code.unwrap_or(0), head_len, body_len, closes }))
    }
}

fn is_disconnect(error: &io::Error) -> bool {
    use ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}
