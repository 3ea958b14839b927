//! Requests and responses of relays over HTTP, byte by byte: between relays, to publishers and to operators.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use sablecross_relay::{PeerCall, PeerReply, PeerRequest};
use sablecross_relay_server::publisher::Publisher;
use sablecross_relay_server::settings::MemberForm;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns an address of the test's own, so that parallel tests don't interfere.
fn address(test: u8, last: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 150 + test, (std::process::id() % 251) as u8, last), 7_070).into()
}

/// A relay as a process, killed at the end of the test.
struct Process {
    child: Child,
    at: SocketAddr,
    _dir: TempDir,
}

impl Process {
    fn start(at: SocketAddr, settings: &str) -> Process {
        let dir = TempDir::new().expect("a folder");
        let file = dir.path().join("relay.scm");
        std::fs::write(&file, settings).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_test-relay"))
            .arg(&file)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a relay");
        let process = Process { child, at, _dir: dir };
        let begun = Instant::now();
        while TcpStream::connect(at).is_err() {
            assert!(begun.elapsed() < TIMEOUT, "the relay does not serve");
            std::thread::sleep(Duration::from_millis(20));
        }
        process
    }

    /// Sends a request and returns all data up to the end of the connection.
    fn exchange(&self, request: &str) -> String {
        let mut stream = connect(self.at);
        stream.write_all(request.as_bytes()).expect("written");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("an answer");
        String::from_utf8(answer).expect("text")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream
}

/// Accepts a connection and reads one request up to the end of its body.
fn receive_request(listener: &TcpListener) -> (TcpStream, Vec<u8>) {
    let (stream, _) = listener.accept().expect("a call");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        (&stream).read_exact(&mut byte).expect("a head");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a length"))];
    (&stream).read_exact(&mut body).expect("a body");
    bytes.extend_from_slice(&body);
    (stream, bytes)
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("text")
}

#[test]
fn a_plain_relay_follows_an_external_feed_and_forwards_reports() {
    let (at, upstream) = (address(0, 1), address(0, 2));
    let listener = TcpListener::bind(upstream).expect("an upstream");
    let settings = format!(
        "(relay (number . 3) (listen . \"{at}\"))\n(member (number . 3) (address . \"{at}\"))\n\
         (upstream (address . \"{upstream}\"))\n"
    );
    let relay = Process::start(at, &settings);
    let (_stream, call) = receive_request(&listener);
    let expected = format!(
        "GET /v1/events HTTP/1.1\r\nHost: {upstream}\r\nAccept: text/event-stream\r\nLast-Event-ID: 0\r\n\
         Sablecross-Relay: 3\r\n\r\n"
    );
    assert_eq!(text(call), expected);

    let mut reader = connect(relay.at);
    let report = "POST /v1/hierarchy/in-force HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    reader.write_all(report.as_bytes()).expect("written");
    let (mut stream, call) = receive_request(&listener);
    let expected = format!(
        "POST /v1/hierarchy/in-force HTTP/1.1\r\nHost: {upstream}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    assert_eq!(text(call), expected);
    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").expect("written");
    let mut answer = String::new();
    reader.read_to_string(&mut answer).expect("an answer");
    assert_eq!(answer, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

#[test]
fn a_plain_relay_calls_a_voter() {
    let (at, voter) = (address(1, 1), address(1, 2));
    let listener = TcpListener::bind(voter).expect("a voter");
    let settings = format!(
        "(relay (number . 3))\n(member (number . 3) (address . \"{at}\"))\n\
         (member (number . 0) (address . \"{voter}\") (votes . #t))\n"
    );
    let _relay = Process::start(at, &settings);
    let (_stream, call) = receive_request(&listener);
    let expected = format!(
        "GET /v1/events HTTP/1.1\r\nHost: {voter}\r\nAccept: text/event-stream\r\nLast-Event-ID: 0\r\n\
         Sablecross-Relay: 3\r\nSablecross-In-Force: 0\r\n\r\n"
    );
    assert_eq!(text(call), expected);
}

#[test]
fn a_voter_calls_another_and_answers_it() {
    let (at, other) = (address(2, 1), address(2, 2));
    let listener = TcpListener::bind(other).expect("a voter");
    let settings = format!(
        "(relay (number . 0))\n(member (number . 0) (address . \"{at}\") (votes . #t))\n\
         (member (number . 1) (address . \"{other}\") (votes . #t))\n"
    );
    let _relay = Process::start(at, &settings);
    let (_stream, call) = receive_request(&listener);
    let head_length = call.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let (head, body) = call.split_at(head_length);
    let expected =
        format!("POST /v1/relay HTTP/1.1\r\nHost: {other}\r\nContent-Length: {}\r\n\r\n", body.len());
    assert_eq!(text(head.to_vec()), expected);
    // The sender's index, 0; the incarnations of both voters, its own a Unix time in ms and the other one unknown (0);
    // the call.
    assert_eq!((&body[..4], &body[12..]), (b"\x93\x00\x92\xcf".as_slice(), b"\x00\xa5Learn".as_slice()));
    let request: PeerRequest = rmp_serde::from_slice(body).expect("a request");
    assert_eq!((request.sender, request.call), (0, PeerCall::Recover));

    // A call from voter 1 with incarnation 9. The reply holds the relay's log, which is empty.
    let request_body = b"\x93\x01\x92\x00\x09\xa5Learn";
    let mut stream = connect(at);
    let head = format!(
        "POST /v1/relay HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        request_body.len()
    );
    stream.write_all(head.as_bytes()).expect("written");
    stream.write_all(request_body).expect("written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let head_length = answer.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let (head, body) = answer.split_at(head_length);
    let expected = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    assert_eq!(text(head.to_vec()), expected);
    let _: PeerReply = rmp_serde::from_slice(body).expect("a reply");
    let recovered = b"\x81\xa6Learnt\x93\x92\x00\x92\x00\x00\xc2\x95\x00\x92\x00\x92\x00\x92\x00\x00\x00\
        \x97\x00\x00\x92\x00\x92\x00\x00\xc2\x00\x80\xc0\x90";
    assert_eq!(
        (&body[..3], &body[11..]),
        (b"\x92\x92\xcf".as_slice(), [b"\x09".as_slice(), recovered].concat().as_slice())
    );
}

#[test]
fn publishing_and_subscribing() {
    let at = address(3, 1);
    let settings = format!(
        "(relay (number . 0) (lease-ms . 500) (ack-ms . 800))\n(member (number . 0) (address . \"{at}\") (votes . #t))\n"
    );
    let relay = Process::start(at, &settings);
    let list = r#"{"members":{"index":1,"snapshot":true,"endpoints":[]}}"#;
    let post = |headers: &str, body: &str| {
        let length = body.len();
        relay.exchange(&format!(
            "POST /v1/events HTTP/1.1\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        ))
    };
    let json = |status: &str, body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        )
    };
    // The voter must not lead before every lease that it may have granted before a restart has expired.
    let no_leader = r#"{"error":"not the leader: nobody is now","owner":null}"#;
    assert_eq!(post("", list), json("503 Service Unavailable", no_leader));
    let begun = Instant::now();
    while post("Sablecross-Mark: m-1\r\n", list) == json("503 Service Unavailable", no_leader) {
        assert!(begun.elapsed() < TIMEOUT);
        std::thread::sleep(Duration::from_millis(50));
    }
    // The same idempotency key again gets the same number.
    let published = post("Sablecross-Mark: m-1\r\n", list);
    let number = published.rsplit_once("{\"n\":").and_then(|(_, n)| n.strip_suffix('}')).expect("a number");
    let number: u64 = number.parse().expect("a number");
    assert_eq!(published, json("200 OK", &format!("{{\"n\":{number}}}")));

    let rejected = r#"{"error":"the event has no members, purge or hierarchy","owner":null}"#;
    assert_eq!(post("", "{}"), json("400 Bad Request", rejected));
    let invalid_key = r#"{"error":"Sablecross-Mark: between 1 and 128 bytes of UTF-8"}"#;
    let key_header = format!("Sablecross-Mark: {}\r\n", "m".repeat(129));
    assert_eq!(post(&key_header, list), json("400 Bad Request", invalid_key));

    let events = relay.exchange(&format!("GET /v1/events HTTP/1.1\r\nLast-Event-ID: {}\r\n\r\n", number - 1));
    let expected = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n\
         id: {number}\ndata: {{\"n\":{number},\"members\":{{\"index\":1,\"snapshot\":true,\"endpoints\":[]}}}}\n\n"
    );
    assert_eq!(events, expected);
    // A relay is sent the staleness, the leader and the term at once.
    let from_relay = relay.exchange(&format!(
        "GET /v1/events HTTP/1.1\r\nLast-Event-ID: {number}\r\nSablecross-Relay: 0\r\nSablecross-In-Force: 1\r\n\r\n"
    ));
    let comment = from_relay.split_once("\r\n\r\n").map(|(_, body)| body);
    assert_eq!(comment, Some(": fresh 0 owner 0 term 1\n\n"));

    let status = relay.exchange("GET /v1/status HTTP/1.0\r\n\r\n");
    let (head, body) = status.split_once("\r\n\r\n").expect("an answer");
    let length = body.len();
    let expected = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close"
    );
    assert_eq!(head, expected);
    assert!(body.starts_with("{\"name\":\"relay-0\",\"unix_ms\":"), "{body}");
}

#[test]
fn rejected_requests() {
    let at = address(4, 1);
    let settings = format!("(relay (number . 0))\n(member (number . 0) (address . \"{at}\") (votes . #t))\n");
    let relay = Process::start(at, &settings);
    for (request, expected) in REJECTED_REQUESTS {
        assert_eq!(relay.exchange(request), expected, "{request}");
    }
}

const REJECTED_REQUESTS: [(&str, &str); 7] = [
    (
        "GET /v1/nothing HTTP/1.1\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\nContent-Length: 27\r\nConnection: close\r\n\r\n\
         {\"error\":\"nothing is here\"}",
    ),
    (
        "DELETE /v1/events HTTP/1.1\r\n\r\n",
        "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: application/json\r\nContent-Length: 26\r\nConnection: close\r\n\r\n\
         {\"error\":\"another method\"}",
    ),
    (
        "GET /v1/events HTTP/1.1\r\nLast-Event-ID: x\r\n\r\n",
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 39\r\nConnection: close\r\n\r\n\
         {\"error\":\"Last-Event-ID: not a number\"}",
    ),
    (
        "POST /v1/events HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 411 Length Required\r\nContent-Type: application/json\r\nContent-Length: 43\r\nConnection: close\r\n\r\n\
         {\"error\":\"bodies come with Content-Length\"}",
    ),
    (
        "POST /v1/events HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n",
        "HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\nContent-Length: 57\r\nConnection: close\r\n\r\n\
         {\"error\":\"the body has 1048577 bytes, more than 1048576\"}",
    ),
    (
        "POST /v1/relay HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 93\r\nConnection: close\r\n\r\n\
         {\"error\":\"not a call of a voter: IO error while reading marker: failed to fill whole buffer\"}",
    ),
    (
        "POST /v1/hierarchy/in-force HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    ),
];

#[test]
fn a_publisher_calls_a_voter() {
    let at = address(5, 1);
    let listener = TcpListener::bind(at).expect("a voter");
    let publish = std::thread::spawn(move || {
        let voter = MemberForm { number: 0, address: at, votes: true };
        Publisher::new(&[voter]).publish("m-1", b"{}", Duration::from_secs(5))
    });
    let (mut stream, call) = receive_request(&listener);
    let expected = format!(
        "POST /v1/events HTTP/1.1\r\nHost: {at}\r\nSablecross-Mark: m-1\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    assert_eq!(text(call), expected);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"n\":42}").expect("written");
    assert_eq!(publish.join().expect("published"), Ok(42));
}

/// Guards against never hearing from an upstream that answers each call after longer than `stale-ms`, because each call is
/// given up before its turn and the next one waits from the beginning.
#[test]
fn events_are_heard_from_an_upstream_that_answers_late() {
    let (at, upstream) = (address(6, 1), address(6, 2));
    let listener = TcpListener::bind(upstream).expect("an upstream");
    let settings = format!(
        "(relay (number . 3) (listen . \"{at}\") (stale-ms . 500))\n(member (number . 3) (address . \"{at}\"))\n\
         (upstream (address . \"{upstream}\"))\n"
    );
    let relay = Process::start(at, &settings);
    let (mut first, _) = receive_request(&listener);
    let (second, _) = receive_request(&listener);
    let event = r#"{"n":1,"members":{"index":0,"snapshot":true,"endpoints":[]}}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\nid: 1\ndata: {event}\n\n"
    );
    first.write_all(answer.as_bytes()).expect("the first call is kept");
    let begun = Instant::now();
    while !relay.exchange("GET /v1/events HTTP/1.1\r\nLast-Event-ID: 0\r\n\r\n").contains(event) {
        assert!(begun.elapsed() < TIMEOUT, "the event is not passed on");
        // An upstream that is alive sends comments.
        first.write_all(b": here\n\n").expect("the first call is kept");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        (&second).read(&mut [0; 8]).expect("an end"),
        0,
        "the call that was answered is followed alone"
    );
}
