//! A version as it is written: in settings files (S-expressions), in events and logs (JSON by serde).

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located};
use serde::{Deserialize, Serialize};

use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId};

const MS: u64 = 1_000_000;
/// A day.
const LONGEST_MS: u64 = 86_400_000;

/// One form of a settings file.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum SpecForm {
    #[serde(rename = "hierarchy")]
    Hierarchy(#[garde(dive)] SpecHeader),
    #[serde(rename = "node")]
    Node(#[garde(dive)] NodeSpec),
}

/// What holds for the whole.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SpecHeader {
    /// The number of this version; a later one is larger.
    #[garde(range(min = 1))]
    pub version: u64,
    /// Fetches a second that the origin may be asked for.
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling: f64,
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default = "margin")]
    pub margin: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    #[garde(range(max = LONGEST_MS))]
    #[serde(default = "warm_after")]
    pub warm_after_ms: u64,
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    #[garde(skip)]
    #[serde(default)]
    pub siblings: bool,
    #[garde(range(max = LONGEST_MS))]
    #[serde(default = "hold")]
    pub hold_ms: u64,
    #[garde(range(max = LONGEST_MS))]
    #[serde(default = "settle")]
    pub settle_ms: u64,
    #[garde(range(min = 1, max = LONGEST_MS))]
    #[serde(default = "give_up")]
    pub give_up_ms: u64,
}

fn margin() -> f64 {
    0.2
}
fn cold_from() -> f64 {
    0.25
}
fn warm_after() -> u64 {
    20_000
}
fn fall_multiple() -> f64 {
    2.0
}
fn hold() -> u64 {
    3_000
}
fn settle() -> u64 {
    5_000
}
fn give_up() -> u64 {
    30_000
}
/// What lines of the protocol and of logs can carry.
fn word(name: &str, _: &()) -> garde::Result {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    if name.chars().all(plain) { Ok(()) } else { Err(garde::Error::new("letters, digits and . _ : - only")) }
}

fn full() -> u16 {
    FULL_SHARE
}

/// A node.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NodeSpec {
    #[garde(length(min = 1, max = 64), custom(word))]
    pub name: String,
    #[garde(range(max = 7))]
    pub tier: u8,
    #[garde(length(max = 64))]
    #[serde(default)]
    pub sources: Vec<String>,
    #[garde(range(min = 0.0, max = 1e9))]
    pub capacity: f64,
    #[garde(range(min = 0.0, max = 1e9))]
    #[serde(default)]
    pub demand: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub hit: f64,
    #[garde(range(max = FULL_SHARE))]
    #[serde(default = "full")]
    pub share: u16,
    /// Unix milliseconds of its start, if it is cold; 0: it has long been running.
    #[garde(skip)]
    #[serde(default)]
    pub since_ms: u64,
}

/// A whole version, as events and logs carry it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HierarchySpec {
    #[serde(rename = "head")]
    pub header: SpecHeader,
    #[serde(rename = "nodes")]
    pub nodes: Vec<NodeSpec>,
}

/// Reads a settings file: the version's number and the version. Nodes that `known` has keep their numbers.
pub fn parse_settings(
    file: &str,
    text: &str,
    known: Option<&Hierarchy>,
) -> Result<(u64, Hierarchy), Vec<ConfigError>> {
    let forms: Vec<Located<SpecForm>> = sablecross_sexpr_config::parse_forms(file, text)?;
    let mut faults = Vec::new();
    let mut head = None;
    let mut lines = Vec::new();
    let mut seen: HashMap<&str, usize> = HashMap::new();
    for form in &forms {
        match &form.value {
            SpecForm::Hierarchy(h) if head.is_none() => head = Some(h),
            SpecForm::Hierarchy(_) => {
                faults.push(form.error(file, "hierarchy", "a second head", "keep one (hierarchy ...)"));
            }
            SpecForm::Node(line) => {
                if let Some(before) = seen.insert(&line.name, form.line) {
                    let what = format!("{} stands on line {before} already", line.name);
                    faults.push(form.error(file, "node.name", what, "give each node one form"));
                }
                lines.push((form, line));
            }
        }
    }
    for (form, line) in &lines {
        let mut met = HashSet::new();
        for (i, source) in line.sources.iter().enumerate() {
            let key = format!("node.sources[{i}]");
            if !seen.contains_key(&**source) {
                let todo = "add a form for it, or take it away";
                faults.push(form.error(
                    file,
                    &key,
                    format!("{}: no node is called {source}", line.name),
                    todo,
                ));
            }
            if !met.insert(source) {
                faults.push(form.error(
                    file,
                    &key,
                    format!("{}: {source} stands twice", line.name),
                    "keep one",
                ));
            }
        }
    }
    let Some(head) = head else {
        let todo = "begin with (hierarchy (version . 1) (ceiling . 100))";
        let what = "no (hierarchy ...) form";
        let (key, todo) = ("hierarchy".into(), todo.into());
        faults.push(ConfigError {
            file: file.into(),
            line: 1,
            column: 1,
            key,
            problem: what.into(),
            remedy: todo,
        });
        return Err(faults);
    };
    if !faults.is_empty() {
        faults.truncate(20);
        return Err(faults);
    }
    let told =
        HierarchySpec { header: head.clone(), nodes: lines.into_iter().map(|(_, l)| l.clone()).collect() };
    let whole = |what| ConfigError {
        file: file.into(),
        line: 1,
        column: 1,
        key: String::new(),
        problem: what,
        remedy: String::new(),
    };
    told.to_hierarchy(known).map_err(|what| vec![whole(what)])
}

