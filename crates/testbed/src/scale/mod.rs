//! A scale trial: thousands of simulated directors, many to a process, which run the product's own code for discovery,
//! real directors beside them, relays between them and the source, events to all of them, faults between processes.

mod evaluation;
mod installation;
mod pool;
mod pool_messages;
mod processes;
mod report;
mod run;
pub mod settings;
mod simulated_director;
mod source;
mod tier;

pub use pool::run as hollow;
pub use report::{DirectorUse, Latency, RecoveryTime, RelayUse, Report};
pub use run::run;
pub use settings::Scale;
