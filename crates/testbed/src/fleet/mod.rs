//! Fleet trials: up to hundreds of director processes with little traffic each, nodes of different speeds, and faults
//! from the settings or drawn from the seed.
//!
//! A fleet trial covers what the operators' bench can't: the load of each node over time, which directors moved their
//! requests to which node, links cut in one direction, directors stopped and continued, and coordination between
//! directors.

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
