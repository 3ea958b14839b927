//! Races between events on the real process: drains, resets, disconnects and shutdowns while a request, an attempt or a
//! response is pending. Each test forces its race on loopback.

mod help;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use help::*;
use socket2::SockRef;

/// Guards against attempts that disregard a drain or purge: the event arrives while the attempt waits for its connection,
/// before its first byte is written.
#[test]
fn a_queued_attempt_is_not_begun_after_a_drain_or_a_purge() {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    type EventBuilder = Box<dyn Fn(SocketAddr, SocketAddr) -> String>;
    // The event, and whether the request can be served in another way.
    let cases: [(EventBuilder, bool); 5] = [
        (Box::new(|cache, _| endpoint_event(2, "cache-a", cache, "draining")), true),
        (Box::new(|cache, _| endpoint_event(2, "cache-a", cache, "gone")), true),
        (Box::new(|_, parent| parent_event(2, "parent-a", parent, "draining")), false),
        (
            Box::new(move |_, _| {
                format!("{{\"n\":2,\"purge\":{{\"group\":17,\"at\":{}}}}}", now.as_millis())
            }),
            true,
        ),
        (
            Box::new(move |_, _| {
                let at = now.as_millis();
                format!("{{\"n\":2,\"purge\":{{\"key\":\"0000000000000077\",\"at\":{at}}}}}")
            }),
            true,
        ),
    ];
    for (i, (event, has_alternative)) in cases.into_iter().enumerate() {
        let delayed_node = DelayedNodeStub::start();
        let harness = Harness::with_config(|config| with_delayed_node(&config, "cache-a", &delayed_node));
        let _old = harness.feed.accept_call();
        let mut client = harness.client();
        client.send_request(1, 0x77, 5_000);
        harness.wait_for_counter("sends", 1);
        harness.reload();
        let (_, feed) = harness.feed.accept_call();
        send_event(&feed, 2, &event(delayed_node.address, harness.parent.address));
        if has_alternative {
            harness.parent.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"another way");
            client.assert_success(1, b"another way");
        } else {
            assert_eq!(client.assert_rejected(), 1, "{i}");
        }
        // The connection may be established now, but must carry nothing before its end. The connection to a node that is
        // gone was closed before it was established.
        if i == 1 {
            assert_stops(harness);
        } else {
            assert_eq!(stop_and_read_connection(harness, &delayed_node), "", "{i}");
        }
    }
}

/// Guards against losing a complete answer that is followed by a reset of its connection.
#[test]
fn a_complete_answer_counts_although_its_connection_is_reset() {
    let harness = Harness::start();
    let mut client = harness.client();
    client.send_request(1, 0x77, 4_000);
    let NodeMessage { line, mut stream, .. } = harness.cache.expect_pull();
    let request_id = line.split(' ').nth(1).expect("a request id");
    // The director is stopped, so that it sees the answer and the reset at the same time.
    harness.signal("STOP");
    let answer = format!("{request_id} ACK how=HIT,entity=t1,issued=1 5\r\nwhole\r\n");
    (&*stream).write_all(answer.as_bytes()).expect("written");
    SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).expect("set");
    SockRef::from(&*stream).shutdown(std::net::Shutdown::Read).expect("shut");
    assert_eq!(harness.cache.next_message().line, "closed");
    let start = Instant::now();
    while Arc::get_mut(&mut stream).is_none() {
        assert!(start.elapsed() < LONG_TIMEOUT, "the reader has not ended");
    }
    drop(stream);
    harness.signal("CONT");
    client.assert_success(1, b"whole");
    let counters = harness.current_counters();
    assert_eq!((counters["ok"], counters["broken"]), (1, 0));
}

/// The first words of all messages that a node receives until its connection ends.
fn remaining_messages(node: &NodeStub) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        match node.messages.recv_timeout(LONG_TIMEOUT).expect("its end").line {
            line if line == "closed" => return lines,
            line => lines.push(line.split(' ').next().unwrap_or_default().to_owned()),
        }
    }
}

/// Accepts the delayed connection, stops the program, and returns all that was received on the connection.
fn stop_and_read_connection(harness: Harness, delayed_node: &DelayedNodeStub) -> String {
    std::thread::scope(|scope| {
        let mut stream = delayed_node.accept_waiting();
        let received = scope.spawn(move || {
            let mut received = String::new();
            stream.read_to_string(&mut received).map(|_| received).expect("closed")
        });
        assert_stops(harness);
        received.join().expect("read")
    })
}

