//! The load in control: purges and changes of the list by seeded chance, published as an operator's program does it, to
//! whichever relay owns the feed, or told by the one source of a star.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_relay_server::peer_client::{HttpResponse, PeerClient};
use sablecross_relay_server::publisher;
use sablecross_relay_server::settings::MemberForm;
use serde_json::{Value, json};

use super::pool_messages::{PublishedEvent, shared_ns};
use super::settings::Scale;
use crate::clock::unix_ms;
use crate::discovery_stub::DiscoveryStub;
use crate::schedule::exponential_interval;
use crate::threads::{lock, spawn};

const PATIENCE: Duration = Duration::from_secs(2);
/// The longest status that is read.
const LONGEST: usize = 16 << 20;
/// Publishers of purges at most: each waits for the answer to one event.
const MOST_PUBLISHERS: usize = 64;

/// Where events go.
#[derive(Clone)]
pub enum Outlet {
    Star(DiscoveryStub),
    /// The voters: the owner moves among them.
    Relays(Vec<MemberForm>),
}

/// What a relay says of itself.
pub fn status(at: SocketAddr) -> Option<Value> {
    let said =
        PeerClient::new(at, PATIENCE, LONGEST).request("GET", "/v1/status", "Connection: close\r\n", b"");
    let HttpResponse { code, body } = said.ok()?;
    serde_json::from_slice(&body).ok().filter(|_| code == 200)
}

/// The place of the relay that owns the feed now.
pub fn owner(relays: &[SocketAddr]) -> Option<usize> {
    relays.iter().position(|at| status(*at).is_some_and(|s| s["role"] == "owner"))
}

/// One that publishes, one event after the other.
enum Publisher {
    Star(DiscoveryStub),
    Relays { to: publisher::Publisher, again: Arc<AtomicUsize>, given_up: Arc<AtomicBool> },
}

impl Publisher {
    /// The number that it got; nothing, once the trial has given up.
    fn publish(&mut self, event: &str, mark: &str) -> Option<u64> {
        let (to, again, given_up) = match self {
            Publisher::Star(feed) => return Some(feed.publish(event)),
            Publisher::Relays { to, again, given_up } => (to, again, given_up),
        };
        let event = format!("{{{event}}}");
        while !given_up.load(Ordering::Relaxed) {
            match to.publish(mark, event.as_bytes(), PATIENCE) {
                Ok(number) => return Some(number),
                Err(_) => again.fetch_add(1, Ordering::Relaxed),
            };
        }
        None
    }
}

/// An event of the load, and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct Published {
    pub change: bool,
    /// When it was due at the source, by the clock that all processes share.
    pub at: u64,
    pub purged_ms: u64,
    /// Once it is confirmed.
    pub number: Option<u64>,
    pub confirmed: u64,
}

/// A node of the list.
#[derive(Clone, Copy)]
struct NodeLine {
    status: &'static str,
    since: u64,
    change: u32,
}

struct List {
    zones: usize,
    lines: Vec<NodeLine>,
}

impl List {
    /// As the list says it; what it was changed by last stands as its weight, which directors pass over.
    fn line(&self, n: usize) -> Value {
        let last = self.lines.len() - 1;
        let kind = match n {
            _ if n == last => "origin",
            _ if n % 30 == 29 => "parent",
            _ => "small",
        };
        let NodeLine { status, since, change } = self.lines[n];
        let address = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 10_080));
        json!({"name": format!("node-{n}"), "address": address, "zone": format!("zone-{}", n % self.zones),
            "type": kind, "group": n % 8, "status": status, "weight": change, "since_ms": since})
    }
}

/// The first word of the load: the whole list.
pub fn whole(s: &Scale) -> String {
    let list = List::of(s);
    let lines: Vec<Value> = (0..s.nodes).map(|n| list.line(n)).collect();
    format!("\"members\":{}", json!({"index": 0, "snapshot": true, "endpoints": lines}))
}

impl List {
    fn of(s: &Scale) -> List {
        List { zones: s.zones, lines: vec![NodeLine { status: "ready", since: 0, change: 0 }; s.nodes] }
    }

    /// Another state of one node, never of the origin.
    fn change(&mut self, rng: &mut Pcg32, content: u32) -> String {
        let n = rng.random_range(0..self.lines.len() - 1);
        let line = &mut self.lines[n];
        line.change = content;
        line.status = match (line.status, rng.random::<f64>() < 0.5) {
            ("ready", true) => "draining",
            ("ready", false) => "gone",
            _ => "ready",
        };
        if line.status == "ready" {
            line.since = unix_ms();
        }
        format!("\"members\":{}", json!({"index": content, "snapshot": false, "endpoints": [self.line(n)]}))
    }
}

#[derive(Default)]
struct Queue {
    waiting: Mutex<(VecDeque<u32>, bool)>,
    more: Condvar,
}

impl Queue {
    fn push(&self, content: u32) {
        lock(&self.waiting).0.push_back(content);
        self.more.notify_one();
    }

    fn end(&self) {
        lock(&self.waiting).1 = true;
        self.more.notify_all();
    }

