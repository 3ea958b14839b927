//! One simulated director: the product's own code for discovery, and no clients. The stream is followed by the rules of
//! `sablecross-discovery`, events are read by the director's own code, and its decision module is updated by them.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use sablecross::{Ns, Router};
use sablecross_director::clock::Clock;
use sablecross_director::discovery_event::{DiscoveryEvent, NumberedEvent};
use sablecross_director::node_registry::NodeRegistry;
use sablecross_director::parent_hierarchy::ParentHierarchy;
use sablecross_director::process::config::Config;
use sablecross_discovery::{
    EventCursor, EventStreamParser, EventVerdict, FeedSelector, StreamItem, events_request,
};
use serde_json::Value;

use crate::fleet::link_proxy::dial_from;

use super::pool_messages::{Came, DirectorIdentity, Finished, PoolProgress, PublishedEvent, shared_ns};

/// What the directors of one process share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) began: Instant,
    pub(crate) tick: PoolProgress,
    pub(crate) found: Finished,
    /// By number.
    pub(crate) came: BTreeMap<u64, Came>,
    pub(crate) limbo: Vec<(SocketAddr, TcpStream)>,
}

impl Shared {
    fn record_arrival(&mut self, number: u64, content: Option<u32>, timed: bool) {
        let came = self.came.entry(number).or_default();
        self.found.differs += u64::from(came.content.zip(content).is_some_and(|(known, new)| known != new));
        (came.number, came.content, came.by) = (number, came.content.or(content), came.by + 1);
        if timed {
            came.last = shared_ns();
        }
    }
}

enum ConnectionPhase {
    /// Killed.
    Off,
    Waits(Instant),
    /// What is dialled into a cut never answers.
    Dials(Option<TcpStream>, Instant),
    Open(Box<OpenConnection>),
}

struct OpenConnection {
    socket: TcpStream,
    stream: EventStreamParser,
    heard: Instant,
}

/// What a director holds in one life.
struct DirectorState {
    choice: Router,
    roster: NodeRegistry,
    upper: ParentHierarchy,
    cursor: EventCursor,
    feeds: FeedSelector,
    began: Instant,
    /// The most that was in force elsewhere when it began: up to there it catches up.
    behind: u64,
    caught_up: bool,
    up: bool,
    /// The last number taken, and up to where nothing was passed over or a whole list took its place.
    last: u64,
    solid: u64,
    /// By content: which were taken.
    seen: Vec<u64>,
    /// From where to where it was told a whole list in place of what came between, and when.
    jumps: Vec<(u64, u64, u64)>,
    /// By node: its last change.
    list: Vec<u32>,
}

pub(crate) struct SimulatedDirector {
    pub(crate) own: DirectorIdentity,
    token: Token,
    life: Box<DirectorState>,
    link: ConnectionPhase,
    called: Instant,
    before: u64,
    pub(crate) cut: Vec<SocketAddr>,
    pub(crate) slow: bool,
}

/// Why a connection is over.
enum ConnectionEnd {
    Failed,
    Again,
    Ended,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> ConnectionEnd {
        ConnectionEnd::Failed
    }
}

impl DirectorState {
    fn begin(own: &DirectorIdentity, shared: &Shared, behind: u64) -> DirectorState {
        let Config { settings, known, .. } = &shared.config;
        let mut settings = settings.clone();
        settings.director_index = own.number;
        let (home, others) = own.feeds.split_first().expect("a hollow director has a feed");
        let mut life = DirectorState {
            choice: Router::new(settings, own.number as u64, shared.clock.now()),
            roster: NodeRegistry::default(),
            upper: ParentHierarchy::new(shared.config.settings.parent_kind),
            cursor: EventCursor::after_number(known.last),
            feeds: FeedSelector::new(&format!("hollow-{}", own.number), *home, others),
            began: Instant::now(),
            behind,
            caught_up: behind == 0,
            up: false,
            last: known.last,
            solid: known.last,
            seen: Vec::new(),
            jumps: Vec::new(),
            list: Vec::new(),
        };
        for event in &known.events {
            life.take(&event.event, shared);
        }
        life
    }

