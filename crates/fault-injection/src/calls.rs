//! Replacements for functions of the C library. Most inject a fault if one is due, and otherwise make the system call
//! themselves. `clock_gettime` shifts the wall clock, `shutdown` is only logged, and `pthread_create` without a fault
//! calls the function of the C library.
#![allow(clippy::missing_safety_doc)]

use libc::{
    c_char, c_int, c_long, c_uint, c_void, iovec, off64_t, pthread_attr_t, pthread_t, size_t, ssize_t,
};

use crate::plan::{Call, Fault};
use crate::{send_log, state};

/// Errors that break a connection for good: the socket is shut down, so that later calls don't find it intact.
const BREAKING_ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// The error with which a call of this kind has to fail now, if any.
fn due_error(call: Call) -> Option<i32> {
    match state::fault(call)? {
        Fault::Errno(errno) => Some(errno),
        Fault::Short(_) => None,
    }
}

/// Converts the result of a system call to the type that the C library returns.
fn result(value: c_long) -> c_int {
    value as c_int
}

#[derive(Clone, Copy, PartialEq)]
enum DescriptorKind {
    Socket,
    File,
    Other,
}

/// Whether a socket is of an internet family. Transfers on socket pairs within the process get no faults.
fn is_internet(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as libc::socklen_t;
    // SAFETY: the kernel writes to the given number.
    let done = unsafe {
        libc::syscall(
            libc::SYS_getsockopt,
            socket,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            &mut domain,
            &mut length,
        )
    };
    done == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
}

/// Which kind of descriptor this is.
fn descriptor_kind(descriptor: c_int) -> DescriptorKind {
    // SAFETY: the kernel writes to the given structure.
    let mode = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        if libc::syscall(libc::SYS_fstat, descriptor, &mut status) != 0 {
            return DescriptorKind::Other;
        }
        status.st_mode & libc::S_IFMT
    };
    match mode {
        libc::S_IFSOCK if is_internet(descriptor) => DescriptorKind::Socket,
        libc::S_IFREG => DescriptorKind::File,
        _ => DescriptorKind::Other,
    }
}

/// The maximum number of bytes of a transfer (`usize::MAX` if it is not limited), or the result with which it fails.
fn transfer(descriptor: c_int, on_socket: Call, on_file: Call) -> Result<usize, c_int> {
    let call = match descriptor_kind(descriptor) {
        DescriptorKind::Socket => on_socket,
        DescriptorKind::File => on_file,
        DescriptorKind::Other => return Ok(usize::MAX),
    };
    match state::fault(call) {
        None => Ok(usize::MAX),
        Some(Fault::Short(bytes)) => Ok(bytes.max(1)),
        Some(Fault::Errno(errno)) => {
            if call == on_socket && BREAKING_ERRORS.contains(&errno) {
                // SAFETY: a system call without pointers.
                unsafe { libc::syscall(libc::SYS_shutdown, descriptor, libc::SHUT_RDWR) };
            }
            Err(state::fail(errno))
        }
    }
}

/// The parts of a gathered or scattered transfer, truncated to `max_bytes` in all.
fn truncated(parts: &[iovec], max_bytes: usize) -> Vec<iovec> {
    let mut remaining = max_bytes;
    let mut truncated = Vec::new();
    for part in parts {
        let length = part.iov_len.min(remaining);
        remaining -= length;
        truncated.push(iovec { iov_base: part.iov_base, iov_len: length });
    }
    truncated
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let offset = state::clock_offset_ms();
        // SAFETY: the kernel has just written to this structure.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + (offset.rem_euclid(1_000)) * 1_000_000;
        time.tv_sec += offset.div_euclid(1_000) + nanoseconds / 1_000_000_000;
        time.tv_nsec = nanoseconds % 1_000_000_000;
    }
    result(done)
}

/// Defines a function that passes its arguments on to one system call, unless a fault is due.
macro_rules! forwarded {
    ($name:ident, $kind:expr, $number:expr, ($($argument:ident: $type:ty),*)) => {
        #[unsafe(no_mangle)]
        pub(crate) unsafe extern "C" fn $name($($argument: $type),*) -> c_int {
            if let Some(errno) = due_error($kind) {
                return state::fail(errno);
            }
            // SAFETY: the caller's arguments are passed on unchanged.
            result(unsafe { libc::syscall($number, $($argument),*) })
        }
    };
}

forwarded!(socket, Call::Socket, libc::SYS_socket, (domain: c_int, kind: c_int, protocol: c_int));
forwarded!(bind, Call::Bind, libc::SYS_bind, (socket: c_int, address: *const c_void, length: c_uint));
forwarded!(listen, Call::Listen, libc::SYS_listen, (socket: c_int, backlog: c_int));
forwarded!(connect, Call::Connect, libc::SYS_connect, (socket: c_int, address: *const c_void, length: c_uint));
forwarded!(epoll_create1, Call::EpollCreate, libc::SYS_epoll_create1, (flags: c_int));
forwarded!(epoll_ctl, Call::EpollControl, libc::SYS_epoll_ctl,
    (epoll: c_int, operation: c_int, descriptor: c_int, event: *mut c_void));
forwarded!(eventfd, Call::EventFd, libc::SYS_eventfd2, (value: c_uint, flags: c_int));
forwarded!(socketpair, Call::SocketPair, libc::SYS_socketpair,
    (domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int));
