//! Reads and validates the configuration, a JSON file that `NODE_CONFIG` names.

use std::io;
use std::net::SocketAddr;

use sablecross::Settings;
use sablecross_inflight::settings::{self, SettingsError, SettingsMap};
use serde_json::Value;
use thiserror::Error;

use crate::discovery_event::{DiscoveryEventError, KnownEvents, NumberedEvent};
use crate::limits::Limits;
use crate::name_table::NameTable;

/// The environment variable that names the file.
const FILE_VARIABLE: &str = "NODE_CONFIG";

/// A director's configuration.
#[derive(Debug)]
pub struct Config {
    /// The director's name.
    pub name: String,
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    /// The feeds of discovery: the home feed first, then others with the same events, for when the home feed is down.
    pub feeds: Vec<SocketAddr>,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The router's settings.
    pub settings: Settings,
    /// The names that clients, nodes and discovery use.
    pub names: NameTable,
    /// The limits of this program.
    pub limits: Limits,
    /// The discovery events that are known at startup.
    pub known: KnownEvents,
}

/// Why the configuration can't be loaded. Each error names the file, or the environment variable if it is not set.
#[derive(Debug, Error)]
pub enum ConfigLoadError {
    /// The environment variable is not set.
    #[error("{FILE_VARIABLE}: not set")]
    NotSet,
    /// The file can't be read.
    #[error("{FILE_VARIABLE}: {path}: {cause}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The file is not JSON, or is incomplete.
    #[error("{cause} ({FILE_VARIABLE}: {path})")]
    InvalidJson {
        /// The file.
        path: String,
        /// The error, which names the line and column.
        cause: ConfigError,
    },
    /// A key is missing or invalid.
    #[error("{cause} ({FILE_VARIABLE}: {path})")]
    InvalidSetting {
        /// The file.
        path: String,
        /// The error, which names the key.
        cause: ConfigError,
    },
}

impl ConfigLoadError {
    /// Whether the same file may be readable a little later, or once it has been written completely.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigLoadError::Unreadable { .. } | ConfigLoadError::InvalidJson { .. })
    }
}

/// What is wrong with a configuration. Each error except the first names the key.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// A required key is missing.
    #[error("{key}: missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// The value must be a string.
    #[error("{key}: not a string")]
    NotAString {
        /// The key.
        key: String,
    },
    /// The value must be an address with a port.
    #[error("{key}: not an address: {value}")]
    NotAnAddress {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// The value must be a list.
    #[error("{key}: not a list")]
    NotAList {
        /// The key.
        key: &'static str,
    },
    /// The seed must be a hexadecimal number.
    #[error("seed: not hexadecimal: {value}")]
    NotHexadecimal {
        /// The value.
        value: String,
    },
    /// The value must be a whole number.
    #[error("{key}: not a whole number")]
    NotANumber {
        /// The key.
        key: &'static str,
    },
    /// The value must be a whole number above 0.
    #[error("{key}: not a whole number above 0: {value}")]
    NotAPositiveNumber {
        /// The key.
        key: String,
        /// The value.
        value: Value,
    },
    /// The value is larger than a `usize` of this machine.
    #[error("{key}: too large: {value}")]
    TooLarge {
        /// The key.
        key: String,
        /// The value.
        value: u64,
    },
    /// An event that is known at startup can't be used.
    #[error("known.events: {0}")]
    Event(#[from] DiscoveryEventError),
    /// The router's settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

fn missing(key: &str) -> ConfigError {
    ConfigError::Missing { key: key.to_owned() }
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// Names the file, and the key if one is missing or invalid.
    pub fn load() -> Result<Config, ConfigLoadError> {
        let path = std::env::var(FILE_VARIABLE).map_err(|_| ConfigLoadError::NotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(cause) => return Err(ConfigLoadError::Unreadable { path, cause }),
        };
        Config::parse(&text).map_err(|cause| match cause {
            ConfigError::Json(_) => ConfigLoadError::InvalidJson { path, cause },
            _ => ConfigLoadError::InvalidSetting { path, cause },
        })
    }

    /// Parses a configuration.
    ///
    /// # Errors
    /// Names the key that is missing or invalid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_str(text)?;
        let seed = string(&root, "seed")?;
        let known = known_events(&root)?;
        let raw_settings = root.get("settings").ok_or_else(|| missing("settings"))?;
        let settings = settings_map(raw_settings);
        Ok(Config {
            name: string(&root, "name")?.to_owned(),
            listen: address(&root, "listen")?,
            feeds: feeds(&root)?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| ConfigError::NotHexadecimal { value: seed.to_owned() })?,
            settings: settings::decode(&settings)?,
            names: NameTable::from_settings(&settings, raw_settings)?,
            limits: Limits::new(
                limit(&root, "sockets")?,
                limit(&root, "memory_mb")?,
                settings.duration("ceilings.dialTimeoutUs")?,
                settings.duration("ceilings.keepaliveUs")?,
            ),
            known,
        })
    }
}

