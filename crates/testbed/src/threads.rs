//! Threads of the stubs, and locks between them.

use std::sync::{Mutex, MutexGuard};

/// The stack size of the stubs' threads. It is small because stubs use one thread per connection.
const STACK_BYTES: usize = 256 << 10;

/// Locks a mutex and ignores poisoning: after a panic in another thread, the trial goes on and reports its counts.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs a stub's work on a thread of its own. Panics if the system can't create a thread, which ends the trial.
pub(crate) fn spawn(work: impl FnOnce() + Send + 'static) {
    let spawned = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    spawned.expect("the system can create a thread for the stub");
}
