//! What is kept in memory.

pub mod bodies;
pub mod desk;
