//! Trials on loopback: real director processes run against stubs, under load and injected faults, and a report lists
//! figures and violations.
//!
//! Stub nodes, stub discovery and clients run in this process and follow the operators' published protocol. Nothing
//! here decides for directors: `sablecross-hierarchy` plans and carries out changes of the hierarchy.
//!
//! - [`run`]: an experiment with changes of the hierarchy ([`settings`], [`Report`])
//! - [`fleet`]: many directors, load balance and coordination between directors
//! - [`scale`]: thousands of directors behind relays
//! - [`soak`]: overlapping faults, checked by invariants

pub mod client_load;
mod clock;
mod copies;
mod director_process;
mod discovery_stub;
mod experiment;
pub mod fleet;
mod node_stub;
mod ports;
mod process;
mod pull_request;
mod report;
pub mod scale;
mod schedule;
pub mod settings;
pub mod soak;
mod threads;
mod trial_report;
mod trial_state;

pub use experiment::run;
pub use process::TrialError;
pub use report::Report;
pub use sablecross_relay_server::process::exit_with_parent;
pub use settings::Experiment;
pub use trial_report::{Chart, ReportError, TrialReport};
pub use trial_state::Second;
