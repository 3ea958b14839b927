//! One connection to a node: the sends that wait on it, are begun on it, and their answers.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::rules::{Hold, Waiting};
use sablecross::{Ns, Outcome};

use super::intake::Intake;
use super::{lines, write_on};
use crate::common::Common;
use crate::exchange::{Copy, Ended, Event, Link, Name, Withdrawn};
use crate::plain::bodies::Body;
use crate::plain::counters;
use crate::plain::os_error::is_pause;

/// Something to write.
pub struct Send {
    pub name: Name,
    pub content: Content,
    /// The desk's word, and the client's, that it is not to be begun any more.
    pub off: Withdrawn,
    pub withdrawn: Withdrawn,
}

pub enum Content {
    Pull {
        head: lines::PullHead,
        body: Arc<Body>,
        begin_by: Ns,
        /// When its time-out is over.
        answer_by: Ns,
    },
    Kill {
        until: Ns,
    },
}

impl Send {
    fn is_pull(&self) -> bool {
        matches!(self.content, Content::Pull { .. })
    }

    /// Until when it may be written to its end.
    fn until(&self) -> Ns {
        match self.content {
            Content::Pull { begin_by, answer_by, .. } => begin_by.min(answer_by),
            Content::Kill { until } => until,
        }
    }

    /// Whether it may be begun now; the time that its client has left then.
    fn may_begin(&self, now: Ns, clients_heard_at: Ns) -> Result<Ns, Hold> {
        match self.content {
            Content::Kill { .. } => Ok(0),
            Content::Pull { begin_by, answer_by, .. } => {
                let (retracted, client_gone) = (self.off.said(), self.withdrawn.said());
                Waiting { begin_by, answer_by, retracted, client_gone, clients_heard_at }.may_begin(now)
            }
        }
    }

