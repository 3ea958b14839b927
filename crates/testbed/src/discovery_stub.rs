//! Stub discovery service: publishes events to all directors as server-sent events, and receives reports of the
//! hierarchy version that each director has applied.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde::Deserialize;

use crate::threads::{lock, spawn};
use crate::trial_state::TrialState;

/// The request with which directors report the version that they have applied.
const APPLIED_REQUEST: &str = "POST /v1/hierarchy/in-force";
const MAX_REPORT_BYTES: usize = 4_096;
/// The interval of keepalive comments when there are no events.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct EventLog {
    events: Mutex<Vec<String>>,
    published: Condvar,
}

/// The discovery stub. Clones share the events.
#[derive(Clone)]
pub(crate) struct DiscoveryStub {
    log: Arc<EventLog>,
    pub(crate) address: SocketAddr,
}

/// A director's report of the hierarchy version that it has applied.
#[derive(Debug, Deserialize)]
pub(crate) struct AppliedReport {
    #[serde(rename = "party")]
    pub(crate) participant: String,
    pub(crate) number: u64,
    /// The digest of the version, in hexadecimal.
    pub(crate) digest: String,
}

/// The parts of an HTTP request's header that the stub needs.
#[derive(Default)]
struct RequestHeader {
    request_line: String,
    last_event: usize,
    content_length: usize,
}

impl RequestHeader {
    fn read(reader: &mut impl BufRead) -> io::Result<RequestHeader> {
        let mut header = RequestHeader::default();
        reader.read_line(&mut header.request_line)?;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(header);
            }
            match line.split_once(": ") {
                Some(("Last-Event-ID", value)) => header.last_event = value.parse().unwrap_or(0),
                Some(("Content-Length", value)) => header.content_length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
    }
}

impl DiscoveryStub {
    /// Listens on a port of its own until the trial is over.
    pub(crate) fn start(
        trial: &Arc<TrialState>,
        reports: Sender<AppliedReport>,
    ) -> io::Result<DiscoveryStub> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let stub = DiscoveryStub { log: Arc::default(), address: listener.local_addr()? };
        let (own, trial) = (stub.clone(), Arc::clone(trial));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if trial.is_over() {
                    return;
                }
                let (own, reports, trial) = (own.clone(), reports.clone(), Arc::clone(&trial));
                spawn(move || {
                    // An error means that the director has ended the connection.
                    let _ = own.serve(&stream, &reports, &trial);
                });
            }
        });
        Ok(stub)
    }

    /// Publishes an event and returns its number. `fields` is its JSON without the braces and the number, as in
    /// `"members":{...}`.
    pub(crate) fn publish(&self, fields: &str) -> u64 {
        let mut events = lock(&self.log.events);
        let number = events.len() as u64 + 1;
        events.push(format!("{{\"n\":{number},{fields}}}"));
        self.log.published.notify_all();
        number
    }

    /// All events so far.
    pub(crate) fn events(&self) -> Vec<String> {
        lock(&self.log.events).clone()
    }

    fn serve(
        &self,
        mut stream: &TcpStream,
        reports: &Sender<AppliedReport>,
        trial: &TrialState,
    ) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let header = RequestHeader::read(&mut reader)?;
        if header.request_line.starts_with(APPLIED_REQUEST) {
            let mut body = vec![0; header.content_length.min(MAX_REPORT_BYTES)];
            reader.read_exact(&mut body)?;
            if let Ok(report) = serde_json::from_slice(&body) {
                // At the end of the trial, the receiver may already be gone.
                let _ = reports.send(report);
            }
            return stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
        }
        self.send_events(stream, header.last_event, trial)
    }

    /// Sends the events after `last_event` as they are published.
    fn send_events(&self, mut stream: &TcpStream, last_event: usize, trial: &TrialState) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut sent = last_event;
        while !trial.is_over() {
            let mut events = lock(&self.log.events);
            if events.len() <= sent {
                let waited = self.log.published.wait_timeout(events, KEEPALIVE_INTERVAL);
                events = waited.unwrap_or_else(|e| e.into_inner()).0;
            }
            let mut output = String::from(": tick\n\n");
            for (i, event) in events.iter().enumerate().skip(sent) {
                output += &format!("id: {}\ndata: {event}\n\n", i + 1);
            }
            sent = events.len().max(sent);
            drop(events);
            stream.write_all(output.as_bytes())?;
        }
        Ok(())
    }
}
