//! Helpers for the tests: relays as processes, subscribers that use the director's feed code, and links that can be
//! paused.

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

/// Waits for a condition. Returns false if it does not hold within `timeout`.
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

pub(crate) const LIST_EVENT: &str = r#"{"members":{"index":1,"snapshot":true,"endpoints":[{"name":"n","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"ready","weight":1,"since_ms":0}]}}"#;

pub(crate) fn purge_event(key: u64) -> String {
    format!(r#"{{"purge":{{"key":"{key:016x}","at":{}}}}}"#, unix_ms())
}

/// Returns a list event of about this many bytes.
pub(crate) fn large_list_event(bytes: usize, index: u64) -> String {
    let one = |i| {
        format!(
            r#"{{"name":"n{index}-{i}","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"gone","weight":1,"since_ms":0}}"#
        )
    };
    let all: Vec<String> = (0..bytes / 110).map(one).collect();
    format!(r#"{{"members":{{"index":{index},"snapshot":false,"endpoints":[{}]}}}}"#, all.join(","))
}

/// Pauses a link between two relays, per direction: bytes in transit are kept and delivered when it resumes.
#[derive(Clone, Default)]
pub(crate) struct LinkPause {
    pub(crate) to_target: Arc<AtomicBool>,
    pub(crate) from_target: Arc<AtomicBool>,
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, pause: Arc<AtomicBool>) {
    let mut bytes = [0; 8_192];
    while let Ok(n) = from.read(&mut bytes) {
        while pause.load(Ordering::Relaxed) {
            sleep(ms(10));
        }
        if n == 0 || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

pub(crate) fn start_proxy(at: SocketAddr, target: SocketAddr) -> LinkPause {
    let listener = TcpListener::bind(at).expect("the proxy's address");
    let pause = LinkPause::default();
    let own = pause.clone();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let own = own.clone();
            spawn(move || {
                let Ok(on) = TcpStream::connect_timeout(&target, ms(500)) else { return };
                let (a, b) = (stream.try_clone().expect("a clone"), on.try_clone().expect("a clone"));
                let to = own.to_target.clone();
                spawn(move || copy_bytes(a, b, to));
                copy_bytes(on, stream, own.from_target);
            });
        }
    });
    pause
}

/// Settings with short times, so that tests are fast.
const FAST_SETTINGS: [(&str, u64); 9] = [
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

/// Relays on loopback addresses of their own, so that parallel tests don't interfere.
pub(crate) struct RelayFleet {
    dir: TempDir,
    address_block: [u8; 2],
    voters: u32,
    count: u32,
    /// Further settings of each relay. The last form in this text is not closed; `start_relay` closes it.
    keys: String,
    /// Addresses of the proxies, by the calling relay and the called one.
    links: BTreeMap<(u32, u32), SocketAddr>,
    children: BTreeMap<u32, Child>,
}

impl RelayFleet {
    /// `test` is a unique number of the test, which selects its address block. `keys` holds settings of the relay form
    /// that all relays have.
    pub(crate) fn new(test: u8, voters: u32, plain: u32, keys: &str) -> RelayFleet {
        let address_block = [100 + test, (std::process::id() % 251) as u8];
        let dir = TempDir::new().expect("a folder");
        let (links, children) = (BTreeMap::new(), BTreeMap::new());
        RelayFleet { dir, address_block, voters, count: voters + plain, keys: keys.into(), links, children }
    }

    pub(crate) fn start(test: u8, voters: u32, plain: u32, keys: &str) -> RelayFleet {
        let mut fleet = RelayFleet::new(test, voters, plain, keys);
        (0..fleet.count).for_each(|n| fleet.start_relay(n));
        fleet
    }

    pub(crate) fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.address_block[0], self.address_block[1], last).into()
    }

    pub(crate) fn address(&self, relay: u32) -> SocketAddr {
        (self.ip(200 + relay as u8), 7_070).into()
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.count).map(|n| self.address(n)).collect()
    }

    /// Adds an external control feed to the settings of all relays. Must be called before they start.
    pub(crate) fn add_upstream(&mut self, at: SocketAddr) {
        self.keys += &format!(") (upstream (address . \"{at}\")");
    }

    /// Adds a listening address for the subscriber of this name. Must be called before the relay starts.
    pub(crate) fn add_reader(&mut self, name: &str, at: SocketAddr) {
        self.keys += &format!(") (reader (name . \"{name}\") (address . \"{at}\")");
    }

    /// Routes connections of one relay to another through a proxy that can be paused. Must be called before the relay
    /// `from` starts.
    pub(crate) fn add_link(&mut self, from: u32, to: u32) -> LinkPause {
        let at = (self.ip(220 + from as u8), 8_000 + to as u16).into();
        self.links.insert((from, to), at);
        start_proxy(at, self.address(to))
    }

    pub(crate) fn start_relay(&mut self, relay: u32) {
        let mut text = format!("(relay (number . {relay}) (listen . \"{}\")", self.address(relay));
        for (key, value) in FAST_SETTINGS {
            // Settings of the test itself take precedence.
            if !self.keys.contains(&format!("({key} ")) {
                text += &format!(" ({key} . {value})");
            }
        }
        text += &format!(" {})\n", self.keys);
        for m in 0..self.count {
            let at = self.links.get(&(relay, m)).copied().unwrap_or(self.address(m));
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
        let up = wait_until(TIMEOUT, || TcpStream::connect(self.address(relay)).is_ok());
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

    pub(crate) fn suspend(&self, relay: u32) {
        self.signal(relay, Signal::STOP);
    }

    pub(crate) fn resume(&self, relay: u32) {
        self.signal(relay, Signal::CONT);
    }

    /// Sends SIGTERM, waits for the process and returns its exit code.
    pub(crate) fn terminate(&mut self, relay: u32) -> Option<i32> {
        self.signal(relay, Signal::TERM);
        let mut child = self.children.remove(&relay).expect("it runs");
        child.wait().expect("it ends").code()
    }

    pub(crate) fn status(&self, relay: u32) -> Option<RelayStatus> {
        let mut client = PeerClient::new(self.address(relay), ms(1_000), 1 << 24);
        let response = client.request("GET", "/v1/status", "", b"").ok()?;
        assert_eq!(response.code, 200);
        Some(serde_json::from_slice(&response.body).expect("a status"))
    }

    /// Waits until one of the voters that are not excluded is the leader, and returns its number.
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
        let voter = |n| MemberForm { number: n, address: self.address(n), votes: true };
        Publisher::new(&(0..self.voters).map(voter).collect::<Vec<_>>())
    }

    /// Publishes the complete list as the first event.
    pub(crate) fn publish_list(&self) -> Published {
        let mut published = Published::default();
        published.publish(&mut self.publisher(), "list", LIST_EVENT);
        published
    }

    pub(crate) fn subscriber(&self, name: u8, home: u32) -> Subscriber {
        Subscriber::start(self.ip(name), self.address(home), &self.addresses())
    }

    /// Starts this many subscribers, spread over all relays.
    pub(crate) fn subscribers(&self, count: u8) -> Vec<Subscriber> {
        (0..count).map(|i| self.subscriber(i + 1, u32::from(i) % self.count)).collect()
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

/// Events that were accepted, by number.
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

/// Publishes purges in a thread until it is stopped.
pub(crate) struct PurgeLoad {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Published>,
}

impl PurgeLoad {
    pub(crate) fn start(mut publisher: Publisher, name: u64, pause: Duration) -> PurgeLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = spawn(move || {
            let mut published = Published::default();
            for i in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    break;
                }
                published.publish(&mut publisher, &format!("{name}-{i}"), &purge_event(name << 32 | i));
                sleep(pause);
            }
            published
        });
        PurgeLoad { stop, thread }
    }

    pub(crate) fn finish(self) -> Published {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("all is published")
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    /// Numbers and bodies, in the order in which they were applied.
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

/// Follows feeds with `sablecross_discovery`, as a director does.
pub(crate) struct Subscriber {
    pub(crate) received: Arc<Mutex<Received>>,
    stop: Arc<AtomicBool>,
    /// While this is set, the subscriber has no connection.
    pub(crate) disconnected: Arc<AtomicBool>,
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
        let subscriber =
            Subscriber { received: Arc::default(), stop: Arc::default(), disconnected: Arc::default() };
        let (received, stop, disconnected) =
            (subscriber.received.clone(), subscriber.stop.clone(), subscriber.disconnected.clone());
        let (mut feeds, mut cursor) =
            (FeedSelector::new(&name.to_string(), home, all), EventCursor::after_number(0));
        spawn(move || {
            let begun = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                if disconnected.load(Ordering::Relaxed) {
                    sleep(ms(10));
                    continue;
                }
                let (since, before) = (Instant::now(), cursor.last_number());
                match follow(name, &mut feeds, &mut cursor, &received, &disconnected, &stop) {
                    Ok(()) => feeds.on_stream_ended(begun.elapsed()),
                    Err(_) => {
                        received.lock().expect("a lock").failed += 1;
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
        self.received.lock().expect("a lock").last()
    }

    pub(crate) fn received(&self) -> Received {
        self.received.lock().expect("a lock").clone()
    }

    pub(crate) fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.store(disconnected, Ordering::Relaxed);
    }
}

/// Returns the number and the JSON of an event.
fn parse_numbered(data: &str) -> Result<(u64, String), String> {
    let value: serde_json::Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
    Ok((value["n"].as_u64().ok_or("no number")?, data.to_owned()))
}

fn follow(
    name: IpAddr,
    feeds: &mut FeedSelector,
    cursor: &mut EventCursor,
    received: &Mutex<Received>,
    disconnected: &AtomicBool,
    stop: &AtomicBool,
) -> Result<(), String> {
    let at = feeds.current();
    let stream = connect_from(name, at).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(ms(20))).map_err(|e| e.to_string())?;
    (&stream)
        .write_all(sablecross_discovery::events_request(at, cursor.last_number()).as_bytes())
        .map_err(|e| e.to_string())?;
    received.lock().expect("a lock").calls += 1;
    let (mut parser, mut bytes, mut last_read) =
        (EventStreamParser::new(1 << 22), [0; 8_192], Instant::now());
    while !disconnected.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
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
                    let mut received = received.lock().expect("a lock");
                    match cursor.classify(id, parse_numbered(&data)) {
                        EventVerdict::New(_) => received.events.push((cursor.last_number(), data)),
                        EventVerdict::Duplicate => {}
                        EventVerdict::Resubscribe(reason) => {
                            received.resubscribed += 1;
                            return Err(reason.to_string());
                        }
                        EventVerdict::Skip { .. } => received.skipped += 1,
                    }
                }
            }
        }
    }
    Ok(())
}

