//! The event loop: listeners, connections, and the deciding relay between them. It never blocks on any of them.
//!
//! `accept` takes connections in, `requests` reads and answers what they ask, `streams` sends events to subscribers,
//! `events` takes in what the threads of `peers` report and does what the relay decides, `startup` builds all of it.

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
use crate::peers::{AppliedReport, QueuedCall, ServerEvent, UpstreamOrder};
use crate::settings::{DescriptorLimitError, RelayServerConfig};
use accept::Listener;
use streams::SharedBatch;

const NS_PER_MS: Ns = 1_000_000;
const INBOX_TOKEN: Token = Token(usize::MAX);
/// Connections have tokens from here on; those of listeners are below.
const FIRST_CONNECTION_TOKEN: usize = 1 << 20;
/// Events of threads that may wait for the loop.
const INBOX_CAPACITY: usize = 1_024;
const POLL_CAPACITY: usize = 1_024;
/// After the signal to stop: how long leadership may take to be handed over, and streams to be read to their end.
const HAND_OVER_TIME: Ns = 200 * NS_PER_MS;
const SHUTDOWN_TIME: Ns = 700 * NS_PER_MS;
/// What the kernel keeps for another relay, and what that is sent at a time.
const RELAY_BUFFER_BYTES: usize = 1 << 20;
/// Most bytes of entries in a call between voters, and what a call may have beside the largest event and the
/// snapshot.
const MAX_CALL_BYTES: usize = 1 << 20;

/// Why a relay can't serve.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The limits of the machine don't allow what the settings ask for.
    #[error(transparent)]
    Limit(#[from] DescriptorLimitError),
    /// An address can't be listened at.
    #[error("listening at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// Something else that the operating system denies.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

impl ServerError {
    pub(crate) fn io(what: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |error| ServerError::Io(what, error)
    }
}

/// Times of this program.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    /// Times begin here, so that moments before the start have a time, too.
    const START: Ns = 60_000 * NS_PER_MS;

    fn start() -> Clock {
        Clock(Instant::now())
    }

    fn now(self) -> Ns {
        Clock::START + u64::try_from(self.0.elapsed().as_nanos()).unwrap_or(Ns::MAX / 2)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_millis() as u64)
}

/// A relay with its sockets.
pub(crate) struct Server {
    config: RelayServerConfig,
    clock: Clock,
    poll: Poll,
    inbox: Receiver<ServerEvent>,
    relay: Relay,
    listeners: Vec<Listener>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    /// Connections that had more to read than their turn.
    unread: Vec<usize>,
    /// Queues of the threads that call the voters, by the voters' indices; none for this one itself.
    voters: Vec<Option<Sender<QueuedCall>>>,
    upstreams: Vec<SocketAddr>,
    upstream_orders: Sender<UpstreamOrder>,
    /// The call of an upstream that is open.
    upstream_call: Option<UpstreamOrder>,
    upstream_calls: u64,
    /// Upstreams that could not be called the last time.
    lost_upstreams: BTreeSet<SocketAddr>,
    /// The upstream that answered last.
    last_upstream: Option<SocketAddr>,
    applied_reports: Sender<AppliedReport>,
    shared_batches: Vec<SharedBatch>,
    scratch: Vec<u8>,
    rate_limiter: LogRateLimiter,
    stopping_since: Option<Ns>,
    /// New events are sent this often.
    batch_interval: Ns,
    /// Spreads the ends of streams.
    hasher: RandomState,
}

impl Server {
    /// Serves until it has stopped.
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
            let deadline = if self.unread.is_empty() { next_tick.min(next_step) } else { now };
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
            now >= since + SHUTDOWN_TIME || now >= since + HAND_OVER_TIME && self.connections.is_empty()
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
        for token in std::mem::take(&mut self.unread) {
            self.on_connection_ready(token, now, true, false);
        }
    }

    /// Reads and writes on a connection.
    fn on_connection_ready(&mut self, token: usize, now: Ns, is_readable: bool, is_writable: bool) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let subscriber = connection.streaming_to();
        let result = self.transfer(token, &mut connection, now, is_readable, is_writable);
        self.put_back(token, connection, subscriber, result);
    }

    /// Keeps a connection, or drops it after an error. If it had a stream to `subscriber` that is over, the relay
    /// is told.
    fn put_back(
        &mut self,
        token: usize,
        connection: Connection,
        subscriber: Option<Arc<str>>,
        result: Result<(), ErrorKind>,
    ) {
        let subscriber_now = connection.streaming_to();
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

/// Ticks keep their times, unless one was missed.
fn next_tick_after(now: Ns, tick: Ns, interval: Ns) -> Ns {
    if now < tick + interval { tick + interval } else { now + interval }
}
