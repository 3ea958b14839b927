//! Stub nodes: caches, a parent and an origin that keep copies, and misbehave while a fault makes them.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::Seconds;
use super::capacity::{Admission, AdmissionQueue, Capacity};
use super::rule_checker::{Attempt, NodeCondition, NodeLink, RuleChecker};
use super::send_log::LinkPorts;
use crate::clock::unix_ms;
use crate::pull_request::PullRequest;
use crate::threads::{lock, spawn};

#[cfg(test)]
mod tests;

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 128;
/// The backlog while connections are accepted late: so small that further connections find no room.
const DELAYED_BACKLOG: i32 = 0;
/// For this long after a node was stuck or accepted connections late, it may still read bytes that had waited unread.
const LATE_READ_SECONDS: f64 = 1.0;
/// How often a stuck node checks whether it has collapsed.
const STUCK_POLL: Duration = Duration::from_millis(20);
/// Bytes that are no valid answer.
const GARBAGE: &[u8] = b"what is this\r\n";
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(3);

/// How a node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehavior {
    /// The node works normally.
    #[default]
    Normal,
    /// The node executes attempts and never answers.
    Hangs,
    /// The node reads nothing.
    Stuck,
    /// The node ends the connection in place of an answer: with even request numbers by RST before the execution,
    /// otherwise by FIN after it.
    Resets,
    /// The node rejects all attempts as overload.
    Full,
    /// The node executes attempts and answers with an error.
    Errors,
    /// The node sends bytes that are no valid answer.
    Garbage,
    /// The node sends each answer twice.
    Twice,
    /// The node answers a revalidation as unchanged, but with another entity tag than the client's copy has.
    WrongTag,
}

impl Misbehavior {
    /// Whether requests are executed and answered, so that the node's capacity limits them. A node that fails or
    /// rejects all requests treats those above its capacity in the same way.
    fn serves(self) -> bool {
        matches!(self, Misbehavior::Normal | Misbehavior::Twice | Misbehavior::WrongTag)
    }
}

#[derive(Default)]
struct NodeState {
    behavior: Misbehavior,
    misbehaves_until: Seconds,
    /// By object, when the node's copy was made, in Unix milliseconds.
    copies: HashMap<u64, u64>,
    connections: Vec<Arc<TcpStream>>,
    /// The node reads nothing until this time.
    stuck_until: Seconds,
    /// The node accepts no connection until this time.
    accepts_from: Seconds,
    /// The calls that the node has accepted; none if its capacity is unlimited.
    admissions: Option<AdmissionQueue>,
    /// Whether the node has collapsed because it was overloaded while cold. A collapsed node stays down.
    has_collapsed: bool,
}

pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) name: String,
    /// The node type in the endpoint list.
    pub(crate) kind: &'static str,
    pub(crate) address: SocketAddr,
    checker: Arc<RuleChecker>,
    state: Mutex<NodeState>,
}

/// The nodes by name.
pub(crate) type Nodes = Arc<Mutex<HashMap<String, Arc<Node>>>>;

/// The fields of an attempt that a node uses.
struct Pull {
    request: u64,
    tag: String,
    object: u64,
    source: Option<String>,
    wait_ms: u64,
    max_age_ms: Option<u64>,
    held_tag: Option<String>,
}

impl Pull {
    fn from_request(request: &PullRequest) -> Option<Pull> {
        Some(Pull {
            request: u64::from_str_radix(request.tag, 16).ok()?,
            tag: request.tag.to_owned(),
            object: request.object()?,
            source: request.source().map(str::to_owned),
            wait_ms: request.wait_ms()?,
            max_age_ms: request.max_age_ms(),
            held_tag: request.client_copy_tag().map(str::to_owned),
        })
    }

    /// Formats an answer without a body.
    fn empty_answer(&self, word: &str) -> String {
        format!("{} {word} - 0\r\n\r\n", self.tag)
    }

    /// Formats the answer with a copy, or as unchanged if the client has the same copy.
    fn copy_answer(&self, issued_ms: u64, behavior: Misbehavior) -> String {
        let (tag, copy_tag) = (&self.tag, format!("t{issued_ms:x}"));
        if behavior == Misbehavior::WrongTag && self.held_tag.is_some() {
            return format!("{tag} NOMOD how=HIT,entity=other,issued={issued_ms} 0\r\n\r\n");
        }
        if self.held_tag.as_ref() == Some(&copy_tag) {
            return format!("{tag} NOMOD how=HIT,entity={copy_tag},issued={issued_ms} 0\r\n\r\n");
        }
        let padding = "x".repeat((self.object % 3_000) as usize);
        let body = format!("{:016x}{issued_ms:016x}{padding}", self.object);
        let length = body.len();
        format!("{tag} ACK how=HIT,entity={copy_tag},issued={issued_ms} {length}\r\n{body}\r\n")
    }
}

