//! Creates the server: its listeners, its threads and the configuration of its [`Relay`].

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

use super::accept::open_listeners;
use super::{
    Clock, FIRST_CONNECTION_TOKEN, INBOX_CAPACITY, INBOX_TOKEN, MAX_CALL_BYTES, NS_PER_MS, Server,
    ServerError, unix_ms,
};
use crate::log_rate_limiter::LogRateLimiter;
use crate::peers::{self, Inbox, QueuedCall};
use crate::settings::RelayServerConfig;
use crate::upstream_follower::{UpstreamFollower, UpstreamFollowerConfig};

/// The leader calls a voter at most this often, so that events published at about the same time go in one call.
const BATCH_INTERVAL: Ns = 5 * NS_PER_MS;
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// How many past floors are kept with their times (the floor is the number that all subscribers have applied).
const MAX_FLOOR_HISTORY: usize = 16_384;
/// A plain relay that follows another upstream than its first one retries the first one after this time.
const FIRST_UPSTREAM_RETRY_INTERVAL: Ns = 20_000 * NS_PER_MS;
/// How many subscriptions may be queued for the thread that follows the upstream.
const SUBSCRIPTION_QUEUE_CAPACITY: usize = 4;

impl Server {
    /// Opens the listeners and starts the threads. The caller may send its own events to the returned inbox.
    pub(crate) fn new(config: RelayServerConfig) -> Result<(Server, Inbox), ServerError> {
        config.check_descriptor_limit()?;
        let poll = Poll::new().map_err(ServerError::io("polling"))?;
        let waker = Waker::new(poll.registry(), INBOX_TOKEN).map_err(ServerError::io("polling"))?;
        let (sender, receiver) = bounded(INBOX_CAPACITY);
        let inbox = Inbox { sender, waker: Arc::new(waker) };
        let listeners = open_listeners(&config, poll.registry())?;
        let clock = Clock::start();
        let now = clock.now();
        let hasher = RandomState::new();
        let form = &config.relay;
        let voters = if config.is_voter() { spawn_voter_callers(&config, &inbox)? } else { Vec::new() };
        let upstreams = upstream_addresses(&config);
        let mut relay = new_relay(&config, &voters, upstreams.len(), &hasher, now);
        config.subscribers.iter().for_each(|subscriber| relay.expect_subscriber(now, &subscriber.name));
        let silence_timeout = Duration::from_millis(form.stale_ms);
        let (upstream_subscriptions, subscriptions) = bounded(SUBSCRIPTION_QUEUE_CAPACITY);
        if !upstreams.is_empty() {
            let max_event_bytes = max_reply_bytes(&config);
            let follower = UpstreamFollower::new(UpstreamFollowerConfig {
                relay_number: form.number,
                silence_timeout,
                max_event_bytes,
                subscriptions,
                inbox: inbox.clone(),
            });
            let run = move || follower.run();
            peers::spawn("upstream".into(), run).map_err(ServerError::io("starting a thread"))?;
        }
        let applied_reports = peers::spawn_forwarder(silence_timeout, inbox.clone())
            .map_err(ServerError::io("starting a thread"))?;
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
            pending_reads: Vec::new(),
            voters,
            upstreams,
            upstream_subscriptions,
            upstream_subscription: None,
            last_upstream_subscription_id: 0,
            failed_upstreams: BTreeSet::new(),
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

/// Returns the largest size of a reply's body: one reply may hold a whole log.
fn max_reply_bytes(config: &RelayServerConfig) -> usize {
    config.relay.log_bytes.max(MAX_CALL_BYTES)
}

/// Starts a thread for each other voter and returns their queues by the voters' indices.
fn spawn_voter_callers(
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

/// Returns the upstreams of a plain relay, the preferred one first. Relays that follow the voters start with different
/// ones, by their numbers, to spread the load.
fn upstream_addresses(config: &RelayServerConfig) -> Vec<SocketAddr> {
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
    let upstream =
        UpstreamSelector::new(upstream_count, stale, 2 * stale, FIRST_UPSTREAM_RETRY_INTERVAL, now);
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
            attempt_spacing: form.apart_ms * NS_PER_MS,
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
