//! An experiment, from its settings file.

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Experiment(#[garde(dive)] Experiment),
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Experiment {
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// How long the load lasts, and how much of its start is left out of the figures.
    #[garde(range(min = 2, max = 3600))]
    pub seconds: u64,
    #[garde(range(max = 600))]
    #[serde(default = "default_warm_up")]
    pub warm_up: u64,
    #[garde(range(min = 1, max = 16))]
    pub directors: usize,
    #[garde(range(min = 1, max = 64))]
    pub caches: usize,
    #[garde(range(min = 1, max = 32))]
    #[serde(rename = "uppers")]
    pub parents: usize,
    /// Lookups a second of all clients together, and objects that they ask for.
    #[garde(range(min = 1, max = 20_000))]
    pub rate: u64,
    #[garde(range(min = 1, max = 10_000_000))]
    pub objects: u64,
    /// Copies that a cache, and an upper cache, keeps.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(rename = "kept")]
    pub copies_per_cache: usize,
    #[garde(range(min = 1.0, max = 1e6))]
    pub ceiling: f64,
    /// The part of what it is asked for that each cache is said to answer itself, which plans go by.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_half")]
    pub hit: f64,
    /// Changes of the hierarchy, one after another; 0: none.
    #[garde(range(max = 1_000))]
    #[serde(default)]
    #[serde(rename = "rewirings")]
    pub hierarchy_changes: usize,
    /// Whether upper caches of the tier at the origin may fill from one another, which makes ways longer.
    #[garde(skip)]
    #[serde(default = "default_true")]
    #[serde(rename = "chains")]
    pub parent_chains: bool,
    /// Whether they are carried out by a plan, or each in one jump.
    #[garde(skip)]
    #[serde(default = "default_true")]
    pub plan: bool,
    /// Whether versions come late, doubled and out of order, the driver is killed and changes follow closely.
    #[garde(skip)]
    #[serde(default)]
    pub faults: bool,
    /// Whether upper caches follow the way that directors name, or each its own version.
    #[garde(skip)]
    #[serde(default)]
    #[serde(rename = "ways")]
    pub follow_named_path: bool,
    /// Purges of an object a second.
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

/// The only form of a file, under this word.
pub(crate) fn parse_single_form<T>(file: &str, text: &str, word: &str) -> Result<Located<T>, Vec<ConfigError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let mut forms = sablecross_sexpr_config::parse_forms::<T>(file, text)?;
    let Some(first) = forms.pop() else {
        let (key, what) = (word.into(), format!("no ({word} ...) form"));
        return Err(vec![ConfigError {
            file: file.into(),
            line: 1,
            column: 1,
            key,
            problem: what,
            remedy: String::new(),
        }]);
    };
    if !forms.is_empty() {
        return Err(vec![first.error(file, word, format!("a second {word}"), "keep one a file")]);
    }
    Ok(first)
}

pub fn parse(file: &str, text: &str) -> Result<Experiment, Vec<ConfigError>> {
    let first = parse_single_form(file, text, "experiment")?;
    let Form::Experiment(e) = &first.value;
    if e.warm_up >= e.seconds {
        return Err(vec![first.error(
            file,
            "experiment.warm-up",
            "longer than the whole",
            "leave time after it",
        )]);
    }
    Ok(e.clone())
}
