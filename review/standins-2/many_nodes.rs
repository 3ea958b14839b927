//! Many cache nodes without zones, six in ten of which are replaced while usual clients send lookups: whether all lookups
//! are answered (`run`), and whether the director stays within its memory (`run_memory`).

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

/// What a case plays.
struct Play {
    nodes: usize,
    /// Six in ten.
    replaced: usize,
    /// The time in which they are replaced.
    replaced_within: f64,
    /// How many changes the feed tells in one event.
    changes_an_event: usize,
    load_for: f64,
    memory_mb: u64,
    /// How many parents there are beside the cache nodes.
    parents: usize,
}

/// Half of the largest fleet that the page names; each change is an event.
const CHANGES: Play = Play {
    nodes: 1_600,
    replaced: 960,
    replaced_within: 7.0,
    changes_an_event: 1,
    load_for: 20.0,
    memory_mb: 192,
    parents: 1,
};

/// The largest fleet that the page names, with the least memory; the feed tells changes together, a few times a second.
const MEMORY: Play = Play {
    nodes: 3_200,
    replaced: 1_920,
    replaced_within: 20.0,
    changes_an_event: 32,
    load_for: 30.0,
    memory_mb: 32,
    parents: 200,
};

/// How many nodes one process of the stand-in has, so that it stays under the usual limit on descriptors.
const NODES_A_PROCESS: usize = 400;
const SENDS_A_SECOND: f64 = 20.0;
const CONNECTIONS: usize = 4;
/// After a lookup's time it only earns nothing for half a second; each time limit is 50 ms longer on sockets.
const LOST_AFTER: f64 = 0.5 + 0.05;

// ---- the nodes, in processes of their own ----

#[repr(C)]
struct PollEntry {
    descriptor: i32,
    events: i16,
    happened: i16,
}

unsafe extern "C" {
    fn poll(entries: *mut PollEntry, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
}

/// Serves nodes: prints their addresses, then reads the numbers of nodes whose process ends and begins anew.
pub fn serve_nodes(count: usize) -> ! {
    use std::os::fd::AsRawFd;
    let listeners: Vec<TcpListener> = (0..count).map(|_| listen()).collect();
    for listener in &listeners {
        println!("{}", address_of(listener));
    }
    let open: Arc<Mutex<HashMap<usize, Vec<TcpStream>>>> = Arc::default();
    let shared = Arc::clone(&open);
    thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let Ok(Ok(node)) = line.map(|line| line.trim().parse::<usize>()) else { break };
            let ended = shared.lock().ok().and_then(|mut open| open.remove(&node));
            for stream in ended.unwrap_or_default() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        // The case has ended.
        std::process::exit(0);
    });
    loop {
        let mut entries: Vec<PollEntry> = listeners
            .iter()
            .map(|listener| PollEntry { descriptor: listener.as_raw_fd(), events: 1, happened: 0 })
            .collect();
        // SAFETY: the entries live until the call returns, and their number is passed along.
        if unsafe { poll(entries.as_mut_ptr(), entries.len() as std::ffi::c_ulong, 1_000) } <= 0 {
            continue;
        }
        for (node, entry) in entries.iter().enumerate().filter(|(_, entry)| entry.happened != 0) {
            let _ = entry;
            let Ok((stream, _)) = listeners[node].accept() else { continue };
            if let (Ok(kept), Ok(mut open)) = (stream.try_clone(), open.lock()) {
                open.entry(node).or_default().push(kept);
            }
            serve_node_stream(stream, |input, connection| {
                if let NodeInput::Pull(pull) = input {
                    let fields = format!("how=HIT,entity=e{},issued={}", &pull.field("key")[..8], unix_ms());
                    connection.answer(&pull.id, "ACK", &fields, object_bytes(pull.field("key")).as_bytes());
                }
            });
        }
    }
}

pub fn object_bytes(key: &str) -> String {
    format!("the bytes of {key}")
}

struct NodeProcess {
    child: Child,
    commands: ChildStdin,
}

