//! Members, voters and targets in simulated time, with faults injected: assignments, guards and registers. Each test
//! fails if the protection that it covers is removed.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::messages::{
    ASSIGNMENT_ROLE, AssignmentVersion, HealthState, Message, RegisterValue, Reply, Request,
};
use sablecross_coordination::{
    Action, CoordinationConfig, Coordinator, FencingGuard, FencingToken, Member, Ns, ReconfigureError,
};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
const HIERARCHY_ROLE: u16 = 1;

fn config(voters: u32) -> CoordinationConfig {
    CoordinationConfig {
        voters: (0..voters).collect(),
        roles: vec![ASSIGNMENT_ROLE, HIERARCHY_ROLE],
        lease_duration: SEC,
        round_timeout: 200 * MS,
        attempt_spacing: 50 * MS,
        heartbeat_interval: 200 * MS,
        check_interval: SEC,
        check_timeout: 400 * MS,
    }
}

enum Packet {
    Call { from: Member, at: u32, voter: usize, call_id: u64, messages: Vec<Message> },
    Replies { to: Member, voter: usize, call_id: u64, replies: Vec<Reply> },
    Check { by: Member, target: u64, token: FencingToken },
    CheckResult { by: Member, target: u64, token: FencingToken, state: Result<HealthState, FencingToken> },
}

#[derive(Default)]
struct Target {
    guard: FencingGuard,
    times: Vec<Ns>,
    admitted: Vec<FencingToken>,
    rejected: u64,
}

struct Fleet {
    now: Ns,
    config: CoordinationConfig,
    members: BTreeMap<u32, Coordinator>,
    /// The configured order of the voters at each member, by which the member numbers them.
    voter_orders: BTreeMap<u32, Vec<u32>>,
    targets: BTreeMap<u64, Target>,
    in_transit: Vec<(Ns, Packet)>,
    /// Links that drop all messages: member, voter, and whether messages to the voter are dropped (otherwise its
    /// replies).
    cut_links: BTreeSet<(u32, usize, bool)>,
    /// The earliest time at which the health checks of a member arrive, by member number.
    delayed_until: BTreeMap<u32, Ns>,
    stalled: BTreeSet<u32>,
    rng: Pcg32,
    loss_rate: f64,
    acquired: Vec<(Ns, u16, FencingToken)>,
    stored: Vec<(Ns, RegisterValue)>,
    with_guards: bool,
}

