//! One connection to a node: the messages that wait on it or are begun on it, and the answers to them.

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
use crate::os_error::is_would_block;
use crate::shared::SharedContext;

/// What a node did that ends its connection.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum NodeFault {
    #[error("a message was not taken in time")]
    MessageNotTakenInTime,
    #[error("a message was not taken")]
    MessageNotTaken,
    #[error("line too long")]
    LineTooLong,
    #[error("not an answer")]
    NotAnAnswer,
    #[error("body too long")]
    BodyTooLong,
    #[error("a body longer than its length")]
    BodyLongerThanAnnounced,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    Lost(ConnectionLoss),
    Fault(NodeFault),
}

/// A connection to a node.
pub(super) struct NodeConnection {
    pub(super) id: NodeConnectionId,
    pub(super) address: SocketAddr,
    /// None while this machine is short of what it takes to make it.
    pub(super) stream: Option<TcpStream>,
    /// When it is to be made, if it is not.
    pub(super) next_connect_at: Ns,
    /// What it counts as if it can't be made in time.
    pub(super) shortage_reason: ConnectionLoss,
    /// Whether it is established, as far as is known.
    pub(super) is_up: bool,
    /// By when it must be established.
    pub(super) connect_deadline: Ns,
    /// Messages that wait, the first of which may be written in part.
    pub(super) queue: VecDeque<OutgoingMessage>,
    /// Whether its first message waits until it is known whether its client has gone.
    pub(super) awaits_client_check: bool,
    /// Requests whose attempts are written, if only in part, and neither answered nor killed.
    pub(super) begun: BTreeSet<RequestId>,
    read_buffer: ReadBuffer,
    /// The answer whose body is read.
    answer: Option<IncomingAnswer>,
    /// The line of the first message, once that is begun, and how much of the message is written.
    line: Vec<u8>,
    written: usize,
    /// Attempts that were dropped before they were begun, until the kill of each has come, which is dropped too.
    dropped: BTreeSet<RequestId>,
}

