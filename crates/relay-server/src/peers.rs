//! Threads that do blocking I/O with other processes on behalf of the event loop: one for each other voter, one that
//! follows the upstream (`upstream_follower.rs`), and one that forwards subscribers' reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use mio::Waker;
use sablecross_discovery::StreamItem;
use sablecross_relay::{PeerReply, PeerRequest};
use thiserror::Error;

use crate::peer_client::{CallError, PeerClient};
use crate::upstream_follower::UpstreamError;

/// How many calls may be queued for one voter. Further calls are dropped; the relay repeats those that matter.
const CALL_QUEUE_CAPACITY: usize = 16;
/// How many reports may be queued to be forwarded.
const REPORT_QUEUE_CAPACITY: usize = 64;
const MAX_REPORT_RESPONSE_BYTES: usize = 4_096;
const THREAD_STACK_BYTES: usize = 256 << 10;

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
