//! The director as a process on loopback, against stubs of clients, nodes and the discovery feed.

mod help;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use help::*;

#[test]
fn responses_are_complete_and_may_be_out_of_order() {
    let harness = Harness::start();
    let mut client = harness.client();
    assert!(client.is_healthy());
    client.send_request(1, 0x77, 2_000);
    let first = harness.cache.expect_pull();
    let expected = "PULL 0000000100000077 class=footage,key=0000000000000077,part=0,wait=";
    assert!(first.line.starts_with(expected), "{}", first.line);
    assert_eq!(first.field("miss"), Some("parent-a"));
    assert_eq!((first.field("prio"), first.field("f")), (Some("1"), Some("collapse")));
    let wait: u64 = first.field("wait").and_then(|w| w.parse().ok()).expect("a time");
    assert!((1_500..2_000).contains(&wait), "{wait}");
    client.send_request_with(2, 0x78, 2_000, &[("ver", "t9")]);
    let second = harness.cache.expect_pull();
    assert_ne!(first.connection, second.connection, "a body would block the answers behind it");
    assert_eq!((first.field("mine"), second.field("mine")), (None, Some("t9")));
    second.answer("NOMOD", "how=HIT,entity=t9,issued=1", b"");
    assert_eq!(
        client.read_response(),
        (2, Response::Success(vec![], vec![("unchanged".into(), "1".into())]))
    );
    let body: Vec<u8> = (0..240_000_u32).map(|i| (i * 7 % 251) as u8).collect();
    first.answer("ACK", "how=MISS,entity=t1,issued=1", &body);
    client.assert_success(1, &body);
    client.send_request(3, 0x79, 2_000);
    let third = harness.cache.expect_pull();
    assert!([first.connection, second.connection].contains(&third.connection), "idle connections are reused");
    third.answer("ACK", "how=HIT,entity=t1,issued=1", b"");
    client.assert_success(3, b"");
    // A full answer with the tag of the client's copy is passed on as unchanged. An unchanged copy that the client does
    // not hold is not a usable answer.
    client.send_request_with(4, 0x7a, 2_000, &[("ver", "t4")]);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t4,issued=1", b"not sent");
    assert_eq!(
        client.read_response(),
        (4, Response::Success(vec![], vec![("unchanged".into(), "1".into())]))
    );
    client.send_request(5, 0x7b, 2_000);
    harness.cache.expect_pull().answer("NOMOD", "how=HIT,entity=t5,issued=1", b"");
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t5,issued=1", b"whole");
    client.assert_success(5, b"whole");
    let counters = harness.current_counters();
    assert_eq!((counters["satisfied"], counters["unchanged"], counters["links"]), (5, 2, 2));
    assert_eq!((counters["ok"], counters["error"]), (5, 1));
}

#[test]
fn each_answer_status_maps_to_its_outcome() {
    let cases = [("NOENT", "miss"), ("AGAIN", "full"), ("EIO", "error"), ("STALE", "never_sent")];
    for (status, counter) in cases {
        let harness = Harness::start();
        let mut client = harness.client();
        client.send_request(1, 0x77, 1_000);
        let first = harness.cache.expect_pull();
        first.answer(status, "-", b"");
        // The router may choose further attempts; each of them gets the same answer.
        let mut attempts = 1;
        client.0.set_read_timeout(Some(Duration::from_millis(20))).expect("set");
        while client.0.peek(&mut [0]).is_err() {
            for node in [&harness.cache, &harness.parent] {
                if let Ok(message) = node.messages.try_recv() {
                    message.answer(status, "-", b"");
                    attempts += 1;
                }
            }
            assert!(attempts < 7, "{status}");
        }
        assert_eq!(client.assert_rejected(), 1, "{status}");
        assert_eq!(harness.current_counters()[counter], attempts, "{status}");
    }
}