impl NodeConnection {
    /// A connection that is to be established by its deadline.
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
            shortage_reason: ConnectionLoss::LocalShortage,
            is_up: false,
            connect_deadline,
            queue: VecDeque::new(),
            awaits_client_check: false,
            begun: BTreeSet::new(),
            read_buffer: ReadBuffer::new(line_length, line_length, &shared.memory_budget),
            answer: None,
            line: Vec::new(),
            written: 0,
            dropped: BTreeSet::new(),
        }
    }

    /// What it counts as if it is not established in time.
    pub(super) fn connect_failure(&self) -> ConnectionLoss {
        if self.stream.is_none() { self.shortage_reason } else { ConnectionLoss::Unreachable }
    }

    /// Looks whether it is established by now.
    pub(super) fn check_connected(&mut self) -> Result<(), CloseReason> {
        let Some(stream) = &self.stream else { return Ok(()) };
        if let Ok(Some(_)) | Err(_) = stream.take_error() {
            // One that was established was reset, which does not undo what it carried before.
            let loss = if self.is_up { ConnectionLoss::Broken } else { ConnectionLoss::Unreachable };
            return Err(CloseReason::Lost(loss));
        }
        self.is_up = self.is_up || stream.peer_addr().is_ok();
        Ok(())
    }

    /// Drops attempts that wait and may not be begun any more: withdrawn, or past their time before the connection
    /// came up or took them; and the kills of such attempts.
    fn drop_expired(&mut self, shared: &SharedContext) {
        let (now, id) = (shared.clock.now(), self.id);
        let mut is_begun = self.written > 0;
        let dropped = &mut self.dropped;
        self.queue.retain(|message| {
            // Only the first one can be.
            if std::mem::take(&mut is_begun) {
                return true;
            }
            if !message.is_attempt() {
                return !dropped.remove(&message.request_id);
            }
            let denied = match message.may_begin(now, shared.clients_checked_at()) {
                Ok(_) | Err(BeginDenied::Unconfirmed) => return true,
                Err(denied) => denied,
            };
            let request = node_protocol::request_id_text(&message.request_id);
            tracing::debug!("connection {id}: attempt of request {request} not begun: {denied:?}");
            counters::count_denial(&shared.counters, denied);
            dropped.insert(message.request_id);
            // The dispatcher outlives all connections, but for the end of the program.
            let request_id = message.request_id;
            let _ = shared.events.send(Event::AttemptNotSent { connection: id, request_id });
            false
        });
    }

    /// Writes its messages as far as there is room.
    pub(super) fn write(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        self.awaits_client_check = false;
        self.drop_expired(shared);
        while let (Some(message), Some(stream), true) = (self.queue.front(), &self.stream, self.is_up) {
            let now = shared.clock.now();
            if now >= message.deadline().saturating_add(shared.limits.write_finish_grace) {
                return Err(CloseReason::Fault(NodeFault::MessageNotTakenInTime));
            }
            if self.written == 0 {
                message.begin.set();
                // The line holds the time that is left now, when it is begun.
                match message.may_begin(now, shared.clients_checked_at()) {
                    Ok(time_left) => self.line = message.line(time_left),
                    Err(BeginDenied::Unconfirmed) => {
                        counters::count_denial(&shared.counters, BeginDenied::Unconfirmed);
                        self.awaits_client_check = true;
                        return Ok(());
                    }
                    Err(_) => {
                        self.drop_expired(shared);
                        continue;
                    }
                }
            }
            let (body, tail) = message.body_parts();
            let mut parts = [IoSlice::new(&self.line), IoSlice::new(body), IoSlice::new(tail)];
            match write_remaining(stream, &mut parts, &mut self.written) {
                Ok(is_complete) => {
                    note_begun(&mut self.begun, message);
                    if is_complete {
                        self.written = 0;
                        self.queue.pop_front();
                        self.drop_expired(shared);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) || e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(_) => return Err(CloseReason::Fault(NodeFault::MessageNotTaken)),
            }
        }
        Ok(())
    }

    /// Passes complete answers on, up to a share; whether there may be more at once. Bytes that are no answer end the
    /// connection.
    pub(super) fn read(&mut self, shared: &SharedContext) -> Result<bool, CloseReason> {
        const BROKEN: CloseReason = CloseReason::Lost(ConnectionLoss::Broken);
        for _ in 0..shared.limits.max_messages_per_turn {
            let Some(stream) = &self.stream else { return Ok(false) };
            let progress = match self.answer.as_mut() {
                Some(answer) => answer.read(&mut self.read_buffer, stream),
                None => self.read_head(shared)?,
            };
            match progress {
                Ok(true) => {}
                Ok(false) => return Err(BROKEN),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::InvalidData => {
                    return Err(CloseReason::Fault(NodeFault::LineTooLong));
                }
                Err(_) => return Err(BROKEN),
            }
            self.finish_answer(shared)?;
        }
        Ok(true)
    }

    /// The head of an answer, if its line has come; else reads more.
    fn read_head(&mut self, shared: &SharedContext) -> Result<io::Result<bool>, CloseReason> {
        let line_end = self.read_buffer.unread().windows(LINE_END.len()).position(|bytes| bytes == LINE_END);
        let Some(line_end) = line_end else {
            let Some(stream) = &self.stream else { return Err(CloseReason::Lost(ConnectionLoss::Broken)) };
            return Ok(self.read_buffer.fill(stream));
        };
        let head = node_protocol::parse_answer_head(&self.read_buffer.unread()[..line_end])
            .ok_or(CloseReason::Fault(NodeFault::NotAnAnswer))?;
        if head.body_length > shared.limits.max_body_bytes {
            return Err(CloseReason::Fault(NodeFault::BodyTooLong));
        }
        self.answer = Some(IncomingAnswer::new(&head, &shared.memory_budget));
        self.read_buffer.consume(line_end + LINE_END.len());
        Ok(Ok(true))
    }

    /// Passes the answer on, if all of it has come, with the end of its last line.
    fn finish_answer(&mut self, shared: &SharedContext) -> Result<(), CloseReason> {
        if !self.answer.as_ref().is_some_and(IncomingAnswer::has_body) {
            return Ok(());
        }
        let Some(line_end) = self.read_buffer.unread().get(..LINE_END.len()) else { return Ok(()) };
        if line_end != LINE_END {
            return Err(CloseReason::Fault(NodeFault::BodyLongerThanAnnounced));
        }
        self.read_buffer.consume(LINE_END.len());
        let Some(answer) = self.answer.take() else { return Ok(()) };
        counters::add(&shared.counters.body_bytes, answer.body_length());
        let result = Box::new(answer.into_result(shared.clock.now()));
        self.begun.remove(&result.request_id);
        let sent = shared.events.send(Event::AttemptEnded { connection: self.id, result });
        // Without the dispatcher the program ends, and the connection does not matter any more.
        sent.map_err(|_| CloseReason::Lost(ConnectionLoss::Broken))
    }
}

/// Something of a message has been written. A kill ends what it names.
fn note_begun(begun: &mut BTreeSet<RequestId>, message: &OutgoingMessage) {
    if message.is_attempt() {
        begun.insert(message.request_id);
    } else {
        begun.remove(&message.request_id);
    }
}
