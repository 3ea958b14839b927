//! The names that clients, nodes and the feed use, and what the module numbers.

use std::collections::HashMap;

use sablecross_inflight::settings::{Result, SettingsMap};
use serde_json::Value;

/// The method by which members of a fleet call one another.
pub const PEER_CALL_METHOD: &str = "duty";

/// The names by which the outside calls what the module numbers.
#[derive(Debug, Default)]
pub struct NameTable {
    pub classes: Vec<String>,
    pub zones: HashMap<String, usize>,
    pub node_kinds: HashMap<String, usize>,
    /// Whether other members of the fleet are answered.
    pub answers_peers: bool,
}

impl NameTable {
    /// `raw` are the same settings as they were told: lists call zones and machines by the very names.
    pub fn from_settings(p: &SettingsMap, raw: &Value) -> Result<NameTable> {
        let count: usize = p.get("classes.count")?;
        let kinds = (0..count).map(|i| p.text(&format!("classes.{i}.name")).map(str::to_owned));
        let numbered = |key: &str| -> Result<HashMap<String, usize>> {
            let names = raw[key].as_array().ok_or(format!("bad setting: {key}: not a list"))?;
            let name = |v: &Value| v.as_str().map(str::to_owned).ok_or(format!("bad setting: {key}: {v}"));
            names.iter().enumerate().map(|(i, v)| Ok((name(v)?, i))).collect()
        };
        Ok(NameTable {
            classes: kinds.collect::<Result<_>>()?,
            zones: numbered("zones")?,
            node_kinds: numbered("kinds")?,
            answers_peers: false,
        })
    }
}
