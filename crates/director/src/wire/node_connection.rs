//! One connection to a node: the sends that wait on it, are begun on it, and their answers.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::invariants::{BeginDenied, PendingAttempt};
use sablecross::{Ns, Outcome};

use super::read_buffer::ReadBuffer;
use super::{node_protocol, write_on};
use crate::counters;
use crate::events::{AttemptEnded, CachedCopy, CancellationFlag, Event, NodeConnectionId, RequestId};
use crate::memory_budget::Body;
use crate::os_error::is_would_block;
use crate::shared::SharedContext;

/// Something to write.
pub struct OutgoingMessage {
    pub request_id: RequestId,
    pub content: Content,
    /// The desk's word, and the client's, that it is not to be begun any more.
    pub withdrawal: CancellationFlag,
    pub client_cancellation: CancellationFlag,
}

pub enum Content {
    Pull {
        head: node_protocol::PullHead,
        body: Arc<Body>,
        begin_by: Ns,
        /// When its time-out is over.
        answer_by: Ns,
    },
    Kill {
        deadline: Ns,
    },
}

impl OutgoingMessage {
    fn is_pull(&self) -> bool {
        matches!(self.content, Content::Pull { .. })
    }

    /// Until when it may be written to its end.
    fn until(&self) -> Ns {
        match self.content {
            Content::Pull { begin_by, answer_by, .. } => begin_by.min(answer_by),
            Content::Kill { deadline: until } => until,
        }
    }

    /// Whether it may be begun now; the time that its client has left then.
    fn may_begin(&self, now: Ns, clients_heard_at: Ns) -> Result<Ns, BeginDenied> {
        match self.content {
            Content::Kill { .. } => Ok(0),
            Content::Pull { begin_by, answer_by, .. } => {
                let (retracted, client_gone) =
                    (self.withdrawal.is_cancelled(), self.client_cancellation.is_cancelled());
                PendingAttempt {
                    begin_by,
                    answer_by,
                    is_withdrawn: retracted,
                    is_client_gone: client_gone,
                    clients_checked_at: clients_heard_at,
                }
                .may_begin(now)
            }
        }
    }

    /// Its line, as it is written now.
    fn line(&self, left: Ns) -> Vec<u8> {
        match &self.content {
            Content::Pull { head, .. } => head.with_wait(left),
            Content::Kill { .. } => node_protocol::kill_line(&self.request_id),
        }
    }

    fn body(&self) -> (&[u8], &[u8]) {
        match &self.content {
            Content::Pull { body, .. } => (body.bytes(), b"\r\n"),
            Content::Kill { .. } => (&[], &[]),
        }
    }
}

/// An answer whose body is coming in.
struct Coming {
    ended: AttemptEnded,
    tag: Box<str>,
    unchanged: bool,
    /// None: there is no room, and it is read off.
    body: Option<Body>,
    length: usize,
    come: usize,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    /// Its node has closed or reset it.
    Closed,
    /// It did not come up.
    Unreachable,
    /// It could not be made, for want of something on this machine.
    LocalShortage,
    /// The desk has gone: the program ends.
    DispatcherGone,
    ProtocolError(&'static str),
}

pub(super) struct NodeConnection {
    pub(super) id: NodeConnectionId,
    pub(super) address: SocketAddr,
    /// None while it can't be made.
    pub(super) stream: Option<TcpStream>,
    /// When it is to be made, if it is not.
    pub(super) next_connect_at: Ns,
    /// Why it could not be made last.
    pub(super) shortage_reason: CloseReason,
    pub(super) is_up: bool,
    /// By when it must be up.
    pub(super) connect_deadline: Ns,
    pub(super) read_buffer: ReadBuffer,
    coming: Option<Coming>,
    pub(super) queue: VecDeque<OutgoingMessage>,
    /// The line of the first send, once it has been begun, and the bytes of the send that are written.
    pub(super) line: Vec<u8>,
    pub(super) written: usize,
    /// Its first send waits until it is known whether its client has gone.
    pub(super) awaits_client_check: bool,
    /// Sends that were passed over, until the kill of each has come, which is passed over too.
    pub(super) skipped: BTreeSet<RequestId>,
    /// Sends that are written, if only in part, and neither answered nor killed.
    pub(super) begun: BTreeSet<RequestId>,
}

/// Something of a send has been written. A kill gives up what it names.
fn note_begun(begun: &mut BTreeSet<RequestId>, send: &OutgoingMessage) {
    if send.is_pull() {
        begun.insert(send.request_id);
    } else {
        begun.remove(&send.request_id);
    }
}

impl NodeConnection {
    /// One that is to be made, by then.
    pub(super) fn new(
        link: NodeConnectionId,
        address: SocketAddr,
        by: Ns,
        of: &SharedContext,
    ) -> NodeConnection {
        NodeConnection {
            id: link,
            address,
            stream: None,
            next_connect_at: 0,
            shortage_reason: CloseReason::LocalShortage,
            is_up: false,
            connect_deadline: by,
            read_buffer: ReadBuffer::new(
                of.limits.max_line_bytes,
                of.limits.max_line_bytes,
                &of.memory_budget,
            ),
            coming: None,
            queue: VecDeque::new(),
            line: Vec::new(),
            written: 0,
            awaits_client_check: false,
            skipped: BTreeSet::new(),
            begun: BTreeSet::new(),
        }
    }

