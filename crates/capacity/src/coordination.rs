//! What coordination costs members and voters, without sockets: coordinators in one simulated time, each message encoded
//! and decoded as between processes, and the time of each party's own code counted apart.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use sablecross::mix;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, Assignment, HealthState, Reply, Request};
use sablecross_coordination::{Action, CoordinationConfig, Coordinator, Member, Ns, RendezvousShares};

use crate::cost::{Cost, MeasurementKind, measure_interleaved, time_micros};
use crate::fit::Point;

pub(crate) const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// Numbers of members; 13 is that of the relays alone, 3,800 that of all directors.
pub(crate) const MEMBERS: [u32; 7] = [13, 50, 100, 200, 500, 1_000, 3_800];
const TARGETS: [u64; 6] = [0, 20, 50, 100, 200, 490];
/// Members in the measurements over health-check targets.
const TARGET_TRIAL_MEMBERS: u32 = 100;
pub(crate) const VOTERS: u32 = 5;
const ROUNDS: usize = 5;

pub(crate) fn coordination_config() -> CoordinationConfig {
    CoordinationConfig {
        voters: (0..VOTERS).collect(),
        roles: vec![ASSIGNMENT_ROLE, 1],
        lease_duration: SEC,
        round_timeout: 200 * MS,
        claim_spacing: 50 * MS,
        heartbeat_interval: 500 * MS,
        check_interval: SEC,
        check_timeout: 400 * MS,
    }
}

/// Of one party: calls made or answered, bytes in both directions, nanoseconds of its own code.
#[derive(Clone, Copy, Default)]
struct PartyUsage {
    calls: u64,
    bytes: u64,
    elapsed_ns: u64,
}

/// An encoded call on its way to a voter.
struct PendingCall {
    from: Member,
    voter: u32,
    call_id: u64,
    body: Vec<u8>,
}

/// Coordinators in one simulated time, the first ones of them voters.
struct SimulatedFleet {
    now: Ns,
    coordinators: Vec<Coordinator>,
    usage: Vec<PartyUsage>,
    pending_calls: VecDeque<PendingCall>,
}

fn timed<T>(usage: &mut PartyUsage, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = work();
    usage.elapsed_ns += started.elapsed().as_nanos() as u64;
    result
}

impl SimulatedFleet {
    fn new(members: u32, targets: u64) -> SimulatedFleet {
        let targets: BTreeSet<u64> = (0..targets).collect();
        let coordinator = |number: u32| {
            let mut coordinator = Coordinator::new(
                Member { number, incarnation: 1 },
                coordination_config(),
                mix(number.into()),
                0,
            );
            coordinator.update_targets(0, &targets);
            coordinator
        };
        let coordinators: Vec<Coordinator> = (0..members).map(coordinator).collect();
        SimulatedFleet {
            now: 0,
            usage: vec![PartyUsage::default(); coordinators.len()],
            coordinators,
            pending_calls: VecDeque::new(),
        }
    }

    /// Carries out the actions of a coordinator: its calls are encoded and queued, its health checks succeed at once.
    fn run_actions(&mut self, number: usize) {
        loop {
            let (coordinator, usage) = (&mut self.coordinators[number], &mut self.usage[number]);
            let me = coordinator.me();
            let actions = timed(usage, || coordinator.take_actions());
            let mut probes = Vec::new();
            for action in actions {
                match action {
                    Action::Call { voter, call_id: number, messages } => {
                        let request = Request { from: me, messages };
                        let body = timed(usage, || rmp_serde::to_vec(&request)).unwrap_or_default();
                        self.pending_calls.push_back(PendingCall { from: me, voter, call_id: number, body });
                    }
                    Action::CheckHealth { target, token } => probes.push((target, token)),
                    _ => {}
                }
            }
            if probes.is_empty() {
                return;
            }
            for (target, token) in probes {
                timed(usage, || {
                    coordinator.on_check_result(self.now, target, token, Ok(HealthState::Healthy(Some(0.5))))
                });
            }
        }
    }

