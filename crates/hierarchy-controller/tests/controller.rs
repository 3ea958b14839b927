//! The driver whose owner ends, or stalls and wakes, at each of its steps.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingGuard, FencingToken, Member, Ns};
use sablecross_hierarchy::{OfferOutcome, VersionHolder};
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController, ProposalError, decode_spec};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// An origin, two uppers, parents and a cache; `shape` says which uppers each parent has and whether there is a third parent.
fn text(shape: usize) -> String {
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

/// The register and the members as the voters and directors keep them.
struct World {
    now: Ns,
    gate: FencingGuard,
    entry: RegisterValue,
    board: FencingGuard,
    members: Vec<(Member, VersionHolder)>,
    owners: Vec<HierarchyController>,
    term: u64,
    orders: usize,
    done: Vec<String>,
    /// The most numbers that members were apart.
    apart: u64,
    refused: usize,
}

impl World {
    fn new() -> World {
        let members =
            (0..4).map(|number| (Member { number, incarnation: 1 }, VersionHolder::new())).collect();
        let mut w = World {
            now: 0,
            gate: FencingGuard::default(),
            entry: RegisterValue::default(),
            board: FencingGuard::default(),
            members,
            owners: Vec::new(),
            term: 0,
            orders: 0,
            done: Vec::new(),
            apart: 0,
            refused: 0,
        };
        w.owner();
        w
    }

    /// Another one owns the duty from here on; those before are there still, stalled.
    fn owner(&mut self) {
        self.term += 1;
        let token = FencingToken {
            term: self.term,
            holder: Member { number: (self.term % 4) as u32, incarnation: 1 },
        };
        let mut next = HierarchyController::new(token, 10 * SEC);
        let alive: Vec<Member> = self.members.iter().map(|m| m.0).collect();
        next.update_members(self.now, &alive);
        self.gate.admit(token).expect("a newer term");
        self.entry.token = token;
        next.on_persisted(self.now, &self.entry.clone());
        self.owners.push(next);
    }

    /// Carries one order of an owner out, the newest one's or an old one's.
    fn order(&mut self, by: usize, order: ControllerAction) {
        let token = self.owners[by].token();
        match order {
            ControllerAction::Persist(bytes) => {
                if self.gate.admit(token).is_err() {
                    self.refused += 1;
                    return;
                }
                self.entry = RegisterValue { sequence: self.entry.sequence + 1, token, bytes };
                let entry = self.entry.clone();
                self.owners[by].on_persisted(self.now, &entry);
            }
            ControllerAction::Publish { number, bytes } => {
                if self.board.admit(token).is_err() {
                    self.refused += 1;
                    return;
                }
                let (n, version) =
                    decode_spec(&bytes).expect("a version").to_hierarchy(None).expect("a version");
                assert_eq!(n, number);
                for (_, holder) in &mut self.members {
                    let before = holder.number();
                    let taken = holder.offer(number, &version);
                    assert_ne!(taken, OfferOutcome::Conflicting, "one number, two versions");
                    assert!(holder.number() >= before);
                    if taken == OfferOutcome::Accepted && before > 0 {
                        self.apart = self.apart.max(number - before);
                    }
                }
            }
            ControllerAction::Log(line) => self.done.push(line),
        }
    }

    /// Lets the newest owner go on for a while; ends after so many orders, if that many come.
    fn run(&mut self, time: Ns, most: usize) -> bool {
        let until = self.now + time;
        while self.now < until {
            self.now += 10 * MS;
            let by = self.owners.len() - 1;
            let said: Vec<_> = self
                .members
                .iter()
                .map(|(m, h)| {
                    (*m, h.number(), h.version().map_or(0, sablecross_hierarchy::Hierarchy::digest))
                })
                .collect();
            for (m, number, digest) in said {
                self.owners[by].on_version_applied(self.now, m, number, digest);
            }
            let now = self.now;
            self.owners[by].tick(now);
            loop {
                let orders = self.owners[by].take_actions();
                if orders.is_empty() {
                    break;
                }
                let mut orders = orders.into_iter();
                while let Some(order) = orders.next() {
                    if self.orders == most {
                        // What it would have done next it does when it wakes.
                        let late: Vec<ControllerAction> = std::iter::once(order).chain(orders).collect();
                        self.owner();
                        for order in late {
                            self.order(by, order);
                        }
                        return true;
                    }
                    self.orders += 1;
                    self.order(by, order);
                }
            }
        }
        false
    }

    fn wish(&mut self, shape: usize) -> Result<(), ProposalError> {
        let (by, now) = (self.owners.len() - 1, self.now);
        self.owners[by].propose(now, text(shape).as_bytes())
    }

    fn ended(&self) -> bool {
        let newest = self.owners.last().and_then(HierarchyController::rollout).expect("a driver");
        newest.progress().is_none()
            && newest.missing_participants().is_empty()
            && self.members.iter().all(|(_, h)| h.number() == newest.published().number)
    }
}

/// The owner ends, or stalls and wakes with what it was about to do, before each of its orders in turn.
#[test]
fn an_owner_that_is_lost_at_any_step_harms_nothing_and_the_change_ends() {
    let (mut cases, mut refused) = (0, 0);
    for shape in 1..6 {
        for at in 0..200 {
            let mut w = World::new();
            w.wish(0).expect("the first version");
            w.run(3 * SEC, usize::MAX);
            assert!(w.ended());
            w.orders = 0;
            w.wish(shape).expect("a change");
            let struck = w.run(60 * SEC, at);
            if struck {
                w.run(60 * SEC, usize::MAX);
            }
            assert!(
                w.ended(),
                "shape {shape}, before order {at}: {:?}",
                w.owners.last().map(HierarchyController::status)
            );
            // What was lost before it was kept never began: whoever asked is told nothing of it, and asks again.
            assert_eq!(w.apart, u64::from(at > 0), "shape {shape}, before order {at}");
            refused += w.refused;
            cases += 1;
            if !struck {
                break;
            }
        }
    }
    assert!(cases > 40 && refused > 10, "{cases} {refused}");
}

#[test]
fn owners_that_are_lost_again_and_again_harm_nothing() {
    for seed in 0..60 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut w = World::new();
        w.wish(0).expect("the first version");
        w.run(3 * SEC, usize::MAX);
        for _ in 0..6 {
            // A wish while another runs may be declined.
            let _ = w.wish(rng.random_range(0..6));
            w.orders = 0;
            let most = rng.random_range(0..12);
            w.run(rng.random_range(1..4) * SEC, most);
            if rng.random::<f64>() < 0.3 {
                let n = rng.random_range(0..4);
                // Begun anew: it has nothing in force.
                w.members[n] = (
                    Member { number: n as u32, incarnation: w.members[n].0.incarnation + 1 },
                    VersionHolder::new(),
                );
                let alive: Vec<Member> = w.members.iter().map(|m| m.0).collect();
                let (by, now) = (w.owners.len() - 1, w.now);
                w.owners[by].update_members(now, &alive);
            }
        }
        w.orders = 0;
        w.run(120 * SEC, usize::MAX);
        let published = w.owners.last().map(HierarchyController::status);
        let newest = w.owners.last().and_then(HierarchyController::rollout).expect("a driver");
        assert!(newest.progress().is_none(), "seed {seed}: {published:?}");
    }
}

