//! The settings of a fleet trial.

use garde::Validate;
use sablecross_sexpr_config::ConfigError;
use serde::{Deserialize, Serialize};

use crate::settings::parse_single_form;

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Fleet(#[garde(dive)] Trial),
}

/// A kind of fault. Its name is part of reports.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Caches answer nothing, and go on afterwards with what came meanwhile.
    StopCaches,
    /// The same for parents.
    StopParents,
    /// Caches work `by` times longer.
    SlowCaches,
    /// The same for parents.
    SlowParents,
    /// Caches crash: connections are reset, new ones are closed, and they begin anew, cold and empty, with a new start
    /// in the list.
    CrashCaches,
    /// What a share of the directors sends to one cache is lost.
    CutTo,
    /// What one cache answers a share of the directors is lost.
    CutFrom,
    /// All connections to some caches are reset.
    Reset,
    /// Directors are stopped (SIGSTOP) and continued.
    StopDirectors,
    /// Directors are killed and started again, with no memory.
    KillDirectors,
    /// Voters are stopped and continued.
    StopVoters,
    /// Voters are killed and started again.
    KillVoters,
    /// The holder of the assignment of health-check targets is stopped and continued.
    StopOwner,
    /// It is killed and started again.
    KillOwner,
    /// The holder of the hierarchy role is stopped and continued.
    StopDriver,
    /// It is killed and started again.
    KillDriver,
    /// What some members send to one voter is held back and arrives late.
    HoldTo,
    /// What one voter answers some members is held back and arrives late.
    HoldFrom,
    /// A minority of the voters and all others are cut off from one another.
    Part,
    /// All connections between some members and the voters are reset.
    ResetWays,
    /// Health checks of some directors are delayed on their way to the nodes.
    HoldProbes,
}

impl FaultKind {
    /// The kinds that are drawn in rounds; their order belongs to what a seed stands for.
    pub(crate) const DRAWN: [FaultKind; 13] = [
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

    /// Whether it strikes voters, holders or their links.
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

/// Coordination between the directors of a trial.
///
/// Fields with bounds are named as their keys: an error finds the key in the file by the name of the field.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CoordinationTrial {
    /// The number of voters, which are the first directors.
    #[garde(range(min = 1, max = 15))]
    pub voters: usize,
    /// How long a lease is granted for.
    #[garde(range(min = 100, max = 60_000))]
    pub lease_ms: u64,
    /// The interval of heartbeats.
    #[garde(range(min = 50, max = 10_000))]
    pub beat_ms: u64,
    /// The interval between two health checks of one node.
    #[garde(range(min = 100, max = 60_000))]
    pub probe_ms: u64,
    /// The number of rounds of one to three faults that the seed draws, after the faults of the file.
    #[garde(range(max = 10_000))]
    #[serde(default)]
    pub rounds: usize,
    /// The length of a round in seconds; its faults last half of that at most.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_round_s")]
    pub round_s: f64,
    /// Whether restarted caches are warmed.
    #[garde(skip)]
    #[serde(default)]
    pub warming: bool,
    /// Seconds between two proposals of another shape of the hierarchy; 0: none is proposed.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default)]
    pub change_s: f64,
    /// The longest pause between health checks of a node that no fault strikes, in seconds.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "default_gap_s")]
    pub gap_s: f64,
    /// The most health checks of a node in a second, over the usual number.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// Nodes accept effects of old holders too, which a trial then has to show.
    #[garde(skip)]
    #[serde(default)]
    pub no_gate: bool,
}

fn default_round_s() -> f64 {
    5.0
}

fn default_gap_s() -> f64 {
    600.0
}

fn default_burst() -> f64 {
    100.0
}

/// A fault of a trial.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// What kind.
    #[garde(skip)]
    pub kind: FaultKind,
    /// Seconds from the start of the load.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// How many seconds it lasts.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "default_one")]
    pub lasts: f64,
    /// The share of the caches, parents or directors that it strikes: one at least.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    /// How many times longer slowed nodes work.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_one")]
    pub by: f64,
}

