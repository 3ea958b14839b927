//! What the target size comes to, worked out from measured slopes: the settings file that holds them, and the
//! page's tables.

use std::collections::BTreeMap;

use garde::Validate;
use sablecross_sexpr_config::ConfigError;
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Target(#[garde(dive)] Target),
    Budget(#[garde(dive)] Budget),
    Assumed(#[garde(dive)] Assumptions),
    Slope(#[garde(dive)] Slope),
    Figure(#[garde(dive)] Figure),
}

/// The size that is to be carried.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Target {
    #[garde(range(min = 1.0, max = 1e6))]
    pub directors: f64,
    #[garde(range(min = 1.0, max = 1e6))]
    pub nodes: f64,
    #[garde(range(min = 1.0, max = 1e4))]
    pub regions: f64,
    #[garde(range(min = 1.0, max = 1e4))]
    pub zones: f64,
    #[garde(range(min = 1.0, max = 1e4))]
    pub machines: f64,
    #[garde(range(min = 1.0, max = 1e9))]
    pub lookups: f64,
    /// How many times the mean the busiest director has.
    #[garde(range(min = 1.0, max = 100.0))]
    pub busiest: f64,
    #[garde(range(min = 1.0, max = 1e15))]
    pub bits: f64,
    #[garde(range(min = 0.01, max = 1e6))]
    pub purges: f64,
    #[garde(range(min = 0.01, max = 1e9))]
    pub changes_a_day: f64,
    #[garde(range(min = 0.01, max = 1e6))]
    pub restarts_a_day: f64,
    /// How long regions lose each other.
    #[garde(range(min = 1.0, max = 1e6))]
    pub cut_s: f64,
}

#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Budget {
    /// Of control, a director: percent of a core, megabytes, bytes a second.
    #[garde(range(min = 0.01, max = 1e4))]
    pub core: f64,
    #[garde(range(min = 1.0, max = 1e6))]
    pub memory_mb: f64,
    #[garde(range(min = 1.0, max = 1e9))]
    pub bytes: f64,
    /// Of a machine set aside, for its one control process: percent of a core.
    #[garde(range(min = 1.0, max = 1e4))]
    pub machine_core: f64,
    /// How long a purge and a change may take until they are in force everywhere.
    #[garde(range(min = 0.1, max = 1e4))]
    pub purge_s: f64,
    #[garde(range(min = 0.1, max = 1e4))]
    pub change_s: f64,
}

/// What is taken for granted, and what limits and designs say.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Assumptions {
    /// IPv4 and TCP with time stamps, in each packet; each packet of events is acknowledged by one without
    /// any.
    #[garde(range(min = 20.0, max = 200.0))]
    pub head: f64,
    /// Bytes of a comment, and of the head of a call and of its answer.
    #[garde(range(min = 2.0, max = 1e3))]
    pub comment: f64,
    #[garde(range(min = 20.0, max = 1e4))]
    pub call: f64,
    /// Packets of a connection's begin and end.
    #[garde(range(min = 6.0, max = 20.0))]
    pub connection: f64,
    #[garde(range(min = 1.0, max = 1e5))]
    pub batch_ms: f64,
    #[garde(range(min = 1.0, max = 1e6))]
    pub ack_ms: f64,
    /// Seconds for which a purge binds.
    #[garde(range(min = 1.0, max = 1e5))]
    pub binds_s: f64,
    /// Seconds more for which a relay keeps one at most: for clocks that are apart, and until its base moves.
    #[garde(range(min = 0.0, max = 1e4))]
    pub slack_s: f64,
    #[garde(range(min = 1e6, max = 1e12))]
    pub machine_link: f64,
    /// Of a director, and as many of a node.
    #[garde(range(min = 16.0, max = 1e6))]
    pub descriptors: f64,
    /// Of a relay.
    #[garde(range(min = 16.0, max = 1e6))]
    pub connections: f64,
    #[garde(range(min = 1.0, max = 1e9))]
    pub body: f64,
}

/// A cost that was measured over sizes: `sablecross slopes --only NAME` measures it again, if the run does
/// not say otherwise.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Slope {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    #[garde(skip)]
    pub slope: f64,
    #[garde(skip)]
    pub intercept: f64,
    /// Percent, of what was measured there.
    #[garde(skip)]
    pub worst: f64,
    /// 0: nowhere.
    #[garde(skip)]
    #[serde(default)]
    pub bend: f64,
    #[garde(length(min = 1))]
    pub unit: String,
    #[garde(length(min = 1))]
    pub over: String,
    /// Sizes and what was measured there.
    #[garde(length(min = 3))]
    pub points: Vec<(f64, f64)>,
    #[garde(length(min = 1))]
    pub run: String,
    #[garde(skip)]
    #[serde(default)]
    pub command: Option<String>,
}

