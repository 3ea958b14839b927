//! Handles requests and sends their responses.

use std::io::ErrorKind;
use std::net::IpAddr;

use sablecross_coordination::Ns;
use sablecross_relay::{EventError, PeerRequest, PublishError};
use serde_json::json;

use super::{MAX_CALL_BYTES, RELAY_SEND_BUFFER_BYTES, Server, unix_ms};
use crate::connection::{Connection, ConnectionState, ReadOutcome};
use crate::http::{self, Operation, RequestError, RequestHead};
use crate::peers::AppliedReport;

/// Largest body of a subscriber's report.
const MAX_REPORT_BYTES: usize = 4_096;
const CONTENT_TYPE_JSON: &str = "application/json";
const CONTENT_TYPE_MESSAGE_PACK: &str = "application/msgpack";
const STOPPING_BODY: &[u8] = br#"{"error":"it stops"}"#;

impl Server {
    /// Writes buffered output, reads input and handles the requests in it. The caller must drop the connection after an
    /// error.
    pub(super) fn transfer(
        &mut self,
        token: usize,
        connection: &mut Connection,
        now: Ns,
        is_readable: bool,
        is_writable: bool,
    ) -> Result<(), ErrorKind> {
        if is_writable {
            connection.flush(now)?;
        }
        if !is_readable {
            return Ok(());
        }
        let outcome = connection.read(self.max_input_bytes(), now)?;
        if outcome == ReadOutcome::More {
            self.pending_reads.push(token);
        }
        self.answer_requests(token, connection, now)?;
        match (&connection.state, outcome) {
            (
                ConnectionState::AwaitingRequest | ConnectionState::Streaming(_) | ConnectionState::Draining,
                ReadOutcome::Closed,
            ) => Err(ErrorKind::UnexpectedEof),
            _ => Ok(()),
        }
    }

    /// Limit on the buffered input of one connection: a complete request and the beginning of the next.
    fn max_input_bytes(&self) -> usize {
        2 * http::MAX_HEAD_BYTES + self.max_body_bytes()
    }

    fn max_body_bytes(&self) -> usize {
        let form = &self.config.relay;
        if self.config.is_voter() { form.log_bytes + MAX_CALL_BYTES } else { form.event_bytes }
    }

    /// Handles complete requests one after another, until one has to wait for its response.
    fn answer_requests(
        &mut self,
        token: usize,
        connection: &mut Connection,
        now: Ns,
    ) -> Result<(), ErrorKind> {
        while matches!(connection.state, ConnectionState::AwaitingRequest) && !connection.input.is_empty() {
            let head = match http::parse_head(&connection.input) {
                Ok(Some(head)) => head,
                Ok(None) => return Ok(()),
                Err(error) => return self.reject(connection, now, &error),
            };
            if let Err(error) = self.check_body_length(&head) {
                return self.reject(connection, now, &error);
            }
            let length = head.head_len + head.body_len;
            if connection.input.len() < length {
                return Ok(());
            }
            let body = connection.input[head.head_len..length].to_vec();
            connection.consume(length);
            connection.state = ConnectionState::Responding { closes: head.closes };
            self.handle_request(token, connection, now, head, body)?;
        }
        Ok(())
    }

    fn check_body_length(&self, head: &RequestHead) -> Result<(), RequestError> {
        let limit = match head.operation {
            Operation::Publish { .. } => self.config.relay.event_bytes,
            Operation::PeerCall if self.config.is_voter() => self.max_body_bytes(),
            Operation::ReportApplied => MAX_REPORT_BYTES,
            _ => 0,
        };
        if head.body_len <= limit {
            return Ok(());
        }
        let reason = format!("the body has {} bytes, more than {limit}", head.body_len);
        Err(RequestError::new(413, reason))
    }

    fn handle_request(
        &mut self,
        token: usize,
        connection: &mut Connection,
        now: Ns,
        head: RequestHead,
        body: Vec<u8>,
    ) -> Result<(), ErrorKind> {
        let is_stopping = self.stopping_since.is_some();
        match head.operation {
            Operation::Subscribe { .. } if is_stopping => {
                self.reject(connection, now, &RequestError::new(503, "it stops"))
            }
            Operation::Subscribe { after } => self.start_stream(connection, now, after, head.relay),
            Operation::Status => {
                let status = self.relay.status(now, unix_ms());
                let body = serde_json::to_vec(&status).unwrap_or_default();
                self.respond(connection, now, 200, CONTENT_TYPE_JSON, &body)
            }
            Operation::Publish { .. } if is_stopping => {
                self.respond(connection, now, 503, CONTENT_TYPE_JSON, STOPPING_BODY)
            }
            Operation::Publish { idempotency_key } => {
                self.relay.publish(now, unix_ms(), token as u64, idempotency_key.as_deref(), &body);
                Ok(())
            }
            Operation::PeerCall => self.answer_peer(connection, now, &body),
            Operation::ReportApplied => self.forward_report(token, connection, now, body),
        }
    }

