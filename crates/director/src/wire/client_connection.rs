//! One connection of a client: what it asks, what it is answered, and when it may end.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;
use sablecross::invariants::{self, CloseDenied};

use super::read_buffer::ReadBuffer;
use super::response::{PendingResponse, ResponseWriter};
use super::rpc::{self, DecodeError, Message};
use crate::clock::NS_PER_MS;
use crate::counters;
use crate::events::{CallId, CancellationFlag, ClientId, Event, IncomingRequest};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::is_would_block;
use crate::shared::SharedContext;

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    /// Its client has closed or reset it.
    Disconnected,
    /// Nothing is open on it: its time or its place is up, or the program ends.
    Idle,
    ProtocolError(&'static str),
}

pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) read_buffer: ReadBuffer,
    pub(super) peer: SocketAddr,
    /// What it waits for, by its numbers.
    pub(super) open_calls: HashMap<u32, (u64, CancellationFlag)>,
    pub(super) next_generation: u64,
    pub(super) queued_responses: VecDeque<PendingResponse>,
    pub(super) current_response: Option<ResponseWriter>,
    /// When it came, said something whole or was answered last.
    pub(super) last_activity: Ns,
    /// Whether it ever said something whole.
    pub(super) has_sent_message: bool,
    /// By when the message that has begun must be whole.
    pub(super) message_deadline: Option<Ns>,
    /// Since when what is read next may have lain unread.
    pub(super) unread_since: Option<Ns>,
    /// It has so many open requests that no more is read of it until some are answered.
    pub(super) is_throttled: bool,
    pub(super) unusable_messages: usize,
    /// It was told that no more comes. What it says still is read off until then or its own end, as a close over
    /// unread bytes would reset it, and with it the answers that are under way.
    pub(super) closing_until: Option<Ns>,
}

