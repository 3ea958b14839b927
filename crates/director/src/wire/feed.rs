//! The control feed: numbered events over HTTP, each taken once and in order.

use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use serde_json::Value;

use super::intake::{Intake, paused};
use crate::common::Common;
use crate::exchange::Event;
use crate::plain::counters;
use crate::plain::facts::{Known, Numbered};
use crate::upper::InForce;

/// Follows the feed for ever, or until the desk is gone.
pub struct Follower {
    pub address: SocketAddr,
    pub last: u64,
    pub common: Arc<Common>,
    /// Where the feed has moved to, and what was known there.
    pub moves: Receiver<(SocketAddr, Known)>,
    /// The number after which events were missing or unreadable once already: then they are not to be had.
    pub gap: Option<u64>,
    pub up: bool,
    /// The name under which it says what it has in force.
    pub party: String,
    pub in_force: Receiver<InForce>,
    /// What it has to say, until the feed has heard it; when it was said last.
    pub word: Option<(InForce, Instant)>,
}

enum Over {
    /// The call failed or the stream ended; it is called again.
    Call(String),
    /// The feed is to be followed at another address.
    Moved(SocketAddr, Known),
    Desk,
}

impl From<io::Error> for Over {
    fn from(e: io::Error) -> Over {
        Over::Call(e.to_string())
    }
}

impl Follower {
    pub fn follow(mut self) {
        loop {
            let (start, before) = (Instant::now(), self.last);
            let why = match self.call() {
                Err(Over::Desk) => return,
                Err(Over::Moved(address, known)) => {
                    if self.moved(address, known).is_err() {
                        return;
                    }
                    continue;
                }
                Err(Over::Call(why)) => why,
                Ok(()) => "ended".into(),
            };
            if std::mem::take(&mut self.up) {
                tracing::info!("feed over after={} why={why}", self.last);
            }
            // Called again at once, but for one that fails or ends at once: no loop without a pause.
            if self.last == before && start.elapsed() < self.common.limits.feed_pause {
                std::thread::sleep(self.common.limits.feed_pause);
            }
        }
    }

