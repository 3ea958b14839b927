//! The attempts that nodes report.

use std::fmt;

use crate::soak::Seconds;
use crate::soak::send_log::LinkPorts;

/// An attempt whose send time is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// The connection on which it was sent.
    pub(super) ports: LinkPorts,
    pub(super) sent_at: Seconds,
    /// When its node proved that the attempt was never executed.
    pub(super) not_run_at: Option<Seconds>,
}

/// A connection of a director to a node, as the node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeLink {
    pub(crate) ports: LinkPorts,
    pub(crate) accepted_at: Seconds,
}

/// An attempt as its node reports it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: u64,
    /// The number of the node.
    pub(crate) node: usize,
    /// The number of the node from which the copy is to be filled, if the attempt names one.
    pub(crate) source: Option<usize>,
    /// How long the client still waits for the answer, as the attempt says.
    pub(crate) wait_ms: u64,
    /// Whether the bytes of the attempt may have waited unread at the node.
    pub(crate) read_late: bool,
    /// The connection on which it was received.
    pub(crate) link: NodeLink,
    /// When the director was about to write its first byte; none if that is not known.
    pub(crate) sent_at: Option<Seconds>,
}

impl Attempt {
    /// Returns when the attempt began; none if its send time is not known and its bytes may have waited unread.
    pub(super) fn begun_at(&self, read_at: Seconds) -> Option<Seconds> {
        self.sent_at.or((!self.read_late).then_some(read_at))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Attempt { node, link, .. } = self;
        write!(f, "node {node}, connection {} accepted at {:.3}, ", link.ports.director, link.accepted_at)?;
        match self.sent_at {
            Some(sent_at) => write!(f, "sent at {sent_at:.3}"),
            None => write!(f, "send time unknown"),
        }
    }
}
