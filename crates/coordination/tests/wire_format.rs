//! The encodings of every message between members, of the register's value and of the status for operators, as
//! literals. They must not change, because members of two versions exchange messages.

use std::fmt::Debug;

use sablecross_coordination::messages::{
    AppliedVersion, Assignment, AssignmentVersion, HealthObservation, HealthState, HotObjectCount,
    MemberStatus, Message, OwnLease, RegisterValue, Reply, Request, RoleReport, RoleStatus,
};
use sablecross_coordination::{FencingToken, HotObject, LeaseHolder, LeaseReply, LeaseRequest, Member};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that the value is encoded as these MessagePack bytes and this JSON text, and that both are decoded to the
/// value.
#[track_caller]
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, bytes: &[u8], text: &str) {
    let encoded = rmp_serde::to_vec(&value).expect("encoded");
    let written = serde_json::to_string(&value).expect("encoded as JSON");
    assert_eq!(
        (encoded.escape_ascii().to_string().as_str(), written.as_str()),
        (bytes.escape_ascii().to_string().as_str(), text)
    );
    assert_eq!(rmp_serde::from_slice::<T>(bytes).expect("decoded"), value);
    assert_eq!(serde_json::from_str::<T>(text).expect("decoded from JSON"), value);
}

const fn member(number: u32, incarnation: u64) -> Member {
    Member { number, incarnation }
}

const A: Member = member(1, 2);
const B: Member = member(3, 4);
const TOKEN: FencingToken = FencingToken { term: 5, holder: A };
const VERSION: AssignmentVersion = AssignmentVersion { term: 6, number: 7 };
const LATER_VERSION: AssignmentVersion = AssignmentVersion { term: 8, number: 9 };
const HOT_OBJECT: HotObject = HotObject { object: 10, part: 11, class: 12 };

fn assignment() -> Assignment {
    Assignment { version: VERSION, assigner: A, members: vec![A, B] }
}

fn register_value() -> RegisterValue {
    RegisterValue { sequence: 13, token: TOKEN, bytes: vec![14, 15] }
}

