//! The client side: a reader and a writer for each connection.

use std::io::{ErrorKind, IoSlice};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crossbeam_channel::{Receiver, bounded};
use sablecross::Ns;

use super::intake::{Intake, paused};
use super::rpc::{self, Flaw, Message};
use super::write_all;
use crate::exchange::{Asked, Client, Event};
use crate::life::clock::MS;
use crate::life::{Common, counters, thread};
use crate::memory::bodies::Body;

/// What a client is told, and until when it listens.
pub struct Reply {
    pub call: u32,
    pub until: Ns,
    pub say: Say,
}

pub enum Say {
    /// Without a body: the client's copy is the one.
    Satisfied(Option<Arc<Body>>),
    Nacked {
        pause_ms: u64,
    },
    Failed,
    Alive(bool),
}

/// Tells the desk that a connection is over, however its reader ends.
struct Leaving<'a>(&'a Common, Client);

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        // The desk outlives all connections, but for the end of the program.
        let _ = self.0.events.send(Event::Left { client: self.1 });
    }
}

/// Takes connections in for ever.
pub fn accept(listener: &TcpListener, of: &Arc<Common>) {
    let open = Arc::new(AtomicUsize::new(0));
    for client in 0.. {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, most likely: leave time for some to close.
                log::warn!("accept failed: {e}");
                std::thread::sleep(of.limits.accept_pause);
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= of.limits.clients {
            counters::add(&of.counters.turned_away, 1);
            continue;
        }
        let held = Held::one_more(&open);
        if let Err(e) = serve(client, stream, of, held) {
            log::warn!("connection of a client not served: {e}");
        }
    }
}

/// Counts an open connection for as long as its reader lives.
struct Held(Arc<AtomicUsize>);

impl Held {
    fn one_more(open: &Arc<AtomicUsize>) -> Held {
        open.fetch_add(1, Ordering::Relaxed);
        Held(Arc::clone(open))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn serve(client: Client, stream: TcpStream, of: &Arc<Common>, held: Held) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let stream = Arc::new(stream);
    let (replies, from_desk) = bounded(of.limits.replies);
    let (theirs, common) = (Arc::clone(&stream), Arc::clone(of));
    thread("client-writer", of.limits.stack, move || write(&theirs, &from_desk, &common))?;
    let joined = Event::Joined { client, replies, stream: Arc::clone(&stream) };
    if of.events.send(joined).is_err() {
        return Ok(());
    }
    let common = Arc::clone(of);
    let reader = thread("client-reader", of.limits.stack, move || {
        let _held = held;
        let _leaving = Leaving(&common, client);
        if let Err(why) = read(client, &stream, &common) {
            counters::add(&common.counters.bad_messages, 1);
            log::debug!("client {client}: {why}");
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    if reader.is_err() {
        drop(Leaving(of, client));
    }
    reader
}

/// Passes on what a client asks; ends with the connection, or at bytes that are no message.
fn read(client: Client, stream: &TcpStream, of: &Common) -> Result<(), &'static str> {
    let mut intake = Intake::new(of.limits.line, of.limits.head + of.limits.body, &of.room);
    loop {
        match rpc::read(intake.seen(), &of.names, &of.limits) {
            Ok((message, length)) => {
                let event = event(client, message, of);
                intake.used(length);
                if of.events.send(event).is_err() {
                    return Ok(());
                }
            }
            Err(Flaw::Bad(why)) => return Err(why),
            Err(Flaw::Short) => match intake.more(stream) {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::InvalidData => return Err("message too long"),
                Err(e) if paused(&e) => {}
                Err(e) if e.kind() == ErrorKind::OutOfMemory => return Err("no room for its message"),
                Err(_) => return Ok(()),
            },
        }
    }
}

fn event(client: Client, message: Message, of: &Common) -> Event {
    match message {
        Message::Alive { call } => Event::Alive { client, call },
        Message::Cancel { call } => Event::Cancelled { client, call },
        Message::Unfit { call, why } => {
            counters::add(&of.counters.bad_messages, 1);
            log::debug!("client {client}, call {call}: {why}");
            Event::Unfit { client, call, crowded: false }
        }
        Message::Lookup { call, fields, body: bytes } => {
            let arrived = of.clock.now();
            let Some(mut body) = of.room.body(bytes.len()) else {
                return Event::Unfit { client, call, crowded: true };
            };
            body.bytes_mut().copy_from_slice(bytes);
            Event::Asked(Box::new(Asked {
                client,
                call,
                name: fields.name,
                kind: fields.kind,
                object: fields.object,
                part: fields.part,
                group: fields.group,
                size_kb: fields.size_kb,
                tag: fields.tag.map(Into::into),
                body: Arc::new(body),
                arrived,
                budget: (fields.budget_ms.saturating_mul(MS)).min(of.limits.longest_budget),
            }))
        }
    }
}

/// Writes answers in the order in which the desk gives them. A slow client delays its own alone; what it has
/// not taken by its time cuts the connection off, so that it can tell that the answer is not whole.
fn write(stream: &TcpStream, replies: &Receiver<Reply>, of: &Common) {
    let mut cut = false;
    for reply in replies {
        let late = of.clock.now() >= reply.until;
        if cut || late {
            counters::add(&of.counters.unsent, 1);
        } else if let Err(e) = say(stream, &reply, of) {
            counters::add(&of.counters.unsent, 1);
            log::debug!("answer not written: {e}");
            let _ = stream.shutdown(Shutdown::Both);
            cut = true;
        }
        of.unwritten.fetch_sub(1, Ordering::Release);
    }
    let _ = stream.shutdown(Shutdown::Write);
}

fn say(stream: &TcpStream, reply: &Reply, of: &Common) -> std::io::Result<()> {
    let call = reply.call;
    let whole = |bytes: Vec<u8>| rpc::Frame { before: bytes, after: Vec::new() };
    let (frame, body) = match &reply.say {
        Say::Satisfied(body) => {
            let body = body.as_deref();
            (rpc::satisfied(call, body.map_or(0, |b| b.bytes().len()), body.is_none()), body)
        }
        Say::Nacked { pause_ms: 0 } => (whole(rpc::error(call, "Rejected", &[])), None),
        Say::Nacked { pause_ms } => {
            (whole(rpc::error(call, "Rejected", &[("backoff", &pause_ms.to_string())])), None)
        }
        Say::Failed => (whole(rpc::error(call, "Failed", &[])), None),
        Say::Alive(alive) => (whole(rpc::alive(call, *alive)), None),
    };
    let body = body.map_or(&[][..], |b| b.bytes());
    let mut parts = [IoSlice::new(&frame.before), IoSlice::new(body), IoSlice::new(&frame.after)];
    write_all(stream, &mut parts, reply.until, &of.clock)?;
    counters::add(&of.counters.answers, 1);
    counters::add(&of.counters.answer_bytes, body.len());
    Ok(())
}
