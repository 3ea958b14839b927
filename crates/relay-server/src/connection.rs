//! One connection that came in: what was read, what waits to be written, and how it ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross_coordination::Ns;

/// Bytes that are read of one connection before the others have their turn.
const READ_BUDGET: usize = 256 << 10;
const READ_CHUNK: usize = 16_384;
/// A buffer with a larger capacity is freed once it is empty.
const KEPT_CAPACITY: usize = 4_096;
/// How many bytes a subscriber may send while it is sent events.
const MAX_IGNORED_BYTES: usize = 64 << 10;

/// A stream of events.
#[derive(Debug)]
pub(crate) struct EventStream {
    pub(crate) subscriber: Arc<str>,
    /// The number up to which it was sent.
    pub(crate) cursor: u64,
    /// The most bytes that are handed to it at a time.
    pub(crate) batch_bytes: usize,
    /// When it ends, so that its subscriber calls again.
    pub(crate) ends_at: Ns,
    pub(crate) next_comment_at: Ns,
}

#[derive(Debug)]
pub(crate) enum ConnectionState {
    AwaitingRequest,
    /// A request was read and is to be answered.
    Responding {
        /// The connection ends with the answer.
        closes: bool,
    },
    Streaming(EventStream),
    /// What waits is to be written, then the write side is shut.
    Closing,
    /// All is written; what comes in is read and dropped until the other side closes, so that nothing is reset.
    Draining,
}

/// How far reading came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// Nothing more is there now.
    Drained,
    /// There may be more, to be read after others have had their turn.
    More,
    /// The other side has closed.
    Closed,
}

#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Index of the listener that it came in by.
    pub(crate) listener: usize,
    pub(crate) peer: IpAddr,
    pub(crate) state: ConnectionState,
    /// What was read and not used.
    pub(crate) input: Vec<u8>,
    ignored_bytes: usize,
    output: Vec<u8>,
    /// How much of `output` is written.
    written: usize,
    has_wide_buffer: bool,
    /// When a byte last went either way, or the state changed.
    pub(crate) last_active: Ns,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, listener: usize, peer: IpAddr, now: Ns) -> Connection {
        Connection {
            stream,
            listener,
            peer,
            state: ConnectionState::AwaitingRequest,
            input: Vec::new(),
            ignored_bytes: 0,
            output: Vec::new(),
            written: 0,
            has_wide_buffer: false,
            last_active: now,
        }
    }

    /// The name of the subscriber, if this is a stream.
    pub(crate) fn streaming_to(&self) -> Option<Arc<str>> {
        match &self.state {
            ConnectionState::Streaming(stream) => Some(Arc::clone(&stream.subscriber)),
            _ => None,
        }
    }

    /// Gives the kernel a larger buffer: another relay is sent much at a time.
    pub(crate) fn widen_buffer(&mut self, bytes: usize) {
        if !std::mem::replace(&mut self.has_wide_buffer, true) {
            // With a small buffer it is slower, nothing more.
            let _ = socket2::SockRef::from(&self.stream).set_send_buffer_size(bytes);
        }
    }

    fn unwritten_len(&self) -> usize {
        self.output.len() - self.written
    }

    pub(crate) fn has_unwritten(&self) -> bool {
        self.unwritten_len() > 0
    }

    /// Reads what there is, and keeps up to `max_input` bytes of requests. After an error the connection is to be
    /// dropped.
    pub(crate) fn read(&mut self, max_input: usize, now: Ns) -> Result<ReadOutcome, ErrorKind> {
        let mut chunk = [0; READ_CHUNK];
        let mut total = 0;
        while total < READ_BUDGET {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(n) => {
                    total += n;
                    self.take_input(&chunk[..n], max_input, now)?;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Drained),
                Err(e) => return Err(e.kind()),
            }
        }
        Ok(ReadOutcome::More)
    }

    fn take_input(&mut self, bytes: &[u8], max_input: usize, now: Ns) -> Result<(), ErrorKind> {
        match self.state {
            ConnectionState::AwaitingRequest | ConnectionState::Responding { .. } => {
                self.last_active = now;
                self.input.extend_from_slice(bytes);
                if self.input.len() > max_input {
                    return Err(ErrorKind::FileTooLarge);
                }
            }
            ConnectionState::Streaming(_) => {
                self.ignored_bytes += bytes.len();
                if self.ignored_bytes > MAX_IGNORED_BYTES {
                    return Err(ErrorKind::InvalidData);
                }
            }
            ConnectionState::Closing | ConnectionState::Draining => {}
        }
        Ok(())
    }

    /// Drops so many bytes of the input.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
        if self.input.is_empty() && self.input.capacity() > KEPT_CAPACITY {
            self.input = Vec::new();
        }
    }

    /// Writes this behind what waits, and keeps what can't be written now.
    pub(crate) fn send(&mut self, bytes: &[u8], now: Ns) -> Result<(), ErrorKind> {
        self.flush(now)?;
        let mut rest = bytes;
        while !self.has_unwritten() && !rest.is_empty() {
            match self.stream.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(n) => {
                    self.last_active = now;
                    rest = &rest[n..];
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.kind()),
            }
        }
        self.output.extend_from_slice(rest);
        Ok(())
    }

    /// Writes what waits; once all is written, shuts the write side of a connection that is closing.
    pub(crate) fn flush(&mut self, now: Ns) -> Result<(), ErrorKind> {
        while self.has_unwritten() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(n) => {
                    self.written += n;
                    self.last_active = now;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e.kind()),
            }
        }
        self.clear_output();
        if matches!(self.state, ConnectionState::Closing) {
            self.stream.shutdown(Shutdown::Write).map_err(|e| e.kind())?;
            self.state = ConnectionState::Draining;
            self.last_active = now;
        }
        Ok(())
    }

    fn clear_output(&mut self) {
        if self.written == 0 {
            return;
        }
        self.written = 0;
        self.output.clear();
        if self.output.capacity() > KEPT_CAPACITY {
            self.output = Vec::new();
        }
    }

    /// Ends the connection once what waits is written.
    pub(crate) fn close(&mut self, now: Ns) -> Result<(), ErrorKind> {
        if !matches!(self.state, ConnectionState::Draining) {
            self.state = ConnectionState::Closing;
            self.last_active = now;
            self.input = Vec::new();
        }
        self.flush(now)
    }
}
