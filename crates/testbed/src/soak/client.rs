//! Stub clients: they send requests in all ways that the protocol allows, and in some that it does not.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rmp::encode;

use super::Seconds;
use super::director::Director;
use super::invariants::{CLASSES, LOST_AFTER_SECONDS, MAX_BUDGET_SECONDS, Rule};
use super::rule_checker::{Request, RuleChecker};
use crate::client_load::{Response, encode_call, read_any_response};

/// The number of different objects that clients request.
pub(crate) const OBJECT_COUNT: u64 = 60;
/// A request that was written at most this long before its connection ended may have crossed the end of the connection.
/// Such a request is not lost: a real client sends it again on another connection.
const CROSSING_SECONDS: f64 = 0.15;
/// A client stops waiting for an answer this long after the request counts as lost.
const LOST_TOLERANCE_SECONDS: f64 = 0.3;
/// After the end of a connection, at most this many reads collect the answers that arrived before it.
const MAX_FINAL_READS: usize = 20;
const READ_POLL: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 16 << 10;
const NOT_ACCEPTING_WAIT: Duration = Duration::from_millis(20);
const CONNECT_RETRY_WAIT: Duration = Duration::from_millis(30);
/// How often a pausing client checks whether the soak is over.
const PAUSE_POLL: Duration = Duration::from_millis(50);
/// The tag of the copy that a client claims to have.
const CACHED_TAG: &str = "t1";

/// How a client uses one connection.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Plain,
    /// It writes each request in two pieces.
    SplitsWrites,
    /// It ends the connection, by FIN or by RST, while requests are pending.
    Disconnects,
    Cancels,
    /// It gives requests a very short time budget.
    ShortBudget,
    /// It sends bytes that are no request, or the beginning of one.
    Garbage,
    /// It pauses between requests for so long that the director may end the connection.
    Idles,
}

/// The probability of each behavior in percent.
const BEHAVIOR_WEIGHTS: [(Behavior, u32); 7] = [
    (Behavior::Plain, 40),
    (Behavior::SplitsWrites, 14),
    (Behavior::Disconnects, 14),
    (Behavior::Cancels, 12),
    (Behavior::ShortBudget, 8),
    (Behavior::Garbage, 6),
    (Behavior::Idles, 6),
];

/// A client of one director; it opens one connection after another.
pub(crate) struct Client {
    pub(crate) director: Arc<Director>,
    pub(crate) checker: Arc<RuleChecker>,
    /// Set at the end of the soak.
    pub(crate) finished: Arc<AtomicBool>,
    /// The id of the next request, shared by all clients.
    pub(crate) next_id: Arc<AtomicU64>,
    pub(crate) seed: u64,
}

/// A connection and its requests, by call number.
struct Session {
    stream: TcpStream,
    began_at: Seconds,
    /// Bytes that were read and are not yet a complete answer.
    received: Vec<u8>,
    /// Requests that wait for an answer.
    pending: HashMap<u32, u64>,
    /// Requests that were cancelled or are no longer waited for, whose answers may still arrive.
    abandoned: HashMap<u32, u64>,
    last_call: u32,
}

impl Session {
    fn new(stream: TcpStream, began_at: Seconds) -> Session {
        Session {
            stream,
            began_at,
            received: Vec::new(),
            pending: HashMap::new(),
            abandoned: HashMap::new(),
            last_call: 0,
        }
    }
}

/// The state of a connection after it was used.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    Open,
    Ended,
}

/// Encodes a request; `held_tag` is the tag of the copy that the client has.
fn encode_request(
    id: u64,
    call: u32,
    class: &str,
    object: u64,
    budget_ms: u64,
    held_tag: Option<&str>,
) -> Vec<u8> {
    let (request, budget, object) = (format!("{id:016x}"), budget_ms.to_string(), format!("{object:016x}"));
    let idempotency_key = format!("k{id:x}");
    let mut fields = vec![
        ("rid", &*request),
        ("budget", &*budget),
        ("obj", &*object),
        ("piece", "0"),
        ("lot", "1"),
        ("mem", "4"),
        ("token", &*idempotency_key),
    ];
    fields.extend(held_tag.map(|tag| ("ver", tag)));
    encode_call(call, class, &fields)
}

fn draw_behavior(rng: &mut Pcg32) -> Behavior {
    let mut drawn = rng.random_range(0..100);
    for (behavior, weight) in BEHAVIOR_WEIGHTS {
        if drawn < weight {
            return behavior;
        }
        drawn -= weight;
    }
    Behavior::Plain
}

/// Returns the object that the body of an answer names.
fn object_of(answer: &Response) -> Option<u64> {
    let Response::Success(body) = answer else { return None };
    let text = std::str::from_utf8(body.get(..16).unwrap_or_default()).ok()?;
    u64::from_str_radix(text, 16).ok()
}