forwarded!(fsync, Call::Sync, libc::SYS_fsync, (file: c_int));
forwarded!(fdatasync, Call::Sync, libc::SYS_fdatasync, (file: c_int));

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn shutdown(socket: c_int, how: c_int) -> c_int {
    send_log::log_shutdown(socket);
    // SAFETY: a system call without pointers.
    result(unsafe { libc::syscall(libc::SYS_shutdown, socket, how) })
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut c_void,
    length: *mut c_uint,
    flags: c_int,
) -> c_int {
    if let Some(errno) = due_error(Call::Accept) {
        if errno == libc::ECONNABORTED {
            // An aborted connection is no longer in the queue of the listener: one is accepted and closed.
            // SAFETY: no address is requested, and only this call uses the descriptor.
            unsafe {
                let none = std::ptr::null_mut::<c_void>();
                let accepted = libc::syscall(libc::SYS_accept4, listener, none, none, 0);
                if accepted < 0 {
                    return result(accepted);
                }
                libc::syscall(libc::SYS_close, accepted);
            }
        }
        return state::fail(errno);
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    result(unsafe { libc::syscall(libc::SYS_accept4, listener, address, length, flags) })
}

/// Made as `ppoll` without a signal mask: not every kind of machine has the system call `poll`.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn poll(watched: *mut c_void, count: libc::nfds_t, timeout_ms: c_int) -> c_int {
    if let Some(errno) = due_error(Call::Wait) {
        return state::fail(errno);
    }
    let mut limit = libc::timespec {
        tv_sec: libc::time_t::from(timeout_ms / 1_000),
        tv_nsec: libc::c_long::from(timeout_ms % 1_000) * 1_000_000,
    };
    // A negative time-out waits without end, as does a null pointer.
    let limit = if timeout_ms < 0 { std::ptr::null_mut() } else { &raw mut limit };
    let mask = std::ptr::null::<c_void>();
    // SAFETY: the caller's arguments are passed on unchanged; the kernel writes to `limit` only during the call.
    result(unsafe { libc::syscall(libc::SYS_ppoll, watched, count, limit, mask, 8) })
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut c_void,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = due_error(Call::Wait) {
        return state::fail(errno);
    }
    let mask = std::ptr::null::<c_void>();
    // SAFETY: the caller's arguments are passed on unchanged, with no signal mask.
    result(unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, mask, 8) })
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    if let Some(errno) = due_error(Call::Open) {
        return state::fail(errno);
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    result(unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) })
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn read(descriptor: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    match transfer(descriptor, Call::Receive, Call::FileRead) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller's buffer, or a part of it.
        Ok(max_bytes) => unsafe {
            libc::syscall(libc::SYS_read, descriptor, to, length.min(max_bytes)) as ssize_t
        },
    }
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller's buffer.
    unsafe { send_log::log_write(from, length, descriptor) };
    match transfer(descriptor, Call::Send, Call::FileWrite) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller's buffer, or a part of it.
        Ok(max_bytes) => unsafe {
            libc::syscall(libc::SYS_write, descriptor, from, length.min(max_bytes)) as ssize_t
        },
    }
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    at: off64_t,
) -> ssize_t {
    match transfer(descriptor, Call::Send, Call::FileWrite) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller's buffer, or a part of it.
        Ok(max_bytes) => unsafe {
            libc::syscall(libc::SYS_pwrite64, descriptor, from, length.min(max_bytes), at) as ssize_t
        },
    }
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn recv(
    socket: c_int,
    to: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    match transfer(socket, Call::Receive, Call::FileRead) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller's buffer, or a part of it.
        Ok(max_bytes) => unsafe {
            let no_address = std::ptr::null::<c_void>();
            let read = libc::syscall(
                libc::SYS_recvfrom,
                socket,
                to,
                length.min(max_bytes),
                flags,
                no_address,
                no_address,
            );
            send_log::log_read(to, usize::try_from(read).unwrap_or(0), socket);
            read as ssize_t
        },
    }
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn send(
    socket: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    // SAFETY: the caller's buffer.
    unsafe { send_log::log_write(from, length, socket) };
    match transfer(socket, Call::Send, Call::FileWrite) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller's buffer, or a part of it.
        Ok(max_bytes) => unsafe {
            let no_address = std::ptr::null::<c_void>();
            libc::syscall(libc::SYS_sendto, socket, from, length.min(max_bytes), flags, no_address, 0)
                as ssize_t
        },
    }
}

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller's buffers.
    unsafe { send_log::log_gathered_write(descriptor, parts, count) };
    match transfer(descriptor, Call::Send, Call::FileWrite) {
        Err(result) => result as ssize_t,
        // SAFETY: the caller gives the number of parts.
        Ok(usize::MAX) => unsafe { libc::syscall(libc::SYS_writev, descriptor, parts, count) as ssize_t },
        // SAFETY: the caller gives the number of parts; the truncated parts lie within them.
        Ok(max_bytes) => unsafe {
            let shorter = truncated(std::slice::from_raw_parts(parts, count as usize), max_bytes);
            libc::syscall(libc::SYS_writev, descriptor, shorter.as_ptr(), count) as ssize_t
        },
    }
}

/// The start routine of a thread.
type StartRoutine = extern "C" fn(*mut c_void) -> *mut c_void;

#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn pthread_create(
    thread: *mut pthread_t,
    attributes: *const pthread_attr_t,
    start: StartRoutine,
    argument: *mut c_void,
) -> c_int {
    if let Some(errno) = due_error(Call::Thread) {
        return errno;
    }
    type Create =
        unsafe extern "C" fn(*mut pthread_t, *const pthread_attr_t, StartRoutine, *mut c_void) -> c_int;
    // SAFETY: the next definition of this symbol is the C library's, of the type that it documents.
    unsafe {
        let next = libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr());
        if next.is_null() {
            return libc::EAGAIN;
        }
        std::mem::transmute::<*mut c_void, Create>(next)(thread, attributes, start, argument)
    }
}
