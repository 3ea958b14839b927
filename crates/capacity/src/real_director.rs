//! What a real director takes as a process: its processor time, memory and descriptors, with a stand-in for
//! the feed, nodes and clients on loopback. Time is what the system counted for its threads, so that others
//! on the machine matter little.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sablecross::mix;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, Message, Reply as Said, Request};
use sablecross_coordination::{Action, CoordinationConfig, Coordinator, Member, Ns};
use sablecross_director::coordination::call_member;
use sablecross_director::limits::Limits;
use sablecross_director::name_table::PEER_CALL_METHOD;
use sablecross_director::wire::rpc;
use sablecross_testbed::client_load::{Response, encode_request, read_any_response};
use serde_json::{Value, json};

use crate::cost::{Cost, MeasurementKind, median, resident_bytes_of};
use crate::discovery;
use crate::fit::Point;

/// Makes the command that starts a director: what `sablecross lab director` is.
pub type DirectorCommand<'a> = &'a dyn Fn() -> Command;

const NODES: usize = 490;
const WARM_UP: Duration = Duration::from_secs(3);
const MEASUREMENT_SPAN: Duration = Duration::from_secs(8);
const ROUNDS: usize = 3;
/// Seconds for which a purge binds.
const PURGE_WINDOW_S: f64 = 126.0;
const SAMPLE_CONFIG: &str = include_str!("../../../deploy/sample.json");

/// An address that was free a moment ago.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

struct Director {
    child: Child,
    address: SocketAddr,
    config: std::path::PathBuf,
}

impl Drop for Director {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A director that votes: its number, its address, and the settings of the duties.
struct VoterSetup<'a> {
    number: usize,
    address: SocketAddr,
    coordination_file: &'a Path,
}

