//! Stand-ins that all cases share: clients, cache nodes, the control feed, and the director as a process.
//! Only the standard library is used.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
/// A case ends by itself after this time, whatever has happened.
const LONGEST_RUN: Duration = Duration::from_secs(110);
/// The slack of the protocol page: each time limit is 50 ms longer on sockets.
pub const SLACK: f64 = 0.05;
/// STANDING.md: up to half a second after its time an answer only earns nothing; later, or never, it is lost.
pub const LATE_ALLOWED: f64 = 0.5;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

// ---- record ----

/// The record of a run: one line for each thing sent, answered or run, with seconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| fatal(&format!("{path}: {e}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.now());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }
}

fn fatal(text: &str) -> ! {
    eprintln!("{text}");
    std::process::exit(NOT_RUN)
}

// ---- the run of a case ----

/// The director that runs now, so that every end of a case ends it too.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_children() {
    for pid in CHILDREN.lock().expect("children").drain(..) {
        let _ = Command::new("/bin/kill").arg("-KILL").arg(pid.to_string()).stderr(Stdio::null()).status();
    }
}

/// Ends the case with this exit code and everything that it started.
pub fn finish(record: &Record, code: i32, text: &str) -> ! {
    record.line(&format!("verdict {code}: {text}"));
    println!("{text}");
    kill_children();
    let _ = std::fs::remove_dir_all(temp_dir());
    std::process::exit(code)
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn begin() -> Arc<Record> {
    let path = std::env::args().nth(1).unwrap_or_else(|| fatal("usage: CASE RECORD"));
    let record = Record::new(&path);
    record.line(&format!("trouble {}", if has_trouble() { "on" } else { "off" }));
    let _ = std::fs::create_dir_all(temp_dir());
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        finish(&watched, NOT_RUN, "the case took too long");
    });
    record
}

pub fn temp_dir() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

// ---- MessagePack ----

#[derive(Clone, Debug)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

pub fn put_array(out: &mut Vec<u8>, n: usize) {
    out.push(0x90 | n as u8);
}

pub fn put_uint(out: &mut Vec<u8>, n: u32) {
    if n < 128 {
        out.push(n as u8);
    } else {
        out.push(0xce);
        out.extend(n.to_be_bytes());
    }
}

pub fn put_text(out: &mut Vec<u8>, text: &str) {
    if text.len() < 32 {
        out.push(0xa0 | text.len() as u8);
    } else {
        out.push(0xd9);
        out.push(text.len() as u8);
    }
    out.extend(text.as_bytes());
}

pub fn put_bin_head(out: &mut Vec<u8>, length: usize) {
    out.push(0xc6);
    out.extend((length as u32).to_be_bytes());
}

fn take<'a>(bytes: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    let (head, rest) = bytes.split_at_checked(n)?;
    *bytes = rest;
    Some(head)
}

fn number(bytes: &mut &[u8], n: usize) -> Option<usize> {
    Some(take(bytes, n)?.iter().fold(0, |sum, &byte| sum << 8 | usize::from(byte)))
}

/// Decodes one value; none if it is not complete. A value of a type that no answer uses ends the case.
pub fn decode(bytes: &mut &[u8]) -> Option<Value> {
    let marker = number(bytes, 1)?;
    let text = |bytes: &mut &[u8], n| Some(Value::Text(String::from_utf8_lossy(take(bytes, n)?).into_owned()));
    match marker {
        0x00..=0x7f => Some(Value::Int(marker as i64)),
        0xe0..=0xff => Some(Value::Int(marker as i64 - 256)),
        0xc0 => Some(Value::Nil),
        0xc2 | 0xc3 => Some(Value::Bool(marker == 0xc3)),
        0xcc | 0xcd | 0xce | 0xcf => Some(Value::Int(number(bytes, 1 << (marker - 0xcc))? as i64)),
        0xa0..=0xbf => text(bytes, marker & 31),
        0xd9 | 0xda | 0xdb => {
            let n = number(bytes, 1 << (marker - 0xd9))?;
            text(bytes, n)
        }
        0xc4 | 0xc5 | 0xc6 => {
            let n = number(bytes, 1 << (marker - 0xc4))?;
            Some(Value::Bytes(take(bytes, n)?.to_vec()))
        }
        0x90..=0x9f => list(bytes, marker & 15),
        0xdc | 0xdd => {
            let n = number(bytes, 2 << (marker - 0xdc))?;
            list(bytes, n)
        }
        0x80..=0x8f => map(bytes, marker & 15),
        0xde | 0xdf => {
            let n = number(bytes, 2 << (marker - 0xde))?;
            map(bytes, n)
        }
        _ => Some(Value::Text(format!("unknown type {marker:x}"))),
    }
}

