//! A blocking HTTP client for relays, which keeps its connection.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

const READ_CHUNK: usize = 16_384;
const MAX_HEADERS: usize = 32;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// What came isn't HTTP.
    #[error("the answer is not HTTP: {0}")]
    NotHttp(httparse::Error),
    /// The response has a body of unknown length.
    #[error("the answer has no length")]
    MissingLength,
    /// The body has more bytes than allowed.
    #[error("the answer has {bytes} bytes, more than {limit}")]
    TooLong {
        /// Its bytes.
        bytes: usize,
        /// How many it may have.
        limit: usize,
    },
    /// There was no response in this time.
    #[error("no answer in {0:?}")]
    TimedOut(Duration),
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub code: u16,
    /// The body, in full.
    pub body: Vec<u8>,
}

/// Calls one relay; the connection is made when it is needed, and kept.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    /// For a whole request and its response.
    timeout: Duration,
    max_body_bytes: usize,
    connection: Option<TcpStream>,
}

/// The head of a response.
struct ResponseHead {
    code: u16,
    head_len: usize,
    body_len: usize,
    /// The connection ends with the response.
    closes: bool,
}

impl PeerClient {
    /// A client for this address. A request with its response may take `timeout`, the response's body have
    /// `max_body_bytes`.
    pub fn new(address: SocketAddr, timeout: Duration, max_body_bytes: usize) -> PeerClient {
        PeerClient { address, timeout, max_body_bytes, connection: None }
    }

    /// Whom it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response. `headers`: whole lines, each with its end.
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
            // The other side may have closed a connection that was kept.
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

    /// The response, and whether the connection ends with it.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &[u8],
        deadline: Instant,
    ) -> Result<(HttpResponse, bool), CallError> {
        stream.set_write_timeout(Some(self.time_left(deadline)?))?;
        stream.write_all(request)?;
        let mut received = Vec::new();
        let mut chunk = [0; READ_CHUNK];
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

    /// The head that the bytes begin with; none while it is not complete.
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
