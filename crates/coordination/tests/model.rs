//! All states of a small fleet, by stateright: three voters, two claimants, one gate; messages late, lost, doubled and
//! out of order, voters that begin anew without a disk, owners that stall between check, send and effect.
//!
//! `SABLECROSS_DUTY_STATES=N` searches so many states of each; without it a part that takes seconds.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::*;
use stateright::{Checker, Expectation, Model, Property};

const LEASE: Ns = 4;
const RULES: LeaseConfig =
    LeaseConfig { voter_count: 3, duration: LEASE, round_timeout: 2, claim_spacing: 1 };

/// What may be left out, to see that the search finds it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A voter that forgot what it granted grants at once.
    NoSilence,
    /// Effects are let through by the owner's clock alone.
    NoGate,
    /// The gate forgets at each effect.
    GateForgets,
    /// The owner looks at its clock when it begins to own, and never again, with no gate.
    ClockTrusted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Ns,
    voters: Vec<Voter>,
    seats: Vec<LeaseCandidate>,
    asks: BTreeSet<(u32, usize, LeaseRequest)>,
    /// The token that an owner has checked for its next effect.
    checked: Vec<Option<FencingToken>>,
    effects: BTreeSet<FencingToken>,
    gate: FencingGuard,
    /// The newest that was let through, and whether an older one, or a second owner of its term, came through after it.
    newest: FencingToken,
    harm: bool,
    kills: u8,
    doubles: u8,
    owned: [bool; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Way {
    Answered,
    AnswerLost,
    Doubled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    Tick,
    Step(usize),
    /// Comes to a voter, and the reply comes back or is lost; or it comes once more later.
    Ask(u32, usize, LeaseRequest, Way),
    Check(usize),
    Send(usize),
    Effect(FencingToken, bool),
    Kill(usize),
    HandOver(usize),
}

struct Search {
    fault: Fault,
    until: Ns,
    kills: u8,
    doubles: u8,
    hand_over: bool,
}

impl Search {
    fn acts(&self, w: &mut World, seat: usize, acts: Vec<CandidateAction>) {
        for act in acts {
            match act {
                CandidateAction::Send(voter, ask) => {
                    // A look of an earlier round tells nobody anything.
                    w.asks.retain(|(_, s, a)| {
                        *s != seat || !matches!(a, LeaseRequest::PreVote { .. }) || same_round(a, &ask)
                    });
                    w.asks.insert((voter, seat, ask));
                }
                CandidateAction::Acquired(_) => w.owned[seat] = true,
                CandidateAction::Ended { .. } => {}
            }
        }
    }
}

fn same_round(a: &LeaseRequest, b: &LeaseRequest) -> bool {
    matches!((a, b), (LeaseRequest::PreVote { round: a, .. }, LeaseRequest::PreVote { round: b, .. }) if a == b)
}

fn member(seat: usize) -> Member {
    Member { number: seat as u32, incarnation: 1 }
}

impl Model for Search {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let seat = |n: usize| LeaseCandidate::new(member(n), n as u32, RULES, 7, 0);
        vec![World {
            now: 0,
            voters: vec![Voter::restored(0, 0, LEASE, true); 3],
            seats: vec![seat(0), seat(1)],
            asks: BTreeSet::new(),
            checked: vec![None; 2],
            effects: BTreeSet::new(),
            gate: FencingGuard::default(),
            newest: FencingToken::default(),
            harm: false,
            kills: 0,
            doubles: 0,
            owned: [false; 2],
        }]
    }

    fn actions(&self, w: &World, moves: &mut Vec<Move>) {
        if w.now < self.until {
            moves.push(Move::Tick);
        }
        for (n, seat) in w.seats.iter().enumerate() {
            if w.now >= seat.next_wakeup() {
                moves.push(Move::Step(n));
            }
            let token = seat.token(w.now);
            if token.is_some() && w.checked[n].is_none() {
                moves.push(Move::Check(n));
            }
            if w.checked[n].is_some() {
                moves.push(Move::Send(n));
            }
            if self.hand_over && token.is_some() {
                moves.push(Move::HandOver(n));
            }
        }
        for (v, n, ask) in &w.asks {
            moves.push(Move::Ask(*v, *n, *ask, Way::Answered));
            if matches!(ask, LeaseRequest::Acquire { .. }) {
                moves.push(Move::Ask(*v, *n, *ask, Way::AnswerLost));
                if w.doubles < self.doubles {
                    moves.push(Move::Ask(*v, *n, *ask, Way::Doubled));
                }
            }
        }
        for token in &w.effects {
            moves.push(Move::Effect(*token, false));
            if w.doubles < self.doubles {
                moves.push(Move::Effect(*token, true));
            }
        }
        if w.kills < self.kills {
            moves.extend((0..3).map(Move::Kill));
        }
    }

    fn next_state(&self, last: &World, a: Move) -> Option<World> {
        let mut w = last.clone();
        match a {
            Move::Tick => w.now += 1,
            Move::Step(n) => {
                let acts = w.seats[n].step(w.now);
                self.acts(&mut w, n, acts);
            }
            Move::Ask(v, n, ask, way) => {
                if way == Way::Doubled {
                    w.doubles += 1;
                } else {
                    w.asks.remove(&(v, n, ask));
                }
                let reply = w.voters[v as usize].on_request(w.now, ask);
                if let Some(reply) = reply.filter(|_| way != Way::AnswerLost) {
                    let acts = w.seats[n].on_reply(w.now, v, reply);
                    self.acts(&mut w, n, acts);
                }
            }
            Move::Check(n) => w.checked[n] = w.seats[n].token(w.now),
            Move::Send(n) => {
                // Checked once: with the clock trusted, it goes on with what it knew.
                let token =
                    if self.fault == Fault::ClockTrusted { w.checked[n] } else { w.checked[n].take() };
                w.effects.extend(token);
            }
            Move::Effect(token, doubled) => {
                if doubled {
                    w.doubles += 1;
                } else {
                    w.effects.remove(&token);
                }
                let passes = match self.fault {
                    Fault::NoGate | Fault::ClockTrusted => true,
                    Fault::GateForgets => FencingGuard::default().admit(token).is_ok(),
                    Fault::None | Fault::NoSilence => match w.gate.admit(token) {
                        Ok(()) => true,
                        Err(old) => {
                            let n = token.holder.number as usize;
                            if w.seats[n].token(w.now) == Some(token) {
                                let acts = w.seats[n].on_rejected(w.now, old.highest.term);
                                self.acts(&mut w, n, acts);
                            }
                            false
                        }
                    },
                };
                if passes {
                    let newer = token.term > w.newest.term || token == w.newest;
                    w.harm |= !newer;
                    w.newest = w.newest.max(token);
                }
            }
            Move::Kill(v) => {
                w.kills += 1;
                w.voters[v] = match self.fault {
                    Fault::NoSilence => Voter::restored(0, w.now, LEASE, true),
                    _ => Voter::without_memory(w.now, LEASE),
                };
            }
            Move::HandOver(n) => {
                w.checked[n] = None;
                let acts = w.seats[n].hand_over(w.now, Some(member(1 - n)));
                self.acts(&mut w, n, acts);
                w.seats[1 - n].schedule_claim(w.now);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no old owner's effect", |_, w: &World| !w.harm),
            Property::always("one owner at a time", |_, w: &World| {
                w.seats.iter().filter(|s| s.token(w.now).is_some()).count() < 2
            }),
            Property::sometimes("both own in turn", |_, w: &World| w.owned == [true, true]),
        ]
    }
}

fn states() -> usize {
    std::env::var("SABLECROSS_DUTY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(300_000)
}

#[test]
fn no_older_token_is_accepted_and_no_two_own_at_once() {
    // (time, voters that begin anew, doubled messages, hand-overs)
    for (until, kills, doubles, hand_over) in
        [(9, 0, 0, false), (10, 1, 0, false), (9, 1, 1, false), (7, 0, 1, true), (12, 2, 0, false)]
    {
        let search = Search { fault: Fault::None, until, kills, doubles, hand_over };
        let checker = search.checker().threads(4).target_state_count(states()).spawn_bfs().join();
        let wrong = ["no old owner's effect", "one owner at a time"];
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| wrong.contains(name)).collect();
        assert!(found.is_empty(), "{found:?}");
        println!("until {until}, kills {kills}, doubles {doubles}: {} states", checker.unique_state_count());
        assert!(checker.unique_state_count() > 5_000);
    }
}

/// Walks through so many schedules by chance; what was found wrong, and how many saw both own in turn.
fn walk(search: &Search, schedules: u64) -> (BTreeSet<&'static str>, u64) {
    let (mut wrong, mut both) = (BTreeSet::new(), 0);
    for seed in 0..schedules {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut w = search.init_states().remove(0);
        for _ in 0..160 {
            let mut moves = Vec::new();
            search.actions(&w, &mut moves);
            // Time goes on now and then only, or nothing would come in time.
            moves.retain(|m| *m != Move::Tick || rng.random_range(0..6) == 0);
            if moves.is_empty() {
                moves.push(Move::Tick);
            }
            let Some(next) = search.next_state(&w, moves.swap_remove(rng.random_range(0..moves.len())))
            else {
                break;
            };
            w = next;
            for p in search.properties().into_iter().filter(|p| p.expectation == Expectation::Always) {
                if !(p.condition)(search, &w) {
                    wrong.insert(p.name);
                }
            }
        }
        both += u64::from(w.owned == [true, true]);
    }
    (wrong, both)
}

#[test]
fn schedules_by_chance_do_no_harm_and_what_is_left_out_is_found() {
    let of = |fault, kills, doubles| Search { fault, until: 60, kills, doubles, hand_over: true };
    let (wrong, both) = walk(&of(Fault::None, 3, 3), 20_000);
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(both > 2_000, "both own in turn in {both} of 20,000 schedules");
    for (fault, broken) in [
        (Fault::NoGate, "no old owner's effect"),
        (Fault::GateForgets, "no old owner's effect"),
        (Fault::ClockTrusted, "no old owner's effect"),
        (Fault::NoSilence, "one owner at a time"),
    ] {
        let (wrong, _) = walk(&of(fault, 3, 3), 20_000);
        assert!(wrong.contains(broken), "{broken}: {wrong:?}");
    }
}
