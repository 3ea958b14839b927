//! Classifies errors of system calls by their numbers, because many have no `ErrorKind` of their own.

use std::io::{self, ErrorKind};

/// Whether the call was interrupted or would have blocked, so that the connection or file is unchanged. The waits of a
/// process that is stopped and continued are interrupted, for example when the process is limited to a part of a core,
/// so callers measure time by the clock only.
pub(crate) fn is_retryable(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// Whether this machine, not the peer, is the cause: it lacks descriptors, memory, ports, threads or a route, or the
/// call was interrupted or failed with an I/O error. Such errors are taken to be transient.
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

/// Whether an `accept` was interrupted, or took a connection that had already failed. It can be called again at once.
pub(crate) fn is_transient_accept_error(e: &io::Error) -> bool {
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

/// Whether there is currently no route to the peer, or no local address or port for a connection to it. If this lasts,
/// the peer may be the cause as well.
pub(crate) fn is_network_unreachable(e: &io::Error) -> bool {
    const NETWORK: [i32; 3] = [libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];
    e.raw_os_error().is_some_and(|number| NETWORK.contains(&number))
}
