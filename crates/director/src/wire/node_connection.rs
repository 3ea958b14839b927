//! One connection to a node: the messages queued on it, the attempts begun on it, and their answers.
//!
//! A message is begun once its first byte is written.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;

use mio::net::TcpStream;
use sablecross::Ns;
use sablecross::invariants::BeginDenied;
use thiserror::Error;

use super::incoming_answer::IncomingAnswer;
use super::node_protocol::{self, LINE_END};
use super::outgoing_message::OutgoingMessage;
use super::read_buffer::ReadBuffer;
use super::write_remaining;
use crate::counters;
use crate::events::{ConnectionLoss, Event, NodeConnectionId, RequestId};
use crate::os_error::is_retryable;
use crate::shared::SharedContext;

/// A fault of a node for which its connection is closed.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum NodeFault {
    #[error("a message could not be written in time")]
    WriteTimedOut,
    #[error("a message could not be written")]
    WriteFailed,
    #[error("an answer line is too long")]
    AnswerLineTooLong,
    #[error("an answer line is malformed")]
    MalformedAnswer,
    #[error("an answer body is too long")]
    AnswerBodyTooLong,
    #[error("an answer body is longer than announced")]
    AnswerBodyLongerThanAnnounced,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    Lost(ConnectionLoss),
    Fault(NodeFault),
}

/// A connection to a node.
pub(super) struct NodeConnection {
    pub(super) id: NodeConnectionId,
    pub(super) address: SocketAddr,
    /// `None` while the socket can't be created because this machine is short of a resource.
    pub(super) stream: Option<TcpStream>,
    /// When to try to connect again, if there is no stream.
    pub(super) next_connect_at: Ns,
    /// The loss to report if there is still no stream at the deadline.
    pub(super) shortage_loss: ConnectionLoss,
    /// Whether the connection is known to be established.
    pub(super) is_up: bool,
    /// The time by which the connection must be established.
    pub(super) connect_deadline: Ns,
    /// Messages to write, in this order. The first one may be partly written.
    pub(super) queue: VecDeque<OutgoingMessage>,
    /// Whether the first message waits for a check that its client is still connected.
    pub(super) awaits_client_check: bool,
    /// Requests whose attempts are at least partly written, and neither answered nor killed.
    pub(super) begun: BTreeSet<RequestId>,
    read_buffer: ReadBuffer,
    /// The answer whose body is being read.
    current_answer: Option<IncomingAnswer>,
    /// The line of the first message, once the message is begun.
    current_line: Vec<u8>,
    /// How many bytes of the first message, line and body, are written.
    bytes_written: usize,
    /// Attempts that were dropped before they were begun. An entry is removed together with the `Kill` of its attempt,
    /// which is dropped as well.
    dropped_attempts: BTreeSet<RequestId>,
}

impl NodeConnection {
    /// Creates a connection that must be established by `connect_deadline`.
    pub(super) fn new(
        id: NodeConnectionId,
        address: SocketAddr,
        connect_deadline: Ns,
        shared: &SharedContext,
    ) -> NodeConnection {
        let line_length = shared.limits.max_line_bytes;
        NodeConnection {
            id,
            address,
            stream: None,
            next_connect_at: 0,
            shortage_loss: ConnectionLoss::LocalShortage,
            is_up: false,
            connect_deadline,
            queue: VecDeque::new(),
            awaits_client_check: false,
            begun: BTreeSet::new(),
            read_buffer: ReadBuffer::new(line_length, line_length, &shared.memory_budget),
            current_answer: None,
            current_line: Vec::new(),
            bytes_written: 0,
            dropped_attempts: BTreeSet::new(),
        }
    }

    /// The loss to report if the connection is not established by its deadline.
    pub(super) fn connect_failure(&self) -> ConnectionLoss {
        if self.stream.is_none() { self.shortage_loss } else { ConnectionLoss::Unreachable }
    }

    /// Checks whether the connection is established or has failed.
    pub(super) fn check_connected(&mut self) -> Result<(), CloseReason> {
        let Some(stream) = &self.stream else { return Ok(()) };
        if let Ok(Some(_)) | Err(_) = stream.take_error() {
            // An established connection was reset: the attempts that it carried may have run.
            let loss = if self.is_up { ConnectionLoss::Broken } else { ConnectionLoss::Unreachable };
            return Err(CloseReason::Lost(loss));
        }
        self.is_up = self.is_up || stream.peer_addr().is_ok();
        Ok(())
    }

    /// Drops queued attempts that may not be begun any more: they are withdrawn, their client is gone, or their time
    /// passed before the connection was established or had room for them. Reports each of them to the dispatcher, and
    /// drops the kills of dropped attempts.
    fn drop_denied_attempts(&mut self, shared: &SharedContext) {
        let (now, id) = (shared.clock.now(), self.id);
        let mut is_partly_written = self.bytes_written > 0;
        let dropped_attempts = &mut self.dropped_attempts;
        self.queue.retain(|message| {
            // Only the first message can be partly written.
            if std::mem::take(&mut is_partly_written) {
                return true;
            }
            if !message.is_attempt() {
                return !dropped_attempts.remove(&message.request_id);
            }
            let denied = match message.may_begin(now, shared.clients_checked_at()) {
                Ok(_) | Err(BeginDenied::Unconfirmed) => return true,
                Err(denied) => denied,
            };
            let request = node_protocol::request_id_text(&message.request_id);
            tracing::debug!("connection {id}: attempt of request {request} not begun: {denied:?}");
            counters::count_denial(&shared.counters, denied);
            dropped_attempts.insert(message.request_id);
            // The dispatcher outlives all connections, except when the program is ending.
            let request_id = message.request_id;
            let _ = shared.events.send(Event::AttemptNotSent { connection: id, request_id });
            false
        });
    }