impl Director {
    fn start(
        program: DirectorCommand,
        feed: SocketAddr,
        endpoints: &[Value],
        votes: Option<VoterSetup>,
    ) -> io::Result<Director> {
        let at = match &votes {
            Some(votes) => votes.address,
            None => free_address()?,
        };
        let mut all: Value = serde_json::from_str(SAMPLE_CONFIG)?;
        all["listen"] = json!(at);
        all["feed"] = json!(feed);
        let list = json!({"index": 0, "snapshot": true, "endpoints": endpoints});
        all["known"] = json!({"n": 1, "events": [{"n": 1, "members": list}]});
        all["settings"]["zones"] = (0..64).map(|z| format!("zone-{z:02}")).collect();
        all["settings"]["az"] = json!(32);
        all["settings"]["extra"]["multiPart"] = json!([false, false]);
        all["settings"]["extra"]["zoneBalancers"] = json!(vec![59; 64]);
        let mut command = program();
        command.env_remove("SABLECROSS_DUTY");
        if let Some(votes) = votes {
            all["settings"]["index"] = json!(votes.number);
            // Each member has a connection, and clients may have a third of these.
            all["limits"]["sockets"] = json!(4_096);
            command.env("SABLECROSS_DUTY", votes.coordination_file);
        }
        let config = std::env::temp_dir().join(format!("slopes-{}-{}.json", std::process::id(), at.port()));
        std::fs::write(&config, all.to_string())?;
        command.env("NODE_CONFIG", &config);
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let director = Director { child, address: at, config };
        let begun = Instant::now();
        while TcpStream::connect(at).is_err() {
            if begun.elapsed() > Duration::from_secs(10) {
                return Err(io::Error::other("a director does not serve"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(director)
    }

    /// Microseconds of processor time that its threads have had.
    fn cpu_micros(&self) -> io::Result<f64> {
        let mut sum = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            sum += text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
        }
        Ok(sum / 1e3)
    }

    /// Parts of a core, in percent, over a while.
    fn cpu_percent(&self, span: Duration) -> io::Result<f64> {
        let (before, begun) = (self.cpu_micros()?, Instant::now());
        thread::sleep(span);
        Ok((self.cpu_micros()? - before) / begun.elapsed().as_secs_f64() / 1e4)
    }

    fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What a feed tells: so many at once when it is called, spread over the time before; then at a rate, in
/// batches.
#[derive(Clone, Copy)]
struct FeedScript {
    initial_purges: u64,
    initial_span_ms: f64,
    events_per_s: f64,
    batch_interval: Duration,
    sends_changes: bool,
}

const QUIET: FeedScript = FeedScript {
    initial_purges: 0,
    initial_span_ms: 0.0,
    events_per_s: 0.0,
    batch_interval: Duration::from_millis(100),
    sends_changes: false,
};

struct StubServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves each connection by a thread of its own until it is dropped.
fn serve_connections(
    serve: impl Fn(TcpStream, &AtomicBool) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<StubServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (at, over) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
    let (serve, ends) = (Arc::new(serve), Arc::clone(&over));
    thread::spawn(move || {
        for link in listener.incoming().flatten() {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            let (serve, ends) = (Arc::clone(&serve), Arc::clone(&ends));
            // A connection that breaks off is made again by its director.
            thread::spawn(move || serve(link, &ends));
        }
    });
    Ok(StubServer { address: at, stop: over })
}

fn serve_feed(mut link: TcpStream, over: &AtomicBool, told: FeedScript) -> io::Result<()> {
    link.set_nodelay(true)?;
    let mut asked = BufReader::new(link.try_clone()?);
    let mut line = String::new();
    while asked.read_line(&mut line)? > 2 {
        line.clear();
    }
    link.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let (now, mut n) = (unix_ms(), 2);
    let mut text = String::new();
    for at in 0..told.initial_purges {
        text += &discovery::purge_event_at(
            n,
            now - ((told.initial_purges - at) as f64 / told.initial_purges as f64 * told.initial_span_ms)
                as u64,
        );
        n += 1;
    }
    link.write_all(text.as_bytes())?;
    let (begun, mut said, mut alive) = (Instant::now(), 0u64, 0u64);
    while !over.load(Ordering::Relaxed) {
        let passed = begun.elapsed();
        text.clear();
        while (said as f64) < passed.as_secs_f64() * told.events_per_s {
            text += &if told.sends_changes {
                discovery::change_event(n)
            } else {
                discovery::purge_event_at(n, unix_ms())
            };
            (n, said) = (n + 1, said + 1);
            if told.batch_interval.is_zero() {
                link.write_all(text.as_bytes())?;
                text.clear();
            }
        }
        if passed.as_secs() > alive {
            alive = passed.as_secs();
            text += ": .\n\n";
        }
        link.write_all(text.as_bytes())?;
        thread::sleep(told.batch_interval.max(Duration::from_millis(1)));
    }
    Ok(())
}

/// One director for each size, all at once, each with a feed of its own.
fn start_with_feeds(
    program: DirectorCommand,
    sizes: &[f64],
    tells: impl Fn(f64) -> FeedScript,
) -> io::Result<Vec<(Director, StubServer)>> {
    let endpoints: Vec<Value> = (0..NODES).map(|n| discovery::endpoint(n, "ready")).collect();
    let begin = |size: &f64| {
        let what = tells(*size);
        let feed = serve_connections(move |link, over| serve_feed(link, over, what))?;
        Ok((Director::start(program, feed.address, &endpoints, None)?, feed))
    };
    sizes.iter().map(begin).collect()
}

fn points(sizes: &[f64], values: impl IntoIterator<Item = f64>) -> Vec<Point> {
    sizes.iter().zip(values).map(|(size, value)| Point { size: *size, value }).collect()
}

/// Processor time at each size, the median of some rounds.
fn measure_cpu(
    program: DirectorCommand,
    sizes: &[f64],
    tells: impl Fn(f64) -> FeedScript,
) -> io::Result<Vec<Point>> {
    let all = start_with_feeds(program, sizes, tells)?;
    thread::sleep(WARM_UP);
    let mut seen = vec![Vec::new(); sizes.len()];
    for _ in 0..ROUNDS {
        let before = all.iter().map(|(d, _)| d.cpu_micros()).collect::<io::Result<Vec<f64>>>()?;
        let begun = Instant::now();
        thread::sleep(MEASUREMENT_SPAN);
        for ((seen, before), (director, _)) in seen.iter_mut().zip(before).zip(&all) {
            seen.push((director.cpu_micros()? - before) / begun.elapsed().as_secs_f64() / 1e4);
        }
    }
    Ok(points(sizes, seen.into_iter().map(median)))
}

fn cost(
    name: &'static str,
    what: &'static str,
    over: &'static str,
    unit: &'static str,
    p: Vec<Point>,
) -> Cost {
    let how = match unit {
        "bytes" => MeasurementKind::Resident,
        "open" => MeasurementKind::Counted,
        _ => MeasurementKind::Timed,
    };
    Cost { name, description: what, size_unit: over, unit, kind: how, points: p }
}

const PERCENT_OF_CORE: &str = "% of a core";

pub fn measure_purge_rate(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [5.0, 20.0, 35.0, 100.0, 200.0, 350.0];
    let tells = |rate: f64| {
        let first = (rate * PURGE_WINDOW_S) as u64;
        FeedScript {
            initial_purges: first,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: rate,
            batch_interval: Duration::ZERO,
            sends_changes: false,
        }
    };
    let what = "a real director, 490 nodes listed, each purge told by itself, as many known as bind";
    Ok(vec![cost(
        "real-purge-time",
        what,
        "purges a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, tells)?,
    )])
}

pub fn measure_batches(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [1.0, 2.0, 5.0, 10.0, 20.0];
    let tells = |pieces: f64| {
        let batch = Duration::from_secs_f64(1.0 / pieces);
        FeedScript {
            initial_purges: 4_400,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: 35.0,
            batch_interval: batch,
            sends_changes: false,
        }
    };
    let what = "a real director, 490 nodes listed, 35 purges a second told in so many batches";
    Ok(vec![cost(
        "real-batch-time",
        what,
        "batches a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, tells)?,
    )])
}

pub fn measure_change_rate(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [0.25, 1.0, 5.0, 10.0, 25.0];
    let tells = |rate| FeedScript {
        initial_purges: 0,
        initial_span_ms: 0.0,
        events_per_s: rate,
        batch_interval: Duration::ZERO,
        sends_changes: true,
    };
    let what = "a real director, 490 nodes listed, one-line changes of which a quarter are parents";
    Ok(vec![cost(
        "real-change-time",
        what,
        "changes a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, tells)?,
    )])
}

/// Waits until a director rests: milliseconds of processor time that it has had since its start, and its
/// memory.
fn wait_until_idle(director: &Director) -> io::Result<(f64, f64)> {
    let mut last = 0.0;
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(500));
        let used = director.cpu_micros()?;
        if used - last < 2_000.0 {
            break;
        }
        last = used;
    }
    let memory = resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN);
    Ok((director.cpu_micros()? / 1e3, memory))
}

/// The middle of some rounds in which all sizes take turns.
fn measure_starts(
    sizes: &[f64],
    begin: impl Fn(f64) -> io::Result<(Director, StubServer)>,
) -> io::Result<[Vec<Point>; 2]> {
    let mut seen = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (size, seen) in sizes.iter().zip(&mut seen) {
            let (director, _feed) = begin(*size)?;
            let (time, memory) = wait_until_idle(&director)?;
            seen[0].push(time);
            seen[1].push(memory);
        }
    }
    Ok([0, 1].map(|n| points(sizes, seen.iter().map(|s| median(s[n].clone())))))
}

