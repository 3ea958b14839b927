//! The control feed: numbered events over HTTP, each taken once and in order. What its bytes say, which events are news and
//! which feed is called is decided in `sablecross-feed`; here are its sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use sablecross_feed::{Cursor, Feeds, Flaw, Said, Stream, Verdict, request};
use serde_json::Value;

use super::intake::Intake;
use crate::common::Common;
use crate::exchange::Event;
use crate::plain::counters;
use crate::plain::facts::{Fact, Known, Numbered};
use crate::plain::os_error::is_pause;
use crate::upper::InForce;

/// Where the feed is from now on, home first, and what was known there.
pub type Move = (Vec<SocketAddr>, Known);

/// Follows the feed for ever, or until the desk is gone.
pub struct Follower {
    pub cursor: Cursor,
    pub feeds: Feeds,
    pub common: Arc<Common>,
    pub moves: Receiver<Move>,
    /// It answered last time; it has not been called yet.
    pub up: bool,
    pub first: bool,
    /// The name under which it says what it has in force.
    pub party: String,
    pub in_force: Receiver<InForce>,
    /// What it has to say, until the feed has heard it; when it was said last.
    pub word: Option<(InForce, Instant)>,
}

enum Over {
    /// The call failed or the stream broke off; the next feed is called.
    Call(String),
    /// What it said is asked for once more.
    Again(String),
    /// The stream came to its end, as it may at any time.
    Ended,
    /// The feed is to be followed elsewhere.
    Moved(Move),
    Desk,
}

impl From<io::Error> for Over {
    fn from(e: io::Error) -> Over {
        Over::Call(e.to_string())
    }
}

impl From<Flaw> for Over {
    fn from(flaw: Flaw) -> Over {
        Over::Call(flaw.to_string())
    }
}

/// Read at once.
const READ: usize = 16 << 10;

impl Follower {
    pub fn follow(mut self) {
        let began = Instant::now();
        loop {
            let (start, before) = (Instant::now(), self.cursor.last());
            match self.call().err().unwrap_or(Over::Ended) {
                Over::Desk => return,
                Over::Moved(to) => {
                    if self.moved(to).is_err() {
                        return;
                    }
                    continue;
                }
                // It is over only if the next call fails: relays end streams all the time.
                Over::Ended => {
                    tracing::debug!("feed ended after={}", self.cursor.last());
                    self.feeds.ended(began.elapsed());
                }
                Over::Again(why) => self.over(&why),
                Over::Call(why) => {
                    self.over(&why);
                    self.feeds.failed(began.elapsed());
                }
            }
            // Called again at once, but for one that fails or ends at once: no loop without a pause.
            if self.cursor.last() == before && start.elapsed() < self.common.limits.feed_pause {
                std::thread::sleep(self.common.limits.feed_pause);
            }
        }
    }

    fn over(&mut self, why: &str) {
        if std::mem::take(&mut self.up) {
            tracing::info!("feed over after={} why={why}", self.cursor.last());
        }
    }

