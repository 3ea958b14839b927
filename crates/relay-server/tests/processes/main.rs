//! Relays as processes, and faults between them.

mod common;
mod faults;
mod horizon;
mod readers;
