//! Builders and parsers that the tests share.
#![allow(dead_code)]

use sablecross_relay::*;

pub(crate) const MS: Ns = 1_000_000;
pub(crate) const SEC: Ns = 1_000 * MS;
/// Unix time in milliseconds at which the tests start.
pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;

pub(crate) fn relay_config(name: &str, retention: RetentionWindow, max_log_bytes: usize) -> RelayConfig {
    let (missing_after, forget_after) = (SEC, 3_600 * SEC);
    RelayConfig {
        name: name.into(),
        retention,
        max_event_bytes: 1 << 16,
        max_log_bytes,
        missing_after,
        forget_after,
        max_floor_history: 4_096,
    }
}

pub(crate) fn group_config(voters: usize, safety_checks: SafetyChecks) -> GroupConfig {
    let lease = sablecross_coordination::LeaseConfig {
        voter_count: voters as u32,
        duration: 400 * MS,
        round_timeout: 100 * MS,
        attempt_spacing: 40 * MS,
    };
    GroupConfig {
        voter_names: (0..voters).map(|v| format!("r{v}")).collect(),
        lease,
        call_timeout: 120 * MS,
        heartbeat_interval: 150 * MS,
        batch_interval: 0,
        max_call_bytes: 1 << 16,
        reset_timeout: Ns::MAX,
        max_purge_lead: 60 * SEC,
        safety_checks,
    }
}

pub(crate) fn event(body: &str) -> Event {
    Event::parse(body.as_bytes(), 1 << 20).expect(body).event
}

pub(crate) fn purge(key: u64, created_unix_ms: u64) -> Event {
    event(&format!(r#"{{"purge":{{"key":"{key:016x}","at":{created_unix_ms}}}}}"#))
}

/// Returns the JSON of an endpoint in a list event.
pub(crate) fn endpoint_json(name: &str, status: &str) -> String {
    let rest = r#""address":"10.0.0.1:1","zone":"z","type":"std","group":0,"weight":4,"since_ms":0"#;
    format!(r#"{{"name":"{name}","status":"{status}",{rest}}}"#)
}

/// Returns a list event, complete or with changes only.
pub(crate) fn list(index: u64, is_snapshot: bool, endpoints: &[String]) -> Event {
    let endpoints = endpoints.join(",");
    event(&format!(r#"{{"members":{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{endpoints}]}}}}"#))
}

pub(crate) fn hierarchy(version: u64) -> Event {
    let nodes =
        r#"[{"name":"o","tier":0,"capacity":9.0},{"name":"p","tier":1,"sources":["o"],"capacity":9.0}]"#;
    event(&format!(r#"{{"hierarchy":{{"head":{{"version":{version},"ceiling":9.0}},"nodes":{nodes}}}}}"#))
}

/// Parses the frames that a subscriber was sent into numbers and JSON.
pub(crate) fn parse_frames(out: Vec<u8>) -> Vec<(u64, String)> {
    let text = String::from_utf8(out).expect("text");
    let parse_frame = |b: &str| {
        let (id, data) = b.split_once("\ndata: ").expect("two lines");
        (id.strip_prefix("id: ").and_then(|n| n.parse().ok()).expect("a number"), data.to_owned())
    };
    text.split_terminator("\n\n").map(parse_frame).collect()
}