    fn answer_peer(&mut self, connection: &mut Connection, now: Ns, body: &[u8]) -> Result<(), ErrorKind> {
        let request = match rmp_serde::from_slice::<PeerRequest>(body) {
            Ok(request) => request,
            Err(error) => {
                let error = RequestError::new(400, format!("not a call of a voter: {error}"));
                return self.reject(connection, now, &error);
            }
        };
        connection.enlarge_send_buffer(RELAY_SEND_BUFFER_BYTES);
        let reply = self.relay.on_peer_request(now, unix_ms(), request);
        let body = rmp_serde::to_vec(&reply).unwrap_or_default();
        self.respond(connection, now, 200, CONTENT_TYPE_MESSAGE_PACK, &body)
    }

    /// Forwards a subscriber's report to the upstream. The response is sent once the upstream has responded.
    fn forward_report(
        &mut self,
        token: usize,
        connection: &mut Connection,
        now: Ns,
        body: Vec<u8>,
    ) -> Result<(), ErrorKind> {
        let target = self.relay.upstream_to_follow(now);
        let upstream = target.and_then(|target| self.upstreams.get(target.upstream).copied());
        let report = upstream.map(|upstream| AppliedReport { connection: token, upstream, body });
        if report.is_none_or(|report| self.applied_reports.try_send(report).is_err()) {
            self.respond(connection, now, 503, "", b"")?;
        }
        Ok(())
    }

    /// Sends the response to the current request. Does nothing if no request is waiting for a response.
    pub(super) fn respond(
        &mut self,
        connection: &mut Connection,
        now: Ns,
        code: u16,
        content_type: &str,
        body: &[u8],
    ) -> Result<(), ErrorKind> {
        let ConnectionState::Responding { closes } = connection.state else { return Ok(()) };
        let closes = closes || self.stopping_since.is_some();
        connection.send(&http::response(code, content_type, body, closes), now)?;
        if closes {
            return connection.close(now);
        }
        connection.state = ConnectionState::AwaitingRequest;
        Ok(())
    }

    /// Sends the reason why a request is rejected, and closes the connection.
    fn reject(
        &mut self,
        connection: &mut Connection,
        now: Ns,
        error: &RequestError,
    ) -> Result<(), ErrorKind> {
        let RequestError { code, reason } = error;
        if let Some(suppressed) = self.rate_limiter.admit(now) {
            let from = connection.peer;
            tracing::warn!("relay request rejected from={from} code={code} left_out={suppressed}: {reason}");
        }
        connection.state = ConnectionState::Responding { closes: true };
        let body = json!({"error": reason}).to_string();
        self.respond(connection, now, *code, CONTENT_TYPE_JSON, body.as_bytes())
    }

    /// Sends the result of publishing an event to the publisher at the connection `token`.
    pub(super) fn answer_publisher(&mut self, token: usize, now: Ns, result: Result<u64, PublishError>) {
        let error = match result {
            Ok(number) => {
                let body = json!({"n": number}).to_string();
                return self.send_deferred_response(token, now, 200, body.as_bytes());
            }
            Err(error) => error,
        };
        let code = publish_status_code(&error);
        if code != 503
            && let Some(suppressed) = self.rate_limiter.admit(now)
        {
            let from: Option<IpAddr> = self.connections.get(&token).map(|connection| connection.peer);
            tracing::warn!("relay event rejected from={from:?} left_out={suppressed}: {error}");
        }
        let leader = match &error {
            PublishError::NotLeader(leader) => leader.map(|member| member.number),
            _ => None,
        };
        let body = json!({"error": error.to_string(), "owner": leader}).to_string();
        self.send_deferred_response(token, now, code, body.as_bytes());
    }

    /// Sends a response that was not available at once, and handles the requests that were received after its request.
    pub(super) fn send_deferred_response(&mut self, token: usize, now: Ns, code: u16, body: &[u8]) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let sent = self.respond(&mut connection, now, code, CONTENT_TYPE_JSON, body);
        let result = sent.and_then(|()| self.answer_requests(token, &mut connection, now));
        self.keep_or_drop(token, connection, None, result);
    }
}

fn publish_status_code(error: &PublishError) -> u16 {
    match error {
        PublishError::NotLeader(_) | PublishError::LeadershipLost => 503,
        PublishError::InvalidEvent(EventError::TooLarge { .. }) => 413,
        PublishError::InvalidEvent(_) | PublishError::PurgeInFuture { .. } | PublishError::KeyTooLong(_) => {
            400
        }
        PublishError::LogFull(_) => 507,
        PublishError::NoList => 409,
    }
}
