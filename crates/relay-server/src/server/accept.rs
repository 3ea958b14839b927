//! Listeners, and the connections that come in by them.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use sablecross_coordination::Ns;

use super::{Server, ServerError};
use crate::connection::{Connection, ConnectionState};
use crate::settings::RelayServerConfig;

/// Connections that may wait in the kernel until they are accepted.
const BACKLOG: i32 = 1_024;
/// What the kernel keeps for one subscriber (it takes twice as much): a slow one holds little memory.
const SEND_BUFFER_BYTES: usize = 16 << 10;

pub(super) struct Listener {
    socket: TcpListener,
    /// The subscriber whose address this is.
    pub(super) subscriber: Option<Arc<str>>,
    /// More may wait than could be accepted: it is tried again on the next tick.
    pub(super) retries: bool,
}

/// The relay's own listener first, then those of single subscribers; their tokens are their indices.
pub(super) fn listen_at_all(
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
        let mut socket = listen(address).map_err(|e| ServerError::Listen(address, e))?;
        let token = Token(listeners.len());
        registry.register(&mut socket, token, Interest::READABLE).map_err(ServerError::io("polling"))?;
        listeners.push(Listener { socket, subscriber, retries: false });
    }
    Ok(listeners)
}

/// A listener, with the options that connections take over from it.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
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
    /// Accepts all connections that wait at a listener.
    pub(super) fn accept(&mut self, index: usize, now: Ns) {
        let Some(listener) = self.listeners.get_mut(index) else { return };
        listener.retries = false;
        loop {
            let Some(listener) = self.listeners.get_mut(index) else { return };
            match listener.socket.accept() {
                Ok((stream, from)) => self.add_connection(index, stream, from, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // No descriptors, most likely.
                    listener.retries = true;
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
            // Those that only wait for the other side to close make room first.
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

    /// Accepts where that failed before.
    pub(super) fn retry_accepts(&mut self, now: Ns) {
        for index in 0..self.listeners.len() {
            if self.listeners[index].retries {
                self.accept(index, now);
            }
        }
    }
}
