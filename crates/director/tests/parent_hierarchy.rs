//! Versions of the hierarchy: from the settings file and from events, invalid, late, and the paths of fills.
#![cfg(feature = "hierarchy")]

mod help;

use std::io::{BufRead, BufReader, Read, Write};
use std::path::PathBuf;

use help::*;

/// The settings of the sample's cache over some parents, and these over an upper parent if there is one.
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

/// The next report of the applied version that the director sends to the source of events.
fn reported(feed: &Feed) -> serde_json::Value {
    feed.0.set_nonblocking(false).expect("set");
    // A call for events in between (the stream was silent for too long) is closed; it comes again.
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
    member(n, name, address, "ready").replace("\"edge\"", "\"hub\"").replace("\"small\"", "\"parent\"")
}

/// Requests many objects. Returns the source and the path that the cache was sent for each.
fn sources(world: &World, client: &mut Client, from: u64) -> Vec<(String, Option<String>)> {
    (from..from + 24)
        .map(|object| {
            client.ask(object as u8, object, 3_000);
            let pull = world.cache.pull();
            let fill =
                (pull.field("miss").expect("a source").to_owned(), pull.field("way").map(str::to_owned));
            pull.answer("ACK", "how=MISS,entity=aa", b"body");
            client.answer();
            fill
        })
        .collect()
}

#[test]
fn versions_of_events_move_load_and_name_paths() {
    let world = World::start();
    let (_, feed) = world.feed.call();
    let other = Node::start();
    tell(&feed, 2, &parent(2, "parent-b", other.address));
    let mut client = world.client();
    world.told(2);
    let both = sources(&world, &mut client, 0);
    assert!(both.iter().any(|(s, _)| s == "parent-b") && both.iter().any(|(s, _)| s == "parent-a"));
    assert!(both.iter().all(|(_, way)| way.is_none()));

    // Of two tiers: the parents that it names, and no path.
    tell(&feed, 3, &event(3, &version(5, &["parent-a"], None)));
    let report = reported(&world.feed);
    assert_eq!((&report["party"], &report["number"]), (&"sample".into(), &5.into()));
    assert!(sources(&world, &mut client, 30).iter().all(|fill| *fill == ("parent-a".into(), None)));

    // A late and an invalid one: nothing changes, and the late one is not reported as applied.
    tell(&feed, 4, &event(4, &version(4, &["parent-b"], None)));
    world.logged("hierarchy version ignored version=4 in_force=5 why=Older");
    let with_loop = event(5, &version(9, &["parent-a"], Some("u"))).replace("[\"u\"]", "[\"parent-a\"]");
    tell(&feed, 5, &with_loop);
    let (last, feed) = world.feed.call();
    assert_eq!(last, 4);
    tell(&feed, 5, &with_loop);
    world.logged("feed skipped n=5: event 5: ");

    // Of three tiers: the path beyond the source, and the other parent has its objects again.
    tell(&feed, 6, &event(6, &version(6, &["parent-a", "parent-b"], Some("upper-z"))));
    assert_eq!(reported(&world.feed)["number"], 6);
    let fills = sources(&world, &mut client, 60);
    assert!(fills.iter().all(|(_, way)| way.as_deref() == Some("upper-z+origin")), "{fills:?}");
    assert_eq!(
        fills.iter().map(|t| &t.0).collect::<Vec<_>>(),
        sources(&world, &mut client, 60).iter().map(|t| t.0.as_str()).collect::<Vec<_>>()
    );
    assert!(fills.iter().any(|(s, _)| s == "parent-b") && fills.iter().any(|(s, _)| s == "parent-a"));
}

#[test]
fn the_file_is_read_at_the_start_and_at_the_signal() {
    let file: PathBuf = std::env::temp_dir().join(format!("sablecross-upper-{}.scm", std::process::id()));
    std::fs::write(&file, version(1, &["parent-a"], None)).expect("written");
    let world = World::start_with(|c| c, &[("SABLECROSS_HIERARCHY", file.as_os_str())]);
    let (_, feed) = world.feed.call();
    assert_eq!(reported(&world.feed)["number"], 1);
    std::fs::write(&file, version(2, &["parent-a"], None).replace("(tier . 1)", "(tier . 9)"))
        .expect("written");
    world.signal("HUP");
    let line = world.logged("reload failed, the old hierarchy stays: ");
    assert!(line.contains("upper-") && line.contains(":3:") && line.contains("node.tier"), "{line}");
    std::fs::write(&file, version(3, &["parent-a"], Some("up"))).expect("written");
    world.signal("HUP");
    world.logged("hierarchy in force version=3 before=1 by=file");
    assert_eq!(reported(&world.feed)["number"], 3);
    drop(feed);
    // An invalid one at the start ends the program with an error.
    std::fs::write(&file, "(hierarchy (version . 1)").expect("written");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
        .env("NODE_CONFIG", &world.config)
        .env("SABLECROSS_HIERARCHY", &file)
        .output()
        .expect("runs");
    let _ = std::fs::remove_file(&file);
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains(":1:1: a parenthesis that is never closed"));
}

#[test]
fn a_request_in_flight_keeps_the_version_that_it_was_routed_by() {
    let world = World::start();
    let (_, feed) = world.feed.call();
    tell(&feed, 2, &event(2, &version(2, &["parent-a"], Some("upper-y"))));
    assert_eq!(reported(&world.feed)["number"], 2);
    let mut client = world.client();
    client.ask(1, 1, 4_000);
    let first = world.cache.pull();
    assert_eq!(first.field("way"), Some("upper-y+origin"));
    tell(&feed, 3, &event(3, &version(3, &["parent-a"], Some("upper-z"))));
    assert_eq!(reported(&world.feed)["number"], 3);
    // Its second attempt names the path of its version, a new request that of the new one.
    first.answer("EIO", "-", b"");
    let again = world.cache.pull();
    assert_eq!((again.name(), again.field("way")), (first.name(), Some("upper-y+origin")));
    again.answer("ACK", "how=MISS,entity=aa", b"body");
    client.satisfied(1, b"body");
    client.ask(2, 2, 4_000);
    let next = world.cache.pull();
    assert_eq!(next.field("way"), Some("upper-z+origin"));
    next.answer("ACK", "how=MISS,entity=aa", b"body");
    client.satisfied(2, b"body");
}