    fn deliver(&mut self, call: PendingCall) {
        let PendingCall { from, voter, call_id: number, body } = call;
        let (at, by) = (voter as usize, from.number as usize);
        let (coordinator, usage) = (&mut self.coordinators[at], &mut self.usage[at]);
        let answer = timed(usage, || {
            let messages = rmp_serde::from_slice::<Request>(&body).map(|r| r.messages).unwrap_or_default();
            rmp_serde::to_vec(&coordinator.on_request(self.now, from, &messages)).unwrap_or_default()
        });
        for party in [at, by] {
            self.usage[party].calls += 1;
            self.usage[party].bytes += (body.len() + answer.len()) as u64;
        }
        self.run_actions(at);
        let (coordinator, usage) = (&mut self.coordinators[by], &mut self.usage[by]);
        timed(usage, || {
            let replies: Vec<Reply> = rmp_serde::from_slice(&answer).unwrap_or_default();
            coordinator.on_replies(self.now, voter, number, replies);
        });
        self.run_actions(by);
    }

    fn run(&mut self, until: Ns) {
        while self.now < until {
            self.now += 5 * MS;
            for number in 0..self.coordinators.len() {
                // The starts of the members are spread over one heartbeat interval.
                let begins = mix(number as u64) % (500 * MS);
                if self.now < begins || self.coordinators[number].next_wakeup() > self.now {
                    continue;
                }
                let (coordinator, usage) = (&mut self.coordinators[number], &mut self.usage[number]);
                timed(usage, || coordinator.step(self.now));
                self.run_actions(number);
                while let Some(call) = self.pending_calls.pop_front() {
                    self.deliver(call);
                }
            }
        }
    }

    fn assigner(&self) -> Option<usize> {
        self.coordinators
            .iter()
            .take(VOTERS as usize)
            .position(|o| o.token(self.now, ASSIGNMENT_ROLE).is_some())
    }
}

/// Usage a second of a member, of a voter, and of the voter that holds the assignment role.
#[derive(Clone, Copy)]
struct UsagePerSecond {
    member: PartyUsage,
    voter: PartyUsage,
    assigner: PartyUsage,
}

const MEASURED_SECONDS: u64 = 6;

fn measure_usage(members: u32, targets: u64) -> Option<UsagePerSecond> {
    let mut fleet = SimulatedFleet::new(members, targets);
    // Twice the time after which a silent member counts as failed: all members are known, the assignment is stable.
    fleet.run(12 * SEC);
    let before = fleet.assigner()?;
    fleet.usage.iter_mut().for_each(|u| *u = PartyUsage::default());
    fleet.run((12 + MEASURED_SECONDS) * SEC);
    let assigner = fleet.assigner().filter(|d| *d == before)?;
    let mean = |which: &dyn Fn(usize) -> bool| {
        let all: Vec<PartyUsage> =
            (0..fleet.usage.len()).filter(|n| which(*n)).map(|n| fleet.usage[n]).collect();
        let many = MEASURED_SECONDS * all.len().max(1) as u64;
        let of = |what: fn(&PartyUsage) -> u64| all.iter().map(what).sum::<u64>() / many;
        PartyUsage { calls: of(|u| u.calls), bytes: of(|u| u.bytes), elapsed_ns: of(|u| u.elapsed_ns) }
    };
    let voters = VOTERS as usize;
    Some(UsagePerSecond {
        member: mean(&|n| n >= voters),
        voter: mean(&|n| n < voters && n != assigner),
        assigner: mean(&|n| n == assigner),
    })
}

type Row = (f64, Vec<UsagePerSecond>);

fn cost(
    name: &'static str,
    what: &'static str,
    size_unit: &'static str,
    kind: MeasurementKind,
    rows: &[Row],
    of: fn(&UsagePerSecond) -> f64,
) -> Cost {
    let value = |samples: &[UsagePerSecond]| crate::cost::median(samples.iter().map(of).collect());
    let points = rows.iter().map(|(size, samples)| Point { size: *size, value: value(samples) }).collect();
    let unit = match kind {
        MeasurementKind::Timed => "% of a core",
        _ if name.ends_with("calls") => "calls a second",
        _ => "bytes a second",
    };
    Cost { name, description: what, size_unit, unit, kind, points }
}

