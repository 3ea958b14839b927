//! The event stream of discovery: numbered events over HTTP, each taken once and in order. What its bytes mean, which
//! events are new and which feed is called is decided in `sablecross-discovery`; here are the sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use sablecross_discovery::{
    EventCursor, EventStreamParser, EventVerdict, FeedSelector, StreamError, StreamItem, events_request,
};
use serde_json::Value;
use thiserror::Error;

use super::applied_version_reporter::AppliedVersionReporter;
use crate::counters;
use crate::discovery_event::{DiscoveryEvent, KnownEvents, NumberedEvent};
use crate::events::Event;
use crate::os_error::is_would_block;
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

/// Bytes that are read at once.
const READ_LENGTH: usize = 16 << 10;

/// Where discovery is from now on, and what was known there.
pub(crate) struct FeedMove {
    /// The feeds, the home one first.
    pub feeds: Vec<SocketAddr>,
    /// The events that the new configuration holds.
    pub known: KnownEvents,
}

/// Why a call of a feed failed.
#[derive(Debug, Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// Nothing came in the time in which something must.
    #[error("silent")]
    Silent,
}

/// Why a call ended.
enum CallEnd {
    /// The call failed or the stream broke off: the next feed is called.
    Failed(CallError),
    /// An event is asked for once more.
    RetryEvent(String),
    /// The stream came to its end, as it may at any time.
    Ended,
    /// Discovery is elsewhere from now on.
    Moved(FeedMove),
    DispatcherGone,
}

impl From<io::Error> for CallEnd {
    fn from(error: io::Error) -> CallEnd {
        CallEnd::Failed(error.into())
    }
}

impl From<StreamError> for CallEnd {
    fn from(error: StreamError) -> CallEnd {
        CallEnd::Failed(error.into())
    }
}

/// Follows the event stream.
pub(crate) struct DiscoveryClient {
    shared: Arc<SharedContext>,
    cursor: EventCursor,
    feeds: FeedSelector,
    moves: Receiver<FeedMove>,
    reporter: AppliedVersionReporter,
    /// Whether the last call was answered. True before the first one: only a change is logged.
    is_up: bool,
    has_been_up: bool,
}

impl DiscoveryClient {
    /// A client that follows the first of the feeds from behind the event with the number `after`.
    pub(crate) fn new(
        director_name: String,
        feeds: FeedSelector,
        after: u64,
        moves: Receiver<FeedMove>,
        applied_versions: Receiver<AppliedVersion>,
        shared: Arc<SharedContext>,
    ) -> DiscoveryClient {
        DiscoveryClient {
            cursor: EventCursor::after_number(after),
            feeds,
            moves,
            reporter: AppliedVersionReporter::new(director_name, applied_versions, Arc::clone(&shared)),
            is_up: true,
            has_been_up: false,
            shared,
        }
    }

    /// Follows the stream until the dispatcher is gone.
    pub(crate) fn run(mut self) {
        let began = Instant::now();
        loop {
            let (call_began, last_before) = (Instant::now(), self.cursor.last_number());
            match self.call().err().unwrap_or(CallEnd::Ended) {
                CallEnd::DispatcherGone => return,
                CallEnd::Moved(feed_move) => {
                    if self.follow_move(feed_move).is_err() {
                        return;
                    }
                    continue;
                }
                // It counts as down only if the next call fails: relays end streams all the time.
                CallEnd::Ended => {
                    tracing::debug!("feed ended after={}", self.cursor.last_number());
                    self.feeds.on_stream_ended(began.elapsed());
                }
                CallEnd::RetryEvent(reason) => self.mark_down(&reason),
                CallEnd::Failed(error) => {
                    self.mark_down(&error.to_string());
                    self.feeds.on_failed(began.elapsed());
                }
            }
            // Called again at once, but for one that fails or ends at once: no loop without a pause.
            let retry_delay = self.shared.limits.feed_retry_delay;
            if self.cursor.last_number() == last_before && call_began.elapsed() < retry_delay {
                std::thread::sleep(retry_delay);
            }
        }
    }

    fn mark_down(&mut self, reason: &str) {
        if std::mem::take(&mut self.is_up) {
            tracing::info!("feed over after={} why={reason}", self.cursor.last_number());
        }
    }

