//! All decisions of sablecross. One `Choice` is one director; its values are in `interface.rs`.
//!
//! Three calls decide a lookup, which the caller keeps, with its sends, until each send has its outcome:
//! `route` (where to send it, or not yet, or never), `after` (what next, after an outcome) and `patience`
//! (how long until `route` is to be asked again). A send that `route` names counts as sent. Facts come by
//! `listed`, `purged` and `reported`; `notes` hands out one line for each change of mode.
//!
//! The design decides the ordinary path: the cache pie of the own zone picks the cache, the pie of all
//! parents picks the fill's source, a lost member's slice halves to its neighbours, an object in burst
//! widens to two. Beside it stand six mechanisms:
//! 1. health: outcomes judge a member down, trials bring it back. Guards against fast errors and dead,
//!    silent or cut-off nodes; harm: with two parents chance can take one down;
//! 2. cold allowance: a fresh member earns a growing part of what a warm one bears. Guards against its fall
//!    by all directors together; harm: what warms quickly is held back;
//! 3. further sends: second copies and other ways after a failure, from a budget that successes feed. Guards
//!    against single failures and slow answers; harm: in a jam a dead home is found only by failure;
//! 4. overload: a crowded home takes what brings most and spills some, a crowded parent fills only what pays,
//!    more goes to cheaper neighbours, the rest is nacked early. Guards against jams, slow members, hot homes
//!    and slices; harm: recovery is slow;
//! 5. copies: rank by reuse, joins, renewal behind, ages bounded by purges. Guards against one-timers and
//!    old copies; harm: what is newly wanted leaves first;
//! 6. origin guard: a bound on this director's fetches at the origin that backs off on failure. Guards
//!    against its fall; harm: after a trouble fetches come back slowly.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// Each member has so many small slices of a pie.
const SLICES: u64 = 256;
/// Burst windows: their length, and how far apart the three earlier ones of a prediction lie.
const WINDOW: Ns = 2 * SEC;
const SPACING: usize = 3;
const SIGMAS: f64 = 3.0;

/// Health: weight of one outcome, share of failures that judges down, trials, failures that a silence is.
const WEIGHT: f64 = 0.12;
const DOWN_AT: f64 = 0.4;
const TRIAL_GAP: Ns = SEC;
const LONGEST_TRIAL_GAP: Ns = 5 * SEC;
const WINS: u32 = 3;
const SILENT: i32 = 3;
/// A source that fails so often through caches is asked straight, without a fill, to tell whose fault it is.
const SUSPECT_AT: f64 = 0.25;
const DIRECT_WEIGHT: f64 = 0.35;

/// Overload: bound on this director's sends out at a member; it grows while they are on pace.
const FIRST_BOUND: f64 = 16.0;
const LEAST_BOUND: f64 = 2.0;
const BUSY: f64 = 0.95; // of its cores or its link: no more room
const ON_PACE: f64 = 1.5;
const GROW: f64 = 0.5;
const SHRINK: f64 = 0.06;
/// Parts of its bound that a member gives to spilt lookups, as a home to those of mean worth, and by worth.
const SPILL_ROOM: f64 = 0.4;
const HOME_ROOM: f64 = 1.05;
const SLOPE: f64 = 0.35;

/// Part of its fall-over load that a cold member is given when its slice would fill a warm one.
const COLD_PART: f64 = 0.5;

/// The price of a fill, in standard deviations of the lookups' worth: its range; its rise at an outcome past
/// the budget and its fall at one within, times the cube root of the directors; the part of both that the
/// other parents' prices move; the part of untold answers that are fills; its fall in each window.
const LEAST_PRICE: f64 = -3.0;
const MOST_PRICE: f64 = 0.5;
const DEARER: f64 = 0.24;
const CHEAPER: f64 = 0.05;
const ALIKE: f64 = 0.2;
const FILLS: f64 = 0.35;
const FORGOTTEN: f64 = 0.2;

/// Of a crowded slice: how many parents are looked at, the home included; by how much the price over the last
/// windows must lie below the home's, with the newest window's part in it; the part of what may pass on that
/// does, how it moves with each such fill in time or not, and its least.
const NEAR: usize = 16;
const APART: f64 = 0.4;
const NEWEST: f64 = 0.8;
const PASS_MORE: f64 = 0.05;
const PASS_LESS: f64 = 0.1;
const LEAST_PASSED: f64 = 0.05;

/// Part of what is asked that a cold member gets while no warm one has shown what it bears.
const UNPROVEN: f64 = 0.25;

/// Further sends: earned by one success, and the most that is saved up.
const TOKEN: f64 = 0.1;
const MOST_TOKENS: f64 = 3.0;
/// A jam: with this share of the recent sends off pace all are slow, and one more transfer makes them slower.
const JAM_AT: f64 = 0.18;
const JAM_OVER_AT: f64 = 0.13;
/// A lookup with less than this part of its predicted sending time left is given up at once.
const HOPELESS: f64 = 0.7;
/// Time that a send takes beside the transfer.
const BASE: Ns = 40 * MS;

/// A purge binds so much longer than nodes take to clear: a clear one may get an old copy again, through a
/// director not told yet, from a parent not clear yet. Harms memory alone: such a copy is too old for all.
const HELD: Ns = 120 * SEC;
/// Looks at one copy are remembered for one to two of these.
const MEMORY: Ns = 20 * SEC;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Debug)]
struct Down {
    next_trial: Ns,
    gap: Ns,
    wins: u32,
}

/// All that is known of one node.
#[derive(Clone, Debug, Default)]
struct Node {
    line: EndpointUpdate,
    role: Role,
    /// Root of the number of directors that share it: the demand of one varies by it, and so do its bounds.
    sharing: f64,
    /// Sends out that name it, and of them those straight at it.
    out: u32,
    straight: u32,
    /// Share of recent sends that failed at it, and of those that failed with it as their source.
    failing: f64,
    suspect: f64,
    next_look: Ns,
    /// The quickest outcome it gave: a refusal about as quick is its own, a slower one its source's.
    quickest: Ns,
    /// When it was last heard of.
    heard: Ns,
    down: Option<Down>,
    bound: f64,
    credit: f64,
    /// Until when a load report holds that showed room to spare.
    spare_until: Ns,
    /// Sending time of what it served or was to fill, in the open window.
    served: f64,
    /// Of a parent: lookups that bring less for their sending time get no fill from it.
    price: f64,
    /// The price over the last windows.
    lasting: f64,
    /// Traffic of the closed windows, newest last, and of the open one; variance of the residuals.
    windows: Vec<f64>,
    traffic: f64,
    spread: f64,
}

