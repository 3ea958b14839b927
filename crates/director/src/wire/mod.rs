//! What is spoken on the wire: with clients, with nodes, with the feed.

mod client_connection;
pub mod client_server;
pub mod discovery_client;
mod node_connection;
pub mod node_connections;
pub mod node_pool;
pub mod node_protocol;
pub(crate) mod read_buffer;
mod response;
pub mod rpc;

use std::io::{self, ErrorKind, IoSlice, Write};

/// Writes parts on in one go, from behind what is written of them; whether that was all.
fn write_on(mut to: impl Write, parts: &mut [IoSlice], written: &mut usize) -> io::Result<bool> {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    let mut left = parts;
    IoSlice::advance_slices(&mut left, *written);
    match to.write_vectored(left)? {
        0 => Err(ErrorKind::WriteZero.into()),
        n => {
            *written += n;
            Ok(*written == length)
        }
    }
}