fn list(bytes: &mut &[u8], n: usize) -> Option<Value> {
    (0..n).map(|_| decode(bytes)).collect::<Option<Vec<_>>>().map(Value::List)
}

fn map(bytes: &mut &[u8], n: usize) -> Option<Value> {
    (0..n).map(|_| Some((decode(bytes)?, decode(bytes)?))).collect::<Option<Vec<_>>>().map(Value::Map)
}

// ---- clients ----

/// A request of a usual client.
#[derive(Clone, Debug)]
pub struct Request {
    pub rid: String,
    pub class: &'static str,
    pub object: u64,
    pub part: u32,
    pub group: u8,
    pub budget_ms: u64,
    pub size_kb: f64,
    pub body: Vec<u8>,
}

static NEXT_RID: AtomicU64 = AtomicU64::new(1);

pub fn new_rid() -> String {
    let n = NEXT_RID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn encode_request(call: u32, request: &Request) -> Vec<u8> {
    let fields = [
        ("rid", request.rid.clone()),
        ("budget", request.budget_ms.to_string()),
        ("obj", format!("{:016x}", request.object)),
        ("piece", request.part.to_string()),
        ("lot", request.group.to_string()),
        ("mem", format!("{:.1}", request.size_kb)),
    ];
    let mut out = Vec::new();
    put_array(&mut out, 4);
    put_uint(&mut out, 0);
    put_uint(&mut out, call);
    put_text(&mut out, request.class);
    put_array(&mut out, 2);
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, &value);
    }
    put_bin_head(&mut out, request.body.len());
    out.extend(&request.body);
    out
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
}

/// What became of a request: its answer, or the end of its connection.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    /// When its last byte was written.
    pub written_at: f64,
    pub budget: f64,
    /// The whole answers, with their times.
    pub answers: Vec<(f64, Answer)>,
    /// When its connection ended before an answer.
    pub ended_at: Option<f64>,
}

pub type Fates = Arc<Mutex<HashMap<String, Fate>>>;

/// A connection of a usual client. A thread of its own reads the answers.
pub struct ClientConnection {
    pub name: String,
    pub stream: TcpStream,
    record: Arc<Record>,
    fates: Fates,
    open: Arc<Mutex<HashMap<u32, String>>>,
    pub is_over: Arc<AtomicBool>,
    next_call: u32,
}