impl Node {
    fn prediction(&self) -> Option<f64> {
        let n = self.windows.len();
        let mut seen: Vec<f64> =
            (1..=3).filter_map(|k| n.checked_sub(k * SPACING)).map(|i| self.windows[i]).collect();
        seen.sort_by(f64::total_cmp);
        match seen.len() {
            0 => None,
            len => Some((seen[(len - 1) / 2] + seen[len / 2]) / 2.0),
        }
    }

    fn threshold(&self) -> Option<f64> {
        let sigma = self.spread.sqrt();
        (sigma > 0.0).then_some(())?;
        Some(self.prediction()? + SIGMAS * sigma)
    }

    fn shrink(&mut self, times: f64) {
        let left = (1.0 - SHRINK).powf(times * self.sharing);
        self.bound = (self.bound * left).max(LEAST_BOUND / self.sharing);
    }

    fn close_window(&mut self) {
        if let Some(p) = self.prediction() {
            let gain = 1.0 / (self.windows.len() - SPACING + 1) as f64;
            self.spread += gain * ((self.traffic - p).powi(2) - self.spread);
        }
        self.windows.drain(..usize::from(self.windows.len() == 3 * SPACING));
        self.windows.push(std::mem::take(&mut self.traffic));
        self.served = 0.0;
        self.lasting += NEWEST * (self.price - self.lasting);
        self.price = (self.price - FORGOTTEN).max(LEAST_PRICE);
    }
}

/// An object's own traffic, for bursts.
#[derive(Clone, Debug, Default)]
struct Heat {
    last: f64,
    open: f64,
    /// The threshold at which its burst was seen.
    burst: Option<f64>,
    turn: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    times: u32,
    work: f64,
}

pub struct Router {
    set: Settings,
    rng: Pcg32,
    nodes: Vec<Option<Node>>,
    caches: HashRing,
    parents: HashRing,
    origin: Option<usize>,
    /// Mean sending time by object kind.
    work: Vec<f64>,
    /// Sending time asked for in the open window; what of it a warm cache and a warm parent bear.
    asked_work: f64,
    bears: [f64; 2],
    usual: usize, // the most parents that were listed
    earned: Ns,
    tokens: f64,
    /// Of the fills that a cheaper parent could take for a crowded one, the part that goes there.
    passed: f64,
    /// Share of recent sends, weighed by sending time, that were off pace or timed out.
    late: f64,
    jammed: bool,
    worth: f64, // mean and variance of the logarithm of what lookups bring for their sending time
    worth_spread: f64,
    seen: HashMap<u64, Seen>,
    seen_before: HashMap<u64, Seen>,
    seen_turn: Ns,
    heat: HashMap<u64, Heat>,
    window_end: Ns,
    /// When the latest purge was made that is known of each object, or of each group.
    purges: HashMap<(Option<u64>, u32), Ns>,
    /// When those that bind no more are looked for next: all of them at each purge would be the rate's square.
    purges_due: Ns,
    /// Bound on this director's own fetches at the origin.
    origin_bound: f64,
    lines: Vec<String>,
}

/// Spreads numbers over all numbers, the same in every program.
pub fn mix(x: u64) -> u64 {
    let mut z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The place of a part of an object in the pie of the caches.
pub fn cache_position(object: u64, part: u32) -> u64 {
    mix(object ^ mix(u64::from(part)))
}

fn copy_of(lk: &Request) -> u64 {
    cache_position(lk.object, lk.part)
}

/// An object's place in the pies of its fills.
pub fn parent_position(object: u64) -> u64 {
    mix(!object)
}

/// A pie: the members listed, and the places round it at which each of them stands. A position belongs to
/// the member that stands nearest, so a slice whose member is lost halves to its two neighbours, whether
/// that one is down, cold or gone from the list: a loss moves a position once, not again at each step.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    members: Vec<usize>,
    places: Vec<(u64, usize)>,
    dealt: Vec<RingMember>,
}

/// A member of a pie: its rank, its index, and the part of its places that it does not take, of 256.
pub type RingMember = (u64, usize, u16);

impl HashRing {
    /// A pure function of the members: directors and restarts agree.
    pub fn build(dealt: Vec<RingMember>) -> HashRing {
        let stands = |&(rank, i, withheld): &RingMember| {
            (0..SLICES.saturating_sub(withheld.into())).map(move |k| (mix(mix(rank) ^ k), i))
        };
        let mut places: Vec<(u64, usize)> = dealt.iter().flat_map(stands).collect();
        places.sort_unstable();
        HashRing { members: dealt.iter().map(|d| d.1).collect(), places, dealt }
    }

    /// The members as they stand round a position, the nearest first.
    pub fn walk_from(&self, pos: u64) -> impl Iterator<Item = usize> {
        let n = self.places.len();
        let mut right = self.places.partition_point(|p| p.0 < pos);
        let mut left = right + n;
        (0..n).map(move |_| {
            let ahead = self.places[right % n].0.wrapping_sub(pos);
            let behind = pos.wrapping_sub(self.places[(left - 1) % n].0);
            if ahead < behind {
                right += 1;
                self.places[(right - 1) % n].1
            } else {
                left -= 1;
                self.places[left % n].1
            }
        })
    }

    fn home(&self, pos: u64) -> Option<usize> {
        self.walk_from(pos).next()
    }

    /// The owner of a position among the members that are fit.
    pub fn owner(&self, pos: u64, fit: impl Fn(usize) -> bool) -> Option<usize> {
        self.members.iter().any(|&m| fit(m)).then(|| self.walk_from(pos).find(|&m| fit(m)))?
    }
}