fn string<'a>(root: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = root.get(key).ok_or_else(|| missing(key))?;
    value.as_str().ok_or_else(|| ConfigError::NotAString { key: key.to_owned() })
}

fn address(root: &Value, key: &str) -> Result<SocketAddr, ConfigError> {
    parse_address(key, string(root, key)?)
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress { key: key.to_owned(), value: text.to_owned() })
}

/// Reads `feed`, and the optional `feeds`, which installations with more than one feed set.
fn feeds(root: &Value) -> Result<Vec<SocketAddr>, ConfigError> {
    let mut feeds = vec![address(root, "feed")?];
    if let Some(more) = root.get("feeds") {
        let more = more.as_array().ok_or(ConfigError::NotAList { key: "feeds" })?;
        for (index, value) in more.iter().enumerate() {
            let key = format!("feeds.{index}");
            let text = value.as_str().ok_or_else(|| ConfigError::NotAString { key: key.clone() })?;
            feeds.push(parse_address(&key, text)?);
        }
    }
    Ok(feeds)
}

fn known_events(root: &Value) -> Result<KnownEvents, ConfigError> {
    let known = root.get("known").ok_or_else(|| missing("known"))?;
    let events = known.get("events").and_then(Value::as_array);
    let events = events.ok_or(ConfigError::NotAList { key: "known.events" })?;
    let events = events.iter().map(NumberedEvent::from_json).collect::<Result<_, _>>()?;
    let last = known.get("n").and_then(Value::as_u64).ok_or(ConfigError::NotANumber { key: "known.n" })?;
    Ok(KnownEvents { last, events })
}

/// Reads one of the machine's limits.
fn limit(root: &Value, name: &str) -> Result<usize, ConfigError> {
    let key = format!("limits.{name}");
    let value = root.pointer(&format!("/limits/{name}")).ok_or_else(|| missing(&key))?;
    let count = value.as_u64().filter(|&count| count > 0);
    let count =
        count.ok_or_else(|| ConfigError::NotAPositiveNumber { key: key.clone(), value: value.clone() })?;
    usize::try_from(count).map_err(|_| ConfigError::TooLarge { key, value: count })
}

/// Flattens nested settings into values by their paths, as the decoder reads them.
fn settings_map(settings: &Value) -> SettingsMap {
    let mut pairs = Vec::new();
    flatten(String::new(), settings, &mut pairs);
    pairs.into_iter().collect()
}

fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten(child(name), value, pairs));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child("count"), items.len().to_string()));
            for (index, value) in items.iter().enumerate() {
                flatten(child(&index.to_string()), value, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push((path, items.join(",")));
        }
        other => pairs.push((path, scalar_text(other))),
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        // A comma separates the items of a list, so it can't be part of a text. Spaces are replaced as well.
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