/// An attempt that was read and waits for its execution.
struct QueuedPull {
    pull: Pull,
    /// The result of `Node::report_attempt`: when the attempt was sent or, if that is not known, when it was received.
    attempted_at: Seconds,
    admission: Admission,
}

/// The attempts on a connection that the director has cancelled: a `KILL` cancels one attempt, the end of the
/// connection cancels all.
#[derive(Default)]
struct CancelledAttempts {
    requests: HashSet<u64>,
    connection_ended: bool,
}

impl CancelledAttempts {
    fn contains(&self, request: u64) -> bool {
        self.connection_ended || self.requests.contains(&request)
    }
}

/// Returns the request that a line cancels, if the line is a `KILL`.
fn cancelled_request(line: &str) -> Option<u64> {
    u64::from_str_radix(line.trim_end().strip_prefix("KILL ")?, 16).ok()
}

/// Whether a connection is still in use after an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    Open,
    Closed,
}

fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Shuts down reading from a connection; it is reset when its last user drops it.
fn reset_when_dropped(connection: &TcpStream) {
    let _ = SockRef::from(connection).set_linger(Some(Duration::ZERO));
    let _ = connection.shutdown(Shutdown::Read);
}

impl Node {
    /// Starts a node on a new port and adds it to `nodes`. Without a capacity it accepts any load.
    pub(crate) fn start(
        number: usize,
        name: &str,
        kind: &'static str,
        capacity: Option<Capacity>,
        checker: &Arc<RuleChecker>,
        nodes: &Nodes,
    ) -> io::Result<Arc<Node>> {
        let listener = listen()?;
        let node = Arc::new(Node {
            number,
            name: name.to_owned(),
            kind,
            address: listener.local_addr()?,
            checker: Arc::clone(checker),
            state: Mutex::new(NodeState {
                admissions: capacity.map(AdmissionQueue::new),
                ..NodeState::default()
            }),
        });
        lock(nodes).insert(name.to_owned(), Arc::clone(&node));
        let (this, nodes) = (Arc::clone(&node), Arc::clone(nodes));
        spawn(move || this.accept_connections(&listener, &nodes));
        Ok(node)
    }

    /// Makes the node misbehave for this many seconds.
    pub(crate) fn misbehave(&self, behavior: Misbehavior, seconds: f64) {
        let until = self.checker.now() + seconds;
        let mut state = lock(&self.state);
        (state.behavior, state.misbehaves_until) = (behavior, until);
        if behavior == Misbehavior::Stuck {
            state.stuck_until = state.stuck_until.max(until);
        }
    }

    /// Makes the node accept no connection for this many seconds.
    pub(crate) fn delay_connections(&self, seconds: f64) {
        let until = self.checker.now() + seconds;
        let mut state = lock(&self.state);
        state.accepts_from = state.accepts_from.max(until);
    }

