//! Single cases of the log, of subscribers and of plain relays.

mod help;

use std::collections::BTreeMap;

use help::*;
use sablecross_relay::log::LogFull;
use sablecross_relay::*;

const RETENTION: RetentionWindow = RetentionWindow {
    purge_propagation: 6 * SEC,
    hold_time: retention::PURGE_HOLD_TIME,
    clock_tolerance: 4 * SEC,
};
/// After so many ms an event has expired.
const EXPIRED_MS: u64 = 130_000;
/// The snapshot moves in steps of so many ms.
const STEP_MS: u64 = 10_000;

fn append(log: &mut Log, event: &Event, unix: u64) -> u64 {
    log.append(event, FencingToken::default(), None, unix)
}

/// The numbers and bodies that a subscriber with this number is sent at once.
fn sent(log: &mut Log, cursor: u64, max_bytes: usize) -> (u64, Vec<(u64, String)>) {
    let mut out = Vec::new();
    let up_to = log.encode_after(cursor, max_bytes, &mut out);
    let read = |(n, data): (u64, String)| {
        let ParsedEvent { number, event } = Event::parse(data.as_bytes(), 1 << 20).expect("an event");
        assert_eq!(number, Some(n));
        (n, event.body().to_owned())
    };
    (up_to, parse_frames(out).into_iter().map(read).collect())
}

/// List events, purges and a hierarchy; the purge with number 6 expires 50 s after the rest.
fn aged() -> Log {
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[line("a", "ready"), line("b", "ready")]), UNIX);
    append(&mut log, &purge(1, UNIX), UNIX);
    append(&mut log, &list(2, false, &[line("c", "ready")]), UNIX);
    append(&mut log, &list(3, false, &[line("a", "draining"), line("b", "gone")]), UNIX);
    append(&mut log, &hierarchy(7), UNIX);
    append(&mut log, &purge(2, UNIX + 50_000), UNIX);
    append(&mut log, &purge(3, UNIX), UNIX);
    log
}

#[test]
fn the_bytes_on_the_wire_are_those_of_the_protocol() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &event("{\"purge\" : {\"group\":17,\n \"at\":5}}"), UNIX);
    let mut out = b"before".to_vec();
    assert_eq!(log.encode_after(0, 0, &mut out), 1);
    assert_eq!(
        String::from_utf8_lossy(&out),
        "beforeid: 1\ndata: {\"n\":1,\"purge\":{\"group\":17,  \"at\":5}}\n\n"
    );
    assert_eq!(log.encode_after(1, 0, &mut out), 1, "nothing to send");
    assert_eq!(log.encode_after(9, 0, &mut out), 9, "a subscriber that is ahead waits");
}

#[test]
fn compaction_moves_expired_events_into_the_snapshot() {
    let mut log = aged();
    log.compact(UNIX + EXPIRED_MS - 1);
    assert_eq!((log.snapshot().number, log.endpoint_count()), (0, Some(2)), "nothing has expired");
    log.compact(UNIX + EXPIRED_MS + STEP_MS - 1);
    assert_eq!(log.snapshot().number, 0, "it moves in steps");
    log.compact(UNIX + EXPIRED_MS + STEP_MS);
    // 6 is active for 50 s more.
    assert_eq!((log.snapshot().number, log.last_number()), (5, 7));
    log.compact(UNIX + EXPIRED_MS + 50_000 + STEP_MS);
    assert_eq!((log.snapshot().number, log.last_number()), (7, 7));
    let members: Vec<&String> = log.snapshot().members.keys().collect();
    assert_eq!(members, ["a", "c"], "b has gone");
    assert_eq!(log.snapshot().members["a"], line("a", "draining"), "its JSON as it came");
}

