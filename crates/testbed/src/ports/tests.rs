//! Tests of port reservation.

use std::net::TcpListener;

use super::*;

/// Guards against two trials that use the same port, so that clients of one trial reach a director of the other. A
/// reserved port must be refused to others, and its own process must be able to listen on it repeatedly.
#[test]
fn a_reserved_port_is_exclusive_and_its_process_can_listen_on_it_repeatedly() {
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
