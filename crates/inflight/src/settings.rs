//! Decodes an instance's settings, and the words of its load reports and notes.

use std::collections::HashMap;
use std::str::FromStr;

use sablecross::{DeduplicationScope, Effect, LoadReport, RequestClass, Settings};

pub type Result<T> = std::result::Result<T, String>;

/// The settings as pairs of a path and a value.
pub struct SettingsMap(HashMap<String, String>);

impl FromIterator<(String, String)> for SettingsMap {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        SettingsMap(pairs.into_iter().collect())
    }
}

impl SettingsMap {
    pub fn text(&self, key: &str) -> Result<&str> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("setting missing: {key}"))
    }

    pub fn get<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("bad setting: {key}={text}"))
    }

    pub fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>> {
        let text = self.text(key)?;
        let items = text.split(',').filter(|t| !t.is_empty());
        items.map(|t| t.parse().map_err(|_| format!("bad setting: {key}={text}"))).collect()
    }

    /// A time in microseconds. What is longer than a year is a year: sums with the clock stay in range.
    pub fn nanoseconds(&self, key: &str) -> Result<u64> {
        Ok(nanoseconds(self.get(key)?))
    }

    /// A finite number that is not negative.
    fn amount(&self, key: &str) -> Result<f64> {
        let x: f64 = self.get(key)?;
        if x.is_finite() && x >= 0.0 { Ok(x) } else { Err(format!("bad setting: {key}={x}")) }
    }

    /// A part of a whole.
    fn share(&self, key: &str) -> Result<f64> {
        let x = self.amount(key)?;
        if x <= 1.0 { Ok(x) } else { Err(format!("bad setting: {key}={x}")) }
    }

    fn of<T: Copy>(&self, list: &[T], i: usize, key: &str) -> Result<T> {
        list.get(i).copied().ok_or_else(|| format!("bad setting: {key} has no item {i}"))
    }
}

fn nanoseconds(us: u64) -> u64 {
    const YEAR: u64 = 366 * 86_400 * 1_000_000_000;
    us.saturating_mul(1_000).min(YEAR)
}

/// The values that are read of a load report, by the names that `report.names` gives them.
pub fn load_report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in values.filter(|(_, v)| v.is_finite()) {
        match name {
            "cpu" => load.cpu_utilization = Some(value),
            "x1" => load.link_utilization = Some(value),
            _ => {}
        }
    }
    load
}

/// Whether a note, by its number, tells of a hit.
pub fn is_cache_hit(note: u32) -> Option<bool> {
    match note {
        1 | 5 => Some(true),
        2..=4 => Some(false),
        _ => None,
    }
}

pub fn decode(p: &SettingsMap) -> Result<Settings> {
    let fresh: Vec<u64> = p.list("extra.freshForUs")?;
    let grace: Vec<u64> = p.list("extra.usableAfterUs")?;
    let parts: Vec<bool> = p.list("extra.multiPart")?;
    let written: Vec<bool> = p.list("extra.neverKept")?;
    let count: usize = p.get("classes.count")?;
    let mut object_kinds = Vec::new();
    for i in 0..count {
        let at = |field: &str| format!("classes.{i}.{field}");
        let effect = match p.text(&at("effect"))? {
            "idempotent" => Effect::Idempotent,
            "at_most_once" => Effect::SideEffecting,
            "deduplicated" => Effect::Deduplicated {
                within: match p.text(&at("group"))? {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => return Err(format!("bad setting: {}={other}", at("group"))),
                },
                window: p.nanoseconds(&at("memorySpanUs"))?,
            },
            other => return Err(format!("bad setting: {}={other}", at("effect"))),
        };
        let stretch = at("aimStretch");
        object_kinds.push(RequestClass {
            latency_objective: p.nanoseconds(&at("aimUs"))?,
            latency_objective_stretch: p.0.contains_key(&stretch).then(|| p.amount(&stretch)).transpose()?,
            priority_weight: p.amount(&at("worth"))?,
            effect,
            fresh_for: nanoseconds(p.of(&fresh, i, "extra.freshForUs")?),
            stale_for: nanoseconds(p.of(&grace, i, "extra.usableAfterUs")?),
            is_multipart: p.of(&parts, i, "extra.multiPart")?,
            is_uncacheable: p.of(&written, i, "extra.neverKept")?,
        });
    }
    if object_kinds.is_empty() {
        return Err("bad setting: classes.count=0".into());
    }
    let zone = p.get("az")?;
    // So many as sums of them can hold.
    let directors: Vec<u32> = p.list("extra.zoneBalancers")?;
    let directors: Vec<usize> = directors.into_iter().map(|n| n as usize).collect();
    p.of(&directors, zone, "extra.zoneBalancers").map_err(|e| format!("{e}, which az names"))?;
    Ok(Settings {
        zone,
        director_index: p.get("index")?,
        directors_per_zone: directors,
        request_classes: object_kinds,
        parent_kind: usize::try_from(p.get::<i64>("extra.midKind")?).ok(),
        origin_kind: p.get("extra.masterKind")?,
        polls_endpoint_list: p.text("discovery")? == "on_request",
        may_cancel: p.get("ceilings.mayCancel")?,
        may_hedge: p.get("ceilings.parallelTries")?,
        may_send_retry_after: p.get("ceilings.retryAfter")?,
        max_retry_after: p.nanoseconds("ceilings.maxRetryAfterUs")?,
        max_attempts: p.get("ceilings.sendCap")?,
        slow_start_initial_share: p.share("guarantees.coldFrom")?,
        slow_start_window: p.nanoseconds("guarantees.warmAfterUs")?,
        collapse_multiple: p.amount("guarantees.fallMultiple")?,
        parent_slow_start_initial_share: p.share("extra.parentStartsAt")?,
        parent_slow_start_window: p.nanoseconds("extra.parentColdUs")?,
        parent_collapse_multiple: p.amount("extra.upperFallMultiple")?,
        stream_kb_per_s: p.amount("extra.streamKbPerS")?,
        may_bypass_cache: p.get("extra.direct")?,
        may_coalesce: p.get("extra.joins")?,
        purge_propagation_window: p.nanoseconds("extra.clearedWithinUs")?,
        tick: p.nanoseconds("periodUs")?,
    })
}
