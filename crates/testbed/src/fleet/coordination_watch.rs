//! What duties came to in a trial, by what the boxes counted and the directors' logs say: whether an old owner's effect was
//! ever taken, how long a new owner took, how steadily boxes were probed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sablecross_coordination::Member;
use sablecross_coordination::messages::{MemberStatus, Message, Reply, Request, RoleId};
use sablecross_director::coordination::call_member;
use sablecross_director::coordination::settings::HIERARCHY_ROLE;
use serde::{Deserialize, Serialize};

use super::node::{Probe, Seconds};
use super::settings::CoordinationTrial;

/// What was done to the dealer: when, and who it was.
#[derive(Clone, Copy, Debug)]
pub struct HolderFault {
    pub at: Seconds,
    pub member: usize,
    pub duty: RoleId,
}

/// One that began to deal, by its log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseStart {
    pub at: Seconds,
    pub member: usize,
    pub duty: RoleId,
    pub term: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CoordinationReport {
    pub probes: u64,
    /// Refused by the boxes' gates: they came of an old owner.
    pub refused: u64,
    /// Words of old owners that voters refused, and older deals that members passed over, in the lives that stand at the end.
    pub refused_by_voters: u64,
    pub passed_over: u64,
    /// Taken although a newer token was taken before at that box.
    pub disorder: u64,
    /// Two owners taken under one token.
    pub twins: u64,
    /// Terms of dealing with two dealers: all voters had forgotten them.
    pub same_term: u64,
    pub owners: u64,
    /// Seconds from a blow to the dealer until another one dealt: the middle, the 99th percentile, the most, and how often.
    pub takeover: [f64; 3],
    pub blows: usize,
    /// Blows after which nobody dealt before the next one.
    pub unanswered: usize,
    /// The longest pause between two probes of one box, and where.
    pub gap: f64,
    pub gap_at: String,
    /// The most probes of one box in a second, and how many times the usual that is.
    pub burst: u32,
    pub burst_times: f64,
    /// Probes of a box in a second, the mean.
    pub rate: f64,
    /// Bytes a second between a member and all voters, both ways, and CPU seconds a second of a director.
    pub bytes: f64,
    pub cpu: f64,
    /// Changes of the hierarchy that were wished for, begun and ended; versions that went back at a member in one life; the most
    /// numbers that two members were apart, and the last number.
    pub wished: u64,
    pub changes: u64,
    pub changed: u64,
    pub back: u64,
    pub apart: u64,
    pub version: u64,
    /// Requests that warmed caches, and those of old owners that were refused.
    pub warmed: u64,
    pub warm_refused: u64,
    /// At caches that began anew, in the first five seconds and the next: requests with a copy there, and all.
    pub fresh: [(u64, u64); 2],
}

/// What a director says of its duties; none: it does not answer.
pub fn member_status(at: SocketAddr) -> Option<MemberStatus> {
    let request =
        Request { from: Member { number: u32::MAX, incarnation: 0 }, messages: vec![Message::ShowStatus] };
    let said = call_member(at, &request, Duration::from_millis(300)).ok()?;
    said.into_iter().find_map(|a| if let Reply::Status(shown) = a { Some(shown) } else { None })
}

/// Who owns a duty now, of these voters.
pub fn find_holder(voters: &[SocketAddr], duty: RoleId) -> Option<usize> {
    voters.iter().position(|at| {
        member_status(*at).is_some_and(|s| s.roles.iter().any(|d| d.role == duty && d.own_lease.is_some()))
    })
}

/// Hands a version of the hierarchy to whoever drives; whether it was heard.
pub fn propose_hierarchy(driver: SocketAddr, text: &str) -> bool {
    let words = vec![Message::Propose { role: HIERARCHY_ROLE, bytes: text.as_bytes().to_vec() }];
    let request = Request { from: Member { number: u32::MAX, incarnation: 0 }, messages: words };
    let said = call_member(driver, &request, Duration::from_millis(500));
    said.is_ok_and(|said| said.contains(&Reply::ProposalResult { role: HIERARCHY_ROLE, result: Ok(()) }))
}

const DAY_MS: u64 = 86_400_000;

