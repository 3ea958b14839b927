//! Tests that read the lines of the fault library while they are written.

use std::io::Write;

use super::*;

const PORTS: LinkPorts = LinkPorts { director: 40, node: 9 };

#[test]
fn sends_and_shutdowns_are_found_as_they_are_logged() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("sends");
    let mut log = SendLog::new(path.clone());
    assert_eq!(log.sent_ns(0x1f, PORTS), None, "there is no log yet");
    let mut file = File::create(path).unwrap();
    file.write_all(
        b"5 40 9 PULL 000000000000001f class=read,wait=9 0\n6 40 9 KILL 000000000000001f\n7 50 60 SH",
    )
    .unwrap();
    assert_eq!(log.sent_ns(0x1f, PORTS), Some(5));
    assert_eq!(log.sent_ns(0x1f, LinkPorts { director: 41, ..PORTS }), None, "another connection");
    assert_eq!(log.shut_ns(60), None, "the line is not complete");
    file.write_all(b"UT\nno line\n8 50 60 SHUT\n").unwrap();
    assert_eq!(log.shut_ns(60), Some(8), "the last one");
}

/// Guards against an attempt that is taken for another one of its request: connections to two nodes may have the same
/// port at the director's end.
#[test]
fn attempts_on_one_port_to_two_nodes_are_distinguished() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("sends");
    std::fs::write(
        &path,
        "5 40 9 PULL 000000000000001f class=read 0\n7 40 10 PULL 000000000000001f class=read 0\n",
    )
    .unwrap();
    let mut log = SendLog::new(path);
    assert_eq!(log.sent_ns(0x1f, PORTS), Some(5));
    assert_eq!(log.sent_ns(0x1f, LinkPorts { node: 10, ..PORTS }), Some(7));
}
