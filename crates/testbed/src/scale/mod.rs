//! A scale trial: events are published through relays to thousands of simulated directors and some real ones, while
//! faults are injected. Each process runs many simulated directors, which use the product's own discovery code.

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

pub use pool::run as run_simulated_directors;
pub use report::{DirectorUse, Latency, RecoveryTime, RelayUse, Report};
pub use run::run;
pub use settings::ScaleTrial;
