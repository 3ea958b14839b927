//! The coordination state machine of one process.
//!
//! A [`Coordinator`] sends heartbeats to the voters, follows the current assignment and checks the health of its own
//! targets. If the process is a voter, the coordinator also grants leases, is a candidate for each role, and performs
//! the roles that it holds: it assigns targets, and reads and writes the registers of the other roles.
//!
//! | module | content |
//! | --- | --- |
//! | this module | heartbeats, calls to the voters and their replies |
//! | `roles` | leases, registers, hand-overs |
//! | `assignments` | making and following assignments, health checks |
//! | `requests` | requests of other members and of operators |
//! | `reconfiguration` | changes of the voters at run time |

mod assignments;
mod reconfiguration;
mod requests;
mod roles;

use std::collections::{BTreeMap, VecDeque};

use crate::health_check_schedule::HealthCheckSchedule;
use crate::messages::{
    ASSIGNMENT_ROLE, AppliedVersion, Assignment, AssignmentVersion, HealthObservation, HotObjectCount,
    Message, Reply, RoleId,
};
use crate::outstanding_calls::OutstandingCalls;
use crate::register_replica::ReadValue;
use crate::register_writer::RegisterWriter;
use crate::{
    Action, CoordinationConfig, FencingToken, HotObject, LeaseCandidate, Member, MemberVersion, Ns, VoterNode,
};

/// A voter with at least this many outstanding calls is considered unresponsive: observations are fetched from the
/// next voter.
const UNRESPONSIVE_AFTER_CALLS: usize = 4;

/// Whether the process takes part in coordination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// The process is about to end: it sends no heartbeats and no health checks.
    Leaving,
    /// A newer incarnation of the same member number is running: this process does nothing any more.
    Displaced,
}

/// The state of the assignment role while this member holds it.
#[derive(Clone, Debug)]
struct Assigner {
    token: FencingToken,
    /// The number of the latest assignment of this term.
    number: u64,
    next_at: Ns,
    /// The version that each voter stores, by voter index. The assignment is sent only to voters that don't store the
    /// current version.
    stored: Vec<AssignmentVersion>,
}

/// A version that this member publishes as the holder of a role.
#[derive(Clone, Debug)]
struct Outgoing {
    number: u64,
    bytes: Vec<u8>,
}

/// The versions published by the holders of roles, as this member knows them.
#[derive(Clone, Debug, Default)]
struct Publications {
    /// The newest version received, by role.
    received: BTreeMap<RoleId, u64>,
    /// The version that this member applies, by role.
    applied: BTreeMap<RoleId, AppliedVersion>,
    /// What this member publishes as a holder, by role.
    outgoing: BTreeMap<RoleId, Outgoing>,
}

/// Reports that are sent to the voters with the next heartbeat.
#[derive(Clone, Debug, Default)]
struct Reports {
    observations: Vec<HealthObservation>,
    hot_objects: Vec<HotObjectCount>,
}

/// The coordination state machine of one process. Messages to a voter in the same process are handled directly.
#[derive(Debug)]
pub struct Coordinator {
    me: Member,
    config: CoordinationConfig,
    phase: Phase,
    /// Whether this incarnation has been in an assignment.
    has_joined: bool,
    voter_node: Option<VoterNode>,
    candidates: BTreeMap<RoleId, LeaseCandidate>,
    registers: BTreeMap<RoleId, RegisterWriter>,
    assigner: Option<Assigner>,
    assignment: Assignment,
    assignment_valid_until: Ns,
    checks: HealthCheckSchedule,
    /// The highest term of an assignment that a target is known to have admitted.
    newest_checked_term: u64,
    reports: Reports,
    /// The sequence number of the newest observation received from each voter, by voter index.
    health_sequences: Vec<u64>,
    publications: Publications,
    role_reports: BTreeMap<RoleId, String>,
    calls: OutstandingCalls,
    next_heartbeat: Ns,
    next_query: Ns,
    stale_assignments_ignored: u64,
    own_rejections: u64,
    actions: VecDeque<Action>,
}

impl Coordinator {
    /// Creates the coordinator of a process that has just started. `seed` randomizes the times of its attempts and
    /// checks and should differ between members.
    pub fn new(me: Member, config: CoordinationConfig, seed: u64, now: Ns) -> Coordinator {
        let voter = config.voter_index(me.number);
        let mut coordinator = Coordinator {
            me,
            phase: Phase::Running,
            has_joined: false,
            voter_node: voter.map(|voter| VoterNode::new(voter, &config, now)),
            candidates: BTreeMap::new(),
            registers: BTreeMap::new(),
            assigner: None,
            assignment: Assignment::default(),
            assignment_valid_until: 0,
            checks: HealthCheckSchedule::new(config.check_interval, config.check_timeout, seed),
            newest_checked_term: 0,
            reports: Reports::default(),
            health_sequences: vec![0; config.voters.len()],
            publications: Publications::default(),
            role_reports: BTreeMap::new(),
            calls: OutstandingCalls::new(config.voter_count()),
            next_heartbeat: now,
            next_query: now,
            stale_assignments_ignored: 0,
            own_rejections: 0,
            actions: VecDeque::new(),
            config,
        };
        if let Some(voter) = voter {
            coordinator.candidates = coordinator.new_candidates(now, voter, seed);
        }
        coordinator
    }

