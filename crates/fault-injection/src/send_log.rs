//! The send log records when a process is about to write an attempt or its cancellation (`KILL`) to a node's socket,
//! when it is about to shut a socket down, and when it has read a client's request. Times are of the monotonic clock,
//! which all processes of the machine share.
//!
//! The environment variable `SABLECROSS_SEND_LOG` names the file; without it nothing is logged. Each event is one line:
//!
//! ```text
//! NANOSECONDS LOCAL_PORT PEER_PORT FIRST_LINE  the time, the ports of both ends, and the first line of what is written
//! NANOSECONDS LOCAL_PORT PEER_PORT SHUT        a socket is about to be shut down
//! NANOSECONDS LOCAL_PORT PEER_PORT READ AGE    a request was read; AGE is the time in milliseconds since the
//!                                              kernel received the last byte on the socket
//! ```

use std::io::Write;
use std::sync::OnceLock;

use libc::{c_int, c_long, c_void, iovec};

use crate::state::monotonic_ns;

/// The environment variable that names the log's file.
const VARIABLE: &std::ffi::CStr = c"SABLECROSS_SEND_LOG";
/// A write is logged if it begins with one of these commands.
const COMMANDS: [&[u8]; 2] = [b"PULL ", b"KILL "];
/// A client's request begins with these bytes: a MessagePack array of four elements, of which the first is the type of
/// a call.
const REQUEST: &[u8] = &[0x94, 0];
/// Maximum length of a log line; longer lines are truncated.
const MAX_LINE_BYTES: usize = 256;
const FILE_MODE: c_int = 0o644;

/// The descriptor of the log; none if the variable is not set or the file can't be opened.
static FILE: OnceLock<Option<c_int>> = OnceLock::new();

fn open() -> Option<c_int> {
    // SAFETY: the variable is read before the process changes its environment, and the path ends in a zero byte.
    let file = unsafe {
        let path = libc::getenv(VARIABLE.as_ptr());
        if path.is_null() {
            return None;
        }
        let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, FILE_MODE)
    };
    c_int::try_from(file).ok().filter(|file| *file >= 0)
}

/// The port of one end of a socket, by the system call `SYS_getsockname` or `SYS_getpeername`; 0 if that fails.
fn port(socket: c_int, end: c_long) -> u16 {
    // SAFETY: the kernel fills the structure that it is given, up to the given length.
    unsafe {
        let mut address: libc::sockaddr_in = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_in>() as libc::socklen_t;
        let done: c_long = libc::syscall(end, socket, &mut address, &mut length);
        if done == 0 { u16::from_be(address.sin_port) } else { 0 }
    }
}

/// Writes a line to the log, truncated to `MAX_LINE_BYTES`.
fn write_line(file: c_int, socket: c_int, text: &[u8]) {
    let mut line = [0u8; MAX_LINE_BYTES];
    let mut rest = &mut line[..MAX_LINE_BYTES - 1];
    let (local, peer) = (port(socket, libc::SYS_getsockname), port(socket, libc::SYS_getpeername));
    let _ = write!(rest, "{} {local} {peer} ", monotonic_ns());
    let _ = rest.write(text);
    let used = MAX_LINE_BYTES - 1 - rest.len();
    line[used] = b'\n';
    // SAFETY: the buffer has at least the given length.
    unsafe { libc::syscall(libc::SYS_write, file, line.as_ptr(), used + 1) };
}

/// Logs that a socket is about to be shut down.
pub(crate) fn log_shutdown(socket: c_int) {
    let Some(file) = *FILE.get_or_init(open) else { return };
    write_line(file, socket, b"SHUT");
}

/// How long ago the kernel received the last byte on a socket, in milliseconds.
fn last_received_age_ms(socket: c_int) -> u32 {
    // SAFETY: the kernel fills the structure that it is given, up to the given length.
    unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
        let (level, option) = (libc::IPPROTO_TCP, libc::TCP_INFO);
        let done = libc::syscall(libc::SYS_getsockopt, socket, level, option, &mut info, &mut length);
        if done == 0 { info.tcpi_last_data_recv } else { 0 }
    }
}

/// Logs a read if the bytes begin a client's request.
///
/// # Safety
/// `bytes` has to point to `length` readable bytes.
pub(crate) unsafe fn log_read(bytes: *const c_void, length: usize, socket: c_int) {
    // SAFETY: the caller guarantees that the memory is readable.
    let bytes = unsafe { std::slice::from_raw_parts(bytes.cast::<u8>(), length) };
    if !bytes.starts_with(REQUEST) {
        return;
    }
    let Some(file) = *FILE.get_or_init(open) else { return };
    let mut text = [0u8; MAX_LINE_BYTES];
    let mut rest = &mut text[..];
    let _ = write!(rest, "READ {}", last_received_age_ms(socket));
    let used = MAX_LINE_BYTES - rest.len();
    write_line(file, socket, &text[..used]);
}

/// Logs a gathered write if its first part begins a message to a node.
///
/// # Safety
/// `parts` has to point to `count` parts of readable memory.
pub(crate) unsafe fn log_gathered_write(socket: c_int, parts: *const iovec, count: c_int) {
    if count > 0 {
        // SAFETY: the caller guarantees that the memory is readable.
        unsafe { log_write((*parts).iov_base, (*parts).iov_len, socket) }
    }
}

/// Logs a write if the bytes begin a message to a node.
///
/// # Safety
/// `bytes` has to point to `length` readable bytes.
pub(crate) unsafe fn log_write(bytes: *const c_void, length: usize, socket: c_int) {
    if length == 0 || bytes.is_null() {
        return;
    }
    // SAFETY: the caller guarantees that the memory is readable.
    let bytes = unsafe { std::slice::from_raw_parts(bytes.cast::<u8>(), length) };
    if !COMMANDS.iter().any(|command| bytes.starts_with(command)) {
        return;
    }
    let Some(file) = *FILE.get_or_init(open) else { return };
    let first_line = bytes.split(|byte| *byte == b'\r').next().unwrap_or_default();
    write_line(file, socket, first_line);
}