impl HierarchySpec {
    pub fn from_hierarchy(number: u64, h: &Hierarchy) -> HierarchySpec {
        let r = &h.rules;
        let head = SpecHeader {
            version: number,
            ceiling: r.ceiling,
            margin: r.margin,
            cold_from: r.slow_start_initial_share,
            warm_after_ms: r.slow_start_window / MS,
            fall_multiple: r.collapse_multiple,
            siblings: r.allows_siblings,
            hold_ms: r.drain_window / MS,
            settle_ms: r.fill_window / MS,
            give_up_ms: r.step_timeout / MS,
        };
        let nodes = h.iter().map(|(_, m)| NodeSpec {
            name: m.name.to_string(),
            tier: m.tier,
            sources: m.sources.iter().map(|s| h.node_name(*s).to_owned()).collect(),
            capacity: m.capacity,
            demand: m.demand,
            hit: m.hit_ratio,
            share: m.ring_share,
            since_ms: m.started_at / MS,
        });
        HierarchySpec { header: head, nodes: nodes.collect() }
    }

    /// The number and the version. Nodes that `known` has keep their numbers; others get free ones.
    pub fn to_hierarchy(&self, known: Option<&Hierarchy>) -> Result<(u64, Hierarchy), String> {
        let h = &self.header;
        let rules = HierarchyRules {
            ceiling: h.ceiling,
            margin: h.margin,
            slow_start_initial_share: h.cold_from,
            slow_start_window: h.warm_after_ms.saturating_mul(MS),
            collapse_multiple: h.fall_multiple,
            allows_siblings: h.siblings,
            drain_window: h.hold_ms.saturating_mul(MS),
            fill_window: h.settle_ms.saturating_mul(MS),
            step_timeout: h.give_up_ms.saturating_mul(MS),
        };
        let mut next = known.and_then(|k| k.iter().last()).map_or(0, |(id, _)| id + 1);
        let mut ids: HashMap<&str, NodeId> = HashMap::new();
        for line in &self.nodes {
            let id = known.and_then(|k| k.node_id(&line.name)).unwrap_or_else(|| {
                next += 1;
                next - 1
            });
            if ids.insert(&line.name, id).is_some() {
                return Err(format!("{}: a node stands twice", line.name));
            }
        }
        // One that is known and unchanged is the same in memory too, so that versions are compared by pointer.
        let mut all = known.map_or_else(|| Hierarchy::new(rules.clone()), Hierarchy::clone);
        all = all.with_rules(Arc::new(rules));
        let gone: Vec<NodeId> =
            all.iter().filter(|(_, m)| !ids.contains_key(&*m.name)).map(|(id, _)| id).collect();
        let mut changes: Vec<(NodeId, Option<Arc<HierarchyNode>>)> =
            gone.into_iter().map(|id| (id, None)).collect();
        for line in &self.nodes {
            let sources = line.sources.iter().map(|s| {
                ids.get(&**s).copied().ok_or_else(|| format!("{}: no node is called {s}", line.name))
            });
            let member = HierarchyNode {
                name: line.name.as_str().into(),
                tier: line.tier,
                sources: sources.collect::<Result<Vec<_>, _>>()?.into(),
                capacity: line.capacity,
                demand: line.demand,
                hit_ratio: line.hit,
                ring_share: line.share,
                started_at: line.since_ms.saturating_mul(MS),
            };
            let id = ids[&*line.name];
            if all.get(id).is_none_or(|m| **m != member) {
                changes.push((id, Some(Arc::new(member))));
            }
        }
        Ok((h.version, all.with_changes(changes)))
    }

    /// The text of a settings file that says the same.
    pub fn to_settings_text(&self) -> String {
        let h = &self.header;
        let mut text = format!(
            "(hierarchy (version . {}) (ceiling . {}) (margin . {}) (cold-from . {}) (warm-after-ms . {})\n  \
             (fall-multiple . {}) (siblings . {}) (hold-ms . {}) (settle-ms . {}) (give-up-ms . {}))\n",
            h.version,
            h.ceiling,
            h.margin,
            h.cold_from,
            h.warm_after_ms,
            h.fall_multiple,
            if h.siblings { "#t" } else { "#f" },
            h.hold_ms,
            h.settle_ms,
            h.give_up_ms,
        );
        for n in &self.nodes {
            text += &format!("(node (name . \"{}\") (tier . {})", n.name, n.tier);
            if !n.sources.is_empty() {
                let names: Vec<String> = n.sources.iter().map(|s| format!("\"{s}\"")).collect();
                text += &format!(" (sources {})", names.join(" "));
            }
            text += &format!(" (capacity . {})", n.capacity);
            for (key, value) in [("demand", n.demand), ("hit", n.hit)] {
                if value != 0.0 {
                    text += &format!(" ({key} . {value})");
                }
            }
            if n.share != FULL_SHARE {
                text += &format!(" (share . {})", n.share);
            }
            if n.since_ms != 0 {
                text += &format!(" (since-ms . {})", n.since_ms);
            }
            text += ")\n";
        }
        text
    }
}