/// Milliseconds of the day of a line of the log.
fn at_ms(line: &str) -> Option<u64> {
    let clock = line.get(11..23)?;
    let parts = [clock.get(0..2)?, clock.get(3..5)?, clock.get(6..8)?, clock.get(9..12)?];
    let [h, m, s, ms] = parts.map(|p| p.parse::<u64>().ok());
    Some(((h? * 60 + m?) * 60 + s?) * 1_000 + ms?)
}

/// Those that began to own a duty, by the log of one director; times count from `zero`, in Unix milliseconds.
pub fn lease_starts(member: usize, log: &Path, zero: u64) -> Vec<LeaseStart> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let one = |line: &str| {
        let rest = line.split_once("coordination lease acquired ")?.1;
        let field = |name: &str| {
            rest.split(' ').find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        // Directors' own times are of no wall clock: the log's are, of one day.
        let at = (at_ms(line)? + DAY_MS - zero % DAY_MS) % DAY_MS;
        let at = at as f64 / 1e3;
        Some(LeaseStart { at, member, duty: field("role")? as RoleId, term: field("term")? })
    };
    text.lines().filter_map(one).collect()
}

impl CoordinationReport {
    /// `boxes`: by name, what came; times from the start of the load. Boxes in `struck` at a time are not blamed for gaps.
    pub fn of(
        d: &CoordinationTrial,
        seconds: f64,
        warm_up: f64,
        boxes: &BTreeMap<String, Vec<Probe>>,
        excused: &[(String, Seconds, Seconds)],
        blows: &[HolderFault],
        begun: &[LeaseStart],
    ) -> CoordinationReport {
        let mut w = CoordinationReport { blows: blows.len(), ..CoordinationReport::default() };
        let usual = (1_000.0 / d.probe_ms as f64).max(1.0);
        for (name, probes) in boxes {
            w.probes += probes.len() as u64;
            let mut newest = 0;
            let mut owners: BTreeMap<u64, BTreeSet<Member>> = BTreeMap::new();
            for p in probes {
                if !p.passed {
                    w.refused += 1;
                    continue;
                }
                w.disorder += u64::from(p.token.term < newest);
                newest = newest.max(p.token.term);
                owners.entry(p.token.term).or_default().insert(p.token.holder);
            }
            w.twins += owners.values().filter(|o| o.len() > 1).count() as u64;
            let out = |from: Seconds, to: Seconds| {
                excused.iter().any(|(n, begin, end)| n == name && *begin < to && *end + 1.0 > from)
            };
            let times = probes.iter().filter(|p| p.passed).map(|p| p.at).filter(|at| *at >= warm_up);
            let mut before = warm_up;
            for at in times.chain([seconds]) {
                if at - before > w.gap && !out(before, at) {
                    (w.gap, w.gap_at) = (at - before, name.clone());
                }
                before = at;
            }
            let all: Vec<Seconds> = probes.iter().map(|p| p.at).filter(|at| *at >= warm_up).collect();
            for (n, at) in all.iter().enumerate() {
                let within = all[n..].iter().take_while(|t| **t < at + 1.0).count() as u32;
                // What was held up comes at once when that is over.
                if within > w.burst && !out(*at, at + 1.0) {
                    w.burst = within;
                }
            }
        }
        w.burst_times = f64::from(w.burst) / usual;
        w.rate = w.probes as f64 / boxes.len().max(1) as f64 / seconds.max(1.0);
        let mut terms: BTreeMap<(RoleId, u64), BTreeSet<usize>> = BTreeMap::new();
        for b in begun {
            terms.entry((b.duty, b.term)).or_default().insert(b.member);
        }
        w.same_term = terms.values().filter(|m| m.len() > 1).count() as u64;
        w.owners = begun.len() as u64;
        let mut took = Vec::new();
        for (n, blow) in blows.iter().enumerate() {
            let next = blows[n + 1..].iter().find(|b| b.duty == blow.duty).map_or(seconds, |b| b.at);
            let other = begun
                .iter()
                .filter(|b| b.duty == blow.duty && b.at > blow.at && b.at < next && b.member != blow.member);
            match other.map(|b| b.at - blow.at).min_by(f64::total_cmp) {
                Some(after) => took.push(after),
                None => w.unanswered += 1,
            }
        }
        took.sort_by(f64::total_cmp);
        if let Some(last) = took.len().checked_sub(1) {
            w.takeover = [took[last / 2], took[last * 99 / 100], took[last]];
        }
        w
    }

