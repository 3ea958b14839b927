//! The client of discovery's event stream: numbered events over HTTP, each applied once and in order. This module does the
//! socket I/O; `sablecross-discovery` parses the stream, decides which events are new and selects the feed.

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
use crate::os_error::is_retryable;
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

/// The size of one read from the stream.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The feeds and events of a reloaded configuration, which may be the same as before.
pub(crate) struct FeedChange {
    /// The feeds, with the home feed first.
    pub feeds: Vec<SocketAddr>,
    /// The events that the new configuration contains.
    pub known: KnownEvents,
}

/// Why a call of a feed failed.
#[derive(Debug, Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// No data came for `feed_silence_timeout`.
    #[error("silent")]
    Silent,
}

/// Why a call ended.
enum CallEnd {
    /// The call failed or the stream was interrupted: another feed is called, if there is one.
    Failed(CallError),
    /// An event is missing or unreadable: the feed is called again from the last applied event.
    Resubscribe(String),
    /// The feed closed the stream, which is normal at any time.
    Ended,
    /// The configuration was reloaded: its home feed is called.
    FeedsChanged(FeedChange),
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

/// Follows the event stream and passes its events to the dispatcher.
pub(crate) struct DiscoveryClient {
    shared: Arc<SharedContext>,
    cursor: EventCursor,
    feeds: FeedSelector,
    feed_changes: Receiver<FeedChange>,
    reporter: AppliedVersionReporter,
    /// Whether no call has failed, and no event was missing or unreadable, since the last connect. Only changes of this
    /// are logged; it begins as true, so that a failure of the first call is logged.
    is_up: bool,
    /// Whether any call has succeeded.
    has_been_up: bool,
}

impl DiscoveryClient {
    /// Creates a client that follows the selected feed, beginning after the event with the number `after`.
    pub(crate) fn new(
        director_name: String,
        feeds: FeedSelector,
        after: u64,
        feed_changes: Receiver<FeedChange>,
        applied_versions: Receiver<AppliedVersion>,
        shared: Arc<SharedContext>,
    ) -> DiscoveryClient {
        DiscoveryClient {
            cursor: EventCursor::after_number(after),
            feeds,
            feed_changes,
            reporter: AppliedVersionReporter::new(director_name, applied_versions, Arc::clone(&shared)),
            is_up: true,
            has_been_up: false,
            shared,
        }
    }

    /// Follows the event stream until the dispatcher is gone.
    pub(crate) fn run(mut self) {
        let began = Instant::now();
        loop {
            let (call_began, last_before) = (Instant::now(), self.cursor.last_number());
            match self.call().err().unwrap_or(CallEnd::Ended) {
                CallEnd::DispatcherGone => return,
                CallEnd::FeedsChanged(feed_change) => {
                    if self.apply_feed_change(feed_change).is_err() {
                        return;
                    }
                    continue;
                }
                // Relays close streams routinely, so the feed counts as down only if the next call fails.
                CallEnd::Ended => {
                    tracing::debug!("feed ended after={}", self.cursor.last_number());
                    self.feeds.on_stream_ended(began.elapsed());
                }
                CallEnd::Resubscribe(reason) => self.mark_down(&reason),
                CallEnd::Failed(error) => {
                    self.mark_down(&error.to_string());
                    self.feeds.on_failed(began.elapsed());
                }
            }
            // The feed is called again at once, except after a call that ended early without a new event: the delay keeps
            // this from becoming a busy loop.
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

    /// Switches to the new feeds. Event numbers continue across feeds, so of the events in the new configuration only
    /// those after the last applied one are new.
    fn apply_feed_change(&mut self, feed_change: FeedChange) -> Result<(), CallEnd> {
        let Some((home, others)) = feed_change.feeds.split_first() else { return Ok(()) };
        let from = self.feeds.current();
        tracing::info!("feed moved after={} from={from} to={home}", self.cursor.last_number());
        self.feeds = FeedSelector::new(self.reporter.director_name(), *home, others);
        for event in feed_change.known.events {
            if self.cursor.advance_if_next(event.number) {
                self.forward(event.event)?;
            }
        }
        Ok(())
    }

    fn forward(&mut self, event: DiscoveryEvent) -> Result<(), CallEnd> {
        self.shared.events.send(Event::Discovery(event)).map_err(|_| CallEnd::DispatcherGone)
    }

    /// Fails with `CallEnd::FeedsChanged` if the configuration was reloaded.
    fn check_feed_change(&self) -> Result<(), CallEnd> {
        self.feed_changes.try_recv().map_or(Ok(()), |feed_change| Err(CallEnd::FeedsChanged(feed_change)))
    }

    /// Opens one connection to the feed and reads it until its end.
    fn call(&mut self) -> Result<(), CallEnd> {
        self.check_feed_change()?;
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

    /// Reads more bytes of the stream; false at its end. Fails if no data comes for `feed_silence_timeout`, or if the
    /// configuration was reloaded. Sends pending reports of the applied version while it waits.
    fn read(&mut self, parser: &mut EventStreamParser, mut socket: &TcpStream) -> Result<bool, CallEnd> {
        let (began, mut bytes) = (Instant::now(), [0; READ_BUFFER_BYTES]);
        loop {
            self.reporter.report_if_due(self.feeds.current());
            self.check_feed_change()?;
            match socket.read(&mut bytes) {
                Err(e) if is_retryable(&e) => {
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

    /// Passes one event to the dispatcher, unless it is a duplicate, can't be read or follows a gap.
    fn on_event(&mut self, id: Option<u64>, data: &str) -> Result<(), CallEnd> {
        match self.cursor.classify(id, parse_event(data)) {
            EventVerdict::New(event) => self.forward(event),
            EventVerdict::Duplicate => Ok(()),
            EventVerdict::Resubscribe(reason) => {
                counters::add(&self.shared.counters.feed_gaps, 1);
                Err(CallEnd::Resubscribe(reason.to_string()))
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
