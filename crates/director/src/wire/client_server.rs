//! The thread that serves all client connections. It polls all connections together for readability and writability, and
//! never blocks on a single one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, TryRecvError, bounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

use super::client_acceptor::ClientAcceptor;
use super::client_connection::{ClientConnection, ClientFault, CloseReason, ReadProgress};
use super::response::PendingResponse;
use super::response_sender::ResponseSender;
use crate::clock::NS_PER_MS;
use crate::counters;
use crate::events::{ClientId, Event};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_retryable;
use crate::shared::SharedContext;
use crate::stall_detector::StallDetector;

const LISTENER: Token = Token(usize::MAX);
const RESPONSES: Token = Token(usize::MAX - 1);

/// Serves all client connections.
pub(crate) struct ClientServer {
    poll: Poll,
    acceptor: ClientAcceptor,
    responses: Receiver<PendingResponse>,
    shared: Arc<SharedContext>,
    connections: BTreeMap<ClientId, ClientConnection>,
    /// How many of `connections` are closing.
    closing_count: usize,
    next_id: ClientId,
    is_shutting_down: Arc<AtomicBool>,
    /// Connections that used up their reads for one turn and may have more to read.
    readable: Vec<ClientId>,
    stalls: StallDetector,
    /// The earliest time at which the bytes that are read in this turn may have arrived.
    unread_since: Ns,
    /// When this thread first noticed that the program is stopping.
    shutdown_seen_at: Option<Ns>,
    log: LogRateLimiter,
}

impl ClientServer {
    /// Listens at an address. Returns the server and the handle for sending responses to it.
    pub(crate) fn bind(
        address: SocketAddr,
        shared: &Arc<SharedContext>,
    ) -> io::Result<(ClientServer, ResponseSender)> {
        let poll = Poll::new()?;
        let acceptor = ClientAcceptor::bind(address, poll.registry(), LISTENER, shared)?;
        let (responses, response_receiver) = bounded(shared.limits.response_queue_length);
        let is_shutting_down = Arc::new(AtomicBool::new(false));
        let waker = Waker::new(poll.registry(), RESPONSES)?;
        let sender = ResponseSender::new(responses, waker, Arc::clone(&is_shutting_down));
        let server = ClientServer {
            poll,
            acceptor,
            responses: response_receiver,
            shared: Arc::clone(shared),
            connections: BTreeMap::new(),
            closing_count: 0,
            next_id: 0,
            is_shutting_down,
            readable: Vec::new(),
            stalls: StallDetector::new(shared.clock.now()),
            unread_since: shared.clock.now(),
            shutdown_seen_at: None,
            log: LogRateLimiter::default(),
        };
        Ok((server, sender))
    }