#[test]
fn a_silent_node_does_not_delay_the_response_past_its_deadline() {
    let harness = Harness::start();
    let mut client = harness.client();
    let start = Instant::now();
    client.send_request(1, 0x77, 500);
    let pull = harness.cache.expect_pull();
    assert_eq!(client.assert_rejected(), 1);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    assert_eq!(harness.cache.next_message().line, format!("KILL {}", pull.request_id()));
    assert_eq!(
        harness.cache.next_message().line,
        "closed",
        "a connection that was silent since the attempt is not reused"
    );
    client.send_request(2, 0x78, 500);
    assert_ne!(harness.cache.expect_pull().connection, pull.connection);
    let counters = harness.current_counters();
    assert_eq!((counters["nacked"], counters["in_hand"]), (1, 1));
}

/// Guards against missing responses: a budget of 0 or 1 ms is shorter than a request takes through the director.
#[test]
fn a_request_with_almost_no_budget_gets_a_response() {
    let harness = Harness::start();
    let mut client = harness.client();
    for (call, budget_ms) in [(1, 0), (2, 0), (3, 1), (4, 1)] {
        client.send_request(call, 0x77, budget_ms);
        assert_eq!(client.assert_rejected(), call);
    }
    let counters = harness.current_counters();
    assert_eq!((counters["nacked"], counters["unsent"]), (4, 0));
    harness.cache.assert_no_message();
}

#[test]
fn a_cancelled_request_is_killed_and_its_late_answer_discarded() {
    let harness = Harness::start();
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    let first = harness.cache.expect_pull();
    client.write(b"\x93\x02\xadcancelRequest\x91\x01");
    assert_eq!(harness.cache.next_message().line, format!("KILL {}", first.request_id()));
    first.answer("ACK", "how=HIT,entity=t1,issued=1", b"late");
    client.send_request(2, 0x78, 2_000);
    let second = harness.cache.expect_pull();
    assert_eq!(second.connection, first.connection, "the connection is reused");
    second.answer("ACK", "how=HIT,entity=t1,issued=1", b"own");
    client.assert_success(2, b"own");
    // A connection that was silent for longer than the silence threshold may be blocked and is not reused.
    client.send_request(4, 0x7a, 4_000);
    let stuck = harness.cache.expect_pull();
    thread::sleep(Duration::from_millis(400));
    client.write(b"\x93\x02\xadcancelRequest\x91\x04");
    assert_eq!(harness.cache.next_message().line, format!("KILL {}", stuck.request_id()));
    assert_eq!(harness.cache.next_message().line, "closed");
    // A disconnect cancels all requests of a client.
    client.send_request(3, 0x79, 2_000);
    let third = harness.cache.expect_pull();
    drop(client);
    assert_eq!(harness.cache.next_message().line, format!("KILL {}", third.request_id()));
    let counters = harness.current_counters();
    assert_eq!((counters["cancelled"], counters["satisfied"], counters["called_off"]), (3, 1, 3));
}

#[test]
fn a_faulty_answer_closes_only_its_own_connection() {
    type Fault = fn(&NodeMessage);
    let cases: [(&str, Fault); 7] = [
        ("malformed length", |t| t.write(b"0123456789abcdef ACK - x\r\n")),
        ("reset", |t| t.stream.shutdown(Shutdown::Both).expect("shut")),
        ("malformed line", |t| t.write(b"what is this\r\n")),
        ("endless line", |t| t.write(&[b'x'; 5_000])),
        ("too long", |t| t.write(format!("{} ACK - 240001\r\n", t.request_id()).as_bytes())),
        ("wrong length", |t| t.write(format!("{} ACK - 2\r\nlonger\r\n", t.request_id()).as_bytes())),
        ("truncated", |t| {
            t.write(format!("{} ACK entity=t1 9\r\nhalf", t.request_id()).as_bytes());
            t.stream.shutdown(Shutdown::Both).expect("shut");
        }),
    ];
    for (name, fault) in cases {
        let harness = Harness::start();
        let mut client = harness.client();
        client.send_request(1, 0x77, 2_000);
        let first = harness.cache.expect_pull();
        fault(&first);
        let again = harness.cache.next_pull();
        assert_ne!(again.connection, first.connection, "{name}");
        again.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        client.assert_success(1, b"whole");
        assert_eq!(harness.current_counters()["broken"], 1, "{name}");
    }
}