/// A fleet trial.
///
/// Fields with bounds are named as their keys: an error finds the key in the file by the name of the field.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trial {
    /// What the report is headed with.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of all that is drawn: speeds, lookups, faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// How long the load lasts.
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    /// How many seconds at its start are left out of the figures on even load.
    #[garde(range(max = 600))]
    #[serde(default = "default_warm_up")]
    pub warm_up: u64,
    /// The number of directors.
    #[garde(range(min = 1, max = 400))]
    pub directors: usize,
    /// The number of caches.
    #[garde(range(min = 1, max = 200))]
    pub caches: usize,
    /// The number of parents.
    #[garde(range(min = 1, max = 64))]
    pub parents: usize,
    /// Lookups a second of all clients together.
    #[garde(range(min = 1.0, max = 20_000.0))]
    pub rate: f64,
    /// The number of objects that they ask for.
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// How many copies a cache keeps; a parent keeps four times as many.
    #[garde(range(min = 1, max = 1_000_000))]
    pub kept: usize,
    /// The load of caches and parents over their capacity, if caches answer `hits` themselves.
    #[garde(range(min = 0.05, max = 2.0))]
    #[serde(default = "default_load")]
    pub load: f64,
    /// The hit ratio of caches that capacities assume.
    #[garde(range(min = 0.0, max = 0.99))]
    #[serde(default = "default_hits")]
    pub hits: f64,
    /// How many times more lookups one in ten directors gets than the others.
    #[garde(range(min = 1.0, max = 50.0))]
    #[serde(default = "default_one")]
    pub uneven: f64,
    /// By how much the speeds of nodes differ from the mean at most, as a share of it.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub speeds: f64,
    /// The share of all lookups that ask for one object.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub hot: f64,
    /// By how many seconds changes of the list come later at most; they do so at two thirds of the directors.
    #[garde(range(min = 0.0, max = 60.0))]
    #[serde(default)]
    pub late_lists: f64,
    /// Coordination; without it, directors share nothing.
    #[garde(dive)]
    #[serde(default)]
    pub duties: Option<CoordinationTrial>,
    /// The faults.
    #[garde(dive)]
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The most that a node may get of its fair share in a window of five seconds with no fault in it or before it.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_most")]
    pub most: f64,
    /// The least that it may get.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub least: f64,
    /// The least share of all lookups that is satisfied.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub satisfied: f64,
}

fn default_one() -> f64 {
    1.0
}

fn default_warm_up() -> u64 {
    4
}

fn default_load() -> f64 {
    0.6
}

fn default_hits() -> f64 {
    0.5
}

fn default_most() -> f64 {
    100.0
}

/// Reads the settings of a fleet trial. `file` names them in errors.
///
/// # Errors
///
/// One for each fault, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Trial, Vec<ConfigError>> {
    let form = parse_single_form(file, text, "fleet")?;
    let Form::Fleet(trial) = &form.value;
    match trial.inconsistency() {
        Some((key, problem)) => {
            let remedy = "leave time after it, and name whom it strikes";
            Err(vec![form.error(file, key, problem, remedy)])
        }
        None => Ok(trial.clone()),
    }
}

impl Trial {
    /// A key and what is wrong with it beside other keys.
    fn inconsistency(&self) -> Option<(&'static str, &'static str)> {
        let end = self.seconds as f64;
        if self.warm_up as f64 >= end {
            Some(("fleet.warm-up", "longer than the whole"))
        } else if self.duties.is_none() && self.faults.iter().any(|fault| fault.kind.needs_coordination()) {
            Some(("fleet.faults", "one strikes voters, and there are no duties"))
        } else if self.duties.as_ref().is_some_and(|duties| duties.voters > self.directors) {
            Some(("fleet.duties.voters", "more than there are directors"))
        } else if self.faults.iter().any(|fault| fault.at + fault.lasts > end) {
            Some(("fleet.faults", "one lasts past the end"))
        } else {
            None
        }
    }
}