    /// The address on which the server listens.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.acceptor.local_addr()
    }

    /// Serves until a shutdown is complete, the dispatcher is gone or polling fails.
    pub(crate) fn run(mut self) {
        // One poll must be able to report all connections: a connection that is reported by a later poll would have its
        // arrival time counted from that poll.
        let capacity = self.max_watched() + 1;
        let mut events = Events::with_capacity(capacity);
        let mut next_sweep = self.shared.clock.now();
        loop {
            let wait = self.poll_timeout(next_sweep);
            let poll_began_at = self.shared.clock.now();
            let polled = self.poll.poll(&mut events, Some(wait));
            if let Err(e) = &polled
                && !is_retryable(e)
            {
                return tracing::error!("connections of clients: {e}");
            }
            let has_reported_all = polled.is_ok() && events.iter().count() < capacity;
            let woken_at = self.on_wakeup(poll_began_at, wait, has_reported_all);
            if polled.is_ok() && events.is_empty() {
                let planned = u64::try_from(wait.as_nanos()).unwrap_or(Ns::MAX);
                self.shared
                    .record_wakeup_delay(woken_at.saturating_sub(poll_began_at).saturating_sub(planned));
            }
            let mut readable = self.handle_socket_events(&events);
            if !self.handle_responses() {
                return;
            }
            // Connections accepted in this turn are also read in it, because their clients may have gone already.
            readable.append(&mut self.readable);
            self.read_all(readable);
            // After a stall, clients may have disconnected without being reported by this poll.
            if has_reported_all && !self.stalls.must_poll_again() {
                self.shared.record_clients_checked(woken_at);
            }
            let now = self.shared.clock.now();
            if self.acceptor.retry_at().is_some_and(|at| now >= at) {
                self.accept();
            }
            let is_shutting_down = self.is_shutting_down.load(Ordering::Acquire);
            if now >= next_sweep || is_shutting_down {
                let limits = &self.shared.limits;
                let interval =
                    if is_shutting_down { limits.shutdown_poll_interval } else { limits.sweep_interval };
                next_sweep = now + interval;
                self.sweep(now);
                self.accept();
            }
            if is_shutting_down && self.advance_shutdown() {
                let _ = self.shared.events.send(Event::ClientsFinished);
                return;
            }
        }
    }

    /// How many sockets and wakers may be registered at once.
    fn max_watched(&self) -> usize {
        let limits = &self.shared.limits;
        limits.max_client_connections + limits.max_closing_clients + [LISTENER, RESPONSES].len()
    }

    fn poll_timeout(&self, next_sweep: Ns) -> Duration {
        if !self.readable.is_empty() || self.stalls.must_poll_again() {
            return Duration::ZERO;
        }
        let next = self.acceptor.retry_at().map_or(next_sweep, |at| at.min(next_sweep));
        self.shared.clock.until(next).min(Duration::from_nanos(self.shared.limits.max_poll_wait))
    }

    /// Updates `unread_since` after a poll that began at `poll_began_at`, and counts a stall of the process. Returns the time
    /// now.
    fn on_wakeup(&mut self, poll_began_at: Ns, wait: Duration, has_reported_all: bool) -> Ns {
        let now = self.shared.clock.now();
        let unread = self.stalls.on_wakeup(poll_began_at, wait, now, has_reported_all);
        self.unread_since = now.saturating_sub(unread);
        if unread > 0 {
            counters::add(&self.shared.counters.stalls, 1);
            tracing::debug!("stalled for up to {} ms", unread / NS_PER_MS);
        }
        now
    }

    /// Accepts connections and writes responses as the events allow. Returns the connections to read.
    fn handle_socket_events(&mut self, events: &Events) -> Vec<ClientId> {
        let mut readable = std::mem::take(&mut self.readable);
        for event in events {
            match event.token() {
                LISTENER => self.accept(),
                RESPONSES => {}
                Token(client) => {
                    let client = client as ClientId;
                    if event.is_read_closed() {
                        self.on_client_left(client);
                    } else if event.is_writable() {
                        self.write(client);
                    }
                    readable.push(client);
                }
            }
        }
        readable
    }

    /// Handles a client that has closed or reset its connection, even if bytes that it sent before are still unread: they
    /// are discarded, since nobody waits for an answer to them.
    fn on_client_left(&mut self, client: ClientId) {
        if self.is_open(client) {
            self.close(client, CloseReason::Left);
        }
    }

    fn read_all(&mut self, mut clients: Vec<ClientId>) {
        clients.sort_unstable();
        clients.dedup();
        clients.into_iter().for_each(|client| self.read(client));
    }

    /// Stops accepting connections and closes those on which nothing is pending. Returns whether no connection is left.
    fn advance_shutdown(&mut self) -> bool {
        let now = self.shared.clock.now();
        let since = *self.shutdown_seen_at.get_or_insert(now);
        // The requests of connections that wait to be accepted must be answered. If accepting fails for lack of a
        // resource, it is retried for `partial_message_timeout` before the listener is closed.
        let may_retry = self.acceptor.retry_at().is_some();
        if !may_retry || now >= since + self.shared.limits.partial_message_timeout {
            self.acceptor.close();
        }
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        for client in idle.map(|(id, _)| *id).collect::<Vec<ClientId>>() {
            self.close_if_idle(client);
        }
        self.connections.is_empty() && self.acceptor.is_closed()
    }

    /// Closes a connection on which nothing is pending. The connection is read first: it stays open if a request has
    /// arrived, which must be answered.
    fn close_if_idle(&mut self, client: ClientId) {
        self.read(client);
        if self.connections.get(&client).is_some_and(ClientConnection::is_idle) {
            self.close(client, CloseReason::Idle);
        }
    }

    /// Closes a connection that has sent only a part of its first message. The connection is read first: it stays open if
    /// the rest has arrived, which must be answered.
    fn close_if_still_partial(&mut self, client: ClientId) {
        self.read(client);
        if self.connections.get(&client).is_some_and(ClientConnection::has_only_partial_message) {
            self.close(client, CloseReason::Fault(ClientFault::PartialMessageEvicted));
        }
    }

    /// Accepts all waiting connections. A connection for which there is no room is closed at once.
    fn accept(&mut self) {
        self.acceptor.begin_accepting();
        while let Some((stream, peer)) = self.acceptor.accept(self.unread_since, &mut self.log) {
            if !self.make_room(self.shared.clock.now()) {
                counters::add(&self.shared.counters.rejected_connections, 1);
                continue;
            }
            if !self.register(stream, peer) {
                return;
            }
        }
    }

    /// Registers an accepted connection for polling. Returns false if registering fails, which is taken to be temporary:
    /// the connection is kept and registered later.
    fn register(&mut self, mut stream: TcpStream, peer: SocketAddr) -> bool {
        let client = self.next_id;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Token(client as usize);
        if let Err(e) = self.poll.registry().register(&mut stream, token, interest) {
            self.log.warn(self.shared.clock.now(), || format!("client {peer} waits: {e}"));
            self.acceptor.keep_unregistered(stream, peer, self.unread_since);
            return false;
        }
        // A failure here only adds latency.
        let _ = stream.set_nodelay(true);
        // The client's first bytes came after the connection, which may have waited since the earliest arrival time of
        // this turn, or since accepting first failed.
        let unread_since = self.acceptor.waiting_since().unwrap_or(self.unread_since);
        let connection = ClientConnection::new(stream, peer, Some(unread_since), &self.shared);
        counters::add(&self.shared.counters.clients, 1);
        self.next_id += 1;
        self.connections.insert(client, connection);
        self.readable.push(client);
        true
    }

    /// Makes room for one more connection if the limit is reached, and returns whether there is room. It closes the
    /// connection that has been idle for longest; idle connections that have not sent a complete message within
    /// `new_client_grace` go first. If none is idle, it closes the oldest connection that sent only a part of its first
    /// message. A connection that waits for a response is never closed.
    ///
    /// This keeps idle clients from occupying all connections, at the cost of a client that was about to send its next
    /// request.
    fn make_room(&mut self, now: Ns) -> bool {
        while self.connections.len() - self.closing_count >= self.shared.limits.max_client_connections {
            // If the client has just sent something, its connection stays open and the loop tries the next one.
            let evicted = if let Some(idle) = self.longest_idle(now) {
                self.close_if_idle(idle);
                idle
            } else if let Some(partial) = self.oldest_partial() {
                self.close_if_still_partial(partial);
                partial
            } else {
                return false;
            };
            counters::add(&self.shared.counters.evicted_for_room, usize::from(!self.is_open(evicted)));
        }
        true
    }

    fn longest_idle(&self, now: Ns) -> Option<ClientId> {
        let grace_cutoff = now.saturating_sub(self.shared.limits.new_client_grace);
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let order = |(id, connection): (&ClientId, &ClientConnection)| {
            let is_second_choice = connection.has_sent_message || connection.last_activity > grace_cutoff;
            (is_second_choice, connection.last_activity, *id)
        };
        idle.map(order).min().map(|(_, _, id)| id)
    }

    fn oldest_partial(&self) -> Option<ClientId> {
        let partial = self.connections.iter().filter(|(_, connection)| connection.has_only_partial_message());
        partial.map(|(id, connection)| (connection.last_activity, *id)).min().map(|(_, id)| id)
    }

    fn is_open(&self, client: ClientId) -> bool {
        self.connections.get(&client).is_some_and(|connection| connection.closing_until.is_none())
    }

    /// Queues all responses that the dispatcher has sent. Returns false if the dispatcher is gone.
    fn handle_responses(&mut self) -> bool {
        loop {
            match self.responses.try_recv() {
                Ok(response) => self.queue_response(response),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Queues a response and writes what the socket takes. Drops it if its call was cancelled meanwhile.
    fn queue_response(&mut self, response: PendingResponse) {
        let (client, call) = (response.client, response.call);
        let Some(connection) = self.connections.get_mut(&client) else { return };
        let open = connection.open_calls.get(&call.number);
        if open.is_none_or(|open| open.generation != call.generation) {
            return;
        }
        connection.open_calls.remove(&call.number);
        connection.queued_responses.push_back(response);
        if connection.is_throttled && connection.open_calls.len() < self.shared.limits.max_open_per_client {
            connection.is_throttled = false;
            self.readable.push(client);
        }
        self.write(client);
    }

    fn read(&mut self, client: ClientId) {
        let Some(connection) = self.connections.get_mut(&client) else { return };
        connection.unread_since.get_or_insert(self.unread_since);
        match connection.read(client, &self.shared, &mut self.log) {
            Ok(ReadProgress::MoreReadable) => self.readable.push(client),
            Ok(ReadProgress::Done) => {}
            Ok(ReadProgress::OutOfMemory) => {
                self.reclaim_memory(client);
                self.readable.push(client);
            }
            Err(reason) => self.close(client, reason),
        }
    }

    /// Frees memory for the incomplete message of a client, at the cost of one that waits for bytes of its own client: of
    /// those that hold the most memory, the one that has waited for longest. If there is none, at the cost of the client's
    /// own message. What pays is the message alone, never the connection and its open calls.
    fn reclaim_memory(&mut self, client: ClientId) {
        let others = self.connections.iter().filter(|(id, _)| **id != client);
        let holders = others.filter_map(|(id, connection)| {
            let (bytes, waiting_since) = connection.reclaimable_memory()?;
            Some((bytes, Reverse(waiting_since), *id))
        });
        let payer = holders.max().map_or(client, |(_, _, id)| id);
        let Some(connection) = self.connections.get_mut(&payer) else { return };
        self.log.warn(self.shared.clock.now(), || {
            format!("client {}: its incomplete message is discarded for lack of memory", connection.peer)
        });
        if let Err(reason) = connection.skip_message(&self.shared) {
            self.close(payer, reason);
        }
    }

    fn write(&mut self, client: ClientId) {
        let Some(connection) = self.connections.get_mut(&client) else { return };
        if let Err(reason) = connection.write(&self.shared) {
            self.close(client, reason);
        }
    }

    /// Closes connections whose message is not complete in time, that are idle for too long or that do not take their
    /// responses.
    fn sweep(&mut self, now: Ns) {
        let overdue = self.connections.keys().filter(|id| self.overdue_reason(**id, now).is_some());
        for client in overdue.copied().collect::<Vec<ClientId>>() {
            self.close_if_overdue(client, now);
        }
        let writing = self.connections.iter().filter(|(_, connection)| connection.current_response.is_some());
        let writing: Vec<ClientId> = writing.map(|(id, _)| *id).collect();
        writing.into_iter().for_each(|client| self.write(client));
    }

    fn overdue_reason(&self, client: ClientId, now: Ns) -> Option<CloseReason> {
        let is_stopping = self.is_shutting_down.load(Ordering::Acquire);
        self.connections.get(&client)?.overdue_reason(now, is_stopping, &self.shared)
    }

    /// Closes a connection one of whose timeouts has passed. One that is not closing yet is read first: it stays open if what
    /// has arrived is enough, or if more may have arrived than was read.
    fn close_if_overdue(&mut self, client: ClientId, now: Ns) {
        if self.is_open(client) {
            self.read(client);
            if self.readable.contains(&client) {
                return;
            }
        }
        let Some(reason) = self.overdue_reason(client, now) else { return };
        self.close(client, reason);
        counters::add(&self.shared.counters.idle_closed, usize::from(reason != CloseReason::Disconnected));
    }

    /// Closes a connection. If its client may still be there, the write side is shut down, and the client has
    /// `closing_timeout` to receive the bytes in transit. If more than `max_closing_clients` connections are closing, the
    /// one whose time ends first is dropped. A connection that is closing already is dropped at once.
    fn close(&mut self, client: ClientId, reason: CloseReason) {
        let Some(connection) = self.connections.get_mut(&client) else { return };
        if connection.closing_until.is_some() {
            self.closing_count -= 1;
            self.connections.remove(&client);
            return;
        }
        let now = self.shared.clock.now();
        if let CloseReason::Fault(fault) = reason {
            counters::add(&self.shared.counters.bad_messages, 1);
            self.log.warn(now, || format!("client {}: closed: {fault}", connection.peer));
        }
        counters::add(&self.shared.counters.unsent_answers, connection.unwritten_responses());
        connection.cancel_open_calls();
        let _ = self.shared.events.send(Event::ClientDisconnected { client });
        let has_gone = reason == CloseReason::Disconnected;
        if has_gone || connection.stream.shutdown(Shutdown::Write).is_err() {
            self.connections.remove(&client);
            return;
        }
        connection.begin_closing(now + self.shared.limits.closing_timeout, &self.shared);
        self.closing_count += 1;
        if self.closing_count > self.shared.limits.max_closing_clients {
            self.drop_oldest_closing();
        }
    }

    fn drop_oldest_closing(&mut self) {
        let closing =
            self.connections.iter().filter_map(|(id, connection)| Some((connection.closing_until?, *id)));
        if let Some((_, oldest)) = closing.min() {
            self.close(oldest, CloseReason::Disconnected);
        }
    }
}
