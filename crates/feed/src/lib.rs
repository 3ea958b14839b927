//! The reading side of the control feed, for whoever follows it: directors, relays, trials. No I/O: bytes come in, events
//! go out. `Stream` reads the answer to one call, `Cursor` knows which events are news, `Feeds` whom to call next.

mod cursor;
mod feeds;
mod stream;

pub use cursor::{Cursor, Verdict};
pub use feeds::Feeds;
pub use stream::{Flaw, Said, Stream};

use std::net::SocketAddr;

/// A call for all events after that number.
pub fn request(at: SocketAddr, after: u64) -> String {
    format!(
        "GET /v1/events HTTP/1.1\r\nHost: {at}\r\nAccept: text/event-stream\r\nLast-Event-ID: {after}\r\n\r\n"
    )
}
