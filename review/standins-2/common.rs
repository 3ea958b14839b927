//! What all cases share: the director as a process, the control feed, clients, the reading side of nodes, the record.
//! Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Seconds since the case began, by the monotonic clock.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// Begins the record file and the temporary folder, and makes sure that the case ends.
pub fn begin(record: &str) {
    now();
    let file = File::create(record).unwrap_or_else(|e| {
        eprintln!("{record}: {e}");
        std::process::exit(2)
    });
    let _ = RECORD.set(Mutex::new(file));
    let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
    if let Err(e) = std::fs::create_dir_all(&folder) {
        cannot_run(&format!("{}: {e}", folder.display()));
    }
    let _ = FOLDER.set(folder);
    thread::spawn(|| {
        sleep(115.0);
        cannot_run("the case took longer than 115 s");
    });
}

pub fn folder() -> &'static Path {
    FOLDER.get().map_or(Path::new("."), PathBuf::as_path)
}

/// Writes one line to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{:9.4} {line}", now());
        }
    }
}

/// Ends all processes that were started, and the case.
pub fn finish(code: i32, verdict: &str) -> ! {
    record(verdict);
    println!("{verdict}");
    let children = CHILDREN.lock().map(|children| children.clone()).unwrap_or_default();
    for pid in children {
        signal(pid, "KILL");
    }
    if FOLDER.get().is_some() {
        let _ = std::fs::remove_dir_all(folder());
    }
    std::process::exit(code)
}

/// Has `finish` end a process that this case started.
pub fn watch(pid: u32) {
    if let Ok(mut children) = CHILDREN.lock() {
        children.push(pid);
    }
}

pub fn cannot_run(why: &str) -> ! {
    finish(2, &format!("COULD NOT RUN: {why}"))
}

/// Sends a signal to a process that this case started and has not yet waited for.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid} 2>/dev/null")])
        .stdin(Stdio::null())
        .status();
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---- chance ----

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// In [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    pub fn normal(&mut self) -> f64 {
        let (a, b) = (1.0 - self.unit(), self.unit());
        (-2.0 * a.ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos()
    }
}

static REQUESTS: AtomicU32 = AtomicU32::new(1);

/// 16 hex digits that no other request of this case has.
pub fn new_rid() -> String {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", Rng::new(u64::from(number) << 20 ^ unix_ms()).next())
}

// ---- addresses ----

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("listen: {e}")))
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("local address: {e}")))
}

/// A loopback address on which nobody listens now. Its host part is that of this process alone, so that no other listener or
/// connection takes the port meanwhile.
pub fn free_address() -> SocketAddr {
    let own = std::process::id();
    let host = std::net::Ipv4Addr::new(127, 1 + (own >> 8) as u8 % 250, own as u8, 2);
    let listener =
        TcpListener::bind((host, 0)).unwrap_or_else(|e| cannot_run(&format!("listen on {host}: {e}")));
    address_of(&listener)
}

// ---- the director as a process ----

/// The value of a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
    let line =
        text.lines().find(|line| line.starts_with(key) && line[key.len()..].trim_start().starts_with('='));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| cannot_run(&format!("deploy/balancer.toml: no {key}"))).to_owned()
}

pub struct Director {
    pub name: String,
    pub listen: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
    pub config: PathBuf,
    log_from: usize,
}

impl Director {
    /// Starts a director and waits until its log says that it serves.
    pub fn start(name: &str, listen: SocketAddr, config: &str) -> Director {
        let log = folder().join(format!("{name}.log"));
        let config_file = folder().join(format!("{name}.json"));
        write_file(&config_file, config);
        let log_from = std::fs::metadata(&log).map_or(0, |file| file.len() as usize);
        let out = File::options().create(true).append(true).open(&log);
        let out = out.unwrap_or_else(|e| cannot_run(&format!("{}: {e}", log.display())));
        let err = out.try_clone().unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")])
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_CONFIG", &config_file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("director: {e}")));
        watch(child.id());
        record(&format!("director {name} started pid={} listen={listen}", child.id()));
        let mut director =
            Director { name: name.to_owned(), listen, child, log, config: config_file, log_from };
        let give_up = now() + 15.0;
        while !director.log_text().contains("serving") {
            if director.has_ended() || now() > give_up {
                cannot_run(&format!("the director does not serve: {}", director.log_text()));
            }
            sleep(0.01);
        }
        record(&format!("director {name} serves"));
        director
    }

