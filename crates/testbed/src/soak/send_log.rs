//! The send logs of the directors: when they sent attempts and ended connections, as the fault library logs it in their
//! processes.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::PathBuf;

#[cfg(test)]
mod tests;

/// The ports of a connection from a director to a node. The port at the director's end alone does not identify the
/// connection: the kernel may use one port for connections to two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LinkPorts {
    pub(crate) director: u16,
    pub(crate) node: u16,
}

/// An attempt, identified by its request and connection. No connection carries two attempts of one request.
type AttemptKey = (u64, LinkPorts);

/// The send log of one director, which all its processes write in turn.
pub(crate) struct SendLog {
    path: PathBuf,
    read_bytes: u64,
    /// The part that was read of an incomplete line.
    partial: String,
    /// By attempt, when the director was about to write its first byte, in nanoseconds of the monotonic clock.
    sent: HashMap<AttemptKey, u64>,
    /// By the port of the other end, when the director last shut a connection to that port.
    shut: HashMap<u16, u64>,
}

/// The content of a line of the log.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Record {
    Sent(AttemptKey),
    Shut { peer_port: u16 },
}

impl SendLog {
    /// Creates a reader of this file, which need not exist yet.
    pub(crate) fn new(path: PathBuf) -> SendLog {
        SendLog { path, read_bytes: 0, partial: String::new(), sent: HashMap::new(), shut: HashMap::new() }
    }

    /// Returns when an attempt was sent, in nanoseconds of the monotonic clock; none if the log does not have it.
    pub(crate) fn sent_ns(&mut self, request: u64, ports: LinkPorts) -> Option<u64> {
        let key = (request, ports);
        if !self.sent.contains_key(&key) {
            // If the log can't be read, nothing is added.
            let _ = self.read_more();
        }
        self.sent.get(&key).copied()
    }

    /// Returns when the director last shut a connection with this port at the other end, in nanoseconds of the
    /// monotonic clock.
    pub(crate) fn shut_ns(&mut self, peer_port: u16) -> Option<u64> {
        // If the log can't be read, nothing is added.
        let _ = self.read_more();
        self.shut.get(&peer_port).copied()
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut file = File::open(&self.path)?;
        file.seek(SeekFrom::Start(self.read_bytes))?;
        let mut bytes = Vec::new();
        self.read_bytes += file.read_to_end(&mut bytes)? as u64;
        self.partial.push_str(&String::from_utf8_lossy(&bytes));
        let text = std::mem::take(&mut self.partial);
        let mut lines = text.split('\n');
        // The text after the last line end is incomplete.
        self.partial = lines.next_back().unwrap_or_default().to_owned();
        for (at_ns, record) in lines.filter_map(parse_line) {
            match record {
                Record::Sent(attempt) => self.sent.insert(attempt, at_ns),
                Record::Shut { peer_port } => self.shut.insert(peer_port, at_ns),
            };
        }
        Ok(())
    }
}

/// Parses a line of the log. Two forms are used: `NANOSECONDS PORT PEER_PORT PULL REQUEST ...` and `NANOSECONDS PORT
/// PEER_PORT SHUT`. Other lines give none.
fn parse_line(line: &str) -> Option<(u64, Record)> {
    let mut words = line.split(' ');
    let at_ns = words.next()?.parse().ok()?;
    let own_port = words.next()?.parse().ok()?;
    let peer_port = words.next()?.parse().ok()?;
    let record = match words.next()? {
        "PULL" => {
            let request = u64::from_str_radix(words.next()?, 16).ok()?;
            Record::Sent((request, LinkPorts { director: own_port, node: peer_port }))
        }
        "SHUT" => Record::Shut { peer_port },
        _ => return None,
    };
    Some((at_ns, record))
}