    /// As the desk does it.
    fn take(&mut self, fact: &DiscoveryEvent, shared: &Shared) {
        let now: Ns = shared.clock.now();
        match fact {
            DiscoveryEvent::Endpoints { endpoints: members, is_snapshot: whole } => {
                let DirectorState { roster, upper, .. } = self;
                roster.release_unused(u64::MAX, |_| true);
                let names = &shared.config.names;
                roster.observe_starts(members, now);
                let mut lines: Vec<_> =
                    members.iter().filter_map(|m| roster.endpoint_update(names, m, now)).collect();
                roster.mark_gone(&lines, *whole, 0);
                upper.update_parents(&mut lines, *whole, |node| roster.name(node).to_owned());
                self.choice.update_endpoints(now, &lines, *whole);
                // Nobody writes its notes to a log.
                self.choice.take_log_lines();
            }
            DiscoveryEvent::Purge { object, group } => {
                self.choice.record_purge(now, *object, *group, 0);
            }
            DiscoveryEvent::Hierarchy(told) => {
                if let Some((lines, _)) = self.upper.adopt(told) {
                    self.choice.update_endpoints(now, &lines, false);
                }
            }
        }
    }

    /// Checks by itself what the rules of the feed let through.
    fn check(&mut self, number: u64, event: &Value, shared: &mut Shared) {
        let found = &mut shared.found;
        found.disorder += u64::from(number <= self.last);
        let members = event.get("members");
        let whole = members.is_some_and(|m| m["snapshot"] == true);
        self.last = number;
        if whole {
            self.jumps.push((self.solid, number, shared.clock.now() / 1_000_000));
            self.solid = number;
        } else if number == self.solid + 1 {
            self.solid = number;
        }
        let content = match members {
            Some(_) if whole => 0,
            Some(members) => members["index"].as_u64().unwrap_or(0) as u32,
            None => {
                let key = event.pointer("/purge/key").and_then(Value::as_str).unwrap_or_default();
                u64::from_str_radix(key, 16).unwrap_or(0) as u32
            }
        };
        if content > 0 {
            let (word, bit) = (content as usize / 64, 1 << (content % 64));
            if self.seen.len() <= word {
                self.seen.resize(word + 1, 0);
            }
            found.twice += u64::from(self.seen[word] & bit != 0);
            self.seen[word] |= bit;
        }
        let held = if whole { std::mem::take(&mut self.list) } else { Vec::new() };
        for line in members.and_then(|m| m["endpoints"].as_array()).into_iter().flatten() {
            let node = line["name"].as_str().and_then(|n| n.rsplit('-').next()?.parse::<usize>().ok());
            let (Some(node), Some(change)) = (node, line["weight"].as_u64()) else { continue };
            if self.list.len() <= node {
                self.list.resize(node + 1, 0);
            }
            let before = held.get(node).copied().unwrap_or_default().max(self.list[node]);
            found.disorder += u64::from(before > change as u32);
            self.list[node] = change as u32;
        }
        shared.record_arrival(number, (!whole).then_some(content), number > self.behind);
    }

    /// What it has not taken of all that was told, unless that binds no more.
    fn finish(
        &self,
        told: &[PublishedEvent],
        list: &[(u32, bool)],
        known: u64,
        binds_ms: u64,
        found: &mut Finished,
    ) {
        for t in told.iter().filter(|t| t.number > known) {
            let taken =
                self.seen.get(t.content as usize / 64).is_some_and(|w| w & (1 << (t.content % 64)) != 0);
            if taken {
                continue;
            }
            let passed = self.jumps.iter().find(|(from, to, _)| (from + 1..=*to).contains(&t.number));
            match passed {
                Some((_, _, at)) if t.purged_ms == 0 || t.purged_ms + binds_ms <= *at => found.lapsed += 1,
                _ => found.missed += 1,
            }
        }
        let same = list.iter().enumerate().all(|(n, (change, gone))| {
            let held = self.list.get(n).copied().unwrap_or(0);
            held == *change || (*gone && held == 0)
        });
        found.wrong_lists += u64::from(!same);
    }
}