    /// What this process has logged.
    pub fn log_text(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(bytes.get(self.log_from..).unwrap_or_default()).into_owned()
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            // Its id may be another process's from now on.
            let pid = self.child.id();
            if let Ok(mut children) = CHILDREN.lock() {
                children.retain(|other| *other != pid);
            }
        }
        has_ended
    }

    pub fn signal(&self, name: &str) {
        record(&format!("director {} gets SIG{name}", self.name));
        signal(self.child.id(), name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        record(&format!("director {} gets SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        if let Ok(mut children) = CHILDREN.lock() {
            children.retain(|other| *other != pid);
        }
    }

    /// Puts the log into the record.
    pub fn record_log(&self, from_end: usize) {
        let text = self.log_text();
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(from_end)..] {
            record(&format!("log of {}: {line}", self.name));
        }
    }
}

pub fn write_file(path: &Path, text: &str) {
    let new = path.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    written.unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
}

/// What the settings of a case say; the rest is that of a small deployment.
pub struct Settings<'a> {
    pub zones: &'a str,
    /// `effect` of the class `footage`.
    pub effect: &'a str,
    pub group: &'a str,
    pub window_us: u64,
    pub parallel_tries: bool,
    pub may_cancel: bool,
    pub footage_deadline_us: u64,
}

impl Default for Settings<'_> {
    fn default() -> Self {
        Settings {
            zones: "\"hub\",\"edge\"",
            effect: "idempotent",
            group: "all",
            window_us: 5_000_000,
            parallel_tries: true,
            may_cancel: true,
            footage_deadline_us: 6_000_000,
        }
    }
}

/// The settings, with the figures of the first deployment.
pub fn settings(of: &Settings) -> String {
    let Settings { zones, effect, group, window_us, parallel_tries, may_cancel, footage_deadline_us } = of;
    format!(
        "{{\"az\":1,\"index\":0,\"balancers\":1,\"discovery\":\"pushed\",\"periodUs\":2000,\"zones\":[{zones}],\
         \"kinds\":[\"small\",\"parent\",\"origin\"],\"classes\":[\
         {{\"name\":\"footage\",\"effect\":\"{effect}\",\"group\":\"{group}\",\"memorySpanUs\":{window_us},\
         \"aimUs\":400000,\"aimStretch\":1.6,\"deadlineUs\":{footage_deadline_us},\"worth\":2.0,\"lateWorth\":0.15,\
         \"streaming\":false}},\
         {{\"name\":\"readings\",\"effect\":\"idempotent\",\"group\":\"all\",\"memorySpanUs\":5000000,\
         \"aimUs\":250000,\"aimStretch\":2.0,\"deadlineUs\":3000000,\"worth\":1.0,\"lateWorth\":0.2,\
         \"streaming\":false}}],\
         \"ceilings\":{{\"mayCancel\":{may_cancel},\"parallelTries\":{parallel_tries},\"retryAfter\":true,\
         \"maxRetryAfterUs\":2000000,\"sendCap\":6,\"dialTimeoutUs\":400000,\"keepaliveUs\":30000000,\
         \"probing\":true,\"peerMessages\":false,\"streamsPerConn\":32}},\
         \"guarantees\":{{\"coldFrom\":0.23,\"warmAfterUs\":18000000,\"fallMultiple\":3.0,\"fallUs\":1000000,\
         \"drainGraceUs\":2000000,\"answerSlackUs\":8000,\"askWithinUs\":10000000}},\
         \"report\":{{\"how\":\"on_probe\",\"names\":[\"active\",\"cpu\",\"x0\",\"x1\"]}},\
         \"extra\":{{\"freshForUs\":[0,20000000],\"usableAfterUs\":[0,0],\"multiPart\":[true,false],\
         \"neverKept\":[false,false],\"midKind\":1,\"masterKind\":2,\"direct\":true,\"joins\":true,\
         \"streamKbPerS\":2700.0,\"clearedWithinUs\":6000000,\"purgeGraceUs\":1000000,\"parentStartsAt\":0.078,\
         \"parentColdUs\":20000000,\"upperFallMultiple\":2.0,\"zoneBalancers\":[0,1]}}}}"
    )
}

