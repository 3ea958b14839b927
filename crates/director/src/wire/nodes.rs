//! The node side: a small pool of connections to each node, opened when they are wanted. The desk's thread
//! holds the pools; a writer and a reader serve each connection, and no call here waits for a socket.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::IoSlice;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use sablecross::{Listed, Ns, Outcome, State};

use super::feed::Member;
use super::intake::{Intake, paused};
use super::{lines, write_all};
use crate::exchange::{Asked, Copy, Ended, Event, Link, Name};
use crate::life::{Common, counters, thread};
use crate::memory::bodies::Body;

enum Order {
    Pull { name: Name, head: Vec<u8>, body: Arc<Body>, until: Ns, off: Arc<AtomicBool> },
    Kill(Name),
}

/// One send on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    pub id: u64,
    pub shot: usize,
    pub at: Ns,
}

/// A send that is out, and the word between desk and writer that it is not to be written any more.
struct Flight {
    out: Out,
    off: Arc<AtomicBool>,
}

struct Open {
    node: usize,
    orders: Sender<Order>,
    out: BTreeMap<Name, Flight>,
    /// When it was opened or last heard of.
    heard: Ns,
    /// When its last send was made or ended.
    used: Ns,
    /// Nothing more goes here; it closes once nothing is out.
    retired: bool,
}

struct Pool {
    name: String,
    address: SocketAddr,
    links: Vec<Link>,
}

pub struct Nodes {
    common: Arc<Common>,
    /// By the module's numbers.
    pools: Vec<Pool>,
    numbers: HashMap<String, usize>,
    links: HashMap<Link, Open>,
    next: Link,
}

impl Nodes {
    pub fn new(common: Arc<Common>) -> Nodes {
        Nodes { common, pools: Vec::new(), numbers: HashMap::new(), links: HashMap::new(), next: 0 }
    }

    pub fn open(&self) -> usize {
        self.links.len()
    }

    pub fn opened(&self) -> u64 {
        self.next
    }

    pub fn name(&self, node: usize) -> &str {
        self.pools.get(node).map_or("", |p| &p.name)
    }

    /// Lines of the list as the module reads them. A node is known by its name: addresses differ from
    /// director to director, and a new node may have the address of one that has gone.
    pub fn listed(&mut self, members: &[Member], whole: bool) -> Vec<Listed> {
        let lines: Vec<Listed> = members.iter().filter_map(|m| self.line(m)).collect();
        let states: HashMap<usize, State> = lines.iter().map(|l| (l.node, l.state)).collect();
        for node in 0..self.pools.len() {
            if states.get(&node).map_or(whole, |s| *s == State::Gone) {
                self.retire_all(node);
            }
        }
        lines
    }

    fn line(&mut self, m: &Member) -> Option<Listed> {
        let (Some(&zone), Some(&machine)) =
            (self.common.names.zones.get(&m.zone), self.common.names.machines.get(&m.kind))
        else {
            log::warn!("list: {}: zone {} or type {} is not in the settings", m.name, m.zone, m.kind);
            return None;
        };
        let node = *self.numbers.entry(m.name.clone()).or_insert(self.pools.len());
        if node == self.pools.len() {
            log::info!("node {node} is {}", m.name);
            let (name, links) = (m.name.clone(), Vec::new());
            self.pools.push(Pool { name, address: m.address, links });
        } else if self.pools[node].address != m.address {
            self.retire_all(node);
        }
        self.pools[node].address = m.address;
        Some(Listed {
            node,
            rank: rank(&m.name),
            zone,
            machine,
            cell: m.cell,
            started: m.started,
            state: m.state,
        })
    }

    fn retire_all(&mut self, node: usize) {
        for link in self.pools[node].links.clone() {
            self.retire(link);
        }
    }

    /// No more goes to this connection; it closes once nothing is out.
    fn retire(&mut self, link: Link) {
        let Some(open) = self.links.get_mut(&link) else { return };
        open.retired = true;
        if open.out.is_empty() {
            self.forget(link);
        }
    }

    /// Dropping the orders ends the writer, and that the connection.
    fn forget(&mut self, link: Link) -> Option<Open> {
        let open = self.links.remove(&link)?;
        if let Some(pool) = self.pools.get_mut(open.node) {
            pool.links.retain(|&l| l != link);
        }
        Some(open)
    }

