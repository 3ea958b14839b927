//! The parts that every program embedding the router shares, without I/O.
//!
//! [`settings`] decodes the router's settings. [`InflightTable`] tracks the requests in flight, asks the router what to
//! do with each of them, and has its decisions carried out by the program's implementation of [`Transport`].

mod inflight_table;
pub mod settings;

pub use inflight_table::{AttemptResult, InflightTable, Transport};
