//! `sablecross duty ...`: who owns what in a fleet, and hand-overs that go through the lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use sablecross_coordination::messages::{MemberStatus, Message, Reply, Request, RoleId, RoleReport};
use sablecross_coordination::{LeaseHolder, Member};
use sablecross_director::coordination::call_member;
use sablecross_director::coordination::settings::{CoordinationSettings, HIERARCHY_ROLE, ROLES, role_name};

use crate::Verdict;

#[derive(Args)]
pub struct Whom {
    /// The settings of the duties, as the directors have them: all voters are asked.
    #[arg(long, conflicts_with = "at")]
    settings: Option<PathBuf>,
    /// A director's address; more than one may be named.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// Seconds that each is waited for.
    #[arg(long, default_value_t = 2.0)]
    time: f64,
}

#[derive(Subcommand)]
pub enum Command {
    /// Each director's view: owners, terms, the deal of chores, what was refused. Changes nothing.
    Show {
        #[command(flatten)]
        whom: Whom,
        #[arg(long)]
        json: bool,
    },
    /// Hands a version of the hierarchy to whoever drives changes, and follows the change to its end.
    Change {
        /// As an S-expression: see docs/hierarchy-operators.md.
        file: PathBuf,
        /// Seconds after which it is followed no more; it goes on all the same.
        #[arg(long, default_value_t = 600.0)]
        follow: f64,
        #[command(flatten)]
        whom: Whom,
    },
    /// Asks the owner of a duty to give it up, to the voter of this number or to the next one; waits for the new owner.
    HandOver {
        /// dealing or driving
        duty: String,
        #[arg(long)]
        to: Option<u32>,
        #[command(flatten)]
        whom: Whom,
    },
}

/// Whoever looks from outside is no member.
const OUTSIDE: Member = Member { number: u32::MAX, incarnation: 0 };

impl Whom {
    fn addresses(&self) -> Result<Vec<SocketAddr>, Vec<String>> {
        match &self.settings {
            None if self.at.is_empty() => {
                Err(vec!["name directors with --at, or their settings with --settings".into()])
            }
            None => Ok(self.at.clone()),
            Some(file) => {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
                let setting = CoordinationSettings::parse(&name, &text);
                Ok(setting
                    .map_err(|f| f.iter().map(ToString::to_string).collect::<Vec<_>>())?
                    .voter_addresses)
            }
        }
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time.clamp(0.01, 3_600.0))
    }

    fn say(&self, at: SocketAddr, word: Message) -> Result<Vec<Reply>, String> {
        let request = Request { from: OUTSIDE, messages: vec![word] };
        call_member(at, &request, self.time()).map_err(|e| format!("{at}: {e}"))
    }

    fn shown(&self, at: SocketAddr) -> Result<MemberStatus, String> {
        let said = self.say(at, Message::ShowStatus)?;
        let shown = said.into_iter().find_map(|a| if let Reply::Status(s) = a { Some(s) } else { None });
        shown.ok_or(format!("{at}: it shows nothing"))
    }
}

pub fn run(command: &Command) -> Result<Verdict, Vec<String>> {
    match command {
        Command::Show { whom, json } => show(whom, *json),
        Command::Change { file, follow, whom } => change(file, *follow, whom),
        Command::HandOver { duty, to, whom } => hand_over(duty, *to, whom),
    }
}

fn seconds(ns: u64) -> String {
    format!("{:.2} s", ns as f64 / 1e9)
}

fn show(whom: &Whom, json: bool) -> Result<Verdict, Vec<String>> {
    let mut views = BTreeMap::new();
    let mut silent = Vec::new();
    for at in whom.addresses()? {
        match whom.shown(at) {
            Ok(shown) => {
                views.insert(at, shown);
            }
            Err(e) => silent.push(e),
        }
    }
    if json {
        let text = serde_json::to_string_pretty(&views).map_err(|e| vec![e.to_string()])?;
        println!("{text}");
    } else {
        for (at, s) in &views {
            let voter = match (s.voter, s.silent_for) {
                (None, _) => "no voter".into(),
                (Some(v), 0) => format!("voter {v}"),
                (Some(v), left) => format!("voter {v}, silent for {} more", seconds(left)),
            };
            println!("{at} member {} life {} ({voter})", s.member.number, s.member.incarnation);
            for h in &s.roles {
                let owner = match h.holder {
                    Some(LeaseHolder { member, remaining }) => {
                        format!("granted to member {} for {}", member.number, seconds(remaining))
                    }
                    None => "granted to nobody".into(),
                };
                let own = h.own_lease.map_or(String::new(), |lease| {
                    format!(", OWNS term {} for {}", lease.token.term, seconds(lease.remaining))
                });
                println!("  {:<8} highest term {}, {owner}{own}", role_name(h.role), h.highest_term);
            }
            let holds = if s.assignment_valid_for == 0 {
                "does not hold here now".into()
            } else {
                format!("holds for {}", seconds(s.assignment_valid_for))
            };
            println!(
                "  deal {}.{} by member {} among {} members, {holds}; {} boxes here, {} probes made",
                s.assignment.version.term,
                s.assignment.version.number,
                s.assignment.assigner.number,
                s.assignment.members.len(),
                s.target_count,
                s.checks_sent
            );
            for RoleReport { role, text } in &s.role_status {
                println!("  {} says: {text}", role_name(*role));
            }
            println!(
                "  refused here {}, older deals passed over {}, own refused at gates {}",
                s.rejected_here, s.stale_assignments_ignored, s.own_rejections
            );
        }
    }
    for (duty, name) in ROLES {
        let owners: Vec<u32> = views
            .values()
            .filter(|s| s.roles.iter().any(|h| h.role == duty && h.own_lease.is_some()))
            .map(|s| s.member.number)
            .collect();
        match owners[..] {
            [] => eprintln!("{name}: nobody of those asked owns it"),
            [one] => eprintln!("{name}: member {one}"),
            // Views are moments apart: a hand-over between them looks like two.
            _ => eprintln!("{name}: members {owners:?}: it passed on meanwhile, or look again"),
        }
    }
    silent.iter().for_each(|e| eprintln!("{e}"));
    Ok(if silent.is_empty() { Verdict::Well } else { Verdict::Refused })
}

