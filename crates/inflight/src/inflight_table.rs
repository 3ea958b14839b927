//! The lookups in hand, round the three calls of the decision module.

use std::collections::HashMap;

use sablecross::{Attempt, AttemptSpec, NextStep, Ns, Outcome, Request, RouteDecision, Router};

/// Carries out what the module decides.
pub trait Transport {
    /// Sends a lookup; `shot` counts its sends from 0. The end of each is owed to `Hand::ended`.
    fn send(&mut self, id: u64, shot: usize, send: &AttemptSpec);
    fn reject(&mut self, id: u64, pause: Ns);
    fn fail(&mut self, id: u64);
    fn cancel(&mut self, id: u64, shot: usize);
    /// Calls `Hand::ask` with this turn after the wait.
    fn schedule_check(&mut self, id: u64, turn: u32, wait: Ns);
    /// The lookup is out of hand: ended, and none of its sends is out.
    fn release(&mut self, id: u64);
}

/// How a send ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub elapsed: Ns,
    /// Whether it came from a copy, where that is told.
    pub is_cache_hit: Option<bool>,
    /// With this send, or before, the lookup ended.
    pub is_final: bool,
}

struct Held {
    lookup: Request,
    ended: bool,
    /// The latest turn asked for; earlier ones are passed over.
    turn: u32,
}

pub struct InflightTable {
    pub router: Router,
    held: HashMap<u64, Held>,
}

impl InflightTable {
    pub fn new(choice: Router) -> Self {
        InflightTable { router: choice, held: HashMap::new() }
    }

    /// A lookup comes in.
    pub fn admit(&mut self, id: u64, lookup: Request, now: Ns, to: &mut impl Transport) {
        self.held.insert(id, Held { lookup, ended: false, turn: 0 });
        self.step(id, now, to);
    }

    /// A wait is over.
    pub fn check(&mut self, id: u64, turn: u32, now: Ns, to: &mut impl Transport) {
        if self.held.get(&id).is_some_and(|h| h.turn == turn) {
            self.step(id, now, to);
        }
    }

    /// The client has left: no answer is owed.
    pub fn abandon(&mut self, id: u64, to: &mut impl Transport) {
        if let Some(held) = self.held.get_mut(&id) {
            held.ended = true;
        }
        self.drop_if_idle(id, to);
    }

    /// A send has ended.
    pub fn on_attempt_result(
        &mut self,
        id: u64,
        shot: usize,
        end: AttemptResult,
        now: Ns,
        to: &mut impl Transport,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(sent) = held.lookup.attempts.get_mut(shot) else { return };
        sent.outcome = Some(end.outcome);
        let next = self.router.on_outcome(now, &held.lookup, shot, end.elapsed, end.is_cache_hit);
        let ended = held.ended;
        held.ended |= end.is_final;
        match next {
            NextStep::Done { cancel_outstanding: call_off } if call_off && !ended => {
                for (i, s) in held.lookup.attempts.iter().enumerate() {
                    if s.outcome.is_none() {
                        to.cancel(id, i);
                    }
                }
            }
            NextStep::Retry => self.step(id, now, to),
            NextStep::Done { .. } | NextStep::Wait => {}
        }
        self.drop_if_idle(id, to);
    }

    /// Asks the module where to send a lookup and has that carried out.
    fn step(&mut self, id: u64, now: Ns, to: &mut impl Transport) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.ended) else { return };
        match self.router.route(now, &held.lookup) {
            RouteDecision::Attempt(send) => {
                to.send(id, held.lookup.attempts.len(), &send);
                let sent = Attempt { node: send.node, source: send.source, sent_at: now, outcome: None };
                held.lookup.attempts.push(sent);
            }
            RouteDecision::Wait => {}
            RouteDecision::Reject { retry_after: pause } => {
                to.reject(id, pause);
                held.ended = true;
            }
            RouteDecision::Fail => {
                to.fail(id);
                held.ended = true;
            }
        }
        if held.ended {
            self.drop_if_idle(id, to);
        } else if let Some(wait) = self.router.next_check(now, &held.lookup) {
            held.turn = held.turn.wrapping_add(1);
            to.schedule_check(id, held.turn, wait);
        }
    }

    fn drop_if_idle(&mut self, id: u64, to: &mut impl Transport) {
        let idle = |h: &Held| h.ended && h.lookup.attempts.iter().all(|s| s.outcome.is_some());
        if self.held.get(&id).is_some_and(idle) {
            self.held.remove(&id);
            to.release(id);
        }
    }
}
