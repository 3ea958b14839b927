//! What every program round the decision module needs: its settings decoded, and lookups kept in hand.

mod hand;
pub mod settings;

pub use hand::{Carrier, End, Hand};
