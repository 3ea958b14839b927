//! The hierarchy of upper caches, as this director holds it: from its own file or from the feed, the larger number
//! wins. It says which places members take in the module's pie of parents and which way a fill goes beyond its source;
//! the module still names the source.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sablecross::{Listed, State, fill_place};
use sablecross_hierarchy::spec::{self, Told as Spec};
use sablecross_hierarchy::way::Ways;
use sablecross_hierarchy::{Admission, FULL, Hierarchy, Holder, NodeId, Taken};
use serde::Deserialize;
use serde_json::Value;

/// The variable that names the settings file.
const FILE: &str = "SABLECROSS_HIERARCHY";

/// A version that was told, checked, not in force yet.
#[derive(Debug, PartialEq)]
pub struct Told {
    number: u64,
    version: Hierarchy,
    by: &'static str,
}

impl Told {
    /// The version of an event.
    pub fn of(event: &Value) -> Result<Told, String> {
        let told = Spec::deserialize(event).map_err(|e| e.to_string())?;
        let (number, version) = told.hierarchy(None)?;
        Told::checked(number, version, "feed")
    }

    /// The version that the owner of driving tells.
    #[cfg(feature = "duty")]
    pub fn of_driver(told: &Spec) -> Result<Told, String> {
        let (number, version) = told.hierarchy(None)?;
        Told::checked(number, version, "duty")
    }

    /// The version of the settings file, where one is named.
    pub fn read() -> Option<Result<Told, String>> {
        let file = std::env::var(FILE).ok()?;
        let text = std::fs::read_to_string(&file).map_err(|e| format!("{FILE}: {file}: {e}"));
        Some(text.and_then(|text| {
            let faults = |f: Vec<sablecross_forms::Fault>| {
                f.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
            };
            let (number, version) = spec::read(&file, &text, None).map_err(faults)?;
            Told::checked(number, version, "file")
        }))
    }

    /// What no plan brings about is refused here too: a circle, a node without a way to the origin.
    fn checked(number: u64, version: Hierarchy, by: &'static str) -> Result<Told, String> {
        Admission::sound(&version).map_err(|e| e.to_string())?;
        Ok(Told { number, version, by })
    }
}

/// What a director says of the version that it has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub number: u64,
    pub digest: u64,
}

/// One version in force. A lookup keeps it as long as it is in hand.
#[derive(Debug)]
pub struct Current {
    version: Hierarchy,
    ways: Ways,
    /// Whom the edge asks: of the sources of those that nobody fills from, the tiers nearest to them.
    asked: BTreeSet<NodeId>,
}

impl Current {
    fn of(version: &Hierarchy) -> Current {
        let sources: BTreeSet<NodeId> = version.iter().flat_map(|(_, m)| m.sources.to_vec()).collect();
        let edge = version.iter().filter(|(id, m)| !m.is_origin() && m.tier > 1 && !sources.contains(id));
        let nearest = |id: NodeId| {
            let tier = version.asked(id).filter_map(|s| version.get(s)).map(|m| m.tier).max();
            version.asked(id).filter(move |s| version.get(*s).map(|m| m.tier) == tier).collect::<Vec<_>>()
        };
        let asked = edge.flat_map(|(id, _)| nearest(id)).collect();
        Current { version: version.clone(), ways: Ways::of(version), asked }
    }

    /// The places that a parent does not take in the module's pie.
    fn withheld(&self, name: &str) -> u16 {
        let member = self.version.id(name).filter(|id| self.asked.contains(id));
        member.and_then(|id| self.version.get(id)).map_or(FULL, |m| FULL - m.share.min(FULL))
    }

    /// The way of an object's fill beyond its source, where it is longer than to the origin.
    pub fn way(&self, source: &str, object: u64) -> Option<String> {
        let id = self.version.id(source)?;
        let way = self.ways.way(&self.version, id, fill_place(object), |_| true);
        let names: Vec<&str> = way.iter().map(|n| self.version.name(*n)).collect();
        (names.len() > 1).then(|| names.join("+"))
    }
}

/// What the desk keeps of it.
#[derive(Debug, Default)]
pub struct Upper {
    holder: Holder,
    current: Option<Arc<Current>>,
    parent_kind: Option<usize>,
    /// The list of parents as it was last told, to be listed again when their places change.
    parents: BTreeMap<usize, (String, Listed)>,
}

impl Upper {
    pub fn new(parent_kind: Option<usize>) -> Upper {
        Upper { parent_kind, ..Upper::default() }
    }

    pub fn current(&self) -> Option<&Arc<Current>> {
        self.current.as_ref()
    }

    /// Lines of the list, to which the places are added that the hierarchy gives.
    pub fn list(&mut self, lines: &mut [Listed], whole: bool, name: impl Fn(usize) -> String) {
        if whole {
            self.parents.clear();
        }
        for line in lines.iter_mut().filter(|l| Some(l.machine) == self.parent_kind) {
            let name = name(line.node);
            line.withheld = self.current.as_ref().map_or(0, |c| c.withheld(&name));
            if line.state == State::Gone {
                self.parents.remove(&line.node);
            } else {
                self.parents.insert(line.node, (name, *line));
            }
        }
    }

    /// Takes a version, if it is a later one: the parents as they are to be listed then, and what is to be said of it.
    pub fn take(&mut self, told: &Told) -> Option<(Vec<Listed>, InForce)> {
        let before = self.holder.number();
        let taken = self.holder.offer(told.number, &told.version);
        match taken {
            Taken::New => {}
            // Said once more: the word may have been lost.
            Taken::Same => return Some((Vec::new(), self.in_force())),
            Taken::Older | Taken::Other => {
                tracing::warn!(
                    "hierarchy passed over version={} in_force={before} why={taken:?}",
                    told.number
                );
                return None;
            }
        }
        let current = Arc::new(Current::of(&told.version));
        let lines = self.parents.values_mut().map(|(name, line)| {
            line.withheld = current.withheld(name);
            *line
        });
        let lines: Vec<Listed> = lines.collect();
        let asked = lines.iter().filter(|l| l.withheld < FULL).count();
        tracing::info!(
            "hierarchy in force version={} before={before} by={} nodes={} asked={asked}",
            told.number,
            told.by,
            told.version.len()
        );
        if asked == 0 {
            tracing::warn!("hierarchy version={} asks none of the parents listed", told.number);
        }
        self.current = Some(current);
        Some((lines, self.in_force()))
    }

    fn in_force(&self) -> InForce {
        let digest = self.holder.version().map_or(0, Hierarchy::digest);
        InForce { number: self.holder.number(), digest }
    }
}
