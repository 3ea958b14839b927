//! Requests whose ids are used more than once: while another one is open, after it was answered, after its client has
//! left. The real director on sockets.

mod help;

use help::{Harness, NodeMessage, Response};

#[test]
fn requests_with_the_same_id_share_no_connection() {
    // The limits allow 4 connections to a node; all of them are in use.
    let harness = Harness::with_config(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let (mut one, mut two) = (harness.client(), harness.client());
    let pulls: Vec<NodeMessage> = (1..=4)
        .map(|call| {
            one.send_request(call, u64::from(call), 2_000);
            harness.cache.expect_pull()
        })
        .collect();
    two.send_request(4, 4, 2_000);
    let again = harness.cache.expect_pull();
    assert_eq!(again.request_id(), pulls[3].request_id());
    assert_ne!(again.connection, pulls[3].connection);
    pulls[3].answer("ACK", "how=HIT,entity=t1,issued=1", b"of the first");
    one.assert_success(4, b"of the first");
    again.answer("ACK", "how=HIT,entity=t1,issued=1", b"of the second");
    two.assert_success(4, b"of the second");
}

/// Guards against an open id that is forgotten because an earlier request with the same id has ended: each request with a
/// different object fails until the last open one with the id has ended.
#[test]
fn an_id_with_another_object_fails_while_any_request_with_it_is_open() {
    let harness = Harness::start();
    let mut client = harness.client();
    let id = ("rid", "00000000000000aa");
    client.send_request_with(1, 0x77, 4_000, &[id]);
    let first = harness.cache.expect_pull();
    client.send_request_with(2, 0x77, 4_000, &[id]);
    let second = harness.cache.expect_pull();
    first.answer("ACK", "how=HIT,entity=t1,issued=1", b"first");
    client.assert_success(1, b"first");
    for call in [3, 4] {
        client.send_request_with(call, 0x78, 4_000, &[id]);
        assert_eq!(client.read_response(), (call, Response::Error("Failed".into(), vec![])));
    }
    client.send_request_with(5, 0x77, 4_000, &[id]);
    let third = harness.cache.expect_pull();
    second.answer("ACK", "how=HIT,entity=t1,issued=1", b"second");
    client.assert_success(2, b"second");
    client.send_request_with(6, 0x78, 4_000, &[id]);
    assert_eq!(client.read_response(), (6, Response::Error("Failed".into(), vec![])));
    third.answer("ACK", "how=HIT,entity=t1,issued=1", b"third");
    client.assert_success(5, b"third");
    client.send_request_with(7, 0x78, 4_000, &[id]);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"none is open");
    client.assert_success(7, b"none is open");
}

/// Guards against the answer to an abandoned attempt that is taken for that to a later request with the same id.
#[test]
fn an_id_that_returns_is_not_sent_on_the_connection_of_an_abandoned_attempt() {
    let harness = Harness::start();
    let mut gone = harness.client();
    let id = ("rid", "00000000000000aa");
    gone.send_request_with(1, 0x77, 4_000, &[id]);
    let abandoned = harness.cache.expect_pull();
    drop(gone);
    assert!(harness.cache.next_message().line.starts_with("KILL "));
    let mut client = harness.client();
    client.send_request_with(1, 0x78, 4_000, &[id]);
    let pull = harness.cache.expect_pull();
    assert_ne!(pull.connection, abandoned.connection);
    abandoned.answer("ACK", "how=HIT,entity=t1,issued=1", b"too late");
    pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"its own");
    client.assert_success(1, b"its own");
    // The late answer has come, so the first connection can be told from another again.
    harness.wait_for_counter("body_bytes", 15);
    client.send_request_with(2, 0x79, 4_000, &[id]);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"again");
    client.assert_success(2, b"again");
    assert_eq!(harness.current_counters()["links"], 2);
}

