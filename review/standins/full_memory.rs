//! Bad clients whose messages are shorter than the lengths in them, beside usual clients.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 150;
const USUAL_CLIENTS: usize = 6;
const BAD_FROM: Duration = Duration::from_secs(3);
const BAD_UNTIL: Duration = Duration::from_secs(15);
const USUAL_UNTIL: Duration = Duration::from_secs(17);
/// The time that a part of a footage object takes, and the body of the second request of a connection.
const PART_WORK: f64 = 0.7;
const USUAL_BODY: usize = 12_000;

fn request(class: &'static str, object: u64, work: f64, budget_ms: u64, body: usize) -> Request {
    let body = vec![b'q'; body];
    Request { rid: new_rid(), class, object, part: 0, group: 3, budget_ms, size_kb: work * STREAM_KB_PER_S, body }
}

fn main() {
    let record = begin();
    let pulls: Pulls = Arc::default();
    let service: Service = Arc::new(|pull: &Pull| {
        let is_footage = pull.fields.get("class").is_some_and(|class| class == "footage");
        if is_footage { (Duration::from_secs_f64(PART_WORK), 40_000) } else { (ms(40), 4_000) }
    });
    let node = |name: &str| start_node(name, &record, &pulls, Arc::clone(&service));
    let caches = [node("cache-a"), node("cache-b"), node("cache-c")];
    let (parents, origin) = ([node("parent-a"), node("parent-b")], node("origin"));
    let mut entries: Vec<String> = caches.iter().map(|node| entry(node, "edge-1", "small", 0, "ready")).collect();
    entries.extend(parents.iter().map(|node| entry(node, "east", "parent", 1000, "ready")));
    entries.push(entry(&origin, "east", "origin", 65535, "ready"));
    let feed = start_feed(&record, &Arc::default(), Duration::ZERO);
    let director = Director::start(&Platform { feed, memory_mb: 64, sockets: 512, entries }, &record);

    let begun = Instant::now();
    let address = director.address;
    let fates: Fates = Arc::default();
    let judged: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for n in 0..USUAL_CLIENTS {
        let (record, fates, judged) = (Arc::clone(&record), Arc::clone(&fates), Arc::clone(&judged));
        threads.push(thread::spawn(move || usual_client(n as u64, address, begun, &record, &fates, &judged)));
    }
    let unanswered: Arc<AtomicUsize> = Arc::default();
    if has_trouble() {
        for n in 0..BAD_CLIENTS {
            let (record, unanswered) = (Arc::clone(&record), Arc::clone(&unanswered));
            threads.push(thread::spawn(move || bad_client(n, address, begun, &record, &unanswered)));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(ms(4_000));
    director.stop(&record);

    // Judged are the requests that follow an answered one on the same connection: those for a part that came whole to a
    // node, and those with a body that were written whole while such a one was open.
    let judged = judged.lock().expect("judged").clone();
    let at_node: HashSet<String> = pulls.lock().expect("pulls").iter().map(|pull| pull.rid.clone()).collect();
    fates.lock().expect("fates").retain(|rid, _| judged.contains(rid));
    let count = fates.lock().expect("fates").len();
    let stranded = unanswered.load(Ordering::Relaxed);
    record.line(&format!("{count} requests are judged; bad connections without an answer or a close for 3 s: {stranded}"));
    if count < 30 {
        finish(&record, NOT_RUN, "too few requests came to a node");
    }
    let lost = lost_requests(&fates, &record);
    if lost.is_empty() {
        finish(&record, HELD, &format!("held: all of {count} requests were answered once"));
    }
    let begun = lost.iter().filter(|line| line.split(' ').nth(1).is_some_and(|rid| at_node.contains(rid))).count();
    finish(&record, BROKEN, &format!("lost: {} of {count} requests of usual clients, {begun} of them begun by a node", lost.len()));
}

/// A usual client: on one connection a small request, then a part of an object, and while that is fetched a request with
/// a body. When the connection ends, it goes on with a new one.
fn usual_client(n: u64, address: SocketAddr, begun: Instant, record: &Arc<Record>, fates: &Fates, judged: &Mutex<Vec<String>>) {
    let name = format!("c{n}");
    let mut connection: Option<ClientConnection> = None;
    let mut object = 0x10_0000 * (n + 1);
    while begun.elapsed() < USUAL_UNTIL {
        object += 1;
        if connection.as_ref().is_none_or(|connection| connection.is_over()) {
            connection = ClientConnection::connect(&name, address, record, fates);
            if let Some(connection) = &mut connection {
                connection.send(&request("readings", object ^ 0x8000_0000, 0.04, 3_000, 0));
                thread::sleep(ms(200));
            }
        }
        let Some(connection) = connection.as_mut().filter(|connection| !connection.is_over()) else {
            thread::sleep(ms(200));
            continue;
        };
        let part = request("footage", object, PART_WORK, 6_000, 0);
        connection.send(&part);
        thread::sleep(ms(250));
        if !connection.is_over() {
            let with_body = request("readings", object ^ 0x4000_0000, 0.04, 3_000, USUAL_BODY);
            judged.lock().expect("judged").extend([part.rid.clone(), with_body.rid.clone()]);
            connection.send(&with_body);
        }
        thread::sleep(ms(750));
    }
    thread::sleep(ms(4_000));
}

/// A bad client: a request whose body is shorter than its length says, at full speed; then it reads what it is sent.
/// When it is turned away, it does the same again. `stranded` counts the connections that were neither answered nor
/// closed within 3 s.
fn bad_client(n: usize, address: SocketAddr, begun: Instant, record: &Arc<Record>, stranded: &AtomicUsize) {
    // The lengths differ: 240,000 bytes at most.
    let length = [240_000, 240_000, 240_000, 120_000, 60_000, 30_000, 15_000, 7_000][n % 8];
    let mut bytes = encode_request(1, &Request { body: Vec::new(), ..request("footage", n as u64, 0.3, 3_000, 0) });
    bytes.truncate(bytes.len() - 5);
    put_bin_head(&mut bytes, length);
    bytes.resize(bytes.len() + length * 9 / 10, b'b');
    thread::sleep(BAD_FROM.saturating_sub(begun.elapsed()));
    static LINES: AtomicBool = AtomicBool::new(false);
    if !LINES.swap(true, Ordering::Relaxed) {
        record.line(&format!("{BAD_CLIENTS} bad clients begin"));
    }
    while begun.elapsed() < BAD_UNTIL {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(500)) else {
            thread::sleep(ms(50));
            continue;
        };
        let connected = Instant::now();
        let _ = stream.set_read_timeout(Some(ms(3_500)));
        let _ = stream.set_write_timeout(Some(ms(3_500)));
        let _ = stream.write_all(&bytes);
        let mut buffer = [0; 4 << 10];
        let was_ended = loop {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => {}
                Ok(_) => break true,
                Err(e) => break !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            }
        };
        record.line(&format!("bad client {n} sent {} bytes of {length}, over after {:?}", bytes.len(), connected.elapsed()));
        if !was_ended {
            stranded.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(ms(20));
    }
}
