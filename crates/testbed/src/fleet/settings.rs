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

/// The kinds of faults. Their names appear in reports.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Some caches process no requests for the duration, then those that arrived meanwhile.
    StopCaches,
    /// Like `StopCaches`, for parents.
    StopParents,
    /// Some caches take `by` times longer for each request.
    SlowCaches,
    /// Like `SlowCaches`, for parents.
    SlowParents,
    /// Some caches crash: their connections are shut down and new ones closed. At the end of the fault they restart
    /// cold and empty, with a new start time in the endpoint list.
    CrashCaches,
    /// Requests from a share of the directors to one cache are lost.
    CutTo,
    /// Answers from one cache to a share of the directors are lost.
    CutFrom,
    /// All connections to some caches are shut down.
    Reset,
    /// Some directors are stopped (SIGSTOP) and continued.
    StopDirectors,
    /// Some directors are killed and restarted without their state.
    KillDirectors,
    /// Some voters are stopped and continued.
    StopVoters,
    /// Some voters are killed and restarted.
    KillVoters,
    /// The holder of the assignment of health-check targets is stopped and continued.
    StopOwner,
    /// The holder of the assignment of health-check targets is killed and restarted.
    KillOwner,
    /// The holder of the hierarchy role is stopped and continued.
    StopDriver,
    /// The holder of the hierarchy role is killed and restarted.
    KillDriver,
    /// Messages from some members to one voter are held back and arrive late.
    HoldTo,
    /// Answers from one voter to some members are held back and arrive late.
    HoldFrom,
    /// A network partition: a minority of the voters, with a third of the other members, is cut off from all others.
    Part,
    /// All connections between some members and the voters are reset.
    ResetWays,
    /// Health checks of some directors are delayed on their way to the nodes.
    HoldProbes,
}

impl FaultKind {
    /// The kinds that rounds of faults are drawn from. Their order determines what a seed draws.
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

    /// Whether the fault affects voters, role holders or health checks, which only trials with coordination have.
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

/// The settings of coordination between the directors of a trial.
///
/// Fields with bounds have the names of their keys, because an error finds the key in the file by the field's name.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CoordinationTrial {
    /// The number of voters. The first directors are the voters.
    #[garde(range(min = 1, max = 15))]
    pub voters: usize,
    /// The duration of a lease.
    #[garde(range(min = 100, max = 60_000))]
    pub lease_ms: u64,
    /// The interval of heartbeats.
    #[garde(range(min = 50, max = 10_000))]
    pub beat_ms: u64,
    /// The interval between two health checks of one node.
    #[garde(range(min = 100, max = 60_000))]
    pub probe_ms: u64,
    /// The number of rounds of one to three faults each, drawn from the seed. They follow the faults of the file.
    #[garde(range(max = 10_000))]
    #[serde(default)]
    pub rounds: usize,
    /// The length of a round in seconds. Its faults last at most half of it.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_round_s")]
    pub round_s: f64,
    /// Whether restarted caches are warmed.
    #[garde(skip)]
    #[serde(default)]
    pub warming: bool,
    /// Seconds between two proposals of a changed hierarchy; 0 means that none is proposed.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default)]
    pub change_s: f64,
    /// The longest allowed gap between health checks of a node that no fault affects, in seconds.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "default_gap_s")]
    pub gap_s: f64,
    /// The highest allowed rate of health checks of a node, as a multiple of the configured rate.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// Whether nodes also accept requests of former role holders. A trial with this key is expected to report violations.
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

/// One fault of a trial.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    #[garde(skip)]
    pub kind: FaultKind,
    /// When the fault begins, in seconds from the start of the load.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// How long the fault lasts, in seconds.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default = "default_one")]
    pub lasts: f64,
    /// The share of the caches, parents, directors or voters that the fault affects. At least one is affected.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    /// The factor by which slowed nodes take longer for each request.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_one")]
    pub by: f64,
}

/// The settings of a fleet trial.
///
/// Fields with bounds have the names of their keys, because an error finds the key in the file by the field's name.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trial {
    /// The name in the heading of the report.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of all random choices: node speeds, lookups, faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// The duration of the load in seconds.
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    /// Seconds at the start of the load that the figures on load balance, new senders and idle nodes, and on gaps and
    /// bursts of health checks, leave out. Drawn faults begin after them.
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
    /// Lookups per second of all clients together.
    #[garde(range(min = 1.0, max = 20_000.0))]
    pub rate: f64,
    /// The number of distinct objects that clients look up.
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// The number of copies that a cache keeps. A parent keeps four times as many.
    #[garde(range(min = 1, max = 1_000_000))]
    pub kept: usize,
    /// The ratio of load to capacity of caches and parents, given that caches answer the share `hits` themselves.
    #[garde(range(min = 0.05, max = 2.0))]
    #[serde(default = "default_load")]
    pub load: f64,
    /// The hit ratio of caches from which the capacity of parents is computed.
    #[garde(range(min = 0.0, max = 0.99))]
    #[serde(default = "default_hits")]
    pub hits: f64,
    /// How many times as many lookups one in ten directors gets as each of the others.
    #[garde(range(min = 1.0, max = 50.0))]
    #[serde(default = "default_one")]
    pub uneven: f64,
    /// The largest deviation of a node's speed from the mean, as a share of the mean.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub speeds: f64,
    /// The share of all lookups that ask for one object.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub hot: f64,
    /// The longest delay of changes of the endpoint list, in seconds. Changes are delayed at two thirds of the directors.
    #[garde(range(min = 0.0, max = 60.0))]
    #[serde(default)]
    pub late_lists: f64,
    /// Coordination. Without it, directors share no state.
    #[garde(dive)]
    #[serde(default)]
    pub duties: Option<CoordinationTrial>,
    /// The faults of the trial.
    #[garde(dive)]
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The highest allowed ratio of a node's load to its fair share, in a window of five seconds without a fault in it
    /// or shortly before it.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_most")]
    pub most: f64,
    /// The lowest allowed ratio of a node's load to its fair share in such a window.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub least: f64,
    /// The lowest allowed share of successes among the lookups that are not excused.
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

/// Parses the settings of a fleet trial. `file` is the file name in errors.
///
/// # Errors
///
/// Returns one error for each problem, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Trial, Vec<ConfigError>> {
    let form = parse_single_form(file, text, "fleet")?;
    let Form::Fleet(trial) = &form.value;
    match trial.inconsistency() {
        Some((key, problem)) => {
            let remedy = "keep warm-up, faults and voters within the trial, and add duties for faults that need coordination";
            Err(vec![form.error(file, key, problem, remedy)])
        }
        None => Ok(trial.clone()),
    }
}

impl Trial {
    /// The first key that contradicts another key, and the problem with it.
    fn inconsistency(&self) -> Option<(&'static str, &'static str)> {
        let end = self.seconds as f64;
        if self.warm_up as f64 >= end {
            Some(("fleet.warm-up", "longer than the trial, or as long"))
        } else if self.duties.is_none() && self.faults.iter().any(|fault| fault.kind.needs_coordination()) {
            Some(("fleet.faults", "one needs coordination, and there are no duties"))
        } else if self.duties.as_ref().is_some_and(|duties| duties.voters > self.directors) {
            Some(("fleet.duties.voters", "more than there are directors"))
        } else if self.faults.iter().any(|fault| fault.at + fault.lasts > end) {
            Some(("fleet.faults", "one ends after the trial"))
        } else {
            None
        }
    }
}
