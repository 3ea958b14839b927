//! The order in which the dispatcher is given events.

use std::time::{Duration, Instant};

use crossbeam_channel::RecvTimeoutError;
use sablecross_director::discovery_event::DiscoveryEvent;
use sablecross_director::event_queues::{EventQueues, EventSenders};
use sablecross_director::events::Event;
use sablecross_director::limits::Limits;

const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

fn queues() -> (EventSenders, EventQueues, Limits) {
    let limits = Limits::new(1_024, 192, 400_000_000, 1_000_000_000);
    let (senders, queues) = EventQueues::new(&limits);
    (senders, queues, limits)
}

fn send_purges(senders: &EventSenders, count: usize) {
    for group in 0..count as u32 {
        senders.discovery_events.send(DiscoveryEvent::Purge { object: None, group }).expect("room");
    }
}

fn send_other(senders: &EventSenders, count: usize) {
    (0..count).for_each(|_| senders.events.send(Event::LogCounters).expect("room"));
}

/// The group of the next event, if it is a purge; none if it is another event.
fn next_group(queues: &mut EventQueues) -> Option<u32> {
    match queues.next(Some(SHORT_TIMEOUT)).expect("an event") {
        Event::Discovery(DiscoveryEvent::Purge { group, .. }) => Some(group),
        _ => None,
    }
}

/// Guards against requests that wait behind a backlog of discovery events: one that comes is next, however many of those
/// wait, and the events of discovery keep their order.
#[test]
fn other_events_do_not_wait_behind_a_backlog_of_discovery_events() {
    let (senders, mut queues, limits) = queues();
    send_purges(&senders, limits.discovery_event_queue_length);
    for group in 0..limits.discovery_event_queue_length as u32 {
        send_other(&senders, 3);
        let order: Vec<Option<u32>> = (0..4).map(|_| next_group(&mut queues)).collect();
        assert_eq!(order, [None, None, None, Some(group)]);
    }
}

/// Guards against drains and purges that are never heard while clients send at full speed.
#[test]
fn a_discovery_event_waits_for_one_turn_of_other_events_at_most() {
    let (senders, mut queues, limits) = queues();
    send_other(&senders, 5 * limits.max_messages_per_turn);
    send_purges(&senders, 3);
    let order: Vec<Option<u32>> =
        (0..4 * limits.max_messages_per_turn).map(|_| next_group(&mut queues)).collect();
    let waits: Vec<usize> = order.split(Option::is_some).map(<[_]>::len).collect();
    assert_eq!(waits.len(), 4, "three purges");
    assert!(waits.iter().all(|&wait| wait <= limits.max_messages_per_turn), "{waits:?}");
    assert!(order.into_iter().flatten().eq(0..3));
}

#[test]
fn waits_for_either_queue_until_the_timeout() {
    let (senders, mut queues, _) = queues();
    let start = Instant::now();
    assert!(matches!(queues.next(Some(SHORT_TIMEOUT)), Err(RecvTimeoutError::Timeout)));
    assert!(start.elapsed() >= SHORT_TIMEOUT);
    let sender = std::thread::spawn(move || {
        std::thread::sleep(SHORT_TIMEOUT);
        send_purges(&senders, 1);
        std::thread::sleep(SHORT_TIMEOUT);
        send_other(&senders, 1);
        senders
    });
    assert!(matches!(queues.next(None), Ok(Event::Discovery(_))));
    assert!(matches!(queues.next(None), Ok(Event::LogCounters)));
    let EventSenders { events, discovery_events } = sender.join().expect("joined");
    // The end of the discovery thread alone ends nothing and causes no busy loop.
    drop(discovery_events);
    let start = Instant::now();
    assert!(matches!(queues.next(Some(SHORT_TIMEOUT)), Err(RecvTimeoutError::Timeout)));
    assert!(start.elapsed() >= SHORT_TIMEOUT);
    drop(events);
    assert!(matches!(queues.next(None), Err(RecvTimeoutError::Disconnected)));
}
