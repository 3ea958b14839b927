//! A simulated director: it runs the product's own discovery code and serves no clients. It follows the event stream by
//! the rules of `sablecross-discovery`, parses events with the code of the real director, and applies them to a real
//! router.

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

use crate::clock::unix_ms;
use crate::fleet::link_proxy::connect_from;

use super::pool_messages::{
    ConfirmedEvent, DirectorIdentity, EventArrival, Finished, PoolProgress, shared_ns,
};

/// State that all simulated directors of one process share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) started: Instant,
    pub(crate) progress: PoolProgress,
    pub(crate) result: Finished,
    /// Arrivals by event number.
    pub(crate) arrivals: BTreeMap<u64, EventArrival>,
    /// Sockets that directors dropped behind a cut. They stay open until the cut is healed, so that the other end does
    /// not see them close.
    pub(crate) dropped_behind_cut: Vec<(SocketAddr, TcpStream)>,
}

impl Shared {
    /// Counts one director that applied an event. `content` is none for a snapshot; `timed` says whether the time of
    /// the arrival counts.
    fn record_arrival(&mut self, number: u64, content: Option<u32>, timed: bool) {
        let arrival = self.arrivals.entry(number).or_default();
        self.result.different_events +=
            u64::from(arrival.content.zip(content).is_some_and(|(known, new)| known != new));
        (arrival.number, arrival.content, arrival.count) =
            (number, arrival.content.or(content), arrival.count + 1);
        if timed {
            arrival.last_ns = shared_ns();
        }
    }
}

/// The state of a director's connection to its feed.
enum ConnectionPhase {
    /// The director was killed.
    Stopped,
    /// The director connects at this time.
    Waiting(Instant),
    /// Connecting since this time. There is no socket if the feed is behind a cut: such an attempt ends by its timeout.
    Connecting(Option<TcpStream>, Instant),
    Open(Box<OpenConnection>),
}

struct OpenConnection {
    socket: TcpStream,
    parser: EventStreamParser,
    /// When bytes were last read.
    last_read: Instant,
}

/// What a director knows from its start until it is killed.
struct DirectorState {
    router: Router,
    node_registry: NodeRegistry,
    hierarchy_parents: ParentHierarchy,
    cursor: EventCursor,
    feeds: FeedSelector,
    started: Instant,
    /// The highest number that any director of the process had applied when this one was restarted; 0 at its first
    /// start. The director has caught up once it has applied this number.
    catch_up_target: u64,
    caught_up: bool,
    /// Whether a feed has answered since the start.
    was_connected: bool,
    /// The number of the last applied event.
    last_number: u64,
    /// The highest number up to which every event was applied or replaced by a snapshot.
    contiguous_number: u64,
    /// A bit for each content: whether its event was applied.
    applied_contents: Vec<u64>,
    /// Snapshots that replaced events.
    replaced_ranges: Vec<ReplacedRange>,
    /// The content of each node's last change, by the number of the node.
    last_changes: Vec<u32>,
}

/// The events that a snapshot replaced.
struct ReplacedRange {
    /// The number before the first of them.
    after: u64,
    /// The number of the snapshot.
    snapshot: u64,
    /// When the snapshot was applied, in Unix milliseconds, as purges are stamped.
    applied_ms: u64,
}

impl ReplacedRange {
    fn contains(&self, number: u64) -> bool {
        (self.after + 1..=self.snapshot).contains(&number)
    }

    /// Whether the snapshot stands for the event: for a change of the list always, for a purge once it is kept no more.
    fn may_leave_out(&self, event: &ConfirmedEvent, purge_retention_ms: u64) -> bool {
        event.purged_ms == 0 || event.purged_ms + purge_retention_ms <= self.applied_ms
    }
}

/// One simulated director with its connection.
pub(crate) struct SimulatedDirector {
    pub(crate) identity: DirectorIdentity,
    token: Token,
    state: Box<DirectorState>,
    connection: ConnectionPhase,
    /// When the last connection attempt began.
    connect_began: Instant,
    /// The last event number that was applied before that attempt.
    number_before: u64,
    /// Feeds from which the director is cut off.
    pub(crate) cut_feeds: Vec<SocketAddr>,
    /// Whether the director reads one byte at each timer tick.
    pub(crate) reads_slowly: bool,
}

