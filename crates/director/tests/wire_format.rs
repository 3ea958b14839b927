//! The wire formats as literal bytes: messages of clients and the responses, lines to and from nodes, events of the discovery
//! feed, calls between directors, and the counter line, which scripts read.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use sablecross::{AttemptSpec, EndpointState, Outcome};
use sablecross_director::counters::{ConnectionCounters, Counters};
use sablecross_director::discovery_event::{DiscoveryEvent, Endpoint, NumberedEvent};
use sablecross_director::events::{CallId, CancellationFlag, IncomingRequest};
use sablecross_director::limits::Limits;
use sablecross_director::memory_budget::MemoryBudget;
use sablecross_director::name_table::NameTable;
use sablecross_director::wire::node_protocol;
use sablecross_director::wire::rpc::{self, Message, RequestFields};

use serde_json::{Value, json};

fn bytes(hex: &str) -> Vec<u8> {
    let hex: String = hex.split_whitespace().collect();
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex")).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn limits() -> Limits {
    Limits::new(1_024, 192, 400_000_000, 30_000_000_000)
}

fn names() -> NameTable {
    NameTable {
        classes: vec!["footage".into(), "readings".into()],
        answers_peers: true,
        ..NameTable::default()
    }
}

/// A request with every field.
const FULL: &str = "
    94 00 cd012c a8 72656164696e6773 92 89
    a3 726964 b0 39623166303361613563376532643431
    a6 627564676574 a4 31353030
    a3 6f626a b0 37663361396332316530623464363535
    a5 7069656365 a1 33
    a3 6c6f74 a2 3137
    a3 6d656d a5 3431322e35
    a3 766572 b0 34626530633139323764353561366633
    a5 746f6b656e b0 64303661363666306265363334316539
    a5 616761696e a1 31
    c4 04 626f6479";
/// A request with the required fields only.
const MINIMAL: &str = "
    94 00 07 a7 666f6f74616765 92 84
    a3 726964 b0 39623166303361613563376532643431
    a6 627564676574 a1 30
    a3 6f626a b0 37663361396332316530623464363535
    a5 7069656365 a1 30
    c4 00";

#[test]
fn client_messages() {
    let (names, limits) = (names(), limits());
    let read = |hex: &str| {
        let bytes = bytes(hex);
        let bytes: &'static [u8] = bytes.leak();
        let (message, length) = rpc::decode(bytes, &names, &limits).expect("a message");
        assert_eq!(length, bytes.len());
        message
    };
    let full = RequestFields {
        request_id: *b"9b1f03aa5c7e2d41",
        class: 1,
        budget_ms: 1_500,
        object: 0x7f3a_9c21_e0b4_d655,
        part: 3,
        group: 17,
        size_kb: 412.5,
        client_tag: Some("4be0c1927d55a6f3"),
        idempotency_key: Some("d06a66f0be6341e9"),
        is_client_retry: true,
    };
    assert_eq!(read(FULL), Message::Request { call: 300, fields: full, body: b"body" });
    let minimal = RequestFields {
        request_id: *b"9b1f03aa5c7e2d41",
        class: 0,
        budget_ms: 0,
        object: 0x7f3a_9c21_e0b4_d655,
        part: 0,
        group: 0,
        size_kb: 0.0,
        client_tag: None,
        idempotency_key: None,
        is_client_retry: false,
    };
    assert_eq!(read(MINIMAL), Message::Request { call: 7, fields: minimal, body: b"" });
    assert_eq!(read("94 00 08 a5 616c697665 91 80"), Message::HealthCheck { call: 8 });
    assert_eq!(read("93 02 ad 63616e63656c52657175657374 91 ceffffffff"), Message::Cancel { call: u32::MAX });
    assert_eq!(
        read("94 00 09 a4 64757479 92 80 c4 03 010203"),
        Message::PeerCall { call: 9, body: &[1, 2, 3] }
    );
    let Message::Unusable { call: 10, cause } = read("94 00 0a a6 636c69707379 92 80 c4 00") else {
        panic!("an unusable call")
    };
    assert_eq!(cause.to_string(), "unknown method");
}

