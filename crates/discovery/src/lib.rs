//! The reading side of the control feed, for whoever follows it: directors, relays, trials. No I/O: bytes come in, events
//! go out. `Stream` reads the answer to one call, `Cursor` knows which events are news, `Feeds` whom to call next.

mod event_cursor;
mod event_stream;
mod feed_selector;

pub use event_cursor::{EventCursor, EventVerdict};
pub use event_stream::{EventStreamParser, StreamError, StreamItem};
pub use feed_selector::FeedSelector;

use std::net::SocketAddr;

/// A call for all events after that number.
pub fn events_request(at: SocketAddr, after: u64) -> String {
    format!(
        "GET /v1/events HTTP/1.1\r\nHost: {at}\r\nAccept: text/event-stream\r\nLast-Event-ID: {after}\r\n\r\n"
    )
}