    /// The numbers go on: of what was known there, only what follows the last one is news.
    fn moved(&mut self, (to, known): Move) -> Result<(), Over> {
        let Some((home, others)) = to.split_first() else { return Ok(()) };
        let from = self.feeds.at();
        tracing::info!("feed moved after={} from={from} to={home}", self.cursor.last());
        self.feeds = Feeds::new(&self.party, *home, others);
        for event in known.events {
            if self.cursor.follows(event.n) {
                self.take(event.fact)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, fact: Fact) -> Result<(), Over> {
        self.common.events.send(Event::Fact(fact)).map_err(|_| Over::Desk)
    }

    /// An error if the feed is to be followed elsewhere.
    fn stays(&self) -> Result<(), Over> {
        self.moves.try_recv().map_or(Ok(()), |to| Err(Over::Moved(to)))
    }

    /// Says what is in force, where a hierarchy is: again after a while until it is heard.
    fn say(&mut self) {
        let now = Instant::now();
        for in_force in self.in_force.try_iter() {
            self.word = Some((in_force, now));
        }
        let Some((word, at)) = self.word.filter(|(_, at)| *at <= now) else { return };
        match self.said(word) {
            Ok(()) => self.word = None,
            Err(e) => {
                tracing::debug!("feed: in force not heard: {e}");
                self.word = Some((word, at.max(now) + self.common.limits.feed_silence));
            }
        }
    }

    fn said(&self, word: InForce) -> io::Result<()> {
        let body = format!(
            r#"{{"party":"{}","number":{},"digest":"{:016x}"}}"#,
            self.party, word.number, word.digest
        );
        let (at, dial) = (self.feeds.at(), Duration::from_nanos(self.common.limits.dial));
        let stream = TcpStream::connect_timeout(&at, dial)?;
        stream.set_read_timeout(Some(dial))?;
        stream.set_write_timeout(Some(dial))?;
        let request = format!(
            "POST /v1/hierarchy/in-force HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            at,
            body.len()
        );
        (&stream).write_all(request.as_bytes())?;
        let mut intake =
            Intake::new(self.common.limits.head, self.common.limits.feed_event, &self.common.room);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut answer = httparse::Response::new(&mut headers);
            match answer.parse(intake.seen()) {
                Ok(httparse::Status::Complete(_)) if answer.code.is_some_and(|c| c / 100 == 2) => {
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if intake.more(&stream)? => {}
                _ => return Err(io::Error::new(ErrorKind::InvalidData, "not taken")),
            }
        }
    }

    /// Reads more; false at the end. Silence past its time is an error, and so is news of another address.
    fn hear(&mut self, stream: &mut Stream, socket: &TcpStream) -> Result<bool, Over> {
        let (start, mut bytes) = (Instant::now(), [0; READ]);
        loop {
            self.say();
            self.stays()?;
            match (&mut &*socket).read(&mut bytes) {
                Err(e) if is_pause(&e) && start.elapsed() < self.common.limits.feed_silence => {}
                Err(e) if is_pause(&e) => return Err(Over::Call("silent".into())),
                Err(e) => return Err(e.into()),
                Ok(0) => return Ok(false),
                Ok(n) => {
                    stream.take(&bytes[..n]);
                    return Ok(true);
                }
            }
        }
    }

    /// One connection, read until its end.
    fn call(&mut self) -> Result<(), Over> {
        self.stays()?;
        counters::add(&self.common.counters.feed_calls, 1);
        let at = self.feeds.at();
        let socket = TcpStream::connect_timeout(&at, Duration::from_nanos(self.common.limits.dial))?;
        socket.set_read_timeout(Some(self.common.limits.feed_poll))?;
        socket.set_write_timeout(Some(self.common.limits.feed_silence))?;
        (&socket).write_all(request(at, self.cursor.last()).as_bytes())?;
        let mut stream = Stream::new(self.common.limits.feed_event);
        loop {
            while let Some(said) = stream.said()? {
                match said {
                    Said::Up => {
                        self.feeds.answered();
                        if !std::mem::replace(&mut self.up, true) || self.first {
                            tracing::info!("feed up after={}", self.cursor.last());
                        }
                        self.first = false;
                    }
                    Said::Event { id, data } => self.event(id, &data)?,
                    Said::Comment(_) => {}
                }
            }
            if !self.hear(&mut stream, &socket)? {
                return Ok(stream.end()?);
            }
        }
    }

    /// Takes one event in, unless it is a repeat or others are missing before it.
    fn event(&mut self, id: Option<u64>, data: &str) -> Result<(), Over> {
        let parsed = serde_json::from_str(data).map_err(|e| e.to_string());
        let parsed = parsed.and_then(|v: Value| Numbered::of(&v));
        match self.cursor.event(id, parsed.map(|e| (e.n, e.fact))) {
            Verdict::Take(fact) => self.take(fact),
            Verdict::Repeat => Ok(()),
            Verdict::Again(why) => {
                counters::add(&self.common.counters.feed_gaps, 1);
                Err(Over::Again(why))
            }
            Verdict::Skip { number, why } => {
                counters::add(&self.common.counters.feed_skipped, 1);
                tracing::warn!("feed skipped n={number}: {why}");
                Ok(())
            }
        }
    }
}
