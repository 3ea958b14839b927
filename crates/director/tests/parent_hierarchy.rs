//! Versions of the parent hierarchy: from the settings file and from events, invalid and outdated versions, and the paths
//! of fills.
#![cfg(feature = "hierarchy")]

mod help;

use std::io::{BufRead, BufReader, Read, Write};
use std::path::PathBuf;

use help::*;

/// Hierarchy settings in which the sample's cache fills from these parents, and the parents fill from the upper parent
/// `above` if there is one, otherwise from the origin.
fn version(number: u64, parents: &[&str], above: Option<&str>) -> String {
    let names = |list: &[&str]| list.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(" ");
    let tier = if above.is_some() { 2 } else { 1 };
    let mut text = format!(
        "(hierarchy (version . {number}) (ceiling . 100))\n(node (name . \"origin\") (tier . 0) (capacity . 100))\n"
    );
    if let Some(upper) = above {
        text += &format!("(node (name . \"{upper}\") (tier . 1) (sources \"origin\") (capacity . 100))\n");
    }
    for parent in parents {
        let source = names(&[above.unwrap_or("origin")]);
        text +=
            &format!("(node (name . \"{parent}\") (tier . {tier}) (sources {source}) (capacity . 100))\n");
    }
    text + &format!("(node (name . \"cache-a\") (tier . 3) (sources {}) (capacity . 100))\n", names(parents))
}

fn event(n: u64, text: &str) -> String {
    let (number, version) =
        sablecross_hierarchy::spec::parse_settings("test", text, None).expect("a version");
    let spec = sablecross_hierarchy::spec::HierarchySpec::from_hierarchy(number, &version);
    format!("{{\"n\":{n},\"hierarchy\":{}}}", serde_json::to_string(&spec).expect("json"))
}

