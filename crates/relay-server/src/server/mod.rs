//! The event loop: it moves data between sockets and the [`Relay`], which makes all decisions. It never blocks on a
//! single connection.
//!
//! `accept` accepts connections, `requests` reads requests and sends responses, `streams` sends events to
//! subscribers, `events` handles the events of the threads in `peers` and runs the relay's actions, `startup`
//! creates the server.

mod accept;
mod events;
mod requests;
mod startup;
mod streams;

use std::collections::{BTreeSet, HashMap};
use std::hash::RandomState;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender};
use mio::{Events, Poll, Token};
use sablecross_coordination::Ns;
use sablecross_relay::Relay;
use thiserror::Error;

use crate::connection::Connection;
use crate::log_rate_limiter::LogRateLimiter;
use crate::peers::{AppliedReport, QueuedCall, ServerEvent};
use crate::settings::{DescriptorLimitError, RelayServerConfig};
use crate::upstream_follower::UpstreamSubscription;
use accept::Listener;
use streams::SharedBatch;

const NS_PER_MS: Ns = 1_000_000;
const INBOX_TOKEN: Token = Token(usize::MAX);
/// Lowest token of a connection; lower tokens belong to listeners.
const FIRST_CONNECTION_TOKEN: usize = 1 << 20;
/// How many events of threads may be queued for the event loop.
const INBOX_CAPACITY: usize = 1_024;
const POLL_CAPACITY: usize = 1_024;
/// For how long after SIGTERM the relay waits for leadership to be handed over, even without connections.
const HANDOVER_TIMEOUT: Ns = 200 * NS_PER_MS;
/// For how long after SIGTERM the relay waits at most for streams to be read to their end.
const SHUTDOWN_TIMEOUT: Ns = 700 * NS_PER_MS;
/// Size of the kernel's send buffer for another relay, and the smallest batch size for its event stream.
const RELAY_SEND_BUFFER_BYTES: usize = 1 << 20;
/// Most bytes of log entries in one call between voters. `log-bytes` covers the largest event and the snapshot, and the
/// body of a call may be larger than that by this many bytes.
const MAX_CALL_BYTES: usize = 1 << 20;

/// Why a relay can't start or continue to serve.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The limit on file descriptors is too low for the settings.
    #[error(transparent)]
    Limit(#[from] DescriptorLimitError),
    /// Listening on an address failed.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// Another operation of the operating system failed.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

impl ServerError {
    pub(crate) fn io(what: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |error| ServerError::Io(what, error)
    }
}

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    /// Time at the start of the process. It is above zero so that times before the start can be expressed.
    const INITIAL_TIME: Ns = 60_000 * NS_PER_MS;

    fn start() -> Clock {
        Clock(Instant::now())
    }

    fn now(self) -> Ns {
        Clock::INITIAL_TIME + u64::try_from(self.0.elapsed().as_nanos()).unwrap_or(Ns::MAX / 2)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_millis() as u64)
}

/// A relay with its sockets and queues.
pub(crate) struct Server {
    config: RelayServerConfig,
    clock: Clock,
    poll: Poll,
    inbox: Receiver<ServerEvent>,
    relay: Relay,
    listeners: Vec<Listener>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    /// Tokens of connections that used up their read budget and may have more input.
    pending_reads: Vec<usize>,
    /// Queues of the threads that call the voters, by the voters' indices; `None` for this relay itself.
    voters: Vec<Option<Sender<QueuedCall>>>,
    upstreams: Vec<SocketAddr>,
    upstream_subscriptions: Sender<UpstreamSubscription>,
    /// The open subscription to an upstream.
    upstream_subscription: Option<UpstreamSubscription>,
    last_upstream_subscription_id: u64,
    /// Upstreams whose last subscription failed.
    failed_upstreams: BTreeSet<SocketAddr>,
    /// The upstream that accepted a subscription last.
    last_upstream: Option<SocketAddr>,
    applied_reports: Sender<AppliedReport>,
    shared_batches: Vec<SharedBatch>,
    scratch: Vec<u8>,
    rate_limiter: LogRateLimiter,
    stopping_since: Option<Ns>,
    /// Interval of ticks, in which new events are sent to subscribers.
    batch_interval: Ns,
    /// Randomly seeded, to derive the jitter of stream durations from subscribers' names.
    hasher: RandomState,
}

