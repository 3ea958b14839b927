//! Responses to clients, and one that is being written.

use std::io::{self, IoSlice};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;

use super::rpc::{self, ResponseFrame};
use super::write_remaining;
use crate::events::{CallId, ClientId};
use crate::memory_budget::Body;

/// A response on its way to a client.
pub(crate) struct PendingResponse {
    /// The connection of the client.
    pub client: ClientId,
    /// The call that it answers.
    pub call: CallId,
    /// Until when the client waits for it.
    pub deadline: Ns,
    /// Its content.
    pub response: Response,
}

/// What a client is answered.
pub(crate) enum Response {
    /// The object; without a body where the copy that the client holds is the current one.
    Success(Option<Arc<Body>>),
    /// There is no capacity for the request just now.
    Rejected {
        /// After which the client may try again; 0: none is given.
        retry_after_ms: u64,
    },
    /// The request has failed, or can't be used.
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

    /// Writes what is left, in one call; whether that was all.
    pub(super) fn write_to(&mut self, stream: &TcpStream) -> io::Result<bool> {
        let body = self.body.as_deref().map_or(&[][..], |body| body.bytes());
        let mut parts =
            [IoSlice::new(&self.frame.before_body), IoSlice::new(body), IoSlice::new(&self.frame.after_body)];
        write_remaining(stream, &mut parts, &mut self.written)
    }
}
