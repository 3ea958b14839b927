//! The plan in force in this process, and the time since it began. All calls here go straight to the kernel.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::{Mutex, OnceLock};

use libc::c_int;

use crate::plan::{Call, Fault, Plan};

/// The environment variable that names the plan's file.
const VARIABLE: &std::ffi::CStr = c"SABLECROSS_FAULTS";
/// The interval at which the file is read again.
const REREAD_MS: u64 = 10;
/// The largest plan file that is read.
const MAX_PLAN_BYTES: usize = 16 << 10;

/// What the faults of this process depend on.
struct State {
    path: Option<CString>,
    began_ms: u64,
    read_ms: u64,
    plan: Plan,
    random: u64,
}

thread_local! {
    /// Set while this thread is in here: what it calls meanwhile is not subject to faults.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

static STATE: OnceLock<Mutex<State>> = OnceLock::new();

/// Nanoseconds of the monotonic clock.
pub(crate) fn monotonic_ns() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the kernel fills the structure that it is given.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Milliseconds of the monotonic clock.
fn monotonic_ms() -> u64 {
    monotonic_ns() / 1_000_000
}

/// The state at the start of the process.
fn new_state() -> Mutex<State> {
    // SAFETY: the variable is read once, before the process has other threads.
    let path = unsafe {
        let value = libc::getenv(VARIABLE.as_ptr());
        (!value.is_null()).then(|| std::ffi::CStr::from_ptr(value).to_owned())
    };
    let now = monotonic_ms();
    let random = now.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut state = State { path, began_ms: now, read_ms: 0, plan: Plan::default(), random };
    state.reread(now);
    Mutex::new(state)
}

impl State {
    /// Reads the plan's file again if the interval is over. A file that cannot be read or parsed changes nothing.
    fn reread(&mut self, now: u64) {
        let Some(path) = self.path.as_ref().filter(|_| now >= self.read_ms + REREAD_MS) else { return };
        self.read_ms = now;
        let mut bytes = [0u8; MAX_PLAN_BYTES];
        // SAFETY: the path ends in a zero byte and the buffer has the length that is told.
        let read = unsafe {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_CLOEXEC, 0);
            if file < 0 {
                return;
            }
            let read = libc::syscall(libc::SYS_read, file, bytes.as_mut_ptr(), bytes.len());
            libc::syscall(libc::SYS_close, file);
            read
        };
        let text = usize::try_from(read).ok().and_then(|n| std::str::from_utf8(&bytes[..n]).ok());
        // A plan that is being written is read again before long.
        if let Some(Ok(plan)) = text.map(str::parse) {
            self.plan = plan;
        }
    }

    /// A number from 0 to 99 (xorshift).
    fn roll(random: &mut u64) -> u64 {
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        (*random >> 33) % 100
    }
}

/// Looks at the state with the milliseconds since the process began; `None` while this thread is in here already.
fn with_state<T>(look: impl FnOnce(&mut State, u64) -> Option<T>) -> Option<T> {
    if INSIDE.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let found = {
        let mut state = STATE.get_or_init(new_state).lock().unwrap_or_else(|e| e.into_inner());
        let now = monotonic_ms();
        state.reread(now);
        let since = now - state.began_ms;
        look(&mut state, since)
    };
    INSIDE.with(|inside| inside.set(false));
    found
}

/// The fault of a call of this kind now, if any.
pub(crate) fn fault(call: Call) -> Option<Fault> {
    with_state(|state, since| {
        let State { plan, random, .. } = state;
        plan.fault(call, since, || State::roll(random))
    })
}

/// How far the wall clock is off now, in milliseconds.
pub(crate) fn clock_offset_ms() -> i64 {
    with_state(|state, since| Some(state.plan.clock_offset_ms(since))).unwrap_or(0)
}

/// Fails a call with this error.
pub(crate) fn fail(errno: i32) -> c_int {
    // SAFETY: the address is this thread's own.
    unsafe { *libc::__errno_location() = errno };
    -1
}
