//! What events of the control feed cost a director that reads them: bytes, and the time of its own reading
//! code.

use std::hint::black_box;

use sablecross::mix;
use sablecross_director::discovery_event::NumberedEvent;
use sablecross_discovery::{EventCursor, EventStreamParser, EventVerdict, StreamItem};
use serde_json::{Value, json};

use crate::cost::{Cost, How, in_turns, micros};
use crate::fit::Point;

const EVENTS: [usize; 5] = [10, 100, 1_000, 10_000, 40_000];
const NODES: [usize; 6] = [20, 50, 100, 200, 350, 490];
const ROUNDS: usize = 11;
const MOST: usize = 4 << 20;
/// Numbers as they are after some days, so that their digits count.
const FIRST: u64 = 10_000_000;
const AT_MS: u64 = 1_764_576_000_123;

pub fn block(n: u64, what: &str) -> String {
    format!("id: {n}\ndata: {{\"n\":{n},{what}}}\n\n")
}

pub fn purge(n: u64) -> String {
    purge_at(n, AT_MS + n)
}

/// Made at this millisecond of the Unix clock.
pub fn purge_at(n: u64, at: u64) -> String {
    block(n, &format!("\"purge\":{{\"key\":\"{:016x}\",\"at\":{at}}}", mix(n)))
}

pub fn endpoint(node: usize, status: &str) -> Value {
    let kind = if node % 4 == 1 { "parent" } else { "small" };
    let (name, zone) = (format!("s-{:08x}", mix(node as u64) as u32), format!("zone-{:02}", node * 64 / 490));
    let address = format!("10.{}.{}.9:10080", node / 64, node % 64);
    json!({"name": name, "zone": zone, "address": address, "type": kind, "group": node / 2,
        "status": status, "weight": 4, "since_ms": 0})
}

fn members(n: u64, endpoints: &[Value], whole: bool) -> String {
    let told = json!({"index": 7, "snapshot": whole, "endpoints": endpoints});
    block(n, &format!("\"members\":{told}"))
}

pub fn change(n: u64) -> String {
    let status = if n.is_multiple_of(2) { "ready" } else { "gone" };
    members(n, &[endpoint((n % 490) as usize, status)], false)
}

pub fn whole(n: u64, nodes: usize) -> String {
    let all: Vec<Value> = (0..nodes).map(|node| endpoint(node, "ready")).collect();
    members(n, &all, true)
}

/// Reads it all as a director does: the stream's blocks, JSON, the fact, the rule on numbers. How many were
/// taken.
fn read(text: &[u8]) -> usize {
    let mut stream = EventStreamParser::new(MOST);
    stream.push(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    let mut cursor = EventCursor::after_number(FIRST - 1);
    let mut taken = 0;
    for piece in text.chunks(16 << 10) {
        stream.push(piece);
        while let Ok(Some(said)) = stream.next_item() {
            let StreamItem::Event { id, data } = said else { continue };
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

fn both(
    names: [(&'static str, &'static str); 2],
    over: &'static str,
    texts: Vec<(usize, String)>,
) -> Vec<Cost> {
    let bytes =
        texts.iter().map(|(size, text)| Point { size: *size as f64, value: text.len() as f64 }).collect();
    let mut sizes: Vec<(f64, String)> = texts.into_iter().map(|(s, t)| (s as f64, t)).collect();
    let time = in_turns(&mut sizes, ROUNDS, |text| {
        let many = (1_000_000 / text.len()).clamp(1, 1_000);
        let (took, taken) = micros(|| (0..many).map(|_| read(text.as_bytes())).sum::<usize>());
        assert!(taken >= many, "the reading code took {taken} events of a text made for it");
        took / many as f64
    });
    let [(bytes_name, bytes_what), (time_name, time_what)] = names;
    vec![
        Cost { name: bytes_name, what: bytes_what, over, unit: "bytes", how: How::Counted, points: bytes },
        Cost { name: time_name, what: time_what, over, unit: "us", how: How::Timed, points: time },
    ]
}

fn many(of: impl Fn(u64) -> String) -> Vec<(usize, String)> {
    EVENTS.iter().map(|&many| (many, (FIRST..FIRST + many as u64).map(&of).collect())).collect()
}

pub fn purges() -> Vec<Cost> {
    let names =
        [("feed-purge-bytes", "so many purges on the socket"), ("feed-purge-time", "so many purges read")];
    both(names, "purges", many(purge))
}

pub fn changes() -> Vec<Cost> {
    let names = [
        ("feed-change-bytes", "so many changes of one line on the socket"),
        ("feed-change-time", "so many changes of one line read"),
    ];
    both(names, "changes", many(change))
}

pub fn lists() -> Vec<Cost> {
    let names =
        [("feed-list-bytes", "the whole list as an event"), ("feed-list-time", "the whole list read")];
    both(names, "nodes", NODES.iter().map(|&nodes| (nodes, whole(FIRST, nodes))).collect())
}
