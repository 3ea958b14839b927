//! The settings of a relay: `(relay ...)`, `(member ...)`, `(upstream ...)` and `(reader ...)` in one file.

use std::net::SocketAddr;

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located};
use serde::{Deserialize, Deserializer, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Relay(#[garde(dive)] RelayForm),
    Member(#[garde(dive)] MemberForm),
    Upstream(#[garde(dive)] UpstreamForm),
    Reader(#[garde(dive)] SubscriberForm),
}

/// What one relay goes by.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayForm {
    /// Its own among the members.
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    /// Where it listens, if not at its member's address.
    #[garde(skip)]
    #[serde(default, deserialize_with = "some")]
    pub listen: Option<SocketAddr>,
    /// New events are told to readers at most so often, and a stream is handed so many bytes at a time.
    #[garde(range(min = 5, max = 10_000))]
    #[serde(default = "batch_ms")]
    pub batch_ms: u64,
    #[garde(range(min = 512, max = 1_048_576))]
    #[serde(default = "batch_bytes")]
    pub batch_bytes: usize,
    /// A stream ends after this, so that its reader calls again and says how far it has come.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "ack_ms")]
    pub ack_ms: u64,
    /// A reader that is gone for so long counts as missing, and after this it is forgotten.
    #[garde(range(min = 200, max = 3_600_000))]
    #[serde(default = "missed_ms")]
    pub missed_ms: u64,
    #[garde(range(min = 1_000, max = 604_800_000))]
    #[serde(default = "forgotten_ms")]
    pub forgotten_ms: u64,
    /// A reader that takes no byte for so long is ended.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "stuck_ms")]
    pub stuck_ms: u64,
    /// By when a purge is to be done everywhere: the largest of all directors' settings.
    #[garde(range(min = 1, max = 3_600_000))]
    #[serde(default = "cleared_ms")]
    pub cleared_ms: u64,
    /// For how long the module holds to a purge after that. Less than its own constant is for trials alone.
    #[garde(range(min = 100, max = 86_400_000))]
    #[serde(default = "held_ms")]
    pub held_ms: u64,
    /// How far apart clocks may be and a purge may be on its way, together.
    #[garde(range(max = 600_000))]
    #[serde(default = "slack_ms")]
    pub slack_ms: u64,
    /// The most that the log may hold; past it nothing is published.
    #[garde(range(min = 65_536, max = 4_294_967_296))]
    #[serde(default = "log_bytes")]
    pub log_bytes: usize,
    /// The largest event.
    #[garde(range(min = 256, max = 16_777_216))]
    #[serde(default = "event_bytes")]
    pub event_bytes: usize,
    /// For how long the duty of feeding is granted; a round of asking voters; how far apart claims are held.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    #[garde(range(min = 10, max = 60_000))]
    #[serde(default = "round_ms")]
    pub round_ms: u64,
    #[garde(range(min = 1, max = 60_000))]
    #[serde(default = "apart_ms")]
    pub apart_ms: u64,
    /// Voters that have all begun anew go on with what is left after this.
    #[garde(range(min = 500, max = 3_600_000))]
    #[serde(default = "anew_ms")]
    pub anew_ms: u64,
    /// An upstream whose last word from the owner is older than this is left for the next one.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "stale_ms")]
    pub stale_ms: u64,
    /// Connections at most, of readers and callers together.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "connections")]
    pub connections: usize,
}

/// A relay of the tier.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MemberForm {
    #[garde(range(max = 1_000_000))]
    pub number: u32,
    #[garde(skip)]
    pub address: SocketAddr,
    #[garde(skip)]
    #[serde(default)]
    pub votes: bool,
}

/// A control feed that a plain relay follows, in place of the voters.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct UpstreamForm {
    #[garde(skip)]
    pub address: SocketAddr,
}

/// A further listening address, which is that of one reader.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SubscriberForm {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    #[garde(skip)]
    pub address: SocketAddr,
}

/// A value that may be absent; the file has no mark for one that is there.
fn some<'de, D: Deserializer<'de>>(from: D) -> Result<Option<SocketAddr>, D::Error> {
    SocketAddr::deserialize(from).map(Some)
}

fn batch_ms() -> u64 {
    100
}

fn batch_bytes() -> usize {
    16_384
}

fn ack_ms() -> u64 {
    2_000
}

fn missed_ms() -> u64 {
    10_000
}

fn forgotten_ms() -> u64 {
    3_600_000
}

fn stuck_ms() -> u64 {
    20_000
}

fn cleared_ms() -> u64 {
    6_000
}

fn held_ms() -> u64 {
    sablecross_relay::retention::PURGE_HOLD_TIME / 1_000_000
}

fn slack_ms() -> u64 {
    10_000
}

fn log_bytes() -> usize {
    64 << 20
}

fn event_bytes() -> usize {
    1 << 20
}

fn lease_ms() -> u64 {
    1_000
}

fn round_ms() -> u64 {
    200
}

fn apart_ms() -> u64 {
    50
}

fn anew_ms() -> u64 {
    10_000
}

fn stale_ms() -> u64 {
    3_000
}

fn connections() -> usize {
    4_000
}