/// The configuration of a director in the form of the deployment page.
pub fn config(name: &str, listen: SocketAddr, feed: &Feed, settings: &str, rate: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"{:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"feed\":\"{}\",\
         \"flow_bytes_per_s\":{rate:.1},\"link_bytes_per_s\":{:.1},\"known\":{},\"settings\":{settings}}}",
        Rng::new(unix_ms()).next(),
        feed.address,
        4.0 * rate,
        feed.known()
    )
}

// ---- the control feed ----

struct FeedState {
    events: Vec<String>,
}

/// The control feed of one director: numbered events over HTTP, and a comment each second.
pub struct Feed {
    pub address: SocketAddr,
    state: Arc<(Mutex<FeedState>, Condvar)>,
}

/// One entry of a list of nodes.
pub struct Listed<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub kind: &'a str,
    pub group: u32,
    pub status: &'a str,
    pub since_ms: u64,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = listen();
        let address = address_of(&listener);
        let state = Arc::new((Mutex::new(FeedState { events: Vec::new() }), Condvar::new()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || follow(stream, &state));
            }
        });
        Feed { address, state }
    }

    fn push(&self, content: &str) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            let number = state.events.len() + 1;
            let event = format!("{{\"n\":{number},{content}}}");
            record(&format!("feed: {event}"));
            state.events.push(event);
        }
        changed.notify_all();
    }

    pub fn push_list(&self, nodes: &[Listed], is_snapshot: bool) {
        let number = self.last() + 1;
        let entries: Vec<String> = nodes
            .iter()
            .map(|node| {
                let Listed { name, address, zone, kind, group, status, since_ms } = node;
                format!(
                    "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"{kind}\",\
                     \"group\":{group},\"status\":\"{status}\",\"weight\":1,\"since_ms\":{since_ms}}}"
                )
            })
            .collect();
        self.push(&format!(
            "\"members\":{{\"index\":{number},\"snapshot\":{is_snapshot},\"endpoints\":[{}]}}",
            entries.join(",")
        ));
    }

    pub fn push_purge(&self, key: &str) {
        self.push(&format!("\"purge\":{{\"key\":\"{key}\",\"at\":{}}}", unix_ms()));
    }

    pub fn push_group_purge(&self, group: u32) {
        self.push(&format!("\"purge\":{{\"group\":{group},\"at\":{}}}", unix_ms()));
    }

    pub fn last(&self) -> usize {
        self.state.0.lock().map_or(0, |state| state.events.len())
    }

    fn known(&self) -> String {
        let events = self.state.0.lock().map(|state| state.events.clone()).unwrap_or_default();
        format!("{{\"n\":{},\"events\":[{}]}}", events.len(), events.join(","))
    }
}

