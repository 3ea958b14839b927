//! The connections to nodes: one thread holds them all, makes them, writes sends and reads answers. It waits for
//! any of them, and never for one alone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::rules::{Hold, Waiting};
use sablecross::{Ns, Outcome};

use super::intake::Intake;
use super::{lines, write_on};
use crate::common::Common;
use crate::exchange::{Copy, Ended, Event, Link, LinkLoss, Name, Withdrawn};
use crate::plain::bodies::Body;
use crate::plain::counters;
use crate::plain::os_error::{is_local_shortage, is_network_trouble, is_pause};
use crate::plain::sparing::Sparing;

pub enum Order {
    Dial {
        link: Link,
        address: SocketAddr,
        by: Ns,
    },
    Pull {
        link: Link,
        send: Send,
    },
    Kill {
        link: Link,
        name: Name,
    },
    /// Some of its sends were withdrawn: what is not begun of them is not to be.
    Withdraw(Link),
    Close(Link),
}

/// The desk's way to the connections.
pub struct Orders {
    orders: Sender<Order>,
    waker: Waker,
}

impl Orders {
    /// False if there are more than can be kept.
    pub fn give(&self, order: Order) -> bool {
        let given = self.orders.try_send(order).is_ok();
        // It wakes by itself before long.
        let _ = self.waker.wake();
        given
    }
}

