//! The bytes of every message between members, of the register's value and of what operators are shown, as literals: a
//! rename or a move in the source must not change them, as members of two versions talk to one another.

use std::fmt::Debug;

use sablecross_duty::word::{Answer, Entry, Finding, Held, Request, Roster, Shown, Stamp, State, Word};
use sablecross_duty::{Ask, Member, Reply, Token, Want};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The value is these MessagePack bytes and this JSON text, and both are the value.
#[track_caller]
fn same<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, bytes: &[u8], text: &str) {
    let encoded = rmp_serde::to_vec(&value).expect("encoded");
    let written = serde_json::to_string(&value).expect("written");
    assert_eq!(
        (encoded.escape_ascii().to_string().as_str(), written.as_str()),
        (bytes.escape_ascii().to_string().as_str(), text)
    );
    assert_eq!(rmp_serde::from_slice::<T>(bytes).expect("decoded"), value);
    assert_eq!(serde_json::from_str::<T>(text).expect("read"), value);
}

const fn member(number: u32, life: u64) -> Member {
    Member { number, life }
}

const A: Member = member(1, 2);
const B: Member = member(3, 4);
const TOKEN: Token = Token { term: 5, owner: A };
const STAMP: Stamp = Stamp { term: 6, number: 7 };
const LATER: Stamp = Stamp { term: 8, number: 9 };
const WANT: Want = Want { object: 10, part: 11, kind: 12 };

fn roster() -> Roster {
    Roster { stamp: STAMP, dealer: A, members: vec![A, B] }
}

fn entry() -> Entry {
    Entry { count: 13, by: TOKEN, bytes: vec![14, 15] }
}