    /// Whether it has come up, as far as is known.
    pub(super) fn check_connected(&mut self) -> Result<(), CloseReason> {
        let Some(stream) = &self.stream else { return Ok(()) };
        if let Ok(Some(_)) | Err(_) = stream.take_error() {
            // One that was up was reset, which says nothing of what it carried before.
            return Err(if self.is_up { CloseReason::Closed } else { CloseReason::Unreachable });
        }
        self.is_up = self.is_up || stream.peer_addr().is_ok();
        Ok(())
    }

    /// Passes over what waits and is not to be begun any more: given up, withdrawn or past its time before the
    /// connection came up or took it; and the kill of such a one.
    fn pass_over(&mut self, of: &SharedContext) {
        let (now, link, mut begun) = (of.clock.now(), self.id, self.written > 0);
        let skipped = &mut self.skipped;
        self.queue.retain(|send| {
            if std::mem::take(&mut begun) {
                return true;
            }
            if !send.is_pull() {
                return !skipped.remove(&send.request_id);
            }
            let why = match send.may_begin(now, of.clients_checked_at()) {
                Ok(_) | Err(BeginDenied::Unconfirmed) => return true,
                Err(why) => why,
            };
            tracing::debug!(
                "link {link}: attempt {} not begun: {why:?}",
                node_protocol::request_id_text(&send.request_id)
            );
            counters::count_denial(&of.counters, why);
            skipped.insert(send.request_id);
            // The desk outlives all connections, but for the end of the program.
            let _ = of.events.send(Event::AttemptNotSent { connection: link, request_id: send.request_id });
            false
        });
    }

