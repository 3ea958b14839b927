//! Calls of discovery that wait for their turn there. The real director on sockets.

mod help;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use help::{FeedStub, Harness, NodeStub, endpoint_event, send_event};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// The next call, which waits for its turn.
fn next_call(feed: &FeedStub) -> TcpStream {
    feed.accept_call_with("").1
}

/// Answers a call with one event: the cache with this address drains.
fn answer_with_drain(mut call: &TcpStream, cache: &NodeStub) {
    call.write_all(HEAD).expect("written");
    send_event(call, 2, &endpoint_event(2, "cache-a", cache.address, "draining"));
}

/// Whether the director has given up a call. Waits shortly for a call that is just being closed.
fn is_given_up(mut call: &TcpStream) -> bool {
    call.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    match call.read(&mut [0; 8]) {
        Ok(count) => count == 0,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Guards against never hearing of a drain from a feed that answers each call after longer than 2 s, because each call is
/// given up before its turn and the next one waits from the beginning.
#[test]
fn a_drain_is_heard_from_a_feed_that_answers_late() {
    let harness = Harness::start();
    let first = next_call(&harness.feed);
    let second = next_call(&harness.feed);
    answer_with_drain(&first, &harness.cache);
    let line = harness.wait_for_log("feed late from=");
    let waited_ms: u64 = line.rsplit('=').next().and_then(|ms| ms.parse().ok()).expect("a number");
    assert!(waited_ms >= 2_000, "{line}");
    harness.wait_for_discovery_events(2);
    assert!(is_given_up(&second), "the call that was answered is followed alone");
    // A later event comes on the same call.
    send_event(&first, 3, &endpoint_event(3, "cache-a", harness.cache.address, "ready"));
    harness.wait_for_discovery_events(3);
    assert_eq!((harness.current_counters()["feed_calls"], harness.current_counters()["feed_late"]), (2, 1));
}

/// Guards against waiting for a feed that has lost a call: another one is made after 2 s, as before, and followed.
#[test]
fn a_call_beside_a_lost_one_is_followed() {
    let harness = Harness::start();
    let start = Instant::now();
    let lost = next_call(&harness.feed);
    let second = next_call(&harness.feed);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    answer_with_drain(&second, &harness.cache);
    harness.wait_for_discovery_events(2);
    assert!(is_given_up(&lost));
    assert_eq!(harness.current_counters()["feed_late"], 0);
}

/// Guards against an open stream that is kept although it is dead: a stream sends a comment each second.
#[test]
fn a_silent_stream_is_given_up() {
    let harness = Harness::start();
    let stream = harness.feed.accept_call().1;
    harness.wait_for_log("feed up after=1");
    let second = next_call(&harness.feed);
    assert!(is_given_up(&stream));
    answer_with_drain(&second, &harness.cache);
    harness.wait_for_discovery_events(2);
}

/// Guards against descriptors that calls of a dead feed could hold, and against waiting for a lost call for good: two calls
/// are open at most, and after 8 s a newer one takes the place of the oldest.
#[test]
fn two_calls_wait_at_most_and_the_older_one_not_for_good() {
    let harness = Harness::start();
    let calls: Vec<TcpStream> = (0..3).map(|_| next_call(&harness.feed)).collect();
    let newest = next_call(&harness.feed);
    let given_up: Vec<bool> = calls.iter().map(is_given_up).collect();
    assert_eq!(given_up, [false, true, true], "the first one keeps its place");
    let last = next_call(&harness.feed);
    assert!(is_given_up(&calls[0]), "the patience is over");
    answer_with_drain(&newest, &harness.cache);
    harness.wait_for_discovery_events(2);
    assert!(is_given_up(&last));
}

/// Guards against following the feed of the old configuration: a reload gives up the call that waits there.
#[test]
fn a_reload_gives_up_calls_that_wait() {
    let harness = Harness::start();
    let waiting = [next_call(&harness.feed), next_call(&harness.feed)];
    let feed = FeedStub(TcpListener::bind("127.0.0.1:0").expect("bound"));
    let (old, new) = (harness.feed.0.local_addr().expect("bound"), feed.0.local_addr().expect("bound"));
    let text = std::fs::read_to_string(&harness.config_path).expect("read");
    std::fs::write(&harness.config_path, text.replace(&old.to_string(), &new.to_string())).expect("written");
    let start = Instant::now();
    harness.signal("HUP");
    let call = next_call(&feed);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    assert!(waiting.iter().all(is_given_up));
    answer_with_drain(&call, &harness.cache);
    harness.wait_for_discovery_events(2);
}

/// Guards against waiting for one feed while another one answers, and against losing the place at the first meanwhile.
#[test]
fn the_first_feed_that_answers_is_followed() {
    for is_home_first in [true, false] {
        let other = FeedStub(TcpListener::bind("127.0.0.1:0").expect("bound"));
        let at = other.0.local_addr().expect("bound");
        let harness = Harness::with_config(|config| {
            config.replacen("\"feed\"", &format!("\"feeds\": [\"{at}\"], \"feed\""), 1)
        });
        let calls = [next_call(&harness.feed), next_call(&other)];
        let (answered, silent) = if is_home_first { (&calls[0], &calls[1]) } else { (&calls[1], &calls[0]) };
        answer_with_drain(answered, &harness.cache);
        harness.wait_for_discovery_events(2);
        assert!(is_given_up(silent));
        // The end of a stream is not a failure: the feed that was followed is called again.
        answered.shutdown(std::net::Shutdown::Write).expect("shut");
        let followed = if is_home_first { &harness.feed } else { &other };
        assert_eq!(followed.accept_call().0, 2);
    }
}
