//! A control feed that is crowded: each call waits for its turn before it is answered.

#[path = "common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a call waits for its turn. What the feed has to tell comes well before it counts as told, 7 s.
const CALL_WAITS: Duration = Duration::from_millis(2_500);
/// The protocol page: what the feed has to tell counts as told 7 s later at the latest.
const TOLD_AT_LATEST: f64 = 7.0;
const DRAIN_AT: Duration = Duration::from_secs(4);
const RUN: Duration = Duration::from_secs(26);
const REQUEST_EVERY: Duration = Duration::from_millis(40);

fn main() {
    let record = begin();
    let pulls: Pulls = Arc::default();
    let service: Service = Arc::new(|_: &Pull| (ms(40), 4_000));
    let node = |name: &str| start_node(name, &record, &pulls, Arc::clone(&service));
    let caches = [node("cache-a"), node("cache-b"), node("cache-c")];
    let (parents, origin) = ([node("parent-a"), node("parent-b")], node("origin"));
    let mut entries: Vec<String> = caches.iter().map(|node| entry(node, "edge-1", "small", 0, "ready")).collect();
    entries.extend(parents.iter().map(|node| entry(node, "east", "parent", 1000, "ready")));
    entries.push(entry(&origin, "east", "origin", 65535, "ready"));
    let events: FeedEvents = Arc::default();
    let feed = start_feed(&record, &events, if has_trouble() { CALL_WAITS } else { Duration::ZERO });
    let director = Director::start(&Platform { feed, memory_mb: 192, sockets: 1024, entries }, &record);

    let (begun, fates): (Instant, Fates) = (Instant::now(), Arc::default());
    let mut connection = None;
    let mut listed_at = None;
    let mut n = 0;
    while begun.elapsed() < RUN {
        if listed_at.is_none() && begun.elapsed() >= DRAIN_AT {
            let drains = entry(&caches[1], "edge-1", "small", 0, "draining");
            let event = format!(r#"{{"n":2,"members":{{"index":1,"snapshot":false,"endpoints":[{drains}]}}}}"#);
            let at = record.now();
            events.lock().expect("events").push((2, event, at));
            record.line("feed has event 2: cache-b drains");
            listed_at = Some(at);
        }
        if connection.as_ref().is_none_or(ClientConnection::is_over) {
            connection = ClientConnection::connect("c0", director.address, &record, &fates);
        }
        if let Some(connection) = &mut connection {
            n += 1;
            let size_kb = 0.04 * STREAM_KB_PER_S;
            connection.send(&Request {
                rid: new_rid(), class: "readings", object: 0x1000 + n % 300, part: 0, group: 3, budget_ms: 3_000, size_kb, body: Vec::new(),
            });
        }
        thread::sleep(REQUEST_EVERY);
    }
    thread::sleep(ms(1_000));
    director.stop(&record);

    let Some(listed_at) = listed_at else { finish(&record, NOT_RUN, "the drain was not listed") };
    let allowed_until = listed_at + TOLD_AT_LATEST + DRAIN_GRACE + SLACK;
    let pulls = pulls.lock().expect("pulls");
    let before = pulls.iter().filter(|pull| pull.node == "cache-b" && pull.first_byte_at < listed_at).count();
    if before < 10 {
        finish(&record, NOT_RUN, "cache-b got too few requests before it drained");
    }
    let names_it = |pull: &&Pull| pull.node == "cache-b" || pull.fields.get("miss").is_some_and(|source| source == "cache-b");
    let late: Vec<&Pull> = pulls.iter().filter(names_it).filter(|pull| pull.first_byte_at > allowed_until).collect();
    for pull in &late {
        record.line(&format!("DRAIN attempt {} came to {} at {:.3}, allowed until {allowed_until:.3}", pull.rid, pull.node, pull.first_byte_at));
    }
    let Some(last) = late.last() else {
        finish(&record, HELD, &format!("held: nothing went to cache-b later than {TOLD_AT_LATEST} s and the grace after its drain was in the feed"));
    };
    finish(&record, BROKEN, &format!(
        "drain: {} attempts went to cache-b after the grace, the last one {:.1} s after its drain was in the feed", late.len(), last.first_byte_at - listed_at
    ));
}
