//! What a trial came to: how even each tier's load was, what each fault did to the others, what became of lookups.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::coordination_watch::CoordinationReport;
use super::load::ClientTally;
use super::node::{NodeCounts, Tier};
use super::settings::Trial;
use crate::trial_report::{Chart, TrialReport};

/// Seconds of a window in which load is to be even.
const EVENNESS_WINDOW_SECONDS: usize = 5;
/// Load counts as even again at this multiple of the fair share.
const EVEN_RATIO: f64 = 1.5;

/// One node's count, with what it can do.
pub struct Node {
    pub name: String,
    pub tier: Tier,
    pub capacity: f64,
    pub counted: NodeCounts,
}

/// How even a tier was: what each node got over its fair share, which goes by what it can do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Evenness {
    pub from: usize,
    pub tier: Tier,
    pub most: f64,
    pub most_at: String,
    pub least: f64,
    pub least_at: String,
    /// What all of the tier got over what all can do.
    pub load: f64,
    /// Whether no fault lay in it or shortly before it.
    pub calm: bool,
}

/// What a fault did to those that it did not strike.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultAftermath {
    pub what: String,
    pub at: f64,
    /// In the second after it: the most over the fair share.
    pub next_second: f64,
    /// Seconds from its end until the load of all that are up was even for two seconds; none: not before the end.
    pub even_after: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub trial: Trial,
    pub total: ClientTally,
    pub seconds: Vec<ClientTally>,
    pub windows: Vec<Evenness>,
    pub aftermath: Vec<FaultAftermath>,
    /// The most directors that began to send to one node within a second, part of all; the mean over nodes.
    pub herd_most: f64,
    pub herd_mean: f64,
    /// Part of all seconds of nodes that were up in which nothing came.
    pub idle: f64,
    pub falls: u64,
    pub strays: u64,
    /// Directors that ended by themselves.
    pub ended: usize,
    /// Seconds by which the trial itself was woken late at most: over a tenth, and the machine was too busy to judge by.
    pub late: f64,
    /// By node, what came in each second.
    pub came: BTreeMap<String, Vec<u32>>,
    /// What duties came to, where the trial had them.
    pub watched: Option<CoordinationReport>,
}

/// A fault as it was carried out: its name, the nodes that it struck, from when until when.
pub struct FaultWindow {
    pub what: String,
    pub nodes: Vec<String>,
    pub from: f64,
    pub to: f64,
}

impl Report {
    pub fn of(
        trial: &Trial,
        nodes: &[Node],
        clients: &[Vec<ClientTally>],
        struck: &[FaultWindow],
        (ended, late): (usize, f64),
    ) -> Report {
        let seconds = trial.seconds as usize;
        let mut by_second = vec![ClientTally::default(); seconds];
        let mut total = ClientTally::default();
        for (at, tally) in clients.iter().flat_map(|c| c.iter().enumerate()) {
            total.add(tally);
            if let Some(second) = by_second.get_mut(at) {
                second.add(tally);
            }
        }
        let came = |n: &Node, from: usize, to: usize| -> u32 {
            let tenths = &n.counted.came;
            tenths[(10 * from).min(tenths.len())..(10 * to).min(tenths.len())].iter().sum()
        };
        let out = |n: &Node, from: f64, to: f64| {
            let cold = n.counted.since.is_some_and(|s| s + super::node::SLOW_START_WINDOW > from);
            cold || struck.iter().any(|s| s.nodes.contains(&n.name) && s.from < to && s.to > from)
        };
        let even = |tier: Tier, from: usize, to: usize| -> Option<Evenness> {
            let up: Vec<&Node> =
                nodes.iter().filter(|n| n.tier == tier && !out(n, from as f64, to as f64)).collect();
            let got: u32 = up.iter().map(|n| came(n, from, to)).sum();
            let can: f64 = up.iter().map(|n| n.capacity).sum();
            let over = |n: &Node| f64::from(came(n, from, to)) / n.capacity * can / f64::from(got.max(1));
            let by = |a: &&&Node, b: &&&Node| over(a).total_cmp(&over(b));
            let (most, least) = (up.iter().max_by(by)?, up.iter().min_by(by)?);
            let calm = struck
                .iter()
                .all(|s| s.from >= to as f64 || s.to + EVENNESS_WINDOW_SECONDS as f64 <= from as f64);
            Some(Evenness {
                from,
                tier,
                most: over(most),
                most_at: most.name.clone(),
                least: over(least),
                least_at: least.name.clone(),
                load: f64::from(got) / can / (to - from) as f64,
                calm,
            })
        };
        let starts = (trial.warm_up as usize..seconds)
            .step_by(EVENNESS_WINDOW_SECONDS)
            .filter(|s| s + EVENNESS_WINDOW_SECONDS <= seconds);
        let windows = starts
            .flat_map(|s| [Tier::Cache, Tier::Parent].map(|t| even(t, s, s + EVENNESS_WINDOW_SECONDS)))
            .flatten()
            .collect();
        let most_in = |from: usize| even(Tier::Cache, from, from + 1).map_or(0.0, |e| e.most);
        let aftermath = struck.iter().map(|s| {
            let end = s.to.ceil() as usize;
            let again = (end..seconds.saturating_sub(1))
                .find(|&at| most_in(at) <= EVEN_RATIO && most_in(at + 1) <= EVEN_RATIO);
            FaultAftermath {
                what: s.what.clone(),
                at: s.from,
                next_second: most_in(s.from.ceil() as usize),
                even_after: again.map(|at| at as f64 - s.to),
            }
        });
        let aftermath = aftermath.collect();
        let mut fresh = Vec::new();
        for n in nodes.iter().filter(|n| n.tier == Tier::Cache) {
            let mut new = vec![0u32; seconds];
            for (second, director) in &n.counted.senders {
                let before =
                    second.checked_sub(1).is_some_and(|s| n.counted.senders.contains(&(s, *director)));
                if let Some(count) = new.get_mut(*second as usize) {
                    *count += u32::from(!before);
                }
            }
            fresh
                .extend(new[trial.warm_up as usize..].iter().map(|c| f64::from(*c) / trial.directors as f64));
        }
        let up = |n: &&Node, s: usize| !out(n, s as f64, s as f64 + 1.0);
        let looked = (trial.warm_up as usize..seconds).flat_map(|s| {
            nodes.iter().filter(move |n| n.tier != Tier::Origin && up(n, s)).map(move |n| came(n, s, s + 1))
        });
        let (mut idle, mut all) = (0u32, 0u32);
        for count in looked {
            idle += u32::from(count == 0);
            all += 1;
        }
        Report {
            trial: trial.clone(),
            total,
            windows,
            aftermath,
            herd_most: fresh.iter().copied().fold(0.0, f64::max),
            herd_mean: fresh.iter().sum::<f64>() / fresh.len().max(1) as f64,
            idle: f64::from(idle) / f64::from(all.max(1)),
            falls: nodes.iter().map(|n| n.counted.falls).sum(),
            strays: nodes.iter().map(|n| n.counted.strays).sum(),
            ended,
            late,
            came: nodes
                .iter()
                .map(|n| (n.name.clone(), (0..seconds).map(|s| came(n, s, s + 1)).collect()))
                .collect(),
            seconds: by_second,
            watched: None,
        }
    }
}

