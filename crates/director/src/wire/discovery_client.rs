//! The control feed: numbered events over HTTP, each taken once and in order. What its bytes say, which events are news and
//! which feed is called is decided in `sablecross-discovery`; here are its sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use sablecross_discovery::{
    EventCursor, EventStreamParser, EventVerdict, FeedSelector, StreamError, StreamItem, events_request,
};
use serde_json::Value;

use super::read_buffer::ReadBuffer;
use crate::counters;
use crate::discovery_event::{DiscoveryEvent, KnownEvents, NumberedEvent};
use crate::events::Event;
use crate::os_error::is_would_block;
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

/// Where the feed is from now on, home first, and what was known there.
pub type FeedMove = (Vec<SocketAddr>, KnownEvents);

/// Follows the feed for ever, or until the desk is gone.
pub struct DiscoveryClient {
    pub cursor: EventCursor,
    pub feeds: FeedSelector,
    pub shared: Arc<SharedContext>,
    pub moves: Receiver<FeedMove>,
    /// It answered last time; it has not been called yet.
    pub is_up: bool,
    pub is_first_call: bool,
    /// The name under which it says what it has in force.
    pub director_name: String,
    pub applied_versions: Receiver<AppliedVersion>,
    /// What it has to say, until the feed has heard it; when it was said last.
    pub pending_report: Option<(AppliedVersion, Instant)>,
}

enum Over {
    /// The call failed or the stream broke off; the next feed is called.
    Call(String),
    /// What it said is asked for once more.
    Again(String),
    /// The stream came to its end, as it may at any time.
    Ended,
    /// The feed is to be followed elsewhere.
    Moved(FeedMove),
    Desk,
}

impl From<io::Error> for Over {
    fn from(e: io::Error) -> Over {
        Over::Call(e.to_string())
    }
}

impl From<StreamError> for Over {
    fn from(flaw: StreamError) -> Over {
        Over::Call(flaw.to_string())
    }
}

/// Read at once.
const READ: usize = 16 << 10;