/// Purges of the last hour, told at once to a director that begins.
pub fn measure_initial_purges(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [1_000.0, 4_400.0, 20_000.0, 60_000.0, 126_000.0];
    let begin = |first: f64| {
        let tells =
            |_| FeedScript { initial_purges: first as u64, initial_span_ms: first / 35.0 * 1e3, ..QUIET };
        start_with_feeds(program, &[first], tells).map(|mut all| all.remove(0))
    };
    let [time, memory] = measure_starts(&sizes, begin)?;
    let what = "a real director's start with 490 nodes listed, so many purges of the last hour told at once";
    Ok(vec![
        cost("real-told-time", what, "purges", "ms of a core", time),
        cost("real-told-memory", what, "purges", "bytes", memory),
    ])
}

pub fn measure_list_starts(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [20.0, 50.0, 100.0, 200.0, 350.0, 490.0];
    let begin = |nodes: f64| {
        let feed = serve_connections(move |link, over| serve_feed(link, over, QUIET))?;
        let endpoints: Vec<Value> = (0..nodes as usize).map(|n| discovery::endpoint(n, "ready")).collect();
        Ok((Director::start(program, feed.address, &endpoints, None)?, feed))
    };
    let [time, memory] = measure_starts(&sizes, begin)?;
    let what = "a real director's start, with the whole list in its configuration";
    Ok(vec![
        cost("real-start-time", what, "nodes", "ms of a core", time),
        cost("real-start-memory", what, "nodes", "bytes", memory),
    ])
}