#[test]
fn an_attempt_on_a_connection_that_was_not_established_is_retried() {
    // The first address refuses connections; the second leaves them unanswered, as its backlog is full.
    let silent = DelayedNodeStub::start();
    let refusing = SocketAddr::from(([127, 0, 0, 1], 1));
    for (address, dial) in [(refusing, 0), (silent.address, 350)] {
        let harness = Harness::with_config(|config| with_node_address(&config, "cache-a", address));
        let (mut client, start) = (harness.client(), Instant::now());
        client.send_request(1, 0x77, 2_000);
        assert!(harness.client().is_healthy(), "clients are served while a connection is being established");
        let pull = harness.parent.expect_pull();
        assert!(start.elapsed() >= Duration::from_millis(dial), "{address} {:?}", start.elapsed());
        assert_eq!(pull.field("miss"), Some("origin"));
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"from the parent");
        client.assert_success(1, b"from the parent");
        assert_eq!(harness.current_counters()["unconnected"], 1);
    }
}

#[test]
fn invalid_messages_affect_only_their_own_client() {
    // Enough caches for the router to accept as many requests as a client may have open.
    let harness = Harness::with_config(|config| with_more_caches(&config));
    let mut good = harness.client();
    let garbage: [&[u8]; 3] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xc1], &[0x94, 0, 1, 0xc6, 0xff, 0xff, 0xff, 0xff]];
    for bytes in garbage {
        let mut bad = harness.client();
        bad.write(bytes);
        bad.assert_closed();
    }
    let mut bad = harness.client();
    bad.write(b"\x94\x00\x05\xa5other\x92\x80\xc4\x00");
    assert_eq!(bad.read_response(), (5, Response::Error("Failed".into(), vec![])));
    // A request whose id is in use for another object fails; for the same object, the id may be used again.
    let mut first = harness.client();
    first.send_request(9, 0x55, 3_000);
    bad.send_request(9, 0x55, 3_000);
    bad.send_request_with(8, 0x56, 3_000, &[("rid", "0000000900000055")]);
    assert_eq!(bad.read_response(), (8, Response::Error("Failed".into(), vec![])));
    // Many unusable messages on one connection: it is closed.
    let mut unusable_client = harness.client();
    let unusable_messages: Vec<u8> =
        (1..=20).flat_map(|n| [&[0x94, 0, n], &b"\xa5other\x92\x80\xc4\x00"[..]].concat()).collect();
    unusable_client.write(&unusable_messages);
    unusable_client.0.set_read_timeout(Some(LONG_TIMEOUT)).expect("set");
    let mut rest = Vec::new();
    let _ = unusable_client.0.read_to_end(&mut rest);
    assert!(rest.len() < 20 * 12, "{}", rest.len());
    // A truncated message does not affect other clients.
    bad.write(&[0x94, 0, 6, 0xa7]);
    assert!(good.is_healthy());
    for call in 1..=32 {
        good.send_request(call, u64::from(call), 3_000);
    }
    good.send_request(33, 33, 3_000);
    assert_eq!(good.assert_rejected(), 33, "too many open calls");
    // A call number that is in use: the client could not tell the two responses apart, so it is disconnected.
    good.send_request(32, 34, 3_000);
    good.assert_closed();
    for again in [&b"\x94\x00\x01\xa5alive\x91\x80"[..], b"\x94\x00\x01\xa5other\x91\x80"] {
        let mut client = harness.client();
        client.send_request(1, 0x99, 3_000);
        client.write(again);
        client.assert_closed();
    }
    assert!(harness.client().is_healthy());
    let counters = harness.current_counters();
    assert_eq!((counters["cancelled"], counters["crowded"], counters["unfit"]), (34, 1, 9));
}

