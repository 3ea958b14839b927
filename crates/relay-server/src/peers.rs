//! Threads that do blocking I/O with other processes on behalf of the event loop: one for each other voter, one that
//! follows the upstream, and one that forwards subscribers' reports.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use sablecross_discovery::{EventStreamParser, StreamError, StreamItem};
use sablecross_relay::{PeerReply, PeerRequest};
use thiserror::Error;

use crate::peer_client::{CallError, PeerClient};

/// How many calls may be queued for one voter. Further calls are dropped; the relay repeats those that matter.
const CALL_QUEUE_CAPACITY: usize = 16;
/// How many reports may be queued to be forwarded.
const REPORT_QUEUE_CAPACITY: usize = 64;
const MAX_REPORT_RESPONSE_BYTES: usize = 4_096;
/// How often the follower checks for a new subscription while it reads a stream.
const SUBSCRIPTION_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next subscription after one that failed, or that within this time was replaced or ended without any
/// item.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const THREAD_STACK_BYTES: usize = 256 << 10;
const READ_CHUNK_BYTES: usize = 16_384;

/// An event that a thread reports to the event loop.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    /// A voter has replied to a call.
    PeerReplied { voter: u32, call_id: u64, reply: Box<PeerReply> },
    /// The upstream has sent items on the stream of this subscription.
    UpstreamItems { subscription_id: u64, items: Vec<StreamItem> },
    /// The stream of this subscription has ended, with an error if it broke.
    UpstreamEnded { subscription_id: u64, result: Result<(), UpstreamError> },
    /// The upstream has accepted the report that came in on this connection, or has rejected it or not responded.
    ReportForwarded { connection: usize, is_accepted: bool },
    /// The process was asked to stop.
    Stop,
    /// The process was asked to log its status.
    LogStatus,
}

/// Sends events to the event loop and wakes it up.
#[derive(Clone)]
pub(crate) struct Inbox {
    pub(crate) sender: Sender<ServerEvent>,
    pub(crate) waker: Arc<Waker>,
}

impl Inbox {
    /// Sends an event and wakes the event loop. Returns false if the event loop has ended or could not be woken.
    pub(crate) fn send(&self, event: ServerEvent) -> bool {
        // If only the wake-up fails, the event loop handles the event on its next tick.
        self.sender.send(event).is_ok() && self.waker.wake().is_ok()
    }
}

/// Starts a detached thread with a small stack.
pub(crate) fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name).stack_size(THREAD_STACK_BYTES).spawn(run).map(drop)
}

/// Why a call to a voter failed.
#[derive(Debug, Error)]
enum VoterCallError {
    #[error("encoding the call failed: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("response status {0}: {1}")]
    Status(u16, String),
    #[error("decoding the reply failed: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// A call that is queued for a voter.
#[derive(Debug)]
pub(crate) struct QueuedCall {
    pub(crate) call_id: u64,
    pub(crate) request: PeerRequest,
}

/// Starts a thread that sends calls to one voter. The reply to a call is reported as [`ServerEvent::PeerReplied`];
/// a call that fails is not reported.
pub(crate) fn spawn_caller(
    voter: u32,
    address: SocketAddr,
    timeout: Duration,
    max_reply_bytes: usize,
    inbox: Inbox,
) -> std::io::Result<Sender<QueuedCall>> {
    let (sender, calls) = bounded::<QueuedCall>(CALL_QUEUE_CAPACITY);
    spawn(format!("voter-{voter}"), move || {
        let mut client = PeerClient::new(address, timeout, max_reply_bytes);
        let mut is_failing = false;
        for QueuedCall { call_id, request } in &calls {
            match call_voter(&mut client, &request) {
                Ok(reply) => {
                    if std::mem::take(&mut is_failing) {
                        tracing::info!("relay voter up voter={voter} at={address}");
                    }
                    if !inbox.send(ServerEvent::PeerReplied { voter, call_id, reply: Box::new(reply) }) {
                        return;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        tracing::warn!("relay voter lost voter={voter} at={address}: {error}");
                    }
                    // Calls that were queued during the failed one are outdated.
                    calls.try_iter().for_each(drop);
                }
            }
        }
    })?;
    Ok(sender)
}

fn call_voter(client: &mut PeerClient, request: &PeerRequest) -> Result<PeerReply, VoterCallError> {
    let body = rmp_serde::to_vec(request)?;
    let response = client.request("POST", "/v1/relay", "", &body)?;
    if response.code != 200 {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        return Err(VoterCallError::Status(response.code, text));
    }
    Ok(rmp_serde::from_slice(&response.body)?)
}

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

/// Reads the event streams of upstreams for the event loop. A new subscription replaces the open one.
pub(crate) struct UpstreamFollower {
    /// Number of this relay, sent to the upstream.
    pub(crate) relay_number: u32,
    /// The stream fails if the upstream sends nothing for longer than this.
    pub(crate) silence_timeout: Duration,
    /// Largest event in bytes.
    pub(crate) max_event_bytes: usize,
    pub(crate) subscriptions: Receiver<UpstreamSubscription>,
    pub(crate) inbox: Inbox,
}

/// Why the stream from an upstream broke.
#[derive(Debug, Error)]
pub(crate) enum UpstreamError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
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

impl UpstreamFollower {
    /// Serves subscriptions until the event loop has ended.
    pub(crate) fn run(self) {
        let mut next = self.subscriptions.recv().ok();
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
            if !self.inbox.send(ServerEvent::UpstreamEnded { subscription_id: subscription.id, result }) {
                return;
            }
            next = self.subscriptions.recv().ok();
        }
    }

