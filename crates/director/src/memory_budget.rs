//! Bodies, shared and never copied, within a bound on all bytes in hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
pub struct MemoryBudget {
    most: usize,
    taken: AtomicUsize,
}

/// Room that is taken, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    room: Arc<MemoryBudget>,
}

#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    _hold: Reservation,
}

impl MemoryBudget {
    pub fn new(most: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { most, taken: AtomicUsize::new(0) })
    }

    /// Takes room, if there is so much left.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let fits = |taken: usize| taken.checked_add(bytes).filter(|&t| t <= self.most);
        self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).ok()?;
        Some(Reservation { bytes, room: Arc::clone(self) })
    }

    /// A body of this length, if there is room for it.
    pub fn allocate_body(self: &Arc<MemoryBudget>, length: usize) -> Option<Body> {
        let hold = self.reserve(length)?;
        Some(Body { bytes: vec![0; length], _hold: hold })
    }
}

impl Body {
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn bytes_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.room.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