impl Fleet {
    fn new(members: u32, voters: u32, targets: u64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            config: config(voters),
            members: BTreeMap::new(),
            voter_orders: BTreeMap::new(),
            targets: (0..targets).map(|b| (b * 7 + 1, Target::default())).collect(),
            in_transit: Vec::new(),
            cut_links: BTreeSet::new(),
            delayed_until: BTreeMap::new(),
            stalled: BTreeSet::new(),
            rng: Pcg32::seed_from_u64(seed),
            loss_rate: 0.0,
            acquired: Vec::new(),
            stored: Vec::new(),
            with_guards: true,
        };
        (0..members).for_each(|member| fleet.start(member, 1));
        fleet
    }

    fn start(&mut self, number: u32, incarnation: u64) {
        let seed = self.rng.random();
        let mut coordinator =
            Coordinator::new(Member { number, incarnation }, self.config.clone(), seed, self.now);
        coordinator.update_targets(self.now, &self.targets.keys().copied().collect());
        self.members.insert(number, coordinator);
        self.voter_orders.insert(number, self.config.voters.clone());
    }

    fn send(&mut self, packet: Packet) {
        let delay = self.rng.random_range(1..15) * MS;
        self.in_transit.push((self.now + delay, packet));
    }

    /// Carries out the actions of a member's coordinator.
    fn execute_actions(&mut self, number: u32) {
        let Some(coordinator) = self.members.get_mut(&number) else { return };
        let me = coordinator.me();
        for action in coordinator.take_actions() {
            match action {
                Action::Call { voter, call_id, messages } => {
                    let voter = voter as usize;
                    let at = self.voter_orders[&me.number][voter];
                    if !self.cut_links.contains(&(me.number, voter, true))
                        && self.rng.random::<f64>() >= self.loss_rate
                    {
                        self.send(Packet::Call { from: me, at, voter, call_id, messages });
                    }
                }
                Action::VotersChanged(voters) => {
                    self.voter_orders.insert(me.number, voters);
                }
                Action::CheckHealth { target, token } => self.send(Packet::Check { by: me, target, token }),
                Action::RoleAcquired { role, token } => self.acquired.push((self.now, role, token)),
                Action::RegisterStored { value, .. } => self.stored.push((self.now, value)),
                Action::HealthObservations(_)
                | Action::RoleLost { .. }
                | Action::Log(_)
                | Action::Proposal { .. }
                | Action::Published { .. } => {}
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Call { from, at, voter, call_id, messages } => {
                if self.stalled.contains(&at) {
                    // The stalled process handles the call when it resumes.
                    return self
                        .in_transit
                        .push((self.now + 50 * MS, Packet::Call { from, at, voter, call_id, messages }));
                }
                let Some(coordinator) = self.members.get_mut(&at) else { return };
                let replies = coordinator.on_request(self.now, from, &messages);
                self.execute_actions(at);
                if !self.cut_links.contains(&(from.number, voter, false)) {
                    self.send(Packet::Replies { to: from, voter, call_id, replies });
                }
            }
            Packet::Replies { to, voter, call_id, replies } => {
                if self.stalled.contains(&to.number) {
                    return self
                        .in_transit
                        .push((self.now + 50 * MS, Packet::Replies { to, voter, call_id, replies }));
                }
                if let Some(coordinator) =
                    self.members.get_mut(&to.number).filter(|coordinator| coordinator.me() == to)
                {
                    coordinator.on_replies(self.now, voter as u32, call_id, replies);
                    self.execute_actions(to.number);
                }
            }
            Packet::Check { by, target, token } => {
                if let Some(until) = self.delayed_until.get(&by.number).filter(|u| **u > self.now) {
                    return self.in_transit.push((*until, Packet::Check { by, target, token }));
                }
                let Some(node) = self.targets.get_mut(&target) else { return };
                let rejected = node.guard.admit(token).err().filter(|_| self.with_guards);
                let state = match rejected {
                    Some(stale) => {
                        node.rejected += 1;
                        Err(stale.highest)
                    }
                    None => {
                        node.times.push(self.now);
                        node.admitted.push(token);
                        Ok(HealthState::Healthy(Some(0.5)))
                    }
                };
                self.send(Packet::CheckResult { by, target, token, state });
            }
            Packet::CheckResult { by, target, token, state } => {
                if let Some(coordinator) =
                    self.members.get_mut(&by.number).filter(|coordinator| coordinator.me() == by)
                {
                    coordinator.on_check_result(self.now, target, token, state);
                    self.execute_actions(by.number);
                }
            }
        }
    }

    fn run(&mut self, until: Ns) {
        while self.now < until {
            self.now += 5 * MS;
            let due: Vec<usize> =
                (0..self.in_transit.len()).rev().filter(|n| self.in_transit[*n].0 <= self.now).collect();
            let mut packets: Vec<(Ns, Packet)> =
                due.into_iter().map(|n| self.in_transit.swap_remove(n)).collect();
            packets.sort_by_key(|(at, _)| *at);
            packets.into_iter().for_each(|(_, packet)| self.deliver(packet));
            let due: Vec<u32> = self
                .members
                .iter()
                .filter(|(n, coordinator)| !self.stalled.contains(n) && coordinator.next_wakeup() <= self.now)
                .map(|(n, _)| *n)
                .collect();
            for number in due {
                if let Some(coordinator) = self.members.get_mut(&number) {
                    coordinator.step(self.now);
                }
                self.execute_actions(number);
            }
        }
    }

    fn holder(&self, role: u16) -> Option<u32> {
        self.members
            .iter()
            .find(|(_, coordinator)| coordinator.token(self.now, role).is_some())
            .map(|(n, _)| *n)
    }

    /// Returns the longest time that any target was not checked since `from`, and the most checks of a target within
    /// any second.
    fn longest_pause_and_burst(&self, from: Ns) -> (Ns, usize) {
        let (mut longest_pause, mut max_checks) = (0, 0);
        for node in self.targets.values() {
            let times: Vec<Ns> = node.times.iter().copied().filter(|t| *t >= from).collect();
            let ends = times.iter().copied().chain([self.now]);
            let begins = std::iter::once(from).chain(times.iter().copied());
            longest_pause = longest_pause.max(begins.zip(ends).map(|(a, b)| b - a).max().unwrap_or(0));
            for (n, at) in times.iter().enumerate() {
                max_checks = max_checks.max(times[n..].iter().take_while(|t| **t < at + SEC).count());
            }
        }
        (longest_pause, max_checks)
    }

    /// Returns an error unless the terms of each target's admitted tokens never decrease and each term has one
    /// holder.
    fn check_token_order(&self) -> Result<(), String> {
        for (target, node) in &self.targets {
            let mut highest = FencingToken::default();
            for token in &node.admitted {
                if token.term < highest.term || token.term == highest.term && token.holder != highest.holder {
                    return Err(format!("target {target}: {token:?} after {highest:?}"));
                }
                highest = *token;
            }
        }
        Ok(())
    }
}

