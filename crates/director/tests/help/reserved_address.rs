//! Loopback addresses for directors that must be known before the directors start.

use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// An address that the system gives to no other socket until this value is dropped. A director can listen on it.
pub(crate) struct ReservedAddress {
    pub(crate) address: SocketAddr,
    /// The socket is bound but never listens. The director can listen on the address, because both set SO_REUSEADDR.
    _socket: Socket,
}

impl ReservedAddress {
    pub(crate) fn new() -> ReservedAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).expect("bound");
        // The option must be set after `bind`: if it were set before, `bind` could choose a port that another test has
        // reserved.
        socket.set_reuse_address(true).expect("set");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
        ReservedAddress { address, _socket: socket }
    }
}

/// The addresses of these reservations.
pub(crate) fn addresses_of(reserved: &[ReservedAddress]) -> Vec<SocketAddr> {
    reserved.iter().map(|r| r.address).collect()
}
