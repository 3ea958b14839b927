//! One connection that came in: what was read, what is owed, and how it ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross_coordination::Ns;

/// Bytes that are read of one connection before others have their turn.
const TURN: usize = 256 << 10;
/// A buffer that was larger is given back once it is empty.
const KEPT: usize = 4_096;
/// What a reader may send beside its call.
const CHATTER: usize = 64 << 10;

/// A stream of events.
#[derive(Debug)]
pub struct Streaming {
    pub reader: Arc<str>,
    /// Up to which number it was told.
    pub cursor: u64,
    /// The most bytes that it is handed at a time.
    pub batch: usize,
    /// When it ends, so that its reader calls again.
    pub ends: Ns,
    pub comment: Ns,
}

#[derive(Debug)]
pub enum State {
    /// A request is waited for.
    Calls,
    /// Its answer is owed; whether the connection ends with it.
    Owed {
        closes: bool,
    },
    Streams(Streaming),
    /// What is still to be written, then the write side is shut.
    Ends,
    /// All is written; the rest is read off, so that nothing is reset.
    Drains,
}

/// How far reading came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// All there is.
    All,
    /// There may be more: it is to be read on, after others.
    More,
    /// The other side has ended.
    Over,
}

#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    /// The listener it came in by, and from where.
    pub listener: usize,
    pub from: IpAddr,
    pub state: State,
    pub came: Vec<u8>,
    /// Bytes read beside calls.
    chatter: usize,
    out: Vec<u8>,
    sent: usize,
    wide: bool,
    /// When a byte last went either way, or the state changed.
    pub moved: Ns,
}

impl Connection {
    pub fn new(stream: TcpStream, listener: usize, from: IpAddr, now: Ns) -> Connection {
        let (state, came, out) = (State::Calls, Vec::new(), Vec::new());
        Connection { stream, listener, from, state, came, chatter: 0, out, sent: 0, wide: false, moved: now }
    }

    /// It belongs to another relay, which is sent much at a time.
    pub fn widen(&mut self, bytes: usize) {
        if !std::mem::replace(&mut self.wide, true) {
            // With a small buffer it is slower, nothing more.
            let _ = socket2::SockRef::from(&self.stream).set_send_buffer_size(bytes);
        }
    }

    /// Bytes that wait to be written.
    fn waiting(&self) -> usize {
        self.out.len() - self.sent
    }

    pub fn out_waits(&self) -> bool {
        self.waiting() > 0
    }

    /// Reads what there is, `most` kept at a time; an error: it is to be dropped.
    pub fn read(&mut self, most: usize, now: Ns) -> Result<Came, ErrorKind> {
        let mut bytes = [0; 16_384];
        let mut turn = 0;
        while turn < TURN {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(Came::Over),
                Ok(n) => {
                    turn += n;
                    match self.state {
                        State::Calls | State::Owed { .. } => {
                            self.moved = now;
                            self.came.extend_from_slice(&bytes[..n]);
                            if self.came.len() > most {
                                return Err(ErrorKind::FileTooLarge);
                            }
                        }
                        State::Streams(_) => {
                            self.chatter += n;
                            if self.chatter > CHATTER {
                                return Err(ErrorKind::InvalidData);
                            }
                        }
                        State::Ends | State::Drains => {}
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Came::All),
                Err(e) => return Err(e.kind()),
            }
        }
        Ok(Came::More)
    }

    /// What was asked is used up.
    pub fn used(&mut self, bytes: usize) {
        self.came.drain(..bytes.min(self.came.len()));
        if self.came.is_empty() && self.came.capacity() > KEPT {
            self.came = Vec::new();
        }
    }

    /// Writes this behind what waits; what the connection does not take now is kept.
    pub fn say(&mut self, bytes: &[u8], now: Ns) -> Result<(), ErrorKind> {
        self.write(now)?;
        let mut bytes = bytes;
        while self.waiting() == 0 && !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(n) => {
                    self.moved = now;
                    bytes = &bytes[n..];
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.kind()),
            }
        }
        self.out.extend_from_slice(bytes);
        Ok(())
    }

    /// Writes on; shuts the write side once all is written and it is to end.
    pub fn write(&mut self, now: Ns) -> Result<(), ErrorKind> {
        while self.waiting() > 0 {
            match self.stream.write(&self.out[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(n) => {
                    self.sent += n;
                    self.moved = now;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e.kind()),
            }
        }
        if self.sent > 0 {
            self.sent = 0;
            self.out.clear();
            if self.out.capacity() > KEPT {
                self.out = Vec::new();
            }
        }
        if matches!(self.state, State::Ends) {
            self.stream.shutdown(Shutdown::Write).map_err(|e| e.kind())?;
            (self.state, self.moved) = (State::Drains, now);
        }
        Ok(())
    }

    /// Ends it once what waits is written.
    pub fn end(&mut self, now: Ns) -> Result<(), ErrorKind> {
        if !matches!(self.state, State::Drains) {
            (self.state, self.moved) = (State::Ends, now);
            self.came = Vec::new();
        }
        self.write(now)
    }
}
