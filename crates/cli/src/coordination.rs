//! The command `sablecross coordination` (alias `duty`), which shows the holders of the fleet's roles, hands roles
//! over, and proposes hierarchy changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use sablecross_coordination::messages::{
    MemberStatus, Message, Reply, Request, RoleId, RoleReport, RoleStatus,
};
use sablecross_coordination::{LeaseHolder, Member};
use sablecross_director::coordination::call_member;
use sablecross_director::coordination::settings::{CoordinationSettings, HIERARCHY_ROLE, ROLES, role_name};

use crate::CommandOutcome;

/// The interval at which the status of a running change is polled.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the directors are polled for the new holder after a hand-over.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum time after which polling for the new holder is given up. A longer timeout of calls extends it.
const MIN_HAND_OVER_WAIT: Duration = Duration::from_secs(2);

/// The directors that a command calls.
#[derive(Args)]
pub(crate) struct Target {
    /// The coordination settings file of the directors; all voters in it are called.
    #[arg(long, conflicts_with = "at")]
    settings: Option<PathBuf>,
    /// The address of a director; may be given more than once.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// The timeout of each call in seconds.
    #[arg(long, default_value_t = 2.0)]
    time: f64,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows the status of each director: holders, terms, the assignment of health checks, rejected tokens. Changes nothing.
    Show {
        #[command(flatten)]
        target: Target,
        #[arg(long)]
        json: bool,
    },
    /// Proposes a version of the hierarchy to the holder of the role `driving`, and follows the change to its end.
    Change {
        /// The settings file of the version, as S-expressions: see docs/hierarchy-operators.md.
        file: PathBuf,
        /// Seconds for which the change is followed; afterwards it continues unobserved.
        #[arg(long, default_value_t = 600.0)]
        follow: f64,
        #[command(flatten)]
        target: Target,
    },
    /// Asks the holder of a role to release it to another voter, and waits for the new holder.
    HandOver {
        /// dealing, driving or warming
        role: String,
        /// The number of the voter that gets the role; without it, the next voter gets it.
        #[arg(long)]
        to: Option<u32>,
        #[command(flatten)]
        target: Target,
    },
}

/// The sender of calls that come from outside the fleet.
const OUTSIDE_MEMBER: Member = Member { number: u32::MAX, incarnation: 0 };

impl Target {
    fn addresses(&self) -> Result<Vec<SocketAddr>, Vec<String>> {
        match &self.settings {
            None if self.at.is_empty() => {
                Err(vec!["name directors with --at, or their settings with --settings".into()])
            }
            None => Ok(self.at.clone()),
            Some(file) => {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
                let settings = CoordinationSettings::parse(&name, &text);
                Ok(settings
                    .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>())?
                    .voter_addresses)
            }
        }
    }

    fn timeout(&self) -> Duration {
        Duration::from_secs_f64(self.time.clamp(0.01, 3_600.0))
    }

    fn send(&self, address: SocketAddr, message: Message) -> Result<Vec<Reply>, String> {
        let request = Request { from: OUTSIDE_MEMBER, messages: vec![message] };
        call_member(address, &request, self.timeout()).map_err(|e| format!("{address}: {e}"))
    }

    fn member_status(&self, address: SocketAddr) -> Result<MemberStatus, String> {
        let replies = self.send(address, Message::ShowStatus)?;
        let status = replies.into_iter().find_map(|reply| match reply {
            Reply::Status(status) => Some(status),
            _ => None,
        });
        status.ok_or(format!("{address}: the reply has no status"))
    }
}

pub(crate) fn run(command: &Command) -> Result<CommandOutcome, Vec<String>> {
    match command {
        Command::Show { target, json } => show(target, *json),
        Command::Change { file, follow, target } => change(file, *follow, target),
        Command::HandOver { role, to, target } => hand_over(role, *to, target),
    }
}

fn seconds(ns: u64) -> String {
    format!("{:.2} s", ns as f64 / 1e9)
}