    fn mark_up(&mut self) {
        self.feeds.on_connected();
        let was_up = std::mem::replace(&mut self.is_up, true);
        let had_been_up = std::mem::replace(&mut self.has_been_up, true);
        if !was_up || !had_been_up {
            tracing::info!("feed up after={}", self.cursor.last_number());
        }
    }

    /// The numbers go on: of what was known there, only what follows the last one is new.
    fn follow_move(&mut self, feed_move: FeedMove) -> Result<(), CallEnd> {
        let Some((home, others)) = feed_move.feeds.split_first() else { return Ok(()) };
        let from = self.feeds.current();
        tracing::info!("feed moved after={} from={from} to={home}", self.cursor.last_number());
        self.feeds = FeedSelector::new(self.reporter.director_name(), *home, others);
        for event in feed_move.known.events {
            if self.cursor.advance_if_next(event.number) {
                self.pass_on(event.event)?;
            }
        }
        Ok(())
    }

    fn pass_on(&mut self, event: DiscoveryEvent) -> Result<(), CallEnd> {
        self.shared.events.send(Event::Discovery(event)).map_err(|_| CallEnd::DispatcherGone)
    }

    /// An error if discovery is elsewhere from now on.
    fn check_moved(&self) -> Result<(), CallEnd> {
        self.moves.try_recv().map_or(Ok(()), |feed_move| Err(CallEnd::Moved(feed_move)))
    }

    /// One connection, read until its end.
    fn call(&mut self) -> Result<(), CallEnd> {
        self.check_moved()?;
        counters::add(&self.shared.counters.feed_calls, 1);
        let socket = self.connect()?;
        let mut parser = EventStreamParser::new(self.shared.limits.max_feed_event_bytes);
        loop {
            while let Some(item) = parser.next_item()? {
                match item {
                    StreamItem::Connected => self.mark_up(),
                    StreamItem::Event { id, data } => self.on_event(id, &data)?,
                    StreamItem::Comment(_) => {}
                }
            }
            if !self.read(&mut parser, &socket)? {
                return Ok(parser.finish()?);
            }
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let (feed, limits) = (self.feeds.current(), &self.shared.limits);
        let socket = TcpStream::connect_timeout(&feed, Duration::from_nanos(limits.connect_timeout))?;
        socket.set_read_timeout(Some(limits.feed_poll_interval))?;
        socket.set_write_timeout(Some(limits.feed_silence_timeout))?;
        (&socket).write_all(events_request(feed, self.cursor.last_number()).as_bytes())?;
        Ok(socket)
    }

    /// Reads more; false at the end. Silence past its time is an error, and so is a move.
    fn read(&mut self, parser: &mut EventStreamParser, mut socket: &TcpStream) -> Result<bool, CallEnd> {
        let (began, mut bytes) = (Instant::now(), [0; READ_LENGTH]);
        loop {
            self.reporter.report_if_due(self.feeds.current());
            self.check_moved()?;
            match socket.read(&mut bytes) {
                Err(e) if is_would_block(&e) => {
                    if began.elapsed() >= self.shared.limits.feed_silence_timeout {
                        return Err(CallEnd::Failed(CallError::Silent));
                    }
                }
                Err(e) => return Err(e.into()),
                Ok(0) => return Ok(false),
                Ok(count) => {
                    parser.push(&bytes[..count]);
                    return Ok(true);
                }
            }
        }
    }

    /// Takes one event in, unless it is a repeat or others are missing before it.
    fn on_event(&mut self, id: Option<u64>, data: &str) -> Result<(), CallEnd> {
        match self.cursor.classify(id, parse_event(data)) {
            EventVerdict::New(event) => self.pass_on(event),
            EventVerdict::Duplicate => Ok(()),
            EventVerdict::Resubscribe(reason) => {
                counters::add(&self.shared.counters.feed_gaps, 1);
                Err(CallEnd::RetryEvent(reason.to_string()))
            }
            EventVerdict::Skip { number, reason } => {
                counters::add(&self.shared.counters.feed_skipped, 1);
                tracing::warn!("feed skipped n={number}: {reason}");
                Ok(())
            }
        }
    }
}

fn parse_event(data: &str) -> Result<(u64, DiscoveryEvent), String> {
    let value: Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
    let event = NumberedEvent::from_json(&value).map_err(|e| e.to_string())?;
    Ok((event.number, event.event))
}
