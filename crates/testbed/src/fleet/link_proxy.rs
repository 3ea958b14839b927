//! TCP proxies for the links between members and voters.
//!
//! Each pair of a member and a voter has its own proxy, which can hold back data in one or both directions or close the
//! connections. Held data arrives late, as on a link that was down for a while.
//!
//! Scale trials use the proxies for other links as well: there the end that connects takes the place of the member, and
//! the end that listens takes the place of the voter.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use socket2::{Domain, Protocol, Socket, Type};

use crate::threads::{lock, spawn};

/// A link's key: the numbers of the member and the voter.
pub(crate) type Pair = (usize, usize);

/// The directions in which a link holds data back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeldDirections {
    /// From the member to the voter.
    pub(crate) to: bool,
    /// From the voter to the member.
    pub(crate) from: bool,
}

/// Commands to the proxy thread.
#[derive(Default)]
struct PairCommands {
    held: BTreeMap<Pair, HeldDirections>,
    reset: Vec<Pair>,
}

/// The number of bytes received on each link: requests, then answers.
type Bytes = Arc<BTreeMap<Pair, [AtomicU64; 2]>>;

/// The parameters of a link that is to be created.
pub(crate) struct PlannedLink {
    pub(crate) pair: Pair,
    /// The address on which the voter listens.
    pub(crate) to: SocketAddr,
    /// The local address from which the proxy connects to the voter.
    pub(crate) from: Ipv4Addr,
}

/// Starts a non-blocking connection from a given local address.
pub(crate) fn connect_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // Without this option the connection is only slower.
    let _ = socket.set_tcp_nodelay(true);
    socket.bind(&SocketAddr::from((from, 0)).into())?;
    match socket.connect(&to.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

/// All links, served by one thread.
pub(crate) struct LinkProxies {
    commands: Arc<Mutex<PairCommands>>,
    bytes: Bytes,
    addresses: BTreeMap<Pair, SocketAddr>,
}

impl LinkProxies {
    /// Creates a link from each of `members` members to each voter.
    pub(crate) fn start(
        members: usize,
        voters: &[SocketAddr],
        over: &Arc<AtomicBool>,
    ) -> io::Result<LinkProxies> {
        let all = (0..members).flat_map(|m| voters.iter().enumerate().map(move |(v, to)| ((m, v), *to)));
        LinkProxies::start_planned(
            all.map(|(pair, to)| PlannedLink { pair, to, from: Ipv4Addr::LOCALHOST }).collect(),
            over,
        )
    }

    /// Creates the planned links. They end when `over` is set.
    pub(crate) fn start_planned(
        planned: Vec<PlannedLink>,
        over: &Arc<AtomicBool>,
    ) -> io::Result<LinkProxies> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let mut addresses = BTreeMap::new();
        for link in planned {
            let mut listener = TcpListener::bind(([127, 0, 0, 1], 0).into())?;
            poll.registry().register(&mut listener, Token(listeners.len()), Interest::READABLE)?;
            addresses.insert(link.pair, listener.local_addr()?);
            listeners.push((listener, link));
        }
        let commands: Arc<Mutex<PairCommands>> = Arc::default();
        let bytes: Bytes = Arc::new(addresses.keys().map(|pair| (*pair, Default::default())).collect());
        let proxy_thread = ProxyThread {
            poll,
            listeners,
            open: BTreeMap::new(),
            next: 0,
            commands: Arc::clone(&commands),
            bytes: Arc::clone(&bytes),
        };
        let over = Arc::clone(over);
        spawn(move || proxy_thread.run(&over));
        Ok(LinkProxies { commands, bytes, addresses })
    }

    /// The proxy address at which a member reaches a voter.
    pub(crate) fn address(&self, member: usize, voter: usize) -> Option<SocketAddr> {
        self.addresses.get(&(member, voter)).copied()
    }

    /// The number of bytes received on the selected links: requests, then answers.
    pub(crate) fn bytes(&self, is_selected: impl Fn(&Pair) -> bool) -> [u64; 2] {
        let selected = self.bytes.iter().filter(|(pair, _)| is_selected(pair));
        selected.fold([0, 0], |[to, from], (_, [t, f])| {
            [to + t.load(Ordering::Relaxed), from + f.load(Ordering::Relaxed)]
        })
    }

    /// The keys of all links.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = &Pair> {
        self.addresses.keys()
    }

    /// Holds back data in these directions from now on. The default value releases the link.
    pub(crate) fn hold(&self, pair: Pair, held: HeldDirections) {
        let mut commands = lock(&self.commands);
        if held == HeldDirections::default() {
            commands.held.remove(&pair);
        } else {
            commands.held.insert(pair, held);
        }
    }

    /// Closes the connections of a link.
    pub(crate) fn reset(&self, pair: Pair) {
        lock(&self.commands).reset.push(pair);
    }
}

