//! What a trial came to: from source to in force everywhere, what a director and a relay take, what the faults did.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::pool_messages::{Came, Finished, PoolProgress};
use super::settings::Scale;
use super::source::Published;
use crate::client_load::histogram;
use crate::trial_report::{Chart, TrialReport};

/// What heads and acknowledgements add to payload, by arithmetic: a packet of data and its acknowledgement for each read,
/// nine packets beside for each call.
const READ_HEADS: f64 = 132.0;
const CALL_HEADS: f64 = 594.0;
/// How far hollow directors may differ from real ones before their figures are of no use.
const BYTES_APART: f64 = 0.1;
const USE_APART: f64 = 0.25;
/// Nanoseconds: an event that takes longer to be in force everywhere is behind.
const BEHIND: u64 = 1_000_000_000;
/// Nanoseconds that the clock of Unix time, in whole milliseconds, and the other one may be apart.
const CLOCKS: u64 = 5_000_000;
/// A program that was woken so late ran on a machine too busy to judge by.
const TOO_LATE: f64 = 0.5;

/// A fault as it was carried out, by the clock that all processes share.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    pub what: String,
    pub n: usize,
    pub from: u64,
    pub to: u64,
}

/// CPU seconds and MB.
type Use = (f64, f64);

/// What all processes had used at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: u64,
    pub ticks: Vec<PoolProgress>,
    pub hollow: Vec<Use>,
    pub real: Vec<Use>,
    pub real_bytes: [u64; 2],
    pub relays: Vec<Use>,
    /// Of each relay, with other relays: asked, heard, was asked, told.
    pub between: Vec<[u64; 4]>,
    /// This program, which is the source of a star.
    pub own: f64,
}

/// What was counted over the whole.
pub struct Counted {
    pub zero: u64,
    /// The number of the list of the start.
    pub first: u64,
    pub published: Vec<Published>,
    pub again: usize,
    pub ticks: Vec<PoolProgress>,
    pub finished: Vec<Finished>,
    /// Processes that did not say what they came to, or whose directors had not come to the last number in time.
    pub silent: usize,
    pub settled: usize,
    pub reals_behind: usize,
    pub reals_gaps: u64,
    pub ended: usize,
    pub late: f64,
    /// What the relays say of numbers, rising: since when they are in force everywhere.
    pub passed: Vec<(u64, u64)>,
}

/// Milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    pub events: usize,
    pub p50: f64,
    pub p99: f64,
    pub most: f64,
    /// In force everywhere later than they may be.
    pub late: usize,
}

impl Latency {
    /// Of milliseconds.
    fn of(all: &[f64]) -> Latency {
        let of = histogram(all.iter().map(|ms| (ms * 1e3) as u64));
        let at = |q: f64| of.value_at_quantile(q) as f64 / 1e3;
        let most = all.iter().copied().fold(0.0, f64::max);
        if all.is_empty() {
            return Latency::default();
        }
        Latency { events: all.len(), p50: at(0.5).min(most), p99: at(0.99).min(most), most, late: 0 }
    }
}

/// What one director takes, in the mean.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Side {
    pub many: usize,
    /// Bytes a second of payload, heard and said.
    pub heard: f64,
    pub said: f64,
    /// Part of a core; MB.
    pub cpu: f64,
    pub memory: f64,
}

/// What a relay takes: part of a core, MB, bytes a second with other relays.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RoleUse {
    pub name: String,
    pub voter: bool,
    pub cpu: f64,
    pub memory: f64,
    pub heard: f64,
    pub told: f64,
}