    /// Reads the stream of one subscription to its end and counts the items in `item_count`.
    fn read_stream(
        &self,
        subscription: UpstreamSubscription,
        item_count: &mut usize,
    ) -> Result<StreamEnd, UpstreamError> {
        let mut stream = self.connect(subscription)?;
        let mut parser = EventStreamParser::new(self.max_event_bytes);
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut last_read = Instant::now();
        loop {
            if let Ok(replacement) = self.subscriptions.try_recv() {
                return Ok(StreamEnd::Replaced(replacement));
            }
            match stream.read(&mut chunk) {
                Ok(0) => {
                    parser.finish()?;
                    return Ok(StreamEnd::Completed);
                }
                Ok(n) => {
                    last_read = Instant::now();
                    parser.push(&chunk[..n]);
                    if let Some(end) = self.forward_items(subscription.id, &mut parser, item_count)? {
                        return Ok(end);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if last_read.elapsed() > self.silence_timeout {
                        return Err(UpstreamError::Silent);
                    }
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn connect(&self, subscription: UpstreamSubscription) -> std::io::Result<TcpStream> {
        let mut stream =
            TcpStream::connect_timeout(&subscription.address, self.silence_timeout.min(MAX_CONNECT_TIMEOUT))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(SUBSCRIPTION_POLL_INTERVAL))?;
        stream.set_write_timeout(Some(self.silence_timeout))?;
        stream.write_all(self.request(subscription).as_bytes())?;
        Ok(stream)
    }

    /// Builds the request for events, with the headers that identify the caller as a relay.
    fn request(&self, subscription: UpstreamSubscription) -> String {
        let applied =
            subscription.applied_number.map_or(String::new(), |n| format!("Sablecross-In-Force: {n}\r\n"));
        let headers = format!("\r\nSablecross-Relay: {}\r\n{applied}\r\n", self.relay_number);
        sablecross_discovery::events_request(subscription.address, subscription.after)
            .replacen("\r\n\r\n", &headers, 1)
    }

    /// Sends all complete items to the event loop. Returns how the stream ended, if it did.
    fn forward_items(
        &self,
        subscription_id: u64,
        parser: &mut EventStreamParser,
        item_count: &mut usize,
    ) -> Result<Option<StreamEnd>, StreamError> {
        let (items, error) = parse_complete_items(parser);
        *item_count += items.len();
        if !items.is_empty() && !self.inbox.send(ServerEvent::UpstreamItems { subscription_id, items }) {
            return Ok(Some(StreamEnd::EventLoopEnded));
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

/// A subscriber's report of the hierarchy that it has applied, to be forwarded to the upstream.
#[derive(Debug)]
pub(crate) struct AppliedReport {
    /// Token of the connection that the report came in on.
    pub(crate) connection: usize,
    pub(crate) upstream: SocketAddr,
    pub(crate) body: Vec<u8>,
}

/// Starts a thread that forwards reports. Each is sent once, as subscribers repeat a report until it is accepted.
pub(crate) fn spawn_forwarder(timeout: Duration, inbox: Inbox) -> std::io::Result<Sender<AppliedReport>> {
    let (sender, reports) = bounded::<AppliedReport>(REPORT_QUEUE_CAPACITY);
    spawn("reports".into(), move || {
        for AppliedReport { connection, upstream, body } in &reports {
            let headers = "Content-Type: application/json\r\nConnection: close\r\n";
            let mut client = PeerClient::new(upstream, timeout, MAX_REPORT_RESPONSE_BYTES);
            let response = client.request("POST", "/v1/hierarchy/in-force", headers, &body);
            let is_accepted = response.is_ok_and(|response| response.code / 100 == 2);
            if !inbox.send(ServerEvent::ReportForwarded { connection, is_accepted }) {
                return;
            }
        }
    })?;
    Ok(sender)
}