/// The cause of an unusable request is logged; the client gets a plain error.
#[test]
fn causes_of_unusable_requests() {
    let (names, limits) = (names(), limits());
    let cases = [
        ("a6 627564676574 a1 30", "a6 627564676574 a1 78", "a field is not a number"),
        ("a6 627564676574 a1 30", "a6 627564676574 a8 3939393939393939", "budget out of range"),
        ("a6 627564676574", "a6 627564676575", "a required field is missing"),
        ("b0 37663361", "b0 58663361", "a field is not 16 lowercase hex digits"),
        ("92 84", "91 84", "the parameters are not fields and a body"),
        ("92 84", "92 07", "a value has the wrong type"),
        ("a5 7069656365 a1 30", "a3 6d656d a2 2d34", "size out of range"),
        ("a5 7069656365 a1 30", "a3 766572 a1 3d", "a field is empty, too long or not alphanumeric"),
        ("a5 7069656365 a1 30", "07 a1 30", "a name or value is not a string"),
    ];
    for (from, to, cause) in cases {
        assert!(MINIMAL.contains(from), "{from}");
        let bytes = bytes(&MINIMAL.replacen(from, to, 1));
        let (message, _) = rpc::decode(&bytes, &names, &limits).expect("a message");
        let Message::Unusable { call: 7, cause: read } = message else { panic!("{to}: {message:?}") };
        assert_eq!(read.to_string(), cause, "{to}");
    }
}

#[test]
fn responses_to_clients() {
    let framed = |call, length, unchanged| {
        let frame = rpc::encode_success(call, length, unchanged);
        format!("{} {}", hex(&frame.before_body), hex(&frame.after_body))
    };
    assert_eq!(framed(7, 3, false), "940107c092c403 80");
    assert_eq!(framed(300, 300, false), "9401cd012cc092c5012c 80");
    assert_eq!(framed(70_000, 70_000, false), "9401ce00011170c092c600011170 80");
    assert_eq!(framed(7, 0, true), "940107c092c400 81a9756e6368616e676564a131");
    assert_eq!(hex(&rpc::encode_error(7, "Rejected", &[])), "94010792a852656a656374656480c0");
    assert_eq!(
        hex(&rpc::encode_error(7, "Rejected", &[("backoff", "40")])),
        "94010792a852656a656374656481a76261636b6f6666a23430c0"
    );
    assert_eq!(hex(&rpc::encode_error(7, "Failed", &[])), "94010792a64661696c656480c0");
    assert_eq!(hex(&rpc::encode_health(8, true)), "940108c092c380");
    assert_eq!(hex(&rpc::encode_health(8, false)), "940108c092c280");
}

#[test]
fn calls_between_directors() {
    let limits = limits();
    let call = rpc::encode_call(9, "duty", &[1, 2, 3]);
    assert_eq!(hex(&call), "940009a4647574799280c403010203");
    let read = |hex: &str| {
        let bytes: &'static [u8] = bytes(hex).leak();
        rpc::decode_response(bytes, &limits).expect("an answer")
    };
    assert_eq!(read("94 01 09 c0 92 c4 02 0405 80"), (9, Some(&[4, 5][..]), 10));
    assert_eq!(read("94 01 09 92 a6 4661696c6564 80 c0"), (9, None, 13));
}