/// A number from 0 to 1 that is the same wherever and whenever it is drawn for the same thing.
fn chance(of: u64) -> f64 {
    (mix(of) % 1024) as f64 / 1024.0
}

/// How many directors send to such a member: those of its location, or all.
fn sharers(set: &Settings, role: Role) -> f64 {
    let own = set.directors_per_zone.get(set.zone).copied().unwrap_or(1);
    let all = set.directors_per_zone.iter().sum();
    if role == Role::Cache { own } else { all }.max(1) as f64
}

fn ran(sent: &Attempt) -> bool {
    !matches!(
        sent.outcome,
        Some(Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    )
}

impl Router {
    pub fn new(set: Settings, seed: u64, now: Ns) -> Self {
        let work: Vec<f64> = set.request_classes.iter().map(|k| k.latency_objective as f64 / 2.0).collect();
        Router {
            rng: Pcg32::seed_from_u64(seed),
            nodes: Vec::new(),
            caches: HashRing::default(),
            parents: HashRing::default(),
            origin: None,
            work,
            asked_work: 0.0,
            bears: [0.0; 2],
            usual: 0,
            earned: now,
            tokens: MOST_TOKENS / 2.0,
            passed: 1.0,
            // Not known to be on pace: a director may start amid a jam.
            late: JAM_OVER_AT,
            jammed: false,
            worth: 0.0,
            worth_spread: 1.0,
            seen: HashMap::new(),
            seen_before: HashMap::new(),
            seen_turn: now + MEMORY,
            heat: HashMap::new(),
            window_end: now + WINDOW,
            purges: HashMap::new(),
            purges_due: 0,
            origin_bound: 4.0 / sharers(&set, Role::Origin).sqrt(),
            lines: Vec::new(),
            set,
        }
    }

    /// Whether the list is to be followed by asking for its changes, at the start and after each failure.
    pub fn polls_endpoint_list(&self) -> bool {
        self.set.polls_endpoint_list
    }

    /// The effects of all object kinds, by their numbers.
    pub fn effects(&self) -> Vec<Effect> {
        self.set.request_classes.iter().map(|kind| kind.effect).collect()
    }

    pub fn has_class(&self, kind: usize) -> bool {
        kind < self.set.request_classes.len()
    }

    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// News of the list; a whole list drops whom it does not name.
    pub fn update_endpoints(&mut self, now: Ns, lines: &[EndpointUpdate], whole: bool) {
        if whole {
            for node in self.nodes.iter_mut().flatten() {
                node.line.state = EndpointState::Gone;
            }
        }
        for l in lines {
            if self.nodes.len() <= l.node {
                self.nodes.resize(l.node + 1, None);
            }
            let role = match l.machine_kind {
                m if m == self.set.origin_kind => Role::Origin,
                m if Some(m) == self.set.parent_kind => Role::Parent,
                _ => Role::Cache,
            };
            let sharers = sharers(&self.set, role);
            let fresh = Node {
                line: *l,
                role,
                sharing: sharers.sqrt(),
                quickest: Ns::MAX,
                bound: FIRST_BOUND / sharers.sqrt(),
                price: LEAST_PRICE,
                lasting: LEAST_PRICE,
                // Directors take turns at a fresh node by their number.
                credit: -(self.set.director_index as f64 % sharers / sharers) * self.largest_work(),
                ..Node::default()
            };
            let slot = &mut self.nodes[l.node];
            match slot {
                Some(node) if (node.line.started_at, node.line.rank) == (l.started_at, l.rank) => {
                    node.line = *l
                }
                Some(node) => *node = Node { out: node.out, straight: node.straight, ..fresh },
                None => *slot = Some(fresh),
            }
        }
        let on = |role: Role, zone: Option<usize>| -> Vec<RingMember> {
            let mut pie: Vec<RingMember> = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(i, n)| Some((i, n.as_ref()?)))
                .filter(|(_, n)| n.role == role && n.line.state != EndpointState::Gone)
                .filter(|(_, n)| zone.is_none_or(|z| z == n.line.zone))
                .map(|(i, n)| (n.line.rank, i, n.line.withheld_virtual_nodes))
                .collect();
            pie.sort_unstable();
            pie
        };
        let (caches, parents) = (on(Role::Cache, Some(self.set.zone)), on(Role::Parent, None));
        self.usual = self.usual.max(parents.len());
        let ready = |&(_, i, _): &RingMember| {
            self.nodes[i].as_ref().is_some_and(|n| n.line.state == EndpointState::Ready)
        };
        self.origin = on(Role::Origin, None).into_iter().find(ready).map(|(_, i, _)| i);
        for (pie, dealt) in [(&mut self.caches, caches), (&mut self.parents, parents)] {
            if dealt != pie.dealt {
                if !pie.members.is_empty() {
                    self.lines.push(format!("list members={} before={}", dealt.len(), pie.members.len()));
                }
                *pie = HashRing::build(dealt);
            }
        }
        self.turn(now);
    }

    /// A node's load report. One with room to spare is not to blame for what was slow.
    pub fn record_load(&mut self, now: Ns, node: usize, load: LoadReport) {
        let spare =
            load.cpu_utilization.is_some_and(|b| b < BUSY) && load.link_utilization.is_none_or(|l| l < BUSY);
        if let Some(n) = self.node_mut(node) {
            n.spare_until = if spare { now + SEC } else { 0 };
        }
    }

    /// An object, or with none a whole group, was purged so long ago.
    pub fn record_purge(&mut self, now: Ns, object: Option<u64>, group: u32, ago: Ns) {
        let made = now.saturating_sub(ago);
        let known = self.purges.entry((object, if object.is_some() { 0 } else { group })).or_default();
        // News may overtake each other: the latest purge binds.
        *known = made.max(*known);
        if now >= self.purges_due {
            self.purges_due = now + SEC;
            let gone = now.saturating_sub(self.set.purge_propagation_window + HELD);
            self.purges.retain(|_, made| *made > gone);
        }
    }

    fn node(&self, i: usize) -> Option<&Node> {
        self.nodes.get(i)?.as_ref()
    }

    fn node_mut(&mut self, i: usize) -> Option<&mut Node> {
        self.nodes.get_mut(i)?.as_mut()
    }

    fn turn(&mut self, now: Ns) {
        let idle = now.saturating_sub(self.window_end) / WINDOW;
        self.window_end += idle.saturating_sub(3 * SPACING as Ns) * WINDOW;
        while now >= self.window_end {
            self.window_end += WINDOW;
            self.bear(now);
            for node in self.nodes.iter_mut().flatten() {
                node.close_window();
            }
            let mut ended = 0;
            self.heat.retain(|_, h| {
                if h.burst.is_some_and(|t| h.open < t) {
                    h.burst = None;
                    ended += 1;
                }
                (h.last, h.open) = (h.open, 0.0);
                h.last > 0.0
            });
            if ended > 0 {
                self.lines.push(format!("burst over objects={ended}"));
            }
        }
        if now >= self.seen_turn {
            self.seen_turn = now + MEMORY;
            self.seen_before = std::mem::take(&mut self.seen);
        }
    }

    // ---- what a lookup weighs ----

    fn known(&self, lk: &Request) -> Option<Seen> {
        let c = copy_of(lk);
        self.seen.get(&c).or_else(|| self.seen_before.get(&c)).copied()
    }

    /// Not wanted here before of late: surely a miss.
    fn unseen(&self, lk: &Request) -> bool {
        self.known(lk).is_none_or(|s| s.times < 2)
    }

    /// Predicted sending time, by size where it is told, else as seen before.
    fn predicted(&self, lk: &Request) -> f64 {
        if lk.size_kb > 0.0 && self.set.stream_kb_per_s > 0.0 {
            return lk.size_kb / self.set.stream_kb_per_s * SEC as f64;
        }
        match self.known(lk) {
            Some(s) if s.work > 0.0 => s.work,
            _ => self.work[lk.class],
        }
    }

    /// When its latency budget ends.
    fn budget_end(&self, lk: &Request) -> Ns {
        let kind = &self.set.request_classes[lk.class];
        let stretch = (kind.latency_objective_stretch.unwrap_or(0.0) * self.predicted(lk)) as Ns;
        lk.arrived_at.saturating_add(kind.latency_objective.saturating_add(stretch))
    }

    // ---- who may be sent to ----

    fn warmth(&self, node: &Node, now: Ns) -> f64 {
        let (from, after) = match node.role {
            Role::Parent => (self.set.parent_slow_start_initial_share, self.set.parent_slow_start_window),
            _ => (self.set.slow_start_initial_share, self.set.slow_start_window),
        };
        if node.line.started_at == 0 || node.role == Role::Origin || after == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(node.line.started_at) as f64 / after as f64;
        (from + (1.0 - from) * age).min(1.0)
    }

    /// The part of its slice that a cold member is given: safe against its fall-over whatever the load.
    fn cold_part(&self, node: &Node, now: Ns) -> f64 {
        let multiple = match node.role {
            Role::Parent => self.set.parent_collapse_multiple,
            _ => self.set.collapse_multiple,
        };
        (COLD_PART * multiple * self.warmth(node, now)).min(1.0)
    }

    fn largest_work(&self) -> f64 {
        self.work.iter().copied().fold(0.0, f64::max)
    }

    /// Cold members earn by time what a warm one bears from this director, whatever is asked: an overload
    /// with its repeats, or a location that lost most of its members, must not push them.
    fn earn(&mut self, now: Ns) {
        let largest = self.largest_work();
        let since = now.saturating_sub(self.earned).min(SEC) as f64;
        self.earned = now;
        let mut earned = Vec::new();
        for (pie, bears) in [(&self.caches, self.bears[0]), (&self.parents, self.bears[1])] {
            let nodes = pie.members.iter().filter_map(|&m| Some((m, self.node(m)?)));
            let cold = nodes.filter(|(_, n)| self.warmth(n, now) < 1.0);
            earned.extend(cold.map(|(m, n)| (m, since * bears * self.cold_part(n, now))));
        }
        for (m, part) in earned {
            if let Some(n) = self.node_mut(m) {
                n.credit = (n.credit + part).min(largest * (1.0 + 2.0 / n.sharing));
            }
        }
    }

    /// What a warm member bears from this director, by what such members served in the window; with none, a
    /// part of what was asked. A loss leaves the figure: what is left must not be pushed for it.
    fn bear(&mut self, now: Ns) {
        for (k, pie) in [&self.caches, &self.parents].into_iter().enumerate() {
            let up = pie.members.iter().filter(|&&m| self.up(m)).filter_map(|&m| self.node(m));
            let warm: Vec<f64> = up.filter(|n| self.warmth(n, now) >= 1.0).map(|n| n.served).collect();
            // Few parents serve all, so the loss of some must not raise the figure for a fresh one.
            let among = [warm.len(), self.usual][k];
            let seen = warm.iter().sum::<f64>() / among as f64 / WINDOW as f64;
            let unproven = UNPROVEN * self.asked_work / pie.members.len().max(1) as f64 / WINDOW as f64;
            let bears = &mut self.bears[k];
            *bears = match *bears {
                0.0 if seen > 0.0 => seen,
                0.0 => unproven,
                b if warm.is_empty() => b,
                b => b + if b < seen { 0.3 } else { 0.05 } * (seen - b),
            };
        }
        self.asked_work = 0.0;
    }

    fn has_room(&self, m: usize, lk: &Request, now: Ns) -> bool {
        self.node(m).is_some_and(|n| self.warmth(n, now) >= 1.0 || n.credit >= self.work[lk.class])
    }

    fn up(&self, m: usize) -> bool {
        self.node(m).is_some_and(|n| n.line.state == EndpointState::Ready && n.down.is_none())
    }

    fn trial_due(&self, m: usize, now: Ns) -> bool {
        self.node(m).is_some_and(|n| {
            n.line.state == EndpointState::Ready
                && match &n.down {
                    Some(d) => now >= d.next_trial,
                    None => n.role == Role::Parent && n.suspect > SUSPECT_AT && now >= n.next_look,
                }
        })
    }

    /// Whether the effect rules allow one more send of this lookup to this node.
    fn effect_allows(&self, lk: &Request, to: usize, now: Ns) -> bool {
        if !self.set.may_hedge && lk.attempts.iter().any(|s| s.outcome.is_none()) {
            return false;
        }
        let mut maybe = lk.attempts.iter().filter(|s| ran(s));
        match self.set.request_classes[lk.class].effect {
            Effect::Idempotent => true,
            Effect::SideEffecting => maybe.next().is_none(),
            Effect::Deduplicated { within, .. } => {
                let near = |s: &Attempt| match (within, self.node(s.node), self.node(to)) {
                    (DeduplicationScope::All, _, _) => true,
                    (DeduplicationScope::Zone, Some(a), Some(b)) => a.line.zone == b.line.zone,
                    (DeduplicationScope::Cell, Some(a), Some(b)) => {
                        (a.line.zone, a.line.cell) == (b.line.zone, b.line.cell)
                    }
                    _ => false,
                };
                now < self.repeat_by(lk) && maybe.all(near)
            }
        }
    }

    /// Until when nodes know a repeat of this lookup: past it a repeat runs again, whoever makes it.
    fn repeat_by(&self, lk: &Request) -> Ns {
        let Effect::Deduplicated { window: memory, .. } = self.set.request_classes[lk.class].effect else {
            return Ns::MAX;
        };
        let first = lk.attempts.iter().filter(|s| ran(s)).map(|s| s.sent_at.saturating_add(memory)).min();
        first.unwrap_or(Ns::MAX)
    }

    /// Nothing more to send: wait for what is out, or give the lookup up at once. A client that repeats soon
    /// finds the same trouble and adds to it: it is asked to stay away as long as clients do.
    fn hold(&mut self, now: Ns, lk: &Request) -> RouteDecision {
        if lk.attempts.iter().any(|s| s.outcome.is_none()) {
            return RouteDecision::Wait;
        }
        // The client's repeat has to come, as this lookup's would, while the nodes still know it for one.
        let left = self.repeat_by(lk).saturating_sub(now).saturating_sub(BASE);
        let free = match self.set.request_classes[lk.class].effect {
            Effect::Deduplicated { within: DeduplicationScope::All, .. } => left > 0,
            effect => effect == Effect::Idempotent,
        };
        if !free && lk.attempts.iter().any(ran) {
            return RouteDecision::Fail;
        }
        let part = 0.75 + 0.25 * self.rng.random::<f64>();
        let pause = if self.set.may_send_retry_after { self.set.max_retry_after as f64 * part } else { 0.0 };
        RouteDecision::Reject { retry_after: left.min(pause as Ns) }
    }

    /// How the utility for its sending time stands among those of other lookups, in standard deviations.
    fn standing(&self, lk: &Request) -> f64 {
        (self.brings(lk) - self.worth) / self.worth_spread.sqrt().max(0.1)
    }

    fn brings(&self, lk: &Request) -> f64 {
        (self.set.request_classes[lk.class].priority_weight * SEC as f64 / (self.predicted(lk) + BASE as f64))
            .ln()
    }

    // ---- the three calls ----

    /// Where to send this lookup now.
    pub fn route(&mut self, now: Ns, lk: &Request) -> RouteDecision {
        self.turn(now);
        let out = lk.attempts.iter().filter(|s| s.outcome.is_none()).count();
        if now + 2 * self.set.tick >= lk.deadline {
            return self.hold(now, lk);
        }
        let first = lk.attempts.is_empty();
        let hopeless = (lk.deadline - now) as f64 <= HOPELESS * self.predicted(lk);
        if first {
            self.arrived(now, lk);
        }
        // What never left asked nothing of anyone: the next is no further send.
        let free = lk.attempts.iter().all(|s| s.outcome == Some(Outcome::NotSent));
        let spent = lk.attempts.len() >= self.set.max_attempts || !free && self.tokens < 1.0 || out > 1;
        if hopeless || !first && spent {
            return self.hold(now, lk);
        }
        if out > 0 && self.jammed {
            return RouteDecision::Wait;
        }
        let standing = self.standing(lk);
        let allowed = |s: &AttemptSpec| self.effect_allows(lk, s.node, now);
        let Some(mut send) = self.pick(now, lk, standing).filter(allowed) else {
            return self.hold(now, lk);
        };
        let price = send.source.and_then(|s| self.node(s)).map_or(LEAST_PRICE, |n| n.price);
        if standing < price {
            send.source = None;
        }
        if !first {
            if send.source.is_none() {
                return self.hold(now, lk);
            }
            self.tokens -= f64::from(u8::from(!free));
        }
        send.timeout = lk.deadline - now - 2 * self.set.tick;
        if first && send.source.is_none() {
            // A look is over soon, or the member is not well.
            send.timeout = send.timeout.min((3.0 * self.predicted(lk)) as Ns + 8 * BASE);
        }
        self.sent(lk, &send, now);
        RouteDecision::Attempt(send)
    }

    /// What next, after the outcome of a send; `hit` where it is told.
    pub fn on_outcome(
        &mut self,
        now: Ns,
        lk: &Request,
        shot: usize,
        took: Ns,
        hit: Option<bool>,
    ) -> NextStep {
        let Some(sent) = lk.attempts.get(shot).copied() else { return NextStep::Wait };
        let Some(mut outcome) = sent.outcome else { return NextStep::Wait };
        let given = lk.deadline.saturating_sub(lk.arrived_at) as f64;
        if outcome == Outcome::TimedOut && given < ON_PACE * (self.predicted(lk) + 2.0 * BASE as f64) {
            // Its client gave less than a send takes: the member that was busy with it did nothing wrong.
            outcome = Outcome::Cancelled;
        }
        let cost = self.work[lk.class];
        for m in self.asked(sent.node, sent.source) {
            if let Some(n) = self.node_mut(m) {
                n.out = n.out.saturating_sub(1);
                n.served += if outcome == Outcome::Success { cost } else { 0.0 };
            }
        }
        if let Some(n) = self.node_mut(sent.node) {
            n.straight = n.straight.saturating_sub(1);
            n.quickest = n.quickest.min(took);
            let unheard = matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled);
            n.heard = if unheard { n.heard } else { now };
        }
        self.judge(now, lk, &sent, outcome, took, hit);
        let within = now <= self.budget_end(lk);
        let step = match outcome {
            Outcome::Success if hit == Some(true) => 0.0,
            Outcome::Success if within => -CHEAPER * if hit.is_none() { FILLS } else { 1.0 },
            Outcome::Success | Outcome::TimedOut | Outcome::Overloaded => DEARER,
            _ => 0.0,
        };
        if step != 0.0 && sent.source.is_some_and(|s| self.node(s).is_some_and(|n| n.role == Role::Parent)) {
            let home = self.parents.owner(parent_position(lk.object), |m| self.up(m));
            if sent.source != home {
                let more = if step < 0.0 { PASS_MORE } else { -PASS_LESS };
                self.passed = (self.passed + more).clamp(LEAST_PASSED, 1.0);
            }
        }
        // Of many directors each sees little of a parent, so that each outcome must tell more.
        let step = step * sharers(&self.set, Role::Parent).cbrt();
        for &p in self.parents.members.iter().filter(|_| sent.source.is_some()) {
            let part = if Some(p) == sent.source { 1.0 } else { ALIKE };
            if let Some(n) = self.nodes[p].as_mut() {
                n.price = (n.price + part * step).clamp(LEAST_PRICE, MOST_PRICE);
            }
        }
        let out = lk.attempts.iter().any(|s| s.outcome.is_none());
        if outcome == Outcome::Success {
            self.tokens = (self.tokens + TOKEN).min(MOST_TOKENS);
            return NextStep::Done { cancel_outstanding: out && self.set.may_cancel };
        }
        if out { NextStep::Wait } else { NextStep::Retry }
    }

    /// How long until `route` is to be asked again, if nothing has come by then.
    pub fn next_check(&self, now: Ns, lk: &Request) -> Option<Ns> {
        let last = lk.attempts.last()?;
        if !self.set.may_hedge || lk.attempts.len() >= 3.min(self.set.max_attempts) {
            return None;
        }
        let work = self.predicted(lk);
        let least = last.sent_at as f64 + 1.4 * work + BASE as f64 * 2.0;
        let latest = self.budget_end(lk) as f64 - 1.3 * work - BASE as f64 * 1.5;
        let at = latest.max(least) as Ns;
        (at > now && at < lk.deadline).then(|| at - now)
    }

    // ---- the ordinary path and its overflow ----

    fn arrived(&mut self, now: Ns, lk: &Request) {
        if lk.size_kb > 0.0 {
            let work = self.predicted(lk);
            self.work[lk.class] += 0.02 * (work - self.work[lk.class]);
        }
        let off = self.brings(lk) - self.worth;
        self.worth += if self.worth == 0.0 { off } else { 0.05 * off };
        self.worth_spread += 0.05 * (off * off - self.worth_spread);
        let before = self.known(lk).unwrap_or_default();
        let seen = Seen { times: before.times + u32::from(!lk.is_client_retry), ..before };
        self.seen.insert(copy_of(lk), seen);
        self.asked_work += self.work[lk.class];
        self.earn(now);
        // Bursts: a run of parts counts once, and a client's repeat not at all.
        if lk.is_client_retry || (self.set.request_classes[lk.class].is_multipart && lk.part > 0) {
            return;
        }
        let weight = if lk.size_kb > 0.0 { lk.size_kb } else { 1.0 };
        let Some(home) = self.caches.home(copy_of(lk)) else { return };
        let threshold = self.node(home).and_then(Node::threshold);
        let h = self.heat.entry(lk.object).or_default();
        h.open += weight;
        let rate = h.open.max(h.last);
        if let Some(t) = threshold.filter(|&t| h.burst.is_none() && rate > t) {
            h.burst = threshold;
            self.lines.push(format!("burst object={} rate={rate:.0} over={t:.0}", lk.object));
        }
        let burst = h.burst.is_some();
        h.turn += usize::from(burst);
        if let Some(n) = self.node_mut(home).filter(|_| !burst) {
            n.traffic += weight;
        }
    }

    fn pick(&self, now: Ns, lk: &Request, standing: f64) -> Option<AttemptSpec> {
        use Outcome::{ConnectionLost, Error, Overloaded, TimedOut};
        let tried = |m: usize| lk.attempts.iter().any(|s| s.node == m);
        let failed = |s: &Attempt| matches!(s.outcome, Some(Error | ConnectionLost | TimedOut | Overloaded));
        let blamed = |m: usize| lk.attempts.iter().any(|s| s.source == Some(m) && failed(s));
        let pos = parent_position(lk.object);
        let first = lk.attempts.is_empty();
        let fit = |m: usize| self.up(m) && self.has_room(m, lk, now);
        let due = |m: usize| first && self.trial_due(m, now) && self.has_room(m, lk, now);
        let parent =
            self.parents.owner(pos, |m| fit(m) && !blamed(m)).or_else(|| self.parents.owner(pos, fit));
        if let Some(p) = self.parents.home(pos).filter(|&p| self.set.may_bypass_cache && due(p)) {
            return Some(self.order(lk, now, p, None));
        }
        let parent = parent.map(|p| self.lighter(p, pos, standing, now, fit));
        let source = parent.or_else(|| self.origin_as_source(now));
        let pos = copy_of(lk);
        let home = self.caches.home(pos);
        if let Some(h) = home.filter(|&h| due(h)) {
            return Some(self.order(lk, now, h, source));
        }
        // The heir of a lost slice counts as its home, also of one that is cold and has used its allowance.
        let heir = self.caches.owner(pos, fit);
        let chance = chance(pos ^ now);
        let room = |m: usize| {
            let part = match Some(m) == heir {
                false if first && self.jammed => 0.0,
                false => SPILL_ROOM,
                true => (HOME_ROOM + SLOPE * standing).clamp(SPILL_ROOM, 2.0 * HOME_ROOM),
            };
            self.node(m).is_some_and(|n| f64::from(n.straight) < (part * n.bound + chance).floor())
        };
        // A copy that broke off lies at its home still: as long as that is up, it is asked once more.
        let broke = |m| matches!(lk.attempts[..], [s] if s.node == m && matches!(s.outcome, Some(Error | ConnectionLost)));
        let may = |m: usize| (!tried(m) || broke(m)) && self.effect_allows(lk, m, now);
        let mut cache = self.caches.owner(pos, |m| fit(m) && may(m) && room(m));
        if let (true, Some(c)) = (first && cache == home, cache) {
            cache = Some(self.widened(lk, c, now));
        }
        if let Some(c) = cache.filter(|_| lk.attempts.len() < 2) {
            return Some(self.order(lk, now, c, source));
        }
        let direct = parent.filter(|&p| self.set.may_bypass_cache && !tried(p) && room(p));
        let overflow = direct.map(|p| self.order(lk, now, p, self.origin));
        overflow.or_else(|| cache.map(|c| self.order(lk, now, c, source)))
    }

    /// Where a fill goes whose home it can't pay: to the nearest neighbour that is cheaper by far, and was
    /// so for some time. Guards against slices that are hot, or whose parent is slow, while others idle;
    /// where all are dear alike nothing moves. Harm: the neighbour fetches what the home holds, so what comes
    /// late goes less.
    fn lighter(&self, home: usize, pos: u64, standing: f64, now: Ns, fit: impl Fn(usize) -> bool) -> usize {
        let of = |m: usize| self.node(m).map_or((0.0, 0.0), |n| (n.price, n.lasting));
        let (price, lasting) = of(home);
        if standing >= price || chance(pos ^ now) >= self.passed {
            return home;
        }
        let mut met = Vec::with_capacity(NEAR);
        for m in self.parents.walk_from(pos) {
            if met.contains(&m) {
                continue;
            }
            let (dear, long) = of(m);
            if fit(m) && standing >= dear && long + APART < lasting {
                return m;
            }
            met.push(m);
            if met.len() >= NEAR.min(self.parents.members.len()) {
                break;
            }
        }
        home
    }

    fn burst(&self, lk: &Request) -> Option<&Heat> {
        self.heat.get(&lk.object).filter(|h| h.burst.is_some())
    }

    /// An object in burst rotates over its home and up to two neighbours.
    fn widened(&self, lk: &Request, home: usize, now: Ns) -> usize {
        let Some(h) = self.burst(lk) else { return home };
        let pos = copy_of(lk);
        let next = self.caches.walk_from(pos).find(|&m| m != home);
        let other = self.caches.walk_from(pos).find(|&m| m != home && Some(m) != next);
        let turn = (h.turn + lk.part as usize) % 3;
        let m = [Some(home), next, other][turn].or(next).unwrap_or(home);
        if self.up(m) && self.has_room(m, lk, now) { m } else { home }
    }

    /// The origin fills only while no parent can be named, within this director's bound.
    fn origin_as_source(&self, now: Ns) -> Option<usize> {
        let room = |n: &Node| f64::from(n.out) + chance(now) < self.origin_bound;
        self.origin.filter(|&o| self.node(o).is_some_and(room))
    }

    fn order(&self, lk: &Request, now: Ns, node: usize, source: Option<usize>) -> AttemptSpec {
        let kind = &self.set.request_classes[lk.class];
        let straight = self.node(node).is_some_and(|n| n.role != Role::Cache);
        // A crowded home keeps its slice: what spills passes through, so that neighbours lose nothing.
        let home = self.caches.home(copy_of(lk)).filter(|&h| h != node && self.up(h));
        let spilt = self.burst(lk).is_none() && home.is_some();
        let unkept = spilt || straight || kind.is_uncacheable || lk.is_write;
        AttemptSpec {
            node,
            source: source.filter(|&s| s != node),
            timeout: 0,
            begin_by: self.repeat_by(lk),
            max_age: self.oldest(lk, now, source.is_some()),
            coalesce: self.set.may_coalesce,
            refresh: kind.fresh_for > 0,
            retention_rank: if unkept { 0 } else { 1 + u8::from(!self.unseen(lk)) },
        }
    }

    /// The oldest copy that will do: within the fresh time, or the grace after it where a fill is unlikely
    /// to come within the latency budget, and never from before a known purge.
    fn oldest(&self, lk: &Request, now: Ns, filled: bool) -> Option<Ns> {
        let kind = &self.set.request_classes[lk.class];
        let refused = lk.attempts.iter().any(|s| s.outcome.is_some());
        let ageing = kind.fresh_for > 0 && kind.stale_for > 0 && (!filled || refused);
        let most = ageing.then_some(kind.fresh_for + kind.stale_for);
        let made = [(Some(lk.object), 0), (None, lk.group)].into_iter().filter_map(|k| self.purges.get(&k));
        let bind = made.filter(|&&made| now < made + self.set.purge_propagation_window + HELD);
        match (bind.max().map(|&made| now.saturating_sub(made).max(1)), most) {
            (Some(age), Some(most)) => Some(age.min(most)),
            (Some(age), None) => (kind.fresh_for == 0 || age < kind.fresh_for).then_some(age),
            (None, most) => most,
        }
    }

    /// Whom a send may put to work; what a parent asks of the origin is the parent's.
    fn asked(&self, node: usize, source: Option<usize>) -> impl Iterator<Item = usize> + use<> {
        let cache = self.node(node).is_some_and(|n| n.role == Role::Cache);
        [Some(node), source.filter(|_| cache)].into_iter().flatten()
    }

    fn sent(&mut self, lk: &Request, send: &AttemptSpec, now: Ns) {
        let cost = self.work[lk.class];
        if let Some(n) = self.node_mut(send.node) {
            n.straight += 1;
            n.next_look = now + TRIAL_GAP;
        }
        for m in self.asked(send.node, send.source) {
            if let Some(n) = self.node_mut(m) {
                n.out += 1;
                n.credit -= cost;
                if let Some(d) = n.down.as_mut() {
                    d.next_trial = now + d.gap;
                }
            }
        }
    }

    // ---- health ----

    fn judge(
        &mut self,
        now: Ns,
        lk: &Request,
        sent: &Attempt,
        outcome: Outcome,
        took: Ns,
        hit: Option<bool>,
    ) {
        let work = self.predicted(lk);
        let at_origin = self.asked(sent.node, sent.source).any(|m| Some(m) == self.origin);
        match outcome {
            Outcome::Success => {
                let known = lk.size_kb > 0.0 || self.known(lk).is_some_and(|s| s.work > 0.0);
                if lk.size_kb <= 0.0 {
                    self.work[lk.class] += 0.02 * (took as f64 - self.work[lk.class]);
                    if let Some(s) = self.seen.get_mut(&copy_of(lk)) {
                        s.work = if s.work > 0.0 { s.work.min(took as f64) } else { took as f64 };
                    }
                }
                self.mark(now, sent.node, false, 1);
                let late = took as f64 > ON_PACE * (work + 2.0 * BASE as f64);
                if known {
                    self.paced(late, work);
                }
                if let Some(n) = self.node_mut(sent.node).filter(|_| known) {
                    if !late && f64::from(n.straight + 1) > 0.6 * n.bound {
                        n.bound += GROW / n.sharing;
                    } else if late && hit != Some(false) && now >= n.spare_until {
                        n.shrink(1.0);
                    }
                }
                if let Some(s) = sent.source {
                    let weight = match hit {
                        Some(true) => 0.0,
                        None if !self.unseen(lk) => 0.4 * WEIGHT,
                        _ => WEIGHT,
                    };
                    self.filled(s, false, weight);
                }
                if at_origin && now > self.budget_end(lk) {
                    self.origin_bound *= 0.85;
                } else if at_origin {
                    self.origin_bound += 0.2 / sharers(&self.set, Role::Origin).sqrt();
                }
            }
            Outcome::Miss => self.mark(now, sent.node, false, 1),
            Outcome::ConnectFailed => self.mark(now, sent.node, true, 2),
            Outcome::Error | Outcome::ConnectionLost | Outcome::TimedOut | Outcome::Overloaded => {
                if outcome == Outcome::TimedOut {
                    self.paced(true, work);
                }
                if at_origin {
                    self.origin_bound = (self.origin_bound * 0.7).max(0.1);
                }
                let failing = self.node(sent.node).map_or(0.0, |n| n.failing);
                let suspect = sent.source.and_then(|s| self.node(s)).map_or(0.0, |n| n.suspect);
                if outcome == Outcome::Overloaded {
                    let quick = sent.source.is_none()
                        || self.node(sent.node).is_some_and(|n| took <= 2 * n.quickest + self.set.tick);
                    if quick {
                        if let Some(n) = self.node_mut(sent.node) {
                            n.shrink(2.0);
                        }
                    } else if let Some(s) = sent.source {
                        self.filled(s, true, WEIGHT);
                    }
                    return;
                }
                // Blame the one of the two that fails with others too; both while that is open.
                if let Some(s) = sent.source.filter(|_| suspect > failing - 0.1) {
                    self.filled(s, true, WEIGHT);
                }
                // What fails behind a parent may be the origin's fault: only a look without a fill judges it.
                let parent = self.node(sent.node).is_some_and(|n| n.role == Role::Parent);
                // A slow member answers others meanwhile; one not heard of since the send is likely dead.
                let heard = self.node(sent.node).is_some_and(|n| n.heard >= sent.sent_at);
                let times = if heard || outcome != Outcome::TimedOut { 1 } else { SILENT };
                if sent.source.is_none() || !parent && (times > 1 || failing > suspect - 0.1) {
                    self.mark(now, sent.node, true, times);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// One more send that was off pace or not. A short one says little of how full the links are: most of
    /// its time may be the way of a fill.
    fn paced(&mut self, off: bool, work: f64) {
        let gain = 0.05 * work / (work + 4.0 * BASE as f64);
        self.late += gain * (f64::from(u8::from(off)) - self.late);
        let jammed = self.late > if self.jammed { JAM_OVER_AT } else { JAM_AT };
        if jammed != self.jammed {
            self.jammed = jammed;
            self.lines.push(format!("jam {}late={:.2}", if jammed { "" } else { "over " }, self.late));
        }
    }

    /// An outcome of a fill from this parent: it is looked at, no more, as the origin may be to blame.
    fn filled(&mut self, m: usize, failed: bool, weight: f64) {
        if let Some(n) = self.node_mut(m) {
            n.suspect += weight * (f64::from(u8::from(failed)) - n.suspect);
        }
    }

    /// An outcome of a send straight to this member: takes it down, or counts its trials and brings it back.
    fn mark(&mut self, now: Ns, m: usize, failed: bool, times: i32) {
        let Some(n) = self.node_mut(m) else { return };
        let weight = 1.0 - (1.0 - if n.role == Role::Cache { WEIGHT } else { DIRECT_WEIGHT }).powi(times);
        n.failing += weight * (f64::from(u8::from(failed)) - n.failing);
        let failing = n.failing;
        let ill = n.role != Role::Origin && failing > DOWN_AT;
        let line = match n.down.as_mut() {
            None if failed && ill => {
                n.down = Some(Down { next_trial: now + TRIAL_GAP, gap: TRIAL_GAP, wins: 0 });
                format!("down node={m} failing={failing:.2}")
            }
            Some(d) if failed => {
                d.wins = 0;
                d.gap = (d.gap * 3 / 2).min(LONGEST_TRIAL_GAP);
                d.next_trial = now + d.gap;
                return;
            }
            Some(d) if d.wins + 1 < WINS => {
                d.wins += 1;
                d.next_trial = now;
                return;
            }
            Some(_) => {
                n.down = None;
                n.failing = 0.0;
                n.suspect = 0.0;
                format!("up node={m} failing={failing:.2}")
            }
            None => return,
        };
        self.lines.push(line);
    }
}
