//! Fault injection for tests: a shared object that is preloaded into one process (`LD_PRELOAD`). According to a plan,
//! it makes system calls fail or transfer fewer bytes, and shifts the wall clock.
//!
//! The environment variable `SABLECROSS_FAULTS` names the plan, a text file. Intercepted calls read it again every few
//! milliseconds, so that a test can switch faults on and off while the process runs. The module `plan` documents the
//! grammar. Calls that no rule names are passed on unchanged. The variable `SABLECROSS_SEND_LOG` names a log of
//! messages to nodes, requests of clients and shutdowns of sockets (`send_log`). Once a call has failed, nothing here
//! allocates or changes `errno` before the call returns.

mod calls;
mod plan;
mod send_log;
mod state;

pub use plan::{Call, Fault, Plan, PlanError};