    /// The identity of this process.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Returns the actions since the last call, which the caller has to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// Returns when to call [`step`](Self::step) next.
    pub fn next_wakeup(&self) -> Ns {
        if self.is_displaced() {
            return Ns::MAX;
        }
        let candidates = self.candidates.values().map(LeaseCandidate::next_wakeup);
        let registers = self.registers.values().map(RegisterWriter::next_wakeup);
        let assigner = self.assigner.as_ref().map(|assigner| assigner.next_at);
        let has_query = self.voter_node.as_ref().is_some_and(|node| node.pending_queries().next().is_some());
        let query = has_query.then_some(self.next_query);
        let checks = (self.assignment_valid_until > 0).then(|| self.checks.next_wakeup());
        let all = candidates.chain(registers).chain(assigner).chain(query).chain(checks);
        all.fold(self.next_heartbeat, Ns::min)
    }

    /// Returns the token of a role that this member holds now. Callers must check it immediately before each effect.
    pub fn token(&self, now: Ns, role: RoleId) -> Option<FencingToken> {
        self.candidates.get(&role)?.token(now)
    }

    /// Whether a newer incarnation of the same member number has replaced this process.
    pub fn is_displaced(&self) -> bool {
        self.phase == Phase::Displaced
    }

    /// The assignment that this member follows.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Does everything that is due at this time.
    pub fn step(&mut self, now: Ns) {
        if self.is_displaced() {
            return;
        }
        self.step_candidates(now);
        self.step_registers(now);
        if now >= self.next_query {
            self.next_query = now + self.config.round_timeout;
            self.send_queries(now);
        }
        self.step_assigner(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.heartbeat_interval;
            if self.phase == Phase::Running {
                self.send_heartbeats(now);
            }
        }
        self.step_checks(now);
    }

    /// Sets which published version of a role this member applies. The holder of the role waits for this, so it is
    /// reported at once.
    pub fn set_applied_version(&mut self, now: Ns, role: RoleId, applied: AppliedVersion) {
        self.publications.applied.insert(role, applied);
        self.next_heartbeat = self.next_heartbeat.min(now);
    }

    /// Returns which published version of a role each member applies, as this member's voter knows it.
    pub fn applied_versions(&self, role: RoleId) -> Vec<MemberVersion> {
        self.voter_node.iter().flat_map(|node| node.applied_versions(role)).collect()
    }

    /// As the holder of a role, publishes a version to all members through the voters.
    pub fn publish(&mut self, now: Ns, role: RoleId, number: u64, bytes: Vec<u8>) {
        self.publications.outgoing.insert(role, Outgoing { number, bytes });
        self.next_heartbeat = self.next_heartbeat.min(now);
    }

    /// Sets the objects that this member's clients request most. They are reported with the next heartbeat.
    pub fn report_hot_objects(&mut self, hot_objects: Vec<HotObjectCount>) {
        self.reports.hot_objects = hot_objects;
    }

    /// Returns the objects that the fleet requests most, as this member's voter knows them.
    pub fn hottest_objects(&self) -> Vec<HotObject> {
        self.voter_node.as_ref().map(VoterNode::hottest_objects).unwrap_or_default()
    }

    /// Sets the status line that operators see for a role that this member holds.
    pub fn set_role_report(&mut self, role: RoleId, text: String) {
        self.role_reports.insert(role, text);
    }

    fn log(&mut self, line: String) {
        self.actions.push_back(Action::Log(line));
    }

    fn send_queries(&mut self, now: Ns) {
        let queries: Vec<_> = self.voter_node.iter().flat_map(VoterNode::pending_queries).collect();
        for (voter, query) in queries {
            self.send(now, voter, vec![query]);
        }
    }

    fn send_heartbeats(&mut self, now: Ns) {
        let reports = std::mem::take(&mut self.reports);
        let fetch_from = self.voter_to_fetch_from();
        for voter in 0..self.config.voter_count() {
            let messages = self.heartbeat_messages(now, voter, &reports, fetch_from == Some(voter));
            self.send(now, voter, messages);
        }
        self.end_superseded_assigner(now);
    }

    /// Returns the voter to fetch observations from. The member's number decides which voter comes first; voters that
    /// don't reply are skipped.
    fn voter_to_fetch_from(&self) -> Option<u32> {
        let count = self.config.voter_count();
        let first = self.me.number % count.max(1);
        let mut voters_in_order = (0..count).map(|offset| (first + offset) % count);
        voters_in_order.find(|voter| self.calls.count(*voter) < UNRESPONSIVE_AFTER_CALLS)
    }

