//! The relay as a process: sockets, settings and signals around `sablecross_relay`, which decides everything.
//!
//! One thread serves all connections and never blocks on one. Others wait for other processes: one for each voter that
//! is called, one for the upstream, one for reports that are forwarded, one for signals.

mod connection;
mod http;
mod log_rate_limiter;
pub mod peer_client;
mod peers;
pub mod process;
pub mod publisher;
mod server;
pub mod settings;

pub use server::ServerError;
pub use settings::RelayServerConfig;