#[test]
fn one_that_is_behind_the_snapshot_gets_list_hierarchy_and_active_purges() {
    let mut log = aged();
    log.compact(UNIX + EXPIRED_MS + 50_000 + STEP_MS);
    append(&mut log, &purge(4, UNIX + EXPIRED_MS), UNIX + EXPIRED_MS + 50_000);
    let complete = list(3, true, &[line("a", "draining"), line("c", "ready")]).body().to_owned();
    let at = |n: u64| match n {
        5 => (5, hierarchy(7).body().to_owned()),
        8 => (8, purge(4, UNIX + EXPIRED_MS).body().to_owned()),
        n => (n, complete.clone()),
    };
    // What it has, what it is sent: the list once more under 4, so that who gets no further misses nothing at a
    // relay that is behind.
    let cases: [(u64, &[u64]); 7] = [
        (0, &[4, 5, 7, 8]),
        (3, &[4, 5, 7, 8]),
        (4, &[5, 7, 8]),
        (5, &[7, 8]),
        (6, &[7, 8]),
        (7, &[8]),
        (8, &[]),
    ];
    for (cursor, numbers) in cases {
        let all: Vec<_> = numbers.iter().map(|n| at(*n)).collect();
        assert_eq!(sent(&mut log, cursor, 1 << 20), (8, all), "after {cursor}");
    }
    // In small batches the snapshot comes in one piece, and not alone.
    assert_eq!(sent(&mut log, 0, 10).0, 8);
}

/// Guards against a second complete list: a subscriber calls at any time of a step, and takes small batches.
#[test]
fn one_that_is_sent_the_list_has_a_step_to_go_on_from_it() {
    const PURGE_INTERVAL_MS: usize = 50;
    const BATCH_BYTES: usize = 2_048;
    let steady_from = UNIX + EXPIRED_MS + 2 * STEP_MS;
    for called_after in (0..STEP_MS).step_by(100) {
        let mut log = Log::new(RETENTION);
        append(&mut log, &list(1, true, &[line("a", "ready")]), UNIX);
        let (mut cursor, mut lists) = (0, 0);
        for now in (UNIX..steady_from + 2 * STEP_MS).step_by(PURGE_INTERVAL_MS) {
            append(&mut log, &purge(now, now), now);
            log.compact(now);
            if now >= steady_from + called_after && cursor < log.last_number() {
                let (up_to, events) = sent(&mut log, cursor, BATCH_BYTES);
                lists += events.iter().filter(|(_, body)| body.starts_with("{\"members\"")).count();
                cursor = up_to;
            }
        }
        assert_eq!(lists, 1, "called {called_after} ms after a step");
    }
}

/// List and hierarchy of a subscriber that applied these.
fn state<'a>(events: impl Iterator<Item = &'a (u64, String)>) -> (BTreeMap<String, String>, Option<String>) {
    let (mut members, mut hierarchy) = (BTreeMap::new(), None);
    for (_, body) in events {
        let Some(list) = event(body).endpoints() else {
            hierarchy = if body.starts_with("{\"hier") { Some(body.clone()) } else { hierarchy };
            continue;
        };
        members.retain(|_, _| !list.is_snapshot);
        for e in list.endpoints {
            if e.is_gone {
                members.remove(&e.name)
            } else {
                members.insert(e.name, e.json)
            };
        }
    }
    (members, hierarchy)
}

#[test]
fn wherever_a_snapshot_breaks_off_a_relay_with_a_lower_one_sends_the_rest() {
    let mut behind = aged();
    append(&mut behind, &list(4, false, &[line("d", "ready"), line("a", "gone")]), UNIX);
    let mut ahead = behind.clone();
    ahead.compact(UNIX + EXPIRED_MS + 50_000 + STEP_MS);
    assert_eq!((behind.snapshot().number, ahead.snapshot().number), (0, 8));
    let all = sent(&mut behind, 0, 1 << 20).1;
    for has in 0..all.len() {
        let snapshot = sent(&mut ahead, has as u64, 1 << 20).1;
        for breaks in 0..=snapshot.len() {
            let some = || all[..has].iter().chain(&snapshot[..breaks]);
            let rest = sent(&mut behind, some().last().map_or(0, |e| e.0), 1 << 20).1;
            assert_eq!(
                state(some().chain(&rest)),
                state(all.iter()),
                "{has} events, snapshot breaks at {breaks}"
            );
        }
    }
}

