//! The thread that holds all connections of clients. It waits for any of them to have sent something or to have room
//! for a response, and never for one alone.

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
use super::client_connection::{ClientConnection, ClientFault, CloseReason};
use super::response::PendingResponse;
use super::response_sender::ResponseSender;
use crate::clock::NS_PER_MS;
use crate::counters;
use crate::events::{ClientId, Event};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_would_block;
use crate::shared::SharedContext;
use crate::stall_detector::StallDetector;

const LISTENER: Token = Token(usize::MAX);
const RESPONSES: Token = Token(usize::MAX - 1);

/// All connections of clients.
pub(crate) struct ClientServer {
    poll: Poll,
    acceptor: ClientAcceptor,
    responses: Receiver<PendingResponse>,
    shared: Arc<SharedContext>,
    connections: BTreeMap<ClientId, ClientConnection>,
    /// How many of those are closing.
    closing_count: usize,
    next_id: ClientId,
    is_shutting_down: Arc<AtomicBool>,
    /// Connections of which no more than their share was read.
    readable: Vec<ClientId>,
    stalls: StallDetector,
    /// Since when what is read now may have lain unread.
    unread_since: Ns,
    /// When it was first seen that the program ends.
    shutdown_seen_at: Option<Ns>,
    log: LogRateLimiter,
}

