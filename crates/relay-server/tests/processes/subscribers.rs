//! Slow, disconnected and many subscribers, bursts, and malformed events and requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::common::{
    LIST_EVENT, Published, PurgeLoad, RelayFleet, Subscriber, TIMEOUT, assert_complete, connect_from,
    large_list_event, ms, purge_event, wait_until,
};
use sablecross_relay::{RelayStatus, merge_statuses};
use sablecross_relay_server::peer_client::{HttpResponse, PeerClient};

/// Returns the peak resident memory of a process in KB.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("its most memory");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// Starts a subscriber that reads one byte a second, with a small receive buffer.
fn start_slow_subscriber(from: std::net::IpAddr, at: SocketAddr) {
    let stream = connect_from(from, at).expect("a connection");
    socket2::SockRef::from(&stream).set_recv_buffer_size(2_048).expect("a small window");
    (&stream).write_all(sablecross_discovery::events_request(at, 0).as_bytes()).expect("a call");
    spawn(move || {
        let mut byte = [0];
        while (&stream).read(&mut byte).is_ok_and(|n| n > 0) {
            sleep(ms(1_000));
        }
    });
}

/// Thirty subscribers that read one byte a second must take up little memory, and must not delay the events of others.
#[test]
fn slow_subscribers_do_not_delay_others() {
    let fleet = RelayFleet::start(21, 1, 0, "(stuck-ms . 60000) (ack-ms . 60000) (missed-ms . 120000)");
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let subscribers = fleet.subscribers(4);
    (0..30).for_each(|i| start_slow_subscriber(fleet.ip(100 + i), fleet.address(0)));
    let mut max_delay = Duration::ZERO;
    for i in 0..100 {
        let n = published.publish(&mut publisher, &format!("l{i}"), &large_list_event(60_000, i + 2));
        let published_at = Instant::now();
        assert!(wait_until(TIMEOUT, || subscribers.iter().all(|r| r.last() >= n)), "{}", fleet.logs());
        max_delay = max_delay.max(published_at.elapsed());
    }
    assert_complete(&subscribers, &published, &fleet);
    // The log has 6 MB. Thirty subscribers with a full copy of it each would take 180 MB.
    let memory = peak_memory_kb(fleet.pid(0));
    assert!(memory < 48_000, "{memory} KB");
    assert!(max_delay < ms(1_500), "a subscriber that reads in time was sent an event after {max_delay:?}");
}

fn statuses(fleet: &RelayFleet) -> Vec<RelayStatus> {
    (0..4).filter_map(|n| fleet.status(n)).collect()
}

/// Three in ten subscribers disconnect at once. An event must still count as applied by the others in time, and the
/// status must name the missing subscribers.
#[test]
fn three_in_ten_subscribers_disconnected() {
    let fleet = RelayFleet::start(22, 3, 1, "");
    let mut published = fleet.publish_list();
    let mut subscribers = fleet.subscribers(40);
    let n = published.publish(&mut fleet.publisher(), "before", &purge_event(1));
    let everywhere = |n: u64| {
        wait_until(TIMEOUT, || merge_statuses(&statuses(&fleet)).applied_status(n).since_unix_ms.is_some())
    };
    assert!(everywhere(n), "{}", fleet.logs());
    let gone = subscribers.split_off(28);
    gone.iter().for_each(|r| r.set_disconnected(true));
    let n = published.publish(&mut fleet.publisher(), "after", &purge_event(2));
    let begun = Instant::now();
    assert!(everywhere(n), "{}", fleet.logs());
    assert!(begun.elapsed() < ms(7_000), "applied at the others after {:?}", begun.elapsed());
    let applied = merge_statuses(&statuses(&fleet)).applied_status(n);
    let mut missing: Vec<String> = applied.missing.iter().map(|m| m.name.clone()).collect();
    missing.sort();
    let mut names: Vec<String> = (29..=40).map(|i| fleet.ip(i).to_string()).collect();
    names.sort();
    assert_eq!(missing, names);
    // After they have reconnected, none is missing.
    gone.iter().for_each(|r| r.set_disconnected(false));
    let back = || merge_statuses(&statuses(&fleet)).applied_status(n).missing.is_empty();
    assert!(wait_until(TIMEOUT, back), "{}", fleet.logs());
    subscribers.extend(gone);
    assert_complete(&subscribers, &published, &fleet);
}