#[test]
fn what_was_expired_as_it_came_goes_after_two_steps() {
    // An hour that a region was cut off comes at once: most of it has expired.
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), UNIX - 3_600_000);
    (0..3_600).for_each(|i| assert!(append(&mut log, &purge(i, UNIX - 3_600_000 + i * 1_000), UNIX) > 1));
    log.compact(UNIX);
    log.compact(UNIX + 2 * STEP_MS - 1);
    assert_eq!(log.snapshot().number, 1, "subscribers that are nearly up to date are sent it");
    log.compact(UNIX + 2 * STEP_MS);
    assert_eq!(log.last_number() - log.snapshot().number, 109, "the active ones are left");
}

#[test]
fn one_that_is_behind_the_snapshot_catches_up_while_purges_go_on() {
    let mut log = Log::new(RETENTION);
    let lines: Vec<String> = (0..490).map(|i| line(&format!("s{i}"), "ready")).collect();
    append(&mut log, &list(1, true, &lines), UNIX);
    // 35 purges a second, batches of 16 KB every 100 ms, each smaller than the snapshot.
    let (mut cursor, mut snapshots, mut bytes, mut caught_up) = (0, 0, 0, None);
    for tick in 0..2_000 {
        let unix = UNIX + tick * 100;
        (0..3 + tick % 2).for_each(|i| assert!(append(&mut log, &purge(tick * 9 + i, unix), unix) > 1));
        log.compact(unix);
        if tick < 1_600 || caught_up.is_some() {
            continue;
        }
        let (up_to, events) = sent(&mut log, cursor, 16_384);
        cursor = up_to;
        snapshots += events.iter().filter(|(_, b)| b.starts_with("{\"members")).count();
        bytes += events.iter().map(|(_, b)| b.len()).sum::<usize>();
        caught_up = (cursor == log.last_number()).then_some(tick - 1_600);
    }
    assert!(
        snapshots <= 2 && caught_up.is_some_and(|t| t < 40),
        "{snapshots} snapshots, {bytes} bytes, {caught_up:?}"
    );
}

#[test]
fn bursts_and_large_events_go_out_in_batches_to_fast_and_slow_subscribers() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), UNIX);
    for key in 0..1_000 {
        append(&mut log, &purge(key, UNIX), UNIX);
    }
    let large: Vec<String> = (0..300).map(|i| line(&format!("s{i}"), "ready")).collect();
    append(&mut log, &list(2, false, &large), UNIX);
    append(&mut log, &purge(1, UNIX), UNIX);
    // All get the same bytes, whoever is behind gets them later.
    let (mut slow, mut fast, mut all) = (1, 1, Vec::new());
    let mut largest = 0;
    while fast < log.last_number() {
        let (up_to, events) = sent(&mut log, fast, 16_384);
        let bytes: usize = events.iter().map(|(_, b)| b.len()).sum();
        assert!(bytes <= 16_384 || events.len() == 1, "{} of {bytes} bytes", events.len());
        largest = largest.max(bytes);
        fast = up_to;
        all.extend(events);
    }
    assert!(largest > 30_000, "the large one goes alone: {largest}");
    assert_eq!(all.iter().map(|e| e.0).collect::<Vec<_>>(), (2..=1_003).collect::<Vec<_>>());
    let mut theirs = Vec::new();
    while slow < log.last_number() {
        let (up_to, events) = sent(&mut log, slow, 1);
        assert_eq!(events.len(), 1);
        slow = up_to;
        theirs.extend(events);
    }
    assert_eq!(theirs, all);
    assert_eq!(
        log.check_capacity(1, log.size_bytes()),
        Err(LogFull { bytes: log.size_bytes(), limit: log.size_bytes() })
    );
    assert_eq!(log.check_capacity(1, log.size_bytes() + 1), Ok(()));
}