impl Client {
    /// Opens connections and sends requests until the soak is over.
    pub(crate) fn run(self) {
        let mut rng = Pcg32::seed_from_u64(self.seed);
        while !self.is_finished() {
            if !self.director.accepts_connections() {
                std::thread::sleep(NOT_ACCEPTING_WAIT);
                continue;
            }
            let began_at = self.checker.now();
            let Ok(stream) = TcpStream::connect(self.director.address) else {
                std::thread::sleep(CONNECT_RETRY_WAIT);
                continue;
            };
            if stream.set_read_timeout(Some(READ_POLL)).is_err() || stream.set_nodelay(true).is_err() {
                continue;
            }
            self.use_connection(Session::new(stream, began_at), &mut rng);
            std::thread::sleep(Duration::from_millis(rng.random_range(1..40)));
        }
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Uses one connection from its beginning to its end. While the director is stopping, the client goes on until the
    /// director ends the connection, unless the client's behavior is to end it.
    fn use_connection(&self, mut session: Session, rng: &mut Pcg32) {
        let behavior = draw_behavior(rng);
        let mut rounds: u32 = rng.random_range(1..6);
        while !self.is_finished() && (rounds > 0 || self.director.is_stopping()) {
            rounds = rounds.saturating_sub(1);
            if behavior == Behavior::Garbage {
                return send_garbage(&mut session, rng);
            }
            if self.send_requests(&mut session, behavior, rng) == Connection::Ended {
                return self.on_connection_end(&mut session);
            }
            match behavior {
                Behavior::Disconnects => {
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                    return self.disconnect(&session, rng.random());
                }
                Behavior::Cancels => {
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
                    self.cancel_all(&mut session);
                }
                _ => {}
            }
            if self.wait_for_answers(&mut session) == Connection::Ended {
                return self.on_connection_end(&mut session);
            }
            let pause_ms = if behavior == Behavior::Idles { 3_000..9_000 } else { 1..60 };
            self.pause(Duration::from_millis(rng.random_range(pause_ms)));
        }
        self.disconnect(&session, false);
    }

    /// Sends nothing for this time, or until the soak is over.
    fn pause(&self, duration: Duration) {
        let pauses = duration.as_millis() / PAUSE_POLL.as_millis();
        for _ in 0..=pauses {
            if self.is_finished() {
                return;
            }
            std::thread::sleep(duration.min(PAUSE_POLL));
        }
    }

    /// Writes one request or, in one of five cases, several in a row.
    fn send_requests(&self, session: &mut Session, behavior: Behavior, rng: &mut Pcg32) -> Connection {
        let count = if rng.random_range(0..5) == 0 { rng.random_range(2..9) } else { 1 };
        for _ in 0..count {
            if self.send_request(session, behavior, rng) == Connection::Ended {
                return Connection::Ended;
            }
        }
        Connection::Open
    }

    fn send_request(&self, session: &mut Session, behavior: Behavior, rng: &mut Pcg32) -> Connection {
        let (class, effect) = CLASSES[rng.random_range(0..CLASSES.len())];
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let object = 1 + (OBJECT_COUNT as f64 * rng.random::<f64>().powi(2)) as u64;
        let budget_ms = match behavior {
            Behavior::ShortBudget => rng.random_range(1..80),
            _ => rng.random_range(600..(MAX_BUDGET_SECONDS * 1e3) as u64),
        };
        session.last_call += 1;
        let call = session.last_call;
        let held_tag = (rng.random_range(0..8) == 0).then_some(CACHED_TAG);
        let bytes = encode_request(id, call, class, object, budget_ms, held_tag);
        self.checker.on_request(id, self.director.number, effect, object, budget_ms as f64 / 1_000.0);
        session.pending.insert(call, id);
        let written = match behavior {
            Behavior::SplitsWrites => self.write_in_pieces(session, id, &bytes, rng),
            _ => session.stream.write_all(&bytes),
        };
        self.checker.on_request_sent(id);
        if written.is_ok() { Connection::Open } else { Connection::Ended }
    }

    /// Writes a request in two pieces; its budget counts from the second one.
    fn write_in_pieces(
        &self,
        session: &mut Session,
        id: u64,
        bytes: &[u8],
        rng: &mut Pcg32,
    ) -> std::io::Result<()> {
        let cut = rng.random_range(1..bytes.len() - 1);
        let (first, rest) = bytes.split_at(cut);
        session.stream.write_all(first)?;
        std::thread::sleep(Duration::from_millis(rng.random_range(5..200)));
        self.checker.on_request_written(id);
        session.stream.write_all(rest)
    }

    /// Ends the connection while requests may be pending.
    fn disconnect(&self, session: &Session, by_reset: bool) {
        if by_reset {
            let _ = socket2::SockRef::from(&session.stream).set_linger(Some(Duration::ZERO));
        }
        let _ = session.stream.shutdown(Shutdown::Both);
        session.pending.values().for_each(|id| self.checker.on_client_gone(*id));
    }

    /// Cancels all pending requests.
    fn cancel_all(&self, session: &mut Session) {
        for (call, id) in session.pending.drain() {
            let mut message = b"\x93\x02\xadcancelRequest\x91".to_vec();
            // Writing to memory does not fail; a connection that has ended is noticed at the next read.
            let _ = encode::write_uint(&mut message, u64::from(call));
            let _ = session.stream.write_all(&message);
            self.checker.on_client_gone(id);
            session.abandoned.insert(call, id);
        }
    }

    /// Reads until no request is pending or the connection ends. A request whose answer is long overdue is lost.
    fn wait_for_answers(&self, session: &mut Session) -> Connection {
        while !session.pending.is_empty() {
            if self.read_answers(session) == Connection::Ended {
                return Connection::Ended;
            }
            let now = self.checker.now();
            let is_overdue = |request: Request| {
                now > request.written_at + request.budget + LOST_AFTER_SECONDS + LOST_TOLERANCE_SECONDS
            };
            let overdue: Vec<u32> = session
                .pending
                .iter()
                .filter(|(_, id)| self.checker.request(**id).is_none_or(is_overdue))
                .map(|(call, _)| *call)
                .collect();
            for call in overdue {
                if let Some(id) = session.pending.remove(&call) {
                    self.on_lost(id, "no answer");
                    session.abandoned.insert(call, id);
                }
            }
        }
        Connection::Open
    }

    /// Reads once and handles all complete answers.
    fn read_answers(&self, session: &mut Session) -> Connection {
        let mut bytes = [0; READ_BYTES];
        match session.stream.read(&mut bytes) {
            Ok(0) => return Connection::Ended,
            Ok(n) => session.received.extend(&bytes[..n]),
            Err(e) => match e.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                _ => return Connection::Ended,
            },
        }
        loop {
            let mut rest = &session.received[..];
            let Ok((call, answer)) = read_any_response(&mut rest) else { return Connection::Open };
            let used = session.received.len() - rest.len();
            session.received.drain(..used);
            self.on_answer(session, call, &answer);
        }
    }

