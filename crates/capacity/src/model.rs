//! The capacity model: the target size, the budgets, the assumptions and the measured costs of a settings file such as
//! docs/capacity.scm, and the loads that follow from them.

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

/// The size of the installation that has to be carried.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Target {
    /// Number of directors.
    #[garde(range(min = 1.0, max = 1e6))]
    pub directors: f64,
    /// Number of cache nodes and parents.
    #[garde(range(min = 1.0, max = 1e6))]
    pub nodes: f64,
    /// Number of regions.
    #[garde(range(min = 1.0, max = 1e4))]
    pub regions: f64,
    /// Number of zones.
    #[garde(range(min = 1.0, max = 1e4))]
    pub zones: f64,
    /// Number of machines set aside for control processes, one relay on each.
    #[garde(range(min = 1.0, max = 1e4))]
    pub machines: f64,
    /// Lookups a second at the peak, of all directors.
    #[garde(range(min = 1.0, max = 1e9))]
    pub lookups: f64,
    /// Load of the busiest director as a multiple of the mean.
    #[garde(range(min = 1.0, max = 100.0))]
    pub busiest: f64,
    /// Bits of bodies a second at the peak, of all directors.
    #[garde(range(min = 1.0, max = 1e15))]
    pub bits: f64,
    /// Purges a second.
    #[garde(range(min = 0.01, max = 1e6))]
    pub purges: f64,
    /// Changes of the endpoint list a day.
    #[garde(range(min = 0.01, max = 1e9))]
    pub changes_a_day: f64,
    /// Restarts of directors a day.
    #[garde(range(min = 0.01, max = 1e6))]
    pub restarts_a_day: f64,
    /// Seconds for which regions are partitioned from each other.
    #[garde(range(min = 1.0, max = 1e6))]
    pub cut_s: f64,
}

/// What control may use, and how fast it has to be.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Budget {
    /// Processor time of control in a director, in percent of a core.
    #[garde(range(min = 0.01, max = 1e4))]
    pub core: f64,
    /// Memory of control in a director, in megabytes.
    #[garde(range(min = 1.0, max = 1e6))]
    pub memory_mb: f64,
    /// Bytes of control a second, to and from a director.
    #[garde(range(min = 1.0, max = 1e9))]
    pub bytes: f64,
    /// Processor time of the one control process of a machine set aside, in percent of a core.
    #[garde(range(min = 1.0, max = 1e4))]
    pub machine_core: f64,
    /// Seconds after which a purge has to be applied everywhere.
    #[garde(range(min = 0.1, max = 1e4))]
    pub purge_s: f64,
    /// Seconds after which a change has to be applied everywhere.
    #[garde(range(min = 0.1, max = 1e4))]
    pub change_s: f64,
}

/// What is assumed and not measured: sizes of protocol headers, timers and limits.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Assumptions {
    /// Bytes of the IPv4 and TCP headers of a packet, with TCP time stamps. Each packet of events is acknowledged by a
    /// packet without payload.
    #[garde(range(min = 20.0, max = 200.0))]
    pub head: f64,
    /// Bytes of a comment that keeps an event stream alive.
    #[garde(range(min = 2.0, max = 1e3))]
    pub comment: f64,
    /// Bytes of the head of an HTTP call, and as many of the head of its answer.
    #[garde(range(min = 20.0, max = 1e4))]
    pub call: f64,
    /// Packets that open and close a connection.
    #[garde(range(min = 6.0, max = 20.0))]
    pub connection: f64,
    /// Milliseconds between two batches of events.
    #[garde(range(min = 1.0, max = 1e5))]
    pub batch_ms: f64,
    /// Mean milliseconds until a stream of a relay ends and its reader calls again.
    #[garde(range(min = 1.0, max = 1e6))]
    pub ack_ms: f64,
    /// Seconds for which a purge affects decisions.
    #[garde(range(min = 1.0, max = 1e5))]
    pub binds_s: f64,
    /// Further seconds for which a relay keeps a purge at most, for clock skew and until its snapshot moves on.
    #[garde(range(min = 0.0, max = 1e4))]
    pub slack_s: f64,
    /// Link of one control machine, in bits a second.
    #[garde(range(min = 1e6, max = 1e12))]
    pub machine_link: f64,
    /// File descriptors of a director, and as many of a node.
    #[garde(range(min = 16.0, max = 1e6))]
    pub descriptors: f64,
    /// Connections of a relay.
    #[garde(range(min = 16.0, max = 1e6))]
    pub connections: f64,
    /// Bytes of the largest body.
    #[garde(range(min = 1.0, max = 1e9))]
    pub body: f64,
}