#[test]
fn value_encodings_are_unchanged() {
    assert_encoding(A, b"\x92\x01\x02", r#"{"number":1,"life":2}"#);
    assert_encoding(TOKEN, b"\x92\x05\x92\x01\x02", r#"{"term":5,"owner":{"number":1,"life":2}}"#);
    assert_encoding(VERSION, b"\x92\x06\x07", r#"{"term":6,"number":7}"#);
    assert_encoding(HOT_OBJECT, b"\x93\n\x0b\x0c", r#"{"object":10,"part":11,"kind":12}"#);
    assert_encoding(
        assignment(),
        b"\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}"#,
    );
    assert_encoding(
        register_value(),
        b"\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f",
        r#"{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]}"#,
    );
    assert_encoding(
        RegisterValue::default(),
        b"\x93\x00\x92\x00\x92\x00\x00\x90",
        r#"{"count":0,"by":{"term":0,"owner":{"number":0,"life":0}},"bytes":[]}"#,
    );
    assert_encoding(HealthState::Healthy(Some(0.5)), b"\x81\xa4Well\xca?\x00\x00\x00", r#"{"Well":0.5}"#);
    assert_encoding(HealthState::Healthy(None), b"\x81\xa4Well\xc0", r#"{"Well":null}"#);
    assert_encoding(HealthState::Unhealthy, b"\xa6Ailing", r#""Ailing""#);
    assert_encoding(HealthState::TimedOut, b"\xa6Silent", r#""Silent""#);
    assert_encoding(
        HealthObservation { target: 16, age: 17, state: HealthState::TimedOut },
        b"\x93\x10\x11\xa6Silent",
        r#"{"chore":16,"age":17,"state":"Silent"}"#,
    );
}

#[test]
fn lease_message_encodings_are_unchanged() {
    assert_encoding(
        LeaseRequest::PreVote { round: 18, from: A },
        b"\x81\xa4Look\x92\x12\x92\x01\x02",
        r#"{"Look":{"round":18,"from":{"number":1,"life":2}}}"#,
    );
    assert_encoding(
        LeaseRequest::Acquire { round: 18, from: A, term: 19, lease: 20 },
        b"\x81\xa5Claim\x94\x12\x92\x01\x02\x13\x14",
        r#"{"Claim":{"round":18,"from":{"number":1,"life":2},"term":19,"lease":20}}"#,
    );
    assert_encoding(
        LeaseRequest::Release { from: A, term: 19, to: Some(B) },
        b"\x81\xa7Release\x93\x92\x01\x02\x13\x92\x03\x04",
        r#"{"Release":{"from":{"number":1,"life":2},"term":19,"to":{"number":3,"life":4}}}"#,
    );
    assert_encoding(
        LeaseRequest::Release { from: A, term: 19, to: None },
        b"\x81\xa7Release\x93\x92\x01\x02\x13\xc0",
        r#"{"Release":{"from":{"number":1,"life":2},"term":19,"to":null}}"#,
    );
    assert_encoding(
        LeaseReply::PreVoteResult {
            round: 18,
            highest_term: 21,
            holder: Some(LeaseHolder { member: B, remaining: 22 }),
        },
        b"\x81\xa4Seen\x93\x12\x15\x92\x92\x03\x04\x16",
        r#"{"Seen":{"round":18,"highest":21,"held":[{"number":3,"life":4},22]}}"#,
    );
    assert_encoding(
        LeaseReply::PreVoteResult { round: 18, highest_term: 21, holder: None },
        b"\x81\xa4Seen\x93\x12\x15\xc0",
        r#"{"Seen":{"round":18,"highest":21,"held":null}}"#,
    );
    assert_encoding(
        LeaseReply::Granted { round: 18, term: 19 },
        b"\x81\xa7Granted\x92\x12\x13",
        r#"{"Granted":{"round":18,"term":19}}"#,
    );
    assert_encoding(
        LeaseReply::Rejected {
            round: 18,
            highest_term: 21,
            holder: Some(LeaseHolder { member: B, remaining: 22 }),
        },
        b"\x81\xa7Refused\x93\x12\x15\x92\x92\x03\x04\x16",
        r#"{"Refused":{"round":18,"highest":21,"held":[{"number":3,"life":4},22]}}"#,
    );
    assert_encoding(
        LeaseReply::Rejected { round: 18, highest_term: 21, holder: None },
        b"\x81\xa7Refused\x93\x12\x15\xc0",
        r#"{"Refused":{"round":18,"highest":21,"held":null}}"#,
    );
}

#[test]
fn message_encodings_are_unchanged() {
    assert_encoding(
        Request { from: A, messages: vec![Message::Leave, Message::ShowStatus] },
        b"\x92\x92\x01\x02\x92\xa6Leaves\xa4Show",
        r#"{"from":{"number":1,"life":2},"words":["Leaves","Show"]}"#,
    );
    assert_encoding(
        Message::Heartbeat(VERSION),
        b"\x81\xa4Here\x92\x06\x07",
        r#"{"Here":{"term":6,"number":7}}"#,
    );
    assert_encoding(Message::Leave, b"\xa6Leaves", r#""Leaves""#);
    assert_encoding(
        Message::Lease { role: 23, request: LeaseRequest::PreVote { round: 18, from: A } },
        b"\x81\xa3Ask\x92\x17\x81\xa4Look\x92\x12\x92\x01\x02",
        r#"{"Ask":{"role":23,"request":{"Look":{"round":18,"from":{"number":1,"life":2}}}}}"#,
    );
    assert_encoding(
        Message::Assign(assignment()),
        b"\x81\xa4Deal\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"Deal":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}}"#,
    );
    assert_encoding(
        Message::ConfirmAssignment { token: TOKEN, version: VERSION },
        b"\x81\xa5Deals\x92\x92\x05\x92\x01\x02\x92\x06\x07",
        r#"{"Deals":{"token":{"term":5,"owner":{"number":1,"life":2}},"version":{"term":6,"number":7}}}"#,
    );
    let observation = HealthObservation { target: 16, age: 17, state: HealthState::Unhealthy };
    assert_encoding(
        Message::ReportHealth(vec![observation]),
        b"\x81\xa5Found\x91\x93\x10\x11\xa6Ailing",
        r#"{"Found":[{"chore":16,"age":17,"state":"Ailing"}]}"#,
    );
    assert_encoding(
        Message::ReportHotObjects(vec![HotObjectCount { object: HOT_OBJECT, count: 1.5 }]),
        b"\x81\xa3Hot\x91\x92\x93\n\x0b\x0c\xca?\xc0\x00\x00",
        r#"{"Hot":[{"object":{"object":10,"part":11,"kind":12},"count":1.5}]}"#,
    );
    assert_encoding(Message::FetchHealth(24), b"\x81\xa5Facts\x18", r#"{"Facts":24}"#);
    assert_encoding(
        Message::ReportNewerTerm { role: 23, term: 25 },
        b"\x81\xa6Behind\x92\x17\x19",
        r#"{"Behind":{"role":23,"term":25}}"#,
    );
    assert_encoding(
        Message::ReadRegister { role: 23, token: TOKEN },
        b"\x81\xa4Read\x92\x17\x92\x05\x92\x01\x02",
        r#"{"Read":{"role":23,"token":{"term":5,"owner":{"number":1,"life":2}}}}"#,
    );
    assert_encoding(
        Message::WriteRegister { role: 23, value: register_value() },
        b"\x81\xa5Write\x92\x17\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f",
        r#"{"Write":{"role":23,"value":{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]}}}"#,
    );
    assert_encoding(
        Message::Publish { role: 23, token: TOKEN, number: 26, bytes: vec![27] },
        b"\x81\xa4Tell\x94\x17\x92\x05\x92\x01\x02\x1a\x91\x1b",
        r#"{"Tell":{"duty":23,"by":{"term":5,"owner":{"number":1,"life":2}},"number":26,"bytes":[27]}}"#,
    );
    assert_encoding(
        Message::ReportAppliedVersion {
            role: 23,
            received: 28,
            applied: AppliedVersion { number: 29, digest: 30 },
        },
        b"\x81\xa3Has\x93\x17\x1c\x92\x1d\x1e",
        r#"{"Has":{"role":23,"received":28,"applied":{"number":29,"digest":30}}}"#,
    );
    assert_encoding(Message::FetchNewestToken(23), b"\x81\xa5Learn\x17", r#"{"Learn":23}"#);
    assert_encoding(
        Message::Propose { role: 23, bytes: vec![31] },
        b"\x81\xa4Wish\x92\x17\x91\x1f",
        r#"{"Wish":{"role":23,"bytes":[31]}}"#,
    );
    assert_encoding(Message::ShowStatus, b"\xa4Show", r#""Show""#);
    assert_encoding(
        Message::HandOver { role: 23, to: Some(32) },
        b"\x81\xa8HandOver\x92\x17 ",
        r#"{"HandOver":{"role":23,"to":32}}"#,
    );
    assert_encoding(
        Message::HandOver { role: 23, to: None },
        b"\x81\xa8HandOver\x92\x17\xc0",
        r#"{"HandOver":{"role":23,"to":null}}"#,
    );
}

#[test]
fn reply_encodings_are_unchanged() {
    assert_encoding(
        Reply::Lease { role: 23, reply: LeaseReply::Granted { round: 18, term: 19 } },
        b"\x81\xa4Said\x92\x17\x81\xa7Granted\x92\x12\x13",
        r#"{"Said":{"role":23,"reply":{"Granted":{"round":18,"term":19}}}}"#,
    );
    assert_encoding(
        Reply::Assigned(assignment()),
        b"\x81\xa5Dealt\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"Dealt":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}}"#,
    );
    let assignment_changed = Reply::AssignmentChanged {
        since: VERSION,
        version: LATER_VERSION,
        assigner: A,
        joined: vec![B],
        left: vec![member(33, 34)],
    };
    assert_encoding(
        assignment_changed,
        b"\x81\xa5Moved\x95\x92\x06\x07\x92\x08\t\x92\x01\x02\x91\x92\x03\x04\x91\x92!\"",
        r#"{"Moved":{"since":{"term":6,"number":7},"stamp":{"term":8,"number":9},"dealer":{"number":1,"life":2},"joined":[{"number":3,"life":4}],"left":[{"number":33,"life":34}]}}"#,
    );
    assert_encoding(
        Reply::AssignmentStored(VERSION),
        b"\x81\xa5Keeps\x92\x06\x07",
        r#"{"Keeps":{"term":6,"number":7}}"#,
    );
    assert_encoding(
        Reply::AssignmentConfirmed(VERSION),
        b"\x81\xa5Holds\x92\x06\x07",
        r#"{"Holds":{"term":6,"number":7}}"#,
    );
    assert_encoding(Reply::Displaced(35), b"\x81\xa9Displaced#", r#"{"Displaced":35}"#);
    let observations = vec![HealthObservation { target: 16, age: 17, state: HealthState::Healthy(None) }];
    assert_encoding(
        Reply::HealthObservations { up_to: 36, observations },
        b"\x81\xa5Facts\x92$\x91\x93\x10\x11\x81\xa4Well\xc0",
        r#"{"Facts":{"upto":36,"findings":[{"chore":16,"age":17,"state":{"Well":null}}]}}"#,
    );
    assert_encoding(
        Reply::StaleToken { role: 23, highest: TOKEN },
        b"\x81\xa3Old\x92\x17\x92\x05\x92\x01\x02",
        r#"{"Old":{"role":23,"highest":{"term":5,"owner":{"number":1,"life":2}}}}"#,
    );
    assert_encoding(
        Reply::RegisterRead { role: 23, token: TOKEN, value: register_value(), is_complete: true },
        b"\x81\xa4Kept\x94\x17\x92\x05\x92\x01\x02\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f\xc3",
        r#"{"Kept":{"duty":23,"to":{"term":5,"owner":{"number":1,"life":2}},"entry":{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]},"whole":true}}"#,
    );
    assert_encoding(
        Reply::RegisterWritten { role: 23, token: TOKEN, sequence: 37 },
        b"\x81\xa5Wrote\x93\x17\x92\x05\x92\x01\x02%",
        r#"{"Wrote":{"duty":23,"by":{"term":5,"owner":{"number":1,"life":2}},"count":37}}"#,
    );
    assert_encoding(
        Reply::NewestToken { role: 23, token: TOKEN, is_certain: true },
        b"\x81\xa6Learnt\x93\x17\x92\x05\x92\x01\x02\xc3",
        r#"{"Learnt":{"role":23,"token":{"term":5,"owner":{"number":1,"life":2}},"is_certain":true}}"#,
    );
    assert_encoding(
        Reply::Published { role: 23, number: 38, bytes: vec![39] },
        b"\x81\xa4Told\x93\x17&\x91'",
        r#"{"Told":{"role":23,"number":38,"bytes":[39]}}"#,
    );
    assert_encoding(Reply::Status(MemberStatus::default()), b"\x81\xa5Shown\x9c\x92\x00\x00\xc0\x00\x90\x93\x92\x00\x00\x92\x00\x00\x90\x00\x00\x00\x00\x00\x00\x90", r#"{"Shown":{"me":{"number":0,"life":0},"voter":null,"silent":0,"duties":[],"roster":{"stamp":{"term":0,"number":0},"dealer":{"number":0,"life":0},"members":[]},"holds":0,"chores":0,"probes":0,"refused":0,"passed_over":0,"was_refused":0,"status":[]}}"#);
    assert_encoding(
        Reply::HandOverStarted { role: 23, started: true },
        b"\x81\xa9HandsOver\x92\x17\xc3",
        r#"{"HandsOver":{"role":23,"started":true}}"#,
    );
    assert_encoding(
        Reply::ProposalResult { role: 23, result: Ok(()) },
        b"\x81\xa6Wished\x92\x17\x81\xa2Ok\xc0",
        r#"{"Wished":{"role":23,"result":{"Ok":null}}}"#,
    );
    assert_encoding(
        Reply::ProposalResult { role: 23, result: Err("why".into()) },
        b"\x81\xa6Wished\x92\x17\x81\xa3Err\xa3why",
        r#"{"Wished":{"role":23,"result":{"Err":"why"}}}"#,
    );
}

#[test]
fn status_encodings_are_unchanged() {
    let role = RoleStatus {
        role: 23,
        highest_term: 40,
        holder: Some(LeaseHolder { member: A, remaining: 41 }),
        own_lease: Some(OwnLease { token: TOKEN, remaining: 42 }),
    };
    assert_encoding(
        RoleStatus { holder: None, own_lease: None, ..role },
        b"\x94\x17(\xc0\xc0",
        r#"{"duty":23,"highest":40,"owner":null,"own":null}"#,
    );
    let status = MemberStatus {
        member: A,
        voter: Some(43),
        silent_for: 44,
        roles: vec![role],
        assignment: assignment(),
        assignment_valid_for: 45,
        target_count: 46,
        checks_sent: 47,
        stale_tokens_rejected: 48,
        stale_assignments_ignored: 49,
        own_rejections: 50,
        role_reports: vec![RoleReport { role: 23, text: "runs".into() }],
    };
    assert_encoding(status, b"\x9c\x92\x01\x02+,\x91\x94\x17(\x92\x92\x01\x02)\x92\x92\x05\x92\x01\x02*\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04-./012\x91\x92\x17\xa4runs", r#"{"me":{"number":1,"life":2},"voter":43,"silent":44,"duties":[{"duty":23,"highest":40,"owner":[{"number":1,"life":2},41],"own":[{"term":5,"owner":{"number":1,"life":2}},42]}],"roster":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]},"holds":45,"chores":46,"probes":47,"refused":48,"passed_over":49,"was_refused":50,"status":[[23,"runs"]]}"#);
}

#[test]
fn assignment_token_encoding_is_unchanged() {
    assert_eq!(VERSION.token(A), FencingToken { term: 100_663_303, holder: A });
    assert_eq!(AssignmentVersion::from_token(VERSION.token(A)), VERSION);
}

/// The order of fields and variants decides the order of map keys and which of two values is the newer one.
#[test]
fn value_ordering_is_unchanged() {
    let mut members = [member(1, 9), member(2, 1), member(1, 2)];
    members.sort_unstable();
    assert_eq!(members, [member(1, 2), member(1, 9), member(2, 1)]);
    let token = |term, number| FencingToken { term, holder: member(number, 1) };
    assert!(token(1, 9) < token(2, 1) && token(2, 1) < token(2, 3));
    let version = |term, number| AssignmentVersion { term, number };
    assert!(version(1, 9) < version(2, 1) && version(2, 1) < version(2, 3));
    let object = |object, part, class| HotObject { object, part, class };
    assert!(
        object(1, 9, 9) < object(2, 1, 9)
            && object(2, 1, 9) < object(2, 3, 1)
            && object(2, 3, 1) < object(2, 3, 2)
    );
    let pre_vote = LeaseRequest::PreVote { round: 9, from: B };
    let acquire = |round, from, term, lease| LeaseRequest::Acquire { round, from, term, lease };
    assert!(pre_vote < acquire(1, B, 9, 9) && acquire(1, B, 9, 9) < acquire(2, A, 9, 9));
    assert!(acquire(2, A, 9, 9) < acquire(2, B, 1, 9) && acquire(2, B, 1, 9) < acquire(2, B, 2, 1));
    assert!(acquire(9, B, 9, 9) < LeaseRequest::Release { from: A, term: 1, to: None });
    let pre_vote_result = LeaseReply::PreVoteResult { round: 9, highest_term: 9, holder: None };
    let granted = LeaseReply::Granted { round: 1, term: 1 };
    assert!(
        pre_vote_result < granted
            && granted < LeaseReply::Rejected { round: 0, highest_term: 0, holder: None }
    );
}
