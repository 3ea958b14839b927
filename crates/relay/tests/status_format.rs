//! Format of the relays' status JSON, which operators and scripts read, and of the event stream.

use std::fmt::Debug;

use sablecross_relay::{AppliedSince, AppliedStatus, MergedSubscriber, RelayRole, StalenessComment};
use sablecross_relay::{
    Event, FencingToken, FleetView, Member, ParsedEvent, RelayStatus, Staleness, SubscriberStatus,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("encoded"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("decoded"), value);
}

fn subscriber() -> SubscriberStatus {
    SubscriberStatus {
        name: "n5".into(),
        number: 41,
        last_seen_age_ms: Some(120),
        connected: true,
        missing: false,
    }
}

fn applied(number: u64, unix_ms: u64) -> AppliedSince {
    AppliedSince { number, unix_ms }
}

const SUBSCRIBER: &str = r#"{"name":"n5","number":41,"heard_ms_ago":120,"connected":true,"missing":false}"#;
const SUBSCRIBER_WITHOUT_REPORT: &str =
    r#"{"name":"n6","number":0,"heard_ms_ago":null,"connected":false,"missing":true}"#;

#[test]
fn status_of_a_relay() {
    let without_report = SubscriberStatus {
        name: "n6".into(),
        number: 0,
        last_seen_age_ms: None,
        connected: false,
        missing: true,
    };
    assert_json(&subscriber(), SUBSCRIBER);
    assert_json(&without_report, SUBSCRIBER_WITHOUT_REPORT);
    let status = RelayStatus {
        name: "relay-0".into(),
        unix_ms: 1_700_000_000_000,
        role: RelayRole::Leader,
        leader: Some(0),
        term: 3,
        staleness_ms: Some(2),
        snapshot_number: 10,
        last_number: 42,
        last_stored: 43,
        log_bytes: 1_234,
        endpoints: Some(5),
        floor: 41,
        floor_history: vec![applied(40, 1_699_999_999_000), applied(41, 1_699_999_999_500)],
        subscribers: vec![subscriber(), without_report],
        recovering_ms: Some(7),
        reset_unix_ms: 1_699_000_000_000,
        rejected_tokens: 1,
    };
    let text = format!(
        "{{\"name\":\"relay-0\",\"unix_ms\":1700000000000,\"role\":\"owner\",\"owner\":0,\"term\":3,\"fresh_ms\":2,\
         \"base\":10,\"last\":42,\"kept\":43,\"log_bytes\":1234,\"endpoints\":5,\"floor\":41,\
         \"passed\":[[40,1699999999000],[41,1699999999500]],\"readers\":[{SUBSCRIBER},{SUBSCRIBER_WITHOUT_REPORT}],\
         \"learning_ms\":7,\"anew_unix_ms\":1699000000000,\"refused\":1}}"
    );
    assert_json(&status, &text);
    assert_json(
        &RelayStatus::default(),
        "{\"name\":\"\",\"unix_ms\":0,\"role\":\"plain\",\"owner\":null,\"term\":0,\"fresh_ms\":null,\
         \"base\":0,\"last\":0,\"kept\":0,\"log_bytes\":0,\"endpoints\":null,\"floor\":0,\
         \"passed\":[],\"readers\":[],\"learning_ms\":null,\"anew_unix_ms\":0,\"refused\":0}",
    );
}

const MERGED: &str =
    r#"{"name":"n5","number":41,"heard_unix_ms":1699999999880,"connected":true,"relay":"relay-0"}"#;
const MERGED_WITHOUT_REPORT: &str =
    r#"{"name":"n6","number":0,"heard_unix_ms":null,"connected":false,"relay":"relay-0"}"#;

#[test]
fn roles() {
    let roles = [(RelayRole::Leader, "owner"), (RelayRole::Voter, "voter"), (RelayRole::Plain, "plain")];
    for (role, name) in roles {
        assert_json(&role, &format!("\"{name}\""));
        assert_eq!(format!("{role:6}|"), format!("{name:6}|"));
    }
}

