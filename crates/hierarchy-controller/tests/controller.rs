//! The controller under changes of the holder: the former holder fails, or is delayed and resumes, before each of its
//! actions.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingGuard, FencingToken, Member, Ns};
use sablecross_hierarchy::{OfferOutcome, VersionHolder};
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController, ProposalError, decode_spec};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// Returns the settings of an origin, two upper parents, two or three parents below them, and a cache. The shape
/// decides which upper parents each parent fills from, and whether there is a third parent.
fn settings(shape: usize) -> String {
    let (a, b) = [("\"u1\"", "\"u2\""), ("\"u2\"", "\"u1\""), ("\"u1\" \"u2\"", "\"u2\"")][shape % 3];
    let third = shape >= 3;
    let mut text = format!(
        "(hierarchy (version . 1) (ceiling . 400) (hold-ms . 100) (settle-ms . 50) (give-up-ms . 60000) (warm-after-ms . 500))
(node (name . \"origin\") (tier . 0) (capacity . 400))
(node (name . \"u1\") (tier . 1) (sources \"origin\") (capacity . 200))
(node (name . \"u2\") (tier . 1) (sources \"origin\") (capacity . 200))
(node (name . \"p1\") (tier . 2) (sources {a}) (capacity . 200))
(node (name . \"p2\") (tier . 2) (sources {b}) (capacity . 200))\n"
    );
    if third {
        text += "(node (name . \"p3\") (tier . 2) (sources \"u1\") (capacity . 200))\n";
    }
    let parents = if third { "\"p1\" \"p2\" \"p3\"" } else { "\"p1\" \"p2\"" };
    text + &format!(
        "(node (name . \"c1\") (tier . 3) (sources {parents}) (capacity . 200) (demand . 40) (hit . 0.5))\n"
    )
}

/// The register of the voters, the members, and all controllers that have ever held the role.
struct Fleet {
    now: Ns,
    register_guard: FencingGuard,
    register: RegisterValue,
    message_guard: FencingGuard,
    members: Vec<(Member, VersionHolder)>,
    controllers: Vec<HierarchyController>,
    term: u64,
    executed_actions: usize,
    log_lines: Vec<String>,
    /// The largest difference between the numbers of two successive versions that a member applied.
    max_gap: u64,
    rejected_actions: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let members =
            (0..4).map(|number| (Member { number, incarnation: 1 }, VersionHolder::new())).collect();
        let mut fleet = Fleet {
            now: 0,
            register_guard: FencingGuard::default(),
            register: RegisterValue::default(),
            message_guard: FencingGuard::default(),
            members,
            controllers: Vec::new(),
            term: 0,
            executed_actions: 0,
            log_lines: Vec::new(),
            max_gap: 0,
            rejected_actions: 0,
        };
        fleet.change_holder();
        fleet
    }

    /// Another member acquires the role. The controllers of former holders still exist, and are delayed.
    fn change_holder(&mut self) {
        self.term += 1;
        let token = FencingToken {
            term: self.term,
            holder: Member { number: (self.term % 4) as u32, incarnation: 1 },
        };
        let mut next = HierarchyController::new(token, 10 * SEC);
        let alive: Vec<Member> = self.members.iter().map(|m| m.0).collect();
        next.update_members(self.now, &alive);
        self.register_guard.admit(token).expect("a newer term");
        self.register.token = token;
        next.on_persisted(self.now, &self.register.clone());
        self.controllers.push(next);
    }

    /// Carries out an action of the current or of a former holder.
    fn execute_action(&mut self, by: usize, action: ControllerAction) {
        let token = self.controllers[by].token();
        match action {
            ControllerAction::Persist(bytes) => {
                if self.register_guard.admit(token).is_err() {
                    self.rejected_actions += 1;
                    return;
                }
                self.register = RegisterValue { sequence: self.register.sequence + 1, token, bytes };
                let stored = self.register.clone();
                self.controllers[by].on_persisted(self.now, &stored);
            }
            ControllerAction::Publish { number, bytes } => {
                if self.message_guard.admit(token).is_err() {
                    self.rejected_actions += 1;
                    return;
                }
                let (n, version) =
                    decode_spec(&bytes).expect("a version").to_hierarchy(None).expect("a version");
                assert_eq!(n, number);
                for (_, holder) in &mut self.members {
                    let before = holder.number();
                    let outcome = holder.offer(number, &version);
                    assert_ne!(
                        outcome,
                        OfferOutcome::Conflicting,
                        "two different versions with the same number"
                    );
                    assert!(holder.number() >= before);
                    if outcome == OfferOutcome::Accepted && before > 0 {
                        self.max_gap = self.max_gap.max(number - before);
                    }
                }
            }
            ControllerAction::Log(line) => self.log_lines.push(line),
        }
    }

    /// Runs the current holder for `time`. Before action number `limit`, counted from 0, the holder is replaced, and
    /// the former holder then carries out its remaining actions late. Returns whether the holder was replaced.
    fn run(&mut self, time: Ns, limit: usize) -> bool {
        let until = self.now + time;
        while self.now < until {
            self.now += 10 * MS;
            let by = self.controllers.len() - 1;
            let reports: Vec<_> = self
                .members
                .iter()
                .map(|(m, h)| {
                    (*m, h.number(), h.version().map_or(0, sablecross_hierarchy::Hierarchy::digest))
                })
                .collect();
            for (m, number, digest) in reports {
                self.controllers[by].on_version_applied(self.now, m, number, digest);
            }
            let now = self.now;
            self.controllers[by].tick(now);
            loop {
                let actions = self.controllers[by].take_actions();
                if actions.is_empty() {
                    break;
                }
                let mut actions = actions.into_iter();
                while let Some(action) = actions.next() {
                    if self.executed_actions == limit {
                        // The former holder carries out these actions when it resumes.
                        let late_actions: Vec<ControllerAction> =
                            std::iter::once(action).chain(actions).collect();
                        self.change_holder();
                        for action in late_actions {
                            self.execute_action(by, action);
                        }
                        return true;
                    }
                    self.executed_actions += 1;
                    self.execute_action(by, action);
                }
            }
        }
        false
    }

    fn propose(&mut self, shape: usize) -> Result<(), ProposalError> {
        let (by, now) = (self.controllers.len() - 1, self.now);
        self.controllers[by].propose(now, settings(shape).as_bytes())
    }

    fn is_settled(&self) -> bool {
        let rollout = self.controllers.last().and_then(HierarchyController::rollout).expect("a rollout");
        rollout.progress().is_none()
            && rollout.missing_participants().is_empty()
            && self.members.iter().all(|(_, h)| h.number() == rollout.published().number)
    }
}

/// Replaces the holder before each of its actions in turn. The former holder then carries out late that action and
/// those that it had taken together with it.
#[test]
fn change_completes_when_the_holder_is_replaced_before_any_action() {
    let (mut cases, mut rejected_actions) = (0, 0);
    for shape in 1..6 {
        for at in 0..200 {
            let mut fleet = Fleet::new();
            fleet.propose(0).expect("the first version");
            fleet.run(3 * SEC, usize::MAX);
            assert!(fleet.is_settled());
            fleet.executed_actions = 0;
            fleet.propose(shape).expect("a change");
            let is_replaced = fleet.run(60 * SEC, at);
            if is_replaced {
                fleet.run(60 * SEC, usize::MAX);
            }
            assert!(
                fleet.is_settled(),
                "shape {shape}, before action {at}: {:?}",
                fleet.controllers.last().map(HierarchyController::status)
            );
            // A change whose record was not stored before the replacement never started, and would have to be
            // proposed again.
            assert_eq!(fleet.max_gap, u64::from(at > 0), "shape {shape}, before action {at}");
            rejected_actions += fleet.rejected_actions;
            cases += 1;
            if !is_replaced {
                break;
            }
        }
    }
    assert!(cases > 40 && rejected_actions > 10, "{cases} {rejected_actions}");
}

#[test]
fn change_completes_when_the_holder_is_replaced_repeatedly() {
    for seed in 0..60 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        fleet.propose(0).expect("the first version");
        fleet.run(3 * SEC, usize::MAX);
        for _ in 0..6 {
            // A proposal during another change may be rejected.
            let _ = fleet.propose(rng.random_range(0..6));
            fleet.executed_actions = 0;
            let limit = rng.random_range(0..12);
            fleet.run(rng.random_range(1..4) * SEC, limit);
            if rng.random::<f64>() < 0.3 {
                let n = rng.random_range(0..4);
                // A restarted member applies no version.
                fleet.members[n] = (
                    Member { number: n as u32, incarnation: fleet.members[n].0.incarnation + 1 },
                    VersionHolder::new(),
                );
                let alive: Vec<Member> = fleet.members.iter().map(|m| m.0).collect();
                let (by, now) = (fleet.controllers.len() - 1, fleet.now);
                fleet.controllers[by].update_members(now, &alive);
            }
        }
        fleet.executed_actions = 0;
        fleet.run(120 * SEC, usize::MAX);
        let status = fleet.controllers.last().map(HierarchyController::status);
        let rollout = fleet.controllers.last().and_then(HierarchyController::rollout).expect("a rollout");
        assert!(rollout.progress().is_none(), "seed {seed}: {status:?}");
    }
}

#[test]
fn rollout_waits_for_a_missing_member_until_it_is_considered_gone() {
    let mut fleet = Fleet::new();
    fleet.propose(0).expect("the first version");
    fleet.run(3 * SEC, usize::MAX);
    let missing_member = fleet.members.pop().expect("a member");
    let alive: Vec<Member> = fleet.members.iter().map(|m| m.0).collect();
    fleet.controllers[0].update_members(fleet.now, &alive);
    fleet.propose(1).expect("a change");
    fleet.run(5 * SEC, usize::MAX);
    assert!(!fleet.is_settled(), "the change waits for the missing member");
    for _ in 0..40 {
        fleet.controllers[0].update_members(fleet.now, &alive);
        fleet.run(SEC, usize::MAX);
    }
    assert!(fleet.is_settled(), "{}", fleet.controllers[0].status());
    // A late report of the missing member changes nothing.
    fleet.controllers[0].on_version_applied(fleet.now, missing_member.0, 1, 1);
    assert!(fleet.is_settled());
}

#[test]
fn invalid_proposals_and_registers_are_rejected() {
    let mut fleet = Fleet::new();
    let message = fleet.controllers[0]
        .propose(0, b"(hierarchy (version . 1)")
        .expect_err("truncated settings")
        .to_string();
    assert!(message.contains("never closed"), "{message}");
    assert!(fleet.controllers[0].status().contains("last refused"));
    assert!(matches!(fleet.controllers[0].propose(0, &[0xff, 0xfe]), Err(ProposalError::NotUtf8(_))));
    fleet.propose(0).expect("the first version");
    fleet.run(3 * SEC, usize::MAX);
    assert!(matches!(fleet.propose(0), Err(ProposalError::Rollout(_))), "the version is already committed");
    // A register that has another format or is truncated keeps its content.
    for bytes in [vec![9, 9, 9], fleet.register.bytes[..fleet.register.bytes.len() / 2].to_vec(), vec![1]] {
        let token = FencingToken { term: 9, holder: Member { number: 1, incarnation: 1 } };
        let mut next = HierarchyController::new(token, SEC);
        next.on_persisted(0, &RegisterValue { sequence: 5, token, bytes });
        let actions = next.take_actions();
        assert!(
            matches!(&actions[..], [ControllerAction::Log(line)] if line.contains("unreadable")),
            "{actions:?}"
        );
        assert!(next.propose(0, settings(1).as_bytes()).is_err());
    }
}