#[test]
fn answer_heads_of_nodes() {
    const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
    let cases = [
        ("ACK - 5", Outcome::Success, None, None, false, 5),
        ("ACK how=HIT,entity=t1,issued=17 5", Outcome::Success, Some(true), Some("t1"), false, 5),
        ("ACK how=MISS 5", Outcome::Success, Some(false), None, false, 5),
        ("ACK how=MISS_ORIGIN 5", Outcome::Success, Some(false), None, false, 5),
        ("ACK how=COLLAPSED 0", Outcome::Success, Some(false), None, false, 0),
        ("ACK how=STALE 0", Outcome::Success, Some(true), None, false, 0),
        ("ACK how=UNHEARD 0", Outcome::Success, None, None, false, 0),
        ("NOMOD entity=t1 0", Outcome::Success, None, Some("t1"), true, 0),
        ("NOENT - 0", Outcome::Miss, None, None, false, 0),
        ("AGAIN how=UP_BUSY 0", Outcome::Overloaded, None, None, false, 0),
        ("EIO - 0", Outcome::Error, None, None, false, 0),
        ("STALE - 0", Outcome::NotSent, None, None, false, 0),
    ];
    for (rest, outcome, hit, tag, unchanged, length) in cases {
        let line = format!("{REQUEST_ID} {rest}");
        let head = node_protocol::parse_answer_head(line.as_bytes()).expect(rest);
        assert_eq!(&head.request_id, REQUEST_ID.as_bytes());
        let read = (head.outcome, head.is_cache_hit, head.tag, head.is_unchanged, head.body_length);
        assert_eq!(read, (outcome, hit, tag, unchanged, length), "{rest}");
        assert_eq!(head.load, None);
    }
    let line = format!("{REQUEST_ID} ACK stats=active:7;cpu:0.61;x0:0.1;x1:0.25,entity=t1 0");
    let load =
        node_protocol::parse_answer_head(line.as_bytes()).and_then(|head| head.load).expect("a report");
    assert_eq!((load.cpu_utilization, load.link_utilization), (Some(0.61), Some(0.25)));
}

#[test]
fn lines_to_nodes() {
    let memory_budget = MemoryBudget::new(100);
    let request = |tag: Option<&str>, idempotency_key: Option<&str>, length| IncomingRequest {
        client: 1,
        call: CallId { number: 7, generation: 0 },
        cancellation: CancellationFlag::default(),
        request_id: *b"9b1f03aa5c7e2d41",
        class: 0,
        object: 0x00ff,
        part: 3,
        group: 17,
        size_kb: 1.0,
        client_tag: tag.map(Into::into),
        idempotency_key: idempotency_key.map(Into::into),
        is_client_retry: false,
        body: memory_budget.allocate_body(length).expect("room").into(),
        arrived_at: 0,
        time_budget: 0,
    };
    let bare = AttemptSpec {
        node: 0,
        source: None,
        timeout: 1_500_400_000,
        begin_by: u64::MAX,
        max_age: None,
        coalesce: false,
        refresh: false,
        retention_rank: 0,
    };
    let line = |request: &IncomingRequest, spec: &AttemptSpec, source, way| {
        let head = node_protocol::pull_head(request, spec, "footage", source, way);
        String::from_utf8(head.with_wait(spec.timeout)).expect("text")
    };
    let plain = request(None, None, 0);
    let start = "PULL 9b1f03aa5c7e2d41 class=footage,key=00000000000000ff,part=3,wait=1500";
    assert_eq!(line(&plain, &bare, None, None), format!("{start} 0\r\n"));
    let full = AttemptSpec {
        max_age: Some(2_500_000_000),
        coalesce: true,
        refresh: true,
        retention_rank: 2,
        ..bare
    };
    let rest = ",miss=parent-a,way=hub-1+origin,prio=2,within=2500,f=collapse+refresh,mine=t1,once=m7 2\r\n";
    assert_eq!(
        line(&request(Some("t1"), Some("m7"), 2), &full, Some("parent-a"), Some("hub-1+origin")),
        format!("{start}{rest}")
    );
    let single_fields = [
        (AttemptSpec { retention_rank: 1, ..bare }, ",prio=1"),
        (AttemptSpec { max_age: Some(0), ..bare }, ",within=1"),
        (AttemptSpec { coalesce: true, ..bare }, ",f=collapse"),
        (AttemptSpec { refresh: true, ..bare }, ",f=refresh"),
    ];
    for (spec, field) in single_fields {
        assert_eq!(line(&plain, &spec, None, None), format!("{start}{field} 0\r\n"));
    }
    assert_eq!(line(&request(Some("t1"), None, 0), &bare, None, None), format!("{start},mine=t1 0\r\n"));
    assert_eq!(line(&request(None, Some("m7"), 0), &bare, None, None), format!("{start},once=m7 0\r\n"));
    // A node is given at least 1 ms.
    assert_eq!(
        node_protocol::pull_head(&plain, &bare, "footage", None, None).with_wait(0),
        b"PULL 9b1f03aa5c7e2d41 class=footage,key=00000000000000ff,part=3,wait=1 0\r\n"
    );
    assert_eq!(node_protocol::kill_line(b"9b1f03aa5c7e2d41"), b"KILL 9b1f03aa5c7e2d41\r\n");
}

