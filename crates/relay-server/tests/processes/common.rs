//! Relays as processes, subscribers that follow them by the product's own code, faults between them.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::{Pid, Signal, kill_process};
use sablecross_discovery::{EventCursor, EventStreamParser, EventVerdict, FeedSelector, StreamItem};
use sablecross_relay::{RelayRole, RelayStatus};
use sablecross_relay_server::peer_client::PeerClient;
use sablecross_relay_server::publisher::{PublishCallError, Publisher};
use sablecross_relay_server::settings::MemberForm;
use socket2::{Domain, Socket, Type};
use tempfile::TempDir;

pub(crate) const TIMEOUT: Duration = Duration::from_secs(12);

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Waits for a condition; false if it does not come about in time.
pub(crate) fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if begun.elapsed() > timeout {
            return false;
        }
        sleep(ms(20));
    }
    true
}

pub(crate) const LIST: &str = r#"{"members":{"index":1,"snapshot":true,"endpoints":[{"name":"n","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"ready","weight":1,"since_ms":0}]}}"#;

pub(crate) fn purge(key: u64) -> String {
    format!(r#"{{"purge":{{"key":"{key:016x}","at":{}}}}}"#, unix_ms())
}

/// A list event of about so many bytes.
pub(crate) fn large(bytes: usize, index: u64) -> String {
    let one = |i| {
        format!(
            r#"{{"name":"n{index}-{i}","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"gone","weight":1,"since_ms":0}}"#
        )
    };
    let all: Vec<String> = (0..bytes / 110).map(one).collect();
    format!(r#"{{"members":{{"index":{index},"snapshot":false,"endpoints":[{}]}}}}"#, all.join(","))
}

/// A link between two relays that can be held: what is on it stays on it.
#[derive(Clone, Default)]
pub(crate) struct LinkHold {
    pub(crate) to: Arc<AtomicBool>,
    pub(crate) from: Arc<AtomicBool>,
}

fn pump(mut from: TcpStream, mut to: TcpStream, holds: Arc<AtomicBool>) {
    let mut bytes = [0; 8_192];
    while let Ok(n) = from.read(&mut bytes) {
        while holds.load(Ordering::Relaxed) {
            sleep(ms(10));
        }
        if n == 0 || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

pub(crate) fn proxy(at: SocketAddr, target: SocketAddr) -> LinkHold {
    let listener = TcpListener::bind(at).expect("a proxy's address");
    let holds = LinkHold::default();
    let own = holds.clone();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let own = own.clone();
            spawn(move || {
                let Ok(on) = TcpStream::connect_timeout(&target, ms(500)) else { return };
                let (a, b) = (stream.try_clone().expect("a clone"), on.try_clone().expect("a clone"));
                let to = own.to.clone();
                spawn(move || pump(a, b, to));
                pump(on, stream, own.from);
            });
        }
    });
    holds
}

/// Settings that make tests short.
const FAST: [(&str, u64); 9] = [
    ("batch-ms", 20),
    ("ack-ms", 400),
    ("missed-ms", 2_000),
    ("lease-ms", 600),
    ("round-ms", 150),
    ("apart-ms", 30),
    ("stale-ms", 1_000),
    ("anew-ms", 3_000),
    ("connections", 1_000),
];

/// Relays on addresses of their own, so that tests beside one another never meet.
pub(crate) struct RelayFleet {
    dir: TempDir,
    block: [u8; 2],
    voters: u32,
    count: u32,
    keys: String,
    /// Between this one and that one, where a link is held.
    links: BTreeMap<(u32, u32), SocketAddr>,
    children: BTreeMap<u32, Child>,
}

impl RelayFleet {
    /// `test`: a number of the test's own.
    pub(crate) fn new(test: u8, voters: u32, plain: u32, keys: &str) -> RelayFleet {
        let block = [100 + test, (std::process::id() % 251) as u8];
        let dir = TempDir::new().expect("a folder");
        let (links, children) = (BTreeMap::new(), BTreeMap::new());
        RelayFleet { dir, block, voters, count: voters + plain, keys: keys.into(), links, children }
    }

    pub(crate) fn start(test: u8, voters: u32, plain: u32, keys: &str) -> RelayFleet {
        let mut fleet = RelayFleet::new(test, voters, plain, keys);
        (0..fleet.count).for_each(|n| fleet.start_relay(n));
        fleet
    }

    pub(crate) fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block[0], self.block[1], last).into()
    }

    pub(crate) fn at(&self, relay: u32) -> SocketAddr {
        (self.ip(200 + relay as u8), 7_070).into()
    }

    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        (0..self.count).map(|n| self.at(n)).collect()
    }

    /// An outside control feed for all; to be set before they begin.
    pub(crate) fn upstream(&mut self, at: SocketAddr) {
        self.keys += &format!(") (upstream (address . \"{at}\")");
    }

    /// A further listening address of the only relay, that of the subscriber of this name.
    pub(crate) fn listens(&mut self, name: &str, at: SocketAddr) {
        self.keys += &format!(") (reader (name . \"{name}\") (address . \"{at}\")");
    }

    /// What one sends another goes by a link that can be held; to be set before it starts.
    pub(crate) fn link(&mut self, from: u32, to: u32) -> LinkHold {
        let at = (self.ip(220 + from as u8), 8_000 + to as u16).into();
        self.links.insert((from, to), at);
        proxy(at, self.at(to))
    }

    pub(crate) fn start_relay(&mut self, relay: u32) {
        let mut text = format!("(relay (number . {relay}) (listen . \"{}\")", self.at(relay));
        for (key, value) in FAST {
            // What the test sets itself goes before it.
            if !self.keys.contains(&format!("({key} ")) {
                text += &format!(" ({key} . {value})");
            }
        }
        text += &format!(" {})\n", self.keys);
        for m in 0..self.count {
            let at = self.links.get(&(relay, m)).copied().unwrap_or(self.at(m));
            let votes = if m < self.voters { "#t" } else { "#f" };
            text += &format!("(member (number . {m}) (address . \"{at}\") (votes . {votes}))\n");
        }
        let file = self.dir.path().join(format!("{relay}.scm"));
        std::fs::write(&file, text).expect("a settings file");
        let log = std::fs::File::options().create(true).append(true).open(self.log_file(relay));
        let child = Command::new(env!("CARGO_BIN_EXE_test-relay"))
            .arg(&file)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log.expect("a log"))
            .spawn();
        self.children.insert(relay, child.expect("a relay"));
        let up = wait_until(TIMEOUT, || TcpStream::connect(self.at(relay)).is_ok());
        assert!(up, "relay {relay} does not serve: {}", self.log(relay));
    }

    fn log_file(&self, relay: u32) -> std::path::PathBuf {
        self.dir.path().join(format!("{relay}.log"))
    }

    pub(crate) fn log(&self, relay: u32) -> String {
        std::fs::read_to_string(self.log_file(relay)).unwrap_or_default()
    }

    pub(crate) fn logs(&self) -> String {
        (0..self.count).map(|n| format!("--- relay {n}\n{}", self.log(n))).collect()
    }

    pub(crate) fn pid(&self, relay: u32) -> u32 {
        self.children[&relay].id()
    }

    fn signal(&self, relay: u32, signal: Signal) {
        let pid = Pid::from_child(&self.children[&relay]);
        kill_process(pid, signal).expect("a signal");
    }

    pub(crate) fn kill(&mut self, relay: u32) {
        let mut child = self.children.remove(&relay).expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("it ends");
    }

    pub(crate) fn stop(&self, relay: u32) {
        self.signal(relay, Signal::STOP);
    }

    pub(crate) fn resume(&self, relay: u32) {
        self.signal(relay, Signal::CONT);
    }

    /// SIGTERM, and how it ended.
    pub(crate) fn terminate(&mut self, relay: u32) -> Option<i32> {
        self.signal(relay, Signal::TERM);
        let mut child = self.children.remove(&relay).expect("it runs");
        child.wait().expect("it ends").code()
    }

    pub(crate) fn status(&self, relay: u32) -> Option<RelayStatus> {
        let mut client = PeerClient::new(self.at(relay), ms(1_000), 1 << 24);
        let response = client.request("GET", "/v1/status", "", b"").ok()?;
        assert_eq!(response.code, 200);
        Some(serde_json::from_slice(&response.body).expect("a status"))
    }

    /// The leader, once there is one beside those that are left out.
    pub(crate) fn leader_except(&self, excluded: &[u32]) -> u32 {
        let mut leader = None;
        let found = wait_until(TIMEOUT, || {
            let is_leader = |n: &u32| self.status(*n).is_some_and(|s| s.role == RelayRole::Leader);
            leader = (0..self.voters)
                .filter(|n| !excluded.contains(n) && self.children.contains_key(n))
                .find(is_leader);
            leader.is_some()
        });
        assert!(found, "there is no leader: {}", self.logs());
        leader.expect("found")
    }

    pub(crate) fn leader(&self) -> u32 {
        self.leader_except(&[])
    }

    pub(crate) fn publisher(&self) -> Publisher {
        let voter = |n| MemberForm { number: n, address: self.at(n), votes: true };
        Publisher::new(&(0..self.voters).map(voter).collect::<Vec<_>>())
    }

    /// The list, as the first event of all.
    pub(crate) fn publish_list(&self) -> Published {
        let mut published = Published::default();
        published.publish(&mut self.publisher(), "list", LIST);
        published
    }

    pub(crate) fn subscriber(&self, name: u8, home: u32) -> Subscriber {
        Subscriber::start(self.ip(name), self.at(home), &self.all())
    }

    /// So many subscribers, spread over all relays.
    pub(crate) fn subscribers(&self, many: u8) -> Vec<Subscriber> {
        (0..many).map(|i| self.subscriber(i + 1, u32::from(i) % self.count)).collect()
    }
}

