//! Handles the events of the threads and runs the actions of the relay.

use crossbeam_channel::TrySendError;
use sablecross_coordination::Ns;
use sablecross_discovery::StreamItem;
use sablecross_relay::{Action, ApplyOutcome};

use super::{INBOX_CAPACITY, Server, unix_ms};
use crate::peers::{QueuedCall, ServerEvent};
use crate::upstream_follower::{UpstreamError, UpstreamSubscription};

impl Server {
    /// Handles the events that the threads have sent.
    pub(super) fn handle_inbox(&mut self, now: Ns) {
        for event in self.inbox.clone().try_iter().take(INBOX_CAPACITY) {
            match event {
                ServerEvent::PeerReplied { voter, call_id, reply } => {
                    self.relay.on_peer_reply(now, unix_ms(), voter, call_id, *reply);
                }
                ServerEvent::UpstreamItems { subscription_id, items } => {
                    for item in items {
                        if self.is_open_subscription(subscription_id) {
                            self.on_upstream_item(now, item);
                        }
                    }
                }
                ServerEvent::UpstreamEnded { subscription_id, result }
                    if self.is_open_subscription(subscription_id) =>
                {
                    self.on_upstream_ended(now, result);
                }
                ServerEvent::UpstreamEnded { .. } => {}
                ServerEvent::ReportForwarded { connection, is_accepted } => {
                    self.send_deferred_response(connection, now, if is_accepted { 204 } else { 503 }, b"");
                }
                ServerEvent::Stop => self.stop(now),
                ServerEvent::LogStatus => self.log_status(now),
            }
        }
    }

    fn is_open_subscription(&self, subscription_id: u64) -> bool {
        self.upstream_subscription.is_some_and(|open| open.id == subscription_id)
    }

    fn stop(&mut self, now: Ns) {
        if self.stopping_since.is_some() {
            return;
        }
        tracing::info!("relay stopping");
        self.stopping_since = Some(now);
        self.relay.hand_over(now);
        // With the listeners closed, new connections are refused, so clients turn to another relay at once.
        self.listeners.clear();
    }

    fn log_status(&mut self, now: Ns) {
        let status = self.relay.status(now, unix_ms());
        let text = serde_json::to_string(&status).unwrap_or_default();
        tracing::info!(connections = self.connections.len(), "relay status {text}");
    }

    fn on_upstream_ended(&mut self, now: Ns, result: Result<(), UpstreamError>) {
        if let (Err(error), Some(open)) = (result, self.upstream_subscription) {
            if self.failed_upstreams.insert(open.address) {
                tracing::warn!("relay upstream lost at={}: {error}", open.address);
            }
            self.relay.on_upstream_failed(now);
        }
        self.upstream_subscription = None;
    }

    fn on_upstream_item(&mut self, now: Ns, item: StreamItem) {
        match item {
            StreamItem::Connected => self.on_upstream_connected(),
            StreamItem::Comment(comment) => self.relay.on_upstream_comment(now, &comment),
            StreamItem::Event { id, data } => {
                let outcome = self.relay.on_upstream_event(now, unix_ms(), id, data.as_bytes());
                if let ApplyOutcome::Resubscribe(reason) = outcome {
                    if let Some(suppressed) = self.rate_limiter.admit(now) {
                        tracing::warn!("relay upstream resubscribed left_out={suppressed}: {reason}");
                    }
                    self.upstream_subscription = None;
                }
            }
        }
    }

    fn on_upstream_connected(&mut self) {
        let Some(open) = self.upstream_subscription else { return };
        let had_failed = self.failed_upstreams.remove(&open.address);
        if had_failed || self.last_upstream != Some(open.address) {
            self.last_upstream = Some(open.address);
            tracing::info!("relay upstream up at={} after={}", open.address, open.after);
        }
    }

    /// Subscribes to the upstream that the relay selects, unless that subscription is open already.
    pub(super) fn follow_upstream(&mut self, now: Ns) {
        if self.upstreams.is_empty() || self.stopping_since.is_some() {
            return;
        }
        let Some(target) = self.relay.upstream_to_follow(now) else { return };
        let Some(&address) = self.upstreams.get(target.upstream) else { return };
        if self.upstream_subscription.is_some_and(|open| open.address == address) {
            return;
        }
        self.last_upstream_subscription_id += 1;
        // A relay gets the applied number in a header of its own, so the stream continues after this relay's last event
        // and repeats none. An external feed knows only one number, so its stream starts after the applied one.
        let is_external_feed = !self.config.upstreams.is_empty();
        let (after, applied_number) = if is_external_feed {
            (target.applied_number, None)
        } else {
            (self.relay.last_number(), Some(target.applied_number))
        };
        let subscription =
            UpstreamSubscription { id: self.last_upstream_subscription_id, address, after, applied_number };
        match self.upstream_subscriptions.try_send(subscription) {
            Ok(()) => self.upstream_subscription = Some(subscription),
            // The thread has not taken earlier subscriptions yet; the event loop tries again.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// Runs the actions that the relay requests, including those that result from running them.
    pub(super) fn run_actions(&mut self, now: Ns) {
        loop {
            let actions = self.relay.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_action(now, action);
            }
        }
    }

    fn run_action(&mut self, now: Ns, action: Action) {
        match action {
            Action::Call { voter, call_id, request } => {
                if let Some(Some(caller)) = self.voters.get(voter as usize) {
                    // A queue is full if its voter hangs. The relay repeats the dropped call.
                    let _ = caller.try_send(QueuedCall { call_id, request });
                }
            }
            Action::Published { ticket, result } => self.answer_publisher(ticket as usize, now, result),
            Action::LeadershipGained(token) => {
                tracing::info!(term = token.term, "relay leadership gained");
            }
            Action::LeadershipLost(token) => tracing::info!(term = token.term, "relay leadership lost"),
            Action::Log(line) => tracing::info!("relay: {line}"),
        }
    }
}
