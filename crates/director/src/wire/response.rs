//! Answers to clients, and one that has begun to be written.

use std::io::{self, IoSlice};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;

use super::{rpc, write_on};
use crate::events::{CallId, ClientId};
use crate::memory_budget::Body;

/// What a client is told, and until when it listens.
pub struct PendingResponse {
    pub client: ClientId,
    pub call: CallId,
    pub deadline: Ns,
    pub response: Response,
}

pub enum Response {
    /// Without a body: the client's copy is the one.
    Success(Option<Arc<Body>>),
    Rejected {
        retry_after_ms: u64,
    },
    Failed,
    Health(bool),
}

/// An answer that has begun to be written.
pub(super) struct ResponseWriter {
    frame: rpc::ResponseFrame,
    body: Option<Arc<Body>>,
    written: usize,
    pub(super) deadline: Ns,
}

impl ResponseWriter {
    pub(super) fn new(reply: PendingResponse) -> ResponseWriter {
        let call = reply.call.number;
        let whole = |bytes: Vec<u8>| rpc::ResponseFrame { before: bytes, after: Vec::new() };
        let (frame, body) = match reply.response {
            Response::Success(body) => {
                let length = body.as_ref().map_or(0, |b| b.bytes().len());
                (rpc::encode_success(call, length, body.is_none()), body)
            }
            Response::Rejected { retry_after_ms: 0 } => {
                (whole(rpc::encode_error(call, "Rejected", &[])), None)
            }
            Response::Rejected { retry_after_ms: pause_ms } => {
                (whole(rpc::encode_error(call, "Rejected", &[("backoff", &pause_ms.to_string())])), None)
            }
            Response::Failed => (whole(rpc::encode_error(call, "Failed", &[])), None),
            Response::Health(alive) => (whole(rpc::encode_health(call, alive)), None),
        };
        ResponseWriter { frame, body, written: 0, deadline: reply.deadline }
    }

    pub(super) fn body(&self) -> &[u8] {
        self.body.as_deref().map_or(&[], |b| b.bytes())
    }

    /// Writes on in one go; whether that was all.
    pub(super) fn write_to(&mut self, to: &TcpStream) -> io::Result<bool> {
        let body = self.body.as_deref().map_or(&[][..], |b| b.bytes());
        let mut parts =
            [IoSlice::new(&self.frame.before), IoSlice::new(body), IoSlice::new(&self.frame.after)];
        write_on(to, &mut parts, &mut self.written)
    }
}
