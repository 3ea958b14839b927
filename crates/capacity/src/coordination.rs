//! Measures what coordination costs members and voters, without sockets. All coordinators run on one simulated clock.
//! Each message is encoded and decoded as it is between processes, and the time of each member's code is measured
//! separately.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use sablecross::split_mix64;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, Assignment, HealthState, Reply, Request};
use sablecross_coordination::{Action, CoordinationConfig, Coordinator, Member, Ns, RendezvousShares};

use crate::cost::{Cost, MeasurementKind, measure_interleaved, time_micros};
use crate::fit::Point;

pub(crate) const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// Numbers of members: 13 is the number of relays, 3,800 the number of directors at the target size.
pub(crate) const MEMBER_COUNTS: [u32; 7] = [13, 50, 100, 200, 500, 1_000, 3_800];
/// Numbers of health-check targets.
const TARGET_COUNTS: [u64; 6] = [0, 20, 50, 100, 200, 490];
/// Number of members in the measurements by the number of health-check targets.
const TARGET_TRIAL_MEMBERS: u32 = 100;
pub(crate) const VOTERS: u32 = 5;
const ROUNDS: usize = 5;

pub(crate) fn coordination_config() -> CoordinationConfig {
    CoordinationConfig {
        voters: (0..VOTERS).collect(),
        roles: vec![ASSIGNMENT_ROLE, 1],
        lease_duration: SEC,
        round_timeout: 200 * MS,
        attempt_spacing: 50 * MS,
        heartbeat_interval: 500 * MS,
        check_interval: SEC,
        check_timeout: 400 * MS,
    }
}

/// What one member or voter used.
#[derive(Clone, Copy, Default)]
struct MemberUsage {
    /// Number of calls made or answered.
    calls: u64,
    /// Bytes of messages in both directions.
    bytes: u64,
    /// Nanoseconds spent in the member's code.
    elapsed_ns: u64,
}

/// An encoded call that has not been delivered to its voter yet.
struct PendingCall {
    from: Member,
    voter: u32,
    call_id: u64,
    body: Vec<u8>,
}

/// Coordinators on one simulated clock. The first `VOTERS` of them are voters.
struct SimulatedFleet {
    now: Ns,
    coordinators: Vec<Coordinator>,
    usage: Vec<MemberUsage>,
    pending_calls: VecDeque<PendingCall>,
}

