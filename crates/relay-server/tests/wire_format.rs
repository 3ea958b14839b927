//! The encoding of calls between voters, which other versions of the program must be able to read: MessagePack, with
//! fields by position and variants by name.

use std::fmt::Debug;

use sablecross_coordination::{FencingToken, LeaseHolder, LeaseReply, LeaseRequest, Member};
use sablecross_relay::{
    EntryPosition, HierarchyEvent, LogEntry, PeerAnswer, PeerCall, PeerReply, PeerRequest, ReplicaState,
    Snapshot,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| std::str::from_utf8(pair).ok().and_then(|p| u8::from_str_radix(p, 16).ok());
    digits.chunks(2).map(|pair| byte(pair).expect("hex")).collect()
}

/// Checks that the value is encoded as these bytes, and that they are decoded as the value.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let expected: String = expected.split_whitespace().collect();
    let encoded = rmp_serde::to_vec(value).expect("encoded");
    assert_eq!(hex(&encoded), expected, "{value:?}");
    let decoded: T = rmp_serde::from_slice(&bytes(&expected)).expect("decoded");
    assert_eq!(&decoded, value);
}

fn member() -> Member {
    Member { number: 7, incarnation: 9 }
}

fn token() -> FencingToken {
    FencingToken { term: 3, holder: member() }
}

fn entries() -> Vec<LogEntry> {
    let body = "{\"purge\":{}}".to_owned();
    let plain = LogEntry { number: 6, token: token(), body: "{}".into(), idempotency_key: None };
    vec![plain, LogEntry { number: 300, token: token(), body, idempotency_key: Some("m-1".into()) }]
}

fn snapshot() -> Snapshot {
    Snapshot {
        number: 5,
        epoch_start: 4,
        token: token(),
        has_list: true,
        list_index: 2,
        members: [("n1".to_owned(), "{\"name\":\"n1\"}".to_owned())].into(),
        hierarchy: Some(HierarchyEvent { number: 3, body: "{\"hierarchy\":{}}".to_owned() }),
    }
}

fn replica_state() -> ReplicaState {
    ReplicaState {
        epoch: 1_000,
        last_entry: EntryPosition { number: 300, token: token() },
        committed: 6,
        snapshot: Some(snapshot()),
        entries: entries(),
    }
}

fn request(call: PeerCall) -> PeerRequest {
    PeerRequest { sender: 1, incarnations: vec![0, 9], call }
}

fn reply(answer: PeerAnswer) -> PeerReply {
    PeerReply { incarnations: vec![0, 9], answer }
}

#[test]
fn log_entries_snapshots_and_states() {
    for (entry, expected) in entries().iter().zip(ENTRIES) {
        assert_encoding(entry, expected);
    }
    assert_encoding(&snapshot(), SNAPSHOT);
    assert_encoding(&Snapshot::default(), EMPTY_SNAPSHOT);
    assert_encoding(&replica_state(), REPLICA_STATE);
    assert_encoding(&ReplicaState::default(), EMPTY_REPLICA_STATE);
}

#[test]
fn peer_calls() {
    let calls = [
        PeerCall::Lease(LeaseRequest::PreVote { round: 2, from: member() }),
        PeerCall::Lease(LeaseRequest::Acquire { round: 2, from: member(), term: 3, lease: 1_000_000_000 }),
        PeerCall::Lease(LeaseRequest::Release { from: member(), term: 3, to: None }),
        PeerCall::Lease(LeaseRequest::Release {
            from: member(),
            term: 3,
            to: Some(Member { number: 8, incarnation: 1 }),
        }),
        PeerCall::Recover,
        PeerCall::Read { token: token(), epoch: 1_000, after_number: 6 },
        PeerCall::Append {
            token: token(),
            epoch: 1_000,
            previous_entry: EntryPosition { number: 5, token: token() },
            snapshot: None,
            entries: entries(),
            committed: 6,
        },
        PeerCall::Append {
            token: token(),
            epoch: 1_000,
            previous_entry: EntryPosition { number: 5, token: token() },
            snapshot: Some(snapshot()),
            entries: Vec::new(),
            committed: 5,
        },
    ];
    assert_eq!(calls.len(), CALLS.len());
    for (call, expected) in calls.into_iter().zip(CALLS) {
        assert_encoding(&request(call), expected);
    }
}

