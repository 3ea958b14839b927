//! A fleet trial: hundreds of directors as processes of their own, each with little traffic, nodes of unlike speed, and
//! faults between them drawn from the seed.
//!
//! It shows what the operators' bench can't: each node's load over time, which directors moved where, links cut one
//! way, directors stopped and continued, and coordination between directors.

mod coordination_links;
mod coordination_report;
mod coordination_watch;
mod director;
mod fault_injection;
mod hierarchy_proposal;
pub(crate) mod link_proxy;
mod load;
mod node;
mod report;
mod run;
pub mod settings;

pub use coordination_report::CoordinationReport;
pub use load::ClientTally;
pub use node::Tier;
pub use report::{Evenness, FaultAftermath, Report};
pub use run::run;
pub use settings::Trial;