    /// Closes or resets all connections, including idle ones.
    pub(crate) fn drop_connections(&self, by_reset: bool) {
        for connection in std::mem::take(&mut lock(&self.state).connections) {
            if by_reset {
                let _ = SockRef::from(&*connection).set_linger(Some(Duration::ZERO));
            }
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Takes the node down permanently: resets all connections, ends new ones at once and executes nothing any more.
    fn collapse(&self) {
        let connections = {
            let mut state = lock(&self.state);
            state.has_collapsed = true;
            std::mem::take(&mut state.connections)
        };
        connections.iter().for_each(|connection| reset_when_dropped(connection));
    }

    fn has_collapsed(&self) -> bool {
        lock(&self.state).has_collapsed
    }

    /// Adds an accepted connection to the open ones; returns false if the node is down.
    fn register_connection(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = lock(&self.state);
        if !state.has_collapsed {
            state.connections.push(Arc::clone(stream));
        }
        !state.has_collapsed
    }

    /// Returns how long to pause reading, at most one poll interval; none if the node is not stuck or has collapsed.
    fn stuck_for(&self) -> Option<Duration> {
        let state = lock(&self.state);
        let stuck = state.stuck_until - self.checker.now();
        (stuck > 0.0 && !state.has_collapsed).then(|| Duration::from_secs_f64(stuck).min(STUCK_POLL))
    }

    /// Decides when a call that was received begins, or that it is rejected.
    fn admit(&self) -> Admission {
        let now = self.checker.now();
        lock(&self.state).admissions.as_mut().map_or(Admission::BeginsAt(now), |queue| queue.admit(now))
    }

    /// Whether bytes that are read now may have waited unread because the node was stuck or accepted late.
    fn is_reading_late(&self) -> bool {
        let state = lock(&self.state);
        state.stuck_until.max(state.accepts_from) > self.checker.now() - LATE_READ_SECONDS
    }

    fn behavior(&self) -> Misbehavior {
        let state = lock(&self.state);
        if self.checker.now() < state.misbehaves_until { state.behavior } else { Misbehavior::Normal }
    }

    fn accept_connections(self: &Arc<Node>, listener: &TcpListener, nodes: &Nodes) {
        for stream in listener.incoming().map_while(Result::ok) {
            let delay = lock(&self.state).accepts_from - self.checker.now();
            if delay > 0.0 {
                // Calling listen again sets the new backlog.
                let _ = SockRef::from(listener).listen(DELAYED_BACKLOG);
                std::thread::sleep(Duration::from_secs_f64(delay));
                let _ = SockRef::from(listener).listen(BACKLOG);
            }
            let (this, nodes, stream) = (Arc::clone(self), Arc::clone(nodes), Arc::new(stream));
            let port = stream.peer_addr().map_or(0, |address| address.port());
            let ports = LinkPorts { director: port, node: self.address.port() };
            let link = NodeLink { ports, accepted_at: self.checker.now() };
            if !self.register_connection(&stream) {
                reset_when_dropped(&stream);
                continue;
            }
            spawn(move || {
                // A connection that a director ends is no error.
                let _ = this.serve(&stream, link, &nodes);
            });
        }
    }

    /// Reads attempts as they arrive; a second thread executes them one after another. An attempt that the director
    /// cancels before its execution begins is not executed.
    fn serve(self: &Arc<Node>, stream: &Arc<TcpStream>, link: NodeLink, nodes: &Nodes) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let cancelled = Arc::new(Mutex::new(CancelledAttempts::default()));
        let (queue, queued_pulls) = channel::<QueuedPull>();
        let (this, output, sources) = (Arc::clone(self), Arc::clone(stream), Arc::clone(nodes));
        let cancelled_for_worker = Arc::clone(&cancelled);
        spawn(move || {
            for queued in queued_pulls {
                let connection = this.execute(&queued, link, &cancelled_for_worker, &output, &sources);
                if !connection.is_ok_and(|connection| connection == Connection::Open) {
                    return;
                }
            }
        });
        let read = self.read_attempts(stream, link, nodes, &queue, &cancelled);
        lock(&cancelled).connection_ended = true;
        read
    }

    fn read_attempts(
        &self,
        stream: &TcpStream,
        link: NodeLink,
        nodes: &Nodes,
        queue: &Sender<QueuedPull>,
        cancelled: &Mutex<CancelledAttempts>,
    ) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            while let Some(pause) = self.stuck_for() {
                std::thread::sleep(pause);
            }
            line.clear();
            if self.has_collapsed() || reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(request) = cancelled_request(&line) {
                lock(cancelled).requests.insert(request);
                continue;
            }
            let Ok(request) = PullRequest::parse(&line) else { continue };
            let pull = Pull::from_request(&request);
            request.skip_body(&mut reader)?;
            let Some(pull) = pull else { continue };
            let Some(attempted_at) = self.report_attempt(&pull, link, nodes) else {
                self.collapse();
                return Ok(());
            };
            let admission = self.admit();
            if queue.send(QueuedPull { pull, attempted_at, admission }).is_err() {
                return Ok(());
            }
        }
    }

    /// Reports an attempt to the checker. Returns when it was sent or, if that is not known, when it was received: 0 if
    /// it may have arrived at any earlier time because the node was not reading. Returns none if the node is down.
    fn report_attempt(&self, pull: &Pull, link: NodeLink, nodes: &Nodes) -> Option<Seconds> {
        let source = pull.source.as_ref().and_then(|name| lock(nodes).get(name).map(|node| node.number));
        let read_late = self.is_reading_late();
        let (request, node, wait_ms) = (pull.request, self.number, pull.wait_ms);
        let sent_at = self.checker.sent_at(request, link.ports);
        let attempt = Attempt { request, node, source, wait_ms, read_late, link, sent_at };
        let is_up = self.checker.on_attempt(&attempt) == NodeCondition::Up;
        is_up.then(|| sent_at.unwrap_or(if read_late { 0.0 } else { self.checker.now() }))
    }

    /// Executes one attempt and answers it according to the current behavior.
    fn execute(
        &self,
        queued: &QueuedPull,
        link: NodeLink,
        cancelled: &Mutex<CancelledAttempts>,
        mut stream: &TcpStream,
        nodes: &Nodes,
    ) -> io::Result<Connection> {
        let QueuedPull { pull, attempted_at, admission } = queued;
        let source = pull.source.as_ref().and_then(|name| lock(nodes).get(name).cloned());
        self.wait_for_turn(*admission);
        std::thread::sleep(Duration::from_micros(1_000 + pull.object % 7_000));
        if self.has_collapsed() {
            return Ok(Connection::Closed);
        }
        if lock(cancelled).contains(pull.request) {
            self.checker.count("attempts cancelled before their execution");
            return Ok(Connection::Open);
        }
        let behavior = self.behavior_for(*admission);
        if behavior == Misbehavior::Full {
            self.checker.on_not_run(pull.request, link.ports);
        }
        if let Some(connection) = misbehave_before_work(behavior, pull, stream)? {
            return Ok(connection);
        }
        let Some(issued_ms) = self.copy_issued_ms(pull, source.as_deref()) else {
            self.checker.on_not_run(pull.request, link.ports);
            stream.write_all(pull.empty_answer("NOENT").as_bytes())?;
            return Ok(Connection::Open);
        };
        self.checker.on_executed(pull.request);
        if let Some(connection) = misbehave_after_work(behavior, pull, stream)? {
            return Ok(connection);
        }
        self.checker.on_copy_served(pull.request, *attempted_at, issued_ms);
        let answer = pull.copy_answer(issued_ms, behavior);
        stream.write_all(answer.as_bytes())?;
        if behavior == Misbehavior::Twice {
            std::thread::sleep(SECOND_ANSWER_AFTER);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(Connection::Open)
    }

    fn wait_for_turn(&self, admission: Admission) {
        let Admission::BeginsAt(begins_at) = admission else { return };
        let wait = begins_at - self.checker.now();
        if wait > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }

    /// Returns the current behavior towards an attempt: one that was rejected gets the answer of an overloaded node.
    fn behavior_for(&self, admission: Admission) -> Misbehavior {
        let behavior = self.behavior();
        if admission == Admission::Full && behavior.serves() {
            self.checker.count("attempts rejected as overload");
            return Misbehavior::Full;
        }
        behavior
    }

    /// Returns when the served copy was made, in Unix milliseconds: the node's own copy if it is young enough,
    /// otherwise one that it fills from `source`. Without a source, the parent and the origin make a new copy, and a
    /// cache returns none.
    fn copy_issued_ms(&self, pull: &Pull, source: Option<&Node>) -> Option<u64> {
        let now = unix_ms();
        let is_young_enough =
            |issued: &u64| pull.max_age_ms.is_none_or(|max_age| now.saturating_sub(*issued) <= max_age);
        let stored = lock(&self.state).copies.get(&pull.object).copied();
        if let Some(issued) = stored.filter(is_young_enough) {
            return Some(issued);
        }
        let filled = match source {
            Some(source) => source.copy_issued_ms(pull, None)?,
            None if self.kind == "origin" || self.kind == "parent" => now,
            None => return None,
        };
        lock(&self.state).copies.insert(pull.object, filled);
        Some(filled)
    }
}