impl Drop for RelayFleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Events that were accepted, by their numbers.
#[derive(Default)]
pub(crate) struct Published(pub(crate) BTreeMap<u64, String>);

impl Published {
    pub(crate) fn publish(&mut self, publisher: &mut Publisher, key: &str, event: &str) -> u64 {
        let n = publisher.publish(key, event.as_bytes(), TIMEOUT).unwrap_or_else(|e| panic!("{key}: {e}"));
        let before = self.0.insert(n, event.into());
        assert_eq!(before, None, "number {n} was given twice");
        n
    }
}

/// Publishes purges one after another until it is stopped.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Published>,
}

impl Load {
    pub(crate) fn start(mut publisher: Publisher, name: u64, pause: Duration) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = spawn(move || {
            let mut published = Published::default();
            for i in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    break;
                }
                published.publish(&mut publisher, &format!("{name}-{i}"), &purge(name << 32 | i));
                sleep(pause);
            }
            published
        });
        Load { stop, thread }
    }

    pub(crate) fn finish(self) -> Published {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("all is published")
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    /// In the order in which they were applied.
    pub(crate) events: Vec<(u64, String)>,
    pub(crate) calls: u64,
    pub(crate) failed: u64,
    pub(crate) resubscribed: u64,
    pub(crate) skipped: u64,
}

