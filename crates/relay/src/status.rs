//! Status of relays as JSON for operators and scripts. The names in the JSON must not change: they are the ones in the
//! `serde` attributes or, without an attribute, the names of the fields.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The role of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayRole {
    /// A voter that is the leader: it accepts events.
    #[serde(rename = "owner")]
    Leader,
    /// A voter that is not the leader.
    Voter,
    /// A relay that has no vote and follows another relay or an external feed.
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

/// A number, and the time since when all subscribers that are not missing have applied it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct AppliedSince {
    /// Number of an event.
    pub number: u64,
    /// Unix time in milliseconds.
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

/// A subscriber, as known to a relay that it is connected to or was connected to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    /// Name of the subscriber if it is a relay or is named in the settings, otherwise its IP address.
    pub name: String,
    /// The number that the subscriber has applied.
    pub number: u64,
    /// Milliseconds since the last report; `None` if the subscriber has never reported.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_age_ms: Option<u64>,
    /// Whether the subscriber has an open stream.
    pub connected: bool,
    /// Whether the last report is so old that the subscriber no longer holds the floor back.
    pub missing: bool,
}

/// The state of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Name of the relay.
    pub name: String,
    /// Unix time in milliseconds at which the status was created.
    pub unix_ms: u64,
    /// Role of the relay.
    pub role: RelayRole,
    /// Member number of the last known leader.
    #[serde(rename = "owner")]
    pub leader: Option<u32>,
    /// Term of that leader; at a voter that is not the leader, the term of the newest token that it has accepted. 0 if
    /// there is none.
    pub term: u64,
    /// Milliseconds since that leader was last known to lead, added up along the chain of relays.
    #[serde(rename = "fresh_ms")]
    pub staleness_ms: Option<u64>,
    /// Number of the log's snapshot. The log keeps the events after it individually.
    #[serde(rename = "base")]
    pub snapshot_number: u64,
    /// The last number that subscribers may be sent.
    #[serde(rename = "last")]
    pub last_number: u64,
    /// The last number that is stored, committed or not.
    #[serde(rename = "kept")]
    pub last_stored: u64,
    /// Size of the log in bytes.
    pub log_bytes: usize,
    /// Number of endpoints in the list; `None` if no complete list is known.
    pub endpoints: Option<usize>,
    /// The number that this relay and all its subscribers that are not missing have applied.
    pub floor: u64,
    /// Numbers, and since when they have been applied everywhere, recorded while this relay was the leader.
    #[serde(rename = "passed")]
    pub floor_history: Vec<AppliedSince>,
    /// Subscribers of the relay in the order of their names.
    #[serde(rename = "readers")]
    pub subscribers: Vec<SubscriberStatus>,
    /// Milliseconds since the start, while a voter recovers its log after a restart.
    #[serde(rename = "learning_ms")]
    pub recovering_ms: Option<u64>,
    /// Unix time in milliseconds at which the log was last reset (or the previous value plus 1 if that is higher); 0 if
    /// it never was. After a reset, the list and the purges that are still active have to be published again.
    #[serde(rename = "anew_unix_ms")]
    pub reset_unix_ms: u64,
    /// Number of tokens that this voter rejected because it had accepted one of a later term, or one of the same term
    /// and another holder. The count starts again when the voter recovers a newer token from others.
    #[serde(rename = "refused")]
    pub rejected_tokens: u64,
}

/// A subscriber, as known to the relay that received its latest report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergedSubscriber {
    /// Name of the subscriber if it is a relay or is named in the settings, otherwise its IP address.
    pub name: String,
    /// The number that the subscriber has applied.
    pub number: u64,
    /// Unix time in milliseconds of the last report; `None` if the subscriber has never reported.
    #[serde(rename = "heard_unix_ms")]
    pub last_seen_unix_ms: Option<u64>,
    /// Whether the subscriber has an open stream.
    pub connected: bool,
    /// Name of the relay that received the report.
    pub relay: String,
}

/// The merged statuses of several relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Relays and other subscribers in the order of their names.
    #[serde(rename = "readers")]
    pub subscribers: Vec<MergedSubscriber>,
    /// Numbers that all subscribers that were not missing have applied, in increasing order.
    #[serde(rename = "passed")]
    pub floor_history: Vec<AppliedSince>,
    /// The highest number that any of the relays may send to subscribers.
    #[serde(rename = "last")]
    pub last_number: u64,
}

/// Which subscribers have applied a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedStatus {
    /// The number in question.
    pub number: u64,
    /// Unix time in milliseconds by which all subscribers that were not missing had applied the number: the earliest
    /// time that the history has for this number or a higher one. `None` if it has neither.
    pub since_unix_ms: Option<u64>,
    /// Subscribers that have applied a lower number, including those that no relay waits for.
    pub missing: Vec<MergedSubscriber>,
}

/// Merges the statuses of several relays. A relay's own status takes precedence over what other relays report about
/// it. For other subscribers, the latest report counts.
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
    /// Returns a relay as a subscriber, from its own status.
    fn of_relay(status: &RelayStatus) -> MergedSubscriber {
        MergedSubscriber {
            name: status.name.clone(),
            number: status.last_number,
            last_seen_unix_ms: Some(status.unix_ms),
            connected: true,
            relay: status.name.clone(),
        }
    }

    /// Returns a subscriber as the relay with this status knows it.
    fn seen_by(status: &RelayStatus, seen: &SubscriberStatus) -> MergedSubscriber {
        MergedSubscriber {
            name: seen.name.clone(),
            number: seen.number,
            last_seen_unix_ms: seen.last_seen_age_ms.map(|age| status.unix_ms.saturating_sub(age)),
            connected: seen.connected,
            relay: status.name.clone(),
        }
    }

    /// Returns a key that is higher for a later report.
    fn recency(&self) -> (Option<u64>, u64) {
        (self.last_seen_unix_ms, self.number)
    }
}

impl FleetView {
    /// Returns since when this number has been applied everywhere, and which subscribers have not applied it.
    pub fn applied_status(&self, number: u64) -> AppliedStatus {
        let reached = self.floor_history.iter().filter(|applied| applied.number >= number);
        let since_unix_ms = reached.map(|applied| applied.unix_ms).min();
        let behind = self.subscribers.iter().filter(|subscriber| subscriber.number < number);
        AppliedStatus { number, since_unix_ms, missing: behind.cloned().collect() }
    }
}
