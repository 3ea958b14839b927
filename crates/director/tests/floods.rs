//! Clients that send at full speed, or hold many connections with incomplete messages, beside a usual client. The real
//! director on sockets.

mod help;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use help::{Client, Harness, NodeStub, Response, request_bytes, request_with_body, with_more_caches};

const MEMORY_MB: u64 = 32;
const FLOOD_DURATION: Duration = Duration::from_secs(2);
/// How long a usual client waits for an answer.
const BUDGET: Duration = Duration::from_secs(1);
const USUAL_INTERVAL: Duration = Duration::from_millis(50);

fn start() -> Harness {
    let memory = format!("\"memory_mb\": {MEMORY_MB}");
    let mut harness =
        Harness::with_config(|config| with_more_caches(&config).replace("\"memory_mb\": 192", &memory));
    let cache = std::mem::replace(&mut harness.cache, NodeStub::start());
    thread::spawn(move || {
        for message in cache.messages {
            if message.line.starts_with("PULL ") {
                let answer = format!("{} ACK how=HIT,entity=t1,issued=1 2\r\nok\r\n", message.request_id());
                // The director may have closed the connection.
                let _ = (&*message.stream).write_all(answer.as_bytes());
            }
        }
    });
    harness
}

/// The most memory that the process has had, in KB, without what it maps of files.
fn peak_memory_kb(harness: &Harness) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.child.id())).expect("runs");
    let field = |name: &str| -> u64 {
        let line = status.lines().find(|line| line.starts_with(name)).expect("listed");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
    };
    field("VmHWM:") - field("RssFile:")
}

/// What a bad client writes in its `n`th turn.
type BadBytes = fn(u64) -> Vec<u8>;

/// Writes at full speed and reads whatever comes, on one connection until the director closes it, and then on the next.
/// Counts the turns, also across connections.
fn flood(to: SocketAddr, bytes: BadBytes, stop: &AtomicBool, turns: &AtomicU64) {
    let mut buffer = vec![0; 64 << 10];
    while !stop.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(to).expect("connected");
        stream.set_nonblocking(true).expect("set");
        loop {
            let message = bytes(turns.fetch_add(1, Ordering::Relaxed));
            let mut written = 0;
            let is_closed = loop {
                if let Ok(0) = stream.read(&mut buffer) {
                    break true;
                }
                match stream.write(&message[written..]) {
                    Ok(count) => written += count,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break true,
                }
                if written == message.len() || stop.load(Ordering::Relaxed) {
                    break false;
                }
            };
            if is_closed || stop.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// Small requests, each under a new id and for another object.
fn small_requests(turn: u64) -> Vec<u8> {
    (1..=100).flat_map(|call| request_bytes(call, turn << 8 | u64::from(call), 1_000, &[])).collect()
}

fn cancels_of_unknown_calls(_: u64) -> Vec<u8> {
    b"\x93\x02\xadcancelRequest\x91\x63".repeat(100)
}

fn health_checks(_: u64) -> Vec<u8> {
    (1..=100).flat_map(|call| [b"\x94\x00\xcc".as_slice(), &[call], b"\xa5alive\x91\x80"].concat()).collect()
}

/// Requests without an id, of a class that does not exist, and bytes that are no message.
fn unsound_messages(turn: u64) -> Vec<u8> {
    let no_id = request_bytes(1, turn, 1_000, &[("rid", "")]);
    let no_class = b"\x94\x00\x02\xa5nobody\x92\x80\xc4\x00".to_vec();
    vec![no_id, no_class, b"\xc1\xc1\xc1".to_vec()].swap_remove((turn % 3) as usize)
}

/// Sends a request every 50 ms while the flood lasts. Returns how many were served.
fn assert_usual_client_is_answered(harness: &Harness, name: &str) -> usize {
    let (start, mut served, mut sent) = (Instant::now(), 0, 0);
    let mut client = harness.client();
    while start.elapsed() < FLOOD_DURATION {
        let sent_at = Instant::now();
        client.send_request(1, 0x7_0000 + sent % 20, BUDGET.as_millis() as u64);
        let (_, response) = client.read_response();
        assert!(sent_at.elapsed() < BUDGET, "{name}: {response:?} after {:?}", sent_at.elapsed());
        served += usize::from(response == Response::Success(b"ok".to_vec(), vec![]));
        sent += 1;
        thread::sleep(USUAL_INTERVAL);
    }
    served
}

/// Guards against answers that come late or never, and memory that grows, while one client sends at full speed.
#[test]
fn a_client_at_full_speed_delays_no_other_and_grows_no_memory() {
    let floods: [(&str, BadBytes); 4] = [
        ("small requests", small_requests),
        ("cancels", cancels_of_unknown_calls),
        ("health checks", health_checks),
        ("unsound messages", unsound_messages),
    ];
    for (name, bytes) in floods {
        let harness = start();
        let (stop, turns) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let bad = thread::spawn({
            let (to, stop, turns) = (harness.address, Arc::clone(&stop), Arc::clone(&turns));
            move || flood(to, bytes, &stop, &turns)
        });
        let served = assert_usual_client_is_answered(&harness, name);
        stop.store(true, Ordering::Relaxed);
        bad.join().expect("joined");
        assert!(served > 0, "{name}");
        assert!(peak_memory_kb(&harness) < MEMORY_MB << 10, "{name}: {} KB", peak_memory_kb(&harness));
    }
}

/// The first bytes of a request whose head has thousands of short fields.
fn head_of_short_fields() -> Vec<u8> {
    let mut out = b"\x94\x00\x01\xa7footage\x92\xde\x20\x00".to_vec();
    (0..2_500).for_each(|field: u16| out.extend([0xa2, b'0' + (field % 64) as u8, b'a', 0xa1, b'b']));
    out
}

/// Guards against a director that passes its memory because hundreds of clients write slowly, stop half way through a
/// large request or send heads of very many short fields.
#[test]
fn hundreds_of_incomplete_messages_stay_within_memory() {
    let half_a_request = request_with_body(1, 0x1234, 3_000, &vec![b'b'; 240_000])[..120_000].to_vec();
    let messages = [("half a request", half_a_request), ("short fields", head_of_short_fields())];
    for (name, message) in messages {
        for piece in [message.len(), 1_000] {
            let harness = start();
            let mut bad: Vec<Client> = (0..300).map(|_| harness.client()).collect();
            bad.iter().for_each(|client| client.0.set_nonblocking(true).expect("set"));
            for piece in message.chunks(piece).take(30) {
                // The director may have closed some of them.
                bad.iter_mut().for_each(|client| _ = client.0.write_all(piece));
                thread::sleep(Duration::from_millis(20));
            }
            let served = assert_usual_client_is_answered(&harness, name);
            assert!(served > 0, "{name}");
            assert!(peak_memory_kb(&harness) < MEMORY_MB << 10, "{name}: {} KB", peak_memory_kb(&harness));
        }
    }
}
