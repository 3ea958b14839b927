//! The forms of the settings file. Each field is named after its key.

use std::net::SocketAddr;

use garde::Validate;
use sablecross_relay::retention::PURGE_HOLD_TIME;
use serde::{Deserialize, Deserializer, Serialize};

/// A form of the settings file.
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
    /// Number of this relay among the members.
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    /// Listening address; by default that of the relay's member form.
    #[garde(skip)]
    #[serde(default, deserialize_with = "present")]
    pub listen: Option<SocketAddr>,
    /// Interval in which new events are sent to subscribers.
    #[garde(range(min = 5, max = 10_000))]
    #[serde(default = "default_batch_ms")]
    pub batch_ms: u64,
    /// Batch size of a stream: events are sent to a subscriber in batches of about this many bytes.
    #[garde(range(min = 512, max = 1_048_576))]
    #[serde(default = "default_batch_bytes")]
    pub batch_bytes: usize,
    /// Longest duration of a stream; a stream to another relay lasts at most a quarter of it. The subscriber then
    /// reconnects, and so reports what it has applied.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_ack_ms")]
    pub ack_ms: u64,
    /// A subscriber that has not reported for longer than this counts as missing.
    #[garde(range(min = 200, max = 3_600_000))]
    #[serde(default = "default_missed_ms")]
    pub missed_ms: u64,
    /// A subscriber without a stream that has not reported for longer than this is removed.
    #[garde(range(min = 1_000, max = 604_800_000))]
    #[serde(default = "default_forgotten_ms")]
    pub forgotten_ms: u64,
    /// An event stream or a closing connection with unwritten output that accepts no byte for longer than this is
    /// dropped.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_stuck_ms")]
    pub stuck_ms: u64,
    /// The time in which nodes clear a purged object: the largest value in the settings of all directors.
    #[garde(range(min = 1, max = 3_600_000))]
    #[serde(default = "default_cleared_ms")]
    pub cleared_ms: u64,
    /// How long the router still applies a purge after `cleared-ms`. Values below the router's constant
    /// (`PURGE_HOLD_TIME`) are for tests only.
    #[garde(range(min = 100, max = 86_400_000))]
    #[serde(default = "default_held_ms")]
    pub held_ms: u64,
    /// Upper bound on the sum of clock differences and the delivery time of a purge. A purge whose timestamp is ahead
    /// of the leader's clock by more than half of this is rejected.
    #[garde(range(max = 600_000))]
    #[serde(default = "default_slack_ms")]
    pub slack_ms: u64,
    /// Size limit of the log in bytes. While the log is full, events from publishers are rejected.
    #[garde(range(min = 65_536, max = 4_294_967_296))]
    #[serde(default = "default_log_bytes")]
    pub log_bytes: usize,
    /// Largest event in bytes that a publisher may send.
    #[garde(range(min = 256, max = 16_777_216))]
    #[serde(default = "default_event_bytes")]
    pub event_bytes: usize,
    /// Duration of the leader's lease.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long a round of acquiring or renewing the lease waits for voters.
    #[garde(range(min = 10, max = 60_000))]
    #[serde(default = "default_round_ms")]
    pub round_ms: u64,
    /// Spacing between attempts of different voters to acquire the lease.
    #[garde(range(min = 1, max = 60_000))]
    #[serde(default = "default_apart_ms")]
    pub apart_ms: u64,
    /// If too few voters still have the log, it is reset after this time, even if only a majority has replied.
    #[garde(range(min = 500, max = 3_600_000))]
    #[serde(default = "default_anew_ms")]
    pub anew_ms: u64,
    /// If an upstream is silent or stale for longer than this, the relay switches to the next one.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_stale_ms")]
    pub stale_ms: u64,
    /// Largest number of connections from subscribers and other clients.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// `(member ...)`: a relay of the tier.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MemberForm {
    /// Number of the member.
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    /// Address at which other relays connect to it.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Whether the member is a voter.
    #[garde(skip)]
    #[serde(default)]
    pub votes: bool,
}

/// `(upstream ...)`: an external control feed that a plain relay follows instead of the voters.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct UpstreamForm {
    /// Address of the feed.
    #[garde(skip)]
    pub(super) address: SocketAddr,
}

/// `(reader ...)`: an additional listening address, reserved for one subscriber.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SubscriberForm {
    /// Name of the subscriber.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Address on which the relay listens for it.
    #[garde(skip)]
    pub address: SocketAddr,
}

/// Deserializes a value that may be left out. The file has no notation for `Some`, so a value that is present is read
/// directly.
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