#[test]
fn each_target_is_checked_at_a_fixed_rate() {
    let mut fleet = Fleet::new(6, 3, 24, 1);
    fleet.run(20 * SEC);
    let (longest_pause, max_checks) = fleet.longest_pause_and_burst(4 * SEC);
    assert!(longest_pause <= 1_200 * MS && max_checks <= 2, "{longest_pause} {max_checks}");
    let checks: usize =
        fleet.targets.values().map(|node| node.times.iter().filter(|t| **t >= 4 * SEC).count()).sum();
    assert!((24 * 15..=24 * 17).contains(&checks), "{checks}");
    let checking_members: BTreeSet<u32> =
        fleet.targets.values().flat_map(|node| node.admitted.iter().map(|t| t.holder.number)).collect();
    assert!(checking_members.len() >= 5, "{checking_members:?}");
    assert_eq!(fleet.targets.values().map(|node| node.rejected).sum::<u64>(), 0);
}

#[test]
fn targets_of_dead_members_move_and_return_without_a_burst() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 3, 24, seed);
        fleet.run(6 * SEC);
        // Stop the assigner and one more member.
        let assigner = fleet.holder(ASSIGNMENT_ROLE).expect("an assigner");
        let other = (assigner + 3) % 6;
        fleet.members.remove(&assigner);
        fleet.members.remove(&other);
        fleet.run(16 * SEC);
        fleet.start(assigner, 2);
        fleet.start(other, 2);
        fleet.run(26 * SEC);
        let (longest_pause, max_checks) = fleet.longest_pause_and_burst(4 * SEC);
        assert!(longest_pause <= 5 * SEC, "seed {seed}: {longest_pause}");
        assert!(max_checks <= 2, "seed {seed}: {max_checks} in a second");
        fleet.check_token_order().unwrap();
        let has_targets = |number: u32| {
            fleet.targets.values().any(|node| node.admitted.last().is_some_and(|t| t.holder.number == number))
        };
        assert!(
            has_targets(assigner) || has_targets(other),
            "seed {seed}: the returned members have targets again"
        );
    }
}

#[test]
fn late_checks_of_a_stalled_member_are_rejected() {
    let mut rejected = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 3, 24, seed);
        fleet.run(6 * SEC);
        let delayed_member = 3 + (seed % 3) as u32;
        // The checks that the member has sent arrive late, after the assignment that moved its targets.
        fleet.delayed_until.insert(delayed_member, 12 * SEC);
        fleet.run(7_500 * MS);
        fleet.stalled.insert(delayed_member);
        fleet.run(12 * SEC);
        fleet.stalled.remove(&delayed_member);
        fleet.run(18 * SEC);
        fleet.check_token_order().unwrap();
        rejected += fleet.targets.values().map(|node| node.rejected).sum::<u64>();
        let (longest_pause, _) = fleet.longest_pause_and_burst(4 * SEC);
        assert!(longest_pause <= 5 * SEC, "seed {seed}: {longest_pause}");
    }
    assert!(rejected > 0, "no late check arrived, so that nothing was tested");
}

