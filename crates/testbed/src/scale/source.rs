//! The load of a scale trial: purges and changes of the list, drawn from the seed and published as an operator's program
//! does it, to the relay that leads, or by the one source where there are no voting relays.

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

/// How long a call of a relay may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest status that is read.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// The most publishers of purges: each waits for the answer to one event.
const MAX_PUBLISHERS: usize = 64;

/// Where events are published.
#[derive(Clone)]
pub(crate) enum Outlet {
    /// The one source.
    Source(DiscoveryStub),
    /// The voters, one of which leads.
    Relays(Vec<MemberForm>),
}

/// The status of a relay; none if it does not answer.
pub(crate) fn status(address: SocketAddr) -> Option<Value> {
    let mut client = PeerClient::new(address, CALL_TIMEOUT, MAX_STATUS_BYTES);
    let HttpResponse { code, body } =
        client.request("GET", "/v1/status", "Connection: close\r\n", b"").ok()?;
    serde_json::from_slice(&body).ok().filter(|_| code == 200)
}

/// Which of the relays leads now.
pub(crate) fn leader(relays: &[SocketAddr]) -> Option<usize> {
    relays.iter().position(|relay| status(*relay).is_some_and(|status| status["role"] == "owner"))
}

/// Publishes one event after the other.
enum Publisher {
    Source(DiscoveryStub),
    Relays { publisher: publisher::Publisher, retries: Arc<AtomicUsize>, given_up: Arc<AtomicBool> },
}

impl Publisher {
    /// Publishes an event until it is confirmed, and returns its number; none once the trial has given up. `key` is the
    /// same for each try.
    fn publish(&mut self, event: &str, key: &str) -> Option<u64> {
        let (publisher, retries, given_up) = match self {
            Publisher::Source(source) => return Some(source.publish(event)),
            Publisher::Relays { publisher, retries, given_up } => (publisher, retries, given_up),
        };
        let event = format!("{{{event}}}");
        while !given_up.load(Ordering::Relaxed) {
            match publisher.publish(key, event.as_bytes(), CALL_TIMEOUT) {
                Ok(number) => return Some(number),
                Err(_) => retries.fetch_add(1, Ordering::Relaxed),
            };
        }
        None
    }
}

/// An event of the load, and when it was confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Published {
    /// A change of the list, or else a purge.
    pub(crate) change: bool,
    /// When it was due at the source, by the shared clock.
    pub(crate) at: u64,
    /// When the purge was made, in Unix milliseconds; 0: a change of the list.
    pub(crate) purged_ms: u64,
    /// Its number, once it is confirmed.
    pub(crate) number: Option<u64>,
    /// When it was confirmed, by the shared clock.
    pub(crate) confirmed: u64,
}

/// A node of the list.
#[derive(Clone, Copy)]
struct NodeLine {
    status: &'static str,
    since: u64,
    change: u32,
}

/// The endpoint list.
struct List {
    zones: usize,
    lines: Vec<NodeLine>,
}

