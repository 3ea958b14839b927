//! The clients of one director. They send lookups at a fixed mean rate however many are pending (open loop), and count
//! exactly one outcome for each lookup.

use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::node::Seconds;
use crate::client_load::{BUDGET_MS, Response, encode_request, read_any_response};
use crate::schedule::exponential_interval;
use crate::threads::{lock, spawn};

/// The time budget of a lookup.
const BUDGET_SECONDS: f64 = BUDGET_MS as f64 / 1e3;
/// A lookup counts as unanswered this long after its budget has run out. A success that arrives in between counts as
/// late.
const UNANSWERED_AFTER_SECONDS: f64 = 0.5;
/// The longest sleep of the sender before it checks for overdue lookups.
const MAX_SLEEP_SECONDS: f64 = 0.1;

/// The number of lookups by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientTally {
    /// All lookups.
    pub asked: u64,
    /// Lookups that succeeded.
    pub satisfied: u64,
    /// Lookups that succeeded after their time budget.
    pub late: u64,
    /// Lookups that were rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Lookups that failed.
    pub failed: u64,
    /// Lookups without an answer while the director was killed or stopped. No answer was required.
    pub excused: u64,
    /// Lookups without an answer although one was required.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Answers without a matching lookup, repeated answers, and answers to lookups that were already counted as
    /// unanswered.
    #[serde(rename = "strange")]
    pub unexpected: u64,
}

impl ClientTally {
    pub(crate) fn add(&mut self, other: &ClientTally) {
        self.asked += other.asked;
        self.satisfied += other.satisfied;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.excused += other.excused;
        self.unanswered += other.unanswered;
        self.unexpected += other.unexpected;
    }
}

/// A period in which the director was stopped or killed.
struct ExcusedSpan {
    from: Seconds,
    to: Seconds,
}

#[derive(Default)]
struct ClientsState {
    /// The send time of each open call.
    open_calls: HashMap<u32, Seconds>,
    /// Calls that were counted as excused. Their answers may still arrive.
    abandoned_calls: HashSet<u32>,
    /// Tallies by the second in which lookups were sent.
    seconds: Vec<ClientTally>,
    excused: Vec<ExcusedSpan>,
    connection: Option<Arc<TcpStream>>,
}

impl ClientsState {
    fn second(&mut self, at: Seconds) -> &mut ClientTally {
        let second = at as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, ClientTally::default());
        }
        &mut self.seconds[second]
    }

    /// Counts a call without an answer, as excused if it overlaps an excused period.
    fn on_unanswered(&mut self, call: u32, sent_at: Seconds, now: Seconds) {
        if self.excused.iter().any(|span| sent_at < span.to && span.from < now) {
            self.abandoned_calls.insert(call);
            self.second(sent_at).excused += 1;
        } else {
            self.second(sent_at).unanswered += 1;
        }
    }
}

/// The lookups of one director's clients.
#[derive(Clone, Copy)]
pub(crate) struct Workload {
    /// The number of distinct objects.
    pub(crate) objects: u64,
    /// The share of lookups for one hot object.
    pub(crate) hot_share: f64,
    /// Lookups per second.
    pub(crate) rate: f64,
    pub(crate) seed: u64,
}

/// All clients of one director. They share one connection.
pub(crate) struct Clients {
    /// The director's number.
    number: usize,
    director: SocketAddr,
    started: Instant,
    over: Arc<AtomicBool>,
    state: Mutex<ClientsState>,
}

impl Clients {
    /// Starts the clients. They stop at the end of the trial.
    pub(crate) fn start(
        number: usize,
        director: SocketAddr,
        workload: Workload,
        started: Instant,
        over: &Arc<AtomicBool>,
    ) -> Arc<Clients> {
        let over = Arc::clone(over);
        let clients = Arc::new(Clients { number, director, started, over, state: Mutex::default() });
        let own = Arc::clone(&clients);
        spawn(move || own.send_requests(&workload));
        clients
    }

    fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    /// Excuses unanswered lookups in this period, in which the director is stopped or down.
    pub(crate) fn excuse(&self, from: Seconds, to: Seconds) {
        lock(&self.state).excused.push(ExcusedSpan { from, to });
    }

