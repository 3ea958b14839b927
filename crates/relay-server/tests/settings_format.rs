//! The forms of a relay's settings file: the spelling of every key, and the defaults.

use sablecross_relay_server::RelayServerConfig;
use sablecross_relay_server::settings::RelayForm;

const MEMBER: &str = "(member (number . 0) (address . \"127.0.0.1:7070\") (votes . #t))\n";

fn parse_config(text: &str) -> RelayServerConfig {
    RelayServerConfig::parse("r.scm", text).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn defaults_of_every_key() {
    let config = parse_config(&format!("(relay (number . 0))\n{MEMBER}"));
    let expected = RelayForm {
        number: 0,
        listen: None,
        batch_ms: 100,
        batch_bytes: 16_384,
        ack_ms: 2_000,
        missed_ms: 10_000,
        forgotten_ms: 3_600_000,
        stuck_ms: 20_000,
        cleared_ms: 6_000,
        held_ms: 120_000,
        slack_ms: 10_000,
        log_bytes: 67_108_864,
        event_bytes: 1_048_576,
        lease_ms: 1_000,
        round_ms: 200,
        apart_ms: 50,
        anew_ms: 10_000,
        stale_ms: 3_000,
        connections: 4_000,
    };
    assert_eq!(config.relay, expected);
    assert_eq!(config.listen, "127.0.0.1:7070".parse().expect("an address"));
    assert!(config.upstreams.is_empty() && config.subscribers.is_empty());
    let member = &config.members[0];
    assert_eq!((member.number, member.address, member.votes), (0, config.listen, true));
    // A member votes only if it says so.
    let text = "(relay (number . 3))\n(member (number . 3) (address . \"127.0.0.1:7073\"))\n";
    let plain = parse_config(&format!("{text}(upstream (address . \"127.0.0.1:7099\"))"));
    assert!(!plain.members[0].votes);
}

#[test]
fn spelling_of_every_key() {
    let config = parse_config(
        "(relay (number . 3) (listen . \"127.0.0.1:8000\") (batch-ms . 101) (batch-bytes . 16385) (ack-ms . 2001)\n\
           (missed-ms . 10001) (forgotten-ms . 3600000) (stuck-ms . 20001) (cleared-ms . 6001) (held-ms . 120001)\n\
           (slack-ms . 10001) (log-bytes . 67108865) (event-bytes . 1048577) (lease-ms . 1001) (round-ms . 201)\n\
           (apart-ms . 51) (anew-ms . 10001) (stale-ms . 3001) (connections . 4001))\n\
         (member (number . 3) (address . \"127.0.0.1:7073\") (votes . #f))\n\
         (upstream (address . \"127.0.0.1:7099\"))\n\
         (reader (name . \"n5\") (address . \"127.0.0.1:7105\"))\n",
    );
    let expected = RelayForm {
        number: 3,
        listen: Some("127.0.0.1:8000".parse().expect("an address")),
        batch_ms: 101,
        batch_bytes: 16_385,
        ack_ms: 2_001,
        missed_ms: 10_001,
        forgotten_ms: 3_600_000,
        stuck_ms: 20_001,
        cleared_ms: 6_001,
        held_ms: 120_001,
        slack_ms: 10_001,
        log_bytes: 67_108_865,
        event_bytes: 1_048_577,
        lease_ms: 1_001,
        round_ms: 201,
        apart_ms: 51,
        anew_ms: 10_001,
        stale_ms: 3_001,
        connections: 4_001,
    };
    assert_eq!(config.relay, expected);
    assert_eq!(config.listen.to_string(), "127.0.0.1:8000");
    assert_eq!(config.members[0].address.to_string(), "127.0.0.1:7073");
    assert!(!config.members[0].votes);
    assert_eq!(config.upstreams, ["127.0.0.1:7099".parse().expect("an address")]);
    assert_eq!(config.subscribers[0].name, "n5");
    assert_eq!(config.subscribers[0].address.to_string(), "127.0.0.1:7105");
    assert_eq!(config.name(), "relay-3");
}

/// Forms with a missing or an unknown key, with the complete error.
#[test]
fn missing_and_unknown_keys() {
    for (text, line) in INVALID_FORMS {
        let errors = RelayServerConfig::parse("r.scm", text).expect_err("an error");
        assert_eq!(errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "), line, "{text}");
    }
}

const INVALID_FORMS: [(&str, &str); 8] = [
    ("(relay)", "r.scm:1:1: relay: missing field `number`"),
    ("(member (number . 1))", "r.scm:1:1: member: missing field `address`"),
    ("(member (address . \"127.0.0.1:1\"))", "r.scm:1:1: member: missing field `number`"),
    ("(upstream)", "r.scm:1:1: upstream: missing field `address`"),
    ("(reader (name . \"a\"))", "r.scm:1:1: reader: missing field `address`"),
    (
        "(reader (name . \"a\") (address . \"127.0.0.1:1\") (zone . 1))",
        "r.scm:1:49: reader.zone: unknown field `zone`, expected `name` or `address`",
    ),
    (
        "(upstream (address . \"127.0.0.1:1\") (weight . 1))",
        "r.scm:1:38: upstream.weight: unknown field `weight`, expected `address`",
    ),
    (
        "(rely (number . 0))",
        "r.scm:1:1: unknown variant `rely`, expected one of `relay`, `member`, `upstream`, `reader`",
    ),
];
