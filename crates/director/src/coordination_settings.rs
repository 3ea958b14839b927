//! The settings of coordination: `(duty ...)` and `(voter ...)` forms in the file that `SABLECROSS_DUTY` names. The
//! settings must be the same at all directors.

use std::io;
use std::net::SocketAddr;

use garde::Validate;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, RoleId};
use sablecross_coordination::{CoordinationConfig, WarmingLimits};
use sablecross_sexpr_config::{ConfigError, Located};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::NS_PER_MS;

/// The environment variable that names the settings file.
const FILE_VARIABLE: &str = "SABLECROSS_DUTY";

/// The maximum number of voters. Sets of voters are 64-bit masks, and more voters only make each lease slower.
const MAX_VOTERS: usize = 15;

/// The role whose holder carries out changes of the hierarchy.
pub const HIERARCHY_ROLE: RoleId = 1;

/// The role whose holder warms cold caches.
pub const WARMING_ROLE: RoleId = 2;

/// The roles that a member can hold, with their names in commands and log lines.
pub const ROLES: [(RoleId, &str); 3] =
    [(ASSIGNMENT_ROLE, "dealing"), (HIERARCHY_ROLE, "driving"), (WARMING_ROLE, "warming")];

/// Returns a role's name in commands and log lines.
pub fn role_name(role: RoleId) -> &'static str {
    ROLES.iter().find(|known| known.0 == role).map_or("unknown", |known| known.1)
}