fn percent_of_core(usage: PartyUsage) -> f64 {
    usage.elapsed_ns as f64 / 1e7
}

pub(crate) fn measure_by_members() -> Vec<Cost> {
    let mut rows: Vec<Row> = MEMBERS.iter().map(|m| (f64::from(*m), Vec::new())).collect();
    for _ in 0..ROUNDS {
        for (members, (_, samples)) in MEMBERS.iter().zip(&mut rows) {
            samples.extend(measure_usage(*members, 0));
        }
    }
    let cost = |name, what, kind, of| cost(name, what, "members", kind, &rows, of);
    vec![
        cost("duties-member-bytes", "a member, both ways", MeasurementKind::Counted, |s| {
            s.member.bytes as f64
        }),
        cost("duties-member-time", "a member's own code", MeasurementKind::Timed, |s| {
            percent_of_core(s.member)
        }),
        cost("duties-voter-calls", "at a voter", MeasurementKind::Counted, |s| s.voter.calls as f64),
        cost("duties-voter-bytes", "a voter, both ways", MeasurementKind::Counted, |s| s.voter.bytes as f64),
        cost("duties-voter-time", "a voter's own code", MeasurementKind::Timed, |s| percent_of_core(s.voter)),
        cost("duties-dealer-bytes", "the voter that deals, both ways", MeasurementKind::Counted, |s| {
            s.assigner.bytes as f64
        }),
        cost("duties-dealer-time", "own code of the voter that deals", MeasurementKind::Timed, |s| {
            percent_of_core(s.assigner)
        }),
    ]
}

pub(crate) fn measure_by_targets() -> Vec<Cost> {
    let mut rows: Vec<Row> = TARGETS.iter().map(|b| (*b as f64, Vec::new())).collect();
    for _ in 0..ROUNDS {
        for (targets, (_, samples)) in TARGETS.iter().zip(&mut rows) {
            samples.extend(measure_usage(TARGET_TRIAL_MEMBERS, *targets));
        }
    }
    let cost = |name, what, kind, of| cost(name, what, "boxes probed", kind, &rows, of);
    vec![
        cost("duties-facts-bytes", "a member of 100, both ways", MeasurementKind::Counted, |s| {
            s.member.bytes as f64
        }),
        cost(
            "duties-facts-voter-bytes",
            "a voter of 100 members, both ways",
            MeasurementKind::Counted,
            |s| s.voter.bytes as f64,
        ),
        cost("duties-facts-voter-time", "own code of a voter of 100 members", MeasurementKind::Timed, |s| {
            percent_of_core(s.voter)
        }),
    ]
}

/// The time in which a member finds the owners of 490 health-check targets after the assignment has changed.
pub(crate) fn measure_shares() -> Cost {
    let shares = |many: u32| {
        RendezvousShares::from_weights((0..many).map(|number| (Member { number, incarnation: 1 }, 1.0)))
    };
    let mut sizes: Vec<(f64, RendezvousShares)> =
        MEMBERS.iter().map(|m| (f64::from(*m), shares(*m))).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |shares| {
        time_micros(|| (0..490).filter(|target| shares.owner(*target).is_some()).count()).0
    });
    let what = "whose 490 boxes are after one change of the deal, at each member";
    Cost {
        name: "duties-share-time",
        description: what,
        size_unit: "members",
        unit: "us",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// The bytes of a complete assignment, as a voter sends it to a member that has just started.
pub(crate) fn measure_assignment_bytes() -> Cost {
    let point = |&many: &u32| {
        let members = (0..many).map(|number| Member { number, incarnation: 1_764_576_000_123_000 }).collect();
        let roster = Assignment { members, ..Default::default() };
        let bytes = rmp_serde::to_vec(&vec![Reply::Assigned(roster)]).map_or(f64::NAN, |b| b.len() as f64);
        Point { size: f64::from(many), value: bytes }
    };
    let points = MEMBERS.iter().map(point).collect();
    let what = "the deal told whole by one voter";
    Cost {
        name: "duties-roster-bytes",
        description: what,
        size_unit: "members",
        unit: "bytes",
        kind: MeasurementKind::Counted,
        points,
    }
}
