//! What every program round the decision module needs: its settings decoded, and lookups kept in hand.

mod inflight_table;
pub mod settings;

pub use inflight_table::{AttemptResult, InflightTable, Transport};
