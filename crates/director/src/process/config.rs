//! The one place where the configuration is read and checked.

use std::io;
use std::net::SocketAddr;

use sablecross::Settings;
use sablecross_inflight::settings::{self, SettingsMap};
use serde_json::Value;
use thiserror::Error;

use crate::discovery_event::{KnownEvents, NumberedEvent};
use crate::limits::Limits;
use crate::name_table::NameTable;

type Result<T> = std::result::Result<T, String>;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The control feed, then others with the same events, for when it is down.
    pub feeds: Vec<SocketAddr>,
    pub seed: u64,
    pub settings: Settings,
    pub names: NameTable,
    pub limits: Limits,
    pub known: KnownEvents,
}

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum ConfigLoadError {
    #[error("NODE_CONFIG: not set")]
    NotSet,
    #[error("NODE_CONFIG: {path}: {why}")]
    Unreadable { path: String, why: io::Error },
    /// Not JSON, or not all of it.
    #[error("configuration: {why} (NODE_CONFIG: {path})")]
    InvalidJson { path: String, why: serde_json::Error },
    /// Names the key at fault.
    #[error("{why} (NODE_CONFIG: {path})")]
    InvalidSetting { path: String, why: String },
}

impl ConfigLoadError {
    /// Whether the file may be readable a little later as it is, or once it has been written to its end.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigLoadError::Unreadable { .. } | ConfigLoadError::InvalidJson { .. })
    }
}

impl Config {
    /// From the file that `NODE_CONFIG` names.
    pub fn load() -> std::result::Result<Config, ConfigLoadError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigLoadError::NotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(why) => return Err(ConfigLoadError::Unreadable { path, why }),
        };
        match serde_json::from_str(&text) {
            Ok(all) => Config::of(&all).map_err(|why| ConfigLoadError::InvalidSetting { path, why }),
            Err(why) => Err(ConfigLoadError::InvalidJson { path, why }),
        }
    }

    pub fn parse(text: &str) -> Result<Config> {
        let all: Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        Config::of(&all)
    }

    fn of(all: &Value) -> Result<Config> {
        let seed = string(all, "seed")?;
        let known = all.get("known").ok_or("known: missing")?;
        let events = known.get("events").and_then(Value::as_array).ok_or("known.events: not a list")?;
        let events =
            events.iter().map(|e| NumberedEvent::from_json(e).map_err(|e| format!("known.events: {e}")));
        let events = events.collect::<Result<_>>()?;
        let last = known.get("n").and_then(Value::as_u64).ok_or("known.n: not a whole number")?;
        let mut pairs = Vec::new();
        flatten(String::new(), all.get("settings").ok_or("settings: missing")?, &mut pairs);
        let pairs: SettingsMap = pairs.into_iter().collect();
        let in_settings = |e: String| format!("settings: {e}");
        let count = |key: &str| -> Result<usize> {
            let value = all.pointer(&format!("/limits/{key}")).ok_or(format!("limits.{key}: missing"))?;
            let n = value.as_u64().filter(|&n| n > 0).ok_or(format!("limits.{key}: not a count: {value}"))?;
            usize::try_from(n).map_err(|_| format!("limits.{key}: too large: {n}"))
        };
        let time = |key: &str| pairs.nanoseconds(key).map_err(in_settings);
        Ok(Config {
            name: string(all, "name")?.to_owned(),
            listen: address(all, "listen")?,
            feeds: feeds(all)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed: not hexadecimal: {seed}"))?,
            settings: settings::decode(&pairs).map_err(in_settings)?,
            names: NameTable::from_settings(&pairs, &all["settings"]).map_err(in_settings)?,
            limits: Limits::new(
                count("sockets")?,
                count("memory_mb")?,
                time("ceilings.dialTimeoutUs")?,
                time("ceilings.keepaliveUs")?,
            ),
            known: KnownEvents { last, events },
        })
    }
}

fn string<'a>(all: &'a Value, key: &str) -> Result<&'a str> {
    all.get(key).ok_or(format!("{key}: missing"))?.as_str().ok_or(format!("{key}: not a string"))
}

/// `feed`, and `feeds` where the installation has more than one; the platform names none.
fn feeds(all: &Value) -> Result<Vec<SocketAddr>> {
    let mut feeds = vec![address(all, "feed")?];
    if let Some(more) = all.get("feeds") {
        for (i, at) in more.as_array().ok_or("feeds: not a list")?.iter().enumerate() {
            let text = at.as_str().ok_or(format!("feeds.{i}: not a string"))?;
            feeds.push(text.parse().map_err(|_| format!("feeds.{i}: not an address: {text}"))?);
        }
    }
    Ok(feeds)
}

fn address(all: &Value, key: &str) -> Result<SocketAddr> {
    let text = string(all, key)?;
    text.parse().map_err(|_| format!("{key}: not an address: {text}"))
}

/// Nested settings as the pairs of a path and a value in which the module's decoder reads them.
fn flatten(path: String, value: &Value, to: &mut Vec<(String, String)>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(under(name), v, to)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            to.push((under("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(under(&i.to_string()), v, to));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            to.push((path, items.join(",")));
        }
        other => to.push((path, plain(other))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
