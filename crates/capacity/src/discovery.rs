//! What discovery events cost a director that reads them: their bytes, and the time of the code that reads them.

use std::hint::black_box;

use sablecross::mix;
use sablecross_director::discovery_event::NumberedEvent;
use sablecross_discovery::{EventCursor, EventStreamParser, EventVerdict, StreamItem};
use serde_json::{Value, json};

use crate::cost::{Cost, MeasurementKind, measure_interleaved, time_micros};
use crate::fit::Point;

const EVENTS: [usize; 5] = [10, 100, 1_000, 10_000, 40_000];
const NODES: [usize; 6] = [20, 50, 100, 200, 350, 490];
const ROUNDS: usize = 11;
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Number of the first event: as large as after some days, so that its digits count.
const FIRST_NUMBER: u64 = 10_000_000;
const PURGED_AT_MS: u64 = 1_764_576_000_123;

pub(crate) fn event_block(n: u64, what: &str) -> String {
    format!("id: {n}\ndata: {{\"n\":{n},{what}}}\n\n")
}

/// Returns the event with this number as a purge, as it is on the stream.
pub fn purge_event(n: u64) -> String {
    purge_event_at(n, PURGED_AT_MS + n)
}

/// The same for a purge made at this millisecond of the Unix clock.
pub(crate) fn purge_event_at(n: u64, at: u64) -> String {
    event_block(n, &format!("\"purge\":{{\"key\":\"{:016x}\",\"at\":{at}}}", mix(n)))
}

pub(crate) fn endpoint(node: usize, status: &str) -> Value {
    let kind = if node % 4 == 1 { "parent" } else { "small" };
    let (name, zone) = (format!("s-{:08x}", mix(node as u64) as u32), format!("zone-{:02}", node * 64 / 490));
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

/// Returns the event with this number as a complete endpoint list.
pub fn snapshot_event(n: u64, nodes: usize) -> String {
    let all: Vec<Value> = (0..nodes).map(|node| endpoint(node, "ready")).collect();
    members_event(n, &all, true)
}

/// Reads a stream as a director does (blocks, JSON, event, order of numbers) and returns how many events were new.
fn read_events(text: &[u8]) -> usize {
    let mut stream = EventStreamParser::new(MAX_BUFFERED_BYTES);
    stream.push(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    let mut cursor = EventCursor::after_number(FIRST_NUMBER - 1);
    let mut taken = 0;
    for piece in text.chunks(16 << 10) {
        stream.push(piece);
        while let Ok(Some(item)) = stream.next_item() {
            let StreamItem::Event { id, data } = item else { continue };
            let parsed = serde_json::from_str(&data).map_err(|e| e.to_string());
            let parsed = parsed.and_then(|v: Value| NumberedEvent::from_json(&v).map_err(|e| e.to_string()));
            let parsed = parsed.map(|e| (e.number, e.event));
            if let EventVerdict::New(fact) = cursor.classify(id, parsed) {
                black_box(fact);
                taken += 1;
            }
        }
    }
    taken
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
        let many = (1_000_000 / text.len()).clamp(1, 1_000);
        let (elapsed, taken) = time_micros(|| (0..many).map(|_| read_events(text.as_bytes())).sum::<usize>());
        assert!(taken >= many, "the reading code took {taken} events of a text made for it");
        elapsed / many as f64
    });
    let [(bytes_name, bytes_what), (time_name, time_what)] = names;
    vec![
        Cost {
            name: bytes_name,
            description: bytes_what,
            size_unit,
            unit: "bytes",
            kind: MeasurementKind::Counted,
            points: bytes,
        },
        Cost {
            name: time_name,
            description: time_what,
            size_unit,
            unit: "us",
            kind: MeasurementKind::Timed,
            points: time,
        },
    ]
}

fn event_texts(of: impl Fn(u64) -> String) -> Vec<(usize, String)> {
    EVENTS.iter().map(|&many| (many, (FIRST_NUMBER..FIRST_NUMBER + many as u64).map(&of).collect())).collect()
}

pub(crate) fn measure_purges() -> Vec<Cost> {
    let names =
        [("feed-purge-bytes", "so many purges on the socket"), ("feed-purge-time", "so many purges read")];
    measure_bytes_and_time(names, "purges", event_texts(purge_event))
}

pub(crate) fn measure_changes() -> Vec<Cost> {
    let names = [
        ("feed-change-bytes", "so many changes of one line on the socket"),
        ("feed-change-time", "so many changes of one line read"),
    ];
    measure_bytes_and_time(names, "changes", event_texts(change_event))
}

pub(crate) fn measure_lists() -> Vec<Cost> {
    let names =
        [("feed-list-bytes", "the whole list as an event"), ("feed-list-time", "the whole list read")];
    measure_bytes_and_time(
        names,
        "nodes",
        NODES.iter().map(|&nodes| (nodes, snapshot_event(FIRST_NUMBER, nodes))).collect(),
    )
}