impl ClientConnection {
    pub fn connect(name: &str, director: SocketAddr, record: &Arc<Record>, fates: &Fates) -> Option<ClientConnection> {
        let stream = TcpStream::connect_timeout(&director, ms(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        let connection = ClientConnection {
            name: name.to_owned(),
            stream: stream.try_clone().ok()?,
            record: Arc::clone(record),
            fates: Arc::clone(fates),
            open: Arc::default(),
            is_over: Arc::default(),
            next_call: 1,
        };
        record.line(&format!("client {name} connected from {}", stream.local_addr().ok()?));
        let (name, record, fates) = (name.to_owned(), Arc::clone(record), Arc::clone(fates));
        let (open, is_over) = (Arc::clone(&connection.open), Arc::clone(&connection.is_over));
        thread::spawn(move || read_answers(&name, stream, &record, &fates, &open, &is_over));
        Some(connection)
    }

    /// Encodes the next call, and notes it as open.
    pub fn open_call(&mut self, request: &Request) -> Vec<u8> {
        let call = self.next_call;
        self.next_call += 1;
        self.open.lock().expect("open").insert(call, request.rid.clone());
        encode_request(call, request)
    }

    /// Notes that the last byte of a request was written; from then on its answer is owed.
    pub fn note_written(&self, request: &Request) {
        let at = self.record.now();
        let mut fates = self.fates.lock().expect("fates");
        let fate = fates.entry(request.rid.clone()).or_default();
        (fate.written_at, fate.budget) = (at, request.budget_ms as f64 / 1e3);
        self.record.line(&format!(
            "client {} wrote request {} {} obj={:016x} budget={} ms mem={} body={}",
            self.name, request.rid, request.class, request.object, request.budget_ms, request.size_kb, request.body.len()
        ));
    }

    /// Writes a whole request. Returns whether all of it could be written.
    pub fn send(&mut self, request: &Request) -> bool {
        let bytes = self.open_call(request);
        let is_written = (&self.stream).write_all(&bytes).is_ok();
        if is_written {
            self.note_written(request);
        } else {
            self.record.line(&format!("client {} could not write request {}", self.name, request.rid));
        }
        is_written
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }
}

fn read_answers(
    name: &str,
    mut stream: TcpStream,
    record: &Record,
    fates: &Fates,
    open: &Mutex<HashMap<u32, String>>,
    is_over: &AtomicBool,
) {
    let mut received: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    let why = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break "the director closed it".to_owned(),
            Ok(n) => received.extend(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => break e.to_string(),
        }
        loop {
            let mut rest = &received[..];
            let Some(value) = decode(&mut rest) else { break };
            let used = received.len() - rest.len();
            received.drain(..used);
            let Some((call, answer)) = read_answer(&value) else {
                record.line(&format!("client {name} got what is no answer: {value:?}"));
                continue;
            };
            let rid = open.lock().expect("open").remove(&call);
            record.line(&format!("client {name} got {answer:?} for request {}", rid.as_deref().unwrap_or("-")));
            if let Some(rid) = rid {
                let at = record.now();
                fates.lock().expect("fates").entry(rid).or_default().answers.push((at, answer));
            }
        }
    };
    is_over.store(true, Ordering::Release);
    let at = record.now();
    let unanswered: Vec<String> = open.lock().expect("open").drain().map(|(_, rid)| rid).collect();
    record.line(&format!("client {name} connection over: {why}; unanswered: {}", unanswered.join(" ")));
    for rid in unanswered {
        fates.lock().expect("fates").entry(rid).or_default().ended_at = Some(at);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_answer(value: &Value) -> Option<(u32, Answer)> {
    let Value::List(parts) = value else { return None };
    let [Value::Int(1), Value::Int(call), error, _] = &parts[..] else { return None };
    let answer = match error {
        Value::Nil => Answer::Served,
        Value::List(error) if matches!(error.first(), Some(Value::Text(name)) if name == "Rejected") => Answer::Rejected,
        _ => Answer::Failed,
    };
    Some((*call as u32, answer))
}

/// Whether a director answers `alive` with true.
fn is_alive(director: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&director, ms(200)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let mut out = Vec::new();
    put_array(&mut out, 4);
    put_uint(&mut out, 0);
    put_uint(&mut out, 1);
    put_text(&mut out, "alive");
    put_array(&mut out, 1);
    out.push(0x80);
    let mut answer = [0; 64];
    (&stream).write_all(&out).is_ok()
        && matches!((&stream).read(&mut answer), Ok(n) if n >= 5 && answer[..n].starts_with(&[0x94, 1, 1, 0xc0, 0x92, 0xc3]))
}

// ---- cache nodes ----

/// An attempt as a node read it.
#[derive(Clone, Debug)]
pub struct Pull {
    pub node: String,
    pub rid: String,
    pub fields: HashMap<String, String>,
    /// When its first byte was read, and when it had come whole.
    pub first_byte_at: f64,
    pub whole_at: f64,
}

impl Pull {
    pub fn object(&self) -> u64 {
        self.fields.get("key").and_then(|key| u64::from_str_radix(key, 16).ok()).unwrap_or(0)
    }
}

/// How long a node works on an attempt, and the bytes that it then gives.
pub type Service = Arc<dyn Fn(&Pull) -> (Duration, usize) + Send + Sync>;
pub type Pulls = Arc<Mutex<Vec<Pull>>>;

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
}

/// Starts a node that holds every object and serves each attempt after its time.
pub fn start_node(name: &str, record: &Arc<Record>, pulls: &Pulls, service: Service) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fatal(&e.to_string()));
    let address = listener.local_addr().expect("bound");
    record.line(&format!("node {name} listens at {address}"));
    let (owner, record, pulls) = (name.to_owned(), Arc::clone(record), Arc::clone(pulls));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record) = (owner.clone(), Arc::clone(&record));
            let (pulls, service) = (Arc::clone(&pulls), Arc::clone(&service));
            thread::spawn(move || serve_node_connection(&name, stream, &record, &pulls, &service));
        }
    });
    Node { name: name.to_owned(), address }
}

