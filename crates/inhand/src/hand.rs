//! The lookups in hand, round the three calls of the decision module.

use std::collections::HashMap;

use sablecross::{Choice, Lookup, Next, Ns, Outcome, Route, Send, Sent};

/// Carries out what the module decides.
pub trait Carrier {
    /// Sends a lookup; `shot` counts its sends from 0. The end of each is owed to `Hand::ended`.
    fn send(&mut self, id: u64, shot: usize, send: &Send);
    fn nack(&mut self, id: u64, pause: Ns);
    fn fail(&mut self, id: u64);
    fn call_off(&mut self, id: u64, shot: usize);
    /// Calls `Hand::ask` with this turn after the wait.
    fn ask_again(&mut self, id: u64, turn: u32, wait: Ns);
    /// The lookup is out of hand: ended, and none of its sends is out.
    fn dropped(&mut self, id: u64);
}

/// How a send ended.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub outcome: Outcome,
    pub took: Ns,
    /// Whether it came from a copy, where that is told.
    pub hit: Option<bool>,
    /// With this send, or before, the lookup ended.
    pub over: bool,
}

struct Held {
    lookup: Lookup,
    ended: bool,
    /// The latest turn asked for; earlier ones are passed over.
    turn: u32,
}

pub struct Hand {
    pub choice: Choice,
    held: HashMap<u64, Held>,
}

impl Hand {
    pub fn new(choice: Choice) -> Self {
        Hand { choice, held: HashMap::new() }
    }

    /// A lookup comes in.
    pub fn take(&mut self, id: u64, lookup: Lookup, now: Ns, to: &mut impl Carrier) {
        self.held.insert(id, Held { lookup, ended: false, turn: 0 });
        self.step(id, now, to);
    }

    /// A wait is over.
    pub fn ask(&mut self, id: u64, turn: u32, now: Ns, to: &mut impl Carrier) {
        if self.held.get(&id).is_some_and(|h| h.turn == turn) {
            self.step(id, now, to);
        }
    }

    /// The client has left: no answer is owed.
    pub fn abandon(&mut self, id: u64, to: &mut impl Carrier) {
        if let Some(held) = self.held.get_mut(&id) {
            held.ended = true;
        }
        self.drop_if_idle(id, to);
    }

    /// A send has ended.
    pub fn ended(&mut self, id: u64, shot: usize, end: End, now: Ns, to: &mut impl Carrier) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(sent) = held.lookup.sends.get_mut(shot) else { return };
        sent.result = Some(end.outcome);
        let next = self.choice.after(now, &held.lookup, shot, end.took, end.hit);
        let ended = held.ended;
        held.ended |= end.over;
        match next {
            Next::Done { call_off } if call_off && !ended => {
                for (i, s) in held.lookup.sends.iter().enumerate() {
                    if s.result.is_none() {
                        to.call_off(id, i);
                    }
                }
            }
            Next::Again => self.step(id, now, to),
            Next::Done { .. } | Next::Wait => {}
        }
        self.drop_if_idle(id, to);
    }

    /// Asks the module where to send a lookup and has that carried out.
    fn step(&mut self, id: u64, now: Ns, to: &mut impl Carrier) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.ended) else { return };
        match self.choice.route(now, &held.lookup) {
            Route::Send(send) => {
                to.send(id, held.lookup.sends.len(), &send);
                let sent = Sent { node: send.node, source: send.source, at: now, result: None };
                held.lookup.sends.push(sent);
            }
            Route::NotYet => {}
            Route::Nack { pause } => {
                to.nack(id, pause);
                held.ended = true;
            }
            Route::Fail => {
                to.fail(id);
                held.ended = true;
            }
        }
        if held.ended {
            self.drop_if_idle(id, to);
        } else if let Some(wait) = self.choice.patience(now, &held.lookup) {
            held.turn = held.turn.wrapping_add(1);
            to.ask_again(id, held.turn, wait);
        }
    }

    fn drop_if_idle(&mut self, id: u64, to: &mut impl Carrier) {
        let idle = |h: &Held| h.ended && h.lookup.sends.iter().all(|s| s.result.is_some());
        if self.held.get(&id).is_some_and(idle) {
            self.held.remove(&id);
            to.dropped(id);
        }
    }
}
