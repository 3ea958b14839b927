//! The settings file of a relay, with the forms `(relay ...)`, `(member ...)`, `(upstream ...)` and `(reader ...)`.

mod forms;

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use sablecross_sexpr_config::{ConfigError, Located};
use thiserror::Error;

use forms::Form;
pub use forms::{MemberForm, RelayForm, SubscriberForm};

const MAX_VOTERS: usize = 15;
/// File descriptors that are needed in addition to those of connections, members and listeners of single subscribers.
const RESERVED_DESCRIPTORS: usize = 64;
/// Placeholder for the listening address until it is taken from the relay's member form. A file without that form is
/// rejected.
const PLACEHOLDER_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// The validated settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayServerConfig {
    /// The relay's own form.
    pub relay: RelayForm,
    /// Listening address of the relay.
    pub listen: SocketAddr,
    /// All relays of the tier, itself included.
    pub members: Vec<MemberForm>,
    /// External feeds that a plain relay follows instead of the voters, the preferred one first.
    pub upstreams: Vec<SocketAddr>,
    /// Subscribers that have a listening address of their own.
    pub subscribers: Vec<SubscriberForm>,
}

/// Why a settings file can't be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Read {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The file has one or more errors.
    #[error("{}", error_lines(.0).join("\n"))]
    Invalid(Vec<ConfigError>),
}

fn error_lines(errors: &[ConfigError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// Converts to one line for each error.
impl From<LoadError> for Vec<String> {
    fn from(error: LoadError) -> Vec<String> {
        match error {
            LoadError::Read { .. } => vec![error.to_string()],
            LoadError::Invalid(errors) => error_lines(&errors),
        }
    }
}

/// The limit on file descriptors is too low for the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "relay.connections: {needed} file descriptors are needed, the limit is {limit}: lower this key, or raise the limit"
)]
pub struct DescriptorLimitError {
    /// File descriptors that the relay may need with these settings.
    pub needed: u64,
    /// The limit of the process.
    pub limit: u64,
}

/// The forms of a settings file, by kind.
#[derive(Default)]
struct Forms {
    /// The relay's form with its line.
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
                    return Err(error("relay", "a second one", "only one is allowed"));
                }
                self.relay = Some(Located { line, value: relay });
            }
            Form::Member(member) => {
                let is_same =
                    |other: &MemberForm| other.number == member.number || other.address == member.address;
                if self.members.iter().any(is_same) {
                    let problem = "its number or address is used by another member";
                    return Err(error("member", problem, "each must be unique"));
                }
                self.members.push(member);
            }
            Form::Upstream(upstream) => self.upstreams.push(upstream.address),
            Form::Reader(subscriber) => {
                let is_same = |other: &SubscriberForm| {
                    other.name == subscriber.name || other.address == subscriber.address
                };
                if self.subscribers.iter().any(is_same) {
                    let problem = "its name or address is used by another reader";
                    return Err(error("reader", problem, "each must be unique"));
                }
                self.subscribers.push(subscriber);
            }
        }
        Ok(())
    }
}

impl RelayServerConfig {
    /// Reads, parses and validates a settings file.
    pub fn load(file: &Path) -> Result<RelayServerConfig, LoadError> {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => RelayServerConfig::parse(&name, &text).map_err(LoadError::Invalid),
            Err(error) => Err(LoadError::Read { file: name, error }),
        }
    }

    /// Parses and validates the text of a settings file. `file` is its name in errors.
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
            listen: relay.listen.unwrap_or(SocketAddr::from(PLACEHOLDER_ADDRESS)),
            relay,
            members: forms.members,
            upstreams: forms.upstreams,
            subscribers: forms.subscribers,
        };
        config.with_default_listen_address().and_then(RelayServerConfig::validated).map_err(|mismatch| {
            let Mismatch { key, problem, remedy } = mismatch;
            vec![Located { line, value: () }.error(file, key, problem, remedy)]
        })
    }

    /// Takes the listening address from the relay's member form if its own form has none. Fails if there is no member
    /// form with the relay's number.
    fn with_default_listen_address(mut self) -> Result<RelayServerConfig, Mismatch> {
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

    /// Checks the rules that span several forms or keys.
    fn validated(self) -> Result<RelayServerConfig, Mismatch> {
        if self.voters().count() > MAX_VOTERS {
            return Err(Mismatch::new("relay", "more than 15 members are voters", "three or five are usual"));
        }
        let follows_feeds = !self.upstreams.is_empty();
        if self.is_voter() && follows_feeds {
            let remedy = "remove (upstream ...), or make the relay a non-voter";
            return Err(Mismatch::new("relay", "a voter follows no upstream", remedy));
        }
        if !follows_feeds && self.voters().next().is_none() {
            let remedy = "add an (upstream ...), or members that are voters";
            return Err(Mismatch::new("relay", "there is nothing to follow", remedy));
        }
        let relay = &self.relay;
        if 2 * relay.round_ms > relay.lease_ms {
            let (problem, remedy) = ("longer than half of lease-ms", "a leader must renew its lease in time");
            return Err(Mismatch::new("relay.round-ms", problem, remedy));
        }
        if 2 * relay.ack_ms > relay.missed_ms {
            let (problem, remedy) =
                ("longer than half of missed-ms", "healthy subscribers would count as missing");
            return Err(Mismatch::new("relay.ack-ms", problem, remedy));
        }
        if relay.event_bytes > relay.log_bytes / 4 {
            let (problem, remedy) = ("more than a quarter of log-bytes", "the log must hold several events");
            return Err(Mismatch::new("relay.event-bytes", problem, remedy));
        }
        if self.subscribers.iter().any(|subscriber| subscriber.address == self.listen) {
            return Err(Mismatch::new("relay.listen", "a reader has the same address", "give each its own"));
        }
        Ok(self)
    }

    /// Returns the members that are voters.
    pub fn voters(&self) -> impl Iterator<Item = &MemberForm> {
        self.members.iter().filter(|member| member.votes)
    }

    /// Returns whether this relay is a voter.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|member| member.number == self.relay.number)
    }

    /// Returns the name under which the relay with this number is known as a subscriber.
    pub fn relay_name(number: u32) -> String {
        format!("relay-{number}")
    }

    /// Returns the name of this relay.
    pub fn name(&self) -> String {
        RelayServerConfig::relay_name(self.relay.number)
    }

    /// Returns how many file descriptors the relay may need.
    pub fn max_descriptors(&self) -> usize {
        self.relay.connections + self.subscribers.len() + self.members.len() + RESERVED_DESCRIPTORS
    }

    /// Checks that the process's limit on file descriptors is high enough. The limit is not raised.
    pub fn check_descriptor_limit(&self) -> Result<(), DescriptorLimitError> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let (needed, limit) = (self.max_descriptors() as u64, limit.unwrap_or(u64::MAX));
        if needed <= limit { Ok(()) } else { Err(DescriptorLimitError { needed, limit }) }
    }
}

/// Settings that contradict each other.
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