fn event(text: &str) -> Result<NumberedEvent, String> {
    let value: Value = serde_json::from_str(text).expect("JSON");
    NumberedEvent::from_json(&value).map_err(|e| e.to_string())
}

#[test]
fn endpoint_and_purge_events() {
    let text = r#"{"n": 12, "at_ms": 5, "members": {"index": 3, "snapshot": false, "endpoints": [
        {"name": "cache-a", "address": "127.0.0.1:11001", "zone": "edge", "type": "small", "group": 4,
         "status": "ready", "weight": 1, "since_ms": 1700000000123},
        {"name": "b", "address": "[::1]:2", "zone": "hub", "type": "parent", "group": 65535,
         "status": "draining", "weight": 1, "since_ms": 0},
        {"name": "c", "address": "127.0.0.1:3", "zone": "hub", "type": "origin", "group": 0,
         "status": "gone", "since_ms": 18446744073709551615}]}}"#;
    let member = |name: &str, address: &str, zone: &str, kind: &str, cell, state, started| Endpoint {
        name: name.into(),
        address: address.parse::<SocketAddr>().expect("an address"),
        zone: zone.into(),
        kind: kind.into(),
        cell,
        state,
        started_at: started,
    };
    let listed = vec![
        member(
            "cache-a",
            "127.0.0.1:11001",
            "edge",
            "small",
            4,
            EndpointState::Ready,
            1_700_000_000_123_000_000,
        ),
        member("b", "[::1]:2", "hub", "parent", 65_535, EndpointState::Draining, 0),
        member("c", "127.0.0.1:3", "hub", "origin", 0, EndpointState::Gone, u64::MAX),
    ];
    let read = event(text).expect("an event");
    assert_eq!(
        (read.number, read.event),
        (12, DiscoveryEvent::Endpoints { endpoints: listed, is_snapshot: false })
    );
    let read = event(r#"{"n": 1, "members": {"snapshot": true, "endpoints": []}}"#).expect("an event");
    assert_eq!(
        (read.number, read.event),
        (1, DiscoveryEvent::Endpoints { endpoints: Vec::new(), is_snapshot: true })
    );

    let purges = [
        (r#"{"n": 7, "purge": {"key": "00000000000000ff", "made_ms": 9}}"#, Some(0xff), 0),
        (r#"{"n": 7, "purge": {"key": "ff", "group": 3}}"#, Some(0xff), 3),
        (r#"{"n": 7, "purge": {"key": null, "group": 17}}"#, None, 17),
        (r#"{"n": 7, "purge": {"group": 17}}"#, None, 17),
        (r#"{"n": 7, "purge": {}}"#, None, 0),
    ];
    for (text, object, group) in purges {
        let read = event(text).expect("an event");
        assert_eq!((read.number, read.event), (7, DiscoveryEvent::Purge { object, group }), "{text}");
    }
}

#[test]
fn causes_of_invalid_events() {
    let endpoint = json!({"name": "a", "address": "127.0.0.1:1", "zone": "z", "type": "t", "group": 0,
        "status": "odd", "since_ms": 0});
    let unknown_status = json!({"n": 4, "members": {"snapshot": true, "endpoints": [endpoint]}}).to_string();
    let cases = [
        ("{}", "an event has no number"),
        (r#"{"n": -1, "purge": {}}"#, "an event has no number"),
        (r#"{"n": 4}"#, "event 4: neither members, a purge nor a hierarchy"),
        (r#"{"n": 4, "purge": {"key": "xyz"}}"#, "event 4: key is not a 64-bit hexadecimal number"),
        (r#"{"n": 4, "purge": {"group": -1}}"#, "event 4: invalid value: integer `-1`, expected u32"),
        (r#"{"n": 4, "members": {"snapshot": true}}"#, "event 4: missing field `endpoints`"),
        (r#"{"n": 4, "members": {"endpoints": []}}"#, "event 4: missing field `snapshot`"),
        (&unknown_status, "event 4: a: unknown status odd"),
    ];
    for (text, cause) in cases {
        assert_eq!(event(text).expect_err(text), cause);
    }
}

const HIERARCHY: &str = r#"{"n": 9, "hierarchy": {"number": 3, "nodes": []}}"#;

#[test]
#[cfg(not(feature = "hierarchy"))]
fn hierarchy_events_are_rejected_without_the_feature() {
    let cause = "event 9: this program was built without the feature `hierarchy`";
    assert_eq!(event(HIERARCHY).expect_err("rejected"), cause);
}

#[test]
#[cfg(feature = "hierarchy")]
fn hierarchy_events_are_read_with_the_feature() {
    // The hierarchy's tests cover the form of a hierarchy; this checks the key by which an event contains one.
    assert!(event(HIERARCHY).is_err_and(|e| e.starts_with("event 9: ") && !e.contains("neither")));
}

#[test]
fn counter_line() {
    let counters = Counters {
        received: 1,
        succeeded: 2,
        rejected: 3,
        failed: 4,
        cancelled: 5,
        in_flight: 6,
        unchanged: 7,
        rejected_overload: 8,
        unusable: 9,
        attempts: 10,
        further_attempts: 11,
        late: 12,
        connections_opened: 13,
        connections_open: 14,
        discovery_events: 15,
        violations: 16,
        remembered_objects: 17,
        ..Counters::default()
    };
    let mut counters = counters;
    let outcomes = [
        Outcome::Success,
        Outcome::Miss,
        Outcome::Overloaded,
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    for (i, outcome) in outcomes.into_iter().enumerate() {
        (0..=i).for_each(|_| counters.record_outcome(outcome));
    }
    assert_eq!(
        counters.to_string(),
        "taken=1 satisfied=2 nacked=3 failed=4 cancelled=5 in_hand=6 unchanged=7 crowded=8 unfit=9 sends=10 \
         further=11 ok=1 miss=2 full=3 error=4 timed_out=5 unconnected=6 broken=7 called_off=8 never_sent=9 \
         late=12 links=13 links_open=14 facts=15 violations=16 objects=17"
    );
    let shared = ConnectionCounters::default();
    let all = [
        &shared.answers,
        &shared.answer_bytes,
        &shared.unsent_answers,
        &shared.body_bytes,
        &shared.bad_messages,
        &shared.bad_lines,
        &shared.clients,
        &shared.idle_closed,
        &shared.evicted_for_room,
        &shared.rejected_connections,
        &shared.shortages,
        &shared.stalls,
        &shared.expired,
        &shared.withdrawn,
        &shared.client_gone,
        &shared.unconfirmed,
        &shared.feed_calls,
        &shared.feed_gaps,
        &shared.feed_skipped,
        &shared.skipped_messages,
        &shared.feed_late_answers,
    ];
    all.into_iter().zip(1..).for_each(|(counter, n)| counter.store(n, Ordering::Relaxed));
    assert_eq!(
        shared.to_string(),
        "answers=1 answer_bytes=2 unsent=3 body_bytes=4 bad_messages=5 bad_lines=6 clients=7 idle_closed=8 \
         made_room=9 turned_away=10 shortages=11 stalls=12 expired=13 retracted=14 client_gone=15 \
         unconfirmed=16 feed_calls=17 feed_gaps=18 feed_skipped=19 skipped_messages=20 feed_late=21"
    );
}