fn timed<T>(usage: &mut MemberUsage, work: impl FnOnce() -> T) -> T {
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
                split_mix64(number.into()),
                0,
            );
            coordinator.update_targets(0, &targets);
            coordinator
        };
        let coordinators: Vec<Coordinator> = (0..members).map(coordinator).collect();
        SimulatedFleet {
            now: 0,
            usage: vec![MemberUsage::default(); coordinators.len()],
            coordinators,
            pending_calls: VecDeque::new(),
        }
    }

    /// Carries out the actions of a coordinator. Its calls are encoded and queued; its health checks succeed at once.
    fn run_actions(&mut self, number: usize) {
        loop {
            let (coordinator, usage) = (&mut self.coordinators[number], &mut self.usage[number]);
            let me = coordinator.me();
            let actions = timed(usage, || coordinator.take_actions());
            let mut health_checks = Vec::new();
            for action in actions {
                match action {
                    Action::Call { voter, call_id, messages } => {
                        let request = Request { from: me, messages };
                        let body = timed(usage, || rmp_serde::to_vec(&request)).unwrap_or_default();
                        self.pending_calls.push_back(PendingCall { from: me, voter, call_id, body });
                    }
                    Action::CheckHealth { target, token } => health_checks.push((target, token)),
                    _ => {}
                }
            }
            if health_checks.is_empty() {
                return;
            }
            for (target, token) in health_checks {
                timed(usage, || {
                    coordinator.on_check_result(self.now, target, token, Ok(HealthState::Healthy(Some(0.5))))
                });
            }
        }
    }

    fn deliver(&mut self, call: PendingCall) {
        let PendingCall { from, voter, call_id, body } = call;
        let (voter_index, caller_index) = (voter as usize, from.number as usize);
        let (coordinator, usage) = (&mut self.coordinators[voter_index], &mut self.usage[voter_index]);
        let replies_body = timed(usage, || {
            let messages = rmp_serde::from_slice::<Request>(&body).map(|r| r.messages).unwrap_or_default();
            rmp_serde::to_vec(&coordinator.on_request(self.now, from, &messages)).unwrap_or_default()
        });
        for index in [voter_index, caller_index] {
            self.usage[index].calls += 1;
            self.usage[index].bytes += (body.len() + replies_body.len()) as u64;
        }
        self.run_actions(voter_index);
        let (coordinator, usage) = (&mut self.coordinators[caller_index], &mut self.usage[caller_index]);
        timed(usage, || {
            let replies: Vec<Reply> = rmp_serde::from_slice(&replies_body).unwrap_or_default();
            coordinator.on_replies(self.now, voter, call_id, replies);
        });
        self.run_actions(caller_index);
    }

    fn run(&mut self, until: Ns) {
        while self.now < until {
            self.now += 5 * MS;
            for number in 0..self.coordinators.len() {
                // Members start at times spread over one heartbeat interval.
                let start_time = split_mix64(number as u64) % (500 * MS);
                if self.now < start_time || self.coordinators[number].next_wakeup() > self.now {
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
            .position(|coordinator| coordinator.token(self.now, ASSIGNMENT_ROLE).is_some())
    }
}

/// Mean usage a second of a plain member, of a plain voter, and of the voter that holds the assignment role.
#[derive(Clone, Copy)]
struct UsagePerSecond {
    member: MemberUsage,
    voter: MemberUsage,
    assigner: MemberUsage,
}

const MEASURED_SECONDS: u64 = 6;

fn measure_usage(members: u32, targets: u64) -> Option<UsagePerSecond> {
    let mut fleet = SimulatedFleet::new(members, targets);
    // After twice the time in which a silent member counts as failed, all members are known and the assignment is stable.
    fleet.run(12 * SEC);
    let initial_assigner = fleet.assigner()?;
    fleet.usage.iter_mut().for_each(|u| *u = MemberUsage::default());
    fleet.run((12 + MEASURED_SECONDS) * SEC);
    let assigner = fleet.assigner().filter(|index| *index == initial_assigner)?;
    let mean = |includes: &dyn Fn(usize) -> bool| {
        let usages: Vec<MemberUsage> =
            (0..fleet.usage.len()).filter(|n| includes(*n)).map(|n| fleet.usage[n]).collect();
        let divisor = MEASURED_SECONDS * usages.len().max(1) as u64;
        let mean_of = |field: fn(&MemberUsage) -> u64| usages.iter().map(field).sum::<u64>() / divisor;
        MemberUsage {
            calls: mean_of(|u| u.calls),
            bytes: mean_of(|u| u.bytes),
            elapsed_ns: mean_of(|u| u.elapsed_ns),
        }
    };
    let voters = VOTERS as usize;
    Some(UsagePerSecond {
        member: mean(&|n| n >= voters),
        voter: mean(&|n| n < voters && n != assigner),
        assigner: mean(&|n| n == assigner),
    })
}

type UsageRow = (f64, Vec<UsagePerSecond>);

fn cost(
    name: &'static str,
    description: &'static str,
    size_unit: &'static str,
    kind: MeasurementKind,
    rows: &[UsageRow],
    value_of: fn(&UsagePerSecond) -> f64,
) -> Cost {
    let median_value =
        |samples: &[UsagePerSecond]| crate::cost::median(samples.iter().map(value_of).collect());
    let points =
        rows.iter().map(|(size, samples)| Point { size: *size, value: median_value(samples) }).collect();
    let unit = match kind {
        MeasurementKind::Timed => "% of a core",
        _ if name.ends_with("calls") => "calls a second",
        _ => "bytes a second",
    };
    Cost { name, description, size_unit, unit, kind, points }
}

fn percent_of_core(usage: MemberUsage) -> f64 {
    usage.elapsed_ns as f64 / 1e7
}

pub(crate) fn measure_by_members() -> Vec<Cost> {
    let mut rows: Vec<UsageRow> = MEMBER_COUNTS.iter().map(|count| (f64::from(*count), Vec::new())).collect();
    for _ in 0..ROUNDS {
        for (members, (_, samples)) in MEMBER_COUNTS.iter().zip(&mut rows) {
            samples.extend(measure_usage(*members, 0));
        }
    }
    let cost = |name, description, kind, value_of| cost(name, description, "members", kind, &rows, value_of);
    vec![
        cost(
            "duties-member-bytes",
            "messages of a member, sent and received",
            MeasurementKind::Counted,
            |s| s.member.bytes as f64,
        ),
        cost(
            "duties-member-time",
            "processor time of a member, without sockets",
            MeasurementKind::Timed,
            |s| percent_of_core(s.member),
        ),
        cost("duties-voter-calls", "calls answered by a voter", MeasurementKind::Counted, |s| {
            s.voter.calls as f64
        }),
        cost("duties-voter-bytes", "messages of a voter, sent and received", MeasurementKind::Counted, |s| {
            s.voter.bytes as f64
        }),
        cost(
            "duties-voter-time",
            "processor time of a voter, without sockets",
            MeasurementKind::Timed,
            |s| percent_of_core(s.voter),
        ),
        cost(
            "duties-dealer-bytes",
            "messages of the holder of the assignment role, sent and received",
            MeasurementKind::Counted,
            |s| s.assigner.bytes as f64,
        ),
        cost(
            "duties-dealer-time",
            "processor time of the holder of the assignment role, without sockets",
            MeasurementKind::Timed,
            |s| percent_of_core(s.assigner),
        ),
    ]
}

pub(crate) fn measure_by_targets() -> Vec<Cost> {
    let mut rows: Vec<UsageRow> = TARGET_COUNTS.iter().map(|count| (*count as f64, Vec::new())).collect();
    for _ in 0..ROUNDS {
        for (targets, (_, samples)) in TARGET_COUNTS.iter().zip(&mut rows) {
            samples.extend(measure_usage(TARGET_TRIAL_MEMBERS, *targets));
        }
    }
    let cost =
        |name, description, kind, value_of| cost(name, description, "boxes probed", kind, &rows, value_of);
    vec![
        cost(
            "duties-facts-bytes",
            "messages of a member of 100, sent and received",
            MeasurementKind::Counted,
            |s| s.member.bytes as f64,
        ),
        cost(
            "duties-facts-voter-bytes",
            "messages of a voter of 100 members, sent and received",
            MeasurementKind::Counted,
            |s| s.voter.bytes as f64,
        ),
        cost(
            "duties-facts-voter-time",
            "processor time of a voter of 100 members, without sockets",
            MeasurementKind::Timed,
            |s| percent_of_core(s.voter),
        ),
    ]
}

/// Measures the time in which a member finds the owners of 490 health-check targets after the assignment has changed.
pub(crate) fn measure_shares() -> Cost {
    let shares = |count: u32| {
        RendezvousShares::from_weights((0..count).map(|number| (Member { number, incarnation: 1 }, 1.0)))
    };
    let mut sizes: Vec<(f64, RendezvousShares)> =
        MEMBER_COUNTS.iter().map(|count| (f64::from(*count), shares(*count))).collect();
    let points = measure_interleaved(&mut sizes, ROUNDS, |shares| {
        time_micros(|| (0..490).filter(|target| shares.owner(*target).is_some()).count()).0
    });
    let description =
        "time to find the owners of 490 targets after a change of the assignment, at each member";
    Cost {
        name: "duties-share-time",
        description,
        size_unit: "members",
        unit: "us",
        kind: MeasurementKind::Timed,
        points,
    }
}

/// Measures the bytes of a complete assignment, as a voter sends it to a member that has just started.
pub(crate) fn measure_assignment_bytes() -> Cost {
    let point = |&count: &u32| {
        let members =
            (0..count).map(|number| Member { number, incarnation: 1_764_576_000_123_000 }).collect();
        let assignment = Assignment { members, ..Default::default() };
        let bytes =
            rmp_serde::to_vec(&vec![Reply::Assigned(assignment)]).map_or(f64::NAN, |b| b.len() as f64);
        Point { size: f64::from(count), value: bytes }
    };
    let points = MEMBER_COUNTS.iter().map(point).collect();
    let description = "a complete assignment sent by one voter";
    Cost {
        name: "duties-roster-bytes",
        description,
        size_unit: "members",
        unit: "bytes",
        kind: MeasurementKind::Counted,
        points,
    }
}
