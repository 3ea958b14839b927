//! Attempts as nodes report them.

use std::fmt;

use crate::soak::Seconds;
use crate::soak::send_log::LinkPorts;

/// An attempt whose time of sending is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// Its connection.
    pub(super) ports: LinkPorts,
    pub(super) sent_at: Seconds,
    /// When its node proved that it never ran.
    pub(super) not_run_at: Option<Seconds>,
}

/// A connection of a director to a node, as the node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeLink {
    pub(crate) ports: LinkPorts,
    pub(crate) accepted_at: Seconds,
}

/// An attempt as its node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: u64,
    /// The number of the node.
    pub(crate) node: usize,
    /// The number of the node that it is to fill from.
    pub(crate) source: Option<usize>,
    /// The time that the node was told.
    pub(crate) wait_ms: u64,
    /// Its bytes may have lain unread at the node for a while.
    pub(crate) read_late: bool,
    /// The connection on which it came.
    pub(crate) link: NodeLink,
    /// When its first byte was about to be written, if that is known.
    pub(crate) sent_at: Option<Seconds>,
}

impl Attempt {
    /// When it was begun; none if that is not known and its bytes may have come at any time.
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
            None => write!(f, "time of sending unknown"),
        }
    }
}
