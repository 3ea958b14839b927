//! A trial of a fleet, from its settings file.

use garde::Validate;
use sablecross_sexpr_config::ConfigError as Flaw;
use serde::{Deserialize, Serialize};

use crate::settings::parse_single_form;

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Fleet(#[garde(dive)] Trial),
}

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Caches, or parents, fall silent and go on after it with what came meanwhile.
    StopCaches,
    StopParents,
    /// They take `by` times as long.
    SlowCaches,
    SlowParents,
    /// They end: connections are reset, new ones are closed, and they begin anew, cold and empty, with a new start
    /// in the list.
    CrashCaches,
    /// `of` the directors reach one cache no more: what they send is lost on its way, or what it answers is.
    CutTo,
    CutFrom,
    /// All connections to some caches are reset under what is open on them.
    Reset,
    /// Directors are stopped (SIGSTOP) and continued.
    StopDirectors,
    /// Directors are killed at once and started anew, with no memory.
    KillDirectors,
    /// The same for some of the voters, and for whoever deals chores now.
    StopVoters,
    KillVoters,
    StopOwner,
    KillOwner,
    /// Whoever drives changes of the hierarchy.
    StopDriver,
    KillDriver,
    /// What some members ask one voter is held up, or what it answers them, and arrives late.
    HoldTo,
    HoldFrom,
    /// A minority of the voters and all others are cut off from one another.
    Part,
    /// All connections between some members and the voters are reset.
    ResetWays,
    /// Probes of some directors are held up on their way to the boxes, and arrive late.
    HoldProbes,
}

impl FaultKind {
    /// Those that are drawn in rounds.
    pub const DRAWN: [FaultKind; 13] = [
        FaultKind::StopDriver,
        FaultKind::KillDriver,
        FaultKind::StopOwner,
        FaultKind::KillOwner,
        FaultKind::StopVoters,
        FaultKind::KillVoters,
        FaultKind::HoldTo,
        FaultKind::HoldFrom,
        FaultKind::Part,
        FaultKind::ResetWays,
        FaultKind::HoldProbes,
        FaultKind::StopDirectors,
        FaultKind::KillDirectors,
    ];

    fn needs_coordination(self) -> bool {
        !matches!(
            self,
            FaultKind::StopCaches
                | FaultKind::StopParents
                | FaultKind::SlowCaches
                | FaultKind::SlowParents
                | FaultKind::CrashCaches
                | FaultKind::CutTo
                | FaultKind::CutFrom
                | FaultKind::Reset
                | FaultKind::StopDirectors
                | FaultKind::KillDirectors
        )
    }
}

/// Duties on behalf of the fleet, where the trial has them.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CoordinationTrial {
    /// The first so many directors vote.
    #[garde(range(min = 1, max = 15))]
    pub voters: usize,
    #[garde(range(min = 100, max = 60_000))]
    pub lease_ms: u64,
    #[garde(range(min = 50, max = 10_000))]
    pub beat_ms: u64,
    #[garde(range(min = 100, max = 60_000))]
    pub probe_ms: u64,
    /// Rounds of faults drawn by the seed, one to three at once, after the faults of the file; each lasts so many seconds, its
    /// faults half of that at most.
    #[garde(range(max = 10_000))]
    #[serde(default)]
    pub rounds: usize,
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "round_s")]
    pub round_s: f64,
    /// Whether fresh caches are warmed.
    #[garde(skip)]
    #[serde(default)]
    pub warming: bool,
    /// Every so many seconds another shape of the hierarchy is wished for; 0: never.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default)]
    pub change_s: f64,
    /// The longest pause between probes of one box that is well, in seconds, and the most in a second beside the usual.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "gap")]
    pub gap_s: f64,
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "burst")]
    pub burst: f64,
    /// Without the gate at the boxes: what old owners do then counts, and a trial without one is to show it.
    #[garde(skip)]
    #[serde(default)]
    pub no_gate: bool,
}

fn round_s() -> f64 {
    5.0
}

fn gap() -> f64 {
    600.0
}

fn burst() -> f64 {
    100.0
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    #[garde(skip)]
    pub kind: FaultKind,
    /// Seconds from the start of the load, and how long it lasts.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "second")]
    pub lasts: f64,
    /// The part of the caches, parents or directors that it strikes: one at least.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "second")]
    pub by: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trial {
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    /// How much of its start is left out of the figures on even load.
    #[garde(range(max = 600))]
    #[serde(default = "warm_up")]
    pub warm_up: u64,
    #[garde(range(min = 1, max = 400))]
    pub directors: usize,
    #[garde(range(min = 1, max = 200))]
    pub caches: usize,
    #[garde(range(min = 1, max = 64))]
    pub parents: usize,
    /// Lookups a second of all clients together, and objects that they ask for.
    #[garde(range(min = 1.0, max = 20_000.0))]
    pub rate: f64,
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// Copies that a cache keeps; a parent keeps four times as many.
    #[garde(range(min = 1, max = 1_000_000))]
    pub kept: usize,
    /// The part of their capacity that caches, and parents, are asked for, if caches answer `hits` themselves.
    #[garde(range(min = 0.05, max = 2.0))]
    #[serde(default = "six_tenths")]
    pub load: f64,
    #[garde(range(min = 0.0, max = 0.99))]
    #[serde(default = "half")]
    pub hits: f64,
    /// One in ten directors gets so many times what the others get.
    #[garde(range(min = 1.0, max = 50.0))]
    #[serde(default = "second")]
    pub uneven: f64,
    /// How unlike the speeds of the nodes are: each lies within this part of the mean.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub speeds: f64,
    /// The part of all lookups that ask for one object.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub hot: f64,
    /// Seconds that changes of the list come later to two thirds of the directors.
    #[garde(range(min = 0.0, max = 60.0))]
    #[serde(default)]
    pub late_lists: f64,
    #[garde(dive)]
    #[serde(default)]
    pub duties: Option<CoordinationTrial>,
    #[garde(dive)]
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What a node may get at most, and at least, of its fair share in any window of five seconds with no fault in it
    /// or before it.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "most")]
    pub most: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub least: f64,
    /// The least part of all lookups that is satisfied.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub satisfied: f64,
}

fn second() -> f64 {
    1.0
}

fn warm_up() -> u64 {
    4
}

fn six_tenths() -> f64 {
    0.6
}

fn half() -> f64 {
    0.5
}

fn most() -> f64 {
    100.0
}

pub fn parse(file: &str, text: &str) -> Result<Trial, Vec<Flaw>> {
    let first = parse_single_form(file, text, "fleet")?;
    let Form::Fleet(trial) = &first.value;
    let end = trial.seconds as f64;
    let wrong = if trial.warm_up as f64 >= end {
        Some(("fleet.warm-up", "longer than the whole"))
    } else if trial.duties.is_none() && trial.faults.iter().any(|f| f.kind.needs_coordination()) {
        Some(("fleet.faults", "one strikes voters, and there are no duties"))
    } else if trial.duties.as_ref().is_some_and(|d| d.voters > trial.directors) {
        Some(("fleet.duties.voters", "more than there are directors"))
    } else if trial.faults.iter().any(|f| f.at + f.lasts > end) {
        Some(("fleet.faults", "one lasts past the end"))
    } else {
        None
    };
    match wrong {
        Some((key, what)) => {
            Err(vec![first.error(file, key, what, "leave time after it, and name whom it strikes")])
        }
        None => Ok(trial.clone()),
    }
}
