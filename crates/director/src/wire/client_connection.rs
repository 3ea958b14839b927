//! One client connection: its calls, its responses, and when it may be closed.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;
use sablecross::invariants::{ClientConnectionState, CloseDenied};
use thiserror::Error;

use super::message_reader::{MessageReader, MessageTimeout};
use super::response::{PendingResponse, ResponseWriter};
use super::rpc::{DecodeError, Message, MessageError};
use crate::clock::NS_PER_MS;
use crate::counters;
use crate::events::{CallId, CancellationFlag, ClientId, Event, IncomingRequest};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_retryable;
use crate::shared::SharedContext;

/// A fault of a client, or a lack of connections, for which its connection is closed.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum ClientFault {
    #[error(transparent)]
    Message(MessageError),
    #[error("a message is longer than the limit")]
    MessageTooLong,
    #[error("too many unusable messages")]
    TooManyUnusableMessages,
    #[error("the number of a new call belongs to a call that is still open")]
    CallNumberInUse,
    #[error("a response could not be written in time")]
    ResponseWriteTimedOut,
    #[error("a message was not complete in time")]
    PartialMessageTimedOut,
    #[error("its only message is incomplete, and the connection limit is reached")]
    PartialMessageEvicted,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    /// The client has closed or reset the connection, or the director drops a connection that was closing.
    Disconnected,
    /// The client has closed or reset the connection. What it sent before that may still be unread.
    Left,
    /// Nothing is pending on the connection, and it was idle for too long, has to make room for others, or is closed
    /// because the program is stopping.
    Idle,
    Fault(ClientFault),
}

/// How far reading from a connection has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReadProgress {
    /// More may be readable at once.
    MoreReadable,
    /// Nothing is to be read until the client sends more, or until fewer calls are open.
    Done,
    /// The memory budget has no room for the incomplete message.
    OutOfMemory,
}

/// A call that is not answered yet.
pub(super) struct OpenCall {
    /// Distinguishes this use of the call's number from earlier and later ones.
    pub(super) generation: u64,
    cancellation: CancellationFlag,
}

/// A connection from a client.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    /// The calls that are not answered yet, by call number.
    pub(super) open_calls: HashMap<u32, OpenCall>,
    pub(super) queued_responses: VecDeque<PendingResponse>,
    pub(super) current_response: Option<ResponseWriter>,
    /// When the connection was accepted, sent its last complete message or had its last response written.
    pub(super) last_activity: Ns,
    /// Whether the client has sent a complete message.
    pub(super) has_sent_message: bool,
    /// The earliest time at which the bytes that are read next may have arrived.
    pub(super) unread_since: Option<Ns>,
    /// Whether reading is paused because the client has too many open calls.
    pub(super) is_throttled: bool,
    /// Set while the connection is closing: its write side is shut down, and what the client still sends is discarded
    /// until this time or until the client closes. Closing a socket with unread bytes would reset the connection and lose
    /// the responses that are still in transit.
    pub(super) closing_until: Option<Ns>,
    reader: MessageReader,
    next_generation: u64,
    unusable_messages: usize,
}

