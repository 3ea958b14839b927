//! The loop: listeners, connections, and the deciding relay between them. It waits for nobody.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross_coordination::{LeaseConfig as SeatRules, Member, Ns};
use sablecross_discovery::StreamItem;
use sablecross_relay::{
    Action, ApplyOutcome, GroupConfig, PeerRequest, PublishError, Relay, RelayConfig, RetentionWindow,
    SafetyChecks, UpstreamSelector,
};
use serde_json::json;
use thiserror::Error;

use crate::connection::{Came, Connection, State, Streaming};
use crate::http::{self, Want};
use crate::log_rate_limiter::LogRateLimiter;
use crate::peers::{self, AppliedReport, Follower, Inbox, Order, ServerEvent};
use crate::settings::RelayServerConfig;

const MS: Ns = 1_000_000;
const INBOX: Token = Token(usize::MAX);
/// Connections are numbered from here; listeners are below.
const CONNS: usize = 1 << 20;
/// Calls that come in at once may wait in the kernel.
const BACKLOG: i32 = 1_024;
/// What the kernel keeps for one reader (it takes twice as much): a slow one holds little memory.
const SEND_BUFFER: usize = 16 << 10;
/// The same for another relay, and what it is told at a time.
const WIDE: usize = 1 << 20;
const INBOX_LENGTH: usize = 1_024;
const COMMENT: Ns = 1_000 * MS;
/// A connection without a request may rest for so long; one that drains is over after this.
const IDLE: Ns = 30_000 * MS;
const DRAINED: Ns = 2_000 * MS;
/// After the word to stop: while the duty is handed over, and while streams are read off.
const HANDS: Ns = 200 * MS;
const LEAVING: Ns = 700 * MS;
/// The owner speaks to a voter at most so often, so that what is published at once goes together.
const GATHER: Ns = 5 * MS;
/// Most bytes of entries in a call between voters, and what a call may have beside the largest event and the base.
const CALL: usize = 1 << 20;
/// Moments of numbers in force everywhere that are kept.
const PASSED: usize = 16_384;
/// An upstream is given so long to show that it is fresh; elsewhere, the first is tried again after this.
const HOME: Ns = 20_000 * MS;
const WORD: usize = 4_096;
/// Streams of relays end so many times as often as those of other readers.
const RELAYS_SOONER: u64 = 4;
/// Batches that are made once for all readers that stand at the same number.
const SHARED: usize = 8;

#[derive(Debug, Error)]
pub enum ServerError {
    #[error("{0}")]
    Limit(String),
    #[error("listening at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

fn failed(what: &'static str) -> impl FnOnce(io::Error) -> ServerError {
    move |e| ServerError::Io(what, e)
}

/// Times of this program, and Unix time.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    fn now(self) -> Ns {
        // Some time has passed at the start, so that moments before it can be told.
        60_000 * MS + u64::try_from(self.0.elapsed().as_nanos()).unwrap_or(Ns::MAX / 2)
    }
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as u64)
}

struct Listener {
    socket: TcpListener,
    /// The reader whose address this is.
    reader: Option<Arc<str>>,
    /// More may wait than could be taken.
    again: bool,
}

/// What readers at one number are told next.
struct Batch {
    cursor: u64,
    next: u64,
    bytes: Vec<u8>,
}

pub struct Server {
    set: RelayServerConfig,
    clock: Clock,
    poll: Poll,
    inbox: Receiver<ServerEvent>,
    relay: Relay,
    listeners: Vec<Listener>,
    conns: HashMap<usize, Connection>,
    next_conn: usize,
    /// Connections that had more to read than their turn.
    more: Vec<usize>,
    /// The voters' threads, by their places; none for this one itself.
    voters: Vec<Option<Sender<(u64, PeerRequest)>>>,
    upstreams: Vec<SocketAddr>,
    orders: Sender<Order>,
    /// The call of an upstream that is open.
    call: Option<Order>,
    calls: u64,
    /// Those that could not be called last time, and the one that was followed last.
    lost: BTreeSet<SocketAddr>,
    up: Option<SocketAddr>,
    words: Sender<AppliedReport>,
    shared: Vec<Batch>,
    scratch: Vec<u8>,
    lines: LogRateLimiter,
    stopping: Option<Ns>,
    batch: Ns,
    spread: RandomState,
}

