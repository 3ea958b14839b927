//! What the threads report, and what the relay decides.

use crossbeam_channel::TrySendError;
use sablecross_coordination::Ns;
use sablecross_discovery::StreamItem;
use sablecross_relay::{Action, ApplyOutcome};

use super::{INBOX_CAPACITY, Server, unix_ms};
use crate::peers::{QueuedCall, ServerEvent, UpstreamError, UpstreamOrder};

impl Server {
    /// Takes in what the threads have reported.
    pub(super) fn handle_inbox(&mut self, now: Ns) {
        for event in self.inbox.clone().try_iter().take(INBOX_CAPACITY) {
            match event {
                ServerEvent::PeerReplied { voter, call_id, reply } => {
                    self.relay.on_peer_reply(now, unix_ms(), voter, call_id, *reply);
                }
                ServerEvent::UpstreamItems { call, items } => {
                    for item in items {
                        if self.is_open_call(call) {
                            self.on_upstream_item(now, item);
                        }
                    }
                }
                ServerEvent::UpstreamEnded { call, result } if self.is_open_call(call) => {
                    self.on_upstream_ended(now, result);
                }
                ServerEvent::UpstreamEnded { .. } => {}
                ServerEvent::ReportForwarded { connection, is_accepted } => {
                    self.respond_later(connection, now, if is_accepted { 204 } else { 503 }, b"");
                }
                ServerEvent::Stop => self.stop(now),
                ServerEvent::LogStatus => self.log_status(now),
            }
        }
    }

    fn is_open_call(&self, call: u64) -> bool {
        self.upstream_call.is_some_and(|open| open.call == call)
    }

    fn stop(&mut self, now: Ns) {
        if self.stopping_since.is_some() {
            return;
        }
        tracing::info!("relay stopping");
        self.stopping_since = Some(now);
        self.relay.hand_over(now);
        // Who calls from here on goes elsewhere at once.
        self.listeners.clear();
    }

    fn log_status(&mut self, now: Ns) {
        let status = self.relay.status(now, unix_ms());
        let text = serde_json::to_string(&status).unwrap_or_default();
        tracing::info!(connections = self.connections.len(), "relay status {text}");
    }

    fn on_upstream_ended(&mut self, now: Ns, result: Result<(), UpstreamError>) {
        if let (Err(error), Some(open)) = (result, self.upstream_call) {
            if self.lost_upstreams.insert(open.address) {
                tracing::warn!("relay upstream lost at={}: {error}", open.address);
            }
            self.relay.on_upstream_failed(now);
        }
        self.upstream_call = None;
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
                    self.upstream_call = None;
                }
            }
        }
    }

    fn on_upstream_connected(&mut self) {
        let Some(open) = self.upstream_call else { return };
        let was_lost = self.lost_upstreams.remove(&open.address);
        if was_lost || self.last_upstream != Some(open.address) {
            self.last_upstream = Some(open.address);
            tracing::info!("relay upstream up at={} after={}", open.address, open.after);
        }
    }

    /// Calls the upstream if none is called, or another one is to be followed.
    pub(super) fn follow_upstream(&mut self, now: Ns) {
        if self.upstreams.is_empty() || self.stopping_since.is_some() {
            return;
        }
        let Some(call) = self.relay.upstream_to_follow(now) else { return };
        let Some(&address) = self.upstreams.get(call.upstream) else { return };
        if self.upstream_call.is_some_and(|open| open.address == address) {
            return;
        }
        self.upstream_calls += 1;
        // A relay is sent the applied number apart from the one that the stream goes on from, so that it repeats
        // nothing; a feed outside knows one number alone.
        let is_outside = !self.config.upstreams.is_empty();
        let (after, applied_number) = if is_outside {
            (call.applied_number, None)
        } else {
            (self.relay.last_number(), Some(call.applied_number))
        };
        let order = UpstreamOrder { call: self.upstream_calls, address, after, applied_number };
        match self.upstream_orders.try_send(order) {
            Ok(()) => self.upstream_call = Some(order),
            // The thread is busy with what is over: on the next tick.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// Does what the relay decides.
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
                    // A full queue is that of a voter that hangs; what is dropped is sent again.
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
