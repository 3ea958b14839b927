//! What a trial learns of coordination from outside: it asks members for their status, and reads directors' logs.

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
/// A line of a director's log at the begin of a lease, with its fields behind it.
const LEASE_LINE: &str = "coordination lease acquired ";
const LEASE_ROLE_FIELD: &str = "role";
/// A line at the start of a director.
const START_LINE: &str = "coordination member number=";

/// A fault of the holder of a role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderFault {
    pub(crate) at: Seconds,
    /// The holder.
    pub(crate) member: usize,
    pub(crate) role: RoleId,
}

/// The begin of a lease, by the log of its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LeaseStart {
    pub(crate) at: Seconds,
    pub(crate) member: usize,
    pub(crate) role: RoleId,
    pub(crate) term: u64,
}

/// A line of a director's log that tells of the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HierarchyEvent {
    /// The director started and has no version.
    Started,
    /// It applied a version.
    Applied {
        version: u64,
    },
    ChangeBegun,
    ChangeEnded,
}

/// The trial as it calls members: none of their number.
fn observer() -> Member {
    Member { number: u32::MAX, incarnation: 0 }
}

/// The status of a member; none if it does not answer.
pub(crate) fn member_status(address: SocketAddr) -> Option<MemberStatus> {
    let request = Request { from: observer(), messages: vec![Message::ShowStatus] };
    let replies = call_member(address, &request, STATUS_TIMEOUT).ok()?;
    replies.into_iter().find_map(|reply| match reply {
        Reply::Status(status) => Some(status),
        _ => None,
    })
}

/// Which of the voters holds a role now.
pub(crate) fn find_holder(voters: &[SocketAddr], role: RoleId) -> Option<usize> {
    voters.iter().position(|address| {
        member_status(*address)
            .is_some_and(|status| status.roles.iter().any(|r| r.role == role && r.own_lease.is_some()))
    })
}

/// Proposes a version of the hierarchy to the holder of its role. Whether it was accepted.
pub(crate) fn propose_hierarchy(holder: SocketAddr, settings: &str) -> bool {
    let proposal = Message::Propose { role: HIERARCHY_ROLE, bytes: settings.as_bytes().to_vec() };
    let request = Request { from: observer(), messages: vec![proposal] };
    let accepted = Reply::ProposalResult { role: HIERARCHY_ROLE, result: Ok(()) };
    call_member(holder, &request, PROPOSAL_TIMEOUT).is_ok_and(|replies| replies.contains(&accepted))
}

/// The time of day of a line of a log, in milliseconds.
fn time_of_day_ms(line: &str) -> Option<u64> {
    let clock = line.get(11..23)?;
    let parts = [clock.get(0..2)?, clock.get(3..5)?, clock.get(6..8)?, clock.get(9..12)?];
    let [hours, minutes, seconds, millis] = parts.map(|part| part.parse::<u64>().ok());
    Some(((hours? * 60 + minutes?) * 60 + seconds?) * 1_000 + millis?)
}

/// The number in a field `name=number`.
fn number_field(line: &str, name: &str) -> Option<u64> {
    line.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The leases that a director held, by its log. Times count from `start_ms` (Unix milliseconds).
pub(crate) fn lease_starts(member: usize, log: &Path, start_ms: u64) -> Vec<LeaseStart> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lease_start = |line: &str| {
        let fields = line.split_once(LEASE_LINE)?.1;
        // Directors' own times are of no wall clock. Those of log lines are, within one day.
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

/// What a director's log tells of the hierarchy, with the time of day in milliseconds.
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
