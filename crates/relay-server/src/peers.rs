//! Threads that wait for others, so that the loop never does: one for each voter that is called, one that follows the
//! upstream, one that passes words of readers on.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use sablecross_discovery::{EventStreamParser, StreamError, StreamItem};
use sablecross_relay::{PeerReply, PeerRequest};

use crate::peer_client::PeerClient;

/// Calls that wait for one voter; what comes on top is dropped, and told again by what it is part of.
const WAITING: usize = 16;
/// Words of readers that wait to be passed on.
const WORDS: usize = 64;
/// How often a follower looks whether another call is wanted.
const LOOK: Duration = Duration::from_millis(100);
/// After a call that came to nothing.
const PAUSE: Duration = Duration::from_millis(200);
const STACK: usize = 256 << 10;

/// What threads tell the loop.
#[derive(Debug)]
pub enum ServerEvent {
    PeerReplied {
        voter: u32,
        number: u64,
        reply: Box<PeerReply>,
    },
    /// Of the call of this number: what the upstream said, or that it is over; an error, if it was broken off.
    UpstreamItems(u64, Vec<StreamItem>),
    UpstreamEnded(u64, Result<(), String>),
    /// A reader's word was passed on, or not.
    ReportForwarded {
        conn: usize,
        is_accepted: bool,
    },
    Stop,
    LogStatus,
}

/// The loop's inbox, as threads have it.
#[derive(Clone)]
pub struct Inbox {
    pub to: Sender<ServerEvent>,
    pub waker: Arc<Waker>,
}

impl Inbox {
    /// False once the loop is gone.
    pub fn tell(&self, what: ServerEvent) -> bool {
        // A wake-up that fails is made up for by the loop's next tick.
        self.to.send(what).is_ok() && self.waker.wake().is_ok()
    }
}

/// A thread with a small stack.
pub fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name).stack_size(STACK).spawn(run).map(drop)
}

/// Calls one voter for the loop: what is put in, comes back as `In::Answered`, or not at all.
pub fn caller(
    voter: u32,
    at: SocketAddr,
    time: Duration,
    most: usize,
    inbox: Inbox,
) -> std::io::Result<Sender<(u64, PeerRequest)>> {
    let (calls, waiting) = bounded::<(u64, PeerRequest)>(WAITING);
    spawn(format!("voter-{voter}"), move || {
        let mut line = PeerClient::new(at, time, most);
        let mut failing = false;
        for (number, request) in &waiting {
            match ask(&mut line, &request) {
                Ok(reply) => {
                    if std::mem::take(&mut failing) {
                        tracing::info!("relay voter up voter={voter} at={at}");
                    }
                    if !inbox.tell(ServerEvent::PeerReplied { voter, number, reply: Box::new(reply) }) {
                        return;
                    }
                }
                Err(why) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("relay voter lost voter={voter} at={at}: {why}");
                    }
                    // What waited meanwhile is old.
                    waiting.try_iter().for_each(drop);
                }
            }
        }
    })?;
    Ok(calls)
}

fn ask(line: &mut PeerClient, request: &PeerRequest) -> Result<PeerReply, String> {
    let body = rmp_serde::to_vec(request).map_err(|e| e.to_string())?;
    let (code, answer) = line.request("POST", "/v1/relay", "", &body).map_err(|e| e.to_string())?;
    if code != 200 {
        return Err(format!("answer {code}: {}", String::from_utf8_lossy(&answer)));
    }
    rmp_serde::from_slice(&answer).map_err(|e| format!("its answer can't be read: {e}"))
}

/// A call of an upstream: its number here, whom, from after which event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    pub number: u64,
    pub at: SocketAddr,
    pub after: u64,
    /// What is in force here and at all below, if that is said beside.
    pub in_force: Option<u64>,
}

/// Follows upstreams for the loop. A new order ends the call that is open.
pub struct Follower {
    /// The number by which upstreams know this relay.
    pub relay: u32,
    /// An upstream that says nothing for so long is left.
    pub silence: Duration,
    pub most: usize,
    pub orders: Receiver<Order>,
    pub inbox: Inbox,
}

/// Why a call of an upstream ended.
enum End {
    Clean,
    Flaw(String),
    /// Another one is wanted.
    Order(Order),
    /// The loop is gone.
    Gone,
}