impl ClientConnection {
    /// A connection that has come; what is read first may have lain unread since then.
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        unread_since: Option<Ns>,
        of: &SharedContext,
    ) -> ClientConnection {
        let limits = &of.limits;
        ClientConnection {
            stream,
            read_buffer: ReadBuffer::new(
                limits.initial_read_bytes,
                limits.max_head_bytes + limits.max_body_bytes,
                &of.memory_budget,
            ),
            peer,
            open_calls: HashMap::new(),
            next_generation: 0,
            queued_responses: VecDeque::new(),
            current_response: None,
            last_activity: of.clock.now(),
            has_sent_message: false,
            message_deadline: None,
            unread_since,
            is_throttled: false,
            unusable_messages: 0,
            closing_until: None,
        }
    }

    /// Its client has been told that no more comes: nothing is kept of it but its end, until then.
    pub(super) fn begin_closing(&mut self, until: Ns, of: &SharedContext) {
        self.open_calls.clear();
        self.queued_responses.clear();
        (self.current_response, self.message_deadline) = (None, None);
        self.read_buffer = ReadBuffer::new(0, 0, &of.memory_budget);
        self.closing_until = Some(until);
    }

    pub(super) fn may_close(&self) -> Result<(), CloseDenied> {
        let under_way = invariants::ClientConnectionState {
            open_requests: self.open_calls.len(),
            unwritten_responses: self.queued_responses.len() + usize::from(self.current_response.is_some()),
            has_partial_request: !self.read_buffer.unread().is_empty(),
        };
        under_way.may_close()
    }

    /// Whether the director may end it of its own accord, and has not begun to.
    pub(super) fn is_idle(&self) -> bool {
        self.closing_until.is_none() && self.may_close().is_ok()
    }

    /// Whether it only ever sent a part of a request: where all places are taken, it has to go.
    pub(super) fn has_only_partial_message(&self) -> bool {
        self.closing_until.is_none()
            && !self.has_sent_message
            && self.may_close() == Err(CloseDenied::RequestIncomplete)
    }

    /// Passes on what it asks, up to a share; whether there may be more at once. Ends at bytes that are no
    /// message, or after too many messages that can't be used.
    pub(super) fn read(
        &mut self,
        client: ClientId,
        of: &SharedContext,
        log: &mut LogRateLimiter,
    ) -> Result<bool, CloseReason> {
        if self.closing_until.is_some() {
            return self.discard_input(of);
        }
        for _ in 0..of.limits.max_messages_per_turn {
            self.is_throttled = self.open_calls.len() >= of.limits.max_unanswered_per_client;
            if self.is_throttled {
                return Ok(false);
            }
            match rpc::decode(self.read_buffer.unread(), &of.names, &of.limits) {
                Ok((message, length)) => {
                    let arrived = self.unread_since.unwrap_or_else(|| of.clock.now());
                    let withdrawn = CancellationFlag::default();
                    let said = match &message {
                        Message::Unusable { call, cause: why } => Some((*call, *why)),
                        _ => None,
                    };
                    let event = event(client, self.next_generation, message, &withdrawn, arrived, of);
                    self.read_buffer.consume(length);
                    (self.last_activity, self.has_sent_message, self.message_deadline) =
                        (of.clock.now(), true, None);
                    if let Some((call, why)) = said {
                        counters::add(&of.counters.bad_messages, 1);
                        log.warn(self.last_activity, || format!("client {}, call {call}: {why}", self.peer));
                    }
                    self.record_event(&event, withdrawn, of)?;
                    // The desk outlives all connections, but for the end of the program.
                    of.events.send(event).map_err(|_| CloseReason::Disconnected)?;
                }
                Err(DecodeError::Invalid(why)) => return Err(CloseReason::ProtocolError(why)),
                Err(DecodeError::Incomplete) => {
                    if self.message_deadline.is_none() && !self.read_buffer.unread().is_empty() {
                        self.message_deadline = Some(of.clock.now() + of.limits.partial_message_timeout);
                    }
                    match self.read_buffer.fill(&self.stream) {
                        Ok(true) => {}
                        Ok(false) => return Err(CloseReason::Disconnected),
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(e) if is_would_block(&e) => {
                            self.unread_since = None;
                            return Ok(false);
                        }
                        Err(e) if e.kind() == ErrorKind::InvalidData => {
                            return Err(CloseReason::ProtocolError("message too long"));
                        }
                        Err(e) if e.kind() == ErrorKind::OutOfMemory => {
                            return Err(CloseReason::ProtocolError("no room for its message"));
                        }
                        Err(_) => return Err(CloseReason::Disconnected),
                    }
                }
            }
        }
        Ok(true)
    }

    /// Reads off what an ended connection says still, up to a share; whether there may be more at once.
    pub(super) fn discard_input(&mut self, of: &SharedContext) -> Result<bool, CloseReason> {
        let mut bytes = [0; 4 << 10];
        for _ in 0..of.limits.max_messages_per_turn {
            match (&self.stream).read(&mut bytes) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) => return Ok(false),
                _ => return Err(CloseReason::Disconnected),
            }
        }
        Ok(true)
    }

    /// Keeps count of what is open. Two answers with one number could not be told apart.
    pub(super) fn record_event(
        &mut self,
        event: &Event,
        withdrawn: CancellationFlag,
        of: &SharedContext,
    ) -> Result<(), CloseReason> {
        match event {
            Event::Request(asked) => self.open_call(asked.call, withdrawn),
            Event::Unusable { call, is_overload: crowded, .. } => {
                self.unusable_messages += usize::from(!crowded);
                if self.unusable_messages >= of.limits.max_unusable_messages {
                    return Err(CloseReason::ProtocolError("too much that can't be used"));
                }
                self.open_call(*call, withdrawn)
            }
            Event::HealthCheck { call, .. } | Event::PeerCalled { call, .. } => {
                self.open_call(*call, withdrawn)
            }
            Event::Cancelled { call, .. } => {
                if let Some((_, withdrawn)) = self.open_calls.remove(call) {
                    withdrawn.cancel();
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn open_call(&mut self, call: CallId, withdrawn: CancellationFlag) -> Result<(), CloseReason> {
        self.next_generation += 1;
        match self.open_calls.insert(call.number, (call.generation, withdrawn)) {
            None => Ok(()),
            Some((_, first)) => {
                first.cancel();
                Err(CloseReason::ProtocolError("a number that is open already"))
            }
        }
    }

    /// Writes answers in the order in which the desk gives them, as far as there is room. An answer past its time
    /// is still the one that is owed: a client may give a millisecond, less than the way through the director
    /// takes. Long after its time it is left out; what is begun is finished a little later at most, as a cut
    /// ends all beside it.
    pub(super) fn write(&mut self, of: &SharedContext) -> Result<(), CloseReason> {
        loop {
            let now = of.clock.now();
            let Some(writing) = self.current_response.as_mut() else {
                let Some(reply) = self.queued_responses.pop_front() else { return Ok(()) };
                if now < reply.deadline.saturating_add(of.limits.max_answer_lateness) {
                    self.current_response = Some(ResponseWriter::new(PendingResponse {
                        deadline: reply.deadline.max(now),
                        ..reply
                    }));
                } else {
                    counters::add(&of.counters.unsent_answers, 1);
                }
                continue;
            };
            if now >= writing.deadline + of.limits.write_finish_grace {
                return Err(CloseReason::ProtocolError("an answer not taken in time"));
            }
            match writing.write_to(&self.stream) {
                Ok(true) => {
                    counters::add(&of.counters.answers, 1);
                    counters::add(&of.counters.answer_bytes, writing.body().len());
                    (self.last_activity, self.current_response) = (now, None);
                }
                Ok(false) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) => return Ok(()),
                Err(_) => return Err(CloseReason::Disconnected),
            }
        }
    }

    /// What its time is over for.
    pub(super) fn overdue_reason(&self, now: Ns, of: &SharedContext) -> Option<CloseReason> {
        let limits = &of.limits;
        let time =
            if self.has_sent_message { limits.client_idle_timeout } else { limits.partial_message_timeout };
        if let Some(until) = self.closing_until {
            return (now >= until).then_some(CloseReason::Disconnected);
        }
        if self.message_deadline.is_some_and(|by| now >= by) {
            return Some(CloseReason::ProtocolError("half a message"));
        }
        (self.is_idle() && now >= self.last_activity + time).then_some(CloseReason::Idle)
    }
}

fn event(
    client: ClientId,
    turn: u64,
    message: Message,
    withdrawn: &CancellationFlag,
    arrived: Ns,
    of: &SharedContext,
) -> Event {
    let call = |number| CallId { number, generation: turn };
    match message {
        Message::HealthCheck { call: number } => Event::HealthCheck { client, call: call(number) },
        Message::Cancel { call } => Event::Cancelled { client, call },
        Message::PeerCall { call: number, body } => {
            Event::PeerCalled { client, call: call(number), body: body.to_vec() }
        }
        Message::Unusable { call: number, .. } => {
            Event::Unusable { client, call: call(number), is_overload: false }
        }
        Message::Request { call: number, fields, body: bytes } => {
            let call = call(number);
            let Some(mut body) = of.memory_budget.allocate_body(bytes.len()) else {
                return Event::Unusable { client, call, is_overload: true };
            };
            body.bytes_mut().copy_from_slice(bytes);
            Event::Request(Box::new(IncomingRequest {
                client,
                call,
                cancellation: withdrawn.clone(),
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
                arrived_at: arrived,
                budget: fields.budget_ms * NS_PER_MS,
            }))
        }
    }
}
