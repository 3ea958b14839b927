//! Tests of relays as separate processes, with faults between them.

mod common;
mod faults;
mod retention;
mod subscribers;
