//! Network I/O: client connections, node connections and the event stream of discovery, each on its own thread.

mod applied_version_reporter;
mod client_acceptor;
mod client_connection;
pub(crate) mod client_server;
pub(crate) mod discovery_client;
mod feed_call;
mod incoming_answer;
mod message_reader;
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

/// Writes the parts from byte `written` on with one vectored write and advances `written`. Returns whether all parts are
/// written.
fn write_remaining(mut writer: impl Write, parts: &mut [IoSlice], written: &mut usize) -> io::Result<bool> {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut remaining = parts;
    IoSlice::advance_slices(&mut remaining, *written);
    match writer.write_vectored(remaining)? {
        0 => Err(ErrorKind::WriteZero.into()),
        count => {
            *written += count;
            Ok(*written == length)
        }
    }
}
