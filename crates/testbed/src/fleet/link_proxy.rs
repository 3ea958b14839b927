//! The links between members and voters: each pair has one of its own, through which this program passes what they say, and
//! which it holds up, one way or both, or resets. What was held up arrives late, as on a link that was down for a while.

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

/// A member and the place of a voter.
pub type Pair = (usize, usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldDirections {
    /// What the member asks; what the voter answers.
    pub to: bool,
    pub from: bool,
}

#[derive(Default)]
struct PairCommands {
    held: BTreeMap<Pair, HeldDirections>,
    reset: Vec<Pair>,
}

/// Bytes that were passed on, what was asked and what was answered.
type Bytes = Arc<BTreeMap<Pair, [AtomicU64; 2]>>;

/// A link to be: whose, to where, and the address from which it is dialled.
pub struct PlannedLink {
    pub pair: Pair,
    pub to: SocketAddr,
    pub from: Ipv4Addr,
}

/// A connection from an address of one's own, begun.
pub fn dial_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // A delay is harmless.
    let _ = socket.set_tcp_nodelay(true);
    socket.bind(&SocketAddr::from((from, 0)).into())?;
    match socket.connect(&to.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

pub struct LinkProxies {
    orders: Arc<Mutex<PairCommands>>,
    bytes: Bytes,
    addresses: BTreeMap<Pair, SocketAddr>,
}

impl LinkProxies {
    /// Links from each of so many members to each voter.
    pub fn start(members: usize, voters: &[SocketAddr], over: &Arc<AtomicBool>) -> io::Result<LinkProxies> {
        let all = (0..members).flat_map(|m| voters.iter().enumerate().map(move |(v, to)| ((m, v), *to)));
        LinkProxies::between(
            all.map(|(pair, to)| PlannedLink { pair, to, from: Ipv4Addr::LOCALHOST }).collect(),
            over,
        )
    }

    pub fn between(planned: Vec<PlannedLink>, over: &Arc<AtomicBool>) -> io::Result<LinkProxies> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let mut addresses = BTreeMap::new();
        for link in planned {
            let mut listener = TcpListener::bind(([127, 0, 0, 1], 0).into())?;
            poll.registry().register(&mut listener, Token(listeners.len()), Interest::READABLE)?;
            addresses.insert(link.pair, listener.local_addr()?);
            listeners.push((listener, link));
        }
        let orders: Arc<Mutex<PairCommands>> = Arc::default();
        let bytes: Bytes = Arc::new(addresses.keys().map(|pair| (*pair, Default::default())).collect());
        let relay = ProxyThread {
            poll,
            listeners,
            open: BTreeMap::new(),
            next: 0,
            orders: Arc::clone(&orders),
            bytes: Arc::clone(&bytes),
        };
        let over = Arc::clone(over);
        spawn(move || relay.run(&over));
        Ok(LinkProxies { orders, bytes, addresses })
    }

    pub fn address(&self, member: usize, voter: usize) -> Option<SocketAddr> {
        self.addresses.get(&(member, voter)).copied()
    }

    /// Bytes of the links that are meant, what was asked and what was answered.
    pub fn bytes(&self, which: impl Fn(&Pair) -> bool) -> [u64; 2] {
        let of = self.bytes.iter().filter(|(pair, _)| which(pair));
        of.fold([0, 0], |[to, from], (_, [t, f])| {
            [to + t.load(Ordering::Relaxed), from + f.load(Ordering::Relaxed)]
        })
    }

    pub fn pairs(&self) -> impl Iterator<Item = &Pair> {
        self.addresses.keys()
    }

    pub fn hold(&self, pair: Pair, held: HeldDirections) {
        let mut orders = lock(&self.orders);
        if held == HeldDirections::default() {
            orders.held.remove(&pair);
        } else {
            orders.held.insert(pair, held);
        }
    }

    pub fn reset(&self, pair: Pair) {
        lock(&self.orders).reset.push(pair);
    }
}

struct Endpoint {
    stream: TcpStream,
    /// What is to be written to it.
    out: VecDeque<u8>,
}

struct OpenLink {
    pair: Pair,
    member: Endpoint,
    voter: Endpoint,
    /// One end has ended: the other gets what was said before that.
    over: bool,
}

struct ProxyThread {
    poll: Poll,
    listeners: Vec<(TcpListener, PlannedLink)>,
    /// By number; the member's end has the even token, the voter's the odd one after it.
    open: BTreeMap<usize, OpenLink>,
    next: usize,
    orders: Arc<Mutex<PairCommands>>,
    bytes: Bytes,
}

impl ProxyThread {
    fn run(mut self, over: &AtomicBool) {
        let mut events = Events::with_capacity(1_024);
        let first = self.listeners.len();
        while !over.load(Ordering::Relaxed) {
            // A failed wait is tried again: only the end of the trial ends it.
            let _ = self.poll.poll(&mut events, Some(Duration::from_millis(10)));
            let reset = std::mem::take(&mut lock(&self.orders).reset);
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
            let held = lock(&self.orders).held.clone();
            self.open.retain(|_, o| o.write_both(held.get(&o.pair).copied().unwrap_or_default()));
        }
    }

    fn accept(&mut self, at: usize) {
        let first = self.listeners.len();
        while let Ok((mut stream, _)) = self.listeners[at].0.accept() {
            let PlannedLink { pair, to, from } = self.listeners[at].1;
            let Ok(mut voter) = dial_from(from, to) else { continue };
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
            // A delay is harmless.
            let _ = stream.set_nodelay(true);
            let end = |stream| Endpoint { stream, out: VecDeque::new() };
            self.open
                .insert(self.next, OpenLink { pair, member: end(stream), voter: end(voter), over: false });
            self.next += 1;
        }
    }
}

impl OpenLink {
    /// Takes in what either end says.
    fn read_both(&mut self, bytes: &Bytes) {
        let OpenLink { pair, member, voter, over } = self;
        let [asked, answered] = &bytes[pair];
        *over |= !read_into(&mut member.stream, &mut voter.out, asked);
        *over |= !read_into(&mut voter.stream, &mut member.out, answered);
    }

    /// False once nothing more can pass.
    fn write_both(&mut self, held: HeldDirections) -> bool {
        let passes = (held.to || self.voter.writes()) && (held.from || self.member.writes());
        passes && !(self.over && self.voter.out.is_empty() && self.member.out.is_empty())
    }
}

fn would_block(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted)
}

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
    fn writes(&mut self) -> bool {
        while !self.out.is_empty() {
            match self.stream.write(self.out.as_slices().0) {
                Ok(0) => return false,
                Ok(n) => {
                    self.out.drain(..n);
                }
                Err(e) => return would_block(&e),
            }
        }
        true
    }
}