impl SimulatedDirector {
    pub(crate) fn new(
        own: DirectorIdentity,
        token: Token,
        shared: &Shared,
        spread: Duration,
    ) -> SimulatedDirector {
        let life = Box::new(DirectorState::begin(&own, shared, 0));
        let now = Instant::now();
        let (link, cut) = (ConnectionPhase::Waits(now + spread), Vec::new());
        SimulatedDirector { own, token, life, link, called: now, before: 0, cut, slow: false }
    }

    pub(crate) fn is_on(&self) -> bool {
        !matches!(self.link, ConnectionPhase::Off)
    }

    /// Its call was answered once in this life.
    pub(crate) fn is_up(&self) -> bool {
        self.is_on() && self.life.up
    }

    pub(crate) fn last(&self) -> u64 {
        self.life.cursor.last_number()
    }

    /// It forgets all that it knew.
    pub(crate) fn kill(&mut self, shared: &mut Shared) {
        let link = std::mem::replace(&mut self.link, ConnectionPhase::Off);
        self.drop_connection(link, shared);
    }

    pub(crate) fn start(&mut self, shared: &mut Shared) {
        if self.is_on() {
            return;
        }
        let behind = shared.tick.most;
        *self.life = DirectorState::begin(&self.own, shared, behind);
        shared.found.restarts += 1;
        self.link = ConnectionPhase::Waits(Instant::now());
    }

    fn drop_connection(&mut self, link: ConnectionPhase, shared: &mut Shared) {
        let address = self.life.feeds.current();
        let socket = match link {
            ConnectionPhase::Open(open) => open.socket,
            ConnectionPhase::Dials(Some(socket), _) => socket,
            _ => return,
        };
        // Nobody at the other end hears of it before the cut is healed.
        if self.cut.contains(&address) {
            shared.limbo.push((address, socket));
        }
    }

    /// What is due by the clock.
    pub(crate) fn tick(&mut self, shared: &mut Shared, registry: &Registry) {
        let limits = &shared.config.limits;
        let done = match &mut self.link {
            ConnectionPhase::Off => return,
            ConnectionPhase::Waits(until) if Instant::now() < *until => return,
            ConnectionPhase::Waits(_) => return self.call(shared, registry),
            ConnectionPhase::Dials(_, since)
                if since.elapsed() < Duration::from_nanos(limits.connect_timeout) =>
            {
                return;
            }
            ConnectionPhase::Dials(..) => Err(ConnectionEnd::Failed),
            ConnectionPhase::Open(open) if open.heard.elapsed() >= limits.feed_silence_timeout => {
                Err(ConnectionEnd::Failed)
            }
            ConnectionPhase::Open(_) if self.slow => self.read(shared, 1),
            ConnectionPhase::Open(_) => return,
        };
        self.ended(done, shared);
    }

    fn call(&mut self, shared: &mut Shared, registry: &Registry) {
        shared.tick.calls += 1;
        (self.called, self.before) = (Instant::now(), self.last());
        let at = self.life.feeds.current();
        if self.cut.contains(&at) {
            self.link = ConnectionPhase::Dials(None, self.called);
            return;
        }
        match self.dial(at, registry) {
            Ok(socket) => self.link = ConnectionPhase::Dials(Some(socket), self.called),
            Err(e) => self.ended(Err(e.into()), shared),
        }
    }

