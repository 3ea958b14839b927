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

use crate::cost::{Cost, How, median, resident_of};
use crate::feed;
use crate::fit::Point;

/// Makes the command that starts a director: what `sablecross lab director` is.
pub type Program<'a> = &'a dyn Fn() -> Command;

const NODES: usize = 490;
const SETTLED: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(8);
const ROUNDS: usize = 3;
/// Seconds for which a purge binds.
const BINDS: f64 = 126.0;
const SAMPLE: &str = include_str!("../../../deploy/sample.json");

/// An address that was free a moment ago.
fn free() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

struct Director {
    child: Child,
    at: SocketAddr,
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
struct Votes<'a> {
    number: usize,
    at: SocketAddr,
    duty: &'a Path,
}

impl Director {
    fn start(
        program: Program,
        feed: SocketAddr,
        endpoints: &[Value],
        votes: Option<Votes>,
    ) -> io::Result<Director> {
        let at = match &votes {
            Some(votes) => votes.at,
            None => free()?,
        };
        let mut all: Value = serde_json::from_str(SAMPLE)?;
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
            command.env("SABLECROSS_DUTY", votes.duty);
        }
        let config = std::env::temp_dir().join(format!("slopes-{}-{}.json", std::process::id(), at.port()));
        std::fs::write(&config, all.to_string())?;
        command.env("NODE_CONFIG", &config);
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let director = Director { child, at, config };
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
    fn used(&self) -> io::Result<f64> {
        let mut sum = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            sum += text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
        }
        Ok(sum / 1e3)
    }

    /// Parts of a core, in percent, over a while.
    fn core(&self, span: Duration) -> io::Result<f64> {
        let (before, begun) = (self.used()?, Instant::now());
        thread::sleep(span);
        Ok((self.used()? - before) / begun.elapsed().as_secs_f64() / 1e4)
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
struct Told {
    first: u64,
    over: f64,
    rate: f64,
    batch: Duration,
    changes: bool,
}

const QUIET: Told =
    Told { first: 0, over: 0.0, rate: 0.0, batch: Duration::from_millis(100), changes: false };

struct Stand {
    at: SocketAddr,
    over: Arc<AtomicBool>,
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.at);
    }
}

