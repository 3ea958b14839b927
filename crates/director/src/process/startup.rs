//! Calls of the start that fail for a moment are made again, for a bounded time.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, bounded};

use crate::events::Event;
use crate::os_error;

/// A start that can't be has ended after this.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Tells the dispatcher when a thread without which the director can't serve ends, even by a panic.
struct EndOfThread {
    name: &'static str,
    events: Sender<Event>,
}

impl Drop for EndOfThread {
    fn drop(&mut self) {
        let _ = self.events.send(Event::ThreadEnded(self.name));
    }
}

/// Makes calls of the start again.
pub(super) struct StartupRetry {
    until: Instant,
}

impl StartupRetry {
    /// The start begins now.
    pub(super) fn new() -> StartupRetry {
        StartupRetry { until: Instant::now() + STARTUP_TIMEOUT }
    }

    /// Whether what failed so may go well before the start's time is over; it has waited a little then.
    pub(super) fn may_retry(&self, error: &io::Error) -> bool {
        // The program before this one may not have let go of its address yet.
        let is_transient = os_error::is_local_shortage(error) || error.kind() == ErrorKind::AddrInUse;
        let may_retry = is_transient && Instant::now() < self.until;
        if may_retry {
            thread::sleep(RETRY_INTERVAL);
        }
        may_retry
    }

    /// Makes a call until it goes well, its error is none that passes, or the start's time is over.
    pub(super) fn retry<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(e) if self.may_retry(&e) => {}
                result => return result,
            }
        }
    }

    /// Starts a thread whose end ends the program.
    pub(super) fn spawn_essential(
        &self,
        name: &'static str,
        stack_bytes: usize,
        events: &Sender<Event>,
        run: impl FnOnce() + Send + 'static,
    ) -> io::Result<()> {
        // What the thread runs is handed over once there is one: a thread that can't be made would drop it.
        let (hand_over, handed) = bounded::<Box<dyn FnOnce() + Send>>(1);
        self.retry(|| {
            let (events, handed) = (events.clone(), handed.clone());
            let body = move || {
                let _end = EndOfThread { name, events };
                if let Ok(run) = handed.recv() {
                    run();
                }
            };
            thread::Builder::new().name(name.into()).stack_size(stack_bytes).spawn(body)
        })?;
        hand_over.send(Box::new(run)).map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
