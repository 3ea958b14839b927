//! The settings of the duties: `(duty ...)` in the file that `SABLECROSS_DUTY` names, the same at all members.

use std::net::SocketAddr;

use garde::Validate;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, RoleId};
use sablecross_coordination::{CoordinationConfig, WarmingLimits};
use sablecross_sexpr_config::ConfigError;
use serde::{Deserialize, Serialize};

use crate::clock::NS_PER_MS;

/// The variable that names the settings file.
const FILE: &str = "SABLECROSS_DUTY";

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Duty(#[garde(dive)] Head),
    Voter(#[garde(dive)] Line),
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Head {
    #[garde(range(min = 50, max = 600_000))]
    #[serde(default = "lease")]
    lease_ms: u64,
    /// A round of asking voters; how far apart claimants hold their claims.
    #[garde(range(min = 5, max = 60_000))]
    #[serde(default = "round")]
    round_ms: u64,
    #[garde(range(min = 1, max = 60_000))]
    #[serde(default = "apart")]
    apart_ms: u64,
    #[garde(range(min = 20, max = 60_000))]
    #[serde(default = "beat")]
    beat_ms: u64,
    #[garde(range(min = 20, max = 600_000))]
    #[serde(default = "probe")]
    probe_ms: u64,
    #[garde(range(min = 5, max = 60_000))]
    #[serde(default = "patience")]
    patience_ms: u64,
    /// A member that is missed for so long is taken for gone for good: a change waits for it no more.
    #[garde(range(min = 1_000, max = 86_400_000))]
    #[serde(default = "gone")]
    gone_after_ms: u64,
    /// Whether boxes are probed.
    #[garde(skip)]
    #[serde(default = "yes")]
    probing: bool,
    /// Whether fresh caches are warmed; requests a second that a warm cache bears, the part of what a cold one bears that warming
    /// may take, and objects for one cache at most.
    #[garde(skip)]
    #[serde(default)]
    warming: bool,
    #[garde(range(min = 0.1, max = 1e6))]
    #[serde(default = "bears")]
    warm_bears: f64,
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(default = "quarter")]
    warm_part: f64,
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "objects")]
    warm_objects: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Line {
    /// The member's number among the directors.
    #[garde(range(max = 1_000_000))]
    number: u32,
    #[garde(skip)]
    address: SocketAddr,
}

fn lease() -> u64 {
    1_000
}

fn round() -> u64 {
    200
}

fn apart() -> u64 {
    50
}

fn beat() -> u64 {
    200
}

fn probe() -> u64 {
    1_000
}

fn patience() -> u64 {
    400
}

fn gone() -> u64 {
    60_000
}

fn bears() -> f64 {
    20.0
}

fn quarter() -> f64 {
    0.25
}

fn objects() -> usize {
    200
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSettings {
    pub config: CoordinationConfig,
    /// In the order of the voters.
    pub voter_addresses: Vec<SocketAddr>,
    pub probing: bool,
    pub member_gone_after: sablecross::Ns,
    /// How fresh caches are warmed, if they are; how warm they begin stands in the director's own settings.
    pub warming: Option<WarmingLimits>,
}

/// Carrying changes of the hierarchy out.
pub const HIERARCHY_ROLE: RoleId = 1;

/// Warming fresh caches.
pub const WARMING_ROLE: RoleId = 2;

/// What a member can own: dealing chores to the living, driving changes of the hierarchy.
pub const ROLES: [(RoleId, &str); 3] =
    [(ASSIGNMENT_ROLE, "dealing"), (HIERARCHY_ROLE, "driving"), (WARMING_ROLE, "warming")];

pub fn role_name(duty: RoleId) -> &'static str {
    ROLES.iter().find(|d| d.0 == duty).map_or("unknown", |d| d.1)
}

impl CoordinationSettings {
    /// From the file, where one is named.
    pub fn from_env() -> Option<Result<CoordinationSettings, String>> {
        let file = std::env::var(FILE).ok()?;
        let text = std::fs::read_to_string(&file).map_err(|e| format!("{FILE}: {file}: {e}"));
        Some(text.and_then(|text| {
            CoordinationSettings::parse(&file, &text)
                .map_err(|f| f.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }))
    }

    pub fn parse(file: &str, text: &str) -> Result<CoordinationSettings, Vec<ConfigError>> {
        let forms = sablecross_sexpr_config::parse_forms::<Form>(file, text)?;
        let none = |key: &str, what: &str, todo: &str| {
            let (key, what, todo) = (key.into(), what.into(), todo.into());
            vec![ConfigError { file: file.into(), line: 1, column: 1, key, problem: what, remedy: todo }]
        };
        let (mut head, mut lines) = (None, Vec::<Line>::new());
        for form in &forms {
            match &form.value {
                Form::Duty(h) => {
                    if head.replace(h.clone()).is_some() {
                        return Err(vec![form.error(file, "duty", "a second one", "keep one")]);
                    }
                }
                Form::Voter(line) => {
                    let twice = |l: &Line| l.number == line.number || l.address == line.address;
                    if lines.iter().any(twice) {
                        let what = "its number or address is another voter's too";
                        return Err(vec![form.error(file, "voter", what, "each votes once")]);
                    }
                    lines.push(line.clone());
                }
            }
        }
        let head = head.ok_or_else(|| none("duty", "no (duty ...) form", "add one"))?;
        if lines.is_empty() || lines.len() > 15 {
            return Err(none("voter", "between 1 and 15 voters are needed", "three or five are usual"));
        }
        if 2 * head.round_ms > head.lease_ms {
            return Err(none(
                "duty.round-ms",
                "longer than half of the lease",
                "an owner has to renew in time",
            ));
        }
        if head.warming && !head.probing {
            return Err(none("duty.warming", "boxes are not probed", "warming goes by the same connections"));
        }
        let terms = CoordinationConfig {
            voters: lines.iter().map(|l| l.number).collect(),
            roles: ROLES.iter().map(|d| d.0).collect(),
            lease_duration: head.lease_ms * NS_PER_MS,
            round_timeout: head.round_ms * NS_PER_MS,
            claim_spacing: head.apart_ms * NS_PER_MS,
            heartbeat_interval: head.beat_ms * NS_PER_MS,
            check_interval: head.probe_ms * NS_PER_MS,
            check_timeout: head.patience_ms * NS_PER_MS,
        };
        Ok(CoordinationSettings {
            config: terms,
            voter_addresses: lines.iter().map(|l| l.address).collect(),
            probing: head.probing,
            member_gone_after: head.gone_after_ms * NS_PER_MS,
            warming: head.warming.then_some(WarmingLimits {
                warm_requests_per_second: head.warm_bears,
                capacity_share: head.warm_part,
                initial_share: 1.0,
                warm_up_time: 0,
                fetch_timeout: head.lease_ms * NS_PER_MS,
                max_objects: head.warm_objects,
            }),
        })
    }
}