    /// The numbers go on: of what was known there, only what follows the last one is news.
    fn moved(&mut self, address: SocketAddr, known: Known) -> Result<(), Over> {
        tracing::info!("feed moved after={} from={} to={address}", self.last, self.address);
        self.address = address;
        for event in known.events {
            if event.n == self.last + 1 {
                self.take(event)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, event: Numbered) -> Result<(), Over> {
        self.last = event.n;
        self.common.events.send(Event::Fact(event.fact)).map_err(|_| Over::Desk)
    }

    /// An error if the feed is to be followed at another address.
    fn stays(&self) -> Result<(), Over> {
        self.moves.try_recv().map_or(Ok(()), |(address, known)| Err(Over::Moved(address, known)))
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
        let dial = Duration::from_nanos(self.common.limits.dial);
        let stream = TcpStream::connect_timeout(&self.address, dial)?;
        stream.set_read_timeout(Some(dial))?;
        stream.set_write_timeout(Some(dial))?;
        let request = format!(
            "POST /v1/hierarchy/in-force HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.address,
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
    fn hear(&mut self, intake: &mut Intake, stream: &TcpStream) -> Result<bool, Over> {
        let start = Instant::now();
        loop {
            self.say();
            self.stays()?;
            match intake.more(stream) {
                Err(e) if paused(&e) && start.elapsed() < self.common.limits.feed_silence => {}
                Err(e) if paused(&e) => return Err(Over::Call("silent".into())),
                done => return Ok(done?),
            }
        }
    }

    /// One connection, read until its end.
    fn call(&mut self) -> Result<(), Over> {
        self.stays()?;
        counters::add(&self.common.counters.feed_calls, 1);
        let stream =
            TcpStream::connect_timeout(&self.address, Duration::from_nanos(self.common.limits.dial))?;
        stream.set_read_timeout(Some(self.common.limits.feed_poll))?;
        stream.set_write_timeout(Some(self.common.limits.feed_silence))?;
        let request = format!(
            "GET /v1/events HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            self.address, self.last
        );
        (&stream).write_all(request.as_bytes())?;
        let mut intake =
            Intake::new(self.common.limits.head, self.common.limits.feed_event, &self.common.room);
        let chunked = self.answer_head(&mut intake, &stream)?;
        self.up = true;
        tracing::info!("feed up after={}", self.last);
        let mut body = Chunks { left: if chunked { 0 } else { usize::MAX }, chunked, begun: false };
        let mut text = Vec::new();
        loop {
            while !body.take(&mut intake, &mut text)? {
                if !self.hear(&mut intake, &stream)? {
                    return Ok(());
                }
            }
            if text.len() > self.common.limits.feed_event {
                return Err(Over::Call("an event is too long".into()));
            }
            let mut used = 0;
            while let Some((event, length)) = first(&text[used..]) {
                self.event(event)?;
                used += length;
            }
            text.drain(..used);
        }
    }

    /// Reads the head of the answer; whether its body comes in chunks.
    fn answer_head(&mut self, intake: &mut Intake, stream: &TcpStream) -> Result<bool, Over> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut answer = httparse::Response::new(&mut headers);
            match answer.parse(intake.seen()) {
                Ok(httparse::Status::Complete(length)) => {
                    if answer.code != Some(200) {
                        return Err(Over::Call(format!("answer {}", answer.code.unwrap_or(0))));
                    }
                    let chunked = answer.headers.iter().any(|h| {
                        h.name.eq_ignore_ascii_case("transfer-encoding")
                            && h.value.to_ascii_lowercase().ends_with(b"chunked")
                    });
                    intake.used(length);
                    return Ok(chunked);
                }
                Ok(httparse::Status::Partial) => {
                    if !self.hear(intake, stream)? {
                        return Err(Over::Call("ended in its head".into()));
                    }
                }
                Err(e) => return Err(Over::Call(format!("not HTTP: {e}"))),
            }
        }
    }

    /// Takes one event in, unless it is a repeat or others are missing before it.
    fn event(&mut self, block: &[u8]) -> Result<(), Over> {
        let block = String::from_utf8_lossy(block);
        let mut id = None;
        let mut data = String::new();
        for line in block.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => id = value.parse().ok(),
                "data" if data.is_empty() => data.push_str(value),
                "data" => data = data + "\n" + value,
                _ => {}
            }
        }
        if data.is_empty() {
            return Ok(());
        }
        let parsed = serde_json::from_str(&data).map_err(|e| e.to_string());
        let parsed = parsed.and_then(|v: Value| Numbered::of(&v));
        let n = id.or(parsed.as_ref().ok().map(|e| e.n));
        if n.is_some_and(|n| n <= self.last) {
            return Ok(());
        }
        let missing = n.is_some_and(|n| n > self.last + 1);
        if (missing || parsed.is_err()) && self.gap != Some(self.last) {
            // Lost or cut on the way, most likely: it is asked for once more.
            self.gap = Some(self.last);
            counters::add(&self.common.counters.feed_gaps, 1);
            let what = if missing { "gap" } else { "unreadable" };
            return Err(Over::Call(format!("{what} before={}", n.unwrap_or(0))));
        }
        match parsed {
            Ok(event) => self.take(event),
            Err(why) => {
                self.last = n.unwrap_or(self.last);
                counters::add(&self.common.counters.feed_skipped, 1);
                tracing::warn!("feed skipped n={}: {why}", n.unwrap_or(0));
                Ok(())
            }
        }
    }
}

/// The first block of lines that an empty line ends, and the length up to behind that.
fn first(text: &[u8]) -> Option<(&[u8], usize)> {
    let plain = text.windows(2).position(|w| w == b"\n\n").map(|i| (i, 2));
    let returns = text.windows(4).position(|w| w == b"\r\n\r\n").map(|i| (i, 4));
    let (at, width) = [plain, returns].into_iter().flatten().min()?;
    Some((&text[..at], at + width))
}

/// The body of an answer, plain or in chunks.
struct Chunks {
    chunked: bool,
    left: usize,
    /// A chunk was read, so that a line's end stands before the next.
    begun: bool,
}

impl Chunks {
    /// Moves what has come to the text; false if nothing has.
    fn take(&mut self, intake: &mut Intake, text: &mut Vec<u8>) -> io::Result<bool> {
        let bad = |why: &'static str| io::Error::new(ErrorKind::InvalidData, why);
        let mut moved = false;
        loop {
            let seen = intake.seen();
            if self.left == 0 && self.chunked {
                let skip = if self.begun { 2 } else { 0 };
                if seen.len() < skip {
                    return Ok(moved);
                }
                match httparse::parse_chunk_size(&seen[skip..]).map_err(|_| bad("bad chunk"))? {
                    httparse::Status::Complete((_, 0)) => return Err(bad("stream ended")),
                    httparse::Status::Complete((length, size)) => {
                        self.left = usize::try_from(size).map_err(|_| bad("chunk too long"))?;
                        self.begun = true;
                        intake.used(skip + length);
                    }
                    httparse::Status::Partial => return Ok(moved),
                }
                continue;
            }
            let n = seen.len().min(self.left);
            if n == 0 {
                return Ok(moved);
            }
            text.extend_from_slice(&seen[..n]);
            intake.used(n);
            self.left -= if self.chunked { n } else { 0 };
            moved = true;
        }
    }
}