fn show(target: &Target, as_json: bool) -> Result<CommandOutcome, Vec<String>> {
    let mut statuses = BTreeMap::new();
    let mut errors = Vec::new();
    for address in target.addresses()? {
        match target.member_status(address) {
            Ok(status) => {
                statuses.insert(address, status);
            }
            Err(error) => errors.push(error),
        }
    }
    if as_json {
        let text = serde_json::to_string_pretty(&statuses).map_err(|e| vec![e.to_string()])?;
        println!("{text}");
    } else {
        statuses.iter().for_each(|(address, status)| print_status(*address, status));
    }
    print_holders(&statuses);
    errors.iter().for_each(|error| eprintln!("{error}"));
    Ok(if errors.is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}

fn print_status(address: SocketAddr, status: &MemberStatus) {
    let voter = match (status.voter, status.silent_for) {
        (None, _) => "not a voter".into(),
        (Some(voter), 0) => format!("voter {voter}"),
        (Some(voter), left) => format!("voter {voter}, silent for {} more", seconds(left)),
    };
    let member = status.member;
    println!("{address} member {} incarnation {} ({voter})", member.number, member.incarnation);
    status.roles.iter().for_each(print_role);
    print_assignment(status);
    for RoleReport { role, text } in &status.role_reports {
        println!("  {}: {text}", role_name(*role));
    }
    println!(
        "  stale tokens rejected here {}, older assignments ignored {}, own tokens rejected elsewhere {}",
        status.stale_tokens_rejected, status.stale_assignments_ignored, status.own_rejections
    );
}

fn print_role(role: &RoleStatus) {
    let granted = match role.holder {
        Some(LeaseHolder { member, remaining }) => {
            format!("granted to member {} for {}", member.number, seconds(remaining))
        }
        None => "granted to nobody".into(),
    };
    let own = role.own_lease.map_or(String::new(), |lease| {
        format!(", HELD in term {} for {}", lease.token.term, seconds(lease.remaining))
    });
    println!("  {:<8} highest term {}, {granted}{own}", role_name(role.role), role.highest_term);
}

fn print_assignment(status: &MemberStatus) {
    let valid = if status.assignment_valid_for == 0 {
        "not valid here now".into()
    } else {
        format!("valid for {}", seconds(status.assignment_valid_for))
    };
    let assignment = &status.assignment;
    println!(
        "  assignment {}.{} by member {} among {} members, {valid}; {} cache nodes here, {} health checks sent",
        assignment.version.term,
        assignment.version.number,
        assignment.assigner.number,
        assignment.members.len(),
        status.target_count,
        status.checks_sent
    );
}

/// Prints a line for each role that names its holder among the called members.
fn print_holders(statuses: &BTreeMap<SocketAddr, MemberStatus>) {
    for (role, name) in ROLES {
        let holds = |status: &&MemberStatus| {
            status.roles.iter().any(|status| status.role == role && status.own_lease.is_some())
        };
        let holders: Vec<u32> = statuses.values().filter(holds).map(|status| status.member.number).collect();
        match holders[..] {
            [] => eprintln!("{name}: none of the called members holds it"),
            [holder] => eprintln!("{name}: member {holder}"),
            // The statuses were read one after another, so a hand-over in between looks like two holders.
            _ => eprintln!("{name}: members {holders:?}: the role was handed over meanwhile; ask again"),
        }
    }
}

/// The member that holds a role, according to the called members.
struct Holder {
    address: SocketAddr,
    member: u32,
    term: u64,
}

fn find_holder(target: &Target, role: RoleId) -> Result<Option<Holder>, Vec<String>> {
    let holder = |address: SocketAddr| {
        let status = target.member_status(address).ok()?;
        let lease = status.roles.iter().find(|status| status.role == role)?.own_lease?;
        Some(Holder { address, member: status.member.number, term: lease.token.term })
    };
    Ok(target.addresses()?.into_iter().filter_map(holder).max_by_key(|holder| holder.term))
}

fn role_report_text(status: MemberStatus, role: RoleId) -> Option<String> {
    status.role_reports.into_iter().find(|report| report.role == role).map(|report| report.text)
}

fn change(file: &Path, follow: f64, target: &Target) -> Result<CommandOutcome, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    sablecross_hierarchy::spec::parse_settings(&name, &text, None)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    let Some(holder) = find_holder(target, HIERARCHY_ROLE)? else {
        eprintln!("driving: none of the called members holds it now: ask again");
        return Ok(CommandOutcome::Rejected);
    };
    let proposal = Message::Propose { role: HIERARCHY_ROLE, bytes: text.into_bytes() };
    let replies = target.send(holder.address, proposal).map_err(|e| vec![e])?;
    if !replies.contains(&Reply::ProposalResult { role: HIERARCHY_ROLE, result: Ok(()) }) {
        eprintln!("driving: member {} does not hold it any more: ask again", holder.member);
        return Ok(CommandOutcome::Rejected);
    }
    println!("member {} holds the role in term {}", holder.member, holder.term);
    follow_change(target, holder.address, follow)
}

