//! Bodies, which threads share without copying them, and a limit on the memory of all bodies and grown read buffers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The part of the memory that read buffers may use: one in this many bytes. The rest is for the bodies of complete
/// requests and of their answers, so that messages which are never completed can't take it.
const BUFFER_PART: usize = 2;

/// The memory for bodies and grown read buffers, with its limit.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
    /// The part of `reserved_bytes` that read buffers hold.
    buffer_bytes: AtomicUsize,
}

/// A part of the memory, which is reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    budget: Arc<MemoryBudget>,
}

/// The memory of one read buffer, which is reserved until this is dropped.
#[derive(Debug)]
pub struct BufferReservation {
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
        Arc::new(MemoryBudget {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
            buffer_bytes: AtomicUsize::new(0),
        })
    }

    /// Reserves memory. Returns `None` if not enough is left.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let is_reserved = add_within(&self.reserved_bytes, bytes, self.max_bytes);
        is_reserved.then(|| Reservation { bytes, budget: Arc::clone(self) })
    }

    /// Allocates a body that is filled with zeros. Returns `None` if there is not enough memory for it.
    pub fn allocate_body(self: &Arc<MemoryBudget>, length: usize) -> Option<Body> {
        let reservation = self.reserve(length)?;
        Some(Body { bytes: vec![0; length], _reservation: reservation })
    }
}

impl BufferReservation {
    /// Creates the reservation of a buffer that needs no memory of the budget yet.
    pub fn new(budget: &Arc<MemoryBudget>) -> BufferReservation {
        BufferReservation { bytes: 0, budget: Arc::clone(budget) }
    }

    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves this many bytes in all. Returns false, and leaves the reservation as it is, if not enough is left for read
    /// buffers.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let (added, budget) = (bytes.saturating_sub(self.bytes), &self.budget);
        if !add_within(&budget.buffer_bytes, added, budget.max_bytes / BUFFER_PART) {
            return false;
        }
        if !add_within(&budget.reserved_bytes, added, budget.max_bytes) {
            budget.buffer_bytes.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.bytes += added;
        true
    }

    /// Returns all bytes to the budget.
    pub fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.buffer_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Adds to a number unless the sum exceeds the maximum. Returns whether it was added.
fn add_within(number: &AtomicUsize, added: usize, max: usize) -> bool {
    let add = |number: usize| number.checked_add(added).filter(|&sum| sum <= max);
    number.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
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

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.release();
    }
}
