//! What is kept in memory.

pub mod desk;
