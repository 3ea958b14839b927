//! Readers that are slow, gone or many, and what can't be used of what is sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::common::{LIST, Load, PATIENCE, Published, Reader, Tier, complete, dial, large, ms, purge, until};
use sablecross_relay::{RelayStatus, merge_statuses};
use sablecross_relay_server::peer_client::{HttpResponse, PeerClient};

/// The most memory that a process held, in KB.
fn most_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("its most memory");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// One at a byte a second, with a small window.
fn slow(from: std::net::IpAddr, at: SocketAddr) {
    let stream = dial(from, at).expect("a connection");
    socket2::SockRef::from(&stream).set_recv_buffer_size(2_048).expect("a small window");
    (&stream).write_all(sablecross_discovery::events_request(at, 0).as_bytes()).expect("a call");
    spawn(move || {
        let mut byte = [0];
        while (&stream).read(&mut byte).is_ok_and(|n| n > 0) {
            sleep(ms(1_000));
        }
    });
}

/// Thirty readers at a byte a second hold little memory, and the others are told in time.
#[test]
fn slow_readers_delay_nobody() {
    let tier = Tier::start(21, 1, 0, "(stuck-ms . 60000) (ack-ms . 60000) (missed-ms . 120000)");
    let mut published = tier.listed();
    let mut publisher = tier.publisher();
    let readers = tier.readers(4);
    (0..30).for_each(|i| slow(tier.ip(100 + i), tier.at(0)));
    let mut most = Duration::ZERO;
    for i in 0..100 {
        let n = published.tell(&mut publisher, &format!("l{i}"), &large(60_000, i + 2));
        let told = Instant::now();
        assert!(until(PATIENCE, || readers.iter().all(|r| r.last() >= n)), "{}", tier.logs());
        most = most.max(told.elapsed());
    }
    complete(&readers, &published, &tier);
    // 6 MB of log; thirty readers that held all of it would be 180 MB.
    let held = most_memory(tier.pid(0));
    assert!(held < 48_000, "{held} KB");
    assert!(most < ms(1_500), "a reader in time was told after {most:?}");
}

fn statuses(tier: &Tier) -> Vec<RelayStatus> {
    (0..4).filter_map(|n| tier.status(n)).collect()
}

/// Three in ten are gone at once: those that are left have it in force in time, and who is missing is named.
#[test]
fn three_in_ten_gone() {
    let tier = Tier::start(22, 3, 1, "");
    let mut published = tier.listed();
    let mut readers = tier.readers(40);
    let n = published.tell(&mut tier.publisher(), "before", &purge(1));
    let everywhere = |n: u64| {
        until(PATIENCE, || merge_statuses(&statuses(&tier)).applied_status(n).since_unix_ms.is_some())
    };
    assert!(everywhere(n), "{}", tier.logs());
    let gone = readers.split_off(28);
    gone.iter().for_each(|r| r.goes(true));
    let n = published.tell(&mut tier.publisher(), "after", &purge(2));
    let begun = Instant::now();
    assert!(everywhere(n), "{}", tier.logs());
    assert!(begun.elapsed() < ms(7_000), "in force at the others after {:?}", begun.elapsed());
    let whole = merge_statuses(&statuses(&tier)).applied_status(n);
    let mut missing: Vec<String> = whole.missing.iter().map(|m| m.name.clone()).collect();
    missing.sort();
    let mut names: Vec<String> = (29..=40).map(|i| tier.ip(i).to_string()).collect();
    names.sort();
    assert_eq!(missing, names);
    // They come back, and nothing is missing any more.
    gone.iter().for_each(|r| r.goes(false));
    let back = || merge_statuses(&statuses(&tier)).applied_status(n).missing.is_empty();
    assert!(until(PATIENCE, back), "{}", tier.logs());
    readers.extend(gone);
    complete(&readers, &published, &tier);
}