/// A listener, with what connections take over from it.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

fn settings(set: &RelayServerConfig) -> RelayConfig {
    let h = &set.relay;
    RelayConfig {
        name: set.name(),
        retention: RetentionWindow {
            purge_propagation: h.cleared_ms * MS,
            hold_time: h.held_ms * MS,
            clock_tolerance: h.slack_ms * MS,
        },
        max_event_bytes: h.event_bytes,
        max_log_bytes: h.log_bytes,
        missing_after: h.missed_ms * MS,
        forget_after: h.forgotten_ms * MS,
        max_floor_history: PASSED,
    }
}

fn rules(set: &RelayServerConfig) -> GroupConfig {
    let h = &set.relay;
    let names: Vec<String> = set.voters().map(|m| RelayServerConfig::relay_name(m.number)).collect();
    GroupConfig {
        lease: SeatRules {
            voter_count: names.len() as u32,
            duration: h.lease_ms * MS,
            round_timeout: h.round_ms * MS,
            claim_spacing: h.apart_ms * MS,
        },
        voter_names: names,
        call_timeout: 2 * h.lease_ms * MS,
        heartbeat_interval: (h.lease_ms / 4).min(500) * MS,
        batch_interval: GATHER,
        max_call_bytes: CALL,
        reset_timeout: h.anew_ms * MS,
        max_purge_lead: h.slack_ms / 2 * MS,
        safety_checks: SafetyChecks::default(),
    }
}

impl Server {
    pub fn new(set: RelayServerConfig) -> Result<(Server, Inbox), ServerError> {
        set.check_descriptor_limit().map_err(ServerError::Limit)?;
        let poll = Poll::new().map_err(failed("poll"))?;
        let waker = Waker::new(poll.registry(), INBOX).map_err(failed("poll"))?;
        let (to, inbox) = bounded(INBOX_LENGTH);
        let to = Inbox { to, waker: Arc::new(waker) };
        let own = std::iter::once((set.listen, None));
        let readers = set.subscribers.iter().map(|r| (r.address, Some(Arc::from(r.name.as_str()))));
        let mut listeners = Vec::new();
        for (at, reader) in own.chain(readers) {
            let mut socket = listen(at).map_err(|e| ServerError::Listen(at, e))?;
            let token = Token(listeners.len());
            poll.registry().register(&mut socket, token, Interest::READABLE).map_err(failed("poll"))?;
            listeners.push(Listener { socket, reader, again: false });
        }
        let clock = Clock(Instant::now());
        let (now, h) = (clock.now(), &set.relay);
        let silence = Duration::from_millis(h.stale_ms);
        let most = h.log_bytes.max(CALL);
        let (mut voters, mut upstreams) = (Vec::new(), set.upstreams.clone());
        let spread = RandomState::new();
        let mut relay = if set.is_voter() {
            // Whole logs go in one answer.
            let time = Duration::from_millis(2 * h.lease_ms);
            for (place, m) in (0u32..).zip(set.voters()) {
                let own = m.number == h.number;
                let caller = || peers::caller(place, m.address, time, most, to.clone());
                voters.push(if own { None } else { Some(caller().map_err(failed("a thread"))?) });
            }
            let place = voters.iter().position(Option::is_none).unwrap_or_default() as u32;
            let me = Member { number: h.number, incarnation: unix() };
            Relay::voter(settings(&set), me, place, rules(&set), spread.hash_one(me.incarnation), now)
        } else {
            if upstreams.is_empty() {
                upstreams = set.voters().map(|m| m.address).collect();
                // Plain relays spread over the voters.
                let first = h.number as usize % upstreams.len().max(1);
                upstreams.rotate_left(first);
            }
            let stale = h.stale_ms * MS;
            Relay::plain(settings(&set), UpstreamSelector::new(upstreams.len(), stale, 2 * stale, HOME, now))
        };
        set.subscribers.iter().for_each(|r| relay.expect_subscriber(now, &r.name));
        let (orders, taken) = bounded(4);
        let follower = Follower { relay: h.number, silence, most, orders: taken, inbox: to.clone() };
        if !upstreams.is_empty() {
            peers::spawn("upstream".into(), move || follower.follow()).map_err(failed("a thread"))?;
        }
        let words = peers::passer(silence, to.clone()).map_err(failed("a thread"))?;
        let role = if set.is_voter() { "voter" } else { "plain" };
        tracing::info!(number = h.number, listen = %set.listen, role, readers = set.subscribers.len(), "relay serves");
        if h.held_ms * MS < sablecross_relay::retention::PURGE_HOLD_TIME {
            tracing::warn!(
                "relay held-ms={} forgets purges that directors are bound by: for trials alone",
                h.held_ms
            );
        }
        let batch = h.batch_ms * MS;
        let server = Server {
            set,
            clock,
            poll,
            inbox,
            relay,
            listeners,
            conns: HashMap::new(),
            next_conn: CONNS,
            more: Vec::new(),
            voters,
            upstreams,
            orders,
            call: None,
            calls: 0,
            lost: BTreeSet::new(),
            up: None,
            words,
            shared: Vec::new(),
            scratch: Vec::new(),
            lines: LogRateLimiter::default(),
            stopping: None,
            batch,
            spread,
        };
        Ok((server, to))
    }

