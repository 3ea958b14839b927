//! Observes coordination from outside the directors: asks members for their status and reads the directors' logs.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sablecross_coordination::Member;
use sablecross_coordination::messages::{MemberStatus, Message, Reply, Request, RoleId};
use sablecross_director::coordination::call_member;
use sablecross_director::coordination::settings::HIERARCHY_ROLE;

use super::node::Seconds;

const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);
const DAY_MS: u64 = 86_400_000;
/// The start of the log line with which a director reports a new lease. The fields follow it.
const LEASE_LINE: &str = "coordination lease acquired ";
const LEASE_ROLE_FIELD: &str = "role";
/// The start of the log line of a director that has started.
const START_LINE: &str = "coordination member number=";

/// A fault injected into the holder of a role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderFault {
    pub(crate) at: Seconds,
    /// The number of the member that held the role.
    pub(crate) member: usize,
    pub(crate) role: RoleId,
}

/// The start of a lease, from the log of its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LeaseStart {
    pub(crate) at: Seconds,
    pub(crate) member: usize,
    pub(crate) role: RoleId,
    pub(crate) term: u64,
}

/// A change of the hierarchy, from a line of a director's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HierarchyEvent {
    /// The director has started and has no version yet.
    Started,
    /// The director has applied a version.
    Applied {
        version: u64,
    },
    ChangeBegun,
    ChangeEnded,
}

/// The sender of the trial's calls, with a number that no member has.
fn observer() -> Member {
    Member { number: u32::MAX, incarnation: 0 }
}

/// The status of a member, or `None` if the member does not answer.
pub(crate) fn member_status(address: SocketAddr) -> Option<MemberStatus> {
    let request = Request { from: observer(), messages: vec![Message::ShowStatus] };
    let replies = call_member(address, &request, STATUS_TIMEOUT).ok()?;
    replies.into_iter().find_map(|reply| match reply {
        Reply::Status(status) => Some(status),
        _ => None,
    })
}

/// The number of the voter that holds a role now.
pub(crate) fn find_holder(voters: &[SocketAddr], role: RoleId) -> Option<usize> {
    voters.iter().position(|address| {
        member_status(*address)
            .is_some_and(|status| status.roles.iter().any(|r| r.role == role && r.own_lease.is_some()))
    })
}

/// Proposes a hierarchy version to the holder of the hierarchy role. Returns whether the proposal was accepted.
pub(crate) fn propose_hierarchy(holder: SocketAddr, settings: &str) -> bool {
    let proposal = Message::Propose { role: HIERARCHY_ROLE, bytes: settings.as_bytes().to_vec() };
    let request = Request { from: observer(), messages: vec![proposal] };
    let accepted = Reply::ProposalResult { role: HIERARCHY_ROLE, result: Ok(()) };
    call_member(holder, &request, PROPOSAL_TIMEOUT).is_ok_and(|replies| replies.contains(&accepted))
}

/// The time of day of a log line, in milliseconds.
fn time_of_day_ms(line: &str) -> Option<u64> {
    let clock = line.get(11..23)?;
    let parts = [clock.get(0..2)?, clock.get(3..5)?, clock.get(6..8)?, clock.get(9..12)?];
    let [hours, minutes, seconds, millis] = parts.map(|part| part.parse::<u64>().ok());
    Some(((hours? * 60 + minutes?) * 60 + seconds?) * 1_000 + millis?)
}

/// The value of a field `name=number`.
fn number_field(line: &str, name: &str) -> Option<u64> {
    line.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The leases that a director held, from its log. Times count from `start_ms` (Unix milliseconds).
pub(crate) fn lease_starts(member: usize, log: &Path, start_ms: u64) -> Vec<LeaseStart> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lease_start = |line: &str| {
        let fields = line.split_once(LEASE_LINE)?.1;
        // The times in a director's fields are not wall clock times. The log line begins with the wall clock time, of
        // which only the time of day is used.
        let since_ms = (time_of_day_ms(line)? + DAY_MS - start_ms % DAY_MS) % DAY_MS;
        Some(LeaseStart {
            at: since_ms as f64 / 1e3,
            member,
            role: number_field(fields, LEASE_ROLE_FIELD)? as RoleId,
            term: number_field(fields, "term")?,
        })
    };
    text.lines().filter_map(lease_start).collect()
}

/// The hierarchy events of a director's log, each with its time of day in milliseconds.
pub(crate) fn hierarchy_events(log: &Path) -> Vec<(u64, HierarchyEvent)> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let event = |line: &str| {
        let at = time_of_day_ms(line)?;
        let event = if line.contains(START_LINE) {
            HierarchyEvent::Started
        } else if line.contains("hierarchy in force version=") && line.contains(" by=") {
            HierarchyEvent::Applied { version: number_field(line, "version").unwrap_or(0) }
        } else if line.contains("hierarchy change=") && line.contains(" begun ") {
            HierarchyEvent::ChangeBegun
        } else if line.contains("hierarchy change=") && line.contains(" ended ") {
            HierarchyEvent::ChangeEnded
        } else {
            return None;
        };
        Some((at, event))
    };
    text.lines().filter_map(event).collect()
}
