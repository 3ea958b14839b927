//! Bodies, which are shared and never copied, within a bound on the memory of all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory for bodies.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// A part of the memory that is reserved until this is dropped.
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
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { max_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// Reserves memory, if so much is left.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|&total| total <= self.max_bytes);
        self.reserved_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(Reservation { bytes, budget: Arc::clone(self) })
    }

    /// A body of zeros of this length, if there is memory for it.
    pub fn allocate_body(self: &Arc<MemoryBudget>, length: usize) -> Option<Body> {
        let reservation = self.reserve(length)?;
        Some(Body { bytes: vec![0; length], _reservation: reservation })
    }
}

impl Body {
    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Its bytes, to be filled in.
    pub fn bytes_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
