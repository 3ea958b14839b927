//! A relay: either a voter, or a plain relay that follows another relay or an external feed. Both send the same events
//! to subscribers.

use sablecross_coordination::{FencingToken, Member, Ns};
use thiserror::Error;

use crate::action::Action;
use crate::config::{GroupConfig, RelayConfig};
use crate::error::PublishError;
use crate::event::{Event, EventError};
use crate::log::Log;
use crate::messages::{PeerReply, PeerRequest};
use crate::plain_relay::PlainRelay;
use crate::replica_group::ReplicaGroup;
use crate::staleness::Staleness;
use crate::status::{RelayRole, RelayStatus};
use crate::subscribers::Subscribers;
use crate::upstream_selector::UpstreamSelector;

const NS_PER_MS: Ns = 1_000_000;
/// The longest time between two calls of [`Relay::step`].
const MAX_STEP_INTERVAL: Ns = 1_000_000_000;

/// The result of processing an event of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The event was appended to the log.
    Applied,
    /// The log already had the event.
    Duplicate,
    /// Events are missing or unreadable. The caller has to end the stream and call the upstream again, as
    /// [`Relay::upstream_to_follow`] says.
    Resubscribe(ResubscribeReason),
}

/// Why the upstream has to be called again.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResubscribeReason {
    /// The event has no `id`, and its data has no number or can't be parsed.
    #[error("an event has no number")]
    NoNumber,
    /// Events between `last` and `number` are missing.
    #[error("event {number} follows {last}")]
    Gap {
        /// Number of the received event.
        number: u64,
        /// The last applied number.
        last: u64,
    },
    /// The events are missing after a second call as well, and the received event is no complete list that could
    /// replace them.
    #[error("event {number} follows {last}, and is no complete list")]
    GapWithoutList {
        /// Number of the received event.
        number: u64,
        /// The last applied number.
        last: u64,
    },
    /// The event can't be parsed.
    #[error(transparent)]
    Unreadable(#[from] EventError),
}

/// The upstream to call, and the number to call it with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Index of the upstream in the settings.
    pub upstream: usize,
    /// The number that this relay and all its subscribers that are not missing have applied.
    pub applied_number: u64,
}

/// Whether the relay is a voter or plain, with the state of that mode.
#[derive(Debug)]
enum RelayMode {
    Voter(Box<ReplicaGroup>),
    Plain(Box<PlainRelay>),
}

/// A relay. It does no I/O: the process passes in times and messages, and performs what [`Relay::take_actions`]
/// returns.
#[derive(Debug)]
pub struct Relay {
    config: RelayConfig,
    mode: RelayMode,
    subscribers: Subscribers,
    actions: Vec<Action>,
}

impl Relay {
    /// Creates a voter with an empty log. `index` is its index among all voters. The incarnation of `member` has to
    /// be later than that of any earlier start, for example the Unix time in milliseconds. `seed` is any number
    /// that differs between voters.
    pub fn voter(
        config: RelayConfig,
        member: Member,
        index: u32,
        group: GroupConfig,
        seed: u64,
        now: Ns,
    ) -> Relay {
        let log = Log::new(config.retention);
        let group = ReplicaGroup::new(member, index, group, log, seed, now);
        Relay::with_mode(config, RelayMode::Voter(Box::new(group)))
    }

    /// Creates a plain relay with an empty log.
    pub fn plain(config: RelayConfig, upstream: UpstreamSelector) -> Relay {
        let plain = PlainRelay::new(Log::new(config.retention), upstream);
        Relay::with_mode(config, RelayMode::Plain(Box::new(plain)))
    }

    fn with_mode(config: RelayConfig, mode: RelayMode) -> Relay {
        let subscribers =
            Subscribers::new(config.missing_after, config.forget_after, config.max_floor_history);
        Relay { config, mode, subscribers, actions: Vec::new() }
    }

    /// Returns the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Counts a subscriber named in the settings as having applied nothing, until it connects or counts as missing.
    /// Without this call, a relay that has started knows no subscribers until they connect.
    pub fn expect_subscriber(&mut self, now: Ns, name: &str) {
        self.subscribers.expect(now, name);
    }

    /// Returns the events that subscribers may be sent.
    pub fn log(&self) -> &Log {
        match &self.mode {
            RelayMode::Voter(group) => group.log(),
            RelayMode::Plain(plain) => &plain.log,
        }
    }

    /// Returns the last number that subscribers may be sent.
    pub fn last_number(&self) -> u64 {
        self.log().last_number()
    }