/// A figure of one run, or one that is not measured yet: then it has no value.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Figure {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    #[garde(length(min = 1))]
    pub what: String,
    #[garde(length(min = 1))]
    pub unit: String,
    #[garde(skip)]
    #[serde(default)]
    pub value: Option<f64>,
    #[garde(skip)]
    #[serde(default)]
    pub run: Option<String>,
    #[garde(length(min = 1))]
    pub command: String,
}

#[derive(Clone, Debug)]
pub struct CapacityModel {
    pub target: Target,
    pub budget: Budget,
    pub assumptions: Assumptions,
    pub slopes: BTreeMap<String, Slope>,
    pub figures: BTreeMap<String, Figure>,
    /// Names of slopes in the order of the file.
    pub slope_names: Vec<String>,
}

/// Reads a settings file such as docs/capacity.scm.
///
/// # Errors
///
/// Every error that is found: syntax, keys and ranges, forms that stand twice, and forms, slopes or figures that the
/// tables need and that are missing.
pub fn parse(file: &str, text: &str) -> Result<CapacityModel, Vec<ConfigError>> {
    let mut builder = ModelBuilder::default();
    for form in sablecross_sexpr_config::parse_forms::<Form>(file, text)? {
        if builder.insert(&form.value) {
            builder.errors.push(form.error(file, "name", "stands twice", "leave one of the two out"));
        }
    }
    builder.finish(file)
}

/// The forms of a file that have been read so far.
#[derive(Default)]
struct ModelBuilder {
    target: Option<Target>,
    budget: Option<Budget>,
    assumptions: Option<Assumptions>,
    slopes: BTreeMap<String, Slope>,
    figures: BTreeMap<String, Figure>,
    slope_names: Vec<String>,
    errors: Vec<ConfigError>,
}

impl ModelBuilder {
    /// Adds a form; true if there was one of its kind, or of its name, already.
    fn insert(&mut self, form: &Form) -> bool {
        match form {
            Form::Target(target) => self.target.replace(target.clone()).is_some(),
            Form::Budget(budget) => self.budget.replace(budget.clone()).is_some(),
            Form::Assumed(assumptions) => self.assumptions.replace(assumptions.clone()).is_some(),
            Form::Slope(slope) => {
                self.slope_names.push(slope.name.clone());
                self.slopes.insert(slope.name.clone(), slope.clone()).is_some()
            }
            Form::Figure(figure) => self.figures.insert(figure.name.clone(), figure.clone()).is_some(),
        }
    }

    fn is_known(&self, name: &str) -> bool {
        self.slopes.contains_key(name) || self.figures.contains_key(name)
    }

    fn finish(mut self, file: &str) -> Result<CapacityModel, Vec<ConfigError>> {
        let unknown: Vec<&str> = REQUIRED_NAMES.iter().copied().filter(|name| !self.is_known(name)).collect();
        for name in unknown {
            let problem = format!("no slope or figure of the name {name}");
            let remedy = "measure it, or leave a figure without a value";
            self.errors.push(missing(file, "name", problem, remedy));
        }
        match (self.target, self.budget, self.assumptions) {
            (Some(target), Some(budget), Some(assumptions)) if self.errors.is_empty() => Ok(CapacityModel {
                target,
                budget,
                assumptions,
                slopes: self.slopes,
                figures: self.figures,
                slope_names: self.slope_names,
            }),
            (target, budget, assumptions) => {
                let forms = [
                    ("target", target.is_some()),
                    ("budget", budget.is_some()),
                    ("assumed", assumptions.is_some()),
                ];
                for (key, _) in forms.iter().filter(|(_, is_present)| !is_present) {
                    self.errors.push(missing(file, key, format!("no ({key} ...) form"), "add it"));
                }
                Err(self.errors)
            }
        }
    }
}