/// Why a connection ended.
enum ConnectionEnd {
    Failed,
    /// An event was missing or unreadable: the director subscribes again.
    Resubscribe,
    /// The feed ended the stream.
    Ended,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> ConnectionEnd {
        ConnectionEnd::Failed
    }
}

impl DirectorState {
    /// The state at a start, with the events of the configuration applied.
    fn new(identity: &DirectorIdentity, shared: &Shared, catch_up_target: u64) -> DirectorState {
        let Config { settings, known, .. } = &shared.config;
        let mut settings = settings.clone();
        settings.director_index = identity.number;
        let (home, others) =
            identity.feeds.split_first().expect("a simulated director has at least one feed");
        let mut state = DirectorState {
            router: Router::new(settings, identity.number as u64, shared.clock.now()),
            node_registry: NodeRegistry::default(),
            hierarchy_parents: ParentHierarchy::new(shared.config.settings.parent_kind),
            cursor: EventCursor::after_number(known.last),
            feeds: FeedSelector::new(&format!("hollow-{}", identity.number), *home, others),
            started: Instant::now(),
            catch_up_target,
            caught_up: catch_up_target == 0,
            was_connected: false,
            last_number: known.last,
            contiguous_number: known.last,
            applied_contents: Vec::new(),
            replaced_ranges: Vec::new(),
            last_changes: Vec::new(),
        };
        for event in &known.events {
            state.apply(&event.event, shared);
        }
        state
    }

    /// Applies an event as a real director does.
    fn apply(&mut self, event: &DiscoveryEvent, shared: &Shared) {
        let now: Ns = shared.clock.now();
        match event {
            DiscoveryEvent::Endpoints { endpoints, is_snapshot } => {
                let DirectorState { node_registry, hierarchy_parents, .. } = self;
                node_registry.release_unused(u64::MAX, |_| true);
                let names = &shared.config.names;
                node_registry.observe_starts(endpoints, now);
                let mut lines: Vec<_> =
                    endpoints.iter().filter_map(|e| node_registry.endpoint_update(names, e, now)).collect();
                node_registry.record_states(&lines, *is_snapshot, 0);
                hierarchy_parents
                    .update_parents(&mut lines, *is_snapshot, |node| node_registry.name(node).to_owned());
                self.router.update_endpoints(now, &lines, *is_snapshot);
                // A simulated director has no log: its log lines are dropped.
                self.router.take_log_lines();
            }
            DiscoveryEvent::Purge { object, group } => {
                self.router.record_purge(now, *object, *group, 0);
            }
            DiscoveryEvent::Hierarchy(hierarchy) => {
                if let Some((lines, _)) = self.hierarchy_parents.adopt(hierarchy) {
                    self.router.update_endpoints(now, &lines, false);
                }
            }
        }
    }