    /// Returns the time at which [`Relay::step`] has to be called next, at the latest a second from now.
    pub fn next_wakeup(&self, now: Ns) -> Ns {
        let own = match &self.mode {
            RelayMode::Voter(group) => group.next_deadline(),
            RelayMode::Plain(_) => Ns::MAX,
        };
        own.min(now + MAX_STEP_INTERVAL)
    }

    /// Performs all work that is due at `now`. `unix_ms` is the Unix time.
    pub fn step(&mut self, now: Ns, unix_ms: u64) {
        match &mut self.mode {
            RelayMode::Voter(group) => {
                let actions = group.step(now, unix_ms);
                self.add_group_actions(now, actions);
            }
            RelayMode::Plain(plain) => {
                if let Some(index) = plain.check_upstream(now) {
                    let line = format!(
                        "upstream {index} is followed: the previous one was stale, or the first one is tried again"
                    );
                    self.actions.push(Action::Log(line));
                }
                plain.log.compact(unix_ms);
            }
        }
        self.update_floor(now, unix_ms);
    }

    /// Recomputes the floor and, at the leader, adds it to the floor history.
    fn update_floor(&mut self, now: Ns, unix_ms: u64) {
        self.subscribers.floor(now, self.last_number());
        if self.leader_token(now).is_some() {
            self.subscribers.record_floor(unix_ms);
        }
    }

    /// Adds the group's actions. A voter that becomes the leader resets its floor and expects a report of each other
    /// voter, because the floor now stands for all relays.
    fn add_group_actions(&mut self, now: Ns, actions: Vec<Action>) {
        if let RelayMode::Voter(group) = &self.mode
            && actions.iter().any(|action| matches!(action, Action::LeadershipGained(_)))
        {
            self.subscribers.reset_floor();
            for name in group.voter_names().iter().filter(|name| **name != self.config.name) {
                self.subscribers.expect(now, name);
            }
        }
        self.actions.extend(actions);
    }
}

/// Methods of voters.
impl Relay {
    /// Answers a call of another voter.
    pub fn on_peer_request(&mut self, now: Ns, unix_ms: u64, request: PeerRequest) -> PeerReply {
        let floor = self.subscribers.floor(now, self.last_number());
        match &mut self.mode {
            RelayMode::Voter(group) => {
                let (reply, actions) = group.on_request(now, unix_ms, request, floor);
                self.actions.extend(actions);
                reply
            }
            RelayMode::Plain(_) => PeerReply::default(),
        }
    }

    /// Processes the reply to an [`Action::Call`].
    pub fn on_peer_reply(&mut self, now: Ns, unix_ms: u64, voter: u32, call_id: u64, reply: PeerReply) {
        let RelayMode::Voter(group) = &mut self.mode else { return };
        let (applied, actions) = group.on_reply(now, unix_ms, voter, call_id, reply);
        self.add_group_actions(now, actions);
        if let Some(applied) = applied {
            self.subscribers.reported(now, &applied.name, applied.number);
            self.update_floor(now, unix_ms);
        }
    }

    /// Accepts the JSON of an event from a publisher. The result is emitted as [`Action::Published`] with this
    /// ticket. An event with an idempotency key is published once, however often it is sent while the log keeps it
    /// individually.
    pub fn publish(
        &mut self,
        now: Ns,
        unix_ms: u64,
        ticket: u64,
        idempotency_key: Option<&str>,
        json: &[u8],
    ) {
        match self.try_publish(now, unix_ms, ticket, idempotency_key, json) {
            Ok(actions) => self.actions.extend(actions),
            Err(error) => self.actions.push(Action::Published { ticket, result: Err(error) }),
        }
    }

    fn try_publish(
        &mut self,
        now: Ns,
        unix_ms: u64,
        ticket: u64,
        idempotency_key: Option<&str>,
        json: &[u8],
    ) -> Result<Vec<Action>, PublishError> {
        let RelayMode::Voter(group) = &mut self.mode else { return Err(PublishError::NotLeader(None)) };
        group.require_leader(now)?;
        let event = Event::parse(json, self.config.max_event_bytes)?.event;
        group.publish(now, unix_ms, ticket, idempotency_key, event, self.config.max_log_bytes)
    }

    /// Returns the token under which this relay is the leader now, if it is.
    pub fn leader_token(&self, now: Ns) -> Option<FencingToken> {
        match &self.mode {
            RelayMode::Voter(group) => group.leader_token(now),
            RelayMode::Plain(_) => None,
        }
    }

    /// Gives up leadership before a planned stop.
    pub fn hand_over(&mut self, now: Ns) {
        if let RelayMode::Voter(group) = &mut self.mode {
            self.actions.extend(group.hand_over(now));
        }
    }
}

