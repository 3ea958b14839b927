//! The client side: one thread holds all connections of clients. It waits for any of them to have something to
//! say or room for an answer, and never for one alone.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

use super::intake::{Intake, paused};
use super::rpc::{self, Flaw, Message};
use super::write_on;
use crate::common::Common;
use crate::exchange::{Asked, Client, Event};
use crate::plain::bodies::Body;
use crate::plain::clock::MS;
use crate::plain::counters;

/// What a client is told, and until when it listens.
pub struct Reply {
    pub client: Client,
    pub call: u32,
    pub until: Ns,
    pub say: Say,
}

pub enum Say {
    /// Without a body: the client's copy is the one.
    Satisfied(Option<Arc<Body>>),
    Nacked {
        pause_ms: u64,
    },
    Failed,
    Alive(bool),
}

const LISTENER: Token = Token(usize::MAX);
const REPLIES: Token = Token(usize::MAX - 1);

/// The desk's way to the clients.
pub struct Outlet {
    replies: Sender<Reply>,
    waker: Waker,
}

impl Outlet {
    /// Hands an answer over; false if there are more than can be kept.
    pub fn tell(&self, reply: Reply) -> bool {
        let told = !matches!(self.replies.try_send(reply), Err(TrySendError::Full(_)));
        // It wakes by itself before long.
        let _ = self.waker.wake();
        told
    }

    /// No more comes.
    pub fn close(self) {
        drop(self.replies);
        let _ = self.waker.wake();
    }
}

/// An answer that has begun to be written.
struct Writing {
    frame: rpc::Frame,
    body: Option<Arc<Body>>,
    written: usize,
    until: Ns,
}

impl Writing {
    fn of(reply: Reply) -> Writing {
        let call = reply.call;
        let whole = |bytes: Vec<u8>| rpc::Frame { before: bytes, after: Vec::new() };
        let (frame, body) = match reply.say {
            Say::Satisfied(body) => {
                let length = body.as_ref().map_or(0, |b| b.bytes().len());
                (rpc::satisfied(call, length, body.is_none()), body)
            }
            Say::Nacked { pause_ms: 0 } => (whole(rpc::error(call, "Rejected", &[])), None),
            Say::Nacked { pause_ms } => {
                (whole(rpc::error(call, "Rejected", &[("backoff", &pause_ms.to_string())])), None)
            }
            Say::Failed => (whole(rpc::error(call, "Failed", &[])), None),
            Say::Alive(alive) => (whole(rpc::alive(call, alive)), None),
        };
        Writing { frame, body, written: 0, until: reply.until }
    }

    fn body(&self) -> &[u8] {
        self.body.as_deref().map_or(&[], |b| b.bytes())
    }

    /// Writes on in one go; whether that was all.
    fn on(&mut self, to: &TcpStream) -> io::Result<bool> {
        let body = self.body.as_deref().map_or(&[][..], |b| b.bytes());
        let mut parts =
            [IoSlice::new(&self.frame.before), IoSlice::new(body), IoSlice::new(&self.frame.after)];
        write_on(to, &mut parts, &mut self.written)
    }
}

/// Why a connection ends.
type Over = &'static str;

struct Connection {
    stream: TcpStream,
    intake: Intake,
    /// The numbers of what it waits for.
    calls: HashSet<u32>,
    answers: VecDeque<Reply>,
    writing: Option<Writing>,
    /// When it came, said something whole or was answered last.
    since: Ns,
    /// Whether it ever said something whole.
    spoke: bool,
    /// By when the message that has begun must be whole.
    whole_by: Option<Ns>,
    unfit: usize,
}

impl Connection {
    fn idle(&self) -> bool {
        self.calls.is_empty() && self.answers.is_empty() && self.writing.is_none()
    }

    /// Passes on what it asks, up to a share; whether there may be more at once. Ends at bytes that are no
    /// message, or after too many messages that can't be used.
    fn read(&mut self, client: Client, of: &Common) -> Result<bool, Over> {
        for _ in 0..of.limits.turns {
            match rpc::read(self.intake.seen(), &of.names, &of.limits) {
                Ok((message, length)) => {
                    let event = event(client, message, of);
                    self.intake.used(length);
                    (self.since, self.spoke, self.whole_by) = (of.clock.now(), true, None);
                    self.note(&event, of)?;
                    // The desk outlives all connections, but for the end of the program.
                    of.events.send(event).map_err(|_| "the desk has gone")?;
                }
                Err(Flaw::Bad(why)) => return Err(why),
                Err(Flaw::Short) => {
                    if self.whole_by.is_none() && !self.intake.seen().is_empty() {
                        self.whole_by = Some(of.clock.now() + of.limits.half_said);
                    }
                    match self.intake.more(&self.stream) {
                        Ok(true) => {}
                        Ok(false) => return Err(""),
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(e) if paused(&e) => return Ok(false),
                        Err(e) if e.kind() == ErrorKind::InvalidData => return Err("message too long"),
                        Err(e) if e.kind() == ErrorKind::OutOfMemory => {
                            return Err("no room for its message");
                        }
                        Err(_) => return Err(""),
                    }
                }
            }
        }
        Ok(true)
    }

