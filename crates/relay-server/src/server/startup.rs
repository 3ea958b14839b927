//! How a relay starts: listeners, threads, and the configuration of what decides.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use mio::{Poll, Waker};
use sablecross_coordination::{LeaseConfig, Member, Ns};
use sablecross_relay::retention::PURGE_HOLD_TIME;
use sablecross_relay::{GroupConfig, Relay, RelayConfig, RetentionWindow, SafetyChecks, UpstreamSelector};

use super::accept::listen_at_all;
use super::{
    Clock, FIRST_CONNECTION_TOKEN, INBOX_CAPACITY, INBOX_TOKEN, MAX_CALL_BYTES, NS_PER_MS, Server,
    ServerError, unix_ms,
};
use crate::log_rate_limiter::LogRateLimiter;
use crate::peers::{self, Follower, Inbox, QueuedCall};
use crate::settings::RelayServerConfig;

/// The leader calls a voter at most this often, so that what is published at once goes together.
const BATCH_INTERVAL: Ns = 5 * NS_PER_MS;
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Moments of the floor that are kept.
const MAX_FLOOR_HISTORY: usize = 16_384;
/// A plain relay that follows another upstream than its first tries that again after this.
const RETURN_TO_FIRST_UPSTREAM: Ns = 20_000 * NS_PER_MS;
/// Upstream calls that wait for the follower's thread.
const UPSTREAM_ORDER_QUEUE: usize = 4;

impl Server {
    /// Listens and starts the threads. The inbox is for the caller's own events.
    pub(crate) fn new(config: RelayServerConfig) -> Result<(Server, Inbox), ServerError> {
        config.check_descriptor_limit()?;
        let poll = Poll::new().map_err(ServerError::io("polling"))?;
        let waker = Waker::new(poll.registry(), INBOX_TOKEN).map_err(ServerError::io("polling"))?;
        let (sender, receiver) = bounded(INBOX_CAPACITY);
        let inbox = Inbox { to: sender, waker: Arc::new(waker) };
        let listeners = listen_at_all(&config, poll.registry())?;
        let clock = Clock::start();
        let now = clock.now();
        let hasher = RandomState::new();
        let form = &config.relay;
        let voters = if config.is_voter() { start_callers(&config, &inbox)? } else { Vec::new() };
        let upstreams = upstreams(&config);
        let mut relay = new_relay(&config, &voters, upstreams.len(), &hasher, now);
        config.subscribers.iter().for_each(|subscriber| relay.expect_subscriber(now, &subscriber.name));
        let silence = Duration::from_millis(form.stale_ms);
        let (upstream_orders, orders) = bounded(UPSTREAM_ORDER_QUEUE);
        if !upstreams.is_empty() {
            let max_bytes = max_reply_bytes(&config);
            let follower = Follower { relay: form.number, silence, max_bytes, orders, inbox: inbox.clone() };
            let run = move || follower.follow();
            peers::spawn("upstream".into(), run).map_err(ServerError::io("starting a thread"))?;
        }
        let applied_reports =
            peers::spawn_forwarder(silence, inbox.clone()).map_err(ServerError::io("starting a thread"))?;
        log_start(&config);
        let server = Server {
            batch_interval: form.batch_ms * NS_PER_MS,
            config,
            clock,
            poll,
            inbox: receiver,
            relay,
            listeners,
            connections: HashMap::new(),
            next_token: FIRST_CONNECTION_TOKEN,
            unread: Vec::new(),
            voters,
            upstreams,
            upstream_orders,
            upstream_call: None,
            upstream_calls: 0,
            lost_upstreams: BTreeSet::new(),
            last_upstream: None,
            applied_reports,
            shared_batches: Vec::new(),
            scratch: Vec::new(),
            rate_limiter: LogRateLimiter::default(),
            stopping_since: None,
            hasher,
        };
        Ok((server, inbox))
    }
}

fn log_start(config: &RelayServerConfig) {
    let form = &config.relay;
    let role = if config.is_voter() { "voter" } else { "plain" };
    let readers = config.subscribers.len();
    tracing::info!(number = form.number, listen = %config.listen, role, readers, "relay serves");
    if form.held_ms * NS_PER_MS < PURGE_HOLD_TIME {
        tracing::warn!(
            "relay held-ms={} drops purges that directors still apply: for tests only",
            form.held_ms
        );
    }
}