    /// Writes on, as far as there is room.
    pub(super) fn write(&mut self, of: &SharedContext) -> Result<(), CloseReason> {
        self.awaits_client_check = false;
        self.pass_over(of);
        while let (Some(send), Some(stream), true) = (self.queue.front(), &self.stream, self.is_up) {
            let now = of.clock.now();
            if now >= send.until().saturating_add(of.limits.write_finish_grace) {
                return Err(CloseReason::ProtocolError("a send not taken in time"));
            }
            if self.written == 0 {
                // What is written from here on tells what is left now.
                match send.may_begin(now, of.clients_checked_at()) {
                    Ok(left) => self.line = send.line(left),
                    Err(BeginDenied::Unconfirmed) => {
                        counters::count_denial(&of.counters, BeginDenied::Unconfirmed);
                        self.awaits_client_check = true;
                        return Ok(());
                    }
                    Err(_) => {
                        self.pass_over(of);
                        continue;
                    }
                }
            }
            let (body, tail) = send.body();
            let mut parts = [IoSlice::new(&self.line), IoSlice::new(body), IoSlice::new(tail)];
            match write_on(stream, &mut parts, &mut self.written) {
                Ok(whole) => {
                    note_begun(&mut self.begun, send);
                    if whole {
                        self.written = 0;
                        self.queue.pop_front();
                        self.pass_over(of);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) || e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(_) => return Err(CloseReason::ProtocolError("a send not taken")),
            }
        }
        Ok(())
    }

    /// Passes on whole answers, up to a share; whether there may be more at once. Ends at bytes that are no answer.
    pub(super) fn read(&mut self, of: &SharedContext) -> Result<bool, CloseReason> {
        for _ in 0..of.limits.max_messages_per_turn {
            let Some(stream) = &self.stream else { return Ok(false) };
            let done = match self.coming.as_mut() {
                Some(coming) => coming.on(&mut self.read_buffer, stream),
                None => self.begin(of)?,
            };
            match done {
                Ok(true) => {}
                Ok(false) => return Err(CloseReason::Closed),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_would_block(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::InvalidData => {
                    return Err(CloseReason::ProtocolError("line too long"));
                }
                Err(_) => return Err(CloseReason::Closed),
            }
            if self.coming.as_ref().is_some_and(|c| c.come == c.length)
                && let Some(line_end) = self.read_buffer.unread().get(..2)
            {
                if *line_end != *b"\r\n" {
                    return Err(CloseReason::ProtocolError("a body longer than its length"));
                }
                self.read_buffer.consume(2);
                counters::add(&of.counters.body_bytes, self.coming.as_ref().map_or(0, |c| c.length));
                if let Some(coming) = self.coming.take() {
                    let ended = Box::new(coming.end(of.clock.now()));
                    self.begun.remove(&ended.request_id);
                    if of.events.send(Event::AttemptEnded { connection: self.id, result: ended }).is_err() {
                        return Err(CloseReason::DispatcherGone);
                    }
                }
            }
        }
        Ok(true)
    }

    /// The head of an answer, if its line has come.
    fn begin(&mut self, of: &SharedContext) -> Result<io::Result<bool>, CloseReason> {
        let Some(end) = self.read_buffer.unread().windows(2).position(|w| w == b"\r\n") else {
            let Some(stream) = &self.stream else { return Err(CloseReason::Closed) };
            return Ok(self.read_buffer.fill(stream));
        };
        let head = node_protocol::parse_answer_head(&self.read_buffer.unread()[..end])
            .ok_or(CloseReason::ProtocolError("not an answer"))?;
        if head.body_length > of.limits.max_body_bytes {
            return Err(CloseReason::ProtocolError("body too long"));
        }
        let (outcome, hit, load) = (head.outcome, head.is_cache_hit, head.load);
        self.coming = Some(Coming {
            ended: AttemptEnded {
                request_id: head.request_id,
                outcome,
                is_cache_hit: hit,
                load,
                copy: None,
                ended_at: 0,
            },
            tag: head.tag.unwrap_or_default().into(),
            unchanged: head.is_unchanged,
            body: of.memory_budget.allocate_body(head.body_length),
            length: head.body_length,
            come: 0,
        });
        self.read_buffer.consume(end + 2);
        Ok(Ok(true))
    }
}

impl Coming {
    /// Takes in what has come; with all of the body there, the end of its line.
    fn on(&mut self, intake: &mut ReadBuffer, mut stream: &TcpStream) -> io::Result<bool> {
        let here = intake.unread().len().min(self.length - self.come);
        if let Some(body) = self.body.as_mut() {
            body.bytes_mut()[self.come..self.come + here].copy_from_slice(&intake.unread()[..here]);
        }
        intake.consume(here);
        self.come += here;
        let left = self.length - self.come;
        match self.body.as_mut() {
            Some(body) if left > 0 => {
                let n = stream.read(&mut body.bytes_mut()[self.come..])?;
                self.come += n;
                Ok(n > 0)
            }
            None if left > 0 => intake.fill(stream),
            _ if intake.unread().len() >= 2 => Ok(true),
            _ => intake.fill(stream),
        }
    }

    fn end(self, at: Ns) -> AttemptEnded {
        let Coming { mut ended, tag, unchanged, body, .. } = self;
        ended.ended_at = at;
        match body {
            // With no room for its body it counts as called off.
            None => ended.outcome = Outcome::Cancelled,
            Some(body) if ended.outcome == Outcome::Success => {
                ended.copy = Some(CachedCopy { tag, body: (!unchanged).then(|| Arc::new(body)) });
            }
            Some(_) => {}
        }
        ended
    }
}