/// Serves each connection by a thread of its own until it is dropped.
fn stand(
    serve: impl Fn(TcpStream, &AtomicBool) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<Stand> {
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
    Ok(Stand { at, over })
}

fn told(mut link: TcpStream, over: &AtomicBool, told: Told) -> io::Result<()> {
    link.set_nodelay(true)?;
    let mut asked = BufReader::new(link.try_clone()?);
    let mut line = String::new();
    while asked.read_line(&mut line)? > 2 {
        line.clear();
    }
    link.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let (now, mut n) = (unix_ms(), 2);
    let mut text = String::new();
    for at in 0..told.first {
        text += &feed::purge_at(n, now - ((told.first - at) as f64 / told.first as f64 * told.over) as u64);
        n += 1;
    }
    link.write_all(text.as_bytes())?;
    let (begun, mut said, mut alive) = (Instant::now(), 0u64, 0u64);
    while !over.load(Ordering::Relaxed) {
        let passed = begun.elapsed();
        text.clear();
        while (said as f64) < passed.as_secs_f64() * told.rate {
            text += &if told.changes { feed::change(n) } else { feed::purge_at(n, unix_ms()) };
            (n, said) = (n + 1, said + 1);
            if told.batch.is_zero() {
                link.write_all(text.as_bytes())?;
                text.clear();
            }
        }
        if passed.as_secs() > alive {
            alive = passed.as_secs();
            text += ": .\n\n";
        }
        link.write_all(text.as_bytes())?;
        thread::sleep(told.batch.max(Duration::from_millis(1)));
    }
    Ok(())
}

/// One director for each size, all at once, each with a feed of its own.
fn at_feeds(
    program: Program,
    sizes: &[f64],
    tells: impl Fn(f64) -> Told,
) -> io::Result<Vec<(Director, Stand)>> {
    let endpoints: Vec<Value> = (0..NODES).map(|n| feed::endpoint(n, "ready")).collect();
    let begin = |size: &f64| {
        let what = tells(*size);
        let feed = stand(move |link, over| told(link, over, what))?;
        Ok((Director::start(program, feed.at, &endpoints, None)?, feed))
    };
    sizes.iter().map(begin).collect()
}

fn points(sizes: &[f64], values: impl IntoIterator<Item = f64>) -> Vec<Point> {
    sizes.iter().zip(values).map(|(size, value)| Point { size: *size, value }).collect()
}

/// Processor time at each size, the median of some rounds.
fn core_at(program: Program, sizes: &[f64], tells: impl Fn(f64) -> Told) -> io::Result<Vec<Point>> {
    let all = at_feeds(program, sizes, tells)?;
    thread::sleep(SETTLED);
    let mut seen = vec![Vec::new(); sizes.len()];
    for _ in 0..ROUNDS {
        let before = all.iter().map(|(d, _)| d.used()).collect::<io::Result<Vec<f64>>>()?;
        let begun = Instant::now();
        thread::sleep(SPAN);
        for ((seen, before), (director, _)) in seen.iter_mut().zip(before).zip(&all) {
            seen.push((director.used()? - before) / begun.elapsed().as_secs_f64() / 1e4);
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
        "bytes" => How::Resident,
        "open" => How::Counted,
        _ => How::Timed,
    };
    Cost { name, what, over, unit, how, points: p }
}

const CORE: &str = "% of a core";

pub fn purge_rate(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [5.0, 20.0, 35.0, 100.0, 200.0, 350.0];
    let tells = |rate: f64| {
        let first = (rate * BINDS) as u64;
        Told { first, over: BINDS * 1e3, rate, batch: Duration::ZERO, changes: false }
    };
    let what = "a real director, 490 nodes listed, each purge told by itself, as many known as bind";
    Ok(vec![cost("real-purge-time", what, "purges a second", CORE, core_at(program, &sizes, tells)?)])
}

pub fn batch(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [1.0, 2.0, 5.0, 10.0, 20.0];
    let tells = |pieces: f64| {
        let batch = Duration::from_secs_f64(1.0 / pieces);
        Told { first: 4_400, over: BINDS * 1e3, rate: 35.0, batch, changes: false }
    };
    let what = "a real director, 490 nodes listed, 35 purges a second told in so many batches";
    Ok(vec![cost("real-batch-time", what, "batches a second", CORE, core_at(program, &sizes, tells)?)])
}

pub fn change_rate(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [0.25, 1.0, 5.0, 10.0, 25.0];
    let tells = |rate| Told { first: 0, over: 0.0, rate, batch: Duration::ZERO, changes: true };
    let what = "a real director, 490 nodes listed, one-line changes of which a quarter are parents";
    Ok(vec![cost("real-change-time", what, "changes a second", CORE, core_at(program, &sizes, tells)?)])
}

/// Waits until a director rests: milliseconds of processor time that it has had since its start, and its
/// memory.
fn at_rest(director: &Director) -> io::Result<(f64, f64)> {
    let mut last = 0.0;
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(500));
        let used = director.used()?;
        if used - last < 2_000.0 {
            break;
        }
        last = used;
    }
    let memory = resident_of(&director.child.id().to_string()).unwrap_or(f64::NAN);
    Ok((director.used()? / 1e3, memory))
}

/// The middle of some rounds in which all sizes take turns.
fn rests(sizes: &[f64], begin: impl Fn(f64) -> io::Result<(Director, Stand)>) -> io::Result<[Vec<Point>; 2]> {
    let mut seen = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (size, seen) in sizes.iter().zip(&mut seen) {
            let (director, _feed) = begin(*size)?;
            let (time, memory) = at_rest(&director)?;
            seen[0].push(time);
            seen[1].push(memory);
        }
    }
    Ok([0, 1].map(|n| points(sizes, seen.iter().map(|s| median(s[n].clone())))))
}

/// Purges of the last hour, told at once to a director that begins.
pub fn told_at_once(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [1_000.0, 4_400.0, 20_000.0, 60_000.0, 126_000.0];
    let begin = |first: f64| {
        let tells = |_| Told { first: first as u64, over: first / 35.0 * 1e3, ..QUIET };
        at_feeds(program, &[first], tells).map(|mut all| all.remove(0))
    };
    let [time, memory] = rests(&sizes, begin)?;
    let what = "a real director's start with 490 nodes listed, so many purges of the last hour told at once";
    Ok(vec![
        cost("real-told-time", what, "purges", "ms of a core", time),
        cost("real-told-memory", what, "purges", "bytes", memory),
    ])
}

pub fn starts(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [20.0, 50.0, 100.0, 200.0, 350.0, 490.0];
    let begin = |nodes: f64| {
        let feed = stand(move |link, over| told(link, over, QUIET))?;
        let endpoints: Vec<Value> = (0..nodes as usize).map(|n| feed::endpoint(n, "ready")).collect();
        Ok((Director::start(program, feed.at, &endpoints, None)?, feed))
    };
    let [time, memory] = rests(&sizes, begin)?;
    let what = "a real director's start, with the whole list in its configuration";
    Ok(vec![
        cost("real-start-time", what, "nodes", "ms of a core", time),
        cost("real-start-memory", what, "nodes", "bytes", memory),
    ])
}