fn serve_node_connection(name: &str, stream: TcpStream, record: &Arc<Record>, pulls: &Pulls, service: &Service) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("cloned")));
    let killed: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut reader = BufReader::new(stream);
    loop {
        if !reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            return;
        }
        let first_byte_at = record.now();
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["PULL", rid, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                let fields = fields.split(',').filter_map(|field| field.split_once('='));
                let pull = Pull {
                    node: name.to_owned(),
                    rid: rid.to_owned(),
                    fields: fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
                    first_byte_at,
                    whole_at: record.now(),
                };
                record.line(&format!("node {name} got {}", line.trim_end()));
                pulls.lock().expect("pulls").push(pull.clone());
                killed.lock().expect("killed").remove(rid);
                let (writer, killed) = (Arc::clone(&writer), Arc::clone(&killed));
                let (record, service) = (Arc::clone(record), Arc::clone(service));
                thread::spawn(move || answer_pull(&pull, &record, &writer, &killed, &service));
            }
            ["KILL", rid] => {
                record.line(&format!("node {name} got KILL {rid}"));
                killed.lock().expect("killed").insert(rid.to_owned());
            }
            ["ECHO", tag] => {
                let _ = writer.lock().expect("writer").write_all(format!("{tag} READY - 0\r\n\r\n").as_bytes());
            }
            _ => {
                record.line(&format!("node {name} can't read: {line:?}"));
                return;
            }
        }
    }
}

fn answer_pull(pull: &Pull, record: &Record, writer: &Mutex<TcpStream>, killed: &Mutex<HashSet<String>>, service: &Service) {
    let (work, length) = service(pull);
    thread::sleep(work);
    if killed.lock().expect("killed").contains(&pull.rid) {
        return;
    }
    let tag = format!("{:016x}", pull.object() ^ 0x5555);
    let head = format!("{} ACK how=HIT,entity={tag},issued={} {length}\r\n", pull.rid, unix_ms() - 1_000);
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes.extend(b"\r\n");
    let is_written = writer.lock().expect("writer").write_all(&bytes).is_ok();
    record.line(&format!("node {} {} {}", pull.node, if is_written { "served" } else { "could not answer" }, pull.rid));
}

// ---- the director ----

/// One entry of the list of cache nodes.
pub fn entry(node: &Node, zone: &str, kind: &str, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"{zone}","type":"{kind}","group":{group},"status":"{status}","weight":1,"since_ms":0}}"#,
        node.name, node.address
    )
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fatal(&e.to_string()));
    listener.local_addr().expect("bound")
}

