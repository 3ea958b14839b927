//! The dispatcher's way to the clients' thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::{Sender, TrySendError};
use mio::Waker;

use super::response::PendingResponse;

/// The dispatcher's way to the clients.
pub(crate) struct ResponseSender {
    responses: Sender<PendingResponse>,
    waker: Waker,
    is_shutting_down: Arc<AtomicBool>,
}

impl ResponseSender {
    /// `waker` wakes the clients' thread, which looks at `is_shutting_down` then.
    pub(super) fn new(
        responses: Sender<PendingResponse>,
        waker: Waker,
        is_shutting_down: Arc<AtomicBool>,
    ) -> ResponseSender {
        ResponseSender { responses, waker, is_shutting_down }
    }

    /// Hands a response over; it comes back if the queue is full.
    pub(crate) fn send(&self, response: PendingResponse) -> Result<(), PendingResponse> {
        let sent = match self.responses.try_send(response) {
            Err(TrySendError::Full(response)) => Err(response),
            // Without the clients' thread nobody is owed anything.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        };
        // The thread wakes by itself before long.
        let _ = self.waker.wake();
        sent
    }

    /// No more clients are accepted; each connection ends once nothing is open on it.
    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}
