//! Stand-in clients: they ask in all the ways that the protocol allows, and some that it does not.

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
use super::fleet::Director;
use super::judge::{CLASSES, Effect, Judge, LATE, Rule};
use crate::client_load::{Response, read_any_response};

/// A request that is written so shortly before its connection ends crosses that end, and is asked again elsewhere.
const CROSSING: f64 = 0.15;
const LAST_READS: usize = 20;
const READ_POLL: Duration = Duration::from_millis(20);
pub const OBJECTS: u64 = 60;

/// How a client uses one connection.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Plain,
    /// Its requests come in pieces.
    Slow,
    /// It asks and goes, by FIN or by RST.
    Goes,
    Cancels,
    /// It gives very little time.
    Hurries,
    /// It says what is no request, or half of one.
    Babbles,
    /// It rests between requests until the director ends it.
    Rests,
}

const BEHAVIOR_WEIGHTS: [(Behavior, u32); 7] = [
    (Behavior::Plain, 40),
    (Behavior::Slow, 14),
    (Behavior::Goes, 14),
    (Behavior::Cancels, 12),
    (Behavior::Hurries, 8),
    (Behavior::Babbles, 6),
    (Behavior::Rests, 6),
];

pub struct Client {
    pub director: Arc<Director>,
    pub judge: Arc<Judge>,
    pub over: Arc<AtomicBool>,
    pub next_id: Arc<AtomicU64>,
    pub seed: u64,
}

/// A connection and what is open on it, by its call numbers.
struct Session {
    stream: TcpStream,
    bytes: Vec<u8>,
    open: HashMap<u32, u64>,
    /// Calls that were cancelled, whose answers may be under way.
    cancelled: HashMap<u32, u64>,
    next: u32,
}

enum ReadOutcome {
    Nothing,
    Ended,
}

fn request(id: u64, call: u32, kind: &str, object: u64, budget_ms: u64, tag: Option<&str>) -> Vec<u8> {
    let texts = [format!("{id:016x}"), budget_ms.to_string(), format!("{object:016x}")];
    let token = format!("k{id:x}");
    let mut fields = vec![
        ("rid", &*texts[0]),
        ("budget", &*texts[1]),
        ("obj", &*texts[2]),
        ("piece", "0"),
        ("lot", "1"),
        ("mem", "4"),
        ("token", &*token),
    ];
    fields.extend(tag.map(|tag| ("ver", tag)));
    let mut out = vec![0x94, 0];
    // Writing into memory does not fail.
    let _ = encode::write_uint(&mut out, u64::from(call));
    let _ = encode::write_str(&mut out, kind);
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_map_len(&mut out, fields.len() as u32);
    for text in fields.iter().flat_map(|(name, value)| [name, value]) {
        let _ = encode::write_str(&mut out, text);
    }
    out.extend([0xc4, 0]);
    out
}

