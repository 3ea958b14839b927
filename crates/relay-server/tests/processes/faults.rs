//! Faults between processes, under load: nobody misses, repeats or reorders an event, and no old source changes anything.

use std::time::Instant;

use sablecross_relay::RelayRole;

use crate::common::{LIST, Load, PATIENCE, Reader, Tier, complete, large, ms, purge, refuses, until};

/// Kills the owner, then another voter, while purges are published and read.
#[test]
fn killed_under_load() {
    let mut tier = Tier::start(1, 3, 1, "");
    let mut published = tier.listed();
    let readers = tier.readers(12);
    let load = Load::start(tier.publisher(), 1, ms(5));
    std::thread::sleep(ms(700));
    let first = tier.owner();
    tier.kill(first);
    let second = tier.owner_but(&[first]);
    tier.begin(first);
    assert!(
        until(PATIENCE, || tier.status(first).is_some_and(|s| s.recovering_ms.is_none())),
        "{}",
        tier.logs()
    );
    std::thread::sleep(ms(500));
    let other = (0..3).find(|n| *n != first && *n != second).expect("three voters");
    tier.kill(other);
    std::thread::sleep(ms(700));
    tier.begin(other);
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
}

/// A plain relay that readers are at stands still for five seconds.
#[test]
fn stopped_for_five_seconds() {
    let tier = Tier::start(2, 3, 1, "");
    let mut published = tier.listed();
    let readers = tier.readers(8);
    let load = Load::start(tier.publisher(), 1, ms(10));
    std::thread::sleep(ms(500));
    tier.stop(3);
    std::thread::sleep(ms(5_000));
    tier.go_on(3);
    std::thread::sleep(ms(500));
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
    // Its readers went to others meanwhile.
    assert!(readers.iter().skip(3).step_by(4).all(|r| r.got().failed > 0));
}

/// Under load and without a fault a plain relay stays with the upstream that it follows, and knows how fresh it is.
#[test]
fn calm_upstream_is_kept() {
    let tier = Tier::start(11, 3, 1, "");
    tier.listed();
    let load = Load::start(tier.publisher(), 1, ms(10));
    // Until somebody owned the feed, all were stale.
    let fresh = || tier.status(3).and_then(|s| s.staleness_ms);
    assert!(until(PATIENCE, || fresh().is_some_and(|ms| ms < 1_000)), "{}", tier.logs());
    let before = tier.log(3).matches("stale").count();
    std::thread::sleep(ms(4_000));
    let fresh = fresh();
    load.over();
    assert_eq!(tier.log(3).matches("stale").count(), before, "{}", tier.log(3));
    assert!(fresh.is_some_and(|ms| ms < 1_000), "{fresh:?}");
}

/// What a plain relay is told by its upstream does not arrive any more, on connections that stay: it follows another.
#[test]
fn cut_one_way() {
    let mut tier = Tier::new(3, 3, 1, "");
    let holds = tier.link(3, 0);
    (0..4).for_each(|n| tier.begin(n));
    let mut published = tier.listed();
    let reader = [tier.reader(1, 3)];
    let load = Load::start(tier.publisher(), 1, ms(10));
    assert!(until(PATIENCE, || reader[0].last() > 0));
    holds.from.store(true, std::sync::atomic::Ordering::Relaxed);
    let cut = Instant::now();
    let at = tier.status(0).expect("a status").last_number;
    assert!(until(PATIENCE, || reader[0].last() > at + 20), "{}", tier.logs());
    let took = cut.elapsed();
    holds.from.store(false, std::sync::atomic::Ordering::Relaxed);
    published.0.extend(load.over().0);
    complete(&reader, &published, &tier);
    assert!(took < ms(6_000), "another upstream was followed after {took:?}");
}

/// A voter comes back with an older log, and then the two that had it all are lost one after another.
#[test]
fn older_log() {
    let mut tier = Tier::start(4, 3, 0, "");
    let mut published = tier.listed();
    let readers = tier.readers(6);
    let mut publisher = tier.publisher();
    let owner = tier.owner();
    let late = (owner + 1) % 3;
    tier.stop(late);
    for i in 0..60 {
        published.tell(&mut publisher, &format!("a{i}"), &purge(i));
    }
    tier.go_on(late);
    tier.kill(owner);
    for i in 60..90 {
        published.tell(&mut publisher, &format!("a{i}"), &purge(i));
    }
    tier.begin(owner);
    assert!(
        until(PATIENCE, || tier.status(owner).is_some_and(|s| s.recovering_ms.is_none())),
        "{}",
        tier.logs()
    );
    let other = (owner + 2) % 3;
    tier.kill(other);
    for i in 90..120 {
        published.tell(&mut publisher, &format!("a{i}"), &purge(i));
    }
    complete(&readers, &published, &tier);
}