/// Guards against ids that are kept for each attempt that was ever abandoned: a connection with 256 of them is replaced.
#[test]
fn a_connection_with_many_abandoned_attempts_is_replaced() {
    let harness = Harness::start();
    let mut client = harness.client();
    for object in 0..300 {
        client.send_request(1, object, 4_000);
        harness.cache.pull_of(object);
        client.write(b"\x93\x02\xadcancelRequest\x91\x01");
        harness.wait_for_counter("cancelled", object + 1);
    }
    client.send_request(1, 0x999, 4_000);
    harness.cache.pull_of(0x999).answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    client.assert_success(1, b"served");
    let counters = harness.current_counters();
    assert_eq!((counters["links"], counters["links_open"]), (2, 1));
}

/// Guards against an effect that runs twice because its id comes again: after its client has left, while the first request
/// with the id is open, and after that one was answered. A request that no node has run may come again.
#[test]
fn an_id_that_may_have_taken_effect_is_not_sent_again() {
    let deduplicated = "\"deduplicated\"";
    for effect in ["\"at_most_once\"", deduplicated] {
        let harness = Harness::with_config(|config| config.replacen("\"idempotent\"", effect, 1));
        let failed = |call| (call, Response::Error("Failed".into(), vec![]));
        let fields = |id| [("rid", id), ("token", "m1")];
        let mut gone = harness.client();
        gone.send_request_with(1, 0x77, 4_000, &fields("00000000000000aa"));
        harness.cache.expect_pull();
        drop(gone);
        assert!(harness.cache.next_message().line.starts_with("KILL "));
        harness.wait_for_counter("cancelled", 1);
        let mut client = harness.client();
        client.send_request_with(1, 0x77, 4_000, &fields("00000000000000aa"));
        assert_eq!(client.read_response(), failed(1));
        client.send_request_with(2, 0x77, 4_000, &fields("00000000000000bb"));
        let pull = harness.cache.expect_pull();
        client.send_request_with(3, 0x77, 4_000, &fields("00000000000000bb"));
        assert_eq!(client.read_response(), failed(3));
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"once");
        client.assert_success(2, b"once");
        client.send_request_with(4, 0x77, 4_000, &fields("00000000000000bb"));
        assert_eq!(client.read_response(), failed(4));
        assert_eq!(harness.current_counters()["sends"], 2, "{effect}");
    }
    // Nodes that have no copy have run nothing.
    let harness = Harness::with_config(|config| config.replacen("\"idempotent\"", "\"at_most_once\"", 1));
    let mut client = harness.client();
    client.send_request_with(1, 0x77, 400, &[("rid", "00000000000000aa")]);
    harness.cache.expect_pull().answer("AGAIN", "-", b"");
    harness.parent.expect_pull().answer("AGAIN", "-", b"");
    assert_eq!(client.assert_rejected(), 1);
    client.send_request_with(2, 0x77, 4_000, &[("rid", "00000000000000aa")]);
    harness.cache.next_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"once");
    client.assert_success(2, b"once");
}

/// Guards against ids that are kept for each request with an effect: a director with 1 MB remembers the last 256.
#[test]
fn remembered_ids_are_bounded() {
    let harness = Harness::with_config(|config| {
        config
            .replacen("\"idempotent\"", "\"at_most_once\"", 1)
            .replace("\"memory_mb\": 192", "\"memory_mb\": 1")
    });
    let mut client = harness.client();
    let mut serve = |object| {
        client.send_request(1, object, 4_000);
        let pull = harness.cache.pull_of(object);
        pull.write(format!("{} ACK how=HIT,entity=t1,issued=1 1\r\n-\r\n", pull.request_id()).as_bytes());
        client.assert_success(1, b"-");
    };
    (0..300).for_each(&mut serve);
    // The id of the first request has been forgotten, those of the last 256 have not.
    serve(0);
    client.send_request(1, 299, 4_000);
    assert_eq!(client.read_response(), (1, Response::Error("Failed".into(), vec![])));
}