/// Stops the program and checks that it ends with success.
fn assert_stops(mut harness: Harness) {
    harness.signal("TERM");
    let start = Instant::now();
    while harness.child.try_wait().expect("waited").is_none() {
        assert!(start.elapsed() < LONG_TIMEOUT, "the program has not ended");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(harness.child.wait().expect("ends").success());
}

#[test]
fn shutdown_completes_partial_and_queued_requests() {
    let delayed_node = DelayedNodeStub::start();
    let harness = Harness::with_config(|config| with_delayed_node(&config, "cache-a", &delayed_node));
    // A partial message, and a request whose attempt waits for a connection.
    let (mut partial_client, mut queued_client) = (harness.client(), harness.client());
    partial_client.write(&[0x94, 0, 1, 0xa5, b'a', b'l']);
    queued_client.send_request(1, 0x77, 5_000);
    harness.wait_for_counter("sends", 1);
    harness.reload();
    harness.signal("TERM");
    harness.wait_for_log("stopping in_flight=1");
    partial_client.write(b"ive\x91\x80");
    assert_eq!(partial_client.read_response(), (1, Response::Health(false)));
    // An idle connection is closed once no more are accepted, although the other request is still open.
    partial_client.assert_closed();
    let mut stream = delayed_node.accept_waiting();
    let mut line = vec![0; 21];
    stream.read_exact(&mut line).expect("an attempt");
    let request_id = String::from_utf8_lossy(&line[5..]).into_owned();
    let body = vec![7; 240_000];
    let head = format!("{request_id} ACK how=HIT,entity=t1,issued=1 {}\r\n", body.len());
    stream.write_all(&[head.as_bytes(), &body, b"\r\n"].concat()).expect("written");
    queued_client.assert_success(1, &body);
    queued_client.assert_closed();
    assert_stops(harness);
}

#[test]
fn shutdown_waits_for_responses_that_are_read_slowly() {
    let harness = Harness::start();
    let (mut client, mut partial_client) = (harness.client(), harness.client());
    let late_request = request_bytes(9, 0x99, 3_000, &[]);
    SockRef::from(&client.0).set_recv_buffer_size(4_096).expect("set");
    let body = vec![7; 240_000];
    for call in 1..=4 {
        client.send_request(call, u64::from(call), 3_000);
        harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", &body);
    }
    harness.wait_for_counter("satisfied", 4);
    // Another client sends a partial request, the rest of which follows after the signal.
    partial_client.write(&late_request[..20]);
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    partial_client.write(&late_request[20..]);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"owed too");
    partial_client.assert_success(9, b"owed too");
    for _ in 0..4 {
        assert!(client.read_response().1 == Response::Success(body.clone(), vec![]));
    }
    client.assert_closed();
    assert_stops(harness);
}

