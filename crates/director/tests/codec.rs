//! Encoding, decoding and configuration, without sockets.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use sablecross::{
    Attempt, AttemptSpec, EndpointState, Outcome, Request, RouteDecision, Router, Settings, rank,
};
use sablecross_director::discovery_event::{DiscoveryEvent, Endpoint};
use sablecross_director::events::{CallId, CancellationFlag, IncomingRequest};
use sablecross_director::limits::Limits;
use sablecross_director::memory_budget::{BufferReservation, MemoryBudget};
use sablecross_director::name_table::NameTable;
use sablecross_director::process::config::Config;
use sablecross_director::shared::SharedContext;
use sablecross_director::wire::node_connections::NodeConnectionServer;
use sablecross_director::wire::node_pool::NodePool;
use sablecross_director::wire::node_protocol;
use sablecross_director::wire::rpc::{self, DecodeError, Message, MessageError, RequestFields, SkippedCall};

use serde_json::Value;

const SAMPLE: &str = include_str!("../../../deploy/sample.json");

fn limits() -> Limits {
    Limits::new(1_024, 192, 400_000_000, 30_000_000_000)
}

fn names() -> NameTable {
    NameTable { classes: vec!["footage".into(), "readings".into()], ..NameTable::default() }
}

fn text(out: &mut Vec<u8>, text: &str) {
    rmp::encode::write_str(out, text).expect("written");
}

/// A request with these fields and a body.
fn request_bytes(method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0, 7];
    text(&mut out, method);
    out.push(0x92);
    rmp::encode::write_map_len(&mut out, fields.len() as u32).expect("written");
    for (name, value) in fields {
        text(&mut out, name);
        text(&mut out, value);
    }
    rmp::encode::write_bin(&mut out, body).expect("written");
    out
}

const FIELDS: [(&str, &str); 9] = [
    ("rid", "9b1f03aa5c7e2d41"),
    ("budget", "1500"),
    ("obj", "7f3a9c21e0b4d655"),
    ("piece", "3"),
    ("lot", "17"),
    ("mem", "412.5"),
    ("ver", "4be0c1927d55a6f3"),
    ("token", "d06a66f0be6341e94b0783615350ddcc"),
    ("again", "1"),
];

#[test]
fn a_request_is_decoded_only_when_complete() {
    let (names, limits) = (names(), limits());
    let bytes = request_bytes("readings", &FIELDS, b"body");
    let fields = RequestFields {
        request_id: *b"9b1f03aa5c7e2d41",
        class: 1,
        budget_ms: 1_500,
        object: 0x7f3a_9c21_e0b4_d655,
        part: 3,
        group: 17,
        size_kb: 412.5,
        client_tag: Some("4be0c1927d55a6f3"),
        idempotency_key: Some("d06a66f0be6341e94b0783615350ddcc"),
        is_client_retry: true,
    };
    let complete = Message::Request { call: 7, fields, body: b"body" };
    assert_eq!(rpc::decode(&bytes, &names, &limits), Ok((complete, bytes.len())));
    for n in 0..bytes.len() {
        assert_eq!(
            rpc::decode(&bytes[..n], &names, &limits),
            Err(DecodeError::Incomplete),
            "first {n} bytes"
        );
    }
}

/// Guards against a skipped call that ends before or after its last byte, however its bytes are divided.
#[test]
fn a_skipped_call_ends_with_its_last_byte() {
    let limits = limits();
    let bytes = request_bytes("readings", &FIELDS, &[b'q'; 300]);
    let followed = [&bytes[..], b"next"].concat();
    for piece in 1..=followed.len() {
        let mut call = SkippedCall::start(&bytes).expect("a call");
        assert_eq!(call.number(), 7);
        let (mut received, mut skipped) = (0, 0);
        while !call.is_complete() {
            received = (received + piece).min(followed.len());
            skipped += call.skip(&followed[skipped..received], &limits).expect("valid");
        }
        assert_eq!(skipped, bytes.len(), "in pieces of {piece} bytes");
        assert!(received < bytes.len() + piece, "complete as soon as the last byte has come");
    }
}

