//! The settings of an experiment, and what the settings files of all trials have in common.

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Experiment(#[garde(dive)] Experiment),
}

/// An experiment.
///
/// Fields with bounds are named as their keys: an error finds the key in the file by the name of the field.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Experiment {
    /// What the report is headed with.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// The seed of all that is drawn: lookups, changes, faults.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// How long the load lasts.
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    /// How many seconds at the start of the load are left out of the figures.
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
    /// Lookups a second of all clients together.
    #[garde(range(min = 1, max = 20_000))]
    pub rate: u64,
    /// The number of objects that they ask for.
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// How many copies each cache and parent keeps.
    #[garde(range(min = 1, max = 1_000_000))]
    pub kept: usize,
    /// How many fetches the origin bears in a second.
    #[garde(range(min = 1.0, max = 1e6))]
    pub ceiling: f64,
    /// The hit ratio of each cache that plans assume.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_half")]
    pub hit: f64,
    /// The number of changes of the hierarchy, one after another.
    #[garde(range(max = 1_000))]
    #[serde(default)]
    pub rewirings: usize,
    /// Whether parents of the tier at the origin may fill from one another, which makes fill paths longer.
    #[garde(skip)]
    #[serde(default = "default_true")]
    #[serde(rename = "chains")]
    pub parent_chains: bool,
    /// Whether changes are carried out by a plan; else each in one step.
    #[garde(skip)]
    #[serde(default = "default_true")]
    pub plan: bool,
    /// Whether versions come late, doubled and out of order, the driver is killed and changes overlap.
    #[garde(skip)]
    #[serde(default)]
    pub faults: bool,
    /// Whether parents fill along the path that directors name; else by the version that each has applied.
    #[garde(skip)]
    #[serde(default)]
    #[serde(rename = "ways")]
    pub follow_named_path: bool,
    /// Purges a second.
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

/// Reads a file that holds a single form with this name.
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
        return Err(vec![last.error(file, name, format!("a second {name}"), "keep one a file")]);
    }
    Ok(last)
}

/// Reads the settings of an experiment. `file` names them in errors.
///
/// # Errors
///
/// One for each fault, with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Experiment, Vec<ConfigError>> {
    let first = parse_single_form(file, text, "experiment")?;
    let Form::Experiment(experiment) = &first.value;
    if experiment.warm_up >= experiment.seconds {
        return Err(vec![first.error(
            file,
            "experiment.warm-up",
            "longer than the whole",
            "leave time after it",
        )]);
    }
    Ok(experiment.clone())
}