#[test]
fn late_checks_are_admitted_without_guards() {
    let is_violated = (0..20).any(|seed| {
        let mut fleet = Fleet::new(6, 3, 24, seed);
        fleet.with_guards = false;
        fleet.run(6 * SEC);
        fleet.delayed_until.insert(4, 12 * SEC);
        fleet.run(7_500 * MS);
        fleet.stalled.insert(4);
        fleet.run(18 * SEC);
        fleet.check_token_order().is_err()
    });
    assert!(is_violated);
}

#[test]
fn members_that_reach_a_minority_of_voters_stop_their_checks() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, 5, 24, seed);
        fleet.run(6 * SEC);
        // Two voters, including the assigner, and members 7 and 8 can reach only each other.
        let assigner = fleet.holder(ASSIGNMENT_ROLE).expect("an assigner");
        let minority: BTreeSet<u32> = [assigner, (assigner + 1) % 5, 7, 8].into();
        for member in 0..9 {
            for voter in (0..5u32).filter(|voter| minority.contains(voter) != minority.contains(&member)) {
                fleet.cut_links.insert((member, voter as usize, true));
                fleet.cut_links.insert((member, voter as usize, false));
            }
        }
        fleet.run(14 * SEC);
        let new_assigner = fleet.holder(ASSIGNMENT_ROLE).expect("the majority has an assigner");
        assert!(!minority.contains(&new_assigner), "seed {seed}");
        // Disconnected members have stopped their checks before their targets moved.
        for node in fleet.targets.values() {
            let late = node
                .admitted
                .iter()
                .zip(&node.times)
                .filter(|(t, at)| **at > 9 * SEC && minority.contains(&t.holder.number));
            assert_eq!(late.count(), 0, "seed {seed}");
        }
        fleet.cut_links.clear();
        fleet.run(20 * SEC);
        fleet.check_token_order().unwrap();
        let (longest_pause, max_checks) = fleet.longest_pause_and_burst(4 * SEC);
        assert!(longest_pause <= 5 * SEC && max_checks <= 2, "seed {seed}: {longest_pause} {max_checks}");
        let has_targets_again = fleet
            .targets
            .values()
            .flat_map(|node| node.admitted.last())
            .any(|t| minority.contains(&t.holder.number));
        assert!(has_targets_again, "seed {seed}: reconnected members have targets again");
    }
}

#[test]
fn roles_have_no_holder_without_a_majority_of_voters() {
    let mut fleet = Fleet::new(8, 5, 16, 3);
    fleet.run(6 * SEC);
    (0..3).for_each(|voter| {
        fleet.members.remove(&voter);
    });
    fleet.run(12 * SEC);
    let at = fleet.now;
    assert_eq!(fleet.holder(ASSIGNMENT_ROLE), None);
    fleet.run(15 * SEC);
    assert!(
        fleet.targets.values().all(|node| node.times.last().is_some_and(|t| *t < at)),
        "no checks without a majority"
    );
    (0..3).for_each(|voter| fleet.start(voter, 2));
    fleet.run(22 * SEC);
    fleet.check_token_order().unwrap();
    assert!(fleet.targets.values().all(|node| node.times.last().is_some_and(|t| *t > 21 * SEC)));
}

