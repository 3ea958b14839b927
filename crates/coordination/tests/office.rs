//! Members, voters and boxes in one simulated time: rosters, shares, gates and registers under faults. Each case fails without
//! the defence that it is for.

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
const DRIVING: u16 = 1;

fn terms(voters: u32) -> CoordinationConfig {
    CoordinationConfig {
        voters: (0..voters).collect(),
        roles: vec![ASSIGNMENT_ROLE, DRIVING],
        lease_duration: SEC,
        round_timeout: 200 * MS,
        claim_spacing: 50 * MS,
        heartbeat_interval: 200 * MS,
        check_interval: SEC,
        check_timeout: 400 * MS,
    }
}

enum Letter {
    Call { from: Member, at: u32, voter: usize, number: u64, words: Vec<Message> },
    Back { to: Member, voter: usize, number: u64, said: Vec<Reply> },
    Probe { by: Member, chore: u64, token: FencingToken },
    Probed { by: Member, chore: u64, token: FencingToken, state: Result<HealthState, FencingToken> },
}

#[derive(Default)]
struct Box {
    gate: FencingGuard,
    times: Vec<Ns>,
    passed: Vec<FencingToken>,
    refused: u64,
}

struct Fleet {
    now: Ns,
    terms: CoordinationConfig,
    members: BTreeMap<u32, Coordinator>,
    /// The order of the voters by which each member calls.
    orders: BTreeMap<u32, Vec<u32>>,
    boxes: BTreeMap<u64, Box>,
    way: Vec<(Ns, Letter)>,
    /// From a member to a voter, and back, that are lost.
    cut: BTreeSet<(u32, usize, bool)>,
    /// Probes of these are held up until then.
    held: BTreeMap<u32, Ns>,
    stalled: BTreeSet<u32>,
    rng: Pcg32,
    lossy: f64,
    begun: Vec<(Ns, u16, FencingToken)>,
    kept: Vec<(Ns, RegisterValue)>,
    gated: bool,
}

