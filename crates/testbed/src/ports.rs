//! Ports of the processes of a trial, which no other trial on the machine is given meanwhile.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use socket2::{Domain, Socket, Type};

use crate::process::{TrialError, io_error};

#[cfg(test)]
mod tests;

/// They lie below those that the system gives to connections.
const PORTS: Range<u16> = 12_000..32_000;
/// How many ports are tried before there is none.
const PORT_ATTEMPTS: usize = 100;

/// A port that is kept for one process, over its restarts too, until this is dropped.
pub(crate) struct ReservedPort {
    pub(crate) address: SocketAddr,
    /// Bound and never listening: the process may listen there, as both allow the address to be used again.
    _socket: Socket,
}

impl ReservedPort {
    /// Fails if anybody else has the port.
    fn reserve(port: u16) -> io::Result<ReservedPort> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&address.into())?;
        // Only now: with it before, another trial's reservation would not be seen.
        socket.set_reuse_address(true)?;
        Ok(ReservedPort { address, _socket: socket })
    }
}

/// Finds free ports. Trials beside one another seldom try the same.
pub(crate) struct PortAllocator(Pcg32);

impl PortAllocator {
    pub(crate) fn new() -> PortAllocator {
        // Trials of one program, as tests are, draw apart as well.
        static ALLOCATORS: AtomicU64 = AtomicU64::new(0);
        let own = ALLOCATORS.fetch_add(1, Ordering::Relaxed) << 32;
        PortAllocator(Pcg32::seed_from_u64(own | u64::from(std::process::id())))
    }

    /// A free port.
    pub(crate) fn allocate(&mut self) -> Result<ReservedPort, TrialError> {
        let mut last_error = io::ErrorKind::AddrInUse.into();
        for _ in 0..PORT_ATTEMPTS {
            match ReservedPort::reserve(self.0.random_range(PORTS)) {
                Ok(port) => return Ok(port),
                Err(e) => last_error = e,
            }
        }
        Err(io_error("a port")(last_error))
    }

    /// So many free ports.
    pub(crate) fn allocate_all(&mut self, count: usize) -> Result<Vec<ReservedPort>, TrialError> {
        (0..count).map(|_| self.allocate()).collect()
    }
}

/// The addresses of these ports.
pub(crate) fn addresses_of(ports: &[ReservedPort]) -> Vec<SocketAddr> {
    ports.iter().map(|port| port.address).collect()
}