impl List {
    /// An entry of the list. Its weight is the content of its last change, which directors ignore.
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

/// The first event of the load: the whole list.
pub(crate) fn first_event(s: &Scale) -> String {
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
struct QueueState {
    contents: VecDeque<u32>,
    has_ended: bool,
}

/// Contents of events that wait for a publisher.
#[derive(Default)]
struct Queue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl Queue {
    fn push(&self, content: u32) {
        lock(&self.state).contents.push_back(content);
        self.changed.notify_one();
    }

    fn end(&self) {
        lock(&self.state).has_ended = true;
        self.changed.notify_all();
    }

    /// Waits for the next content; none once the queue has ended and is empty.
    fn next(&self) -> Option<u32> {
        let mut state = lock(&self.state);
        loop {
            if let Some(content) = state.contents.pop_front() {
                return Some(content);
            }
            if state.has_ended {
                return None;
            }
            state = self.changed.wait(state).unwrap_or_else(|e| e.into_inner());
        }
    }
}

/// Events by content, from 1; content 0 is no event of the load.
type PublishedEvents = Arc<Mutex<Vec<Published>>>;

/// The source of all events.
pub(crate) struct Source {
    published: PublishedEvents,
    list: Arc<Mutex<List>>,
    /// Of purges, of changes.
    queues: Arc<[Queue; 2]>,
    outlet: Outlet,
    /// What the keys of all events begin with.
    key_prefix: u64,
    seed: u64,
    retries: Arc<AtomicUsize>,
    given_up: Arc<AtomicBool>,
    rng: Pcg32,
    /// When the next purge and the next change are due, in seconds.
    due: [f64; 2],
}

impl Source {
    /// Publishes the whole list and returns its number; none if it was not taken.
    pub(crate) fn start(s: &Scale, outlet: Outlet) -> Option<(Source, u64)> {
        let mut rng = Pcg32::seed_from_u64(s.seed);
        let due = [s.purges, s.changes]
            .map(|r| if r > 0.0 { exponential_interval(&mut rng, r) } else { f64::INFINITY });
        let source = Source {
            published: PublishedEvents::default(),
            list: Arc::new(Mutex::new(List::of(s))),
            queues: Arc::default(),
            outlet,
            key_prefix: unix_ms(),
            seed: s.seed + 1,
            retries: Arc::default(),
            given_up: Arc::default(),
            rng,
            due,
        };
        let first = source.publisher().publish(&first_event(s), &format!("{}-0", source.key_prefix))?;
        let publishers = match &source.outlet {
            Outlet::Source(_) => 1,
            Outlet::Relays(_) => ((s.purges * 0.3) as usize + 4).min(MAX_PUBLISHERS),
        };
        (0..publishers).for_each(|_| source.start_publisher(false));
        // Changes of one node keep their order.
        source.start_publisher(true);
        Some((source, first))
    }

    fn publisher(&self) -> Publisher {
        match &self.outlet {
            Outlet::Source(source) => Publisher::Source(source.clone()),
            Outlet::Relays(voters) => Publisher::Relays {
                publisher: publisher::Publisher::new(voters),
                retries: Arc::clone(&self.retries),
                given_up: Arc::clone(&self.given_up),
            },
        }
    }

    /// Publishes the events of one queue on a thread of its own.
    fn start_publisher(&self, of_changes: bool) {
        let (published, list) = (Arc::clone(&self.published), Arc::clone(&self.list));
        let queues = Arc::clone(&self.queues);
        let (mut publisher, key_prefix) = (self.publisher(), self.key_prefix);
        let mut rng = Pcg32::seed_from_u64(self.seed);
        spawn(move || {
            while let Some(content) = queues[usize::from(of_changes)].next() {
                let event = if of_changes {
                    lock(&list).change(&mut rng, content)
                } else {
                    let purged_ms = lock(&published)[content as usize - 1].purged_ms;
                    format!("\"purge\":{{\"key\":\"{content:016x}\",\"at\":{purged_ms}}}")
                };
                let key = format!("{key_prefix}-{content}");
                let Some(number) = publisher.publish(&event, &key) else { return };
                let published = &mut lock(&published)[content as usize - 1];
                published.number = Some(number);
                published.confirmed = shared_ns();
            }
        });
    }

    /// Queues what is due by now, in seconds from the start of the load.
    pub(crate) fn step(&mut self, settings: &Scale, now: f64) {
        for (queue, rate) in [settings.purges, settings.changes].into_iter().enumerate() {
            while self.due[queue] <= now {
                self.due[queue] += exponential_interval(&mut self.rng, rate);
                self.enqueue(queue == 1);
            }
        }
    }

    fn enqueue(&self, change: bool) {
        let content = {
            let mut published = lock(&self.published);
            let purged_ms = if change { 0 } else { unix_ms() };
            published.push(Published { change, at: shared_ns(), purged_ms, number: None, confirmed: 0 });
            published.len() as u32
        };
        self.queues[usize::from(change)].push(content);
    }

    /// Queues so many purges at once.
    pub(crate) fn burst(&self, purges: usize) {
        (0..purges).for_each(|_| self.enqueue(false));
    }

    /// Waits until all that was queued is confirmed, or the time is over; then gives up.
    pub(crate) fn finish(&self, timeout: Duration) {
        self.queues.iter().for_each(Queue::end);
        let begun = Instant::now();
        while begun.elapsed() < timeout && lock(&self.published).iter().any(|event| event.number.is_none()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.given_up.store(true, Ordering::Relaxed);
    }

    /// All events of the load, by content.
    pub(crate) fn published(&self) -> Vec<Published> {
        lock(&self.published).clone()
    }

    /// The confirmed events, as simulated directors compare them with what they applied.
    pub(crate) fn events(&self) -> Vec<PublishedEvent> {
        let published = lock(&self.published);
        let confirmed =
            (1..).zip(published.iter()).filter_map(|(content, event)| Some((content, event, event.number?)));
        confirmed
            .map(|(content, event, number)| PublishedEvent { number, content, purged_ms: event.purged_ms })
            .collect()
    }

    /// The content of each node's last change, and whether the node has gone.
    pub(crate) fn list(&self) -> Vec<(u32, bool)> {
        lock(&self.list).lines.iter().map(|line| (line.change, line.status == "gone")).collect()
    }

    /// Calls that were made again as the one before had no answer.
    pub(crate) fn retries(&self) -> usize {
        self.retries.load(Ordering::Relaxed)
    }
}
