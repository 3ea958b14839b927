//! What all threads are handed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam_channel::{Receiver, Sender, bounded};
use sablecross::Ns;

use crate::exchange::Event;
use crate::plain::bodies::Room;
use crate::plain::clock::Clock;
use crate::plain::counters::Shared;
use crate::plain::limits::Limits;
use crate::plain::names::Names;

/// What all threads have in common.
pub struct Common {
    pub names: Names,
    pub limits: Limits,
    pub clock: Clock,
    pub counters: Shared,
    pub room: Arc<Room>,
    pub events: Sender<Event>,
    /// When all that clients had said was heard last, in local time.
    clients_heard_at: AtomicU64,
}

impl Common {
    /// With the other end of the queue to the desk.
    pub fn new(names: Names, limits: Limits) -> (Arc<Common>, Receiver<Event>) {
        let (events, to_desk) = bounded(limits.events);
        let common = Common {
            names,
            clock: Clock::start(),
            counters: Shared::default(),
            room: Room::of(limits.bodies),
            events,
            clients_heard_at: AtomicU64::new(0),
            limits,
        };
        (Arc::new(common), to_desk)
    }

    /// All that clients had said at this time has been heard.
    pub fn clients_heard(&self, at: Ns) {
        self.clients_heard_at.store(at, Ordering::Release);
    }

    pub fn clients_heard_at(&self) -> Ns {
        self.clients_heard_at.load(Ordering::Acquire)
    }
}