#[test]
fn partial_messages_and_idle_connections_are_bounded() {
    // The limits allow 2 MB of bodies and 29 clients.
    let harness = Harness::with_config(|config| {
        config
            .replace("\"memory_mb\": 192", "\"memory_mb\": 8")
            .replace("\"sockets\": 1024", "\"sockets\": 64")
    });
    let mut good = harness.client();
    assert!(good.is_healthy());
    let partial_message =
        [&[0x94, 0, 1, 0xa7][..], b"footage", &[0x92, 0x80, 0xc6, 0, 3, 0xa9, 0x80], &[0; 200_000]].concat();
    let mut partial_clients: Vec<Client> = (0..20).map(|_| harness.client()).collect();
    // At most eight of these messages find room: the others are discarded. Then all of these connections time out.
    let start = Instant::now();
    partial_clients.iter_mut().for_each(|client| client.write(&partial_message));
    harness.wait_for_counter("skipped_messages", 12);
    let discarded = harness.current_counters()["skipped_messages"];
    assert!((12..20).contains(&discarded), "{discarded} of 20 discarded");
    harness.wait_for_counter("bad_messages", 20);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    drop(partial_clients);
    // Connections that sent nothing or a partial message are closed to make room for others, or by their timeout.
    good.send_request(1, 0x77, 4_000);
    let open = harness.cache.expect_pull();
    let start = Instant::now();
    let mut idle_clients: Vec<Client> = (0..60).map(|_| harness.client()).collect();
    idle_clients.iter_mut().skip(30).for_each(|client| client.write(&[0x94, 0, 1]));
    // A client that sends a complete message and a part of the next one together.
    let mut mixed_client = harness.client();
    mixed_client.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80\x94\x00");
    assert_eq!(mixed_client.read_response(), (255, Response::Health(true)));
    for call in 2..=40 {
        let mut new = harness.client();
        new.send_request(call, u64::from(call), 2_000);
        harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
        new.assert_success(call, b"new");
    }
    idle_clients.iter_mut().for_each(Client::assert_closed);
    mixed_client.assert_closed();
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    good.assert_success(1, b"served");
    let counters = harness.current_counters();
    assert!(counters["made_room"] + counters["idle_closed"] >= 60, "{counters:?}");
    assert_eq!(counters["turned_away"], 0);
    assert!(counters["threads"] < 20, "there is no thread per client connection: {}", counters["threads"]);
}

#[test]
fn a_client_that_does_not_read_delays_no_other_client() {
    let harness = Harness::start();
    let (mut slow, mut quick) = (harness.client(), harness.client());
    let body = vec![7; 240_000];
    for call in 1..=30 {
        slow.send_request(call, u64::from(call), 3_000);
        harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", &body);
    }
    let start = Instant::now();
    quick.send_request(1, 0x99, 2_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"quick");
    quick.assert_success(1, b"quick");
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    // The responses that the slow client reads in time are complete, in any order.
    for _ in 0..2 {
        assert!(slow.read_response().1 == Response::Success(body.clone(), vec![]));
    }
}

