//! Simulates a fleet of directors that share the nodes of a location, event by event, and checks the attempts that a
//! cold node gets from all of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::*;

use crate::support::*;

const SEED: u64 = 1;
/// The number of objects: so many that no single one accounts for a large share of a node's load.
const OBJECTS: u64 = 100_000;
/// The time that an answer takes in addition to its transfer.
const ANSWER_LATENCY: Ns = 3 * MS;

/// The requests of one class.
#[derive(Clone, Copy)]
pub(crate) struct ClassTraffic {
    /// The number of requests per second that arrive at all directors together.
    pub(crate) per_second: f64,
    /// The size that clients name, in kilobytes; 0 if they name none.
    pub(crate) size_kb: f64,
    /// The time that a transfer actually takes.
    pub(crate) transfer_time: Ns,
}

/// An attempt that was made.
pub(crate) struct AttemptRecord {
    at: Ns,
    node: usize,
    source: Option<usize>,
    class: usize,
}

impl AttemptRecord {
    /// Whether the attempt was sent to this node or named it as its source.
    pub(crate) fn involves(&self, node: usize) -> bool {
        self.node == node || self.source == Some(node)
    }
}

struct OpenRequest {
    director: usize,
    request: Request,
    outcome: Outcome,
}

pub(crate) struct Fleet {
    directors: Vec<Router>,
    settings: Settings,
    pub(crate) list: Vec<EndpointUpdate>,
    pub(crate) now: Ns,
    pub(crate) attempts: Vec<AttemptRecord>,
    /// The directors at which requests arrive.
    pub(crate) serving: Vec<usize>,
    /// The outcome of every attempt at a node, by node. Attempts at nodes that are not named here succeed.
    pub(crate) outcomes: BTreeMap<usize, Outcome>,
    rng: Pcg32,
    open: BTreeMap<u64, OpenRequest>,
    /// The time of the next outcome of each open request.
    due: BinaryHeap<Reverse<(Ns, u64)>>,
    next_request: u64,
}

impl Fleet {
    /// Starts directors with this endpoint list.
    pub(crate) fn start(size: usize, settings: Settings, list: Vec<EndpointUpdate>) -> Fleet {
        let directors = (0..size).map(|index| start_director(index, size, &settings, &list, START)).collect();
        Fleet {
            directors,
            settings,
            list,
            now: START,
            attempts: Vec::new(),
            serving: (0..size).collect(),
            outcomes: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(SEED),
            open: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_request: 0,
        }
    }

    /// Restarts a director, which loses its measurements and its open requests.
    pub(crate) fn restart(&mut self, director: usize) {
        self.open.retain(|_, open| open.director != director);
        let size = self.directors.len();
        self.directors[director] = start_director(director, size, &self.settings, &self.list, self.now);
    }

    /// Replaces a node with one that starts now. The directors do not know of it until [`Fleet::announce`].
    pub(crate) fn replace(&mut self, old: usize, new_node: usize) {
        let Some(place) = self.list.iter_mut().find(|listing| listing.node == old) else { return };
        *place = EndpointUpdate { started_at: self.now, ..endpoint(new_node, place.machine_kind) };
    }

    /// Sends the present endpoint list to all directors.
    pub(crate) fn announce(&mut self) {
        for director in &mut self.directors {
            director.update_endpoints(self.now, &self.list, true);
        }
    }

    /// Simulates requests that arrive at random at the serving directors for this duration.
    pub(crate) fn run_for(&mut self, duration: Ns, traffic: &[ClassTraffic]) {
        let end = self.now + duration;
        let total: f64 = traffic.iter().map(|class| class.per_second).sum();
        loop {
            let wait = -(1.0 - self.rng.random::<f64>()).ln() / total;
            let arrival = self.now + (wait * SEC as f64) as Ns;
            self.finish_until(arrival.min(end), traffic);
            self.now = arrival.min(end);
            if arrival >= end {
                return;
            }
            self.arrive(traffic, total);
        }
    }

    fn arrive(&mut self, traffic: &[ClassTraffic], total: f64) {
        let mut remaining = self.rng.random::<f64>() * total;
        let is_chosen = |class: &ClassTraffic| {
            remaining -= class.per_second;
            remaining < 0.0
        };
        let class = traffic.iter().position(is_chosen).unwrap_or(0);
        let director = self.serving[self.rng.random_range(0..self.serving.len())];
        let object = self.rng.random_range(0..OBJECTS);
        let request = Request { class, size_kb: traffic[class].size_kb, ..new_request(object, self.now) };
        self.route(director, request, traffic);
    }

