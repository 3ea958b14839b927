//! The settings of a relay: `(relay ...)`, `(member ...)`, `(upstream ...)` and `(reader ...)` in one file.

mod forms;

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use sablecross_sexpr_config::{ConfigError, Located};
use thiserror::Error;

use forms::Form;
pub use forms::{MemberForm, RelayForm, SubscriberForm};

const MAX_VOTERS: usize = 15;
/// Descriptors that are needed beside those of connections, members and listeners of single subscribers.
const RESERVED_DESCRIPTORS: usize = 64;
/// Where a relay without an address would listen; a file that leaves it so is rejected.
const NO_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// A settings file that can be used.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayServerConfig {
    /// The settings of this relay.
    pub relay: RelayForm,
    /// Where it listens.
    pub listen: SocketAddr,
    /// All relays of the tier, itself included.
    pub members: Vec<MemberForm>,
    /// Feeds outside that a plain relay follows, the preferred one first.
    pub upstreams: Vec<SocketAddr>,
    /// Subscribers with listening addresses of their own.
    pub subscribers: Vec<SubscriberForm>,
}

/// Why a settings file can't be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Read {
        /// Its name.
        file: String,
        /// Why.
        error: io::Error,
    },
    /// What it says is wrong, at one place or several.
    #[error("{}", lines(.0).join("\n"))]
    Invalid(Vec<ConfigError>),
}

fn lines(errors: &[ConfigError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// One line for each error.
impl From<LoadError> for Vec<String> {
    fn from(error: LoadError) -> Vec<String> {
        match error {
            LoadError::Read { .. } => vec![error.to_string()],
            LoadError::Invalid(errors) => lines(&errors),
        }
    }
}

/// The limit on file descriptors is too low for the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "relay.connections: {needed} descriptors are needed, the limit is {limit}: lower it, or raise the limit"
)]
pub struct DescriptorLimitError {
    /// Descriptors that the settings may come to need.
    pub needed: u64,
    /// How many the process may have.
    pub limit: u64,
}

/// The forms of a file, by their kind.
#[derive(Default)]
struct Forms {
    /// With the line of its form.
    relay: Option<Located<RelayForm>>,
    members: Vec<MemberForm>,
    upstreams: Vec<SocketAddr>,
    subscribers: Vec<SubscriberForm>,
}

impl Forms {
    fn add(&mut self, file: &str, form: Located<Form>) -> Result<(), ConfigError> {
        let line = form.line;
        let error = |key: &str, problem: &str, remedy: &str| {
            Located { line, value: () }.error(file, key, problem, remedy)
        };
        match form.value {
            Form::Relay(relay) => {
                if self.relay.is_some() {
                    return Err(error("relay", "a second one", "keep one"));
                }
                self.relay = Some(Located { line, value: relay });
            }
            Form::Member(member) => {
                let is_same =
                    |other: &MemberForm| other.number == member.number || other.address == member.address;
                if self.members.iter().any(is_same) {
                    let problem = "its number or address is another member's too";
                    return Err(error("member", problem, "each stands here once"));
                }
                self.members.push(member);
            }
            Form::Upstream(upstream) => self.upstreams.push(upstream.address),
            Form::Reader(subscriber) => {
                let is_same = |other: &SubscriberForm| {
                    other.name == subscriber.name || other.address == subscriber.address
                };
                if self.subscribers.iter().any(is_same) {
                    let problem = "its name or address is another reader's too";
                    return Err(error("reader", problem, "each stands here once"));
                }
                self.subscribers.push(subscriber);
            }
        }
        Ok(())
    }
}

