//! The start's patience: calls that fail for a moment are made again, for a bounded time.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, bounded};

use crate::events::Event;
use crate::os_error;

/// A start that can't be has ended after this.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Tells the desk when a thread that must not end does, even by a panic.
struct Vital {
    name: &'static str,
    events: Sender<Event>,
}

impl Drop for Vital {
    fn drop(&mut self) {
        let _ = self.events.send(Event::ThreadEnded(self.name));
    }
}

pub struct StartupRetry {
    until: Instant,
}

impl StartupRetry {
    pub fn new() -> StartupRetry {
        StartupRetry { until: Instant::now() + PATIENCE }
    }

    /// Whether what failed so may go well before the start's time is over; it has waited a little then.
    pub fn may_retry(&self, e: &io::Error) -> bool {
        // The program before this one may not have let go of its address yet.
        let passes = os_error::is_local_shortage(e) || e.kind() == ErrorKind::AddrInUse;
        let retry = passes && Instant::now() < self.until;
        if retry {
            thread::sleep(PAUSE);
        }
        retry
    }

    /// Makes a call until it goes well, its error is none that passes, or the start's time is over.
    pub fn retry<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(e) if self.may_retry(&e) => {}
                done => return done,
            }
        }
    }

    /// Starts a thread whose end ends the program.
    pub fn spawn_essential(
        &self,
        name: &'static str,
        stack: usize,
        events: &Sender<Event>,
        run: impl FnOnce() + Send + 'static,
    ) -> io::Result<()> {
        // What the thread runs is handed over once there is one: a thread that can't be made would drop it.
        let (hand_over, handed) = bounded::<Box<dyn FnOnce() + Send>>(1);
        self.retry(|| {
            let (events, handed) = (events.clone(), handed.clone());
            let body = move || {
                let _vital = Vital { name, events };
                if let Ok(run) = handed.recv() {
                    run();
                }
            };
            thread::Builder::new().name(name.into()).stack_size(stack).spawn(body)
        })?;
        hand_over.send(Box::new(run)).map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