/// A whole settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayServerConfig {
    pub relay: RelayForm,
    pub listen: SocketAddr,
    pub members: Vec<MemberForm>,
    pub upstreams: Vec<SocketAddr>,
    pub subscribers: Vec<SubscriberForm>,
}

/// Descriptors beside those of connections: listeners come on top.
const DESCRIPTORS: usize = 64;

impl RelayServerConfig {
    pub fn load(file: &std::path::Path) -> Result<RelayServerConfig, Vec<String>> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
        RelayServerConfig::parse(&name, &text).map_err(|f| f.iter().map(ToString::to_string).collect())
    }

    pub fn parse(file: &str, text: &str) -> Result<RelayServerConfig, Vec<ConfigError>> {
        let forms = sablecross_sexpr_config::parse_forms::<Form>(file, text)?;
        let (mut head, mut members, mut upstreams, mut readers) =
            (None, Vec::<MemberForm>::new(), Vec::new(), Vec::<SubscriberForm>::new());
        for form in &forms {
            match &form.value {
                Form::Relay(h) => {
                    if head.is_some() {
                        return Err(vec![form.error(file, "relay", "a second one", "keep one")]);
                    }
                    head = Some((form, h.clone()));
                }
                Form::Member(m) => {
                    if members.iter().any(|o| o.number == m.number || o.address == m.address) {
                        let what = "its number or address is another member's too";
                        return Err(vec![form.error(file, "member", what, "each stands here once")]);
                    }
                    members.push(*m);
                }
                Form::Upstream(u) => upstreams.push(u.address),
                Form::Reader(r) => {
                    if readers.iter().any(|o| o.name == r.name || o.address == r.address) {
                        let what = "its name or address is another reader's too";
                        return Err(vec![form.error(file, "reader", what, "each stands here once")]);
                    }
                    readers.push(r.clone());
                }
            }
        }
        let Some((form, head)) = head else {
            let (key, what, todo) = ("relay".into(), "no (relay ...) form".into(), "add one".into());
            return Err(vec![ConfigError {
                file: file.into(),
                line: 1,
                column: 1,
                key,
                problem: what,
                remedy: todo,
            }]);
        };
        let setting = RelayServerConfig {
            listen: head.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
            relay: head,
            members,
            upstreams,
            subscribers: readers,
        };
        setting.checked(file, form)
    }

    /// What has to fit across forms.
    fn checked(mut self, file: &str, form: &Located<Form>) -> Result<RelayServerConfig, Vec<ConfigError>> {
        let fault = |key: &str, what: &str, todo: &str| Err(vec![form.error(file, key, what, todo)]);
        let number = self.relay.number;
        let Some(own) = self.members.iter().find(|m| m.number == number).copied() else {
            return fault("relay.number", "no (member ...) form has this number", "add the member");
        };
        if self.relay.listen.is_none() {
            self.listen = own.address;
        }
        if self.voters().count() > 15 {
            return fault("relay", "over 15 members vote", "three or five are usual");
        }
        if own.votes && !self.upstreams.is_empty() {
            return fault("relay", "a voter follows no upstream", "drop (upstream ...) or its vote");
        }
        if !own.votes && self.upstreams.is_empty() && self.voters().next().is_none() {
            return fault(
                "relay",
                "there is nothing to follow",
                "name an (upstream ...) or members that vote",
            );
        }
        let h = &self.relay;
        if 2 * h.round_ms > h.lease_ms {
            return fault("relay.round-ms", "longer than half of the lease", "an owner has to renew in time");
        }
        if 2 * h.ack_ms > h.missed_ms {
            return fault(
                "relay.ack-ms",
                "longer than half of missed-ms",
                "every reader would count as missing",
            );
        }
        if h.event_bytes > h.log_bytes / 4 {
            return fault("relay.event-bytes", "over a quarter of log-bytes", "the log holds many events");
        }
        if self.subscribers.iter().any(|r| r.address == self.listen) {
            return fault("relay.listen", "a reader has this address too", "give each its own");
        }
        Ok(self)
    }

    pub fn voters(&self) -> impl Iterator<Item = &MemberForm> {
        self.members.iter().filter(|m| m.votes)
    }

    pub fn is_voter(&self) -> bool {
        self.voters().any(|m| m.number == self.relay.number)
    }

    /// By which name others know a relay as a reader.
    pub fn relay_name(number: u32) -> String {
        format!("relay-{number}")
    }

    pub fn name(&self) -> String {
        RelayServerConfig::relay_name(self.relay.number)
    }

    /// Descriptors that it may come to use.
    pub fn max_descriptors(&self) -> usize {
        self.relay.connections + self.subscribers.len() + self.members.len() + DESCRIPTORS
    }

    /// Nothing of the machine's limits is raised: what would not fit is said.
    pub fn check_descriptor_limit(&self) -> Result<(), String> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let (needs, has) = (self.max_descriptors() as u64, limit.unwrap_or(u64::MAX));
        if needs <= has {
            return Ok(());
        }
        let keys = "relay.connections";
        Err(format!(
            "{keys}: {needs} descriptors are needed, the limit is {has}: lower it, or raise the limit"
        ))
    }
}