/// Until when events came into force everywhere over a second late, in seconds from a fault's begin; 0: none did. And the
/// same from its end, for what was published before that.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveryTime {
    pub what: String,
    pub at: f64,
    pub lasted: f64,
    pub from_begin: f64,
    pub from_end: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub trial: Scale,
    pub published: usize,
    /// Never confirmed by the source; published again as the first call was not answered.
    pub unconfirmed: usize,
    pub again: usize,
    /// From the publisher to the confirmation by the source.
    pub confirmed: Latency,
    /// From the publisher to in force everywhere, with no fault in the way and with one.
    pub purges: Latency,
    pub changes: Latency,
    pub struck_purges: Latency,
    pub struck_changes: Latency,
    /// With no fault in the way: from the publisher until the relays say that it is in force everywhere, and how often they
    /// say so before it is.
    pub known: Latency,
    pub early: usize,
    pub missed: u64,
    pub disorder: u64,
    pub twice: u64,
    /// Numbers under which not all had the same.
    pub differs: u64,
    /// Not told any more as they bind no longer; lists that are not as they were told.
    pub lapsed: u64,
    pub wrong_lists: u64,
    pub gaps: u64,
    pub skipped: u64,
    pub restarts: u64,
    /// From a director's restart until all was in force that was then.
    pub catch_up: Latency,
    pub hollow: Side,
    pub real: Side,
    /// With heads and acknowledgements, by arithmetic: bytes a second of a hollow one.
    pub with_heads: f64,
    pub reads: f64,
    pub calls: f64,
    pub roles: Vec<RoleUse>,
    /// This program's part of a core: in a star the source is in it.
    pub own_cpu: f64,
    pub faults: Vec<RecoveryTime>,
    pub behind: usize,
    pub reals_behind: usize,
    pub reals_gaps: u64,
    pub silent: usize,
    pub ended: usize,
    pub late: f64,
    /// By second: most milliseconds to in force everywhere of what was published in it.
    pub seconds: Vec<u64>,
}

/// By number: what all processes together had of an event.
fn merged(finished: &[Finished], differs: &mut u64) -> BTreeMap<u64, Came> {
    let mut all: BTreeMap<u64, Came> = BTreeMap::new();
    for came in finished.iter().flat_map(|f| &f.came) {
        let known = all.entry(came.number).or_insert(Came { by: 0, last: 0, ..*came });
        *differs += u64::from(known.content.zip(came.content).is_some_and(|(a, b)| a != b));
        known.content = known.content.or(came.content);
        (known.by, known.last) = (known.by + came.by, known.last.max(came.last));
    }
    all
}

const MS: f64 = 1e6;
const SEC: f64 = 1e9;