#[test]
fn only_a_valid_call_within_the_limits_is_skipped() {
    let limits = limits();
    let start = |bytes: &[u8]| SkippedCall::start(bytes).map(|call| call.number());
    assert_eq!(start(b"\x94\x00\x05\xa5alive"), Ok(5));
    assert_eq!(start(b"\x93\x02\xa9cancel"), Err(MessageError::UnknownKind));
    assert_eq!(start(b"\x94\x01\x05"), Err(MessageError::UnknownKind));
    assert_eq!(start(b"\xc1"), Err(MessageError::WrongType));
    let skip = |bytes: &[u8]| SkippedCall::start(bytes).expect("a call").skip(bytes, &limits);
    assert_eq!(skip(b"\x94\x00\x05\xc1"), Err(MessageError::UnknownType));
    assert_eq!(skip(b"\x94\x00\x05\xc6\xff\xff\xff\xff"), Err(MessageError::ValueTooLong));
    // Many values that are allowed each: together they are longer than a message may be.
    let value = [&[0xc6, 0, 3, 0xa9, 0x80][..], &vec![0; limits.max_body_bytes]].concat();
    let long = [&b"\x94\x00\x05\x9f"[..], &value, &value].concat();
    assert_eq!(skip(&long), Err(MessageError::TooLong));
}

#[test]
fn unusable_requests_are_distinguished_from_invalid_bytes() {
    let (names, limits) = (names(), limits());
    let with = |name: &str, value: &str| {
        let fields: Vec<_> = FIELDS.iter().map(|&(n, v)| (n, if n == name { value } else { v })).collect();
        request_bytes("footage", &fields, b"")
    };
    let without = |name: &str| {
        let fields: Vec<_> = FIELDS.iter().copied().filter(|f| f.0 != name).collect();
        request_bytes("footage", &fields, b"")
    };
    let mut no_body = request_bytes("footage", &FIELDS, b"");
    no_body.truncate(no_body.len() - 2);
    no_body.push(0xc0);
    let unusable = [
        request_bytes("other", &FIELDS, b""),
        with("rid", "9b1f"),
        with("rid", "9B1F03AA5C7E2D41"),
        with("budget", "soon"),
        with("budget", "-1"),
        with("obj", "xx3a9c21e0b4d655"),
        with("piece", "1.5"),
        with("lot", "many"),
        with("lot", "256"),
        with("lot", "-1"),
        with("mem", "1e300"),
        with("budget", "99999999999"),
        with("piece", "4294967296"),
        with("ver", "a,b=c"),
        with("ver", ""),
        with("token", "a=b"),
        with("token", ""),
        with("again", "perhaps"),
        with("mem", "NaN"),
        with("mem", "-4"),
        without("rid"),
        without("budget"),
        without("obj"),
        without("piece"),
        no_body,
        vec![0x94, 0, 7, 0xa7, b'f', b'o', b'o', b't', b'a', b'g', b'e', 0x91, 0x80],
    ];
    for (i, bytes) in unusable.iter().enumerate() {
        let read = rpc::decode(bytes, &names, &limits);
        assert!(
            matches!(read, Ok((Message::Unusable { call: 7, .. }, n)) if n == bytes.len()),
            "{i}: {read:?}"
        );
    }
    let deep: Vec<u8> = std::iter::repeat_n(0x91, 40).collect();
    let invalid: [&[u8]; 9] = [
        &[0xc1],
        &[0x07],
        &[0x93, 2, 0xa1, b'x'],
        &[0x93, 2, 0xa1, b'x', 0x91, 1],
        &[0x94, 1, 7, 0xc0, 0xc0],
        &[0x94, 0, 0xa1, b'x', 0xa1, b'y', 0x90],
        &[0xc6, 0xff, 0xff, 0xff, 0xff],
        &[0xdd, 0xff, 0xff, 0xff, 0xff],
        &deep,
    ];
    for bytes in invalid {
        let read = rpc::decode(bytes, &names, &limits);
        // All cases are invalid, except one that is only incomplete.
        let is_rejected = matches!(read, Err(DecodeError::Invalid(_))) || bytes == [0x93, 2, 0xa1, b'x'];
        assert!(is_rejected, "{bytes:?}: {read:?}");
    }
    let endless = vec![0; limits.max_head_bytes + limits.max_body_bytes + 1];
    assert!(rpc::decode(&[&[0xdc, 0x3f, 0xff], &endless[..]].concat(), &names, &limits).is_err());
}

