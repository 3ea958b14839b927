//! Model checking of leases and fencing with stateright: three voters, two candidates and one guard. Messages are
//! delayed, lost, duplicated and reordered; voters restart without stored state; holders stall between checking a
//! token, sending an effect and the effect itself.
//!
//! `SABLECROSS_DUTY_STATES=N` sets the number of states to search for each configuration. The default takes a few
//! seconds.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::*;
use stateright::{Checker, Expectation, Model, Property};

const LEASE: Ns = 4;
const CONFIG: LeaseConfig =
    LeaseConfig { voter_count: 3, duration: LEASE, round_timeout: 2, attempt_spacing: 1 };

/// A protection that is removed, to show that the search finds the resulting violation.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A restarted voter grants leases immediately, although it has forgotten its grants.
    NoSilence,
    /// Effects are admitted without a guard, based on the holder's clock alone.
    NoGuard,
    /// The guard forgets its newest token after each effect.
    GuardForgets,
    /// A candidate checks only once whether it holds the lease, keeps using that token, and there is no guard.
    ClockTrusted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    now: Ns,
    voters: Vec<LeaseVoter>,
    candidates: Vec<LeaseCandidate>,
    requests: BTreeSet<(u32, usize, LeaseRequest)>,
    /// The token that each candidate has checked for its next effect.
    checked: Vec<Option<FencingToken>>,
    effects: BTreeSet<FencingToken>,
    guard: FencingGuard,
    /// The newest admitted token.
    newest: FencingToken,
    /// Whether an older token than the newest one, or one of another holder of its term, was admitted.
    violation: bool,
    restarts: u8,
    duplicates: u8,
    has_held: [bool; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Delivery {
    Replied,
    ReplyLost,
    Duplicated,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Transition {
    Tick,
    Step(usize),
    /// A request arrives at a voter. The reply arrives or is lost, or the request remains in transit as a duplicate.
    DeliverRequest(u32, usize, LeaseRequest, Delivery),
    CheckToken(usize),
    SendEffect(usize),
    DeliverEffect(FencingToken, bool),
    RestartVoter(usize),
    HandOver(usize),
}

struct LeaseModel {
    fault: Fault,
    until: Ns,
    restarts: u8,
    duplicates: u8,
    hand_over: bool,
}

impl LeaseModel {
    fn apply_actions(&self, state: &mut SystemState, candidate: usize, actions: Vec<CandidateAction>) {
        for action in actions {
            match action {
                CandidateAction::Send(voter, request) => {
                    // Pre-votes of earlier rounds have no effect, so they are removed.
                    state.requests.retain(|(_, s, a)| {
                        *s != candidate
                            || !matches!(a, LeaseRequest::PreVote { .. })
                            || same_round(a, &request)
                    });
                    state.requests.insert((voter, candidate, request));
                }
                CandidateAction::Acquired(_) => state.has_held[candidate] = true,
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

impl Model for LeaseModel {
    type State = SystemState;
    type Action = Transition;

    fn init_states(&self) -> Vec<SystemState> {
        let candidate = |n: usize| LeaseCandidate::new(member(n), n as u32, CONFIG, 7, 0);
        vec![SystemState {
            now: 0,
            voters: vec![LeaseVoter::first_start(0, LEASE); 3],
            candidates: vec![candidate(0), candidate(1)],
            requests: BTreeSet::new(),
            checked: vec![None; 2],
            effects: BTreeSet::new(),
            guard: FencingGuard::default(),
            newest: FencingToken::default(),
            violation: false,
            restarts: 0,
            duplicates: 0,
            has_held: [false; 2],
        }]
    }

    fn actions(&self, state: &SystemState, transitions: &mut Vec<Transition>) {
        if state.now < self.until {
            transitions.push(Transition::Tick);
        }
        for (n, candidate) in state.candidates.iter().enumerate() {
            if state.now >= candidate.next_wakeup() {
                transitions.push(Transition::Step(n));
            }
            let token = candidate.token(state.now);
            if token.is_some() && state.checked[n].is_none() {
                transitions.push(Transition::CheckToken(n));
            }
            if state.checked[n].is_some() {
                transitions.push(Transition::SendEffect(n));
            }
            if self.hand_over && token.is_some() {
                transitions.push(Transition::HandOver(n));
            }
        }
        for (v, n, request) in &state.requests {
            transitions.push(Transition::DeliverRequest(*v, *n, *request, Delivery::Replied));
            if matches!(request, LeaseRequest::Acquire { .. }) {
                transitions.push(Transition::DeliverRequest(*v, *n, *request, Delivery::ReplyLost));
                if state.duplicates < self.duplicates {
                    transitions.push(Transition::DeliverRequest(*v, *n, *request, Delivery::Duplicated));
                }
            }
        }
        for token in &state.effects {
            transitions.push(Transition::DeliverEffect(*token, false));
            if state.duplicates < self.duplicates {
                transitions.push(Transition::DeliverEffect(*token, true));
            }
        }
        if state.restarts < self.restarts {
            transitions.extend((0..3).map(Transition::RestartVoter));
        }
    }

    fn next_state(&self, previous: &SystemState, transition: Transition) -> Option<SystemState> {
        let mut state = previous.clone();
        match transition {
            Transition::Tick => state.now += 1,
            Transition::Step(n) => {
                let actions = state.candidates[n].step(state.now);
                self.apply_actions(&mut state, n, actions);
            }
            Transition::DeliverRequest(v, n, request, delivery) => {
                if delivery == Delivery::Duplicated {
                    state.duplicates += 1;
                } else {
                    state.requests.remove(&(v, n, request));
                }
                let reply = state.voters[v as usize].on_request(state.now, request);
                if let Some(reply) = reply.filter(|_| delivery != Delivery::ReplyLost) {
                    let actions = state.candidates[n].on_reply(state.now, v, reply);
                    self.apply_actions(&mut state, n, actions);
                }
            }
            Transition::CheckToken(n) => state.checked[n] = state.candidates[n].token(state.now),
            Transition::SendEffect(n) => {
                // With `Fault::ClockTrusted`, the holder keeps using the token that it has checked once.
                let token = if self.fault == Fault::ClockTrusted {
                    state.checked[n]
                } else {
                    state.checked[n].take()
                };
                state.effects.extend(token);
            }
            Transition::DeliverEffect(token, duplicated) => {
                if duplicated {
                    state.duplicates += 1;
                } else {
                    state.effects.remove(&token);
                }
                let is_admitted = match self.fault {
                    Fault::NoGuard | Fault::ClockTrusted => true,
                    Fault::GuardForgets => FencingGuard::default().admit(token).is_ok(),
                    Fault::None | Fault::NoSilence => match state.guard.admit(token) {
                        Ok(()) => true,
                        Err(stale) => {
                            let n = token.holder.number as usize;
                            if state.candidates[n].token(state.now) == Some(token) {
                                let actions = state.candidates[n].on_rejected(state.now, stale.highest.term);
                                self.apply_actions(&mut state, n, actions);
                            }
                            false
                        }
                    },
                };
                if is_admitted {
                    let newer = token.term > state.newest.term || token == state.newest;
                    state.violation |= !newer;
                    state.newest = state.newest.max(token);
                }
            }
            Transition::RestartVoter(v) => {
                state.restarts += 1;
                state.voters[v] = match self.fault {
                    Fault::NoSilence => LeaseVoter::first_start(state.now, LEASE),
                    _ => LeaseVoter::after_restart(state.now, LEASE),
                };
            }
            Transition::HandOver(n) => {
                state.checked[n] = None;
                let actions = state.candidates[n].hand_over(state.now, Some(member(1 - n)));
                self.apply_actions(&mut state, n, actions);
                state.candidates[1 - n].schedule_attempt(state.now);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect of a former holder", |_, state: &SystemState| !state.violation),
            Property::always("one holder at a time", |_, state: &SystemState| {
                state.candidates.iter().filter(|s| s.token(state.now).is_some()).count() < 2
            }),
            Property::sometimes("both hold in turn", |_, state: &SystemState| state.has_held == [true, true]),
        ]
    }
}

fn max_states() -> usize {
    std::env::var("SABLECROSS_DUTY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(300_000)
}

#[test]
fn no_stale_token_is_admitted_and_no_two_members_hold_at_once() {
    // Each entry: end time, restarts of voters, duplicated messages, whether roles are handed over.
    for (until, restarts, duplicates, hand_over) in
        [(9, 0, 0, false), (10, 1, 0, false), (9, 1, 1, false), (7, 0, 1, true), (12, 2, 0, false)]
    {
        let model = LeaseModel { fault: Fault::None, until, restarts, duplicates, hand_over };
        let checker = model.checker().threads(4).target_state_count(max_states()).spawn_bfs().join();
        let safety_properties = ["no effect of a former holder", "one holder at a time"];
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| safety_properties.contains(name)).collect();
        assert!(found.is_empty(), "{found:?}");
        println!(
            "until {until}, restarts {restarts}, duplicates {duplicates}: {} states",
            checker.unique_state_count()
        );
        assert!(checker.unique_state_count() > 5_000);
    }
}

/// Runs random schedules. Returns the violated properties, and the number of schedules in which both candidates held
/// the lease in turn.
fn run_random_schedules(model: &LeaseModel, schedules: u64) -> (BTreeSet<&'static str>, u64) {
    let (mut violated, mut both_held) = (BTreeSet::new(), 0);
    for seed in 0..schedules {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut state = model.init_states().remove(0);
        for _ in 0..160 {
            let mut transitions = Vec::new();
            model.actions(&state, &mut transitions);
            // Time advances only occasionally, because otherwise no message would arrive in time.
            transitions.retain(|m| *m != Transition::Tick || rng.random_range(0..6) == 0);
            if transitions.is_empty() {
                transitions.push(Transition::Tick);
            }
            let Some(next) =
                model.next_state(&state, transitions.swap_remove(rng.random_range(0..transitions.len())))
            else {
                break;
            };
            state = next;
            for p in model.properties().into_iter().filter(|p| p.expectation == Expectation::Always) {
                if !(p.condition)(model, &state) {
                    violated.insert(p.name);
                }
            }
        }
        both_held += u64::from(state.has_held == [true, true]);
    }
    (violated, both_held)
}

#[test]
fn random_schedules_are_safe_and_removed_protections_are_detected() {
    let of =
        |fault, restarts, duplicates| LeaseModel { fault, until: 60, restarts, duplicates, hand_over: true };
    let (violated, both_held) = run_random_schedules(&of(Fault::None, 3, 3), 20_000);
    assert!(violated.is_empty(), "{violated:?}");
    assert!(both_held > 2_000, "both hold in turn in {both_held} of 20,000 schedules");
    for (fault, broken) in [
        (Fault::NoGuard, "no effect of a former holder"),
        (Fault::GuardForgets, "no effect of a former holder"),
        (Fault::ClockTrusted, "no effect of a former holder"),
        (Fault::NoSilence, "one holder at a time"),
    ] {
        let (violated, _) = run_random_schedules(&of(fault, 3, 3), 20_000);
        assert!(violated.contains(broken), "{broken}: {violated:?}");
    }
}
