//! Stand-in nodes: caches, parents and an origin that keep copies, and that misbehave when they are told to.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::Seconds;
use super::judge::{Attempt, Judge};
use crate::node_stub::{lock, spawn, unix_ms};

/// How a node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehavior {
    #[default]
    Normal,
    /// It does the work and never answers.
    Hangs,
    /// It reads nothing.
    Stuck,
    /// It resets the connection under the request, before or after the work.
    Resets,
    /// It refuses everything.
    Full,
    /// It fails everything, after the work.
    Errors,
    /// What it says is no answer.
    Garbage,
    /// It answers twice.
    Twice,
    /// It names another copy than the client's as unchanged.
    WrongTag,
}

#[derive(Default)]
struct State {
    mode: Misbehavior,
    until: Seconds,
    /// When each copy was made, in Unix milliseconds.
    copies: HashMap<u64, u64>,
    links: Vec<Arc<TcpStream>>,
    stuck_until: Seconds,
    /// Connections are not taken until then.
    late_until: Seconds,
}

/// Connections that may wait to be taken; while new ones are to come up late, so few that others find no room.
const BACKLOG: i32 = 128;
const LATE_BACKLOG: i32 = 0;

fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

pub struct Node {
    pub number: usize,
    pub name: String,
    pub kind: &'static str,
    pub address: SocketAddr,
    judge: Arc<Judge>,
    state: Mutex<State>,
}

pub type Nodes = Arc<Mutex<HashMap<String, Arc<Node>>>>;

struct PullRequest {
    id: u64,
    tag: String,
    object: u64,
    source: Option<String>,
    wait_ms: u64,
    within_ms: Option<u64>,
    held: Option<String>,
}

impl PullRequest {
    fn read(tag: &str, fields: &str) -> Option<PullRequest> {
        let field = |name: &str| {
            fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1)
        };
        Some(PullRequest {
            id: u64::from_str_radix(tag, 16).ok()?,
            tag: tag.to_owned(),
            object: u64::from_str_radix(field("key")?, 16).ok()?,
            source: field("miss").map(str::to_owned),
            wait_ms: field("wait")?.parse().ok()?,
            within_ms: field("within").and_then(|w| w.parse().ok()).filter(|w| *w > 0),
            held: field("mine").map(str::to_owned),
        })
    }
}

/// A request, and when it came.
struct QueuedPull {
    pull: PullRequest,
    came: Seconds,
}

fn copy_tag(issued_ms: u64) -> String {
    format!("t{issued_ms:x}")
}