impl ClientServer {
    /// Listens at an address; the server, and the way to it.
    pub(crate) fn bind(
        address: SocketAddr,
        shared: &Arc<SharedContext>,
    ) -> io::Result<(ClientServer, ResponseSender)> {
        let poll = Poll::new()?;
        let acceptor = ClientAcceptor::bind(address, poll.registry(), LISTENER, shared)?;
        let (responses, from_dispatcher) = bounded(shared.limits.response_queue_length);
        let is_shutting_down = Arc::new(AtomicBool::new(false));
        let waker = Waker::new(poll.registry(), RESPONSES)?;
        let sender = ResponseSender::new(responses, waker, Arc::clone(&is_shutting_down));
        let server = ClientServer {
            poll,
            acceptor,
            responses: from_dispatcher,
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

    /// The address at which it listens.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.acceptor.local_addr()
    }

    /// Serves until a shutdown is complete, or the dispatcher is gone.
    pub(crate) fn run(mut self) {
        // One wait reports all connections, so that none has news which counts from a later one.
        let capacity = self.max_watched() + 1;
        let mut events = Events::with_capacity(capacity);
        let mut next_sweep = self.shared.clock.now();
        loop {
            let wait = self.poll_timeout(next_sweep);
            let entered = self.shared.clock.now();
            let polled = self.poll.poll(&mut events, Some(wait));
            if let Err(e) = &polled
                && !is_would_block(e)
            {
                return tracing::error!("connections of clients: {e}");
            }
            let has_reported_all = polled.is_ok() && events.iter().count() < capacity;
            let woke = self.on_wakeup(entered, wait, has_reported_all);
            if polled.is_ok() && events.is_empty() {
                let planned = u64::try_from(wait.as_nanos()).unwrap_or(Ns::MAX);
                self.shared.record_wakeup_delay(woke.saturating_sub(entered).saturating_sub(planned));
            }
            let mut readable = self.handle_socket_events(&events);
            if !self.handle_responses() {
                return;
            }
            // Those that were accepted in this turn are looked at in it: their clients may have gone already.
            readable.append(&mut self.readable);
            self.read_all(readable);
            // After a stop others may have gone that this wait has not reported.
            if has_reported_all && !self.stalls.must_look_again() {
                self.shared.record_clients_checked(woke);
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

    /// How many sockets and wakers may be watched at once.
    fn max_watched(&self) -> usize {
        let limits = &self.shared.limits;
        limits.max_client_connections + limits.max_closing_clients + [LISTENER, RESPONSES].len()
    }

    fn poll_timeout(&self, next_sweep: Ns) -> Duration {
        if !self.readable.is_empty() || self.stalls.must_look_again() {
            return Duration::ZERO;
        }
        let next = self.acceptor.retry_at().map_or(next_sweep, |at| at.min(next_sweep));
        self.shared.clock.until(next).min(Duration::from_nanos(self.shared.limits.max_poll_wait))
    }

    /// A wait is over: since when what is read now may have lain unread. The time now.
    fn on_wakeup(&mut self, entered: Ns, wait: Duration, has_reported_all: bool) -> Ns {
        let now = self.shared.clock.now();
        let unread = self.stalls.on_wakeup(entered, wait, now, has_reported_all);
        self.unread_since = now.saturating_sub(unread);
        if unread > 0 {
            counters::add(&self.shared.counters.stalls, 1);
            tracing::debug!("stalled for up to {} ms", unread / NS_PER_MS);
        }
        now
    }

    /// Accepts and writes where there is room; the connections that are to be read.
    fn handle_socket_events(&mut self, events: &Events) -> Vec<ClientId> {
        let mut readable = std::mem::take(&mut self.readable);
        for event in events {
            match event.token() {
                LISTENER => self.accept(),
                RESPONSES => {}
                Token(client) => {
                    if event.is_writable() {
                        self.write(client as ClientId);
                    }
                    readable.push(client as ClientId);
                }
            }
        }
        readable
    }

    fn read_all(&mut self, mut clients: Vec<ClientId>) {
        clients.sort_unstable();
        clients.dedup();
        clients.into_iter().for_each(|client| self.read(client));
    }

    /// Accepts no more connections and ends those on which nothing is open; whether none is left.
    fn advance_shutdown(&mut self) -> bool {
        let now = self.shared.clock.now();
        let since = *self.shutdown_seen_at.get_or_insert(now);
        // Those that wait to be accepted are owed an answer, as long as they can be accepted before long.
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

    /// Ends a connection on which nothing is open, unless something has come on it that is not read yet: that would be
    /// owed an answer.
    fn close_if_idle(&mut self, client: ClientId) {
        self.read(client);
        if self.connections.get(&client).is_some_and(ClientConnection::is_idle) {
            self.close(client, CloseReason::Idle);
        }
    }

    /// Accepts all connections that wait. One for which there is no place is closed.
    fn accept(&mut self) {
        self.acceptor.begin_accepting();
        while let Some((stream, peer)) = self.acceptor.accept(self.unread_since, &mut self.log) {
            if !self.make_place(self.shared.clock.now()) {
                counters::add(&self.shared.counters.rejected_connections, 1);
                continue;
            }
            if !self.register(stream, peer) {
                return;
            }
        }
    }

    /// Takes a connection in; false if it can't be watched for a moment.
    fn register(&mut self, mut stream: TcpStream, peer: SocketAddr) -> bool {
        let client = self.next_id;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Token(client as usize);
        if let Err(e) = self.poll.registry().register(&mut stream, token, interest) {
            self.log.warn(self.shared.clock.now(), || format!("client {peer} waits: {e}"));
            self.acceptor.keep_unregistered(stream, peer, self.unread_since);
            return false;
        }
        // Without it responses are but slower.
        let _ = stream.set_nodelay(true);
        // What it has sent came after the connection itself, which may have waited for as long as anything in this turn.
        let unread_since = self.acceptor.waiting_since().unwrap_or(self.unread_since);
        let connection = ClientConnection::new(stream, peer, Some(unread_since), &self.shared);
        counters::add(&self.shared.counters.clients, 1);
        self.next_id += 1;
        self.connections.insert(client, connection);
        self.readable.push(client);
        true
    }

    /// Whether there is a place for one more connection, made if need be: by closing the one that has been idle for
    /// longest, of those that never sent a complete message but had the time to before all others; then one that sent
    /// only a part of its first message. One that waits for an answer never makes room.
    ///
    /// Guards against clients that hold places; harms one that would have asked again just then.
    fn make_place(&mut self, now: Ns) -> bool {
        while self.connections.len() - self.closing_count >= self.shared.limits.max_client_connections {
            let evicted = if let Some(idle) = self.longest_idle(now) {
                // One that has just sent something stays, and the next one is looked at.
                self.close_if_idle(idle);
                idle
            } else if let Some(partial) = self.oldest_partial() {
                self.close(partial, CloseReason::Fault(ClientFault::PartialMessageEvicted));
                partial
            } else {
                return false;
            };
            counters::add(&self.shared.counters.evicted_for_room, usize::from(!self.is_open(evicted)));
        }
        true
    }

    fn longest_idle(&self, now: Ns) -> Option<ClientId> {
        let settled = now.saturating_sub(self.shared.limits.new_client_grace);
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let order = |(id, connection): (&ClientId, &ClientConnection)| {
            let is_late_choice = connection.has_sent_message || connection.last_activity > settled;
            (is_late_choice, connection.last_activity, *id)
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

    /// Takes responses over from the dispatcher; false once that is gone.
    fn handle_responses(&mut self) -> bool {
        loop {
            match self.responses.try_recv() {
                Ok(response) => self.queue_response(response),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Queues and writes a response, unless its call was cancelled meanwhile.
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
            Ok(true) => self.readable.push(client),
            Ok(false) => {}
            Err(reason) => self.close(client, reason),
        }
    }

    fn write(&mut self, client: ClientId) {
        let Some(connection) = self.connections.get_mut(&client) else { return };
        if let Err(reason) = connection.write(&self.shared) {
            self.close(client, reason);
        }
    }

    /// Closes what sends nothing complete in its time, or nothing more, and what takes no responses.
    fn sweep(&mut self, now: Ns) {
        let overdue = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((*id, connection.overdue_reason(now, &self.shared)?)));
        for (client, reason) in overdue.collect::<Vec<(ClientId, CloseReason)>>() {
            if reason == CloseReason::Idle {
                self.close_if_idle(client);
            } else {
                self.close(client, reason);
            }
            let is_counted = !self.is_open(client) && reason != CloseReason::Disconnected;
            counters::add(&self.shared.counters.idle_closed, usize::from(is_counted));
        }
        let writing = self.connections.iter().filter(|(_, connection)| connection.current_response.is_some());
        let writing: Vec<ClientId> = writing.map(|(id, _)| *id).collect();
        writing.into_iter().for_each(|client| self.write(client));
    }

    /// Ends a connection. Unless its client has gone, its write side is shut and it has some time to take what is
    /// under way; past a bound of such connections the one that has had most of its time is cut.
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
            self.cut_first_closing();
        }
    }

    fn cut_first_closing(&mut self) {
        let closing =
            self.connections.iter().filter_map(|(id, connection)| Some((connection.closing_until?, *id)));
        if let Some((_, first)) = closing.min() {
            self.close(first, CloseReason::Disconnected);
        }
    }
}
