//! Relays as processes, and faults between them.

mod common;
mod faults;
mod retention;
mod subscribers;
