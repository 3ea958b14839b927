//! The client side: one thread holds all connections of clients. It waits for any of them to have something to
//! say or room for an answer, and never for one alone.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

use super::client_connection::{ClientConnection, CloseReason};
pub use super::response::{PendingResponse, Response};
use crate::clock::NS_PER_MS;
use crate::counters;
use crate::events::{CallId, ClientId, Event};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::{is_failed_connection, is_would_block};
use crate::shared::SharedContext;
use crate::stall_detector::StallDetector;

const LISTENER: Token = Token(usize::MAX);
const REPLIES: Token = Token(usize::MAX - 1);

/// The desk's way to the clients.
pub struct ResponseSender {
    replies: Sender<PendingResponse>,
    waker: Waker,
    finishing: Arc<AtomicBool>,
}

impl ResponseSender {
    /// Hands an answer over; it comes back if there are more than can be kept just now.
    pub fn send(&self, reply: PendingResponse) -> Result<(), PendingResponse> {
        let told = match self.replies.try_send(reply) {
            Err(TrySendError::Full(reply)) => Err(reply),
            // Without the clients' thread nobody is owed anything.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        };
        // It wakes by itself before long.
        let _ = self.waker.wake();
        told
    }

    /// No more clients are taken; each connection ends once nothing is open on it.
    pub fn begin_shutdown(&self) {
        self.finishing.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}

pub struct ClientServer {
    poll: Poll,
    /// None once the program ends.
    listener: Option<TcpListener>,
    replies: Receiver<PendingResponse>,
    of: Arc<SharedContext>,
    open: BTreeMap<ClientId, ClientConnection>,
    /// How many of those are ending.
    ending: usize,
    next: ClientId,
    finishing: Arc<AtomicBool>,
    /// Connections that have more to say than their share.
    more: Vec<ClientId>,
    /// When connections are taken again, after that could not be done.
    accept_at: Option<Ns>,
    /// One that was taken and can't be watched yet.
    unwatched: Option<(TcpStream, SocketAddr)>,
    /// Since when connections may wait to be taken.
    untaken_since: Option<Ns>,
    stalls: StallDetector,
    /// Since when what is read now may have lain unread.
    heard_at: Ns,
    /// When it was first told to finish.
    finishing_since: Option<Ns>,
    log: LogRateLimiter,
}

impl ClientServer {
    pub fn bind(at: SocketAddr, of: &Arc<SharedContext>) -> io::Result<(ClientServer, ResponseSender)> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(at)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (replies, from_desk) = bounded(of.limits.response_queue_length);
        let finishing = Arc::new(AtomicBool::new(false));
        let waker = Waker::new(poll.registry(), REPLIES)?;
        let outlet = ResponseSender { replies, waker, finishing: Arc::clone(&finishing) };
        let clients = ClientServer {
            poll,
            listener: Some(listener),
            replies: from_desk,
            of: Arc::clone(of),
            open: BTreeMap::new(),
            ending: 0,
            next: 0,
            finishing,
            more: Vec::new(),
            accept_at: None,
            unwatched: None,
            untaken_since: None,
            stalls: StallDetector::new(of.clock.now()),
            heard_at: of.clock.now(),
            finishing_since: None,
            log: LogRateLimiter::default(),
        };
        Ok((clients, outlet))
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().ok_or(ErrorKind::NotConnected)?.local_addr()
    }

    /// Serves until it has finished, or the desk is gone.
    pub fn run(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.max_messages_per_turn);
        let mut sweep = self.of.clock.now();
        loop {
            let next = self.accept_at.map_or(sweep, |at| at.min(sweep));
            let wait = if self.more.is_empty() { self.of.clock.until(next) } else { Default::default() };
            let wait = wait.min(Duration::from_nanos(limits.max_poll_wait));
            let entered = self.of.clock.now();
            let polled = self.poll.poll(&mut events, Some(wait));
            if let Err(e) = &polled
                && !is_would_block(e)
            {
                return tracing::error!("connections of clients: {e}");
            }
            let woke = self.woken(entered, wait, polled.is_err());
            let mut again = std::mem::take(&mut self.more);
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    REPLIES => {}
                    Token(client) => {
                        if event.is_writable() {
                            self.write(client as ClientId);
                        }
                        again.push(client as ClientId);
                    }
                }
            }
            if !self.replied() {
                return;
            }
            again.sort_unstable();
            again.dedup();
            again.into_iter().for_each(|client| self.read(client));
            // With more events than one wait tells, others may have gone that were not looked at.
            if polled.is_ok() && events.iter().count() < limits.max_messages_per_turn {
                self.of.record_clients_checked(woke);
            }
            let now = self.of.clock.now();
            if self.accept_at.is_some_and(|at| now >= at) {
                self.accept();
            }
            let finishing = self.finishing.load(Ordering::Acquire);
            if now >= sweep || finishing {
                sweep = now + if finishing { limits.shutdown_poll_interval } else { limits.sweep_interval };
                self.sweep(now);
                self.accept();
            }
            if finishing && self.finished() {
                let _ = self.of.events.send(Event::ClientsFinished);
                return;
            }
        }
    }

    /// A wait is over: since when what is read now may have lain unread. The time now.
    fn woken(&mut self, entered: Ns, wait: Duration, interrupted: bool) -> Ns {
        let now = self.of.clock.now();
        let unread = self.stalls.on_wakeup(entered, wait, now, interrupted);
        self.heard_at = now.saturating_sub(unread);
        if unread > 0 {
            counters::add(&self.of.counters.stalls, 1);
            tracing::debug!("stood still for up to {} ms", unread / NS_PER_MS);
        }
        now
    }

    /// Takes no more connections and ends those on which nothing is open; whether none is left.
    fn finished(&mut self) -> bool {
        let now = self.of.clock.now();
        let since = *self.finishing_since.get_or_insert(now);
        // Those that wait to be taken are owed an answer, as long as they can be taken before long.
        if self.accept_at.is_none() || now >= since + self.of.limits.partial_message_timeout {
            self.listener = None;
            self.unwatched = None;
        }
        let resting = self.open.iter().filter(|(_, c)| c.is_idle());
        for client in resting.map(|(id, _)| *id).collect::<Vec<ClientId>>() {
            self.rest(client);
        }
        self.open.is_empty() && self.listener.is_none()
    }

    /// Ends a connection on which nothing is open, unless something has come on it that is not read yet: that
    /// would be owed an answer.
    fn rest(&mut self, client: ClientId) {
        self.read(client);
        if self.open.get(&client).is_some_and(ClientConnection::is_idle) {
            self.close(client, CloseReason::Idle);
        }
    }

    /// The next connection that waits to come in. Where none can be taken for a moment, the next try is set.
    fn next_connection(&mut self) -> Option<(TcpStream, SocketAddr)> {
        if let Some(taken) = self.unwatched.take() {
            return Some(taken);
        }
        let listener = self.listener.as_ref()?;
        for _ in 0..self.of.limits.max_messages_per_turn {
            match listener.accept() {
                Ok(taken) => return Some(taken),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.untaken_since = None;
                    return None;
                }
                // That one has failed already; others may wait behind it.
                Err(e) if is_failed_connection(&e) => {}
                Err(e) => {
                    self.log.warn(self.of.clock.now(), || format!("accept failed: {e}"));
                    break;
                }
            }
        }
        self.accept_later();
        None
    }

    fn accept_later(&mut self) {
        counters::add(&self.of.counters.shortages, 1);
        self.untaken_since.get_or_insert(self.heard_at);
        self.accept_at = Some(self.of.clock.now() + self.of.limits.shortage_retry_interval);
    }

    /// Takes all that wait to come in. With all slots taken the longest idle connection makes room: of those that
    /// never said anything whole, but had the time to, before all others. One that waits for an answer never
    /// does; with none idle the newcomer has to go. Guards against clients that hold slots; harms one that
    /// would have asked again just then.
    fn accept(&mut self) {
        self.accept_at = None;
        while let Some((mut stream, peer)) = self.next_connection() {
            let (now, client) = (self.of.clock.now(), self.next);
            if !self.has_place(now) {
                counters::add(&self.of.counters.rejected_connections, 1);
                continue;
            }
            let interest = Interest::READABLE | Interest::WRITABLE;
            let token = Token(client as usize);
            if let Err(e) = self.poll.registry().register(&mut stream, token, interest) {
                // What it asks is owed an answer: it is kept until it can be watched.
                self.log.warn(now, || format!("client {peer} waits: {e}"));
                let unregistered = TcpStream::from_std(stream.into());
                self.unwatched = Some((unregistered, peer));
                return self.accept_later();
            }
            // Without it answers are but slower.
            let _ = stream.set_nodelay(true);
            let connection = ClientConnection::new(stream, peer, self.untaken_since, &self.of);
            counters::add(&self.of.counters.clients, 1);
            self.next += 1;
            self.open.insert(client, connection);
        }
    }

    /// Whether there is a place for one more, made if need be.
    fn has_place(&mut self, now: Ns) -> bool {
        let settled = now.saturating_sub(self.of.limits.new_client_grace);
        while self.open.len() - self.ending >= self.of.limits.max_client_connections {
            let resting = self.open.iter().filter(|(_, c)| c.is_idle());
            let longest = resting
                .map(|(id, c)| (c.has_sent_message || c.last_activity > settled, c.last_activity, *id))
                .min();
            let half_heard = self.open.iter().filter(|(_, c)| c.has_only_partial_message());
            let half_heard = half_heard.map(|(id, c)| (c.last_activity, *id)).min();
            let longest = match (longest, half_heard) {
                (Some((_, _, longest)), _) => {
                    // One that has just said something stays, and the next one is looked at.
                    self.rest(longest);
                    longest
                }
                (None, Some((_, half))) => {
                    self.close(half, CloseReason::ProtocolError("half a message, and no place left"));
                    half
                }
                (None, None) => return false,
            };
            let stays = self.open.get(&longest).is_some_and(|c| c.closing_until.is_none());
            counters::add(&self.of.counters.evicted_for_room, usize::from(!stays));
        }
        true
    }

    /// Takes answers over from the desk; false once that is gone.
    fn replied(&mut self) -> bool {
        loop {
            let reply = match self.replies.try_recv() {
                Ok(reply) => reply,
                Err(e) => return e.is_empty(),
            };
            let client = reply.client;
            // What was withdrawn meanwhile is not owed any more.
            let open = self.open.get_mut(&client);
            let CallId { number, generation: turn } = reply.call;
            let owed =
                |c: &ClientConnection| c.open_calls.get(&number).is_some_and(|(open, _)| *open == turn);
            let Some(connection) = open.filter(|c| owed(c)) else { continue };
            connection.open_calls.remove(&number);
            connection.queued_responses.push_back(reply);
            if connection.is_throttled && connection.open_calls.len() < self.of.limits.max_open_per_client {
                connection.is_throttled = false;
                self.more.push(client);
            }
            self.write(client);
        }
    }

    fn read(&mut self, client: ClientId) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        connection.unread_since.get_or_insert(self.heard_at);
        match connection.read(client, &self.of, &mut self.log) {
            Ok(true) => self.more.push(client),
            Ok(false) => {}
            Err(why) => self.close(client, why),
        }
    }

    fn write(&mut self, client: ClientId) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        if let Err(why) = connection.write(&self.of) {
            self.close(client, why);
        }
    }

    /// Closes what says nothing whole in its time, or nothing more, and what takes no answers.
    fn sweep(&mut self, now: Ns) {
        let late: Vec<(ClientId, CloseReason)> =
            self.open.iter().filter_map(|(id, c)| Some((*id, c.overdue_reason(now, &self.of)?))).collect();
        for (client, why) in late {
            if why == CloseReason::Idle {
                self.rest(client);
            } else {
                self.close(client, why);
            }
            let stays = self.open.get(&client).is_some_and(|c| c.closing_until.is_none());
            counters::add(
                &self.of.counters.idle_closed,
                usize::from(!stays && why != CloseReason::Disconnected),
            );
        }
        let waiting = self.open.iter().filter(|(_, c)| c.current_response.is_some()).map(|(id, _)| *id);
        waiting.collect::<Vec<ClientId>>().into_iter().for_each(|client| self.write(client));
    }

    /// Ends a connection. Unless its client has gone, it is told that no more comes and has some time to take what
    /// is under way; past a bound of such connections the one that has had most of it is cut.
    fn close(&mut self, client: ClientId, why: CloseReason) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        if connection.closing_until.is_some() {
            self.ending -= 1;
            self.open.remove(&client);
            return;
        }
        let now = self.of.clock.now();
        if let CloseReason::ProtocolError(why) = why {
            counters::add(&self.of.counters.bad_messages, 1);
            self.log.warn(now, || format!("client {}: closed: {why}", connection.peer));
        }
        let unsent = connection.queued_responses.len() + usize::from(connection.current_response.is_some());
        counters::add(&self.of.counters.unsent_answers, unsent);
        connection.open_calls.values().for_each(|(_, withdrawn)| withdrawn.cancel());
        let _ = self.of.events.send(Event::ClientDisconnected { client });
        if why == CloseReason::Disconnected || connection.stream.shutdown(Shutdown::Write).is_err() {
            self.open.remove(&client);
            return;
        }
        connection.begin_closing(now + self.of.limits.closing_timeout, &self.of);
        self.ending += 1;
        let all = self.open.iter().filter_map(|(id, c)| Some((c.closing_until?, *id)));
        if self.ending > self.of.limits.max_closing_clients
            && let Some((_, first)) = all.min()
        {
            self.close(first, CloseReason::Disconnected);
        }
    }
}