/// Methods of plain relays.
impl Relay {
    /// Returns the upstream to follow now, and the number to call it with. The caller has to ask before each call,
    /// and also while a stream is open, because the upstream to follow may change.
    pub fn upstream_to_follow(&mut self, now: Ns) -> Option<UpstreamTarget> {
        let floor = self.subscribers.floor(now, self.last_number());
        let RelayMode::Plain(plain) = &self.mode else { return None };
        let upstream = plain.upstream.current()?;
        Some(UpstreamTarget { upstream, applied_number: floor.min(plain.log.last_number()) })
    }

    /// Records that the call of the upstream failed or that its stream broke. A clean end of a stream is no failure.
    pub fn on_upstream_failed(&mut self, now: Ns) {
        if let RelayMode::Plain(plain) = &mut self.mode {
            plain.upstream.on_failed(now);
        }
    }

    /// Processes a comment of the upstream, without its line ends.
    pub fn on_upstream_comment(&mut self, now: Ns, comment: &str) {
        let RelayMode::Plain(plain) = &mut self.mode else { return };
        match Staleness::parse_comment(comment) {
            Some(comment) => plain.staleness.record(now, comment.age, comment.leader),
            // The upstream is no relay but the source of the events, so its age is 0.
            None => plain.staleness.record(now, 0, None),
        }
    }

    /// Processes an event of the upstream: its data, and the number in its `id` field if it has one.
    pub fn on_upstream_event(&mut self, now: Ns, unix_ms: u64, id: Option<u64>, data: &[u8]) -> ApplyOutcome {
        let max_bytes = self.config.max_event_bytes.max(self.config.max_log_bytes);
        let RelayMode::Plain(plain) = &mut self.mode else { return ApplyOutcome::Duplicate };
        let outcome = plain.on_event(unix_ms, id, data, max_bytes, &mut self.actions);
        if outcome == ApplyOutcome::Applied {
            plain.log.compact(unix_ms);
            self.update_floor(now, unix_ms);
        }
        outcome
    }
}

/// Methods for subscribers.
impl Relay {
    /// Records that a subscriber connects and has applied this number. Its stream is encoded with
    /// [`Relay::encode_after`].
    pub fn on_subscriber_connected(&mut self, now: Ns, unix_ms: u64, name: &str, applied_number: u64) {
        self.subscribers.connected(now, name, applied_number);
        if let RelayMode::Voter(group) = &mut self.mode {
            group.observe_number(applied_number);
        }
        self.update_floor(now, unix_ms);
    }

    /// Records that a stream of a subscriber has ended.
    pub fn on_subscriber_disconnected(&mut self, name: &str) {
        self.subscribers.disconnected(name);
    }

    /// Appends the events after the cursor to `out` and returns the new cursor, as [`Log::encode_after`] does.
    pub fn encode_after(&mut self, cursor: u64, max_bytes: usize, out: &mut Vec<u8>) -> u64 {
        match &mut self.mode {
            RelayMode::Voter(group) => group.encode_after(cursor, max_bytes, out),
            RelayMode::Plain(plain) => plain.log.encode_after(cursor, max_bytes, out),
        }
    }

    /// Returns the comment that tells subscribers how stale this relay is, with the empty line that ends it.
    pub fn staleness_comment(&self, now: Ns) -> String {
        self.staleness(now).to_comment(now)
    }

    fn staleness(&self, now: Ns) -> Staleness {
        match &self.mode {
            RelayMode::Voter(group) => group.staleness(now),
            RelayMode::Plain(plain) => plain.staleness,
        }
    }

    /// Returns the status that operators read.
    pub fn status(&mut self, now: Ns, unix_ms: u64) -> RelayStatus {
        let floor = self.subscribers.floor(now, self.last_number());
        let staleness = self.staleness(now);
        let age = staleness.age(now);
        let log = self.log();
        let mut status = RelayStatus {
            name: self.config.name.clone(),
            unix_ms,
            role: RelayRole::Plain,
            leader: staleness.leader.map(|token| token.holder.number),
            term: staleness.leader.map_or(0, |token| token.term),
            staleness_ms: (age < Ns::MAX).then_some(age / NS_PER_MS),
            snapshot_number: log.snapshot().number,
            last_number: log.last_number(),
            last_stored: log.last_number(),
            log_bytes: log.size_bytes(),
            endpoints: log.endpoint_count(),
            floor,
            floor_history: self.subscribers.floor_history(),
            subscribers: self.subscribers.statuses(now),
            ..RelayStatus::default()
        };
        if let RelayMode::Voter(group) = &self.mode {
            group.fill_status(now, &mut status);
        }
        status
    }
}