/// A thousand purges that 20 publishers send at the same time must reach all subscribers within 8 s.
#[test]
fn burst_of_a_thousand_purges() {
    let fleet = RelayFleet::start(23, 3, 1, "");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(12);
    let begun = Instant::now();
    let publishers: Vec<_> = (0..20)
        .map(|p| {
            let mut publisher = fleet.publisher();
            spawn(move || {
                let mut own = Published::default();
                for i in 0..50 {
                    own.publish(&mut publisher, &format!("b{p}-{i}"), &purge_event(p << 32 | i));
                }
                own
            })
        })
        .collect();
    for p in publishers {
        published.0.extend(p.join().expect("all are published").0);
    }
    let took = begun.elapsed();
    assert_complete(&subscribers, &published, &fleet);
    assert_eq!(published.0.len(), 1_001);
    assert!(begun.elapsed() < ms(8_000), "published in {took:?}, received after {:?}", begun.elapsed());
}

/// An event larger than a batch must be sent complete and in order among other events.
#[test]
fn event_larger_than_a_batch() {
    let fleet = RelayFleet::start(24, 3, 1, "(batch-bytes . 4096)");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(4);
    let load = PurgeLoad::start(fleet.publisher(), 1, ms(5));
    for i in 0..5 {
        published.publish(&mut fleet.publisher(), &format!("large{i}"), &large_list_event(40_000, i + 2));
    }
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// A malformed event or request must be answered with the error and its place. The connection must end without a reset,
/// and other events must not be lost.
#[test]
fn malformed_events() {
    let fleet = RelayFleet::start(25, 3, 1, "(event-bytes . 20000)");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(4);
    let at = fleet.address(fleet.leader());
    let publish = |event: &[u8]| {
        let HttpResponse { code, body } = PeerClient::new(at, TIMEOUT, 1 << 20)
            .request("POST", "/v1/events", "", event)
            .expect("an answer");
        (code, String::from_utf8_lossy(&body).into_owned())
    };
    let oversized = large_list_event(3_000_000, 3);
    let faults: [(&[u8], u16, &str); 8] = [
        (b"", 400, "EOF while parsing"),
        (br#"{"purge":{"key":"00000000000000"#, 400, "line 1 column 31"),
        (b"\xff\xfe", 400, "no JSON"),
        (br#"{"other":1}"#, 400, "no members, purge or hierarchy"),
        (br#"{"purge":{"key":"xyz","at":1}}"#, 400, "xyz"),
        (br#"{"purge":{"key":"00","at":99999999999999}}"#, 400, "ahead"),
        (
            br#"{"members":{"index":1,"snapshot":false,"endpoints":[{"name":"odd"}]}}"#,
            400,
            "endpoint 0 (odd)",
        ),
        (oversized.as_bytes(), 413, "more than 20000"),
    ];
    for (event, code, what) in faults {
        let (actual_code, reason) = publish(event);
        assert!(
            actual_code == code && reason.contains(what),
            "{actual_code} {reason}, expected {code} {what}"
        );
    }
    assert!(fleet.logs().contains("relay event rejected"), "{}", fleet.logs());
    for (text, what) in [
        ("GET /else HTTP/1.1\r\n\r\n", "404"),
        ("PUT /v1/events HTTP/1.1\r\n\r\n", "405"),
        ("GET /v1/events HTTP/1.1\r\nLast-Event-ID: x\r\n\r\n", "Last-Event-ID"),
        ("POST /v1/events HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411"),
        ("POST /v1/relay HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "not a call of a voter"),
        ("nonsense\r\n\r\n", "400"),
    ] {
        let mut stream = TcpStream::connect(at).expect("a connection");
        stream.write_all(text.as_bytes()).expect("a call");
        let mut all = String::new();
        stream.read_to_string(&mut all).expect("an answer that ends cleanly");
        assert!(all.contains(what), "{text:?}: {all:?}");
    }
    published.publish(&mut fleet.publisher(), "good", &purge_event(1));
    assert_complete(&subscribers, &published, &fleet);
}

/// An external control feed ends streams within an event and has one event that can't be parsed. Numbers must stay the
/// same, and the subscriber must apply each event once.
#[test]
fn external_feed_with_faults() {
    let mut fleet = RelayFleet::new(26, 0, 1, "");
    let feed = TcpListener::bind((fleet.ip(250), 7_099)).expect("a feed");
    fleet.add_upstream(feed.local_addr().expect("its address"));
    let event = |n: u64| match n {
        1 => format!("id: 1\ndata: {{\"n\":1,{}\n\n", &LIST_EVENT[1..]),
        5 => "id: 5\ndata: {\"n\":5,\"purge\":{\"key\"\n\n".into(),
        n => format!("id: {n}\ndata: {{\"n\":{n},{}\n\n", &purge_event(n)[1..]),
    };
    spawn(move || {
        for (call, mut stream) in feed.incoming().map_while(Result::ok).enumerate() {
            let mut head = [0; 1_024];
            let n = stream.read(&mut head).unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..n]).into_owned();
            if head.starts_with("POST /v1/hierarchy/in-force") {
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
                continue;
            }
            let last = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")?.trim().parse().ok());
            let mut text = String::from("HTTP/1.1 200 OK\r\n\r\n: tick\n\n");
            (last.unwrap_or(0) + 1..=9).for_each(|n| text += &event(n));
            // The first three streams end within an event.
            let cut = if call < 3 { text.len().min(150 + 90 * call) } else { text.len() };
            let _ = stream.write_all(&text.as_bytes()[..cut]);
            sleep(ms(if call < 3 { 10 } else { 300 }));
        }
    });
    fleet.start_relay(0);
    let subscriber = fleet.subscriber(1, 0);
    assert!(wait_until(TIMEOUT, || subscriber.last() >= 9), "{}", fleet.logs());
    let received = subscriber.received();
    assert_eq!(received.events.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (1..=9).collect::<Vec<_>>());
    assert!(received.events[4].1.contains("\"endpoints\":[]"), "{}", received.events[4].1);
    assert!(fleet.logs().contains("event 5"), "{}", fleet.logs());
    // A report of the applied hierarchy is forwarded to the feed.
    let report = br#"{"party":"n","number":1,"digest":"00"}"#;
    let response = PeerClient::new(fleet.address(0), TIMEOUT, 1 << 10).request(
        "POST",
        "/v1/hierarchy/in-force",
        "",
        report,
    );
    assert_eq!(response.expect("an answer").code, 204);
}

/// Subscribers with a listening address of their own are identified by it and are expected from the start: one that
/// never connects must be named as missing.
#[test]
fn named_subscribers() {
    let mut fleet = RelayFleet::new(27, 1, 0, "");
    let at: Vec<SocketAddr> = (0..3).map(|i| (fleet.ip(240), 7_100 + i).into()).collect();
    at.iter().zip(["n5", "n6", "n7"]).for_each(|(at, name)| fleet.add_reader(name, *at));
    fleet.start_relay(0);
    let mut published = fleet.publish_list();
    // Both connect from the same IP address.
    let subscribers = [0, 1].map(|i| Subscriber::start(fleet.ip(1), at[i], &[]));
    let n = published.publish(&mut fleet.publisher(), "p", &purge_event(1));
    let applied = || merge_statuses(&[fleet.status(0).expect("a status")]).applied_status(n);
    assert!(wait_until(TIMEOUT, || applied().since_unix_ms.is_some()), "{}", fleet.logs());
    let missing = applied().missing;
    assert_eq!(missing.iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["n7"]);
    assert_eq!(missing[0].last_seen_unix_ms, None);
    assert_complete(&subscribers, &published, &fleet);
}
