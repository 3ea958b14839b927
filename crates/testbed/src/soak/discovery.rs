//! Stub discovery: it sends numbered events to each director, has outages and silent phases, and listens on two
//! addresses for each director.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;

use super::Seconds;
use super::rule_checker::RuleChecker;
use crate::threads::{lock, spawn};

const POLL: Duration = Duration::from_millis(20);
/// How often a comment is sent on an idle connection.
const KEEPALIVE_INTERVAL_SECONDS: f64 = 0.5;
/// All directors count as notified of an event this long after it was published, or `NOTIFIED_AFTER_OUTAGE_SECONDS` after
/// the end of the last outage or silence, whichever is later.
const NOTIFIED_AFTER_SECONDS: f64 = 7.0;
/// How long after an outage or silence directors may still not have been notified; see `NOTIFIED_AFTER_SECONDS`.
const NOTIFIED_AFTER_OUTAGE_SECONDS: f64 = 3.0;

/// The part of an event that the checker uses.
#[derive(Clone, Debug)]
pub(crate) enum Notification {
    /// A node drains or was removed.
    Drained(usize),
    /// A node is ready.
    Ready(usize),
    /// An object was purged, at this Unix time.
    Purge { object: u64, made_ms: u64 },
}

#[derive(Clone)]
struct Event {
    text: String,
    notification: Option<Notification>,
}

#[derive(Default)]
struct DiscoveryState {
    events: Vec<Event>,
    down_until: Seconds,
    silent_until: Seconds,
    connections: Vec<Arc<TcpStream>>,
}

/// A source of events. Each director has its own addresses, so that the source knows which director has connected, and
/// has two of them, so that a reload can move it from one to the other.
pub(crate) struct Discovery {
    pub(crate) addresses: Vec<[SocketAddr; 2]>,
    checker: Arc<RuleChecker>,
    state: Mutex<DiscoveryState>,
}

impl Discovery {
    /// Listens on both addresses of each director.
    pub(crate) fn start(checker: &Arc<RuleChecker>, directors: usize) -> io::Result<Arc<Discovery>> {
        let listen = || TcpListener::bind("127.0.0.1:0");
        let listeners: Vec<[TcpListener; 2]> =
            (0..directors).map(|_| Ok([listen()?, listen()?])).collect::<io::Result<_>>()?;
        let addresses =
            listeners.iter().map(|[first, second]| Ok([first.local_addr()?, second.local_addr()?]));
        let addresses = addresses.collect::<io::Result<_>>()?;
        let discovery =
            Arc::new(Discovery { addresses, checker: Arc::clone(checker), state: Mutex::default() });
        for (director, director_listeners) in listeners.into_iter().enumerate() {
            for listener in director_listeners {
                let this = Arc::clone(&discovery);
                spawn(move || this.accept_connections(&listener, director));
            }
        }
        Ok(discovery)
    }

    fn accept_connections(self: &Arc<Discovery>, listener: &TcpListener, director: usize) {
        for stream in listener.incoming().map_while(Result::ok) {
            let (this, stream) = (Arc::clone(self), Arc::new(stream));
            spawn(move || {
                // A connection that a director ends is no error.
                let _ = this.serve(&stream, director);
            });
        }
    }

    /// Publishes an event. `fields` is its JSON without the braces and without the number, which is added.
    pub(crate) fn publish(&self, fields: &str, notification: Option<Notification>) {
        let mut state = lock(&self.state);
        let number = state.events.len() + 1;
        state.events.push(Event { text: format!("{{\"n\":{number},{fields}}}"), notification });
    }

    /// Returns all events so far, in the form of a director's configuration.
    pub(crate) fn known_events(&self) -> Vec<Value> {
        let state = lock(&self.state);
        state.events.iter().filter_map(|event| serde_json::from_str(&event.text).ok()).collect()
    }

    /// Reports to the checker that a director has started with the first `count` events in its configuration.
    pub(crate) fn note_known_at_start(&self, director: usize, count: usize) {
        let events = lock(&self.state).events.clone();
        for notification in events.iter().take(count).filter_map(|event| event.notification.as_ref()) {
            self.report_notified(director, notification);
        }
    }