impl DiscoveryClient {
    pub fn run(mut self) {
        let began = Instant::now();
        loop {
            let (start, before) = (Instant::now(), self.cursor.last_number());
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
                    tracing::debug!("feed ended after={}", self.cursor.last_number());
                    self.feeds.on_stream_ended(began.elapsed());
                }
                Over::Again(why) => self.over(&why),
                Over::Call(why) => {
                    self.over(&why);
                    self.feeds.on_failed(began.elapsed());
                }
            }
            // Called again at once, but for one that fails or ends at once: no loop without a pause.
            if self.cursor.last_number() == before && start.elapsed() < self.shared.limits.feed_retry_delay {
                std::thread::sleep(self.shared.limits.feed_retry_delay);
            }
        }
    }

    fn over(&mut self, why: &str) {
        if std::mem::take(&mut self.is_up) {
            tracing::info!("feed over after={} why={why}", self.cursor.last_number());
        }
    }

    /// The numbers go on: of what was known there, only what follows the last one is news.
    fn moved(&mut self, (to, known): FeedMove) -> Result<(), Over> {
        let Some((home, others)) = to.split_first() else { return Ok(()) };
        let from = self.feeds.current();
        tracing::info!("feed moved after={} from={from} to={home}", self.cursor.last_number());
        self.feeds = FeedSelector::new(&self.director_name, *home, others);
        for event in known.events {
            if self.cursor.advance_if_next(event.number) {
                self.take(event.event)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, fact: DiscoveryEvent) -> Result<(), Over> {
        self.shared.events.send(Event::Discovery(fact)).map_err(|_| Over::Desk)
    }

    /// An error if the feed is to be followed elsewhere.
    fn stays(&self) -> Result<(), Over> {
        self.moves.try_recv().map_or(Ok(()), |to| Err(Over::Moved(to)))
    }

    /// Says what is in force, where a hierarchy is: again after a while until it is heard.
    fn say(&mut self) {
        let now = Instant::now();
        for in_force in self.applied_versions.try_iter() {
            self.pending_report = Some((in_force, now));
        }
        let Some((word, at)) = self.pending_report.filter(|(_, at)| *at <= now) else { return };
        match self.said(word) {
            Ok(()) => self.pending_report = None,
            Err(e) => {
                tracing::debug!("feed: in force not heard: {e}");
                self.pending_report = Some((word, at.max(now) + self.shared.limits.feed_silence_timeout));
            }
        }
    }

    fn said(&self, word: AppliedVersion) -> io::Result<()> {
        let body = format!(
            r#"{{"party":"{}","number":{},"digest":"{:016x}"}}"#,
            self.director_name, word.number, word.digest
        );
        let (at, dial) = (self.feeds.current(), Duration::from_nanos(self.shared.limits.connect_timeout));
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
        let mut intake = ReadBuffer::new(
            self.shared.limits.max_head_bytes,
            self.shared.limits.max_feed_event_bytes,
            &self.shared.memory_budget,
        );
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut answer = httparse::Response::new(&mut headers);
            match answer.parse(intake.unread()) {
                Ok(httparse::Status::Complete(_)) if answer.code.is_some_and(|c| c / 100 == 2) => {
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if intake.fill(&stream)? => {}
                _ => return Err(io::Error::new(ErrorKind::InvalidData, "not taken")),
            }
        }
    }

    /// Reads more; false at the end. Silence past its time is an error, and so is news of another address.
    fn hear(&mut self, stream: &mut EventStreamParser, socket: &TcpStream) -> Result<bool, Over> {
        let (start, mut bytes) = (Instant::now(), [0; READ]);
        loop {
            self.say();
            self.stays()?;
            match (&mut &*socket).read(&mut bytes) {
                Err(e) if is_would_block(&e) && start.elapsed() < self.shared.limits.feed_silence_timeout => {
                }
                Err(e) if is_would_block(&e) => return Err(Over::Call("silent".into())),
                Err(e) => return Err(e.into()),
                Ok(0) => return Ok(false),
                Ok(n) => {
                    stream.push(&bytes[..n]);
                    return Ok(true);
                }
            }
        }
    }

    /// One connection, read until its end.
    fn call(&mut self) -> Result<(), Over> {
        self.stays()?;
        counters::add(&self.shared.counters.feed_calls, 1);
        let at = self.feeds.current();
        let socket =
            TcpStream::connect_timeout(&at, Duration::from_nanos(self.shared.limits.connect_timeout))?;
        socket.set_read_timeout(Some(self.shared.limits.feed_poll_interval))?;
        socket.set_write_timeout(Some(self.shared.limits.feed_silence_timeout))?;
        (&socket).write_all(events_request(at, self.cursor.last_number()).as_bytes())?;
        let mut stream = EventStreamParser::new(self.shared.limits.max_feed_event_bytes);
        loop {
            while let Some(said) = stream.next_item()? {
                match said {
                    StreamItem::Connected => {
                        self.feeds.on_connected();
                        if !std::mem::replace(&mut self.is_up, true) || self.is_first_call {
                            tracing::info!("feed up after={}", self.cursor.last_number());
                        }
                        self.is_first_call = false;
                    }
                    StreamItem::Event { id, data } => self.event(id, &data)?,
                    StreamItem::Comment(_) => {}
                }
            }
            if !self.hear(&mut stream, &socket)? {
                return Ok(stream.finish()?);
            }
        }
    }

    /// Takes one event in, unless it is a repeat or others are missing before it.
    fn event(&mut self, id: Option<u64>, data: &str) -> Result<(), Over> {
        let parsed = serde_json::from_str(data).map_err(|e| e.to_string());
        let parsed = parsed.and_then(|v: Value| NumberedEvent::from_json(&v));
        match self.cursor.classify(id, parsed.map(|e| (e.number, e.event))) {
            EventVerdict::New(fact) => self.take(fact),
            EventVerdict::Duplicate => Ok(()),
            EventVerdict::Resubscribe(why) => {
                counters::add(&self.shared.counters.feed_gaps, 1);
                Err(Over::Again(why.to_string()))
            }
            EventVerdict::Skip { number, reason: why } => {
                counters::add(&self.shared.counters.feed_skipped, 1);
                tracing::warn!("feed skipped n={number}: {why}");
                Ok(())
            }
        }
    }
}