/// An error about something that the file lacks; it stands at the file's begin.
fn missing(file: &str, key: &str, problem: String, remedy: &str) -> ConfigError {
    ConfigError { file: file.into(), line: 1, column: 1, key: key.into(), problem, remedy: remedy.into() }
}

/// Slopes and figures that the tables need.
const REQUIRED_NAMES: &[&str] = &[
    "module-purge-known",
    "module-purge-rate",
    "module-change-parent",
    "module-change-cache",
    "module-zone-loss",
    "module-zone-loss-at-once",
    "module-route",
    "module-after",
    "module-patience",
    "module-memory",
    "module-purge-memory",
    "feed-purge-bytes",
    "feed-purge-time",
    "feed-change-bytes",
    "feed-change-time",
    "feed-list-bytes",
    "feed-list-time",
    "duties-member-bytes",
    "duties-voter-calls",
    "duties-voter-bytes",
    "duties-voter-time",
    "duties-dealer-time",
    "duties-facts-bytes",
    "duties-share-time",
    "duties-roster-bytes",
    "real-voter-time",
    "real-dealer-time",
    "lab-voter-time",
    "lab-dealer-time",
    "real-purge-time",
    "real-batch-time",
    "real-change-time",
    "real-start-time",
    "real-told-time",
    "real-told-memory",
    "real-lookup-time",
    "real-lookup-memory",
    "real-lookup-descriptors",
    "real-body-time",
    "scale-director-core",
    "scale-director-bytes",
    "scale-director-heads",
    "scale-director-memory",
    "scale-relay-core",
    "scale-relay-bytes",
    "scale-relay-memory",
    "scale-owner-core",
    "scale-owner-bytes",
    "scale-owner-memory",
    "scale-purge-most",
    "scale-change-most",
    "scale-star-purge-most",
    "scale-star-source-core",
];

impl CapacityModel {
    /// A measured cost at a size, by its line: NaN if it is only a figure.
    pub fn predict(&self, name: &str, size: f64) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |s| s.intercept + s.slope * size)
    }

    /// What was measured at that size itself, else by the line.
    pub fn measured_or_predicted(&self, name: &str, size: f64) -> f64 {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        points.iter().find(|p| p.0 == size).map_or_else(|| self.predict(name, size), |p| p.1)
    }

    pub fn slope(&self, name: &str) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |s| s.slope)
    }

    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name).and_then(|f| f.value)
    }

    pub fn changes_per_s(&self) -> f64 {
        self.target.changes_a_day / 86_400.0
    }

    /// Purges that bind at any time.
    pub fn active_purges(&self) -> f64 {
        self.target.purges * self.assumptions.binds_s
    }

    /// Purges that a relay keeps, and tells to whoever has none.
    pub fn retained_purges(&self) -> f64 {
        self.target.purges * (self.assumptions.binds_s + self.assumptions.slack_s)
    }

    /// Bytes of events a second, without heads.
    pub fn event_bytes_per_s(&self) -> f64 {
        self.target.purges * self.slope("feed-purge-bytes")
            + self.changes_per_s() * self.slope("feed-change-bytes")
    }

    /// Bytes a second at a reader that is told by so many packets, each with its acknowledgement.
    pub fn subscriber_bytes_per_s(&self, packets: f64, comment: f64) -> f64 {
        self.event_bytes_per_s() + comment + packets * 2.0 * self.assumptions.head
    }

    /// Bytes a second of calling again, which says what is in force.
    pub fn reconnect_bytes_per_s(&self) -> f64 {
        let a = &self.assumptions;
        (2.0 * a.call + a.connection * a.head) * 1e3 / a.ack_ms
    }

    /// What a reader is told that has nothing: the list and the purges that bind.
    pub fn snapshot_bytes(&self) -> f64 {
        self.predict("feed-list-bytes", self.target.nodes)
            + self.retained_purges() * self.slope("feed-purge-bytes")
    }

    pub fn batches_per_s(&self) -> f64 {
        (1e3 / self.assumptions.batch_ms).min(self.target.purges + self.changes_per_s())
    }
}