    /// Writes a send to a connection of its node; else the outcome that this stands for. One that carried
    /// this lookup before is left out: a late answer could be taken for that of this send.
    pub fn pull(
        &mut self,
        out: Out,
        asked: &Asked,
        send: &sablecross::Send,
        before: &[Link],
    ) -> Result<Link, Outcome> {
        let kind = self.common.names.kinds.get(asked.kind).ok_or(Outcome::NeverSent)?;
        let head = lines::pull(asked, send, kind, send.source.map(|s| self.name(s)));
        let link = self.choose(send.node, &asked.name, before, out.at)?;
        let open = self.links.get_mut(&link).ok_or(Outcome::NeverSent)?;
        let until = out.at + send.time_out;
        let off = Arc::new(AtomicBool::new(false));
        let (body, told) = (Arc::clone(&asked.body), Arc::clone(&off));
        let order = Order::Pull { name: asked.name, head, body, until, off: told };
        match open.orders.try_send(order) {
            Ok(()) => {
                open.out.insert(asked.name, Flight { out, off });
                open.used = out.at;
                Ok(link)
            }
            Err(TrySendError::Full(_)) => Err(Outcome::NeverSent),
            Err(TrySendError::Disconnected(_)) => {
                self.retire(link);
                Err(Outcome::Unconnected)
            }
        }
    }

    /// An idle connection, as one body blocks those behind it; else a new one; else the least laden.
    fn choose(&mut self, node: usize, name: &Name, before: &[Link], now: Ns) -> Result<Link, Outcome> {
        let common = Arc::clone(&self.common);
        let limits = &common.limits;
        let pool = self.pools.get(node).ok_or(Outcome::NeverSent)?;
        let mut best: Option<(usize, Ns, Link)> = None;
        let mut stale = Vec::new();
        for &link in &pool.links {
            let Some(open) = self.links.get(&link).filter(|o| !o.retired) else { continue };
            if open.out.is_empty() && now > open.used + limits.idle {
                stale.push(link);
                continue;
            }
            let fits = open.out.len() < limits.open_a_link
                && !open.out.contains_key(name)
                && !before.contains(&link);
            let rank = (open.out.len(), now.saturating_sub(open.used), link);
            if fits && best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        let (count, address) = (pool.links.len() - stale.len(), pool.address);
        stale.into_iter().for_each(|link| self.retire(link));
        let room = count < limits.links_a_node && self.links.len() < limits.links;
        match best {
            Some((0, _, link)) => Ok(link),
            _ if room => self.dial(node, address, now),
            Some((_, _, link)) => Ok(link),
            None => Err(Outcome::NeverSent),
        }
    }

    fn dial(&mut self, node: usize, address: SocketAddr, now: Ns) -> Result<Link, Outcome> {
        let (orders, from_desk) = bounded(self.common.limits.orders);
        let (link, of) = (self.next, Arc::clone(&self.common));
        thread("node-writer", of.limits.stack, {
            let of = Arc::clone(&of);
            move || serve(link, address, &from_desk, &of)
        })
        .map_err(|e| {
            log::warn!("no thread for a connection to a node: {e}");
            Outcome::NeverSent
        })?;
        self.next += 1;
        let open = Open { node, orders, out: BTreeMap::new(), heard: now, used: now, retired: false };
        self.links.insert(link, open);
        self.pools[node].links.push(link);
        Ok(link)
    }

    /// The node at the other end.
    pub fn node(&self, link: Link) -> Option<usize> {
        self.links.get(&link).map(|open| open.node)
    }

    /// The send that an answer ends; a late answer to one that was given up ends none.
    pub fn ended(&mut self, link: Link, name: &Name, at: Ns) -> Option<Out> {
        let open = self.links.get_mut(&link)?;
        open.heard = open.heard.max(at);
        open.used = open.used.max(at);
        let out = open.out.remove(name).map(|flight| flight.out);
        if open.retired && open.out.is_empty() {
            self.forget(link);
        }
        out
    }

    /// Gives a send up. After a time-out, a connection that was silent since is not used again.
    pub fn give_up(&mut self, link: Link, name: &Name, timed_out: bool) -> Option<Out> {
        let open = self.links.get_mut(&link)?;
        let Flight { out, off } = open.out.remove(name)?;
        // What is not written yet never will be: a node must not see it after its client had an answer.
        off.store(true, Ordering::Release);
        // A queue that is full belongs to a connection that is stuck.
        let stuck = open.orders.try_send(Order::Kill(*name)).is_err();
        if stuck || timed_out && open.heard <= out.at || open.retired {
            self.retire(link);
        }
        Some(out)
    }

    /// A connection is over: the sends that were out on it.
    pub fn lost(&mut self, link: Link) -> Vec<Out> {
        self.forget(link)
            .map_or_else(Vec::new, |open| open.out.into_values().map(|flight| flight.out).collect())
    }
}

/// The order in which all directors sort the nodes: by name alone (FNV-1a).
fn rank(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Tells the desk that a connection is over, however its thread ends.
struct Losing<'a> {
    of: &'a Common,
    link: Link,
    reached: bool,
}

impl Drop for Losing<'_> {
    fn drop(&mut self) {
        let _ = self.of.events.send(Event::Lost { link: self.link, reached: self.reached });
    }
}