/// Guards against evicting a connection with an unread request: the request and the new connections that need room arrive
/// while the process is stopped, and are seen at the same time.
#[test]
fn a_request_on_a_connection_chosen_for_eviction_is_answered() {
    let harness = Harness::with_config(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let mut idle_clients: Vec<Client> = (0..29).map(|_| harness.client()).collect();
    assert!(idle_clients.iter_mut().all(Client::is_healthy));
    harness.signal("STOP");
    harness.signal("HUP");
    idle_clients[0].send_request(1, 0x77, 4_000);
    let mut new: Vec<Client> = (0..3).map(|_| harness.client()).collect();
    harness.signal("CONT");
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    idle_clients[0].assert_success(1, b"owed");
    assert!(new.iter_mut().all(Client::is_healthy));
    // The evicted connections were closed without a reset.
    for client in &mut idle_clients[1..4] {
        assert_eq!(client.0.read(&mut [0; 8]).expect("no reset"), 0);
    }
    assert_eq!(harness.current_counters()["made_room"], 3);
}

/// Guards against losing a request whose last byte lies unread while its connection, which has sent a part of it before, is
/// chosen to make room.
#[test]
fn a_request_completed_on_a_connection_chosen_for_eviction_is_answered() {
    let harness = Harness::with_config(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let request = request_bytes(1, 0x77, 4_000, &[]);
    let (first, rest) = request.split_at(20);
    let mut clients: Vec<Client> = (0..29).map(|_| harness.client()).collect();
    clients.iter_mut().for_each(|client| client.write(first));
    harness.wait_for_counter("clients", 29);
    harness.signal("STOP");
    clients[0].write(rest);
    let mut new = harness.client();
    harness.signal("CONT");
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    clients[0].assert_success(1, b"owed");
    assert!(new.is_healthy());
    clients[1].assert_closed();
    assert_eq!(harness.current_counters()["made_room"], 1);
}

#[test]
fn closing_with_unread_bytes_resets_no_response() {
    let harness = Harness::start();
    let mut client = harness.client();
    harness.signal("STOP");
    client.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80\xc1");
    client.write(&[0xc1; 100_000]);
    harness.signal("CONT");
    let mut all = Vec::new();
    client.0.read_to_end(&mut all).expect("no reset");
    assert!(all.len() < 20, "at most the one answer: {}", all.len());
    // The fault is logged with the client's address.
    let from = client.0.local_addr().expect("bound");
    harness.wait_for_log(&format!("client {from}: closed: a value has a type that no message uses"));
    assert!(harness.client().is_healthy());
}

#[test]
fn a_client_that_is_gone_gets_no_further_attempt() {
    type Leave = fn(Client);
    let ways_to_leave: [Leave; 3] = [
        drop,
        |client| {
            SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("set");
            drop(client);
        },
        |mut client| {
            client.write(b"\x93\x02\xadcancelRequest\x91\x01");
            // The connection stays open until the program ends.
            std::thread::spawn(move || client.0.read(&mut [0; 8]));
        },
    ];
    for leave in ways_to_leave {
        // The client leaves while its attempt waits for a connection.
        let delayed_node = DelayedNodeStub::start();
        let harness = Harness::with_config(|config| with_delayed_node(&config, "cache-a", &delayed_node));
        let mut client = harness.client();
        client.send_request(1, 0x77, 4_000);
        harness.wait_for_counter("sends", 1);
        harness.reload();
        leave(client);
        harness.wait_for_counter("cancelled", 1);
        assert_eq!(stop_and_read_connection(harness, &delayed_node), "");
        // The client leaves while a hedge is due soon, because the primary is silent.
        let harness =
            Harness::with_config(|config| config.replace("\"aimUs\": 3000000", "\"aimUs\": 200000"));
        let mut client = harness.client();
        client.send_request(1, 0x77, 4_000);
        harness.cache.expect_pull();
        leave(client);
        harness.wait_for_counter("cancelled", 1);
        let counters = harness.current_counters();
        assert_eq!((counters["sends"], counters["in_hand"]), (1, 0));
        let Harness { cache, parent, .. } = &harness;
        assert_eq!(cache.next_message().line.split(' ').next(), Some("KILL"));
        parent.assert_no_message();
    }
}

/// Guards against attempts for a client that has left, of requests that were unread then: it sends them, and more than is
/// read in one turn, and closes its connection while the process is stopped.
#[test]
fn unread_requests_of_a_client_that_has_left_are_not_sent() {
    type Leave = fn(&Client);
    let ways_to_leave: [Leave; 2] =
        [|_| {}, |client| SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("set")];
    for leave in ways_to_leave {
        for is_known in [true, false] {
            let harness = Harness::start();
            let mut client = harness.client();
            if is_known {
                assert!(client.is_healthy());
            }
            harness.signal("STOP");
            (1..=20).for_each(|call| client.send_request(call, u64::from(call), 4_000));
            client.write(&b"\x93\x02\xadcancelRequest\x91\x63".repeat(1_000));
            leave(&client);
            drop(client);
            std::thread::sleep(Duration::from_millis(300));
            harness.signal("CONT");
            harness.cache.assert_no_message();
            let mut usual = harness.client();
            usual.send_request(1, 0x77, 4_000);
            harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
            usual.assert_success(1, b"served");
            let counters = harness.current_counters();
            assert_eq!((counters["sends"], counters["in_hand"]), (1, 0), "{is_known}");
        }
    }
}

/// Guards against an attempt that begins after the final answer, where the settings allow hedges but no cancellation: the
/// connection of the hedge comes up late. An attempt that was begun gets no `KILL`.
#[test]
fn a_hedge_that_waits_for_its_connection_does_not_begin_after_the_answer() {
    let delayed_node = DelayedNodeStub::start();
    let harness = Harness::with_config(|config| {
        let cache = config.lines().find(|line| line.contains("cache-a")).expect("listed").to_owned();
        let two_caches = format!("{cache}{}", cache.replace("cache-a", "cache-b"));
        with_delayed_node(&config.replace(&cache, &two_caches), "cache-b", &delayed_node)
            .replace("\"mayCancel\": true", "\"mayCancel\": false")
            .replace("\"aimUs\": 3000000", "\"aimUs\": 200000")
    });
    let mut client = harness.client();
    // An object whose primary cache is the one that answers, so that its hedge goes to the other.
    let pull = (1..=20).find_map(|call| {
        client.send_request(call, u64::from(call), 4_000);
        let pull = harness.cache.messages.recv_timeout(SHORT_TIMEOUT).ok();
        pull.filter(|_| {
            harness.wait_for_counter("further", 1);
            true
        })
    });
    let pull = pull.expect("a primary");
    let call = pull.field("key").and_then(|key| u8::from_str_radix(key, 16).ok()).expect("a key");
    pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"answered");
    client.assert_success(call, b"answered");
    let line = stop_and_read_connection(harness, &delayed_node);
    assert_eq!(line, "");
}

#[test]
fn a_reused_call_number_gets_the_response_of_its_own_request() {
    let harness = Harness::start();
    let mut client = harness.client();
    for object in 0x70..0x90 {
        client.send_request(5, object, 4_000);
        let first = harness.cache.expect_pull();
        harness.signal("STOP");
        first.answer("ACK", "how=HIT,entity=t1,issued=1", b"of the first");
        client.write(b"\x93\x02\xadcancelRequest\x91\x05");
        client.send_request(5, object + 0x100, 4_000);
        harness.signal("CONT");
        let second = harness.cache.next_pull();
        second.answer("ACK", "how=HIT,entity=t1,issued=1", b"of the second");
        // The first request may have been answered before its cancellation was read.
        let mut answer = client.read_response();
        if answer == (5, Response::Success(b"of the first".to_vec(), vec![])) {
            answer = client.read_response();
        }
        assert_eq!(answer, (5, Response::Success(b"of the second".to_vec(), vec![])));
    }
}

#[test]
fn requests_of_disconnected_clients_are_removed() {
    let harness = Harness::start();
    for _ in 0..20 {
        let mut bad = harness.client();
        (1..=32).for_each(|call| bad.send_request(call, u64::from(call), 4_000));
    }
    let mut good = harness.client();
    good.send_request(1, 0x99, 4_000);
    let pull = loop {
        let message = harness.cache.next_message();
        if message.line.contains("key=0000000000000099") {
            break message;
        }
    };
    pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"good");
    good.assert_success(1, b"good");
    let start = Instant::now();
    let left = loop {
        let counters = harness.current_counters();
        if counters["in_hand"] == 0 || start.elapsed() > LONG_TIMEOUT {
            break counters;
        }
    };
    assert_eq!((left["in_hand"], left["satisfied"]), (0, 1), "{left:?}");
}