    fn route(&mut self, director: usize, mut request: Request, traffic: &[ClassTraffic]) {
        let decision = route_and_record(&mut self.directors[director], self.now, &mut request);
        let RouteDecision::Attempt(AttemptSpec { node, source, .. }) = decision else { return };
        let class = request.class;
        self.attempts.push(AttemptRecord { at: self.now, node, source, class });
        let outcome = self.outcomes.get(&node).copied().unwrap_or(Outcome::Success);
        let transfer_time = if outcome == Outcome::Success { traffic[class].transfer_time } else { 0 };
        self.due.push(Reverse((self.now + ANSWER_LATENCY + transfer_time, self.next_request)));
        self.open.insert(self.next_request, OpenRequest { director, request, outcome });
        self.next_request += 1;
    }

    fn finish_until(&mut self, end: Ns, traffic: &[ClassTraffic]) {
        while let Some(&Reverse((at, number))) = self.due.peek().filter(|due| due.0.0 <= end) {
            self.due.pop();
            self.now = at;
            let Some(open) = self.open.remove(&number) else { continue };
            let OpenRequest { director, mut request, outcome } = open;
            let next = finish_last(&mut self.directors[director], at, &mut request, outcome);
            if next == NextStep::Retry {
                self.route(director, request, traffic);
            }
        }
    }
}

fn start_director(
    index: usize,
    size: usize,
    settings: &Settings,
    list: &[EndpointUpdate],
    now: Ns,
) -> Router {
    let own = Settings { director_index: index, directors_per_zone: vec![0, 0, size], ..settings.clone() };
    let mut director = Router::new(own, index as u64, now);
    director.update_endpoints(now, list, true);
    director
}

/// The tolerance for chance above what is allowed, both in standard deviations and in requests.
const TOLERANCE: f64 = 2.0;
/// The tolerance if fewer than [`SMALL_COUNT`] requests are allowed.
const SMALL_COUNT_TOLERANCE: f64 = 3.0;
const SMALL_COUNT: f64 = 30.0;

/// A node in slow start, with its settings.
#[derive(Clone, Copy)]
pub(crate) struct ColdNode {
    pub(crate) node: usize,
    pub(crate) started_at: Ns,
    /// The requests of mean work that the node can serve per second when it is warm.
    pub(crate) capacity: f64,
    pub(crate) initial_share: f64,
    pub(crate) window: Ns,
    pub(crate) collapse_multiple: f64,
}

impl ColdNode {
    pub(crate) fn cache(settings: &Settings, node: usize, started_at: Ns, capacity: f64) -> ColdNode {
        ColdNode {
            node,
            started_at,
            capacity,
            initial_share: settings.slow_start_initial_share,
            window: settings.slow_start_window,
            collapse_multiple: settings.collapse_multiple,
        }
    }

    pub(crate) fn parent(settings: &Settings, node: usize, started_at: Ns, capacity: f64) -> ColdNode {
        ColdNode {
            node,
            started_at,
            capacity,
            initial_share: settings.parent_slow_start_initial_share,
            window: settings.parent_slow_start_window,
            collapse_multiple: settings.parent_collapse_multiple,
        }
    }

    /// The requests of mean work that the settings allow in the second after `from`.
    fn allowed(&self, from: Ns) -> f64 {
        let age = (from + SEC / 2 - self.started_at) as f64 / self.window as f64;
        let share = self.initial_share + (1.0 - self.initial_share) * age;
        self.collapse_multiple * share.min(1.0) * self.capacity
    }

    /// Describes the second in which the node came nearest to a collapse, if that second exceeds what is allowed. A
    /// node that received nothing is described too. `work` is the work of a request of each class, relative to the
    /// mean.
    pub(crate) fn find_collapse(&self, attempts: &[AttemptRecord], work: &[f64]) -> Option<String> {
        let is_own = |attempt: &&AttemptRecord| attempt.involves(self.node);
        let is_cold =
            |attempt: &&AttemptRecord| (self.started_at..self.started_at + self.window).contains(&attempt.at);
        let own: Vec<&AttemptRecord> = attempts.iter().filter(is_own).filter(is_cold).collect();
        if own.is_empty() {
            return Some(format!("node {} received nothing", self.node));
        }
        let seconds = own.iter().enumerate().map(|(first, begin)| {
            let in_second = own[first..].iter().take_while(|attempt| attempt.at < begin.at + SEC);
            let received: f64 = in_second.map(|attempt| work[attempt.class]).sum();
            let allowed = self.allowed(begin.at);
            let tolerance = if allowed < SMALL_COUNT { SMALL_COUNT_TOLERANCE } else { TOLERANCE };
            (begin.at, received, allowed, allowed + tolerance * allowed.sqrt() + tolerance)
        });
        let (at, received, allowed, max_count) =
            seconds.max_by(|a, b| (a.1 / a.3).total_cmp(&(b.1 / b.3)))?;
        let age = (at - self.started_at) as f64 / SEC as f64;
        let (node, share) = (self.node, received / allowed);
        let found = format!(
            "node {node} at {age:.2} s: {received:.0} in a second, {share:.2} of {allowed:.0}, at most {max_count:.0}"
        );
        (received > max_count).then_some(found)
    }
}