#[test]
fn the_event_stream_resumes_after_the_last_applied_event() {
    let harness = Harness::start();
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 1, "after the event of the configuration");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let purge = |n: u64| format!("{{\"n\":{n},\"purge\":{{\"group\":17,\"at\":{}}}}}", now.as_millis());
    send_event(&stream, 2, &purge(2));
    send_event(&stream, 2, &purge(2));
    // A truncated event is requested again. If it is unreadable again, it is skipped.
    (&stream).write_all(b"id: 3\ndata: {\"n\":3,\"pur\n\n").expect("written");
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 2);
    send_event(&stream, 3, "{\"n\":3,\"odd\":{}}");
    harness.wait_for_log("feed skipped n=3");
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    let pull = harness.cache.expect_pull();
    let within: u64 = pull.field("within").and_then(|w| w.parse().ok()).expect("an age");
    assert!(within <= now.as_millis() as u64, "copies from before the purge are excluded: {within}");
    pull.answer("ACK", "how=MISS,entity=t1,issued=1", b"new");
    client.assert_success(1, b"new");
    // Event 4 is missing: it is requested again.
    send_event(&stream, 5, &purge(5));
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 3);
    send_event(&stream, 4, &endpoint_event(4, "cache-a", harness.cache.address, "draining"));
    drop(stream);
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 4);
    client.send_request(2, 0x78, 2_000);
    assert!(
        harness.parent.expect_pull().line.contains("key=0000000000000078"),
        "a draining node gets no attempts"
    );
    harness.cache.assert_no_message();
    // The same gap twice: the missing event is not available and is skipped.
    send_event(&stream, 6, &purge(6));
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 4);
    send_event(&stream, 6, &purge(6));
    // A stream that ends in the middle of an event leaves nothing of it.
    (&stream).write_all(b"id: 7\ndata: {\"n\":7,\"purge\"").expect("written");
    drop(stream);
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 6);
    send_event(&stream, 7, &purge(7));
    harness.wait_for_discovery_events(5);
    let counters = harness.current_counters();
    assert_eq!((counters["facts"], counters["feed_gaps"], counters["feed_skipped"]), (5, 3, 1));
}

#[test]
fn the_feed_is_called_again_after_errors_and_silence() {
    let harness = Harness::start();
    harness.feed.accept_call_with("HTTP/1.1 503 Busy\r\n\r\n");
    harness.feed.accept_call_with("what is this\r\n\r\n");
    // Chunked encoding, with the bytes split at arbitrary places.
    let (_, stream) = harness.feed.accept_call_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let event =
        format!("id: 2\r\ndata: {}\r\n\r\n", endpoint_event(2, "cache-a", harness.cache.address, "draining"));
    let (one, two) = event.split_at(30);
    for part in [one, two] {
        let cut = format!("{:x}\r\n{part}\r\n", part.len());
        for bytes in cut.as_bytes().chunks(7) {
            (&stream).write_all(bytes).expect("written");
        }
    }
    harness.wait_for_discovery_events(2);
    // A silent stream on an open connection counts as dead after 2 s. Stop and continue signals, as a process limited to a
    // part of a core gets them, interrupt reads: this must not restart the timeout.
    let start = Instant::now();
    let process = harness.child.id();
    let signals = thread::spawn(move || {
        while start.elapsed() < Duration::from_millis(3_500) {
            ["STOP", "CONT"].iter().for_each(|name| signal(process, name));
            thread::sleep(Duration::from_millis(50));
        }
    });
    let (last, stream) = harness.feed.accept_call();
    let took = start.elapsed();
    signals.join().expect("ends");
    assert_eq!(last, 2);
    assert!((1_900..3_300).contains(&took.as_millis()), "{took:?}");
    send_event(&stream, 3, &endpoint_event(3, "cache-a", harness.cache.address, "ready"));
    harness.wait_for_discovery_events(3);
}

