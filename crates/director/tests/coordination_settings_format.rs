//! The coordination settings with every key and default, the tag of a health check, and the frames of a call between members,
//! as literals: a rename in the source must not change them.
#![cfg(feature = "coordination")]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use sablecross_coordination::messages::{Message, Reply, Request};
use sablecross_coordination::{CoordinationConfig, FencingToken, Member, WarmingLimits};
use sablecross_director::coordination::settings::{
    CoordinationSettings, HIERARCHY_ROLE, ROLES, WARMING_ROLE, role_name,
};
use sablecross_director::coordination::{HealthCheckTag, InvalidTag, call_member};

const MS: u64 = 1_000_000;

#[test]
fn every_key_of_the_settings() {
    let text = r#"
(duty (lease-ms . 301) (round-ms . 102) (apart-ms . 53) (beat-ms . 204) (probe-ms . 1005) (patience-ms . 406)
      (gone-after-ms . 60007) (probing . #t) (warming . #t) (warm-bears . 20.5) (warm-part . 0.75) (warm-objects . 208))
(voter (number . 9) (address . "127.0.0.1:10089"))
(voter (number . 1) (address . "[::1]:10081"))
"#;
    let complete = CoordinationSettings {
        config: CoordinationConfig {
            voters: vec![9, 1],
            roles: vec![0, 1, 2],
            lease_duration: 301 * MS,
            round_timeout: 102 * MS,
            attempt_spacing: 53 * MS,
            heartbeat_interval: 204 * MS,
            check_interval: 1_005 * MS,
            check_timeout: 406 * MS,
        },
        voter_addresses: vec!["127.0.0.1:10089".parse().expect("one"), "[::1]:10081".parse().expect("one")],
        checks_health: true,
        member_gone_after: 60_007 * MS,
        warming: Some(WarmingLimits {
            warm_requests_per_second: 20.5,
            capacity_share: 0.75,
            initial_share: 1.0,
            warm_up_time: 0,
            fetch_timeout: 301 * MS,
            max_objects: 208,
        }),
    };
    assert_eq!(CoordinationSettings::parse("f", text).expect("read"), complete);
    let without = text.replace("(probing . #t) (warming . #t)", "(probing . #f) (warming . #f)");
    assert_eq!(
        CoordinationSettings::parse("f", &without).expect("read"),
        CoordinationSettings { checks_health: false, warming: None, ..complete }
    );
}

#[test]
fn every_default_of_the_settings() {
    let voter = "(voter (number . 0) (address . \"127.0.0.1:10080\"))";
    let defaults = CoordinationSettings {
        config: CoordinationConfig {
            voters: vec![0],
            roles: vec![0, 1, 2],
            lease_duration: 1_000 * MS,
            round_timeout: 200 * MS,
            attempt_spacing: 50 * MS,
            heartbeat_interval: 200 * MS,
            check_interval: 1_000 * MS,
            check_timeout: 400 * MS,
        },
        voter_addresses: vec!["127.0.0.1:10080".parse().expect("one")],
        checks_health: true,
        member_gone_after: 60_000 * MS,
        warming: None,
    };
    assert_eq!(CoordinationSettings::parse("f", &format!("(duty)\n{voter}")).expect("read"), defaults);
    let warming = WarmingLimits {
        warm_requests_per_second: 20.0,
        capacity_share: 0.25,
        initial_share: 1.0,
        warm_up_time: 0,
        fetch_timeout: 1_000 * MS,
        max_objects: 200,
    };
    assert_eq!(
        CoordinationSettings::parse("f", &format!("(duty (warming . #t))\n{voter}")).expect("read"),
        CoordinationSettings { warming: Some(warming), ..defaults }
    );
}

#[test]
fn errors_name_file_line_key_and_cause() {
    let voter = "(voter (number . 0) (address . \"127.0.0.1:1\"))";
    let mut lines = Vec::new();
    for text in [
        voter.to_owned(),
        "(duty)".into(),
        format!("(duty (lease-ms . 10))\n{voter}"),
        format!("(duty (lease-ms . 300) (round-ms . 200))\n{voter}"),
        format!("(duty (warming . #t) (probing . #f))\n{voter}"),
        format!("(duty (warm-part . 2.0))\n{voter}"),
        format!("(duty)\n{voter}\n{voter}"),
        format!("(duty)\n(duty)\n{voter}"),
        "(duty)\n(voter (number . 0) (address . \"here\"))".into(),
        "(duty)\n(voter (number . 2000000) (address . \"127.0.0.1:1\"))".into(),
        format!("(duty (lease . 10))\n{voter}"),
        format!("(duty)\n{voter}\n(owner)"),
    ] {
        let faults = CoordinationSettings::parse("f", &text).expect_err(&text);
        lines.push(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "));
    }
    let expected = [
        r#"f:1:1: duty: no (duty ...) form (add one)"#,
        r#"f:1:1: voter: between 1 and 15 voters are needed (three or five are usual)"#,
        r#"f:1:8: duty.lease-ms: lower than 50"#,
        r#"f:1:1: duty.round-ms: longer than half of the lease (a holder has to renew its lease in time)"#,
        r#"f:1:1: duty.warming: needs (probing . #t) (warming uses the connections of health checks)"#,
        r#"f:1:8: duty.warm-part: greater than 1"#,
        r#"f:3:1: voter: another voter has the same number or address (each voter needs its own)"#,
        r#"f:2:1: duty: a second (duty ...) form (keep one)"#,
        r#"f:2:22: voter.address: invalid socket address syntax"#,
        r#"f:2:9: voter.number: greater than 1000000"#,
        r#"f:1:8: duty.lease: unknown field `lease`, expected one of `lease-ms`, `round-ms`, `apart-ms`, `beat-ms`, `probe-ms`, `patience-ms`, `gone-after-ms`, `probing`, `warming`, `warm-bears`, `warm-part`, `warm-objects`"#,
        r#"f:3:1: unknown variant `owner`, expected `duty` or `voter`"#,
    ];
    assert_eq!(lines, expected);
}

#[test]
fn role_names_and_numbers() {
    assert_eq!(ROLES, [(0, "dealing"), (1, "driving"), (2, "warming")]);
    assert_eq!((HIERARCHY_ROLE, WARMING_ROLE, role_name(1), role_name(3)), (1, 2, "driving", "unknown"));
}

#[test]
fn health_check_tag_format() {
    let tag = HealthCheckTag {
        token: FencingToken { term: 0xa1, holder: Member { number: 0xb2, incarnation: 0xc3 } },
        sequence: 0xd4,
    };
    assert_eq!(tag.to_string(), "a1-b2-c3-d4");
    assert_eq!("a1-b2-c3-d4".parse(), Ok(tag));
    for invalid in ["", "a1-b2-c3", "a1-b2-c3-x", "a1-100000000-c3-d4"] {
        assert_eq!(invalid.parse::<HealthCheckTag>(), Err(InvalidTag), "{invalid}");
    }
}

#[test]
fn call_and_reply_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let at = listener.local_addr().expect("bound");
    let voter = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("called");
        // An array of four: the message type, the call number, the method, and an empty field map with the body.
        let call = b"\x94\x00\x01\xa4duty\x92\x80\xc4\x0a\x92\x92\x07\x08\x91\xa4Show";
        let mut received = vec![0; call.len()];
        stream.read_exact(&mut received).expect("a call");
        assert_eq!(received.escape_ascii().to_string(), call.escape_ascii().to_string());
        let body = b"\x91\x81\xa9HandsOver\x92\x01\xc3";
        stream.write_all(b"\x94\x01\x01\xc0\x92\xc4").expect("answered");
        stream.write_all(&[body.len() as u8]).expect("answered");
        stream.write_all(body).expect("answered");
        stream.write_all(b"\x80").expect("answered");
    });
    let request = Request { from: Member { number: 7, incarnation: 8 }, messages: vec![Message::ShowStatus] };
    let answers = call_member(at, &request, Duration::from_secs(5));
    voter.join().expect("the frame");
    assert_eq!(answers.expect("answered"), [Reply::HandOverStarted { role: 1, started: true }]);
}
