//! The listener for clients: it hands out the connections that wait, and keeps count of when that could not be done.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use sablecross::Ns;

use crate::counters;
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_failed_connection;
use crate::shared::SharedContext;

/// Accepts connections of clients.
pub(super) struct ClientAcceptor {
    shared: Arc<SharedContext>,
    /// None once the program ends.
    listener: Option<TcpListener>,
    /// One that was accepted and can't be watched yet.
    unregistered: Option<(TcpStream, SocketAddr)>,
    /// When connections are accepted again, after that could not be done.
    retry_at: Option<Ns>,
    /// Since when connections may wait to be accepted.
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

    /// When connections are accepted again, if that could not be done.
    pub(super) fn retry_at(&self) -> Option<Ns> {
        self.retry_at
    }

    /// Since when what a connection sent may have lain unread, as it could not be accepted.
    pub(super) fn waiting_since(&self) -> Option<Ns> {
        self.waiting_since
    }

    /// A new try begins.
    pub(super) fn begin_accepting(&mut self) {
        self.retry_at = None;
    }

    /// The next connection that waits. Where none can be accepted for a moment, the next try is set; what comes
    /// meanwhile may have lain unread since `unread_since`.
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
                // That one has failed already; others may wait behind it.
                Err(e) if is_failed_connection(&e) => {}
                Err(e) => {
                    log.warn(self.shared.clock.now(), || format!("accept failed: {e}"));
                    break;
                }
            }
        }
        self.retry_later(unread_since);
        None
    }

    /// Keeps a connection that can't be watched just now: what it asks is owed an answer.
    pub(super) fn keep_unregistered(&mut self, stream: TcpStream, peer: SocketAddr, unread_since: Ns) {
        self.unregistered = Some((TcpStream::from_std(stream.into()), peer));
        self.retry_later(unread_since);
    }

    fn retry_later(&mut self, unread_since: Ns) {
        counters::add(&self.shared.counters.shortages, 1);
        self.waiting_since.get_or_insert(unread_since);
        self.retry_at = Some(self.shared.clock.now() + self.shared.limits.shortage_retry_interval);
    }

    /// Accepts no more connections.
    pub(super) fn close(&mut self) {
        self.listener = None;
        self.unregistered = None;
    }

    pub(super) fn is_closed(&self) -> bool {
        self.listener.is_none()
    }
}
