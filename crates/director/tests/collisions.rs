//! Rare events that meet, on the real process: each test holds one back until the other is there.

mod help;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use help::faults::Faults;
use help::*;
use rustix::process::{Pid, Signal, kill_process};
use socket2::SockRef;

/// By how much the time told to a node may pass what its client has left.
const SLACK_MS: u64 = 150;

fn wait_field(line: &str) -> u64 {
    let field = line.split([',', ' ']).find_map(|f| f.strip_prefix("wait="));
    field.and_then(|w| w.parse().ok()).expect("a time")
}

/// A slow connection and a deadline: what a node is told is what is left when the send is written.
#[test]
fn a_connection_that_comes_up_late_takes_from_the_time_told_to_its_node() {
    let late = LateNode::start();
    let w = World::with(|config| with_late_node(&config, "cache-a", &late));
    let mut client = w.client();
    let start = Instant::now();
    client.ask(1, 0x77, 3_000);
    std::thread::sleep(Duration::from_millis(1_000));
    let stream = late.open();
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).expect("a send");
    let left = 3_000 - start.elapsed().as_millis() as u64;
    assert!(wait_field(&line) <= left + SLACK_MS, "{line} with {left} ms left");
}

/// A process that stands still and requests that come meanwhile: their time has run on.
#[test]
fn a_request_that_came_while_the_process_stood_still_has_that_much_less_time() {
    for stood_ms in [400, 1_000] {
        let w = World::start();
        let mut client = w.client();
        assert!(client.alive());
        w.signal("STOP");
        let start = Instant::now();
        client.ask(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(stood_ms));
        w.signal("CONT");
        let pull = w.cache.pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(wait_field(&pull.line) <= left + SLACK_MS, "{} with {left} ms left", pull.line);
        assert_eq!(client.assert_rejected(), 1);
        let took = start.elapsed();
        assert!(took < Duration::from_millis(2_100), "answered after {took:?}");
    }
}

