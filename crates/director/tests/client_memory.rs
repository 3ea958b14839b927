//! The memory that incomplete messages of clients hold, and who pays when it is used up. The real director on sockets.

mod help;

use std::time::{Duration, Instant};

use help::{Client, Harness, Response, request_with_body, with_more_caches};

/// The largest body that a client may send.
const MAX_BODY: usize = 240_000;

/// A director with this much memory, and with enough caches for the router to accept all requests of these tests.
fn start(memory_mb: usize) -> Harness {
    let memory = format!("\"memory_mb\": {memory_mb}");
    Harness::with_config(|config| with_more_caches(&config).replace("\"memory_mb\": 192", &memory))
}

/// Clients with open requests whose bodies leave less memory than the largest message takes, of the 2 MB that a director
/// with 8 MB has for bodies.
fn clients_with_bodies(harness: &Harness) -> Vec<Client> {
    let bodies = [MAX_BODY; 7].into_iter().chain([MAX_BODY / 2, MAX_BODY / 4]);
    let open = |(call, body): (u8, usize)| {
        let mut client = harness.client();
        client.write(&request_with_body(call, u64::from(call), 4_000, &vec![b'q'; body]));
        harness.wait_for_counter("in_hand", u64::from(call));
        client
    };
    (1..).zip(bodies).map(open).collect()
}

/// Clients that each send a request without the last tenth of its body.
fn partial_clients(harness: &Harness, count: usize, body: usize) -> Vec<Client> {
    let message = request_with_body(1, 0x1234, 3_000, &vec![b'b'; body]);
    let partial = &message[..message.len() - body / 10];
    let mut clients: Vec<Client> = (0..count).map(|_| harness.client()).collect();
    clients.iter_mut().for_each(|client| client.write(partial));
    clients
}

/// Guards against the end of connections with open calls because incomplete messages of other clients hold the memory:
/// the call that is open and the one whose body needs memory must both be served.
#[test]
fn partial_messages_of_others_end_no_connection_with_open_calls() {
    let harness = start(8);
    let mut good = harness.client();
    good.send_request(1, 0x77, 4_000);
    let open = harness.cache.expect_pull();
    let _bad = partial_clients(&harness, 30, MAX_BODY);
    harness.wait_for_counter("skipped_messages", 20);
    good.write(&request_with_body(2, 0x78, 4_000, &[b'q'; 12_000]));
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", &[b'a'; 40_000]);
    good.assert_success(2, &[b'a'; 40_000]);
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    good.assert_success(1, b"owed");
}

/// Guards against the end of a connection whose own message gets no memory because the bodies of open requests hold all:
/// the message is rejected once it has come, and the open call is answered.
#[test]
fn a_message_without_room_is_rejected_and_its_connection_kept() {
    let harness = start(8);
    let _others = clients_with_bodies(&harness);
    let mut good = harness.client();
    good.send_request(1, 0x77, 4_000);
    let open = harness.cache.pull_of(0x77);
    let message = request_with_body(2, 0x78, 4_000, &[b'q'; MAX_BODY]);
    let (first, rest) = message.split_at(MAX_BODY * 9 / 10);
    good.write(first);
    let from = good.0.local_addr().expect("bound");
    harness.wait_for_log(&format!("client {from}: its incomplete message is discarded for lack of memory"));
    good.write(rest);
    assert_eq!(good.assert_rejected(), 2);
    assert!(good.is_healthy(), "the message after the one that was skipped is read");
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    good.assert_success(1, b"owed");
    let counters = harness.current_counters();
    assert_eq!((counters["crowded"], counters["nacked"]), (1, 1), "{counters:?}");
}

