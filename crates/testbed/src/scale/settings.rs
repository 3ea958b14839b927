//! The settings of a scale trial.

use garde::Validate;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use sablecross_sexpr_config::ConfigError;
use serde::{Deserialize, Serialize};

use crate::settings::parse_single_form;

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Scale(#[garde(dive)] Scale),
}

/// A kind of fault. Its name is part of reports.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// One relay that does not vote, drawn from the seed, is killed and started again with no memory.
    KillRelay,
    /// One relay that does not vote is stopped and continued.
    StopRelay,
    /// The leader of the relays is killed and started again.
    KillOwner,
    /// The leader is stopped and continued.
    StopOwner,
    /// What one relay that does not vote sends to the others is held back.
    CutTo,
    /// What the others answer it is held back.
    CutFrom,
    /// The relays and directors of one region and all others are cut off from one another.
    CutRegion,
    /// A share of the directors is killed and started again at the end of the fault.
    KillDirectors,
    /// `count` directors are restarted, one after another.
    RestartDirectors,
    /// A share of the directors reads a byte a second.
    SlowDirectors,
    /// `count` purges at once.
    Burst,
}

impl FaultKind {
    /// Whether events may be late through it. Restarts of directors and many purges at once excuse nothing.
    pub(crate) fn excuses_lateness(self) -> bool {
        self.strikes_relays() || self == FaultKind::SlowDirectors
    }

    fn strikes_relays(self) -> bool {
        use FaultKind::{CutFrom, CutRegion, CutTo, KillOwner, KillRelay, StopOwner, StopRelay};
        matches!(self, KillRelay | StopRelay | KillOwner | StopOwner | CutTo | CutFrom | CutRegion)
    }
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
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "second")]
    pub lasts: f64,
    /// The share of the directors that it strikes.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    /// How many restarts or purges.
    #[garde(range(min = 0, max = 100_000))]
    #[serde(default)]
    pub count: usize,
}

/// A scale trial.
///
/// Fields with bounds are named as their keys: an error finds the key in the file by the name of the field.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scale {
    /// What the report is headed with.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of all that is drawn: events, faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// How long the load lasts.
    #[garde(range(min = 5, max = 3600))]
    pub seconds: u64,
    /// How many seconds at its start are left out of the figures.
    #[garde(range(max = 600))]
    #[serde(default = "warm_up")]
    pub warm_up: u64,
    /// How many seconds after the load the last event has to be applied everywhere.
    #[garde(range(min = 1, max = 600))]
    #[serde(default = "settle")]
    pub settle: u64,
    /// The number of simulated directors.
    #[garde(range(min = 1, max = 20_000))]
    pub hollow: usize,
    /// The number of processes of simulated directors; 0: one for 500.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub processes: usize,
    /// The number of real directors beside them.
    #[garde(range(max = 200))]
    #[serde(default)]
    pub real: usize,
    /// The number of relays; 0: one source serves all directors.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub relays: usize,
    /// How many relays vote; 0: they follow a source outside.
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
    /// The number of locations that they are spread over.
    #[garde(range(min = 1, max = 1_000))]
    pub zones: usize,
    /// Purges a second.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub purges: f64,
    /// Changes of the endpoint list a second.
    #[garde(range(min = 0.0, max = 1_000.0))]
    pub changes: f64,
    /// How long the stream of a reader lasts until it calls again, and so reports what it has applied.
    #[garde(range(min = 100, max = 60_000))]
    #[serde(default = "ack_ms")]
    pub ack_ms: u64,
    /// How often relays pass new events on to a reader.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "batch_ms")]
    pub batch_ms: u64,
    /// How long relays keep a purge beyond the time in which caches clear it.
    #[garde(range(min = 100, max = 3_600_000))]
    #[serde(default = "held_ms")]
    pub held_ms: u64,
    /// Seconds from the publication of a purge until it is applied everywhere, at most; after the end of a fault.
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "purge_within")]
    pub purge_within: f64,
    /// The same for changes of the list.
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "change_within")]
    pub change_within: f64,
    /// How much of a core a director may use.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "core")]
    pub core: f64,
    /// How much memory a director may use.
    #[garde(range(min = 1.0, max = 10_000.0))]
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    /// How many bytes a second a director may receive and send.
    #[garde(range(min = 1.0, max = 1e9))]
    #[serde(default = "bytes")]
    pub bytes: f64,
    /// How much of a core a relay may use.
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

impl Scale {
    /// The number of processes of simulated directors.
    pub(crate) fn process_count(&self) -> usize {
        let own = if self.processes > 0 { self.processes } else { self.hollow.div_ceil(500) };
        own.min(self.hollow)
    }

    /// Checks it again after the command line has changed some of it.
    ///
    /// # Errors
    ///
    /// The key and what is wrong with it.
    pub fn checked(&self) -> Result<(), String> {
        self.validate().map_err(|e| format!("scale.{e}"))?;
        self.inconsistency().map_or(Ok(()), |(key, what)| Err(format!("{key}: {what}")))
    }

    /// Whether a fault of relays would find none to strike.
    fn strikes_none(&self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::KillOwner | FaultKind::StopOwner => self.voters == 0,
            FaultKind::CutRegion => self.relays == 0,
            _ => self.relays == self.voters,
        }
    }

    /// A key and what is wrong with it beside other keys.
    fn inconsistency(&self) -> Option<(&'static str, &'static str)> {
        let end = self.seconds as f64;
        if self.warm_up >= self.seconds {
            Some(("scale.warm-up", "longer than the whole"))
        } else if self.voters > self.relays {
            Some(("scale.voters", "more than there are relays"))
        } else if self.faults.iter().any(|f| f.kind.strikes_relays() && self.strikes_none(f.kind)) {
            Some(("scale.faults", "one strikes plain relays, or the owner, and there are none"))
        } else if self.faults.iter().any(|f| f.at + f.lasts > end) {
            Some(("scale.faults", "one lasts past the end"))
        } else if self.nodes < self.zones + 2 {
            Some(("scale.nodes", "fewer than one a zone, a parent and the origin"))
        } else {
            None
        }
    }

    /// The same trial without relays and their faults: one source serves all directors.
    pub fn without_relays(mut self) -> Scale {
        (self.relays, self.voters) = (0, 0);
        self.faults.retain(|f| !f.kind.strikes_relays());
        self
    }
}

/// Reads the settings of a scale trial. `file` names them in errors.
///
/// # Errors
///
/// One for each fault, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Scale, Vec<ConfigError>> {
    let form = parse_single_form(file, text, "scale")?;
    let Form::Scale(scale) = &form.value;
    match scale.inconsistency() {
        Some((key, problem)) => Err(vec![form.error(file, key, problem, "see docs/scale-operators.md")]),
        None => Ok(scale.clone()),
    }
}
