//! How many handshakes may be under way and begun a second, and how long a node with a bad certificate is left alone.
//! Guards against a restart of many nodes that takes the core from lookups, and against a bad node that is tried at
//! each lookup. Harm: the first lookups after a restart go to fewer nodes.

use std::collections::BTreeMap;

use crate::Ns;

const SEC: Ns = 1_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandshakeLimits {
    pub max_concurrent: usize,
    pub max_per_second: f64,
    /// How long a node with a bad certificate is left alone at first, and at most; each time twice as long.
    pub initial_backoff: Ns,
    pub max_backoff: Ns,
}

/// Why a handshake does not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeDenied {
    /// Too many are under way: when one ends.
    TooManyConcurrent,
    /// Too many have begun of late: after so long.
    RateLimited(Ns),
    /// Its certificate was bad: after so long, or with a new generation of keys.
    BackingOff(Ns),
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Ns,
    last: Ns,
    /// The generation of keys that refused it: another may know its authority.
    generation: u64,
}

/// Nodes are known by small numbers, as the director has them.
#[derive(Debug)]
pub struct HandshakeLimiter {
    bounds: HandshakeLimits,
    under_way: usize,
    tokens: f64,
    counted: Ns,
    resting: BTreeMap<usize, Rest>,
}

impl HandshakeLimiter {
    pub fn new(bounds: HandshakeLimits, now: Ns) -> HandshakeLimiter {
        let tokens = bounds.max_per_second.max(1.0);
        HandshakeLimiter { bounds, under_way: 0, tokens, counted: now, resting: BTreeMap::new() }
    }

    pub fn in_progress(&self) -> usize {
        self.under_way
    }

    /// Begins one, or says why not. Each that began has to end by `ended` or `refused`.
    pub fn try_begin(&mut self, node: usize, generation: u64, now: Ns) -> Result<(), HandshakeDenied> {
        if let Some(rest) = self.resting.get(&node).filter(|r| now < r.until && r.generation == generation) {
            return Err(HandshakeDenied::BackingOff(rest.until - now));
        }
        if self.under_way >= self.bounds.max_concurrent {
            return Err(HandshakeDenied::TooManyConcurrent);
        }
        let since = now.saturating_sub(self.counted) as f64 / SEC as f64;
        self.counted = self.counted.max(now);
        self.tokens =
            (self.tokens + since * self.bounds.max_per_second).min(self.bounds.max_per_second.max(1.0));
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.bounds.max_per_second.max(f64::MIN_POSITIVE) * SEC as f64;
            return Err(HandshakeDenied::RateLimited((wait.min(1e18) as Ns).max(1)));
        }
        self.tokens -= 1.0;
        self.under_way += 1;
        Ok(())
    }

    /// One came up, or broke off for no fault of a certificate.
    pub fn on_finished(&mut self, node: usize, well: bool) {
        self.under_way = self.under_way.saturating_sub(1);
        if well {
            self.resting.remove(&node);
        }
    }

    /// One ended as the node's certificate was bad; how long it is left alone.
    pub fn on_rejected(&mut self, node: usize, generation: u64, now: Ns) -> Ns {
        self.under_way = self.under_way.saturating_sub(1);
        let before = self.resting.get(&node).filter(|r| r.generation == generation).map(|r| r.last);
        let rest =
            before.map_or(self.bounds.initial_backoff, |l| l.saturating_mul(2)).min(self.bounds.max_backoff);
        self.resting.insert(node, Rest { until: now.saturating_add(rest), last: rest, generation });
        rest
    }

    /// A node is gone; its number may be another's.
    pub fn remove(&mut self, node: usize) {
        self.resting.remove(&node);
    }
}
