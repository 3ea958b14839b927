//! The state that one voter stores for the fleet.

use std::collections::{BTreeMap, BTreeSet};

use crate::assignment_replica::AssignmentReplica;
use crate::health_log::HealthLog;
use crate::hot_object_counts::HotObjectCounts;
use crate::messages::{
    ASSIGNMENT_ROLE, AppliedVersion, Assignment, AssignmentVersion, Message, RegisterValue, Reply, RoleId,
    RoleStatus,
};
use crate::register_replica::RegisterReplica;
use crate::{
    CoordinationConfig, FailureDetector, FencingGuard, FencingToken, HotObject, LeaseRequest, LeaseVoter,
    Member, Ns, StaleToken,
};

/// What the holder of a role publishes to all members.
#[derive(Clone, Debug, Default)]
struct Publication {
    guard: FencingGuard,
    number: u64,
    bytes: Vec<u8>,
}

/// The published version that a member applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberVersion {
    /// The member.
    pub member: Member,
    /// The version that the member applies.
    pub applied: AppliedVersion,
}

/// A voter. It grants leases, detects failed members, and stores the assignment, registers, health observations and
/// publications. It replies to each call immediately from memory and keeps nothing on disk.
#[derive(Clone, Debug)]
pub struct VoterNode {
    index: u32,
    lease_voters: BTreeMap<RoleId, LeaseVoter>,
    registers: BTreeMap<RoleId, RegisterReplica>,
    failure_detector: FailureDetector,
    /// The newest known incarnation of each member, by member number.
    incarnations: BTreeMap<u32, u64>,
    started_at: Ns,
    failure_timeout: Ns,
    assignment: AssignmentReplica,
    health_log: HealthLog,
    hot_objects: HotObjectCounts,
    publications: BTreeMap<RoleId, Publication>,
    /// The published version that each member applies, by role and member number.
    applied_versions: BTreeMap<(RoleId, u32), MemberVersion>,
}

impl VoterNode {
    /// Creates the voter with this index in the configured order, after a start without stored state.
    pub fn new(index: u32, config: &CoordinationConfig, now: Ns) -> VoterNode {
        let lease_voter = |role: &RoleId| (*role, LeaseVoter::after_restart(now, config.lease_duration));
        let register = |role: &RoleId| (*role, RegisterReplica::new(index, config.voter_count()));
        VoterNode {
            index,
            lease_voters: config.roles.iter().map(lease_voter).collect(),
            registers: config.roles.iter().map(register).collect(),
            failure_detector: FailureDetector::default(),
            incarnations: BTreeMap::new(),
            started_at: now,
            failure_timeout: config.failure_timeout(),
            assignment: AssignmentReplica::new(config.assignment_validity()),
            health_log: HealthLog::new(),
            hot_objects: HotObjectCounts::new(now),
            publications: BTreeMap::new(),
            applied_versions: BTreeMap::new(),
        }
    }

    /// Applies a change of the voters, which may give this voter a new index.
    pub fn reconfigure(&mut self, index: u32, config: &CoordinationConfig) {
        self.index = index;
        for register in self.registers.values_mut() {
            register.on_voters_changed(index, config.voter_count());
        }
    }

    /// The voter's index in the configured order.
    pub fn index(&self) -> u32 {
        self.index
    }

    /// The newest assignment that the voter stores.
    pub fn assignment(&self) -> &Assignment {
        self.assignment.current()
    }

    /// The number of stale tokens that the voter has rejected.
    pub fn rejected_count(&self) -> u64 {
        let publications = self.publications.values().map(|publication| &publication.guard);
        let registers = self.registers.values().map(RegisterReplica::guard);
        let rejected = publications.chain(registers).map(FencingGuard::rejected_count).sum::<u64>();
        rejected + self.assignment.rejected_count()
    }

    /// How long the voter remains silent after its start, during which it grants no leases.
    pub fn silent_for(&self, now: Ns) -> Ns {
        self.lease_voters.values().filter_map(|voter| voter.silent_for(now)).max().unwrap_or(0)
    }