impl Fleet {
    fn new(members: u32, voters: u32, boxes: u64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            terms: terms(voters),
            members: BTreeMap::new(),
            orders: BTreeMap::new(),
            boxes: (0..boxes).map(|b| (b * 7 + 1, Box::default())).collect(),
            way: Vec::new(),
            cut: BTreeSet::new(),
            held: BTreeMap::new(),
            stalled: BTreeSet::new(),
            rng: Pcg32::seed_from_u64(seed),
            lossy: 0.0,
            begun: Vec::new(),
            kept: Vec::new(),
            gated: true,
        };
        (0..members).for_each(|m| fleet.start(m, 1));
        fleet
    }

    fn start(&mut self, number: u32, life: u64) {
        let chance = self.rng.random();
        let mut office =
            Coordinator::new(Member { number, incarnation: life }, self.terms.clone(), chance, self.now);
        office.update_targets(self.now, &self.boxes.keys().copied().collect());
        self.members.insert(number, office);
        self.orders.insert(number, self.terms.voters.clone());
    }

    fn later(&mut self, letter: Letter) {
        let late = self.rng.random_range(1..15) * MS;
        self.way.push((self.now + late, letter));
    }

    /// What offices want done; after it every one is asked again once its time comes.
    fn carry(&mut self, number: u32) {
        let Some(office) = self.members.get_mut(&number) else { return };
        let me = office.me();
        for act in office.take_actions() {
            match act {
                Action::Call { voter, call_id: number, messages: words } => {
                    let voter = voter as usize;
                    let at = self.orders[&me.number][voter];
                    if !self.cut.contains(&(me.number, voter, true)) && self.rng.random::<f64>() >= self.lossy
                    {
                        self.later(Letter::Call { from: me, at, voter, number, words });
                    }
                }
                Action::VotersChanged(voters) => {
                    self.orders.insert(me.number, voters);
                }
                Action::CheckHealth { target: chore, token } => {
                    self.later(Letter::Probe { by: me, chore, token })
                }
                Action::RoleAcquired(duty, token) => self.begun.push((self.now, duty, token)),
                Action::RegisterStored(_, entry) => self.kept.push((self.now, entry)),
                Action::HealthObservations(_)
                | Action::RoleLost(..)
                | Action::Log(_)
                | Action::Proposal(..)
                | Action::Published(..) => {}
            }
        }
    }

    fn deliver(&mut self, letter: Letter) {
        match letter {
            Letter::Call { from, at, voter, number, words } => {
                if self.stalled.contains(&at) {
                    // It reads on when it is continued.
                    return self
                        .way
                        .push((self.now + 50 * MS, Letter::Call { from, at, voter, number, words }));
                }
                let Some(office) = self.members.get_mut(&at) else { return };
                let said = office.on_request(self.now, from, &words);
                self.carry(at);
                if !self.cut.contains(&(from.number, voter, false)) {
                    self.later(Letter::Back { to: from, voter, number, said });
                }
            }
            Letter::Back { to, voter, number, said } => {
                if self.stalled.contains(&to.number) {
                    return self.way.push((self.now + 50 * MS, Letter::Back { to, voter, number, said }));
                }
                if let Some(office) = self.members.get_mut(&to.number).filter(|o| o.me() == to) {
                    office.on_replies(self.now, voter as u32, number, said);
                    self.carry(to.number);
                }
            }
            Letter::Probe { by, chore, token } => {
                if let Some(until) = self.held.get(&by.number).filter(|u| **u > self.now) {
                    return self.way.push((*until, Letter::Probe { by, chore, token }));
                }
                let Some(one) = self.boxes.get_mut(&chore) else { return };
                let refused = one.gate.admit(token).err().filter(|_| self.gated);
                let state = match refused {
                    Some(old) => {
                        one.refused += 1;
                        Err(old.highest)
                    }
                    None => {
                        one.times.push(self.now);
                        one.passed.push(token);
                        Ok(HealthState::Healthy(Some(0.5)))
                    }
                };
                self.later(Letter::Probed { by, chore, token, state });
            }
            Letter::Probed { by, chore, token, state } => {
                if let Some(office) = self.members.get_mut(&by.number).filter(|o| o.me() == by) {
                    office.on_check_result(self.now, chore, token, state);
                    self.carry(by.number);
                }
            }
        }
    }

    fn run(&mut self, until: Ns) {
        while self.now < until {
            self.now += 5 * MS;
            let due: Vec<usize> = (0..self.way.len()).rev().filter(|n| self.way[*n].0 <= self.now).collect();
            let mut letters: Vec<(Ns, Letter)> = due.into_iter().map(|n| self.way.swap_remove(n)).collect();
            letters.sort_by_key(|(at, _)| *at);
            letters.into_iter().for_each(|(_, letter)| self.deliver(letter));
            let due: Vec<u32> = self
                .members
                .iter()
                .filter(|(n, o)| !self.stalled.contains(n) && o.next_wakeup() <= self.now)
                .map(|(n, _)| *n)
                .collect();
            for number in due {
                if let Some(office) = self.members.get_mut(&number) {
                    office.step(self.now);
                }
                self.carry(number);
            }
        }
    }

    fn owner(&self, duty: u16) -> Option<u32> {
        self.members.iter().find(|(_, o)| o.token(self.now, duty).is_some()).map(|(n, _)| *n)
    }

    /// The longest pause of any box from `from` on, and the most probes within any second.
    fn pauses(&self, from: Ns) -> (Ns, usize) {
        let (mut longest, mut most) = (0, 0);
        for one in self.boxes.values() {
            let times: Vec<Ns> = one.times.iter().copied().filter(|t| *t >= from).collect();
            let ends = times.iter().copied().chain([self.now]);
            let begins = std::iter::once(from).chain(times.iter().copied());
            longest = longest.max(begins.zip(ends).map(|(a, b)| b - a).max().unwrap_or(0));
            for (n, at) in times.iter().enumerate() {
                most = most.max(times[n..].iter().take_while(|t| **t < at + SEC).count());
            }
        }
        (longest, most)
    }

    /// Tokens in the order in which they were let through never go back, and a token has one owner.
    fn in_order(&self) -> Result<(), String> {
        for (chore, one) in &self.boxes {
            let mut highest = FencingToken::default();
            for token in &one.passed {
                if token.term < highest.term || token.term == highest.term && token.holder != highest.holder {
                    return Err(format!("box {chore}: {token:?} after {highest:?}"));
                }
                highest = *token;
            }
        }
        Ok(())
    }
}

