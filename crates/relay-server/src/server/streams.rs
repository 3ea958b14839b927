//! Streams of events to subscribers, and what time brings to connections.

use std::hash::BuildHasher;
use std::io::ErrorKind;
use std::sync::Arc;

use sablecross_coordination::Ns;

use super::{NS_PER_MS, RELAY_BUFFER_BYTES, Server, unix_ms};
use crate::connection::{Connection, ConnectionState, EventStream};
use crate::http::{self, CallingRelay};
use crate::settings::RelayServerConfig;

/// How often a stream has a comment, which shows that the relay is up and how stale it is.
const COMMENT_INTERVAL: Ns = 1_000 * NS_PER_MS;
/// How long a connection may be without a request, or a request without a response.
const IDLE_TIMEOUT: Ns = 30_000 * NS_PER_MS;
/// How long the other side may take to close.
const DRAIN_TIMEOUT: Ns = 2_000 * NS_PER_MS;
/// Streams of relays end this many times as often as those of other subscribers.
const RELAY_STREAM_DIVISOR: u64 = 4;
/// Streams end apart, by up to this part of their time.
const STREAM_JITTER_DIVISOR: u64 = 4;
/// Batches that are made once for all subscribers with the same cursor.
const MAX_SHARED_BATCHES: usize = 8;
const NO_ANSWER: &[u8] = br#"{"error":"nobody answered in time"}"#;

/// The next batch for all subscribers with the same cursor.
pub(super) struct SharedBatch {
    cursor: u64,
    next_cursor: u64,
    bytes: Vec<u8>,
}

/// What a new stream is like.
struct StreamTerms {
    is_relay: bool,
    subscriber: Arc<str>,
    applied_number: u64,
    batch_bytes: usize,
    /// How long it takes at most.
    duration: Ns,
    next_comment_at: Ns,
}

impl Server {
    /// Begins a stream of the events after `cursor`.
    pub(super) fn begin_stream(
        &mut self,
        connection: &mut Connection,
        now: Ns,
        cursor: u64,
        relay: Option<CallingRelay>,
    ) -> Result<(), ErrorKind> {
        let terms = self.stream_terms(connection, now, cursor, relay);
        let StreamTerms { is_relay, subscriber, applied_number, batch_bytes, duration, next_comment_at } =
            terms;
        if is_relay {
            connection.widen_buffer(RELAY_BUFFER_BYTES);
        }
        self.relay.on_subscriber_connected(now, unix_ms(), &subscriber, applied_number);
        let jitter = self.hasher.hash_one(&subscriber) % (duration / STREAM_JITTER_DIVISOR);
        let ends_at = now + duration - jitter;
        connection.input = Vec::new();
        connection.state = ConnectionState::Streaming(EventStream {
            subscriber,
            cursor,
            batch_bytes,
            ends_at,
            next_comment_at,
        });
        connection.send(http::STREAM_HEAD, now)?;
        self.send_events(connection, now)
    }

    fn stream_terms(
        &self,
        connection: &Connection,
        now: Ns,
        cursor: u64,
        relay: Option<CallingRelay>,
    ) -> StreamTerms {
        let form = &self.config.relay;
        let duration = form.ack_ms * NS_PER_MS;
        let is_member = |relay: &CallingRelay| self.config.members.iter().any(|m| m.number == relay.number);
        // A relay reports for its subscribers, too: more often, and it is sent more at a time. It learns at the
        // beginning of each stream how stale this one is.
        if let Some(relay) = relay.filter(is_member) {
            return StreamTerms {
                is_relay: true,
                subscriber: Arc::from(RelayServerConfig::relay_name(relay.number)),
                applied_number: relay.applied_number.unwrap_or(cursor),
                batch_bytes: form.batch_bytes.max(RELAY_BUFFER_BYTES),
                duration: duration / RELAY_STREAM_DIVISOR,
                next_comment_at: now,
            };
        }
        let named = self.listeners.get(connection.listener).and_then(|l| l.subscriber.clone());
        let by_address = || Arc::from(connection.peer.to_canonical().to_string());
        StreamTerms {
            is_relay: false,
            subscriber: named.unwrap_or_else(by_address),
            applied_number: cursor,
            batch_bytes: form.batch_bytes,
            duration,
            next_comment_at: now + COMMENT_INTERVAL,
        }
    }

