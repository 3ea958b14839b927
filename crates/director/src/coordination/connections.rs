//! The calls to one voter: a connection of its own, made again when it ended. Nothing here waits.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// The longest pause before a connection is tried again, and how long one may take to come up or to answer.
const LONGEST_PAUSE: Ns = 1_000 * NS_PER_MS;
const FIRST_PAUSE: Ns = 50 * NS_PER_MS;
const SILENT: Ns = 2_000 * NS_PER_MS;
/// Bytes that wait to be written; past them a connection is stuck.
const MOST_WAITING: usize = 256 << 10;

/// A connection that is used by one party alone, with what goes out and has come in on it.
pub struct NodeConnection {
    pub address: SocketAddr,
    stream: Option<TcpStream>,
    out: VecDeque<u8>,
    pub received: Vec<u8>,
    /// When it was last heard of, or began; what is asked on it since is without an answer.
    heard: Ns,
    asked_since: Option<Ns>,
    next_try: Ns,
    pause: Ns,
}

impl NodeConnection {
    pub fn new(address: SocketAddr) -> NodeConnection {
        NodeConnection {
            address,
            stream: None,
            out: VecDeque::new(),
            received: Vec::new(),
            heard: 0,
            asked_since: None,
            next_try: 0,
            pause: FIRST_PAUSE,
        }
    }

    /// Ends it; what was on it is lost.
    pub fn close(&mut self, registry: &Registry, now: Ns) {
        if let Some(mut stream) = self.stream.take() {
            // It goes with its descriptor in any case.
            let _ = registry.deregister(&mut stream);
        }
        self.out.clear();
        self.received.clear();
        self.asked_since = None;
        self.next_try = now + self.pause;
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }

    pub fn set_address(&mut self, address: SocketAddr, registry: &Registry, now: Ns) {
        if self.address != address {
            self.close(registry, now);
            (self.address, self.next_try, self.pause) = (address, 0, FIRST_PAUSE);
        }
    }

    /// Says something, on a connection that is there or is begun; false if none can be had now.
    pub fn send(&mut self, bytes: &[u8], registry: &Registry, token: Token, now: Ns) -> bool {
        if self.stream.is_none() && !self.begin(registry, token, now) {
            return false;
        }
        if self.out.len() + bytes.len() > MOST_WAITING {
            self.close(registry, now);
            return false;
        }
        self.out.extend(bytes);
        self.asked_since.get_or_insert(now);
        self.write(registry, now)
    }

    fn begin(&mut self, registry: &Registry, token: Token, now: Ns) -> bool {
        if now < self.next_try {
            return false;
        }
        let begun = TcpStream::connect(self.address).and_then(|mut stream| {
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            // A delay is harmless.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match begun {
            Ok(stream) => {
                self.stream = Some(stream);
                self.heard = now;
                true
            }
            Err(_) => {
                self.close(registry, now);
                false
            }
        }
    }

    /// Writes on; false if the connection has ended.
    pub fn write(&mut self, registry: &Registry, now: Ns) -> bool {
        while !self.out.is_empty() {
            let Some(stream) = self.stream.as_mut() else { return false };
            match stream.write(self.out.as_slices().0) {
                Ok(n) if n > 0 => {
                    self.out.drain(..n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
                _ => {
                    self.close(registry, now);
                    return false;
                }
            }
        }
        true
    }

    /// Reads what there is; false if the connection has ended.
    pub fn read(&mut self, registry: &Registry, now: Ns, most: usize) -> bool {
        let mut bytes = [0; 4_096];
        loop {
            let Some(stream) = self.stream.as_mut() else { return false };
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 && self.received.len() + n <= most => {
                    self.received.extend_from_slice(&bytes[..n]);
                    (self.heard, self.pause) = (now, FIRST_PAUSE);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
                _ => {
                    self.close(registry, now);
                    return false;
                }
            }
        }
    }

    /// All that was asked is answered.
    pub fn all_answered(&mut self) {
        self.asked_since = None;
    }

    /// One with something asked that was silent for long is stuck: a machine that vanished says nothing.
    pub fn is_stuck(&self, now: Ns) -> bool {
        self.asked_since.is_some_and(|since| now > since.max(self.heard) + SILENT)
    }
}

/// A voter: its line, and the number of each call that is out.
pub struct VoterConnection {
    pub connection: NodeConnection,
    next: u32,
    pub calls: BTreeMap<u32, u64>,
}

impl VoterConnection {
    pub fn new(address: SocketAddr) -> VoterConnection {
        VoterConnection { connection: NodeConnection::new(address), next: 0, calls: BTreeMap::new() }
    }

    /// The number of a new call on the wire.
    pub fn next_call_id(&mut self, call: u64) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.calls.insert(self.next, call);
        self.next
    }
}