    fn dial(&self, at: SocketAddr, registry: &Registry) -> io::Result<TcpStream> {
        let mut socket = dial_from(self.own.source, at)?;
        registry.register(&mut socket, self.token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(socket)
    }

    /// Its socket can do something.
    pub(crate) fn ready(&mut self, shared: &mut Shared) {
        let done = self.on_ready(shared);
        self.ended(done, shared);
    }

    fn on_ready(&mut self, shared: &mut Shared) -> Result<(), ConnectionEnd> {
        let at = self.life.feeds.current();
        if self.cut.contains(&at) {
            return Ok(());
        }
        if let ConnectionPhase::Dials(socket, _) = &mut self.link {
            let Some(open) = socket else { return Ok(()) };
            if let Some(e) = open.take_error()? {
                return Err(e.into());
            }
            match open.peer_addr() {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(e.into()),
            }
            // So few bytes always fit into a new connection.
            let asks = events_request(at, self.life.cursor.last_number());
            open.write_all(asks.as_bytes())?;
            shared.tick.bytes_out += asks.len() as u64;
            let stream = EventStreamParser::new(shared.config.limits.max_feed_event_bytes);
            let Some(socket) = socket.take() else { return Ok(()) };
            self.link =
                ConnectionPhase::Open(Box::new(OpenConnection { socket, stream, heard: Instant::now() }));
        }
        if self.slow { Ok(()) } else { self.read(shared, 16 << 10) }
    }

    fn read(&mut self, shared: &mut Shared, most: usize) -> Result<(), ConnectionEnd> {
        let mut bytes = [0; 16 << 10];
        loop {
            let ConnectionPhase::Open(open) = &mut self.link else { return Ok(()) };
            match open.socket.read(&mut bytes[..most]) {
                Ok(0) => {
                    return Err(open
                        .stream
                        .finish()
                        .map_or(ConnectionEnd::Failed, |()| ConnectionEnd::Ended));
                }
                Ok(n) => {
                    shared.tick.reads += 1;
                    shared.tick.bytes_in += n as u64;
                    open.heard = Instant::now();
                    open.stream.push(&bytes[..n]);
                    while let ConnectionPhase::Open(open) = &mut self.link
                        && let Some(said) = open.stream.next_item().map_err(|_| ConnectionEnd::Failed)?
                    {
                        match said {
                            StreamItem::Connected => {
                                self.life.feeds.on_connected();
                                self.life.up = true;
                            }
                            StreamItem::Event { id, data } => self.event(id, &data, shared)?,
                            StreamItem::Comment(_) => {}
                        }
                    }
                    if most == 1 {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn event(&mut self, id: Option<u64>, data: &str, shared: &mut Shared) -> Result<(), ConnectionEnd> {
        let value: Result<Value, String> = serde_json::from_str(data).map_err(|e| e.to_string());
        let parsed = value
            .as_ref()
            .map_err(String::clone)
            .and_then(|value| NumberedEvent::from_json(value).map_err(|e| e.to_string()));
        match self.life.cursor.classify(id, parsed.map(|e| (e.number, e.event))) {
            EventVerdict::New(fact) => {
                shared.tick.taken += 1;
                self.life.take(&fact, shared);
                let number = self.last();
                self.life.check(number, value.as_ref().unwrap_or(&Value::Null), shared);
                shared.tick.most = shared.tick.most.max(number);
                if !self.life.caught_up && number >= self.life.behind {
                    self.life.caught_up = true;
                    shared.found.catch_up.push(self.life.began.elapsed().as_millis() as u64);
                }
            }
            EventVerdict::Duplicate => {}
            EventVerdict::Resubscribe(_) => {
                shared.tick.gaps += 1;
                return Err(ConnectionEnd::Again);
            }
            EventVerdict::Skip { .. } => shared.tick.skipped += 1,
        }
        Ok(())
    }

    /// The rules of the follower on whom to call next, and when.
    fn ended(&mut self, done: Result<(), ConnectionEnd>, shared: &mut Shared) {
        let Err(over) = done else { return };
        let link = std::mem::replace(&mut self.link, ConnectionPhase::Off);
        self.drop_connection(link, shared);
        match over {
            ConnectionEnd::Failed => self.life.feeds.on_failed(shared.began.elapsed()),
            ConnectionEnd::Ended => self.life.feeds.on_stream_ended(shared.began.elapsed()),
            ConnectionEnd::Again => {}
        }
        let pause = shared.config.limits.feed_retry_delay;
        let early = self.last() == self.before && self.called.elapsed() < pause;
        self.link = ConnectionPhase::Waits(Instant::now() + if early { pause } else { Duration::ZERO });
    }

    pub(crate) fn finish(
        &self,
        told: &[PublishedEvent],
        list: &[(u32, bool)],
        binds_ms: u64,
        shared: &mut Shared,
    ) {
        let known = shared.config.known.last;
        self.life.finish(told, list, known, binds_ms, &mut shared.found);
    }
}
