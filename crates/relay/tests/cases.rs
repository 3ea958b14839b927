//! Tests of the log, of subscribers, of merged statuses and of plain relays.

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
/// Age in milliseconds at which an event has expired.
const EXPIRED_MS: u64 = 130_000;
/// Compaction step in milliseconds.
const STEP_MS: u64 = 10_000;

fn append(log: &mut Log, event: &Event, unix_ms: u64) -> u64 {
    log.append(event, FencingToken::default(), None, unix_ms)
}

/// Returns the new cursor, and the numbers and bodies of the events that a subscriber with this cursor is sent in one
/// batch.
fn encode_and_parse(log: &mut Log, cursor: u64, max_bytes: usize) -> (u64, Vec<(u64, String)>) {
    let mut out = Vec::new();
    let up_to = log.encode_after(cursor, max_bytes, &mut out);
    let read = |(n, data): (u64, String)| {
        let ParsedEvent { number, event } = Event::parse(data.as_bytes(), 1 << 20).expect("an event");
        assert_eq!(number, Some(n));
        (n, event.body().to_owned())
    };
    (up_to, parse_frames(out).into_iter().map(read).collect())
}

/// Returns a log with list events, purges and a hierarchy. The purge with number 6 expires 50 s after the others.
fn log_with_all_kinds() -> Log {
    let mut log = Log::new(RETENTION);
    append(
        &mut log,
        &list(1, true, &[endpoint_json("a", "ready"), endpoint_json("b", "ready")]),
        START_UNIX_MS,
    );
    append(&mut log, &purge(1, START_UNIX_MS), START_UNIX_MS);
    append(&mut log, &list(2, false, &[endpoint_json("c", "ready")]), START_UNIX_MS);
    append(
        &mut log,
        &list(3, false, &[endpoint_json("a", "draining"), endpoint_json("b", "gone")]),
        START_UNIX_MS,
    );
    append(&mut log, &hierarchy(7), START_UNIX_MS);
    append(&mut log, &purge(2, START_UNIX_MS + 50_000), START_UNIX_MS);
    append(&mut log, &purge(3, START_UNIX_MS), START_UNIX_MS);
    log
}

#[test]
fn encodes_events_as_the_protocol_specifies() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &event("{\"purge\" : {\"group\":17,\n \"at\":5}}"), START_UNIX_MS);
    let mut out = b"before".to_vec();
    assert_eq!(log.encode_after(0, 0, &mut out), 1);
    assert_eq!(
        String::from_utf8_lossy(&out),
        "beforeid: 1\ndata: {\"n\":1,\"purge\":{\"group\":17,  \"at\":5}}\n\n"
    );
    assert_eq!(log.encode_after(1, 0, &mut out), 1, "nothing to send");
    assert_eq!(log.encode_after(9, 0, &mut out), 9, "a subscriber that is ahead is sent nothing");
}

#[test]
fn compaction_moves_expired_events_into_the_snapshot() {
    let mut log = log_with_all_kinds();
    log.compact(START_UNIX_MS + EXPIRED_MS - 1);
    assert_eq!((log.snapshot().number, log.endpoint_count()), (0, Some(2)), "nothing has expired");
    log.compact(START_UNIX_MS + EXPIRED_MS + STEP_MS - 1);
    assert_eq!(log.snapshot().number, 0, "the snapshot moves in steps");
    log.compact(START_UNIX_MS + EXPIRED_MS + STEP_MS);
    // The purge with number 6 is active for 50 s longer.
    assert_eq!((log.snapshot().number, log.last_number()), (5, 7));
    log.compact(START_UNIX_MS + EXPIRED_MS + 50_000 + STEP_MS);
    assert_eq!((log.snapshot().number, log.last_number()), (7, 7));
    let members: Vec<&String> = log.snapshot().members.keys().collect();
    assert_eq!(members, ["a", "c"], "b is gone");
    assert_eq!(log.snapshot().members["a"], endpoint_json("a", "draining"), "its JSON is unchanged");
}