    /// Its line, as it is written now.
    fn line(&self, left: Ns) -> Vec<u8> {
        match &self.content {
            Content::Pull { head, .. } => head.line(left),
            Content::Kill { .. } => lines::kill(&self.name),
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
    ended: Ended,
    tag: Box<str>,
    unchanged: bool,
    /// None: there is no room, and it is read off.
    body: Option<Body>,
    length: usize,
    come: usize,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Over {
    /// Its node has closed or reset it.
    Ended,
    /// It did not come up.
    Unreachable,
    /// It could not be made, for want of something on this machine.
    Shortage,
    /// The desk has gone: the program ends.
    DeskGone,
    Fault(&'static str),
}

pub(super) struct Wire {
    pub(super) link: Link,
    pub(super) address: SocketAddr,
    /// None while it can't be made.
    pub(super) stream: Option<TcpStream>,
    /// When it is to be made, if it is not.
    pub(super) connect_at: Ns,
    /// Why it could not be made last.
    pub(super) shortage: Over,
    pub(super) up: bool,
    /// By when it must be up.
    pub(super) by: Ns,
    pub(super) intake: Intake,
    coming: Option<Coming>,
    pub(super) sends: VecDeque<Send>,
    /// The line of the first send, once it has been begun, and the bytes of the send that are written.
    pub(super) line: Vec<u8>,
    pub(super) written: usize,
    /// Its first send waits until it is known whether its client has gone.
    pub(super) unconfirmed: bool,
    /// Sends that were passed over, until the kill of each has come, which is passed over too.
    pub(super) skipped: BTreeSet<Name>,
    /// Sends that are written, if only in part, and neither answered nor killed.
    pub(super) begun: BTreeSet<Name>,
}

/// Something of a send has been written. A kill gives up what it names.
fn note_begun(begun: &mut BTreeSet<Name>, send: &Send) {
    if send.is_pull() {
        begun.insert(send.name);
    } else {
        begun.remove(&send.name);
    }
}

impl Wire {
    /// One that is to be made, by then.
    pub(super) fn new(link: Link, address: SocketAddr, by: Ns, of: &Common) -> Wire {
        Wire {
            link,
            address,
            stream: None,
            connect_at: 0,
            shortage: Over::Shortage,
            up: false,
            by,
            intake: Intake::new(of.limits.line, of.limits.line, &of.room),
            coming: None,
            sends: VecDeque::new(),
            line: Vec::new(),
            written: 0,
            unconfirmed: false,
            skipped: BTreeSet::new(),
            begun: BTreeSet::new(),
        }
    }

    /// Whether it has come up, as far as is known.
    pub(super) fn rise(&mut self) -> Result<(), Over> {
        let Some(stream) = &self.stream else { return Ok(()) };
        if let Ok(Some(_)) | Err(_) = stream.take_error() {
            // One that was up was reset, which says nothing of what it carried before.
            return Err(if self.up { Over::Ended } else { Over::Unreachable });
        }
        self.up = self.up || stream.peer_addr().is_ok();
        Ok(())
    }

    /// Passes over what waits and is not to be begun any more: given up, withdrawn or past its time before the
    /// connection came up or took it; and the kill of such a one.
    fn pass_over(&mut self, of: &Common) {
        let (now, link, mut begun) = (of.clock.now(), self.link, self.written > 0);
        let skipped = &mut self.skipped;
        self.sends.retain(|send| {
            if std::mem::take(&mut begun) {
                return true;
            }
            if !send.is_pull() {
                return !skipped.remove(&send.name);
            }
            let why = match send.may_begin(now, of.clients_heard_at()) {
                Ok(_) | Err(Hold::Unconfirmed) => return true,
                Err(why) => why,
            };
            tracing::debug!("link {link}: attempt {} not begun: {why:?}", lines::text(&send.name));
            counters::hold(&of.counters, why);
            skipped.insert(send.name);
            // The desk outlives all connections, but for the end of the program.
            let _ = of.events.send(Event::Unbegun { link, name: send.name });
            false
        });
    }

    /// Writes on, as far as there is room.
    pub(super) fn write(&mut self, of: &Common) -> Result<(), Over> {
        self.unconfirmed = false;
        self.pass_over(of);
        while let (Some(send), Some(stream), true) = (self.sends.front(), &self.stream, self.up) {
            let now = of.clock.now();
            if now >= send.until().saturating_add(of.limits.finish) {
                return Err(Over::Fault("a send not taken in time"));
            }
            if self.written == 0 {
                // What is written from here on tells what is left now.
                match send.may_begin(now, of.clients_heard_at()) {
                    Ok(left) => self.line = send.line(left),
                    Err(Hold::Unconfirmed) => {
                        counters::hold(&of.counters, Hold::Unconfirmed);
                        self.unconfirmed = true;
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
                        self.sends.pop_front();
                        self.pass_over(of);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_pause(&e) || e.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(_) => return Err(Over::Fault("a send not taken")),
            }
        }
        Ok(())
    }

    /// Passes on whole answers, up to a share; whether there may be more at once. Ends at bytes that are no answer.
    pub(super) fn read(&mut self, of: &Common) -> Result<bool, Over> {
        for _ in 0..of.limits.turns {
            let Some(stream) = &self.stream else { return Ok(false) };
            let done = match self.coming.as_mut() {
                Some(coming) => coming.on(&mut self.intake, stream),
                None => self.begin(of)?,
            };
            match done {
                Ok(true) => {}
                Ok(false) => return Err(Over::Ended),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_pause(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::InvalidData => return Err(Over::Fault("line too long")),
                Err(_) => return Err(Over::Ended),
            }
            if self.coming.as_ref().is_some_and(|c| c.come == c.length)
                && let Some(line_end) = self.intake.seen().get(..2)
            {
                if *line_end != *b"\r\n" {
                    return Err(Over::Fault("a body longer than its length"));
                }
                self.intake.used(2);
                counters::add(&of.counters.body_bytes, self.coming.as_ref().map_or(0, |c| c.length));
                if let Some(coming) = self.coming.take() {
                    let ended = Box::new(coming.end(of.clock.now()));
                    self.begun.remove(&ended.name);
                    if of.events.send(Event::Ended { link: self.link, ended }).is_err() {
                        return Err(Over::DeskGone);
                    }
                }
            }
        }
        Ok(true)
    }

    /// The head of an answer, if its line has come.
    fn begin(&mut self, of: &Common) -> Result<io::Result<bool>, Over> {
        let Some(end) = self.intake.seen().windows(2).position(|w| w == b"\r\n") else {
            let Some(stream) = &self.stream else { return Err(Over::Ended) };
            return Ok(self.intake.more(stream));
        };
        let head = lines::head(&self.intake.seen()[..end]).ok_or(Over::Fault("not an answer"))?;
        if head.length > of.limits.body {
            return Err(Over::Fault("body too long"));
        }
        let (outcome, hit, load) = (head.outcome, head.hit, head.load);
        self.coming = Some(Coming {
            ended: Ended { name: head.name, outcome, hit, load, copy: None, at: 0 },
            tag: head.tag.unwrap_or_default().into(),
            unchanged: head.unchanged,
            body: of.room.body(head.length),
            length: head.length,
            come: 0,
        });
        self.intake.used(end + 2);
        Ok(Ok(true))
    }
}

impl Coming {
    /// Takes in what has come; with all of the body there, the end of its line.
    fn on(&mut self, intake: &mut Intake, mut stream: &TcpStream) -> io::Result<bool> {
        let here = intake.seen().len().min(self.length - self.come);
        if let Some(body) = self.body.as_mut() {
            body.bytes_mut()[self.come..self.come + here].copy_from_slice(&intake.seen()[..here]);
        }
        intake.used(here);
        self.come += here;
        let left = self.length - self.come;
        match self.body.as_mut() {
            Some(body) if left > 0 => {
                let n = stream.read(&mut body.bytes_mut()[self.come..])?;
                self.come += n;
                Ok(n > 0)
            }
            None if left > 0 => intake.more(stream),
            _ if intake.seen().len() >= 2 => Ok(true),
            _ => intake.more(stream),
        }
    }

    fn end(self, at: Ns) -> Ended {
        let Coming { mut ended, tag, unchanged, body, .. } = self;
        ended.at = at;
        match body {
            // With no room for its body it counts as called off.
            None => ended.outcome = Outcome::Cancelled,
            Some(body) if ended.outcome == Outcome::Satisfied => {
                ended.copy = Some(Copy { tag, body: (!unchanged).then(|| Arc::new(body)) });
            }
            Some(_) => {}
        }
        ended
    }
}