#[test]
fn a_reloaded_configuration_changes_the_feed() {
    let mut harness = Harness::start();
    let (last, old) = harness.feed.accept_call();
    assert_eq!(last, 1);
    send_event(&old, 2, &endpoint_event(2, "cache-a", harness.cache.address, "draining"));
    harness.wait_for_discovery_events(2);
    // An invalid file changes nothing.
    let text = std::fs::read_to_string(&harness.config_path).expect("read");
    std::fs::write(&harness.config_path, text.replace("\"feed\"", "\"fed\"")).expect("written");
    harness.signal("HUP");
    harness.wait_for_log("reload failed, the old configuration stays: feed: missing");
    send_event(&old, 3, &endpoint_event(3, "cache-a", harness.cache.address, "ready"));
    harness.wait_for_discovery_events(3);
    // The new file has further events; those that are known already are not applied again.
    let feed = FeedStub(TcpListener::bind("127.0.0.1:0").expect("bound"));
    let at = feed.0.local_addr().expect("bound").to_string();
    let known: Vec<String> =
        (1..=4).map(|n| endpoint_event(n, "cache-a", harness.cache.address, "draining")).collect();
    let (from, to) =
        (text.find("\"events\": [").expect("known") + 10, text.find("\n  \"settings\"").expect("set"));
    let new = format!("{}[{}]}},{}", &text[..from], known.join(","), &text[to..]);
    let new = new.replace(&harness.feed.0.local_addr().expect("bound").to_string(), &at);
    std::fs::write(&harness.config_path, new.replace("\"cores\": 1.0", "\"cores\": 0.5")).expect("written");
    let start = Instant::now();
    harness.signal("HUP");
    let (last, stream) = feed.accept_call();
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "the feed changes at once, not when the old stream ends"
    );
    assert_eq!(last, 4, "event numbers continue");
    harness.wait_for_discovery_events(4);
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    harness.parent.expect_pull().answer(
        "ACK",
        "how=MISS,entity=t1,issued=1",
        b"not from the one that drains",
    );
    client.assert_success(1, b"not from the one that drains");
    send_event(&stream, 5, &endpoint_event(5, "cache-a", harness.cache.address, "ready"));
    harness.wait_for_discovery_events(5);
    assert!(harness.child.try_wait().expect("waited").is_none());
    harness.feed = feed;
}

#[test]
fn a_new_node_at_a_known_address_gets_a_new_connection() {
    let harness = Harness::start();
    let (_, stream) = harness.feed.accept_call();
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    let old = harness.cache.expect_pull();
    old.answer("ACK", "how=HIT,entity=t1,issued=1", b"old");
    client.assert_success(1, b"old");
    send_event(&stream, 2, &endpoint_event(2, "cache-a", harness.cache.address, "gone"));
    assert_eq!(harness.cache.next_message().line, "closed");
    send_event(&stream, 3, &endpoint_event(3, "cache-b", harness.cache.address, "ready"));
    harness.wait_for_discovery_events(3);
    client.send_request(2, 0x78, 2_000);
    let new = harness.cache.expect_pull();
    assert_ne!(new.connection, old.connection);
    new.answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
    client.assert_success(2, b"new");
}

/// Guards against work for a node that goes to another one: a new node is listed at the address of one whose end has not
/// been told yet.
#[test]
fn a_new_node_at_the_address_of_a_listed_one_takes_its_place() {
    let harness = Harness::start();
    let (_, stream) = harness.feed.accept_call();
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    let old = harness.cache.expect_pull();
    old.answer("ACK", "how=HIT,entity=t1,issued=1", b"old");
    client.assert_success(1, b"old");
    send_event(&stream, 2, &endpoint_event(2, "cache-b", harness.cache.address, "ready"));
    harness.wait_for_log("node 0 is gone");
    assert_eq!(harness.cache.next_message().line, "closed");
    for object in 0..20 {
        client.send_request(2, object, 2_000);
        let new = harness.cache.expect_pull();
        assert_ne!(new.connection, old.connection);
        new.answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
        client.assert_success(2, b"new");
    }
    assert_eq!(harness.current_counters()["links"], 2, "no further node is at that address");
    // The end of the old node is told late, and the old one comes back elsewhere.
    send_event(&stream, 3, &endpoint_event(3, "cache-a", harness.cache.address, "draining"));
    harness.wait_for_discovery_events(3);
    client.send_request(2, 0x99, 2_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
    client.assert_success(2, b"new");
    let elsewhere = NodeStub::start();
    send_event(&stream, 4, &endpoint_event(4, "cache-a", elsewhere.address, "ready"));
    harness.wait_for_discovery_events(4);
    (0..20).for_each(|object| client.send_request(object as u8 + 3, object, 2_000));
    let is_pull = |line: &str| line.starts_with("PULL ");
    assert!(is_pull(&elsewhere.next_message().line) && is_pull(&harness.cache.next_message().line));
}

/// Guards against work for a new process that goes out on a connection to the old one, which may be silent for ever.
#[test]
fn a_node_that_has_started_again_gets_new_connections() {
    let harness = Harness::start();
    let (_, stream) = harness.feed.accept_call();
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"old");
    client.assert_success(1, b"old");
    let event = endpoint_event(2, "cache-a", harness.cache.address, "ready");
    send_event(&stream, 2, &event);
    harness.wait_for_discovery_events(2);
    harness.cache.assert_no_message();
    let started_again =
        event.replace("\"n\":2", "\"n\":3").replace("\"since_ms\":0", &format!("\"since_ms\":{}", unix_ms()));
    send_event(&stream, 3, &started_again);
    assert_eq!(harness.cache.next_message().line, "closed");
}

