//! sablecross decides where objects are served, kept and filled from.

mod choice;
mod interface;
pub mod rules;

pub use choice::{Choice, Pie, Stand, copy_place, fill_place, mix};
pub use interface::*;
