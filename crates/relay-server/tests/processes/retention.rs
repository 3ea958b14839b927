//! Subscribers and relays that are away for longer than a purge is active, and for less.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;

use crate::common::{
    Load, Published, Received, RelayFleet, Subscriber, TIMEOUT, assert_complete, ms, purge, wait_until,
};
use serde_json::Value;

/// Purges are active for a second, and are kept for half of one more.
const SHORT: &str = "(cleared-ms . 500) (held-ms . 500) (slack-ms . 500)";

/// A change of the list: this one is there, or is gone.
fn change(name: &str, status: &str) -> String {
    format!(
        r#"{{"members":{{"index":2,"snapshot":false,"endpoints":[{{"name":"{name}","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"{status}","weight":1,"since_ms":0}}]}}}}"#
    )
}

/// The names of the list after these events.
fn names(got: &Received) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (_, event) in &got.events {
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

/// A subscriber that was away for longer than purges are active: it has what was sent before, then the complete list, then
/// every event after that.
fn assert_jumped(
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
    let got = subscriber.got();
    let numbers: Vec<u64> = got.events.iter().map(|(n, _)| *n).collect();
    let jumps: Vec<usize> = (1..numbers.len()).filter(|i| numbers[*i] != numbers[i - 1] + 1).collect();
    assert_eq!(jumps.len(), 1, "{numbers:?}\n{}", fleet.logs());
    let (n, event) = &got.events[jumps[0]];
    assert!(event.contains("\"snapshot\":true"), "{event}");
    // What is active still is sent, and of what has expired the most part is not.
    assert!(*n < bound, "the list stands for events up to {n}, and from {bound} on they were active still");
    assert!(*n > before + 20, "{n} {before}");
    for (number, event) in published.0.range(n + 1..) {
        let (_, received) = got.events.iter().find(|(m, _)| m == number).expect("received");
        assert_eq!(*received, format!("{{\"n\":{number},{}", &event[1..]));
    }
}

#[test]
fn subscribers_away_for_longer_and_for_less() {
    let fleet = RelayFleet::start(41, 3, 1, SHORT);
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let mut subscribers = fleet.subscribers(8);
    let late = subscribers.pop().expect("a subscriber");
    let load = Load::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || late.last() > 0));
    late.set_away(true);
    subscribers[0].set_away(true);
    sleep(ms(300));
    let before = late.last();
    published.publish(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(400));
    subscribers[0].set_away(false);
    published.publish(&mut publisher, "n", &change("n", "gone"));
    sleep(ms(2_800));
    published.publish(&mut publisher, "m2", &change("m2", "ready"));
    let bound = published.publish(&mut publisher, "p", &purge(9));
    late.set_away(false);
    sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_jumped(&late, &published, before, bound, &fleet);
    // Those that were there all the time, or away for less, have all.
    assert_complete(&subscribers, &published, &fleet);
    let list = BTreeSet::from(["m1".into(), "m2".into()]);
    assert_eq!(names(&late.got()), list);
    assert!(subscribers.iter().all(|r| names(&r.got()) == list));
}

/// A relay is cut from all others, both ways, with its subscriber: for less than purges are active, then for longer. Healed, both have the
/// active purges and the list as it stands.
#[test]
fn region_cut() {
    let mut fleet = RelayFleet::new(42, 3, 1, SHORT);
    let holds: Vec<_> = (0..3).map(|to| fleet.link(3, to)).collect();
    let cut = |on: bool| {
        for h in &holds {
            h.to.store(on, Ordering::Relaxed);
            h.from.store(on, Ordering::Relaxed);
        }
    };
    (0..4).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let inside = [Subscriber::start(fleet.ip(1), fleet.at(3), &[])];
    let load = Load::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || inside[0].last() > 0), "{}", fleet.logs());
    cut(true);
    sleep(ms(500));
    cut(false);
    let n = published.publish(&mut publisher, "healed", &purge(3));
    assert!(wait_until(TIMEOUT, || inside[0].last() >= n), "{}", fleet.logs());
    assert_complete(&inside, &published, &fleet);
    cut(true);
    sleep(ms(300));
    let before = inside[0].last();
    published.publish(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(3_500));
    let bound = published.publish(&mut publisher, "p", &purge(9));
    cut(false);
    sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_jumped(&inside[0], &published, before, bound, &fleet);
    assert_eq!(names(&inside[0].got()), BTreeSet::from(["m1".into(), "n".into()]));
    assert!(fleet.log(3).contains("the complete list is taken"), "{}", fleet.log(3));
}

/// The complete list is larger than a batch by far, and more is published all the time: it is sent once, then what follows it.
#[test]
fn large_list_once() {
    let fleet = RelayFleet::start(43, 3, 1, &format!("{SHORT} (batch-bytes . 2048)"));
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    // They are there from the beginning, so that what follows is all they can be sent late.
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
    let load = Load::start(fleet.publisher(), 1, ms(10));
    let all = *published.0.keys().last().expect("events");
    assert!(wait_until(TIMEOUT, || late.iter().all(|r| r.last() >= all)), "{}", fleet.logs());
    late.iter().for_each(|r| r.set_away(true));
    sleep(ms(300));
    let before: Vec<u64> = late.iter().map(Subscriber::last).collect();
    sleep(ms(3_500));
    let bound = published.publish(&mut publisher, "p", &purge(9));
    late.iter().for_each(|r| r.set_away(false));
    // For longer than purges are active.
    sleep(ms(2_500));
    published.0.extend(load.finish().0);
    for (subscriber, before) in late.iter().zip(before) {
        assert_jumped(subscriber, &published, before, bound, &fleet);
        assert_eq!(names(&subscriber.got()).len(), 301);
    }
}
