//! The plan in force in this process, and the time since the process first needed it, soon after its start. All system
//! calls of this module go straight to the kernel.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::{Mutex, OnceLock};

use libc::c_int;

use crate::plan::{Call, Fault, Plan};

/// The environment variable that names the plan's file.
const VARIABLE: &std::ffi::CStr = c"SABLECROSS_FAULTS";
/// The first call after this interval reads the file again.
const REREAD_MS: u64 = 10;
/// The maximum length of a plan. Only this many bytes of the file are read.
const MAX_PLAN_BYTES: usize = 16 << 10;

/// The plan, and the state that is needed to apply it.
struct State {
    /// The path of the plan's file; none if the variable is not set.
    path: Option<CString>,
    started_ms: u64,
    /// When the file was last read.
    read_ms: u64,
    plan: Plan,
    /// The state of the random number generator.
    random: u64,
}

thread_local! {
    /// Set while this thread uses the state: calls that it makes meanwhile are not subject to faults.
    static IN_STATE: Cell<bool> = const { Cell::new(false) };
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

/// The state at its first use.
fn new_state() -> Mutex<State> {
    // SAFETY: the variable is read once, before the process has other threads.
    let path = unsafe {
        let value = libc::getenv(VARIABLE.as_ptr());
        (!value.is_null()).then(|| std::ffi::CStr::from_ptr(value).to_owned())
    };
    let now = monotonic_ms();
    let random = now.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut state = State { path, started_ms: now, read_ms: 0, plan: Plan::default(), random };
    state.reread(now);
    Mutex::new(state)
}

impl State {
    /// Reads the plan's file again if `REREAD_MS` has passed. If the file can't be read or parsed, the plan stays.
    fn reread(&mut self, now: u64) {
        let Some(path) = self.path.as_ref().filter(|_| now >= self.read_ms + REREAD_MS) else { return };
        self.read_ms = now;
        let mut bytes = [0u8; MAX_PLAN_BYTES];
        // SAFETY: the path ends in a zero byte and the buffer has the length that is passed.
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
        // A file that is just being written may not parse; it is read again after the interval.
        if let Some(Ok(plan)) = text.map(str::parse) {
            self.plan = plan;
        }
    }

    /// Draws a number from 0 to 99 (xorshift).
    fn roll(random: &mut u64) -> u64 {
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        (*random >> 33) % 100
    }
}

/// Calls `access` with the state and the milliseconds since its first use. Returns `None` without calling it if this
/// thread uses the state already, or is ending.
fn with_state<T>(access: impl FnOnce(&mut State, u64) -> Option<T>) -> Option<T> {
    if IN_STATE.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let result = {
        let mut state = STATE.get_or_init(new_state).lock().unwrap_or_else(|e| e.into_inner());
        let now = monotonic_ms();
        state.reread(now);
        let elapsed_ms = now - state.started_ms;
        access(&mut state, elapsed_ms)
    };
    IN_STATE.with(|inside| inside.set(false));
    result
}

/// The fault that a call of this kind gets now, if any.
pub(crate) fn fault(call: Call) -> Option<Fault> {
    with_state(|state, elapsed_ms| {
        let State { plan, random, .. } = state;
        plan.fault(call, elapsed_ms, || State::roll(random))
    })
}

/// The offset of the wall clock now, in milliseconds.
pub(crate) fn clock_offset_ms() -> i64 {
    with_state(|state, elapsed_ms| Some(state.plan.clock_offset_ms(elapsed_ms))).unwrap_or(0)
}

/// Sets `errno` to this error and returns -1, the result of a failed call.
pub(crate) fn fail(errno: i32) -> c_int {
    // SAFETY: the address is this thread's own.
    unsafe { *libc::__errno_location() = errno };
    -1
}
