//! The settings of a scale trial.

use garde::Validate;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use sablecross_sexpr_config::ConfigError;
use serde::{Deserialize, Serialize};

use crate::settings::parse_single_form;

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Scale(#[garde(dive)] ScaleTrial),
}

/// A kind of fault. Its name is part of reports.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// One relay that does not vote, drawn from the seed, is killed and restarted without its earlier state.
    KillRelay,
    /// One relay that does not vote is stopped and continued.
    StopRelay,
    /// The leader of the relays is killed and restarted.
    KillOwner,
    /// The leader is stopped and continued.
    StopOwner,
    /// Requests to other relays from one relay that does not vote are held back.
    CutTo,
    /// The answers of the others to one relay that does not vote are held back.
    CutFrom,
    /// The relays and directors of one region are cut off from all others.
    CutRegion,
    /// A share of the directors is killed, and restarted at the end of the fault.
    KillDirectors,
    /// `count` times, a random director is killed at a random time and restarted within half a second.
    RestartDirectors,
    /// A share of the directors reads one byte at each timer tick.
    SlowDirectors,
    /// `count` purges are published at once.
    Burst,
}

impl FaultKind {
    /// Whether events may be late because of the fault. Killing or restarting directors and bursts of purges are no
    /// excuse.
    pub(crate) fn excuses_lateness(self) -> bool {
        self.affects_relays() || self == FaultKind::SlowDirectors
    }

    fn affects_relays(self) -> bool {
        use FaultKind::{CutFrom, CutRegion, CutTo, KillOwner, KillRelay, StopOwner, StopRelay};
        matches!(self, KillRelay | StopRelay | KillOwner | StopOwner | CutTo | CutFrom | CutRegion)
    }
}

/// A fault of a trial.
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
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "second")]
    pub lasts: f64,
    /// The share of the simulated directors that the fault affects; at least one is affected.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    /// The number of restarts or purges.
    #[garde(range(min = 0, max = 100_000))]
    #[serde(default)]
    pub count: usize,
}

/// A scale trial.
///
/// Fields with bounds have the names of their keys, as errors find the key in the file by the field's name.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ScaleTrial {
    /// The name of the trial, with which the report begins.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of random events and faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// The duration of the load in seconds.
    #[garde(range(min = 5, max = 3600))]
    pub seconds: u64,
    /// Seconds at the start of the load that the resource figures leave out.
    #[garde(range(max = 600))]
    #[serde(default = "warm_up")]
    pub warm_up: u64,
    /// The timeout in seconds of each wait after the load: until all events are confirmed, until all simulated
    /// directors have applied the last event, and until all real directors have.
    #[garde(range(min = 1, max = 600))]
    #[serde(default = "settle")]
    pub settle: u64,
    /// The number of simulated directors.
    #[garde(range(min = 1, max = 20_000))]
    pub hollow: usize,
    /// The number of processes of simulated directors; 0 for one process for each 500 directors.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub processes: usize,
    /// The number of real directors beside them.
    #[garde(range(max = 200))]
    #[serde(default)]
    pub real: usize,
    /// The number of relays; with 0, one source serves all directors.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub relays: usize,
    /// The number of relays that vote; with 0, the relays follow a separate source.
    #[garde(range(max = 9))]
    #[serde(default)]
    pub voters: usize,
    /// The number of regions that relays and directors are spread over.
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "one")]
    pub regions: usize,
    /// How many relays each director knows.
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "feeds")]
    pub feeds: usize,
    /// The number of nodes in the endpoint list.
    #[garde(range(min = 1, max = 5_000))]
    pub nodes: usize,
    /// The number of zones that the nodes are spread over.
    #[garde(range(min = 1, max = 1_000))]
    pub zones: usize,
    /// Purges a second.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub purges: f64,
    /// Changes of the endpoint list a second.
    #[garde(range(min = 0.0, max = 1_000.0))]
    pub changes: f64,
    /// How long a reader's stream lasts, in milliseconds. The reader then calls again and so reports what it has
    /// applied.
    #[garde(range(min = 100, max = 60_000))]
    #[serde(default = "ack_ms")]
    pub ack_ms: u64,
    /// The interval in milliseconds at which relays pass new events on to a reader.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "batch_ms")]
    pub batch_ms: u64,
    /// For how many milliseconds after caches have cleared a purged object the purge stays active. Relays keep it
    /// longer.
    #[garde(range(min = 100, max = 3_600_000))]
    #[serde(default = "held_ms")]
    pub held_ms: u64,
    /// Maximum seconds from when a purge is queued for publication, or from the end of a fault in its way if that is
    /// later, until the purge is applied everywhere.
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "purge_within")]
    pub purge_within: f64,
    /// Maximum seconds for a change of the endpoint list, counted in the same way.
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "change_within")]
    pub change_within: f64,
    /// The share of a core that a director may use.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "core")]
    pub core: f64,
    /// The memory in MB that a director may use.
    #[garde(range(min = 1.0, max = 10_000.0))]
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    /// The bytes a second that a director may receive and send together.
    #[garde(range(min = 1.0, max = 1e9))]
    #[serde(default = "bytes")]
    pub bytes: f64,
    /// The share of a core that a relay may use.
    #[garde(range(min = 0.0, max = 16.0))]
    #[serde(default = "second")]
    pub relay_core: f64,
    /// The faults.
    #[garde(dive)]
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn second() -> f64 {
    1.0
}

