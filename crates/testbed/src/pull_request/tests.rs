//! Tests of the parser with valid and malformed lines of attempts.

use super::{PullRequest, PullRequestError};

#[test]
fn every_field_is_read() {
    let line = "PULL 1f class=read,key=2a,part=0,wait=800,miss=upper-1,within=50,mine=t7,way=upper-2+origin,came=a 3\r\n";
    let pull = PullRequest::parse(line).unwrap();
    assert_eq!(pull.tag, "1f");
    assert_eq!((pull.object(), pull.wait_ms(), pull.max_age_ms()), (Some(0x2a), Some(800), Some(50)));
    assert_eq!((pull.source(), pull.client_copy_tag()), (Some("upper-1"), Some("t7")));
    assert_eq!(pull.path(), ["upper-2", "origin"]);
    assert_eq!(pull.visited(), ["a"]);
    assert_eq!((pull.field("class"), pull.field("duty")), (Some("read"), None));
    let mut rest = &b"abc\r\nPULL"[..];
    pull.skip_body(&mut rest).unwrap();
    assert_eq!(rest, b"PULL");
    assert!(pull.skip_body(&mut rest).is_err());
}

#[test]
fn absent_fields_are_none() {
    let pull = PullRequest::parse("PULL 1f - 0").unwrap();
    assert_eq!((pull.object(), pull.wait_ms(), pull.max_age_ms()), (None, None, None));
    assert_eq!((pull.source(), pull.client_copy_tag()), (None, None));
    assert_eq!((pull.path(), pull.visited()), (Vec::new(), Vec::new()));
    // `within=0` accepts copies of any age.
    assert_eq!(PullRequest::parse("PULL 1f within=0 0").unwrap().max_age_ms(), None);
}

#[test]
fn invalid_lines_are_rejected() {
    for line in ["", "METER 1f", "pull 1f - 0", " PULL 1f - 0"] {
        assert_eq!(PullRequest::parse(line), Err(PullRequestError::OtherCommand), "{line:?}");
    }
    for line in ["PULL", "PULL 1f", "PULL 1f -", "PULL 1f - 0 more"] {
        assert_eq!(PullRequest::parse(line), Err(PullRequestError::Malformed), "{line:?}");
    }
}
