//! Faults between processes under load: no subscriber may miss, repeat or reorder an event, and no former leader may
//! change anything.

use std::time::Instant;

use sablecross_relay::RelayRole;

use crate::common::{
    LIST_EVENT, PurgeLoad, RelayFleet, Subscriber, TIMEOUT, assert_complete, large_list_event, ms,
    purge_event, rejects_as_non_leader, wait_until,
};

/// Kills the leader, then another voter, while purges are published and received.
#[test]
fn voters_killed_under_load() {
    let mut fleet = RelayFleet::start(1, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(12);
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(5));
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

/// A plain relay with subscribers is suspended for five seconds.
#[test]
fn plain_relay_suspended_for_five_seconds() {
    let fleet = RelayFleet::start(2, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(8);
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    std::thread::sleep(ms(500));
    fleet.suspend(3);
    std::thread::sleep(ms(5_000));
    fleet.resume(3);
    std::thread::sleep(ms(500));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
    // Its subscribers switched to other relays in the meantime.
    assert!(subscribers.iter().skip(3).step_by(4).all(|r| r.received().failed > 0));
}

/// Under load and without faults, a plain relay must stay with its upstream and know its staleness.
#[test]
fn healthy_upstream_is_kept() {
    let fleet = RelayFleet::start(11, 3, 1, "");
    fleet.publish_list();
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    // Until a leader was elected, all upstreams were stale.
    let fresh = || fleet.status(3).and_then(|s| s.staleness_ms);
    assert!(wait_until(TIMEOUT, || fresh().is_some_and(|ms| ms < 1_000)), "{}", fleet.logs());
    let before = fleet.log(3).matches("stale").count();
    std::thread::sleep(ms(4_000));
    let fresh = fresh();
    load.finish();
    assert_eq!(fleet.log(3).matches("stale").count(), before, "{}", fleet.log(3));
    assert!(fresh.is_some_and(|ms| ms < 1_000), "{fresh:?}");
}

/// A plain relay's connections to its upstream stay open, but data from the upstream no longer arrives: the relay must
/// switch to another upstream.
#[test]
fn upstream_cut_off_one_way() {
    let mut fleet = RelayFleet::new(3, 3, 1, "");
    let pause = fleet.add_link(3, 0);
    (0..4).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let subscriber = [fleet.subscriber(1, 3)];
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    assert!(wait_until(TIMEOUT, || subscriber[0].last() > 0));
    pause.from_target.store(true, std::sync::atomic::Ordering::Relaxed);
    let cut = Instant::now();
    let at = fleet.status(0).expect("a status").last_number;
    assert!(wait_until(TIMEOUT, || subscriber[0].last() > at + 20), "{}", fleet.logs());
    let took = cut.elapsed();
    pause.from_target.store(false, std::sync::atomic::Ordering::Relaxed);
    published.0.extend(load.finish().0);
    assert_complete(&subscriber, &published, &fleet);
    assert!(took < ms(6_000), "another upstream was followed after {took:?}");
}

/// A voter resumes with an older log, and then the two voters with the full log are killed one after another.
#[test]
fn voter_with_an_older_log() {
    let mut fleet = RelayFleet::start(4, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let mut publisher = fleet.publisher();
    let leader = fleet.leader();
    let late = (leader + 1) % 3;
    fleet.suspend(late);
    for i in 0..60 {
        published.publish(&mut publisher, &format!("a{i}"), &purge_event(i));
    }
    fleet.resume(late);
    fleet.kill(leader);
    for i in 60..90 {
        published.publish(&mut publisher, &format!("a{i}"), &purge_event(i));
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
        published.publish(&mut publisher, &format!("a{i}"), &purge_event(i));
    }
    assert_complete(&subscribers, &published, &fleet);
}

/// A restarted voter and a new plain relay must take over a log of several megabytes before any timeout.
#[test]
fn large_log_is_recovered() {
    let mut fleet = RelayFleet::new(10, 3, 1, "");
    (0..3).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    for i in 0..6 {
        published.publish(&mut fleet.publisher(), &format!("l{i}"), &large_list_event(600_000, i + 2));
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

/// The leader is suspended while events are published, and another voter takes over. The resumed old leader must not
/// accept events.
#[test]
fn resumed_old_leader_is_rejected() {
    let fleet = RelayFleet::start(5, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(8);
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(2));
    std::thread::sleep(ms(400));
    let old = fleet.leader();
    fleet.suspend(old);
    let new = fleet.leader_except(&[old]);
    std::thread::sleep(ms(500));
    fleet.resume(old);
    // Checked at once, when it may not yet know that its lease has expired.
    assert!(rejects_as_non_leader(&fleet, old, &purge_event(77)), "two leaders at once");
    assert_ne!(old, new);
    std::thread::sleep(ms(800));
    let leaders = (0..3).filter(|n| fleet.status(*n).is_some_and(|s| s.role == RelayRole::Leader)).count();
    assert!(leaders <= 1, "two leaders at once");
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// The leader is partitioned from the other voters, but not from its publishers and subscribers. An event that this
/// leader accepts from then on must not be sent by any relay.
#[test]
fn leader_partitioned_from_other_voters() {
    let mut fleet = RelayFleet::new(9, 3, 0, "");
    let pairs = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    let links = pairs.map(|(from, to)| ((from, to), fleet.add_link(from, to)));
    (0..3).for_each(|n| fleet.start_relay(n));
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let old = fleet.leader();
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(5));
    std::thread::sleep(ms(300));
    let cut = |on: bool| {
        for (_, pause) in links.iter().filter(|((from, to), _)| *from == old || *to == old) {
            pause.to_target.store(on, std::sync::atomic::Ordering::Relaxed);
            pause.from_target.store(on, std::sync::atomic::Ordering::Relaxed);
        }
    };
    cut(true);
    // It is still the leader for a moment and accepts this event, but no majority stores it.
    assert!(rejects_as_non_leader(&fleet, old, &purge_event(0xdead)), "committed without a majority");
    let new = fleet.leader_except(&[old]);
    assert_ne!(old, new);
    std::thread::sleep(ms(500));
    cut(false);
    std::thread::sleep(ms(1_000));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
    let dead = |r: &Subscriber| r.received().events.iter().any(|(_, e)| e.contains("dead"));
    assert!(!subscribers.iter().any(dead), "what the old leader accepted was sent");
}

/// An event that is published twice with one idempotency key must be sent once, also if the leader that accepted it was
/// killed.
#[test]
fn repeated_idempotency_key_publishes_once() {
    let mut fleet = RelayFleet::start(6, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(3);
    let n = published.publish(&mut fleet.publisher(), "m", &purge_event(5));
    let again = fleet.publisher().publish("m", purge_event(5).as_bytes(), TIMEOUT).expect("a number");
    assert_eq!(n, again);
    let leader = fleet.leader();
    fleet.kill(leader);
    assert_eq!(fleet.publisher().publish("m", purge_event(5).as_bytes(), TIMEOUT).expect("a number"), n);
    published.publish(&mut fleet.publisher(), "next", &purge_event(6));
    assert_complete(&subscribers, &published, &fleet);
}

/// After SIGTERM the leader must exit without an error, another voter must become the leader, and no subscriber may
/// miss an event.
#[test]
fn sigterm_hands_over_leadership() {
    let mut fleet = RelayFleet::start(7, 3, 0, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(6);
    let leader = fleet.leader();
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(10));
    std::thread::sleep(ms(300));
    assert_eq!(fleet.terminate(leader), Some(0), "{}", fleet.log(leader));
    let next = fleet.leader_except(&[leader]);
    assert!(fleet.log(next).contains("relay leadership gained"));
    std::thread::sleep(ms(300));
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// All voters are killed at once and lose their logs. After the restart the complete list must be published first, and
/// its number must be higher than any before.
#[test]
fn all_voters_restarted() {
    let mut fleet = RelayFleet::start(8, 3, 0, "");
    let before = *fleet.publish_list().0.keys().last().expect("the list");
    (0..3).for_each(|n| fleet.kill(n));
    (0..3).for_each(|n| fleet.start_relay(n));
    fleet.leader();
    let result = fleet.publisher().publish("p", purge_event(1).as_bytes(), TIMEOUT);
    assert!(result.is_err_and(|error| error.to_string().contains("complete list")));
    let after = fleet.publisher().publish("l", LIST_EVENT.as_bytes(), TIMEOUT).expect("a number");
    assert!(after > before);
}
