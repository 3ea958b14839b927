//! The sockets: clients, nodes, and the event stream of discovery. Each has a thread of its own.

mod applied_version_reporter;
mod client_acceptor;
mod client_connection;
pub(crate) mod client_server;
pub(crate) mod discovery_client;
mod incoming_answer;
mod node_connection;
pub mod node_connections;
pub mod node_pool;
pub mod node_protocol;
pub mod outgoing_message;
pub(crate) mod read_buffer;
pub(crate) mod response;
pub(crate) mod response_sender;
pub mod rpc;

use std::io::{self, ErrorKind, IoSlice, Write};

/// Writes what is left of the parts in one call, from behind what is written of them; whether that was all.
fn write_remaining(mut to: impl Write, parts: &mut [IoSlice], written: &mut usize) -> io::Result<bool> {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut remaining = parts;
    IoSlice::advance_slices(&mut remaining, *written);
    match to.write_vectored(remaining)? {
        0 => Err(ErrorKind::WriteZero.into()),
        count => {
            *written += count;
            Ok(*written == length)
        }
    }
}