#[test]
fn a_subscriber_behind_the_snapshot_gets_list_hierarchy_and_active_purges() {
    let mut log = log_with_all_kinds();
    log.compact(START_UNIX_MS + EXPIRED_MS + 50_000 + STEP_MS);
    append(&mut log, &purge(4, START_UNIX_MS + EXPIRED_MS), START_UNIX_MS + EXPIRED_MS + 50_000);
    let complete =
        list(3, true, &[endpoint_json("a", "draining"), endpoint_json("c", "ready")]).body().to_owned();
    let at = |n: u64| match n {
        5 => (5, hierarchy(7).body().to_owned()),
        8 => (8, purge(4, START_UNIX_MS + EXPIRED_MS).body().to_owned()),
        n => (n, complete.clone()),
    };
    // Cursor, and the numbers that are sent. The list is sent under 4 as well, so that a subscriber whose stream
    // breaks off there misses nothing at a relay whose snapshot is lower.
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
        let expected: Vec<_> = numbers.iter().map(|n| at(*n)).collect();
        assert_eq!(encode_and_parse(&mut log, cursor, 1 << 20), (8, expected), "after {cursor}");
    }
    // Even with a small batch size the snapshot is sent in one batch, together with the events after it.
    assert_eq!(encode_and_parse(&mut log, 0, 10).0, 8);
}

/// Guards against a subscriber being sent a second complete list because it falls behind the next snapshot. The
/// subscriber calls at any time of a compaction step and takes small batches.
#[test]
fn a_subscriber_that_is_sent_the_snapshot_is_not_behind_the_next_one() {
    const PURGE_INTERVAL_MS: usize = 50;
    const BATCH_BYTES: usize = 2_048;
    let steady_from = START_UNIX_MS + EXPIRED_MS + 2 * STEP_MS;
    for call_delay_ms in (0..STEP_MS).step_by(100) {
        let mut log = Log::new(RETENTION);
        append(&mut log, &list(1, true, &[endpoint_json("a", "ready")]), START_UNIX_MS);
        let (mut cursor, mut lists) = (0, 0);
        for now in (START_UNIX_MS..steady_from + 2 * STEP_MS).step_by(PURGE_INTERVAL_MS) {
            append(&mut log, &purge(now, now), now);
            log.compact(now);
            if now >= steady_from + call_delay_ms && cursor < log.last_number() {
                let (up_to, events) = encode_and_parse(&mut log, cursor, BATCH_BYTES);
                lists += events.iter().filter(|(_, body)| body.starts_with("{\"members\"")).count();
                cursor = up_to;
            }
        }
        assert_eq!(lists, 1, "called {call_delay_ms} ms after a step");
    }
}

/// Returns the endpoint list and the hierarchy of a subscriber that has applied these events.
fn list_and_hierarchy<'a>(
    events: impl Iterator<Item = &'a (u64, String)>,
) -> (BTreeMap<String, String>, Option<String>) {
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
fn a_relay_with_a_lower_snapshot_completes_a_snapshot_that_broke_off() {
    let mut behind = log_with_all_kinds();
    append(
        &mut behind,
        &list(4, false, &[endpoint_json("d", "ready"), endpoint_json("a", "gone")]),
        START_UNIX_MS,
    );
    let mut ahead = behind.clone();
    ahead.compact(START_UNIX_MS + EXPIRED_MS + 50_000 + STEP_MS);
    assert_eq!((behind.snapshot().number, ahead.snapshot().number), (0, 8));
    let all_events = encode_and_parse(&mut behind, 0, 1 << 20).1;
    for applied_count in 0..all_events.len() {
        let snapshot = encode_and_parse(&mut ahead, applied_count as u64, 1 << 20).1;
        for frame_count in 0..=snapshot.len() {
            let received = || all_events[..applied_count].iter().chain(&snapshot[..frame_count]);
            let rest = encode_and_parse(&mut behind, received().last().map_or(0, |e| e.0), 1 << 20).1;
            assert_eq!(
                list_and_hierarchy(received().chain(&rest)),
                list_and_hierarchy(all_events.iter()),
                "{applied_count} events, snapshot breaks at {frame_count}"
            );
        }
    }
}

#[test]
fn events_that_had_expired_when_appended_are_compacted_after_two_steps() {
    // The events of an hour during which a region was disconnected are appended at once; most of them have expired.
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), START_UNIX_MS - 3_600_000);
    (0..3_600).for_each(|i| {
        assert!(append(&mut log, &purge(i, START_UNIX_MS - 3_600_000 + i * 1_000), START_UNIX_MS) > 1)
    });
    log.compact(START_UNIX_MS);
    log.compact(START_UNIX_MS + 2 * STEP_MS - 1);
    assert_eq!(log.snapshot().number, 1, "subscribers that are nearly up to date are still sent the events");
    log.compact(START_UNIX_MS + 2 * STEP_MS);
    assert_eq!(log.last_number() - log.snapshot().number, 109, "the active purges are kept");
}

