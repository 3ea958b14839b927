//! A wall clock that is off or steps, on the real process: times that others stamp must not be measured by it.

mod help;

use std::time::Duration;

use help::faults::Faults;
use help::*;

const HOUR_MS: i64 = 3_600_000;
/// What the wall clock tells, as rules of a plan: from the start on, for the first moment alone, or stepping in service.
const CLOCKS: [&str; 8] = [
    "clock 0 3600000",
    "clock 0 -3600000",
    "clock 0 5000",
    "clock 0 -5000",
    "clock 0 3600000\nclock 300 0",
    "clock 0 -3600000\nclock 300 0",
    "clock 300 3600000\nclock 600 -3600000\nclock 900 0",
    "clock 300 -5000\nclock 600 5000",
];

fn purge(n: u64, at: u64) -> String {
    format!("{{\"n\":{n},\"purge\":{{\"group\":17,\"at\":{at}}}}}")
}

/// The configuration with one more known event, the second.
fn knowing(config: String, event: &str) -> String {
    let end = config.find("]}}]}").expect("the list of known events") + 3;
    format!("{},{event}{}", &config[..end], &config[end..])
        .replace("\"n\": 1, \"events\"", "\"n\": 2, \"events\"")
}

/// The oldest copy that the next lookup takes, in milliseconds.
fn oldest_copy(w: &World, client: &mut Client, call: u8) -> Option<u64> {
    client.ask(call, 0x77, 2_000);
    let pull = w.cache.pull();
    let within = pull.field("within").and_then(|age| age.parse().ok());
    pull.answer("ACK", "how=MISS,entity=t1,issued=1", b"new");
    client.satisfied(call, b"new");
    within
}

/// Looks at several moments whether copies from before the purge are refused.
fn refuses_copies_from_before(w: &World, purged_at: u64, case: &str) {
    let mut client = w.client();
    for call in 1..=4 {
        let within = oldest_copy(w, &mut client, call);
        let age = unix_ms() - purged_at;
        assert!(within.is_some_and(|w| w <= age), "{case}: copies of {within:?} ms of {age} ms");
        std::thread::sleep(Duration::from_millis(300));
    }
}

#[test]
fn a_purge_binds_whatever_the_wall_clock_tells() {
    for clock in CLOCKS {
        let faults = Faults::plan(clock);
        let w = World::start_with(|c| c, &faults.environment());
        let (_, feed) = w.feed.call();
        let at = unix_ms();
        tell(&feed, 2, &purge(2, at));
        w.told(2);
        refuses_copies_from_before(&w, at, clock);
    }
}

#[test]
fn a_purge_known_at_the_start_binds_whatever_the_wall_clock_tells() {
    for clock in CLOCKS {
        let faults = Faults::plan(clock);
        let at = unix_ms() - 1_000;
        let w = World::start_with(|c| knowing(c, &purge(2, at)), &faults.environment());
        refuses_copies_from_before(&w, at, clock);
    }
}

#[test]
fn a_purge_in_a_new_configuration_binds_whatever_the_wall_clock_tells() {
    for clock in CLOCKS {
        let faults = Faults::plan(clock);
        let w = World::start_with(|c| c, &faults.environment());
        let _feed = w.feed.call();
        let at = unix_ms();
        let text = std::fs::read_to_string(&w.config).expect("read");
        std::fs::write(&w.config, knowing(text, &purge(2, at))).expect("written");
        w.reload();
        w.told(2);
        refuses_copies_from_before(&w, at, clock);
    }
}

/// A cache that started so long ago, and warms within the second.
fn started(config: &str, since_ms: u64) -> String {
    let before = config.find("cache-a").expect("listed");
    let at = before + config[before..].find("\"since_ms\": 0").expect("a start");
    let config = format!("{}\"since_ms\": {since_ms}{}", &config[..at], &config[at + 13..]);
    config.replace("\"warmAfterUs\": 18000000", "\"warmAfterUs\": 1500000")
}

#[test]
fn slow_start_counts_real_time_whatever_the_wall_clock_tells() {
    for clock in CLOCKS {
        let faults = Faults::plan(clock);
        let w = World::start_with(|c| started(&c, unix_ms()), &faults.environment());
        let mut client = w.client();
        // Cold, and with no allowance yet: its parent is asked.
        client.ask(1, 0x77, 2_000);
        w.parent.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"parent");
        client.satisfied(1, b"parent");
        w.cache.assert_no_message();
        std::thread::sleep(Duration::from_millis(1_600));
        client.ask(2, 0x78, 2_000);
        w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"warm");
        client.satisfied(2, b"warm");
    }
}

#[test]
fn slow_start_of_a_node_told_in_service_counts_real_time() {
    for clock in CLOCKS {
        let faults = Faults::plan(clock);
        let w = World::start_with(|c| started(&c, 0), &faults.environment());
        let (_, feed) = w.feed.call();
        let event = member(2, "cache-a", w.cache.address, "ready");
        tell(&feed, 2, &event.replace("\"since_ms\":0", &format!("\"since_ms\":{}", unix_ms())));
        w.told(2);
        let mut client = w.client();
        client.ask(1, 0x77, 2_000);
        w.parent.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"parent");
        client.satisfied(1, b"parent");
        std::thread::sleep(Duration::from_millis(1_600));
        client.ask(2, 0x78, 2_000);
        w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"warm");
        client.satisfied(2, b"warm");
    }
}

/// A client's time and the time-out of a silent node are spans of real time.
#[test]
fn deadlines_do_not_move_with_the_wall_clock() {
    for offset in [HOUR_MS, -HOUR_MS, 5_000, -5_000] {
        let faults = Faults::plan("");
        let w = World::start_with(|c| c, &faults.environment());
        let mut client = w.client();
        let start = std::time::Instant::now();
        client.ask(1, 0x77, 800);
        let pull = w.cache.pull();
        faults.set(&format!("clock 0 {offset}"));
        assert_eq!(client.assert_rejected(), 1);
        let took = start.elapsed();
        assert!((600..820).contains(&took.as_millis()), "{offset}: {took:?}");
        assert_eq!(w.cache.next().line, format!("KILL {}", pull.name()));
    }
}
