//! Directors that share a location's nodes, driven event by event, and the calls that a cold node gets from all of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::*;

use crate::support::*;

const SEED: u64 = 1;
/// So many that no single object makes a node's load.
const OBJECTS: u64 = 100_000;
/// What an answer takes beside its transfer.
const ANSWER_LATENCY: Ns = 3 * MS;

/// The requests of one class.
#[derive(Clone, Copy)]
pub(crate) struct ClassTraffic {
    /// How many a second come to all directors together.
    pub(crate) per_second: f64,
    /// The size that clients name; 0: none.
    pub(crate) size_kb: f64,
    /// What a transfer really takes.
    pub(crate) transfer_time: Ns,
}

/// An attempt that was made.
pub(crate) struct Call {
    at: Ns,
    node: usize,
    source: Option<usize>,
    class: usize,
}

impl Call {
    /// Whether it went to this node or named it as its source.
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
    pub(crate) calls: Vec<Call>,
    /// The directors that requests come to.
    pub(crate) serving: Vec<usize>,
    /// How the nodes answer that do not succeed.
    pub(crate) outcomes: BTreeMap<usize, Outcome>,
    rng: Pcg32,
    open: BTreeMap<u64, OpenRequest>,
    /// When each open request has its next outcome.
    due: BinaryHeap<Reverse<(Ns, u64)>>,
    next_request: u64,
}

impl Fleet {
    /// Directors that start now with this list.
    pub(crate) fn start(size: usize, settings: Settings, list: Vec<EndpointUpdate>) -> Fleet {
        let directors = (0..size).map(|index| start_director(index, size, &settings, &list, START)).collect();
        Fleet {
            directors,
            settings,
            list,
            now: START,
            calls: Vec::new(),
            serving: (0..size).collect(),
            outcomes: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(SEED),
            open: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_request: 0,
        }
    }

    /// Starts a director again: all that it had measured, and what was open at it, is gone.
    pub(crate) fn restart(&mut self, director: usize) {
        self.open.retain(|_, open| open.director != director);
        let size = self.directors.len();
        self.directors[director] = start_director(director, size, &self.settings, &self.list, self.now);
    }

    /// Puts a node that starts now in the place of another, of which no director knows yet.
    pub(crate) fn replace(&mut self, old: usize, fresh: usize) {
        let Some(place) = self.list.iter_mut().find(|listing| listing.node == old) else { return };
        *place = EndpointUpdate { started_at: self.now, ..endpoint(fresh, place.machine_kind) };
    }

    /// All directors learn the list as it is.
    pub(crate) fn announce(&mut self) {
        for director in &mut self.directors {
            director.update_endpoints(self.now, &self.list, true);
        }
    }

    /// Plays requests that come at random to the directors that serve for so long.
    pub(crate) fn play(&mut self, duration: Ns, traffic: &[ClassTraffic]) {
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
        let mut drawn = self.rng.random::<f64>() * total;
        let is_drawn = |class: &ClassTraffic| {
            drawn -= class.per_second;
            drawn < 0.0
        };
        let class = traffic.iter().position(is_drawn).unwrap_or(0);
        let director = self.serving[self.rng.random_range(0..self.serving.len())];
        let object = self.rng.random_range(0..OBJECTS);
        let request = Request { class, size_kb: traffic[class].size_kb, ..new_request(object, self.now) };
        self.route(director, request, traffic);
    }

    fn route(&mut self, director: usize, mut request: Request, traffic: &[ClassTraffic]) {
        let decision = route_and_record(&mut self.directors[director], self.now, &mut request);
        let RouteDecision::Attempt(AttemptSpec { node, source, .. }) = decision else { return };
        let class = request.class;
        self.calls.push(Call { at: self.now, node, source, class });
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

/// Chance by the rule: so many standard deviations, and so many requests, above what is allowed...
const CHANCE: f64 = 2.0;
/// ...or so many, where fewer than these are allowed.
const CHANCE_OF_FEW: f64 = 3.0;
const FEW: f64 = 30.0;

/// A node in slow start, and what its settings say about it.
#[derive(Clone, Copy)]
pub(crate) struct ColdNode {
    pub(crate) node: usize,
    pub(crate) started_at: Ns,
    /// Requests of mean work that a warm one bears in a second.
    pub(crate) bears: f64,
    pub(crate) initial_share: f64,
    pub(crate) window: Ns,
    pub(crate) collapse_multiple: f64,
}

impl ColdNode {
    pub(crate) fn cache(settings: &Settings, node: usize, started_at: Ns, bears: f64) -> ColdNode {
        ColdNode {
            node,
            started_at,
            bears,
            initial_share: settings.slow_start_initial_share,
            window: settings.slow_start_window,
            collapse_multiple: settings.collapse_multiple,
        }
    }

    pub(crate) fn parent(settings: &Settings, node: usize, started_at: Ns, bears: f64) -> ColdNode {
        ColdNode {
            node,
            started_at,
            bears,
            initial_share: settings.parent_slow_start_initial_share,
            window: settings.parent_slow_start_window,
            collapse_multiple: settings.parent_collapse_multiple,
        }
    }

    /// What the settings allow in the second after `from`, in requests of mean work.
    fn allowed(&self, from: Ns) -> f64 {
        let age = (from + SEC / 2 - self.started_at) as f64 / self.window as f64;
        let share = self.initial_share + (1.0 - self.initial_share) * age;
        self.collapse_multiple * share.min(1.0) * self.bears
    }

    /// What the rule has to say of the second that came nearest to a collapse; none if it holds. `work` is that of a
    /// request of each class, relative to the mean.
    pub(crate) fn find_collapse(&self, calls: &[Call], work: &[f64]) -> Option<String> {
        let is_own = |call: &&Call| call.involves(self.node);
        let is_cold = |call: &&Call| (self.started_at..self.started_at + self.window).contains(&call.at);
        let own: Vec<&Call> = calls.iter().filter(is_own).filter(is_cold).collect();
        if own.is_empty() {
            return Some(format!("node {} got nothing", self.node));
        }
        let seconds = own.iter().enumerate().map(|(first, begin)| {
            let in_second = own[first..].iter().take_while(|call| call.at < begin.at + SEC);
            let got: f64 = in_second.map(|call| work[call.class]).sum();
            let allowed = self.allowed(begin.at);
            let chance = if allowed < FEW { CHANCE_OF_FEW } else { CHANCE };
            (begin.at, got, allowed, allowed + chance * allowed.sqrt() + chance)
        });
        let (at, got, allowed, most) = seconds.max_by(|a, b| (a.1 / a.3).total_cmp(&(b.1 / b.3)))?;
        let age = (at - self.started_at) as f64 / SEC as f64;
        let (node, part) = (self.node, got / allowed);
        let found = format!(
            "node {node} at {age:.2} s: {got:.0} in a second, {part:.2} of {allowed:.0}, at most {most:.0}"
        );
        (got > most).then_some(found)
    }
}
