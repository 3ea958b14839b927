//! The queues of events to the dispatcher. Discovery events have a queue of their own, so that requests and answers never
//! wait behind a backlog of them.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Select, Sender, TryRecvError, bounded, never};

use crate::discovery_event::DiscoveryEvent;
use crate::events::Event;
use crate::limits::Limits;

/// The sending ends of the queues.
pub struct EventSenders {
    /// All events but those of the discovery stream.
    pub events: Sender<Event>,
    /// The events of the discovery stream, in its order.
    pub discovery_events: Sender<DiscoveryEvent>,
}

/// The dispatcher's ends of the queues.
pub struct EventQueues {
    events: Receiver<Event>,
    discovery_events: Receiver<DiscoveryEvent>,
    /// How many events of the first queue are handled before a waiting discovery event is.
    max_events_per_turn: usize,
    events_in_turn: usize,
}

impl EventQueues {
    /// Creates the queues, with the capacities and the turns that the limits name.
    pub fn new(limits: &Limits) -> (EventSenders, EventQueues) {
        let (events, from_threads) = bounded(limits.event_queue_length);
        let (discovery_events, from_discovery) = bounded(limits.discovery_event_queue_length);
        let queues = EventQueues {
            events: from_threads,
            discovery_events: from_discovery,
            max_events_per_turn: limits.max_messages_per_turn,
            events_in_turn: 0,
        };
        (EventSenders { events, discovery_events }, queues)
    }

    /// Returns the next event, or waits for one, at most for the timeout if there is one.
    ///
    /// A discovery event may take as long as many others. It is handled when no other event waits, and after a full turn
    /// of others, so neither queue waits for the other one to be empty.
    ///
    /// # Errors
    /// If no event comes in time, or all threads that send events have ended.
    pub fn next(&mut self, timeout: Option<Duration>) -> Result<Event, RecvTimeoutError> {
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        loop {
            match self.take_waiting() {
                Ok(event) => return Ok(event),
                Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
                Err(TryRecvError::Empty) => self.wait_until_ready(deadline)?,
            }
        }
    }

    fn take_waiting(&mut self) -> Result<Event, TryRecvError> {
        if self.events_in_turn < self.max_events_per_turn
            && let Ok(event) = self.events.try_recv()
        {
            self.events_in_turn += 1;
            return Ok(event);
        }
        self.events_in_turn = 0;
        match self.discovery_events.try_recv() {
            Ok(event) => return Ok(Event::Discovery(event)),
            Err(TryRecvError::Empty) => {}
            // The end of an essential thread is an event of the other queue.
            Err(TryRecvError::Disconnected) => self.discovery_events = never(),
        }
        self.events.try_recv()
    }

    /// Waits until an event may be there.
    fn wait_until_ready(&self, deadline: Option<Instant>) -> Result<(), RecvTimeoutError> {
        let mut select = Select::new();
        select.recv(&self.events);
        select.recv(&self.discovery_events);
        match deadline {
            Some(deadline) => {
                select.ready_deadline(deadline).map_err(|_| RecvTimeoutError::Timeout).map(drop)
            }
            None => {
                select.ready();
                Ok(())
            }
        }
    }
}
