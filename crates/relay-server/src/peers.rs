//! Threads that wait for other processes, so that the event loop never does: one for each voter that is called, one
//! that follows the upstream, one that forwards subscribers' reports.

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

/// Calls that wait for one voter; further ones are dropped, and the relay sends what matters again.
const CALL_QUEUE: usize = 16;
/// Reports that wait to be forwarded.
const REPORT_QUEUE: usize = 64;
const MAX_REPORT_RESPONSE_BYTES: usize = 4_096;
/// How often the follower looks for another order.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two calls of upstreams, after one that brought nothing.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const STACK_BYTES: usize = 256 << 10;
const READ_CHUNK: usize = 16_384;

/// What threads report to the event loop.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    /// A voter has answered.
    PeerReplied { voter: u32, call_id: u64, reply: Box<PeerReply> },
    /// The upstream has sent something, on the call with this number.
    UpstreamItems { call: u64, items: Vec<StreamItem> },
    /// The call is over; an error if its stream broke.
    UpstreamEnded { call: u64, result: Result<(), UpstreamError> },
    /// The report of the subscriber at this connection was forwarded.
    ReportForwarded { connection: usize, is_accepted: bool },
    /// The process is to stop.
    Stop,
    /// The status is to be logged.
    LogStatus,
}

/// The event loop's inbox.
#[derive(Clone)]
pub(crate) struct Inbox {
    pub(crate) to: Sender<ServerEvent>,
    pub(crate) waker: Arc<Waker>,
}

impl Inbox {
    /// False once the loop is gone.
    pub(crate) fn send(&self, event: ServerEvent) -> bool {
        // If the wake-up fails, the loop looks at its next tick.
        self.to.send(event).is_ok() && self.waker.wake().is_ok()
    }
}

/// Starts a thread with a small stack.
pub(crate) fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name).stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Why a voter's answer can't be used.
#[derive(Debug, Error)]
enum PeerError {
    #[error("the call can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("answer {0}: {1}")]
    Status(u16, String),
    #[error("its answer can't be read: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// A call that waits for its voter.
#[derive(Debug)]
pub(crate) struct QueuedCall {
    pub(crate) call_id: u64,
    pub(crate) request: PeerRequest,
}

/// Starts a thread that calls one voter: what is sent to it comes back as [`ServerEvent::PeerReplied`], or not at
/// all.
pub(crate) fn spawn_caller(
    voter: u32,
    address: SocketAddr,
    timeout: Duration,
    max_reply_bytes: usize,
    inbox: Inbox,
) -> std::io::Result<Sender<QueuedCall>> {
    let (sender, calls) = bounded::<QueuedCall>(CALL_QUEUE);
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
                    // What has waited meanwhile is old.
                    calls.try_iter().for_each(drop);
                }
            }
        }
    })?;
    Ok(sender)
}

fn call_voter(client: &mut PeerClient, request: &PeerRequest) -> Result<PeerReply, PeerError> {
    let body = rmp_serde::to_vec(request)?;
    let response = client.request("POST", "/v1/relay", "", &body)?;
    if response.code != 200 {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        return Err(PeerError::Status(response.code, text));
    }
    Ok(rmp_serde::from_slice(&response.body)?)
}

/// A call of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamOrder {
    /// Number of the call.
    pub(crate) call: u64,
    pub(crate) address: SocketAddr,
    /// Events after this number are asked for.
    pub(crate) after: u64,
    /// What this relay and all its subscribers have applied, if that is sent apart.
    pub(crate) applied_number: Option<u64>,
}

/// Follows upstreams for the event loop. A new order ends the call that is open.
pub(crate) struct Follower {
    /// The number by which upstreams know this relay.
    pub(crate) relay: u32,
    /// An upstream that sends nothing for so long is left.
    pub(crate) silence: Duration,
    /// The longest event.
    pub(crate) max_bytes: usize,
    pub(crate) orders: Receiver<UpstreamOrder>,
    pub(crate) inbox: Inbox,
}

/// Why the stream of an upstream broke.
#[derive(Debug, Error)]
pub(crate) enum UpstreamError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("silent")]
    Silent,
}

/// How a call of an upstream ended, if it didn't fail.
enum CallEnd {
    Clean,
    /// There is another order.
    Replaced(UpstreamOrder),
    /// The event loop is gone.
    LoopGone,
}

