//! The names that clients, nodes and the feed use, and what the module numbers.

use std::collections::HashMap;

use sablecross_inhand::settings::{Pairs, Result};

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
    pub fn of(p: &Pairs) -> Result<Names> {
        let count: usize = p.get("classes.count")?;
        let kinds = (0..count).map(|i| p.text(&format!("classes.{i}.name")).map(str::to_owned));
        let numbered = |key: &str| -> Result<HashMap<String, usize>> {
            Ok(p.list::<String>(key)?.into_iter().enumerate().map(|(i, name)| (name, i)).collect())
        };
        Ok(Names {
            kinds: kinds.collect::<Result<_>>()?,
            zones: numbered("zones")?,
            machines: numbered("kinds")?,
            duties: false,
        })
    }
}