#[test]
fn shutdown_waits_for_open_requests() {
    let mut harness = Harness::start();
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_500);
    let open = harness.cache.expect_pull();
    harness.signal("TERM");
    harness.wait_for_log("stopping in_flight=1");
    let mut late_client = harness.client();
    assert!(!late_client.is_healthy(), "health checks report that the director is not ready");
    late_client.send_request(2, 0x78, 2_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"late");
    late_client.assert_success(2, b"late");
    thread::sleep(Duration::from_millis(900));
    assert_eq!(harness.child.try_wait().expect("waited"), None, "a request is open");
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"open");
    client.assert_success(1, b"open");
    client.assert_closed();
    let counters = harness.next_counters();
    assert_eq!((counters["taken"], counters["satisfied"], counters["in_hand"]), (2, 2, 0));
    assert!(harness.child.wait().expect("ends").success());
}

#[test]
fn a_failed_start_logs_one_line() {
    let path = std::env::temp_dir().join(format!("sablecross-{}-bad.json", std::process::id()));
    std::fs::write(&path, SAMPLE.replace("\"snapshot\": true", "\"snapshot\": 7")).expect("written");
    let cases = [
        (None, "NODE_CONFIG: not set"),
        (Some("/nowhere".into()), "NODE_CONFIG: /nowhere"),
        (Some(path.clone()), "known.events: event 1"),
    ];
    for (config, words) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sablecross-director"));
        command.env_remove("NODE_CONFIG");
        config.map(|c| command.env("NODE_CONFIG", c));
        let out = command.output().expect("runs");
        let err = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && err.contains(words) && err.lines().count() == 1, "{words}: {err}");
    }
    std::fs::remove_file(path).expect("removed");
}

/// A configuration may name further feeds with the same events. While the first feed is down, one of the others is followed
/// from the same event number.
#[test]
fn another_feed_is_followed_while_the_first_is_down() {
    let other = FeedStub(TcpListener::bind("127.0.0.1:0").expect("bound"));
    let at = other.0.local_addr().expect("bound");
    let harness = Harness::with_config(|config| {
        config.replacen("\"feed\"", &format!("\"feeds\": [\"{at}\"], \"feed\""), 1)
    });
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 1);
    let purge = |n: u64| format!("{{\"n\":{n},\"purge\":{{\"group\":17,\"at\":1}}}}");
    send_event(&stream, 2, &purge(2));
    harness.wait_for_discovery_events(2);
    // The end of a stream is not a failure: the same feed is called again.
    drop(stream);
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 2);
    drop(stream);
    harness.feed.accept_call_with("HTTP/1.1 503 Busy\r\n\r\n");
    let (last, stream) = other.accept_call();
    assert_eq!(last, 2);
    harness.wait_for_log("feed over after=2 why=answer 503");
    send_event(&stream, 3, &purge(3));
    harness.wait_for_discovery_events(3);
}