/// Prints the progress of the change until it has ended, for at most `follow` seconds.
fn follow_change(
    target: &Target,
    proposed_to: SocketAddr,
    follow: f64,
) -> Result<CommandOutcome, Vec<String>> {
    let first =
        target.member_status(proposed_to).ok().and_then(|status| role_report_text(status, HIERARCHY_ROLE));
    let mut has_run = first.is_none_or(|status| !is_idle(&status));
    let started = Instant::now();
    let mut last = String::new();
    while started.elapsed().as_secs_f64() < follow {
        std::thread::sleep(FOLLOW_INTERVAL);
        // If the holder is lost, the next holder continues the change.
        let Some(holder) = find_holder(target, HIERARCHY_ROLE)? else { continue };
        let Ok(member) = target.member_status(holder.address) else { continue };
        let Some(status) = role_report_text(member, HIERARCHY_ROLE) else { continue };
        if status != last {
            println!("{:>7.1} s  member {}: {status}", started.elapsed().as_secs_f64(), holder.member);
        }
        if status.contains("last refused") {
            return Ok(CommandOutcome::Rejected);
        }
        // `0 missing` means that all participants have reported the version that was published last.
        if is_idle(&status) && status.contains(" 0 missing") {
            if has_run {
                return Ok(CommandOutcome::Success);
            }
            eprintln!("driving: the holder was lost before it stored the proposal: ask again");
            return Ok(CommandOutcome::Rejected);
        }
        has_run |= !is_idle(&status);
        last = status;
    }
    eprintln!("driving: the change is still running");
    Ok(CommandOutcome::Rejected)
}

/// Returns whether a status text of the hierarchy role reports that no change is running.
fn is_idle(status: &str) -> bool {
    status.contains("no change runs")
}

fn hand_over(name: &str, to: Option<u32>, target: &Target) -> Result<CommandOutcome, Vec<String>> {
    let Some((role, _)) = ROLES.iter().find(|(_, known)| *known == name).copied() else {
        let known: Vec<&str> = ROLES.iter().map(|(_, known)| *known).collect();
        return Err(vec![format!("{name}: no such role; the roles are {}", known.join(", "))]);
    };
    let Some(holder) = find_holder(target, role)? else {
        eprintln!("{name}: none of the called members holds it now");
        return Ok(CommandOutcome::Rejected);
    };
    let replies = target.send(holder.address, Message::HandOver { role, to }).map_err(|e| vec![e])?;
    if !replies.contains(&Reply::HandOverStarted { role, started: true }) {
        eprintln!("{name}: member {} does not hold it any more: ask again", holder.member);
        return Ok(CommandOutcome::Rejected);
    }
    let started = Instant::now();
    while started.elapsed() < target.timeout().max(MIN_HAND_OVER_WAIT) {
        std::thread::sleep(HAND_OVER_INTERVAL);
        let Some(next) = find_holder(target, role)?.filter(|next| next.term > holder.term) else { continue };
        println!(
            "{name}: member {} released it in term {}, member {} holds it in term {} ({:.2} s)",
            holder.member,
            holder.term,
            next.member,
            next.term,
            started.elapsed().as_secs_f64()
        );
        let is_requested = to.is_none_or(|to| to == next.member);
        return Ok(if is_requested { CommandOutcome::Success } else { CommandOutcome::Rejected });
    }
    println!("{name}: member {} released it in term {}, nobody holds it yet", holder.member, holder.term);
    Ok(CommandOutcome::Rejected)
}