#[test]
fn each_box_is_probed_at_a_steady_rate_by_one_member() {
    let mut f = Fleet::new(6, 3, 24, 1);
    f.run(20 * SEC);
    let (longest, most) = f.pauses(4 * SEC);
    assert!(longest <= 1_200 * MS && most <= 2, "{longest} {most}");
    let probes: usize = f.boxes.values().map(|b| b.times.iter().filter(|t| **t >= 4 * SEC).count()).sum();
    assert!((24 * 15..=24 * 17).contains(&probes), "{probes}");
    let by: BTreeSet<u32> = f.boxes.values().flat_map(|b| b.passed.iter().map(|t| t.holder.number)).collect();
    assert!(by.len() >= 5, "{by:?}");
    assert_eq!(f.boxes.values().map(|b| b.refused).sum::<u64>(), 0);
}

#[test]
fn shares_of_the_dead_pass_on_within_seconds_and_come_back_without_a_burst() {
    for seed in 0..20 {
        let mut f = Fleet::new(6, 3, 24, seed);
        f.run(6 * SEC);
        // The dealer and one more.
        let dealer = f.owner(ASSIGNMENT_ROLE).expect("a dealer");
        let other = (dealer + 3) % 6;
        f.members.remove(&dealer);
        f.members.remove(&other);
        f.run(16 * SEC);
        f.start(dealer, 2);
        f.start(other, 2);
        f.run(26 * SEC);
        let (longest, most) = f.pauses(4 * SEC);
        assert!(longest <= 5 * SEC, "seed {seed}: {longest}");
        assert!(most <= 2, "seed {seed}: {most} in a second");
        f.in_order().unwrap();
        let last = |number: u32| {
            f.boxes.values().any(|b| b.passed.last().is_some_and(|t| t.holder.number == number))
        };
        assert!(last(dealer) || last(other), "seed {seed}: the returned have chores again");
    }
}

#[test]
fn a_member_that_stalls_does_nothing_by_its_old_deal() {
    let mut refused = 0;
    for seed in 0..20 {
        let mut f = Fleet::new(6, 3, 24, seed);
        f.run(6 * SEC);
        let one = 3 + (seed % 3) as u32;
        // What it has sent already comes late, past the deal that gave its share away.
        f.held.insert(one, 12 * SEC);
        f.run(7_500 * MS);
        f.stalled.insert(one);
        f.run(12 * SEC);
        f.stalled.remove(&one);
        f.run(18 * SEC);
        f.in_order().unwrap();
        refused += f.boxes.values().map(|b| b.refused).sum::<u64>();
        let (longest, _) = f.pauses(4 * SEC);
        assert!(longest <= 5 * SEC, "seed {seed}: {longest}");
    }
    assert!(refused > 0, "no old effect came at all: the case shows nothing");
}

#[test]
fn without_gates_the_late_effects_of_old_owners_would_be_taken() {
    let disorder = (0..20).any(|seed| {
        let mut f = Fleet::new(6, 3, 24, seed);
        f.gated = false;
        f.run(6 * SEC);
        f.held.insert(4, 12 * SEC);
        f.run(7_500 * MS);
        f.stalled.insert(4);
        f.run(18 * SEC);
        f.in_order().is_err()
    });
    assert!(disorder);
}

#[test]
fn a_minority_of_the_voters_keeps_nobody_at_its_chores() {
    for seed in 0..20 {
        let mut f = Fleet::new(9, 5, 24, seed);
        f.run(6 * SEC);
        // Two voters, the dealer among them, and members 7 and 8 see one another alone.
        let dealer = f.owner(ASSIGNMENT_ROLE).expect("a dealer");
        let few: BTreeSet<u32> = [dealer, (dealer + 1) % 5, 7, 8].into();
        for m in 0..9 {
            for v in (0..5u32).filter(|v| few.contains(v) != few.contains(&m)) {
                f.cut.insert((m, v as usize, true));
                f.cut.insert((m, v as usize, false));
            }
        }
        f.run(14 * SEC);
        let now_deals = f.owner(ASSIGNMENT_ROLE).expect("the majority has a dealer");
        assert!(!few.contains(&now_deals), "seed {seed}");
        // Whoever is cut off has stopped; nothing of it was even refused, as it stopped before its shares moved.
        for one in f.boxes.values() {
            let late = one
                .passed
                .iter()
                .zip(&one.times)
                .filter(|(t, at)| **at > 9 * SEC && few.contains(&t.holder.number));
            assert_eq!(late.count(), 0, "seed {seed}");
        }
        f.cut.clear();
        f.run(20 * SEC);
        f.in_order().unwrap();
        let (longest, most) = f.pauses(4 * SEC);
        assert!(longest <= 5 * SEC && most <= 2, "seed {seed}: {longest} {most}");
        let back = f.boxes.values().flat_map(|b| b.passed.last()).any(|t| few.contains(&t.holder.number));
        assert!(back, "seed {seed}: the others have chores again");
    }
}

