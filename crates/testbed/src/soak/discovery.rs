//! Stand-in discovery: numbered events to each director, with outages, silences and moves to another address.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;

use super::Seconds;
use super::judge::Judge;
use crate::node_stub::{lock, spawn};

/// What an event tells, for the judge.
#[derive(Clone, Debug)]
pub enum Notification {
    Drained(usize),
    Ready(usize),
    Purge { object: u64, made_ms: u64 },
}

#[derive(Clone)]
struct Event {
    text: String,
    news: Option<Notification>,
}

#[derive(Default)]
struct State {
    events: Vec<Event>,
    down_until: Seconds,
    silent_until: Seconds,
    links: Vec<Arc<TcpStream>>,
}

/// One source of events with two addresses.
pub struct Discovery {
    pub addresses: [SocketAddr; 2],
    judge: Arc<Judge>,
    state: Mutex<State>,
}

const POLL: Duration = Duration::from_millis(20);
const TICK: f64 = 0.5;

impl Discovery {
    pub fn start(judge: &Arc<Judge>) -> io::Result<Arc<Discovery>> {
        let listeners = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let discovery = Arc::new(Discovery { addresses, judge: Arc::clone(judge), state: Mutex::default() });
        for listener in listeners {
            let own = Arc::clone(&discovery);
            spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (own, stream) = (Arc::clone(&own), Arc::new(stream));
                    spawn(move || {
                        // A director that goes ends its connection.
                        let _ = own.serve(&stream);
                    });
                }
            });
        }
        Ok(discovery)
    }

    /// An event without its number, which is added.
    pub fn publish(&self, event: &str, news: Option<Notification>) {
        let mut state = lock(&self.state);
        let number = state.events.len() + 1;
        state.events.push(Event { text: format!("{{\"n\":{number},{event}}}"), news });
    }

    pub fn known(&self) -> Vec<Value> {
        let state = lock(&self.state);
        state.events.iter().filter_map(|e| serde_json::from_str(&e.text).ok()).collect()
    }

    /// A director knows so many events from its start.
    pub fn known_at_start(&self, director: usize, many: usize) {
        let events = lock(&self.state).events.clone();
        events.iter().take(many).filter_map(|e| e.news.as_ref()).for_each(|news| self.note(director, news));
    }

    pub fn interrupt(&self, lasts: f64) {
        let mut state = lock(&self.state);
        state.down_until = self.judge.now() + lasts;
        for link in std::mem::take(&mut state.links) {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    pub fn fall_silent(&self, lasts: f64) {
        lock(&self.state).silent_until = self.judge.now() + lasts;
    }

    fn note(&self, director: usize, news: &Notification) {
        match news {
            Notification::Drained(node) => self.judge.on_notified_drained(director, *node),
            Notification::Ready(node) => self.judge.on_notified_ready(director, *node),
            Notification::Purge { object, made_ms } => {
                self.judge.on_notified_purge(director, *object, *made_ms)
            }
        }
    }

    fn serve(&self, stream: &Arc<TcpStream>) -> io::Result<()> {
        if self.judge.now() < lock(&self.state).down_until {
            return stream.shutdown(Shutdown::Both);
        }
        lock(&self.state).links.push(Arc::clone(stream));
        let mut reader = BufReader::new(&**stream);
        let mut next = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(last) = line.strip_prefix("Last-Event-ID: ") {
                next = last.trim_end().parse().unwrap_or(0);
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut out = &**stream;
        out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut ticked = 0.0;
        loop {
            let now = self.judge.now();
            let (events, silent) = {
                let state = lock(&self.state);
                (state.events.get(next..).unwrap_or_default().to_vec(), now < state.silent_until)
            };
            if !silent {
                for event in events {
                    next += 1;
                    out.write_all(format!("id: {next}\ndata: {}\n\n", event.text).as_bytes())?;
                }
                if now > ticked + TICK {
                    ticked = now;
                    out.write_all(b": tick\n\n")?;
                }
            }
            std::thread::sleep(POLL);
        }
    }
}

/// When all directors count as having been told of an event, unless discovery was away for much of that time.
const TOLD_AFTER: f64 = 7.0;
const TELLS_AFTER: f64 = 3.0;

/// Notes for every director, at the latest moment at which an event counts as told, what it says.
pub fn note_all(discovery: &Arc<Discovery>, directors: usize) {
    let discovery = Arc::clone(discovery);
    spawn(move || {
        let mut heard: Vec<Seconds> = Vec::new();
        let (mut noted, mut away) = (0, 0.0f64);
        loop {
            let now = discovery.judge.now();
            let (events, until) = {
                let state = lock(&discovery.state);
                (state.events.clone(), state.down_until.max(state.silent_until))
            };
            away = away.max(until);
            heard.resize(events.len(), now);
            while noted < events.len() && now > (heard[noted] + TOLD_AFTER).max(away + TELLS_AFTER) {
                if let Some(news) = &events[noted].news {
                    (0..directors).for_each(|director| discovery.note(director, news));
                }
                noted += 1;
            }
            std::thread::sleep(POLL);
        }
    });
}
