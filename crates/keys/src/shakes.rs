//! How many handshakes may be under way and begun a second, and how long a node with a bad certificate is left alone.
//! Guards against a restart of many nodes that takes the core from lookups, and against a bad node that is tried at
//! each lookup. Harm: the first lookups after a restart go to fewer nodes.

use std::collections::BTreeMap;

use crate::Ns;

const SEC: Ns = 1_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub at_once: usize,
    pub a_second: f64,
    /// How long a node with a bad certificate is left alone at first, and at most; each time twice as long.
    pub first_rest: Ns,
    pub longest_rest: Ns,
}

/// Why a handshake does not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Not {
    /// Too many are under way: when one ends.
    Crowded,
    /// Too many have begun of late: after so long.
    Pace(Ns),
    /// Its certificate was bad: after so long, or with a new generation of keys.
    Resting(Ns),
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
pub struct Shakes {
    bounds: Bounds,
    under_way: usize,
    tokens: f64,
    counted: Ns,
    resting: BTreeMap<usize, Rest>,
}

impl Shakes {
    pub fn new(bounds: Bounds, now: Ns) -> Shakes {
        let tokens = bounds.a_second.max(1.0);
        Shakes { bounds, under_way: 0, tokens, counted: now, resting: BTreeMap::new() }
    }

    pub fn under_way(&self) -> usize {
        self.under_way
    }

    /// Begins one, or says why not. Each that began has to end by `ended` or `refused`.
    pub fn begin(&mut self, node: usize, generation: u64, now: Ns) -> Result<(), Not> {
        if let Some(rest) = self.resting.get(&node).filter(|r| now < r.until && r.generation == generation) {
            return Err(Not::Resting(rest.until - now));
        }
        if self.under_way >= self.bounds.at_once {
            return Err(Not::Crowded);
        }
        let since = now.saturating_sub(self.counted) as f64 / SEC as f64;
        self.counted = self.counted.max(now);
        self.tokens = (self.tokens + since * self.bounds.a_second).min(self.bounds.a_second.max(1.0));
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.bounds.a_second.max(f64::MIN_POSITIVE) * SEC as f64;
            return Err(Not::Pace((wait.min(1e18) as Ns).max(1)));
        }
        self.tokens -= 1.0;
        self.under_way += 1;
        Ok(())
    }

    /// One came up, or broke off for no fault of a certificate.
    pub fn ended(&mut self, node: usize, well: bool) {
        self.under_way = self.under_way.saturating_sub(1);
        if well {
            self.resting.remove(&node);
        }
    }

    /// One ended as the node's certificate was bad; how long it is left alone.
    pub fn refused(&mut self, node: usize, generation: u64, now: Ns) -> Ns {
        self.under_way = self.under_way.saturating_sub(1);
        let before = self.resting.get(&node).filter(|r| r.generation == generation).map(|r| r.last);
        let rest =
            before.map_or(self.bounds.first_rest, |l| l.saturating_mul(2)).min(self.bounds.longest_rest);
        self.resting.insert(node, Rest { until: now.saturating_add(rest), last: rest, generation });
        rest
    }

    /// A node is gone; its number may be another's.
    pub fn forget(&mut self, node: usize) {
        self.resting.remove(&node);
    }
}