#[test]
fn a_subscriber_behind_the_snapshot_catches_up_under_steady_purges() {
    let mut log = Log::new(RETENTION);
    let endpoints: Vec<String> = (0..490).map(|i| endpoint_json(&format!("s{i}"), "ready")).collect();
    append(&mut log, &list(1, true, &endpoints), START_UNIX_MS);
    // 35 purges per second, and batches of 16 KB every 100 ms, each of which is smaller than the snapshot.
    let (mut cursor, mut snapshots, mut bytes, mut caught_up) = (0, 0, 0, None);
    for tick in 0..2_000 {
        let unix_ms = START_UNIX_MS + tick * 100;
        (0..3 + tick % 2).for_each(|i| assert!(append(&mut log, &purge(tick * 9 + i, unix_ms), unix_ms) > 1));
        log.compact(unix_ms);
        if tick < 1_600 || caught_up.is_some() {
            continue;
        }
        let (up_to, events) = encode_and_parse(&mut log, cursor, 16_384);
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
fn fast_and_slow_subscribers_get_the_same_events_in_batches() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), START_UNIX_MS);
    for key in 0..1_000 {
        append(&mut log, &purge(key, START_UNIX_MS), START_UNIX_MS);
    }
    let large: Vec<String> = (0..300).map(|i| endpoint_json(&format!("s{i}"), "ready")).collect();
    append(&mut log, &list(2, false, &large), START_UNIX_MS);
    append(&mut log, &purge(1, START_UNIX_MS), START_UNIX_MS);
    // The slow subscriber takes one event per batch and receives the same events later.
    let (mut slow_cursor, mut fast_cursor, mut fast_events) = (1, 1, Vec::new());
    let mut largest = 0;
    while fast_cursor < log.last_number() {
        let (up_to, events) = encode_and_parse(&mut log, fast_cursor, 16_384);
        let bytes: usize = events.iter().map(|(_, b)| b.len()).sum();
        assert!(bytes <= 16_384 || events.len() == 1, "{} of {bytes} bytes", events.len());
        largest = largest.max(bytes);
        fast_cursor = up_to;
        fast_events.extend(events);
    }
    assert!(largest > 30_000, "the large event is a batch of its own: {largest}");
    assert_eq!(fast_events.iter().map(|e| e.0).collect::<Vec<_>>(), (2..=1_003).collect::<Vec<_>>());
    let mut slow_events = Vec::new();
    while slow_cursor < log.last_number() {
        let (up_to, events) = encode_and_parse(&mut log, slow_cursor, 1);
        assert_eq!(events.len(), 1);
        slow_cursor = up_to;
        slow_events.extend(events);
    }
    assert_eq!(slow_events, fast_events);
    assert_eq!(
        log.check_capacity(1, log.size_bytes()),
        Err(LogFull { bytes: log.size_bytes(), limit: log.size_bytes() })
    );
    assert_eq!(log.check_capacity(1, log.size_bytes() + 1), Ok(()));
}

