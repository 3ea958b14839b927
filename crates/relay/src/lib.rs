//! What stands between one source of events and many directors: a numbered log that a group of voters keeps,
//! relays that follow it and tell it on, and the numbers that are in force, summed upwards.
//!
//! No I/O: times, calls, answers and events come in; calls, verdicts and bytes to be told go out. Times are
//! whole nanoseconds of a clock that never goes back, of one program alone; where a moment has to mean the
//! same in two programs it is a Unix time in milliseconds and named `unix`.
//!
//! `Log` holds what is told, `Readers` who has it, `Group` keeps it at a majority of the voters, `Upstream`
//! picks whom a plain relay follows, and `Relay` is all of it for one process.

pub mod event;
pub mod group;
pub mod log;
mod relay;
pub mod retention;
pub mod subscribers;
pub mod upstream;

pub use event::{Event, EventError};
pub use group::{GroupConfig, PeerAnswer, PeerCall, PeerReply, PeerRequest, ReplicaGroup, SafetyChecks};
pub use log::{Log, LogEntry, Snapshot};
pub use relay::{Action, ApplyOutcome, PublishError, Relay, RelayConfig, RelayStatus};
pub use retention::RetentionWindow;
pub use sablecross_coordination::{FencingToken, Member, Ns};
pub use subscribers::{FleetView, SubscriberStatus, Subscribers, merge_statuses};
pub use upstream::{Staleness, UpstreamSelector};
