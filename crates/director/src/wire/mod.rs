//! What is spoken on the wire: with clients, with nodes, with the feed.

pub mod clients;
mod connection;
pub mod feed;
pub(crate) mod intake;
pub mod lines;
mod link;
pub mod links;
pub mod nodes;
mod reply;
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
