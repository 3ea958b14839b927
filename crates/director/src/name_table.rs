//! The names that clients, nodes and discovery use in place of the router's indexes.

use std::collections::HashMap;

use sablecross_inflight::settings::{Result, SettingsError, SettingsMap};
use serde_json::Value;

/// The method of calls between directors.
pub const PEER_CALL_METHOD: &str = "duty";

/// The names of request classes, zones and kinds of nodes.
#[derive(Debug, Default)]
pub struct NameTable {
    /// The method by which clients call each request class, by the router's index of the class.
    pub classes: Vec<String>,
    /// The router's index of each zone, by the zone's name.
    pub zones: HashMap<String, usize>,
    /// The router's index of each kind of node, by the kind's name.
    pub node_kinds: HashMap<String, usize>,
    /// Whether calls of other directors are answered.
    pub answers_peers: bool,
}

impl NameTable {
    /// Reads the names from the settings. `raw` holds the same settings as JSON, because endpoint lists name zones and
    /// kinds exactly as they are written there.
    ///
    /// # Errors
    /// Names the first key that is missing or invalid.
    pub fn from_settings(settings: &SettingsMap, raw: &Value) -> Result<NameTable> {
        let class_count: usize = settings.get("classes.count")?;
        let class = |index| settings.text(&format!("classes.{index}.name")).map(str::to_owned);
        Ok(NameTable {
            classes: (0..class_count).map(class).collect::<Result<_>>()?,
            zones: numbered_names(raw, "zones")?,
            node_kinds: numbered_names(raw, "kinds")?,
            answers_peers: false,
        })
    }
}

fn numbered_names(raw: &Value, key: &str) -> Result<HashMap<String, usize>> {
    let names = raw[key].as_array().ok_or_else(|| SettingsError::NotAList { key: key.to_owned() })?;
    let numbered = names.iter().enumerate().map(|(number, name)| {
        let text = name
            .as_str()
            .ok_or_else(|| SettingsError::NotAString { key: key.to_owned(), value: name.to_string() })?;
        Ok((text.to_owned(), number))
    });
    numbered.collect()
}