#[test]
fn values() {
    same(A, b"\x92\x01\x02", r#"{"number":1,"life":2}"#);
    same(TOKEN, b"\x92\x05\x92\x01\x02", r#"{"term":5,"owner":{"number":1,"life":2}}"#);
    same(STAMP, b"\x92\x06\x07", r#"{"term":6,"number":7}"#);
    same(WANT, b"\x93\n\x0b\x0c", r#"{"object":10,"part":11,"kind":12}"#);
    same(
        roster(),
        b"\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}"#,
    );
    same(
        entry(),
        b"\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f",
        r#"{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]}"#,
    );
    same(
        Entry::default(),
        b"\x93\x00\x92\x00\x92\x00\x00\x90",
        r#"{"count":0,"by":{"term":0,"owner":{"number":0,"life":0}},"bytes":[]}"#,
    );
    same(State::Well(Some(0.5)), b"\x81\xa4Well\xca?\x00\x00\x00", r#"{"Well":0.5}"#);
    same(State::Well(None), b"\x81\xa4Well\xc0", r#"{"Well":null}"#);
    same(State::Ailing, b"\xa6Ailing", r#""Ailing""#);
    same(State::Silent, b"\xa6Silent", r#""Silent""#);
    same(
        Finding { chore: 16, age: 17, state: State::Silent },
        b"\x93\x10\x11\xa6Silent",
        r#"{"chore":16,"age":17,"state":"Silent"}"#,
    );
}

#[test]
fn calls_of_claimants_and_replies_of_voters() {
    same(
        Ask::Look { round: 18, from: A },
        b"\x81\xa4Look\x92\x12\x92\x01\x02",
        r#"{"Look":{"round":18,"from":{"number":1,"life":2}}}"#,
    );
    same(
        Ask::Claim { round: 18, from: A, term: 19, lease: 20 },
        b"\x81\xa5Claim\x94\x12\x92\x01\x02\x13\x14",
        r#"{"Claim":{"round":18,"from":{"number":1,"life":2},"term":19,"lease":20}}"#,
    );
    same(
        Ask::Release { from: A, term: 19, to: Some(B) },
        b"\x81\xa7Release\x93\x92\x01\x02\x13\x92\x03\x04",
        r#"{"Release":{"from":{"number":1,"life":2},"term":19,"to":{"number":3,"life":4}}}"#,
    );
    same(
        Ask::Release { from: A, term: 19, to: None },
        b"\x81\xa7Release\x93\x92\x01\x02\x13\xc0",
        r#"{"Release":{"from":{"number":1,"life":2},"term":19,"to":null}}"#,
    );
    same(
        Reply::Seen { round: 18, highest: 21, held: Some((B, 22)) },
        b"\x81\xa4Seen\x93\x12\x15\x92\x92\x03\x04\x16",
        r#"{"Seen":{"round":18,"highest":21,"held":[{"number":3,"life":4},22]}}"#,
    );
    same(
        Reply::Seen { round: 18, highest: 21, held: None },
        b"\x81\xa4Seen\x93\x12\x15\xc0",
        r#"{"Seen":{"round":18,"highest":21,"held":null}}"#,
    );
    same(
        Reply::Granted { round: 18, term: 19 },
        b"\x81\xa7Granted\x92\x12\x13",
        r#"{"Granted":{"round":18,"term":19}}"#,
    );
    same(
        Reply::Refused { round: 18, highest: 21, held: Some((B, 22)) },
        b"\x81\xa7Refused\x93\x12\x15\x92\x92\x03\x04\x16",
        r#"{"Refused":{"round":18,"highest":21,"held":[{"number":3,"life":4},22]}}"#,
    );
    same(
        Reply::Refused { round: 18, highest: 21, held: None },
        b"\x81\xa7Refused\x93\x12\x15\xc0",
        r#"{"Refused":{"round":18,"highest":21,"held":null}}"#,
    );
}

#[test]
fn messages() {
    same(
        Request { from: A, words: vec![Word::Leaves, Word::Show] },
        b"\x92\x92\x01\x02\x92\xa6Leaves\xa4Show",
        r#"{"from":{"number":1,"life":2},"words":["Leaves","Show"]}"#,
    );
    same(Word::Here(STAMP), b"\x81\xa4Here\x92\x06\x07", r#"{"Here":{"term":6,"number":7}}"#);
    same(Word::Leaves, b"\xa6Leaves", r#""Leaves""#);
    same(
        Word::Ask(23, Ask::Look { round: 18, from: A }),
        b"\x81\xa3Ask\x92\x17\x81\xa4Look\x92\x12\x92\x01\x02",
        r#"{"Ask":[23,{"Look":{"round":18,"from":{"number":1,"life":2}}}]}"#,
    );
    same(
        Word::Deal(roster()),
        b"\x81\xa4Deal\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"Deal":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}}"#,
    );
    same(
        Word::Deals(TOKEN, STAMP),
        b"\x81\xa5Deals\x92\x92\x05\x92\x01\x02\x92\x06\x07",
        r#"{"Deals":[{"term":5,"owner":{"number":1,"life":2}},{"term":6,"number":7}]}"#,
    );
    let found = Finding { chore: 16, age: 17, state: State::Ailing };
    same(
        Word::Found(vec![found]),
        b"\x81\xa5Found\x91\x93\x10\x11\xa6Ailing",
        r#"{"Found":[{"chore":16,"age":17,"state":"Ailing"}]}"#,
    );
    same(
        Word::Hot(vec![(WANT, 1.5)]),
        b"\x81\xa3Hot\x91\x92\x93\n\x0b\x0c\xca?\xc0\x00\x00",
        r#"{"Hot":[[{"object":10,"part":11,"kind":12},1.5]]}"#,
    );
    same(Word::Facts(24), b"\x81\xa5Facts\x18", r#"{"Facts":24}"#);
    same(Word::Behind(23, 25), b"\x81\xa6Behind\x92\x17\x19", r#"{"Behind":[23,25]}"#);
    same(
        Word::Read(23, TOKEN),
        b"\x81\xa4Read\x92\x17\x92\x05\x92\x01\x02",
        r#"{"Read":[23,{"term":5,"owner":{"number":1,"life":2}}]}"#,
    );
    same(
        Word::Write(23, entry()),
        b"\x81\xa5Write\x92\x17\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f",
        r#"{"Write":[23,{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]}]}"#,
    );
    same(
        Word::Tell { duty: 23, by: TOKEN, number: 26, bytes: vec![27] },
        b"\x81\xa4Tell\x94\x17\x92\x05\x92\x01\x02\x1a\x91\x1b",
        r#"{"Tell":{"duty":23,"by":{"term":5,"owner":{"number":1,"life":2}},"number":26,"bytes":[27]}}"#,
    );
    same(Word::Has(23, 28, (29, 30)), b"\x81\xa3Has\x93\x17\x1c\x92\x1d\x1e", r#"{"Has":[23,28,[29,30]]}"#);
    same(Word::Learn(23), b"\x81\xa5Learn\x17", r#"{"Learn":23}"#);
    same(Word::Wish(23, vec![31]), b"\x81\xa4Wish\x92\x17\x91\x1f", r#"{"Wish":[23,[31]]}"#);
    same(Word::Show, b"\xa4Show", r#""Show""#);
    same(Word::HandOver(23, Some(32)), b"\x81\xa8HandOver\x92\x17 ", r#"{"HandOver":[23,32]}"#);
    same(Word::HandOver(23, None), b"\x81\xa8HandOver\x92\x17\xc0", r#"{"HandOver":[23,null]}"#);
}

#[test]
fn answers() {
    same(
        Answer::Said(23, Reply::Granted { round: 18, term: 19 }),
        b"\x81\xa4Said\x92\x17\x81\xa7Granted\x92\x12\x13",
        r#"{"Said":[23,{"Granted":{"round":18,"term":19}}]}"#,
    );
    same(
        Answer::Dealt(roster()),
        b"\x81\xa5Dealt\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04",
        r#"{"Dealt":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]}}"#,
    );
    let moved =
        Answer::Moved { since: STAMP, stamp: LATER, dealer: A, joined: vec![B], left: vec![member(33, 34)] };
    same(
        moved,
        b"\x81\xa5Moved\x95\x92\x06\x07\x92\x08\t\x92\x01\x02\x91\x92\x03\x04\x91\x92!\"",
        r#"{"Moved":{"since":{"term":6,"number":7},"stamp":{"term":8,"number":9},"dealer":{"number":1,"life":2},"joined":[{"number":3,"life":4}],"left":[{"number":33,"life":34}]}}"#,
    );
    same(Answer::Keeps(STAMP), b"\x81\xa5Keeps\x92\x06\x07", r#"{"Keeps":{"term":6,"number":7}}"#);
    same(Answer::Holds(STAMP), b"\x81\xa5Holds\x92\x06\x07", r#"{"Holds":{"term":6,"number":7}}"#);
    same(Answer::Displaced(35), b"\x81\xa9Displaced#", r#"{"Displaced":35}"#);
    let findings = vec![Finding { chore: 16, age: 17, state: State::Well(None) }];
    same(
        Answer::Facts { upto: 36, findings },
        b"\x81\xa5Facts\x92$\x91\x93\x10\x11\x81\xa4Well\xc0",
        r#"{"Facts":{"upto":36,"findings":[{"chore":16,"age":17,"state":{"Well":null}}]}}"#,
    );
    same(
        Answer::Old(23, TOKEN),
        b"\x81\xa3Old\x92\x17\x92\x05\x92\x01\x02",
        r#"{"Old":[23,{"term":5,"owner":{"number":1,"life":2}}]}"#,
    );
    same(
        Answer::Kept { duty: 23, to: TOKEN, entry: entry(), whole: true },
        b"\x81\xa4Kept\x94\x17\x92\x05\x92\x01\x02\x93\r\x92\x05\x92\x01\x02\x92\x0e\x0f\xc3",
        r#"{"Kept":{"duty":23,"to":{"term":5,"owner":{"number":1,"life":2}},"entry":{"count":13,"by":{"term":5,"owner":{"number":1,"life":2}},"bytes":[14,15]},"whole":true}}"#,
    );
    same(
        Answer::Wrote { duty: 23, by: TOKEN, count: 37 },
        b"\x81\xa5Wrote\x93\x17\x92\x05\x92\x01\x02%",
        r#"{"Wrote":{"duty":23,"by":{"term":5,"owner":{"number":1,"life":2}},"count":37}}"#,
    );
    same(
        Answer::Learnt(23, TOKEN, true),
        b"\x81\xa6Learnt\x93\x17\x92\x05\x92\x01\x02\xc3",
        r#"{"Learnt":[23,{"term":5,"owner":{"number":1,"life":2}},true]}"#,
    );
    same(Answer::Told(23, 38, vec![39]), b"\x81\xa4Told\x93\x17&\x91'", r#"{"Told":[23,38,[39]]}"#);
    same(Answer::Shown(Shown::default()), b"\x81\xa5Shown\x9c\x92\x00\x00\xc0\x00\x90\x93\x92\x00\x00\x92\x00\x00\x90\x00\x00\x00\x00\x00\x00\x90", r#"{"Shown":{"me":{"number":0,"life":0},"voter":null,"silent":0,"duties":[],"roster":{"stamp":{"term":0,"number":0},"dealer":{"number":0,"life":0},"members":[]},"holds":0,"chores":0,"probes":0,"refused":0,"passed_over":0,"was_refused":0,"status":[]}}"#);
    same(Answer::HandsOver(23, true), b"\x81\xa9HandsOver\x92\x17\xc3", r#"{"HandsOver":[23,true]}"#);
    same(
        Answer::Wished(23, Ok(())),
        b"\x81\xa6Wished\x92\x17\x81\xa2Ok\xc0",
        r#"{"Wished":[23,{"Ok":null}]}"#,
    );
    same(
        Answer::Wished(23, Err("why".into())),
        b"\x81\xa6Wished\x92\x17\x81\xa3Err\xa3why",
        r#"{"Wished":[23,{"Err":"why"}]}"#,
    );
}

#[test]
fn what_operators_are_shown() {
    let held = Held { duty: 23, highest: 40, owner: Some((A, 41)), own: Some((TOKEN, 42)) };
    same(
        Held { owner: None, own: None, ..held },
        b"\x94\x17(\xc0\xc0",
        r#"{"duty":23,"highest":40,"owner":null,"own":null}"#,
    );
    let shown = Shown {
        me: A,
        voter: Some(43),
        silent: 44,
        duties: vec![held],
        roster: roster(),
        holds: 45,
        chores: 46,
        probes: 47,
        refused: 48,
        passed_over: 49,
        was_refused: 50,
        status: vec![(23, "runs".into())],
    };
    same(shown, b"\x9c\x92\x01\x02+,\x91\x94\x17(\x92\x92\x01\x02)\x92\x92\x05\x92\x01\x02*\x93\x92\x06\x07\x92\x01\x02\x92\x92\x01\x02\x92\x03\x04-./012\x91\x92\x17\xa4runs", r#"{"me":{"number":1,"life":2},"voter":43,"silent":44,"duties":[{"duty":23,"highest":40,"owner":[{"number":1,"life":2},41],"own":[{"term":5,"owner":{"number":1,"life":2}},42]}],"roster":{"stamp":{"term":6,"number":7},"dealer":{"number":1,"life":2},"members":[{"number":1,"life":2},{"number":3,"life":4}]},"holds":45,"chores":46,"probes":47,"refused":48,"passed_over":49,"was_refused":50,"status":[[23,"runs"]]}"#);
}

#[test]
fn the_token_of_a_share() {
    assert_eq!(STAMP.token(A), Token { term: 100_663_303, owner: A });
    assert_eq!(Stamp::of(STAMP.token(A)), STAMP);
}

/// Keys of maps and the newest of two: by fields and variants in this order.
#[test]
fn the_order_of_values() {
    let mut members = [member(1, 9), member(2, 1), member(1, 2)];
    members.sort_unstable();
    assert_eq!(members, [member(1, 2), member(1, 9), member(2, 1)]);
    let token = |term, number| Token { term, owner: member(number, 1) };
    assert!(token(1, 9) < token(2, 1) && token(2, 1) < token(2, 3));
    let stamp = |term, number| Stamp { term, number };
    assert!(stamp(1, 9) < stamp(2, 1) && stamp(2, 1) < stamp(2, 3));
    let want = |object, part, kind| Want { object, part, kind };
    assert!(want(1, 9, 9) < want(2, 1, 9) && want(2, 1, 9) < want(2, 3, 1) && want(2, 3, 1) < want(2, 3, 2));
    let look = Ask::Look { round: 9, from: B };
    let claim = |round, from, term, lease| Ask::Claim { round, from, term, lease };
    assert!(look < claim(1, B, 9, 9) && claim(1, B, 9, 9) < claim(2, A, 9, 9));
    assert!(claim(2, A, 9, 9) < claim(2, B, 1, 9) && claim(2, B, 1, 9) < claim(2, B, 2, 1));
    assert!(claim(9, B, 9, 9) < Ask::Release { from: A, term: 1, to: None });
    let seen = Reply::Seen { round: 9, highest: 9, held: None };
    let granted = Reply::Granted { round: 1, term: 1 };
    assert!(seen < granted && granted < Reply::Refused { round: 0, highest: 0, held: None });
}
