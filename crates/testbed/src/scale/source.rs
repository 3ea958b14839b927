//! The load of a scale trial: purges and changes of the endpoint list, drawn from the seed. They are published to the
//! leader of the relays, as an operator's program would, or by the one source if no relay votes.
//!
//! Each event of the load has a content: a number from 1 that identifies the event before its publication gives it an
//! event number.

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

use super::pool_messages::{ConfirmedEvent, shared_ns};
use super::settings::ScaleTrial;
use crate::clock::unix_ms;
use crate::discovery_stub::DiscoveryStub;
use crate::schedule::exponential_interval;
use crate::threads::{lock, spawn};

/// Timeout of a request for a relay's status, and of each attempt to publish an event, which may call several relays.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a relay's status.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Maximum number of publishers of purges. Each waits for the answer to one event at a time.
const MAX_PUBLISHERS: usize = 64;

/// Where events are published.
#[derive(Clone)]
pub(crate) enum PublishTarget {
    /// The one source.
    Source(DiscoveryStub),
    /// The voters, one of which is the leader.
    Relays(Vec<MemberForm>),
}

/// The status of a relay; none if it does not answer.
pub(crate) fn status(address: SocketAddr) -> Option<Value> {
    let mut client = PeerClient::new(address, CALL_TIMEOUT, MAX_STATUS_BYTES);
    let HttpResponse { code, body } =
        client.request("GET", "/v1/status", "Connection: close\r\n", b"").ok()?;
    serde_json::from_slice(&body).ok().filter(|_| code == 200)
}

/// The index of the relay that is the leader now.
pub(crate) fn leader(relays: &[SocketAddr]) -> Option<usize> {
    relays.iter().position(|relay| status(*relay).is_some_and(|status| status["role"] == "owner"))
}

/// Publishes events one at a time.
enum Publisher {
    Source(DiscoveryStub),
    Relays { publisher: publisher::Publisher, retries: Arc<AtomicUsize>, given_up: Arc<AtomicBool> },
}

impl Publisher {
    /// Publishes an event, retries until it is confirmed, and returns its number; none once the trial has given up. All
    /// attempts carry the same `key`.
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
pub(crate) struct LoadEvent {
    /// Whether the event changes the endpoint list; else it is a purge.
    pub(crate) is_change: bool,
    /// When the event was queued for publication, by the shared clock.
    pub(crate) queued_ns: u64,
    /// When the purge was made, in Unix milliseconds; 0 for a change of the list.
    pub(crate) purged_ms: u64,
    /// Its number, once it is confirmed.
    pub(crate) number: Option<u64>,
    /// When it was confirmed, by the shared clock.
    pub(crate) confirmed_ns: u64,
}

/// The state of a node in the endpoint list.
#[derive(Clone, Copy)]
struct ListEntry {
    status: &'static str,
    /// When the node last became ready, in Unix milliseconds; 0 if that was at the start.
    since: u64,
    /// The content of the last change; 0 if there was none.
    change: u32,
}

/// The endpoint list.
struct EndpointList {
    zones: usize,
    entries: Vec<ListEntry>,
}

impl EndpointList {
    /// An entry in its JSON form. The weight holds the content of the last change, as directors ignore weights.
    fn entry(&self, n: usize) -> Value {
        let last = self.entries.len() - 1;
        let kind = match n {
            _ if n == last => "origin",
            _ if n % 30 == 29 => "parent",
            _ => "small",
        };
        let ListEntry { status, since, change } = self.entries[n];
        let address = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 10_080));
        json!({"name": format!("node-{n}"), "address": address, "zone": format!("zone-{}", n % self.zones),
            "type": kind, "group": n % 8, "status": status, "weight": change, "since_ms": since})
    }
}

/// The first event of a trial: a snapshot of the endpoint list.
pub(crate) fn first_event(settings: &ScaleTrial) -> String {
    let list = EndpointList::new(settings);
    let entries: Vec<Value> = (0..settings.nodes).map(|n| list.entry(n)).collect();
    format!("\"members\":{}", json!({"index": 0, "snapshot": true, "endpoints": entries}))
}

impl EndpointList {
    fn new(settings: &ScaleTrial) -> EndpointList {
        EndpointList {
            zones: settings.zones,
            entries: vec![ListEntry { status: "ready", since: 0, change: 0 }; settings.nodes],
        }
    }

    /// Changes the status of a random node other than the origin, and returns the event.
    fn change_node(&mut self, rng: &mut Pcg32, content: u32) -> String {
        let n = rng.random_range(0..self.entries.len() - 1);
        let entry = &mut self.entries[n];
        entry.change = content;
        entry.status = match (entry.status, rng.random::<f64>() < 0.5) {
            ("ready", true) => "draining",
            ("ready", false) => "gone",
            _ => "ready",
        };
        if entry.status == "ready" {
            entry.since = unix_ms();
        }
        format!("\"members\":{}", json!({"index": content, "snapshot": false, "endpoints": [self.entry(n)]}))
    }
}

#[derive(Default)]
struct QueueState {
    contents: VecDeque<u32>,
    has_ended: bool,
}

/// Queue of events, by content, that wait for a publisher.
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

/// The event with content `n` is at index `n - 1`. Content 0 is the first snapshot, which is not part of the load.
type LoadEvents = Arc<Mutex<Vec<LoadEvent>>>;

