//! Bad clients that send hundreds of requests at once and go, again and again, beside usual clients: whether the director
//! stays within its memory.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::many_nodes::{Tally, object_bytes, run_client, watch_memory};

/// Under a third of the descriptors, which is 341 of 1,024.
const BAD_CLIENTS: usize = 200;
const AT_ONCE: u32 = 300;
const USUAL_CLIENTS: usize = 4;
const CACHES: usize = 4;
const MEMORY_MB: u64 = 64;
const LOAD_FOR: f64 = 45.0;
/// What a small object takes.
const SERVICE_TIME: f64 = 0.04;

/// Serves a node that answers each request after the same time, unless it is given up meanwhile.
fn serve_after(listener: TcpListener, service_time: f64) {
    let waiting: Arc<Mutex<VecDeque<Pull>>> = Arc::default();
    let shared = Arc::clone(&waiting);
    thread::spawn(move || {
        loop {
            let next = shared.lock().ok().and_then(|mut waiting| waiting.pop_front());
            let Some(pull) = next else {
                sleep(0.001);
                continue;
            };
            sleep_until(pull.at + service_time);
            let fields = format!("how=HIT,entity=e{},issued={}", &pull.field("key")[..8], unix_ms());
            pull.connection.answer(&pull.id, "ACK", &fields, object_bytes(pull.field("key")).as_bytes());
        }
    });
    serve_node(listener, move |input, connection| {
        let Ok(mut waiting) = waiting.lock() else { return };
        match input {
            NodeInput::Pull(pull) => waiting.push_back(pull),
            NodeInput::Kill(id) => {
                waiting.retain(|pull| pull.id != id || pull.connection.number != connection.number)
            }
            NodeInput::Closed => waiting.retain(|pull| pull.connection.number != connection.number),
            NodeInput::Other(_) => {}
        }
    });
}

pub fn run() -> ! {
    let feed = Feed::start();
    let mut nodes = Vec::new();
    for number in 0..CACHES + 2 {
        let listener = listen();
        let address = address_of(&listener);
        serve_after(listener, SERVICE_TIME);
        nodes.push((
            match number {
                n if n < CACHES => format!("box-{n}"),
                n if n == CACHES => "parent-1".to_owned(),
                _ => "origin".to_owned(),
            },
            address,
        ));
    }
    let list: Vec<Listed> = nodes
        .iter()
        .enumerate()
        .map(|(number, (name, address))| Listed {
            name,
            address: *address,
            zone: if number < CACHES { "edge" } else { "hub" },
            kind: match number {
                n if n < CACHES => "small",
                n if n == CACHES => "parent",
                _ => "origin",
            },
            group: number as u32,
            status: "ready",
            since_ms: 0,
        })
        .collect();
    feed.push_list(&list, true);
    let at = free_address();
    let config = config("n1", at, &feed, &settings(&Settings::default()), 300_000.0);
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let mut director = Director::start("n1", at, &config);
    wait_until_alive(at);

    let tally = Arc::new(Tally::default());
    let most_memory = watch_memory(director.child.id(), MEMORY_MB, &tally);
    let until = now() + LOAD_FOR;
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let tally = Arc::clone(&tally);
            thread::spawn(move || run_client(at, number, until, &tally))
        })
        .collect();
    sleep(3.0);
    let sent = Arc::new(AtomicU64::new(0));
    if has_trouble() {
        record(&format!(
            "{BAD_CLIENTS} bad clients begin: each connects, sends {AT_ONCE} requests at once, reads, goes"
        ));
        for number in 0..BAD_CLIENTS {
            let sent = Arc::clone(&sent);
            thread::spawn(move || run_bad_client(at, number as u64, until, &sent));
        }
    }
    while now() < until && tally.has_lost_none() {
        sleep(1.0);
        record(&format!("bad clients have sent {}", sent.load(Ordering::Relaxed)));
    }
    if tally.has_lost_none() {
        for client in usual {
            let _ = client.join();
        }
    }
    sleep(0.5);
    if director.has_ended() {
        record("the director has ended");
    } else {
        director.signal("USR1");
        sleep(1.0);
    }
    director.record_log(3);
    let counts = format!(
        "{}, most memory {} kB of {} kB, bad clients sent {}",
        tally.counts(),
        most_memory.load(Ordering::Relaxed),
        MEMORY_MB * 1_024,
        sent.load(Ordering::Relaxed)
    );
    match tally.first_lost() {
        None => finish(0, &format!("HELD: {counts}")),
        Some(first) => finish(1, &format!("BROKEN: {counts}; the first: {first}")),
    }
}

/// Connects, sends all requests in one write, reads what it is sent, and goes.
fn run_bad_client(to: SocketAddr, number: u64, until: f64, sent: &AtomicU64) {
    let mut rng = Rng::new(number * 1_000_003 + unix_ms());
    let mut answers = vec![0; 64 << 10];
    while now() < until {
        let Ok(mut stream) = TcpStream::connect(to) else {
            sleep(0.1);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        let mut bytes = Vec::new();
        for call in 1..=AT_ONCE {
            let (rid, key) = (format!("{:016x}", rng.next()), format!("{:016x}", rng.next()));
            let fields = [
                ("rid", &*rid),
                ("budget", "1000"),
                ("obj", &key),
                ("piece", "0"),
                ("lot", "1"),
                ("mem", "50.0"),
            ];
            bytes.extend(encode_call(call, "readings", &fields, Some(b"-")));
        }
        if stream.write_all(&bytes).is_err() {
            continue;
        }
        sent.fetch_add(u64::from(AT_ONCE), Ordering::Relaxed);
        // The shortest answer has 15 bytes.
        let (mut received, began) = (0, now());
        while received < 15 * AT_ONCE as usize && now() < began + 1.5 {
            match stream.read(&mut answers) {
                Ok(count) if count > 0 => received += count,
                _ => break,
            }
        }
    }
}