#[test]
fn with_no_majority_duties_rest_and_come_back() {
    let mut f = Fleet::new(8, 5, 16, 3);
    f.run(6 * SEC);
    (0..3).for_each(|v| {
        f.members.remove(&v);
    });
    f.run(12 * SEC);
    let at = f.now;
    assert_eq!(f.owner(ASSIGNMENT_ROLE), None);
    f.run(15 * SEC);
    assert!(f.boxes.values().all(|b| b.times.last().is_some_and(|t| *t < at)), "they rest");
    (0..3).for_each(|v| f.start(v, 2));
    f.run(22 * SEC);
    f.in_order().unwrap();
    assert!(f.boxes.values().all(|b| b.times.last().is_some_and(|t| *t > 21 * SEC)));
}

#[test]
fn all_voters_that_forgot_are_overruled_by_the_boxes() {
    let mut f = Fleet::new(6, 3, 12, 5);
    f.run(6 * SEC);
    // Terms grow first.
    for _ in 0..3 {
        let dealer = f.owner(ASSIGNMENT_ROLE).expect("a dealer");
        f.stalled.insert(dealer);
        f.run(f.now + 3 * SEC);
        f.stalled.clear();
        f.run(f.now + 2 * SEC);
    }
    let before = f
        .boxes
        .values()
        .filter_map(|b| b.passed.last())
        .map(|t| AssignmentVersion::from_token(*t).term)
        .max();
    assert!(before >= Some(3));
    // Every process begins anew: nobody but the boxes knows of the terms.
    (0..6).for_each(|m| f.start(m, 2));
    let from = f.now;
    f.run(from + 15 * SEC);
    f.in_order().unwrap();
    assert!(f.boxes.values().all(|b| b.refused > 0 || b.times.last().is_some_and(|t| *t > from + 3 * SEC)));
    for one in f.boxes.values() {
        let last = one.passed.last().expect("probed");
        assert!(AssignmentVersion::from_token(*last).term > before.unwrap_or(0), "past what the boxes knew");
        assert!(one.times.last().is_some_and(|t| *t > f.now - 2 * SEC));
    }
}

#[test]
fn a_clock_set_back_before_a_restart_keeps_nobody_out() {
    let mut f = Fleet::new(6, 3, 24, 7);
    (0..6).for_each(|m| f.start(m, 1_000_000));
    f.run(6 * SEC);
    f.members.remove(&4);
    f.run(9 * SEC);
    // Its life is counted from an hour before.
    f.start(4, 900_000);
    f.run(16 * SEC);
    let office = &f.members[&4];
    assert!(office.me().incarnation > 1_000_000 && !office.is_displaced());
    assert!(f.boxes.values().any(|b| b.passed.last().is_some_and(|t| t.holder.number == 4)));
}

#[test]
fn a_name_that_returns_elsewhere_displaces_the_one_that_wakes() {
    let mut f = Fleet::new(6, 3, 24, 8);
    f.run(6 * SEC);
    let old = f.members.remove(&5).expect("there");
    f.start(5, 2);
    f.run(10 * SEC);
    let new = f.members.insert(5, old).expect("there");
    // The stalled one goes on, and is told.
    f.run(11 * SEC);
    assert!(f.members[&5].is_displaced());
    let probes: Vec<usize> = f.boxes.values().map(|b| b.passed.len()).collect();
    f.members.insert(5, new);
    f.run(14 * SEC);
    assert!(f.boxes.values().zip(probes).any(|(b, n)| b.passed.len() > n));
    f.in_order().unwrap();
}

