//! The format of the file that `NODE_CONFIG` names: every key, the value that it loads to, and the error for each missing or
//! invalid key. Keys and errors are literals: each row of `data/faulty_settings.tsv` holds a key's JSON pointer in the sample,
//! its replacement (`-` removes the key) and the expected error (`+` if there is none).

use std::process::Command;

use sablecross::{Effect, EndpointState, RequestClass, Settings};
use sablecross_director::discovery_event::{DiscoveryEvent, Endpoint};
use sablecross_director::process::config::Config;
use serde_json::Value;

const SAMPLE: &str = include_str!("../../../deploy/sample.json");
const FAULTY: &str = include_str!("data/faulty_settings.tsv");

/// The sample with the value at a JSON pointer replaced or removed.
fn changed(pointer: &str, to: &str) -> String {
    let mut all: Value = serde_json::from_str(SAMPLE).expect("the sample is valid");
    let (above, key) = pointer.rsplit_once('/').expect("a pointer");
    let key = key.replace("~1", "/");
    match (all.pointer_mut(above).expect(pointer), to) {
        (Value::Object(fields), "-") => drop(fields.remove(&key).expect(pointer)),
        (Value::Object(fields), to) => {
            drop(fields.insert(key, serde_json::from_str(to).expect("a value")));
        }
        (Value::Array(items), "-") => drop(items.remove(key.parse().expect("an index"))),
        (Value::Array(items), to) => {
            items[key.parse::<usize>().expect("an index")] = serde_json::from_str(to).expect("a value");
        }
        _ => unreachable!("{pointer}"),
    }
    all.to_string()
}

/// The error of a configuration, if it has one.
fn parse_error(text: &str) -> Option<String> {
    Config::parse(text).err().map(|e| e.to_string())
}

#[test]
fn the_sample_configuration_loads_to_these_values() {
    let config = Config::parse(SAMPLE).expect("the sample is valid");
    assert_eq!((config.name.as_str(), config.seed), ("sample", 0x6e1f_0c27_a4d5_9b83));
    assert_eq!(config.listen.to_string(), "127.0.0.1:10080");
    assert_eq!(config.feeds.iter().map(ToString::to_string).collect::<Vec<_>>(), ["127.0.0.1:7070"]);
    let kind = |budget, stretch, utility, fresh, parts| RequestClass {
        latency_objective: budget,
        latency_objective_stretch: Some(stretch),
        priority_weight: utility,
        effect: Effect::Idempotent,
        fresh_for: fresh,
        stale_for: 0,
        is_multipart: parts,
        is_uncacheable: false,
    };
    let settings = Settings {
        zone: 1,
        director_index: 0,
        directors_per_zone: vec![0, 1],
        request_classes: vec![
            kind(300_000_000, 1.6, 2.0, 0, true),
            kind(200_000_000, 2.0, 1.0, 20_000_000_000, false),
        ],
        parent_kind: Some(1),
        origin_kind: 2,
        must_subscribe_to_endpoint_list: false,
        may_cancel: true,
        may_hedge: true,
        may_send_retry_after: true,
        max_retry_after: 2_000_000_000,
        max_attempts: 6,
        slow_start_initial_share: 0.25,
        slow_start_window: 18_000_000_000,
        collapse_multiple: 3.0,
        parent_slow_start_initial_share: 0.08,
        parent_slow_start_window: 20_000_000_000,
        parent_collapse_multiple: 2.0,
        stream_kb_per_s: 9_000.0,
        may_bypass_cache: true,
        may_coalesce: true,
        purge_propagation_window: 6_000_000_000,
        tick: 1_000_000,
    };
    assert_eq!(config.settings, settings);
    assert_eq!(config.names.classes, ["footage", "readings"]);
    let mut zones: Vec<_> = config.names.zones.iter().map(|(name, n)| (name.as_str(), *n)).collect();
    zones.sort_unstable();
    assert_eq!(zones, [("edge", 1), ("hub", 0)]);
    let mut machines: Vec<_> = config.names.node_kinds.iter().map(|(name, n)| (name.as_str(), *n)).collect();
    machines.sort_unstable();
    assert_eq!(machines, [("origin", 2), ("parent", 1), ("small", 0)]);
    assert!(!config.names.answers_peers);
    let limits = &config.limits;
    assert_eq!(
        (
            limits.max_client_connections,
            limits.max_node_connections,
            limits.max_connections_per_node,
            limits.max_closing_clients
        ),
        (349, 496, 64, 32)
    );
    assert_eq!((limits.max_requests, limits.body_memory_bytes), (3_072, 50_331_648));
    assert_eq!((limits.connect_timeout, limits.node_idle_timeout), (400_000_000, 24_000_000_000));
    assert_eq!((config.known.last, config.known.events.len()), (1, 1));
    let event = &config.known.events[0];
    assert_eq!(event.number, 1);
    let member = |name: &str, address: &str, zone: &str, kind: &str, cell| Endpoint {
        name: name.into(),
        address: address.parse().expect("an address"),
        zone: zone.into(),
        kind: kind.into(),
        cell,
        state: EndpointState::Ready,
        started_at: 0,
    };
    let listed = vec![
        member("cache-a", "127.0.0.1:11001", "edge", "small", 0),
        member("parent-a", "127.0.0.1:11002", "hub", "parent", 1_000),
        member("origin", "127.0.0.1:11003", "hub", "origin", 65_535),
    ];
    assert_eq!(event.event, DiscoveryEvent::Endpoints { endpoints: listed, is_snapshot: true });
}