#[test]
fn targets_reject_old_terms_of_voters_that_lost_their_state() {
    let mut fleet = Fleet::new(6, 3, 12, 5);
    fleet.run(6 * SEC);
    // Replace the assigner several times so that the term grows.
    for _ in 0..3 {
        let assigner = fleet.holder(ASSIGNMENT_ROLE).expect("an assigner");
        fleet.stalled.insert(assigner);
        fleet.run(fleet.now + 3 * SEC);
        fleet.stalled.clear();
        fleet.run(fleet.now + 2 * SEC);
    }
    let before = fleet
        .targets
        .values()
        .filter_map(|node| node.admitted.last())
        .map(|t| AssignmentVersion::from_token(*t).term)
        .max();
    assert!(before >= Some(3));
    // Every process restarts, so that only the targets know the terms.
    (0..6).for_each(|member| fleet.start(member, 2));
    let from = fleet.now;
    fleet.run(from + 15 * SEC);
    fleet.check_token_order().unwrap();
    assert!(
        fleet
            .targets
            .values()
            .all(|node| node.rejected > 0 || node.times.last().is_some_and(|t| *t > from + 3 * SEC))
    );
    for node in fleet.targets.values() {
        let last = node.admitted.last().expect("the target was checked");
        assert!(
            AssignmentVersion::from_token(*last).term > before.unwrap_or(0),
            "above the terms that the targets knew"
        );
        assert!(node.times.last().is_some_and(|t| *t > fleet.now - 2 * SEC));
    }
}

#[test]
fn member_rejoins_after_its_clock_was_set_back() {
    let mut fleet = Fleet::new(6, 3, 24, 7);
    (0..6).for_each(|member| fleet.start(member, 1_000_000));
    fleet.run(6 * SEC);
    fleet.members.remove(&4);
    fleet.run(9 * SEC);
    // Its clock was set back, so its new incarnation is lower than the previous one.
    fleet.start(4, 900_000);
    fleet.run(16 * SEC);
    let coordinator = &fleet.members[&4];
    assert!(coordinator.me().incarnation > 1_000_000 && !coordinator.is_displaced());
    assert!(fleet.targets.values().any(|node| node.admitted.last().is_some_and(|t| t.holder.number == 4)));
}

#[test]
fn stalled_process_is_displaced_by_a_newer_incarnation() {
    let mut fleet = Fleet::new(6, 3, 24, 8);
    fleet.run(6 * SEC);
    let stalled_process = fleet.members.remove(&5).expect("member 5 runs");
    fleet.start(5, 2);
    fleet.run(10 * SEC);
    let new_process = fleet.members.insert(5, stalled_process).expect("member 5 runs");
    // The stalled process resumes and learns of the newer incarnation.
    fleet.run(11 * SEC);
    assert!(fleet.members[&5].is_displaced());
    let checks: Vec<usize> = fleet.targets.values().map(|node| node.admitted.len()).collect();
    fleet.members.insert(5, new_process);
    fleet.run(14 * SEC);
    assert!(fleet.targets.values().zip(checks).any(|(b, n)| b.admitted.len() > n));
    fleet.check_token_order().unwrap();
}

#[test]
fn leaving_member_hands_over_before_the_lease_expires() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 3, 24, seed);
        fleet.run(6 * SEC);
        let assigner = fleet.holder(ASSIGNMENT_ROLE).expect("an assigner");
        let now = fleet.now;
        if let Some(coordinator) = fleet.members.get_mut(&assigner) {
            coordinator.leave(now);
        }
        fleet.execute_actions(assigner);
        fleet.run(now + 300 * MS);
        fleet.members.remove(&assigner);
        fleet.run(now + 600 * MS);
        assert!(fleet.holder(ASSIGNMENT_ROLE).is_some_and(|holder| holder != assigner), "seed {seed}");
        fleet.run(now + 6 * SEC);
        // Its targets moved at once, without waiting for the failure timeout.
        let (longest_pause, max_checks) = fleet.longest_pause_and_burst(now - 2 * SEC);
        assert!(longest_pause <= 2 * SEC && max_checks <= 2, "seed {seed}: {longest_pause} {max_checks}");
    }
}

