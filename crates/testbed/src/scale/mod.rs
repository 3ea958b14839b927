//! A trial of control at full size: thousands of hollow directors, many to a process, which run the product's own code for
//! control, some real ones beside them, relays between them and the source, load in control, faults between processes.

mod pool;
mod pool_messages;
mod report;
mod run;
pub mod settings;
mod simulated_director;
mod source;
mod tier;

pub use pool::run as hollow;
pub use report::Report;
pub use run::run;
pub use settings::Scale;