impl Server {
    /// Runs the event loop until the relay has stopped.
    pub(crate) fn serve(mut self) -> Result<(), ServerError> {
        let mut ready = Events::with_capacity(POLL_CAPACITY);
        let mut next_tick = self.clock.now();
        let mut next_step = next_tick;
        loop {
            let now = self.clock.now();
            if now >= next_step || now >= next_tick {
                self.relay.step(now, unix_ms());
            }
            self.run_actions(now);
            self.follow_upstream(now);
            next_step = self.relay.next_wakeup(now);
            if now >= next_tick {
                self.tick(now);
                next_tick = next_tick_after(now, next_tick, self.batch_interval);
            }
            if self.has_stopped(now) {
                return Ok(());
            }
            let deadline = if self.pending_reads.is_empty() { next_tick.min(next_step) } else { now };
            let timeout = Duration::from_nanos(deadline.saturating_sub(self.clock.now()));
            match self.poll.poll(&mut ready, Some(timeout)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(ServerError::Io("polling", e)),
                _ => {}
            }
            let now = self.clock.now();
            self.handle_ready(&ready, now);
            self.handle_inbox(now);
        }
    }

    fn has_stopped(&self, now: Ns) -> bool {
        self.stopping_since.is_some_and(|since| {
            now >= since + SHUTDOWN_TIMEOUT || now >= since + HANDOVER_TIMEOUT && self.connections.is_empty()
        })
    }

    fn handle_ready(&mut self, ready: &Events, now: Ns) {
        for event in ready {
            match event.token() {
                INBOX_TOKEN => {}
                Token(listener) if listener < FIRST_CONNECTION_TOKEN => self.accept(listener, now),
                Token(token) => {
                    let is_readable = event.is_readable() || event.is_error();
                    self.on_connection_ready(token, now, is_readable, event.is_writable());
                }
            }
        }
        for token in std::mem::take(&mut self.pending_reads) {
            self.on_connection_ready(token, now, true, false);
        }
    }

    /// Reads from and writes to a connection that is ready.
    fn on_connection_ready(&mut self, token: usize, now: Ns, is_readable: bool, is_writable: bool) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let subscriber = connection.streaming_subscriber();
        let result = self.transfer(token, &mut connection, now, is_readable, is_writable);
        self.keep_or_drop(token, connection, subscriber, result);
    }

    /// Keeps a connection, or drops it after an error. `subscriber` names the subscriber of the stream that was open
    /// before; if that stream has ended, the relay is notified.
    fn keep_or_drop(
        &mut self,
        token: usize,
        connection: Connection,
        subscriber: Option<Arc<str>>,
        result: Result<(), ErrorKind>,
    ) {
        let subscriber_now = connection.streaming_subscriber();
        match result {
            Ok(()) => {
                if let (Some(name), None) = (&subscriber, &subscriber_now) {
                    self.relay.on_subscriber_disconnected(name);
                }
                self.connections.insert(token, connection);
            }
            Err(error) => {
                tracing::debug!("relay connection closed from={}: {error}", connection.peer);
                if let Some(name) = subscriber.or(subscriber_now) {
                    self.relay.on_subscriber_disconnected(&name);
                }
            }
        }
    }
}

/// Returns the time of the next tick. The schedule is kept, unless a whole interval was missed.
fn next_tick_after(now: Ns, tick: Ns, interval: Ns) -> Ns {
    if now < tick + interval { tick + interval } else { now + interval }
}
