//! Stalls of the process, and other rare conditions, on the real process. Most tests stop the process with a signal,
//! cause an event such as a request or a disconnect, and continue the process.

mod help;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use help::faults::FaultPlan;
use help::reserved_address::ReservedAddress;
use help::*;
use rustix::process::{Pid, Signal, kill_process};
use socket2::SockRef;

/// By how much the `wait` field of an attempt may exceed the time that the client has left.
const WAIT_TOLERANCE_MS: u64 = 150;

fn wait_field(line: &str) -> u64 {
    let field = line.split([',', ' ']).find_map(|f| f.strip_prefix("wait="));
    field.and_then(|w| w.parse().ok()).expect("a time")
}

/// Guards against nodes that work past the client's deadline: the `wait` field must hold the time that is left when the
/// attempt is written, after a slow connect.
#[test]
fn time_spent_connecting_reduces_the_wait_field() {
    let delayed_node = DelayedNodeStub::start();
    let harness = Harness::with_config(|config| with_delayed_node(&config, "cache-a", &delayed_node));
    let mut client = harness.client();
    let start = Instant::now();
    client.send_request(1, 0x77, 3_000);
    std::thread::sleep(Duration::from_millis(1_000));
    let stream = delayed_node.accept_waiting();
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).expect("an attempt");
    let left = 3_000 - start.elapsed().as_millis() as u64;
    assert!(wait_field(&line) <= left + WAIT_TOLERANCE_MS, "{line} with {left} ms left");
}

/// Guards against nodes that work past the client's deadline: a request that arrives while the process is stopped must
/// count its time from its arrival.
#[test]
fn time_spent_in_a_stall_reduces_the_wait_field() {
    for stall_ms in [400, 1_000] {
        let harness = Harness::start();
        let mut client = harness.client();
        assert!(client.is_healthy());
        harness.signal("STOP");
        let start = Instant::now();
        client.send_request(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(stall_ms));
        harness.signal("CONT");
        let pull = harness.cache.expect_pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(wait_field(&pull.line) <= left + WAIT_TOLERANCE_MS, "{} with {left} ms left", pull.line);
        assert_eq!(client.assert_rejected(), 1);
        let took = start.elapsed();
        assert!(took < Duration::from_millis(2_100), "answered after {took:?}");
    }
}

