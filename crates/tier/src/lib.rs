//! The relay as a process: sockets, settings and life round `sablecross_relay`, which decides everything.
//!
//! One thread serves all connections and never waits for one. Others wait for it: one for each voter that is called, one
//! for the upstream, one for words that are passed on, one for signals.

pub mod call;
mod conn;
mod http;
pub mod life;
mod lines;
mod peers;
pub mod publish;
mod server;
pub mod settings;

pub use server::Failed;
pub use settings::Setting;
