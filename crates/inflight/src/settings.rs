//! Decodes the router's settings, the values of load reports, and the notes that nodes attach to answers.

use std::collections::HashMap;
use std::str::FromStr;

use sablecross::{DeduplicationScope, Effect, LoadReport, Ns, RequestClass, Settings};
use thiserror::Error;

/// An error in the settings. Every variant names the key.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A required key is missing.
    #[error("setting missing: {0}")]
    Missing(String),
    /// The value has the wrong type or is out of range.
    #[error("bad setting: {key}={value}")]
    Invalid {
        /// The path of the setting.
        key: String,
        /// The value as read; a parsed number is printed in its decimal form.
        value: String,
    },
    /// A list has too few items.
    #[error("bad setting: {key} has no item {index}")]
    NoItem {
        /// The path of the list.
        key: String,
        /// The index of the missing item, from 0.
        index: usize,
    },
    /// The list of directors per zone has no item for the director's own zone.
    #[error("bad setting: extra.zoneBalancers has no item {zone}, which az names")]
    UnknownZone {
        /// The director's own zone.
        zone: usize,
    },
    /// The value is missing or not a list.
    #[error("bad setting: {key}: not a list")]
    NotAList {
        /// The path of the setting.
        key: String,
    },
    /// An item of a list of names is not a string.
    #[error("bad setting: {key}: {value}")]
    NotAString {
        /// The path of the list.
        key: String,
        /// The item as read.
        value: String,
    },
}

/// The result of reading a setting.
pub type Result<T> = std::result::Result<T, SettingsError>;

const NS_PER_US: u64 = 1_000;

/// The longest duration, 366 days. Longer ones are clamped to it, so that adding one to the clock does not overflow.
const MAX_DURATION: Ns = 366 * 86_400 * 1_000_000_000;

/// The settings as a map from the path of a setting to its value, both as text.
///
/// Methods that read a setting fail with [`SettingsError::Missing`] or [`SettingsError::Invalid`].
pub struct SettingsMap(HashMap<String, String>);

impl FromIterator<(String, String)> for SettingsMap {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        SettingsMap(pairs.into_iter().collect())
    }
}

impl SettingsMap {
    /// Returns a value as text.
    pub fn text(&self, key: &str) -> Result<&str> {
        self.0.get(key).map(String::as_str).ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// Parses a value.
    pub fn get<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().map_err(|_| invalid(key, text))
    }

    /// Parses a comma-separated list. Empty items are skipped.
    pub fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>> {
        let text = self.text(key)?;
        let items = text.split(',').filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| invalid(key, text))).collect()
    }

    /// Parses a duration in microseconds and returns it in nanoseconds, at most 366 days.
    pub fn duration(&self, key: &str) -> Result<Ns> {
        Ok(clamped_nanoseconds(self.get(key)?))
    }

    /// Parses a finite number that is not negative.
    fn non_negative_number(&self, key: &str) -> Result<f64> {
        let number: f64 = self.get(key)?;
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(invalid(key, number)) }
    }

    /// Parses a number from 0 to 1.
    fn share(&self, key: &str) -> Result<f64> {
        let share = self.non_negative_number(key)?;
        if share <= 1.0 { Ok(share) } else { Err(invalid(key, share)) }
    }
}

fn invalid(key: &str, value: impl ToString) -> SettingsError {
    SettingsError::Invalid { key: key.to_owned(), value: value.to_string() }
}

fn list_item<T: Copy>(list: &[T], index: usize, key: &str) -> Result<T> {
    list.get(index).copied().ok_or_else(|| SettingsError::NoItem { key: key.to_owned(), index })
}

fn clamped_nanoseconds(us: u64) -> Ns {
    us.saturating_mul(NS_PER_US).min(MAX_DURATION)
}

/// Builds a load report from named values; the names are those that the setting `report.names` lists. Values that are
/// not finite or that have another name are ignored.
pub fn load_report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values.filter(|(_, value)| value.is_finite()) {
        match name {
            "cpu" => report.cpu_utilization = Some(value),
            "x1" => report.link_utilization = Some(value),
            _ => {}
        }
    }
    report
}

/// Returns whether the note with this number says that a cached copy was served, or `None` if the note does not tell.
/// The notes are the cache statuses HIT, MISS, MISS_ORIGIN, COLLAPSED and STALE, numbered from 1.
pub fn is_cache_hit(note: u32) -> Option<bool> {
    match note {
        1 | 5 => Some(true),
        2..=4 => Some(false),
        _ => None,
    }
}

