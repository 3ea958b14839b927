//! Lines to nodes and their answers, compared with literals: a rename in the source must not change the wire format.

use super::*;

const TAG: HealthCheckTag = HealthCheckTag {
    token: FencingToken { term: 0xa1, holder: Member { number: 0xb2, incarnation: 0xc3 } },
    sequence: 0xd4,
};

#[test]
fn request_lines_are_unchanged() {
    assert_eq!(check_request(TAG), "METER a1-b2-c3-d4\r\n");
    let object = HotObject { object: 0xabc, part: 5, class: 6 };
    assert_eq!(
        fetch_request("d00000000000001f", &object, "video", "parent-a", 400, TAG),
        "PULL d00000000000001f class=video,key=0000000000000abc,part=5,wait=400,miss=parent-a,prio=1,f=collapse,\
         duty=a1-b2-c3-d4 0\r\n\r\n"
    );
}

#[test]
fn answer_lines_are_parsed() {
    let parsed = |line: &str| parse_answer(line).map(|answer| (answer.tag, answer.result));
    let healthy = |utilization| Some((TAG, Ok(HealthState::Healthy(utilization))));
    assert_eq!(parsed("a1-b2-c3-d4 READY stats=cpu:0.25 0\r\n"), healthy(Some(0.25)));
    assert_eq!(parsed("a1-b2-c3-d4 READY other=1,stats=link:0.5;cpu:0.75 0"), healthy(Some(0.75)));
    assert_eq!(parsed("a1-b2-c3-d4 READY - 0"), healthy(None));
    assert_eq!(parsed("a1-b2-c3-d4 AILING - 0"), Some((TAG, Ok(HealthState::Unhealthy))));
    let newest = FencingToken { term: 0xa2, holder: Member { number: 1, incarnation: 2 } };
    assert_eq!(parsed("a1-b2-c3-d4 STALE newest=a2-1-2-0 0"), Some((TAG, Err(newest))));
    for malformed in [
        "",
        "a1-b2-c3-d4",
        "a1-b2-c3-d4 READY",
        "a1-b2 READY - 0",
        "a1-b2-c3-d4 STALE - 0",
        "a1-b2-c3-d4 NEW - 0",
    ] {
        assert_eq!(parsed(malformed), None, "{malformed}");
    }
}
