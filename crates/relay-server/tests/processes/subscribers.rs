//! Subscribers that are slow, gone or many, and what can't be used of what is sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::common::{
    LIST, Load, Published, RelayFleet, Subscriber, TIMEOUT, assert_complete, connect_from, large, ms, purge,
    wait_until,
};
use sablecross_relay::{RelayStatus, merge_statuses};
use sablecross_relay_server::peer_client::{HttpResponse, PeerClient};

/// The most memory that a process has had, in KB.
fn max_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("its most memory");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// Reads a byte a second, with a small window.
fn slow(from: std::net::IpAddr, at: SocketAddr) {
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

/// Thirty subscribers at a byte a second hold little memory, and the others are sent events in time.
#[test]
fn slow_subscribers_delay_nobody() {
    let fleet = RelayFleet::start(21, 1, 0, "(stuck-ms . 60000) (ack-ms . 60000) (missed-ms . 120000)");
    let mut published = fleet.publish_list();
    let mut publisher = fleet.publisher();
    let subscribers = fleet.subscribers(4);
    (0..30).for_each(|i| slow(fleet.ip(100 + i), fleet.at(0)));
    let mut max_delay = Duration::ZERO;
    for i in 0..100 {
        let n = published.publish(&mut publisher, &format!("l{i}"), &large(60_000, i + 2));
        let published_at = Instant::now();
        assert!(wait_until(TIMEOUT, || subscribers.iter().all(|r| r.last() >= n)), "{}", fleet.logs());
        max_delay = max_delay.max(published_at.elapsed());
    }
    assert_complete(&subscribers, &published, &fleet);
    // 6 MB of log; thirty subscribers with all of it would be 180 MB.
    let memory = max_memory(fleet.pid(0));
    assert!(memory < 48_000, "{memory} KB");
    assert!(max_delay < ms(1_500), "a subscriber that reads in time was sent an event after {max_delay:?}");
}

fn statuses(fleet: &RelayFleet) -> Vec<RelayStatus> {
    (0..4).filter_map(|n| fleet.status(n)).collect()
}

/// Three in ten are gone at once: those that are left have applied it in time, and who is missing is named.
#[test]
fn three_in_ten_gone() {
    let fleet = RelayFleet::start(22, 3, 1, "");
    let mut published = fleet.publish_list();
    let mut subscribers = fleet.subscribers(40);
    let n = published.publish(&mut fleet.publisher(), "before", &purge(1));
    let everywhere = |n: u64| {
        wait_until(TIMEOUT, || merge_statuses(&statuses(&fleet)).applied_status(n).since_unix_ms.is_some())
    };
    assert!(everywhere(n), "{}", fleet.logs());
    let gone = subscribers.split_off(28);
    gone.iter().for_each(|r| r.set_away(true));
    let n = published.publish(&mut fleet.publisher(), "after", &purge(2));
    let begun = Instant::now();
    assert!(everywhere(n), "{}", fleet.logs());
    assert!(begun.elapsed() < ms(7_000), "applied at the others after {:?}", begun.elapsed());
    let applied = merge_statuses(&statuses(&fleet)).applied_status(n);
    let mut missing: Vec<String> = applied.missing.iter().map(|m| m.name.clone()).collect();
    missing.sort();
    let mut names: Vec<String> = (29..=40).map(|i| fleet.ip(i).to_string()).collect();
    names.sort();
    assert_eq!(missing, names);
    // They come back, and nothing is missing any more.
    gone.iter().for_each(|r| r.set_away(false));
    let back = || merge_statuses(&statuses(&fleet)).applied_status(n).missing.is_empty();
    assert!(wait_until(TIMEOUT, back), "{}", fleet.logs());
    subscribers.extend(gone);
    assert_complete(&subscribers, &published, &fleet);
}

/// A thousand purges within a second or so.
#[test]
fn burst() {
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
                    own.publish(&mut publisher, &format!("b{p}-{i}"), &purge(p << 32 | i));
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

/// An event larger than a batch goes alone, between others, in one piece and in order.
#[test]
fn larger_than_a_batch() {
    let fleet = RelayFleet::start(24, 3, 1, "(batch-bytes . 4096)");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(4);
    let load = Load::start(fleet.publisher(), 1, ms(5));
    for i in 0..5 {
        published.publish(&mut fleet.publisher(), &format!("large{i}"), &large(40_000, i + 2));
    }
    published.0.extend(load.finish().0);
    assert_complete(&subscribers, &published, &fleet);
}

/// What can't be used is answered with what and where; the connection ends without a reset, and nothing is lost.
#[test]
fn malformed_events() {
    let fleet = RelayFleet::start(25, 3, 1, "(event-bytes . 20000)");
    let mut published = fleet.publish_list();
    let subscribers = fleet.subscribers(4);
    let at = fleet.at(fleet.leader());
    let publish = |event: &[u8]| {
        let HttpResponse { code, body } = PeerClient::new(at, TIMEOUT, 1 << 20)
            .request("POST", "/v1/events", "", event)
            .expect("an answer");
        (code, String::from_utf8_lossy(&body).into_owned())
    };
    let oversized = large(3_000_000, 3);
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
        let (got, reason) = publish(event);
        assert!(got == code && reason.contains(what), "{got} {reason}, where {code} {what} was due");
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
    published.publish(&mut fleet.publisher(), "good", &purge(1));
    assert_complete(&subscribers, &published, &fleet);
}

/// An outside control feed that is cut within an event, and has one that can't be read: numbers stay the same, nothing is sent twice.
#[test]
fn outside_feed() {
    let mut fleet = RelayFleet::new(26, 0, 1, "");
    let feed = TcpListener::bind((fleet.ip(250), 7_099)).expect("a feed");
    fleet.upstream(feed.local_addr().expect("its address"));
    let event = |n: u64| match n {
        1 => format!("id: 1\ndata: {{\"n\":1,{}\n\n", &LIST[1..]),
        5 => "id: 5\ndata: {\"n\":5,\"purge\":{\"key\"\n\n".into(),
        n => format!("id: {n}\ndata: {{\"n\":{n},{}\n\n", &purge(n)[1..]),
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
            // The first calls end within an event.
            let cut = if call < 3 { text.len().min(150 + 90 * call) } else { text.len() };
            let _ = stream.write_all(&text.as_bytes()[..cut]);
            sleep(ms(if call < 3 { 10 } else { 300 }));
        }
    });
    fleet.start_relay(0);
    let subscriber = fleet.subscriber(1, 0);
    assert!(wait_until(TIMEOUT, || subscriber.last() >= 9), "{}", fleet.logs());
    let got = subscriber.got();
    assert_eq!(got.events.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (1..=9).collect::<Vec<_>>());
    assert!(got.events[4].1.contains("\"endpoints\":[]"), "{}", got.events[4].1);
    assert!(fleet.logs().contains("event 5"), "{}", fleet.logs());
    // A report of the hierarchy is forwarded to the feed.
    let report = br#"{"party":"n","number":1,"digest":"00"}"#;
    let response =
        PeerClient::new(fleet.at(0), TIMEOUT, 1 << 10).request("POST", "/v1/hierarchy/in-force", "", report);
    assert_eq!(response.expect("an answer").code, 204);
}

/// Subscribers are known by the addresses they come in by, and waited for: one that never came is named.
#[test]
fn named_subscribers() {
    let mut fleet = RelayFleet::new(27, 1, 0, "");
    let at: Vec<SocketAddr> = (0..3).map(|i| (fleet.ip(240), 7_100 + i).into()).collect();
    at.iter().zip(["n5", "n6", "n7"]).for_each(|(at, name)| fleet.listens(name, *at));
    fleet.start_relay(0);
    let mut published = fleet.publish_list();
    // Both from one IP address.
    let subscribers = [0, 1].map(|i| Subscriber::start(fleet.ip(1), at[i], &[]));
    let n = published.publish(&mut fleet.publisher(), "p", &purge(1));
    let applied = || merge_statuses(&[fleet.status(0).expect("a status")]).applied_status(n);
    assert!(wait_until(TIMEOUT, || applied().since_unix_ms.is_some()), "{}", fleet.logs());
    let missing = applied().missing;
    assert_eq!(missing.iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["n7"]);
    assert_eq!(missing[0].last_seen_unix_ms, None);
    assert_complete(&subscribers, &published, &fleet);
}
