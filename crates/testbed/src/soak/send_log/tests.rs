//! The lines of the fault library, read while they are written.

use std::io::Write;

use super::*;

#[test]
fn sends_and_ends_are_found_as_they_are_noted() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("sends");
    let mut log = SendLog::new(path.clone());
    assert_eq!(log.sent_ns(0x1f, 40), None, "there is no log yet");
    let mut file = File::create(path).unwrap();
    file.write_all(b"5 40 PULL 000000000000001f class=read,wait=9 0\n6 40 KILL 000000000000001f\n7 50 SH")
        .unwrap();
    assert_eq!(log.sent_ns(0x1f, 40), Some(5));
    assert_eq!(log.sent_ns(0x1f, 41), None, "another connection");
    assert_eq!(log.shut_ns(60), None, "the line is not complete");
    file.write_all(b"UT 60\nno line\n8 50 SHUT 60\n").unwrap();
    assert_eq!(log.shut_ns(60), Some(8), "the last one");
}