/// A request that is half written, and others that want its connection's place, or the end of the program.
#[test]
fn a_half_written_request_keeps_its_connection() {
    let request = request_bytes(1, 0x77, 4_000, &[]);
    let (first, rest) = request.split_at(20);
    let w = World::with(|c| c.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let mut slow = w.client();
    assert!(slow.alive());
    slow.write(first);
    let mut others: Vec<Client> = (0..40).map(|_| w.client()).collect();
    others.iter_mut().skip(20).for_each(|c| assert!(c.alive()));
    slow.write(rest);
    w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    slow.satisfied(1, b"owed");

    let w = World::start();
    let mut slow = w.client();
    assert!(slow.alive());
    w.signal("TERM");
    std::thread::sleep(Duration::from_millis(500));
    slow.write(first);
    std::thread::sleep(Duration::from_millis(600));
    slow.write(rest);
    assert_eq!(slow.assert_rejected(), 1, "its last byte came after the program took no more");
    slow.assert_closed();
}

/// Many clients that send many requests at once, all read in one turn: none loses its answer.
#[test]
fn many_that_ask_much_at_once_are_all_answered() {
    const EACH: usize = 200;
    let w = World::start();
    // One after another: connections that are made faster than the director accepts them overflow the listen backlog, and
    // each retransmitted SYN takes a second, so that the first client is closed as silent.
    let introduced = |_| {
        let mut client = w.client();
        assert!(client.alive());
        client
    };
    let mut clients: Vec<Client> = (0..300).map(introduced).collect();
    w.signal("STOP");
    let mut requests = Vec::new();
    for call in 0..EACH {
        requests.extend([0x94, 0, 0xcc, call as u8]);
        requests.extend(b"\xa5alive\x91\x80");
    }
    clients.iter_mut().for_each(|c| c.write(&requests));
    w.signal("CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let mut left = EACH;
        while left > 0 {
            assert_eq!(client.answer().1, Answer::Health(true), "client {number}, {left} left");
            left -= 1;
        }
    }
    w.signal("TERM");
    drop(clients);
    let mut w = w;
    let start = Instant::now();
    while w.child.try_wait().expect("asked").is_none() {
        assert!(start.elapsed() < LONG, "it ends");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A node says that the client's copy is the one, and names another: the client holds no such copy.
#[test]
fn a_copy_is_called_current_only_if_it_was_named() {
    for fields in ["how=HIT,entity=t2,issued=1", "how=HIT,issued=1", "-"] {
        let w = World::start();
        let mut client = w.client();
        client.ask_with(1, 0x77, 2_000, &[("ver", "t1")]);
        w.cache.pull().answer("NOMOD", fields, b"");
        w.cache.next_pull().answer("ACK", "how=HIT,entity=t2,issued=1", b"whole");
        client.satisfied(1, b"whole");
    }
}

fn free_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("bound")
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

/// The disk of the log is full, or whoever reads it has stopped reading or gone: the service goes on.
#[test]
fn a_log_that_cannot_be_written_stops_nothing() {
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").expect("a full device");
    for log in [Stdio::from(full), Stdio::piped()] {
        let at = free_address();
        let path = std::env::temp_dir().join(format!("sablecross-log-{}.json", at.port()));
        std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", &at.to_string())).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
            .env("NODE_CONFIG", &path)
            .stderr(log)
            .spawn()
            .expect("starts");
        let began = alive_within(at, Duration::from_secs(3));
        // Nobody reads its log, and it has much to say.
        (0..300).filter(|_| began).for_each(|_| signal(child.id(), "USR1"));
        let serves = alive_within(at, Duration::from_secs(3));
        let ended = child.try_wait().expect("asked");
        let _ = child.kill();
        let _ = child.wait();
        std::fs::remove_file(&path).expect("removed");
        assert!(serves && ended.is_none(), "serves {serves}, ended {ended:?}");
    }
}

/// The last clients of a program that ends come while it has no descriptor to take them with.
#[test]
fn a_client_that_waits_to_be_taken_at_a_stop_is_answered() {
    let faults = Faults::plan("");
    let w = World::start_with(|c| c, &faults.environment());
    assert!(w.client().alive());
    w.signal("TERM");
    w.logged("stopping");
    std::thread::sleep(Duration::from_millis(300));
    faults.set("fail accept ENFILE 0 1000000 100");
    std::thread::sleep(Duration::from_millis(50));
    let mut client = w.client();
    client.ask(1, 0x77, 2_000);
    std::thread::sleep(Duration::from_millis(600));
    faults.set("");
    assert_eq!(client.assert_rejected(), 1);
}

/// A signal before the configuration has been read.
#[test]
fn a_reload_during_the_start_does_not_end_the_program() {
    let at = free_address();
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
    let ended = child.try_wait().expect("asked");
    if ended.is_none() {
        std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", &at.to_string())).expect("written");
    }
    let serves = ended.is_none() && alive_within(at, Duration::from_secs(3));
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_file(&path).expect("removed");
    assert!(serves, "{ended:?}");
}

/// A client whose connection is reset in the moment in which its answer is written takes no other's.
#[test]
fn resets_under_answers_harm_no_other_client() {
    let w = World::start();
    let mut good = w.client();
    for call in 1..=30 {
        let mut bad = w.client();
        bad.ask(100 + call, 0x100 + u64::from(call), 2_000);
        let pull = w.cache.next_pull();
        SockRef::from(&bad.0).set_linger(Some(Duration::ZERO)).expect("set");
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", &[7; 100_000]);
        drop(bad);
        good.ask(call, u64::from(call), 2_000);
        w.cache.next_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"good");
        good.satisfied(call, b"good");
    }
}

/// A client that asks and goes while the process stands still: nothing is begun for it afterwards.
#[test]
fn a_client_that_went_while_the_process_stood_still_gets_no_attempt() {
    let w = World::start();
    for round in 0..25 {
        let mut clients: Vec<Client> = (0..8).map(|_| w.client()).collect();
        assert!(clients.iter_mut().all(Client::alive));
        w.signal("STOP");
        for (number, client) in clients.iter_mut().enumerate() {
            client.ask(1 + number as u8, 0x100 + number as u64, 2_000);
        }
        if round % 2 == 0 {
            clients.iter().for_each(|c| SockRef::from(&c.0).set_linger(Some(Duration::ZERO)).expect("set"));
        }
        drop(clients);
        std::thread::sleep(Duration::from_millis(250));
        w.signal("CONT");
        std::thread::sleep(Duration::from_millis(40));
        let begun: Vec<String> = w.cache.messages.try_iter().map(|told| told.line).collect();
        assert!(begun.iter().all(|line| !line.starts_with("PULL")), "round {round}: {begun:?}");
    }
}

/// Guards against an effect that runs twice: a node that stands still begins an attempt once the others have forgotten
/// the one that ran.
#[test]
fn a_repeat_is_withdrawn_before_nodes_forget_the_effect() {
    const WINDOW: Duration = Duration::from_millis(600);
    let w = World::with(|config| {
        config.replacen(
            "\"idempotent\", \"group\": \"all\", \"memorySpanUs\": 5000000",
            "\"deduplicated\", \"group\": \"all\", \"memorySpanUs\": 600000",
            1,
        )
    });
    let mut client = w.client();
    client.ask_with(1, 0x77, 4_000, &[("token", "m1")]);
    let ran = w.cache.pull();
    let forgotten_at = Instant::now() + WINDOW;
    ran.answer("EIO", "-", b"");
    let repeat = w.cache.pull();
    let wait = forgotten_at.saturating_duration_since(Instant::now());
    let withdrawal = w.cache.messages.recv_timeout(wait).map(|told| told.line);
    assert_eq!(withdrawal, Ok(format!("KILL {}", repeat.name())), "told before the window is over");
    assert_eq!(client.answer(), (1, Answer::Error("Failed".into(), vec![])));
}

/// Guards against nodes that are told too long a wait: the connection itself came while the process stood still. Stops of
/// less than the sweep's interval: the connection is accepted in another turn than its request is read.
#[test]
fn a_request_on_a_connection_made_while_the_process_stood_still_has_that_much_less_time() {
    let w = World::start();
    for round in 0..25 {
        w.signal("STOP");
        let start = Instant::now();
        let mut client = w.client();
        client.ask(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(200));
        w.signal("CONT");
        let pull = w.cache.next_pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(
            wait_field(&pull.line) <= left + SLACK_MS,
            "round {round}: {} with {left} ms left",
            pull.line
        );
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        client.satisfied(1, b"whole");
    }
}

/// Guards against attempts for clients that have gone: they connected, asked and went while the process stood still.
#[test]
fn a_client_that_came_and_went_while_the_process_stood_still_gets_no_attempt() {
    let w = World::start();
    for round in 0..25 {
        assert!(w.client().alive());
        w.signal("STOP");
        for number in 0..8 {
            let mut client = w.client();
            client.ask(1 + number, 0x100 + u64::from(number), 2_000);
            if round % 2 == 0 {
                SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("set");
            }
        }
        std::thread::sleep(Duration::from_millis(200));
        w.signal("CONT");
        std::thread::sleep(Duration::from_millis(40));
        let begun: Vec<String> = w.cache.messages.try_iter().map(|told| told.line).collect();
        assert!(begun.iter().all(|line| !line.starts_with("PULL")), "round {round}: {begun:?}");
    }
}

/// Guards against attempts for requests whose time is over: more connections have news at once than one wait reports.
#[test]
fn many_requests_that_came_while_the_process_stood_still_are_all_too_late() {
    let w = World::start();
    let introduced = |_| {
        let mut client = w.client();
        assert!(client.alive());
        client
    };
    let mut clients: Vec<Client> = (0..150).map(introduced).collect();
    w.signal("STOP");
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(1, 0x1000 + number as u64, 300);
    }
    std::thread::sleep(Duration::from_millis(500));
    w.signal("CONT");
    clients.iter_mut().for_each(|client| assert_eq!(client.assert_rejected(), 1));
    let begun: Vec<String> = w.cache.messages.try_iter().map(|told| told.line).collect();
    assert!(begun.iter().all(|line| !line.starts_with("PULL")), "{begun:?}");
}

/// Guards against nodes that are told too long a wait: the process is stopped on its way out of a wait that has news
/// already, and a request that comes then is reported by the next wait.
#[test]
fn a_request_that_came_while_the_process_left_a_wait_has_that_much_less_time() {
    let w = World::start();
    let process = Pid::from_child(&w.child);
    let (mut other, mut client) = (w.client(), w.client());
    assert!(other.alive() && client.alive());
    for round in 0..60 {
        other.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80");
        // The director is woken by it, some microseconds earlier or later.
        let woken = Instant::now() + Duration::from_micros(round);
        while Instant::now() < woken {}
        kill_process(process, Signal::STOP).expect("stopped");
        let start = Instant::now();
        client.ask(1, 0x77, 2_000);
        std::thread::sleep(Duration::from_millis(200));
        kill_process(process, Signal::CONT).expect("continued");
        let pull = w.cache.next_pull();
        let left = 2_000 - start.elapsed().as_millis() as u64;
        assert!(
            wait_field(&pull.line) <= left + SLACK_MS,
            "round {round}: {} with {left} ms left",
            pull.line
        );
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        client.satisfied(1, b"whole");
        assert_eq!(other.answer(), (255, Answer::Health(true)));
    }
}