impl Report {
    pub fn of(
        s: &Scale,
        c: &Counted,
        from: &Sample,
        to: &Sample,
        names: &[String],
        struck: &[FaultWindow],
    ) -> Report {
        let sum = |of: fn(&Finished) -> u64| c.finished.iter().map(of).sum::<u64>();
        let mut differs = sum(|f| f.differs);
        let came = merged(&c.finished, &mut differs);
        // A content under two numbers was told twice, whatever each director made of it.
        let contents: Vec<u32> = came.values().filter_map(|c| c.content).filter(|c| *c > 0).collect();
        let twice = contents.len() - contents.iter().collect::<BTreeSet<_>>().len();
        for (n, p) in c.published.iter().enumerate() {
            let content = p.number.and_then(|n| came.get(&n)).and_then(|c| c.content);
            let other = content.is_some_and(|c| c as usize != n + 1);
            differs += u64::from(other);
        }
        let everywhere =
            |p: &Published| p.number.and_then(|n| came.get(&n)).map(|c| c.last).filter(|at| *at > 0);
        // When all that was published before a fault's end was in force.
        let over: Vec<u64> = struck
            .iter()
            .map(|f| {
                let before = c.published.iter().filter(|p| p.at <= f.to).filter_map(everywhere);
                before.filter(|at| *at >= f.from).max().unwrap_or(f.to).max(f.to)
            })
            .collect();
        let mut found: [[Vec<f64>; 2]; 2] = Default::default();
        let mut late = [[0usize; 2]; 2];
        let (mut known, mut early) = (Vec::new(), 0);
        let mut seconds = vec![0; s.seconds as usize];
        for p in &c.published {
            let Some(at) = everywhere(p) else { continue };
            let excused = struck.iter().zip(&over).filter(|(f, _)| s.faults[f.n].kind.excuses_lateness());
            let in_way = excused.filter(|(f, over)| p.at <= **over && at >= f.from);
            let ends: Vec<u64> = in_way.map(|(f, _)| f.to).collect();
            let took = at.saturating_sub(p.at) as f64 / MS;
            let within = 1e3 * if p.change { s.change_within } else { s.purge_within };
            let owed = ends.iter().copied().fold(p.at, u64::max);
            let (hit, change) = (usize::from(!ends.is_empty()), usize::from(p.change));
            found[hit][change].push(took);
            late[hit][change] += usize::from(at.saturating_sub(owed) as f64 / MS > within);
            let passed = c.passed.partition_point(|(n, _)| Some(*n) < p.number);
            // An owner knows only what came after it began.
            let owned = c.passed.first().is_some_and(|(_, since)| *since <= p.at);
            if let Some((_, said)) = c.passed.get(passed).filter(|_| hit == 0 && owned) {
                known.push(said.saturating_sub(p.at) as f64 / MS);
                early += usize::from(said + CLOCKS < at);
            }
            let second = (p.at.saturating_sub(c.zero) as f64 / SEC) as usize;
            if let Some(most) = seconds.get_mut(second) {
                *most = took.max(*most as f64) as u64;
            }
        }
        let latency = |hit: usize, change: usize| Latency {
            late: late[hit][change],
            ..Latency::of(&found[hit][change])
        };
        let faults = struck.iter().zip(&over).map(|(f, over)| {
            let behind =
                c.published.iter().filter(|p| p.at <= *over).filter_map(|p| Some((p.at, everywhere(p)?)));
            let last =
                behind.filter(|(at, came)| *came >= f.from && came - at > BEHIND).map(|(_, came)| came).max();
            RecoveryTime {
                what: f.what.clone(),
                at: f.from.saturating_sub(c.zero) as f64 / SEC,
                lasted: (f.to - f.from) as f64 / SEC,
                from_begin: last.map_or(0.0, |at| (at - f.from) as f64 / SEC),
                from_end: last.map_or(0.0, |at| at.saturating_sub(f.to) as f64 / SEC),
            }
        });
        let time = ((to.at - from.at) as f64 / SEC).max(1e-3);
        let many = |n: usize| n.max(1) as f64 * time;
        let ticked = |of: fn(&PoolProgress) -> u64| {
            let sum = |s: &Sample| s.ticks.iter().map(of).sum::<u64>();
            (sum(to) - sum(from)) as f64 / many(s.hollow)
        };
        let cpu = |of: fn(&Sample) -> &Vec<Use>| {
            of(to).iter().map(|u| u.0).sum::<f64>() - of(from).iter().map(|u| u.0).sum::<f64>()
        };
        let memory = |of: &Vec<Use>| of.iter().map(|u| u.1).sum::<f64>();
        let hollow = Side {
            many: s.hollow,
            heard: ticked(|t| t.bytes_in),
            said: ticked(|t| t.bytes_out),
            cpu: cpu(|s| &s.hollow) / many(s.hollow),
            memory: memory(&to.hollow) / s.hollow as f64,
        };
        let real_bytes = |way: usize| (to.real_bytes[way] - from.real_bytes[way]) as f64 / many(s.real);
        let real = Side {
            many: s.real,
            heard: real_bytes(1),
            said: real_bytes(0),
            cpu: cpu(|s| &s.real) / many(s.real),
            memory: memory(&to.real) / s.real.max(1) as f64,
        };
        let roles = names.iter().enumerate().map(|(n, name)| {
            let between = |way: usize| (to.between[n][way] - from.between[n][way]) as f64 / time;
            RoleUse {
                name: name.clone(),
                voter: n < s.voters,
                cpu: (to.relays[n].0 - from.relays[n].0) / time,
                memory: to.relays[n].1,
                heard: between(1) + between(2),
                told: between(0) + between(3),
            }
        });
        let confirmed: Vec<f64> = c
            .published
            .iter()
            .filter(|p| p.number.is_some())
            .map(|p| p.confirmed.saturating_sub(p.at) as f64 / MS)
            .collect();
        let catch_up: Vec<f64> = c.finished.iter().flat_map(|f| &f.catch_up).map(|ms| *ms as f64).collect();
        let (reads, calls) = (ticked(|t| t.reads), ticked(|t| t.calls));
        Report {
            trial: s.clone(),
            published: c.published.len(),
            unconfirmed: c.published.iter().filter(|p| p.number.is_none()).count(),
            again: c.again,
            confirmed: Latency::of(&confirmed),
            purges: latency(0, 0),
            changes: latency(0, 1),
            struck_purges: latency(1, 0),
            struck_changes: latency(1, 1),
            known: Latency::of(&known),
            early,
            missed: sum(|f| f.missed),
            disorder: sum(|f| f.disorder),
            twice: sum(|f| f.twice) + twice as u64,
            differs,
            lapsed: sum(|f| f.lapsed),
            wrong_lists: sum(|f| f.wrong_lists),
            gaps: c.ticks.iter().map(|t| t.gaps).sum(),
            skipped: c.ticks.iter().map(|t| t.skipped).sum(),
            restarts: sum(|f| f.restarts),
            catch_up: Latency::of(&catch_up),
            with_heads: hollow.heard + hollow.said + READ_HEADS * reads + CALL_HEADS * calls,
            reads,
            calls,
            hollow,
            real,
            roles: roles.collect(),
            own_cpu: (to.own - from.own) / time,
            faults: faults.collect(),
            behind: c.settled,
            reals_behind: c.reals_behind,
            reals_gaps: c.reals_gaps,
            silent: c.silent,
            ended: c.ended,
            late: c.late,
            seconds,
        }
    }

