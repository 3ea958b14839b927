//! Who may use a reserved port.

use std::net::TcpListener;

use super::*;

/// Guards against two trials whose directors have the same port: the clients of the one ask the other.
#[test]
fn a_reserved_port_is_nobody_elses_and_its_process_may_listen_there_again_and_again() {
    let reserved = PortAllocator::new().allocate().unwrap();
    let port = reserved.address.port();
    for _ in 0..2 {
        assert!(ReservedPort::reserve(port).is_err(), "reserved");
        let listener = TcpListener::bind(reserved.address).unwrap();
        assert!(ReservedPort::reserve(port).is_err(), "in use");
        drop(listener);
    }
    drop(reserved);
    assert!(ReservedPort::reserve(port).is_ok(), "free again");
}
