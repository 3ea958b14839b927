//! Threads of stand-ins, and locks between them.

use std::sync::{Mutex, MutexGuard};

/// Stand-ins have a thread for each connection, so their stacks are small.
const STACK_BYTES: usize = 256 << 10;

/// Locks, also after another thread has panicked: a trial goes on and reports what it saw.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs a stand-in's work on a thread of its own. Panics if the system has no more threads, which ends the trial.
pub(crate) fn spawn(work: impl FnOnce() + Send + 'static) {
    let spawned = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    spawned.expect("the system has threads for the stand-ins");
}
