//! The client of discovery's event stream: numbered events over HTTP, each applied once and in order. This module does the
//! socket I/O; `sablecross-discovery` parses the stream, decides which events are new and selects the feed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::Receiver;
use sablecross_discovery::{
    CallState, EventCursor, EventVerdict, FeedSelector, StreamError, StreamItem, WaitingCall,
};
use serde_json::Value;
use thiserror::Error;

use super::applied_version_reporter::AppliedVersionReporter;
use super::feed_call::{FeedCall, FeedRead};
use crate::counters;
use crate::discovery_event::{DiscoveryEvent, KnownEvents, NumberedEvent};
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

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
    /// A call that waits for its turn at its feed and was set aside, because the feed has not accepted it in time. Other
    /// calls are made beside it. The first of them that is answered is followed.
    waiting_call: WaitingCall<FeedCall>,
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
            waiting_call: WaitingCall::new(shared.limits.feed_call_patience),
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
        self.waiting_call.reset();
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
        self.waiting_call.reset();
        for event in feed_change.known.events {
            if self.cursor.advance_if_next(event.number) {
                self.forward(event.event)?;
            }
        }
        Ok(())
    }

    fn forward(&mut self, event: DiscoveryEvent) -> Result<(), CallEnd> {
        self.shared.discovery_events.send(event).map_err(|_| CallEnd::DispatcherGone)
    }

    /// Fails with `CallEnd::FeedsChanged` if the configuration was reloaded.
    fn check_feed_change(&self) -> Result<(), CallEnd> {
        self.feed_changes.try_recv().map_or(Ok(()), |feed_change| Err(CallEnd::FeedsChanged(feed_change)))
    }

    /// Calls the feed and follows it until the end of the stream.
    fn call(&mut self) -> Result<(), CallEnd> {
        self.check_feed_change()?;
        let mut call = match self.take_answered_call() {
            Some(answered) => answered,
            None => self.open_call()?,
        };
        loop {
            while let Some(item) = call.next_item()? {
                match item {
                    StreamItem::Connected => self.mark_up(),
                    StreamItem::Event { id, data } => self.on_event(id, &data)?,
                    StreamItem::Comment(_) => {}
                }
            }
            match self.wait_for_bytes(&mut call) {
                Ok(true) => {}
                Ok(false) => return Ok(call.finish()?),
                Err(CallEnd::Failed(CallError::Silent)) if !call.is_accepted() => {
                    self.set_aside(call);
                    return Err(CallEnd::Failed(CallError::Silent));
                }
                Err(end) => return Err(end),
            }
        }
    }

    fn open_call(&self) -> io::Result<FeedCall> {
        counters::add(&self.shared.counters.feed_calls, 1);
        FeedCall::open(self.feeds.current(), self.cursor.last_number(), &self.shared.limits)
    }

    /// Sets aside a call that waits for its turn.
    fn set_aside(&mut self, call: FeedCall) {
        if call.set_aside(true).is_ok() {
            let began_at = call.began_at();
            self.waiting_call.set_aside(call, began_at, Instant::now());
        }
    }

    /// Takes up the call that was set aside, if its feed has sent something.
    fn take_answered_call(&mut self) -> Option<FeedCall> {
        let call = self.waiting_call.take_answered(|call| match call.read() {
            Ok(FeedRead::Nothing) => CallState::Waiting,
            Ok(FeedRead::Received) if call.set_aside(false).is_ok() => CallState::Answered,
            _ => CallState::Lost,
        })?;
        counters::add(&self.shared.counters.feed_late_answers, 1);
        let waited_ms = call.began_at().elapsed().as_millis();
        tracing::info!("feed late from={} waited_ms={waited_ms}", call.feed());
        self.feeds.on_late_answer(call.feed());
        Some(call)
    }

    /// Waits for more bytes of the stream; false at its end. If the call that was set aside is answered first, that one
    /// takes the place of `call`. Sends pending reports of the applied version meanwhile.
    ///
    /// Fails if no data comes for `feed_silence_timeout`, or if the configuration was reloaded.
    fn wait_for_bytes(&mut self, call: &mut FeedCall) -> Result<bool, CallEnd> {
        let began = Instant::now();
        loop {
            self.reporter.report_if_due(self.feeds.current());
            self.check_feed_change()?;
            match call.read()? {
                FeedRead::Received => return Ok(true),
                FeedRead::End => return Ok(false),
                FeedRead::Nothing => {}
            }
            if let Some(answered) = self.take_answered_call() {
                *call = answered;
                return Ok(true);
            }
            if began.elapsed() >= self.shared.limits.feed_silence_timeout {
                return Err(CallEnd::Failed(CallError::Silent));
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
