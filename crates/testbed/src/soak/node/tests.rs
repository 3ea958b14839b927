//! Tests of stub caches at and above their capacity.

use std::io::Read;

use super::*;
use crate::soak::invariants::{Effect, Rule};

/// The capacity of the node in calls per second once it is warm.
const CAPACITY: f64 = 100.0;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a cache and its checker. The cache has no source, so that it answers each attempt as a miss.
fn start_cache(cold_since: Option<Seconds>) -> (Arc<Node>, Arc<RuleChecker>) {
    let (checker, nodes) = (Arc::new(RuleChecker::new()), Nodes::default());
    let capacity = Capacity { warm: CAPACITY, cold_since };
    let node = Node::start(0, "cache-0", "small", Some(capacity), &checker, &nodes).unwrap();
    if let Some(since) = cold_since {
        checker.on_cold_start(0, since, CAPACITY);
    }
    (node, checker)
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Writes attempts for all these requests at once.
fn send_attempts(checker: &RuleChecker, mut stream: &TcpStream, requests: std::ops::Range<u64>) {
    let mut lines = String::new();
    for request in requests {
        checker.on_request(request, 0, Effect::Idempotent, 1, 9.0);
        lines += &format!("PULL {request:016x} key=1,wait=100 0\r\n\r\n");
    }
    stream.write_all(lines.as_bytes()).unwrap();
}

/// Reads this many answers and returns their status words.
fn read_answers(stream: &TcpStream, count: usize) -> Vec<String> {
    let answers = BufReader::new(stream).lines().map(|line| line.unwrap());
    let words = answers.filter_map(|line| line.split(' ').nth(1).map(str::to_owned));
    words.take(count).collect()
}

fn is_ended(mut stream: &TcpStream) -> bool {
    match stream.read_to_end(&mut Vec::new()) {
        Ok(_) => true,
        Err(e) => matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe),
    }
}

#[test]
fn a_warm_cache_rejects_calls_above_its_capacity() {
    let (node, checker) = start_cache(None);
    let stream = connect(&node);
    send_attempts(&checker, &stream, 1..101);
    let answers = read_answers(&stream, 100);
    let rejected = answers.iter().filter(|word| *word == "AGAIN").count();
    // Calls that can begin within a tenth of a second are accepted, and more of them if it takes longer to read the
    // hundred.
    assert!((1..=89).contains(&rejected), "{rejected}");
    assert_eq!(answers.iter().filter(|word| *word == "NOENT").count(), 100 - rejected);
    assert_eq!(checker.finish().1["attempts rejected as overload"], rejected as u64);
}

#[test]
fn an_overloaded_cold_cache_resets_its_connections_and_stays_down() {
    let (node, checker) = start_cache(Some(0.0));
    let (idle, busy) = (connect(&node), connect(&node));
    // Both connections are in use.
    send_attempts(&checker, &idle, 1..2);
    assert_eq!(read_answers(&idle, 1), ["NOENT"]);
    send_attempts(&checker, &busy, 2..402);
    assert!(is_ended(&busy) && is_ended(&idle));
    assert!(is_ended(&connect(&node)), "a new connection");
    let (violations, counts) = checker.finish();
    let rules: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!((rules, counts["cold nodes that collapsed"]), (vec![Rule::SlowStart], 1));
}

#[test]
fn a_node_without_a_capacity_rejects_nothing() {
    let (checker, nodes) = (Arc::new(RuleChecker::new()), Nodes::default());
    let node = Node::start(0, "parent-0", "parent", None, &checker, &nodes).unwrap();
    let stream = connect(&node);
    send_attempts(&checker, &stream, 1..201);
    let answers = read_answers(&stream, 200);
    assert!(answers.iter().all(|word| word == "ACK"), "{answers:?}");
}