/// One end of a connection through a link.
struct Endpoint {
    stream: TcpStream,
    /// Bytes to be written to the stream.
    output: VecDeque<u8>,
}

/// An open connection through a link.
struct OpenLink {
    pair: Pair,
    member: Endpoint,
    voter: Endpoint,
    /// One end has closed. The other end still receives what was sent before.
    is_closing: bool,
}

/// The state of the thread that serves all links.
struct ProxyThread {
    poll: Poll,
    listeners: Vec<(TcpListener, PlannedLink)>,
    /// Open connections by number. Counted from the first token after the listeners, the member's end has the even
    /// token and the voter's end the odd one after it.
    open: BTreeMap<usize, OpenLink>,
    next: usize,
    commands: Arc<Mutex<PairCommands>>,
    bytes: Bytes,
}

impl ProxyThread {
    fn run(mut self, over: &AtomicBool) {
        let mut events = Events::with_capacity(1_024);
        let first = self.listeners.len();
        while !over.load(Ordering::Relaxed) {
            // A failed poll is retried: only the end of the trial stops this thread.
            let _ = self.poll.poll(&mut events, Some(Duration::from_millis(10)));
            let reset = std::mem::take(&mut lock(&self.commands).reset);
            self.open.retain(|_, o| !reset.contains(&o.pair));
            for event in &events {
                let Token(at) = event.token();
                if at < first {
                    self.accept(at);
                } else {
                    let number = (at - first) / 2;
                    if let Some(open) = self.open.get_mut(&number) {
                        open.read_both(&self.bytes);
                    }
                }
            }
            let held = lock(&self.commands).held.clone();
            self.open.retain(|_, o| o.write_both(held.get(&o.pair).copied().unwrap_or_default()));
        }
    }

    fn accept(&mut self, at: usize) {
        let first = self.listeners.len();
        while let Ok((mut stream, _)) = self.listeners[at].0.accept() {
            let PlannedLink { pair, to, from } = self.listeners[at].1;
            let Ok(mut voter) = connect_from(from, to) else { continue };
            let token = first + 2 * self.next;
            let both = Interest::READABLE | Interest::WRITABLE;
            let begun = self
                .poll
                .registry()
                .register(&mut stream, Token(token), both)
                .and_then(|()| self.poll.registry().register(&mut voter, Token(token + 1), both));
            if begun.is_err() {
                continue;
            }
            // Without this option the connection is only slower.
            let _ = stream.set_nodelay(true);
            let end = |stream| Endpoint { stream, output: VecDeque::new() };
            self.open.insert(
                self.next,
                OpenLink { pair, member: end(stream), voter: end(voter), is_closing: false },
            );
            self.next += 1;
        }
    }
}

impl OpenLink {
    /// Reads what both ends have sent.
    fn read_both(&mut self, bytes: &Bytes) {
        let OpenLink { pair, member, voter, is_closing } = self;
        let [asked, answered] = &bytes[pair];
        *is_closing |= !read_into(&mut member.stream, &mut voter.output, asked);
        *is_closing |= !read_into(&mut voter.stream, &mut member.output, answered);
    }

    /// Writes all data that is not held back. Returns false once the connection is finished.
    fn write_both(&mut self, held: HeldDirections) -> bool {
        let passes = (held.to || self.voter.write_pending()) && (held.from || self.member.write_pending());
        passes && !(self.is_closing && self.voter.output.is_empty() && self.member.output.is_empty())
    }
}

fn would_block(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted)
}

/// Reads all available bytes. Returns false once the connection has ended.
fn read_into(from: &mut TcpStream, to: &mut VecDeque<u8>, count: &AtomicU64) -> bool {
    let mut bytes = [0; 8_192];
    loop {
        match from.read(&mut bytes) {
            Ok(0) => return false,
            Ok(n) => {
                count.fetch_add(n as u64, Ordering::Relaxed);
                to.extend(&bytes[..n]);
            }
            Err(e) => return would_block(&e),
        }
    }
}

impl Endpoint {
    /// Writes as much as the socket accepts. Returns false once the connection has ended.
    fn write_pending(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(self.output.as_slices().0) {
                Ok(0) => return false,
                Ok(n) => {
                    self.output.drain(..n);
                }
                Err(e) => return would_block(&e),
            }
        }
        true
    }
}