#[test]
fn incomplete_and_duplicate_answers_affect_no_other_request() {
    let harness = Harness::start();
    let mut client = harness.client();
    client.send_request(1, 0x77, 600);
    let endless = harness.cache.expect_pull();
    harness.reload();
    endless
        .write(format!("{} ACK how=HIT,entity=t1,issued=1 240000\r\nnever", endless.request_id()).as_bytes());
    assert_eq!(client.assert_rejected(), 1);
    assert_eq!(remaining_messages(&harness.cache), ["KILL"], "its connection is not used again");
    client.send_request(2, 0x78, 4_000);
    let twice = harness.cache.expect_pull();
    twice.answer("ACK", "how=HIT,entity=t1,issued=1", b"once");
    client.assert_success(2, b"once");
    client.send_request(3, 0x79, 4_000);
    let next = harness.cache.expect_pull();
    assert_eq!(next.connection, twice.connection);
    twice.answer("ACK", "how=HIT,entity=t1,issued=1", b"a second time");
    next.answer("ACK", "how=HIT,entity=t1,issued=1", b"its own");
    client.assert_success(3, b"its own");
}

#[test]
fn an_effect_is_not_repeated_past_its_deduplication_window() {
    // An at-most-once request whose connection breaks fails at once and is not attempted again.
    let harness = Harness::with_config(|config| config.replacen("\"idempotent\"", "\"at_most_once\"", 1));
    let mut client = harness.client();
    client.send_request(1, 0x77, 4_000);
    harness.cache.expect_pull().stream.shutdown(std::net::Shutdown::Both).expect("shut");
    assert_eq!(client.read_response(), (1, Response::Error("Failed".into(), vec![])));
    assert_eq!(harness.current_counters()["sends"], 1);
    // The second attempt of a deduplicated request waits for its connection for longer than the deduplication window.
    let delayed_node = DelayedNodeStub::start();
    let harness = Harness::with_config(|config| {
        with_delayed_node(&config, "parent-a", &delayed_node).replacen(
            "\"idempotent\", \"group\": \"all\", \"memorySpanUs\": 5000000",
            "\"deduplicated\", \"group\": \"all\", \"memorySpanUs\": 400000",
            1,
        )
    });
    let (_, feed) = harness.feed.accept_call();
    let mut client = harness.client();
    client.send_request_with(1, 0x77, 4_000, &[("token", "m1")]);
    let pull = harness.cache.expect_pull();
    assert_eq!(pull.field("once"), Some("m1"));
    send_event(&feed, 2, &endpoint_event(2, "cache-a", harness.cache.address, "draining"));
    harness.wait_for_discovery_events(2);
    pull.answer("EIO", "-", b"");
    assert_eq!(client.read_response(), (1, Response::Error("Failed".into(), vec![])));
    assert_eq!(stop_and_read_connection(harness, &delayed_node), "");
}

