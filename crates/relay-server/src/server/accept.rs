//! Listeners, and accepting connections from them.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use sablecross_coordination::Ns;

use super::{Server, ServerError};
use crate::connection::{Connection, ConnectionState};
use crate::settings::RelayServerConfig;

/// Size of the kernel's queue of connections that are not accepted yet.
const BACKLOG: i32 = 1_024;
/// Size of the kernel's send buffer of a connection (the kernel doubles it). It is small so that slow subscribers
/// take up little memory.
const SEND_BUFFER_BYTES: usize = 16 << 10;

pub(super) struct Listener {
    socket: TcpListener,
    /// Name of the subscriber that this listener is reserved for, if any.
    pub(super) subscriber: Option<Arc<str>>,
    /// Whether accepting has failed, so that connections may still be queued. It is retried on the next tick.
    pub(super) needs_retry: bool,
}

/// Opens the relay's own listener and then those of single subscribers. Their tokens are their indices.
pub(super) fn open_listeners(
    config: &RelayServerConfig,
    registry: &Registry,
) -> Result<Vec<Listener>, ServerError> {
    let own = std::iter::once((config.listen, None));
    let single = config
        .subscribers
        .iter()
        .map(|subscriber| (subscriber.address, Some(Arc::from(subscriber.name.as_str()))));
    let mut listeners = Vec::new();
    for (address, subscriber) in own.chain(single) {
        let mut socket = bind_listener(address).map_err(|e| ServerError::Listen(address, e))?;
        let token = Token(listeners.len());
        registry.register(&mut socket, token, Interest::READABLE).map_err(ServerError::io("polling"))?;
        listeners.push(Listener { socket, subscriber, needs_retry: false });
    }
    Ok(listeners)
}

/// Opens a listener, with the options that accepted connections inherit.
fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

impl Server {
    /// Accepts all connections that are queued at a listener.
    pub(super) fn accept(&mut self, index: usize, now: Ns) {
        let Some(listener) = self.listeners.get_mut(index) else { return };
        listener.needs_retry = false;
        loop {
            let Some(listener) = self.listeners.get_mut(index) else { return };
            match listener.socket.accept() {
                Ok((stream, from)) => self.add_connection(index, stream, from, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Most likely the process has no file descriptors left.
                    listener.needs_retry = true;
                    if let Some(suppressed) = self.rate_limiter.admit(now) {
                        tracing::warn!("relay accept failed: {e} left_out={suppressed}");
                    }
                    return;
                }
            }
        }
    }

    fn add_connection(&mut self, listener: usize, mut stream: TcpStream, from: SocketAddr, now: Ns) {
        let limit = self.config.relay.connections;
        if self.connections.len() >= limit {
            // Drop draining connections first: they only wait for the peer to close.
            self.connections.retain(|_, other| !matches!(other.state, ConnectionState::Draining));
        }
        if self.connections.len() >= limit {
            if let Some(suppressed) = self.rate_limiter.admit(now) {
                tracing::warn!("relay connection rejected from={from} limit={limit} left_out={suppressed}");
            }
            return;
        }
        let token = self.next_token;
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(token), both).is_err() {
            return;
        }
        self.next_token += 1;
        self.connections.insert(token, Connection::new(stream, listener, from.ip(), now));
    }

    /// Retries to accept connections from the listeners where that has failed.
    pub(super) fn retry_accepts(&mut self, now: Ns) {
        for index in 0..self.listeners.len() {
            if self.listeners[index].needs_retry {
                self.accept(index, now);
            }
        }
    }
}
