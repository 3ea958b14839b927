//! A hedged lookup whose second send waits for a connection that comes up late.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// One of three caches is slow to take connections: a third of them.
const CACHES: usize = 3;
const LATE: usize = 2;
/// The size of all objects, which says that they take 1 s.
const SIZE_KB: &str = "2700.0";
/// What most of them take, and what the others do, which have to be filled first.
const COMMON: f64 = 1.0;
const FILLED: f64 = 1.54;
/// How long after the lookup the late cache takes connections again. The system makes a refused handshake again after 1 s,
/// so the connection comes up 1 s late.
const TAKES_AGAIN: f64 = 2.0;
const ROUNDS: usize = 8;
/// Each time limit is 50 ms longer on sockets.
const SLACK: f64 = 0.05;

unsafe extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

type Sends = Arc<Mutex<Vec<(String, usize, f64)>>>;

/// A node that takes connections while `takes` is set.
struct Node {
    name: String,
    address: SocketAddr,
    takes: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

fn start_node(number: usize, name: &str, sends: &Sends, filled: &Arc<Mutex<HashSet<String>>>) -> Node {
    let listener: TcpListener = crate::common::listen();
    let address = address_of(&listener);
    // So few connections wait to be taken that the next one finds no room.
    // SAFETY: the descriptor belongs to the listener, which is open.
    unsafe { listen(listener.as_raw_fd(), if number == LATE { 1 } else { 128 }) };
    let node =
        Node { name: name.to_owned(), address, takes: Arc::new(AtomicBool::new(true)), open: Arc::default() };
    let (takes, open, sends, name) =
        (Arc::clone(&node.takes), Arc::clone(&node.open), Arc::clone(sends), name.to_owned());
    let filled = Arc::clone(filled);
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        loop {
            let accepted = if takes.load(Ordering::SeqCst) { listener.accept().ok() } else { None };
            let Some((stream, _)) = accepted else {
                sleep(0.002);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let (Ok(kept), Ok(mut open)) = (stream.try_clone(), open.lock()) {
                open.push(kept);
            }
            let (sends, name, filled) = (Arc::clone(&sends), name.clone(), Arc::clone(&filled));
            let killed: Arc<Mutex<HashSet<String>>> = Arc::default();
            serve_node_stream(stream, move |input, _| match input {
                NodeInput::Pull(pull) => {
                    record(&format!("{name} gets {} key={}", pull.id, pull.field("key")));
                    if let Ok(mut sends) = sends.lock() {
                        sends.push((pull.id.clone(), number, pull.at));
                    }
                    let killed = Arc::clone(&killed);
                    let is_filled = filled.lock().is_ok_and(|filled| filled.contains(pull.field("key")));
                    thread::spawn(move || {
                        sleep(if is_filled { FILLED } else { COMMON });
                        if killed.lock().is_ok_and(|mut killed| killed.remove(&pull.id)) {
                            return;
                        }
                        let fields =
                            format!("how=MISS,entity=e{},issued={}", &pull.field("key")[8..], unix_ms());
                        pull.connection.answer(&pull.id, "ACK", &fields, pull.field("key").as_bytes());
                    });
                }
                NodeInput::Kill(id) => {
                    record(&format!("{name} gives {id} up"));
                    if let Ok(mut killed) = killed.lock() {
                        killed.insert(id);
                    }
                }
                _ => {}
            });
        }
    });
    node
}

impl Node {
    /// Closes what is open, takes nothing more, and has its room for waiting connections used up.
    fn hold(&self) -> Vec<TcpStream> {
        self.takes.store(false, Ordering::SeqCst);
        sleep(0.02);
        if let Ok(mut open) = self.open.lock() {
            for stream in open.drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
            fillers.push(filler);
            if fillers.len() > 16 {
                cannot_run("the room for waiting connections does not run out");
            }
        }
        fillers
    }

    fn take_again(&self, fillers: Vec<TcpStream>) {
        drop(fillers);
        self.takes.store(true, Ordering::SeqCst);
        record(&format!("{} takes connections again", self.name));
    }
}

struct Front {
    client: Client,
    answers: Arc<Mutex<HashMap<u32, (Answer, f64)>>>,
}

impl Front {
    /// Asks for objects, all at once. Returns the id of each request and the number of its call.
    fn ask(&self, keys: &[String]) -> Vec<(String, u32)> {
        let ask = |key: &String| {
            let rid = new_rid();
            let fields = [
                ("rid", &*rid),
                ("budget", "5000"),
                ("obj", key),
                ("piece", "0"),
                ("lot", "9"),
                ("mem", SIZE_KB),
            ];
            let call = self.client.call("footage", &fields, b"-").unwrap_or(0);
            record(&format!("call {call} asks for {key} with id {rid}"));
            (rid, call)
        };
        keys.iter().map(ask).collect()
    }