    /// Keeps count of what is open. Two answers with one number could not be told apart.
    fn note(&mut self, event: &Event, of: &Common) -> Result<(), Over> {
        match event {
            Event::Asked(asked) => self.opens(asked.call),
            Event::Unfit { call, crowded, .. } => {
                self.unfit += usize::from(!crowded);
                if self.unfit >= of.limits.unfit {
                    return Err("too much that can't be used");
                }
                self.opens(*call)
            }
            Event::Alive { call, .. } | Event::Called { call, .. } => self.opens(*call),
            Event::Cancelled { call, .. } => {
                self.calls.remove(call);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn opens(&mut self, call: u32) -> Result<(), Over> {
        if self.calls.insert(call) { Ok(()) } else { Err("a number that is open already") }
    }

    /// Writes answers in the order in which the desk gives them, as far as there is room. An answer past its time
    /// is still the one that is owed: a client may give a millisecond, less than the way through the director
    /// takes. Long after its time it is left out; what is begun is finished a little later at most, as a cut
    /// ends all beside it.
    fn write(&mut self, of: &Common) -> Result<(), Over> {
        loop {
            let now = of.clock.now();
            let Some(writing) = self.writing.as_mut() else {
                let Some(reply) = self.answers.pop_front() else { return Ok(()) };
                if now < reply.until.saturating_add(of.limits.overdue) {
                    self.writing = Some(Writing::of(Reply { until: reply.until.max(now), ..reply }));
                } else {
                    counters::add(&of.counters.unsent, 1);
                    of.unwritten.fetch_sub(1, Ordering::Release);
                }
                continue;
            };
            if now >= writing.until + of.limits.finish {
                return Err("an answer not taken in time");
            }
            match writing.on(&self.stream) {
                Ok(true) => {
                    counters::add(&of.counters.answers, 1);
                    counters::add(&of.counters.answer_bytes, writing.body().len());
                    (self.since, self.writing) = (now, None);
                    of.unwritten.fetch_sub(1, Ordering::Release);
                }
                Ok(false) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if paused(&e) => return Ok(()),
                Err(_) => return Err("an answer not taken"),
            }
        }
    }

    /// What its time is over for.
    fn late(&self, now: Ns, of: &Common) -> Option<Over> {
        let limits = &of.limits;
        let time = if self.spoke { limits.idle_client } else { limits.half_said };
        if self.whole_by.is_some_and(|by| now >= by) {
            return Some("half a message");
        }
        (self.idle() && now >= self.since + time).then_some("idle")
    }
}

pub struct Clients {
    poll: Poll,
    listener: TcpListener,
    replies: Receiver<Reply>,
    of: Arc<Common>,
    open: BTreeMap<Client, Connection>,
    next: Client,
}

impl Clients {
    pub fn listen(at: SocketAddr, of: &Arc<Common>) -> io::Result<(Clients, Outlet)> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(at)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (replies, from_desk) = bounded(of.limits.replies);
        let outlet = Outlet { replies, waker: Waker::new(poll.registry(), REPLIES)? };
        let (open, of) = (BTreeMap::new(), Arc::clone(of));
        Ok((Clients { poll, listener, replies: from_desk, of, open, next: 0 }, outlet))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves for ever, or until the desk is gone.
    pub fn serve(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.turns);
        // Connections that have more to say than their share.
        let mut more: Vec<Client> = Vec::new();
        let mut sweep = self.of.clock.now();
        loop {
            let wait = if more.is_empty() { self.of.clock.until(sweep) } else { Default::default() };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !paused(&e)
            {
                return tracing::error!("connections of clients: {e}");
            }
            let mut again = std::mem::take(&mut more);
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
                return self.end();
            }
            again.sort_unstable();
            again.dedup();
            more.extend(again.into_iter().filter(|&client| self.read(client)));
            let now = self.of.clock.now();
            if now >= sweep {
                sweep = now + limits.sweep;
                self.sweep(now);
                self.accept();
            }
        }
    }

    /// Tells all that no more comes; what is written has a moment to leave.
    fn end(self) {
        for connection in self.open.values() {
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
        std::thread::sleep(self.of.limits.last_bytes);
    }

    /// Takes all that wait to come in. With all slots taken the longest idle connection makes room: of those that
    /// never said anything whole, but had the time to, before all others. One that waits for an answer never
    /// does; with none idle the newcomer has to go. Guards against clients that hold slots; harms one that
    /// would have asked again just then.
    fn accept(&mut self) {
        loop {
            let taken = self.listener.accept();
            let mut stream = match taken {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // Out of descriptors, most likely: the next sweep tries again.
                Err(e) => return tracing::warn!("accept failed: {e}"),
            };
            let (now, client) = (self.of.clock.now(), self.next);
            if self.open.len() >= self.of.limits.clients {
                let settled = now.saturating_sub(self.of.limits.settled);
                let idle = self.open.iter().filter(|(_, c)| c.idle());
                let longest = idle.map(|(id, c)| (c.spoke || c.since > settled, c.since, *id)).min();
                let Some((_, _, longest)) = longest else {
                    counters::add(&self.of.counters.turned_away, 1);
                    continue;
                };
                counters::add(&self.of.counters.made_room, 1);
                self.close(longest, "");
            }
            let interest = Interest::READABLE | Interest::WRITABLE;
            let token = Token(client as usize);
            if let Err(e) = self.poll.registry().register(&mut stream, token, interest) {
                tracing::warn!("connection of a client not served: {e}");
                continue;
            }
            // Without it answers are but slower.
            let _ = stream.set_nodelay(true);
            let limits = &self.of.limits;
            let connection = Connection {
                stream,
                intake: Intake::new(limits.first_read, limits.head + limits.body, &self.of.room),
                calls: HashSet::new(),
                answers: VecDeque::new(),
                writing: None,
                since: now,
                spoke: false,
                whole_by: None,
                unfit: 0,
            };
            counters::add(&self.of.counters.clients, 1);
            self.next += 1;
            self.open.insert(client, connection);
        }
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
            let Some(connection) = open.and_then(|c| c.calls.remove(&reply.call).then_some(c)) else {
                self.of.unwritten.fetch_sub(1, Ordering::Release);
                continue;
            };
            connection.answers.push_back(reply);
            self.write(client);
        }
    }

    fn read(&mut self, client: Client) -> bool {
        let Some(connection) = self.open.get_mut(&client) else { return false };
        match connection.read(client, &self.of) {
            Ok(more) => more,
            Err(why) => {
                self.close(client, why);
                false
            }
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
            counters::add(&self.of.counters.idle_closed, 1);
            self.close(client, why);
        }
        let waiting = self.open.iter().filter(|(_, c)| c.writing.is_some()).map(|(id, _)| *id);
        waiting.collect::<Vec<Client>>().into_iter().for_each(|client| self.write(client));
    }

    fn close(&mut self, client: Client, why: Over) {
        let Some(connection) = self.open.remove(&client) else { return };
        if !why.is_empty() {
            counters::add(&self.of.counters.bad_messages, usize::from(why != "idle"));
            tracing::debug!("client {client}: {why}");
        }
        let unsent = connection.answers.len() + usize::from(connection.writing.is_some());
        counters::add(&self.of.counters.unsent, unsent);
        self.of.unwritten.fetch_sub(unsent, Ordering::Release);
        let _ = self.of.events.send(Event::Left { client });
    }
}

fn event(client: Client, message: Message, of: &Common) -> Event {
    match message {
        Message::Alive { call } => Event::Alive { client, call },
        Message::Cancel { call } => Event::Cancelled { client, call },
        Message::Duty { call, body } => Event::Called { client, call, body: body.to_vec() },
        Message::Unfit { call, why } => {
            counters::add(&of.counters.bad_messages, 1);
            tracing::debug!("client {client}, call {call}: {why}");
            Event::Unfit { client, call, crowded: false }
        }
        Message::Lookup { call, fields, body: bytes } => {
            let arrived = of.clock.now();
            let Some(mut body) = of.room.body(bytes.len()) else {
                return Event::Unfit { client, call, crowded: true };
            };
            body.bytes_mut().copy_from_slice(bytes);
            Event::Asked(Box::new(Asked {
                client,
                call,
                name: fields.name,
                kind: fields.kind,
                object: fields.object,
                part: fields.part,
                group: fields.group,
                size_kb: fields.size_kb,
                tag: fields.tag.map(Into::into),
                mark: fields.mark.map(Into::into),
                body: Arc::new(body),
                arrived,
                budget: fields.budget_ms * MS,
            }))
        }
    }
}
