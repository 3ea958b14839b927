//! The state that all threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam_channel::Sender;
use sablecross::Ns;

use crate::clock::Clock;
use crate::counters::ConnectionCounters;
use crate::discovery_event::DiscoveryEvent;
use crate::event_queues::{EventQueues, EventSenders};
use crate::events::Event;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::name_table::NameTable;

/// The names, limits, clock, counters and queues that all threads use.
pub struct SharedContext {
    /// The names that clients, nodes and discovery use.
    pub names: NameTable,
    /// The limits of the program.
    pub limits: Limits,
    /// The local clock.
    pub clock: Clock,
    /// The counters of the threads that serve connections.
    pub counters: ConnectionCounters,
    /// The memory for bodies and grown read buffers.
    pub memory_budget: Arc<MemoryBudget>,
    /// The queue of events to the dispatcher, without those of the discovery stream.
    pub events: Sender<Event>,
    /// The queue of the events of the discovery stream to the dispatcher.
    pub discovery_events: Sender<DiscoveryEvent>,
    /// The local time, in nanoseconds, up to which everything that clients had sent has been read.
    clients_checked_at: AtomicU64,
    /// The longest delay of a thread's wakeup since the dispatcher last took this value, in nanoseconds.
    wakeup_delay: AtomicU64,
}

impl SharedContext {
    /// Creates the state, and the dispatcher's ends of the event queues.
    pub fn new(names: NameTable, limits: Limits) -> (Arc<SharedContext>, EventQueues) {
        let (EventSenders { events, discovery_events }, queues) = EventQueues::new(&limits);
        let shared = SharedContext {
            names,
            clock: Clock::start(),
            counters: ConnectionCounters::default(),
            memory_budget: MemoryBudget::new(limits.body_memory_bytes),
            events,
            discovery_events,
            clients_checked_at: AtomicU64::new(0),
            wakeup_delay: AtomicU64::new(0),
            limits,
        };
        (Arc::new(shared), queues)
    }

    /// Records that everything that clients had sent by the time `at` has been read, including the ends of their
    /// connections.
    pub fn record_clients_checked(&self, at: Ns) {
        self.clients_checked_at.store(at, Ordering::Release);
    }

    /// Records that a thread was woken `delay` later than it had requested.
    pub fn record_wakeup_delay(&self, delay: Ns) {
        self.wakeup_delay.fetch_max(delay, Ordering::Relaxed);
    }

    /// Returns the longest delay since the last call, or 0 if there was none.
    pub fn take_wakeup_delay(&self) -> Ns {
        self.wakeup_delay.swap(0, Ordering::Relaxed)
    }

    /// Returns the last time at which it was known for every client whether it was connected.
    pub fn clients_checked_at(&self) -> Ns {
        self.clients_checked_at.load(Ordering::Acquire)
    }
}
