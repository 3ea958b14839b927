//! Decides which answers caches keep and how old a copy may be, from the reuse history and the known purges.
//!
//! This protects caches from objects that are requested only once, and clients from outdated copies. The cost is that
//! newly popular objects are evicted first.

use std::collections::HashMap;

use crate::hash_ring::cache_position;
use crate::object_table::{ObjectEntry, ObjectTable};
use crate::types::{Ns, Request, RequestClass, SECOND};

/// The length of a history generation. Requests are remembered for one to two generations, so that copies
/// that are requested no more make room.
const HISTORY_GENERATION: Ns = 20 * SECOND;
/// The number of requests within the history from which a copy counts as reused. Below this number, an answer counts
/// as a fill unless it is known to be a cache hit.
const MIN_REQUESTS_FOR_REUSE: u32 = 2;
/// How long a purge stays active after the last copies that are older than it should have disappeared. A node that
/// has already applied the purge may be filled with an outdated copy again, through a director that does not know the
/// purge yet, from a parent that has not applied it yet. The longer time costs only memory, because an active purge
/// excludes only copies that are older than the purge.
const PURGE_HOLD_TIME: Ns = 120 * SECOND;
/// How often purges that are no longer active are removed. A sweep at each purge would cost the square of the purge
/// rate.
const PURGE_SWEEP_INTERVAL: Ns = SECOND;

/// The rank of an answer that is passed through uncached. The node protocol defines the values of all ranks.
const RANK_UNCACHED: u8 = 0;
/// The rank of a copy that may be requested only once. Such copies are evicted first.
const RANK_FIRST_SEEN: u8 = 1;
/// The rank of a copy that is requested again.
const RANK_REUSED: u8 = 2;

/// The rank at which an answer is cached.
pub(crate) fn retention_rank(may_cache: bool, is_reused: bool) -> u8 {
    match (may_cache, is_reused) {
        (false, _) => RANK_UNCACHED,
        (true, false) => RANK_FIRST_SEEN,
        (true, true) => RANK_REUSED,
    }
}

/// The history of one copy, that is, of one part of one object.
#[derive(Clone, Debug, Default)]
struct CopyHistory {
    /// The number of requests so far, without the clients' own retries.
    requests: u32,
    /// Whether the copy was requested in the current generation.
    is_current: bool,
    /// Whether a node has answered a request for the copy.
    is_answered: bool,
    /// The shortest time that an answer took, in nanoseconds; 0 until an answer of unknown size was timed.
    transfer_time: f64,
}

impl CopyHistory {
    /// The transfer time, if it was measured. A time of 0 is below the clock's resolution and counts as unknown.
    fn known_transfer_time(&self) -> Option<f64> {
        Some(self.transfer_time).filter(|&time| time > 0.0)
    }
}

impl ObjectEntry for CopyHistory {
    fn has_shown_use(&self) -> bool {
        self.is_answered || self.requests >= MIN_REQUESTS_FOR_REUSE
    }
}

/// Recent requests by copy, of two generations.
#[derive(Clone, Debug)]
pub(crate) struct ReuseHistory {
    copies: ObjectTable<CopyHistory>,
    next_generation_at: Ns,
}

impl ReuseHistory {
    /// Creates an empty history, whose first generation begins now.
    pub(crate) fn new(now: Ns) -> Self {
        ReuseHistory { copies: ObjectTable::default(), next_generation_at: now + HISTORY_GENERATION }
    }

    /// Limits the number of copies that are remembered.
    pub(crate) fn set_max_copies(&mut self, max_copies: usize) {
        self.copies.set_max_entries(max_copies);
    }

    /// The number of copies that are remembered.
    pub(crate) fn copy_count(&self) -> usize {
        self.copies.len()
    }

    /// Begins a new generation if the current one has ended, and forgets the copies that were not requested in it.
    pub(crate) fn advance(&mut self, now: Ns) {
        if now >= self.next_generation_at {
            self.next_generation_at = now + HISTORY_GENERATION;
            self.copies.retain(|copy| std::mem::take(&mut copy.is_current));
        }
    }

    /// Records a request. A client's own retry does not count as reuse, but it keeps the copy in the history.
    pub(crate) fn record_request(&mut self, request: &Request) {
        if let Some(copy) = self.copies.get_or_create(copy_key(request)) {
            copy.requests += u32::from(!request.is_client_retry);
            copy.is_current = true;
        }
    }

    /// Records that a node has answered a request after `elapsed`. The time tells something of the copy if its size is
    /// not known.
    pub(crate) fn record_answer(&mut self, request: &Request, elapsed: Ns) {
        let Some(copy) = self.copies.get_mut(copy_key(request)) else { return };
        copy.is_answered = true;
        if request.size_kb <= 0.0 && copy.is_current {
            let elapsed = elapsed as f64;
            copy.transfer_time = copy.known_transfer_time().map_or(elapsed, |known| known.min(elapsed));
        }
    }

    /// Whether the copy was requested before, within the history.
    pub(crate) fn is_reused(&self, request: &Request) -> bool {
        self.get(request).is_some_and(|copy| copy.requests >= MIN_REQUESTS_FOR_REUSE)
    }

    /// The shortest time that answers of unknown size took for this copy, in nanoseconds.
    pub(crate) fn transfer_time(&self, request: &Request) -> Option<f64> {
        self.get(request)?.known_transfer_time()
    }

    fn get(&self, request: &Request) -> Option<&CopyHistory> {
        self.copies.get(copy_key(request))
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

/// The purges that this director knows and that are still active.
#[derive(Clone, Debug)]
pub(crate) struct PurgeLog {
    /// The time of the latest purge of each target.
    purged_at: HashMap<PurgeTarget, Ns>,
    /// How long a purge is active.
    active_for: Ns,
    next_sweep_at: Ns,
}

impl PurgeLog {
    /// Creates an empty log. Copies from before a purge may exist for `purge_propagation_window` after it.
    pub(crate) fn new(purge_propagation_window: Ns) -> Self {
        PurgeLog {
            purged_at: HashMap::new(),
            active_for: purge_propagation_window + PURGE_HOLD_TIME,
            next_sweep_at: 0,
        }
    }

    /// Records a purge of an object or, if `object` is none, of a group. Reports may arrive out of order; the latest
    /// purge counts.
    pub(crate) fn record(&mut self, now: Ns, object: Option<u64>, group: u32, purged_at: Ns) {
        let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
        let latest = self.purged_at.entry(target).or_default();
        *latest = purged_at.max(*latest);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + PURGE_SWEEP_INTERVAL;
            let oldest_active = now.saturating_sub(self.active_for);
            self.purged_at.retain(|_, purged_at| *purged_at > oldest_active);
        }
    }

    /// The age from which a copy of the requested object may be older than an active purge.
    fn max_age(&self, request: &Request, now: Ns) -> Option<Ns> {
        let targets = [PurgeTarget::Object(request.object), PurgeTarget::Group(request.group)];
        let purge_times = targets.iter().filter_map(|target| self.purged_at.get(target));
        let latest = purge_times.filter(|&&purged_at| now < purged_at + self.active_for).max()?;
        Some(now.saturating_sub(*latest).max(1))
    }
}

/// The maximum age of a copy that may answer a request. The copy has to be within its fresh time, or within the stale
/// time after it if a fill is unlikely to arrive in time, and it must not be older than a known purge. None if the
/// class's fresh time decides.
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