    fn send_requests(self: &Arc<Clients>, workload: &Workload) {
        let seed = workload.seed ^ (self.number as u64 + 1).wrapping_mul(0x9e37_79b9);
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut call = 0u32;
        let mut next = self.now() + rng.random::<f64>() / workload.rate;
        while !self.over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs_f64((next - self.now()).clamp(0.0, MAX_SLEEP_SECONDS)));
            self.give_up_overdue_calls();
            if self.now() < next {
                continue;
            }
            next += exponential_interval(&mut rng, workload.rate);
            let object = draw_object(&mut rng, workload);
            let Some(stream) = self.connect() else { continue };
            call += 1;
            self.send_request(&stream, call, object);
        }
    }

    fn send_request(&self, mut stream: &TcpStream, call: u32, object: u64) {
        let request = (self.number as u64) << 32 | u64::from(call);
        let bytes = encode_request(request, call, object);
        let now = self.now();
        {
            let mut state = lock(&self.state);
            state.open_calls.insert(call, now);
            state.second(now).asked += 1;
        }
        // The reading thread handles the end of a connection.
        let _ = stream.write_all(&bytes);
    }

    /// The current connection, or a new one if there is none.
    fn connect(self: &Arc<Clients>) -> Option<Arc<TcpStream>> {
        if let Some(connection) = lock(&self.state).connection.clone() {
            return Some(connection);
        }
        let connection = TcpStream::connect(self.director).ok()?;
        connection.set_nodelay(true).ok()?;
        let connection = Arc::new(connection);
        lock(&self.state).connection = Some(Arc::clone(&connection));
        let (own, stream) = (Arc::clone(self), Arc::clone(&connection));
        spawn(move || own.read_answers(&stream));
        Some(connection)
    }

    /// Reads answers until the connection ends. Calls that are still open then count as unanswered.
    fn read_answers(&self, connection: &Arc<TcpStream>) {
        let mut reader = BufReader::new(&**connection);
        while let Ok((call, answer)) = read_any_response(&mut reader) {
            self.on_answer(call, &answer);
        }
        let _ = connection.shutdown(Shutdown::Both);
        let now = self.now();
        let mut state = lock(&self.state);
        if state.connection.as_ref().is_some_and(|current| Arc::ptr_eq(current, connection)) {
            state.connection = None;
        }
        for (call, sent_at) in std::mem::take(&mut state.open_calls) {
            state.on_unanswered(call, sent_at, now);
        }
    }

    fn on_answer(&self, call: u32, answer: &Response) {
        let now = self.now();
        let mut state = lock(&self.state);
        let Some(sent_at) = state.open_calls.remove(&call) else {
            if !state.abandoned_calls.remove(&call) {
                state.second(now).unexpected += 1;
            }
            return;
        };
        let second = state.second(sent_at);
        match answer {
            Response::Success(_) => {
                second.satisfied += 1;
                second.late += u64::from(now - sent_at > BUDGET_SECONDS);
            }
            Response::Rejected => second.rejected += 1,
            Response::Failed => second.failed += 1,
        }
    }

    fn give_up_overdue_calls(&self) {
        let now = self.now();
        let mut state = lock(&self.state);
        let is_overdue = |sent_at: Seconds| now > sent_at + BUDGET_SECONDS + UNANSWERED_AFTER_SECONDS;
        let overdue: Vec<(u32, Seconds)> = state
            .open_calls
            .iter()
            .filter(|(_, sent_at)| is_overdue(**sent_at))
            .map(|(call, sent_at)| (*call, *sent_at))
            .collect();
        for (call, sent_at) in overdue {
            state.open_calls.remove(&call);
            state.on_unanswered(call, sent_at, now);
        }
    }

    /// The outcomes of lookups by second. Called after the trial is over.
    pub(crate) fn tally(&self) -> Vec<ClientTally> {
        self.give_up_overdue_calls();
        lock(&self.state).seconds.clone()
    }
}

fn draw_object(rng: &mut Pcg32, workload: &Workload) -> u64 {
    if rng.random::<f64>() < workload.hot_share {
        0
    } else {
        (workload.objects as f64 * rng.random::<f64>().powi(3)) as u64
    }
}
