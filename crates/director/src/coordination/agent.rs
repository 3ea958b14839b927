//! The thread that carries out what the office decides: calls to voters, probes of boxes, answers to callers. It waits for any of
//! them, and never for one alone.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, TryRecvError};
use mio::{Events, Poll, Token, Waker};
use sablecross::{
    EndpointState as Listed, HashRing, LoadReport, Ns, Outcome, Settings, cache_position, mix,
    parent_position, rank,
};
use sablecross_coordination::messages::{HealthObservation, HealthState, Message, Request};
use sablecross_coordination::{
    Action, CacheWarmer, Coordinator, FetchOutcome, HotObject, Member, WarmingLimits,
};
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController};

use super::connections::{NodeConnection, VoterConnection};
use super::health_check::{self, CheckedNode, HealthCheckTag};
use super::{AgentEvent, Hot};
use crate::clock::NS_PER_MS;
use crate::coordination_settings::{CoordinationSettings, HIERARCHY_ROLE, WARMING_ROLE, role_name};
use crate::discovery_event::{self, DiscoveryEvent};
use crate::events::Event;
use crate::name_table::PEER_CALL_METHOD;
use crate::os_error::is_would_block;
use crate::parent_hierarchy::VersionAnnouncement;
use crate::shared::SharedContext;
use crate::wire::node_protocol;
use crate::wire::rpc::{self, DecodeError};

const INBOX: Token = Token(usize::MAX);
/// Boxes' connections are numbered from here.
const BOXES: usize = 1 << 16;
/// An answer of a voter, and of a box.
const MOST_ANSWER: usize = 240_000;
const MOST_LINE: usize = 256 << 10;
/// How often a member says what it is asked for most, and how many objects.
const HOT_EVERY: Ns = 1_000 * NS_PER_MS;
const MOST_SAID: usize = 24;
/// A finding older than this tells the module nothing of how the box is.
const LATELY: Ns = 1_000 * NS_PER_MS;
/// After the word to stop, the time in which duties are handed over.
const LEAVING: Ns = 300 * NS_PER_MS;

pub struct Agent {
    office: Coordinator,
    common: Arc<SharedContext>,
    inbox: Receiver<AgentEvent>,
    poll: Poll,
    peers: Vec<VoterConnection>,
    /// Where each voter listens, by its member's number.
    addresses: BTreeMap<u32, SocketAddr>,
    probing: bool,
    /// Boxes that the list names, by the rank of their names.
    boxes: BTreeMap<u64, CheckedNode>,
    /// The numbers of their connections.
    tokens: BTreeMap<usize, u64>,
    next_token: usize,
    next_probe: u64,
    stopping: Option<Ns>,
    gone_after: Ns,
    /// While this member owns that duty.
    driving: Option<HierarchyController>,
    pace: Option<WarmingLimits>,
    warming: Option<(sablecross_coordination::FencingToken, CacheWarmer)>,
    hot: Option<Hot>,
    next_hot: Ns,
    /// The list as it stands, and which of its kinds are no caches: parents, the origin.
    list: BTreeMap<u64, discovery_event::Endpoint>,
    parents: Option<usize>,
    origin: usize,
}

