//! Subscribers and relays that are disconnected for longer, and for shorter, than purges are active.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;

use crate::common::{
    Published, PurgeLoad, Received, RelayFleet, Subscriber, TIMEOUT, assert_complete, ms, purge_event,
    wait_until,
};
use serde_json::Value;

/// Purges are active for one second and are kept for another half second.
const SHORT_RETENTION: &str = "(cleared-ms . 500) (held-ms . 500) (slack-ms . 500)";

/// Returns a list event that changes one endpoint.
fn change(name: &str, status: &str) -> String {
    format!(
        r#"{{"members":{{"index":2,"snapshot":false,"endpoints":[{{"name":"{name}","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"{status}","weight":1,"since_ms":0}}]}}}}"#
    )
}

/// Returns the names of the endpoints in the list after these events.
fn names(received: &Received) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (_, event) in &received.events {
        let event: Value = serde_json::from_str(event).expect("an event");
        if event["members"]["snapshot"] == true {
            names.clear();
        }
        for e in event["members"]["endpoints"].as_array().into_iter().flatten() {
            let name = e["name"].as_str().expect("a name").to_owned();
            if e["status"] == "gone" {
                names.remove(&name)
            } else {
                names.insert(name)
            };
        }
    }
    names
}

/// Checks a subscriber that was disconnected for longer than purges are active: it has received the events up to
/// `before`, then the complete list, then every event after the list. The events from `bound` on were still active when
/// it reconnected.
fn assert_snapshot_replaced_expired(
    subscriber: &Subscriber,
    published: &Published,
    before: u64,
    bound: u64,
    fleet: &RelayFleet,
) {
    let last = *published.0.keys().last().expect("events");
    assert!(
        wait_until(TIMEOUT, || subscriber.last() >= last),
        "{} of {last}\n{}",
        subscriber.last(),
        fleet.logs()
    );
    let received = subscriber.received();
    let numbers: Vec<u64> = received.events.iter().map(|(n, _)| *n).collect();
    let jumps: Vec<usize> = (1..numbers.len()).filter(|i| numbers[*i] != numbers[i - 1] + 1).collect();
    assert_eq!(jumps.len(), 1, "{numbers:?}\n{}", fleet.logs());
    let (n, event) = &received.events[jumps[0]];
    assert!(event.contains("\"snapshot\":true"), "{event}");
    // Events that are still active are sent; most of those that have expired are not.
    assert!(*n < bound, "the list stands for events up to {n}, and from {bound} on they were active still");
    assert!(*n > before + 20, "{n} {before}");
    for (number, event) in published.0.range(n + 1..) {
        let (_, received_event) = received.events.iter().find(|(m, _)| m == number).expect("received");
        assert_eq!(*received_event, format!("{{\"n\":{number},{}", &event[1..]));
    }
}

#[test]
fn subscribers_disconnected_beyond_and_within_retention() {
    let fleet = RelayFleet::start(41, 3, 1, SHORT_RETENTION);
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let mut subscribers = fleet.subscribers(8);
    let late = subscribers.pop().expect("a subscriber");
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || late.last() > 0));
    late.set_disconnected(true);
    subscribers[0].set_disconnected(true);
    sleep(ms(300));
    let before = late.last();
    published.publish(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(400));
    subscribers[0].set_disconnected(false);
    published.publish(&mut publisher, "n", &change("n", "gone"));
    sleep(ms(2_800));
    published.publish(&mut publisher, "m2", &change("m2", "ready"));
    let bound = published.publish(&mut publisher, "p", &purge_event(9));
    late.set_disconnected(false);
    sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_snapshot_replaced_expired(&late, &published, before, bound, &fleet);
    // Subscribers that were connected all the time, or disconnected for a shorter time, have received all events.
    assert_complete(&subscribers, &published, &fleet);
    let list = BTreeSet::from(["m1".into(), "m2".into()]);
    assert_eq!(names(&late.received()), list);
    assert!(subscribers.iter().all(|r| names(&r.received()) == list));
}

/// A plain relay with its subscriber is partitioned from all voters, first for a shorter time than purges are active,
/// then for longer. Afterwards both must have the active purges and the current list.
#[test]
fn plain_relay_partitioned_from_all_voters() {
    let mut fleet = RelayFleet::new(42, 3, 1, SHORT_RETENTION);
    let pauses: Vec<_> = (0..3).map(|to| fleet.add_link(3, to)).collect();
    let cut = |on: bool| {
        for pause in &pauses {
            pause.to_target.store(on, Ordering::Relaxed);
            pause.from_target.store(on, Ordering::Relaxed);
        }
    };
    (0..4).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let inside = [Subscriber::start(fleet.ip(1), fleet.address(3), &[])];
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || inside[0].last() > 0), "{}", fleet.logs());
    cut(true);
    sleep(ms(500));
    cut(false);
    let n = published.publish(&mut publisher, "healed", &purge_event(3));
    assert!(wait_until(TIMEOUT, || inside[0].last() >= n), "{}", fleet.logs());
    assert_complete(&inside, &published, &fleet);
    cut(true);
    sleep(ms(300));
    let before = inside[0].last();
    published.publish(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(3_500));
    let bound = published.publish(&mut publisher, "p", &purge_event(9));
    cut(false);
    sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_snapshot_replaced_expired(&inside[0], &published, before, bound, &fleet);
    assert_eq!(names(&inside[0].received()), BTreeSet::from(["m1".into(), "n".into()]));
    assert!(fleet.log(3).contains("the complete list is taken"), "{}", fleet.log(3));
}

/// The complete list is much larger than a batch, and events are published all the time. Subscribers that reconnect
/// must be sent the list once and then the events after it.
#[test]
fn large_complete_list_is_sent_once() {
    let fleet = RelayFleet::start(43, 3, 1, &format!("{SHORT_RETENTION} (batch-bytes . 2048)"));
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    // All of these receive events from the beginning, so the late ones lack only what is published while they are
    // disconnected.
    let subscribers = fleet.subscribers(4);
    let late = [fleet.subscriber(11, 0), fleet.subscriber(12, 3)];
    assert!(
        wait_until(TIMEOUT, || late.iter().chain(&subscribers).all(|r| r.last() > 0)),
        "{}",
        fleet.logs()
    );
    for i in 0..300 {
        published.publish(&mut publisher, &format!("l{i}"), &change(&format!("cache-{i}"), "ready"));
    }
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    let all = *published.0.keys().last().expect("events");
    assert!(wait_until(TIMEOUT, || late.iter().all(|r| r.last() >= all)), "{}", fleet.logs());
    late.iter().for_each(|r| r.set_disconnected(true));
    sleep(ms(300));
    let before: Vec<u64> = late.iter().map(Subscriber::last).collect();
    sleep(ms(3_500));
    let bound = published.publish(&mut publisher, "p", &purge_event(9));
    late.iter().for_each(|r| r.set_disconnected(false));
    // Waits for longer than purges are active.
    sleep(ms(2_500));
    published.0.extend(load.finish().0);
    for (subscriber, before) in late.iter().zip(before) {
        assert_snapshot_replaced_expired(subscriber, &published, before, bound, &fleet);
        assert_eq!(names(&subscriber.received()).len(), 301);
    }
}
