//! A non-blocking connection to a voter or a node, which is opened again after it has ended.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// The bounds of the delay before a connection is opened again. The delay doubles each time the connection is closed,
/// and returns to the minimum when bytes are received.
const MIN_RECONNECT_DELAY: Ns = 50 * NS_PER_MS;
const MAX_RECONNECT_DELAY: Ns = 1_000 * NS_PER_MS;
/// How long a connection may take to be established, or to receive an answer.
const RESPONSE_TIMEOUT: Ns = 2_000 * NS_PER_MS;
/// The maximum number of unsent bytes. A connection that would exceed it is stuck, and is closed.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// The maximum number of bytes read by one system call.
const READ_BYTES: usize = 4_096;

/// A connection with its unsent and its received bytes. It is opened by the first [`send`](Self::send). After it has
/// ended, it is opened again by the first `send` after a delay.
pub(super) struct OutboundConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
    unsent: VecDeque<u8>,
    /// Received bytes. The caller removes those that it has handled.
    pub(super) received: Vec<u8>,
    /// When bytes were last received, or when the connection was opened.
    last_activity: Ns,
    /// Since when an answer is outstanding.
    outstanding_since: Option<Ns>,
    next_connect_at: Ns,
    reconnect_delay: Ns,
}

impl OutboundConnection {
    /// Creates a connection that is not open yet.
    pub(super) fn new(address: SocketAddr) -> OutboundConnection {
        OutboundConnection {
            address,
            stream: None,
            unsent: VecDeque::new(),
            received: Vec::new(),
            last_activity: 0,
            outstanding_since: None,
            next_connect_at: 0,
            reconnect_delay: MIN_RECONNECT_DELAY,
        }
    }

    /// Closes the connection. Its unsent and received bytes are lost, and so are outstanding answers.
    pub(super) fn close(&mut self, registry: &Registry, now: Ns) {
        if let Some(mut stream) = self.stream.take() {
            // A failure is harmless, as closing the descriptor deregisters it in any case.
            let _ = registry.deregister(&mut stream);
        }
        self.unsent.clear();
        self.received.clear();
        self.outstanding_since = None;
        self.next_connect_at = now + self.reconnect_delay;
        self.reconnect_delay = (2 * self.reconnect_delay).min(MAX_RECONNECT_DELAY);
    }

    /// Closes the connection if the peer's address has changed. The next `send` connects to the new address without a
    /// delay.
    pub(super) fn set_address(&mut self, address: SocketAddr, registry: &Registry, now: Ns) {
        if self.address != address {
            self.close(registry, now);
            (self.address, self.next_connect_at, self.reconnect_delay) = (address, 0, MIN_RECONNECT_DELAY);
        }
    }

    /// Sends bytes, and opens the connection first if necessary. Returns false if there is no connection.
    pub(super) fn send(&mut self, bytes: &[u8], registry: &Registry, token: Token, now: Ns) -> bool {
        if self.stream.is_none() && !self.open(registry, token, now) {
            return false;
        }
        if self.unsent.len() + bytes.len() > MAX_UNSENT_BYTES {
            self.close(registry, now);
            return false;
        }
        self.unsent.extend(bytes);
        self.outstanding_since.get_or_insert(now);
        self.write(registry, now)
    }

    fn open(&mut self, registry: &Registry, token: Token, now: Ns) -> bool {
        if now < self.next_connect_at {
            return false;
        }
        let opened = TcpStream::connect(self.address).and_then(|mut stream| {
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            // If this fails, small messages are only delayed.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.stream = Some(stream);
                self.last_activity = now;
                true
            }
            Err(_) => {
                self.close(registry, now);
                false
            }
        }
    }

    /// Writes as many unsent bytes as the socket accepts. Returns false if the connection has ended.
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

    /// Reads all bytes that have arrived. The connection is closed if more than `max_received` bytes would be
    /// unhandled. Returns false if the connection has ended.
    pub(super) fn read(&mut self, registry: &Registry, now: Ns, max_received: usize) -> bool {
        let mut bytes = [0; READ_BYTES];
        loop {
            let Some(stream) = self.stream.as_mut() else { return false };
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 && self.received.len() + n <= max_received => {
                    self.received.extend_from_slice(&bytes[..n]);
                    (self.last_activity, self.reconnect_delay) = (now, MIN_RECONNECT_DELAY);
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

    /// Records that no answer is outstanding.
    pub(super) fn on_all_answered(&mut self) {
        self.outstanding_since = None;
    }

    /// Whether an answer is overdue and nothing has been received meanwhile, as when the peer's machine has vanished.
    pub(super) fn is_stuck(&self, now: Ns) -> bool {
        self.outstanding_since.is_some_and(|since| now > since.max(self.last_activity) + RESPONSE_TIMEOUT)
    }
}

/// Whether the connection is intact, but not established yet or not readable or writable at the moment.
fn is_not_ready(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected)
}
