//! The clients of one director: they ask by the clock whatever is open, and each lookup has one end.

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

/// An answer that comes within this after the client's time has earned nothing, a later one is none.
const SLACK: f64 = 0.5;

/// What became of lookups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientTally {
    pub asked: u64,
    pub satisfied: u64,
    /// Of the satisfied, those past the client's time.
    pub late: u64,
    pub nacked: u64,
    pub failed: u64,
    /// In the hand of a director that was killed or stopped: no answer is owed.
    pub excused: u64,
    pub lost: u64,
    /// Answers to what was not asked, or a second time.
    pub strange: u64,
}

impl ClientTally {
    pub fn add(&mut self, o: &ClientTally) {
        self.asked += o.asked;
        self.satisfied += o.satisfied;
        self.late += o.late;
        self.nacked += o.nacked;
        self.failed += o.failed;
        self.excused += o.excused;
        self.lost += o.lost;
        self.strange += o.strange;
    }
}

#[derive(Default)]
struct Open {
    /// When each open call was asked.
    calls: HashMap<u32, Seconds>,
    /// Calls that were given up without blame, whose answers may come still.
    let_go: HashSet<u32>,
    seconds: Vec<ClientTally>,
    /// When the director was stopped or killed, and until when.
    struck: Vec<(Seconds, Seconds)>,
    link: Option<Arc<TcpStream>>,
}

impl Open {
    fn second(&mut self, at: Seconds) -> &mut ClientTally {
        let at = at as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, ClientTally::default());
        }
        &mut self.seconds[at]
    }

    /// A call that has no answer.
    fn unanswered(&mut self, call: u32, asked: Seconds, now: Seconds) {
        let excused = self.struck.iter().any(|(from, to)| asked < *to && *from < now);
        if excused {
            self.let_go.insert(call);
        }
        let second = self.second(asked);
        *(if excused { &mut second.excused } else { &mut second.lost }) += 1;
    }
}

/// What all clients of a trial ask for.
#[derive(Clone, Copy)]
pub struct Workload {
    pub objects: u64,
    pub hot: f64,
    pub rate: f64,
    pub seed: u64,
}

pub struct Clients {
    number: usize,
    director: SocketAddr,
    begun: Instant,
    over: Arc<AtomicBool>,
    open: Mutex<Open>,
}

impl Clients {
    pub fn start(
        number: usize,
        director: SocketAddr,
        wants: Workload,
        begun: Instant,
        over: &Arc<AtomicBool>,
    ) -> Arc<Clients> {
        let all =
            Arc::new(Clients { number, director, begun, over: Arc::clone(over), open: Mutex::default() });
        let own = Arc::clone(&all);
        spawn(move || own.send_requests(&wants));
        all
    }

    fn now(&self) -> Seconds {
        self.begun.elapsed().as_secs_f64()
    }

    /// The director is stopped, or down, in this time.
    pub fn excuse(&self, from: Seconds, to: Seconds) {
        lock(&self.open).struck.push((from, to));
    }

    fn send_requests(self: &Arc<Clients>, wants: &Workload) {
        let mut rng = Pcg32::seed_from_u64(wants.seed ^ (self.number as u64 + 1).wrapping_mul(0x9e37_79b9));
        let (mut call, mut next) = (0u32, self.now() + rng.random::<f64>() / wants.rate);
        while !self.over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs_f64((next - self.now()).clamp(0.0, 0.1)));
            self.sweep();
            if self.now() < next {
                continue;
            }
            next += exponential_interval(&mut rng, wants.rate);
            let hot = rng.random::<f64>() < wants.hot;
            let object = if hot { 0 } else { (wants.objects as f64 * rng.random::<f64>().powi(3)) as u64 };
            let Some(link) = self.link() else { continue };
            call += 1;
            let name = (self.number as u64) << 32 | u64::from(call);
            let bytes = encode_request(name, call, object);
            let now = self.now();
            {
                let mut open = lock(&self.open);
                open.calls.insert(call, now);
                open.second(now).asked += 1;
            }
            // One that broke is seen by its reader.
            let _ = (&*link).write_all(&bytes);
        }
    }

    /// The connection, made anew when there is none.
    fn link(self: &Arc<Clients>) -> Option<Arc<TcpStream>> {
        if let Some(link) = lock(&self.open).link.clone() {
            return Some(link);
        }
        let link = TcpStream::connect(self.director).ok()?;
        link.set_nodelay(true).ok()?;
        let link = Arc::new(link);
        lock(&self.open).link = Some(Arc::clone(&link));
        let (own, to) = (Arc::clone(self), Arc::clone(&link));
        spawn(move || own.read_answers(&to));
        Some(link)
    }

    fn read_answers(&self, link: &Arc<TcpStream>) {
        let mut from = BufReader::new(&**link);
        while let Ok((call, answer)) = read_any_response(&mut from) {
            let now = self.now();
            let mut open = lock(&self.open);
            let Some(asked) = open.calls.remove(&call) else {
                if !open.let_go.remove(&call) {
                    open.second(now).strange += 1;
                }
                continue;
            };
            let second = open.second(asked);
            match answer {
                Response::Success(_) => {
                    second.satisfied += 1;
                    second.late += u64::from(now - asked > BUDGET_MS as f64 / 1e3);
                }
                Response::Rejected => second.nacked += 1,
                Response::Failed => second.failed += 1,
            }
        }
        let _ = link.shutdown(Shutdown::Both);
        let now = self.now();
        let mut open = lock(&self.open);
        if open.link.as_ref().is_some_and(|l| Arc::ptr_eq(l, link)) {
            open.link = None;
        }
        for (call, asked) in std::mem::take(&mut open.calls) {
            open.unanswered(call, asked, now);
        }
    }

    /// Lookups whose time is over.
    fn sweep(&self) {
        let now = self.now();
        let mut open = lock(&self.open);
        let over = |asked: Seconds| now > asked + BUDGET_MS as f64 / 1e3 + SLACK;
        let gone: Vec<(u32, Seconds)> =
            open.calls.iter().filter(|(_, at)| over(**at)).map(|(c, at)| (*c, *at)).collect();
        for (call, asked) in gone {
            open.calls.remove(&call);
            open.unanswered(call, asked, now);
        }
    }

    /// By second, once all has ended.
    pub fn tally(&self) -> Vec<ClientTally> {
        self.sweep();
        lock(&self.open).seconds.clone()
    }
}
