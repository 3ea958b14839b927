//! The log of what a process sends to nodes, and of the connections that it ends: the moment at which each attempt or
//! kill is about to be written to its socket, and each socket to be shut, by the monotonic clock, which all processes of
//! the machine share.
//!
//! The environment variable `SABLECROSS_SEND_LOG` names the file; without it nothing is noted. One line each:
//!
//! ```text
//! NANOSECONDS LOCAL_PORT PEER_PORT FIRST_LINE  the time, the ports of this process's end and of the other one, what is written
//!                                              up to its first line end
//! NANOSECONDS LOCAL_PORT PEER_PORT SHUT        the same of a socket that is shut
//! NANOSECONDS LOCAL_PORT PEER_PORT READ AGE    the same of a request that is read, and for how many milliseconds the kernel has
//!                                              had the last byte on that socket
//! ```

use std::io::Write;
use std::sync::OnceLock;

use libc::{c_int, c_long, c_void, iovec};

use crate::state::monotonic_ns;

/// The environment variable that names the log's file.
const VARIABLE: &std::ffi::CStr = c"SABLECROSS_SEND_LOG";
/// What is noted begins with one of these words.
const COMMANDS: [&[u8]; 2] = [b"PULL ", b"KILL "];
/// A request of a client begins with these bytes: an array of four, the first of which is the type of a call.
const REQUEST: &[u8] = &[0x94, 0];
/// The longest line of the log; the first line of a message is cut to fit.
const MAX_LINE_BYTES: usize = 256;
const FILE_MODE: c_int = 0o644;

/// The descriptor of the log; none if it has no name or can't be opened.
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

/// The port of an end of a socket, as `SYS_getsockname` or `SYS_getpeername` tells it; 0 if it has none.
fn port(socket: c_int, end: c_long) -> u16 {
    // SAFETY: the kernel fills the structure that it is given, up to the length that it is told.
    unsafe {
        let mut address: libc::sockaddr_in = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_in>() as libc::socklen_t;
        let done: c_long = libc::syscall(end, socket, &mut address, &mut length);
        if done == 0 { u16::from_be(address.sin_port) } else { 0 }
    }
}

/// Writes a line to the log; what does not fit is left out.
fn write_line(file: c_int, socket: c_int, text: &[u8]) {
    let mut line = [0u8; MAX_LINE_BYTES];
    let mut rest = &mut line[..MAX_LINE_BYTES - 1];
    let (local, peer) = (port(socket, libc::SYS_getsockname), port(socket, libc::SYS_getpeername));
    let _ = write!(rest, "{} {local} {peer} ", monotonic_ns());
    let _ = rest.write(text);
    let used = MAX_LINE_BYTES - 1 - rest.len();
    line[used] = b'\n';
    // SAFETY: the buffer has the length that is told.
    unsafe { libc::syscall(libc::SYS_write, file, line.as_ptr(), used + 1) };
}

/// Notes that a socket is about to be shut.
pub(crate) fn note_shutdown(socket: c_int) {
    let Some(file) = *FILE.get_or_init(open) else { return };
    write_line(file, socket, b"SHUT");
}

/// How long ago the kernel received the last byte on a socket, in milliseconds.
fn last_received_age_ms(socket: c_int) -> u32 {
    // SAFETY: the kernel fills the structure that it is given, up to the length that it is told.
    unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
        let (level, option) = (libc::IPPROTO_TCP, libc::TCP_INFO);
        let done = libc::syscall(libc::SYS_getsockopt, socket, level, option, &mut info, &mut length);
        if done == 0 { info.tcpi_last_data_recv } else { 0 }
    }
}

/// Notes what was read, if it begins a request of a client.
///
/// # Safety
/// `bytes` has to point to `length` readable bytes.
pub(crate) unsafe fn note_read(bytes: *const c_void, length: usize, socket: c_int) {
    // SAFETY: the caller's promise.
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

/// Notes the first part of a gathered write, if it begins a message to a node.
///
/// # Safety
/// `parts` has to point to `count` parts of readable memory.
pub(crate) unsafe fn note_parts(socket: c_int, parts: *const iovec, count: c_int) {
    if count > 0 {
        // SAFETY: the caller's promise.
        unsafe { note((*parts).iov_base, (*parts).iov_len, socket) }
    }
}

/// Notes a write, if it begins a message to a node.
///
/// # Safety
/// `bytes` has to point to `length` readable bytes.
pub(crate) unsafe fn note(bytes: *const c_void, length: usize, socket: c_int) {
    if length == 0 || bytes.is_null() {
        return;
    }
    // SAFETY: the caller's promise.
    let bytes = unsafe { std::slice::from_raw_parts(bytes.cast::<u8>(), length) };
    if !COMMANDS.iter().any(|command| bytes.starts_with(command)) {
        return;
    }
    let Some(file) = *FILE.get_or_init(open) else { return };
    let first_line = bytes.split(|byte| *byte == b'\r').next().unwrap_or_default();
    write_line(file, socket, first_line);
}