    /// The next one; nothing, once it has ended and all are taken.
    fn next(&self) -> Option<u32> {
        let mut waiting = lock(&self.waiting);
        loop {
            if let Some(content) = waiting.0.pop_front() {
                return Some(content);
            }
            if waiting.1 {
                return None;
            }
            waiting = self.more.wait(waiting).unwrap_or_else(|e| e.into_inner());
        }
    }
}

/// By content, from 1; content 0 is not of the load.
type All = Arc<Mutex<Vec<Published>>>;

pub struct Source {
    all: All,
    list: Arc<Mutex<List>>,
    queues: Arc<[Queue; 2]>,
    outlet: Outlet,
    mark: u64,
    seed: u64,
    again: Arc<AtomicUsize>,
    given_up: Arc<AtomicBool>,
    rng: Pcg32,
    due: [f64; 2],
}

impl Source {
    /// Tells the whole list first; its number.
    pub fn start(s: &Scale, outlet: Outlet) -> Option<(Source, u64)> {
        let mut rng = Pcg32::seed_from_u64(s.seed);
        let due = [s.purges, s.changes]
            .map(|r| if r > 0.0 { exponential_interval(&mut rng, r) } else { f64::INFINITY });
        let source = Source {
            all: All::default(),
            list: Arc::new(Mutex::new(List::of(s))),
            queues: Arc::default(),
            outlet,
            mark: unix_ms(),
            seed: s.seed + 1,
            again: Arc::default(),
            given_up: Arc::default(),
            rng,
            due,
        };
        let first = source.publisher().publish(&whole(s), &format!("{}-0", source.mark))?;
        let many = match &source.outlet {
            Outlet::Star(_) => 1,
            Outlet::Relays(_) => ((s.purges * 0.3) as usize + 4).min(MOST_PUBLISHERS),
        };
        (0..many).for_each(|_| source.begin(false));
        // Changes of one node keep their order.
        source.begin(true);
        Some((source, first))
    }

    fn publisher(&self) -> Publisher {
        match &self.outlet {
            Outlet::Star(feed) => Publisher::Star(feed.clone()),
            Outlet::Relays(voters) => Publisher::Relays {
                to: publisher::Publisher::new(voters),
                again: Arc::clone(&self.again),
                given_up: Arc::clone(&self.given_up),
            },
        }
    }

    fn begin(&self, changes: bool) {
        let (all, list, queues) = (Arc::clone(&self.all), Arc::clone(&self.list), Arc::clone(&self.queues));
        let (mut publisher, mark) = (self.publisher(), self.mark);
        let mut rng = Pcg32::seed_from_u64(self.seed);
        spawn(move || {
            while let Some(content) = queues[usize::from(changes)].next() {
                let event = if changes {
                    lock(&list).change(&mut rng, content)
                } else {
                    let at = lock(&all)[content as usize - 1].purged_ms;
                    format!("\"purge\":{{\"key\":\"{content:016x}\",\"at\":{at}}}")
                };
                let Some(number) = publisher.publish(&event, &format!("{mark}-{content}")) else { return };
                let published = &mut lock(&all)[content as usize - 1];
                (published.number, published.confirmed) = (Some(number), shared_ns());
            }
        });
    }

    /// Hands on what is due by now, in seconds from the start of the load.
    pub fn step(&mut self, s: &Scale, now: f64) {
        for (which, rate) in [s.purges, s.changes].into_iter().enumerate() {
            while self.due[which] <= now {
                self.due[which] += exponential_interval(&mut self.rng, rate);
                self.hand_on(which == 1);
            }
        }
    }

    fn hand_on(&self, change: bool) {
        let content = {
            let mut all = lock(&self.all);
            let purged_ms = if change { 0 } else { unix_ms() };
            all.push(Published { change, at: shared_ns(), purged_ms, number: None, confirmed: 0 });
            all.len() as u32
        };
        self.queues[usize::from(change)].push(content);
    }

    pub fn burst(&self, purges: usize) {
        (0..purges).for_each(|_| self.hand_on(false));
    }

    /// Waits so long at most until all that was handed on is confirmed.
    pub fn end(&self, most: Duration) {
        self.queues.iter().for_each(Queue::end);
        let begun = Instant::now();
        while begun.elapsed() < most && lock(&self.all).iter().any(|p| p.number.is_none()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.given_up.store(true, Ordering::Relaxed);
    }

    pub fn all(&self) -> Vec<Published> {
        lock(&self.all).clone()
    }

    pub fn told(&self) -> Vec<PublishedEvent> {
        let all = lock(&self.all);
        let numbered =
            all.iter().enumerate().filter_map(|(n, p)| Some((n as u32 + 1, p.purged_ms, p.number?)));
        numbered.map(|(content, purged_ms, number)| PublishedEvent { number, content, purged_ms }).collect()
    }

    /// Of each node its last change, and whether it has gone.
    pub fn list(&self) -> Vec<(u32, bool)> {
        lock(&self.list).lines.iter().map(|l| (l.change, l.status == "gone")).collect()
    }

    /// Events that had to be published again.
    pub fn again(&self) -> usize {
        self.again.load(Ordering::Relaxed)
    }
}
