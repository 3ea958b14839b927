//! Responses to clients, and the writer of one response.

use std::io::{self, IoSlice};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;

use super::rpc::{self, ResponseFrame};
use super::write_remaining;
use crate::events::{CallId, ClientId};
use crate::memory_budget::Body;

/// A response that is queued for a client.
pub(crate) struct PendingResponse {
    /// The client's connection.
    pub client: ClientId,
    /// The call that is answered.
    pub call: CallId,
    /// The time until which the client waits for the response. For a response without a deadline of its own, the end of
    /// the default write timeout.
    pub deadline: Ns,
    /// The content of the response.
    pub response: Response,
}

/// The content of a response to a client.
pub(crate) enum Response {
    /// The object; `None` if the copy that the client holds is the current one.
    Success(Option<Arc<Body>>),
    /// There is currently no capacity for the request.
    Rejected {
        /// The delay after which the client may retry; 0 if none is given.
        retry_after_ms: u64,
    },
    /// The request has failed or is unusable.
    Failed,
    /// Whether the director is ready for requests.
    Health(bool),
}

/// A response that is being written.
pub(super) struct ResponseWriter {
    frame: ResponseFrame,
    body: Option<Arc<Body>>,
    written: usize,
    pub(super) deadline: Ns,
}

impl ResponseWriter {
    pub(super) fn new(pending: PendingResponse) -> ResponseWriter {
        let call = pending.call.number;
        let (frame, body) = match pending.response {
            Response::Success(body) => {
                let length = body.as_ref().map_or(0, |body| body.bytes().len());
                (rpc::encode_success(call, length, body.is_none()), body)
            }
            Response::Rejected { retry_after_ms: 0 } => {
                (ResponseFrame::without_body(rpc::encode_error(call, "Rejected", &[])), None)
            }
            Response::Rejected { retry_after_ms } => {
                let fields = [("backoff", &*retry_after_ms.to_string())];
                (ResponseFrame::without_body(rpc::encode_error(call, "Rejected", &fields)), None)
            }
            Response::Failed => (ResponseFrame::without_body(rpc::encode_error(call, "Failed", &[])), None),
            Response::Health(is_healthy) => {
                (ResponseFrame::without_body(rpc::encode_health(call, is_healthy)), None)
            }
        };
        ResponseWriter { frame, body, written: 0, deadline: pending.deadline }
    }

    pub(super) fn body(&self) -> &[u8] {
        self.body.as_deref().map_or(&[], |body| body.bytes())
    }

    /// Writes the remaining bytes with one call. Returns whether the response is completely written.
    pub(super) fn write_to(&mut self, stream: &TcpStream) -> io::Result<bool> {
        let body = self.body.as_deref().map_or(&[][..], |body| body.bytes());
        let mut parts =
            [IoSlice::new(&self.frame.before_body), IoSlice::new(body), IoSlice::new(&self.frame.after_body)];
        write_remaining(stream, &mut parts, &mut self.written)
    }
}
