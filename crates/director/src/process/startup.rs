//! Retries calls that fail transiently during startup, for a bounded time.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, bounded};

use crate::events::Event;
use crate::os_error;

/// How long calls are retried during startup before it fails.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Notifies the dispatcher when an essential thread, without which the director can't serve, ends, even by a panic.
struct ThreadEndNotifier {
    name: &'static str,
    events: Sender<Event>,
}

impl Drop for ThreadEndNotifier {
    fn drop(&mut self) {
        let _ = self.events.send(Event::ThreadEnded(self.name));
    }
}

/// Retries calls during startup.
pub(super) struct StartupRetry {
    deadline: Instant,
}

impl StartupRetry {
    /// Starts the startup timeout.
    pub(super) fn new() -> StartupRetry {
        StartupRetry { deadline: Instant::now() + STARTUP_TIMEOUT }
    }

    /// Whether a call that failed with this error may be retried: the error is transient, and the startup timeout has
    /// not expired. Waits for the retry interval if so.
    pub(super) fn may_retry(&self, error: &io::Error) -> bool {
        // The previous instance of the program may not have released its address yet.
        let is_transient = os_error::is_local_shortage(error) || error.kind() == ErrorKind::AddrInUse;
        let may_retry = is_transient && Instant::now() < self.deadline;
        if may_retry {
            thread::sleep(RETRY_INTERVAL);
        }
        may_retry
    }

    /// Repeats a call until it succeeds, fails with an error that is not transient, or the startup timeout expires.
    pub(super) fn retry<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(e) if self.may_retry(&e) => {}
                result => return result,
            }
        }
    }

    /// Starts an essential thread, whose end ends the program.
    pub(super) fn spawn_essential(
        &self,
        name: &'static str,
        stack_bytes: usize,
        events: &Sender<Event>,
        run: impl FnOnce() + Send + 'static,
    ) -> io::Result<()> {
        // `run` is sent to the thread once it has started. A failed attempt to start a thread drops the closure that it
        // was given, so `run` would be lost for the next attempt if that closure contained it.
        let (closure_sender, closure_receiver) = bounded::<Box<dyn FnOnce() + Send>>(1);
        self.retry(|| {
            let (events, closure_receiver) = (events.clone(), closure_receiver.clone());
            let body = move || {
                let _end = ThreadEndNotifier { name, events };
                if let Ok(run) = closure_receiver.recv() {
                    run();
                }
            };
            thread::Builder::new().name(name.into()).stack_size(stack_bytes).spawn(body)
        })?;
        closure_sender.send(Box::new(run)).map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
