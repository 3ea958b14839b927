//! Parses and writes the settings file of a version.

use std::collections::{HashMap, HashSet};

use sablecross_sexpr_config::{ConfigError, Located};

use super::{HierarchySpec, NodeSpec, SpecForm, SpecHeader};
use crate::version::{FULL_SHARE, Hierarchy};

/// The maximum number of errors across forms that are reported for a file with a `(hierarchy ...)` form.
const MAX_ERRORS: usize = 20;

/// Parses the text of a settings file and returns the version with its number. Errors name the file as `file`. Nodes that
/// `known` has keep their ids.
///
/// # Errors
/// Returns the errors of single forms or, if there are none, those across forms. Each has its line, column, key and
/// cause.
pub fn parse_settings(
    file: &str,
    text: &str,
    known: Option<&Hierarchy>,
) -> Result<(u64, Hierarchy), Vec<ConfigError>> {
    let forms: Vec<Located<SpecForm>> = sablecross_sexpr_config::parse_forms(file, text)?;
    let mut collected = CollectedForms::default();
    for form in &forms {
        collected.add(file, form);
    }
    collected.check_sources(file);
    let CollectedForms { header, nodes, mut errors, .. } = collected;
    let Some(header) = header else {
        let remedy = "begin with (hierarchy (version . 1) (ceiling . 100))";
        errors.push(file_error(file, "hierarchy", "no (hierarchy ...) form".into(), remedy));
        return Err(errors);
    };
    if !errors.is_empty() {
        errors.truncate(MAX_ERRORS);
        return Err(errors);
    }
    let nodes = nodes.into_iter().map(|(_, node)| node.clone()).collect();
    let spec = HierarchySpec { header: header.clone(), nodes };
    spec.to_hierarchy(known).map_err(|error| vec![file_error(file, "", error.to_string(), "")])
}

/// An error of the file as a whole.
fn file_error(file: &str, key: &str, problem: String, remedy: &str) -> ConfigError {
    ConfigError { file: file.into(), line: 1, column: 1, key: key.into(), problem, remedy: remedy.into() }
}

/// The forms of a file by their kind, and the errors found in them.
#[derive(Default)]
struct CollectedForms<'a> {
    header: Option<&'a SpecHeader>,
    nodes: Vec<(&'a Located<SpecForm>, &'a NodeSpec)>,
    /// The line of each node's form, by the node's name.
    lines: HashMap<&'a str, usize>,
    errors: Vec<ConfigError>,
}

impl<'a> CollectedForms<'a> {
    fn add(&mut self, file: &str, form: &'a Located<SpecForm>) {
        match &form.value {
            SpecForm::Hierarchy(header) if self.header.is_none() => self.header = Some(header),
            SpecForm::Hierarchy(_) => {
                self.errors.push(form.error(file, "hierarchy", "a second form", "keep one (hierarchy ...)"));
            }
            SpecForm::Node(node) => {
                if let Some(line) = self.lines.insert(&node.name, form.line) {
                    let problem = format!("{} is already defined on line {line}", node.name);
                    self.errors.push(form.error(file, "node.name", problem, "give each node one form"));
                }
                self.nodes.push((form, node));
            }
        }
    }

    /// Checks that each source is a node of the file and is listed once.
    fn check_sources(&mut self, file: &str) {
        for (form, node) in &self.nodes {
            let mut seen = HashSet::new();
            for (index, source) in node.sources.iter().enumerate() {
                let key = format!("node.sources[{index}]");
                if !self.lines.contains_key(&**source) {
                    let problem = format!("{}: no node is called {source}", node.name);
                    let remedy = "add a form for it, or remove it";
                    self.errors.push(form.error(file, &key, problem, remedy));
                }
                if !seen.insert(source) {
                    let problem = format!("{}: {source} is listed twice", node.name);
                    self.errors.push(form.error(file, &key, problem, "keep one"));
                }
            }
        }
    }
}

impl HierarchySpec {
    /// Formats the spec as the text of a settings file.
    pub fn to_settings_text(&self) -> String {
        let mut text = self.header.to_form();
        for node in &self.nodes {
            text += &node.to_form();
        }
        text
    }
}

impl SpecHeader {
    fn to_form(&self) -> String {
        format!(
            "(hierarchy (version . {}) (ceiling . {}) (margin . {}) (cold-from . {}) (warm-after-ms . {})\n  \
             (fall-multiple . {}) (siblings . {}) (hold-ms . {}) (settle-ms . {}) (give-up-ms . {}))\n",
            self.version,
            self.ceiling,
            self.margin,
            self.cold_from,
            self.warm_after_ms,
            self.fall_multiple,
            if self.siblings { "#t" } else { "#f" },
            self.hold_ms,
            self.settle_ms,
            self.give_up_ms,
        )
    }
}

impl NodeSpec {
    /// Formats the node as a form, without the keys that have their default value.
    fn to_form(&self) -> String {
        let mut form = format!("(node (name . \"{}\") (tier . {})", self.name, self.tier);
        if !self.sources.is_empty() {
            let names: Vec<String> = self.sources.iter().map(|source| format!("\"{source}\"")).collect();
            form += &format!(" (sources {})", names.join(" "));
        }
        form += &format!(" (capacity . {})", self.capacity);
        for (key, value) in [("demand", self.demand), ("hit", self.hit)] {
            if value != 0.0 {
                form += &format!(" ({key} . {value})");
            }
        }
        if self.share != FULL_SHARE {
            form += &format!(" (share . {})", self.share);
        }
        if self.since_ms != 0 {
            form += &format!(" (since-ms . {})", self.since_ms);
        }
        form + ")\n"
    }
}
