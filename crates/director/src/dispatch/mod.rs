//! What is kept in memory.

pub mod dispatcher;