/// Decodes the router's settings.
///
/// # Errors
/// An error that names the first key that is missing or has an invalid value.
pub fn decode(map: &SettingsMap) -> Result<Settings> {
    let request_classes = request_classes(map)?;
    let zone = map.get("az")?;
    let directors_per_zone = directors_per_zone(map)?;
    if zone >= directors_per_zone.len() {
        return Err(SettingsError::UnknownZone { zone });
    }
    Ok(Settings {
        zone,
        director_index: map.get("index")?,
        directors_per_zone,
        request_classes,
        parent_kind: usize::try_from(map.get::<i64>("extra.midKind")?).ok(),
        origin_kind: map.get("extra.masterKind")?,
        must_subscribe_to_endpoint_list: map.text("discovery")? == "on_request",
        may_cancel: map.get("ceilings.mayCancel")?,
        may_hedge: map.get("ceilings.parallelTries")?,
        may_send_retry_after: map.get("ceilings.retryAfter")?,
        max_retry_after: map.duration("ceilings.maxRetryAfterUs")?,
        max_attempts: map.get("ceilings.sendCap")?,
        slow_start_initial_share: map.share("guarantees.coldFrom")?,
        slow_start_window: map.duration("guarantees.warmAfterUs")?,
        collapse_multiple: map.non_negative_number("guarantees.fallMultiple")?,
        parent_slow_start_initial_share: map.share("extra.parentStartsAt")?,
        parent_slow_start_window: map.duration("extra.parentColdUs")?,
        parent_collapse_multiple: map.non_negative_number("extra.upperFallMultiple")?,
        stream_kb_per_s: map.non_negative_number("extra.streamKbPerS")?,
        may_bypass_cache: map.get("extra.direct")?,
        may_coalesce: map.get("extra.joins")?,
        purge_propagation_window: map.duration("extra.clearedWithinUs")?,
        tick: map.duration("periodUs")?,
    })
}

/// The number of directors in each zone. The numbers are parsed as 32 bits, so that their sums do not overflow.
fn directors_per_zone(map: &SettingsMap) -> Result<Vec<usize>> {
    let directors: Vec<u32> = map.list("extra.zoneBalancers")?;
    Ok(directors.into_iter().map(|count| count as usize).collect())
}

/// The settings of request classes that are lists with one item per class.
struct PerClassLists {
    fresh_for_us: Vec<u64>,
    stale_for_us: Vec<u64>,
    is_multipart: Vec<bool>,
    is_uncacheable: Vec<bool>,
}

fn request_classes(map: &SettingsMap) -> Result<Vec<RequestClass>> {
    let lists = PerClassLists {
        fresh_for_us: map.list("extra.freshForUs")?,
        stale_for_us: map.list("extra.usableAfterUs")?,
        is_multipart: map.list("extra.multiPart")?,
        is_uncacheable: map.list("extra.neverKept")?,
    };
    let count: usize = map.get("classes.count")?;
    if count == 0 {
        return Err(invalid("classes.count", count));
    }
    (0..count).map(|index| request_class(map, index, &lists)).collect()
}

fn request_class(map: &SettingsMap, index: usize, lists: &PerClassLists) -> Result<RequestClass> {
    let key = |field: &str| format!("classes.{index}.{field}");
    let effect = effect(map, index)?;
    let stretch_key = key("aimStretch");
    Ok(RequestClass {
        latency_objective: map.duration(&key("aimUs"))?,
        latency_objective_stretch: map
            .0
            .contains_key(&stretch_key)
            .then(|| map.non_negative_number(&stretch_key))
            .transpose()?,
        priority_weight: map.non_negative_number(&key("worth"))?,
        effect,
        fresh_for: clamped_nanoseconds(list_item(&lists.fresh_for_us, index, "extra.freshForUs")?),
        stale_for: clamped_nanoseconds(list_item(&lists.stale_for_us, index, "extra.usableAfterUs")?),
        is_multipart: list_item(&lists.is_multipart, index, "extra.multiPart")?,
        is_uncacheable: list_item(&lists.is_uncacheable, index, "extra.neverKept")?,
    })
}

fn effect(map: &SettingsMap, index: usize) -> Result<Effect> {
    let key = format!("classes.{index}.effect");
    match map.text(&key)? {
        "idempotent" => Ok(Effect::Idempotent),
        "at_most_once" => Ok(Effect::SideEffecting),
        "deduplicated" => Ok(Effect::Deduplicated {
            within: deduplication_scope(map, index)?,
            window: map.duration(&format!("classes.{index}.memorySpanUs"))?,
        }),
        other => Err(invalid(&key, other)),
    }
}

fn deduplication_scope(map: &SettingsMap, index: usize) -> Result<DeduplicationScope> {
    let key = format!("classes.{index}.group");
    match map.text(&key)? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(invalid(&key, other)),
    }
}