/// A thousand purges within a second or so.
#[test]
fn burst() {
    let tier = Tier::start(23, 3, 1, "");
    let mut published = tier.listed();
    let readers = tier.readers(12);
    let begun = Instant::now();
    let publishers: Vec<_> = (0..20)
        .map(|p| {
            let mut publisher = tier.publisher();
            spawn(move || {
                let mut own = Published::default();
                for i in 0..50 {
                    own.tell(&mut publisher, &format!("b{p}-{i}"), &purge(p << 32 | i));
                }
                own
            })
        })
        .collect();
    for p in publishers {
        published.0.extend(p.join().expect("all are published").0);
    }
    let took = begun.elapsed();
    complete(&readers, &published, &tier);
    assert_eq!(published.0.len(), 1_001);
    assert!(begun.elapsed() < ms(8_000), "published in {took:?}, told after {:?}", begun.elapsed());
}

/// An event larger than a batch goes alone, between others, whole and in order.
#[test]
fn larger_than_a_batch() {
    let tier = Tier::start(24, 3, 1, "(batch-bytes . 4096)");
    let mut published = tier.listed();
    let readers = tier.readers(4);
    let load = Load::start(tier.publisher(), 1, ms(5));
    for i in 0..5 {
        published.tell(&mut tier.publisher(), &format!("large{i}"), &large(40_000, i + 2));
    }
    published.0.extend(load.over().0);
    complete(&readers, &published, &tier);
}

/// What can't be used is answered with what and where; the connection ends without a reset, and nothing is lost.
#[test]
fn faulty_events() {
    let tier = Tier::start(25, 3, 1, "(event-bytes . 20000)");
    let mut published = tier.listed();
    let readers = tier.readers(4);
    let at = tier.at(tier.owner());
    let said = |event: &[u8]| {
        let HttpResponse { code, body } = PeerClient::new(at, PATIENCE, 1 << 20)
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
        let (got, why) = said(event);
        assert!(got == code && why.contains(what), "{got} {why}, where {code} {what} was due");
    }
    assert!(tier.logs().contains("relay event rejected"), "{}", tier.logs());
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
    published.tell(&mut tier.publisher(), "good", &purge(1));
    complete(&readers, &published, &tier);
}

/// An outside control feed that is cut within an event, and has one that can't be read: numbers stay the same, nothing is told twice.
#[test]
fn outside_feed() {
    let mut tier = Tier::new(26, 0, 1, "");
    let feed = TcpListener::bind((tier.ip(250), 7_099)).expect("a feed");
    tier.upstream(feed.local_addr().expect("its address"));
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
    tier.begin(0);
    let reader = tier.reader(1, 0);
    assert!(until(PATIENCE, || reader.last() >= 9), "{}", tier.logs());
    let got = reader.got();
    assert_eq!(got.events.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (1..=9).collect::<Vec<_>>());
    assert!(got.events[4].1.contains("\"endpoints\":[]"), "{}", got.events[4].1);
    assert!(tier.logs().contains("event 5"), "{}", tier.logs());
    // A word on the hierarchy is passed on to whom the feed is.
    let word = br#"{"party":"n","number":1,"digest":"00"}"#;
    let said =
        PeerClient::new(tier.at(0), PATIENCE, 1 << 10).request("POST", "/v1/hierarchy/in-force", "", word);
    assert_eq!(said.expect("an answer").code, 204);
}

/// Readers are known by the addresses they come in by, and waited for: one that never came is named.
#[test]
fn named_readers() {
    let mut tier = Tier::new(27, 1, 0, "");
    let at: Vec<SocketAddr> = (0..3).map(|i| (tier.ip(240), 7_100 + i).into()).collect();
    at.iter().zip(["n5", "n6", "n7"]).for_each(|(at, name)| tier.listens(name, *at));
    tier.begin(0);
    let mut published = tier.listed();
    // Both from one IP address.
    let readers = [0, 1].map(|i| Reader::start(tier.ip(1), at[i], &[]));
    let n = published.tell(&mut tier.publisher(), "p", &purge(1));
    let in_force = || merge_statuses(&[tier.status(0).expect("a status")]).applied_status(n);
    assert!(until(PATIENCE, || in_force().since_unix_ms.is_some()), "{}", tier.logs());
    let missing = in_force().missing;
    assert_eq!(missing.iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["n7"]);
    assert_eq!(missing[0].last_seen_unix_ms, None);
    complete(&readers, &published, &tier);
}
