//! The thread that carries out what the office decides: calls to voters, probes of boxes, answers to callers. It waits for any of
//! them, and never for one alone.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, TryRecvError};
use mio::{Events, Poll, Token, Waker};
use sablecross::{Load, Ns, Outcome, Pie, Settings, State as Listed, copy_place, fill_place, mix, rank};
use sablecross_drive::{Driving, Order};
use sablecross_duty::word::{Finding, Request, State, Word};
use sablecross_duty::{Do, Ended, Member, Office, Pace, Want, Warming};

use super::boxes::{self, Probed, Tag};
use super::peers::{Line, Peer};
use super::{Hot, In};
use crate::common::Common;
use crate::exchange::Event;
use crate::plain::clock::MS;
use crate::plain::facts::{self, Fact};
use crate::plain::names::DUTY;
use crate::plain::os_error::is_pause;
use crate::terms::{DRIVING, Setting, WARMING, named};
use crate::upper::Told;
use crate::wire::lines;
use crate::wire::rpc::{self, Flaw};

const INBOX: Token = Token(usize::MAX);
/// Boxes' connections are numbered from here.
const BOXES: usize = 1 << 16;
/// An answer of a voter, and of a box.
const MOST_ANSWER: usize = 240_000;
const MOST_LINE: usize = 256 << 10;
/// How often a member says what it is asked for most, and how many objects.
const HOT_EVERY: Ns = 1_000 * MS;
const MOST_SAID: usize = 24;
/// A finding older than this tells the module nothing of how the box is.
const LATELY: Ns = 1_000 * MS;
/// After the word to stop, the time in which duties are handed over.
const LEAVING: Ns = 300 * MS;

pub struct Agent {
    office: Office,
    common: Arc<Common>,
    inbox: Receiver<In>,
    poll: Poll,
    peers: Vec<Peer>,
    /// Where each voter listens, by its member's number.
    addresses: BTreeMap<u32, SocketAddr>,
    probing: bool,
    /// Boxes that the list names, by the rank of their names.
    boxes: BTreeMap<u64, Probed>,
    /// The numbers of their connections.
    tokens: BTreeMap<usize, u64>,
    next_token: usize,
    next_probe: u64,
    stopping: Option<Ns>,
    gone_after: Ns,
    /// While this member owns that duty.
    driving: Option<Driving>,
    pace: Option<Pace>,
    warming: Option<(sablecross_duty::Token, Warming)>,
    hot: Option<Hot>,
    next_hot: Ns,
    /// The list as it stands, and which of its kinds are no caches: parents, the origin.
    list: BTreeMap<u64, facts::Member>,
    parents: Option<usize>,
    origin: usize,
}

