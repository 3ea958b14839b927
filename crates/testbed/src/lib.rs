//! A small installation on loopback: real directors as processes of their own, stand-in caches, upper caches, origin
//! and feed in this one, load, changes of the hierarchy, faults; a report. Stand-ins follow the operators' published
//! protocol. Nothing here decides for directors: the driver and its plans are those of `sablecross-hierarchy`.

mod acts;
mod directors;
pub mod feed;
pub mod fleet;
pub mod load;
pub mod node;
mod outcome;
mod process;
pub mod report;
pub mod run;
pub mod scale;
pub mod settings;
pub mod soak;

pub use outcome::Outcome;
pub use process::Failed;
pub use report::Report;
pub use run::run;
pub use sablecross_relay_server::process::exit_with_parent;
pub use settings::Experiment;
