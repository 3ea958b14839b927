//! Distribution of events from one publisher to many subscribers: a numbered log that a group of voters replicates,
//! plain relays that follow the log and pass it on, and the number that each subscriber has applied.
//!
//! The crate does no I/O: it takes times, calls, replies and events, and returns calls, results and bytes for
//! subscribers. Times are whole nanoseconds of a monotonic clock of this process. A time that has to mean the same
//! in two processes is a Unix time in milliseconds, and its name contains `unix`, except for the `epoch` of a log.
//!
//! [`Relay`] is the entry point, one per process. [`Log`] holds the events, [`Subscribers`] records which
//! subscriber has applied which number, `replica_group` replicates the log among the voters, and
//! [`UpstreamSelector`] selects the upstream of a plain relay. `docs/relay.md` has the design.

mod action;
mod config;
mod error;
pub mod event;
pub mod log;
pub mod messages;
mod plain_relay;
mod relay;
mod replica_group;
pub mod retention;
mod snapshot;
mod staleness;
pub mod status;
mod subscribers;
mod upstream_selector;

pub use action::Action;
pub use config::{GroupConfig, RelayConfig, SafetyChecks};
pub use error::PublishError;
pub use event::{Event, EventError, ParsedEvent};
pub use log::{Log, LogEntry, LogFull};
pub use messages::{EntryPosition, PeerAnswer, PeerCall, PeerReply, PeerRequest, ReplicaState};
pub use relay::{ApplyOutcome, Relay, ResubscribeReason, UpstreamTarget};
pub use retention::RetentionWindow;
pub use sablecross_coordination::{FencingToken, Member, Ns};
pub use snapshot::{HierarchyEvent, Snapshot};
pub use staleness::{Staleness, StalenessComment};
pub use status::{
    AppliedSince, AppliedStatus, FleetView, MergedSubscriber, RelayRole, RelayStatus, SubscriberStatus,
    merge_statuses,
};
pub use subscribers::Subscribers;
pub use upstream_selector::UpstreamSelector;