/// The settings of a small deployment: the example of WIRE-sablecross.md, section 5, with one office and one trunk.
const SETTINGS: &str = r#"{
  "az": 1, "balancers": 1, "index": 0, "tier": 0, "periodUs": 2000, "discovery": "pushed", "domainType": "edge",
  "zones": ["east", "edge-1"], "kinds": ["small", "parent", "origin"], "stages": ["edge-caches"], "weights": "off",
  "worthBy": "request", "orgs": [], "overShareWorth": 0.1,
  "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 504405, "dialTimeoutUs": 400000, "keepaliveUs": 30000000,
    "maxOpen": 20176, "maxRetryAfterUs": 2000000, "mayCancel": true, "parallelTries": true, "peerMessages": false,
    "probing": true, "retryAfter": true, "sendCap": 6, "streamsPerConn": 32},
  "classes": [
    {"name": "footage", "effect": "idempotent", "group": "all", "memorySpanUs": 5000000, "aimUs": 400000,
     "aimStretch": 1.6, "deadlineUs": 6000000, "worth": 2.0, "lateWorth": 0.15, "streaming": false},
    {"name": "readings", "effect": "idempotent", "group": "all", "memorySpanUs": 5000000, "aimUs": 250000,
     "aimStretch": 2.0, "deadlineUs": 3000000, "worth": 1.0, "lateWorth": 0.2, "streaming": false}],
  "clients": {"marksRetry": false},
  "extra": {"clearedWithinUs": 6000000, "direct": true, "freshForUs": [0, 20000000], "hubOf": [0, 0],
    "inletCost": 0.02, "inletKbPerS": [0.0, 0.0], "joins": true, "masterKind": 2, "midKind": 1,
    "multiPart": [true, false], "neighbours": "any", "neverKept": [false, false], "oldCopyWorth": [0.7, 0.7],
    "originLimitFactor": 2.5, "originOverForUs": 3000000, "parentColdUs": 20000000, "parentStartsAt": 0.078,
    "purgeGraceUs": 1000000, "streamKbPerS": 2700.0, "tells": "hit", "upperFallMultiple": 2.0,
    "usableAfterUs": [0, 0], "zoneBalancers": [0, 1]},
  "guarantees": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldFrom": 0.23, "drainGraceUs": 2000000,
    "fallMultiple": 3.0, "fallUs": 1000000, "warmAfterUs": 18000000},
  "report": {"how": "on_probe", "names": ["active", "cpu", "x0", "x1"]}
}"#;

pub const DRAIN_GRACE: f64 = 2.0;
/// The pace at which the size of a part is sent, by the settings.
pub const STREAM_KB_PER_S: f64 = 2700.0;

pub struct Platform {
    pub feed: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The entries of the list with which the director starts, as event 1.
    pub entries: Vec<String>,
}

pub struct Director {
    pub address: SocketAddr,
    child: Child,
}

