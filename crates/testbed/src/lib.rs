//! A small installation on loopback: real directors as processes of their own, stand-in caches, upper caches, origin
//! and feed in this one, load, changes of the hierarchy, faults; a report. Stand-ins follow the operators' published
//! protocol. Nothing here decides for directors: the driver and its plans are those of `sablecross-hierarchy`.

pub mod client_load;
mod clock;
mod director_process;
pub mod discovery_stub;
pub mod experiment;
pub mod fleet;
pub mod node_stub;
mod process;
mod pull_request;
pub mod report;
pub mod scale;
mod schedule;
pub mod settings;
pub mod soak;
mod threads;
mod trial_report;

pub use experiment::run;
pub use process::TrialError;
pub use report::Report;
pub use sablecross_relay_server::process::exit_with_parent;
pub use settings::Experiment;
pub use trial_report::TrialReport;
