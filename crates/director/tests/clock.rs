//! A wall clock that is wrong or steps, on the real process: the age of events that others have stamped must not depend on
//! it.

mod help;

use std::time::Duration;

use help::faults::FaultPlan;
use help::*;

const HOUR_MS: i64 = 3_600_000;
/// Faults of the wall clock, as rules of a fault plan: wrong from the start on, wrong for the first 300 ms only, or stepping
/// while the director serves. A rule is `clock FROM_MS OFFSET_MS`.
const CLOCK_FAULTS: [&str; 8] = [
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

/// The configuration with this event as a second known one.
fn with_known_event(config: String, event: &str) -> String {
    let end = config.find("]}}]}").expect("the list of known events") + 3;
    format!("{},{event}{}", &config[..end], &config[end..])
        .replace("\"n\": 1, \"events\"", "\"n\": 2, \"events\"")
}

/// The largest age, in milliseconds, that the attempt of a request allows a cached copy to have.
fn max_copy_age(harness: &Harness, client: &mut Client, call: u8) -> Option<u64> {
    client.send_request(call, 0x77, 2_000);
    let pull = harness.cache.expect_pull();
    let within = pull.field("within").and_then(|age| age.parse().ok());
    pull.answer("ACK", "how=MISS,entity=t1,issued=1", b"new");
    client.assert_success(call, b"new");
    within
}

/// Checks several times, 300 ms apart, that copies from before the purge are excluded.
fn assert_older_copies_excluded(harness: &Harness, purged_at: u64, case: &str) {
    let mut client = harness.client();
    for call in 1..=4 {
        let within = max_copy_age(harness, &mut client, call);
        let age = unix_ms() - purged_at;
        assert!(
            within.is_some_and(|w| w <= age),
            "{case}: allows copies of {within:?} ms, purged {age} ms ago"
        );
        std::thread::sleep(Duration::from_millis(300));
    }
}

#[test]
fn purges_do_not_depend_on_the_wall_clock() {
    for clock in CLOCK_FAULTS {
        let faults = FaultPlan::new(clock);
        let harness = Harness::with_config_and_env(|config| config, &faults.environment());
        let (_, feed) = harness.feed.accept_call();
        let at = unix_ms();
        send_event(&feed, 2, &purge(2, at));
        harness.wait_for_discovery_events(2);
        assert_older_copies_excluded(&harness, at, clock);
    }
}

#[test]
fn purges_known_at_the_start_do_not_depend_on_the_wall_clock() {
    for clock in CLOCK_FAULTS {
        let faults = FaultPlan::new(clock);
        let at = unix_ms() - 1_000;
        let harness = Harness::with_config_and_env(
            |config| with_known_event(config, &purge(2, at)),
            &faults.environment(),
        );
        assert_older_copies_excluded(&harness, at, clock);
    }
}

#[test]
fn purges_in_a_reloaded_configuration_do_not_depend_on_the_wall_clock() {
    for clock in CLOCK_FAULTS {
        let faults = FaultPlan::new(clock);
        let harness = Harness::with_config_and_env(|config| config, &faults.environment());
        let _feed = harness.feed.accept_call();
        let at = unix_ms();
        let text = std::fs::read_to_string(&harness.config_path).expect("read");
        std::fs::write(&harness.config_path, with_known_event(text, &purge(2, at))).expect("written");
        harness.reload();
        harness.wait_for_discovery_events(2);
        assert_older_copies_excluded(&harness, at, clock);
    }
}

/// The configuration with a cache that started at this time, and a slow-start window of 1.5 s.
fn with_start_time(config: &str, since_ms: u64) -> String {
    let before = config.find("cache-a").expect("listed");
    let at = before + config[before..].find("\"since_ms\": 0").expect("a start");
    let config = format!("{}\"since_ms\": {since_ms}{}", &config[..at], &config[at + 13..]);
    config.replace("\"warmAfterUs\": 18000000", "\"warmAfterUs\": 1500000")
}

#[test]
fn slow_start_does_not_depend_on_the_wall_clock() {
    for clock in CLOCK_FAULTS {
        let faults = FaultPlan::new(clock);
        let harness =
            Harness::with_config_and_env(|config| with_start_time(&config, unix_ms()), &faults.environment());
        let mut client = harness.client();
        // The cache is cold and has no allowance yet: the parent serves the request.
        client.send_request(1, 0x77, 2_000);
        harness.parent.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"parent");
        client.assert_success(1, b"parent");
        harness.cache.assert_no_message();
        std::thread::sleep(Duration::from_millis(1_600));
        client.send_request(2, 0x78, 2_000);
        harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"warm");
        client.assert_success(2, b"warm");
    }
}

#[test]
fn slow_start_of_a_later_node_does_not_depend_on_the_wall_clock() {
    for clock in CLOCK_FAULTS {
        let faults = FaultPlan::new(clock);
        let harness =
            Harness::with_config_and_env(|config| with_start_time(&config, 0), &faults.environment());
        let (_, feed) = harness.feed.accept_call();
        let event = endpoint_event(2, "cache-a", harness.cache.address, "ready");
        send_event(&feed, 2, &event.replace("\"since_ms\":0", &format!("\"since_ms\":{}", unix_ms())));
        harness.wait_for_discovery_events(2);
        let mut client = harness.client();
        client.send_request(1, 0x77, 2_000);
        harness.parent.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"parent");
        client.assert_success(1, b"parent");
        std::thread::sleep(Duration::from_millis(1_600));
        client.send_request(2, 0x78, 2_000);
        harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"warm");
        client.assert_success(2, b"warm");
    }
}

/// A client's budget and the timeout of a silent node are durations, which a step of the wall clock must not change.
#[test]
fn deadlines_do_not_depend_on_the_wall_clock() {
    for offset in [HOUR_MS, -HOUR_MS, 5_000, -5_000] {
        let faults = FaultPlan::new("");
        let harness = Harness::with_config_and_env(|config| config, &faults.environment());
        let mut client = harness.client();
        let start = std::time::Instant::now();
        client.send_request(1, 0x77, 800);
        let pull = harness.cache.expect_pull();
        faults.set_rules(&format!("clock 0 {offset}"));
        assert_eq!(client.assert_rejected(), 1);
        let took = start.elapsed();
        assert!((600..820).contains(&took.as_millis()), "{offset}: {took:?}");
        assert_eq!(harness.cache.next_message().line, format!("KILL {}", pull.request_id()));
    }
}
