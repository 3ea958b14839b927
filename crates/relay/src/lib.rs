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
pub mod horizon;
pub mod log;
pub mod readers;
mod relay;
pub mod upstream;

pub use event::{Event, Fault};
pub use group::{Answer, Call, Defences, Group, Reply, Request, Rules};
pub use horizon::Horizon;
pub use log::{Base, Entry, Log};
pub use readers::{Readers, View, Whole, merge};
pub use relay::{Do, Refusal, Relay, Settings, Status, Took};
pub use sablecross_duty::{Member, Ns, Token};
pub use upstream::{Freshness, Upstream};