/// The source of all events.
pub(crate) struct Source {
    load_events: LoadEvents,
    list: Arc<Mutex<EndpointList>>,
    /// The queue of purges and the queue of changes.
    queues: Arc<[Queue; 2]>,
    target: PublishTarget,
    /// Prefix of the idempotency keys of all events.
    key_prefix: u64,
    seed: u64,
    retries: Arc<AtomicUsize>,
    given_up: Arc<AtomicBool>,
    rng: Pcg32,
    /// When the next purge and the next change are due, in seconds from the start of the load.
    due_seconds: [f64; 2],
}

impl Source {
    /// Publishes the first snapshot and starts the publishers. Returns the source and the snapshot's number; none if
    /// the snapshot was not confirmed.
    pub(crate) fn start(settings: &ScaleTrial, target: PublishTarget) -> Option<(Source, u64)> {
        let mut rng = Pcg32::seed_from_u64(settings.seed);
        let due_seconds = [settings.purges, settings.changes]
            .map(|r| if r > 0.0 { exponential_interval(&mut rng, r) } else { f64::INFINITY });
        let source = Source {
            load_events: LoadEvents::default(),
            list: Arc::new(Mutex::new(EndpointList::new(settings))),
            queues: Arc::default(),
            target,
            key_prefix: unix_ms(),
            seed: settings.seed + 1,
            retries: Arc::default(),
            given_up: Arc::default(),
            rng,
            due_seconds,
        };
        let first =
            source.publisher().publish(&first_event(settings), &format!("{}-0", source.key_prefix))?;
        let publishers = match &source.target {
            PublishTarget::Source(_) => 1,
            PublishTarget::Relays(_) => ((settings.purges * 0.3) as usize + 4).min(MAX_PUBLISHERS),
        };
        (0..publishers).for_each(|_| source.start_publisher(false));
        // All changes go through one publisher, so that those of one node keep their order.
        source.start_publisher(true);
        Some((source, first))
    }

    fn publisher(&self) -> Publisher {
        match &self.target {
            PublishTarget::Source(source) => Publisher::Source(source.clone()),
            PublishTarget::Relays(voters) => Publisher::Relays {
                publisher: publisher::Publisher::new(voters),
                retries: Arc::clone(&self.retries),
                given_up: Arc::clone(&self.given_up),
            },
        }
    }

    /// Starts a thread that publishes the events of one queue.
    fn start_publisher(&self, of_changes: bool) {
        let (load_events, list) = (Arc::clone(&self.load_events), Arc::clone(&self.list));
        let queues = Arc::clone(&self.queues);
        let (mut publisher, key_prefix) = (self.publisher(), self.key_prefix);
        let mut rng = Pcg32::seed_from_u64(self.seed);
        spawn(move || {
            while let Some(content) = queues[usize::from(of_changes)].next() {
                let event = if of_changes {
                    lock(&list).change_node(&mut rng, content)
                } else {
                    let purged_ms = lock(&load_events)[content as usize - 1].purged_ms;
                    format!("\"purge\":{{\"key\":\"{content:016x}\",\"at\":{purged_ms}}}")
                };
                let key = format!("{key_prefix}-{content}");
                let Some(number) = publisher.publish(&event, &key) else { return };
                let load_event = &mut lock(&load_events)[content as usize - 1];
                load_event.number = Some(number);
                load_event.confirmed_ns = shared_ns();
            }
        });
    }

    /// Queues the events that are due. `now` is in seconds from the start of the load.
    pub(crate) fn step(&mut self, settings: &ScaleTrial, now: f64) {
        for (queue, rate) in [settings.purges, settings.changes].into_iter().enumerate() {
            while self.due_seconds[queue] <= now {
                self.due_seconds[queue] += exponential_interval(&mut self.rng, rate);
                self.enqueue(queue == 1);
            }
        }
    }

    fn enqueue(&self, is_change: bool) {
        let content = {
            let mut load_events = lock(&self.load_events);
            let purged_ms = if is_change { 0 } else { unix_ms() };
            load_events.push(LoadEvent {
                is_change,
                queued_ns: shared_ns(),
                purged_ms,
                number: None,
                confirmed_ns: 0,
            });
            load_events.len() as u32
        };
        self.queues[usize::from(is_change)].push(content);
    }

    /// Queues `count` purges at once.
    pub(crate) fn burst(&self, count: usize) {
        (0..count).for_each(|_| self.enqueue(false));
    }

    /// Waits until all queued events are confirmed or the timeout has passed, then stops all retries.
    pub(crate) fn finish(&self, timeout: Duration) {
        self.queues.iter().for_each(Queue::end);
        let begun = Instant::now();
        while begun.elapsed() < timeout && lock(&self.load_events).iter().any(|event| event.number.is_none())
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.given_up.store(true, Ordering::Relaxed);
    }

    /// All events of the load, by content.
    pub(crate) fn load_events(&self) -> Vec<LoadEvent> {
        lock(&self.load_events).clone()
    }

    /// The confirmed events, as simulated directors compare them with what they applied.
    pub(crate) fn confirmed_events(&self) -> Vec<ConfirmedEvent> {
        let load_events = lock(&self.load_events);
        let confirmed = (1..)
            .zip(load_events.iter())
            .filter_map(|(content, event)| Some((content, event, event.number?)));
        confirmed
            .map(|(content, event, number)| ConfirmedEvent { number, content, purged_ms: event.purged_ms })
            .collect()
    }

    /// The content of each node's last change, and whether the node has gone.
    pub(crate) fn list(&self) -> Vec<(u32, bool)> {
        lock(&self.list).entries.iter().map(|entry| (entry.change, entry.status == "gone")).collect()
    }

    /// The number of failed attempts to publish an event.
    pub(crate) fn retries(&self) -> usize {
        self.retries.load(Ordering::Relaxed)
    }
}