impl Received {
    pub(crate) fn last(&self) -> u64 {
        self.events.last().map_or(0, |(n, _)| *n)
    }
}

/// Follows feeds, as a director does: by `sablecross_discovery`.
pub(crate) struct Subscriber {
    pub(crate) got: Arc<Mutex<Received>>,
    stop: Arc<AtomicBool>,
    /// While it is set, it calls nobody.
    pub(crate) away: Arc<AtomicBool>,
}

impl Drop for Subscriber {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

pub(crate) fn connect_from(from: IpAddr, at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&at.into(), ms(1_000))?;
    Ok(socket.into())
}

impl Subscriber {
    pub(crate) fn start(name: IpAddr, home: SocketAddr, all: &[SocketAddr]) -> Subscriber {
        let subscriber = Subscriber { got: Arc::default(), stop: Arc::default(), away: Arc::default() };
        let (got, stop, away) = (subscriber.got.clone(), subscriber.stop.clone(), subscriber.away.clone());
        let (mut feeds, mut cursor) =
            (FeedSelector::new(&name.to_string(), home, all), EventCursor::after_number(0));
        spawn(move || {
            let begun = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                if away.load(Ordering::Relaxed) {
                    sleep(ms(10));
                    continue;
                }
                let (since, before) = (Instant::now(), cursor.last_number());
                match follow(name, &mut feeds, &mut cursor, &got, &away, &stop) {
                    Ok(()) => feeds.on_stream_ended(begun.elapsed()),
                    Err(_) => {
                        got.lock().expect("a lock").failed += 1;
                        feeds.on_failed(begun.elapsed());
                    }
                }
                if cursor.last_number() == before && since.elapsed() < ms(100) {
                    sleep(ms(100));
                }
            }
        });
        subscriber
    }

    pub(crate) fn last(&self) -> u64 {
        self.got.lock().expect("a lock").last()
    }

    pub(crate) fn got(&self) -> Received {
        self.got.lock().expect("a lock").clone()
    }

    pub(crate) fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
    }
}