/// Guards against closing a connection with a partly received request, to make room for others or at shutdown.
#[test]
fn a_partial_request_keeps_its_connection() {
    let request = request_bytes(1, 0x77, 4_000, &[]);
    let (first, rest) = request.split_at(20);
    let harness = Harness::with_config(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let mut slow = harness.client();
    assert!(slow.is_healthy());
    slow.write(first);
    let mut others: Vec<Client> = (0..40).map(|_| harness.client()).collect();
    others.iter_mut().skip(20).for_each(|client| assert!(client.is_healthy()));
    slow.write(rest);
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    slow.assert_success(1, b"owed");

    let harness = Harness::start();
    let mut slow = harness.client();
    assert!(slow.is_healthy());
    harness.signal("TERM");
    std::thread::sleep(Duration::from_millis(500));
    slow.write(first);
    std::thread::sleep(Duration::from_millis(600));
    slow.write(rest);
    assert_eq!(slow.assert_rejected(), 1, "its last byte came after the end of the shutdown delay");
    slow.assert_closed();
}

/// Guards against lost responses when many clients send many requests at once, which are all readable in one turn.
#[test]
fn many_simultaneous_requests_are_all_answered() {
    const EACH: usize = 200;
    let harness = Harness::start();
    // The clients connect one after another. Connections made faster than the director accepts them overflow the listen
    // backlog, and each retransmitted SYN takes a second, so that the first client would be closed as idle.
    let connect = |_| {
        let mut client = harness.client();
        assert!(client.is_healthy());
        client
    };
    let mut clients: Vec<Client> = (0..300).map(connect).collect();
    harness.signal("STOP");
    let mut requests = Vec::new();
    for call in 0..EACH {
        requests.extend([0x94, 0, 0xcc, call as u8]);
        requests.extend(b"\xa5alive\x91\x80");
    }
    clients.iter_mut().for_each(|client| client.write(&requests));
    harness.signal("CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let mut left = EACH;
        while left > 0 {
            assert_eq!(client.read_response().1, Response::Health(true), "client {number}, {left} left");
            left -= 1;
        }
    }
    harness.signal("TERM");
    drop(clients);
    let mut harness = harness;
    let start = Instant::now();
    while harness.child.try_wait().expect("waited").is_none() {
        assert!(start.elapsed() < LONG_TIMEOUT, "the program has not ended");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against reporting a copy that the client does not hold as unchanged: the node answers `NOMOD` with the tag of
/// another copy or with none.
#[test]
fn a_copy_is_reported_unchanged_only_if_its_tag_matches() {
    for fields in ["how=HIT,entity=t2,issued=1", "how=HIT,issued=1", "-"] {
        let harness = Harness::start();
        let mut client = harness.client();
        client.send_request_with(1, 0x77, 2_000, &[("ver", "t1")]);
        harness.cache.expect_pull().answer("NOMOD", fields, b"");
        harness.cache.next_pull().answer("ACK", "how=HIT,entity=t2,issued=1", b"whole");
        client.assert_success(1, b"whole");
    }
}

fn alive_within(address: std::net::SocketAddr, most: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < most {
        if let Ok(stream) = TcpStream::connect(address) {
            stream.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
            let mut client = Client(stream);
            client.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80");
            if client.0.read(&mut [0; 16]).is_ok_and(|n| n > 0) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Guards against a stop of the service because its log can't be written: the disk is full, or nothing reads the pipe.
#[test]
fn an_unwritable_log_does_not_stop_the_service() {
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").expect("a full device");
    for log in [Stdio::from(full), Stdio::piped()] {
        let reserved = ReservedAddress::new();
        let at = reserved.address;
        let path = std::env::temp_dir().join(format!("sablecross-log-{}.json", at.port()));
        std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", &at.to_string())).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
            .env("NODE_CONFIG", &path)
            .stderr(log)
            .spawn()
            .expect("starts");
        let began = alive_within(at, Duration::from_secs(3));
        // Each signal makes the director log a line, which can't be written.
        (0..300).filter(|_| began).for_each(|_| signal(child.id(), "USR1"));
        let serves = alive_within(at, Duration::from_secs(3));
        let ended = child.try_wait().expect("waited");
        let _ = child.kill();
        let _ = child.wait();
        std::fs::remove_file(&path).expect("removed");
        assert!(serves && ended.is_none(), "serves {serves}, ended {ended:?}");
    }
}

/// Guards against losing clients at shutdown: the last ones connect while accepting fails for lack of descriptors.
#[test]
fn a_client_waiting_to_be_accepted_at_shutdown_is_answered() {
    let faults = FaultPlan::new("");
    let harness = Harness::with_config_and_env(|config| config, &faults.environment());
    assert!(harness.client().is_healthy());
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    std::thread::sleep(Duration::from_millis(300));
    faults.set_rules("fail accept ENFILE 0 1000000 100");
    std::thread::sleep(Duration::from_millis(50));
    let mut client = harness.client();
    client.send_request(1, 0x77, 2_000);
    std::thread::sleep(Duration::from_millis(600));
    faults.set_rules("");
    assert_eq!(client.assert_rejected(), 1);
}

/// Guards against ending on a reload signal that arrives before the configuration has been read.
#[test]
fn a_reload_signal_during_the_start_does_not_end_the_program() {
    let reserved = ReservedAddress::new();
    let at = reserved.address;
    let path = std::env::temp_dir().join(format!("sablecross-fifo-{}", at.port()));
    assert!(Command::new("mkfifo").arg(&path).status().expect("made").success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
        .env("NODE_CONFIG", &path)
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    std::thread::sleep(Duration::from_millis(200));
    signal(child.id(), "HUP");
    std::thread::sleep(Duration::from_millis(100));
    let ended = child.try_wait().expect("waited");
    if ended.is_none() {
        std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", &at.to_string())).expect("written");
    }
    let serves = ended.is_none() && alive_within(at, Duration::from_secs(3));
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_file(&path).expect("removed");
    assert!(serves, "{ended:?}");
}

/// Guards against effects on other clients when a connection is reset while its response is written.
#[test]
fn client_resets_affect_no_other_client() {
    let harness = Harness::start();
    let mut good = harness.client();
    for call in 1..=30 {
        let mut bad = harness.client();
        bad.send_request(100 + call, 0x100 + u64::from(call), 2_000);
        let pull = harness.cache.next_pull();
        SockRef::from(&bad.0).set_linger(Some(Duration::ZERO)).expect("set");
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", &[7; 100_000]);
        drop(bad);
        good.send_request(call, u64::from(call), 2_000);
        harness.cache.next_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"good");
        good.assert_success(call, b"good");
    }
}

/// Guards against attempts for clients that are gone: they send a request and disconnect while the process is stopped.
#[test]
fn a_client_that_left_during_a_stall_gets_no_attempt() {
    let harness = Harness::start();
    for round in 0..25 {
        let mut clients: Vec<Client> = (0..8).map(|_| harness.client()).collect();
        assert!(clients.iter_mut().all(Client::is_healthy));
        harness.signal("STOP");
        for (number, client) in clients.iter_mut().enumerate() {
            client.send_request(1 + number as u8, 0x100 + number as u64, 2_000);
        }
        if round % 2 == 0 {
            clients
                .iter()
                .for_each(|client| SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("set"));
        }
        drop(clients);
        std::thread::sleep(Duration::from_millis(250));
        harness.signal("CONT");
        std::thread::sleep(Duration::from_millis(40));
        let begun: Vec<String> = harness.cache.messages.try_iter().map(|message| message.line).collect();
        assert!(begun.iter().all(|line| !line.starts_with("PULL")), "round {round}: {begun:?}");
    }
}

/// Guards against an effect that runs twice: a stalled node could begin the repeat after the other nodes have forgotten the
/// attempt that ran.
#[test]
fn a_repeat_is_killed_before_its_deduplication_window_ends() {
    const WINDOW: Duration = Duration::from_millis(600);
    let harness = Harness::with_config(|config| {
        config.replacen(
            "\"idempotent\", \"group\": \"all\", \"memorySpanUs\": 5000000",
            "\"deduplicated\", \"group\": \"all\", \"memorySpanUs\": 600000",
            1,
        )
    });
    let mut client = harness.client();
    client.send_request_with(1, 0x77, 4_000, &[("token", "m1")]);
    let ran = harness.cache.expect_pull();
    let forgotten_at = Instant::now() + WINDOW;
    ran.answer("EIO", "-", b"");
    let repeat = harness.cache.expect_pull();
    let wait = forgotten_at.saturating_duration_since(Instant::now());
    let withdrawal = harness.cache.messages.recv_timeout(wait).map(|message| message.line);
    assert_eq!(withdrawal, Ok(format!("KILL {}", repeat.request_id())), "killed before the window is over");
    assert_eq!(client.read_response(), (1, Response::Error("Failed".into(), vec![])));
}

/// Guards against nodes that work past the client's deadline: the connection itself was opened while the process was
/// stopped. The stop is shorter than the sweep interval, so that the connection is accepted in another turn than its
/// request is read.
#[test]
fn a_connection_opened_during_a_stall_reduces_the_wait_field() {
    let harness = Harness::start();
    for round in 0..25 {
        harness.signal("STOP");
        let start = Instant::now();
        let mut client = harness.client();
        client.send_request(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(200));
        harness.signal("CONT");
        let pull = harness.cache.next_pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(
            wait_field(&pull.line) <= left + WAIT_TOLERANCE_MS,
            "round {round}: {} with {left} ms left",
            pull.line
        );
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        client.assert_success(1, b"whole");
    }
}

/// Guards against attempts for clients that are gone: they connected, sent a request and disconnected while the process was
/// stopped.
#[test]
fn a_client_that_connected_and_left_during_a_stall_gets_no_attempt() {
    let harness = Harness::start();
    for round in 0..25 {
        assert!(harness.client().is_healthy());
        harness.signal("STOP");
        for number in 0..8 {
            let mut client = harness.client();
            client.send_request(1 + number, 0x100 + u64::from(number), 2_000);
            if round % 2 == 0 {
                SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("set");
            }
        }
        std::thread::sleep(Duration::from_millis(200));
        harness.signal("CONT");
        std::thread::sleep(Duration::from_millis(40));
        let begun: Vec<String> = harness.cache.messages.try_iter().map(|message| message.line).collect();
        assert!(begun.iter().all(|line| !line.starts_with("PULL")), "round {round}: {begun:?}");
    }
}

/// Guards against attempts for expired requests: more connections become readable during a stop than one poll might report.
#[test]
fn requests_that_expired_during_a_stall_get_no_attempt() {
    let harness = Harness::start();
    let connect = |_| {
        let mut client = harness.client();
        assert!(client.is_healthy());
        client
    };
    let mut clients: Vec<Client> = (0..150).map(connect).collect();
    harness.signal("STOP");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_request(1, 0x1000 + number as u64, 300);
    }
    std::thread::sleep(Duration::from_millis(500));
    harness.signal("CONT");
    clients.iter_mut().for_each(|client| assert_eq!(client.assert_rejected(), 1));
    let begun: Vec<String> = harness.cache.messages.try_iter().map(|message| message.line).collect();
    assert!(begun.iter().all(|line| !line.starts_with("PULL")), "{begun:?}");
}

/// Guards against nodes that work past the client's deadline: the process is stopped while it returns from a poll that has
/// events already, and a request that arrives then is reported by the next poll.
#[test]
fn a_stall_at_the_end_of_a_poll_reduces_the_wait_field() {
    let harness = Harness::start();
    let process = Pid::from_child(&harness.child);
    let (mut other, mut client) = (harness.client(), harness.client());
    assert!(other.is_healthy() && client.is_healthy());
    for round in 0..60 {
        other.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80");
        // The health check wakes the director; the stop follows 0 to 59 microseconds later.
        let woken = Instant::now() + Duration::from_micros(round);
        while Instant::now() < woken {}
        kill_process(process, Signal::STOP).expect("stopped");
        let start = Instant::now();
        client.send_request(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(200));
        kill_process(process, Signal::CONT).expect("continued");
        let pull = harness.cache.next_pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(
            wait_field(&pull.line) <= left + WAIT_TOLERANCE_MS,
            "round {round}: {} with {left} ms left",
            pull.line
        );
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        client.assert_success(1, b"whole");
        assert_eq!(other.read_response(), (255, Response::Health(true)));
    }
}