#[test]
fn peer_answers() {
    let answers = [
        PeerAnswer::NotReady,
        PeerAnswer::Lease(LeaseReply::PreVoteResult { round: 2, highest_term: 3, holder: None }),
        PeerAnswer::Lease(LeaseReply::PreVoteResult {
            round: 2,
            highest_term: 3,
            holder: Some(LeaseHolder { member: member(), remaining: 500 }),
        }),
        PeerAnswer::Lease(LeaseReply::Granted { round: 2, term: 3 }),
        PeerAnswer::Lease(LeaseReply::Rejected { round: 2, highest_term: 3, holder: None }),
        PeerAnswer::Lease(LeaseReply::Rejected {
            round: 2,
            highest_term: 3,
            holder: Some(LeaseHolder { member: member(), remaining: 500 }),
        }),
        PeerAnswer::Recovered { highest_token: token(), is_complete: true, state: replica_state() },
        PeerAnswer::State {
            token: token(),
            is_complete: false,
            state: ReplicaState { snapshot: None, ..replica_state() },
        },
        PeerAnswer::Appended { token: token(), epoch: 1_000, last_number: 300, applied_number: 6 },
        PeerAnswer::NeedsReset { token: token() },
        PeerAnswer::Mismatch { token: token(), epoch: 1_000, committed: 6 },
        PeerAnswer::StaleToken(token()),
    ];
    assert_eq!(answers.len(), ANSWERS.len());
    for (answer, expected) in answers.into_iter().zip(ANSWERS) {
        assert_encoding(&reply(answer), expected);
    }
    assert_encoding(&PeerReply::default(), EMPTY_REPLY);
}

const ENTRIES: [&str; 2] = ["94069203920709a27b7dc0", "94cd012c9203920709ac7b227075726765223a7b7d7da36d2d31"];
const SNAPSHOT: &str =
    "9705049203920709c30281a26e31ad7b226e616d65223a226e31227d9203b07b22686965726172636879223a7b7d7d";
const EMPTY_SNAPSHOT: &str = "9700009200920000c20080c0";
const REPLICA_STATE: &str = "95cd03e892cd012c9203920709069705049203920709c30281a26e31ad7b226e616d65223a226e31227d9203b07b2268\
  6965726172636879223a7b7d7d9294069203920709a27b7dc094cd012c9203920709ac7b227075726765223a7b7d7da3\
  6d2d31";
const EMPTY_REPLICA_STATE: &str = "95009200920092000000c090";
const EMPTY_REPLY: &str = "9290a74e6f7468696e67";
const CALLS: [&str; 8] = [
    "930192000981a44475747981a44c6f6f6b9202920709",
    "930192000981a44475747981a5436c61696d940292070903ce3b9aca00",
    "930192000981a44475747981a752656c656173659392070903c0",
    "930192000981a44475747981a752656c656173659392070903920801",
    "9301920009a54c6561726e",
    "930192000981a452656164939203920709cd03e806",
    "930192000981a44b656570969203920709cd03e892059203920709c09294069203920709a27b7dc094cd012c92039207\
      09ac7b227075726765223a7b7d7da36d2d3106",
    "930192000981a44b656570969203920709cd03e8920592039207099705049203920709c30281a26e31ad7b226e616d65\
      223a226e31227d9203b07b22686965726172636879223a7b7d7d9005",
];
const ANSWERS: [&str; 12] = [
    "92920009a74e6f7468696e67",
    "9292000981a44475747981a45365656e930203c0",
    "9292000981a44475747981a45365656e93020392920709cd01f4",
    "9292000981a44475747981a74772616e746564920203",
    "9292000981a44475747981a752656675736564930203c0",
    "9292000981a44475747981a75265667573656493020392920709cd01f4",
    "9292000981a64c6561726e74939203920709c395cd03e892cd012c9203920709069705049203920709c30281a26e31ad\
      7b226e616d65223a226e31227d9203b07b22686965726172636879223a7b7d7d9294069203920709a27b7dc094cd012c\
      9203920709ac7b227075726765223a7b7d7da36d2d31",
    "9292000981a448656c64939203920709c295cd03e892cd012c920392070906c09294069203920709a27b7dc094cd012c\
      9203920709ac7b227075726765223a7b7d7da36d2d31",
    "9292000981a44b657074949203920709cd03e8cd012c06",
    "9292000981a6556e73757265919203920709",
    "9292000981a3486173939203920709cd03e806",
    "9292000981a34f6c649203920709",
];