    /// Records an applied event. Counts it if it is out of order, was applied twice, or is older than the last change
    /// of a node. The check does not rely on the discovery code, which has accepted the event.
    fn check_event(&mut self, number: u64, event: &Value, shared: &mut Shared) {
        let result = &mut shared.result;
        result.out_of_order += u64::from(number <= self.last_number);
        let members = event.get("members");
        let is_snapshot = members.is_some_and(|m| m["snapshot"] == true);
        self.last_number = number;
        if is_snapshot {
            self.replaced_ranges.push(ReplacedRange {
                after: self.contiguous_number,
                snapshot: number,
                applied_ms: unix_ms(),
            });
            self.contiguous_number = number;
        } else if number == self.contiguous_number + 1 {
            self.contiguous_number = number;
        }
        let content = match members {
            Some(_) if is_snapshot => 0,
            Some(members) => members["index"].as_u64().unwrap_or(0) as u32,
            None => {
                let key = event.pointer("/purge/key").and_then(Value::as_str).unwrap_or_default();
                u64::from_str_radix(key, 16).unwrap_or(0) as u32
            }
        };
        if content > 0 {
            let (word, bit) = (content as usize / 64, 1 << (content % 64));
            if self.applied_contents.len() <= word {
                self.applied_contents.resize(word + 1, 0);
            }
            result.applied_twice += u64::from(self.applied_contents[word] & bit != 0);
            self.applied_contents[word] |= bit;
        }
        let previous = if is_snapshot { std::mem::take(&mut self.last_changes) } else { Vec::new() };
        for line in members.and_then(|m| m["endpoints"].as_array()).into_iter().flatten() {
            let node = line["name"].as_str().and_then(|n| n.rsplit('-').next()?.parse::<usize>().ok());
            let (Some(node), Some(change)) = (node, line["weight"].as_u64()) else { continue };
            if self.last_changes.len() <= node {
                self.last_changes.resize(node + 1, 0);
            }
            let before = previous.get(node).copied().unwrap_or_default().max(self.last_changes[node]);
            result.out_of_order += u64::from(before > change as u32);
            self.last_changes[node] = change as u32;
        }
        shared.record_arrival(number, (!is_snapshot).then_some(content), number > self.catch_up_target);
    }

    /// Counts the published events after `known` that were not applied, and a list that differs from the published one.
    /// An event that a snapshot replaced counts as expired if it was a change of the list, or a purge that had reached
    /// the age at which a snapshot may leave it out; else it counts as missed.
    fn compare_with_published(
        &self,
        published: &[ConfirmedEvent],
        list: &[(u32, bool)],
        known: u64,
        purge_retention_ms: u64,
        result: &mut Finished,
    ) {
        for event in published.iter().filter(|event| event.number > known) {
            let was_applied = self
                .applied_contents
                .get(event.content as usize / 64)
                .is_some_and(|w| w & (1 << (event.content % 64)) != 0);
            if was_applied {
                continue;
            }
            let replaced = self.replaced_ranges.iter().find(|range| range.contains(event.number));
            if replaced.is_some_and(|range| range.may_leave_out(event, purge_retention_ms)) {
                result.expired += 1;
            } else {
                result.missed += 1;
            }
        }
        let is_same = list.iter().enumerate().all(|(n, (change, gone))| {
            let applied = self.last_changes.get(n).copied().unwrap_or(0);
            applied == *change || (*gone && applied == 0)
        });
        result.wrong_lists += u64::from(!is_same);
    }
}

