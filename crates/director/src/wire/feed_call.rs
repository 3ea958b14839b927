//! One call of a discovery feed: its connection, and the parser of what the feed sends on it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use sablecross_discovery::{EventStreamParser, StreamError, StreamItem, events_request};

use crate::limits::Limits;
use crate::os_error::is_retryable;

/// The size of one read from the stream.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A call of a feed. Until the feed accepts it, it waits for its turn there.
pub(super) struct FeedCall {
    feed: SocketAddr,
    socket: TcpStream,
    parser: EventStreamParser,
    began_at: Instant,
    /// Whether the feed has accepted the call, so that it sends events or comments from now on.
    is_accepted: bool,
}

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FeedRead {
    Received,
    /// No bytes came within `feed_poll_interval`, or none are there if the call is set aside.
    Nothing,
    /// The feed has closed the connection.
    End,
}

impl FeedCall {
    /// Connects to the feed and asks for the events after the one with this number.
    pub(super) fn open(feed: SocketAddr, after: u64, limits: &Limits) -> io::Result<FeedCall> {
        let began_at = Instant::now();
        let socket = TcpStream::connect_timeout(&feed, Duration::from_nanos(limits.connect_timeout))?;
        socket.set_read_timeout(Some(limits.feed_poll_interval))?;
        socket.set_write_timeout(Some(limits.feed_silence_timeout))?;
        (&socket).write_all(events_request(feed, after).as_bytes())?;
        let parser = EventStreamParser::new(limits.max_feed_event_bytes);
        Ok(FeedCall { feed, socket, parser, began_at, is_accepted: false })
    }

    /// The feed that is called.
    pub(super) fn feed(&self) -> SocketAddr {
        self.feed
    }

    pub(super) fn began_at(&self) -> Instant {
        self.began_at
    }

    pub(super) fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// The next item that was received completely.
    pub(super) fn next_item(&mut self) -> Result<Option<StreamItem>, StreamError> {
        let item = self.parser.next_item()?;
        self.is_accepted |= item == Some(StreamItem::Connected);
        Ok(item)
    }

    /// Handles the end of the connection. Fails if the feed has not accepted the call.
    pub(super) fn finish(&self) -> Result<(), StreamError> {
        self.parser.finish()
    }

    /// Reads once.
    pub(super) fn read(&mut self) -> io::Result<FeedRead> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match (&self.socket).read(&mut bytes) {
            Ok(0) => Ok(FeedRead::End),
            Ok(count) => {
                self.parser.push(&bytes[..count]);
                Ok(FeedRead::Received)
            }
            Err(e) if is_retryable(&e) => Ok(FeedRead::Nothing),
            Err(e) => Err(e),
        }
    }

    /// Sets the call aside, so that reads don't wait for bytes, or takes it up again.
    pub(super) fn set_aside(&self, is_set_aside: bool) -> io::Result<()> {
        self.socket.set_nonblocking(is_set_aside)
    }
}
