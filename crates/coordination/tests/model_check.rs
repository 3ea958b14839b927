//! Model checking of leases and fencing with stateright: three voters, two candidates, one guard; messages late, lost,
//! duplicated and out of order, voters that restart without a disk, holders that stall between check, send and effect.
//!
//! `SABLECROSS_DUTY_STATES=N` searches so many states of each setting; by default as many as take seconds.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::*;
use stateright::{Checker, Expectation, Model, Property};

const LEASE: Ns = 4;
const CONFIG: LeaseConfig =
    LeaseConfig { voter_count: 3, duration: LEASE, round_timeout: 2, claim_spacing: 1 };

/// A defence that is left out, to show that the search finds it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A voter that has forgotten its grants grants at once.
    NoSilence,
    /// Effects are admitted by the holder's clock alone.
    NoGuard,
    /// The guard forgets at each effect.
    GuardForgets,
    /// The holder checks its clock once when it acquires the lease, and there is no guard.
    ClockTrusted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Ns,
    voters: Vec<Voter>,
    candidates: Vec<LeaseCandidate>,
    requests: BTreeSet<(u32, usize, LeaseRequest)>,
    /// The token that a holder has checked for its next effect.
    checked: Vec<Option<FencingToken>>,
    effects: BTreeSet<FencingToken>,
    guard: FencingGuard,
    /// The newest admitted token, and whether an older one, or a second holder of its term, was admitted after it.
    newest: FencingToken,
    violation: bool,
    restarts: u8,
    duplicates: u8,
    held: [bool; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Delivery {
    Replied,
    ReplyLost,
    Duplicated,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    Tick,
    Step(usize),
    /// Arrives at a voter, and the reply arrives or is lost; or the request arrives once more later.
    Ask(u32, usize, LeaseRequest, Delivery),
    Check(usize),
    Send(usize),
    Effect(FencingToken, bool),
    Restart(usize),
    HandOver(usize),
}

struct Search {
    fault: Fault,
    until: Ns,
    restarts: u8,
    duplicates: u8,
    hand_over: bool,
}

impl Search {
    fn actions_of(&self, world: &mut World, candidate: usize, actions_of: Vec<CandidateAction>) {
        for act in actions_of {
            match act {
                CandidateAction::Send(voter, request) => {
                    // A pre-vote of an earlier round has no effect.
                    world.requests.retain(|(_, s, a)| {
                        *s != candidate
                            || !matches!(a, LeaseRequest::PreVote { .. })
                            || same_round(a, &request)
                    });
                    world.requests.insert((voter, candidate, request));
                }
                CandidateAction::Acquired(_) => world.held[candidate] = true,
                CandidateAction::Ended { .. } => {}
            }
        }
    }
}

fn same_round(a: &LeaseRequest, b: &LeaseRequest) -> bool {
    matches!((a, b), (LeaseRequest::PreVote { round: a, .. }, LeaseRequest::PreVote { round: b, .. }) if a == b)
}

fn member(candidate: usize) -> Member {
    Member { number: candidate as u32, incarnation: 1 }
}

impl Model for Search {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let candidate = |n: usize| LeaseCandidate::new(member(n), n as u32, CONFIG, 7, 0);
        vec![World {
            now: 0,
            voters: vec![Voter::first_start(0, LEASE); 3],
            candidates: vec![candidate(0), candidate(1)],
            requests: BTreeSet::new(),
            checked: vec![None; 2],
            effects: BTreeSet::new(),
            guard: FencingGuard::default(),
            newest: FencingToken::default(),
            violation: false,
            restarts: 0,
            duplicates: 0,
            held: [false; 2],
        }]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.now < self.until {
            moves.push(Move::Tick);
        }
        for (n, candidate) in world.candidates.iter().enumerate() {
            if world.now >= candidate.next_wakeup() {
                moves.push(Move::Step(n));
            }
            let token = candidate.token(world.now);
            if token.is_some() && world.checked[n].is_none() {
                moves.push(Move::Check(n));
            }
            if world.checked[n].is_some() {
                moves.push(Move::Send(n));
            }
            if self.hand_over && token.is_some() {
                moves.push(Move::HandOver(n));
            }
        }
        for (v, n, request) in &world.requests {
            moves.push(Move::Ask(*v, *n, *request, Delivery::Replied));
            if matches!(request, LeaseRequest::Acquire { .. }) {
                moves.push(Move::Ask(*v, *n, *request, Delivery::ReplyLost));
                if world.duplicates < self.duplicates {
                    moves.push(Move::Ask(*v, *n, *request, Delivery::Duplicated));
                }
            }
        }
        for token in &world.effects {
            moves.push(Move::Effect(*token, false));
            if world.duplicates < self.duplicates {
                moves.push(Move::Effect(*token, true));
            }
        }
        if world.restarts < self.restarts {
            moves.extend((0..3).map(Move::Restart));
        }
    }

    fn next_state(&self, last: &World, a: Move) -> Option<World> {
        let mut world = last.clone();
        match a {
            Move::Tick => world.now += 1,
            Move::Step(n) => {
                let actions_of = world.candidates[n].step(world.now);
                self.actions_of(&mut world, n, actions_of);
            }
            Move::Ask(v, n, request, delivery) => {
                if delivery == Delivery::Duplicated {
                    world.duplicates += 1;
                } else {
                    world.requests.remove(&(v, n, request));
                }
                let reply = world.voters[v as usize].on_request(world.now, request);
                if let Some(reply) = reply.filter(|_| delivery != Delivery::ReplyLost) {
                    let actions_of = world.candidates[n].on_reply(world.now, v, reply);
                    self.actions_of(&mut world, n, actions_of);
                }
            }
            Move::Check(n) => world.checked[n] = world.candidates[n].token(world.now),
            Move::Send(n) => {
                // With the clock trusted, it goes on with what it has checked once.
                let token = if self.fault == Fault::ClockTrusted {
                    world.checked[n]
                } else {
                    world.checked[n].take()
                };
                world.effects.extend(token);
            }
            Move::Effect(token, duplicated) => {
                if duplicated {
                    world.duplicates += 1;
                } else {
                    world.effects.remove(&token);
                }
                let is_admitted = match self.fault {
                    Fault::NoGuard | Fault::ClockTrusted => true,
                    Fault::GuardForgets => FencingGuard::default().admit(token).is_ok(),
                    Fault::None | Fault::NoSilence => match world.guard.admit(token) {
                        Ok(()) => true,
                        Err(old) => {
                            let n = token.holder.number as usize;
                            if world.candidates[n].token(world.now) == Some(token) {
                                let actions_of = world.candidates[n].on_rejected(world.now, old.highest.term);
                                self.actions_of(&mut world, n, actions_of);
                            }
                            false
                        }
                    },
                };
                if is_admitted {
                    let newer = token.term > world.newest.term || token == world.newest;
                    world.violation |= !newer;
                    world.newest = world.newest.max(token);
                }
            }
            Move::Restart(v) => {
                world.restarts += 1;
                world.voters[v] = match self.fault {
                    Fault::NoSilence => Voter::first_start(world.now, LEASE),
                    _ => Voter::without_memory(world.now, LEASE),
                };
            }
            Move::HandOver(n) => {
                world.checked[n] = None;
                let actions_of = world.candidates[n].hand_over(world.now, Some(member(1 - n)));
                self.actions_of(&mut world, n, actions_of);
                world.candidates[1 - n].schedule_claim(world.now);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect of a former holder", |_, world: &World| !world.violation),
            Property::always("one holder at a time", |_, world: &World| {
                world.candidates.iter().filter(|s| s.token(world.now).is_some()).count() < 2
            }),
            Property::sometimes("both hold in turn", |_, world: &World| world.held == [true, true]),
        ]
    }
}

fn states() -> usize {
    std::env::var("SABLECROSS_DUTY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(300_000)
}

#[test]
fn no_older_token_is_admitted_and_no_two_hold_at_once() {
    // (time, restarts of voters, duplicated messages, hand-overs)
    for (until, restarts, duplicates, hand_over) in
        [(9, 0, 0, false), (10, 1, 0, false), (9, 1, 1, false), (7, 0, 1, true), (12, 2, 0, false)]
    {
        let search = Search { fault: Fault::None, until, restarts, duplicates, hand_over };
        let checker = search.checker().threads(4).target_state_count(states()).spawn_bfs().join();
        let wrong = ["no effect of a former holder", "one holder at a time"];
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| wrong.contains(name)).collect();
        assert!(found.is_empty(), "{found:?}");
        println!(
            "until {until}, restarts {restarts}, duplicates {duplicates}: {} states",
            checker.unique_state_count()
        );
        assert!(checker.unique_state_count() > 5_000);
    }
}

/// Walks through random schedules; returns the properties that were violated, and in how many both held the lease in turn.
fn walk(search: &Search, schedules: u64) -> (BTreeSet<&'static str>, u64) {
    let (mut wrong, mut both) = (BTreeSet::new(), 0);
    for seed in 0..schedules {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut world = search.init_states().remove(0);
        for _ in 0..160 {
            let mut moves = Vec::new();
            search.actions(&world, &mut moves);
            // Time passes now and then only, or nothing would arrive in time.
            moves.retain(|m| *m != Move::Tick || rng.random_range(0..6) == 0);
            if moves.is_empty() {
                moves.push(Move::Tick);
            }
            let Some(next) = search.next_state(&world, moves.swap_remove(rng.random_range(0..moves.len())))
            else {
                break;
            };
            world = next;
            for p in search.properties().into_iter().filter(|p| p.expectation == Expectation::Always) {
                if !(p.condition)(search, &world) {
                    wrong.insert(p.name);
                }
            }
        }
        both += u64::from(world.held == [true, true]);
    }
    (wrong, both)
}

#[test]
fn random_schedules_violate_nothing_and_missing_defences_are_found() {
    let of = |fault, restarts, duplicates| Search { fault, until: 60, restarts, duplicates, hand_over: true };
    let (wrong, both) = walk(&of(Fault::None, 3, 3), 20_000);
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(both > 2_000, "both hold in turn in {both} of 20,000 schedules");
    for (fault, broken) in [
        (Fault::NoGuard, "no effect of a former holder"),
        (Fault::GuardForgets, "no effect of a former holder"),
        (Fault::ClockTrusted, "no effect of a former holder"),
        (Fault::NoSilence, "one holder at a time"),
    ] {
        let (wrong, _) = walk(&of(fault, 3, 3), 20_000);
        assert!(wrong.contains(broken), "{broken}: {wrong:?}");
    }
}