    fn on_answer(&self, session: &mut Session, call: u32, answer: &Response) {
        self.checker.count(match answer {
            Response::Success(_) => "succeeded",
            Response::Rejected => "rejected",
            Response::Failed => "failed",
        });
        if let Some(id) = session.pending.remove(&call) {
            self.checker.on_answer(id, object_of(answer));
        } else if session.abandoned.remove(&call).is_none() {
            let detail =
                format!("director {}: answer to call {call}, which is not pending", self.director.number);
            self.checker.record_violation(Rule::Stray, detail);
        }
    }

    /// Handles the end of the connection: checks each request that is still pending.
    fn on_connection_end(&self, session: &mut Session) {
        // Answers that arrived before the end count.
        for _ in 0..MAX_FINAL_READS {
            if session.pending.is_empty() || self.read_answers(session) == Connection::Ended {
                break;
            }
        }
        // A client that writes slowly notices the end late; the send log has the exact time at which the director shut
        // the connection.
        let port = session.stream.local_addr().map_or(0, |address| address.port());
        let shut_at = self.checker.shut_at(self.director.number, port, session.began_at);
        let ended_at = shut_at.unwrap_or_else(|| self.checker.now());
        for id in std::mem::take(&mut session.pending).into_values() {
            let Some(request) = self.checker.request(id) else { continue };
            if ended_at < request.written_at + CROSSING_SECONDS {
                self.checker.on_client_gone(id);
                self.checker.count("requests that crossed the end of their connection");
            } else if self.director.may_break_connections() {
                self.checker.count("requests on connections that broke by themselves");
            } else {
                self.on_lost(id, "its connection was closed");
            }
        }
    }

    /// Reports that a request has no answer: a violation, unless its director was killed or paused.
    fn on_lost(&self, id: u64, why: &str) {
        let Some(request) = self.checker.request(id) else { return };
        if self.director.is_exempt(request.written_at, request.budget) {
            self.checker.count("requests at a director that was killed or paused");
            return;
        }
        let number = self.director.number;
        let after = self.checker.now() - request.written_at;
        let budget = request.budget;
        let detail = format!(
            "request {id:016x} at director {number}: {why}, {after:.3} s after it was written, budget {budget:.3}"
        );
        self.checker.record_observed(Rule::Lost, request.written_at, detail);
    }
}

/// Sends bytes that are no request, or the beginning of one, and ends the connection after a while.
fn send_garbage(session: &mut Session, rng: &mut Pcg32) {
    let request = encode_request(1, 1, CLASSES[0].0, 1, 500, None);
    let bytes = if rng.random() { &request[..30] } else { &b"what is this"[..] };
    let _ = session.stream.write_all(bytes);
    std::thread::sleep(Duration::from_millis(rng.random_range(10..300)));
}