// ---- lookups ----

/// A node that has all there is, and answers at once with a body of this length.
fn node(mut link: TcpStream, over: &AtomicBool, length: usize) -> io::Result<()> {
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
struct Clients {
    over: Arc<AtomicBool>,
    satisfied: Arc<AtomicU64>,
    others: Arc<AtomicU64>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

impl Clients {
    fn start(at: SocketAddr, rate: f64) -> io::Result<Clients> {
        let clients = Clients { over: Arc::default(), satisfied: Arc::default(), others: Arc::default() };
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
            let over = Arc::clone(&clients.over);
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
struct Served {
    core: f64,
    satisfied: f64,
    memory: f64,
    descriptors: f64,
}

fn served(program: Program, rate: f64, length: usize) -> io::Result<Served> {
    let node = stand(move |link, over| node(link, over, length))?;
    let feed = stand(move |link, over| told(link, over, QUIET))?;
    // The own zone's caches, some parents, the origin: all of them the one stand-in.
    let mut endpoints: Vec<Value> = (245..253).map(|n| feed::endpoint(n, "ready")).collect();
    endpoints.push(feed::endpoint(254, "ready"));
    for (n, e) in endpoints.iter_mut().enumerate() {
        let kind = match n {
            8 => "origin",
            0 | 4 => "parent",
            _ => "small",
        };
        (e["address"], e["zone"], e["type"]) = (json!(node.at), json!("zone-32"), json!(kind));
    }
    let director = Director::start(program, feed.at, &endpoints, None)?;
    let clients = Clients::start(director.at, rate)?;
    thread::sleep(SETTLED);
    let count = || [&clients.satisfied, &clients.others].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, begun) = (count(), Instant::now());
    let core = director.core(SPAN)?;
    let (after, passed) = (count(), begun.elapsed().as_secs_f64());
    let [satisfied, others] = [0, 1].map(|n| (after[n] - before[n]) / passed);
    // Another figure than that of lookups served would be told under this name.
    if satisfied < 0.98 * rate || others > 0.02 * rate {
        let what = format!("of {rate} lookups a second {satisfied:.0} satisfied, {others:.0} not");
        return Err(io::Error::other(what));
    }
    Ok(Served {
        core,
        satisfied,
        memory: resident_of(&director.child.id().to_string()).unwrap_or(f64::NAN),
        descriptors: director.descriptors()? as f64,
    })
}

pub fn lookups(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [100.0, 300.0, 526.0, 1_000.0, 1_800.0, 2_630.0];
    let all = sizes.iter().map(|rate| served(program, *rate, 256)).collect::<io::Result<Vec<_>>>()?;
    let over = "lookups a second";
    let of = |value: fn(&Served) -> f64| points(&sizes, all.iter().map(value));
    Ok(vec![
        cost("real-lookup-time", "a real director, bodies of 256 bytes", over, CORE, of(|s| s.core)),
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

const FEW: f64 = 100.0;

pub fn bodies(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [1.0, 16.0, 64.0, 128.0, 234.0];
    let all = sizes.iter().map(|kb| served(program, FEW, (kb * 1024.0) as usize));
    let all = all.collect::<io::Result<Vec<_>>>()?;
    let value = all.iter().map(|s| s.core * 1e4 / s.satisfied);
    let what = "a real director's time for one lookup, at 100 a second";
    Ok(vec![cost("real-body-time", what, "KB a body", "us", points(&sizes, value))])
}

// ---- voters ----

const VOTERS: u32 = 5;
const MS: Ns = 1_000_000;

/// As the file of the duties has it.
fn terms() -> CoordinationConfig {
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
fn exchange(link: &mut TcpStream, number: u32, request: &Request, limits: &Limits) -> io::Result<Vec<Said>> {
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
fn member(number: u32, voters: &[SocketAddr], begun: Instant, over: &AtomicBool) -> io::Result<()> {
    let now = || begun.elapsed().as_nanos() as Ns + 1;
    let limits = Limits::new(64, 64, 0, 0);
    let links = voters.iter().map(|at| {
        let link = TcpStream::connect(at)?;
        link.set_nodelay(true)?;
        Ok(link)
    });
    let mut links = links.collect::<io::Result<Vec<TcpStream>>>()?;
    let me = Member { number, incarnation: 1 };
    let mut office = Coordinator::new(me, terms(), mix(number.into()), now());
    while !over.load(Ordering::Relaxed) {
        office.step(now());
        for act in office.take_actions() {
            let Action::Call { voter, call_id: number, messages: words } = act else { continue };
            let request = Request { from: me, messages: words };
            let said = exchange(&mut links[voter as usize], number as u32 + 1, &request, &limits)?;
            office.on_replies(now(), voter, number, said);
        }
        let next = office.next_wakeup().saturating_sub(now()).clamp(MS, 100 * MS);
        thread::sleep(Duration::from_nanos(next));
    }
    Ok(())
}

fn deals(at: SocketAddr) -> io::Result<bool> {
    let request = Request { from: Member::default(), messages: vec![Message::ShowStatus] };
    let said = call_member(at, &request, Duration::from_secs(2))?;
    let shown = said.into_iter().filter_map(|s| if let Said::Status(shown) = s { Some(shown) } else { None });
    Ok(shown.flat_map(|s| s.roles).any(|held| held.role == ASSIGNMENT_ROLE && held.own_lease.is_some()))
}

/// Parts of a core of a voter and of the one that deals, with so many members, the voters among them.
fn voting(program: Program, members: u32) -> io::Result<[f64; 2]> {
    let feed = stand(move |link, over| told(link, over, QUIET))?;
    let voters = (0..VOTERS).map(|_| free()).collect::<io::Result<Vec<SocketAddr>>>()?;
    let duty = std::env::temp_dir().join(format!("slopes-duty-{}-{members}.scm", std::process::id()));
    let mut text = String::from("(duty (lease-ms . 1000) (beat-ms . 500) (probing . #f))\n");
    for (number, at) in voters.iter().enumerate() {
        text += &format!("(voter (number . {number}) (address . \"{at}\"))\n");
    }
    std::fs::write(&duty, text)?;
    let start = |(number, at): (usize, &SocketAddr)| {
        Director::start(program, feed.at, &[], Some(Votes { number, at: *at, duty: &duty }))
    };
    let all = voters.iter().enumerate().map(start).collect::<io::Result<Vec<Director>>>()?;
    let (begun, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let threads: Vec<_> = (VOTERS..members)
        .map(|number| {
            let (voters, over) = (voters.clone(), Arc::clone(&over));
            thread::spawn(move || member(number, &voters, begun, &over))
        })
        .collect();
    // Twice the silence that is a death.
    thread::sleep(Duration::from_secs(11));
    let dealer = voters.iter().position(|at| deals(*at).unwrap_or(false));
    let before = all.iter().map(Director::used).collect::<io::Result<Vec<f64>>>()?;
    let begun = Instant::now();
    thread::sleep(SPAN);
    let after = all.iter().map(Director::used).collect::<io::Result<Vec<f64>>>()?;
    let span = begun.elapsed().as_secs_f64();
    over.store(true, Ordering::Relaxed);
    let lost = threads.into_iter().filter_map(|t| t.join().ok()?.err()).next();
    // What was written of it is read; a file that stays harms nobody.
    let _ = std::fs::remove_file(&duty);
    if let Some(e) = lost {
        return Err(io::Error::other(format!("a member of {members} lost a voter: {e}")));
    }
    let dealer = dealer.filter(|d| deals(voters[*d]).unwrap_or(false));
    let dealer = dealer.ok_or_else(|| io::Error::other(format!("no steady dealer of {members}")))?;
    let cores: Vec<f64> = after.iter().zip(before).map(|(a, b)| (a - b) / span / 1e4).collect();
    let others = cores.iter().enumerate().filter(|(n, _)| *n != dealer).map(|(_, core)| *core);
    Ok([others.sum::<f64>() / f64::from(VOTERS - 1), cores[dealer]])
}

pub fn voters(program: Program) -> io::Result<Vec<Cost>> {
    let sizes = [13.0, 50.0, 100.0, 200.0, 400.0];
    let mut seen = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (members, seen) in sizes.iter().zip(&mut seen) {
            let [voter, dealer] = voting(program, *members as u32)?;
            seen[0].push(voter);
            seen[1].push(dealer);
        }
    }
    let of = |n: usize| points(&sizes, seen.iter().map(|s| median(s[n].clone())));
    let what = ["a real director that votes, with sockets", "the one of them that deals, with sockets"];
    Ok(vec![
        cost("real-voter-time", what[0], "members", CORE, of(0)),
        cost("real-dealer-time", what[1], "members", CORE, of(1)),
    ])
}