fn follow(stream: TcpStream, state: &(Mutex<FeedState>, Condvar)) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut last = 0usize;
    for line in BufReader::new(reading).lines() {
        let Ok(line) = line else { return };
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("last-event-id") {
                last = value.trim().parse().unwrap_or(0);
            }
        }
    }
    let mut stream = stream;
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: up\n\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let mut comment_at = now() + 1.0;
    let (state, changed) = state;
    loop {
        let Ok(guard) = state.lock() else { return };
        let wait = Duration::from_secs_f64((comment_at - now()).clamp(0.001, 1.0));
        let waited = changed.wait_timeout_while(guard, wait, |state| state.events.len() <= last);
        let Ok((guard, _)) = waited else { return };
        let new: Vec<String> = guard.events.get(last..).unwrap_or_default().to_vec();
        drop(guard);
        let mut text = String::new();
        for event in new {
            last += 1;
            text.push_str(&format!("id: {last}\ndata: {event}\n\n"));
        }
        if now() >= comment_at {
            comment_at = now() + 1.0;
            text.push_str(": still here\n\n");
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

// ---- nodes ----

/// What a director sends to a node.
pub enum NodeInput {
    Pull(Pull),
    Kill(String),
    Other(String),
    Closed,
}

#[derive(Clone)]
pub struct Pull {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    pub connection: NodeConnection,
    pub at: f64,
}

impl Pull {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> f64 {
        self.field(name).parse().unwrap_or(0.0)
    }

    pub fn has_flag(&self, flag: &str) -> bool {
        self.field("f").split('+').any(|word| word == flag)
    }
}

static CONNECTIONS: AtomicU32 = AtomicU32::new(1);

/// The writing side of a connection from a director.
#[derive(Clone)]
pub struct NodeConnection {
    pub number: u32,
    stream: Arc<Mutex<TcpStream>>,
    pub is_over: Arc<AtomicBool>,
}

impl NodeConnection {
    pub fn answer(&self, id: &str, word: &str, fields: &str, body: &[u8]) {
        let fields = if fields.is_empty() { "-" } else { fields };
        let mut bytes = format!("{id} {word} {fields} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        if let Ok(mut stream) = self.stream.lock() {
            let _ = stream.write_all(&bytes);
        }
    }

    pub fn close(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Ok(stream) = self.stream.lock() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves the connections of a listener; each message goes to `handle`, on the thread of its connection.
pub fn serve_node<H>(listener: TcpListener, handle: H)
where
    H: Fn(NodeInput, &NodeConnection) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            serve_node_stream(stream, move |input, connection| handle(input, connection));
        }
    });
}

/// Serves one connection on a thread of its own.
pub fn serve_node_stream<H>(stream: TcpStream, handle: H)
where
    H: Fn(NodeInput, &NodeConnection) + Send + 'static,
{
    thread::spawn(move || {
        let _ = stream.set_nodelay(true);
        let Ok(writing) = stream.try_clone() else { return };
        let connection = NodeConnection {
            number: CONNECTIONS.fetch_add(1, Ordering::Relaxed),
            stream: Arc::new(Mutex::new(writing)),
            is_over: Arc::new(AtomicBool::new(false)),
        };
        read_node_connection(stream, &connection, &handle);
        connection.is_over.store(true, Ordering::SeqCst);
        handle(NodeInput::Closed, &connection);
    });
}

fn read_node_connection(
    stream: TcpStream,
    connection: &NodeConnection,
    handle: &dyn Fn(NodeInput, &NodeConnection),
) {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        let text = line.trim_end();
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["PULL", id, fields, length] => {
                let Ok(length) = length.parse::<usize>() else { return };
                let mut body = vec![0; length + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(length);
                let fields = fields.split(',').filter_map(|field| field.split_once('='));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                let pull =
                    Pull { id: id.to_owned(), fields, body, connection: connection.clone(), at: now() };
                handle(NodeInput::Pull(pull), connection);
            }
            ["KILL", id] => handle(NodeInput::Kill(id.to_owned()), connection),
            _ => handle(NodeInput::Other(text.to_owned()), connection),
        }
    }
}

// ---- clients ----