fn owner(whom: &Whom, duty: RoleId) -> Result<Option<(SocketAddr, u32, u64)>, Vec<String>> {
    let views = whom.addresses()?.into_iter().filter_map(|at| Some((at, whom.shown(at).ok()?)));
    let owns = |(at, s): (SocketAddr, MemberStatus)| {
        let own = s.roles.iter().find(|h| h.role == duty)?.own_lease?;
        Some((at, s.member.number, own.token.term))
    };
    Ok(views.filter_map(owns).max_by_key(|o| o.2))
}

/// What the holder of the hierarchy role reports.
fn hierarchy_status(status: MemberStatus) -> Option<String> {
    status.role_status.into_iter().find(|report| report.role == HIERARCHY_ROLE).map(|report| report.text)
}

fn change(file: &std::path::Path, follow: f64, whom: &Whom) -> Result<Verdict, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    sablecross_hierarchy::spec::parse_settings(&name, &text, None)
        .map_err(|f| f.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    let Some((at, number, term)) = owner(whom, HIERARCHY_ROLE)? else {
        eprintln!("driving: nobody of those asked owns it now: ask again");
        return Ok(Verdict::Refused);
    };
    let said = whom
        .say(at, Message::Propose { role: HIERARCHY_ROLE, bytes: text.into_bytes() })
        .map_err(|e| vec![e])?;
    if !said.contains(&Reply::ProposalResult { role: HIERARCHY_ROLE, result: Ok(()) }) {
        eprintln!("driving: member {number} does not own it any more: ask again");
        return Ok(Verdict::Refused);
    }
    println!("member {number} drives in term {term}");
    let before = whom.shown(at).ok().and_then(hierarchy_status);
    let mut ran = before.is_none_or(|status| !status.contains("no change runs"));
    let begun = Instant::now();
    let mut last = String::new();
    while begun.elapsed().as_secs_f64() < follow {
        std::thread::sleep(Duration::from_millis(100));
        // A new owner goes on with it.
        let Some((at, number, _)) = owner(whom, HIERARCHY_ROLE)? else { continue };
        let Ok(shown) = whom.shown(at) else { continue };
        let Some(status) = hierarchy_status(shown) else { continue };
        if status != last {
            println!("{:>7.1} s  member {number}: {status}", begun.elapsed().as_secs_f64());
        }
        if status.contains("last refused") {
            return Ok(Verdict::Refused);
        }
        let rests = status.contains("no change runs");
        if rests && status.contains(" 0 missing") {
            if !ran {
                eprintln!("driving: the owner was lost before the wish was kept: ask again");
                return Ok(Verdict::Refused);
            }
            return Ok(Verdict::Well);
        }
        ran |= !rests;
        last = status;
    }
    eprintln!("driving: it runs still");
    Ok(Verdict::Refused)
}

fn hand_over(name: &str, to: Option<u32>, whom: &Whom) -> Result<Verdict, Vec<String>> {
    let Some((duty, _)) = ROLES.iter().find(|d| d.1 == name).copied() else {
        let known: Vec<&str> = ROLES.iter().map(|d| d.1).collect();
        return Err(vec![format!("{name}: no such duty; there are {}", known.join(", "))]);
    };
    let Some((at, number, term)) = owner(whom, duty)? else {
        eprintln!("{name}: nobody of those asked owns it now");
        return Ok(Verdict::Refused);
    };
    let said = whom.say(at, Message::HandOver { role: duty, to }).map_err(|e| vec![e])?;
    if !said.contains(&Reply::HandOverStarted { role: duty, started: true }) {
        eprintln!("{name}: member {number} owned it and does not any more: look again");
        return Ok(Verdict::Refused);
    }
    let begun = Instant::now();
    while begun.elapsed() < whom.time().max(Duration::from_secs(2)) {
        std::thread::sleep(Duration::from_millis(50));
        if let Some((_, next, later)) = owner(whom, duty)?.filter(|o| o.2 > term) {
            let took = begun.elapsed().as_secs_f64();
            println!(
                "{name}: member {number} gave it up in term {term}, member {next} has it in term {later} ({took:.2} s)"
            );
            return Ok(if to.is_none_or(|to| to == next) { Verdict::Well } else { Verdict::Refused });
        }
    }
    println!("{name}: member {number} gave it up in term {term}, nobody has taken it yet");
    Ok(Verdict::Refused)
}