/// Waits until all subscribers have reached the last number. Then checks that each has applied every published event
/// once, in order and unchanged, and that no two subscribers have different events under one number. Events that are
/// sent again under the same number are ignored, as at a director.
pub(crate) fn assert_complete(subscribers: &[Subscriber], published: &Published, fleet: &RelayFleet) {
    let last = *published.0.keys().last().expect("something was published");
    let have_all = wait_until(TIMEOUT, || subscribers.iter().all(|r| r.last() >= last));
    let at: Vec<u64> = subscribers.iter().map(Subscriber::last).collect();
    assert!(have_all, "the last event is {last}, subscribers have reached {at:?}\n{}", fleet.logs());
    let mut known: BTreeMap<u64, String> = BTreeMap::new();
    for (i, subscriber) in subscribers.iter().enumerate() {
        let received = subscriber.received();
        assert_eq!(received.skipped, 0, "subscriber {i} skipped events");
        let numbers: Vec<u64> = received.events.iter().map(|(n, _)| *n).collect();
        assert!(
            numbers.windows(2).all(|w| w[1] == w[0] + 1),
            "subscriber {i}: {:?}\n{}",
            numbers.windows(2).find(|w| w[1] != w[0] + 1),
            fleet.logs()
        );
        let of: BTreeMap<u64, &String> = received.events.iter().map(|(n, e)| (*n, e)).collect();
        for (n, event) in &published.0 {
            let received_event =
                of.get(n).unwrap_or_else(|| panic!("subscriber {i} misses {n}\n{}", fleet.logs()));
            assert_eq!(**received_event, format!("{{\"n\":{n},{}", &event[1..]), "subscriber {i}");
        }
        for (n, event) in received.events {
            let first = known.entry(n).or_insert_with(|| event.clone());
            assert_eq!(*first, event, "subscriber {i} has another event under {n}");
        }
    }
}

/// Sends an event to one voter once. Returns whether the call failed, as at a voter that is not, or no longer, the
/// leader: the event was neither committed nor rejected as invalid.
pub(crate) fn rejects_as_non_leader(fleet: &RelayFleet, relay: u32, event: &str) -> bool {
    let member = MemberForm { number: relay, address: fleet.address(relay), votes: true };
    let result = Publisher::new(&[member]).publish("once", event.as_bytes(), Duration::ZERO);
    matches!(result, Err(PublishCallError::TimedOut { .. }))
}
