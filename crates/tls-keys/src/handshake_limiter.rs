//! How many handshakes may be in progress and begin each second, and how long a node with a bad certificate is left
//! alone.
//!
//! Guards against a restart of many nodes, whose handshakes would take the processor from requests, and against a bad node
//! that is tried with each request. Its cost: the first requests after a restart go to fewer nodes.

use std::collections::BTreeMap;

use crate::{Ns, SECOND};

/// The least number of handshakes that may be saved up, so that one can begin at all.
const MIN_SAVED: f64 = 1.0;
/// The longest time that a handshake is put off where hardly any are allowed, in nanoseconds.
const MAX_WAIT: f64 = 1e18;

/// The limits on handshakes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandshakeLimits {
    /// The most in progress at once.
    pub max_concurrent: usize,
    /// The most that begin each second; those of one second may be saved up.
    pub max_per_second: f64,
    /// How long a node with a bad certificate is left alone at first; each time twice as long.
    pub initial_backoff: Ns,
    /// How long it is left alone at most.
    pub max_backoff: Ns,
}

/// Why a handshake does not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeDenied {
    /// Too many are in progress: when one finishes.
    TooManyConcurrent,
    /// Too many have begun of late: after this time.
    RateLimited(Ns),
    /// The node's certificate was bad: after this time, or with a new generation of keys.
    BackingOff(Ns),
}

/// A node whose certificate was bad.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Ns,
    duration: Ns,
    /// The generation of keys that rejected it: another may know its authority.
    generation: u64,
}

/// Applies the limits. Nodes are known by the caller's indices.
#[derive(Debug)]
pub struct HandshakeLimiter {
    limits: HandshakeLimits,
    in_progress: usize,
    /// How many may begin now.
    tokens: f64,
    tokens_counted_at: Ns,
    backoffs: BTreeMap<usize, Backoff>,
}

impl HandshakeLimiter {
    /// Starts with one second's handshakes saved up.
    pub fn new(limits: HandshakeLimits, now: Ns) -> HandshakeLimiter {
        HandshakeLimiter {
            limits,
            in_progress: 0,
            tokens: limits.max_per_second.max(MIN_SAVED),
            tokens_counted_at: now,
            backoffs: BTreeMap::new(),
        }
    }

    /// How many handshakes are in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Begins a handshake or says why not. Each that began has to end by [`HandshakeLimiter::on_finished`] or
    /// [`HandshakeLimiter::on_rejected`].
    pub fn try_begin(&mut self, node: usize, generation: u64, now: Ns) -> Result<(), HandshakeDenied> {
        if let Some(backoff) = self.backoffs.get(&node)
            && now < backoff.until
            && backoff.generation == generation
        {
            return Err(HandshakeDenied::BackingOff(backoff.until - now));
        }
        if self.in_progress >= self.limits.max_concurrent {
            return Err(HandshakeDenied::TooManyConcurrent);
        }
        self.add_tokens(now);
        if self.tokens < 1.0 {
            return Err(HandshakeDenied::RateLimited(self.time_to_next_token()));
        }
        self.tokens -= 1.0;
        self.in_progress += 1;
        Ok(())
    }

    /// A handshake succeeded, or failed for another reason than the node's certificate.
    pub fn on_finished(&mut self, node: usize, succeeded: bool) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if succeeded {
            self.backoffs.remove(&node);
        }
    }

    /// A handshake failed by the node's certificate. Returns how long the node is left alone.
    pub fn on_rejected(&mut self, node: usize, generation: u64, now: Ns) -> Ns {
        self.in_progress = self.in_progress.saturating_sub(1);
        let last = self.backoffs.get(&node).filter(|backoff| backoff.generation == generation);
        let duration = last.map_or(self.limits.initial_backoff, |last| last.duration.saturating_mul(2));
        let duration = duration.min(self.limits.max_backoff);
        self.backoffs.insert(node, Backoff { until: now.saturating_add(duration), duration, generation });
        duration
    }

    /// Forgets a node that is gone; its index may become another's.
    pub fn remove(&mut self, node: usize) {
        self.backoffs.remove(&node);
    }

    fn add_tokens(&mut self, now: Ns) {
        let elapsed = now.saturating_sub(self.tokens_counted_at) as f64 / SECOND as f64;
        self.tokens_counted_at = self.tokens_counted_at.max(now);
        let rate = self.limits.max_per_second;
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(MIN_SAVED));
    }

    fn time_to_next_token(&self) -> Ns {
        let rate = self.limits.max_per_second.max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.tokens) / rate * SECOND as f64;
        (wait.min(MAX_WAIT) as Ns).max(1)
    }
}
