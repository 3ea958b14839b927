//! The forms of the settings file. Their fields have the names of the keys.

use std::net::SocketAddr;

use garde::Validate;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use serde::{Deserialize, Deserializer, Serialize};

/// One form of the file.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) enum Form {
    Relay(#[garde(dive)] RelayForm),
    Member(#[garde(dive)] MemberForm),
    Upstream(#[garde(dive)] UpstreamForm),
    Reader(#[garde(dive)] SubscriberForm),
}

/// `(relay ...)`: the settings of one relay. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayForm {
    /// Its own number among the members.
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    /// Where it listens, if not at its member's address.
    #[garde(skip)]
    #[serde(default, deserialize_with = "present")]
    pub listen: Option<SocketAddr>,
    /// New events are sent to a subscriber at most this often.
    #[garde(range(min = 5, max = 10_000))]
    #[serde(default = "default_batch_ms")]
    pub batch_ms: u64,
    /// A stream is handed so many bytes at a time.
    #[garde(range(min = 512, max = 1_048_576))]
    #[serde(default = "default_batch_bytes")]
    pub batch_bytes: usize,
    /// A stream ends after this, so that its subscriber calls again and reports what it has applied.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_ack_ms")]
    pub ack_ms: u64,
    /// A subscriber that has not reported for so long counts as missing.
    #[garde(range(min = 200, max = 3_600_000))]
    #[serde(default = "default_missed_ms")]
    pub missed_ms: u64,
    /// A subscriber that has been missing for so long is removed.
    #[garde(range(min = 1_000, max = 604_800_000))]
    #[serde(default = "default_forgotten_ms")]
    pub forgotten_ms: u64,
    /// The stream of a subscriber that takes no byte for so long is closed.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_stuck_ms")]
    pub stuck_ms: u64,
    /// In which time nodes clear a purge: the largest of all directors' settings.
    #[garde(range(min = 1, max = 3_600_000))]
    #[serde(default = "default_cleared_ms")]
    pub cleared_ms: u64,
    /// For how long the router holds to a purge after that. Less than its own constant is for tests only.
    #[garde(range(min = 100, max = 86_400_000))]
    #[serde(default = "default_held_ms")]
    pub held_ms: u64,
    /// How far apart clocks may be and a purge may be on its way, together.
    #[garde(range(max = 600_000))]
    #[serde(default = "default_slack_ms")]
    pub slack_ms: u64,
    /// The most that the log may hold; past it nothing is published.
    #[garde(range(min = 65_536, max = 4_294_967_296))]
    #[serde(default = "default_log_bytes")]
    pub log_bytes: usize,
    /// The largest event.
    #[garde(range(min = 256, max = 16_777_216))]
    #[serde(default = "default_event_bytes")]
    pub event_bytes: usize,
    /// For how long the leader's lease is granted.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long voters are waited for when the lease is acquired or renewed.
    #[garde(range(min = 10, max = 60_000))]
    #[serde(default = "default_round_ms")]
    pub round_ms: u64,
    /// How far apart attempts of different voters to acquire the lease are held.
    #[garde(range(min = 1, max = 60_000))]
    #[serde(default = "default_apart_ms")]
    pub apart_ms: u64,
    /// If too few voters remember the log, it is reset after this.
    #[garde(range(min = 500, max = 3_600_000))]
    #[serde(default = "default_anew_ms")]
    pub anew_ms: u64,
    /// An upstream that is silent or stale for longer is left for the next one.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_stale_ms")]
    pub stale_ms: u64,
    /// Connections at most, of subscribers and callers together.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// `(member ...)`: a relay of the tier.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MemberForm {
    /// Its number.
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    /// Where other relays reach it.
    #[garde(skip)]
    pub address: SocketAddr,
    /// It is a voter.
    #[garde(skip)]
    #[serde(default)]
    pub votes: bool,
}

/// `(upstream ...)`: a control feed that a plain relay follows in place of the voters.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct UpstreamForm {
    /// Where it is.
    #[garde(skip)]
    pub(super) address: SocketAddr,
}

/// `(reader ...)`: a further listening address, that of one subscriber.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SubscriberForm {
    /// By which it is known.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Where the relay listens for it.
    #[garde(skip)]
    pub address: SocketAddr,
}

/// A value that may be left out; the file has no mark for one that is there.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<SocketAddr>, D::Error> {
    SocketAddr::deserialize(deserializer).map(Some)
}

fn default_batch_ms() -> u64 {
    100
}

fn default_batch_bytes() -> usize {
    16_384
}

fn default_ack_ms() -> u64 {
    2_000
}

fn default_missed_ms() -> u64 {
    10_000
}

fn default_forgotten_ms() -> u64 {
    3_600_000
}

fn default_stuck_ms() -> u64 {
    20_000
}

fn default_cleared_ms() -> u64 {
    6_000
}

fn default_held_ms() -> u64 {
    PURGE_HOLD_TIME / 1_000_000
}

fn default_slack_ms() -> u64 {
    10_000
}

fn default_log_bytes() -> usize {
    64 << 20
}

fn default_event_bytes() -> usize {
    1 << 20
}

fn default_lease_ms() -> u64 {
    1_000
}

fn default_round_ms() -> u64 {
    200
}

fn default_apart_ms() -> u64 {
    50
}

fn default_anew_ms() -> u64 {
    10_000
}

fn default_stale_ms() -> u64 {
    3_000
}

fn default_connections() -> usize {
    4_000
}
