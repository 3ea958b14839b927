//! Port reservation for the processes of a trial, safe against other trials on the same machine.

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

/// The range lies below the ephemeral ports that the system assigns to connections.
const PORTS: Range<u16> = 12_000..32_000;
/// How many ports are tried before allocation fails.
const PORT_ATTEMPTS: usize = 100;

/// A port that is reserved for one process, including its restarts, until this value is dropped.
pub(crate) struct ReservedPort {
    pub(crate) address: SocketAddr,
    /// The socket is bound but never listens. The process can listen on the address, because both set SO_REUSEADDR.
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a port. Fails if the port is in use or reserved.
    fn reserve(port: u16) -> io::Result<ReservedPort> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&address.into())?;
        // The option must be set after `bind`: if it were set before, `bind` would succeed on a port that another trial
        // has reserved.
        socket.set_reuse_address(true)?;
        Ok(ReservedPort { address, _socket: socket })
    }
}

/// Allocates free ports in random order, so that concurrent trials seldom try the same ones.
pub(crate) struct PortAllocator(Pcg32);

impl PortAllocator {
    pub(crate) fn new() -> PortAllocator {
        // Trials in the same process, such as tests, use different seeds as well.
        static ALLOCATORS: AtomicU64 = AtomicU64::new(0);
        let own = ALLOCATORS.fetch_add(1, Ordering::Relaxed) << 32;
        PortAllocator(Pcg32::seed_from_u64(own | u64::from(std::process::id())))
    }

    /// Reserves a free port.
    pub(crate) fn allocate(&mut self) -> Result<ReservedPort, TrialError> {
        let mut last_error = io::ErrorKind::AddrInUse.into();
        for _ in 0..PORT_ATTEMPTS {
            match ReservedPort::reserve(self.0.random_range(PORTS)) {
                Ok(port) => return Ok(port),
                Err(e) => last_error = e,
            }
        }
        Err(io_error("reserving a port")(last_error))
    }

    /// Reserves `count` free ports.
    pub(crate) fn allocate_all(&mut self, count: usize) -> Result<Vec<ReservedPort>, TrialError> {
        (0..count).map(|_| self.allocate()).collect()
    }
}

/// The addresses of these ports.
pub(crate) fn addresses_of(ports: &[ReservedPort]) -> Vec<SocketAddr> {
    ports.iter().map(|port| port.address).collect()
}
