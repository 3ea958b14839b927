//! Bodies, which threads share without copying them, and a limit on the memory of all bodies and grown read buffers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory for bodies and grown read buffers, with its limit.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// A part of the memory, which is reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    budget: Arc<MemoryBudget>,
}

/// The body of a message, with its memory reserved.
#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { max_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// Reserves memory. Returns `None` if not enough is left.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|&total| total <= self.max_bytes);
        self.reserved_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(Reservation { bytes, budget: Arc::clone(self) })
    }

    /// Allocates a body that is filled with zeros. Returns `None` if there is not enough memory for it.
    pub fn allocate_body(self: &Arc<MemoryBudget>, length: usize) -> Option<Body> {
        let reservation = self.reserve(length)?;
        Some(Body { bytes: vec![0; length], _reservation: reservation })
    }
}

impl Body {
    /// Returns its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns its bytes, to be filled in.
    pub fn bytes_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
