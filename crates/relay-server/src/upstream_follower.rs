//! The thread that reads the event streams of upstreams for the event loop.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use sablecross_discovery::{CallState, EventStreamParser, StreamError, StreamItem, WaitingCall};
use thiserror::Error;

use crate::peers::{Inbox, ServerEvent};

/// How often the follower checks for a new subscription while it reads a stream.
const SUBSCRIPTION_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next subscription after one that failed, or that within this time was replaced or ended without any
/// item.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How many times the silence timeout a call that its upstream has not accepted is kept at first, while others are made.
const PATIENCE_FACTOR: u32 = 4;
const READ_CHUNK_BYTES: usize = 16_384;

/// A subscription to an upstream's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamSubscription {
    /// Identifies the subscription in events to the event loop.
    pub(crate) id: u64,
    pub(crate) address: SocketAddr,
    /// The stream starts after the event with this number.
    pub(crate) after: u64,
    /// The number that this relay and all its subscribers have applied, if it is sent in a header of its own.
    pub(crate) applied_number: Option<u64>,
}

/// The settings of [`UpstreamFollower`], and its connections to the event loop.
pub(crate) struct UpstreamFollowerConfig {
    /// Number of this relay, sent to the upstream.
    pub(crate) relay_number: u32,
    /// The stream fails if the upstream sends nothing for longer than this.
    pub(crate) silence_timeout: Duration,
    /// Largest event in bytes.
    pub(crate) max_event_bytes: usize,
    pub(crate) subscriptions: Receiver<UpstreamSubscription>,
    pub(crate) inbox: Inbox,
}

/// Reads the event streams of upstreams for the event loop. A new subscription replaces the open one.
pub(crate) struct UpstreamFollower {
    config: UpstreamFollowerConfig,
    /// A call that its upstream had not accepted when it was silent for too long. It is taken up if the upstream answers it
    /// while there is a subscription to the same events.
    waiting_call: WaitingCall<UpstreamCall>,
}

/// Why the stream from an upstream broke.
#[derive(Debug, Error)]
pub(crate) enum UpstreamError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("nothing received in time")]
    Silent,
}

/// How the stream from an upstream ended, if it did not fail.
enum StreamEnd {
    Completed,
    /// A new subscription replaces this one.
    Replaced(UpstreamSubscription),
    /// The event loop has ended.
    EventLoopEnded,
}

/// One call of an upstream.
struct UpstreamCall {
    address: SocketAddr,
    after: u64,
    stream: TcpStream,
    parser: EventStreamParser,
    began_at: Instant,
}

/// The result of one read.
enum UpstreamRead {
    Received,
    /// No bytes came within `SUBSCRIPTION_POLL_INTERVAL`, or none are there if the call is set aside.
    Nothing,
    /// The upstream has closed the connection.
    End,
}

impl UpstreamCall {
    fn read(&mut self) -> io::Result<UpstreamRead> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(UpstreamRead::End),
            Ok(n) => {
                self.parser.push(&chunk[..n]);
                Ok(UpstreamRead::Received)
            }
            Err(e) => match e.kind() {
                ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut => {
                    Ok(UpstreamRead::Nothing)
                }
                _ => Err(e),
            },
        }
    }

    /// Reads a call that was set aside. One that is answered is taken up again.
    fn check(&mut self) -> CallState {
        match self.read() {
            Ok(UpstreamRead::Nothing) => CallState::Waiting,
            Ok(UpstreamRead::Received) if self.stream.set_nonblocking(false).is_ok() => CallState::Answered,
            _ => CallState::Lost,
        }
    }

    fn is_for(&self, subscription: UpstreamSubscription) -> bool {
        (self.address, self.after) == (subscription.address, subscription.after)
    }
}

impl UpstreamFollower {
    pub(crate) fn new(config: UpstreamFollowerConfig) -> UpstreamFollower {
        let waiting_call = WaitingCall::new(PATIENCE_FACTOR * config.silence_timeout);
        UpstreamFollower { config, waiting_call }
    }

    /// Serves subscriptions until the event loop has ended.
    pub(crate) fn run(mut self) {
        let mut next = self.config.subscriptions.recv().ok();
        while let Some(subscription) = next.take() {
            let begun = Instant::now();
            let mut item_count = 0;
            let result = match self.read_stream(subscription, &mut item_count) {
                Ok(StreamEnd::EventLoopEnded) => return,
                Ok(StreamEnd::Replaced(replacement)) => {
                    if begun.elapsed() < RETRY_DELAY {
                        std::thread::sleep(RETRY_DELAY);
                    }
                    next = Some(replacement);
                    continue;
                }
                Ok(StreamEnd::Completed) => Ok(()),
                Err(error) => Err(error),
            };
            // An upstream that fails or ends streams at once must not cause a busy loop.
            if result.is_err() || (item_count == 0 && begun.elapsed() < RETRY_DELAY) {
                std::thread::sleep(RETRY_DELAY);
            }
            let ended = ServerEvent::UpstreamEnded { subscription_id: subscription.id, result };
            if !self.config.inbox.send(ended) {
                return;
            }
            next = self.config.subscriptions.recv().ok();
        }
    }