// ---- lookups ----

/// A node that has all there is, and answers at once with a body of this length.
fn serve_node(mut link: TcpStream, over: &AtomicBool, length: usize) -> io::Result<()> {
    link.set_nodelay(true)?;
    let mut reader = BufReader::new(link.try_clone()?);
    let body = vec![b'x'; length];
    let mut line = String::new();
    while !over.load(Ordering::Relaxed) {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (Some("PULL"), Some(id), Some(_), Some(asked)) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            continue;
        };
        let asked: u64 = asked.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        io::copy(&mut (&mut reader).take(asked + 2), &mut io::sink())?;
        let issued = unix_ms();
        let mut out =
            format!("{id} ACK how=HIT,entity=00000000000000a1,issued={issued} {length}\r\n").into_bytes();
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        link.write_all(&out)?;
    }
    Ok(())
}

const CLIENTS: usize = 8;

/// Clients that ask by the clock, whatever is answered; how many were satisfied, and how many were not.
struct ClientLoad {
    stop: Arc<AtomicBool>,
    satisfied: Arc<AtomicU64>,
    others: Arc<AtomicU64>,
}

impl Drop for ClientLoad {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl ClientLoad {
    fn start(at: SocketAddr, rate: f64) -> io::Result<ClientLoad> {
        let clients = ClientLoad { stop: Arc::default(), satisfied: Arc::default(), others: Arc::default() };
        for client in 0..CLIENTS as u64 {
            let mut link = TcpStream::connect(at)?;
            link.set_nodelay(true)?;
            let mut answers = BufReader::new(link.try_clone()?);
            let (satisfied, others) = (Arc::clone(&clients.satisfied), Arc::clone(&clients.others));
            thread::spawn(move || {
                while let Ok((_, answer)) = read_any_response(&mut answers) {
                    let which = if matches!(answer, Response::Success(_)) { &satisfied } else { &others };
                    which.fetch_add(1, Ordering::Relaxed);
                }
            });
            let over = Arc::clone(&clients.stop);
            thread::spawn(move || {
                let (begun, mut asked) = (Instant::now(), 0u64);
                while !over.load(Ordering::Relaxed) {
                    while (asked as f64) < begun.elapsed().as_secs_f64() * rate / CLIENTS as f64 {
                        asked += 1;
                        let drawn = mix(client << 40 | asked);
                        link.write_all(&encode_request(drawn, asked as u32, drawn % 20_000))?;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                link.shutdown(std::net::Shutdown::Both)
            });
        }
        Ok(clients)
    }
}

/// One director under lookups at a rate with bodies of a length: its part of a core, lookups satisfied a
/// second, its memory, its descriptors.
struct LoadResult {
    cpu_percent: f64,
    satisfied_per_s: f64,
    memory: f64,
    descriptors: f64,
}

fn measure_load(program: DirectorCommand, rate: f64, length: usize) -> io::Result<LoadResult> {
    let node = serve_connections(move |link, over| serve_node(link, over, length))?;
    let feed = serve_connections(move |link, over| serve_feed(link, over, QUIET))?;
    // The own zone's caches, some parents, the origin: all of them the one stand-in.
    let mut endpoints: Vec<Value> = (245..253).map(|n| discovery::endpoint(n, "ready")).collect();
    endpoints.push(discovery::endpoint(254, "ready"));
    for (n, e) in endpoints.iter_mut().enumerate() {
        let kind = match n {
            8 => "origin",
            0 | 4 => "parent",
            _ => "small",
        };
        (e["address"], e["zone"], e["type"]) = (json!(node.address), json!("zone-32"), json!(kind));
    }
    let director = Director::start(program, feed.address, &endpoints, None)?;
    let clients = ClientLoad::start(director.address, rate)?;
    thread::sleep(WARM_UP);
    let count = || [&clients.satisfied, &clients.others].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, begun) = (count(), Instant::now());
    let core = director.cpu_percent(MEASUREMENT_SPAN)?;
    let (after, passed) = (count(), begun.elapsed().as_secs_f64());
    let [satisfied, others] = [0, 1].map(|n| (after[n] - before[n]) / passed);
    // Another figure than that of lookups served would be told under this name.
    if satisfied < 0.98 * rate || others > 0.02 * rate {
        let what = format!("of {rate} lookups a second {satisfied:.0} satisfied, {others:.0} not");
        return Err(io::Error::other(what));
    }
    Ok(LoadResult {
        cpu_percent: core,
        satisfied_per_s: satisfied,
        memory: resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN),
        descriptors: director.descriptors()? as f64,
    })
}

pub fn measure_lookups(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [100.0, 300.0, 526.0, 1_000.0, 1_800.0, 2_630.0];
    let all = sizes.iter().map(|rate| measure_load(program, *rate, 256)).collect::<io::Result<Vec<_>>>()?;
    let over = "lookups a second";
    let of = |value: fn(&LoadResult) -> f64| points(&sizes, all.iter().map(value));
    Ok(vec![
        cost(
            "real-lookup-time",
            "a real director, bodies of 256 bytes",
            over,
            PERCENT_OF_CORE,
            of(|s| s.cpu_percent),
        ),
        cost("real-lookup-memory", "a real director", over, "bytes", of(|s| s.memory)),
        cost(
            "real-lookup-descriptors",
            "descriptors of a real director",
            over,
            "open",
            of(|s| s.descriptors),
        ),
    ])
}

const BODY_TRIAL_RATE: f64 = 100.0;

pub fn measure_bodies(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [1.0, 16.0, 64.0, 128.0, 234.0];
    let all = sizes.iter().map(|kb| measure_load(program, BODY_TRIAL_RATE, (kb * 1024.0) as usize));
    let all = all.collect::<io::Result<Vec<_>>>()?;
    let value = all.iter().map(|s| s.cpu_percent * 1e4 / s.satisfied_per_s);
    let what = "a real director's time for one lookup, at 100 a second";
    Ok(vec![cost("real-body-time", what, "KB a body", "us", points(&sizes, value))])
}

// ---- voters ----

const VOTERS: u32 = 5;
const MS: Ns = 1_000_000;

/// As the file of the duties has it.
fn coordination_config() -> CoordinationConfig {
    CoordinationConfig {
        voters: (0..VOTERS).collect(),
        roles: vec![ASSIGNMENT_ROLE, 1],
        lease_duration: 1_000 * MS,
        round_timeout: 200 * MS,
        claim_spacing: 50 * MS,
        heartbeat_interval: 500 * MS,
        check_interval: 1_000 * MS,
        check_timeout: 400 * MS,
    }
}

/// Says one thing to a voter and waits for what it answers.
fn call_voter(
    link: &mut TcpStream,
    number: u32,
    request: &Request,
    limits: &Limits,
) -> io::Result<Vec<Said>> {
    let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
    let body = rmp_serde::to_vec(request).map_err(|e| io::Error::other(e.to_string()))?;
    link.write_all(&rpc::encode_call(number, PEER_CALL_METHOD, &body))?;
    let (mut bytes, mut more) = (Vec::new(), [0; 4_096]);
    loop {
        match rpc::decode_response(&bytes, limits) {
            Ok((_, Some(body), _)) => return rmp_serde::from_slice(body).map_err(|e| bad(e.to_string())),
            Ok((_, None, _)) => return Err(io::ErrorKind::Unsupported.into()),
            Err(rpc::DecodeError::Invalid(why)) => return Err(bad(why.to_string())),
            Err(rpc::DecodeError::Incomplete) => match link.read(&mut more)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => bytes.extend_from_slice(&more[..n]),
            },
        }
    }
}