impl SimulatedDirector {
    /// A director that connects for the first time after `spread`.
    pub(crate) fn new(
        identity: DirectorIdentity,
        token: Token,
        shared: &Shared,
        spread: Duration,
    ) -> SimulatedDirector {
        let state = Box::new(DirectorState::new(&identity, shared, 0));
        let now = Instant::now();
        let (connection, cut_feeds) = (ConnectionPhase::Waiting(now + spread), Vec::new());
        SimulatedDirector {
            identity,
            token,
            state,
            connection,
            connect_began: now,
            number_before: 0,
            cut_feeds,
            reads_slowly: false,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        !matches!(self.connection, ConnectionPhase::Stopped)
    }

    /// Whether the director runs and a feed has answered since its start.
    pub(crate) fn was_connected(&self) -> bool {
        self.is_running() && self.state.was_connected
    }

    /// The number of the last event that the director has applied.
    pub(crate) fn last_applied(&self) -> u64 {
        self.state.cursor.last_number()
    }

    /// Stops the director and drops its connection. Its next start begins with a new state.
    pub(crate) fn kill(&mut self, shared: &mut Shared) {
        let connection = std::mem::replace(&mut self.connection, ConnectionPhase::Stopped);
        self.drop_connection(connection, shared);
    }

    /// Restarts a killed director, which then knows the events of the configuration. Does nothing if the director runs.
    pub(crate) fn start(&mut self, shared: &mut Shared) {
        if self.is_running() {
            return;
        }
        let catch_up_target = shared.progress.highest_applied;
        *self.state = DirectorState::new(&self.identity, shared, catch_up_target);
        shared.result.restarts += 1;
        self.connection = ConnectionPhase::Waiting(Instant::now());
    }

    /// Closes a connection, or keeps its socket open while the director is cut off from the feed.
    fn drop_connection(&mut self, connection: ConnectionPhase, shared: &mut Shared) {
        let address = self.state.feeds.current();
        let socket = match connection {
            ConnectionPhase::Open(open) => open.socket,
            ConnectionPhase::Connecting(Some(socket), _) => socket,
            _ => return,
        };
        // The other end must not see the connection close before the cut is healed.
        if self.cut_feeds.contains(&address) {
            shared.dropped_behind_cut.push((address, socket));
        }
    }

    /// Does what is due by the clock: connects, ends a connection by its timeout, or reads slowly.
    pub(crate) fn on_timer(&mut self, shared: &mut Shared, registry: &Registry) {
        let limits = &shared.config.limits;
        let outcome = match &mut self.connection {
            ConnectionPhase::Stopped => return,
            ConnectionPhase::Waiting(until) if Instant::now() < *until => return,
            ConnectionPhase::Waiting(_) => return self.connect(shared, registry),
            ConnectionPhase::Connecting(_, since)
                if since.elapsed() < Duration::from_nanos(limits.connect_timeout) =>
            {
                return;
            }
            ConnectionPhase::Connecting(..) => Err(ConnectionEnd::Failed),
            ConnectionPhase::Open(open) if open.last_read.elapsed() >= limits.feed_silence_timeout => {
                Err(ConnectionEnd::Failed)
            }
            ConnectionPhase::Open(_) if self.reads_slowly => self.read(shared, 1),
            ConnectionPhase::Open(_) => return,
        };
        self.on_connection_end(outcome, shared);
    }

    /// Starts a connection to the current feed.
    fn connect(&mut self, shared: &mut Shared, registry: &Registry) {
        shared.progress.calls += 1;
        (self.connect_began, self.number_before) = (Instant::now(), self.last_applied());
        let at = self.state.feeds.current();
        if self.cut_feeds.contains(&at) {
            self.connection = ConnectionPhase::Connecting(None, self.connect_began);
            return;
        }
        match self.dial(at, registry) {
            Ok(socket) => self.connection = ConnectionPhase::Connecting(Some(socket), self.connect_began),
            Err(e) => self.on_connection_end(Err(e.into()), shared),
        }
    }

    fn dial(&self, at: SocketAddr, registry: &Registry) -> io::Result<TcpStream> {
        let mut socket = connect_from(self.identity.source, at)?;
        registry.register(&mut socket, self.token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(socket)
    }

    /// Handles a socket that became readable or writable.
    pub(crate) fn on_socket_ready(&mut self, shared: &mut Shared) {
        let outcome = self.connect_or_read(shared);
        self.on_connection_end(outcome, shared);
    }

    /// Sends the request once the connection is established, then reads unless the director reads slowly.
    fn connect_or_read(&mut self, shared: &mut Shared) -> Result<(), ConnectionEnd> {
        let at = self.state.feeds.current();
        if self.cut_feeds.contains(&at) {
            return Ok(());
        }
        if let ConnectionPhase::Connecting(socket, _) = &mut self.connection {
            let Some(open) = socket else { return Ok(()) };
            if let Some(e) = open.take_error()? {
                return Err(e.into());
            }
            match open.peer_addr() {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(e.into()),
            }
            // The request is short enough for the empty send buffer of a new connection.
            let request = events_request(at, self.state.cursor.last_number());
            open.write_all(request.as_bytes())?;
            shared.progress.bytes_out += request.len() as u64;
            let parser = EventStreamParser::new(shared.config.limits.max_feed_event_bytes);
            let Some(socket) = socket.take() else { return Ok(()) };
            self.connection =
                ConnectionPhase::Open(Box::new(OpenConnection { socket, parser, last_read: Instant::now() }));
        }
        if self.reads_slowly { Ok(()) } else { self.read(shared, 16 << 10) }
    }

    /// Reads at most `max_bytes` at a time until the socket is empty, or once if `max_bytes` is 1.
    fn read(&mut self, shared: &mut Shared, max_bytes: usize) -> Result<(), ConnectionEnd> {
        let mut bytes = [0; 16 << 10];
        loop {
            let ConnectionPhase::Open(open) = &mut self.connection else { return Ok(()) };
            match open.socket.read(&mut bytes[..max_bytes]) {
                Ok(0) => {
                    return Err(open
                        .parser
                        .finish()
                        .map_or(ConnectionEnd::Failed, |()| ConnectionEnd::Ended));
                }
                Ok(n) => {
                    shared.progress.reads += 1;
                    shared.progress.bytes_in += n as u64;
                    open.last_read = Instant::now();
                    open.parser.push(&bytes[..n]);
                    while let ConnectionPhase::Open(open) = &mut self.connection
                        && let Some(item) = open.parser.next_item().map_err(|_| ConnectionEnd::Failed)?
                    {
                        match item {
                            StreamItem::Connected => {
                                self.state.feeds.on_connected();
                                self.state.was_connected = true;
                            }
                            StreamItem::Event { id, data } => self.on_event(id, &data, shared)?,
                            StreamItem::Comment(_) => {}
                        }
                    }
                    if max_bytes == 1 {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn on_event(&mut self, id: Option<u64>, data: &str, shared: &mut Shared) -> Result<(), ConnectionEnd> {
        let value: Result<Value, String> = serde_json::from_str(data).map_err(|e| e.to_string());
        let parsed = value
            .as_ref()
            .map_err(String::clone)
            .and_then(|value| NumberedEvent::from_json(value).map_err(|e| e.to_string()));
        match self.state.cursor.classify(id, parsed.map(|e| (e.number, e.event))) {
            EventVerdict::New(event) => {
                shared.progress.applied += 1;
                self.state.apply(&event, shared);
                let number = self.last_applied();
                self.state.check_event(number, value.as_ref().unwrap_or(&Value::Null), shared);
                shared.progress.highest_applied = shared.progress.highest_applied.max(number);
                if !self.state.caught_up && number >= self.state.catch_up_target {
                    self.state.caught_up = true;
                    shared.result.catch_up.push(self.state.started.elapsed().as_millis() as u64);
                }
            }
            EventVerdict::Duplicate => {}
            EventVerdict::Resubscribe(_) => {
                shared.progress.gaps += 1;
                return Err(ConnectionEnd::Resubscribe);
            }
            EventVerdict::Skip { .. } => shared.progress.skipped += 1,
        }
        Ok(())
    }

    /// Handles the end of a connection: selects the next feed and when to connect, by the rules of a real director.
    fn on_connection_end(&mut self, outcome: Result<(), ConnectionEnd>, shared: &mut Shared) {
        let Err(end) = outcome else { return };
        let connection = std::mem::replace(&mut self.connection, ConnectionPhase::Stopped);
        self.drop_connection(connection, shared);
        match end {
            ConnectionEnd::Failed => self.state.feeds.on_failed(shared.started.elapsed()),
            ConnectionEnd::Ended => self.state.feeds.on_stream_ended(shared.started.elapsed()),
            ConnectionEnd::Resubscribe => {}
        }
        let pause = shared.config.limits.feed_retry_delay;
        let is_early = self.last_applied() == self.number_before && self.connect_began.elapsed() < pause;
        self.connection =
            ConnectionPhase::Waiting(Instant::now() + if is_early { pause } else { Duration::ZERO });
    }

    pub(crate) fn compare_with_published(
        &self,
        published: &[ConfirmedEvent],
        list: &[(u32, bool)],
        purge_retention_ms: u64,
        shared: &mut Shared,
    ) {
        let known = shared.config.known.last;
        self.state.compare_with_published(published, list, known, purge_retention_ms, &mut shared.result);
    }
}
