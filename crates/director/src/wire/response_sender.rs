//! The dispatcher's handle to the client thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::{Sender, TrySendError};
use mio::Waker;

use super::response::PendingResponse;

/// Sends responses to the client thread, and tells it to shut down.
pub(crate) struct ResponseSender {
    responses: Sender<PendingResponse>,
    waker: Waker,
    is_shutting_down: Arc<AtomicBool>,
}

impl ResponseSender {
    /// `waker` wakes the client thread, which then checks `is_shutting_down`.
    pub(super) fn new(
        responses: Sender<PendingResponse>,
        waker: Waker,
        is_shutting_down: Arc<AtomicBool>,
    ) -> ResponseSender {
        ResponseSender { responses, waker, is_shutting_down }
    }

    /// Queues a response. Returns it if the queue is full.
    pub(crate) fn send(&self, response: PendingResponse) -> Result<(), PendingResponse> {
        let sent = match self.responses.try_send(response) {
            Err(TrySendError::Full(response)) => Err(response),
            // If the client thread has ended, no client is connected any more.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        };
        // If waking fails, the thread handles the response when its poll times out.
        let _ = self.waker.wake();
        sent
    }

    /// Begins the shutdown: no more clients are accepted, and each connection is closed once nothing is pending on it.
    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}