/// An answer of a director.
#[derive(Clone, Debug)]
pub enum Answer {
    Served {
        body: Vec<u8>,
        is_unchanged: bool,
    },
    Refused {
        backoff_ms: u64,
    },
    Failed(String),
    Alive(bool),
    /// The connection ended.
    Closed,
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served { body, is_unchanged } => {
                format!("served {} bytes unchanged={is_unchanged}", body.len())
            }
            Answer::Refused { backoff_ms } => format!("refused backoff={backoff_ms}"),
            Answer::Failed(name) => format!("failed {name}"),
            Answer::Alive(alive) => format!("alive {alive}"),
            Answer::Closed => "connection ended".into(),
        }
    }
}

/// One connection of a client.
pub struct Client {
    stream: Mutex<TcpStream>,
    next: AtomicU32,
}

impl Client {
    /// Connects; answers go to `answers` with the number of the call and the time.
    pub fn connect<F>(to: SocketAddr, on_answer: F) -> Option<Client>
    where
        F: Fn(u32, Answer) + Send + 'static,
    {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reading = stream.try_clone().ok()?;
        thread::spawn(move || {
            let mut reading = reading;
            let mut received: Vec<u8> = Vec::new();
            let mut bytes = vec![0; 64 << 10];
            loop {
                match reading.read(&mut bytes) {
                    Ok(n) if n > 0 => received.extend_from_slice(&bytes[..n]),
                    _ => break,
                }
                let mut used = 0;
                while let Some((value, length)) = Value::read(&received[used..]) {
                    used += length;
                    match value.answer() {
                        Some((call, answer)) => on_answer(call, answer),
                        None => on_answer(0, Answer::Failed("an answer that can't be read".into())),
                    }
                }
                received.drain(..used);
            }
            on_answer(0, Answer::Closed);
        });
        Some(Client { stream: Mutex::new(stream), next: AtomicU32::new(1) })
    }

    /// The same, with the answers on a channel.
    pub fn open(to: SocketAddr) -> Option<(Client, Receiver<(u32, Answer, f64)>)> {
        let (sender, answers): (Sender<(u32, Answer, f64)>, _) = channel();
        let client = Client::connect(to, move |call, answer| _ = sender.send((call, answer, now())))?;
        Some((client, answers))
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        self.stream.lock().is_ok_and(|mut stream| stream.write_all(bytes).is_ok())
    }