    /// Serves until it has stopped.
    pub fn serve(mut self) -> Result<(), ServerError> {
        let mut events = Events::with_capacity(1_024);
        let mut tick = self.clock.now();
        let mut step = tick;
        loop {
            let now = self.clock.now();
            if now >= step || now >= tick {
                self.relay.step(now, unix());
            }
            self.carry(now);
            self.follow(now);
            step = self.relay.next_wakeup(now);
            if now >= tick {
                self.tick(now);
                tick = if now < tick + self.batch { tick + self.batch } else { now + self.batch };
            }
            let over = |at: Ns| now >= at + LEAVING || now >= at + HANDS && self.conns.is_empty();
            if self.stopping.is_some_and(over) {
                return Ok(());
            }
            let next = if self.more.is_empty() { tick.min(step) } else { now };
            let wait = Duration::from_nanos(next.saturating_sub(self.clock.now()));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(ServerError::Io("poll", e)),
                _ => {}
            }
            let now = self.clock.now();
            for event in &events {
                match event.token() {
                    INBOX => {}
                    Token(at) if at < CONNS => self.accepts(at, now),
                    Token(at) => {
                        self.moves(at, now, event.is_readable() || event.is_error(), event.is_writable());
                    }
                }
            }
            for at in std::mem::take(&mut self.more) {
                self.moves(at, now, true, false);
            }
            self.hears(now);
        }
    }

    fn accepts(&mut self, at: usize, now: Ns) {
        let Some(listener) = self.listeners.get_mut(at) else { return };
        listener.again = false;
        loop {
            match listener.socket.accept() {
                Ok((mut stream, from)) => {
                    let most = self.set.relay.connections;
                    if self.conns.len() >= most {
                        // Those that are written whole and only wait for their reader's end make room first.
                        self.conns.retain(|_, conn| !matches!(conn.state, State::Drains));
                    }
                    if self.conns.len() >= most {
                        if let Some(left_out) = self.lines.next(now) {
                            tracing::warn!(
                                "relay connection refused from={from} most={most} left_out={left_out}"
                            );
                        }
                        continue;
                    }
                    let token = self.next_conn;
                    let both = Interest::READABLE | Interest::WRITABLE;
                    if self.poll.registry().register(&mut stream, Token(token), both).is_err() {
                        continue;
                    }
                    self.next_conn += 1;
                    self.conns.insert(token, Connection::new(stream, at, from.ip(), now));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Descriptors, most likely: tried again on the next tick.
                    listener.again = true;
                    if let Some(left_out) = self.lines.next(now) {
                        tracing::warn!("relay accept failed: {e} left_out={left_out}");
                    }
                    return;
                }
            }
        }
    }

    /// Something can be done on a connection.
    fn moves(&mut self, at: usize, now: Ns, readable: bool, writable: bool) {
        let Some(mut conn) = self.conns.remove(&at) else { return };
        let before = self.streaming(&conn);
        let kept = self.moved(at, &mut conn, now, readable, writable);
        self.settled(at, conn, before, kept);
    }

    /// A connection is kept, or over; a stream that is over, or begins to end, was one.
    fn settled(
        &mut self,
        at: usize,
        conn: Connection,
        before: Option<Arc<str>>,
        kept: Result<(), ErrorKind>,
    ) {
        let after = self.streaming(&conn);
        match kept {
            Ok(()) => {
                if let (Some(name), None) = (&before, &after) {
                    self.relay.on_subscriber_disconnected(name);
                }
                self.conns.insert(at, conn);
            }
            Err(why) => {
                tracing::debug!("relay connection from={} over: {why}", conn.from);
                if let Some(name) = before.or(after) {
                    self.relay.on_subscriber_disconnected(&name);
                }
            }
        }
    }

    fn streaming(&self, conn: &Connection) -> Option<Arc<str>> {
        if let State::Streams(s) = &conn.state { Some(Arc::clone(&s.reader)) } else { None }
    }

    /// An error: the connection is over.
    fn moved(
        &mut self,
        at: usize,
        conn: &mut Connection,
        now: Ns,
        readable: bool,
        writable: bool,
    ) -> Result<(), ErrorKind> {
        if writable {
            conn.write(now)?;
        }
        if !readable {
            return Ok(());
        }
        let came = conn.read(self.most(), now)?;
        if came == Came::More {
            self.more.push(at);
        }
        self.asked(at, conn, now)?;
        match (&conn.state, came) {
            (State::Calls | State::Streams(_) | State::Drains, Came::Over) => Err(ErrorKind::UnexpectedEof),
            _ => Ok(()),
        }
    }

    /// The most that is kept of one connection: a whole request and the beginning of the next.
    fn most(&self) -> usize {
        2 * http::LONGEST + self.largest()
    }

    fn largest(&self) -> usize {
        let h = &self.set.relay;
        if self.set.is_voter() { h.log_bytes + CALL } else { h.event_bytes }
    }

    /// Answers what was asked whole.
    fn asked(&mut self, at: usize, conn: &mut Connection, now: Ns) -> Result<(), ErrorKind> {
        while matches!(conn.state, State::Calls) && !conn.came.is_empty() {
            let request = match http::request(&conn.came) {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(no) => return self.refuse(conn, now, no.code, &no.why),
            };
            let most = match request.want {
                Want::Publish(_) => self.set.relay.event_bytes,
                Want::Relay if self.set.is_voter() => self.largest(),
                Want::InForce => WORD,
                _ => 0,
            };
            if request.body > most {
                let why = format!("the body has {} bytes, more than {most}", request.body);
                return self.refuse(conn, now, 413, &why);
            }
            let whole = request.head + request.body;
            if conn.came.len() < whole {
                return Ok(());
            }
            let body = conn.came[request.head..whole].to_vec();
            let relay = request.relay.map(|n| (n, request.in_force));
            conn.used(whole);
            conn.state = State::Owed { closes: request.closes };
            match request.want {
                Want::Events(_) if self.stopping.is_some() => return self.refuse(conn, now, 503, "it stops"),
                Want::Events(last) => self.begins(conn, now, last, relay)?,
                Want::Status => {
                    let status = self.relay.status(now, unix());
                    let body = serde_json::to_vec(&status).unwrap_or_default();
                    self.answer(conn, now, 200, "application/json", &body)?;
                }
                Want::Publish(mark) => {
                    if self.stopping.is_some() {
                        self.answer(conn, now, 503, "application/json", br#"{"error":"it stops"}"#)?;
                    } else {
                        self.relay.publish(now, unix(), at as u64, mark.as_deref(), &body);
                    }
                }
                Want::Relay => match rmp_serde::from_slice::<PeerRequest>(&body) {
                    Ok(request) => {
                        conn.widen(WIDE);
                        let reply = self.relay.on_peer_request(now, unix(), request);
                        let body = rmp_serde::to_vec(&reply).unwrap_or_default();
                        self.answer(conn, now, 200, "application/msgpack", &body)?;
                    }
                    Err(e) => return self.refuse(conn, now, 400, &format!("not a call of a voter: {e}")),
                },
                Want::InForce => {
                    let to =
                        self.relay.upstream_to_follow(now).and_then(|(place, _)| self.upstreams.get(place));
                    let word = to.map(|to| AppliedReport { conn: at, at: *to, body });
                    if word.is_none_or(|w| self.words.try_send(w).is_err()) {
                        self.answer(conn, now, 503, "", b"")?;
                    }
                }
            }
        }
        Ok(())
    }

    fn answer(
        &mut self,
        conn: &mut Connection,
        now: Ns,
        code: u16,
        kind: &str,
        body: &[u8],
    ) -> Result<(), ErrorKind> {
        let State::Owed { closes } = conn.state else { return Ok(()) };
        let closes = closes || self.stopping.is_some();
        conn.say(&http::answer(code, kind, body, closes), now)?;
        if closes {
            return conn.end(now);
        }
        conn.state = State::Calls;
        Ok(())
    }

    /// A request that can't be served: it is said why, and the connection ends.
    fn refuse(&mut self, conn: &mut Connection, now: Ns, code: u16, why: &str) -> Result<(), ErrorKind> {
        if let Some(left_out) = self.lines.next(now) {
            tracing::warn!("relay request refused from={} code={code} left_out={left_out}: {why}", conn.from);
        }
        conn.state = State::Owed { closes: true };
        let body = json!({"error": why}).to_string();
        self.answer(conn, now, code, "application/json", body.as_bytes())
    }

    /// A stream begins.
    fn begins(
        &mut self,
        conn: &mut Connection,
        now: Ns,
        last: u64,
        relay: Option<(u32, Option<u64>)>,
    ) -> Result<(), ErrorKind> {
        let own = self.listeners.get(conn.listener).and_then(|l| l.reader.clone());
        let member = relay.filter(|(n, _)| self.set.members.iter().any(|m| m.number == *n));
        let ack = self.set.relay.ack_ms * MS;
        let mut batch = self.set.relay.batch_bytes;
        // A relay hears at the beginning of each stream how old it is what this one knows.
        let comment = if member.is_some() { now } else { now + COMMENT };
        let (reader, in_force, ack): (Arc<str>, _, _) = match (member, own) {
            // One that sums up others says so more often, and is told more at a time.
            (Some((number, floor)), _) => {
                conn.widen(WIDE);
                batch = batch.max(WIDE);
                (Arc::from(RelayServerConfig::relay_name(number)), floor.unwrap_or(last), ack / RELAYS_SOONER)
            }
            (None, Some(reader)) => (reader, last, ack),
            (None, None) => (Arc::from(conn.from.to_canonical().to_string()), last, ack),
        };
        self.relay.on_subscriber_connected(now, unix(), &reader, in_force);
        // Streams end apart, none later than it should.
        let ends = now + ack - self.spread.hash_one(&reader) % (ack / 4);
        conn.came = Vec::new();
        conn.state = State::Streams(Streaming { reader, cursor: last, batch, ends, comment });
        conn.say(http::STREAM, now)?;
        self.tell(conn, now)
    }

    /// Tells a reader what comes next, if it has taken all that it was told.
    fn tell(&mut self, conn: &mut Connection, now: Ns) -> Result<(), ErrorKind> {
        if conn.out_waits() {
            return Ok(());
        }
        let State::Streams(s) = &mut conn.state else { return Ok(()) };
        let (cursor, most) = (s.cursor, s.batch);
        let own = most == self.set.relay.batch_bytes;
        if let Some(batch) = self.shared.iter().find(|b| own && b.cursor == cursor) {
            s.cursor = batch.next;
            return conn.say(&batch.bytes, now);
        }
        self.scratch.clear();
        let next = self.relay.encode_after(cursor, most, &mut self.scratch);
        s.cursor = next;
        let said = conn.say(&self.scratch, now);
        if own && self.shared.len() < SHARED {
            self.shared.push(Batch { cursor, next, bytes: std::mem::take(&mut self.scratch) });
        } else if self.scratch.capacity() > 4 * most {
            self.scratch = Vec::new();
        }
        said
    }

    /// All readers are told what is new; what is over ends.
    fn tick(&mut self, now: Ns) {
        self.shared.clear();
        let comment = self.relay.staleness_comment(now);
        let mut conns = std::mem::take(&mut self.conns);
        conns.retain(|_, conn| {
            let name = self.streaming(conn);
            let kept = self.ticks(conn, now, &comment);
            if let Some(name) = name
                && (kept.is_err() || !matches!(conn.state, State::Streams(_)))
            {
                self.relay.on_subscriber_disconnected(&name);
            }
            kept.is_ok()
        });
        self.conns = conns;
        self.shared.clear();
        for at in 0..self.listeners.len() {
            if self.listeners[at].again {
                self.accepts(at, now);
            }
        }
    }

    /// An error: the connection is over.
    fn ticks(&mut self, conn: &mut Connection, now: Ns, comment: &str) -> Result<(), ErrorKind> {
        let rests = now.saturating_sub(conn.moved);
        let stuck = self.set.relay.stuck_ms * MS;
        match &mut conn.state {
            State::Calls if rests > IDLE => conn.end(now),
            State::Calls => Ok(()),
            State::Owed { .. } if rests > IDLE => {
                self.answer(conn, now, 503, "application/json", br#"{"error":"nobody answered in time"}"#)
            }
            State::Owed { .. } => Ok(()),
            State::Drains if rests > DRAINED => Err(ErrorKind::TimedOut),
            State::Drains => Ok(()),
            State::Ends if rests > stuck => Err(ErrorKind::TimedOut),
            State::Ends => Ok(()),
            State::Streams(s) => {
                let (over, due) = (now >= s.ends || self.stopping.is_some(), now >= s.comment);
                if conn.out_waits() && rests > stuck {
                    return Err(ErrorKind::TimedOut);
                }
                self.tell(conn, now)?;
                if over {
                    return conn.end(now);
                }
                // One that is behind hears it once it has taken what waits.
                let free = !conn.out_waits();
                if let State::Streams(s) = &mut conn.state
                    && due
                    && free
                {
                    s.comment = now + COMMENT;
                    return conn.say(comment.as_bytes(), now);
                }
                Ok(())
            }
        }
    }

    /// What threads have to say.
    fn hears(&mut self, now: Ns) {
        for what in self.inbox.clone().try_iter().take(INBOX_LENGTH) {
            match what {
                ServerEvent::PeerReplied { voter, number, reply } => {
                    self.relay.on_peer_reply(now, unix(), voter, number, *reply);
                }
                ServerEvent::UpstreamItems(call, said) => {
                    for one in said {
                        if self.call.is_some_and(|c| c.number == call) {
                            self.fed(now, one);
                        }
                    }
                }
                ServerEvent::UpstreamEnded(call, why) if self.call.is_some_and(|c| c.number == call) => {
                    if let (Err(why), Some(open)) = (why, self.call) {
                        if self.lost.insert(open.at) {
                            tracing::warn!("relay upstream lost at={}: {why}", open.at);
                        }
                        self.relay.on_upstream_failed(now);
                    }
                    self.call = None;
                }
                ServerEvent::UpstreamEnded(..) => {}
                ServerEvent::ReportForwarded { conn, is_accepted: taken } => {
                    self.settles(conn, now, if taken { 204 } else { 503 }, b"");
                }
                ServerEvent::Stop => {
                    if self.stopping.is_none() {
                        tracing::info!("relay stops");
                        self.stopping = Some(now);
                        self.relay.hand_over(now);
                        // Who calls from here on goes elsewhere at once.
                        self.listeners.clear();
                    }
                }
                ServerEvent::LogStatus => {
                    let status = self.relay.status(now, unix());
                    let text = serde_json::to_string(&status).unwrap_or_default();
                    tracing::info!(connections = self.conns.len(), "relay status {text}");
                }
            }
        }
    }

    /// What the upstream says.
    fn fed(&mut self, now: Ns, said: StreamItem) {
        match said {
            StreamItem::Connected => {
                let open = self.call.filter(|c| self.lost.remove(&c.at) || self.up != Some(c.at));
                if let Some(open) = open {
                    self.up = Some(open.at);
                    tracing::info!("relay upstream up at={} after={}", open.at, open.after);
                }
            }
            StreamItem::Comment(comment) => self.relay.on_upstream_comment(now, &comment),
            StreamItem::Event { id, data } => {
                if let ApplyOutcome::Resubscribe(why) =
                    self.relay.on_upstream_event(now, unix(), id, data.as_bytes())
                {
                    if let Some(left_out) = self.lines.next(now) {
                        tracing::warn!("relay upstream called again left_out={left_out}: {why}");
                    }
                    self.call = None;
                }
            }
        }
    }

    /// Calls the upstream where none is called, or another one is to be followed.
    fn follow(&mut self, now: Ns) {
        if self.upstreams.is_empty() || self.stopping.is_some() {
            return;
        }
        let Some((place, floor)) = self.relay.upstream_to_follow(now) else { return };
        let Some(&at) = self.upstreams.get(place) else { return };
        if self.call.is_some_and(|c| c.at == at) {
            return;
        }
        self.calls += 1;
        // A relay is told its number in force apart from where it goes on, so that it repeats nothing; an outside feed
        // knows one number alone.
        let outside = !self.set.upstreams.is_empty();
        let (after, in_force) = if outside { (floor, None) } else { (self.relay.last_number(), Some(floor)) };
        let order = Order { number: self.calls, at, after, in_force };
        match self.orders.try_send(order) {
            Ok(()) => self.call = Some(order),
            // The thread is busy with what is over: on the next tick.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// Does what the relay says.
    fn carry(&mut self, now: Ns) {
        loop {
            let acts = self.relay.take_actions();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    Action::Call { voter, call_id: number, request } => {
                        if let Some(Some(calls)) = self.voters.get(voter as usize) {
                            // One that is full belongs to a voter that hangs: what it is told is told again.
                            let _ = calls.try_send((number, request));
                        }
                    }
                    Action::Published { ticket, result } => self.published(ticket as usize, now, result),
                    Action::LeadershipGained(token) => {
                        tracing::info!(term = token.term, "relay owns the feed")
                    }
                    Action::LeadershipLost(token) => {
                        tracing::info!(term = token.term, "relay owns the feed no more")
                    }
                    Action::Log(line) => tracing::info!("relay: {line}"),
                }
            }
        }
    }

    fn published(&mut self, at: usize, now: Ns, result: Result<u64, PublishError>) {
        let no = match result {
            Ok(n) => return self.settles(at, now, 200, json!({"n": n}).to_string().as_bytes()),
            Err(no) => no,
        };
        let code = match &no {
            PublishError::NotLeader(_) | PublishError::LeadershipLost => 503,
            PublishError::InvalidEvent(sablecross_relay::EventError::TooLarge { .. }) => 413,
            PublishError::InvalidEvent(_) | PublishError::PurgeInFuture(..) | PublishError::KeyTooLong(_) => {
                400
            }
            PublishError::LogFull(_) => 507,
            PublishError::NoList => 409,
        };
        if code != 503
            && let Some(left_out) = self.lines.next(now)
        {
            let from: Option<IpAddr> = self.conns.get(&at).map(|c| c.from);
            tracing::warn!("relay event refused from={from:?} left_out={left_out}: {no}");
        }
        let owner = if let PublishError::NotLeader(Some(owner)) = &no { Some(owner.number) } else { None };
        let body = json!({"error": no.to_string(), "owner": owner}).to_string();
        self.settles(at, now, code, body.as_bytes());
    }

    /// An answer that was owed.
    fn settles(&mut self, at: usize, now: Ns, code: u16, body: &[u8]) {
        let Some(mut conn) = self.conns.remove(&at) else { return };
        let done = self.answer(&mut conn, now, code, "application/json", body);
        // What came behind it meanwhile.
        let kept = done.and_then(|()| self.asked(at, &mut conn, now));
        self.settled(at, conn, None, kept);
    }
}