fn one() -> usize {
    1
}

fn warm_up() -> u64 {
    5
}

fn settle() -> u64 {
    30
}

fn feeds() -> usize {
    4
}

fn ack_ms() -> u64 {
    2_000
}

fn batch_ms() -> u64 {
    100
}

fn held_ms() -> u64 {
    PURGE_HOLD_TIME / 1_000_000
}

fn purge_within() -> f64 {
    8.2
}

fn change_within() -> f64 {
    5.0
}

fn core() -> f64 {
    0.022
}

fn memory_mb() -> f64 {
    64.0
}

fn bytes() -> f64 {
    7_000.0
}

impl ScaleTrial {
    /// The number of processes of simulated directors.
    pub(crate) fn process_count(&self) -> usize {
        let own = if self.processes > 0 { self.processes } else { self.hollow.div_ceil(500) };
        own.min(self.hollow)
    }

    /// Validates the settings again after the command line has changed some of them.
    ///
    /// # Errors
    ///
    /// Returns the key and what is wrong with it.
    pub fn checked(&self) -> Result<(), String> {
        self.validate().map_err(|e| format!("scale.{e}"))?;
        self.inconsistency().map_or(Ok(()), |(key, what)| Err(format!("{key}: {what}")))
    }

    /// Whether there is no relay that a fault of this kind could affect.
    fn has_no_target(&self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::KillOwner | FaultKind::StopOwner => self.voters == 0,
            FaultKind::CutRegion => self.relays == 0,
            _ => self.relays == self.voters,
        }
    }

    /// A key whose value contradicts other keys, and the problem.
    fn inconsistency(&self) -> Option<(&'static str, &'static str)> {
        let end = self.seconds as f64;
        if self.warm_up >= self.seconds {
            Some(("scale.warm-up", "longer than the load, or as long"))
        } else if self.voters > self.relays {
            Some(("scale.voters", "more than there are relays"))
        } else if self.faults.iter().any(|f| f.kind.affects_relays() && self.has_no_target(f.kind)) {
            Some(("scale.faults", "one affects plain relays, or the owner, and there are none"))
        } else if self.faults.iter().any(|f| f.at + f.lasts > end) {
            Some(("scale.faults", "one lasts past the end"))
        } else if self.nodes < self.zones + 2 {
            Some(("scale.nodes", "fewer than one for each zone, a parent and the origin"))
        } else {
            None
        }
    }

    /// The same trial without relays and their faults, in which one source serves all directors.
    pub fn without_relays(mut self) -> ScaleTrial {
        (self.relays, self.voters) = (0, 0);
        self.faults.retain(|f| !f.kind.affects_relays());
        self
    }
}

/// Reads the settings of a scale trial. `file` names them in errors.
///
/// # Errors
///
/// Returns one error for each problem, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<ScaleTrial, Vec<ConfigError>> {
    let form = parse_single_form(file, text, "scale")?;
    let Form::Scale(scale) = &form.value;
    match scale.inconsistency() {
        Some((key, problem)) => Err(vec![form.error(file, key, problem, "see docs/scale-operators.md")]),
        None => Ok(scale.clone()),
    }
}
