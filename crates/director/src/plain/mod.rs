//! Plain values that stand below all other parts: no sockets, no threads.

pub mod bodies;
pub mod clock;
pub mod counters;
pub mod facts;
pub mod limits;
pub mod names;
pub mod os_error;
pub mod roster;
pub mod source_clock;
pub mod sparing;
pub mod stall;