#[test]
fn merged_statuses() {
    let merged = |name: &str, number, last_seen: Option<u64>| MergedSubscriber {
        name: name.into(),
        number,
        last_seen_unix_ms: last_seen,
        connected: last_seen.is_some(),
        relay: "relay-0".into(),
    };
    let (subscriber, without_report) = (merged("n5", 41, Some(1_699_999_999_880)), merged("n6", 0, None));
    assert_json(&subscriber, MERGED);
    assert_json(&without_report, MERGED_WITHOUT_REPORT);
    let fleet = FleetView {
        subscribers: vec![subscriber, without_report.clone()],
        floor_history: vec![applied(41, 1_699_999_999_500)],
        last_number: 42,
    };
    let text = format!(
        "{{\"readers\":[{MERGED},{MERGED_WITHOUT_REPORT}],\"passed\":[[41,1699999999500]],\"last\":42}}"
    );
    assert_json(&fleet, &text);
    let applied_everywhere =
        AppliedStatus { number: 41, since_unix_ms: Some(1_699_999_999_500), missing: vec![without_report] };
    let text =
        format!("{{\"number\":41,\"since_unix_ms\":1699999999500,\"missing\":[{MERGED_WITHOUT_REPORT}]}}");
    assert_json(&applied_everywhere, &text);
    let not_applied = AppliedStatus { number: 42, since_unix_ms: None, missing: Vec::new() };
    assert_json(&not_applied, r#"{"number":42,"since_unix_ms":null,"missing":[]}"#);
}

#[test]
fn frames_and_comments_of_the_stream() {
    let body = r#"{"purge":{"key":"00000000000000ff","at":1700000000000}}"#;
    let ParsedEvent { number, event } = Event::parse(body.as_bytes(), 1_000).expect("a purge");
    assert_eq!((number, event.body()), (None, body));
    let frame = "id: 42\ndata: {\"n\":42,\"purge\":{\"key\":\"00000000000000ff\",\"at\":1700000000000}}\n\n"
        .as_bytes();
    assert_eq!(event.to_frame(42), frame);
    let numbered = br#"{"n":7,"members":{"index":3,"snapshot":true,"endpoints":[]}}"#;
    let ParsedEvent { number, event } = Event::parse(numbered, 1_000).expect("a list");
    let body = r#"{"members":{"index":3,"snapshot":true,"endpoints":[]}}"#;
    assert_eq!((number, event.body()), (Some(7), body));
    assert_eq!(Event::empty_update().body(), r#"{"members":{"index":0,"snapshot":false,"endpoints":[]}}"#);
    assert_eq!(Event::snapshot(3, [].into_iter()).body(), body);

    const MS: u64 = 1_000_000;
    let mut staleness = Staleness::unknown();
    assert_eq!(staleness.to_comment(5 * MS), ": fresh - owner - term -\n\n");
    staleness.record(10 * MS, 0, None);
    assert_eq!(staleness.to_comment(12 * MS), ": fresh 2 owner - term -\n\n");
    let token = FencingToken { term: 3, holder: Member { number: 7, incarnation: 0 } };
    staleness.record(12 * MS, 0, Some(token));
    assert_eq!(staleness.to_comment(14 * MS), ": fresh 2 owner 7 term 3\n\n");
    assert_eq!(
        Staleness::parse_comment(" fresh 2 owner 7 term 3"),
        Some(StalenessComment { age: 2 * MS, leader: Some(token) })
    );
    assert_eq!(
        Staleness::parse_comment("fresh - owner - term -"),
        Some(StalenessComment { age: u64::MAX, leader: None })
    );
    assert_eq!(Staleness::parse_comment(" tick"), None);
}

const ENDPOINT: [(&str, &str); 7] = [
    ("name", "\"n1\""),
    ("address", "\"127.0.0.1:9\""),
    ("zone", "\"east\""),
    ("type", "\"cache\""),
    ("group", "0"),
    ("status", "\"ready\""),
    ("since_ms", "0"),
];

/// Returns a list event with one endpoint that has these fields.
fn list(fields: impl Iterator<Item = (&'static str, &'static str)>) -> String {
    let fields: Vec<String> = fields.map(|(key, value)| format!("\"{key}\":{value}")).collect();
    let endpoint = fields.join(",");
    format!("{{\"members\":{{\"index\":1,\"snapshot\":false,\"endpoints\":[{{{endpoint}}}]}}}}")
}

#[test]
fn all_keys_of_an_endpoint_are_required() {
    for status in ["\"ready\"", "\"draining\"", "\"gone\""] {
        let text = list(ENDPOINT.into_iter().map(|(k, v)| (k, if k == "status" { status } else { v })));
        let event = Event::parse(text.as_bytes(), 1_000).expect("a list").event;
        assert_eq!(event.body(), text);
    }
    for (missing, _) in ENDPOINT {
        let text = list(ENDPOINT.into_iter().filter(|(key, _)| *key != missing));
        let error = Event::parse(text.as_bytes(), 1_000).expect_err("an error").to_string();
        let name = if missing == "name" { "" } else { "n1" };
        let expected = format!("members: endpoint 0 ({name}): missing field `{missing}` at line 1 column ");
        assert!(error.starts_with(&expected), "{error}");
    }
}