/// Does what the behavior puts in place of the execution. Returns none if the attempt is to be executed.
fn misbehave_before_work(
    behavior: Misbehavior,
    pull: &Pull,
    mut stream: &TcpStream,
) -> io::Result<Option<Connection>> {
    match behavior {
        Misbehavior::Full => stream.write_all(pull.empty_answer("AGAIN").as_bytes())?,
        Misbehavior::Garbage => stream.write_all(GARBAGE)?,
        Misbehavior::Resets if pull.request.is_multiple_of(2) => {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            stream.shutdown(Shutdown::Both)?;
            return Ok(Some(Connection::Closed));
        }
        _ => return Ok(None),
    }
    Ok(Some(Connection::Open))
}

/// Does what the behavior puts in place of the answer. Returns none if the answer is to be sent.
fn misbehave_after_work(
    behavior: Misbehavior,
    pull: &Pull,
    mut stream: &TcpStream,
) -> io::Result<Option<Connection>> {
    match behavior {
        Misbehavior::Hangs => {}
        Misbehavior::Errors => stream.write_all(pull.empty_answer("EIO").as_bytes())?,
        Misbehavior::Resets => {
            stream.shutdown(Shutdown::Both)?;
            return Ok(Some(Connection::Closed));
        }
        _ => return Ok(None),
    }
    Ok(Some(Connection::Open))
}
