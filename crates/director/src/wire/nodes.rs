//! The node side, as the desk sees it: a small pool of connections to each node, opened when they are wanted. No
//! call here waits for a socket: `links` serves them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use sablecross::{Listed, Ns, Outcome, State};

use super::links::{Order, Orders};
use super::{lines, links};
use crate::common::Common;
use crate::exchange::{Asked, Link, Name, Withdrawn};
use crate::plain::facts::Member;
use crate::plain::roster::Roster;

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
    source: Option<usize>,
    off: Withdrawn,
}

struct Open {
    node: usize,
    out: BTreeMap<Name, Flight>,
    /// When it was opened or last heard of.
    heard: Ns,
    /// When its last send was made or ended.
    used: Ns,
    /// Nothing more goes here; it closes once nothing is out.
    retired: bool,
}

struct Pool {
    address: SocketAddr,
    links: Vec<Link>,
}

pub struct Nodes {
    common: Arc<Common>,
    /// By the module's numbers.
    pools: Vec<Pool>,
    roster: Roster,
    links: HashMap<Link, Open>,
    next: Link,
    orders: Orders,
    /// Connections to be closed, for which there was no room among the orders.
    closing: VecDeque<Link>,
}

impl Nodes {
    pub fn new(orders: Orders, common: Arc<Common>) -> Nodes {
        Nodes {
            common,
            pools: Vec::new(),
            roster: Roster::default(),
            links: HashMap::new(),
            next: 0,
            orders,
            closing: VecDeque::new(),
        }
    }

    pub fn open(&self) -> usize {
        self.links.len()
    }

    pub fn opened(&self) -> u64 {
        self.next
    }

    pub fn number_of(&self, name: &str) -> Option<usize> {
        self.roster.number_of(name)
    }

    pub fn name(&self, node: usize) -> &str {
        self.roster.name(node)
    }

    /// What the list says of a node.
    pub fn state(&self, node: usize) -> State {
        self.roster.state(node)
    }

    /// Starts of nodes that are to be listed, before the first of them is.
    pub fn observe(&mut self, members: &[Member]) {
        self.roster.observe(members, self.common.clock.now());
    }

    /// Lines of the list as the module reads them.
    ///
    /// `oldest` is the oldest lookup in hand, `next` the one to come: numbers of nodes that are gone are given out
    /// again, so that what is kept by them is bounded by the nodes there are and the lookups in hand.
    pub fn listed(&mut self, members: &[Member], whole: bool, oldest: u64, next: u64) -> Vec<Listed> {
        let now = self.common.clock.now();
        self.roster.observe(members, now);
        let pools = &self.pools;
        self.roster.release(oldest, |node| pools[node].links.is_empty());
        let lines: Vec<Listed> = members.iter().filter_map(|m| self.line(m, now)).collect();
        let states: HashMap<usize, State> = lines.iter().map(|l| (l.node, l.state)).collect();
        // What still waits to be written must not begin after the grace, however late its connection comes up.
        let stays = |node| states.get(&node).map_or(!whole, |s| *s == State::Ready);
        self.withdraw(|_, node, source| !stays(node) || source.is_some_and(|s| !stays(s)));
        for node in self.roster.settle(&lines, whole, next) {
            self.retire_all(node);
        }
        lines
    }

    fn line(&mut self, m: &Member, now: Ns) -> Option<Listed> {
        let line = self.roster.line(&self.common.names, m, now)?;
        if line.node == self.pools.len() {
            self.pools.push(Pool { address: m.address, links: Vec::new() });
        } else if self.pools[line.node].address != m.address {
            self.retire_all(line.node);
            self.pools[line.node].address = m.address;
        }
        Some(line)
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

    fn forget(&mut self, link: Link) -> Option<Open> {
        let open = self.links.remove(&link)?;
        self.closing.push_back(link);
        while let Some(link) = self.closing.pop_front() {
            if !self.orders.give(Order::Close(link)) {
                self.closing.push_front(link);
                break;
            }
        }
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
        way: Option<&str>,
        before: &[Link],
    ) -> Result<Link, Outcome> {
        let kind = self.common.names.kinds.get(asked.kind).ok_or(Outcome::NeverSent)?;
        let head = lines::pull(asked, send, kind, send.source.map(|s| self.name(s)), way);
        let link = self.choose(send.node, &asked.name, before, out.at)?;
        let open = self.links.get_mut(&link).ok_or(Outcome::NeverSent)?;
        let content = links::Content::Pull {
            head,
            body: Arc::clone(&asked.body),
            begin_by: send.begin_by,
            answer_by: out.at + send.time_out,
        };
        let (off, withdrawn) = (Withdrawn::default(), asked.withdrawn.clone());
        let written = links::Send { name: asked.name, content, off: off.clone(), withdrawn };
        if !self.orders.give(Order::Pull { link, send: written }) {
            return Err(Outcome::NeverSent);
        }
        open.out.insert(asked.name, Flight { out, source: send.source, off });
        open.used = out.at;
        Ok(link)
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
        let link = self.next;
        let by = now + self.common.limits.dial;
        if !self.orders.give(Order::Dial { link, address, by }) {
            return Err(Outcome::NeverSent);
        }
        self.next += 1;
        let open = Open { node, out: BTreeMap::new(), heard: now, used: now, retired: false };
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

    /// Gives a send up. A connection that was silent since it took the send, past the time that is usual, is not
    /// used again: an answer that stopped short or never comes leaves it stuck, for all that follows.
    pub fn give_up(&mut self, link: Link, name: &Name, now: Ns) -> Option<Out> {
        let open = self.links.get_mut(&link)?;
        let Flight { out, off, .. } = open.out.remove(name)?;
        // What is not written yet never will be: a node must not see it after its client had an answer.
        off.say();
        let told = self.orders.give(Order::Kill { link, name: *name });
        let quiet = open.heard <= out.at && now >= out.at + self.common.limits.quiet;
        if !told || quiet || open.retired {
            self.retire(link);
        }
        Some(out)
    }

    /// Sends that are not to begin any more, if they have not: of each such one the end comes by an event.
    pub fn withdraw(&mut self, which: impl Fn(&Out, usize, Option<usize>) -> bool) {
        let mut links: Vec<Link> = Vec::new();
        for (&link, open) in &self.links {
            let gone = open.out.values().filter(|f| which(&f.out, open.node, f.source));
            if gone.map(|flight| flight.off.say()).count() > 0 {
                links.push(link);
            }
        }
        links.sort_unstable();
        for link in links {
            // With no room for the order it is seen at the next sweep.
            self.orders.give(Order::Withdraw(link));
        }
    }

    /// A send that was never begun; none if it was given up before that was heard.
    pub fn unbegun(&mut self, link: Link, name: &Name) -> Option<Out> {
        let open = self.links.get_mut(&link)?;
        let out = open.out.remove(name)?.out;
        // The connection passes the kill over as it did the send.
        if !self.orders.give(Order::Kill { link, name: *name }) || open.retired {
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