#[test]
fn a_planned_end_hands_over_before_the_lease_ends() {
    for seed in 0..20 {
        let mut f = Fleet::new(6, 3, 24, seed);
        f.run(6 * SEC);
        let dealer = f.owner(ASSIGNMENT_ROLE).expect("a dealer");
        let now = f.now;
        if let Some(office) = f.members.get_mut(&dealer) {
            office.leave(now);
        }
        f.carry(dealer);
        f.run(now + 300 * MS);
        f.members.remove(&dealer);
        f.run(now + 600 * MS);
        assert!(f.owner(ASSIGNMENT_ROLE).is_some_and(|o| o != dealer), "seed {seed}");
        f.run(now + 6 * SEC);
        // Its chores did not wait until it was taken for dead.
        let (longest, most) = f.pauses(now - 2 * SEC);
        assert!(longest <= 2 * SEC && most <= 2, "seed {seed}: {longest} {most}");
    }
}

#[test]
fn a_hand_over_by_hand_goes_through_the_lease() {
    let mut f = Fleet::new(6, 3, 6, 2);
    f.run(6 * SEC);
    let owner = f.owner(DRIVING).expect("an owner");
    let (to, now) = ((owner + 1) % 3, f.now);
    let by = Member { number: u32::MAX, incarnation: 0 };
    // One that does not own it says so.
    let other = f.members.get_mut(&to).map(|o| o.on_request(now, by, &[Message::HandOver(DRIVING, None)]));
    assert_eq!(other, Some(vec![Reply::HandOverStarted(DRIVING, false)]));
    let said =
        f.members.get_mut(&owner).map(|o| o.on_request(now, by, &[Message::HandOver(DRIVING, Some(to))]));
    assert_eq!(said, Some(vec![Reply::HandOverStarted(DRIVING, true)]));
    f.carry(owner);
    f.run(now + SEC);
    assert_eq!(f.owner(DRIVING), Some(to));
    let terms: Vec<u64> = f.begun.iter().filter(|b| b.1 == DRIVING).map(|b| b.2.term).collect();
    assert!(terms.windows(2).all(|w| w[0] < w[1]), "{terms:?}");
}

/// Owners of a duty write a register one after another; what one surely kept, the next one finds.
#[test]
fn what_a_register_surely_kept_is_found_by_every_later_owner() {
    for seed in 0..40 {
        let mut f = Fleet::new(5, 5, 0, seed);
        let mut next = 0u64;
        let mut life = 1;
        let mut acked: Vec<u64> = Vec::new();
        let mut read = 0;
        for _ in 0..12 {
            f.run(f.now + SEC);
            let kept = std::mem::take(&mut f.kept);
            for (_, entry) in kept {
                let value = entry.bytes.first().map_or(0, |b| u64::from(*b));
                let newest = acked.last().copied().unwrap_or(0);
                assert!(value >= newest, "seed {seed}: {value} after {newest}");
                acked.push(value);
                read += 1;
            }
            let now = f.now;
            if let Some(owner) = f.owner(DRIVING) {
                next += 1;
                if let Some(office) = f.members.get_mut(&owner) {
                    office.write_register(now, DRIVING, vec![next as u8]);
                }
                f.carry(owner);
            }
            f.lossy = if f.rng.random::<f64>() < 0.5 { 0.2 } else { 0.0 };
            match f.rng.random_range(0..4) {
                0 => {
                    if let Some(owner) = f.owner(DRIVING) {
                        f.stalled.insert(owner);
                    }
                }
                1 => f.stalled.clear(),
                2 => {
                    // One voter forgets all.
                    let v = f.rng.random_range(0..5);
                    life += 1;
                    f.stalled.remove(&v);
                    f.start(v, life);
                }
                _ => {}
            }
        }
        assert!(read > 2, "seed {seed}: {read}");
    }
}

