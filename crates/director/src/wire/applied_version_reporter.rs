//! Reports to discovery which version of the parent hierarchy is applied here, and repeats the report until it is
//! accepted.

use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;

use super::read_buffer::ReadBuffer;
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

const MAX_HEADERS: usize = 32;

/// A report that discovery has not accepted yet.
#[derive(Clone, Copy)]
struct PendingReport {
    version: AppliedVersion,
    due_at: Instant,
}

/// Reports the versions received over a channel; if several are pending, only the last one.
pub(super) struct AppliedVersionReporter {
    shared: Arc<SharedContext>,
    /// The name that the reports carry.
    director_name: String,
    versions: Receiver<AppliedVersion>,
    pending: Option<PendingReport>,
}

impl AppliedVersionReporter {
    pub(super) fn new(
        director_name: String,
        versions: Receiver<AppliedVersion>,
        shared: Arc<SharedContext>,
    ) -> AppliedVersionReporter {
        AppliedVersionReporter { shared, director_name, versions, pending: None }
    }

    pub(super) fn director_name(&self) -> &str {
        &self.director_name
    }

    /// Sends the pending report if it is due. A report that fails is due again after `feed_silence_timeout`.
    pub(super) fn report_if_due(&mut self, discovery: SocketAddr) {
        let now = Instant::now();
        for version in self.versions.try_iter() {
            self.pending = Some(PendingReport { version, due_at: now });
        }
        let Some(report) = self.pending.filter(|report| report.due_at <= now) else { return };
        match self.post(discovery, report.version) {
            Ok(()) => self.pending = None,
            Err(e) => {
                tracing::debug!("discovery: the report of the applied version failed: {e}");
                let due_at = now + self.shared.limits.feed_silence_timeout;
                self.pending = Some(PendingReport { due_at, ..report });
            }
        }
    }

    fn post(&self, discovery: SocketAddr, version: AppliedVersion) -> io::Result<()> {
        let timeout = Duration::from_nanos(self.shared.limits.connect_timeout);
        let stream = TcpStream::connect_timeout(&discovery, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let body = format!(
            r#"{{"party":"{}","number":{},"digest":"{:016x}"}}"#,
            self.director_name, version.number, version.digest
        );
        let request = format!(
            "POST /v1/hierarchy/in-force HTTP/1.1\r\nHost: {discovery}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        (&stream).write_all(request.as_bytes())?;
        self.await_success(&stream)
    }

    fn await_success(&self, stream: &TcpStream) -> io::Result<()> {
        let limits = &self.shared.limits;
        let mut buffer =
            ReadBuffer::new(limits.max_head_bytes, limits.max_feed_event_bytes, &self.shared.memory_budget);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(buffer.unread()) {
                Ok(httparse::Status::Complete(_)) if response.code.is_some_and(is_success) => return Ok(()),
                Ok(httparse::Status::Partial) if buffer.fill(stream)? => {}
                _ => return Err(io::Error::new(ErrorKind::InvalidData, "the response is not a success")),
            }
        }
    }
}

fn is_success(code: u16) -> bool {
    code / 100 == 2
}
