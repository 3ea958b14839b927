//! One connection of a client: what it asks, what it is answered, and when it may end.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;
use sablecross::rules::{self, Owed};

use super::intake::Intake;
use super::reply::{Reply, Writing};
use super::rpc::{self, Flaw, Message};
use crate::common::Common;
use crate::exchange::{Asked, Call, Client, Event, Withdrawn};
use crate::plain::clock::MS;
use crate::plain::counters;
use crate::plain::os_error::is_pause;
use crate::plain::sparing::Sparing;

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Over {
    /// Its client has closed or reset it.
    Gone,
    /// Nothing is open on it: its time or its place is up, or the program ends.
    Resting,
    Fault(&'static str),
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) intake: Intake,
    pub(super) peer: SocketAddr,
    /// What it waits for, by its numbers.
    pub(super) calls: HashMap<u32, (u64, Withdrawn)>,
    pub(super) turn: u64,
    pub(super) answers: VecDeque<Reply>,
    pub(super) writing: Option<Writing>,
    /// When it came, said something whole or was answered last.
    pub(super) since: Ns,
    /// Whether it ever said something whole.
    pub(super) spoke: bool,
    /// By when the message that has begun must be whole.
    pub(super) whole_by: Option<Ns>,
    /// Since when what is read next may have lain unread.
    pub(super) unread_since: Option<Ns>,
    /// It has so many open requests that no more is read of it until some are answered.
    pub(super) throttled: bool,
    pub(super) unfit: usize,
    /// It was told that no more comes. What it says still is read off until then or its own end, as a close over
    /// unread bytes would reset it, and with it the answers that are under way.
    pub(super) ending: Option<Ns>,
}