impl TrialReport for Report {
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut none = |what: &str, n: u64| {
            if n > 0 {
                found.push(format!("{what}: {n}"));
            }
        };
        none("lookups without an answer", self.total.lost);
        none("answers that were not asked for, or second ones", self.total.strange);
        none("cold nodes that were pushed over", self.falls);
        none("requests to nodes that had left, after the grace", self.strays);
        none("directors that ended by themselves", self.ended as u64);
        for w in self.windows.iter().filter(|w| w.calm) {
            if w.most > self.trial.most {
                found.push(format!(
                    "{:?} {} got {:.2} of its share from {} s",
                    w.tier, w.most_at, w.most, w.from
                ));
            }
            if w.least < self.trial.least {
                found.push(format!(
                    "{:?} {} got {:.2} of its share from {} s",
                    w.tier, w.least_at, w.least, w.from
                ));
            }
        }
        if let (Some(w), Some(d)) = (&self.watched, &self.trial.duties) {
            found.extend(w.violations(d));
        }
        let owed = (self.total.asked - self.total.excused).max(1);
        let part = self.total.satisfied as f64 / owed as f64;
        if part < self.trial.satisfied {
            found.push(format!("satisfied {part:.3} of all lookups, of {:.3}", self.trial.satisfied));
        }
        found
    }

    fn title(&self) -> String {
        format!("{}: {} directors, {} lookups", self.trial.name, self.trial.directors, self.total.asked)
    }

    /// What came to each node by second, and what was satisfied.
    fn charts(&self) -> Vec<Chart> {
        let named = |with: &str| -> Vec<Vec<u64>> {
            let of = self.came.iter().filter(|(name, _)| name.starts_with(with));
            of.map(|(_, s)| s.iter().map(|n| u64::from(*n)).collect()).collect()
        };
        let lookups: [fn(&ClientTally) -> u64; 3] = [|t| t.asked, |t| t.satisfied, |t| t.nacked];
        let ends = lookups.map(|of| self.seconds.iter().map(of).collect()).to_vec();
        let panel = |name, curves| Chart { name, curves, line: None };
        vec![
            panel("requests a second at each cache", named("cache")),
            panel("requests a second at each parent", named("parent")),
            panel("lookups a second: asked, satisfied, nacked", ends),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (t, e) = (&self.total, &self.trial);
        writeln!(
            f,
            "{}: {} directors, {} caches, {} parents, seed {}",
            e.name, e.directors, e.caches, e.parents, e.seed
        )?;
        writeln!(
            f,
            "lookups {}: satisfied {} ({} late), nacked {}, failed {}, excused {}, lost {}, strange {}",
            t.asked, t.satisfied, t.late, t.nacked, t.failed, t.excused, t.lost, t.strange
        )?;
        writeln!(f, "window     tier     load   most over share       least over share")?;
        for w in &self.windows {
            writeln!(
                f,
                "{:>3} to {:>3} {:<8} {:>5.2}   {:>5.2} {:<12}    {:>5.2} {:<12} {}",
                w.from,
                w.from + EVENNESS_WINDOW_SECONDS,
                format!("{:?}", w.tier).to_lowercase(),
                w.load,
                w.most,
                w.most_at,
                w.least,
                w.least_at,
                if w.calm { "" } else { "fault" }
            )?;
        }
        for a in &self.aftermath {
            let again = a.even_after.map_or("not again".into(), |s| format!("after {s:.1} s"));
            writeln!(
                f,
                "{:>6.1} s {}: the others' most over share in the next second {:.2}; even {again}",
                a.at, a.what, a.next_second
            )?;
        }
        writeln!(
            f,
            "new senders at a cache within a second, part of all directors: most {:.2}, mean {:.2}; idle seconds of nodes {:.4}",
            self.herd_most, self.herd_mean, self.idle
        )?;
        if self.late > 0.1 {
            writeln!(f, "the machine was too busy: this program was woken {:.2} s late", self.late)?;
        }
        if let Some(w) = &self.watched {
            write!(f, "{w}")?;
        }
        for breach in self.violations() {
            writeln!(f, "NOT WELL {breach}")?;
        }
        Ok(())
    }
}