impl Node {
    pub fn start(
        number: usize,
        name: &str,
        kind: &'static str,
        judge: &Arc<Judge>,
        all: &Nodes,
    ) -> io::Result<Arc<Node>> {
        let listener = listen()?;
        let node = Arc::new(Node {
            number,
            name: name.to_owned(),
            kind,
            address: listener.local_addr()?,
            judge: Arc::clone(judge),
            state: Mutex::default(),
        });
        lock(all).insert(name.to_owned(), Arc::clone(&node));
        let (own, all) = (Arc::clone(&node), Arc::clone(all));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let late = lock(&own.state).late_until - own.judge.now();
                if late > 0.0 {
                    // A listener that listens again takes the new length of its queue.
                    let _ = socket2::SockRef::from(&listener).listen(LATE_BACKLOG);
                    std::thread::sleep(Duration::from_secs_f64(late));
                    let _ = socket2::SockRef::from(&listener).listen(BACKLOG);
                }
                let (own, all, stream) = (Arc::clone(&own), Arc::clone(&all), Arc::new(stream));
                lock(&own.state).links.push(Arc::clone(&stream));
                spawn(move || {
                    // A director that goes ends its connection.
                    let _ = own.listen(&stream, &all);
                });
            }
        });
        Ok(node)
    }

    pub fn misbehave(&self, mode: Misbehavior, lasts: f64) {
        let until = self.judge.now() + lasts;
        let mut state = lock(&self.state);
        (state.mode, state.until) = (mode, until);
        if mode == Misbehavior::Stuck {
            state.stuck_until = state.stuck_until.max(until);
        }
    }

    pub fn accept_late(&self, lasts: f64) {
        let until = self.judge.now() + lasts;
        let mut state = lock(&self.state);
        state.late_until = state.late_until.max(until);
    }

    /// Closes or resets all its connections, idle ones as well.
    pub fn drop_connections(&self, by_reset: bool) {
        for link in std::mem::take(&mut lock(&self.state).links) {
            if by_reset {
                let _ = socket2::SockRef::from(&*link).set_linger(Some(Duration::ZERO));
            }
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Whether what it reads now may have lain unread for a while, through no fault of its sender.
    fn is_reading_late(&self) -> bool {
        let state = lock(&self.state);
        state.stuck_until.max(state.late_until) > self.judge.now() - 1.0
    }

    fn mode(&self) -> Misbehavior {
        let state = lock(&self.state);
        if self.judge.now() < state.until { state.mode } else { Misbehavior::Normal }
    }

    /// Reads requests as they come; a thread beside it works them off, one after another.
    fn listen(self: &Arc<Node>, stream: &Arc<TcpStream>, all: &Nodes) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (give, taken) = channel::<QueuedPull>();
        let (own, to, sources) = (Arc::clone(self), Arc::clone(stream), Arc::clone(all));
        spawn(move || {
            for one in taken {
                if !own.answer(&one, &to, &sources).unwrap_or(false) {
                    return;
                }
            }
        });
        let mut reader = BufReader::new(&**stream);
        let mut line = String::new();
        loop {
            let stuck = lock(&self.state).stuck_until - self.judge.now();
            if stuck > 0.0 {
                std::thread::sleep(Duration::from_secs_f64(stuck));
            }
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let [command, tag, fields, length] = words[..] else { continue };
            if command != "PULL" {
                continue;
            }
            let length: usize = length.parse().unwrap_or(0);
            let pull = PullRequest::read(tag, fields);
            reader.read_exact(&mut vec![0; length + 2])?;
            let Some(pull) = pull else { continue };
            // What was sent while it read nothing may have come at any time since.
            let came = self.report_attempt(&pull, all);
            if give.send(QueuedPull { pull, came }).is_err() {
                return Ok(());
            }
        }
    }

    /// Tells the judge of a request; when it came, as far as that is known.
    fn report_attempt(&self, pull: &PullRequest, all: &Nodes) -> Seconds {
        let source = pull.source.as_ref().and_then(|name| lock(all).get(name).map(|node| node.number));
        let read_late = self.is_reading_late();
        let (request, node, wait_ms) = (pull.id, self.number, pull.wait_ms);
        self.judge.on_attempt(&Attempt { request, node, source, wait_ms, read_late });
        if read_late { 0.0 } else { self.judge.now() }
    }

    /// Works one request off; false once its connection is over.
    fn answer(&self, taken: &QueuedPull, mut stream: &TcpStream, all: &Nodes) -> io::Result<bool> {
        let QueuedPull { pull, came } = taken;
        let source = pull.source.as_ref().and_then(|name| lock(all).get(name).cloned());
        std::thread::sleep(Duration::from_micros(1_000 + pull.object % 7_000));
        let mode = self.mode();
        let refuses = |word: &str| format!("{} {word} - 0\r\n\r\n", pull.tag);
        match mode {
            Misbehavior::Full => {
                stream.write_all(refuses("AGAIN").as_bytes())?;
                return Ok(true);
            }
            Misbehavior::Garbage => {
                stream.write_all(b"what is this\r\n")?;
                return Ok(true);
            }
            Misbehavior::Resets if pull.id.is_multiple_of(2) => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                stream.shutdown(Shutdown::Both)?;
                return Ok(false);
            }
            _ => {}
        }
        let Some(issued) = self.copy(pull, source.as_deref()) else {
            stream.write_all(refuses("NOENT").as_bytes())?;
            return Ok(true);
        };
        // A repeat that is known is answered as the first one was.
        self.judge.on_executed(pull.id);
        match mode {
            Misbehavior::Hangs => return Ok(true),
            Misbehavior::Errors => {
                stream.write_all(refuses("EIO").as_bytes())?;
                return Ok(true);
            }
            Misbehavior::Resets => {
                stream.shutdown(Shutdown::Both)?;
                return Ok(false);
            }
            _ => {}
        }
        self.judge.on_served(pull.id, *came, issued);
        let tag = copy_tag(issued);
        let answer = if mode == Misbehavior::WrongTag && pull.held.is_some() {
            format!("{} NOMOD how=HIT,entity=other,issued={issued} 0\r\n\r\n", pull.tag)
        } else if pull.held.as_deref() == Some(&tag) {
            format!("{} NOMOD how=HIT,entity={tag},issued={issued} 0\r\n\r\n", pull.tag)
        } else {
            let body =
                format!("{:016x}{issued:016x}{}", pull.object, "x".repeat((pull.object % 3_000) as usize));
            format!("{} ACK how=HIT,entity={tag},issued={issued} {}\r\n{body}\r\n", pull.tag, body.len())
        };
        stream.write_all(answer.as_bytes())?;
        if mode == Misbehavior::Twice {
            std::thread::sleep(Duration::from_millis(3));
            stream.write_all(answer.as_bytes())?;
        }
        Ok(true)
    }

    /// A copy that is young enough: its own, or one that is filled.
    fn copy(&self, pull: &PullRequest, source: Option<&Node>) -> Option<u64> {
        let now = unix_ms();
        let fits = |issued: &u64| pull.within_ms.is_none_or(|within| now.saturating_sub(*issued) <= within);
        let own = lock(&self.state).copies.get(&pull.object).copied();
        if let Some(issued) = own.filter(fits) {
            return Some(issued);
        }
        let filled = match source {
            Some(source) => source.copy(pull, None)?,
            None if self.kind == "origin" || self.kind == "parent" => now,
            None => return None,
        };
        lock(&self.state).copies.insert(pull.object, filled);
        Some(filled)
    }
}