/// The largest body of a reply: a whole log goes in one.
fn max_reply_bytes(config: &RelayServerConfig) -> usize {
    config.relay.log_bytes.max(MAX_CALL_BYTES)
}

/// A thread for each other voter.
fn start_callers(
    config: &RelayServerConfig,
    inbox: &Inbox,
) -> Result<Vec<Option<Sender<QueuedCall>>>, ServerError> {
    let form = &config.relay;
    let timeout = Duration::from_millis(2 * form.lease_ms);
    let mut callers = Vec::new();
    for (index, member) in (0u32..).zip(config.voters()) {
        if member.number == form.number {
            callers.push(None);
            continue;
        }
        let max_bytes = max_reply_bytes(config);
        let caller = peers::spawn_caller(index, member.address, timeout, max_bytes, inbox.clone());
        callers.push(Some(caller.map_err(ServerError::io("starting a thread"))?));
    }
    Ok(callers)
}

/// The upstreams of a plain relay, the preferred one first. Those that follow voters spread over them.
fn upstreams(config: &RelayServerConfig) -> Vec<SocketAddr> {
    if config.is_voter() || !config.upstreams.is_empty() {
        return config.upstreams.clone();
    }
    let mut voters: Vec<SocketAddr> = config.voters().map(|member| member.address).collect();
    let first = config.relay.number as usize % voters.len().max(1);
    voters.rotate_left(first);
    voters
}

fn new_relay(
    config: &RelayServerConfig,
    voters: &[Option<Sender<QueuedCall>>],
    upstream_count: usize,
    hasher: &RandomState,
    now: Ns,
) -> Relay {
    if config.is_voter() {
        let index = voters.iter().position(Option::is_none).unwrap_or_default() as u32;
        let member = Member { number: config.relay.number, incarnation: unix_ms() };
        let seed = hasher.hash_one(member.incarnation);
        return Relay::voter(relay_config(config), member, index, group_config(config), seed, now);
    }
    let stale = config.relay.stale_ms * NS_PER_MS;
    let upstream = UpstreamSelector::new(upstream_count, stale, 2 * stale, RETURN_TO_FIRST_UPSTREAM, now);
    Relay::plain(relay_config(config), upstream)
}

fn relay_config(config: &RelayServerConfig) -> RelayConfig {
    let form = &config.relay;
    RelayConfig {
        name: config.name(),
        retention: RetentionWindow {
            purge_propagation: form.cleared_ms * NS_PER_MS,
            hold_time: form.held_ms * NS_PER_MS,
            clock_tolerance: form.slack_ms * NS_PER_MS,
        },
        max_event_bytes: form.event_bytes,
        max_log_bytes: form.log_bytes,
        missing_after: form.missed_ms * NS_PER_MS,
        forget_after: form.forgotten_ms * NS_PER_MS,
        max_floor_history: MAX_FLOOR_HISTORY,
    }
}

fn group_config(config: &RelayServerConfig) -> GroupConfig {
    let form = &config.relay;
    let voter_names: Vec<String> =
        config.voters().map(|member| RelayServerConfig::relay_name(member.number)).collect();
    GroupConfig {
        lease: LeaseConfig {
            voter_count: voter_names.len() as u32,
            duration: form.lease_ms * NS_PER_MS,
            round_timeout: form.round_ms * NS_PER_MS,
            claim_spacing: form.apart_ms * NS_PER_MS,
        },
        voter_names,
        call_timeout: 2 * form.lease_ms * NS_PER_MS,
        heartbeat_interval: (form.lease_ms / 4).min(MAX_HEARTBEAT_INTERVAL_MS) * NS_PER_MS,
        batch_interval: BATCH_INTERVAL,
        max_call_bytes: MAX_CALL_BYTES,
        reset_timeout: form.anew_ms * NS_PER_MS,
        max_purge_lead: form.slack_ms / 2 * NS_PER_MS,
        safety_checks: SafetyChecks::default(),
    }
}