    /// Reports to the checker that a director is about to get a configuration with the first `count` events.
    pub(crate) fn note_configured(&self, director: usize, count: usize) {
        let events = lock(&self.state).events.clone();
        events.iter().take(count).for_each(|event| self.note_start_sent(director, event));
    }

    /// Ends all connections, and for this many seconds also each new one at once.
    pub(crate) fn start_outage(&self, seconds: f64) {
        let mut state = lock(&self.state);
        state.down_until = self.checker.now() + seconds;
        for connection in std::mem::take(&mut state.connections) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends nothing for this many seconds.
    pub(crate) fn start_silence(&self, seconds: f64) {
        lock(&self.state).silent_until = self.checker.now() + seconds;
    }

    /// Reports to the checker that a director has been notified.
    fn report_notified(&self, director: usize, notification: &Notification) {
        match notification {
            Notification::Drained(node) => self.checker.on_notified_drained(director, *node),
            Notification::Ready(node) => self.checker.on_notified_ready(director, *node),
            Notification::Purge { object, made_ms } => {
                self.checker.on_notified_purge(director, *object, *made_ms)
            }
        }
    }

    /// Reports to the checker that this event is about to be sent to a director, if it is the start of a node.
    fn note_start_sent(&self, director: usize, event: &Event) {
        if let Some(Notification::Ready(node)) = event.notification {
            self.checker.on_start_sent(director, node);
        }
    }

    fn serve(&self, stream: &Arc<TcpStream>, director: usize) -> io::Result<()> {
        if self.checker.now() < lock(&self.state).down_until {
            return stream.shutdown(Shutdown::Both);
        }
        lock(&self.state).connections.push(Arc::clone(stream));
        let Some(last_event) = read_request(stream)? else { return Ok(()) };
        self.send_events(stream, director, last_event)
    }

    /// Sends the events after `last_event` as they are published, until the connection ends.
    fn send_events(&self, mut stream: &TcpStream, director: usize, last_event: usize) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut sent = last_event;
        let mut kept_alive_at = 0.0;
        loop {
            let now = self.checker.now();
            let (events, is_silent) = {
                let state = lock(&self.state);
                (state.events.get(sent..).unwrap_or_default().to_vec(), now < state.silent_until)
            };
            if !is_silent {
                for event in events {
                    sent += 1;
                    self.note_start_sent(director, &event);
                    stream.write_all(format!("id: {sent}\ndata: {}\n\n", event.text).as_bytes())?;
                }
                if now > kept_alive_at + KEEPALIVE_INTERVAL_SECONDS {
                    kept_alive_at = now;
                    stream.write_all(b": tick\n\n")?;
                }
            }
            std::thread::sleep(POLL);
        }
    }
}

/// Reads the header of a request. Returns the number of the last event that the director has, 0 for none; or none if
/// the connection has ended.
fn read_request(stream: &TcpStream) -> io::Result<Option<usize>> {
    let mut reader = BufReader::new(stream);
    let mut last_event = 0;
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
            last_event = number.trim_end().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return Ok(Some(last_event));
        }
    }
}

/// Starts a thread that reports each event as known to every director at the latest time by which they must know it.
pub(crate) fn report_overdue_notifications(discovery: &Arc<Discovery>, directors: usize) {
    let discovery = Arc::clone(discovery);
    spawn(move || {
        let mut published_at: Vec<Seconds> = Vec::new();
        let mut reported = 0;
        let mut unavailable_until: Seconds = 0.0;
        loop {
            let now = discovery.checker.now();
            let (events, until) = {
                let state = lock(&discovery.state);
                (state.events.clone(), state.down_until.max(state.silent_until))
            };
            unavailable_until = unavailable_until.max(until);
            published_at.resize(events.len(), now);
            while reported < events.len()
                && now
                    > (published_at[reported] + NOTIFIED_AFTER_SECONDS)
                        .max(unavailable_until + NOTIFIED_AFTER_OUTAGE_SECONDS)
            {
                if let Some(notification) = &events[reported].notification {
                    (0..directors).for_each(|director| discovery.report_notified(director, notification));
                }
                reported += 1;
            }
            std::thread::sleep(POLL);
        }
    });
}