/// A member without clients: its office, with a connection to each voter, until it is over.
fn run_member(number: u32, voters: &[SocketAddr], begun: Instant, over: &AtomicBool) -> io::Result<()> {
    let now = || begun.elapsed().as_nanos() as Ns + 1;
    let limits = Limits::new(64, 64, 0, 0);
    let links = voters.iter().map(|at| {
        let link = TcpStream::connect(at)?;
        link.set_nodelay(true)?;
        Ok(link)
    });
    let mut links = links.collect::<io::Result<Vec<TcpStream>>>()?;
    let me = Member { number, incarnation: 1 };
    let mut office = Coordinator::new(me, coordination_config(), mix(number.into()), now());
    while !over.load(Ordering::Relaxed) {
        office.step(now());
        for act in office.take_actions() {
            let Action::Call { voter, call_id: number, messages: words } = act else { continue };
            let request = Request { from: me, messages: words };
            let said = call_voter(&mut links[voter as usize], number as u32 + 1, &request, &limits)?;
            office.on_replies(now(), voter, number, said);
        }
        let next = office.next_wakeup().saturating_sub(now()).clamp(MS, 100 * MS);
        thread::sleep(Duration::from_nanos(next));
    }
    Ok(())
}

fn is_assigner(at: SocketAddr) -> io::Result<bool> {
    let request = Request { from: Member::default(), messages: vec![Message::ShowStatus] };
    let said = call_member(at, &request, Duration::from_secs(2))?;
    let shown = said.into_iter().filter_map(|s| if let Said::Status(shown) = s { Some(shown) } else { None });
    Ok(shown.flat_map(|s| s.roles).any(|held| held.role == ASSIGNMENT_ROLE && held.own_lease.is_some()))
}

