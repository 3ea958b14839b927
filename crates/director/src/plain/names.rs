//! The names that clients, nodes and the feed use, and what the module numbers.

use std::collections::HashMap;

use sablecross_inhand::settings::{Pairs, Result};
use serde_json::Value;

/// The method by which members of a fleet call one another.
pub const DUTY: &str = "duty";

/// The names by which the outside calls what the module numbers.
#[derive(Debug, Default)]
pub struct Names {
    pub kinds: Vec<String>,
    pub zones: HashMap<String, usize>,
    pub machines: HashMap<String, usize>,
    /// Whether other members of the fleet are answered.
    pub duties: bool,
}

impl Names {
    /// `raw` are the same settings as they were told: lists call zones and machines by the very names.
    pub fn of(p: &Pairs, raw: &Value) -> Result<Names> {
        let count: usize = p.get("classes.count")?;
        let kinds = (0..count).map(|i| p.text(&format!("classes.{i}.name")).map(str::to_owned));
        let numbered = |key: &str| -> Result<HashMap<String, usize>> {
            let names = raw[key].as_array().ok_or(format!("bad setting: {key}: not a list"))?;
            let name = |v: &Value| v.as_str().map(str::to_owned).ok_or(format!("bad setting: {key}: {v}"));
            names.iter().enumerate().map(|(i, v)| Ok((name(v)?, i))).collect()
        };
        Ok(Names {
            kinds: kinds.collect::<Result<_>>()?,
            zones: numbered("zones")?,
            machines: numbered("kinds")?,
            duties: false,
        })
    }
}