    fn answer(&self, call: u32) -> Option<(Answer, f64)> {
        self.answers.lock().ok().and_then(|answers| answers.get(&call).cloned())
    }

    /// Lookups that are answered in their time, which the director counts towards further sends.
    fn succeed(&self, rng: &mut Rng) {
        let keys: Vec<String> = (0..15).map(|_| format!("{:016x}", rng.next())).collect();
        self.ask(&keys);
        sleep(COMMON + 0.4);
    }
}

fn sends_of(sends: &Sends, rid: &str) -> Vec<(usize, f64)> {
    let sends = sends.lock().map(|sends| sends.clone()).unwrap_or_default();
    sends.into_iter().filter(|(id, ..)| id == rid).map(|(_, node, at)| (node, at)).collect()
}

pub fn run() -> ! {
    let sends: Sends = Arc::default();
    let feed = Feed::start();
    let names = ["box-a", "box-b", "box-c", "parent-1", "origin"];
    let filled: Arc<Mutex<HashSet<String>>> = Arc::default();
    let nodes: Vec<Node> =
        names.iter().enumerate().map(|(number, name)| start_node(number, name, &sends, &filled)).collect();
    let list: Vec<Listed> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| Listed {
            name: &node.name,
            address: node.address,
            zone: if number < CACHES { "edge" } else { "hub" },
            kind: ["small", "small", "small", "parent", "origin"][number],
            group: number as u32,
            status: "ready",
            since_ms: 0,
        })
        .collect();
    feed.push_list(&list, true);
    let at = free_address();
    let of = Settings { may_cancel: false, parallel_tries: true, ..Settings::default() };
    // A connection that comes up a second late is within this.
    let settings = settings(&of).replace("\"dialTimeoutUs\":400000", "\"dialTimeoutUs\":1500000");
    let director = Director::start("n1", at, &config("n1", at, &feed, &settings, 300_000.0));
    wait_until_alive(at);
    let answers: Arc<Mutex<HashMap<u32, (Answer, f64)>>> = Arc::default();
    let kept = Arc::clone(&answers);
    let client = Client::connect(at, move |call, answer| {
        if let Ok(mut kept) = kept.lock() {
            record(&format!("call {call}: {}", answer.word()));
            kept.insert(call, (answer, now()));
        }
    });
    let Some(client) = client else { cannot_run("the client can't connect") };
    let front = Front { client, answers };
    let mut rng = Rng::new(unix_ms());

    // Which objects does the director hedge at the cache that will be late? Their places are the same each time.
    let mut objects = Vec::new();
    for _ in 0..6 {
        front.succeed(&mut rng);
        let keys: Vec<String> = (0..6).map(|_| format!("{:016x}", rng.next())).collect();
        if let Ok(mut filled) = filled.lock() {
            filled.extend(keys.iter().cloned());
        }
        let asked = front.ask(&keys);
        sleep(FILLED + 0.4);
        for (key, (rid, _)) in keys.into_iter().zip(asked) {
            if let [(first, _), (LATE, _)] = sends_of(&sends, &rid)[..]
                && first < CACHES
            {
                objects.push(key);
            }
        }
        if objects.len() >= 2 {
            break;
        }
    }
    if objects.is_empty() {
        cannot_run("no lookup was hedged at the cache that is to be late");
    }
    sleep(1.5);

    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        front.succeed(&mut rng);
        let key = objects[round % objects.len()].clone();
        let fillers = if has_trouble() {
            record("the third cache takes no connection for a while");
            Some(nodes[LATE].hold())
        } else {
            None
        };
        let asked = now();
        record(&format!("round {round}"));
        let Some((rid, call)) = front.ask(&[key]).pop() else { continue };
        sleep_until(asked + TAKES_AGAIN);
        if let Some(fillers) = fillers {
            nodes[LATE].take_again(fillers);
        }
        sleep(2.5);
        let Some((answer, answered)) = front.answer(call) else { continue };
        for (node, at) in sends_of(&sends, &rid) {
            if at > answered + SLACK {
                broken.push(format!(
                    "{rid} was answered ({}) and sent to {} {:.2} s later",
                    answer.word(),
                    names[node],
                    at - answered
                ));
                record(broken.last().map_or("", String::as_str));
            }
        }
    }
    director.record_log(4);
    match broken.first() {
        None => finish(0, &format!("HELD: {ROUNDS} rounds")),
        Some(first) => finish(
            1,
            &format!(
                "BROKEN: {} sends after the answer in {ROUNDS} rounds; the first: {first}",
                broken.len()
            ),
        ),
    }
}
