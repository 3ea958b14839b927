//! What every program round the router needs: its settings decoded ([`settings`]), and the requests in flight
//! ([`InflightTable`]), whose attempts the program carries out ([`Transport`]). Nothing here does I/O.

mod inflight_table;
pub mod settings;

pub use inflight_table::{AttemptResult, InflightTable, Transport};