    /// What became of the hierarchy, by the directors' logs.
    pub fn versions(&mut self, logs: &[&Path]) {
        // When, who, and its version then; 0: it begins anew.
        let mut moves: Vec<(u64, usize, u64)> = Vec::new();
        for (member, log) in logs.iter().enumerate() {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            for line in text.lines() {
                let Some(at) = at_ms(line) else { continue };
                let field = |name: &str| {
                    line.split(' ').find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
                };
                if line.contains("coordination member number=") {
                    moves.push((at, member, 0));
                } else if line.contains("hierarchy in force version=") && line.contains(" by=") {
                    moves.push((at, member, field("version").unwrap_or(0)));
                } else if line.contains("hierarchy change=") && line.contains(" begun ") {
                    self.changes += 1;
                } else if line.contains("hierarchy change=") && line.contains(" ended ") {
                    self.changed += 1;
                }
            }
        }
        moves.sort_unstable();
        let mut has: BTreeMap<usize, u64> = BTreeMap::new();
        for (_, member, version) in moves {
            let before = has.insert(member, version).unwrap_or(0);
            self.back += u64::from(version > 0 && version < before);
            self.version = self.version.max(version);
            let there = has.values().filter(|v| **v > 0);
            let (least, most) = (there.clone().min(), there.max());
            self.apart = self.apart.max(most.zip(least).map_or(0, |(m, l)| m - l));
        }
    }

    pub fn violations(&self, d: &CoordinationTrial) -> Vec<String> {
        let mut found = Vec::new();
        let mut none = |what: &str, n: u64| {
            if n > 0 {
                found.push(format!("{what}: {n}"));
            }
        };
        none("effects of an old owner that were taken", self.disorder);
        none("tokens under which two owners were taken", self.twins);
        none("versions of the hierarchy that went back at a member", self.back);
        none("versions that were two steps apart at two members", u64::from(self.apart > 1));
        none("duties: nothing was probed", u64::from(self.probes == 0));
        if self.gap > d.gap_s {
            found.push(format!("{} was not probed for {:.1} s, of {:.1}", self.gap_at, self.gap, d.gap_s));
        }
        if self.burst_times > d.burst {
            found.push(format!(
                "a box was probed {:.1} times as often as usual, of {:.1}",
                self.burst_times, d.burst
            ));
        }
        found
    }
}

impl fmt::Display for CoordinationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "duties: {} probes, {:.2} a box and second, {} of old owners refused, {} taken; {} tokens with two owners; {} of their \
             words refused by voters, {} older deals passed over",
            self.probes,
            self.rate,
            self.refused,
            self.disorder,
            self.twins,
            self.refused_by_voters,
            self.passed_over
        )?;
        writeln!(
            f,
            "longest pause of a box {:.2} s, most in a second {} ({:.1} times the usual)",
            self.gap, self.burst, self.burst_times
        )?;
        writeln!(
            f,
            "owners {} ({} terms given twice); after {} blows to an owner another one began after {:.2} s in the middle, \
             {:.2} s at the 99th percentile, {:.2} s at most; {} were not followed by one",
            self.owners,
            self.same_term,
            self.blows,
            self.takeover[0],
            self.takeover[1],
            self.takeover[2],
            self.unanswered
        )?;
        if self.fresh[0].1 > 0 {
            let part = |(hits, all): (u64, u64)| hits as f64 / all.max(1) as f64;
            writeln!(
                f,
                "caches begun anew: {:.3} of {} requests found a copy in 5 s, {:.3} of {} in the next 5; {} objects fetched to warm \
                 them, {} of old owners refused",
                part(self.fresh[0]),
                self.fresh[0].1,
                part(self.fresh[1]),
                self.fresh[1].1,
                self.warmed,
                self.warm_refused
            )?;
        }
        if self.wished > 0 {
            writeln!(
                f,
                "hierarchy: {} wishes, {} changes begun, {} ended, version {}; members {} versions apart at most, {} went back",
                self.wished, self.changes, self.changed, self.version, self.apart, self.back
            )?;
        }
        writeln!(
            f,
            "a member and the voters {:.0} bytes a second; a director {:.4} CPU",
            self.bytes, self.cpu
        )
    }
}
