//! A scale trial, from its settings file.

use garde::Validate;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use sablecross_sexpr_config::ConfigError as Flaw;
use serde::{Deserialize, Serialize};

use crate::settings::parse_single_form;

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Scale(#[garde(dive)] Scale),
}

/// What befalls control.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// One plain relay, drawn by the seed, is killed and begun anew with no memory, or stopped and continued.
    KillRelay,
    StopRelay,
    /// The same for the relay that is the source.
    KillOwner,
    StopOwner,
    /// What one plain relay asks the others, or what they answer it, is held up.
    CutTo,
    CutFrom,
    /// The relays and directors of one region and all others are cut off from one another.
    CutRegion,
    /// `of` the directors are killed at once and begin anew at its end.
    KillDirectors,
    /// `count` directors are begun anew, one after another over its time.
    RestartDirectors,
    /// `of` the directors read a byte a second.
    SlowDirectors,
    /// `count` purges within a second.
    Burst,
}

impl FaultKind {
    /// Whether what it strikes may be late for it: directors that begin anew, and many purges at once, excuse nothing.
    pub fn excuses_lateness(self) -> bool {
        self.strikes_relays() || self == FaultKind::SlowDirectors
    }

    fn strikes_relays(self) -> bool {
        use FaultKind::{CutFrom, CutRegion, CutTo, KillOwner, KillRelay, StopOwner, StopRelay};
        matches!(self, KillRelay | StopRelay | KillOwner | StopOwner | CutTo | CutFrom | CutRegion)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    #[garde(skip)]
    pub kind: FaultKind,
    /// Seconds from the start of the load, and how long it lasts.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "second")]
    pub lasts: f64,
    /// The part of the directors that it strikes.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub of: f64,
    #[garde(range(min = 0, max = 100_000))]
    #[serde(default)]
    pub count: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scale {
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// How long the load lasts, and how much of its start is left out of the figures.
    #[garde(range(min = 5, max = 3600))]
    pub seconds: u64,
    #[garde(range(max = 600))]
    #[serde(default = "warm_up")]
    pub warm_up: u64,
    /// How long after the load the last event has to come into force everywhere.
    #[garde(range(min = 1, max = 600))]
    #[serde(default = "settle")]
    pub settle: u64,
    #[garde(range(min = 1, max = 20_000))]
    pub hollow: usize,
    /// Processes of hollow directors; 0: one for 500.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub processes: usize,
    #[garde(range(max = 200))]
    #[serde(default)]
    pub real: usize,
    /// 0: none, one source speaks with all directors. Where none votes, relays follow one source outside.
    #[garde(range(max = 64))]
    #[serde(default)]
    pub relays: usize,
    #[garde(range(max = 9))]
    #[serde(default)]
    pub voters: usize,
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "one")]
    pub regions: usize,
    /// Feeds that a director knows.
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "feeds")]
    pub feeds: usize,
    #[garde(range(min = 1, max = 5_000))]
    pub nodes: usize,
    #[garde(range(min = 1, max = 1_000))]
    pub zones: usize,
    /// Purges, and changes of the list, a second.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub purges: f64,
    #[garde(range(min = 0.0, max = 1_000.0))]
    pub changes: f64,
    #[garde(range(min = 100, max = 60_000))]
    #[serde(default = "ack_ms")]
    pub ack_ms: u64,
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "batch_ms")]
    pub batch_ms: u64,
    /// How long the relays take a purge to bind past the time in which caches clear it.
    #[garde(range(min = 100, max = 3_600_000))]
    #[serde(default = "held_ms")]
    pub held_ms: u64,
    /// Seconds from source to in force everywhere, at most; where a fault is in the way, after its end.
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "purge_within")]
    pub purge_within: f64,
    #[garde(range(min = 0.1, max = 600.0))]
    #[serde(default = "change_within")]
    pub change_within: f64,
    /// What a director may take: part of a core, MB, bytes a second.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "core")]
    pub core: f64,
    #[garde(range(min = 1.0, max = 10_000.0))]
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    #[garde(range(min = 1.0, max = 1e9))]
    #[serde(default = "bytes")]
    pub bytes: f64,
    /// What a control machine's role may take of one core.
    #[garde(range(min = 0.0, max = 16.0))]
    #[serde(default = "second")]
    pub relay_core: f64,
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
    /// Processes of hollow directors.
    pub fn process_count(&self) -> usize {
        let own = if self.processes > 0 { self.processes } else { self.hollow.div_ceil(500) };
        own.min(self.hollow)
    }

    /// Whether it holds together, with what the command line put in place of the file's own.
    pub fn checked(&self) -> Result<(), String> {
        self.validate().map_err(|e| format!("scale.{e}"))?;
        self.inconsistency().map_or(Ok(()), |(key, what)| Err(format!("{key}: {what}")))
    }

    fn strikes_none(&self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::KillOwner | FaultKind::StopOwner => self.voters == 0,
            FaultKind::CutRegion => self.relays == 0,
            _ => self.relays == self.voters,
        }
    }

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

    /// The same with no relays between: one source.
    pub fn without_relays(mut self) -> Scale {
        (self.relays, self.voters) = (0, 0);
        self.faults.retain(|f| !f.kind.strikes_relays());
        self
    }
}

pub fn parse(file: &str, text: &str) -> Result<Scale, Vec<Flaw>> {
    let first = parse_single_form(file, text, "scale")?;
    let Form::Scale(scale) = &first.value;
    match scale.inconsistency() {
        Some((key, what)) => Err(vec![first.error(file, key, what, "see docs/scale-operators.md")]),
        None => Ok(scale.clone()),
    }
}
