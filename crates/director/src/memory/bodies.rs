//! Bodies, shared and never copied, within a bound on all bytes in hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
pub struct Room {
    most: usize,
    taken: AtomicUsize,
}

#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    room: Arc<Room>,
}

impl Room {
    pub fn of(most: usize) -> Arc<Room> {
        Arc::new(Room { most, taken: AtomicUsize::new(0) })
    }

    /// Room for a body of this length, if there is so much left.
    pub fn body(self: &Arc<Room>, length: usize) -> Option<Body> {
        let fits = |taken: usize| taken.checked_add(length).filter(|&t| t <= self.most);
        self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).ok()?;
        Some(Body { bytes: vec![0; length], room: Arc::clone(self) })
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

impl Drop for Body {
    fn drop(&mut self) {
        self.room.taken.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