/// A form of the settings file. The names of the fields are the keys of the settings, and error messages name them.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum SettingsForm {
    Duty(#[garde(dive)] DutyForm),
    Voter(#[garde(dive)] VoterForm),
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct DutyForm {
    /// The duration of a lease.
    #[garde(range(min = 50, max = 600_000))]
    #[serde(default = "defaults::lease_ms")]
    lease_ms: u64,
    /// The timeout for the replies of voters.
    #[garde(range(min = 5, max = 60_000))]
    #[serde(default = "defaults::round_ms")]
    round_ms: u64,
    /// The delay between the attempts of two candidates to acquire a lease.
    #[garde(range(min = 1, max = 60_000))]
    #[serde(default = "defaults::apart_ms")]
    apart_ms: u64,
    /// The interval between heartbeats.
    #[garde(range(min = 20, max = 60_000))]
    #[serde(default = "defaults::beat_ms")]
    beat_ms: u64,
    /// The interval between health checks of one node.
    #[garde(range(min = 20, max = 600_000))]
    #[serde(default = "defaults::probe_ms")]
    probe_ms: u64,
    /// The timeout of a health check.
    #[garde(range(min = 5, max = 60_000))]
    #[serde(default = "defaults::patience_ms")]
    patience_ms: u64,
    /// How long a member may be missing before a change of the hierarchy stops waiting for it.
    #[garde(range(min = 1_000, max = 86_400_000))]
    #[serde(default = "defaults::gone_after_ms")]
    gone_after_ms: u64,
    /// Whether the health of nodes is checked.
    #[garde(skip)]
    #[serde(default = "defaults::probing")]
    probing: bool,
    /// Whether cold caches are warmed.
    #[garde(skip)]
    #[serde(default)]
    warming: bool,
    /// The number of requests per second that a warm cache can serve.
    #[garde(range(min = 0.1, max = 1e6))]
    #[serde(default = "defaults::warm_bears")]
    warm_bears: f64,
    /// The fraction of a cold cache's capacity that warming may use.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(default = "defaults::warm_part")]
    warm_part: f64,
    /// The maximum number of objects that a cache is warmed with.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "defaults::warm_objects")]
    warm_objects: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct VoterForm {
    /// The director's member number.
    #[garde(range(max = 1_000_000))]
    number: u32,
    /// The address on which it listens for clients.
    #[garde(skip)]
    address: SocketAddr,
}

/// The default values of [`DutyForm`], one function for each key.
mod defaults {
    pub(super) fn lease_ms() -> u64 {
        1_000
    }

    pub(super) fn round_ms() -> u64 {
        200
    }

    pub(super) fn apart_ms() -> u64 {
        50
    }

    pub(super) fn beat_ms() -> u64 {
        200
    }

    pub(super) fn probe_ms() -> u64 {
        1_000
    }

    pub(super) fn patience_ms() -> u64 {
        400
    }

    pub(super) fn gone_after_ms() -> u64 {
        60_000
    }

    pub(super) fn probing() -> bool {
        true
    }

    pub(super) fn warm_bears() -> f64 {
        20.0
    }

    pub(super) fn warm_part() -> f64 {
        0.25
    }

    pub(super) fn warm_objects() -> usize {
        200
    }
}

/// Why the settings of coordination can't be used.
#[derive(Debug, Error)]
pub enum CoordinationSettingsError {
    /// The file can't be read.
    #[error("{FILE_VARIABLE}: {file}: {source}")]
    Read {
        /// The file that the environment variable names.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file's content is invalid.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<ConfigError>),
}

/// The settings of coordination.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSettings {
    /// The voters, the roles and the timeouts.
    pub config: CoordinationConfig,
    /// The addresses of the voters, in the order of `config.voters`.
    pub voter_addresses: Vec<SocketAddr>,
    /// Whether the health of nodes is checked.
    pub checks_health: bool,
    /// How long a member may be missing before a change of the hierarchy stops waiting for it, in nanoseconds.
    pub member_gone_after: sablecross::Ns,
    /// How cold caches are warmed, or `None` if they are not. The initial share of a cold cache and the time until it
    /// is warm are the director's own settings, and are not set here.
    pub warming: Option<WarmingLimits>,
}

impl CoordinationSettings {
    /// Reads the file that the environment variable names. Returns `None` if the variable is not set.
    pub fn from_env() -> Option<Result<CoordinationSettings, CoordinationSettingsError>> {
        let file = std::env::var(FILE_VARIABLE).ok()?;
        Some(match std::fs::read_to_string(&file) {
            Ok(text) => CoordinationSettings::parse(&file, &text).map_err(CoordinationSettingsError::Invalid),
            Err(source) => Err(CoordinationSettingsError::Read { file, source }),
        })
    }

    /// Parses the text of a settings file. `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Each error names the line, the column and the key.
    pub fn parse(file: &str, text: &str) -> Result<CoordinationSettings, Vec<ConfigError>> {
        let forms = sablecross_sexpr_config::parse_forms::<SettingsForm>(file, text)?;
        let (duty, voters) = collect_forms(file, &forms).map_err(|error| vec![error])?;
        check_across_forms(file, &duty, &voters).map_err(|error| vec![error])?;
        Ok(CoordinationSettings {
            config: coordination_config(&duty, &voters),
            voter_addresses: voters.iter().map(|voter| voter.address).collect(),
            checks_health: duty.probing,
            member_gone_after: duty.gone_after_ms * NS_PER_MS,
            warming: duty.warming.then(|| warming_limits(&duty)),
        })
    }
}

/// Returns the only `duty` form and all `voter` forms.
fn collect_forms(
    file: &str,
    forms: &[Located<SettingsForm>],
) -> Result<(DutyForm, Vec<VoterForm>), ConfigError> {
    let (mut duty, mut voters) = (None, Vec::<VoterForm>::new());
    for form in forms {
        match &form.value {
            SettingsForm::Duty(new) => {
                if duty.replace(new.clone()).is_some() {
                    return Err(form.error(file, "duty", "a second (duty ...) form", "keep one"));
                }
            }
            SettingsForm::Voter(new) => {
                let is_same = |known: &VoterForm| known.number == new.number || known.address == new.address;
                if voters.iter().any(is_same) {
                    let problem = "another voter has the same number or address";
                    return Err(form.error(file, "voter", problem, "each voter needs its own"));
                }
                voters.push(new.clone());
            }
        }
    }
    let duty = duty.ok_or_else(|| file_error(file, "duty", "no (duty ...) form", "add one"))?;
    Ok((duty, voters))
}

/// Checks the rules that concern several keys or forms.
fn check_across_forms(file: &str, duty: &DutyForm, voters: &[VoterForm]) -> Result<(), ConfigError> {
    if voters.is_empty() || voters.len() > MAX_VOTERS {
        let problem = format!("between 1 and {MAX_VOTERS} voters are needed");
        return Err(file_error(file, "voter", &problem, "three or five are usual"));
    }
    if 2 * duty.round_ms > duty.lease_ms {
        let problem = "longer than half of the lease";
        return Err(file_error(file, "duty.round-ms", problem, "a holder has to renew its lease in time"));
    }
    if duty.warming && !duty.probing {
        let remedy = "warming uses the connections of health checks";
        return Err(file_error(file, "duty.warming", "needs (probing . #t)", remedy));
    }
    Ok(())
}

/// Builds an error that belongs to no single form. It names line 1 and column 1.
fn file_error(file: &str, key: &str, problem: &str, remedy: &str) -> ConfigError {
    ConfigError {
        file: file.into(),
        line: 1,
        column: 1,
        key: key.into(),
        problem: problem.into(),
        remedy: remedy.into(),
    }
}

fn coordination_config(duty: &DutyForm, voters: &[VoterForm]) -> CoordinationConfig {
    CoordinationConfig {
        voters: voters.iter().map(|voter| voter.number).collect(),
        roles: ROLES.iter().map(|role| role.0).collect(),
        lease_duration: duty.lease_ms * NS_PER_MS,
        round_timeout: duty.round_ms * NS_PER_MS,
        attempt_spacing: duty.apart_ms * NS_PER_MS,
        heartbeat_interval: duty.beat_ms * NS_PER_MS,
        check_interval: duty.probe_ms * NS_PER_MS,
        check_timeout: duty.patience_ms * NS_PER_MS,
    }
}

/// Builds the limits of warming. `initial_share` and `warm_up_time` are placeholders: the agent replaces them by the
/// director's own settings.
fn warming_limits(duty: &DutyForm) -> WarmingLimits {
    WarmingLimits {
        warm_requests_per_second: duty.warm_bears,
        capacity_share: duty.warm_part,
        initial_share: 1.0,
        warm_up_time: 0,
        fetch_timeout: duty.lease_ms * NS_PER_MS,
        max_objects: duty.warm_objects,
    }
}
