//! Fault injection for tests: a shared object that is preloaded into one process (`LD_PRELOAD`) and makes its system
//! calls fail, fall short or tell another wall clock, as a plan prescribes.
//!
//! The environment variable `SABLECROSS_FAULTS` names the plan, a text file that is read again whenever it changes, so
//! that a test can switch faults on and off while the process runs. The grammar stands in `plan`. Calls that no rule names go
//! straight to the kernel. A second variable names a log of what is sent to nodes (`send_log`). Nothing here allocates on behalf of the host process between a failing call and its `errno`.

mod calls;
mod plan;
mod send_log;
mod state;

pub use plan::{Call, Fault, Plan, PlanError};