impl Director {
    /// Starts a director with the command of the deploy file, and waits until it answers `alive` with true.
    pub fn start(platform: &Platform, record: &Record) -> Director {
        let (dir, address) = (temp_dir(), free_address());
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"n":1,"events":[{{"n":1,"members":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},"settings":{SETTINGS}}}"#,
            platform.memory_mb, platform.sockets, platform.feed, platform.entries.join(",")
        );
        let path = dir.join("config.json");
        std::fs::write(&path, config).unwrap_or_else(|e| fatal(&e.to_string()));
        let log = File::create(dir.join("director.log")).unwrap_or_else(|e| fatal(&e.to_string()));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &dir)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("cloned"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| fatal(&e.to_string()));
        CHILDREN.lock().expect("children").push(child.id());
        record.line(&format!("director {} listens at {address}, memory {} MB, {} descriptors", child.id(), platform.memory_mb, platform.sockets));
        let until = Instant::now() + Duration::from_secs(30);
        while !is_alive(address) {
            if Instant::now() >= until {
                finish(record, NOT_RUN, "the director was not ready within 30 s");
            }
            thread::sleep(ms(50));
        }
        record.line("director is ready");
        Director { address, child }
    }

    /// Copies the director's log to the record, and ends the case if the director has ended by itself.
    pub fn stop(mut self, record: &Record) {
        if let Ok(Some(status)) = self.child.try_wait() {
            self.copy_log(record);
            finish(record, BROKEN, &format!("the director ended by itself: {status}"));
        }
        let _ = Command::new("/bin/kill").arg("-USR1").arg(self.child.id().to_string()).status();
        thread::sleep(ms(200));
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().expect("children").retain(|pid| *pid != self.child.id());
        self.copy_log(record);
    }

    fn copy_log(&self, record: &Record) {
        let log = std::fs::read_to_string(temp_dir().join("director.log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(&format!("log {line}")));
    }
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| fatal(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_else(|| fatal("no run command"));
    line[..line.find('"').unwrap_or(line.len())].to_owned()
}

// ---- the control feed ----

/// The events of the feed, with the time at which each was in it.
pub type FeedEvents = Arc<Mutex<Vec<(u64, String, f64)>>>;

/// Starts a feed. `head_delay` is how long a call waits for its turn before it is answered.
pub fn start_feed(record: &Arc<Record>, events: &FeedEvents, head_delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fatal(&e.to_string()));
    let address = listener.local_addr().expect("bound");
    record.line(&format!("feed listens at {address}, answers a call after {head_delay:?}"));
    let (record, events) = (Arc::clone(record), Arc::clone(events));
    thread::spawn(move || {
        for (call, stream) in listener.incoming().flatten().enumerate() {
            let (record, events) = (Arc::clone(&record), Arc::clone(&events));
            thread::spawn(move || serve_feed_call(call, stream, &record, &events, head_delay));
        }
    });
    address
}

fn serve_feed_call(call: usize, stream: TcpStream, record: &Record, events: &FeedEvents, head_delay: Duration) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut last = 0;
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            return;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("last-event-id:") {
            last = value.trim().parse().unwrap_or(0);
        }
        if line.is_empty() {
            break;
        }
    }
    record.line(&format!("feed call {call} read, Last-Event-ID {last}"));
    // The call waits in turn; whether the director still waits for it is watched meanwhile.
    let _ = stream.set_read_timeout(Some(ms(20)));
    let until = Instant::now() + head_delay;
    while Instant::now() < until {
        match (&stream).read(&mut [0; 16]) {
            Ok(0) => return record.line(&format!("feed call {call} was given up by the director before its turn")),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return record.line(&format!("feed call {call} was given up by the director before its turn: {e}")),
            Ok(_) => {}
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n";
    if (&stream).write_all(head.as_bytes()).is_err() {
        return;
    }
    record.line(&format!("feed call {call} answered"));
    let mut comment_at = Instant::now();
    loop {
        let new: Vec<(u64, String)> = {
            let events = events.lock().expect("events");
            events.iter().filter(|(n, ..)| *n > last).map(|(n, data, _)| (*n, data.clone())).collect()
        };
        for (n, data) in new {
            if (&stream).write_all(format!("id: {n}\ndata: {data}\n\n").as_bytes()).is_err() {
                return;
            }
            record.line(&format!("feed call {call} told event {n}"));
            last = n;
        }
        if Instant::now() >= comment_at {
            if (&stream).write_all(b": here\n\n").is_err() {
                return;
            }
            comment_at += Duration::from_secs(1);
        }
        match (&stream).read(&mut [0; 16]) {
            Ok(0) => return record.line(&format!("feed call {call} was closed by the director")),
            _ => thread::sleep(ms(5)),
        }
    }
}

// ---- the judgement of answers ----

/// The requests that are lost by the page: whole on an accepted connection, and no whole answer by half a second after
/// their time. Also those that were answered twice.
pub fn lost_requests(fates: &Fates, record: &Record) -> Vec<String> {
    let fates = fates.lock().expect("fates");
    let mut lost = Vec::new();
    for (rid, fate) in fates.iter().filter(|(_, fate)| fate.budget > 0.0) {
        let latest = fate.written_at + fate.budget + LATE_ALLOWED + SLACK;
        let why = match &fate.answers[..] {
            [] => fate.ended_at.map_or("no answer".to_owned(), |at| format!("its connection ended at {at:.3} with no answer")),
            [(at, _)] if *at > latest => format!("answered at {at:.3}, due by {latest:.3}"),
            [_] => continue,
            _ => "answered twice".to_owned(),
        };
        lost.push(format!("request {rid} written at {:.3}: {why}", fate.written_at));
    }
    lost.sort();
    lost.iter().for_each(|line| record.line(&format!("LOST {line}")));
    lost
}