    /// Sends a subscriber the next batch, if it has taken all before.
    fn send_events(&mut self, connection: &mut Connection, now: Ns) -> Result<(), ErrorKind> {
        if connection.has_unwritten() {
            return Ok(());
        }
        let ConnectionState::Streaming(stream) = &mut connection.state else { return Ok(()) };
        let (cursor, batch_bytes) = (stream.cursor, stream.batch_bytes);
        let can_share = batch_bytes == self.config.relay.batch_bytes;
        if let Some(batch) = self.shared_batches.iter().find(|batch| can_share && batch.cursor == cursor) {
            stream.cursor = batch.next_cursor;
            return connection.send(&batch.bytes, now);
        }
        self.scratch.clear();
        let next_cursor = self.relay.encode_after(cursor, batch_bytes, &mut self.scratch);
        stream.cursor = next_cursor;
        let result = connection.send(&self.scratch, now);
        if can_share && self.shared_batches.len() < MAX_SHARED_BATCHES {
            let bytes = std::mem::take(&mut self.scratch);
            self.shared_batches.push(SharedBatch { cursor, next_cursor, bytes });
        } else if self.scratch.capacity() > 4 * batch_bytes {
            self.scratch = Vec::new();
        }
        result
    }

    /// Sends all subscribers what is new, and ends what is over.
    pub(super) fn tick(&mut self, now: Ns) {
        self.shared_batches.clear();
        let comment = self.relay.staleness_comment(now);
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain(|_, connection| {
            let subscriber = connection.streaming_to();
            let result = self.tick_connection(connection, now, &comment);
            if let Some(name) = subscriber
                && (result.is_err() || !matches!(connection.state, ConnectionState::Streaming(_)))
            {
                self.relay.on_subscriber_disconnected(&name);
            }
            result.is_ok()
        });
        self.connections = connections;
        self.shared_batches.clear();
        self.retry_accepts(now);
    }

    /// After an error the connection is to be dropped.
    fn tick_connection(
        &mut self,
        connection: &mut Connection,
        now: Ns,
        comment: &str,
    ) -> Result<(), ErrorKind> {
        let idle = now.saturating_sub(connection.last_active);
        let write_timeout = self.config.relay.stuck_ms * NS_PER_MS;
        match connection.state {
            ConnectionState::AwaitingRequest if idle > IDLE_TIMEOUT => connection.close(now),
            ConnectionState::Responding { .. } if idle > IDLE_TIMEOUT => {
                self.respond(connection, now, 503, "application/json", NO_ANSWER)
            }
            ConnectionState::Draining if idle > DRAIN_TIMEOUT => Err(ErrorKind::TimedOut),
            ConnectionState::Closing if idle > write_timeout => Err(ErrorKind::TimedOut),
            ConnectionState::Streaming(_) if connection.has_unwritten() && idle > write_timeout => {
                Err(ErrorKind::TimedOut)
            }
            ConnectionState::Streaming(_) => self.tick_stream(connection, now, comment),
            _ => Ok(()),
        }
    }

    fn tick_stream(&mut self, connection: &mut Connection, now: Ns, comment: &str) -> Result<(), ErrorKind> {
        self.send_events(connection, now)?;
        let has_unwritten = connection.has_unwritten();
        let ConnectionState::Streaming(stream) = &mut connection.state else { return Ok(()) };
        if now >= stream.ends_at || self.stopping_since.is_some() {
            return connection.close(now);
        }
        // A subscriber that is behind gets the comment once it has taken what waits.
        if now >= stream.next_comment_at && !has_unwritten {
            stream.next_comment_at = now + COMMENT_INTERVAL;
            return connection.send(comment.as_bytes(), now);
        }
        Ok(())
    }
}
