//! Runs a relay as a process: sockets, settings and signals. `sablecross_relay` makes all decisions.
//!
//! One thread serves all connections and never blocks on a single one. Further threads do blocking I/O: one for each
//! other voter, one for the upstream, one for forwarded reports and one for signals.

mod connection;
mod http;
mod log_rate_limiter;
pub mod peer_client;
mod peers;
pub mod process;
pub mod publisher;
mod server;
pub mod settings;
mod upstream_follower;

pub use server::ServerError;
pub use settings::RelayServerConfig;
