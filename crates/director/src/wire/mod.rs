//! What is spoken on the wire: with clients, with nodes, with the feed.

pub mod clients;
pub mod feed;
mod intake;
pub mod lines;
pub mod nodes;
pub mod rpc;

use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::TcpStream;

use crate::life::Clock;

/// Writes all parts in one go where that is possible, by a time.
fn write_all(stream: &TcpStream, parts: &mut [IoSlice], by: u64, clock: &Clock) -> io::Result<()> {
    let mut left = parts;
    while left.iter().any(|p| !p.is_empty()) {
        let wait = clock.until(by);
        if wait.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_write_timeout(Some(wait))?;
        match (&*stream).write_vectored(left) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => IoSlice::advance_slices(&mut left, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