    /// Writes queued messages until the socket has no more room. Fails if a message is not written completely within
    /// `write_finish_grace` of its deadline.
    pub(super) fn write(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        self.awaits_client_check = false;
        self.drop_denied_attempts(shared);
        while let (Some(message), Some(stream), true) = (self.queue.front(), &self.stream, self.is_up) {
            let now = shared.clock.now();
            if now >= message.deadline().saturating_add(shared.limits.write_finish_grace) {
                return Err(CloseReason::Fault(NodeFault::WriteTimedOut));
            }
            if self.bytes_written == 0 {
                message.begin.set();
                // The line carries the time that is left for the answer when the message is begun.
                match message.may_begin(now, shared.clients_checked_at()) {
                    Ok(time_left) => self.current_line = message.line(time_left),
                    Err(BeginDenied::Unconfirmed) => {
                        counters::count_denial(&shared.counters, BeginDenied::Unconfirmed);
                        self.awaits_client_check = true;
                        return Ok(());
                    }
                    Err(_) => {
                        self.drop_denied_attempts(shared);
                        continue;
                    }
                }
            }
            let (body, tail) = message.body_parts();
            let mut parts = [IoSlice::new(&self.current_line), IoSlice::new(body), IoSlice::new(tail)];
            match write_remaining(stream, &mut parts, &mut self.bytes_written) {
                Ok(is_complete) => {
                    record_begun(&mut self.begun, message);
                    if is_complete {
                        self.bytes_written = 0;
                        self.queue.pop_front();
                        self.drop_denied_attempts(shared);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_retryable(&e) || e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(_) => return Err(CloseReason::Fault(NodeFault::WriteFailed)),
            }
        }
        Ok(())
    }

    /// Reads answers and passes complete ones to the dispatcher, in at most `max_messages_per_turn` steps. Returns
    /// whether more may be readable at once. Bytes that are not a valid answer end the connection.
    pub(super) fn read(&mut self, shared: &SharedContext) -> Result<bool, CloseReason> {
        const BROKEN: CloseReason = CloseReason::Lost(ConnectionLoss::Broken);
        for _ in 0..shared.limits.max_messages_per_turn {
            let Some(stream) = &self.stream else { return Ok(false) };
            let progress = match self.current_answer.as_mut() {
                Some(answer) => answer.read(&mut self.read_buffer, stream),
                None => self.read_head(shared)?,
            };
            match progress {
                Ok(true) => {}
                Ok(false) => return Err(BROKEN),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_retryable(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::InvalidData => {
                    return Err(CloseReason::Fault(NodeFault::AnswerLineTooLong));
                }
                Err(_) => return Err(BROKEN),
            }
            self.finish_answer(shared)?;
        }
        Ok(true)
    }

    /// Parses the head of the next answer if its line is complete, otherwise reads more bytes.
    fn read_head(&mut self, shared: &SharedContext) -> Result<io::Result<bool>, CloseReason> {
        let line_end = self.read_buffer.unread().windows(LINE_END.len()).position(|bytes| bytes == LINE_END);
        let Some(line_end) = line_end else {
            let Some(stream) = &self.stream else { return Err(CloseReason::Lost(ConnectionLoss::Broken)) };
            return Ok(self.read_buffer.fill(stream));
        };
        let head = node_protocol::parse_answer_head(&self.read_buffer.unread()[..line_end])
            .ok_or(CloseReason::Fault(NodeFault::MalformedAnswer))?;
        if head.body_length > shared.limits.max_body_bytes {
            return Err(CloseReason::Fault(NodeFault::AnswerBodyTooLong));
        }
        self.current_answer = Some(IncomingAnswer::new(&head, &shared.memory_budget));
        self.read_buffer.consume(line_end + LINE_END.len());
        Ok(Ok(true))
    }

    /// Passes the current answer to the dispatcher once its body and the line end after the body have been received.
    fn finish_answer(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        if !self.current_answer.as_ref().is_some_and(IncomingAnswer::is_body_complete) {
            return Ok(());
        }
        let Some(line_end) = self.read_buffer.unread().get(..LINE_END.len()) else { return Ok(()) };
        if line_end != LINE_END {
            return Err(CloseReason::Fault(NodeFault::AnswerBodyLongerThanAnnounced));
        }
        self.read_buffer.consume(LINE_END.len());
        let Some(answer) = self.current_answer.take() else { return Ok(()) };
        counters::add(&shared.counters.body_bytes, answer.body_length());
        let result = Box::new(answer.into_result(shared.clock.now()));
        self.begun.remove(&result.request_id);
        let sent = shared.events.send(Event::AttemptEnded { connection: self.id, result });
        // Without the dispatcher the program is ending, and the close reason does not matter.
        sent.map_err(|_| CloseReason::Lost(ConnectionLoss::Broken))
    }
}

/// Records that a message has been written at least in part. A `Kill` ends the attempt that it names.
fn record_begun(begun: &mut BTreeSet<RequestId>, message: &OutgoingMessage) {
    if message.is_attempt() {
        begun.insert(message.request_id);
    } else {
        begun.remove(&message.request_id);
    }
}