/// A cost that was measured over sizes. `sablecross slopes --only NAME` measures it again, unless `command` names
/// another command.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Slope {
    /// Name of the cost, as `--only` takes it.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// Growth of the cost for each unit of size.
    #[garde(skip)]
    pub slope: f64,
    /// Cost at size zero.
    #[garde(skip)]
    pub intercept: f64,
    /// Largest residual, in percent of the value that was measured there.
    #[garde(skip)]
    pub worst: f64,
    /// The size from which the cost grows faster than the line; 0 if it does not.
    #[garde(skip)]
    #[serde(default)]
    pub bend: f64,
    /// Unit of the cost.
    #[garde(length(min = 1))]
    pub unit: String,
    /// What the size counts.
    #[garde(length(min = 1))]
    pub over: String,
    /// Pairs of a size and the value measured at it.
    #[garde(length(min = 3))]
    pub points: Vec<(f64, f64)>,
    /// Date and time of the run.
    #[garde(length(min = 1))]
    pub run: String,
    /// The command that measures the cost, if it is not `sablecross slopes`.
    #[garde(skip)]
    #[serde(default)]
    pub command: Option<String>,
}

/// A figure of one run. Without a value it has not been measured yet.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Figure {
    /// Name of the figure.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// What it is the figure of.
    #[garde(length(min = 1))]
    pub what: String,
    /// Its unit.
    #[garde(length(min = 1))]
    pub unit: String,
    /// The measured value.
    #[garde(skip)]
    #[serde(default)]
    pub value: Option<f64>,
    /// Date and time of the run.
    #[garde(skip)]
    #[serde(default)]
    pub run: Option<String>,
    /// The command that measures it.
    #[garde(length(min = 1))]
    pub command: String,
}

/// The content of one settings file.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// The size that has to be carried.
    pub target: Target,
    /// What control may use.
    pub budget: Budget,
    /// What is assumed and not measured.
    pub assumptions: Assumptions,
    /// The measured costs by name.
    pub slopes: BTreeMap<String, Slope>,
    /// The figures of single runs by name.
    pub figures: BTreeMap<String, Figure>,
    /// Names of the slopes in the order of the file.
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
    /// Returns a cost at a size by its line, or NaN if there is no slope of that name.
    pub fn predict(&self, name: &str, size: f64) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |s| s.intercept + s.slope * size)
    }

    /// Returns the value measured at exactly this size, or else the one by the line.
    pub fn measured_or_predicted(&self, name: &str, size: f64) -> f64 {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        points.iter().find(|p| p.0 == size).map_or_else(|| self.predict(name, size), |p| p.1)
    }

    /// Returns the growth of a cost for each unit of size, or NaN if there is no slope of that name.
    pub fn slope(&self, name: &str) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |s| s.slope)
    }

    /// Returns the value of a figure, or `None` if it has not been measured.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name).and_then(|f| f.value)
    }

    /// Changes of the endpoint list a second.
    pub fn changes_per_s(&self) -> f64 {
        self.target.changes_a_day / 86_400.0
    }

    /// Purges that affect decisions at any time.
    pub fn active_purges(&self) -> f64 {
        self.target.purges * self.assumptions.binds_s
    }

    /// Purges that a relay keeps and sends to a reader that has none.
    pub fn retained_purges(&self) -> f64 {
        self.target.purges * (self.assumptions.binds_s + self.assumptions.slack_s)
    }

    /// Bytes of events a second, without packet headers.
    pub fn event_bytes_per_s(&self) -> f64 {
        self.target.purges * self.slope("feed-purge-bytes")
            + self.changes_per_s() * self.slope("feed-change-bytes")
    }

    /// Bytes a second of an event stream that arrives in `packets` packets a second, each with its acknowledgement, and
    /// with `comment` bytes of comments a second.
    pub fn subscriber_bytes_per_s(&self, packets: f64, comment: f64) -> f64 {
        self.event_bytes_per_s() + comment + packets * 2.0 * self.assumptions.head
    }

    /// Bytes a second of the calls by which a reader reports what it has applied.
    pub fn reconnect_bytes_per_s(&self) -> f64 {
        let a = &self.assumptions;
        (2.0 * a.call + a.connection * a.head) * 1e3 / a.ack_ms
    }

    /// Bytes that a reader without any state receives: the endpoint list and the purges that the relay keeps.
    pub fn snapshot_bytes(&self) -> f64 {
        self.predict("feed-list-bytes", self.target.nodes)
            + self.retained_purges() * self.slope("feed-purge-bytes")
    }

    /// Batches of events a second.
    pub fn batches_per_s(&self) -> f64 {
        (1e3 / self.assumptions.batch_ms).min(self.target.purges + self.changes_per_s())
    }
}
