//! Faults between processes, under load: nobody misses, repeats or reorders an event, and no old leader changes anything.

use std::time::Instant;

use sablecross_relay::RelayRole;

use crate::common::{
    LIST, Load, RelayFleet, Subscriber, TIMEOUT, assert_complete, large, ms, purge, rejects, wait_until,
};

/// Kills the leader, then another voter, while purges are published and read.
#[test]
fn killed_under_load() {
    let mut fleet = RelayFleet::start(1, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(12);
    let load = Load::start(fleet.publisher(), 1, ms(5));
    std::thread::sleep(ms(700));
    let first = fleet.leader();
    fleet.kill(first);
    let second = fleet.leader_except(&[first]);
    fleet.start_relay(first);
    assert!(
        wait_until(TIMEOUT, || fleet.status(first).is_some_and(|s| s.recovering_ms.is_none())),
        "{}",
        fleet.logs()
    );
    std::thread::sleep(ms(500));
    let other = (0..3).find(|n| *n != first && *n != second).expect("three voters");
    fleet.kill(other);
    std::thread::sleep(ms(700));
    fleet.start_relay(other);
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// A plain relay that subscribers are at stands still for five seconds.
#[test]
fn stopped_for_five_seconds() {
    let fleet = RelayFleet::start(2, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(8);
    let load = Load::start(fleet.publisher(), 1, ms(10));
    std::thread::sleep(ms(500));
    fleet.stop(3);
    std::thread::sleep(ms(5_000));
    fleet.resume(3);
    std::thread::sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
    // Its subscribers went to others meanwhile.
    assert!(subscribers.iter().skip(3).step_by(4).all(|r| r.got().failed > 0));
}

/// Under load and without a fault a plain relay stays with the upstream that it follows, and knows how fresh it is.
#[test]
fn calm_upstream_is_kept() {
    let fleet = RelayFleet::start(11, 3, 1, "");
    fleet.publish_list();
    let load = Load::start(fleet.publisher(), 1, ms(10));
    // Until there was a leader, all were stale.
    let fresh = || fleet.status(3).and_then(|s| s.staleness_ms);
    assert!(wait_until(TIMEOUT, || fresh().is_some_and(|ms| ms < 1_000)), "{}", fleet.logs());
    let before = fleet.log(3).matches("stale").count();
    std::thread::sleep(ms(4_000));
    let fresh = fresh();
    load.finish();
    assert_eq!(fleet.log(3).matches("stale").count(), before, "{}", fleet.log(3));
    assert!(fresh.is_some_and(|ms| ms < 1_000), "{fresh:?}");
}

/// What a plain relay is sent by its upstream does not arrive any more, on connections that stay: it follows another.
#[test]
fn cut_one_way() {
    let mut fleet = RelayFleet::new(3, 3, 1, "");
    let holds = fleet.link(3, 0);
    (0..4).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let subscriber = [fleet.subscriber(1, 3)];
    let load = Load::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || subscriber[0].last() > 0));
    holds.from.store(true, std::sync::atomic::Ordering::Relaxed);
    let cut = Instant::now();
    let at = fleet.status(0).expect("a status").last_number;
    assert!(wait_until(TIMEOUT, || subscriber[0].last() > at + 20), "{}", fleet.logs());
    let took = cut.elapsed();
    holds.from.store(false, std::sync::atomic::Ordering::Relaxed);
    published.0.extend(load.finish().0);
    assert_complete(&subscriber, &published, &fleet);
    assert!(took < ms(6_000), "another upstream was followed after {took:?}");
}

/// A voter comes back with an older log, and then the two that had it all are lost one after another.
#[test]
fn older_log() {
    let mut fleet = RelayFleet::start(4, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let mut publisher = fleet.publisher();
    let leader = fleet.leader();
    let late = (leader + 1) % 3;
    fleet.stop(late);
    for i in 0..60 {
        published.publish(&mut publisher, &format!("a{i}"), &purge(i));
    }
    fleet.resume(late);
    fleet.kill(leader);
    for i in 60..90 {
        published.publish(&mut publisher, &format!("a{i}"), &purge(i));
    }
    fleet.start_relay(leader);
    assert!(
        wait_until(TIMEOUT, || fleet.status(leader).is_some_and(|s| s.recovering_ms.is_none())),
        "{}",
        fleet.logs()
    );
    let other = (leader + 2) % 3;
    fleet.kill(other);
    for i in 90..120 {
        published.publish(&mut publisher, &format!("a{i}"), &purge(i));
    }
    assert_complete(&subscribers, &published, &fleet);
}

/// A voter that restarts, and a plain relay, take over a log of megabytes before anybody's timeout ends.
#[test]
fn large_log_is_recovered() {
    let mut fleet = RelayFleet::new(10, 3, 1, "");
    (0..3).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    for i in 0..6 {
        published.publish(&mut fleet.publisher(), &format!("l{i}"), &large(600_000, i + 2));
    }
    let voter = (fleet.leader() + 1) % 3;
    fleet.kill(voter);
    fleet.start_relay(voter);
    let last = *published.0.keys().last().expect("events");
    let has_recovered =
        |n| fleet.status(n).is_some_and(|s| s.recovering_ms.is_none() && s.last_number >= last);
    assert!(wait_until(ms(5_000), || has_recovered(voter)), "{}", fleet.logs());
    fleet.start_relay(3);
    assert!(
        wait_until(ms(5_000), || fleet.status(3).is_some_and(|s| s.last_number >= last)),
        "{}",
        fleet.logs()
    );
    assert_complete(&[fleet.subscriber(1, 3)], &published, &fleet);
}

/// The leader stands still in the middle of what is published, another one takes over; the old one wakes and is rejected.
#[test]
fn old_leader_wakes() {
    let fleet = RelayFleet::start(5, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(8);
    let load = Load::start(fleet.publisher(), 1, ms(2));
    std::thread::sleep(ms(400));
    let old = fleet.leader();
    fleet.stop(old);
    let new = fleet.leader_except(&[old]);
    std::thread::sleep(ms(500));
    fleet.resume(old);
    // At once: it may not have found out yet.
    assert!(rejects(&fleet, old, &purge(77)), "two leaders at once");
    assert_ne!(old, new);
    std::thread::sleep(ms(800));
    let leaders = (0..3).filter(|n| fleet.status(*n).is_some_and(|s| s.role == RelayRole::Leader)).count();
    assert!(leaders <= 1, "two leaders at once");
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// The leader is cut off from the other voters, but not from its publishers and subscribers: what it accepts from then on is
/// sent by nobody.
#[test]
fn leader_cut_off() {
    let mut fleet = RelayFleet::new(9, 3, 0, "");
    let pairs = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    let links = pairs.map(|(from, to)| ((from, to), fleet.link(from, to)));
    (0..3).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let old = fleet.leader();
    let load = Load::start(fleet.publisher(), 1, ms(5));
    std::thread::sleep(ms(300));
    let cut = |on: bool| {
        for (_, holds) in links.iter().filter(|((from, to), _)| *from == old || *to == old) {
            holds.to.store(on, std::sync::atomic::Ordering::Relaxed);
            holds.from.store(on, std::sync::atomic::Ordering::Relaxed);
        }
    };
    cut(true);
    // It leads still for a moment, and accepts this; no majority stores it.
    assert!(rejects(&fleet, old, &purge(0xdead)), "committed without a majority");
    let new = fleet.leader_except(&[old]);
    assert_ne!(old, new);
    std::thread::sleep(ms(500));
    cut(false);
    std::thread::sleep(ms(1_000));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
    let dead = |r: &Subscriber| r.got().events.iter().any(|(_, e)| e.contains("dead"));
    assert!(!subscribers.iter().any(dead), "what the old leader accepted was sent");
}

/// An event that is published twice with one key is sent once, also where the first answer was lost with the leader.
#[test]
fn published_again_with_its_key() {
    let mut fleet = RelayFleet::start(6, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(3);
    let n = published.publish(&mut fleet.publisher(), "m", &purge(5));
    let again = fleet.publisher().publish("m", purge(5).as_bytes(), TIMEOUT).expect("a number");
    assert_eq!(n, again);
    let leader = fleet.leader();
    fleet.kill(leader);
    assert_eq!(fleet.publisher().publish("m", purge(5).as_bytes(), TIMEOUT).expect("a number"), n);
    published.publish(&mut fleet.publisher(), "next", &purge(6));
    assert_complete(&subscribers, &published, &fleet);
}

/// SIGTERM hands leadership over: nobody waits for the lease, and streams end without an error.
#[test]
fn handed_over() {
    let mut fleet = RelayFleet::start(7, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let leader = fleet.leader();
    let load = Load::start(fleet.publisher(), 1, ms(10));
    std::thread::sleep(ms(300));
    assert_eq!(fleet.terminate(leader), Some(0), "{}", fleet.log(leader));
    let next = fleet.leader_except(&[leader]);
    assert!(fleet.log(next).contains("relay leadership gained"));
    std::thread::sleep(ms(300));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// All voters are lost at once, with all that they stored: they go on under numbers that are higher than any before, once
/// the list is published.
#[test]
fn all_voters_restarted() {
    let mut fleet = RelayFleet::start(8, 3, 0, "");
    let before = *fleet.publish_list().0.keys().last().expect("the list");
    (0..3).for_each(|n| fleet.kill(n));
    (0..3).for_each(|n| fleet.start_relay(n));
    fleet.leader();
    let result = fleet.publisher().publish("p", purge(1).as_bytes(), TIMEOUT);
    assert!(result.is_err_and(|error| error.to_string().contains("complete list")));
    let after = fleet.publisher().publish("l", LIST.as_bytes(), TIMEOUT).expect("a number");
    assert!(after > before);
}