const ORDERS: Token = Token(usize::MAX);

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
enum Over {
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

struct Wire {
    link: Link,
    address: SocketAddr,
    /// None while it can't be made.
    stream: Option<TcpStream>,
    /// When it is to be made, if it is not.
    connect_at: Ns,
    /// Why it could not be made last.
    shortage: Over,
    up: bool,
    /// By when it must be up.
    by: Ns,
    intake: Intake,
    coming: Option<Coming>,
    sends: VecDeque<Send>,
    /// The line of the first send, once it has been begun, and the bytes of the send that are written.
    line: Vec<u8>,
    written: usize,
    /// Its first send waits until it is known whether its client has gone.
    unconfirmed: bool,
    /// Sends that were passed over, until the kill of each has come, which is passed over too.
    skipped: BTreeSet<Name>,
    /// Sends that are written, if only in part, and neither answered nor killed.
    begun: BTreeSet<Name>,
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
    /// Whether it has come up, as far as is known.
    fn rise(&mut self) -> Result<(), Over> {
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
    fn write(&mut self, of: &Common) -> Result<(), Over> {
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
    fn read(&mut self, of: &Common) -> Result<bool, Over> {
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

pub struct Links {
    poll: Poll,
    orders: Receiver<Order>,
    of: Arc<Common>,
    wires: BTreeMap<Link, Wire>,
    /// Connections that have more to say than their share.
    more: Vec<Link>,
    sweep_at: Ns,
    log: Sparing,
}

impl Links {
    pub fn new(of: &Arc<Common>) -> io::Result<(Links, Orders)> {
        let poll = Poll::new()?;
        let (orders, from_desk) = bounded(of.limits.orders);
        let orders = Orders { orders, waker: Waker::new(poll.registry(), ORDERS)? };
        Ok((
            Links {
                poll,
                orders: from_desk,
                of: Arc::clone(of),
                wires: BTreeMap::new(),
                more: Vec::new(),
                sweep_at: 0,
                log: Sparing::default(),
            },
            orders,
        ))
    }

    /// Serves for ever, or until the desk is gone.
    pub fn serve(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.turns);
        loop {
            let wait =
                if self.more.is_empty() { self.of.clock.until(self.sweep_at) } else { Default::default() };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !is_pause(&e)
            {
                return tracing::error!("connections to nodes: {e}");
            }
            let mut again = std::mem::take(&mut self.more);
            let mut writable = Vec::new();
            for event in events.iter().filter(|event| event.token() != ORDERS) {
                let link = event.token().0 as Link;
                if event.is_writable() {
                    self.with(link, |wire, _| wire.rise());
                    writable.push(link);
                }
                again.push(link);
            }
            again.sort_unstable();
            again.dedup();
            // What has come first: nothing is begun on a connection whose end is here already.
            again.into_iter().for_each(|link| self.read(link));
            for link in writable {
                self.with(link, |wire, of| wire.write(of));
            }
            loop {
                match self.orders.try_recv() {
                    Ok(order) => self.order(order),
                    Err(e) if e.is_empty() => break,
                    Err(_) => return,
                }
            }
            let now = self.of.clock.now();
            if now >= self.sweep_at {
                self.sweep(now);
                let dialing = self.wires.values().any(|wire| !wire.up);
                let unmade = self.wires.values().any(|wire| wire.stream.is_none());
                self.sweep_at = now
                    + match (unmade, dialing) {
                        (true, _) => limits.shortage_pause,
                        (false, true) => limits.margin,
                        (false, false) => limits.sweep,
                    };
            }
            if self.wires.values().any(|wire| wire.unconfirmed) {
                self.sweep_at = self.sweep_at.min(now + limits.confirm_pause);
            }
        }
    }

    fn with<T>(&mut self, link: Link, run: impl FnOnce(&mut Wire, &Common) -> Result<T, Over>) -> Option<T> {
        let wire = self.wires.get_mut(&link)?;
        run(wire, &self.of).map_err(|why| self.lose(link, why)).ok()
    }

    fn read(&mut self, link: Link) {
        if self.with(link, |wire, of| wire.read(of)) == Some(true) {
            self.more.push(link);
        }
    }

    fn order(&mut self, order: Order) {
        let (link, send) = match order {
            Order::Dial { link, address, by } => return self.dial(link, address, by),
            Order::Close(link) => return drop(self.wires.remove(&link)),
            Order::Withdraw(link) => {
                self.with(link, |wire, of| wire.write(of));
                return;
            }
            Order::Pull { link, send } => {
                // Its end may have come since it was looked at: what is not begun on it has never run.
                if self.wires.get(&link).is_some_and(|wire| wire.up) {
                    self.read(link);
                }
                (link, send)
            }
            Order::Kill { link, name } => {
                let until = self.of.clock.now() + self.of.limits.undated;
                let (off, withdrawn) = (Withdrawn::default(), Withdrawn::default());
                (link, Send { name, content: Content::Kill { until }, off, withdrawn })
            }
        };
        self.with(link, |wire, of| {
            wire.sends.push_back(send);
            wire.write(of)
        });
    }

    fn dial(&mut self, link: Link, address: SocketAddr, by: Ns) {
        let intake = Intake::new(self.of.limits.line, self.of.limits.line, &self.of.room);
        let (sends, skipped, begun) = (VecDeque::new(), BTreeSet::new(), BTreeSet::new());
        let wire = Wire {
            link,
            address,
            stream: None,
            connect_at: 0,
            shortage: Over::Shortage,
            up: false,
            by,
            intake,
            coming: None,
            sends,
            line: Vec::new(),
            written: 0,
            unconfirmed: false,
            skipped,
            begun,
        };
        self.wires.insert(link, wire);
        self.connect(link);
        // It must be given up in its time, if it does not come up.
        self.sweep_at = self.sweep_at.min(self.of.clock.now() + self.of.limits.margin);
    }

    /// Makes a connection. What this machine is short of passes: it is tried again for as long as it may take to
    /// come up, and its sends wait.
    fn connect(&mut self, link: Link) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let made = TcpStream::connect(wire.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(link as usize), interest)?;
            // Without it sends are but slower.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match made {
            Ok(stream) => wire.stream = Some(stream),
            Err(e) if is_local_shortage(&e) => {
                let lasting = if is_network_trouble(&e) { Over::Unreachable } else { Over::Shortage };
                wire.shortage = lasting;
                wire.connect_at = self.of.clock.now() + self.of.limits.shortage_pause;
                self.sweep_at = self.sweep_at.min(wire.connect_at);
                counters::add(&self.of.counters.shortages, 1);
                let address = wire.address;
                self.log.warn(self.of.clock.now(), || format!("link {link} to {address} waits: {e}"));
            }
            Err(e) => {
                tracing::debug!("link {link} to {}: {e}", wire.address);
                self.lose(link, Over::Unreachable);
            }
        }
    }

    /// Makes what could not be made; ends what did not come up, or does not take what it is given, in time.
    fn sweep(&mut self, now: Ns) {
        let unmade =
            self.wires.iter().filter(|(_, w)| w.stream.is_none() && now >= w.connect_at && now < w.by);
        let unmade: Vec<Link> = unmade.map(|(link, _)| *link).collect();
        unmade.into_iter().for_each(|link| self.connect(link));
        let late = self.wires.values().filter(|w| !w.up && now >= w.by);
        let late: Vec<(Link, Over)> =
            late.map(|w| (w.link, if w.stream.is_none() { w.shortage } else { Over::Unreachable })).collect();
        late.into_iter().for_each(|(link, why)| self.lose(link, why));
        let waiting = self.wires.iter().filter(|(_, w)| !w.sends.is_empty()).map(|(link, _)| *link);
        for link in waiting.collect::<Vec<Link>>() {
            self.with(link, |wire, of| wire.write(of));
        }
    }

    /// A connection is over. What was not begun to be written on it never ran.
    fn lose(&mut self, link: Link, why: Over) {
        let Some(mut wire) = self.wires.remove(&link) else { return };
        // Whole answers may have come before the end: they are owed.
        for _ in 0..self.of.limits.turns {
            if !wire.up || wire.read(&self.of) != Ok(true) {
                break;
            }
        }
        if let Over::Fault(why) = why {
            counters::add(&self.of.counters.bad_lines, 1);
            let address = wire.address;
            self.log.warn(self.of.clock.now(), || format!("link {link} to {address}: {why}"));
        }
        let why = match why {
            _ if wire.up => LinkLoss::Broken,
            Over::Shortage => LinkLoss::Shortage,
            _ => LinkLoss::Unreachable,
        };
        let _ = self.of.events.send(Event::Lost { link, why, begun: wire.begun });
    }
}