/// Connects, then writes what it is given, until the desk drops the connection or it breaks.
fn serve(link: Link, address: SocketAddr, orders: &Receiver<Order>, of: &Arc<Common>) {
    let mut losing = Losing { of, link, reached: false };
    let stream = match TcpStream::connect_timeout(&address, of.limits.dial) {
        Ok(stream) => Arc::new(stream),
        Err(e) => return log::debug!("link {link} to {address}: {e}"),
    };
    let (theirs, shared) = (Arc::clone(&stream), Arc::clone(of));
    let reader = thread("node-reader", of.limits.stack, move || {
        let _losing = Losing { of: &shared, link, reached: true };
        if let Err(why) = read(link, &theirs, &shared) {
            counters::add(&shared.counters.bad_lines, 1);
            log::warn!("link {link}: {why}");
        }
        let _ = theirs.shutdown(Shutdown::Both);
    });
    if let Err(e) = stream.set_nodelay(true).and(reader) {
        return log::warn!("link {link} not served: {e}");
    }
    losing.reached = true;
    let mut skipped = BTreeSet::new();
    for order in orders {
        let written = match &order {
            // Given up, or its time over, before the connection came up or took it.
            Order::Pull { name, until, off, .. }
                if off.load(Ordering::Acquire) || of.clock.now() >= *until =>
            {
                skipped.insert(*name);
                Ok(())
            }
            Order::Kill(name) if skipped.remove(name) => Ok(()),
            Order::Pull { head, body, until, .. } => {
                let mut parts = [IoSlice::new(head), IoSlice::new(body.bytes()), IoSlice::new(b"\r\n")];
                write_all(&stream, &mut parts, *until, &of.clock)
            }
            Order::Kill(name) => {
                let by = of.clock.now() + of.limits.margin;
                write_all(&stream, &mut [IoSlice::new(&lines::kill(name))], by, &of.clock)
            }
        };
        if written.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Passes on whole answers; ends with the connection, or at bytes that are no answer.
fn read(link: Link, stream: &TcpStream, of: &Common) -> Result<(), &'static str> {
    let mut intake = Intake::new(of.limits.line, of.limits.line, &of.room);
    loop {
        let Some(end) = intake.seen().windows(2).position(|w| w == b"\r\n") else {
            match intake.more(stream) {
                Ok(true) => continue,
                Err(e) if paused(&e) => continue,
                Err(e) if e.kind() == std::io::ErrorKind::InvalidData => return Err("line too long"),
                Ok(false) | Err(_) => return Ok(()),
            }
        };
        let head = lines::head(&intake.seen()[..end]).ok_or("not an answer")?;
        if head.length > of.limits.body {
            return Err("body too long");
        }
        let (length, tag) = (head.length, head.tag.map(Box::<str>::from));
        let mut ended = Ended {
            name: head.name,
            outcome: head.outcome,
            hit: head.hit,
            load: head.load,
            copy: None,
            at: 0,
        };
        let unchanged = head.unchanged;
        intake.used(end + 2);
        // With no room for its body the answer is read off and counts as called off.
        let body = of.room.body(length);
        match body {
            Some(mut body) => {
                if intake.fill(body.bytes_mut(), stream).is_err() {
                    return Ok(());
                }
                let body = (!unchanged).then(|| Arc::new(body));
                let served = ended.outcome == Outcome::Satisfied;
                ended.copy = served.then(|| Copy { tag: tag.unwrap_or_default(), body });
            }
            None => {
                let mut left = length;
                let mut off = [0; 4_096];
                while left > 0 {
                    let n = left.min(off.len());
                    if intake.fill(&mut off[..n], stream).is_err() {
                        return Ok(());
                    }
                    left -= n;
                }
                ended.outcome = Outcome::Cancelled;
            }
        }
        let mut line_end = [0; 2];
        if intake.fill(&mut line_end, stream).is_err() {
            return Ok(());
        }
        if line_end != *b"\r\n" {
            return Err("a body longer than its length");
        }
        ended.at = of.clock.now();
        counters::add(&of.counters.body_bytes, length);
        if of.events.send(Event::Ended { link, ended: Box::new(ended) }).is_err() {
            return Ok(());
        }
    }
}
