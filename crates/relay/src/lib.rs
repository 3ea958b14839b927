//! Carries events from one publisher to many subscribers: a numbered log that a group of voters replicates, plain
//! relays that follow it and send it on, and the number that every subscriber has applied.
//!
//! No I/O: times, calls, replies and events come in; calls, results and bytes for subscribers go out. Times are
//! whole nanoseconds of a clock of this program that never goes back; a moment that has to mean the same in two
//! programs is a Unix time in milliseconds, and its name has `unix`.
//!
//! [`Relay`] is all of it for one process. [`Log`] holds the events, [`Subscribers`] who has applied which,
//! `replica_group` replicates the log among the voters, [`UpstreamSelector`] picks the upstream of a plain relay.
//! `docs/relay.md` has the design.

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
pub use relay::{ApplyOutcome, Relay, ResubscribeReason, UpstreamCall};
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
