//! Calls to relays: blocking, on connections that are kept.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

/// Why a call came to nothing.
#[derive(Debug, Error)]
pub enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the answer is not HTTP: {0}")]
    NotHttp(httparse::Error),
    #[error("the answer has no length")]
    MissingLength,
    #[error("the answer has {0} bytes, more than {1}")]
    TooLong(usize, usize),
    #[error("no answer in {0:?}")]
    TimedOut(Duration),
}

/// A connection to one relay, made when it is needed.
#[derive(Debug)]
pub struct PeerClient {
    at: SocketAddr,
    /// For a whole call.
    time: Duration,
    /// The longest body of an answer.
    most: usize,
    stream: Option<TcpStream>,
}

/// An answer: its code and its body.
pub type HttpResponse = (u16, Vec<u8>);

impl PeerClient {
    pub fn new(at: SocketAddr, time: Duration, most: usize) -> PeerClient {
        PeerClient { at, time, most, stream: None }
    }

    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Asks, and waits for the answer. `headers`: whole lines.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> Result<HttpResponse, CallError> {
        let by = Instant::now() + self.time;
        let kept = self.stream.take();
        let fresh = kept.is_none();
        let mut stream = match kept {
            Some(stream) => stream,
            None => self.dial()?,
        };
        let length = body.len();
        let mut ask = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\n{headers}Content-Length: {length}\r\n\r\n",
            self.at
        )
        .into_bytes();
        ask.extend_from_slice(body);
        let (answered, closes) = match self.asked(&mut stream, &ask, by) {
            // A connection that was kept may have ended meanwhile.
            Err(CallError::Io(e)) if !fresh && ended(&e) => {
                stream = self.dial()?;
                self.asked(&mut stream, &ask, by)?
            }
            done => done?,
        };
        if !closes {
            self.stream = Some(stream);
        }
        Ok(answered)
    }

    fn dial(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.at, self.time)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn asked(
        &self,
        stream: &mut TcpStream,
        ask: &[u8],
        by: Instant,
    ) -> Result<(HttpResponse, bool), CallError> {
        let left = || {
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() { Err(CallError::TimedOut(self.time)) } else { Ok(Some(left)) }
        };
        stream.set_write_timeout(left()?)?;
        stream.write_all(ask)?;
        let (mut came, mut bytes) = (Vec::new(), [0; 16_384]);
        loop {
            if let Some((code, head, length, closes)) = self.head(&came)?
                && came.len() >= head + length
            {
                let body = came[head..head + length].to_vec();
                return Ok(((code, body), closes));
            }
            stream.set_read_timeout(left()?)?;
            match stream.read(&mut bytes) {
                Ok(0) => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
                Ok(n) => came.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(CallError::TimedOut(self.time));
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Code, length of the head, length of the body, whether the connection ends with it.
    fn head(&self, came: &[u8]) -> Result<Option<(u16, usize, usize, bool)>, CallError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        match answer.parse(came).map_err(CallError::NotHttp)? {
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete(head) => {
                let of = |name: &str| {
                    let header = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
                };
                let length = match answer.code {
                    Some(204) => 0,
                    _ => of("content-length").and_then(|v| v.parse().ok()).ok_or(CallError::MissingLength)?,
                };
                if length > self.most {
                    return Err(CallError::TooLong(length, self.most));
                }
                let closes = of("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                Ok(Some((answer.code.unwrap_or(0), head, length, closes)))
            }
        }
    }
}

fn ended(e: &io::Error) -> bool {
    use ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(e.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}