/// A log of megabytes is learnt by a voter that begins anew, and by a plain relay, before anybody's patience ends.
#[test]
fn large_log_is_learnt() {
    let mut tier = Tier::new(10, 3, 1, "");
    (0..3).for_each(|n| tier.begin(n));
    let mut published = tier.listed();
    for i in 0..6 {
        published.tell(&mut tier.publisher(), &format!("l{i}"), &large(600_000, i + 2));
    }
    let voter = (tier.owner() + 1) % 3;
    tier.kill(voter);
    tier.begin(voter);
    let last = *published.0.keys().last().expect("events");
    let learnt = |n| tier.status(n).is_some_and(|s| s.recovering_ms.is_none() && s.last_number >= last);
    assert!(until(ms(5_000), || learnt(voter)), "{}", tier.logs());
    tier.begin(3);
    assert!(until(ms(5_000), || tier.status(3).is_some_and(|s| s.last_number >= last)), "{}", tier.logs());
    complete(&[tier.reader(1, 3)], &published, &tier);
}

/// The owner stands still in the middle of what is published, another one takes over; the old one wakes and is refused.
#[test]
fn old_source_wakes() {
    let tier = Tier::start(5, 3, 1, "");
    let mut published = tier.listed();
    let readers = tier.readers(8);
    let load = Load::start(tier.publisher(), 1, ms(2));
    std::thread::sleep(ms(400));
    let old = tier.owner();
    tier.stop(old);
    let new = tier.owner_but(&[old]);
    std::thread::sleep(ms(500));
    tier.go_on(old);
    // At once: it may not have found out yet.
    assert!(refuses(&tier, old, &purge(77)), "two sources at once");
    assert_ne!(old, new);
    std::thread::sleep(ms(800));
    let owners = (0..3).filter(|n| tier.status(*n).is_some_and(|s| s.role == RelayRole::Leader)).count();
    assert!(owners <= 1, "two sources at once");
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
}

/// The source is cut off from the other voters, but not from its publishers and readers: what it takes from then on is told by nobody.
#[test]
fn source_cut_off() {
    let mut tier = Tier::new(9, 3, 0, "");
    let pairs = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    let links = pairs.map(|(from, to)| ((from, to), tier.link(from, to)));
    (0..3).for_each(|n| tier.begin(n));
    let mut published = tier.listed();
    let readers = tier.readers(6);
    let old = tier.owner();
    let load = Load::start(tier.publisher(), 1, ms(5));
    std::thread::sleep(ms(300));
    let cut = |on: bool| {
        for (_, holds) in links.iter().filter(|((from, to), _)| *from == old || *to == old) {
            holds.to.store(on, std::sync::atomic::Ordering::Relaxed);
            holds.from.store(on, std::sync::atomic::Ordering::Relaxed);
        }
    };
    cut(true);
    // It owns the feed still for a moment, and takes this; no majority keeps it.
    assert!(refuses(&tier, old, &purge(0xdead)), "told without a majority");
    let new = tier.owner_but(&[old]);
    assert_ne!(old, new);
    std::thread::sleep(ms(500));
    cut(false);
    std::thread::sleep(ms(1_000));
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
    let dead = |r: &Reader| r.got().events.iter().any(|(_, e)| e.contains("dead"));
    assert!(!readers.iter().any(dead), "what the old source took was told");
}

/// The same event twice under one mark is told once, also where its first answer was lost with the owner.
#[test]
fn published_again_under_its_mark() {
    let mut tier = Tier::start(6, 3, 0, "");
    let mut published = tier.listed();
    let readers = tier.readers(3);
    let n = published.tell(&mut tier.publisher(), "m", &purge(5));
    let again = tier.publisher().publish("m", purge(5).as_bytes(), PATIENCE).expect("a number");
    assert_eq!(n, again);
    let owner = tier.owner();
    tier.kill(owner);
    assert_eq!(tier.publisher().publish("m", purge(5).as_bytes(), PATIENCE).expect("a number"), n);
    published.tell(&mut tier.publisher(), "next", &purge(6));
    complete(&readers, &published, &tier);
}

/// SIGTERM hands the duty over: nobody waits for the lease, and streams end without an error.
#[test]
fn handed_over() {
    let mut tier = Tier::start(7, 3, 0, "");
    let mut published = tier.listed();
    let readers = tier.readers(6);
    let owner = tier.owner();
    let load = Load::start(tier.publisher(), 1, ms(10));
    std::thread::sleep(ms(300));
    assert_eq!(tier.end(owner), Some(0), "{}", tier.log(owner));
    let next = tier.owner_but(&[owner]);
    assert!(tier.log(next).contains("relay leadership gained"));
    std::thread::sleep(ms(300));
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
}

/// All voters are lost at once, with all that they held: they go on under numbers that are higher than any before, once the list
/// is published.
#[test]
fn all_voters_anew() {
    let mut tier = Tier::start(8, 3, 0, "");
    let before = *tier.listed().0.keys().last().expect("the list");
    (0..3).for_each(|n| tier.kill(n));
    (0..3).for_each(|n| tier.begin(n));
    tier.owner();
    let said = tier.publisher().publish("p", purge(1).as_bytes(), PATIENCE);
    assert!(said.is_err_and(|no| no.to_string().contains("complete list")));
    let after = tier.publisher().publish("l", LIST.as_bytes(), PATIENCE).expect("a number");
    assert!(after > before);
}