fn start_nodes(nodes: usize, parents: usize) -> (Vec<NodeProcess>, Vec<SocketAddr>) {
    let (mut processes, mut addresses) = (Vec::new(), Vec::new());
    let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&format!("own program: {e}")));
    let counts = std::iter::repeat_n(NODES_A_PROCESS, nodes / NODES_A_PROCESS).chain([parents]);
    for count in counts {
        let child = Command::new(&program)
            .args(["nodes", &count.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.unwrap_or_else(|e| cannot_run(&format!("nodes: {e}")));
        watch(child.id());
        let (Some(commands), Some(out)) = (child.stdin.take(), child.stdout.take()) else {
            cannot_run("nodes: no pipes")
        };
        let lines = BufReader::new(out).lines().take(count);
        addresses.extend(lines.filter_map(|line| line.ok()?.parse::<SocketAddr>().ok()));
        processes.push(NodeProcess { child, commands });
    }
    if addresses.len() != nodes + parents {
        cannot_run("the nodes can't listen");
    }
    (processes, addresses)
}

// ---- the case ----

struct Open {
    sent: f64,
    budget: f64,
    key: String,
}

/// What became of the lookups.
#[derive(Default)]
pub struct Tally {
    sent: AtomicU32,
    served: AtomicU32,
    refused: AtomicU32,
    failed: AtomicU32,
    late: AtomicU32,
    lost: Mutex<Vec<String>>,
}

impl Tally {
    pub fn has_lost_none(&self) -> bool {
        self.lost.lock().is_ok_and(|lost| lost.is_empty())
    }

    pub fn first_lost(&self) -> Option<String> {
        self.lost.lock().ok()?.first().cloned()
    }

    pub fn counts(&self) -> String {
        let number = |count: &AtomicU32| count.load(Ordering::Relaxed);
        format!(
            "sent {}, served {}, refused {}, failed {}, answered past their time {}, lost {}",
            number(&self.sent),
            number(&self.served),
            number(&self.refused),
            number(&self.failed),
            number(&self.late),
            self.lost.lock().map_or(0, |lost| lost.len())
        )
    }

    fn lose(&self, what: String) {
        record(&format!("LOST: {what}"));
        if let Ok(mut lost) = self.lost.lock() {
            lost.push(what);
        }
    }

    fn on_answer(&self, open: &Open, answer: &Answer) {
        let took = now() - open.sent;
        match answer {
            Answer::Served { body, .. } if *body != object_bytes(&open.key).as_bytes() => {
                self.lose(format!("{} served with other bytes", open.key));
            }
            _ if took > open.budget + LOST_AFTER => {
                self.lose(format!("{} answered after {took:.2} s of {:.2}", open.key, open.budget));
            }
            Answer::Served { .. } => _ = self.served.fetch_add(1, Ordering::Relaxed),
            Answer::Refused { .. } => _ = self.refused.fetch_add(1, Ordering::Relaxed),
            _ => _ = self.failed.fetch_add(1, Ordering::Relaxed),
        }
        if took > open.budget {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }
}

pub fn run_client(to: SocketAddr, number: usize, until: f64, tally: &Arc<Tally>) {
    let open: Arc<Mutex<HashMap<u32, Open>>> = Arc::default();
    let (waiting, counted) = (Arc::clone(&open), Arc::clone(tally));
    let client = Client::connect(to, move |call, answer| {
        let Ok(mut waiting) = waiting.lock() else { return };
        if matches!(answer, Answer::Closed) {
            for (call, open) in waiting.drain() {
                counted.lose(format!("call {call}, {}: its connection ended", open.key));
            }
            return;
        }
        if let Some(open) = waiting.remove(&call) {
            record(&format!(
                "client {number} call {call}: {} after {:.3} s",
                answer.word(),
                now() - open.sent
            ));
            counted.on_answer(&open, &answer);
        }
    });
    let Some(client) = client else { cannot_run("a client can't connect") };
    let mut rng = Rng::new(1_000 + number as u64);
    while now() < until {
        sleep(rng.exponential(CONNECTIONS as f64 / SENDS_A_SECOND));
        // A client has up to 32 requests open on a connection.
        if open.lock().is_ok_and(|open| open.len() >= 32) {
            continue;
        }
        let budget_ms = 1_500 + rng.next() % 1_500;
        let key = format!("{:016x}", rng.next());
        let (rid, budget, lot) = (new_rid(), budget_ms.to_string(), (rng.next() % 256).to_string());
        let call = client.next_call();
        let fields = [
            ("rid", &*rid),
            ("budget", &budget),
            ("obj", &key),
            ("piece", "0"),
            ("lot", &lot),
            ("mem", "120.0"),
        ];
        let bytes = encode_call(call, "readings", &fields, Some(b"-"));
        let at = now();
        if let Ok(mut open) = open.lock() {
            open.insert(call, Open { sent: at, budget: budget_ms as f64 / 1_000.0, key: key.clone() });
        }
        tally.sent.fetch_add(1, Ordering::Relaxed);
        record(&format!("client {number} call {call}: asks for {key}, waits {budget_ms} ms"));
        client.write(&bytes);
    }
    // The last lookups get their time and the half second.
    sleep(3.0 + LOST_AFTER + 0.5);
    if let Ok(mut open) = open.lock() {
        for (call, open) in open.drain() {
            let waited = now() - open.sent;
            tally.lose(format!(
                "call {call} of client {number}, {}: no answer in {waited:.2} s of {:.2}",
                open.key, open.budget
            ));
        }
    }
    client.close();
}

/// Lookups are answered in their time.
pub fn run() -> ! {
    play(&CHANGES)
}

/// The platform kills a director that is over its memory.
pub fn run_memory() -> ! {
    play(&MEMORY)
}

/// The most memory that a process has had, in kB, without what it maps of files.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some(field("VmHWM:")?.saturating_sub(field("RssFile:")?))
}

/// Stands for the platform: kills the director once it is over its memory. Returns the most memory, in kB.
pub fn watch_memory(pid: u32, memory_mb: u64, tally: &Arc<Tally>) -> Arc<AtomicU32> {
    let most = Arc::new(AtomicU32::new(0));
    let (seen, tally) = (Arc::clone(&most), Arc::clone(tally));
    thread::spawn(move || {
        while let Some(kb) = memory_kb(pid) {
            if kb as u32 > seen.fetch_max(kb as u32, Ordering::Relaxed) + 256 {
                record(&format!("memory of the director: {kb} kB"));
            }
            if kb > memory_mb * 1_024 {
                tally.lose(format!(
                    "the director has {kb} kB, over its limit of {} kB: the platform kills it",
                    memory_mb * 1_024
                ));
                signal(pid, "KILL");
                return;
            }
            sleep(0.05);
        }
    });
    most
}

fn play(of: &Play) -> ! {
    let (mut processes, addresses) = start_nodes(of.nodes, of.parents);
    let origin = listen();
    let origin_at = address_of(&origin);
    let answer = |input: NodeInput, connection: &NodeConnection| {
        if let NodeInput::Pull(pull) = input {
            let fields = format!("how=HIT,entity=e{},issued={}", &pull.field("key")[..8], unix_ms());
            connection.answer(&pull.id, "ACK", &fields, object_bytes(pull.field("key")).as_bytes());
        }
    };
    serve_node(origin, answer);

    let feed = Feed::start();
    let names: Vec<String> = (0..of.nodes + of.replaced)
        .map(|i| format!("s-{:08x}", (i as u32).wrapping_mul(2_654_435_761)))
        .collect();
    let listed = |name: usize, address: usize, status: &'static str, since_ms: u64| Listed {
        name: &names[name],
        address: addresses[address],
        zone: "all",
        kind: "small",
        group: (address / 8) as u32,
        status,
        since_ms,
    };
    let mut list: Vec<Listed> = (0..of.nodes).map(|i| listed(i, i, "ready", 0)).collect();
    let parent_names: Vec<String> = (0..of.parents).map(|i| format!("parent-{i}")).collect();
    let parents =
        parent_names.iter().zip(&addresses[of.nodes..]).map(|(name, address)| (&**name, *address, "parent"));
    for (name, address, kind) in parents.chain([("origin", origin_at, "origin")]) {
        list.push(Listed { name, address, zone: "hub", kind, group: 65_000, status: "ready", since_ms: 0 });
    }
    feed.push_list(&list, true);

    let at = free_address();
    let settings = settings(&Settings { zones: "\"hub\",\"all\"", ..Settings::default() });
    let config = config("n1", at, &feed, &settings, 300_000.0);
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", of.memory_mb));
    let mut director = Director::start("n1", at, &config);
    wait_until_alive(at);

    let tally = Arc::new(Tally::default());
    let most_memory = watch_memory(director.child.id(), of.memory_mb, &tally);
    let until = now() + of.load_for;
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let tally = Arc::clone(&tally);
            thread::spawn(move || run_client(at, number, until, &tally))
        })
        .collect();
    sleep(3.0);
    if has_trouble() {
        let began = now();
        record(&format!("{} of {} cache nodes are replaced from here on", of.replaced, of.nodes));
        for first in (0..of.replaced).step_by(of.changes_an_event) {
            sleep_until(began + of.replaced_within * first as f64 / of.replaced as f64);
            let part = first..(first + of.changes_an_event).min(of.replaced);
            for node in part.clone() {
                let _ = writeln!(processes[node / NODES_A_PROCESS].commands, "{}", node % NODES_A_PROCESS);
            }
            let gone: Vec<Listed> = part.clone().map(|node| listed(node, node, "gone", 0)).collect();
            feed.push_list(&gone, false);
            let new: Vec<Listed> =
                part.map(|node| listed(of.nodes + node, node, "ready", unix_ms())).collect();
            feed.push_list(&new, false);
        }
        record(&format!("the last one was replaced after {:.2} s", now() - began));
    }
    for client in clients {
        let _ = client.join();
    }
    if director.has_ended() {
        tally.lose("the director has ended".into());
    } else {
        director.signal("USR1");
        sleep(1.0);
    }
    director.record_log(3);
    let counts = format!("{}, most memory {} kB", tally.counts(), most_memory.load(Ordering::Relaxed));
    record(&counts);
    for process in &mut processes {
        let _ = process.child.kill();
    }
    match tally.first_lost() {
        None => finish(0, &format!("HELD: {counts}")),
        Some(first) => finish(1, &format!("BROKEN: {counts}; the first: {first}")),
    }
}
