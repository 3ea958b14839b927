//! The settings of an experiment, and the parsing that the settings files of all trials share.

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Experiment(#[garde(dive)] Experiment),
}

/// The settings of an experiment.
///
/// Fields with bounds have the names of their keys, because an error finds the key in the file by the field's name.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Experiment {
    /// The name in the heading of the report.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of all random choices: lookups, changes, faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// The duration of the load in seconds.
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    /// Seconds at the start of the load without a change of the hierarchy. The report's figures on latencies, origin
    /// fetches, hits and fills leave them out.
    #[garde(range(max = 600))]
    #[serde(default = "default_warm_up")]
    pub warm_up: u64,
    /// The number of directors.
    #[garde(range(min = 1, max = 16))]
    pub directors: usize,
    /// The number of caches.
    #[garde(range(min = 1, max = 64))]
    pub caches: usize,
    /// The number of parents.
    #[garde(range(min = 1, max = 32))]
    pub uppers: usize,
    /// Lookups per second of all clients together.
    #[garde(range(min = 1, max = 20_000))]
    pub rate: u64,
    /// The number of distinct objects that clients look up.
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// The number of copies that each cache and parent keeps.
    #[garde(range(min = 1, max = 1_000_000))]
    pub kept: usize,
    /// The ceiling of the origin's load, in fetches per second.
    #[garde(range(min = 1.0, max = 1e6))]
    pub ceiling: f64,
    /// The hit ratio that plans assume for caches and parents.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_half")]
    pub hit: f64,
    /// The highest number of changes of the hierarchy. Changes for which no time is left are not made.
    #[garde(range(max = 1_000))]
    #[serde(default)]
    pub rewirings: usize,
    /// Whether parents of the tier next to the origin may fill from one another, which makes fill paths longer.
    #[garde(skip)]
    #[serde(default = "default_true")]
    #[serde(rename = "chains")]
    pub parent_chains: bool,
    /// Whether changes are carried out by a plan. Otherwise each change is published in one step.
    #[garde(skip)]
    #[serde(default = "default_true")]
    pub plan: bool,
    /// Whether faults are injected: versions arrive late, twice, out of order or not at all, parents fail, the rollout
    /// driver is killed, and changes overlap.
    #[garde(skip)]
    #[serde(default)]
    pub faults: bool,
    /// Whether parents fill along the path that directors name. Otherwise they fill by the hierarchy version that each has
    /// applied.
    #[garde(skip)]
    #[serde(default)]
    #[serde(rename = "ways")]
    pub follow_named_path: bool,
    /// Purges per second.
    #[garde(range(max = 100))]
    #[serde(default)]
    pub purges: u64,
}

fn default_warm_up() -> u64 {
    3
}

fn default_half() -> f64 {
    0.5
}

fn default_true() -> bool {
    true
}

/// Parses a file that holds a single form with this name.
pub(crate) fn parse_single_form<T>(file: &str, text: &str, name: &str) -> Result<Located<T>, Vec<ConfigError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let mut forms = sablecross_sexpr_config::parse_forms::<T>(file, text)?;
    let Some(last) = forms.pop() else {
        return Err(vec![ConfigError {
            file: file.into(),
            line: 1,
            column: 1,
            key: name.into(),
            problem: format!("no ({name} ...) form"),
            remedy: String::new(),
        }]);
    };
    if !forms.is_empty() {
        return Err(vec![last.error(file, name, format!("a second {name}"), "keep one form in each file")]);
    }
    Ok(last)
}

/// Parses the settings of an experiment. `file` is the file name in errors.
///
/// # Errors
///
/// Returns one error for each problem, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Experiment, Vec<ConfigError>> {
    let first = parse_single_form(file, text, "experiment")?;
    let Form::Experiment(experiment) = &first.value;
    if experiment.warm_up >= experiment.seconds {
        return Err(vec![first.error(
            file,
            "experiment.warm-up",
            "longer than the experiment, or as long",
            "make it shorter than the key seconds",
        )]);
    }
    Ok(experiment.clone())
}