#[test]
fn other_messages_and_all_responses() {
    let (names, limits) = (names(), limits());
    let mut alive = vec![0x94, 0, 8];
    text(&mut alive, "alive");
    alive.extend([0x91, 0x80]);
    let mut cancel = vec![0x93, 2];
    text(&mut cancel, "cancelRequest");
    cancel.extend([0x91, 0xcd, 1, 0]);
    assert_eq!(rpc::decode(&alive, &names, &limits), Ok((Message::HealthCheck { call: 8 }, alive.len())));
    assert_eq!(rpc::decode(&cancel, &names, &limits), Ok((Message::Cancel { call: 256 }, cancel.len())));

    let satisfied = rpc::encode_success(7, 3, false);
    assert_eq!(satisfied.before_body, [0x94, 1, 7, 0xc0, 0x92, 0xc4, 3]);
    assert_eq!(satisfied.after_body, [0x80]);
    assert_eq!(rpc::encode_success(7, 0, true).after_body, *b"\x81\xa9unchanged\xa11");
    assert_eq!(rpc::encode_health(300, true), [0x94, 1, 0xcd, 1, 44, 0xc0, 0x92, 0xc3, 0x80]);
    assert_eq!(rpc::encode_error(7, "Rejected", &[]), *b"\x94\x01\x07\x92\xa8Rejected\x80\xc0");
    assert_eq!(
        rpc::encode_error(7, "Rejected", &[("backoff", "40")]),
        *b"\x94\x01\x07\x92\xa8Rejected\x81\xa7backoff\xa240\xc0"
    );
}

#[test]
fn answer_heads() {
    const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
    let cases = [
        ("ACK how=HIT,entity=t1,issued=17 5", Some((Outcome::Success, Some(true), Some("t1"), false, 5))),
        ("ACK how=MISS,entity=t1 5", Some((Outcome::Success, Some(false), Some("t1"), false, 5))),
        ("ACK how=COLLAPSED 0", Some((Outcome::Success, Some(false), None, false, 0))),
        ("ACK how=STALE 0", Some((Outcome::Success, Some(true), None, false, 0))),
        ("NOMOD entity=t1 0", Some((Outcome::Success, None, Some("t1"), true, 0))),
        ("NOENT - 0", Some((Outcome::Miss, None, None, false, 0))),
        ("AGAIN how=UP_BUSY 0", Some((Outcome::Overloaded, None, None, false, 0))),
        ("EIO - 0", Some((Outcome::Error, None, None, false, 0))),
        ("STALE - 0", Some((Outcome::NotSent, None, None, false, 0))),
        ("NOMOD entity=t1 5", None),
        ("ACK - many", None),
        ("ACK - -1", None),
        ("ACK -", None),
        ("ACK - 0 0", None),
        ("ACK entity 0", None),
        ("WHAT - 0", None),
    ];
    for (rest, want) in cases {
        let line = format!("{REQUEST_ID} {rest}");
        let head = node_protocol::parse_answer_head(line.as_bytes());
        let got = head.map(|h| (h.outcome, h.is_cache_hit, h.tag, h.is_unchanged, h.body_length));
        assert_eq!(got, want, "{rest}");
    }
    assert_eq!(node_protocol::parse_answer_head(b"short ACK - 0"), None);
    assert_eq!(node_protocol::parse_answer_head(b"\xff\xfe ACK - 0"), None);
    let line = format!("{REQUEST_ID} ACK stats=active:7;cpu:0.61;x1:x 0");
    let load = node_protocol::parse_answer_head(line.as_bytes()).and_then(|h| h.load).expect("a report");
    assert_eq!((load.cpu_utilization, load.link_utilization), (Some(0.61), None));
}