#[test]
fn a_member_that_is_missing_is_waited_for_until_it_is_taken_for_gone() {
    let mut w = World::new();
    w.wish(0).expect("the first version");
    w.run(3 * SEC, usize::MAX);
    let lost = w.members.pop().expect("four");
    let alive: Vec<Member> = w.members.iter().map(|m| m.0).collect();
    w.owners[0].update_members(w.now, &alive);
    w.wish(1).expect("a change");
    w.run(5 * SEC, usize::MAX);
    assert!(!w.ended(), "it waits for the one that is missing");
    for _ in 0..40 {
        w.owners[0].update_members(w.now, &alive);
        w.run(SEC, usize::MAX);
    }
    assert!(w.ended(), "{}", w.owners[0].status());
    // A late word of it changes nothing.
    w.owners[0].on_version_applied(w.now, lost.0, 1, 1);
    assert!(w.ended());
}

#[test]
fn odd_wishes_and_registers_are_declined_by_word() {
    let mut w = World::new();
    let said = w.owners[0].propose(0, b"(hierarchy (version . 1)").expect_err("cut short").to_string();
    assert!(said.contains("never closed"), "{said}");
    assert!(w.owners[0].status().contains("last refused"));
    assert!(matches!(w.owners[0].propose(0, &[0xff, 0xfe]), Err(ProposalError::NotUtf8(_))));
    w.wish(0).expect("a first one");
    w.run(3 * SEC, usize::MAX);
    assert!(matches!(w.wish(0), Err(ProposalError::Rollout(_))), "it is in force already");
    // A register that holds another form, or half of one, is left alone.
    for bytes in [vec![9, 9, 9], w.entry.bytes[..w.entry.bytes.len() / 2].to_vec(), vec![1]] {
        let token = FencingToken { term: 9, holder: Member { number: 1, incarnation: 1 } };
        let mut next = HierarchyController::new(token, SEC);
        next.on_persisted(0, &RegisterValue { sequence: 5, token, bytes });
        let orders = next.take_actions();
        assert!(
            matches!(&orders[..], [ControllerAction::Log(line)] if line.contains("unreadable")),
            "{orders:?}"
        );
        assert!(next.propose(0, text(1).as_bytes()).is_err());
    }
}
