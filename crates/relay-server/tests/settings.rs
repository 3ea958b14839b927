//! Settings files: the sample, and errors with their place.

use sablecross_relay_server::RelayServerConfig;

fn errors(text: &str) -> String {
    let errors = RelayServerConfig::parse("r.scm", text).expect_err("an error");
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

const MEMBER: &str = "(member (number . 0) (address . \"127.0.0.1:7070\") (votes . #t))\n";

#[test]
fn the_sample_is_valid() {
    let text = include_str!("../../../deploy/relay.scm");
    let config = RelayServerConfig::parse("relay.scm", text).expect("the sample");
    assert_eq!(config.voters().count(), 3);
    assert_eq!(config.listen, "127.0.0.1:7070".parse().expect("an address"));
    assert!(config.is_voter() && config.upstreams.is_empty());
    assert_eq!(config.subscribers[0].name, "n5");
    // The sample spells out the defaults.
    let short = format!("(relay (number . 0))\n{MEMBER}");
    assert_eq!(RelayServerConfig::parse("short", &short).expect("short").relay, config.relay);
}

#[test]
fn errors_name_file_line_and_key() {
    for (text, what) in [
        (MEMBER.to_owned(), "r.scm:1:1: relay: no (relay ...) form"),
        (format!("{MEMBER}(relay (number . 0)\n"), "r.scm:2:1: "),
        (
            format!("{MEMBER}(relay (number . 0) (batch-ms . 1))\n"),
            "r.scm:2:22: relay.batch-ms: lower than 5",
        ),
        (format!("{MEMBER}(relay (number . 0) (batches . 1))\n"), "r.scm:2:22: relay.batches: unknown field"),
        (format!("{MEMBER}(relay (number . 0))\n(relay (number . 0))\n"), "r.scm:3:1: relay: a second one"),
        (format!("{MEMBER}(relay (number . 4))\n"), "relay.number: no (member ...) form"),
        (format!("{MEMBER}{MEMBER}(relay (number . 0))\n"), "r.scm:2:1: member: its number or address"),
        (format!("{MEMBER}(relay (number . 0) (lease-ms . 300))\n"), "relay.round-ms: longer than half"),
        (format!("{MEMBER}(relay (number . 0) (ack-ms . 6000))\n"), "relay.ack-ms: longer than half"),
        (
            format!("{MEMBER}(relay (number . 0))\n(upstream (address . \"127.0.0.1:1\"))\n"),
            "follows no upstream",
        ),
        (
            "(relay (number . 0))\n(member (number . 0) (address . \"127.0.0.1:1\"))\n".into(),
            "nothing to follow",
        ),
        (
            format!("{MEMBER}(relay (number . 0))\n(reader (name . \"a\") (address . \"127.0.0.1:7070\"))"),
            "relay.listen",
        ),
        (format!("{MEMBER}(relay (number . 0) {})\n", "(x . 1)".repeat(3_000)), "r.scm:2:1: "),
        (format!("{MEMBER}(relay (number . 0) (listen . \"localhost\"))\n"), "r.scm:2:22: relay.listen: "),
    ] {
        let found = errors(&text);
        assert!(found.contains(what), "{found}, expected {what}");
    }
}

#[test]
fn too_low_descriptor_limit_is_an_error() {
    let text = format!("(relay (number . 0) (connections . 100000))\n{MEMBER}");
    let config = RelayServerConfig::parse("r.scm", &text).expect("settings");
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    if limit.is_some_and(|l| l < config.max_descriptors() as u64) {
        let error = config.check_descriptor_limit().expect_err("an error").to_string();
        assert!(error.contains("relay.connections") && error.contains("descriptors"), "{error}");
    } else {
        assert_eq!(config.check_descriptor_limit(), Ok(()));
    }
}
