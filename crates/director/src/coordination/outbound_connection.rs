//! A connection to a voter or a node, opened again when it ends. Nothing here blocks.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// Bounds of the delay before a connection is opened again; it doubles with each failure.
const MIN_RECONNECT_DELAY: Ns = 50 * NS_PER_MS;
const MAX_RECONNECT_DELAY: Ns = 1_000 * NS_PER_MS;
/// How long a connection may take to come up, or to answer.
const RESPONSE_TIMEOUT: Ns = 2_000 * NS_PER_MS;
/// The most bytes that wait to be written; a connection with more is stuck.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// How much is read in one system call.
const READ_BYTES: usize = 4_096;

/// A connection with what is to be written and what was read. It is opened by the first [`send`](Self::send), and again by the
/// first one after it has ended and a delay has passed.
pub(super) struct OutboundConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
    unsent: VecDeque<u8>,
    /// What was read; the user takes off what it has handled.
    pub(super) received: Vec<u8>,
    /// When something was received last, or the connection was opened.
    active_at: Ns,
    /// Since when an answer is waited for.
    waiting_since: Option<Ns>,
    next_attempt: Ns,
    reconnect_delay: Ns,
}

impl OutboundConnection {
    /// A connection that is not open yet.
    pub(super) fn new(address: SocketAddr) -> OutboundConnection {
        OutboundConnection {
            address,
            stream: None,
            unsent: VecDeque::new(),
            received: Vec::new(),
            active_at: 0,
            waiting_since: None,
            next_attempt: 0,
            reconnect_delay: MIN_RECONNECT_DELAY,
        }
    }

    /// Closes it; what was outstanding on it is lost.
    pub(super) fn close(&mut self, registry: &Registry, now: Ns) {
        if let Some(mut stream) = self.stream.take() {
            // Closing the descriptor deregisters it in any case.
            let _ = registry.deregister(&mut stream);
        }
        self.unsent.clear();
        self.received.clear();
        self.waiting_since = None;
        self.next_attempt = now + self.reconnect_delay;
        self.reconnect_delay = (2 * self.reconnect_delay).min(MAX_RECONNECT_DELAY);
    }

    /// Closes it if the peer has another address now, and connects there without a delay.
    pub(super) fn set_address(&mut self, address: SocketAddr, registry: &Registry, now: Ns) {
        if self.address != address {
            self.close(registry, now);
            (self.address, self.next_attempt, self.reconnect_delay) = (address, 0, MIN_RECONNECT_DELAY);
        }
    }

    /// Sends bytes, opening the connection if need be. Returns false if there is no connection now.
    pub(super) fn send(&mut self, bytes: &[u8], registry: &Registry, token: Token, now: Ns) -> bool {
        if self.stream.is_none() && !self.open(registry, token, now) {
            return false;
        }
        if self.unsent.len() + bytes.len() > MAX_UNSENT_BYTES {
            self.close(registry, now);
            return false;
        }
        self.unsent.extend(bytes);
        self.waiting_since.get_or_insert(now);
        self.write(registry, now)
    }

    fn open(&mut self, registry: &Registry, token: Token, now: Ns) -> bool {
        if now < self.next_attempt {
            return false;
        }
        let opened = TcpStream::connect(self.address).and_then(|mut stream| {
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            // A failure costs some delay only.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.stream = Some(stream);
                self.active_at = now;
                true
            }
            Err(_) => {
                self.close(registry, now);
                false
            }
        }
    }

    /// Writes as much as the socket takes. Returns false if the connection has ended.
    pub(super) fn write(&mut self, registry: &Registry, now: Ns) -> bool {
        while !self.unsent.is_empty() {
            let Some(stream) = self.stream.as_mut() else { return false };
            match stream.write(self.unsent.as_slices().0) {
                Ok(n) if n > 0 => {
                    self.unsent.drain(..n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_not_ready(&e) => return true,
                _ => {
                    self.close(registry, now);
                    return false;
                }
            }
        }
        true
    }

    /// Reads what there is, up to `max_received` bytes that are not handled yet. Returns false if the connection has ended.
    pub(super) fn read(&mut self, registry: &Registry, now: Ns, max_received: usize) -> bool {
        let mut bytes = [0; READ_BYTES];
        loop {
            let Some(stream) = self.stream.as_mut() else { return false };
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 && self.received.len() + n <= max_received => {
                    self.received.extend_from_slice(&bytes[..n]);
                    (self.active_at, self.reconnect_delay) = (now, MIN_RECONNECT_DELAY);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_not_ready(&e) => return true,
                _ => {
                    self.close(registry, now);
                    return false;
                }
            }
        }
    }

    /// Everything that was sent is answered.
    pub(super) fn all_answered(&mut self) {
        self.waiting_since = None;
    }

    /// Whether an answer is overdue and nothing was received meanwhile, as from a machine that has vanished.
    pub(super) fn is_stuck(&self, now: Ns) -> bool {
        self.waiting_since.is_some_and(|since| now > since.max(self.active_at) + RESPONSE_TIMEOUT)
    }
}

/// The connection is as it was, but can't be read or written now, or is not up yet.
fn is_not_ready(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected)
}