#[test]
fn operator_can_hand_over_a_role() {
    let mut fleet = Fleet::new(6, 3, 6, 2);
    fleet.run(6 * SEC);
    let holder = fleet.holder(HIERARCHY_ROLE).expect("a holder");
    let (to, now) = ((holder + 1) % 3, fleet.now);
    let by = Member { number: u32::MAX, incarnation: 0 };
    // A member that does not hold the role reports that no hand-over has started.
    let other = fleet
        .members
        .get_mut(&to)
        .map(|node| node.on_request(now, by, &[Message::HandOver { role: HIERARCHY_ROLE, to: None }]));
    assert_eq!(other, Some(vec![Reply::HandOverStarted { role: HIERARCHY_ROLE, started: false }]));
    let replies = fleet
        .members
        .get_mut(&holder)
        .map(|node| node.on_request(now, by, &[Message::HandOver { role: HIERARCHY_ROLE, to: Some(to) }]));
    assert_eq!(replies, Some(vec![Reply::HandOverStarted { role: HIERARCHY_ROLE, started: true }]));
    fleet.execute_actions(holder);
    fleet.run(now + SEC);
    assert_eq!(fleet.holder(HIERARCHY_ROLE), Some(to));
    let terms: Vec<u64> = fleet
        .acquired
        .iter()
        .filter(|acquired| acquired.1 == HIERARCHY_ROLE)
        .map(|acquired| acquired.2.term)
        .collect();
    assert!(terms.windows(2).all(|w| w[0] < w[1]), "{terms:?}");
}

/// Each holder of the role writes to its register. The value that a new holder reads must never be older than a
/// stored one.
#[test]
fn new_holder_reads_the_stored_register_value() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(5, 5, 0, seed);
        let mut next = 0u64;
        let mut incarnation = 1;
        let mut stored_values: Vec<u64> = Vec::new();
        let mut read_count = 0;
        for _ in 0..12 {
            fleet.run(fleet.now + SEC);
            let stored = std::mem::take(&mut fleet.stored);
            for (_, entry) in stored {
                let value = entry.bytes.first().map_or(0, |b| u64::from(*b));
                let newest = stored_values.last().copied().unwrap_or(0);
                assert!(value >= newest, "seed {seed}: {value} after {newest}");
                stored_values.push(value);
                read_count += 1;
            }
            let now = fleet.now;
            if let Some(holder) = fleet.holder(HIERARCHY_ROLE) {
                next += 1;
                if let Some(coordinator) = fleet.members.get_mut(&holder) {
                    coordinator.write_register(now, HIERARCHY_ROLE, vec![next as u8]);
                }
                fleet.execute_actions(holder);
            }
            fleet.loss_rate = if fleet.rng.random::<f64>() < 0.5 { 0.2 } else { 0.0 };
            match fleet.rng.random_range(0..4) {
                0 => {
                    if let Some(holder) = fleet.holder(HIERARCHY_ROLE) {
                        fleet.stalled.insert(holder);
                    }
                }
                1 => fleet.stalled.clear(),
                2 => {
                    // A voter restarts without stored state.
                    let voter = fleet.rng.random_range(0..5);
                    incarnation += 1;
                    fleet.stalled.remove(&voter);
                    fleet.start(voter, incarnation);
                }
                _ => {}
            }
        }
        assert!(read_count > 2, "seed {seed}: {read_count}");
    }
}

#[test]
fn out_of_range_messages_are_handled_safely() {
    let request = Request {
        from: Member { number: 3, incarnation: 9 },
        messages: vec![
            Message::Heartbeat(AssignmentVersion { term: 2, number: 1 }),
            Message::ReportNewerTerm { role: 77, term: u64::MAX },
            Message::FetchHealth(u64::MAX),
            Message::WriteRegister { role: 9, value: RegisterValue::default() },
            Message::ReadRegister { role: HIERARCHY_ROLE, token: FencingToken::default() },
            Message::HandOver { role: 300, to: Some(8) },
        ],
    };
    let mut coordinator = Coordinator::new(Member { number: 0, incarnation: 1 }, config(1), 5, 0);
    coordinator.step(2 * SEC);
    let replies = coordinator.on_request(2 * SEC, request.from, &request.messages);
    assert!(replies.contains(&Reply::HandOverStarted { role: 300, started: false }));
    assert!(
        replies.iter().any(|a| matches!(a, Reply::StaleToken { role: HIERARCHY_ROLE, .. })),
        "a token without a term is not admitted: {replies:?}"
    );
    // Out-of-range tokens must not overflow.
    let largest_version = AssignmentVersion { term: u64::MAX, number: u64::MAX };
    assert!(AssignmentVersion::from_token(largest_version.token(request.from)).term > 0);
}