/// The next report of the applied version that the director sends to the feed.
fn next_report(feed: &FeedStub) -> serde_json::Value {
    feed.0.set_nonblocking(false).expect("set");
    // A call for events in between, after the stream was silent for too long, is closed; the director repeats it.
    let (stream, mut reader, mut line) = loop {
        let stream = feed.0.accept().expect("called").0;
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line");
        if line.starts_with("POST /v1/hierarchy/in-force ") {
            break (stream, reader, line);
        }
    };
    let mut length = 0;
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("a line");
        if let Some(n) = line.strip_prefix("Content-Length: ") {
            length = n.trim_end().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n").expect("written");
    serde_json::from_slice(&body).expect("json")
}

fn parent(n: u64, name: &str, address: std::net::SocketAddr) -> String {
    endpoint_event(n, name, address, "ready")
        .replace("\"edge\"", "\"hub\"")
        .replace("\"small\"", "\"parent\"")
}

/// Requests many objects. Returns the source and the path that the cache was sent for each.
fn sources(harness: &Harness, client: &mut Client, from: u64) -> Vec<(String, Option<String>)> {
    (from..from + 24)
        .map(|object| {
            client.send_request(object as u8, object, 3_000);
            let pull = harness.cache.expect_pull();
            let fill =
                (pull.field("miss").expect("a source").to_owned(), pull.field("way").map(str::to_owned));
            pull.answer("ACK", "how=MISS,entity=aa", b"body");
            client.read_response();
            fill
        })
        .collect()
}

#[test]
fn versions_from_events_change_sources_and_fill_paths() {
    let harness = Harness::start();
    let (_, feed) = harness.feed.accept_call();
    let other = NodeStub::start();
    send_event(&feed, 2, &parent(2, "parent-b", other.address));
    let mut client = harness.client();
    harness.wait_for_discovery_events(2);
    let both = sources(&harness, &mut client, 0);
    assert!(both.iter().any(|(s, _)| s == "parent-b") && both.iter().any(|(s, _)| s == "parent-a"));
    assert!(both.iter().all(|(_, way)| way.is_none()));

    // A version with two tiers: requests use the parents that it names, without a path.
    send_event(&feed, 3, &event(3, &version(5, &["parent-a"], None)));
    let report = next_report(&harness.feed);
    assert_eq!((&report["party"], &report["number"]), (&"sample".into(), &5.into()));
    assert!(sources(&harness, &mut client, 30).iter().all(|fill| *fill == ("parent-a".into(), None)));

    // An outdated and an invalid version change nothing, and the outdated one is not reported as applied.
    send_event(&feed, 4, &event(4, &version(4, &["parent-b"], None)));
    harness.wait_for_log("hierarchy version ignored version=4 in_force=5 why=Older");
    let with_loop = event(5, &version(9, &["parent-a"], Some("u"))).replace("[\"u\"]", "[\"parent-a\"]");
    send_event(&feed, 5, &with_loop);
    let (last, feed) = harness.feed.accept_call();
    assert_eq!(last, 4);
    send_event(&feed, 5, &with_loop);
    harness.wait_for_log("feed skipped n=5: event 5: ");

    // A version with three tiers: the attempts name the path beyond the source, and both parents are used again.
    send_event(&feed, 6, &event(6, &version(6, &["parent-a", "parent-b"], Some("upper-z"))));
    assert_eq!(next_report(&harness.feed)["number"], 6);
    let fills = sources(&harness, &mut client, 60);
    assert!(fills.iter().all(|(_, way)| way.as_deref() == Some("upper-z+origin")), "{fills:?}");
    assert_eq!(
        fills.iter().map(|t| &t.0).collect::<Vec<_>>(),
        sources(&harness, &mut client, 60).iter().map(|t| t.0.as_str()).collect::<Vec<_>>()
    );
    assert!(fills.iter().any(|(s, _)| s == "parent-b") && fills.iter().any(|(s, _)| s == "parent-a"));
}

#[test]
fn the_settings_file_is_read_at_the_start_and_on_reload() {
    let file: PathBuf = std::env::temp_dir().join(format!("sablecross-upper-{}.scm", std::process::id()));
    std::fs::write(&file, version(1, &["parent-a"], None)).expect("written");
    let harness =
        Harness::with_config_and_env(|config| config, &[("SABLECROSS_HIERARCHY", file.as_os_str())]);
    let (_, feed) = harness.feed.accept_call();
    assert_eq!(next_report(&harness.feed)["number"], 1);
    std::fs::write(&file, version(2, &["parent-a"], None).replace("(tier . 1)", "(tier . 9)"))
        .expect("written");
    harness.signal("HUP");
    let line = harness.wait_for_log("reload failed, the old hierarchy stays: ");
    assert!(line.contains("upper-") && line.contains(":3:") && line.contains("node.tier"), "{line}");
    std::fs::write(&file, version(3, &["parent-a"], Some("up"))).expect("written");
    harness.signal("HUP");
    harness.wait_for_log("hierarchy in force version=3 before=1 by=file");
    assert_eq!(next_report(&harness.feed)["number"], 3);
    drop(feed);
    // An invalid file at the start ends the program with an error.
    std::fs::write(&file, "(hierarchy (version . 1)").expect("written");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
        .env("NODE_CONFIG", &harness.config_path)
        .env("SABLECROSS_HIERARCHY", &file)
        .output()
        .expect("runs");
    let _ = std::fs::remove_file(&file);
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains(":1:1: a parenthesis that is never closed"));
}

#[test]
fn a_request_in_flight_keeps_the_version_it_was_routed_by() {
    let harness = Harness::start();
    let (_, feed) = harness.feed.accept_call();
    send_event(&feed, 2, &event(2, &version(2, &["parent-a"], Some("upper-y"))));
    assert_eq!(next_report(&harness.feed)["number"], 2);
    let mut client = harness.client();
    client.send_request(1, 1, 4_000);
    let first = harness.cache.expect_pull();
    assert_eq!(first.field("way"), Some("upper-y+origin"));
    send_event(&feed, 3, &event(3, &version(3, &["parent-a"], Some("upper-z"))));
    assert_eq!(next_report(&harness.feed)["number"], 3);
    // The second attempt of the first request names the path of its version; a new request names the path of the new one.
    first.answer("EIO", "-", b"");
    let again = harness.cache.expect_pull();
    assert_eq!((again.request_id(), again.field("way")), (first.request_id(), Some("upper-y+origin")));
    again.answer("ACK", "how=MISS,entity=aa", b"body");
    client.assert_success(1, b"body");
    client.send_request(2, 2, 4_000);
    let next = harness.cache.expect_pull();
    assert_eq!(next.field("way"), Some("upper-z+origin"));
    next.answer("ACK", "how=MISS,entity=aa", b"body");
    client.assert_success(2, b"body");
}