#[test]
fn every_field_of_an_attempt_is_written() {
    let memory_budget = MemoryBudget::new(100);
    let incoming = |tag: Option<&str>| IncomingRequest {
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
        idempotency_key: tag.map(|_| "m7".into()),
        is_client_retry: false,
        body: memory_budget.allocate_body(2).expect("room").into(),
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
    let full = AttemptSpec { max_age: Some(1), coalesce: true, refresh: true, retention_rank: 2, ..bare };
    let start = "PULL 9b1f03aa5c7e2d41 class=footage,key=00000000000000ff,part=3,wait=1500";
    let line = |request: &IncomingRequest, spec: &AttemptSpec, source| {
        String::from_utf8(
            node_protocol::pull_head(request, spec, "footage", source, None).with_wait(spec.timeout),
        )
        .expect("text")
    };
    assert_eq!(line(&incoming(None), &bare, None), format!("{start} 2\r\n"));
    assert_eq!(
        line(&incoming(Some("t1")), &full, Some("parent-a")),
        format!("{start},miss=parent-a,prio=2,within=1,f=collapse+refresh,mine=t1,once=m7 2\r\n")
    );
    assert_eq!(node_protocol::kill_line(b"9b1f03aa5c7e2d41"), b"KILL 9b1f03aa5c7e2d41\r\n");
}

/// The names of the primary and the source of each of 40 objects, at the director with this index. Its endpoint list has
/// this order and addresses of its own.
fn primaries(number: usize, order: impl Iterator<Item = usize>) -> Vec<(String, String)> {
    let config = Config::parse(SAMPLE).expect("the sample is valid");
    let (shared, _) = SharedContext::new(config.names, limits());
    let now = shared.clock.now();
    let (_server, commands) = NodeConnectionServer::new(&shared).expect("polls");
    let mut nodes = NodePool::new(commands, shared);
    let member = |i: usize| Endpoint {
        name: format!("s-{:08x}", i * 0x0135_79bd),
        address: SocketAddr::from(([127, number as u8, 0, i as u8], 10_080)),
        zone: if i < 6 { "edge" } else { "hub" }.into(),
        kind: if i < 6 { "small" } else { "parent" }.into(),
        cell: i,
        state: EndpointState::Ready,
        started_at: 0,
    };
    let members: Vec<Endpoint> = order.map(member).collect();
    let mut router = Router::new(Settings { director_index: number, ..config.settings }, number as u64, now);
    router.update_endpoints(now, &nodes.update_endpoints(&members, true, 0, 0), true);
    let primary = |object| {
        let request = Request {
            object,
            part: 0,
            group: 0,
            class: 0,
            size_kb: 10.0,
            arrived_at: now,
            deadline: now + 3_000_000_000,
            is_client_retry: false,
            is_write: false,
            attempts: Vec::new(),
        };
        let RouteDecision::Attempt(spec) = router.route(now, &request) else { panic!("no attempt") };
        let name = |node| nodes.name(node).to_owned();
        (name(spec.node), spec.source.map(name).unwrap_or_default())
    };
    (0..40).map(primary).collect()
}

#[test]
fn primaries_do_not_depend_on_addresses_or_list_order() {
    let one = primaries(1, 0..9);
    for (number, order) in [(2, vec![8, 7, 6, 5, 4, 3, 2, 1, 0]), (3, vec![4, 0, 8, 2, 6, 1, 5, 3, 7])] {
        assert_eq!(primaries(number, order.into_iter()), one, "director {number}");
    }
    let used: HashSet<&String> = one.iter().flat_map(|(primary, source)| [primary, source]).collect();
    assert_eq!(used.len(), 9, "all caches and parents are used");
}

#[test]
fn memory_for_bodies_is_bounded() {
    let budget = MemoryBudget::new(10);
    let first = budget.allocate_body(6).expect("room");
    assert!(budget.allocate_body(5).is_none() && budget.allocate_body(usize::MAX).is_none());
    let second = budget.allocate_body(4).expect("room");
    drop(first);
    assert!(budget.allocate_body(6).is_some() && budget.allocate_body(7).is_none());
    drop(second);
}

/// Guards against incomplete messages that take the memory of complete requests and their answers.
#[test]
fn read_buffers_use_half_of_the_memory_at_most() {
    let budget = MemoryBudget::new(10);
    let (mut one, mut other) = (BufferReservation::new(&budget), BufferReservation::new(&budget));
    assert!(one.grow_to(2) && one.grow_to(4) && !one.grow_to(6));
    assert!(other.grow_to(1) && !other.grow_to(2));
    assert_eq!((one.bytes(), other.bytes()), (4, 1), "what finds no room changes nothing");
    let body = budget.allocate_body(5).expect("the other half");
    assert!(budget.allocate_body(1).is_none());
    one.release();
    assert!(budget.allocate_body(4).is_some() && budget.allocate_body(5).is_none());
    drop(other);
    let other_body = budget.allocate_body(5).expect("all buffers are empty");
    assert!(!one.grow_to(1), "bodies may use all of it");
    drop((body, other_body));
    assert!(one.grow_to(5));
}

#[test]
fn an_invalid_configuration_is_reported_with_its_key() {
    let config = Config::parse(SAMPLE).expect("the sample is valid");
    assert_eq!((config.settings.zone, config.names.classes.len()), (1, 2));
    assert_eq!(config.names.zones, HashMap::from([("hub".into(), 0), ("edge".into(), 1)]));
    let cases = [
        ("\"name\": \"sample\"", "\"name\": 7", "name:"),
        ("\"listen\": \"127.0.0.1:10080\"", "\"listen\": \"here\"", "listen:"),
        ("\"feed\": \"127.0.0.1:7070\",", "", "feed:"),
        ("\"feed\": ", "\"feeds\": 7, \"feed\": ", "feeds:"),
        ("\"feed\": ", "\"feeds\": [\"127.0.0.1:1\", \"there\"], \"feed\": ", "feeds.1:"),
        ("6e1f0c27a4d59b83", "no number", "seed:"),
        ("\"memory_mb\": 192", "\"memory_mb\": -1", "limits.memory_mb:"),
        ("\"sockets\": 1024", "\"sockets\": 0", "limits.sockets:"),
        ("\"known\": {\"n\": 1,", "\"known\": {\"n\": \"x\",", "known.n:"),
        ("\"snapshot\": true", "\"snapshot\": 7", "known.events:"),
        ("\"status\": \"ready\"", "\"status\": \"odd\"", "known.events:"),
        ("127.0.0.1:11001", "nowhere", "known.events:"),
        ("\"dialTimeoutUs\": 400000,", "", "ceilings.dialTimeoutUs"),
        ("\"coldFrom\": 0.25", "\"coldFrom\": 1.5", "guarantees.coldFrom"),
        ("\"effect\": \"idempotent\"", "\"effect\": \"odd\"", "classes.0.effect"),
        ("\"name\": \"readings\", ", "", "classes.1.name"),
        ("\"zones\": [\"hub\", \"edge\"],", "", "zones"),
        ("\"zoneBalancers\": [0, 1]", "\"zoneBalancers\": [0]", "extra.zoneBalancers"),
    ];
    for (from, to, key) in cases {
        assert!(SAMPLE.contains(from), "{from}");
        let error = Config::parse(&SAMPLE.replace(from, to)).expect_err(key).to_string();
        assert!(error.contains(key) && error.lines().count() == 1, "{key}: {error}");
    }
    assert!(Config::parse("{").is_err_and(|e| e.to_string().starts_with("configuration:")));
}

/// Collects the path of each leaf of a JSON value.
fn leaves(value: &Value, path: String, to: &mut Vec<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| leaves(v, format!("{path}/{k}"), to)),
        Value::Array(items) if !items.is_empty() => {
            items.iter().enumerate().for_each(|(i, v)| leaves(v, format!("{path}/{i}"), to));
        }
        _ => to.push(path),
    }
}