/// Guards against bad clients whose incomplete messages take the memory of those that are still being sent: the message
/// that has waited for longest pays, not the one that goes on.
#[test]
fn the_message_that_waits_for_longest_gives_up_its_memory() {
    let harness = start(8);
    let bad = partial_clients(&harness, 3, MAX_BODY);
    let mut good = harness.client();
    let message = request_with_body(1, 0x77, 4_000, &[b'q'; MAX_BODY]);
    let (last, pieces) = message.split_last().expect("bytes");
    for piece in pieces.chunks(40_000) {
        good.write(piece);
        std::thread::sleep(Duration::from_millis(20));
    }
    // Four such messages find room. The fifth takes that of the first, not of the one that came last.
    let _fifth = partial_clients(&harness, 1, MAX_BODY);
    harness.wait_for_counter("skipped_messages", 1);
    good.write(&[*last]);
    let pull = harness.cache.expect_pull();
    pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    good.assert_success(1, b"served");
    drop(bad);
}

/// Guards against memory and connections that bad clients could hold: incomplete messages on a third of the descriptors
/// keep the process within its memory, and each of their connections ends within 3 s.
#[test]
fn partial_messages_are_bounded_in_memory_and_time() {
    let (memory_mb, descriptors) = (32, 256);
    let harness = Harness::with_config(|config| {
        config
            .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"))
            .replace("\"sockets\": 1024", &format!("\"sockets\": {descriptors}"))
    });
    let mut good = harness.client();
    let bad = (0..descriptors / 3).map(|_| (Instant::now(), partial_clients(&harness, 1, MAX_BODY)));
    let bad: Vec<(Instant, Vec<Client>)> = bad.collect();
    good.send_request(1, 0x77, 4_000);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    good.assert_success(1, b"served");
    for (connected_at, mut clients) in bad {
        clients.iter_mut().for_each(Client::assert_closed);
        assert!(connected_at.elapsed() < Duration::from_secs(3), "{:?}", connected_at.elapsed());
    }
    let peak_kb = harness.current_counters()["memory_peak_kb"];
    assert!(peak_kb < memory_mb * 1_024, "{peak_kb} KB");
}

/// Guards against a skipped message that counts as complete too early or too late, whatever pieces it comes in.
#[test]
fn skipped_messages_in_pieces_are_rejected_once() {
    let harness = start(8);
    let _others = clients_with_bodies(&harness);
    let mut good = harness.client();
    let mut messages = request_with_body(1, 0x91, 4_000, &[b'q'; MAX_BODY]);
    messages.extend(request_with_body(2, 0x92, 4_000, &[b'q'; MAX_BODY]));
    for piece in messages.chunks(33_333) {
        good.write(piece);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!([good.assert_rejected(), good.assert_rejected()], [1, 2]);
    good.write(b"\x94\x00\x03\xa5alive\x91\x80");
    assert_eq!(good.read_response(), (3, Response::Health(true)));
}

/// Guards against memory that grows with the objects that clients name: a director with 1 MB keeps 512 of them in each
/// of its two tables, and what a usual client's object has shown stays.
#[test]
fn requests_for_ever_other_objects_are_bounded_in_memory() {
    let harness = start(1);
    let prio_of_usual = |call| {
        let mut usual = harness.client();
        usual.send_request(call, 0x77, 4_000);
        let pull = harness.cache.pull_of(0x77);
        let prio = pull.field("prio").map(str::to_owned);
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"bytes");
        usual.assert_success(call, b"bytes");
        prio
    };
    prio_of_usual(1);
    let mut bad = harness.client();
    for object in 0x1000..0x1000 + 1_500 {
        bad.send_request(2, object, 4_000);
        let pull = harness.cache.pull_of(object);
        pull.write(format!("{} ACK how=MISS,entity=t1,issued=1 1\r\n-\r\n", pull.request_id()).as_bytes());
        bad.assert_success(2, b"-");
    }
    assert_eq!(prio_of_usual(2).as_deref(), Some("2"), "it was asked for before");
    let objects = harness.current_counters()["objects"];
    assert!((512..=1_024).contains(&objects), "{objects}");
}
