//! A trial of a fleet: hundreds of directors as processes of their own, each with little traffic, nodes of unlike speed
//! that count by tenth of a second, and faults between them by seed. It shows what the operators' bench can't: each
//! node's load over time, who moved where, links cut one way, directors stopped and continued.

mod coordination_watch;
pub(crate) mod link_proxy;
mod load;
mod node;
mod report;
mod run;
pub mod settings;

pub use report::Report;
pub use run::run;
pub use settings::Trial;