impl Agent {
    pub fn new(
        setting: CoordinationSettings,
        own: &Settings,
        common: Arc<SharedContext>,
        inbox: Receiver<AgentEvent>,
        hot: Option<Hot>,
    ) -> io::Result<(Agent, Arc<Waker>)> {
        let number = own.director_index;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), INBOX)?);
        let life = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as u64);
        let me = Member { number: u32::try_from(number).unwrap_or(u32::MAX), incarnation: life };
        let now = common.clock.now();
        let addresses =
            setting.config.voters.iter().copied().zip(setting.voter_addresses.iter().copied()).collect();
        let agent = Agent {
            addresses,
            office: Coordinator::new(me, setting.config, mix(life ^ number as u64), now),
            common,
            inbox,
            poll,
            peers: setting.voter_addresses.into_iter().map(VoterConnection::new).collect(),
            probing: setting.probing,
            boxes: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_token: BOXES,
            next_probe: 0,
            stopping: None,
            gone_after: setting.member_gone_after,
            driving: None,
            pace: setting.warming.map(|p| WarmingLimits {
                initial_share: own.slow_start_initial_share,
                warm_up_time: own.slow_start_window,
                ..p
            }),
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
            let driving = self.driving.as_ref().map_or(Ns::MAX, HierarchyController::next_wakeup);
            let warming = self.warming.as_ref().map_or(Ns::MAX, |(_, w)| w.next_wakeup());
            let next = self.office.next_wakeup().min(driving).min(warming).min(now + 250 * NS_PER_MS);
            if let Err(e) = self.poll.poll(&mut events, Some(self.common.clock.until(next)))
                && !is_would_block(&e)
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
                Ok(AgentEvent::PeerCall { client, call, body }) => {
                    let said = match rmp_serde::from_slice::<Request>(&body) {
                        Ok(Request { from, messages: words }) => {
                            let said = self.office.on_request(now, from, &words);
                            self.carry(now);
                            rmp_serde::to_vec(&said).ok()
                        }
                        Err(e) => {
                            tracing::debug!("duty call of client {client}: {e}");
                            None
                        }
                    };
                    // The desk outlives this thread, but for the end of the program.
                    let _ = self.common.events.send(Event::PeerCallAnswered { client, call, body: said });
                }
                Ok(AgentEvent::EndpointsChanged { endpoints: members, is_snapshot: whole }) => {
                    self.listed(now, &members, whole)
                }
                Ok(AgentEvent::Reconfigure(setting)) => self.settle(now, *setting),
                Ok(AgentEvent::HierarchyApplied(in_force)) => {
                    self.office.set_applied_version(now, HIERARCHY_ROLE, (in_force.number, in_force.digest));
                }
                Ok(AgentEvent::Stop) => {
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

    fn listed(&mut self, now: Ns, members: &[discovery_event::Endpoint], whole: bool) {
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
                known.connection.set_address(m.address, self.poll.registry(), now);
            } else {
                let token = self.next_token;
                self.next_token += 1;
                self.tokens.insert(token, chore);
                let line = NodeConnection::new(m.address);
                let out = BTreeMap::new();
                let name = m.name.clone();
                self.boxes.insert(
                    chore,
                    CheckedNode {
                        name,
                        node: token as u64,
                        connection: line,
                        outstanding_checks: out,
                        body_bytes_to_skip: 0,
                    },
                );
            }
        }
        let boxes: BTreeSet<u64> = self.boxes.keys().copied().collect();
        self.office.update_targets(now, &boxes);
    }

    /// Takes other voters, one more or one less, or other addresses of theirs.
    fn settle(&mut self, now: Ns, setting: CoordinationSettings) {
        let voters = setting.config.voters.clone();
        match self.office.reconfigure(now, setting.config) {
            Ok(()) => {
                self.addresses.extend(voters.iter().copied().zip(setting.voter_addresses));
                self.carry(now);
                for (voter, peer) in voters.iter().zip(&mut self.peers) {
                    if let Some(at) = self.addresses.get(voter) {
                        peer.connection.set_address(*at, self.poll.registry(), now);
                    }
                }
                tracing::info!(voters = voters.len(), "reload duties");
            }
            Err(e) => tracing::error!("reload failed, the old duties stay: {e}"),
        }
    }

    fn drops(&mut self, chore: u64, now: Ns) {
        if let Some(mut gone) = self.boxes.remove(&chore) {
            gone.connection.close(self.poll.registry(), now);
            self.tokens.remove(&(gone.node as usize));
        }
    }

    /// Does what the office says, and what follows from it.
    fn carry(&mut self, now: Ns) {
        loop {
            let acts = self.office.take_actions();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    Action::Call { voter, call_id: number, messages: words } => {
                        self.call(voter, number, words, now)
                    }
                    Action::CheckHealth { target: chore, token } => self.probe(chore, token, now),
                    Action::HealthObservations(findings) => self.facts(&findings),
                    Action::Log(line) => tracing::info!("{line}"),
                    Action::VotersChanged(voters) => {
                        for peer in &mut self.peers {
                            peer.connection.close(self.poll.registry(), now);
                        }
                        let at = |v: &u32| self.addresses.get(v).copied().map(VoterConnection::new);
                        self.peers = voters.iter().filter_map(at).collect();
                    }
                    Action::RoleAcquired(duty, token) => {
                        tracing::info!(name = %role_name(duty), term = token.term, "duty owned");
                        if duty == HIERARCHY_ROLE {
                            self.driving = Some(HierarchyController::new(token, self.gone_after));
                        }
                        if duty == WARMING_ROLE {
                            self.warming = self.pace.map(|pace| (token, CacheWarmer::new(pace)));
                        }
                    }
                    Action::RoleLost(duty, term, by) => {
                        tracing::info!(name = %role_name(duty), term, ?by, "duty given up");
                        if duty == HIERARCHY_ROLE {
                            self.driving = None;
                        }
                        if duty == WARMING_ROLE {
                            self.warming = None;
                        }
                    }
                    Action::RegisterStored(duty, entry) if duty == HIERARCHY_ROLE => {
                        if let Some(driving) = self.driving.as_mut().filter(|d| d.token() == entry.token) {
                            driving.on_persisted(now, &entry);
                        }
                    }
                    Action::Proposal(duty, text) if duty == HIERARCHY_ROLE => {
                        if let Some(driving) = self.driving.as_mut() {
                            // What was declined is in the log and in what operators see.
                            let _ = driving.propose(now, &text);
                        }
                    }
                    Action::Published(duty, bytes) if duty == HIERARCHY_ROLE => self.told(&bytes),
                    Action::RegisterStored(..) | Action::Proposal(..) | Action::Published(..) => {}
                }
            }
        }
    }

    /// A version that the owner of driving has passed on to all.
    fn told(&mut self, bytes: &[u8]) {
        match VersionAnnouncement::from_controller(bytes) {
            Ok(told) => {
                // The desk outlives this thread, but for the end of the program.
                let _ = self.common.events.send(Event::Discovery(DiscoveryEvent::Hierarchy(Box::new(told))));
            }
            Err(e) => tracing::warn!("hierarchy told by a duty can't be used: {e}"),
        }
    }

    /// Drives changes on, while the duty is owned.
    fn drives(&mut self, now: Ns) {
        let Some(driving) = self.driving.as_mut() else { return };
        driving.update_members(now, &self.office.assignment().members);
        for (member, number, digest) in self.office.applied_versions(HIERARCHY_ROLE) {
            driving.on_version_applied(now, member, number, digest);
        }
        driving.tick(now);
        let token = driving.token();
        for order in driving.take_actions() {
            // Not past the lease; the gates of the voters refuse it all the same.
            if self.office.token(now, HIERARCHY_ROLE) != Some(token) {
                break;
            }
            match order {
                ControllerAction::Persist(bytes) => self.office.write_register(now, HIERARCHY_ROLE, bytes),
                ControllerAction::Publish { number, bytes } => {
                    self.office.publish(now, HIERARCHY_ROLE, number, bytes)
                }
                ControllerAction::Log(line) => tracing::info!("{line}"),
            }
        }
        self.office.set_role_status(HIERARCHY_ROLE, driving.status());
        self.carry(now);
    }

    /// Which caches of the list belong to which pies: those of one location are one.
    fn pie(&self, kind: impl Fn(Option<usize>) -> bool, zone: Option<&str>) -> (HashRing, Vec<u64>) {
        let of = |m: &discovery_event::Endpoint| kind(self.common.names.node_kinds.get(&m.kind).copied());
        let all = self.list.iter().filter(|(_, m)| of(m) && zone.is_none_or(|z| z == m.zone));
        let members: Vec<u64> = all.map(|(chore, _)| *chore).collect();
        let stands = members.iter().enumerate().map(|(i, rank)| (*rank, i, 0)).collect();
        (HashRing::build(stands), members)
    }

    /// Warms fresh caches, while that duty is owned; says what is asked for most here.
    fn warms(&mut self, now: Ns) {
        let tick = now >= self.next_hot;
        if tick {
            self.next_hot = now + HOT_EVERY;
            if let Some(mut hot) = self.hot.as_ref().and_then(|hot| hot.lock().ok()) {
                let top = hot.top(MOST_SAID).into_iter().map(|(want, count)| (want, count as f32)).collect();
                hot.decay(0.5);
                self.office.report_hot_objects(top);
            }
        }
        let (parents, origin) = (self.parents, self.origin);
        let is_cache = |k: Option<usize>| k.is_some() && k != parents && k != Some(origin);
        if tick && self.warming.is_some() {
            let ready = |m: &discovery_event::Endpoint| m.state == Listed::Ready;
            let is =
                |m: &discovery_event::Endpoint| is_cache(self.common.names.node_kinds.get(&m.kind).copied());
            let fresh = self.list.iter().filter(|(_, m)| ready(m) && is(m)).map(|(c, m)| (*c, m.started_at));
            let fresh: BTreeMap<u64, Ns> = fresh.collect();
            let hottest = self.office.hottest_objects();
            let mut boxes = Vec::new();
            if let Some((_, warming)) = self.warming.as_mut() {
                warming.update_caches(now, &fresh);
                boxes.extend(warming.caches());
            }
            for of in boxes {
                let Some(zone) = self.list.get(&of).map(|m| m.zone.clone()) else { continue };
                let (pie, members) = self.pie(is_cache, Some(&zone));
                let own = |w: &&HotObject| {
                    let home = pie.owner(cache_position(w.object, w.part), |_| true);
                    home.and_then(|i| members.get(i)) == Some(&of)
                };
                let wants: Vec<HotObject> = hottest.iter().filter(own).copied().collect();
                if let Some((_, warming)) = self.warming.as_mut() {
                    warming.set_objects(of, &wants);
                }
            }
        }
        let Some((token, warming)) = self.warming.as_mut() else { return };
        let token = *token;
        let due = warming.take_due(now);
        if due.is_empty() {
            return;
        }
        let (parents, names) = self.pie(|k| k.is_some() && k == parents, None);
        for (of, want) in due {
            // Right before each effect.
            if self.office.token(now, WARMING_ROLE) != Some(token) {
                return;
            }
            self.fetch(of, want, token, &parents, &names, now);
        }
    }

    fn fetch(
        &mut self,
        of: u64,
        want: HotObject,
        token: sablecross_coordination::FencingToken,
        parents: &HashRing,
        names: &[u64],
        now: Ns,
    ) {
        let ready =
            |i: usize| names.get(i).and_then(|n| self.list.get(n)).is_some_and(|m| m.state == Listed::Ready);
        let home = parents.owner(parent_position(want.object), ready).and_then(|i| names.get(i));
        let source = home.and_then(|n| self.list.get(n)).map(|m| m.name.clone());
        let kind = self.common.names.classes.get(usize::from(want.class)).cloned();
        let (Some(probed), Some(source), Some(kind)) = (self.boxes.get_mut(&of), source, kind) else {
            return;
        };
        self.next_probe += 1;
        let tag = HealthCheckTag { token, sequence: self.next_probe };
        let wait = self.pace.map_or(1, |p| p.fetch_timeout / NS_PER_MS).max(1);
        // Sixteen digits that no client's lookup has: the first says so.
        let name = format!("d{:015x}", mix(token.term ^ mix(self.next_probe)) >> 4);
        let line = health_check::fetch_request(&name, &want, &kind, &source, wait, tag);
        let at = Token(probed.node as usize);
        // Its time ends it as any other that has no answer.
        if !probed.connection.send(line.as_bytes(), self.poll.registry(), at, now) {
            probed.lost();
        }
    }

    fn call(&mut self, voter: u32, number: u64, words: Vec<Message>, now: Ns) {
        let request = Request { from: self.office.me(), messages: words };
        let Some(peer) = self.peers.get_mut(voter as usize) else { return };
        let Ok(body) = rmp_serde::to_vec(&request) else { return };
        let call = peer.next_call_id(number);
        let bytes = rpc::encode_call(call, PEER_CALL_METHOD, &body);
        // What can't be said is lost, as on any way.
        if !peer.connection.send(&bytes, self.poll.registry(), Token(voter as usize), now) {
            peer.calls.clear();
        }
    }

    fn probe(&mut self, chore: u64, token: sablecross_coordination::FencingToken, now: Ns) {
        let Some(probed) = self.boxes.get_mut(&chore) else { return };
        self.next_probe += 1;
        let number = self.next_probe;
        probed.outstanding_checks.insert(number, token);
        let tag = HealthCheckTag { token, sequence: number };
        let at = Token(probed.node as usize);
        if !probed.connection.send(format!("METER {tag}\r\n").as_bytes(), self.poll.registry(), at, now) {
            // Its time ends it as any other that has no answer.
            probed.lost();
        }
    }

    fn facts(&mut self, findings: &[HealthObservation]) {
        let found = findings.iter().filter(|f| f.age < LATELY).filter_map(|f| {
            let busy = match f.state {
                HealthState::Healthy(busy) => f64::from(busy?),
                HealthState::Unhealthy | HealthState::TimedOut => return None,
            };
            Some((
                self.boxes.get(&f.target)?.name.clone(),
                LoadReport { cpu_utilization: Some(busy), link_utilization: None },
            ))
        });
        let found: Vec<(String, LoadReport)> = found.collect();
        if !found.is_empty() {
            // A full queue has news enough; the next finding comes soon.
            let _ = self.common.events.try_send(Event::HealthReports(found));
        }
    }

    fn writes(&mut self, at: usize, now: Ns) {
        let registry = self.poll.registry();
        if let Some(peer) = self.peers.get_mut(at) {
            if !peer.connection.write(registry, now) {
                peer.calls.clear();
            }
        } else if let Some(probed) = self.tokens.get(&at).and_then(|chore| self.boxes.get_mut(chore))
            && !probed.connection.write(registry, now)
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
        let open = peer.connection.read(self.poll.registry(), now, MOST_ANSWER);
        let mut used = 0;
        let mut said = Vec::new();
        let bad = loop {
            match rpc::decode_response(&peer.connection.received[used..], &self.common.limits) {
                Ok((call, body, length)) => {
                    let number = peer.calls.remove(&call);
                    let answers = body.and_then(|b| rmp_serde::from_slice(b).ok());
                    said.extend(number.zip(answers));
                    used += length;
                }
                Err(DecodeError::Incomplete) => break false,
                Err(DecodeError::Invalid(_)) => break true,
            }
        };
        peer.connection.received.drain(..used);
        if peer.calls.is_empty() {
            peer.connection.all_answered();
        }
        if bad {
            peer.connection.close(self.poll.registry(), now);
        }
        if bad || !open {
            peer.calls.clear();
        }
        for (number, answers) in said {
            self.office.on_replies(now, at as u32, number, answers);
        }
        self.carry(now);
    }

    fn probed(&mut self, chore: u64, now: Ns) {
        let Some(probed) = self.boxes.get_mut(&chore) else { return };
        if !probed.connection.read(self.poll.registry(), now, MOST_LINE) {
            probed.lost();
            return;
        }
        let mut states = Vec::new();
        let mut fetched = Vec::new();
        loop {
            let skipped = probed.body_bytes_to_skip.min(probed.connection.received.len());
            probed.connection.received.drain(..skipped);
            probed.body_bytes_to_skip -= skipped;
            let Some(end) = probed
                .connection
                .received
                .iter()
                .position(|b| *b == b'\n')
                .filter(|_| probed.body_bytes_to_skip == 0)
            else {
                break;
            };
            let line: Vec<u8> = probed.connection.received.drain(..=end).collect();
            if let Some(head) = node_protocol::parse_answer_head(line.trim_ascii_end()) {
                probed.body_bytes_to_skip = head.body_length + 2;
                fetched.push(
                    match (head.outcome, std::str::from_utf8(&line).is_ok_and(|l| l.contains("newest="))) {
                        (Outcome::Success, _) => FetchOutcome::Fetched,
                        (Outcome::NotSent, true) => FetchOutcome::StaleToken,
                        _ => FetchOutcome::Busy,
                    },
                );
                continue;
            }
            let answer = std::str::from_utf8(&line).ok().and_then(health_check::parse_answer);
            if let Some((tag, state)) = answer
                && let Some(token) = probed.outstanding_checks.remove(&tag.sequence)
            {
                states.push((token, state));
            }
        }
        if probed.outstanding_checks.is_empty() {
            probed.connection.all_answered();
        }
        if let Some((_, warming)) = self.warming.as_mut() {
            fetched.into_iter().for_each(|how| warming.on_fetch_ended(now, chore, how));
        }
        for (token, state) in states {
            self.office.on_check_result(now, chore, token, state);
        }
        self.carry(now);
    }

    /// Connections that are stuck.
    fn sweep(&mut self, now: Ns) {
        let registry = self.poll.registry();
        for peer in self.peers.iter_mut().filter(|p| p.connection.is_stuck(now)) {
            peer.connection.close(registry, now);
            peer.calls.clear();
        }
        for probed in self.boxes.values_mut().filter(|p| p.connection.is_stuck(now)) {
            probed.connection.close(registry, now);
            probed.lost();
        }
    }
}