impl Follower {
    pub fn follow(self) {
        let mut next = self.orders.recv().ok();
        while let Some(order) = next.take() {
            let begun = Instant::now();
            let (end, events) = self.call(order);
            let over = match end {
                End::Gone => return,
                End::Order(later) => {
                    if begun.elapsed() < PAUSE {
                        std::thread::sleep(PAUSE);
                    }
                    next = Some(later);
                    continue;
                }
                End::Clean => Ok(()),
                End::Flaw(why) => Err(why),
            };
            // No loop without a pause.
            if over.is_err() || (events == 0 && begun.elapsed() < PAUSE) {
                std::thread::sleep(PAUSE);
            }
            if !self.inbox.tell(ServerEvent::UpstreamEnded(order.number, over)) {
                return;
            }
            next = self.orders.recv().ok();
        }
    }

    /// With the number of things that were said.
    fn call(&self, order: Order) -> (End, usize) {
        let mut count = 0;
        let end = self.read(order, &mut count).unwrap_or_else(|e| End::Flaw(e.to_string()));
        (end, count)
    }

    fn read(&self, order: Order, count: &mut usize) -> std::io::Result<End> {
        let stream = TcpStream::connect_timeout(&order.at, self.silence.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
        stream.set_write_timeout(Some(self.silence))?;
        let in_force = order.in_force.map_or(String::new(), |n| format!("\r\nSablecross-In-Force: {n}"));
        let own = format!("\r\nSablecross-Relay: {}{in_force}\r\n\r\n", self.relay);
        let ask = sablecross_discovery::events_request(order.at, order.after).replacen("\r\n\r\n", &own, 1);
        (&stream).write_all(ask.as_bytes())?;
        let mut answer = EventStreamParser::new(self.most);
        let (mut bytes, mut heard) = ([0; 16_384], Instant::now());
        loop {
            if let Ok(later) = self.orders.try_recv() {
                return Ok(End::Order(later));
            }
            match (&stream).read(&mut bytes) {
                Ok(0) => {
                    return Ok(answer.finish().map_or_else(|e| End::Flaw(e.to_string()), |()| End::Clean));
                }
                Ok(n) => {
                    heard = Instant::now();
                    answer.push(&bytes[..n]);
                    let (said, flaw) = whole(&mut answer);
                    *count += said.len();
                    if !said.is_empty() && !self.inbox.tell(ServerEvent::UpstreamItems(order.number, said)) {
                        return Ok(End::Gone);
                    }
                    match flaw {
                        Some(StreamError::Ended) => return Ok(End::Clean),
                        Some(flaw) => return Ok(End::Flaw(flaw.to_string())),
                        None => {}
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if heard.elapsed() > self.silence {
                        return Ok(End::Flaw("silent".into()));
                    }
                }
                Err(e) => return Err(e),
            }
        }
    }
}

/// All that has come whole, and what is wrong with what follows.
fn whole(answer: &mut EventStreamParser) -> (Vec<StreamItem>, Option<StreamError>) {
    let mut all = Vec::new();
    loop {
        match answer.next_item() {
            Ok(Some(said)) => all.push(said),
            Ok(None) => return (all, None),
            Err(flaw) => return (all, Some(flaw)),
        }
    }
}

/// A reader's word on the hierarchy, to be said where the upstream is.
#[derive(Debug)]
pub struct AppliedReport {
    pub conn: usize,
    pub at: SocketAddr,
    pub body: Vec<u8>,
}

/// Passes words on, each once: who said one repeats it until it is taken.
pub fn passer(time: Duration, inbox: Inbox) -> std::io::Result<Sender<AppliedReport>> {
    let (words, waiting) = bounded::<AppliedReport>(WORDS);
    spawn("words".into(), move || {
        for AppliedReport { conn, at, body } in &waiting {
            let head = "Content-Type: application/json\r\nConnection: close\r\n";
            let said =
                PeerClient::new(at, time, 4_096).request("POST", "/v1/hierarchy/in-force", head, &body);
            let taken = said.is_ok_and(|(code, _)| code / 100 == 2);
            if !inbox.tell(ServerEvent::ReportForwarded { conn, is_accepted: taken }) {
                return;
            }
        }
    })?;
    Ok(words)
}