    fn heartbeat_messages(&self, now: Ns, voter: u32, reports: &Reports, fetch_health: bool) -> Vec<Message> {
        let mut messages = vec![Message::Heartbeat(self.assignment.version)];
        if !reports.observations.is_empty() {
            messages.push(Message::ReportHealth(reports.observations.clone()));
        }
        if !reports.hot_objects.is_empty() {
            messages.push(Message::ReportHotObjects(reports.hot_objects.clone()));
        }
        if fetch_health {
            messages.push(Message::FetchHealth(self.health_sequences[voter as usize]));
        }
        for role in self.config.roles.iter().filter(|role| **role != ASSIGNMENT_ROLE) {
            let received = self.publications.received.get(role).copied().unwrap_or(0);
            let applied = self.publications.applied.get(role).copied().unwrap_or_default();
            messages.push(Message::ReportAppliedVersion { role: *role, received, applied });
        }
        for (role, Outgoing { number, bytes }) in &self.publications.outgoing {
            if let Some(token) = self.token(now, *role) {
                messages.push(Message::Publish { role: *role, token, number: *number, bytes: bytes.clone() });
            }
        }
        if self.newest_checked_term > self.assignment.version.term {
            let term = self.newest_checked_term;
            messages.push(Message::ReportNewerTerm { role: ASSIGNMENT_ROLE, term });
        }
        messages
    }

    /// Sends messages to a voter: by a call, or directly if the voter is in this process.
    fn send(&mut self, now: Ns, voter: u32, messages: Vec<Message>) {
        if let Some(node) = self.voter_node.as_mut().filter(|node| node.index() == voter) {
            let replies = node.on_messages(now, self.me, &messages);
            self.handle_replies(now, now, voter, replies);
        } else if let Some(call_id) = self.calls.begin(now, voter) {
            self.actions.push_back(Action::Call { voter, call_id, messages });
        }
    }

    /// Handles the replies of a voter to a call.
    pub fn on_replies(&mut self, now: Ns, voter: u32, call_id: u64, replies: Vec<Reply>) {
        if let Some(called_at) = self.calls.end(voter, call_id) {
            self.handle_replies(now, called_at, voter, replies);
        }
    }

    fn handle_replies(&mut self, now: Ns, called_at: Ns, voter: u32, replies: Vec<Reply>) {
        for reply in replies {
            if self.is_displaced() {
                return;
            }
            self.handle_reply(now, called_at, voter, reply);
        }
    }

    fn handle_reply(&mut self, now: Ns, called_at: Ns, voter: u32, reply: Reply) {
        match reply {
            Reply::Lease { role, reply } => self.on_lease_reply(now, voter, role, reply),
            Reply::Assigned(assignment) => self.on_assignment(now, assignment),
            Reply::AssignmentChanged { since, version, assigner, joined, left } => {
                // A change from another version than this member's is ignored. The next heartbeat requests the update
                // again.
                if since == self.assignment.version {
                    let members = self.changed_members(&joined, &left);
                    self.on_assignment(now, Assignment { version, assigner, members });
                }
            }
            Reply::AssignmentStored(version) => self.on_assignment_stored(voter, version),
            Reply::AssignmentConfirmed(version) => self.on_assignment_confirmed(called_at, version),
            Reply::Displaced(incarnation) => self.on_later_incarnation(now, incarnation),
            Reply::HealthObservations { up_to, observations } => {
                self.on_health_observations(now, voter, up_to, observations);
            }
            Reply::StaleToken { role, highest } => self.on_stale_token(now, role, highest),
            Reply::RegisterRead { role, token, value, is_complete } => {
                self.on_register_read(now, voter, role, token, ReadValue { value, is_complete });
            }
            Reply::RegisterWritten { role, token, sequence } => {
                self.on_register_written(now, voter, role, token, sequence);
            }
            Reply::Published { role, number, bytes } => self.on_published(role, number, bytes),
            Reply::NewestToken { role, token, is_certain } => {
                if let Some(node) = self.voter_node.as_mut() {
                    node.on_newest_token(voter, role, token, is_certain);
                }
            }
            // Only operators receive these.
            Reply::Status(_) | Reply::HandOverStarted { .. } | Reply::ProposalResult { .. } => {}
        }
    }

    fn on_published(&mut self, role: RoleId, number: u64, bytes: Vec<u8>) {
        let received = self.publications.received.entry(role).or_default();
        if number > *received {
            *received = number;
            self.actions.push_back(Action::Published { role, bytes });
        }
    }

    /// A newer incarnation of this member's number is known to a voter. If this incarnation has not been in an
    /// assignment yet, its clock was set back, and it continues with a higher incarnation. Otherwise another process
    /// has replaced it.
    fn on_later_incarnation(&mut self, now: Ns, incarnation: u64) {
        if incarnation < self.me.incarnation {
            return;
        }
        if self.has_joined {
            self.log(format!(
                "coordination member displaced number={} by_incarnation={incarnation}",
                self.me.number
            ));
            self.phase = Phase::Displaced;
            self.assignment_valid_until = 0;
            self.drop_all_roles(now);
        } else {
            let before = self.me.incarnation;
            self.log(format!("coordination incarnation raised from={before} past={incarnation}"));
            self.me.incarnation = incarnation + 1;
            self.restart_candidates(now);
        }
    }
}
