//! The capacity model. It holds the target size, the budgets, the assumptions and the measured costs of a settings file
//! such as docs/capacity.scm, and calculates the loads that follow from them.

mod forms;

use std::collections::BTreeMap;

use forms::Form;
pub use forms::{Assumptions, Budget, Figure, Slope, Target};
use sablecross_sexpr_config::ConfigError;

/// The content of one settings file.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// The size of the installation that the system has to support.
    pub target: Target,
    /// The resources that the control plane may use.
    pub budget: Budget,
    /// The values that are assumed and not measured.
    pub assumptions: Assumptions,
    /// The measured costs, by name.
    pub slopes: BTreeMap<String, Slope>,
    /// The figures of single runs, by name.
    pub figures: BTreeMap<String, Figure>,
    /// Names of the slopes in the order of the file.
    pub slope_names: Vec<String>,
}

/// Reads a settings file such as docs/capacity.scm.
///
/// # Errors
///
/// Returns the errors of single forms: wrong syntax, unknown keys and values out of range. If there are none, returns
/// forms that appear twice, and missing forms, slopes or figures that the tables need.
pub fn parse(file: &str, text: &str) -> Result<CapacityModel, Vec<ConfigError>> {
    let mut builder = ModelBuilder::default();
    for form in sablecross_sexpr_config::parse_forms::<Form>(file, text)? {
        if builder.insert(&form.value) {
            builder.errors.push(form.error(file, "name", "appears twice", "remove one of the two forms"));
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
    /// Adds a form. Returns true if a form of its kind, or a slope or figure of its name, was there already.
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
        let missing_names: Vec<&str> =
            REQUIRED_NAMES.iter().copied().filter(|name| !self.is_known(name)).collect();
        for name in missing_names {
            let problem = format!("no slope or figure has the name {name}");
            let remedy = "measure it, or add a (figure ...) form without a value";
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

/// Returns an error about something that the file lacks; it names the first line and column of the file.
fn missing(file: &str, key: &str, problem: String, remedy: &str) -> ConfigError {
    ConfigError { file: file.into(), line: 1, column: 1, key: key.into(), problem, remedy: remedy.into() }
}

/// Names of the slopes and figures that the tables need.
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
    /// Returns the value of a cost's line at a size, or NaN if there is no slope of that name.
    pub fn predict(&self, name: &str, size: f64) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |s| s.intercept + s.slope * size)
    }

    /// Returns the value measured at exactly this size, or the value of the line if this size was not measured.
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

    /// Returns the number of changes of the endpoint list a second.
    pub fn changes_per_s(&self) -> f64 {
        self.target.changes_a_day / 86_400.0
    }

    /// Returns the number of purges that affect decisions at any time.
    pub fn active_purges(&self) -> f64 {
        self.target.purges * self.assumptions.binds_s
    }

    /// Returns the number of purges that a relay keeps and sends to a subscriber that has none.
    pub fn retained_purges(&self) -> f64 {
        self.target.purges * (self.assumptions.binds_s + self.assumptions.slack_s)
    }

    /// Returns the bytes of events a second, without packet headers.
    pub fn event_bytes_per_s(&self) -> f64 {
        self.target.purges * self.slope("feed-purge-bytes")
            + self.changes_per_s() * self.slope("feed-change-bytes")
    }

    /// Returns the bytes a second of an event stream with `packets` packets a second, each with its acknowledgement, and
    /// with `comment` bytes of comments a second.
    pub fn subscriber_bytes_per_s(&self, packets: f64, comment: f64) -> f64 {
        self.event_bytes_per_s() + comment + packets * 2.0 * self.assumptions.head
    }

    /// Returns the bytes a second of the calls by which a subscriber reports what it has applied.
    pub fn reconnect_bytes_per_s(&self) -> f64 {
        let a = &self.assumptions;
        (2.0 * a.call + a.connection * a.head) * 1e3 / a.ack_ms
    }

    /// Returns the bytes that a subscriber without any state receives: the endpoint list and the purges that the relay
    /// keeps.
    pub fn snapshot_bytes(&self) -> f64 {
        self.predict("feed-list-bytes", self.target.nodes)
            + self.retained_purges() * self.slope("feed-purge-bytes")
    }

    /// Returns the number of batches of events a second.
    pub fn batches_per_s(&self) -> f64 {
        (1e3 / self.assumptions.batch_ms).min(self.target.purges + self.changes_per_s())
    }
}