impl Fleet {
    /// Changes the voters at all members, one member at a time.
    fn reconfigure(&mut self, voters: &[u32]) {
        self.config = CoordinationConfig { voters: voters.to_vec(), ..self.config.clone() };
        let (now, config) = (self.now, self.config.clone());
        let members: Vec<u32> = self.members.keys().copied().collect();
        for member in members {
            if let Some(coordinator) = self.members.get_mut(&member) {
                coordinator.reconfigure(now, config.clone()).expect("one voter changes");
            }
            self.execute_actions(member);
        }
    }
}

#[test]
fn changing_voters_one_at_a_time_keeps_the_register_value() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, 3, 16, seed);
        fleet.run(6 * SEC);
        let holder = fleet.holder(HIERARCHY_ROLE).expect("a holder");
        let now = fleet.now;
        fleet.members.get_mut(&holder).expect("the holder runs").write_register(now, HIERARCHY_ROLE, vec![7]);
        fleet.execute_actions(holder);
        fleet.run(now + SEC);
        let assigner = fleet.holder(ASSIGNMENT_ROLE).expect("an assigner");
        fleet.reconfigure(&[0, 1, 2, 5]);
        fleet.run(fleet.now + 2 * SEC);
        assert_eq!(fleet.holder(ASSIGNMENT_ROLE), Some(assigner), "seed {seed}: the lease continues");
        fleet.reconfigure(&[0, 1, 2, 5, 6]);
        fleet.run(fleet.now + 2 * SEC);
        // Remove the assigner from the voters.
        let remaining_voters: Vec<u32> =
            [0, 1, 2, 5, 6].into_iter().filter(|voter| *voter != assigner).collect();
        fleet.reconfigure(&remaining_voters);
        fleet.run(fleet.now + 2 * SEC);
        let next = fleet.holder(ASSIGNMENT_ROLE).expect("another assigner");
        assert!(next != assigner && remaining_voters.contains(&next), "seed {seed}");
        // Remove the other two of the first three voters one at a time. The voters that joined must have stored the
        // value.
        let mut voters = remaining_voters;
        for removed in (0..3).filter(|voter| *voter != assigner) {
            voters.retain(|voter| *voter != removed);
            fleet.reconfigure(&voters);
            fleet.run(fleet.now + 3 * SEC);
        }
        assert_eq!(voters, [5, 6]);
        fleet.stored.clear();
        let holder = fleet.holder(HIERARCHY_ROLE).expect("a holder");
        assert!(voters.contains(&holder));
        fleet.stalled.insert(holder);
        fleet.run(fleet.now + 3 * SEC);
        fleet.stalled.clear();
        fleet.run(fleet.now + 3 * SEC);
        assert!(fleet.stored.iter().any(|(_, e)| e.bytes == [7]), "seed {seed}: {:?}", fleet.stored);
        fleet.check_token_order().unwrap();
        let (longest_pause, max_checks) = fleet.longest_pause_and_burst(4 * SEC);
        assert!(longest_pause <= 5 * SEC && max_checks <= 2, "seed {seed}: {longest_pause} {max_checks}");
    }
}

#[test]
fn changing_two_voters_or_other_settings_is_rejected() {
    let mut coordinator = Coordinator::new(Member { number: 0, incarnation: 1 }, config(3), 5, 0);
    let two = CoordinationConfig { voters: vec![0, 3, 4], ..config(3) };
    assert_eq!(coordinator.reconfigure(1, two), Err(ReconfigureError::TooManyChanges { joined: 2, left: 2 }));
    let replaced = CoordinationConfig { voters: vec![0, 1, 4], ..config(3) };
    assert_eq!(
        coordinator.reconfigure(1, replaced),
        Err(ReconfigureError::TooManyChanges { joined: 1, left: 1 })
    );
    let longer = CoordinationConfig { lease_duration: 9 * SEC, ..config(3) };
    assert_eq!(coordinator.reconfigure(1, longer), Err(ReconfigureError::RestartRequired));
    assert_eq!(coordinator.reconfigure(1, config(3)), Ok(()));
}