/// Guards against settings of other installations that are accepted and then fail: each setting is removed, or replaced by
/// values of another type or far out of range. Either the start fails with the key, or the router works with the settings.
#[test]
fn missing_unknown_or_extreme_settings_are_rejected_by_key_or_work() {
    let sample: Value = serde_json::from_str(SAMPLE).expect("the sample is valid");
    let mut paths = Vec::new();
    leaves(&sample["settings"], "/settings".into(), &mut paths);
    let changes: [Option<Value>; 7] = [
        None,
        Some(Value::Null),
        Some(u64::MAX.into()),
        Some((-1).into()),
        Some(0.into()),
        Some(1e308.into()),
        Some(Value::String("odd, or so".into())),
    ];
    let (mut refused, mut served) = (0, 0);
    for path in &paths {
        for change in &changes {
            let mut all = sample.clone();
            all["settings"]["unheardOf"] = serde_json::json!({"a": [1, {"b": 2}]});
            let (above, key) = path.rsplit_once('/').expect("a path");
            match (all.pointer_mut(above).expect("above"), change) {
                (Value::Object(fields), None) => drop(fields.remove(key)),
                (Value::Array(items), None) => drop(items.remove(key.parse().expect("an index"))),
                (fields, Some(value)) => {
                    *fields.pointer_mut(&format!("/{key}")).expect("there") = value.clone()
                }
                _ => unreachable!("{path}"),
            }
            let config = match Config::parse(&all.to_string()).map_err(|e| e.to_string()) {
                Err(e) => {
                    let name =
                        path.split('/').skip(2).find(|p| p.parse::<usize>().is_err() && e.contains(*p));
                    assert!(name.is_some() && e.lines().count() == 1, "{path} {change:?}: {e}");
                    refused += 1;
                    continue;
                }
                Ok(config) => config,
            };
            served += 1;
            let class_count = config.settings.request_classes.len();
            let (shared, _) = SharedContext::new(config.names, config.limits);
            let (now, longest) = (shared.clock.now(), shared.limits.max_budget);
            let (_server, commands) = NodeConnectionServer::new(&shared).expect("polls");
            let mut nodes = NodePool::new(commands, shared);
            let mut router = Router::new(config.settings, 1, now);
            for event in config.known.events {
                if let DiscoveryEvent::Endpoints { endpoints, is_snapshot } = event.event {
                    router.update_endpoints(
                        now,
                        &nodes.update_endpoints(&endpoints, is_snapshot, 0, 0),
                        is_snapshot,
                    );
                }
            }
            router.record_purge(now, Some(3), 0, 0);
            for (class, object) in (0..class_count).flat_map(|class| [(class, 1), (class, 3)]) {
                let mut request = router_request(object, now, now + longest);
                request.class = class;
                for later in [0, 1, 500_000_000] {
                    if let RouteDecision::Attempt(spec) = router.route(now + later, &request) {
                        let AttemptSpec { node, source, .. } = spec;
                        request.attempts.push(Attempt { node, source, sent_at: now + later, outcome: None });
                        router.next_check(now + later, &request);
                        request.attempts.last_mut().expect("sent").outcome = Some(Outcome::Error);
                        router.on_outcome(now + later, &request, request.attempts.len() - 1, later, None);
                    }
                }
            }
        }
    }
    assert!(refused > 100 && served > 50, "{refused} refused, {served} served");
    // The order of the request classes does not matter if the lists per class have the same order.
    let mut reordered = sample.clone();
    let lists =
        ["/classes", "/extra/freshForUs", "/extra/usableAfterUs", "/extra/multiPart", "/extra/neverKept"];
    for list in lists {
        let list = reordered["settings"].pointer_mut(list).and_then(Value::as_array_mut).expect("a list");
        list.reverse();
    }
    let [first, other] = [&sample, &reordered].map(|s| Config::parse(&s.to_string()).expect("valid"));
    let named = |c: &Config, name: &str| {
        let at = c.names.classes.iter().position(|k| k == name).expect("named");
        c.settings.request_classes[at].clone()
    };
    for name in ["footage", "readings"] {
        assert_eq!(named(&first, name), named(&other, name));
    }
    // Zone names may contain any characters.
    let spaced = SAMPLE.replace("\"edge\"", "\"north, by sea\"");
    assert_eq!(Config::parse(&spaced).expect("valid").names.zones["north, by sea"], 1);
}

