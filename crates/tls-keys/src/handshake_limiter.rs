//! Limits how many TLS handshakes are in progress at once and begin each second, and backs off from nodes with a
//! rejected certificate.
//!
//! When many nodes restart at once, their handshakes would otherwise take the processor from requests, and a node with
//! a bad certificate would be tried with each request. The cost is that the first requests after a restart go to fewer
//! nodes.

use std::collections::BTreeMap;

use crate::{Ns, SECOND};

/// Smallest capacity of the token bucket. With less than one token no handshake could begin.
const MIN_TOKENS: f64 = 1.0;
/// Longest reported delay, in nanoseconds, for rates close to zero.
const MAX_WAIT_NS: f64 = 1e18;

/// Limits on TLS handshakes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandshakeLimits {
    /// Largest number of handshakes in progress at once.
    pub max_concurrent: usize,
    /// Rate at which handshakes may begin. Unused handshakes of up to one second may be saved for a burst.
    pub max_per_second: f64,
    /// Backoff after a node's first rejected certificate; it doubles with each further rejection.
    pub initial_backoff: Ns,
    /// Largest backoff.
    pub max_backoff: Ns,
}

/// Why a handshake does not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeDenied {
    /// Too many handshakes are in progress: retry when one finishes.
    TooManyConcurrent,
    /// Too many handshakes have begun recently: retry after this time.
    RateLimited(Ns),
    /// The node's certificate was rejected: retry after this time, or with a new generation of keys.
    BackingOff(Ns),
}

/// Backoff of a node whose certificate was rejected.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Ns,
    duration: Ns,
    /// Generation of keys that rejected the certificate; another one may trust its authority.
    generation: u64,
}

/// Enforces [`HandshakeLimits`]. Nodes are identified by the caller's indices.
#[derive(Debug)]
pub struct HandshakeLimiter {
    limits: HandshakeLimits,
    in_progress: usize,
    /// How many handshakes may begin now.
    tokens: f64,
    tokens_updated_at: Ns,
    backoffs: BTreeMap<usize, Backoff>,
}

impl HandshakeLimiter {
    /// Creates a limiter with a full token bucket, which holds the handshakes of one second, but at least one.
    pub fn new(limits: HandshakeLimits, now: Ns) -> HandshakeLimiter {
        HandshakeLimiter {
            limits,
            in_progress: 0,
            tokens: limits.max_per_second.max(MIN_TOKENS),
            tokens_updated_at: now,
            backoffs: BTreeMap::new(),
        }
    }

    /// Returns how many handshakes are in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Begins a handshake, or returns why it must not begin now. For each handshake that has begun, the caller must
    /// call [`HandshakeLimiter::on_finished`] or [`HandshakeLimiter::on_rejected`] when it ends.
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
        self.refill_tokens(now);
        if self.tokens < 1.0 {
            return Err(HandshakeDenied::RateLimited(self.time_to_next_token()));
        }
        self.tokens -= 1.0;
        self.in_progress += 1;
        Ok(())
    }

    /// Ends a handshake that succeeded, or that failed for another reason than the node's certificate.
    pub fn on_finished(&mut self, node: usize, succeeded: bool) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if succeeded {
            self.backoffs.remove(&node);
        }
    }

    /// Ends a handshake in which the node's certificate was rejected. Returns the backoff of the node.
    pub fn on_rejected(&mut self, node: usize, generation: u64, now: Ns) -> Ns {
        self.in_progress = self.in_progress.saturating_sub(1);
        let last = self.backoffs.get(&node).filter(|backoff| backoff.generation == generation);
        let duration = last.map_or(self.limits.initial_backoff, |last| last.duration.saturating_mul(2));
        let duration = duration.min(self.limits.max_backoff);
        self.backoffs.insert(node, Backoff { until: now.saturating_add(duration), duration, generation });
        duration
    }

    /// Forgets a node that was removed; its index may be reused for another node.
    pub fn remove(&mut self, node: usize) {
        self.backoffs.remove(&node);
    }

    fn refill_tokens(&mut self, now: Ns) {
        let elapsed = now.saturating_sub(self.tokens_updated_at) as f64 / SECOND as f64;
        self.tokens_updated_at = self.tokens_updated_at.max(now);
        let rate = self.limits.max_per_second;
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(MIN_TOKENS));
    }

    fn time_to_next_token(&self) -> Ns {
        let rate = self.limits.max_per_second.max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.tokens) / rate * SECOND as f64;
        (wait.min(MAX_WAIT_NS) as Ns).max(1)
    }
}
