//! Answers to clients, and one that has begun to be written.

use std::io::{self, IoSlice};
use std::sync::Arc;

use mio::net::TcpStream;
use sablecross::Ns;

use super::{rpc, write_on};
use crate::exchange::{Call, Client};
use crate::plain::bodies::Body;

/// What a client is told, and until when it listens.
pub struct Reply {
    pub client: Client,
    pub call: Call,
    pub until: Ns,
    pub say: Say,
}

pub enum Say {
    /// Without a body: the client's copy is the one.
    Satisfied(Option<Arc<Body>>),
    Nacked {
        pause_ms: u64,
    },
    Failed,
    Alive(bool),
}

/// An answer that has begun to be written.
pub(super) struct Writing {
    frame: rpc::Frame,
    body: Option<Arc<Body>>,
    written: usize,
    pub(super) until: Ns,
}

impl Writing {
    pub(super) fn of(reply: Reply) -> Writing {
        let call = reply.call.number;
        let whole = |bytes: Vec<u8>| rpc::Frame { before: bytes, after: Vec::new() };
        let (frame, body) = match reply.say {
            Say::Satisfied(body) => {
                let length = body.as_ref().map_or(0, |b| b.bytes().len());
                (rpc::satisfied(call, length, body.is_none()), body)
            }
            Say::Nacked { pause_ms: 0 } => (whole(rpc::error(call, "Rejected", &[])), None),
            Say::Nacked { pause_ms } => {
                (whole(rpc::error(call, "Rejected", &[("backoff", &pause_ms.to_string())])), None)
            }
            Say::Failed => (whole(rpc::error(call, "Failed", &[])), None),
            Say::Alive(alive) => (whole(rpc::alive(call, alive)), None),
        };
        Writing { frame, body, written: 0, until: reply.until }
    }

    pub(super) fn body(&self) -> &[u8] {
        self.body.as_deref().map_or(&[], |b| b.bytes())
    }

    /// Writes on in one go; whether that was all.
    pub(super) fn on(&mut self, to: &TcpStream) -> io::Result<bool> {
        let body = self.body.as_deref().map_or(&[][..], |b| b.bytes());
        let mut parts =
            [IoSlice::new(&self.frame.before), IoSlice::new(body), IoSlice::new(&self.frame.after)];
        write_on(to, &mut parts, &mut self.written)
    }
}