    /// The roles as this voter knows them.
    pub fn role_status(&self, now: Ns) -> impl Iterator<Item = RoleStatus> + '_ {
        self.lease_voters.iter().map(move |(role, voter)| RoleStatus {
            role: *role,
            highest_term: voter.highest_term(),
            holder: voter.holder(now),
            own_lease: None,
        })
    }

    /// Returns which published version of a role each member applies.
    pub fn applied_versions(&self, role: RoleId) -> impl Iterator<Item = MemberVersion> + '_ {
        self.applied_versions.range((role, 0)..=(role, u32::MAX)).map(|(_, version)| *version)
    }

    /// The queries that the voter sends to other voters after its start, each with the index of the voter to ask.
    pub fn pending_queries(&self) -> impl Iterator<Item = (u32, Message)> + '_ {
        self.registers.iter().flat_map(|(role, register)| {
            let voters = register.unqueried_voters().iter();
            voters.map(|voter| (voter, Message::FetchNewestToken(*role)))
        })
    }

    /// Handles another voter's reply to a query of [`pending_queries`](Self::pending_queries).
    pub fn on_newest_token(&mut self, voter: u32, role: RoleId, newest: FencingToken, is_certain: bool) {
        if let Some(register) = self.registers.get_mut(&role) {
            register.on_newest_token(voter, newest, is_certain);
        }
    }

    /// The most requested objects of the fleet, in descending order.
    pub fn hottest_objects(&self) -> Vec<HotObject> {
        self.hot_objects.hottest()
    }

    /// Returns the members that are to get targets. During one failure timeout after its start, the voter may not
    /// have received heartbeats from all members yet, so it keeps those that are in the assignment and have not left.
    pub fn alive_members(&self, now: Ns) -> Vec<Member> {
        let mut alive: BTreeSet<Member> = self.failure_detector.alive_members(now).into_iter().collect();
        if now < self.started_at + self.failure_timeout {
            let heard_numbers: BTreeSet<u32> = alive.iter().map(|member| member.number).collect();
            let is_not_heard_from = |member: &&Member| {
                !heard_numbers.contains(&member.number) && !self.failure_detector.has_left(**member)
            };
            alive.extend(self.assignment().members.iter().filter(is_not_heard_from));
        }
        alive.into_iter().collect()
    }

    /// Adopts a newer assignment that this member knows when it becomes the assigner.
    pub fn adopt_assignment(&mut self, assignment: &Assignment) {
        self.assignment.adopt(assignment);
    }

    /// Handles a member's messages. If a newer incarnation of the sender is known, the messages are ignored and the
    /// reply names that incarnation.
    pub fn on_messages(&mut self, now: Ns, from: Member, messages: &[Message]) -> Vec<Reply> {
        if let Some(later) = self.later_incarnation(from) {
            return vec![Reply::Displaced(later)];
        }
        messages.iter().flat_map(|message| self.on_message(now, from, message)).collect()
    }

    /// Returns the newest incarnation of the sender's number if it is newer than the sender.
    fn later_incarnation(&mut self, from: Member) -> Option<u64> {
        let newest = self.incarnations.entry(from.number).or_insert(from.incarnation);
        *newest = (*newest).max(from.incarnation);
        (*newest > from.incarnation).then_some(*newest)
    }

    fn on_message(&mut self, now: Ns, from: Member, message: &Message) -> Vec<Reply> {
        let reply = match message {
            Message::Heartbeat(version) => {
                self.failure_detector.record_heartbeat(now, from);
                return self.assignment.replies_to_heartbeat(now, *version);
            }
            Message::Leave => {
                self.failure_detector.record_leave(from);
                None
            }
            Message::Lease { role, request } => self.on_lease_request(now, *role, *request),
            Message::Assign(assignment) => {
                let stored = self.assignment.store(now, assignment);
                Some(assignment_reply(stored))
            }
            Message::ConfirmAssignment { token, version } => {
                let confirmed = self.assignment.confirm(now, *token, *version);
                Some(assignment_reply(confirmed))
            }
            Message::ReportHealth(observations) => {
                observations.iter().for_each(|observation| self.health_log.record(now, *observation));
                None
            }
            Message::ReportHotObjects(counts) => {
                self.hot_objects.add(now, counts);
                None
            }
            Message::FetchHealth(after) => Some(Reply::HealthObservations {
                up_to: self.health_log.last_sequence(),
                observations: self.health_log.since(now, *after),
            }),
            Message::ReportNewerTerm { role, term } => {
                self.observe_term(*role, *term);
                None
            }
            Message::ReadRegister { role, token } => self.read_register(*role, *token),
            Message::WriteRegister { role, value } => self.write_register(*role, value.clone()),
            Message::Publish { role, token, number, bytes } => self.publish(*role, *token, *number, bytes),
            Message::ReportAppliedVersion { role, received, applied } => {
                self.on_applied_version(*role, from, *received, *applied)
            }
            Message::FetchNewestToken(role) => self.newest_token(*role),
            // The coordinator handles these itself.
            Message::ShowStatus | Message::HandOver { .. } | Message::Propose { .. } => None,
        };
        reply.into_iter().collect()
    }

    fn on_lease_request(&mut self, now: Ns, role: RoleId, request: LeaseRequest) -> Option<Reply> {
        let reply = self.lease_voters.get_mut(&role)?.on_request(now, request)?;
        Some(Reply::Lease { role, reply })
    }

    fn observe_term(&mut self, role: RoleId, term: u64) {
        if let Some(voter) = self.lease_voters.get_mut(&role) {
            voter.observe_term(term);
        }
    }

    fn read_register(&mut self, role: RoleId, token: FencingToken) -> Option<Reply> {
        let read = self.registers.get_mut(&role)?.read(token)?;
        Some(match read {
            Ok(read) => Reply::RegisterRead { role, token, value: read.value, is_complete: read.is_complete },
            Err(stale) => Reply::StaleToken { role, highest: stale.highest },
        })
    }

    fn write_register(&mut self, role: RoleId, value: RegisterValue) -> Option<Reply> {
        let token = value.token;
        let written = self.registers.get_mut(&role)?.write(value)?;
        Some(match written {
            Ok(sequence) => Reply::RegisterWritten { role, token, sequence },
            Err(stale) => Reply::StaleToken { role, highest: stale.highest },
        })
    }

    fn newest_token(&self, role: RoleId) -> Option<Reply> {
        let register = self.registers.get(&role)?;
        let (token, is_certain) = (register.newest_token(), !register.is_recovering());
        Some(Reply::NewestToken { role, token, is_certain })
    }

    fn publish(&mut self, role: RoleId, token: FencingToken, number: u64, bytes: &[u8]) -> Option<Reply> {
        let publication = self.publications.entry(role).or_default();
        if let Err(stale) = publication.guard.admit(token) {
            return Some(Reply::StaleToken { role, highest: stale.highest });
        }
        if number > publication.number {
            publication.number = number;
            publication.bytes = bytes.to_vec();
        }
        None
    }

    fn on_applied_version(
        &mut self,
        role: RoleId,
        from: Member,
        received: u64,
        applied: AppliedVersion,
    ) -> Option<Reply> {
        self.applied_versions.insert((role, from.number), MemberVersion { member: from, applied });
        let newer = self.publications.get(&role).filter(|publication| publication.number > received)?;
        Some(Reply::Published { role, number: newer.number, bytes: newer.bytes.clone() })
    }
}

fn assignment_reply(result: Result<AssignmentVersion, StaleToken>) -> Reply {
    match result {
        Ok(version) => Reply::AssignmentStored(version),
        Err(stale) => Reply::StaleToken { role: ASSIGNMENT_ROLE, highest: stale.highest },
    }
}
