//! Sends event streams to subscribers and enforces the timeouts of connections.

use std::hash::BuildHasher;
use std::io::ErrorKind;
use std::sync::Arc;

use sablecross_coordination::Ns;

use super::{NS_PER_MS, RELAY_SEND_BUFFER_BYTES, Server, unix_ms};
use crate::connection::{Connection, ConnectionState, EventStream};
use crate::http::{self, CallingRelay};
use crate::settings::RelayServerConfig;

/// Interval of comments in a stream, which show that the relay is up and how stale it is.
const COMMENT_INTERVAL: Ns = 1_000 * NS_PER_MS;
/// A connection without a request is closed after this time, and a request without a response is answered with 503.
const IDLE_TIMEOUT: Ns = 30_000 * NS_PER_MS;
/// How long a peer may take to close a connection after the relay has shut down its write side.
const DRAIN_TIMEOUT: Ns = 2_000 * NS_PER_MS;
/// A stream to another relay lasts `ack-ms` divided by this; other streams last `ack-ms`.
const RELAY_STREAM_DIVISOR: u64 = 4;
/// Streams are shortened by up to their duration divided by this, so that they don't all end at once.
const STREAM_JITTER_DIVISOR: u64 = 4;
/// How many encoded batches are kept during a tick, or for new streams between two ticks, each for all subscribers with
/// the same cursor.
const MAX_SHARED_BATCHES: usize = 8;
const TIMEOUT_BODY: &[u8] = br#"{"error":"nobody answered in time"}"#;

/// The next batch for all subscribers with the same cursor.
pub(super) struct SharedBatch {
    cursor: u64,
    next_cursor: u64,
    bytes: Vec<u8>,
}

/// Parameters of a new stream.
struct StreamParameters {
    is_relay: bool,
    subscriber: Arc<str>,
    applied_number: u64,
    batch_bytes: usize,
    /// Longest duration of the stream, before jitter is subtracted.
    duration: Ns,
    next_comment_at: Ns,
}

impl Server {
    /// Starts a stream of the events after `cursor`.
    pub(super) fn start_stream(
        &mut self,
        connection: &mut Connection,
        now: Ns,
        cursor: u64,
        relay: Option<CallingRelay>,
    ) -> Result<(), ErrorKind> {
        let parameters = self.stream_parameters(connection, now, cursor, relay);
        let StreamParameters { is_relay, subscriber, applied_number, batch_bytes, duration, next_comment_at } =
            parameters;
        if is_relay {
            connection.enlarge_send_buffer(RELAY_SEND_BUFFER_BYTES);
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
        self.send_next_batch(connection, now)
    }

    fn stream_parameters(
        &self,
        connection: &Connection,
        now: Ns,
        cursor: u64,
        relay: Option<CallingRelay>,
    ) -> StreamParameters {
        let form = &self.config.relay;
        let duration = form.ack_ms * NS_PER_MS;
        let is_member = |relay: &CallingRelay| self.config.members.iter().any(|m| m.number == relay.number);
        // A relay also reports what its subscribers have applied, so its streams end more often, and it is sent larger
        // batches. The comment at the start of each stream tells it how stale this relay is.
        if let Some(relay) = relay.filter(is_member) {
            return StreamParameters {
                is_relay: true,
                subscriber: Arc::from(RelayServerConfig::relay_name(relay.number)),
                applied_number: relay.applied_number.unwrap_or(cursor),
                batch_bytes: form.batch_bytes.max(RELAY_SEND_BUFFER_BYTES),
                duration: duration / RELAY_STREAM_DIVISOR,
                next_comment_at: now,
            };
        }
        let named = self.listeners.get(connection.listener).and_then(|l| l.subscriber.clone());
        let by_address = || Arc::from(connection.peer.to_canonical().to_string());
        StreamParameters {
            is_relay: false,
            subscriber: named.unwrap_or_else(by_address),
            applied_number: cursor,
            batch_bytes: form.batch_bytes,
            duration,
            next_comment_at: now + COMMENT_INTERVAL,
        }
    }

    /// Sends a subscriber the next batch, if the previous ones are written completely.
    fn send_next_batch(&mut self, connection: &mut Connection, now: Ns) -> Result<(), ErrorKind> {
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

    /// Sends new events to all subscribers, and ends streams and connections whose time is over.
    pub(super) fn tick(&mut self, now: Ns) {
        self.shared_batches.clear();
        let comment = self.relay.staleness_comment(now);
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain(|_, connection| {
            let subscriber = connection.streaming_subscriber();
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

    /// Applies the timeouts to one connection, and sends new events if it has a stream. The caller must drop the
    /// connection after an error.
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
                self.respond(connection, now, 503, "application/json", TIMEOUT_BODY)
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
        self.send_next_batch(connection, now)?;
        let has_unwritten = connection.has_unwritten();
        let ConnectionState::Streaming(stream) = &mut connection.state else { return Ok(()) };
        if now >= stream.ends_at || self.stopping_since.is_some() {
            return connection.close(now);
        }
        // A subscriber with unwritten output is sent the comment after that output is written.
        if now >= stream.next_comment_at && !has_unwritten {
            stream.next_comment_at = now + COMMENT_INTERVAL;
            return connection.send(comment.as_bytes(), now);
        }
        Ok(())
    }
}