fn number(data: &str) -> Result<(u64, String), String> {
    let value: serde_json::Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
    Ok((value["n"].as_u64().ok_or("no number")?, data.to_owned()))
}

fn follow(
    name: IpAddr,
    feeds: &mut FeedSelector,
    cursor: &mut EventCursor,
    got: &Mutex<Received>,
    away: &AtomicBool,
    stop: &AtomicBool,
) -> Result<(), String> {
    let at = feeds.current();
    let stream = connect_from(name, at).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(ms(20))).map_err(|e| e.to_string())?;
    (&stream)
        .write_all(sablecross_discovery::events_request(at, cursor.last_number()).as_bytes())
        .map_err(|e| e.to_string())?;
    got.lock().expect("a lock").calls += 1;
    let (mut parser, mut bytes, mut last_read) =
        (EventStreamParser::new(1 << 22), [0; 8_192], Instant::now());
    while !away.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
        match (&stream).read(&mut bytes) {
            Ok(0) => return parser.finish().map_err(|e| e.to_string()),
            Ok(n) => {
                last_read = Instant::now();
                parser.push(&bytes[..n]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if last_read.elapsed() > ms(2_000) {
                    return Err("silent".into());
                }
            }
            Err(e) => return Err(e.to_string()),
        }
        while let Some(item) = parser.next_item().map_err(|e| e.to_string())? {
            match item {
                StreamItem::Connected => feeds.on_connected(),
                StreamItem::Comment(_) => {}
                StreamItem::Event { id, data } => {
                    let mut got = got.lock().expect("a lock");
                    match cursor.classify(id, number(&data)) {
                        EventVerdict::New(_) => got.events.push((cursor.last_number(), data)),
                        EventVerdict::Duplicate => {}
                        EventVerdict::Resubscribe(reason) => {
                            got.resubscribed += 1;
                            return Err(reason.to_string());
                        }
                        EventVerdict::Skip { .. } => got.skipped += 1,
                    }
                }
            }
        }
    }
    Ok(())
}

/// All subscribers reach the last number, then each has every published event from the list on, in order, once and as it
/// was published, and nobody has under a number what another does not.
pub(crate) fn assert_complete(subscribers: &[Subscriber], published: &Published, fleet: &RelayFleet) {
    let last = *published.0.keys().last().expect("something was published");
    let have_all = wait_until(TIMEOUT, || subscribers.iter().all(|r| r.last() >= last));
    let at: Vec<u64> = subscribers.iter().map(Subscriber::last).collect();
    assert!(have_all, "of {last} subscribers have {at:?}\n{}", fleet.logs());
    let mut known: BTreeMap<u64, String> = BTreeMap::new();
    for (i, subscriber) in subscribers.iter().enumerate() {
        let got = subscriber.got();
        assert_eq!(got.skipped, 0, "subscriber {i} skipped events");
        let numbers: Vec<u64> = got.events.iter().map(|(n, _)| *n).collect();
        assert!(
            numbers.windows(2).all(|w| w[1] == w[0] + 1),
            "subscriber {i}: {:?}\n{}",
            numbers.windows(2).find(|w| w[1] != w[0] + 1),
            fleet.logs()
        );
        let of: BTreeMap<u64, &String> = got.events.iter().map(|(n, e)| (*n, e)).collect();
        for (n, event) in &published.0 {
            let received = of.get(n).unwrap_or_else(|| panic!("subscriber {i} misses {n}\n{}", fleet.logs()));
            assert_eq!(**received, format!("{{\"n\":{n},{}", &event[1..]), "subscriber {i}");
        }
        for (n, event) in got.events {
            let first = known.entry(n).or_insert_with(|| event.clone());
            assert_eq!(*first, event, "subscriber {i} has another event under {n}");
        }
    }
}

/// Whether a voter rejects an event as one that is not the leader, or not any more.
pub(crate) fn rejects(fleet: &RelayFleet, relay: u32, event: &str) -> bool {
    let member = MemberForm { number: relay, address: fleet.at(relay), votes: true };
    let result = Publisher::new(&[member]).publish("once", event.as_bytes(), Duration::ZERO);
    matches!(result, Err(PublishCallError::TimedOut { .. }))
}