fn router_request(object: u64, arrived: u64, deadline: u64) -> Request {
    let (part, group, class, size_kb) = (0, 0, 0, 10.0);
    let (is_client_retry, is_write, attempts) = (false, false, Vec::new());
    Request {
        object,
        part,
        group,
        class,
        size_kb,
        arrived_at: arrived,
        deadline,
        is_client_retry,
        is_write,
        attempts,
    }
}

#[test]
fn the_index_of_a_node_that_is_gone_is_reused() {
    // Each node has an address of its own: one that becomes ready at the address of another takes its place.
    let config = Config::parse(SAMPLE).expect("the sample is valid");
    let (shared, _) = SharedContext::new(config.names, limits());
    let (_server, commands) = NodeConnectionServer::new(&shared).expect("polls");
    let mut nodes = NodePool::new(commands, shared);
    let mut list = |name: &str, state, oldest, next| {
        let member = Endpoint {
            name: name.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + (rank(name) % 10_000) as u16)),
            zone: "edge".into(),
            kind: "small".into(),
            cell: 0,
            state,
            started_at: 0,
        };
        nodes.update_endpoints(&[member], false, oldest, next).first().map(|line| line.node)
    };
    assert_eq!(list("a", EndpointState::Ready, 0, 0), Some(0));
    assert_eq!(list("a", EndpointState::Gone, 3, 7), Some(0));
    assert_eq!(
        list("b", EndpointState::Ready, 6, 9),
        Some(1),
        "an older request in flight may still use the index"
    );
    assert_eq!(list("c", EndpointState::Ready, 7, 9), Some(0), "no older request is in flight");
    assert_eq!(
        list("a", EndpointState::Ready, 7, 9),
        Some(2),
        "a node whose index was reused gets a new one"
    );
    assert_eq!(list("unheard", EndpointState::Gone, 7, 9), None);
    // A node that is back before its index is reused keeps the index.
    assert_eq!(list("b", EndpointState::Gone, 8, 10), Some(1));
    assert_eq!(list("b", EndpointState::Ready, 8, 10), Some(1));
    assert_eq!(list("d", EndpointState::Ready, 50, 50), Some(3));
    for n in 0..100 {
        let name = format!("n{n}");
        assert!(list(&name, EndpointState::Ready, n + 60, n + 60) <= Some(5), "{name}");
        list(&name, EndpointState::Gone, n + 60, n + 60);
    }
}
