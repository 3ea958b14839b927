//! What all threads are handed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam_channel::{Receiver, Sender, bounded};
use sablecross::Ns;

use crate::clock::Clock;
use crate::counters::ConnectionCounters;
use crate::events::Event;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::name_table::NameTable;

/// What all threads have in common.
pub struct SharedContext {
    pub names: NameTable,
    pub limits: Limits,
    pub clock: Clock,
    pub counters: ConnectionCounters,
    pub memory_budget: Arc<MemoryBudget>,
    pub events: Sender<Event>,
    /// When all that clients had said was heard last, in local time.
    clients_checked_at: AtomicU64,
}

impl SharedContext {
    /// With the other end of the queue to the desk.
    pub fn new(names: NameTable, limits: Limits) -> (Arc<SharedContext>, Receiver<Event>) {
        let (events, to_desk) = bounded(limits.event_queue_length);
        let common = SharedContext {
            names,
            clock: Clock::start(),
            counters: ConnectionCounters::default(),
            memory_budget: MemoryBudget::new(limits.body_memory_bytes),
            events,
            clients_checked_at: AtomicU64::new(0),
            limits,
        };
        (Arc::new(common), to_desk)
    }

    /// All that clients had said at this time has been heard.
    pub fn record_clients_checked(&self, at: Ns) {
        self.clients_checked_at.store(at, Ordering::Release);
    }

    pub fn clients_checked_at(&self) -> Ns {
        self.clients_checked_at.load(Ordering::Acquire)
    }
}