    pub fn next_call(&self) -> u32 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn call(&self, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Option<u32> {
        let call = self.next_call();
        self.write(&encode_call(call, method, fields, Some(body))).then_some(call)
    }

    pub fn cancel(&self, call: u32) -> bool {
        let mut out = vec![0x93, 2];
        put_text(&mut out, "cancelRequest");
        out.push(0x91);
        put_number(&mut out, call);
        self.write(&out)
    }

    pub fn close(&self) {
        if let Ok(stream) = self.stream.lock() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Asks `alive` until it is answered with true.
pub fn wait_until_alive(at: SocketAddr) {
    let give_up = now() + 15.0;
    while now() < give_up {
        if let Some((client, answers)) = Client::open(at) {
            client.write(&encode_call(1, "alive", &[], None));
            if let Ok((_, Answer::Alive(true), _)) = answers.recv_timeout(Duration::from_secs(1)) {
                client.close();
                return;
            }
            client.close();
        }
        sleep(0.02);
    }
    cannot_run("the director does not answer alive with true");
}

pub fn encode_call(call: u32, method: &str, fields: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    put_number(&mut out, call);
    put_text(&mut out, method);
    out.push(if body.is_some() { 0x92 } else { 0x91 });
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, value);
    }
    if let Some(body) = body {
        out.push(0xc6);
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(body);
    }
    out
}

fn put_number(out: &mut Vec<u8>, number: u32) {
    out.push(0xce);
    out.extend_from_slice(&number.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

/// A MessagePack value, as far as answers need it.
enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    fn read(bytes: &[u8]) -> Option<(Value, usize)> {
        let mut at = 0;
        let value = Value::parse(bytes, &mut at)?;
        Some((value, at))
    }

    fn parse(bytes: &[u8], at: &mut usize) -> Option<Value> {
        let marker = *bytes.get(*at)?;
        *at += 1;
        let mut number = |size: usize| -> Option<u64> {
            let part = bytes.get(*at..*at + size)?;
            *at += size;
            Some(part.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
        };
        match marker {
            0x00..=0x7f => Some(Value::Number(u64::from(marker))),
            0xc0 => Some(Value::Nil),
            0xc2 | 0xc3 => Some(Value::Bool(marker == 0xc3)),
            0xcc => number(1).map(Value::Number),
            0xcd => number(2).map(Value::Number),
            0xce => number(4).map(Value::Number),
            0xcf => number(8).map(Value::Number),
            0xa0..=0xbf => Value::bytes(bytes, at, usize::from(marker & 31)),
            0xd9 | 0xc4 => number(1).and_then(|n| Value::bytes(bytes, at, n as usize)),
            0xda | 0xc5 => number(2).and_then(|n| Value::bytes(bytes, at, n as usize)),
            0xdb | 0xc6 => number(4).and_then(|n| Value::bytes(bytes, at, n as usize)),
            0x90..=0x9f => Value::list(bytes, at, usize::from(marker & 15)),
            0xdc => number(2).and_then(|n| Value::list(bytes, at, n as usize)),
            0x80..=0x8f => Value::map(bytes, at, usize::from(marker & 15)),
            0xde => number(2).and_then(|n| Value::map(bytes, at, n as usize)),
            _ => None,
        }
    }

    fn bytes(bytes: &[u8], at: &mut usize, length: usize) -> Option<Value> {
        let part = bytes.get(*at..*at + length)?;
        *at += length;
        Some(Value::Bytes(part.to_vec()))
    }

    fn list(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
        (0..count).map(|_| Value::parse(bytes, at)).collect::<Option<_>>().map(Value::List)
    }

    fn map(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
        let pairs = (0..count).map(|_| Some((Value::parse(bytes, at)?, Value::parse(bytes, at)?)));
        pairs.collect::<Option<_>>().map(Value::Map)
    }

    fn text(&self) -> String {
        if let Value::Bytes(bytes) = self {
            String::from_utf8_lossy(bytes).into_owned()
        } else {
            String::new()
        }
    }

    fn field(&self, name: &str) -> Option<String> {
        let Value::Map(pairs) = self else { return None };
        pairs.iter().find(|(key, _)| key.text() == name).map(|(_, value)| value.text())
    }

    /// The number of the call and the answer.
    fn answer(self) -> Option<(u32, Answer)> {
        let Value::List(mut parts) = self else { return None };
        if parts.len() != 4 || !matches!(parts[0], Value::Number(1)) {
            return None;
        }
        let (result, error) = (parts.pop()?, parts.pop()?);
        let Value::Number(call) = parts[1] else { return None };
        let answer = match (error, result) {
            (Value::Nil, Value::List(mut result)) if result.len() == 2 => {
                let (fields, body) = (result.pop()?, result.pop()?);
                match body {
                    Value::Bool(alive) => Answer::Alive(alive),
                    Value::Bytes(body) => Answer::Served {
                        body,
                        is_unchanged: fields.field("unchanged").as_deref() == Some("1"),
                    },
                    _ => return None,
                }
            }
            (Value::List(error), Value::Nil) => {
                let name = error.first()?.text();
                let backoff = error.get(1).and_then(|fields| fields.field("backoff"));
                match &*name {
                    "Rejected" => {
                        Answer::Refused { backoff_ms: backoff.and_then(|ms| ms.parse().ok()).unwrap_or(0) }
                    }
                    _ => Answer::Failed(name),
                }
            }
            _ => return None,
        };
        Some((call as u32, answer))
    }
}