impl RelayServerConfig {
    /// Reads a settings file.
    pub fn load(file: &Path) -> Result<RelayServerConfig, LoadError> {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => RelayServerConfig::parse(&name, &text).map_err(LoadError::Invalid),
            Err(error) => Err(LoadError::Read { file: name, error }),
        }
    }

    /// Reads the text of a settings file; `file` is its name, for errors.
    pub fn parse(file: &str, text: &str) -> Result<RelayServerConfig, Vec<ConfigError>> {
        let mut forms = Forms::default();
        for form in sablecross_sexpr_config::parse_forms::<Form>(file, text)? {
            forms.add(file, form).map_err(|error| vec![error])?;
        }
        let Some(Located { line, value: relay }) = forms.relay else {
            let whole_file = Located { line: 1, value: () };
            return Err(vec![whole_file.error(file, "relay", "no (relay ...) form", "add one")]);
        };
        let config = RelayServerConfig {
            listen: relay.listen.unwrap_or(SocketAddr::from(NO_ADDRESS)),
            relay,
            members: forms.members,
            upstreams: forms.upstreams,
            subscribers: forms.subscribers,
        };
        config.with_own_address().and_then(RelayServerConfig::validated).map_err(|mismatch| {
            let Mismatch { key, problem, remedy } = mismatch;
            vec![Located { line, value: () }.error(file, key, problem, remedy)]
        })
    }

    /// Listens at the address of its member form, if its own form names none.
    fn with_own_address(mut self) -> Result<RelayServerConfig, Mismatch> {
        let number = self.relay.number;
        let Some(own) = self.members.iter().find(|member| member.number == number) else {
            let problem = "no (member ...) form has this number";
            return Err(Mismatch::new("relay.number", problem, "add the member"));
        };
        if self.relay.listen.is_none() {
            self.listen = own.address;
        }
        Ok(self)
    }

    /// Checks what has to fit across forms and keys.
    fn validated(self) -> Result<RelayServerConfig, Mismatch> {
        if self.voters().count() > MAX_VOTERS {
            return Err(Mismatch::new("relay", "over 15 members vote", "three or five are usual"));
        }
        let follows_feeds = !self.upstreams.is_empty();
        if self.is_voter() && follows_feeds {
            let remedy = "drop (upstream ...) or its vote";
            return Err(Mismatch::new("relay", "a voter follows no upstream", remedy));
        }
        if !follows_feeds && self.voters().next().is_none() {
            let remedy = "name an (upstream ...) or members that vote";
            return Err(Mismatch::new("relay", "there is nothing to follow", remedy));
        }
        let relay = &self.relay;
        if 2 * relay.round_ms > relay.lease_ms {
            let (problem, remedy) = ("longer than half of the lease", "a leader has to renew in time");
            return Err(Mismatch::new("relay.round-ms", problem, remedy));
        }
        if 2 * relay.ack_ms > relay.missed_ms {
            let (problem, remedy) =
                ("longer than half of missed-ms", "every subscriber would count as missing");
            return Err(Mismatch::new("relay.ack-ms", problem, remedy));
        }
        if relay.event_bytes > relay.log_bytes / 4 {
            let (problem, remedy) = ("over a quarter of log-bytes", "the log holds many events");
            return Err(Mismatch::new("relay.event-bytes", problem, remedy));
        }
        if self.subscribers.iter().any(|subscriber| subscriber.address == self.listen) {
            return Err(Mismatch::new("relay.listen", "a reader has this address too", "give each its own"));
        }
        Ok(self)
    }

    /// The members that are voters.
    pub fn voters(&self) -> impl Iterator<Item = &MemberForm> {
        self.members.iter().filter(|member| member.votes)
    }

    /// Whether this relay is a voter.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|member| member.number == self.relay.number)
    }

    /// The name by which others know a relay as a subscriber.
    pub fn relay_name(number: u32) -> String {
        format!("relay-{number}")
    }

    /// The name of this relay.
    pub fn name(&self) -> String {
        RelayServerConfig::relay_name(self.relay.number)
    }

    /// Descriptors that the relay may come to need.
    pub fn max_descriptors(&self) -> usize {
        self.relay.connections + self.subscribers.len() + self.members.len() + RESERVED_DESCRIPTORS
    }

    /// Whether the limit on file descriptors allows them. The limit is not raised.
    pub fn check_descriptor_limit(&self) -> Result<(), DescriptorLimitError> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let (needed, limit) = (self.max_descriptors() as u64, limit.unwrap_or(u64::MAX));
        if needed <= limit { Ok(()) } else { Err(DescriptorLimitError { needed, limit }) }
    }
}

/// Settings that don't fit together.
struct Mismatch {
    key: &'static str,
    problem: &'static str,
    remedy: &'static str,
}

impl Mismatch {
    fn new(key: &'static str, problem: &'static str, remedy: &'static str) -> Mismatch {
        Mismatch { key, problem, remedy }
    }
}
