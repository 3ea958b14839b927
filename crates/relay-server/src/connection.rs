//! One accepted connection: its input and output buffers, its state and its shutdown.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross_coordination::Ns;

/// How many bytes are read from one connection before the other connections are served.
const READ_BUDGET_BYTES: usize = 256 << 10;
const READ_CHUNK_BYTES: usize = 16_384;
/// An empty buffer with a larger capacity than this is freed.
const MAX_IDLE_CAPACITY_BYTES: usize = 4_096;
/// How many bytes a subscriber may send while its event stream is open. They are ignored; with more, the connection
/// is dropped.
const MAX_IGNORED_BYTES: usize = 64 << 10;

/// State of an event stream to a subscriber.
#[derive(Debug)]
pub(crate) struct EventStream {
    pub(crate) subscriber: Arc<str>,
    /// Number of the last event that was queued on this stream.
    pub(crate) cursor: u64,
    /// Target size of one batch of events in bytes; a larger event is sent alone.
    pub(crate) batch_bytes: usize,
    /// When the relay ends the stream, so that the subscriber reconnects and reports what it has applied.
    pub(crate) ends_at: Ns,
    pub(crate) next_comment_at: Ns,
}

#[derive(Debug)]
pub(crate) enum ConnectionState {
    AwaitingRequest,
    /// A request was read and its response has not been sent yet.
    Responding {
        /// The connection is closed after the response.
        closes: bool,
    },
    Streaming(EventStream),
    /// The output buffer is being written; the write side is shut down after that.
    Closing,
    /// All output is written. Input is read and discarded until the peer closes: closing with unread input would reset
    /// the connection, and the peer could lose the end of the response.
    Draining,
}

/// Why [`Connection::read`] stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The socket has no more input for now.
    Drained,
    /// The read budget is used up; there may be more input, to be read after the other connections were served.
    More,
    /// The peer has closed its side.
    Closed,
}

#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Index of the listener that accepted the connection.
    pub(crate) listener: usize,
    pub(crate) peer: IpAddr,
    pub(crate) state: ConnectionState,
    /// Input that was received and not yet consumed by a request.
    pub(crate) input: Vec<u8>,
    ignored_bytes: usize,
    output: Vec<u8>,
    /// How many bytes of `output` are written.
    written: usize,
    has_large_send_buffer: bool,
    /// When the connection was accepted, request bytes were last read, bytes were last written, or the connection began
    /// to close or to drain, whichever was last.
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
            has_large_send_buffer: false,
            last_active: now,
        }
    }

    /// Returns the name of the subscriber if an event stream is open on this connection.
    pub(crate) fn streaming_subscriber(&self) -> Option<Arc<str>> {
        match &self.state {
            ConnectionState::Streaming(stream) => Some(Arc::clone(&stream.subscriber)),
            _ => None,
        }
    }

    /// Enlarges the kernel's send buffer, once: other relays are sent large batches.
    pub(crate) fn enlarge_send_buffer(&mut self, bytes: usize) {
        if !std::mem::replace(&mut self.has_large_send_buffer, true) {
            // A failure is ignored: with a small buffer, sending is only slower.
            let _ = socket2::SockRef::from(&self.stream).set_send_buffer_size(bytes);
        }
    }

    fn unwritten_len(&self) -> usize {
        self.output.len() - self.written
    }

    pub(crate) fn has_unwritten(&self) -> bool {
        self.unwritten_len() > 0
    }

    /// Reads the available input, up to the read budget, and keeps at most `max_input` bytes of requests. The caller
    /// must drop the connection after an error.
    pub(crate) fn read(&mut self, max_input: usize, now: Ns) -> Result<ReadOutcome, ErrorKind> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut total = 0;
        while total < READ_BUDGET_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(n) => {
                    total += n;
                    self.handle_input(&chunk[..n], max_input, now)?;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Drained),
                Err(e) => return Err(e.kind()),
            }
        }
        Ok(ReadOutcome::More)
    }

    fn handle_input(&mut self, bytes: &[u8], max_input: usize, now: Ns) -> Result<(), ErrorKind> {
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

    /// Removes this many bytes from the front of the input.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.input = Vec::new();
        }
    }

    /// Writes the buffered output and then `bytes`, and buffers what the socket does not accept now.
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

    /// Writes the buffered output. When all of it is written, shuts down the write side of a closing connection.
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
        if self.output.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.output = Vec::new();
        }
    }

    /// Closes the connection after the buffered output is written.
    pub(crate) fn close(&mut self, now: Ns) -> Result<(), ErrorKind> {
        if !matches!(self.state, ConnectionState::Draining) {
            self.state = ConnectionState::Closing;
            self.last_active = now;
            self.input = Vec::new();
        }
        self.flush(now)
    }
}