impl Connection {
    /// A connection that has come; what is read first may have lain unread since then.
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        unread_since: Option<Ns>,
        of: &Common,
    ) -> Connection {
        let limits = &of.limits;
        Connection {
            stream,
            intake: Intake::new(limits.first_read, limits.head + limits.body, &of.room),
            peer,
            calls: HashMap::new(),
            turn: 0,
            answers: VecDeque::new(),
            writing: None,
            since: of.clock.now(),
            spoke: false,
            whole_by: None,
            unread_since,
            throttled: false,
            unfit: 0,
            ending: None,
        }
    }

    /// Its client has been told that no more comes: nothing is kept of it but its end, until then.
    pub(super) fn end_by(&mut self, until: Ns, of: &Common) {
        self.calls.clear();
        self.answers.clear();
        (self.writing, self.whole_by) = (None, None);
        self.intake = Intake::new(0, 0, &of.room);
        self.ending = Some(until);
    }

    pub(super) fn may_close(&self) -> Result<(), Owed> {
        let under_way = rules::Connection {
            open_requests: self.calls.len(),
            unwritten_answers: self.answers.len() + usize::from(self.writing.is_some()),
            partial_request: !self.intake.seen().is_empty(),
        };
        under_way.may_close()
    }

    /// Whether the director may end it of its own accord, and has not begun to.
    pub(super) fn is_resting(&self) -> bool {
        self.ending.is_none() && self.may_close().is_ok()
    }

    /// Whether it only ever sent a part of a request: where all places are taken, it has to go.
    pub(super) fn is_half_heard(&self) -> bool {
        self.ending.is_none() && !self.spoke && self.may_close() == Err(Owed::Request)
    }

    /// Passes on what it asks, up to a share; whether there may be more at once. Ends at bytes that are no
    /// message, or after too many messages that can't be used.
    pub(super) fn read(&mut self, client: Client, of: &Common, log: &mut Sparing) -> Result<bool, Over> {
        if self.ending.is_some() {
            return self.read_off(of);
        }
        for _ in 0..of.limits.turns {
            self.throttled = self.calls.len() >= of.limits.unanswered_a_client;
            if self.throttled {
                return Ok(false);
            }
            match rpc::read(self.intake.seen(), &of.names, &of.limits) {
                Ok((message, length)) => {
                    let arrived = self.unread_since.unwrap_or_else(|| of.clock.now());
                    let withdrawn = Withdrawn::default();
                    let said = match &message {
                        Message::Unfit { call, why } => Some((*call, *why)),
                        _ => None,
                    };
                    let event = event(client, self.turn, message, &withdrawn, arrived, of);
                    self.intake.used(length);
                    (self.since, self.spoke, self.whole_by) = (of.clock.now(), true, None);
                    if let Some((call, why)) = said {
                        counters::add(&of.counters.bad_messages, 1);
                        log.warn(self.since, || format!("client {}, call {call}: {why}", self.peer));
                    }
                    self.note(&event, withdrawn, of)?;
                    // The desk outlives all connections, but for the end of the program.
                    of.events.send(event).map_err(|_| Over::Gone)?;
                }
                Err(Flaw::Bad(why)) => return Err(Over::Fault(why)),
                Err(Flaw::Short) => {
                    if self.whole_by.is_none() && !self.intake.seen().is_empty() {
                        self.whole_by = Some(of.clock.now() + of.limits.half_said);
                    }
                    match self.intake.more(&self.stream) {
                        Ok(true) => {}
                        Ok(false) => return Err(Over::Gone),
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(e) if is_pause(&e) => {
                            self.unread_since = None;
                            return Ok(false);
                        }
                        Err(e) if e.kind() == ErrorKind::InvalidData => {
                            return Err(Over::Fault("message too long"));
                        }
                        Err(e) if e.kind() == ErrorKind::OutOfMemory => {
                            return Err(Over::Fault("no room for its message"));
                        }
                        Err(_) => return Err(Over::Gone),
                    }
                }
            }
        }
        Ok(true)
    }

    /// Reads off what an ended connection says still, up to a share; whether there may be more at once.
    pub(super) fn read_off(&mut self, of: &Common) -> Result<bool, Over> {
        let mut bytes = [0; 4 << 10];
        for _ in 0..of.limits.turns {
            match (&self.stream).read(&mut bytes) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_pause(&e) => return Ok(false),
                _ => return Err(Over::Gone),
            }
        }
        Ok(true)
    }

    /// Keeps count of what is open. Two answers with one number could not be told apart.
    pub(super) fn note(&mut self, event: &Event, withdrawn: Withdrawn, of: &Common) -> Result<(), Over> {
        match event {
            Event::Asked(asked) => self.opens(asked.call, withdrawn),
            Event::Unfit { call, crowded, .. } => {
                self.unfit += usize::from(!crowded);
                if self.unfit >= of.limits.unfit {
                    return Err(Over::Fault("too much that can't be used"));
                }
                self.opens(*call, withdrawn)
            }
            Event::Alive { call, .. } | Event::Called { call, .. } => self.opens(*call, withdrawn),
            Event::Cancelled { call, .. } => {
                if let Some((_, withdrawn)) = self.calls.remove(call) {
                    withdrawn.say();
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn opens(&mut self, call: Call, withdrawn: Withdrawn) -> Result<(), Over> {
        self.turn += 1;
        match self.calls.insert(call.number, (call.turn, withdrawn)) {
            None => Ok(()),
            Some((_, first)) => {
                first.say();
                Err(Over::Fault("a number that is open already"))
            }
        }
    }

    /// Writes answers in the order in which the desk gives them, as far as there is room. An answer past its time
    /// is still the one that is owed: a client may give a millisecond, less than the way through the director
    /// takes. Long after its time it is left out; what is begun is finished a little later at most, as a cut
    /// ends all beside it.
    pub(super) fn write(&mut self, of: &Common) -> Result<(), Over> {
        loop {
            let now = of.clock.now();
            let Some(writing) = self.writing.as_mut() else {
                let Some(reply) = self.answers.pop_front() else { return Ok(()) };
                if now < reply.until.saturating_add(of.limits.overdue) {
                    self.writing = Some(Writing::of(Reply { until: reply.until.max(now), ..reply }));
                } else {
                    counters::add(&of.counters.unsent, 1);
                }
                continue;
            };
            if now >= writing.until + of.limits.finish {
                return Err(Over::Fault("an answer not taken in time"));
            }
            match writing.on(&self.stream) {
                Ok(true) => {
                    counters::add(&of.counters.answers, 1);
                    counters::add(&of.counters.answer_bytes, writing.body().len());
                    (self.since, self.writing) = (now, None);
                }
                Ok(false) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_pause(&e) => return Ok(()),
                Err(_) => return Err(Over::Gone),
            }
        }
    }

    /// What its time is over for.
    pub(super) fn late(&self, now: Ns, of: &Common) -> Option<Over> {
        let limits = &of.limits;
        let time = if self.spoke { limits.idle_client } else { limits.half_said };
        if let Some(until) = self.ending {
            return (now >= until).then_some(Over::Gone);
        }
        if self.whole_by.is_some_and(|by| now >= by) {
            return Some(Over::Fault("half a message"));
        }
        (self.is_resting() && now >= self.since + time).then_some(Over::Resting)
    }
}

fn event(
    client: Client,
    turn: u64,
    message: Message,
    withdrawn: &Withdrawn,
    arrived: Ns,
    of: &Common,
) -> Event {
    let call = |number| Call { number, turn };
    match message {
        Message::Alive { call: number } => Event::Alive { client, call: call(number) },
        Message::Cancel { call } => Event::Cancelled { client, call },
        Message::Duty { call: number, body } => {
            Event::Called { client, call: call(number), body: body.to_vec() }
        }
        Message::Unfit { call: number, .. } => Event::Unfit { client, call: call(number), crowded: false },
        Message::Lookup { call: number, fields, body: bytes } => {
            let call = call(number);
            let Some(mut body) = of.room.body(bytes.len()) else {
                return Event::Unfit { client, call, crowded: true };
            };
            body.bytes_mut().copy_from_slice(bytes);
            Event::Asked(Box::new(Asked {
                client,
                call,
                withdrawn: withdrawn.clone(),
                name: fields.name,
                kind: fields.kind,
                object: fields.object,
                part: fields.part,
                group: fields.group,
                size_kb: fields.size_kb,
                tag: fields.tag.map(Into::into),
                mark: fields.mark.map(Into::into),
                repeat: fields.repeat,
                body: Arc::new(body),
                arrived,
                budget: fields.budget_ms * MS,
            }))
        }
    }
}