#[test]
fn words_survive_their_way_and_odd_ones_do_no_harm() {
    let request = Request {
        from: Member { number: 3, incarnation: 9 },
        messages: vec![
            Message::Heartbeat(AssignmentVersion { term: 2, number: 1 }),
            Message::ReportNewerTerm(77, u64::MAX),
            Message::FetchHealth(u64::MAX),
            Message::WriteRegister(9, RegisterValue::default()),
            Message::ReadRegister(DRIVING, FencingToken::default()),
            Message::HandOver(300, Some(8)),
        ],
    };
    let mut office = Coordinator::new(Member { number: 0, incarnation: 1 }, terms(1), 5, 0);
    office.step(2 * SEC);
    let said = office.on_request(2 * SEC, request.from, &request.messages);
    assert!(said.contains(&Reply::HandOverStarted(300, false)));
    assert!(
        said.iter().any(|a| matches!(a, Reply::StaleToken(DRIVING, _))),
        "a token of no term passes no gate: {said:?}"
    );
    // Odd tokens do not overflow.
    let far = AssignmentVersion { term: u64::MAX, number: u64::MAX };
    assert!(AssignmentVersion::from_token(far.token(request.from)).term > 0);
}

impl Fleet {
    /// All members take other voters, one after another.
    fn settle(&mut self, voters: &[u32]) {
        self.terms = CoordinationConfig { voters: voters.to_vec(), ..self.terms.clone() };
        let (now, terms) = (self.now, self.terms.clone());
        let members: Vec<u32> = self.members.keys().copied().collect();
        for m in members {
            if let Some(office) = self.members.get_mut(&m) {
                office.reconfigure(now, terms.clone()).expect("one voter");
            }
            self.carry(m);
        }
    }
}

#[test]
fn voters_change_one_at_a_time_also_the_owner_and_nothing_that_was_kept_is_lost() {
    for seed in 0..20 {
        let mut f = Fleet::new(8, 3, 16, seed);
        f.run(6 * SEC);
        let driver = f.owner(DRIVING).expect("an owner");
        let now = f.now;
        f.members.get_mut(&driver).expect("there").write_register(now, DRIVING, vec![7]);
        f.carry(driver);
        f.run(now + SEC);
        let dealer = f.owner(ASSIGNMENT_ROLE).expect("a dealer");
        f.settle(&[0, 1, 2, 5]);
        f.run(f.now + 2 * SEC);
        assert_eq!(f.owner(ASSIGNMENT_ROLE), Some(dealer), "seed {seed}: a lease that is held goes on");
        f.settle(&[0, 1, 2, 5, 6]);
        f.run(f.now + 2 * SEC);
        // The owner of dealing votes no more.
        let left: Vec<u32> = [0, 1, 2, 5, 6].into_iter().filter(|v| *v != dealer).collect();
        f.settle(&left);
        f.run(f.now + 2 * SEC);
        let next = f.owner(ASSIGNMENT_ROLE).expect("another");
        assert!(next != dealer && left.contains(&next), "seed {seed}");
        // The others of the first three go as well, one by one; those that joined kept what was written.
        let mut voters = left;
        for gone in (0..3).filter(|v| *v != dealer) {
            voters.retain(|v| *v != gone);
            f.settle(&voters);
            f.run(f.now + 3 * SEC);
        }
        assert_eq!(voters, [5, 6]);
        f.kept.clear();
        let driver = f.owner(DRIVING).expect("an owner");
        assert!(voters.contains(&driver));
        f.stalled.insert(driver);
        f.run(f.now + 3 * SEC);
        f.stalled.clear();
        f.run(f.now + 3 * SEC);
        assert!(f.kept.iter().any(|(_, e)| e.bytes == [7]), "seed {seed}: {:?}", f.kept);
        f.in_order().unwrap();
        let (longest, most) = f.pauses(4 * SEC);
        assert!(longest <= 5 * SEC && most <= 2, "seed {seed}: {longest} {most}");
    }
}

#[test]
fn two_voters_at_once_or_another_lease_are_refused() {
    let mut office = Coordinator::new(Member { number: 0, incarnation: 1 }, terms(3), 5, 0);
    let two = CoordinationConfig { voters: vec![0, 3, 4], ..terms(3) };
    assert_eq!(office.reconfigure(1, two), Err(ReconfigureError::TooManyChanges { joined: 2, left: 2 }));
    let replaced = CoordinationConfig { voters: vec![0, 1, 4], ..terms(3) };
    assert_eq!(office.reconfigure(1, replaced), Err(ReconfigureError::TooManyChanges { joined: 1, left: 1 }));
    let longer = CoordinationConfig { lease_duration: 9 * SEC, ..terms(3) };
    assert_eq!(office.reconfigure(1, longer), Err(ReconfigureError::RestartRequired));
    assert_eq!(office.reconfigure(1, terms(3)), Ok(()));
}
