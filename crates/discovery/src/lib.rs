//! The client side of the control feed, for directors, relays and tests. The crate does no I/O: it takes bytes and
//! returns events.
//!
//! [`EventStreamParser`] parses the response to one call, [`EventCursor`] decides which events are new,
//! [`FeedSelector`] selects the feed to call next, and [`WaitingCall`] keeps a call that is not accepted yet.

mod event_cursor;
mod event_stream;
mod feed_selector;
mod waiting_call;

pub use event_cursor::{EventCursor, EventVerdict, ResubscribeReason};
pub use event_stream::{EventStreamParser, StreamError, StreamItem};
pub use feed_selector::FeedSelector;
pub use waiting_call::{CallState, WaitingCall};

use std::net::SocketAddr;

/// Returns the HTTP request for all events after a number.
pub fn events_request(feed: SocketAddr, after: u64) -> String {
    format!(
        "GET /v1/events HTTP/1.1\r\nHost: {feed}\r\nAccept: text/event-stream\r\nLast-Event-ID: {after}\r\n\r\n"
    )
}