    /// Reads the stream of one subscription to its end and counts the items in `item_count`.
    fn read_stream(
        &mut self,
        subscription: UpstreamSubscription,
        item_count: &mut usize,
    ) -> Result<StreamEnd, UpstreamError> {
        let mut call = self.connect(subscription)?;
        let mut last_read = Instant::now();
        loop {
            if let Ok(replacement) = self.config.subscriptions.try_recv() {
                return Ok(StreamEnd::Replaced(replacement));
            }
            let mut has_received = match call.read()? {
                UpstreamRead::Received => true,
                UpstreamRead::Nothing => false,
                UpstreamRead::End => {
                    call.parser.finish()?;
                    return Ok(StreamEnd::Completed);
                }
            };
            if let Some(answered) = self.take_answered_call(subscription) {
                (call, has_received) = (answered, true);
            }
            if has_received {
                last_read = Instant::now();
                if let Some(end) = self.forward_items(subscription.id, &mut call.parser, item_count)? {
                    return Ok(end);
                }
            } else if last_read.elapsed() > self.config.silence_timeout {
                if *item_count == 0 {
                    self.set_aside(call);
                }
                return Err(UpstreamError::Silent);
            }
        }
    }

    fn set_aside(&mut self, call: UpstreamCall) {
        if call.stream.set_nonblocking(true).is_ok() {
            let began_at = call.began_at;
            self.waiting_call.set_aside(call, began_at, Instant::now());
        }
    }

    /// Takes up the call that was set aside, if it asks for the events of the subscription and is answered.
    fn take_answered_call(&mut self, subscription: UpstreamSubscription) -> Option<UpstreamCall> {
        self.waiting_call
            .take_answered(|call| if call.is_for(subscription) { call.check() } else { CallState::Waiting })
    }

    fn connect(&self, subscription: UpstreamSubscription) -> io::Result<UpstreamCall> {
        let began_at = Instant::now();
        let timeout = self.config.silence_timeout;
        let mut stream = TcpStream::connect_timeout(&subscription.address, timeout.min(MAX_CONNECT_TIMEOUT))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(SUBSCRIPTION_POLL_INTERVAL))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(self.request(subscription).as_bytes())?;
        let parser = EventStreamParser::new(self.config.max_event_bytes);
        let UpstreamSubscription { address, after, .. } = subscription;
        Ok(UpstreamCall { address, after, stream, parser, began_at })
    }

    /// Builds the request for events, with the headers that identify the caller as a relay.
    fn request(&self, subscription: UpstreamSubscription) -> String {
        let applied =
            subscription.applied_number.map_or(String::new(), |n| format!("Sablecross-In-Force: {n}\r\n"));
        let headers = format!("\r\nSablecross-Relay: {}\r\n{applied}\r\n", self.config.relay_number);
        sablecross_discovery::events_request(subscription.address, subscription.after)
            .replacen("\r\n\r\n", &headers, 1)
    }

    /// Sends all complete items to the event loop. Returns how the stream ended, if it did.
    fn forward_items(
        &mut self,
        subscription_id: u64,
        parser: &mut EventStreamParser,
        item_count: &mut usize,
    ) -> Result<Option<StreamEnd>, StreamError> {
        let (items, error) = parse_complete_items(parser);
        *item_count += items.len();
        if !items.is_empty() {
            self.waiting_call.reset();
            let event = ServerEvent::UpstreamItems { subscription_id, items };
            if !self.config.inbox.send(event) {
                return Ok(Some(StreamEnd::EventLoopEnded));
            }
        }
        match error {
            None => Ok(None),
            Some(StreamError::Ended) => Ok(Some(StreamEnd::Completed)),
            Some(error) => Err(error),
        }
    }
}

/// Returns all complete items, and the error in the input after them, if any.
fn parse_complete_items(parser: &mut EventStreamParser) -> (Vec<StreamItem>, Option<StreamError>) {
    let mut items = Vec::new();
    loop {
        match parser.next_item() {
            Ok(Some(item)) => items.push(item),
            Ok(None) => return (items, None),
            Err(error) => return (items, Some(error)),
        }
    }
}