/// Parts of a core of a voter and of the one that deals, with so many members, the voters among them.
fn measure_voting(program: DirectorCommand, members: u32) -> io::Result<[f64; 2]> {
    let feed = serve_connections(move |link, over| serve_feed(link, over, QUIET))?;
    let voters = (0..VOTERS).map(|_| free_address()).collect::<io::Result<Vec<SocketAddr>>>()?;
    let duty = std::env::temp_dir().join(format!("slopes-duty-{}-{members}.scm", std::process::id()));
    let mut text = String::from("(duty (lease-ms . 1000) (beat-ms . 500) (probing . #f))\n");
    for (number, at) in voters.iter().enumerate() {
        text += &format!("(voter (number . {number}) (address . \"{at}\"))\n");
    }
    std::fs::write(&duty, text)?;
    let start = |(number, at): (usize, &SocketAddr)| {
        Director::start(
            program,
            feed.address,
            &[],
            Some(VoterSetup { number, address: *at, coordination_file: &duty }),
        )
    };
    let all = voters.iter().enumerate().map(start).collect::<io::Result<Vec<Director>>>()?;
    let (begun, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let threads: Vec<_> = (VOTERS..members)
        .map(|number| {
            let (voters, over) = (voters.clone(), Arc::clone(&over));
            thread::spawn(move || run_member(number, &voters, begun, &over))
        })
        .collect();
    // Twice the silence that is a death.
    thread::sleep(Duration::from_secs(11));
    let dealer = voters.iter().position(|at| is_assigner(*at).unwrap_or(false));
    let before = all.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let begun = Instant::now();
    thread::sleep(MEASUREMENT_SPAN);
    let after = all.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let span = begun.elapsed().as_secs_f64();
    over.store(true, Ordering::Relaxed);
    let lost = threads.into_iter().filter_map(|t| t.join().ok()?.err()).next();
    // What was written of it is read; a file that stays harms nobody.
    let _ = std::fs::remove_file(&duty);
    if let Some(e) = lost {
        return Err(io::Error::other(format!("a member of {members} lost a voter: {e}")));
    }
    let dealer = dealer.filter(|d| is_assigner(voters[*d]).unwrap_or(false));
    let dealer = dealer.ok_or_else(|| io::Error::other(format!("no steady dealer of {members}")))?;
    let cores: Vec<f64> = after.iter().zip(before).map(|(a, b)| (a - b) / span / 1e4).collect();
    let others = cores.iter().enumerate().filter(|(n, _)| *n != dealer).map(|(_, core)| *core);
    Ok([others.sum::<f64>() / f64::from(VOTERS - 1), cores[dealer]])
}

pub fn measure_voters(program: DirectorCommand) -> io::Result<Vec<Cost>> {
    let sizes = [13.0, 50.0, 100.0, 200.0, 400.0];
    let mut seen = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (members, seen) in sizes.iter().zip(&mut seen) {
            let [voter, dealer] = measure_voting(program, *members as u32)?;
            seen[0].push(voter);
            seen[1].push(dealer);
        }
    }
    let of = |n: usize| points(&sizes, seen.iter().map(|s| median(s[n].clone())));
    let what = ["a real director that votes, with sockets", "the one of them that deals, with sockets"];
    Ok(vec![
        cost("real-voter-time", what[0], "members", PERCENT_OF_CORE, of(0)),
        cost("real-dealer-time", what[1], "members", PERCENT_OF_CORE, of(1)),
    ])
}