#[test]
fn further_feeds_and_a_later_event_number_are_read() {
    let text = SAMPLE
        .replace("\"feed\": ", "\"feeds\": [\"127.0.0.1:1\", \"[::1]:2\"], \"feed\": ")
        .replace("\"known\": {\"n\": 1,", "\"known\": {\"n\": 41,");
    let config = Config::parse(&text).expect("valid");
    let feeds: Vec<_> = config.feeds.iter().map(ToString::to_string).collect();
    assert_eq!(feeds, ["127.0.0.1:7070", "127.0.0.1:1", "[::1]:2"]);
    assert_eq!((config.known.last, config.known.events.len()), (41, 1));
}

#[test]
fn each_missing_or_invalid_key_has_its_error() {
    let rows: Vec<Vec<&str>> = FAULTY.lines().map(|row| row.split('\t').collect()).collect();
    assert!(rows.len() > 150, "{}", rows.len());
    for row in rows {
        let [pointer, to, expected] = row[..] else { panic!("{row:?}") };
        assert_eq!(parse_error(&changed(pointer, to)).as_deref().unwrap_or("+"), expected, "{pointer} {to}");
    }
}

/// Starts the program, which must fail because of its settings. Returns the message of its only log line.
fn start_error(file: Option<&str>) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_sablecross-director"));
    program.env_remove("RUST_LOG").env_remove("SABLECROSS_LOG").env_remove("NODE_CONFIG");
    if let Some(file) = file {
        program.env("NODE_CONFIG", file);
    }
    let out = program.output().expect("runs");
    let log = String::from_utf8(out.stderr).expect("text");
    assert_eq!((out.status.code(), log.lines().count()), (Some(1), 1), "{log}");
    let (_, words) = log.trim_end().split_once(" ERROR ").expect("an error");
    words.split_once(": ").expect("its module").1.to_owned()
}

#[test]
fn start_errors_name_file_key_and_cause() {
    let dir = std::env::temp_dir().join(format!("sablecross-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("made");
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_owned()
    };
    assert_eq!(start_error(None), "NODE_CONFIG: not set");
    let none = dir.join("none.json");
    let none = none.to_str().expect("text");
    assert_eq!(
        start_error(Some(none)),
        format!("NODE_CONFIG: {none}: No such file or directory (os error 2)")
    );
    let cut = file("cut.json", "{\"name\":");
    let cause = "EOF while parsing a value at line 1 column 8";
    assert_eq!(start_error(Some(&cut)), format!("configuration: {cause} (NODE_CONFIG: {cut})"));
    let listen = file("listen.json", &changed("/listen", "\"here\""));
    assert_eq!(start_error(Some(&listen)), format!("listen: not an address: here (NODE_CONFIG: {listen})"));
    let cold = file("cold.json", &changed("/settings/guarantees/coldFrom", "1.5"));
    let cause = "settings: bad setting: guarantees.coldFrom=1.5";
    assert_eq!(start_error(Some(&cold)), format!("{cause} (NODE_CONFIG: {cold})"));
    std::fs::remove_dir_all(dir).expect("removed");
}

#[test]
fn the_log_follows_its_environment_variables() {
    let log = |variable: &str, value: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_sablecross-director"));
        program.env_remove("RUST_LOG").env_remove("SABLECROSS_LOG").env_remove("NODE_CONFIG");
        String::from_utf8(program.env(variable, value).output().expect("runs").stderr).expect("text")
    };
    let object: Value = serde_json::from_str(&log("SABLECROSS_LOG", "json")).expect("an object");
    assert_eq!((&object["level"], &object["message"]), (&"ERROR".into(), &"NODE_CONFIG: not set".into()));
    assert_eq!(log("RUST_LOG", "off"), "");
    assert!(log("SABLECROSS_LOG", "text").ends_with("NODE_CONFIG: not set\n"));
}
