//! What operators and scripts read of relays, as JSON. The `serde` attributes hold the names that they read.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// What a relay does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayRole {
    /// A voter that is the leader: it accepts events.
    #[serde(rename = "owner")]
    Leader,
    /// A voter that is not the leader.
    Voter,
    /// It has no vote and follows another relay or a feed outside.
    #[default]
    Plain,
}

impl fmt::Display for RelayRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            RelayRole::Leader => "owner",
            RelayRole::Voter => "voter",
            RelayRole::Plain => "plain",
        })
    }
}

/// A number, and since when every subscriber that counts has applied it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct AppliedSince {
    /// Number of an event.
    pub number: u64,
    /// Unix ms.
    pub unix_ms: u64,
}

impl From<(u64, u64)> for AppliedSince {
    fn from((number, unix_ms): (u64, u64)) -> AppliedSince {
        AppliedSince { number, unix_ms }
    }
}

impl From<AppliedSince> for (u64, u64) {
    fn from(applied: AppliedSince) -> (u64, u64) {
        (applied.number, applied.unix_ms)
    }
}

/// A subscriber as the relay that it reads at knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    /// Name in the settings, or IP address.
    pub name: String,
    /// The number that it has applied.
    pub number: u64,
    /// Milliseconds since it last reported; none if it never has.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_age_ms: Option<u64>,
    /// It has a stream now.
    pub connected: bool,
    /// It has not reported for so long that the floor doesn't wait for it any more.
    pub missing: bool,
}

/// The state of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Name of the relay.
    pub name: String,
    /// When this status was made.
    pub unix_ms: u64,
    /// What it does.
    pub role: RelayRole,
    /// Number of the last leader that it knows of.
    #[serde(rename = "owner")]
    pub leader: Option<u32>,
    /// That leader's term.
    pub term: u64,
    /// Milliseconds since that leader was last known to lead, added up along the chain of relays.
    #[serde(rename = "fresh_ms")]
    pub staleness_ms: Option<u64>,
    /// Number of the log's snapshot: what it holds one by one comes after.
    #[serde(rename = "base")]
    pub snapshot_number: u64,
    /// The last number that subscribers may be sent.
    #[serde(rename = "last")]
    pub last_number: u64,
    /// The last number that is stored, committed or not.
    #[serde(rename = "kept")]
    pub last_stored: u64,
    /// Bytes of the log.
    pub log_bytes: usize,
    /// Endpoints of the list; none if no complete list is known.
    pub endpoints: Option<usize>,
    /// The number that this relay and all its subscribers that count have applied.
    pub floor: u64,
    /// At the leader: numbers, and since when they are applied everywhere.
    #[serde(rename = "passed")]
    pub floor_history: Vec<AppliedSince>,
    /// Its subscribers by name.
    #[serde(rename = "readers")]
    pub subscribers: Vec<SubscriberStatus>,
    /// A voter that recovers its log after a restart: for how long it has.
    #[serde(rename = "learning_ms")]
    pub recovering_ms: Option<u64>,
    /// When the log was last reset, Unix ms; 0 if it never was. After a reset, the list and the purges that are
    /// still active have to be published once more.
    #[serde(rename = "anew_unix_ms")]
    pub reset_unix_ms: u64,
    /// Calls that this voter rejected as their token was old.
    #[serde(rename = "refused")]
    pub rejected_tokens: u64,
}

/// A subscriber as the relay knows it that was the last to see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergedSubscriber {
    /// Name in the settings, or IP address.
    pub name: String,
    /// The number that it has applied.
    pub number: u64,
    /// When it last reported; none if it never has.
    #[serde(rename = "heard_unix_ms")]
    pub last_seen_unix_ms: Option<u64>,
    /// It has a stream now.
    pub connected: bool,
    /// Name of the relay that saw it.
    pub relay: String,
}

/// What several relays know together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Relays and other subscribers, by name.
    #[serde(rename = "readers")]
    pub subscribers: Vec<MergedSubscriber>,
    /// Numbers that all subscribers that counted have applied, in rising order.
    #[serde(rename = "passed")]
    pub floor_history: Vec<AppliedSince>,
    /// The highest number that any relay may send.
    #[serde(rename = "last")]
    pub last_number: u64,
}

/// Where a number is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedStatus {
    /// The number that was asked for.
    pub number: u64,
    /// All subscribers that counted have applied it since then at the latest; none if they have not, or too long
    /// ago to be known.
    pub since_unix_ms: Option<u64>,
    /// Those that have applied a lower number, also the ones that did not count.
    pub missing: Vec<MergedSubscriber>,
}

/// Puts several relays' statuses together. What a relay says of itself goes before what others saw of it; other
/// subscribers count as the relay knows them that saw them last.
pub fn merge_statuses(statuses: &[RelayStatus]) -> FleetView {
    let is_relay = |name: &str| statuses.iter().any(|status| status.name == name);
    let mut subscribers: BTreeMap<String, MergedSubscriber> =
        statuses.iter().map(|status| (status.name.clone(), MergedSubscriber::of_relay(status))).collect();
    for status in statuses {
        for seen in status.subscribers.iter().filter(|seen| !is_relay(&seen.name)) {
            let merged = MergedSubscriber::seen_by(status, seen);
            if subscribers.get(&seen.name).is_none_or(|known| merged.recency() > known.recency()) {
                subscribers.insert(seen.name.clone(), merged);
            }
        }
    }
    let mut floor_history: BTreeMap<u64, u64> = BTreeMap::new();
    for applied in statuses.iter().flat_map(|status| &status.floor_history) {
        let since = floor_history.entry(applied.number).or_insert(applied.unix_ms);
        *since = (*since).min(applied.unix_ms);
    }
    FleetView {
        subscribers: subscribers.into_values().collect(),
        floor_history: floor_history.into_iter().map(AppliedSince::from).collect(),
        last_number: statuses.iter().map(|status| status.last_number).max().unwrap_or(0),
    }
}

impl MergedSubscriber {
    /// A relay, by its own status.
    fn of_relay(status: &RelayStatus) -> MergedSubscriber {
        MergedSubscriber {
            name: status.name.clone(),
            number: status.last_number,
            last_seen_unix_ms: Some(status.unix_ms),
            connected: true,
            relay: status.name.clone(),
        }
    }

    fn seen_by(status: &RelayStatus, seen: &SubscriberStatus) -> MergedSubscriber {
        MergedSubscriber {
            name: seen.name.clone(),
            number: seen.number,
            last_seen_unix_ms: seen.last_seen_age_ms.map(|age| status.unix_ms.saturating_sub(age)),
            connected: seen.connected,
            relay: status.name.clone(),
        }
    }

    fn recency(&self) -> (Option<u64>, u64) {
        (self.last_seen_unix_ms, self.number)
    }
}

impl FleetView {
    /// Where this number is applied.
    pub fn applied_status(&self, number: u64) -> AppliedStatus {
        let reached = self.floor_history.iter().filter(|applied| applied.number >= number);
        let since_unix_ms = reached.map(|applied| applied.unix_ms).min();
        let behind = self.subscribers.iter().filter(|subscriber| subscriber.number < number);
        AppliedStatus { number, since_unix_ms, missing: behind.cloned().collect() }
    }
}