#[test]
fn an_idempotency_key_is_known_as_long_as_its_event_is_kept() {
    let mut log = Log::new(RETENTION);
    append(&mut log, &list(1, true, &[]), START_UNIX_MS);
    assert_eq!(log.append(&purge(1, START_UNIX_MS), FencingToken::default(), Some("m"), START_UNIX_MS), 2);
    assert_eq!(log.number_of_key("m"), Some(2));
    log.compact(START_UNIX_MS + EXPIRED_MS + STEP_MS);
    assert_eq!(log.number_of_key("m"), None);
}

#[test]
fn errors_of_malformed_events_name_place_and_reason() {
    let endpoint = |l: &str| {
        format!(
            r#"{{"members":{{"index":1,"snapshot":true,"endpoints":[{},{l}]}}}}"#,
            endpoint_json("a", "ready")
        )
    };
    let cases = [
        (r#"{"purge":{"key":"12","at":5}"#.to_owned(), "EOF while parsing an object at line 1 column 28"),
        ("{\"n\":1}".to_owned(), "no members, purge or hierarchy"),
        (
            "{\"n\":9007199254740992,\"purge\":{}}".to_owned(),
            "number 9007199254740992 is not below 9007199254740992",
        ),
        ("[1]".to_owned(), "no JSON as the feed has it"),
        (r#"{"purge":{"at":5}}"#.to_owned(), "purge: it names neither a key nor a group"),
        (r#"{"purge":{"key":"xyz","at":5}}"#.to_owned(), "purge: key \"xyz\" is not a hexadecimal object id"),
        (r#"{"purge":{"key":"12"}}"#.to_owned(), "purge: missing field `at`"),
        (r#"{"purge":{"key":"12","at":5},"members":{}}"#.to_owned(), "more than one of"),
        (r#"{"members":{"index":1,"endpoints":[]}}"#.to_owned(), "members: missing field `snapshot`"),
        (endpoint(&endpoint_json("b", "lost")), "members: endpoint 1 (b): unknown variant `lost`"),
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
fn the_floor_waits_for_all_reporting_subscribers_and_never_decreases() {
    let mut subscribers = Subscribers::new(10 * SEC, 3_600 * SEC, 3);
    subscribers.expect(0, "c");
    subscribers.connected(0, "a", 5);
    subscribers.connected(0, "b", 7);
    assert_eq!(subscribers.floor(SEC, 9), 0, "c is expected");
    subscribers.connected(SEC, "c", 8);
    assert_eq!(subscribers.floor(SEC + 49 * MS, 9), 0, "recomputed at most every 50 ms");
    assert_eq!(subscribers.floor(SEC + 50 * MS, 9), 5);
    // Subscriber a is silent with its stream open. It holds the floor back until it is missing, and is then reported as
    // missing.
    for s in 2..=10 {
        subscribers.connected(s * SEC, "b", 9);
        subscribers.connected(s * SEC, "c", 9);
        assert_eq!(subscribers.floor(s * SEC, 9), 5);
    }
    assert_eq!(subscribers.floor(10 * SEC + 50 * MS, 9), 9);
    let missing: Vec<SubscriberStatus> =
        subscribers.statuses(11 * SEC).into_iter().filter(|v| v.missing).collect();
    assert_eq!(
        (missing[0].name.as_str(), missing[0].number, missing[0].last_seen_age_ms),
        ("a", 5, Some(11_000))
    );
    // A new subscriber doesn't lower the floor, but the floor rises only after it has caught up.
    subscribers.connected(11 * SEC, "d", 0);
    assert_eq!(subscribers.floor(11 * SEC, 12), 9);
    subscribers.connected(12 * SEC, "d", 12);
    subscribers.connected(12 * SEC, "b", 12);
    subscribers.connected(12 * SEC, "c", 12);
    assert_eq!(subscribers.floor(12 * SEC, 12), 12);
    for name in ["a", "b", "c", "d"] {
        (0..20).for_each(|_| subscribers.disconnected(name));
    }
    subscribers.floor(4_000 * SEC, 12);
    assert!(subscribers.statuses(4_000 * SEC).is_empty(), "removed");
}

#[test]
fn merged_statuses_take_the_latest_report_of_a_subscriber() {
    let seen = |name: &str, number, age_ms| SubscriberStatus {
        name: name.into(),
        number,
        last_seen_age_ms: age_ms,
        connected: false,
        missing: false,
    };
    let status = |name: &str, last, history: &[(u64, u64)], subscribers| RelayStatus {
        name: name.into(),
        unix_ms: START_UNIX_MS,
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
        fleet.subscribers.iter().map(|seen| (seen.name.as_str(), seen.number, seen.relay.as_str())).collect();
    assert_eq!(
        names,
        [("d1", 20, "r1"), ("d2", 20, "r1"), ("d3", 4, "r1"), ("r0", 20, "r0"), ("r1", 20, "r1")]
    );
    assert_eq!(fleet.applied_status(4).missing, []);
    assert_eq!(fleet.applied_status(11).since_unix_ms, Some(90));
    let late = fleet.applied_status(20);
    assert_eq!((late.since_unix_ms, late.missing.len()), (Some(200), 1));
    assert_eq!(late.missing[0].last_seen_unix_ms, Some(START_UNIX_MS - 9_000));
    assert_eq!(fleet.applied_status(21).since_unix_ms, None);
}

#[test]
fn staleness_grows_in_a_cycle_of_relays() {
    let mut stalenesses = [Staleness::unknown(); 3];
    stalenesses[0].record(
        SEC,
        0,
        Some(FencingToken { term: 4, holder: Member { number: 2, incarnation: 9 } }),
    );
    for s in 2..60 {
        for i in 0..3 {
            let comment = stalenesses[(i + 2) % 3].to_comment(s * SEC);
            let comment = Staleness::parse_comment(&comment).expect("a comment of a relay");
            stalenesses[i].record(s * SEC + 20 * MS, comment.age, comment.leader);
        }
    }
    for staleness in stalenesses {
        assert!(staleness.age(60 * SEC) > 50 * SEC, "{}", staleness.to_comment(60 * SEC));
        assert_eq!(staleness.leader.map(|t| (t.term, t.holder.number)), Some((4, 2)));
    }
    assert_eq!(Staleness::parse_comment(": still here"), None);
    assert_eq!(Staleness::unknown().to_comment(5), ": fresh - owner - term -\n\n");
}

fn plain_relay(upstreams: usize) -> Relay {
    Relay::plain(
        relay_config("p", RETENTION, 1 << 20),
        UpstreamSelector::new(upstreams, 3 * SEC, 5 * SEC, 60 * SEC, 0),
    )
}

#[test]
fn a_plain_relay_leaves_a_stale_upstream_and_returns_to_the_first() {
    let mut relay = plain_relay(3);
    let at = |relay: &mut Relay, s: u64| {
        relay.step(s * SEC, START_UNIX_MS);
        relay.upstream_to_follow(s * SEC).map(|call| call.upstream)
    };
    assert_eq!(at(&mut relay, 4), Some(0), "within the grace period");
    assert_eq!(at(&mut relay, 6), Some(1), "no comment has shown that it is up to date");
    relay.on_upstream_comment(7 * SEC, ": fresh 100 owner 1 term 3");
    assert_eq!(at(&mut relay, 10), Some(1));
    relay.on_upstream_comment(11 * SEC, ": fresh 4000 owner 1 term 3");
    assert_eq!(at(&mut relay, 12), Some(2), "it is stale");
    relay.on_upstream_failed(13 * SEC);
    assert_eq!(at(&mut relay, 13), Some(0));
    relay.on_upstream_failed(13 * SEC);
    for s in 14..=74 {
        relay.on_upstream_comment(s * SEC, ": a comment of an outside feed");
        assert_eq!(at(&mut relay, s), Some(if s <= 73 { 1 } else { 0 }), "at {s} s");
    }
}

#[test]
fn a_plain_relay_accepts_a_repeated_gap_and_replaces_an_unreadable_event() {
    let mut relay = plain_relay(1);
    let receive = |relay: &mut Relay, n: u64, e: &Event| {
        let frame = String::from_utf8(e.to_frame(n)).expect("text");
        let data = frame.split_once("data: ").expect("data").1.trim_end().to_owned();
        relay.on_upstream_event(SEC, START_UNIX_MS, Some(n), data.as_bytes())
    };
    let complete = list(9, true, &[endpoint_json("a", "ready")]);
    assert!(matches!(receive(&mut relay, 4, &complete), ApplyOutcome::Resubscribe(_)));
    assert_eq!(receive(&mut relay, 4, &complete), ApplyOutcome::Applied);
    assert_eq!(receive(&mut relay, 5, &hierarchy(3)), ApplyOutcome::Applied);
    assert!(matches!(receive(&mut relay, 9, &complete), ApplyOutcome::Resubscribe(_)));
    assert_eq!(receive(&mut relay, 9, &complete), ApplyOutcome::Applied);
    assert_eq!(relay.log().snapshot().hierarchy.as_ref().map(|h| h.number), Some(5));
    assert_eq!(receive(&mut relay, 9, &complete), ApplyOutcome::Duplicate);
    assert_eq!(receive(&mut relay, 10, &purge(1, START_UNIX_MS)), ApplyOutcome::Applied);
    assert!(matches!(receive(&mut relay, 12, &purge(3, START_UNIX_MS)), ApplyOutcome::Resubscribe(_)));
    assert!(
        matches!(receive(&mut relay, 12, &purge(3, START_UNIX_MS)), ApplyOutcome::Resubscribe(_)),
        "without a complete list, it never skips a purge"
    );
    assert_eq!(receive(&mut relay, 11, &purge(2, START_UNIX_MS)), ApplyOutcome::Applied);
    assert!(matches!(
        relay.on_upstream_event(SEC, START_UNIX_MS, Some(12), b"{\"n\":12,\"pur"),
        ApplyOutcome::Resubscribe(_)
    ));
    assert_eq!(
        relay.on_upstream_event(SEC, START_UNIX_MS, Some(12), b"{\"n\":12,\"pur"),
        ApplyOutcome::Applied
    );
    assert!(
        relay.take_actions().iter().any(|a| matches!(a, Action::Log(n) if n.contains("event 12"))),
        "a log line names the event"
    );
    let mut out = Vec::new();
    assert_eq!(relay.encode_after(9, 1 << 20, &mut out), 12);
    let empty = String::from_utf8(Event::empty_update().to_frame(12)).expect("text");
    assert!(String::from_utf8_lossy(&out).ends_with(&empty));
    // The relay calls its upstream with the number that its subscribers have applied, and skips events that it is
    // sent again.
    relay.on_subscriber_connected(2 * SEC, START_UNIX_MS, "d", 12);
    assert_eq!(receive(&mut relay, 13, &purge(4, START_UNIX_MS)), ApplyOutcome::Applied);
    assert_eq!(relay.upstream_to_follow(2 * SEC), Some(UpstreamTarget { upstream: 0, applied_number: 12 }));
    assert_eq!(receive(&mut relay, 13, &purge(4, START_UNIX_MS)), ApplyOutcome::Duplicate);
    relay.on_subscriber_connected(3 * SEC, START_UNIX_MS, "d", 13);
    assert_eq!(relay.upstream_to_follow(3 * SEC), Some(UpstreamTarget { upstream: 0, applied_number: 13 }));
}
