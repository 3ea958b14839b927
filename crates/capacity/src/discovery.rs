//! Measures discovery events: their bytes, and the time in which a director's code reads them.

use std::hint::black_box;

use sablecross::split_mix64;
use sablecross_director::discovery_event::NumberedEvent;
use sablecross_discovery::{EventCursor, EventStreamParser, EventVerdict, StreamItem};
use serde_json::{Value, json};

use crate::cost::{Cost, MeasurementKind, measure_interleaved, time_micros};
use crate::fit::Point;

const EVENT_COUNTS: [usize; 5] = [10, 100, 1_000, 10_000, 40_000];
const NODE_COUNTS: [usize; 6] = [20, 50, 100, 200, 350, 490];
const ROUNDS: usize = 11;
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Number of the first event. It has as many digits as the numbers of a source that has run for some days.
const FIRST_NUMBER: u64 = 10_000_000;
/// Unix time in milliseconds to which the number of a purge event is added to get the time of the purge.
const PURGED_AT_MS: u64 = 1_764_576_000_123;

pub(crate) fn event_block(n: u64, payload: &str) -> String {
    format!("id: {n}\ndata: {{\"n\":{n},{payload}}}\n\n")
}

/// Returns a purge event with this number, encoded as on the event stream.
pub fn purge_event(n: u64) -> String {
    purge_event_at(n, PURGED_AT_MS + n)
}

/// Returns a purge event with this number for a purge made at this Unix time in milliseconds.
pub(crate) fn purge_event_at(n: u64, at: u64) -> String {
    event_block(n, &format!("\"purge\":{{\"key\":\"{:016x}\",\"at\":{at}}}", split_mix64(n)))
}

pub(crate) fn endpoint(node: usize, status: &str) -> Value {
    let kind = if node % 4 == 1 { "parent" } else { "small" };
    let (name, zone) =
        (format!("s-{:08x}", split_mix64(node as u64) as u32), format!("zone-{:02}", node * 64 / 490));
    let address = format!("10.{}.{}.9:10080", node / 64, node % 64);
    json!({"name": name, "zone": zone, "address": address, "type": kind, "group": node / 2,
        "status": status, "weight": 4, "since_ms": 0})
}

fn members_event(n: u64, endpoints: &[Value], is_snapshot: bool) -> String {
    let members = json!({"index": 7, "snapshot": is_snapshot, "endpoints": endpoints});
    event_block(n, &format!("\"members\":{members}"))
}

pub(crate) fn change_event(n: u64) -> String {
    let status = if n.is_multiple_of(2) { "ready" } else { "gone" };
    members_event(n, &[endpoint((n % 490) as usize, status)], false)
}

/// Returns an event with this number that contains a complete endpoint list.
pub fn snapshot_event(n: u64, nodes: usize) -> String {
    let all: Vec<Value> = (0..nodes).map(|node| endpoint(node, "ready")).collect();
    members_event(n, &all, true)
}

/// Reads a stream as a director does and returns the number of new events. It parses the blocks, the JSON and the events
/// and checks the order of the event numbers.
fn read_events(text: &[u8]) -> usize {
    let mut stream = EventStreamParser::new(MAX_BUFFERED_BYTES);
    stream.push(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    let mut cursor = EventCursor::after_number(FIRST_NUMBER - 1);
    let mut new_events = 0;
    for chunk in text.chunks(16 << 10) {
        stream.push(chunk);
        while let Ok(Some(item)) = stream.next_item() {
            let StreamItem::Event { id, data } = item else { continue };
            let parsed = serde_json::from_str(&data).map_err(|e| e.to_string());
            let parsed = parsed.and_then(|v: Value| NumberedEvent::from_json(&v).map_err(|e| e.to_string()));
            let parsed = parsed.map(|e| (e.number, e.event));
            if let EventVerdict::New(event) = cursor.classify(id, parsed) {
                black_box(event);
                new_events += 1;
            }
        }
    }
    new_events
}

fn measure_bytes_and_time(
    names: [(&'static str, &'static str); 2],
    size_unit: &'static str,
    texts: Vec<(usize, String)>,
) -> Vec<Cost> {
    let bytes =
        texts.iter().map(|(size, text)| Point { size: *size as f64, value: text.len() as f64 }).collect();
    let mut sizes: Vec<(f64, String)> = texts.into_iter().map(|(s, t)| (s as f64, t)).collect();
    let time = measure_interleaved(&mut sizes, ROUNDS, |text| {
        let repetitions = (1_000_000 / text.len()).clamp(1, 1_000);
        let (elapsed, new_events) =
            time_micros(|| (0..repetitions).map(|_| read_events(text.as_bytes())).sum::<usize>());
        assert!(
            new_events >= repetitions,
            "only {new_events} new events were read in {repetitions} passes over a generated stream"
        );
        elapsed / repetitions as f64
    });
    let [(bytes_name, bytes_description), (time_name, time_description)] = names;
    vec![
        Cost {
            name: bytes_name,
            description: bytes_description,
            size_unit,
            unit: "bytes",
            kind: MeasurementKind::Counted,
            points: bytes,
        },
        Cost {
            name: time_name,
            description: time_description,
            size_unit,
            unit: "us",
            kind: MeasurementKind::Timed,
            points: time,
        },
    ]
}

fn event_texts(encode_event: impl Fn(u64) -> String) -> Vec<(usize, String)> {
    EVENT_COUNTS
        .iter()
        .map(|&count| (count, (FIRST_NUMBER..FIRST_NUMBER + count as u64).map(&encode_event).collect()))
        .collect()
}

pub(crate) fn measure_purges() -> Vec<Cost> {
    let names =
        [("feed-purge-bytes", "purge events, encoded"), ("feed-purge-time", "time to read purge events")];
    measure_bytes_and_time(names, "purges", event_texts(purge_event))
}

pub(crate) fn measure_changes() -> Vec<Cost> {
    let names = [
        ("feed-change-bytes", "change events of one endpoint each, encoded"),
        ("feed-change-time", "time to read change events of one endpoint each"),
    ];
    measure_bytes_and_time(names, "changes", event_texts(change_event))
}

pub(crate) fn measure_lists() -> Vec<Cost> {
    let names = [
        ("feed-list-bytes", "an event with the complete endpoint list, encoded"),
        ("feed-list-time", "time to read an event with the complete endpoint list"),
    ];
    measure_bytes_and_time(
        names,
        "nodes",
        NODE_COUNTS.iter().map(|&nodes| (nodes, snapshot_event(FIRST_NUMBER, nodes))).collect(),
    )
}