impl Agent {
    pub fn new(
        setting: Setting,
        own: &Settings,
        common: Arc<Common>,
        inbox: Receiver<In>,
        hot: Option<Hot>,
    ) -> io::Result<(Agent, Arc<Waker>)> {
        let number = own.number;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), INBOX)?);
        let life = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as u64);
        let me = Member { number: u32::try_from(number).unwrap_or(u32::MAX), life };
        let now = common.clock.now();
        let addresses = setting.terms.voters.iter().copied().zip(setting.addresses.iter().copied()).collect();
        let agent = Agent {
            addresses,
            office: Office::new(me, setting.terms, mix(life ^ number as u64), now),
            common,
            inbox,
            poll,
            peers: setting.addresses.into_iter().map(Peer::new).collect(),
            probing: setting.probing,
            boxes: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_token: BOXES,
            next_probe: 0,
            stopping: None,
            gone_after: setting.gone_after,
            driving: None,
            pace: setting.warming.map(|p| Pace { from: own.cold_from, after: own.warm_after, ..p }),
            warming: None,
            hot,
            next_hot: now,
            list: BTreeMap::new(),
            parents: own.parent_kind,
            origin: own.origin_kind,
        };
        tracing::info!(number = me.number, life, voters = agent.peers.len(), "duty member");
        Ok((agent, waker))
    }

    /// Serves until the desk has gone.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            let now = self.common.clock.now();
            self.office.step(now);
            self.carry(now);
            self.drives(now);
            self.warms(now);
            let driving = self.driving.as_ref().map_or(Ns::MAX, Driving::next);
            let warming = self.warming.as_ref().map_or(Ns::MAX, |(_, w)| w.next());
            let next = self.office.next().min(driving).min(warming).min(now + 250 * MS);
            if let Err(e) = self.poll.poll(&mut events, Some(self.common.clock.until(next)))
                && !is_pause(&e)
            {
                return tracing::error!("duty: {e}");
            }
            let now = self.common.clock.now();
            for event in &events {
                let Token(at) = event.token();
                if event.token() == INBOX {
                    continue;
                }
                if event.is_writable() {
                    self.writes(at, now);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.reads(at, now);
                }
            }
            if !self.hears(now) {
                return;
            }
            self.sweep(now);
        }
    }

    /// What the desk hands on; false once it has gone.
    fn hears(&mut self, now: Ns) -> bool {
        loop {
            match self.inbox.try_recv() {
                Ok(In::Called { client, call, body }) => {
                    let said = match rmp_serde::from_slice::<Request>(&body) {
                        Ok(Request { from, words }) => {
                            let said = self.office.called(now, from, &words);
                            self.carry(now);
                            rmp_serde::to_vec(&said).ok()
                        }
                        Err(e) => {
                            tracing::debug!("duty call of client {client}: {e}");
                            None
                        }
                    };
                    // The desk outlives this thread, but for the end of the program.
                    let _ = self.common.events.send(Event::PeerSaid { client, call, said });
                }
                Ok(In::Listed { members, whole }) => self.listed(now, &members, whole),
                Ok(In::Settle(setting)) => self.settle(now, *setting),
                Ok(In::InForce(in_force)) => {
                    self.office.has(now, DRIVING, (in_force.number, in_force.digest));
                }
                Ok(In::Stop) => {
                    if self.stopping.is_none() {
                        self.stopping = Some(now);
                        self.office.leave(now);
                    }
                }
                Err(TryRecvError::Empty) => return self.stopping.is_none_or(|at| now < at + LEAVING),
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn listed(&mut self, now: Ns, members: &[facts::Member], whole: bool) {
        if whole {
            self.list.clear();
        }
        for m in members {
            let chore = rank(&m.name);
            if m.state == Listed::Gone {
                self.list.remove(&chore);
            } else {
                self.list.insert(chore, m.clone());
            }
        }
        if !self.probing {
            return;
        }
        if whole {
            let named: BTreeSet<u64> = members.iter().map(|m| rank(&m.name)).collect();
            let gone: Vec<u64> = self.boxes.keys().copied().filter(|b| !named.contains(b)).collect();
            gone.into_iter().for_each(|b| self.drops(b, now));
        }
        for m in members {
            let chore = rank(&m.name);
            if m.state == Listed::Gone {
                self.drops(chore, now);
            } else if let Some(known) = self.boxes.get_mut(&chore) {
                known.line.moves(m.address, self.poll.registry(), now);
            } else {
                let token = self.next_token;
                self.next_token += 1;
                self.tokens.insert(token, chore);
                let line = Line::new(m.address);
                let out = BTreeMap::new();
                let name = m.name.clone();
                self.boxes.insert(chore, Probed { name, node: token as u64, line, out, skip: 0 });
            }
        }
        let boxes: BTreeSet<u64> = self.boxes.keys().copied().collect();
        self.office.listed(now, &boxes);
    }

    /// Takes other voters, one more or one less, or other addresses of theirs.
    fn settle(&mut self, now: Ns, setting: Setting) {
        let voters = setting.terms.voters.clone();
        match self.office.settle(now, setting.terms) {
            Ok(()) => {
                self.addresses.extend(voters.iter().copied().zip(setting.addresses));
                self.carry(now);
                for (voter, peer) in voters.iter().zip(&mut self.peers) {
                    if let Some(at) = self.addresses.get(voter) {
                        peer.line.moves(*at, self.poll.registry(), now);
                    }
                }
                tracing::info!(voters = voters.len(), "reload duties");
            }
            Err(e) => tracing::error!("reload failed, the old duties stay: {e}"),
        }
    }

    fn drops(&mut self, chore: u64, now: Ns) {
        if let Some(mut gone) = self.boxes.remove(&chore) {
            gone.line.close(self.poll.registry(), now);
            self.tokens.remove(&(gone.node as usize));
        }
    }

    /// Does what the office says, and what follows from it.
    fn carry(&mut self, now: Ns) {
        loop {
            let acts = self.office.acts();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    Do::Call { voter, number, words } => self.call(voter, number, words, now),
                    Do::Probe { chore, token } => self.probe(chore, token, now),
                    Do::Facts(findings) => self.facts(&findings),
                    Do::Note(line) => tracing::info!("{line}"),
                    Do::Settled(voters) => {
                        for peer in &mut self.peers {
                            peer.line.close(self.poll.registry(), now);
                        }
                        let at = |v: &u32| self.addresses.get(v).copied().map(Peer::new);
                        self.peers = voters.iter().filter_map(at).collect();
                    }
                    Do::Begins(duty, token) => {
                        tracing::info!(name = %named(duty), term = token.term, "duty owned");
                        if duty == DRIVING {
                            self.driving = Some(Driving::begin(token, self.gone_after));
                        }
                        if duty == WARMING {
                            self.warming = self.pace.map(|pace| (token, Warming::new(pace)));
                        }
                    }
                    Do::Ends(duty, term, by) => {
                        tracing::info!(name = %named(duty), term, ?by, "duty given up");
                        if duty == DRIVING {
                            self.driving = None;
                        }
                        if duty == WARMING {
                            self.warming = None;
                        }
                    }
                    Do::Holds(duty, entry) if duty == DRIVING => {
                        if let Some(driving) = self.driving.as_mut().filter(|d| d.token() == entry.by) {
                            driving.kept(now, &entry);
                        }
                    }
                    Do::Wish(duty, text) if duty == DRIVING => {
                        if let Some(driving) = self.driving.as_mut() {
                            // What was declined is in the log and in what operators see.
                            let _ = driving.wish(now, &text);
                        }
                    }
                    Do::Told(duty, bytes) if duty == DRIVING => self.told(&bytes),
                    Do::Holds(..) | Do::Wish(..) | Do::Told(..) => {}
                }
            }
        }
    }

    /// A version that the owner of driving has passed on to all.
    fn told(&mut self, bytes: &[u8]) {
        match sablecross_drive::told(bytes).and_then(|spec| Told::of_driver(&spec)) {
            Ok(told) => {
                // The desk outlives this thread, but for the end of the program.
                let _ = self.common.events.send(Event::Fact(Fact::Hierarchy(Box::new(told))));
            }
            Err(e) => tracing::warn!("hierarchy told by a duty can't be used: {e}"),
        }
    }

    /// Drives changes on, while the duty is owned.
    fn drives(&mut self, now: Ns) {
        let Some(driving) = self.driving.as_mut() else { return };
        driving.members(now, &self.office.roster().members);
        for (member, number, digest) in self.office.members_have(DRIVING) {
            driving.in_force(now, member, number, digest);
        }
        driving.step(now);
        let token = driving.token();
        for order in driving.orders() {
            // Not past the lease; the gates of the voters refuse it all the same.
            if self.office.token(now, DRIVING) != Some(token) {
                break;
            }
            match order {
                Order::Keep(bytes) => self.office.write(now, DRIVING, bytes),
                Order::Publish { number, bytes } => self.office.tell(now, DRIVING, number, bytes),
                Order::Note(line) => tracing::info!("{line}"),
            }
        }
        self.office.status(DRIVING, driving.status());
        self.carry(now);
    }

    /// Which caches of the list belong to which pies: those of one location are one.
    fn pie(&self, kind: impl Fn(Option<usize>) -> bool, zone: Option<&str>) -> (Pie, Vec<u64>) {
        let of = |m: &facts::Member| kind(self.common.names.machines.get(&m.kind).copied());
        let all = self.list.iter().filter(|(_, m)| of(m) && zone.is_none_or(|z| z == m.zone));
        let members: Vec<u64> = all.map(|(chore, _)| *chore).collect();
        let stands = members.iter().enumerate().map(|(i, rank)| (*rank, i, 0)).collect();
        (Pie::deal(stands), members)
    }

    /// Warms fresh caches, while that duty is owned; says what is asked for most here.
    fn warms(&mut self, now: Ns) {
        let tick = now >= self.next_hot;
        if tick {
            self.next_hot = now + HOT_EVERY;
            if let Some(mut hot) = self.hot.as_ref().and_then(|hot| hot.lock().ok()) {
                let top = hot.top(MOST_SAID).into_iter().map(|(want, count)| (want, count as f32)).collect();
                hot.fade(0.5);
                self.office.hot(top);
            }
        }
        let (parents, origin) = (self.parents, self.origin);
        let is_cache = |k: Option<usize>| k.is_some() && k != parents && k != Some(origin);
        if tick && self.warming.is_some() {
            let ready = |m: &facts::Member| m.state == Listed::Ready;
            let is = |m: &facts::Member| is_cache(self.common.names.machines.get(&m.kind).copied());
            let fresh = self.list.iter().filter(|(_, m)| ready(m) && is(m)).map(|(c, m)| (*c, m.started));
            let fresh: BTreeMap<u64, Ns> = fresh.collect();
            let hottest = self.office.hottest();
            let mut boxes = Vec::new();
            if let Some((_, warming)) = self.warming.as_mut() {
                warming.listed(now, &fresh);
                boxes.extend(warming.boxes());
            }
            for of in boxes {
                let Some(zone) = self.list.get(&of).map(|m| m.zone.clone()) else { continue };
                let (pie, members) = self.pie(is_cache, Some(&zone));
                let own = |w: &&Want| {
                    let home = pie.owner(copy_place(w.object, w.part), |_| true);
                    home.and_then(|i| members.get(i)) == Some(&of)
                };
                let wants: Vec<Want> = hottest.iter().filter(own).copied().collect();
                if let Some((_, warming)) = self.warming.as_mut() {
                    warming.wants(of, &wants);
                }
            }
        }
        let Some((token, warming)) = self.warming.as_mut() else { return };
        let token = *token;
        let due = warming.due(now);
        if due.is_empty() {
            return;
        }
        let (parents, names) = self.pie(|k| k.is_some() && k == parents, None);
        for (of, want) in due {
            // Right before each effect.
            if self.office.token(now, WARMING) != Some(token) {
                return;
            }
            self.fetch(of, want, token, &parents, &names, now);
        }
    }

    fn fetch(
        &mut self,
        of: u64,
        want: Want,
        token: sablecross_duty::Token,
        parents: &Pie,
        names: &[u64],
        now: Ns,
    ) {
        let ready =
            |i: usize| names.get(i).and_then(|n| self.list.get(n)).is_some_and(|m| m.state == Listed::Ready);
        let home = parents.owner(fill_place(want.object), ready).and_then(|i| names.get(i));
        let source = home.and_then(|n| self.list.get(n)).map(|m| m.name.clone());
        let kind = self.common.names.kinds.get(usize::from(want.kind)).cloned();
        let (Some(probed), Some(source), Some(kind)) = (self.boxes.get_mut(&of), source, kind) else {
            return;
        };
        self.next_probe += 1;
        let tag = Tag { token, number: self.next_probe };
        let wait = self.pace.map_or(1, |p| p.patience / MS).max(1);
        // Sixteen digits that no client's lookup has: the first says so.
        let name = format!("d{:015x}", mix(token.term ^ mix(self.next_probe)) >> 4);
        let line = boxes::fetch(&name, &want, &kind, &source, wait, tag);
        let at = Token(probed.node as usize);
        // Its time ends it as any other that has no answer.
        if !probed.line.say(line.as_bytes(), self.poll.registry(), at, now) {
            probed.lost();
        }
    }

    fn call(&mut self, voter: u32, number: u64, words: Vec<Word>, now: Ns) {
        let request = Request { from: self.office.me(), words };
        let Some(peer) = self.peers.get_mut(voter as usize) else { return };
        let Ok(body) = rmp_serde::to_vec(&request) else { return };
        let call = peer.number(number);
        let bytes = rpc::call(call, DUTY, &body);
        // What can't be said is lost, as on any way.
        if !peer.line.say(&bytes, self.poll.registry(), Token(voter as usize), now) {
            peer.calls.clear();
        }
    }

    fn probe(&mut self, chore: u64, token: sablecross_duty::Token, now: Ns) {
        let Some(probed) = self.boxes.get_mut(&chore) else { return };
        self.next_probe += 1;
        let number = self.next_probe;
        probed.out.insert(number, token);
        let tag = Tag { token, number };
        let at = Token(probed.node as usize);
        if !probed.line.say(format!("METER {tag}\r\n").as_bytes(), self.poll.registry(), at, now) {
            // Its time ends it as any other that has no answer.
            probed.lost();
        }
    }

    fn facts(&mut self, findings: &[Finding]) {
        let found = findings.iter().filter(|f| f.age < LATELY).filter_map(|f| {
            let busy = match f.state {
                State::Well(busy) => f64::from(busy?),
                State::Ailing | State::Silent => return None,
            };
            Some((self.boxes.get(&f.chore)?.name.clone(), Load { busy: Some(busy), link: None }))
        });
        let found: Vec<(String, Load)> = found.collect();
        if !found.is_empty() {
            // A full queue has news enough; the next finding comes soon.
            let _ = self.common.events.try_send(Event::Found(found));
        }
    }

    fn writes(&mut self, at: usize, now: Ns) {
        let registry = self.poll.registry();
        if let Some(peer) = self.peers.get_mut(at) {
            if !peer.line.write(registry, now) {
                peer.calls.clear();
            }
        } else if let Some(probed) = self.tokens.get(&at).and_then(|chore| self.boxes.get_mut(chore))
            && !probed.line.write(registry, now)
        {
            probed.lost();
        }
    }

    fn reads(&mut self, at: usize, now: Ns) {
        if at < self.peers.len() {
            self.answers(at, now);
        } else if let Some(chore) = self.tokens.get(&at).copied() {
            self.probed(chore, now);
        }
    }

    fn answers(&mut self, at: usize, now: Ns) {
        let Some(peer) = self.peers.get_mut(at) else { return };
        let open = peer.line.read(self.poll.registry(), now, MOST_ANSWER);
        let mut used = 0;
        let mut said = Vec::new();
        let bad = loop {
            match rpc::answered(&peer.line.came[used..], &self.common.limits) {
                Ok((call, body, length)) => {
                    let number = peer.calls.remove(&call);
                    let answers = body.and_then(|b| rmp_serde::from_slice(b).ok());
                    said.extend(number.zip(answers));
                    used += length;
                }
                Err(Flaw::Short) => break false,
                Err(Flaw::Bad(_)) => break true,
            }
        };
        peer.line.came.drain(..used);
        if peer.calls.is_empty() {
            peer.line.settled();
        }
        if bad {
            peer.line.close(self.poll.registry(), now);
        }
        if bad || !open {
            peer.calls.clear();
        }
        for (number, answers) in said {
            self.office.answered(now, at as u32, number, answers);
        }
        self.carry(now);
    }

    fn probed(&mut self, chore: u64, now: Ns) {
        let Some(probed) = self.boxes.get_mut(&chore) else { return };
        if !probed.line.read(self.poll.registry(), now, MOST_LINE) {
            probed.lost();
            return;
        }
        let mut states = Vec::new();
        let mut fetched = Vec::new();
        loop {
            let skipped = probed.skip.min(probed.line.came.len());
            probed.line.came.drain(..skipped);
            probed.skip -= skipped;
            let Some(end) = probed.line.came.iter().position(|b| *b == b'\n').filter(|_| probed.skip == 0)
            else {
                break;
            };
            let line: Vec<u8> = probed.line.came.drain(..=end).collect();
            if let Some(head) = lines::head(line.trim_ascii_end()) {
                probed.skip = head.length + 2;
                fetched.push(
                    match (head.outcome, std::str::from_utf8(&line).is_ok_and(|l| l.contains("newest="))) {
                        (Outcome::Satisfied, _) => Ended::Fetched,
                        (Outcome::NeverSent, true) => Ended::Old,
                        _ => Ended::Held,
                    },
                );
                continue;
            }
            let answer = std::str::from_utf8(&line).ok().and_then(boxes::answer);
            if let Some((tag, state)) = answer
                && let Some(token) = probed.out.remove(&tag.number)
            {
                states.push((token, state));
            }
        }
        if probed.out.is_empty() {
            probed.line.settled();
        }
        if let Some((_, warming)) = self.warming.as_mut() {
            fetched.into_iter().for_each(|how| warming.ended(now, chore, how));
        }
        for (token, state) in states {
            self.office.probed(now, chore, token, state);
        }
        self.carry(now);
    }

    /// Connections that are stuck.
    fn sweep(&mut self, now: Ns) {
        let registry = self.poll.registry();
        for peer in self.peers.iter_mut().filter(|p| p.line.stuck(now)) {
            peer.line.close(registry, now);
            peer.calls.clear();
        }
        for probed in self.boxes.values_mut().filter(|p| p.line.stuck(now)) {
            probed.line.close(registry, now);
            probed.lost();
        }
    }
}
