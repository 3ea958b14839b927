//! What errors of system calls mean, by their numbers: many have no kind of their own in the standard library.

use std::io::{self, ErrorKind};

/// The connection or the file is as it was, and nothing has come yet. A program that is stopped and continued, as one
/// held to part of a core is, has its waits interrupted: times count by the clock alone.
pub(crate) fn is_would_block(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// This machine, not the other end, is short of something: descriptors, memory, ports, threads, a way out. It passes.
pub(crate) fn is_local_shortage(e: &io::Error) -> bool {
    const SHORTAGES: [i32; 11] = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ENOSPC,
        libc::EAGAIN,
        libc::EINTR,
        libc::EADDRNOTAVAIL,
        libc::ENETDOWN,
        libc::ENETUNREACH,
        libc::EIO,
    ];
    e.raw_os_error().is_some_and(|number| SHORTAGES.contains(&number))
}

/// An accept that took a connection which had failed already, or was interrupted: the next one may follow at once.
pub(crate) fn is_failed_connection(e: &io::Error) -> bool {
    const FAILED: [i32; 11] = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
    ];
    e.raw_os_error().is_some_and(|number| FAILED.contains(&number))
}

/// There is no way to the other end just now; where that lasts, it may be the other end's fault as well.
pub(crate) fn is_network_trouble(e: &io::Error) -> bool {
    const NETWORK: [i32; 3] = [libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];
    e.raw_os_error().is_some_and(|number| NETWORK.contains(&number))
}