impl ClientConnection {
    /// Creates the state of an accepted connection; its first bytes may have arrived as early as `unread_since`.
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        unread_since: Option<Ns>,
        shared: &SharedContext,
    ) -> ClientConnection {
        ClientConnection {
            stream,
            peer,
            open_calls: HashMap::new(),
            queued_responses: VecDeque::new(),
            current_response: None,
            last_activity: shared.clock.now(),
            has_sent_message: false,
            unread_since,
            is_throttled: false,
            closing_until: None,
            reader: MessageReader::new(shared),
            next_generation: 0,
            unusable_messages: 0,
        }
    }

    /// Drops all state of the connection after its write side was shut down. Until the given time, the connection waits
    /// for the client to close it.
    pub(super) fn begin_closing(&mut self, until: Ns, shared: &SharedContext) {
        self.open_calls.clear();
        self.queued_responses.clear();
        self.current_response = None;
        self.reader.close(shared);
        self.closing_until = Some(until);
    }

    fn may_close(&self) -> Result<(), CloseDenied> {
        let state = ClientConnectionState {
            open_requests: self.open_calls.len(),
            unwritten_responses: self.unwritten_responses(),
            has_partial_request: self.reader.has_partial_message(),
        };
        state.may_close()
    }

    /// The number of responses that are not completely written.
    pub(super) fn unwritten_responses(&self) -> usize {
        self.queued_responses.len() + usize::from(self.current_response.is_some())
    }

    /// Whether the connection is not closing yet and the director may close it, because nothing is pending on it.
    pub(super) fn is_idle(&self) -> bool {
        self.closing_until.is_none() && self.may_close().is_ok()
    }

    /// Whether the client has sent nothing but a part of its first message. Such a connection may be closed to make room
    /// for others.
    pub(super) fn has_only_partial_message(&self) -> bool {
        self.closing_until.is_none()
            && !self.has_sent_message
            && self.may_close() == Err(CloseDenied::RequestIncomplete)
    }

    /// Cancels all open calls, because the connection is closing.
    pub(super) fn cancel_open_calls(&self) {
        self.open_calls.values().for_each(|call| call.cancellation.cancel());
    }

    /// How much memory the connection holds for a message that waits for further bytes of the client, and since when it
    /// does.
    pub(super) fn reclaimable_memory(&self) -> Option<(usize, Ns)> {
        self.reader.reclaimable()
    }

    /// Discards the bytes of the incomplete message. When its last byte has come, the message is rejected.
    pub(super) fn skip_message(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        counters::add(&shared.counters.skipped_messages, 1);
        let skipped = self.reader.skip_message(&shared.limits);
        skipped.map_err(|error| CloseReason::Fault(ClientFault::Message(error)))
    }

    /// Reads messages and passes them to the dispatcher, in at most `max_messages_per_turn` steps. Fails if the client has
    /// closed the connection or has caused a `ClientFault`.
    pub(super) fn read(
        &mut self,
        client: ClientId,
        shared: &SharedContext,
        log: &mut LogRateLimiter,
    ) -> Result<ReadProgress, CloseReason> {
        if self.closing_until.is_some() {
            return self.discard_input(shared);
        }
        for _ in 0..shared.limits.max_messages_per_turn {
            self.is_throttled = self.open_calls.len() >= shared.limits.max_unanswered_per_client;
            if self.is_throttled {
                return Ok(ReadProgress::Done);
            }
            let progress = self.read_message(client, shared, log)?;
            if progress != ReadProgress::MoreReadable {
                return Ok(progress);
            }
        }
        Ok(ReadProgress::MoreReadable)
    }

    /// Passes one message to the dispatcher if it is complete, otherwise reads more bytes.
    fn read_message(
        &mut self,
        client: ClientId,
        shared: &SharedContext,
        log: &mut LogRateLimiter,
    ) -> Result<ReadProgress, CloseReason> {
        let (message, length) = match self.reader.decode(&shared.names, &shared.limits) {
            Ok(decoded) => decoded,
            Err(DecodeError::Incomplete) => return self.read_more(shared),
            Err(DecodeError::Invalid(error)) => return Err(CloseReason::Fault(ClientFault::Message(error))),
        };
        let cancellation = CancellationFlag::default();
        let source = MessageSource {
            client,
            generation: self.next_generation,
            cancellation: &cancellation,
            arrived_at: self.unread_since.unwrap_or_else(|| shared.clock.now()),
        };
        let unusable = match &message {
            Message::Unusable { call, cause } => Some((*call, *cause)),
            _ => None,
        };
        let event = source.event(message, shared);
        self.reader.consume(length);
        self.last_activity = shared.clock.now();
        self.has_sent_message = true;
        if let Some((call, cause)) = unusable {
            counters::add(&shared.counters.bad_messages, 1);
            log.warn(self.last_activity, || format!("client {}, call {call}: {cause}", self.peer));
        }
        self.update_open_calls(&event, cancellation, shared)?;
        // The dispatcher outlives all connections, except when the program is ending.
        shared.events.send(event).map_err(|_| CloseReason::Disconnected)?;
        Ok(ReadProgress::MoreReadable)
    }

    /// Reads more bytes of an incomplete message.
    fn read_more(&mut self, shared: &SharedContext) -> Result<ReadProgress, CloseReason> {
        match self.reader.fill(&self.stream, shared.clock.now()) {
            Ok(true) => Ok(ReadProgress::MoreReadable),
            Ok(false) => Err(CloseReason::Disconnected),
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(ReadProgress::MoreReadable),
            Err(e) if is_retryable(&e) => {
                self.unread_since = None;
                Ok(ReadProgress::Done)
            }
            Err(e) if e.kind() == ErrorKind::InvalidData => {
                Err(CloseReason::Fault(ClientFault::MessageTooLong))
            }
            Err(e) if e.kind() == ErrorKind::OutOfMemory => Ok(ReadProgress::OutOfMemory),
            Err(_) => Err(CloseReason::Disconnected),
        }
    }

    /// Reads and discards what the client of a closing connection still sends, with at most `max_messages_per_turn` reads.
    fn discard_input(&mut self, shared: &SharedContext) -> Result<ReadProgress, CloseReason> {
        let mut bytes = [0; 4 << 10];
        for _ in 0..shared.limits.max_messages_per_turn {
            match (&self.stream).read(&mut bytes) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_retryable(&e) => return Ok(ReadProgress::Done),
                _ => return Err(CloseReason::Disconnected),
            }
        }
        Ok(ReadProgress::MoreReadable)
    }

    /// Updates the open calls for a message that was received.
    fn update_open_calls(
        &mut self,
        event: &Event,
        cancellation: CancellationFlag,
        shared: &SharedContext,
    ) -> Result<(), CloseReason> {
        match event {
            Event::Request(request) => self.open_call(request.call, cancellation),
            Event::Unusable { call, is_overload, .. } => {
                self.unusable_messages += usize::from(!is_overload);
                if self.unusable_messages >= shared.limits.max_unusable_messages {
                    return Err(CloseReason::Fault(ClientFault::TooManyUnusableMessages));
                }
                self.open_call(*call, cancellation)
            }
            Event::HealthCheck { call, .. } | Event::PeerCalled { call, .. } => {
                self.open_call(*call, cancellation)
            }
            Event::Cancelled { call, .. } => {
                if let Some(open) = self.open_calls.remove(call) {
                    open.cancellation.cancel();
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Adds an open call. A client that reuses the number of an open call is disconnected, because it could not tell the
    /// two responses apart.
    fn open_call(&mut self, call: CallId, cancellation: CancellationFlag) -> Result<(), CloseReason> {
        self.next_generation += 1;
        let open = OpenCall { generation: call.generation, cancellation };
        match self.open_calls.insert(call.number, open) {
            None => Ok(()),
            Some(first) => {
                first.cancellation.cancel();
                Err(CloseReason::Fault(ClientFault::CallNumberInUse))
            }
        }
    }

    /// Writes responses in the order in which the dispatcher queued them, until the socket has no more room.
    ///
    /// A response past its deadline is still written, because a client's budget may be as short as 1 ms, less than a
    /// request takes to pass through the director. It is left out once it is late by `max_answer_lateness`. A response
    /// that is begun must be complete within `write_finish_grace` of its deadline, or of the time at which it was begun
    /// if that is later. If other responses are owed on the connection, which cutting it short would lose, it has
    /// `max_answer_lateness` instead.
    pub(super) fn write(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        loop {
            let now = shared.clock.now();
            let are_others_owed = !self.open_calls.is_empty() || !self.queued_responses.is_empty();
            let Some(writer) = self.current_response.as_mut() else {
                let Some(response) = self.queued_responses.pop_front() else { return Ok(()) };
                if now < response.deadline.saturating_add(shared.limits.max_answer_lateness) {
                    let deadline = response.deadline.max(now);
                    self.current_response =
                        Some(ResponseWriter::new(PendingResponse { deadline, ..response }));
                } else {
                    counters::add(&shared.counters.unsent_answers, 1);
                }
                continue;
            };
            let limits = &shared.limits;
            let grace = if are_others_owed { limits.max_answer_lateness } else { limits.write_finish_grace };
            if now >= writer.deadline + grace {
                return Err(CloseReason::Fault(ClientFault::ResponseWriteTimedOut));
            }
            match writer.write_to(&self.stream) {
                Ok(true) => {
                    counters::add(&shared.counters.answers, 1);
                    counters::add(&shared.counters.answer_bytes, writer.body().len());
                    self.last_activity = now;
                    self.current_response = None;
                }
                Ok(false) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_retryable(&e) => return Ok(()),
                Err(_) => return Err(CloseReason::Disconnected),
            }
        }
    }

    /// Why the connection has to be closed now, if one of its timeouts has passed. An incomplete message is no reason while
    /// a response is owed, which would be lost.
    ///
    /// A client that has sent a complete message before may take longer for the next one as long as that goes on, except
    /// when the program is stopping.
    pub(super) fn overdue_reason(
        &self,
        now: Ns,
        is_stopping: bool,
        shared: &SharedContext,
    ) -> Option<CloseReason> {
        let limits = &shared.limits;
        if let Some(until) = self.closing_until {
            return (now >= until).then_some(CloseReason::Disconnected);
        }
        let may_go_on = self.has_sent_message && !is_stopping;
        let timeout = if may_go_on { MessageTimeout::Progress } else { MessageTimeout::Total };
        if self.reader.is_overdue(now, timeout, limits)
            && self.may_close() != Err(CloseDenied::ResponsePending)
        {
            return Some(CloseReason::Fault(ClientFault::PartialMessageTimedOut));
        }
        let idle_timeout =
            if self.has_sent_message { limits.client_idle_timeout } else { limits.partial_message_timeout };
        (self.is_idle() && now >= self.last_activity + idle_timeout).then_some(CloseReason::Idle)
    }
}

/// The connection from which a message came, and when it arrived.
struct MessageSource<'a> {
    client: ClientId,
    generation: u64,
    cancellation: &'a CancellationFlag,
    arrived_at: Ns,
}

impl MessageSource<'_> {
    /// The event that passes a message to the dispatcher.
    fn event(&self, message: Message, shared: &SharedContext) -> Event {
        let client = self.client;
        let call_id = |number| CallId { number, generation: self.generation };
        match message {
            Message::HealthCheck { call } => Event::HealthCheck { client, call: call_id(call) },
            Message::Cancel { call } => Event::Cancelled { client, call },
            // As for a body that finds no room: the request had no effect and may be repeated.
            Message::Skipped { call } => Event::Unusable { client, call: call_id(call), is_overload: true },
            Message::PeerCall { call, body } => {
                Event::PeerCalled { client, call: call_id(call), body: body.to_vec() }
            }
            Message::Unusable { call, .. } => {
                Event::Unusable { client, call: call_id(call), is_overload: false }
            }
            Message::Request { call, fields, body: bytes } => {
                let call = call_id(call);
                let Some(mut body) = shared.memory_budget.allocate_body(bytes.len()) else {
                    return Event::Unusable { client, call, is_overload: true };
                };
                body.bytes_mut().copy_from_slice(bytes);
                Event::Request(Box::new(IncomingRequest {
                    client,
                    call,
                    cancellation: self.cancellation.clone(),
                    request_id: fields.request_id,
                    class: fields.class,
                    object: fields.object,
                    part: fields.part,
                    group: fields.group,
                    size_kb: fields.size_kb,
                    client_tag: fields.client_tag.map(Into::into),
                    idempotency_key: fields.idempotency_key.map(Into::into),
                    is_client_retry: fields.is_client_retry,
                    body: Arc::new(body),
                    arrived_at: self.arrived_at,
                    time_budget: fields.budget_ms * NS_PER_MS,
                }))
            }
        }
    }
}