impl Follower {
    /// Runs until the event loop is gone.
    pub(crate) fn follow(self) {
        let mut next = self.orders.recv().ok();
        while let Some(order) = next.take() {
            let begun = Instant::now();
            let mut item_count = 0;
            let result = match self.call(order, &mut item_count) {
                Ok(CallEnd::LoopGone) => return,
                Ok(CallEnd::Replaced(later)) => {
                    if begun.elapsed() < RETRY_DELAY {
                        std::thread::sleep(RETRY_DELAY);
                    }
                    next = Some(later);
                    continue;
                }
                Ok(CallEnd::Clean) => Ok(()),
                Err(error) => Err(error),
            };
            // No loop without a delay.
            if result.is_err() || (item_count == 0 && begun.elapsed() < RETRY_DELAY) {
                std::thread::sleep(RETRY_DELAY);
            }
            if !self.inbox.send(ServerEvent::UpstreamEnded { call: order.call, result }) {
                return;
            }
            next = self.orders.recv().ok();
        }
    }

    /// Reads the stream of one call to its end, and counts what came.
    fn call(&self, order: UpstreamOrder, item_count: &mut usize) -> Result<CallEnd, UpstreamError> {
        let mut stream = self.connect(order)?;
        let mut parser = EventStreamParser::new(self.max_bytes);
        let mut chunk = [0; READ_CHUNK];
        let mut last_read = Instant::now();
        loop {
            if let Ok(later) = self.orders.try_recv() {
                return Ok(CallEnd::Replaced(later));
            }
            match stream.read(&mut chunk) {
                Ok(0) => {
                    parser.finish()?;
                    return Ok(CallEnd::Clean);
                }
                Ok(n) => {
                    last_read = Instant::now();
                    parser.push(&chunk[..n]);
                    if let Some(end) = self.report_items(order.call, &mut parser, item_count)? {
                        return Ok(end);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if last_read.elapsed() > self.silence {
                        return Err(UpstreamError::Silent);
                    }
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn connect(&self, order: UpstreamOrder) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&order.address, self.silence.min(MAX_CONNECT_TIMEOUT))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ORDER_POLL_INTERVAL))?;
        stream.set_write_timeout(Some(self.silence))?;
        stream.write_all(self.request(order).as_bytes())?;
        Ok(stream)
    }

    /// The request for events, with the headers by which upstreams know a relay.
    fn request(&self, order: UpstreamOrder) -> String {
        let applied = order.applied_number.map_or(String::new(), |n| format!("Sablecross-In-Force: {n}\r\n"));
        let headers = format!("\r\nSablecross-Relay: {}\r\n{applied}\r\n", self.relay);
        sablecross_discovery::events_request(order.address, order.after).replacen("\r\n\r\n", &headers, 1)
    }

    /// Reports all that has come in full; returns how the call ends, if it does.
    fn report_items(
        &self,
        call: u64,
        parser: &mut EventStreamParser,
        item_count: &mut usize,
    ) -> Result<Option<CallEnd>, StreamError> {
        let (items, error) = complete_items(parser);
        *item_count += items.len();
        if !items.is_empty() && !self.inbox.send(ServerEvent::UpstreamItems { call, items }) {
            return Ok(Some(CallEnd::LoopGone));
        }
        match error {
            None => Ok(None),
            Some(StreamError::Ended) => Ok(Some(CallEnd::Clean)),
            Some(error) => Err(error),
        }
    }
}

/// All that has come in full, and what is wrong with what follows.
fn complete_items(parser: &mut EventStreamParser) -> (Vec<StreamItem>, Option<StreamError>) {
    let mut items = Vec::new();
    loop {
        match parser.next_item() {
            Ok(Some(item)) => items.push(item),
            Ok(None) => return (items, None),
            Err(error) => return (items, Some(error)),
        }
    }
}

/// A subscriber's report of the hierarchy that it has applied, to be forwarded.
#[derive(Debug)]
pub(crate) struct AppliedReport {
    /// The connection that it came by.
    pub(crate) connection: usize,
    pub(crate) upstream: SocketAddr,
    pub(crate) body: Vec<u8>,
}

/// Starts a thread that forwards reports, each once: subscribers repeat one until it is accepted.
pub(crate) fn spawn_forwarder(timeout: Duration, inbox: Inbox) -> std::io::Result<Sender<AppliedReport>> {
    let (sender, reports) = bounded::<AppliedReport>(REPORT_QUEUE);
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
