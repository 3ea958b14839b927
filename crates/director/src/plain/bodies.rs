//! Bodies, shared and never copied, within a bound on all bytes in hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
pub struct Room {
    most: usize,
    taken: AtomicUsize,
}

/// Room that is taken, until it is dropped.
#[derive(Debug)]
pub struct Hold {
    bytes: usize,
    room: Arc<Room>,
}

#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    _hold: Hold,
}

impl Room {
    pub fn of(most: usize) -> Arc<Room> {
        Arc::new(Room { most, taken: AtomicUsize::new(0) })
    }

    /// Takes room, if there is so much left.
    pub fn hold(self: &Arc<Room>, bytes: usize) -> Option<Hold> {
        let fits = |taken: usize| taken.checked_add(bytes).filter(|&t| t <= self.most);
        self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).ok()?;
        Some(Hold { bytes, room: Arc::clone(self) })
    }

    /// A body of this length, if there is room for it.
    pub fn body(self: &Arc<Room>, length: usize) -> Option<Body> {
        let hold = self.hold(length)?;
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

impl Drop for Hold {
    fn drop(&mut self) {
        self.room.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
