//! The listener for client connections. It accepts waiting connections, and remembers since when connections may have
//! been waiting while accepting fails.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use sablecross::Ns;

use crate::counters;
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_transient_accept_error;
use crate::shared::SharedContext;

/// Accepts client connections.
pub(super) struct ClientAcceptor {
    shared: Arc<SharedContext>,
    /// `None` once no more connections are accepted.
    listener: Option<TcpListener>,
    /// An accepted connection that could not be registered for polling yet.
    unregistered: Option<(TcpStream, SocketAddr)>,
    /// When to accept again, after accepting or registering has failed.
    retry_at: Option<Ns>,
    /// The earliest time at which a waiting connection may have arrived, while accepting fails.
    waiting_since: Option<Ns>,
}

impl ClientAcceptor {
    /// Listens at an address.
    pub(super) fn bind(
        address: SocketAddr,
        registry: &Registry,
        token: Token,
        shared: &Arc<SharedContext>,
    ) -> io::Result<ClientAcceptor> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(ClientAcceptor {
            shared: Arc::clone(shared),
            listener: Some(listener),
            unregistered: None,
            retry_at: None,
            waiting_since: None,
        })
    }

    pub(super) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().ok_or(ErrorKind::NotConnected)?.local_addr()
    }

    /// When to accept again, if accepting or registering has failed.
    pub(super) fn retry_at(&self) -> Option<Ns> {
        self.retry_at
    }

    /// The earliest time at which a waiting connection may have arrived, if accepting has failed.
    pub(super) fn waiting_since(&self) -> Option<Ns> {
        self.waiting_since
    }

    /// Starts a new attempt to accept the waiting connections.
    pub(super) fn begin_accepting(&mut self) {
        self.retry_at = None;
    }

    /// Accepts the next waiting connection. If accepting fails, sets the time of the next attempt; the connections that
    /// wait meanwhile may have arrived as early as `unread_since`.
    pub(super) fn accept(
        &mut self,
        unread_since: Ns,
        log: &mut LogRateLimiter,
    ) -> Option<(TcpStream, SocketAddr)> {
        if let Some(accepted) = self.unregistered.take() {
            return Some(accepted);
        }
        let listener = self.listener.as_ref()?;
        for _ in 0..self.shared.limits.max_messages_per_turn {
            match listener.accept() {
                Ok(accepted) => return Some(accepted),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.waiting_since = None;
                    return None;
                }
                // This connection failed before it was accepted; others may wait behind it.
                Err(e) if is_transient_accept_error(&e) => {}
                Err(e) => {
                    log.warn(self.shared.clock.now(), || format!("accept failed: {e}"));
                    break;
                }
            }
        }
        self.retry_later(unread_since);
        None
    }

    /// Keeps a connection that could not be registered, to register it later: its requests must be answered.
    pub(super) fn keep_unregistered(&mut self, stream: TcpStream, peer: SocketAddr, unread_since: Ns) {
        self.unregistered = Some((TcpStream::from_std(stream.into()), peer));
        self.retry_later(unread_since);
    }

    fn retry_later(&mut self, unread_since: Ns) {
        counters::add(&self.shared.counters.shortages, 1);
        self.waiting_since.get_or_insert(unread_since);
        self.retry_at = Some(self.shared.clock.now() + self.shared.limits.shortage_retry_interval);
    }

    /// Stops accepting connections.
    pub(super) fn close(&mut self) {
        self.listener = None;
        self.unregistered = None;
    }

    pub(super) fn is_closed(&self) -> bool {
        self.listener.is_none()
    }
}
