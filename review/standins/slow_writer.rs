//! A client that writes one request slowly while another request of the same connection is open.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 8;
const LARGE_OBJECT: u64 = 0x7f3a_9c21_e0b4_0000;
/// The large part takes this long to send at the pace of the settings, about ten times the mean of its class.
const LARGE_WORK: f64 = 3.2;
/// The body of the request that is written slowly, and the line on which it is written: 40 KB a second, without a pause.
const SLOW_BODY: usize = 120_000;
const PIECE: usize = 1_000;
const PIECE_GAP: Duration = Duration::from_millis(25);

fn request(class: &'static str, object: u64, work: f64, budget_ms: u64) -> Request {
    Request { rid: new_rid(), class, object, part: 0, group: 3, budget_ms, size_kb: work * STREAM_KB_PER_S, body: Vec::new() }
}

fn main() {
    let record = begin();
    let pulls: Pulls = Arc::default();
    let service: Service = Arc::new(|pull: &Pull| {
        if pull.object() >> 16 == LARGE_OBJECT >> 16 {
            (Duration::from_secs_f64(LARGE_WORK), 200_000)
        } else {
            (ms(40), 4_000)
        }
    });
    let node = |name: &str| start_node(name, &record, &pulls, Arc::clone(&service));
    let caches = [node("cache-a"), node("cache-b"), node("cache-c")];
    let (parents, origin) = ([node("parent-a"), node("parent-b")], node("origin"));
    let mut entries: Vec<String> = caches.iter().map(|node| entry(node, "edge-1", "small", 0, "ready")).collect();
    entries.extend(parents.iter().map(|node| entry(node, "east", "parent", 1000, "ready")));
    entries.push(entry(&origin, "east", "origin", 65535, "ready"));
    let feed = start_feed(&record, &Arc::default(), Duration::ZERO);
    let director = Director::start(&Platform { feed, memory_mb: 192, sockets: 1024, entries }, &record);

    let fates: Fates = Arc::default();
    let large: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, fates, large, address) = (Arc::clone(&record), Arc::clone(&fates), Arc::clone(&large), director.address);
            thread::spawn(move || run_client(n as u64, address, &record, &fates, &large))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(4_000));
    director.stop(&record);

    // Only requests that were written whole at once are judged, not those that were written slowly.
    let is_at_node = |rid: &String| pulls.lock().expect("pulls").iter().any(|pull| pull.rid == *rid);
    let reached = large.lock().expect("large").iter().filter(|rid| is_at_node(rid)).count();
    if reached < CLIENTS {
        finish(&record, NOT_RUN, &format!("{reached} of {CLIENTS} large requests came to a node"));
    }
    let lost = lost_requests(&fates, &record);
    if lost.is_empty() {
        finish(&record, HELD, &format!("held: all of {} requests were answered once", fates.lock().expect("fates").len()));
    }
    finish(&record, BROKEN, &format!("lost: {} requests that were written whole, {CLIENTS} connections", lost.len()));
}

fn run_client(n: u64, address: std::net::SocketAddr, record: &Arc<Record>, fates: &Fates, large: &Mutex<Vec<String>>) {
    let name = format!("c{n}");
    let Some(mut connection) = ClientConnection::connect(&name, address, record, fates) else {
        finish(record, NOT_RUN, "a client could not connect");
    };
    for object in 0..4 {
        connection.send(&request("readings", 0x1000 + 16 * n + object, 0.04, 3_000));
        thread::sleep(ms(250));
    }
    let first = request("footage", LARGE_OBJECT + n, LARGE_WORK, 6_000);
    large.lock().expect("large").push(first.rid.clone());
    connection.send(&first);
    thread::sleep(ms(200));

    // The second request of this connection. With the trouble it is written in pieces, as the line to the client is slow.
    let second = Request { body: vec![b'q'; SLOW_BODY], ..request("readings", 0x2000 + n, 0.04, 3_000) };
    if !has_trouble() {
        connection.send(&second);
        return thread::sleep(ms(6_000));
    }
    let bytes = connection.open_call(&second);
    record.line(&format!("client {name} begins to write request {} slowly", second.rid));
    let mut written = 0;
    for piece in bytes.chunks(PIECE) {
        if connection.is_over() || (&connection.stream).write_all(piece).is_err() {
            record.line(&format!("client {name} stops writing request {}: its connection is over", second.rid));
            return thread::sleep(ms(6_000));
        }
        written += piece.len();
        if written % (20 * PIECE) == 0 {
            record.line(&format!("client {name} wrote {written} bytes of {} of request {}", bytes.len(), second.rid));
        }
        thread::sleep(PIECE_GAP);
    }
    connection.note_written(&second);
    thread::sleep(ms(6_000));
}
