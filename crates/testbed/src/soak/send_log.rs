//! When directors sent their attempts and ended connections: read from the logs that the fault library keeps in their
//! processes.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::PathBuf;

#[cfg(test)]
mod tests;

/// The ports of a connection of a director to a node. The kernel may give connections to two nodes one port at the
/// director's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LinkPorts {
    pub(crate) director: u16,
    pub(crate) node: u16,
}

/// An attempt by its request and connection. No connection carries two attempts of one request.
type AttemptKey = (u64, LinkPorts);

/// The send log of one director, over all its processes.
pub(crate) struct SendLog {
    path: PathBuf,
    read_bytes: u64,
    /// What was read of a line that is not complete.
    partial: String,
    /// By attempt, the monotonic time in nanoseconds at which its first byte was about to be written.
    sent: HashMap<AttemptKey, u64>,
    /// By the port of the other end, when the director last shut a connection with it.
    shut: HashMap<u16, u64>,
}

/// What a line of the log says.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Record {
    Sent(AttemptKey),
    Shut { peer_port: u16 },
}

impl SendLog {
    /// A log that is to be written to this file.
    pub(crate) fn new(path: PathBuf) -> SendLog {
        SendLog { path, read_bytes: 0, partial: String::new(), sent: HashMap::new(), shut: HashMap::new() }
    }

    /// When an attempt was sent, in nanoseconds of the monotonic clock; none if the log does not have it.
    pub(crate) fn sent_ns(&mut self, request: u64, ports: LinkPorts) -> Option<u64> {
        let key = (request, ports);
        if !self.sent.contains_key(&key) {
            // A log that can't be read has nothing new.
            let _ = self.read_more();
        }
        self.sent.get(&key).copied()
    }

    /// When the director last shut a connection with this port at the other end, in nanoseconds of the monotonic clock.
    pub(crate) fn shut_ns(&mut self, peer_port: u16) -> Option<u64> {
        // A log that can't be read has nothing new.
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
        // What follows the last line end is not complete.
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

/// A line of the log, if it is one of these: `NANOSECONDS PORT PEER_PORT PULL REQUEST ...`,
/// `NANOSECONDS PORT PEER_PORT SHUT`.
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