#[test]
fn an_idempotency_key_is_known_as_long_as_its_event_is_kept() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), UNIX);
    assert_eq!(log.append(&purge(1, UNIX), FencingToken::default(), Some("m"), UNIX), 2);
    assert_eq!(log.number_of_key("m"), Some(2));
    log.compact(UNIX + EXPIRED_MS + STEP_MS);
    assert_eq!(log.number_of_key("m"), None);
}

#[test]
fn malformed_events_are_rejected_with_what_and_where() {
    let endpoint = |l: &str| {
        format!(r#"{{"members":{{"index":1,"snapshot":true,"endpoints":[{},{l}]}}}}"#, line("a", "ready"))
    };
    let cases = [
        (r#"{"purge":{"key":"12","at":5}"#.to_owned(), "EOF while parsing an object at line 1 column 28"),
        ("{\"n\":1}".to_owned(), "no members, purge or hierarchy"),
        (
            "{\"n\":9007199254740992,\"purge\":{}}".to_owned(),
            "number 9007199254740992 is not below 9007199254740992",
        ),
        ("[1]".to_owned(), "not a JSON object of the control feed"),
        (r#"{"purge":{"at":5}}"#.to_owned(), "purge: it names neither a key nor a group"),
        (r#"{"purge":{"key":"xyz","at":5}}"#.to_owned(), "purge: key \"xyz\" is not a hexadecimal object id"),
        (r#"{"purge":{"key":"12"}}"#.to_owned(), "purge: missing field `at`"),
        (r#"{"purge":{"key":"12","at":5},"members":{}}"#.to_owned(), "more than one of"),
        (r#"{"members":{"index":1,"endpoints":[]}}"#.to_owned(), "members: missing field `snapshot`"),
        (endpoint(&line("b", "lost")), "members: endpoint 1 (b): unknown variant `lost`"),
        (endpoint(r#"{"name":"b","address":"here"}"#), "members: endpoint 1 (b): invalid socket address"),
        (r#"{"hierarchy":{"head":{}}}"#.to_owned(), "hierarchy: missing field"),
        (format!(r#"{{"purge":{{"key":"12","at":5}}}}{}"#, " ".repeat(200)), "has 229 bytes, more than 200"),
    ];
    for (text, reason) in cases {
        let max_bytes = if text.len() == 229 { 200 } else { 1 << 16 };
        let error = Event::parse(text.as_bytes(), max_bytes).expect_err(&text).to_string();
        assert!(error.contains(reason), "{text}: {error}");
    }
    assert!(matches!(Event::parse(b"{\"purge\":{\"key\":\"\xff\"}}", 100), Err(EventError::InvalidJson(_))));
}

#[test]
fn the_floor_waits_for_all_that_report_and_never_falls() {
    let mut r = Subscribers::new(10 * SEC, 3_600 * SEC, 3);
    r.expect(0, "c");
    r.connected(0, "a", 5);
    r.connected(0, "b", 7);
    assert_eq!(r.floor(SEC, 9), 0, "c is expected");
    r.connected(SEC, "c", 8);
    assert_eq!(r.floor(SEC + 49 * MS, 9), 0, "worked out now and then");
    assert_eq!(r.floor(SEC + 50 * MS, 9), 5);
    // a is silent with its stream open: it holds the floor for so long, and is named.
    for s in 2..=10 {
        r.connected(s * SEC, "b", 9);
        r.connected(s * SEC, "c", 9);
        assert_eq!(r.floor(s * SEC, 9), 5);
    }
    assert_eq!(r.floor(10 * SEC + 50 * MS, 9), 9);
    let missing: Vec<SubscriberStatus> = r.statuses(11 * SEC).into_iter().filter(|v| v.missing).collect();
    assert_eq!(
        (missing[0].name.as_str(), missing[0].number, missing[0].last_seen_age_ms),
        ("a", 5, Some(11_000))
    );
    // A new one lowers nothing, and is waited for before the floor rises.
    r.connected(11 * SEC, "d", 0);
    assert_eq!(r.floor(11 * SEC, 12), 9);
    r.connected(12 * SEC, "d", 12);
    r.connected(12 * SEC, "b", 12);
    r.connected(12 * SEC, "c", 12);
    assert_eq!(r.floor(12 * SEC, 12), 12);
    for name in ["a", "b", "c", "d"] {
        (0..20).for_each(|_| r.disconnected(name));
    }
    r.floor(4_000 * SEC, 12);
    assert!(r.statuses(4_000 * SEC).is_empty(), "removed");
}

#[test]
fn a_subscriber_that_moves_counts_where_it_was_last_seen() {
    let seen = |name: &str, number, age| SubscriberStatus {
        name: name.into(),
        number,
        last_seen_age_ms: age,
        connected: false,
        missing: false,
    };
    let status = |name: &str, last, history: &[(u64, u64)], subscribers| RelayStatus {
        name: name.into(),
        unix_ms: UNIX,
        last_number: last,
        floor_history: history.iter().copied().map(AppliedSince::from).collect(),
        subscribers,
        ..RelayStatus::default()
    };
    let fleet = merge_statuses(&[
        status(
            "r0",
            20,
            &[(10, 100), (20, 200)],
            vec![seen("d1", 9, Some(5_000)), seen("r1", 3, Some(1)), seen("d2", 0, None)],
        ),
        status(
            "r1",
            20,
            &[(12, 90)],
            vec![seen("d1", 20, Some(10)), seen("d2", 20, Some(60_000)), seen("d3", 4, Some(9_000))],
        ),
    ]);
    let names: Vec<(&str, u64, &str)> =
        fleet.subscribers.iter().map(|r| (r.name.as_str(), r.number, r.relay.as_str())).collect();
    assert_eq!(
        names,
        [("d1", 20, "r1"), ("d2", 20, "r1"), ("d3", 4, "r1"), ("r0", 20, "r0"), ("r1", 20, "r1")]
    );
    assert_eq!(fleet.applied_status(4).missing, []);
    assert_eq!(fleet.applied_status(11).since_unix_ms, Some(90));
    let late = fleet.applied_status(20);
    assert_eq!((late.since_unix_ms, late.missing.len()), (Some(200), 1));
    assert_eq!(late.missing[0].last_seen_unix_ms, Some(UNIX - 9_000));
    assert_eq!(fleet.applied_status(21).since_unix_ms, None);
}

#[test]
fn relays_that_follow_one_another_in_a_circle_grow_stale_together() {
    let mut ages = [Staleness::unknown(); 3];
    ages[0].record(SEC, 0, Some(FencingToken { term: 4, holder: Member { number: 2, incarnation: 9 } }));
    for s in 2..60 {
        for i in 0..3 {
            let comment = ages[(i + 2) % 3].to_comment(s * SEC);
            let comment = Staleness::parse_comment(&comment).expect("a comment of a relay");
            ages[i].record(s * SEC + 20 * MS, comment.age, comment.leader);
        }
    }
    for age in ages {
        assert!(age.age(60 * SEC) > 50 * SEC, "{}", age.to_comment(60 * SEC));
        assert_eq!(age.leader.map(|t| (t.term, t.holder.number)), Some((4, 2)));
    }
    assert_eq!(Staleness::parse_comment(": still here"), None);
    assert_eq!(Staleness::unknown().to_comment(5), ": fresh - owner - term -\n\n");
}

fn plain(upstreams: usize) -> Relay {
    Relay::plain(
        relay_config("p", RETENTION, 1 << 20),
        UpstreamSelector::new(upstreams, 3 * SEC, 5 * SEC, 60 * SEC, 0),
    )
}

#[test]
fn a_plain_relay_leaves_a_stale_upstream_and_returns_to_the_first() {
    let mut r = plain(3);
    let at = |r: &mut Relay, s: u64| {
        r.step(s * SEC, UNIX);
        r.upstream_to_follow(s * SEC).map(|call| call.upstream)
    };
    assert_eq!(at(&mut r, 4), Some(0), "it is given time");
    assert_eq!(at(&mut r, 6), Some(1), "it has not shown that it is up to date");
    r.on_upstream_comment(7 * SEC, ": fresh 100 owner 1 term 3");
    assert_eq!(at(&mut r, 10), Some(1));
    r.on_upstream_comment(11 * SEC, ": fresh 4000 owner 1 term 3");
    assert_eq!(at(&mut r, 12), Some(2), "it is stale");
    r.on_upstream_failed(13 * SEC);
    assert_eq!(at(&mut r, 13), Some(0));
    r.on_upstream_failed(13 * SEC);
    for s in 14..=74 {
        r.on_upstream_comment(s * SEC, ": a comment of an outside feed");
        assert_eq!(at(&mut r, s), Some(if s <= 73 { 1 } else { 0 }), "at {s} s");
    }
}

#[test]
fn a_plain_relay_accepts_a_gap_the_second_time_and_keeps_numbers_past_what_it_cannot_read() {
    let mut r = plain(1);
    let receive = |r: &mut Relay, n: u64, e: &Event| {
        let frame = String::from_utf8(e.to_frame(n)).expect("text");
        let data = frame.split_once("data: ").expect("data").1.trim_end().to_owned();
        r.on_upstream_event(SEC, UNIX, Some(n), data.as_bytes())
    };
    let complete = list(9, true, &[line("a", "ready")]);
    assert!(matches!(receive(&mut r, 4, &complete), ApplyOutcome::Resubscribe(_)));
    assert_eq!(receive(&mut r, 4, &complete), ApplyOutcome::Applied);
    assert_eq!(receive(&mut r, 5, &hierarchy(3)), ApplyOutcome::Applied);
    assert!(matches!(receive(&mut r, 9, &complete), ApplyOutcome::Resubscribe(_)));
    assert_eq!(receive(&mut r, 9, &complete), ApplyOutcome::Applied);
    assert_eq!(r.log().snapshot().hierarchy.as_ref().map(|h| h.number), Some(5));
    assert_eq!(receive(&mut r, 9, &complete), ApplyOutcome::Duplicate);
    assert_eq!(receive(&mut r, 10, &purge(1, UNIX)), ApplyOutcome::Applied);
    assert!(matches!(receive(&mut r, 12, &purge(3, UNIX)), ApplyOutcome::Resubscribe(_)));
    assert!(
        matches!(receive(&mut r, 12, &purge(3, UNIX)), ApplyOutcome::Resubscribe(_)),
        "no complete list: never past a purge"
    );
    assert_eq!(receive(&mut r, 11, &purge(2, UNIX)), ApplyOutcome::Applied);
    assert!(matches!(
        r.on_upstream_event(SEC, UNIX, Some(12), b"{\"n\":12,\"pur"),
        ApplyOutcome::Resubscribe(_)
    ));
    assert_eq!(r.on_upstream_event(SEC, UNIX, Some(12), b"{\"n\":12,\"pur"), ApplyOutcome::Applied);
    assert!(
        r.take_actions().iter().any(|a| matches!(a, Action::Log(n) if n.contains("event 12"))),
        "a line says so"
    );
    let mut out = Vec::new();
    assert_eq!(r.encode_after(9, 1 << 20, &mut out), 12);
    let empty = String::from_utf8(Event::empty_update().to_frame(12)).expect("text");
    assert!(String::from_utf8_lossy(&out).ends_with(&empty));
    // It calls with what its subscribers have applied, and skips what it is sent again.
    r.on_subscriber_connected(2 * SEC, UNIX, "d", 12);
    assert_eq!(receive(&mut r, 13, &purge(4, UNIX)), ApplyOutcome::Applied);
    assert_eq!(r.upstream_to_follow(2 * SEC), Some(UpstreamCall { upstream: 0, applied_number: 12 }));
    assert_eq!(receive(&mut r, 13, &purge(4, UNIX)), ApplyOutcome::Duplicate);
    r.on_subscriber_connected(3 * SEC, UNIX, "d", 13);
    assert_eq!(r.upstream_to_follow(3 * SEC), Some(UpstreamCall { upstream: 0, applied_number: 13 }));
}