/// Guards against failing a request whose attempt was never begun: the end of an idle connection and a request that would
/// use it arrive while the process is stopped, and are seen at the same time.
#[test]
fn an_attempt_not_begun_on_a_lost_connection_is_retried() {
    let harness = Harness::with_config(|config| config.replacen("\"idempotent\"", "\"at_most_once\"", 1));
    let mut client = harness.client();
    for call in 1..=24 {
        client.send_request(call, u64::from(call), 4_000);
        let pull = harness.cache.next_pull();
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"first");
        client.assert_success(call, b"first");
        harness.signal("STOP");
        pull.stream.shutdown(std::net::Shutdown::Both).expect("shut");
        client.send_request(100 + call, 0x100 + u64::from(call), 4_000);
        harness.signal("CONT");
        // The attempt uses a new connection, or another node if it had been handed to the connection that ended.
        let start = Instant::now();
        let again = loop {
            let message =
                [&harness.cache, &harness.parent].into_iter().find_map(|n| n.messages.try_recv().ok());
            match message.filter(|message| message.line.starts_with("PULL ")) {
                Some(message) => break message,
                None => assert!(start.elapsed() < LONG_TIMEOUT, "sent again"),
            }
        };
        again.answer("ACK", "how=HIT,entity=t1,issued=1", b"second");
        client.assert_success(100 + call, b"second");
    }
    assert_eq!(harness.current_counters()["failed"], 0);
}

#[test]
fn discovery_reconnects_while_idle_clients_use_all_connections() {
    let mut harness = Harness::with_config(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let (_, stream) = harness.feed.accept_call();
    let at = harness.feed.0.local_addr().expect("bound");
    // Discovery goes down, and many more idle clients connect than the limit allows.
    drop(stream);
    harness.feed.0 = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let idle: Vec<Client> = (0..120).map(|_| harness.client()).collect();
    harness.wait_for_counter("made_room", 90);
    (0..3).for_each(|_| harness.reload());
    let mut client = harness.client();
    client.send_request(1, 0x77, 4_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"reached");
    client.assert_success(1, b"reached");
    // Discovery is back, first with an old event, then with a drain, which applies from the next request on.
    harness.feed.0 = std::net::TcpListener::bind(at).expect("bound");
    let (last, stream) = harness.feed.accept_call();
    assert_eq!(last, 1);
    send_event(&stream, 1, &endpoint_event(1, "cache-a", harness.cache.address, "gone"));
    send_event(&stream, 2, &endpoint_event(2, "cache-a", harness.cache.address, "draining"));
    harness.wait_for_discovery_events(2);
    client.send_request(2, 0x78, 4_000);
    harness.parent.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"not from what drains");
    client.assert_success(2, b"not from what drains");
    drop(idle);
    assert_stops(harness);
}

/// Guards against signals that wait for feed calls: each call of a feed that is down takes the whole connect timeout.
#[test]
fn a_stop_is_handled_after_many_reloads_while_discovery_is_down() {
    let delayed_node = DelayedNodeStub::start();
    let harness = Harness::with_config(|config| {
        let feed = config.find("\"feed\": \"").expect("named") + 9;
        let end = feed + config[feed..].find('"').expect("ends");
        format!("{}{}{}", &config[..feed], delayed_node.address, &config[end..])
            .replace("\"dialTimeoutUs\": 400000", "\"dialTimeoutUs\": 4000000")
    });
    for _ in 0..5 {
        harness.signal("HUP");
        harness.wait_for_log("reload feed=");
    }
    let start = Instant::now();
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert_stops(harness);
}
