//! The stand-in control feed: events to all directors, as server-sent events, and their word of what is in force.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde::Deserialize;

use crate::node_stub::TrialState;
use crate::threads::{lock, spawn};

#[derive(Default)]
struct EventLog {
    all: Mutex<Vec<String>>,
    more: Condvar,
}

#[derive(Clone)]
pub struct DiscoveryStub {
    events: Arc<EventLog>,
    pub address: SocketAddr,
}

/// What a director says that it has in force.
#[derive(Debug, Deserialize)]
pub struct AppliedReport {
    pub party: String,
    pub number: u64,
    pub digest: String,
}

impl DiscoveryStub {
    pub fn start(common: &Arc<TrialState>, heard: Sender<AppliedReport>) -> std::io::Result<DiscoveryStub> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let feed = DiscoveryStub { events: Arc::default(), address: listener.local_addr()? };
        let (own, common) = (feed.clone(), Arc::clone(common));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if common.is_over() {
                    return;
                }
                let (own, heard, common) = (own.clone(), heard.clone(), Arc::clone(&common));
                spawn(move || {
                    // A director that goes ends its connection.
                    let _ = own.serve(&stream, &heard, &common);
                });
            }
        });
        Ok(feed)
    }

    /// An event without its number, which is added: `"members":{...}`.
    pub fn publish(&self, event: &str) -> u64 {
        let mut all = lock(&self.events.all);
        let n = all.len() as u64 + 1;
        all.push(format!("{{\"n\":{n},{event}}}"));
        self.events.more.notify_all();
        n
    }

    pub fn events(&self) -> Vec<String> {
        lock(&self.events.all).clone()
    }

    fn serve(
        &self,
        mut stream: &TcpStream,
        heard: &Sender<AppliedReport>,
        common: &TrialState,
    ) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream);
        let (mut first, mut last, mut length) = (String::new(), 0usize, 0usize);
        reader.read_line(&mut first)?;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(": ") {
                match name {
                    "Last-Event-ID" => last = value.parse().unwrap_or(0),
                    "Content-Length" => length = value.parse().unwrap_or(0),
                    _ => {}
                }
            }
        }
        if first.starts_with("POST /v1/hierarchy/in-force") {
            let mut body = vec![0; length.min(4_096)];
            reader.read_exact(&mut body)?;
            if let Ok(said) = serde_json::from_slice(&body) {
                let _ = heard.send(said);
            }
            return stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        while !common.is_over() {
            let mut all = lock(&self.events.all);
            if all.len() <= last {
                let waited = self.events.more.wait_timeout(all, Duration::from_millis(500));
                all = waited.unwrap_or_else(|e| e.into_inner()).0;
            }
            let mut out = String::from(": tick\n\n");
            for (i, event) in all.iter().enumerate().skip(last) {
                out += &format!("id: {}\ndata: {event}\n\n", i + 1);
            }
            last = all.len().max(last);
            drop(all);
            stream.write_all(out.as_bytes())?;
        }
        Ok(())
    }
}
