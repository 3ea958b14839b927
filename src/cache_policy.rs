//! What caches are asked to keep and how old a copy may be: reuse history, retention ranks and purges.
//!
//! Guards against objects that are requested once and against old copies. Its cost: what is newly popular is evicted
//! first.

use std::collections::HashMap;

use crate::hash_ring::cache_position;
use crate::types::{Ns, Request, RequestClass, SECOND};

/// Requests of one copy are remembered for one to two of these, which bounds the memory that one-timers take.
const HISTORY_GENERATION: Ns = 20 * SECOND;
/// From so many requests within the history a copy counts as reused; one that is not is surely a miss.
const REUSED_FROM: u32 = 2;
/// A purge binds for so much longer than copies from before it may exist. A node that is clear may be filled with an old
/// copy again, through a director that does not know of the purge yet, from a parent that is not clear yet. The cost is
/// memory alone: such a copy is too old for all.
const PURGE_MEMORY: Ns = 120 * SECOND;
/// How often purges that no longer bind are dropped; at each purge, the cost would be the square of their rate.
const PURGE_SWEEP_INTERVAL: Ns = SECOND;

/// The rank of an answer that is passed through; nodes' protocol has it so, as the others.
const RANK_UNCACHED: u8 = 0;
/// The rank of a copy that may be requested only once, so that it is evicted first.
const RANK_FIRST_SEEN: u8 = 1;
/// The rank of a copy that is requested again. A third rank for the often requested gained nothing.
const RANK_REUSED: u8 = 2;

/// The rank at which an answer is cached.
pub(crate) fn retention_rank(may_cache: bool, is_reused: bool) -> u8 {
    match (may_cache, is_reused) {
        (false, _) => RANK_UNCACHED,
        (true, false) => RANK_FIRST_SEEN,
        (true, true) => RANK_REUSED,
    }
}

/// What is known of one copy: one part of one object.
#[derive(Clone, Copy, Debug, Default)]
struct CopyHistory {
    /// Requests so far, clients' own retries not counted.
    requests: u32,
    /// The shortest time of an answer; none until one of unknown size was timed.
    transfer_time: Option<f64>,
}

impl CopyHistory {
    /// A time of 0 is below the clock's resolution and says nothing.
    fn known_transfer_time(&self) -> Option<f64> {
        self.transfer_time.filter(|&time| time > 0.0)
    }
}

/// Recent requests by copy, in two generations.
#[derive(Clone, Debug)]
pub(crate) struct ReuseHistory {
    current: HashMap<u64, CopyHistory>,
    previous: HashMap<u64, CopyHistory>,
    next_generation_at: Ns,
}

impl ReuseHistory {
    /// An empty history, whose first generation begins now.
    pub(crate) fn new(now: Ns) -> Self {
        ReuseHistory {
            current: HashMap::new(),
            previous: HashMap::new(),
            next_generation_at: now + HISTORY_GENERATION,
        }
    }

    /// Begins a new generation if it is time.
    pub(crate) fn advance(&mut self, now: Ns) {
        if now >= self.next_generation_at {
            self.next_generation_at = now + HISTORY_GENERATION;
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Counts a request. A client's own retry is no reuse, but it keeps the copy in the history.
    pub(crate) fn record_request(&mut self, request: &Request) {
        let before = self.get(request).unwrap_or_default();
        let requests = before.requests + u32::from(!request.is_client_retry);
        self.current.insert(copy_key(request), CopyHistory { requests, ..before });
    }

    /// Records how long the answer of a request of unknown size took.
    pub(crate) fn record_transfer(&mut self, request: &Request, elapsed: Ns) {
        if let Some(copy) = self.current.get_mut(&copy_key(request)) {
            let elapsed = elapsed as f64;
            copy.transfer_time = Some(copy.known_transfer_time().map_or(elapsed, |known| known.min(elapsed)));
        }
    }

    /// Whether the copy was requested before, of late.
    pub(crate) fn is_reused(&self, request: &Request) -> bool {
        self.get(request).is_some_and(|copy| copy.requests >= REUSED_FROM)
    }

    /// How long answers of unknown size took.
    pub(crate) fn transfer_time(&self, request: &Request) -> Option<f64> {
        self.get(request)?.known_transfer_time()
    }

    fn get(&self, request: &Request) -> Option<CopyHistory> {
        let key = copy_key(request);
        self.current.get(&key).or_else(|| self.previous.get(&key)).copied()
    }
}

/// The key of the requested copy: its position on the ring, which is a hash of object and part.
fn copy_key(request: &Request) -> u64 {
    cache_position(request.object, request.part)
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PurgeTarget {
    Object(u64),
    Group(u32),
}

/// The purges that this director knows of and that still bind.
#[derive(Clone, Debug)]
pub(crate) struct PurgeLog {
    /// When the latest purge of each target was made.
    made_at: HashMap<PurgeTarget, Ns>,
    /// How long a purge binds.
    binds_for: Ns,
    next_sweep_at: Ns,
}

impl PurgeLog {
    /// An empty log, for copies from before a purge that may exist for this long after it.
    pub(crate) fn new(purge_propagation_window: Ns) -> Self {
        PurgeLog {
            made_at: HashMap::new(),
            binds_for: purge_propagation_window + PURGE_MEMORY,
            next_sweep_at: 0,
        }
    }

    /// Records a purge of an object or, without one, of a group, that was made at this time. Reports may overtake each
    /// other; the latest purge binds.
    pub(crate) fn record(&mut self, now: Ns, object: Option<u64>, group: u32, made_at: Ns) {
        let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
        let latest = self.made_at.entry(target).or_default();
        *latest = made_at.max(*latest);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + PURGE_SWEEP_INTERVAL;
            let oldest_binding = now.saturating_sub(self.binds_for);
            self.made_at.retain(|_, made_at| *made_at > oldest_binding);
        }
    }

    /// The age from which a copy of the requested object may be from before a purge.
    fn max_age(&self, request: &Request, now: Ns) -> Option<Ns> {
        let targets = [PurgeTarget::Object(request.object), PurgeTarget::Group(request.group)];
        let made = targets.iter().filter_map(|target| self.made_at.get(target));
        let latest = made.filter(|&&made_at| now < made_at + self.binds_for).max()?;
        Some(now.saturating_sub(*latest).max(1))
    }
}

/// The oldest copy that may answer a request: one within its fresh time, or within the stale time after it where a fill
/// is unlikely to come in time, and never one from before a known purge. None: the class's fresh time decides.
pub(crate) fn max_age(
    purges: &PurgeLog,
    class: &RequestClass,
    request: &Request,
    now: Ns,
    is_fill_likely: bool,
) -> Option<Ns> {
    let may_be_stale = class.fresh_for > 0 && class.stale_for > 0 && !is_fill_likely;
    let stale_age = may_be_stale.then_some(class.fresh_for + class.stale_for);
    match (purges.max_age(request, now), stale_age) {
        (Some(purge_age), Some(stale_age)) => Some(purge_age.min(stale_age)),
        (Some(purge_age), None) => {
            let is_stricter = class.fresh_for == 0 || purge_age < class.fresh_for;
            is_stricter.then_some(purge_age)
        }
        (None, stale_age) => stale_age,
    }
}