impl Client {
    pub fn run(self) {
        let mut rng = Pcg32::seed_from_u64(self.seed);
        while !self.over.load(Ordering::Relaxed) {
            if !self.director.accepts_requests() {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let Ok(stream) = TcpStream::connect(self.director.at) else {
                std::thread::sleep(Duration::from_millis(30));
                continue;
            };
            if stream.set_read_timeout(Some(READ_POLL)).is_err() || stream.set_nodelay(true).is_err() {
                continue;
            }
            let session = Session {
                stream,
                bytes: Vec::new(),
                open: HashMap::new(),
                cancelled: HashMap::new(),
                next: 0,
            };
            self.serve(session, &mut rng);
            std::thread::sleep(Duration::from_millis(rng.random_range(1..40)));
        }
    }

    /// One connection from its beginning to its end.
    fn serve(&self, mut session: Session, rng: &mut Pcg32) {
        let mut draw = rng.random_range(0..100);
        let way = BEHAVIOR_WEIGHTS.iter().find(|(_, share)| {
            let here = draw < *share;
            draw = draw.saturating_sub(*share);
            here
        });
        let way = way.map_or(Behavior::Plain, |(way, _)| *way);
        for _ in 0..rng.random_range(1..6) {
            if self.over.load(Ordering::Relaxed) || !self.director.accepts_requests() {
                break;
            }
            if way == Behavior::Babbles {
                let half = request(1, 1, CLASSES[0].0, 1, 500, None);
                let bytes = if rng.random() { &half[..30] } else { &b"what is this"[..] };
                let _ = session.stream.write_all(bytes);
                std::thread::sleep(Duration::from_millis(rng.random_range(10..300)));
                return;
            }
            let many = if rng.random_range(0..5) == 0 { rng.random_range(2..9) } else { 1 };
            for _ in 0..many {
                if !self.send_request(&mut session, way, rng) {
                    return self.on_connection_end(&mut session);
                }
            }
            match way {
                Behavior::Goes => {
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                    return self.leave(&session, rng.random());
                }
                Behavior::Cancels => {
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
                    self.cancel_one(&mut session);
                }
                _ => {}
            }
            if !self.wait_for_answers(&mut session) {
                return self.on_connection_end(&mut session);
            }
            let rest = if way == Behavior::Rests { 3_000..9_000 } else { 1..60 };
            let rest = Duration::from_millis(rng.random_range(rest));
            let pieces = rest.as_millis() as u64 / 50;
            for _ in 0..=pieces {
                if self.over.load(Ordering::Relaxed) {
                    break;
                }
                std::thread::sleep(rest.min(Duration::from_millis(50)));
            }
        }
        self.leave(&session, false);
    }

    /// Writes one request; false if its connection has ended.
    fn send_request(&self, session: &mut Session, way: Behavior, rng: &mut Pcg32) -> bool {
        let (kind, effect): (&str, Effect) = CLASSES[rng.random_range(0..CLASSES.len())];
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let object = 1 + (OBJECTS as f64 * rng.random::<f64>().powi(2)) as u64;
        let budget_ms =
            if way == Behavior::Hurries { rng.random_range(1..80) } else { rng.random_range(600..2_000) };
        session.next += 1;
        let call = session.next;
        let tag = (rng.random_range(0..8) == 0).then_some("t1");
        let bytes = request(id, call, kind, object, budget_ms, tag);
        self.judge.on_request(id, self.director.number, effect, object, budget_ms as f64 / 1_000.0);
        session.open.insert(call, id);
        if way != Behavior::Slow {
            return session.stream.write_all(&bytes).is_ok();
        }
        let cut = rng.random_range(1..bytes.len() - 1);
        let (first, rest) = bytes.split_at(cut);
        if session.stream.write_all(first).is_err() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(5..200)));
        self.judge.on_request_written(id);
        session.stream.write_all(rest).is_ok()
    }

    fn leave(&self, session: &Session, by_reset: bool) {
        if by_reset {
            let _ = socket2::SockRef::from(&session.stream).set_linger(Some(Duration::ZERO));
        }
        let _ = session.stream.shutdown(Shutdown::Both);
        session.open.values().for_each(|id| self.judge.on_client_gone(*id));
    }

    fn cancel_one(&self, session: &mut Session) {
        for (call, id) in session.open.drain() {
            let mut out = b"\x93\x02\xadcancelRequest\x91".to_vec();
            let _ = encode::write_uint(&mut out, u64::from(call));
            let _ = session.stream.write_all(&out);
            self.judge.on_client_gone(id);
            session.cancelled.insert(call, id);
        }
    }

    /// Reads until nothing is open; false if the connection ends before.
    fn wait_for_answers(&self, session: &mut Session) -> bool {
        while !session.open.is_empty() {
            if matches!(self.read_answers(session), ReadOutcome::Ended) {
                return false;
            }
            let now = self.judge.now();
            let late: Vec<u32> = session
                .open
                .iter()
                .filter(|(_, id)| {
                    self.judge.request(**id).is_none_or(|r| now > r.written_at + r.budget + LATE + 0.3)
                })
                .map(|(call, _)| *call)
                .collect();
            for call in late {
                if let Some(id) = session.open.remove(&call) {
                    self.on_lost(id, "no answer");
                    session.cancelled.insert(call, id);
                }
            }
        }
        true
    }

    /// Takes in what has come.
    fn read_answers(&self, session: &mut Session) -> ReadOutcome {
        let mut bytes = [0; 16 << 10];
        match session.stream.read(&mut bytes) {
            Ok(0) => return ReadOutcome::Ended,
            Ok(n) => session.bytes.extend(&bytes[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => return ReadOutcome::Ended,
        }
        loop {
            let mut rest = &session.bytes[..];
            match read_any_response(&mut rest) {
                Ok((call, answer)) => {
                    let used = session.bytes.len() - rest.len();
                    session.bytes.drain(..used);
                    self.on_answer(session, call, &answer);
                }
                Err(_) => return ReadOutcome::Nothing,
            }
        }
    }

    fn on_answer(&self, session: &mut Session, call: u32, answer: &Response) {
        let object = match answer {
            Response::Success(body) => {
                let text = std::str::from_utf8(body.get(..16).unwrap_or_default());
                text.ok().and_then(|text| u64::from_str_radix(text, 16).ok())
            }
            _ => None,
        };
        let kind = match answer {
            Response::Success(_) => "served",
            Response::Rejected => "refused",
            Response::Failed => "failed",
        };
        self.judge.count(kind);
        if let Some(id) = session.open.remove(&call) {
            self.judge.on_answer(id, object);
        } else if session.cancelled.remove(&call).is_none() {
            self.judge.record_violation(
                Rule::Stray,
                format!("director {}: an answer to call {call}", self.director.number),
            );
        }
    }

    /// The connection has ended under what is open on it.
    fn on_connection_end(&self, session: &mut Session) {
        // What came before the end counts.
        for _ in 0..LAST_READS {
            if session.open.is_empty() || matches!(self.read_answers(session), ReadOutcome::Ended) {
                break;
            }
        }
        let now: Seconds = self.judge.now();
        for id in std::mem::take(&mut session.open).into_values() {
            let Some(request) = self.judge.request(id) else { continue };
            if now < request.written_at + CROSSING {
                self.judge.on_client_gone(id);
                self.judge.count("requests that crossed the end of their connection");
            } else if self.director.may_break_connections() {
                self.judge.count("requests on connections that broke by themselves");
            } else {
                self.on_lost(id, "its connection was closed");
            }
        }
    }

    fn on_lost(&self, id: u64, why: &str) {
        let Some(request) = self.judge.request(id) else { return };
        if self.director.excuses(request.written_at, request.budget) {
            self.judge.count("requests in the hand of a director that was killed or stopped");
        } else {
            let number = self.director.number;
            let after = self.judge.now() - request.written_at;
            let what = format!(
                "request {id:016x} at director {number}: {why}, {after:.3} s after it was written, budget {:.3}",
                request.budget
            );
            self.judge.record_violation(Rule::Lost, what);
        }
    }
}