    /// How many times a real one's bytes, processor time and memory a hollow one's are; none, where there are none.
    fn beside(&self) -> Option<[f64; 3]> {
        let (h, r) = (&self.hollow, &self.real);
        let of = [(h.heard + h.said, r.heard + r.said), (h.cpu, r.cpu), (h.memory, r.memory)];
        (r.many > 0).then(|| of.map(|(h, r)| h / r))
    }

    /// Which figures of hollow directors are of no use, as real ones beside them differ: those stand for them then.
    pub fn unlike(&self) -> Vec<String> {
        let Some([_, cpu, memory]) = self.beside() else { return Vec::new() };
        let all = [("processor time", cpu), ("memory", memory)];
        let apart = all.into_iter().filter(|(_, times)| (times - 1.0).abs() > USE_APART);
        apart.map(|(what, times)| format!("{what}: {times:.2} of a real one's")).collect()
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let s = &self.trial;
        let mut found = Vec::new();
        let mut none = |what: &str, n: u64| {
            if n > 0 {
                found.push(format!("{what}: {n}"));
            }
        };
        none("events missed", self.missed);
        none("events out of order", self.disorder);
        none("events applied twice", self.twice);
        none("numbers with unlike events", self.differs);
        none("lists that are not as they were told", self.wrong_lists);
        none("events passed over as unreadable", self.skipped + self.reals_gaps);
        none("events that the source never confirmed", self.unconfirmed as u64);
        none("events that the relays said to be in force everywhere too early", self.early as u64);
        none("processes whose directors had not come to the last number", self.behind as u64);
        none("real directors that had not come to the last number", self.reals_behind as u64);
        none("processes that did not say what they came to", self.silent as u64);
        none("processes that ended by themselves", self.ended as u64);
        for (what, latency, within) in [
            ("purges", &self.purges, s.purge_within),
            ("changes", &self.changes, s.change_within),
            ("purges with a fault in the way", &self.struck_purges, s.purge_within),
            ("changes with a fault in the way", &self.struck_changes, s.change_within),
        ] {
            none(&format!("{what} in force everywhere later than {within} s"), latency.late as u64);
        }
        // Bytes that differ make another load of the trial. Faults strike hollow directors alone.
        let calm = s.faults.is_empty();
        if let Some([times, ..]) = self.beside().filter(|[b, ..]| calm && (b - 1.0).abs() > BYTES_APART) {
            found.push(format!("hollow figures not to be used: bytes a second: {times:.2} of a real one's"));
        }
        let mut bound = |what: String, is: f64, most: f64| {
            if is > most {
                found.push(format!("{what}: {is:.4}, of {most}"));
            }
        };
        for (kind, side) in [("hollow", &self.hollow), ("real", &self.real)] {
            bound(format!("part of a core of a {kind} director"), side.cpu, s.core);
            bound(format!("MB of a {kind} director"), side.memory, s.memory_mb);
            // What is told again after a fault, or in a burst, is none of the steady load.
            if s.faults.is_empty() {
                bound(format!("bytes a second of a {kind} director"), side.heard + side.said, s.bytes);
            }
        }
        if s.faults.is_empty() {
            let what = "bytes a second of a hollow director with heads and acknowledgements";
            bound(what.into(), self.with_heads, s.bytes);
        }
        for role in &self.roles {
            bound(format!("part of a core of {}", role.name), role.cpu, s.relay_core);
        }
        found
    }

