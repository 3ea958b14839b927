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

use super::connection::{Connection, Over};
pub use super::reply::{Reply, Say};
use crate::common::Common;
use crate::exchange::{Call, Client, Event};
use crate::plain::clock::MS;
use crate::plain::counters;
use crate::plain::os_error::{is_failed_connection, is_pause};
use crate::plain::sparing::Sparing;
use crate::plain::stall::StallWatch;

const LISTENER: Token = Token(usize::MAX);
const REPLIES: Token = Token(usize::MAX - 1);

/// The desk's way to the clients.
pub struct Outlet {
    replies: Sender<Reply>,
    waker: Waker,
    finishing: Arc<AtomicBool>,
}

impl Outlet {
    /// Hands an answer over; it comes back if there are more than can be kept just now.
    pub fn tell(&self, reply: Reply) -> Result<(), Reply> {
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
    pub fn finish(&self) {
        self.finishing.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}

pub struct Clients {
    poll: Poll,
    /// None once the program ends.
    listener: Option<TcpListener>,
    replies: Receiver<Reply>,
    of: Arc<Common>,
    open: BTreeMap<Client, Connection>,
    /// How many of those are ending.
    ending: usize,
    next: Client,
    finishing: Arc<AtomicBool>,
    /// Connections that have more to say than their share.
    more: Vec<Client>,
    /// When connections are taken again, after that could not be done.
    accept_at: Option<Ns>,
    /// One that was taken and can't be watched yet.
    unwatched: Option<(TcpStream, SocketAddr)>,
    /// Since when connections may wait to be taken.
    untaken_since: Option<Ns>,
    stalls: StallWatch,
    /// Since when what is read now may have lain unread.
    heard_at: Ns,
    /// When it was first told to finish.
    finishing_since: Option<Ns>,
    log: Sparing,
}

impl Clients {
    pub fn listen(at: SocketAddr, of: &Arc<Common>) -> io::Result<(Clients, Outlet)> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(at)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (replies, from_desk) = bounded(of.limits.replies);
        let finishing = Arc::new(AtomicBool::new(false));
        let waker = Waker::new(poll.registry(), REPLIES)?;
        let outlet = Outlet { replies, waker, finishing: Arc::clone(&finishing) };
        let clients = Clients {
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
            stalls: StallWatch::begin(of.clock.now()),
            heard_at: of.clock.now(),
            finishing_since: None,
            log: Sparing::default(),
        };
        Ok((clients, outlet))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().ok_or(ErrorKind::NotConnected)?.local_addr()
    }

    /// Serves until it has finished, or the desk is gone.
    pub fn serve(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.turns);
        let mut sweep = self.of.clock.now();
        loop {
            let next = self.accept_at.map_or(sweep, |at| at.min(sweep));
            let wait = if self.more.is_empty() { self.of.clock.until(next) } else { Default::default() };
            let wait = wait.min(Duration::from_nanos(limits.longest_wait));
            let entered = self.of.clock.now();
            let polled = self.poll.poll(&mut events, Some(wait));
            if let Err(e) = &polled
                && !is_pause(e)
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
                            self.write(client as Client);
                        }
                        again.push(client as Client);
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
            if polled.is_ok() && events.iter().count() < limits.turns {
                self.of.clients_heard(woke);
            }
            let now = self.of.clock.now();
            if self.accept_at.is_some_and(|at| now >= at) {
                self.accept();
            }
            let finishing = self.finishing.load(Ordering::Acquire);
            if now >= sweep || finishing {
                sweep = now + if finishing { limits.stop_poll } else { limits.sweep };
                self.sweep(now);
                self.accept();
            }
            if finishing && self.finished() {
                let _ = self.of.events.send(Event::Finished);
                return;
            }
        }
    }

    /// A wait is over: since when what is read now may have lain unread. The time now.
    fn woken(&mut self, entered: Ns, wait: Duration, interrupted: bool) -> Ns {
        let now = self.of.clock.now();
        let unread = self.stalls.woken(entered, wait, now, interrupted);
        self.heard_at = now.saturating_sub(unread);
        if unread > 0 {
            counters::add(&self.of.counters.stalls, 1);
            tracing::debug!("stood still for up to {} ms", unread / MS);
        }
        now
    }

    /// Takes no more connections and ends those on which nothing is open; whether none is left.
    fn finished(&mut self) -> bool {
        let now = self.of.clock.now();
        let since = *self.finishing_since.get_or_insert(now);
        // Those that wait to be taken are owed an answer, as long as they can be taken before long.
        if self.accept_at.is_none() || now >= since + self.of.limits.half_said {
            self.listener = None;
            self.unwatched = None;
        }
        let resting = self.open.iter().filter(|(_, c)| c.is_resting());
        for client in resting.map(|(id, _)| *id).collect::<Vec<Client>>() {
            self.rest(client);
        }
        self.open.is_empty() && self.listener.is_none()
    }

    /// Ends a connection on which nothing is open, unless something has come on it that is not read yet: that
    /// would be owed an answer.
    fn rest(&mut self, client: Client) {
        self.read(client);
        if self.open.get(&client).is_some_and(Connection::is_resting) {
            self.close(client, Over::Resting);
        }
    }

    /// The next connection that waits to come in. Where none can be taken for a moment, the next try is set.
    fn next_connection(&mut self) -> Option<(TcpStream, SocketAddr)> {
        if let Some(taken) = self.unwatched.take() {
            return Some(taken);
        }
        let listener = self.listener.as_ref()?;
        for _ in 0..self.of.limits.turns {
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
        self.accept_at = Some(self.of.clock.now() + self.of.limits.shortage_pause);
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
                counters::add(&self.of.counters.turned_away, 1);
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
            let connection = Connection::new(stream, peer, self.untaken_since, &self.of);
            counters::add(&self.of.counters.clients, 1);
            self.next += 1;
            self.open.insert(client, connection);
        }
    }

    /// Whether there is a place for one more, made if need be.
    fn has_place(&mut self, now: Ns) -> bool {
        let settled = now.saturating_sub(self.of.limits.settled);
        while self.open.len() - self.ending >= self.of.limits.clients {
            let resting = self.open.iter().filter(|(_, c)| c.is_resting());
            let longest = resting.map(|(id, c)| (c.spoke || c.since > settled, c.since, *id)).min();
            let half_heard = self.open.iter().filter(|(_, c)| c.is_half_heard());
            let half_heard = half_heard.map(|(id, c)| (c.since, *id)).min();
            let longest = match (longest, half_heard) {
                (Some((_, _, longest)), _) => {
                    // One that has just said something stays, and the next one is looked at.
                    self.rest(longest);
                    longest
                }
                (None, Some((_, half))) => {
                    self.close(half, Over::Fault("half a message, and no place left"));
                    half
                }
                (None, None) => return false,
            };
            let stays = self.open.get(&longest).is_some_and(|c| c.ending.is_none());
            counters::add(&self.of.counters.made_room, usize::from(!stays));
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
            let Call { number, turn } = reply.call;
            let owed = |c: &Connection| c.calls.get(&number).is_some_and(|(open, _)| *open == turn);
            let Some(connection) = open.filter(|c| owed(c)) else { continue };
            connection.calls.remove(&number);
            connection.answers.push_back(reply);
            if connection.throttled && connection.calls.len() < self.of.limits.open_a_client {
                connection.throttled = false;
                self.more.push(client);
            }
            self.write(client);
        }
    }

    fn read(&mut self, client: Client) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        connection.unread_since.get_or_insert(self.heard_at);
        match connection.read(client, &self.of, &mut self.log) {
            Ok(true) => self.more.push(client),
            Ok(false) => {}
            Err(why) => self.close(client, why),
        }
    }

    fn write(&mut self, client: Client) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        if let Err(why) = connection.write(&self.of) {
            self.close(client, why);
        }
    }

    /// Closes what says nothing whole in its time, or nothing more, and what takes no answers.
    fn sweep(&mut self, now: Ns) {
        let late: Vec<(Client, Over)> =
            self.open.iter().filter_map(|(id, c)| Some((*id, c.late(now, &self.of)?))).collect();
        for (client, why) in late {
            if why == Over::Resting {
                self.rest(client);
            } else {
                self.close(client, why);
            }
            let stays = self.open.get(&client).is_some_and(|c| c.ending.is_none());
            counters::add(&self.of.counters.idle_closed, usize::from(!stays && why != Over::Gone));
        }
        let waiting = self.open.iter().filter(|(_, c)| c.writing.is_some()).map(|(id, _)| *id);
        waiting.collect::<Vec<Client>>().into_iter().for_each(|client| self.write(client));
    }

    /// Ends a connection. Unless its client has gone, it is told that no more comes and has some time to take what
    /// is under way; past a bound of such connections the one that has had most of it is cut.
    fn close(&mut self, client: Client, why: Over) {
        let Some(connection) = self.open.get_mut(&client) else { return };
        if connection.ending.is_some() {
            self.ending -= 1;
            self.open.remove(&client);
            return;
        }
        let now = self.of.clock.now();
        if let Over::Fault(why) = why {
            counters::add(&self.of.counters.bad_messages, 1);
            self.log.warn(now, || format!("client {}: closed: {why}", connection.peer));
        }
        let unsent = connection.answers.len() + usize::from(connection.writing.is_some());
        counters::add(&self.of.counters.unsent, unsent);
        connection.calls.values().for_each(|(_, withdrawn)| withdrawn.say());
        let _ = self.of.events.send(Event::Left { client });
        if why == Over::Gone || connection.stream.shutdown(Shutdown::Write).is_err() {
            self.open.remove(&client);
            return;
        }
        connection.end_by(now + self.of.limits.last_bytes, &self.of);
        self.ending += 1;
        let all = self.open.iter().filter_map(|(id, c)| Some((c.ending?, *id)));
        if self.ending > self.of.limits.ending
            && let Some((_, first)) = all.min()
        {
            self.close(first, Over::Gone);
        }
    }
}