    fn title(&self) -> String {
        format!("{}: {} directors, {} events", self.trial.name, self.trial.hollow, self.published)
    }

    fn charts(&self) -> Vec<Chart> {
        let name = "most ms to in force everywhere, by the second of publishing (line: bound of purges)";
        let line = Some((1e3 * self.trial.purge_within) as u64);
        vec![Chart { name, curves: vec![self.seconds.clone()], line }]
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} events  p50 {:>8.1} ms  p99 {:>8.1} ms  most {:>8.1} ms",
            self.events, self.p50, self.p99, self.most
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.trial;
        let tier = match s.relays {
            0 => "one source, no relays".into(),
            n => format!("{n} relays, {} of them vote", s.voters),
        };
        writeln!(
            f,
            "{}: {} hollow and {} real directors, {tier}, {} nodes, seed {}, {} s",
            s.name, s.hollow, s.real, s.nodes, s.seed, s.seconds
        )?;
        writeln!(
            f,
            "published {}: {} of them never confirmed, {} calls again",
            self.published, self.unconfirmed, self.again
        )?;
        writeln!(f, "from source to in force everywhere")?;
        for (what, latency) in [
            ("confirmed", &self.confirmed),
            ("purges", &self.purges),
            ("changes", &self.changes),
            ("purges, fault", &self.struck_purges),
            ("changes, fault", &self.struck_changes),
            ("known by relays", &self.known),
            ("restart", &self.catch_up),
        ] {
            if latency.events > 0 {
                writeln!(f, "  {what:<15} {latency}")?;
            }
        }
        writeln!(
            f,
            "events missed {}, out of order {}, applied twice {}; let go as they bind no more {}; asked for again {}, unreadable {}",
            self.missed, self.disorder, self.twice, self.lapsed, self.gaps, self.skipped
        )?;
        writeln!(f, "a director       bytes/s heard   said   part of a core       MB")?;
        for (kind, side) in [("hollow", &self.hollow), ("real", &self.real)] {
            writeln!(
                f,
                "  {kind:<8} {:>5}        {:>7.0} {:>6.0}          {:>7.4}  {:>7.2}",
                side.many, side.heard, side.said, side.cpu, side.memory
            )?;
        }
        writeln!(
            f,
            "  with heads and acknowledgements {:.0} bytes/s by arithmetic, of {:.2} reads and {:.2} calls a second",
            self.with_heads, self.reads, self.calls
        )?;
        for role in &self.roles {
            writeln!(
                f,
                "  {:<9} {:<6} part of a core {:>6.3}  {:>6.1} MB  with other relays: heard {:>8.0}, told {:>8.0} bytes/s",
                role.name,
                if role.voter { "votes" } else { "plain" },
                role.cpu,
                role.memory,
                role.heard,
                role.told
            )?;
        }
        writeln!(f, "this program {:.3} of a core, woken {:.2} s late at most", self.own_cpu, self.late)?;
        if self.late > TOO_LATE {
            writeln!(f, "the machine was too busy to judge times by")?;
        }
        for a in &self.faults {
            writeln!(
                f,
                "{:>6.1} s {} for {:.1} s: over a second behind until {:.1} s after its begin, {:.1} s after its end",
                a.at, a.what, a.lasted, a.from_begin, a.from_end
            )?;
        }
        for unlike in self.unlike() {
            writeln!(f, "hollow figures not to be used, the real ones' stand: {unlike}")?;
        }
        for breach in self.violations() {
            writeln!(f, "NOT WELL {breach}")?;
        }
        Ok(())
    }
}
