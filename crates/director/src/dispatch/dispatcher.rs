//! The desk: one thread owns the module, the lookups in hand and the timers. It waits for events alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use sablecross::invariants::{self, PriorAttempt, ProposedAttempt, Violation};
use sablecross::{AttemptSpec, Effect, Ns, Outcome, Request, Router};
use sablecross_inflight::{AttemptResult, InflightTable, Transport};

use crate::clock::NS_PER_MS;
use crate::coordination::CoordinationHandle;
use crate::counters::{self, Counters};
use crate::discovery_event::{DiscoveryEvent, NumberedEvent};
use crate::events::{
    AttemptEnded, CallId, ClientId, ConnectionLoss, Event, IncomingRequest, NodeConnectionId, RequestId,
};
use crate::parent_hierarchy::{ActiveHierarchy, AppliedVersion, ParentHierarchy};
use crate::shared::SharedContext;
use crate::wire::client_server::{PendingResponse, Response, ResponseSender};
use crate::wire::node_pool::{InflightAttempt, NodePool};
use crate::wire::node_protocol::request_id_text;

struct Kept {
    asked: Box<IncomingRequest>,
    deadline: Ns,
    /// The connection on which each of its sends is out.
    links: Vec<Option<NodeConnectionId>>,
    /// All connections that carried one.
    before: Vec<NodeConnectionId>,
    /// What the rules ask of its attempts.
    earlier: Vec<PriorAttempt>,
    answered: bool,
    /// The hierarchy by which it is filled, as it was when it came.
    upper: Option<Arc<ActiveHierarchy>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    TimeOut { id: u64, shot: usize },
    Ask { id: u64, turn: u32 },
}

/// Carries out what the module decides.
struct Floor {
    now: Ns,
    common: Arc<SharedContext>,
    nodes: NodePool,
    outlet: ResponseSender,
    /// Answers for which there was no room on the way to the clients.
    untold: VecDeque<PendingResponse>,
    /// Its lookups in hand by their numbers, for each connection of a client.
    callers: HashMap<ClientId, HashMap<u32, u64>>,
    /// By their numbers, which rise.
    kept: BTreeMap<u64, Kept>,
    /// The lookup in hand of each name.
    names: HashMap<RequestId, u64>,
    timers: BinaryHeap<Reverse<(Ns, Timer)>>,
    /// At so many, those of lookups that are out of hand are dropped.
    most_timers: usize,
    /// Ends of sends that came without an event.
    ends: VecDeque<(u64, usize, AttemptResult)>,
    counters: Counters,
    /// By object kind.
    effects: Vec<Effect>,
    upper: ParentHierarchy,
    duties: CoordinationHandle,
    /// To the feed's thread: what is in force.
    in_force: Sender<AppliedVersion>,
}

pub struct Dispatcher {
    hand: InflightTable,
    floor: Floor,
    next: u64,
    ready: bool,
    /// When the signal to stop came.
    stopped: Option<Ns>,
    /// The clients' thread was told to finish; it has.
    finishing: bool,
    finished: bool,
}

impl Floor {
    fn end(&mut self, id: u64, shot: usize, outcome: Outcome, took: Ns) {
        self.ends.push_back((
            id,
            shot,
            AttemptResult { outcome, elapsed: took, is_cache_hit: None, is_final: false },
        ));
    }

    fn tell(&mut self, client: ClientId, call: CallId, until: Ns, say: Response) {
        if let Some(calls) = self.callers.get_mut(&client) {
            calls.remove(&call.number);
        }
        self.untold.push_back(PendingResponse { client, call, deadline: until, response: say });
        self.tell_on();
    }

    /// Hands over the answers that found no room, in their order. No more wait than clients may leave unanswered.
    fn tell_on(&mut self) {
        while let Some(reply) = self.untold.pop_front() {
            if let Err(reply) = self.outlet.send(reply) {
                self.untold.push_front(reply);
                return;
            }
        }
    }

    fn timer(&mut self, at: Ns, timer: Timer) {
        if self.timers.len() >= self.most_timers {
            let Floor { timers, kept, .. } = self;
            timers.retain(|Reverse((_, timer))| match timer {
                Timer::TimeOut { id, .. } | Timer::Ask { id, .. } => kept.contains_key(id),
            });
            self.most_timers = self.common.limits.event_queue_length + 2 * self.timers.len();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// The one final answer.
    fn answer(&mut self, id: u64, say: Response) {
        let Some(kept) = self.kept.get_mut(&id) else { return };
        if let Err(why) = invariants::check_answer(kept.answered) {
            // Of two copies that are out at once both may be satisfied: the second one is for nobody.
            if !matches!(say, Response::Success(_)) {
                self.counters.record_violation(request_id_text(&kept.asked.request_id), why);
            }
            return;
        }
        kept.answered = true;
        let (client, call, until) =
            (kept.asked.client, kept.asked.call, kept.deadline + self.common.limits.answer_margin);
        self.counters.late += u64::from(self.now >= until);
        match say {
            Response::Success(ref body) => {
                self.counters.succeeded += 1;
                self.counters.unchanged += u64::from(body.is_none());
            }
            Response::Rejected { .. } => self.counters.rejected += 1,
            Response::Failed | Response::Health(_) => self.counters.failed += 1,
        }
        self.tell(client, call, until, say);
    }

    /// Whether the rules let this attempt be made.
    fn check(&self, id: u64, send: &AttemptSpec) -> Result<(), Violation> {
        let Some(kept) = self.kept.get(&id) else { return Err(Violation::AttemptAfterAnswer) };
        let chosen = ProposedAttempt {
            effect: self.effects.get(kept.asked.class).copied().unwrap_or(Effect::SideEffecting),
            is_answered: kept.answered,
            is_client_gone: kept.asked.cancellation.is_cancelled(),
            deadline: kept.deadline,
            node_state: self.nodes.state(send.node),
            source_state: send.source.map(|source| self.nodes.state(source)),
            prior_attempts: &kept.earlier,
        };
        chosen.check(self.now)
    }

    /// An attempt that a rule forbids was never made.
    fn refuse(&mut self, id: u64, shot: usize, why: Violation) {
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.links.push(None);
            kept.earlier.push(PriorAttempt { sent_at: self.now, outcome: Some(Outcome::NotSent) });
            // A client may go in the moment in which the attempt is chosen.
            if why != Violation::AttemptForGoneClient {
                self.counters.record_violation(request_id_text(&kept.asked.request_id), why);
            }
        }
        self.end(id, shot, Outcome::NotSent, Ns::MAX);
    }

    /// Gives a send up; its end comes from the queue.
    fn give_up(&mut self, id: u64, shot: usize, outcome: Outcome) {
        let Some(kept) = self.kept.get_mut(&id) else { return };
        let Some(link) = kept.links.get_mut(shot).and_then(Option::take) else { return };
        let out = self.nodes.abandon(link, &kept.asked.request_id, self.now);
        let took = out.map_or(0, |out| self.now.saturating_sub(out.sent_at));
        self.end(id, shot, outcome, took);
    }
}

impl Transport for Floor {
    fn send(&mut self, id: u64, shot: usize, send: &AttemptSpec) {
        if let Err(refused) = self.check(id, send) {
            self.refuse(id, shot, refused);
            return;
        }
        let Some(kept) = self.kept.get_mut(&id) else { return };
        let out = InflightAttempt { id, attempt: shot, sent_at: self.now };
        kept.earlier.push(PriorAttempt { sent_at: self.now, outcome: None });
        tracing::debug!(
            "request {} attempt {shot} to {} from {}",
            request_id_text(&kept.asked.request_id),
            self.nodes.name(send.node),
            send.source.map_or("-", |source| self.nodes.name(source)),
        );
        self.counters.attempts += 1;
        self.counters.further_attempts += u64::from(shot > 0);
        let way = kept
            .upper
            .as_ref()
            .zip(send.source)
            .and_then(|(upper, source)| upper.fill_path(self.nodes.name(source), kept.asked.object));
        let link = self.nodes.send(out, &kept.asked, send, way.as_deref(), &kept.before);
        kept.links.push(link.ok());
        kept.before.extend(link.ok());
        match link {
            Ok(_) => self.timer(self.now + send.timeout, Timer::TimeOut { id, shot }),
            // It never went out: that it came back at once tells nothing of how quick its node is.
            Err(outcome) => self.end(id, shot, outcome, Ns::MAX),
        }
    }

    fn reject(&mut self, id: u64, pause: Ns) {
        self.answer(id, Response::Rejected { retry_after_ms: pause / NS_PER_MS });
    }

    fn fail(&mut self, id: u64) {
        self.answer(id, Response::Failed);
    }

    fn cancel(&mut self, id: u64, shot: usize) {
        self.give_up(id, shot, Outcome::Cancelled);
    }

    fn schedule_check(&mut self, id: u64, turn: u32, wait: Ns) {
        self.timer(self.now + wait, Timer::Ask { id, turn });
    }

    fn release(&mut self, id: u64) {
        if let Some(kept) = self.kept.remove(&id)
            && self.names.get(&kept.asked.request_id) == Some(&id)
        {
            self.names.remove(&kept.asked.request_id);
        }
    }
}

impl Dispatcher {
    pub fn new(
        choice: Router,
        nodes: NodePool,
        outlet: ResponseSender,
        common: Arc<SharedContext>,
        upper: ParentHierarchy,
        duties: CoordinationHandle,
        in_force: Sender<AppliedVersion>,
    ) -> Dispatcher {
        let floor = Floor {
            now: common.clock.now(),
            common,
            nodes,
            outlet,
            untold: VecDeque::new(),
            callers: HashMap::new(),
            kept: BTreeMap::new(),
            names: HashMap::new(),
            timers: BinaryHeap::new(),
            most_timers: 0,
            ends: VecDeque::new(),
            counters: Counters::default(),
            effects: choice.effects(),
            upper,
            duties,
            in_force,
        };
        Dispatcher {
            hand: InflightTable::new(choice),
            floor,
            next: 0,
            ready: false,
            stopped: None,
            finishing: false,
            finished: false,
        }
    }

    /// Serves until it was told to stop and nothing is open. A vital thread that ends is an error.
    pub fn run(&mut self, events: &Receiver<Event>) -> Result<(), String> {
        loop {
            self.floor.now = self.floor.common.clock.now();
            self.due();
            self.floor.tell_on();
            self.finish();
            // All that clients were owed is written, or they have left; what is out still is for nobody.
            if self.finished && self.floor.kept.is_empty() {
                return Ok(());
            }
            let next = self.floor.timers.peek().map_or(Ns::MAX, |Reverse((when, _))| *when);
            let next = if self.stopped.is_some() && !self.finishing || !self.floor.untold.is_empty() {
                next.min(self.floor.now + self.floor.common.limits.shutdown_poll_interval)
            } else {
                next
            };
            let event = if next == Ns::MAX {
                events.recv().map_err(|_| RecvTimeoutError::Disconnected)
            } else {
                events.recv_timeout(self.floor.common.clock.until(next))
            };
            match event {
                Ok(event) => {
                    self.floor.now = self.floor.common.clock.now();
                    self.event(event)?;
                    self.settle();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err("nobody is left to listen to".into()),
            }
        }
    }

    /// Some time after the signal to stop no more lookups are taken; what is in hand goes on to its end.
    fn finish(&mut self) {
        let stopping = self.floor.common.limits.shutdown_delay;
        if !self.finishing && self.stopped.is_some_and(|at| self.floor.now >= at + stopping) {
            self.finishing = true;
            self.floor.outlet.begin_shutdown();
        }
    }

    pub fn log_counters(&mut self) {
        let f = &mut self.floor;
        f.counters.in_flight = f.kept.values().filter(|k| !k.answered).count() as u64;
        (f.counters.connections_opened, f.counters.connections_open) =
            (f.nodes.opened_connections(), f.nodes.open_connections() as u64);
        tracing::info!("counters {} {}{}", f.counters, f.common.counters, counters::process_usage());
    }

    /// Timers whose time has come.
    fn due(&mut self) {
        while let Some(&Reverse((when, timer))) = self.floor.timers.peek() {
            if when > self.floor.now {
                return;
            }
            self.floor.timers.pop();
            match timer {
                Timer::TimeOut { id, shot } => self.floor.give_up(id, shot, Outcome::TimedOut),
                Timer::Ask { id, turn } => {
                    self.heed(id);
                    self.hand.check(id, turn, self.floor.now, &mut self.floor);
                }
            }
            self.settle();
        }
    }

    /// Ends that came without an event, and the notes of the module.
    fn settle(&mut self) {
        while let Some((id, shot, end)) = self.floor.ends.pop_front() {
            self.ended(id, shot, end);
        }
        for line in self.hand.router.take_log_lines() {
            tracing::info!("{line}");
        }
    }

    fn ended(&mut self, id: u64, shot: usize, end: AttemptResult) {
        self.floor.counters.record_outcome(end.outcome);
        if let Some(kept) = self.floor.kept.get_mut(&id) {
            tracing::debug!(
                "request {} attempt {shot} ended {:?}",
                request_id_text(&kept.asked.request_id),
                end.outcome
            );
            if let Some(earlier) = kept.earlier.get_mut(shot) {
                earlier.outcome = Some(end.outcome);
            }
        }
        self.heed(id);
        self.hand.on_attempt_result(id, shot, end, self.floor.now, &mut self.floor);
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        let now = self.floor.now;
        match event {
            Event::Request(asked) => self.asked(asked),
            Event::Unusable { client, call, is_overload: crowded } => self.unfit(client, call, crowded),
            Event::HealthCheck { client, call } => {
                let alive = Response::Health(self.ready && self.stopped.is_none());
                self.floor.tell(client, call, now + self.floor.common.limits.default_write_timeout, alive);
            }
            Event::Cancelled { client, call } => {
                let id = self.floor.callers.get_mut(&client).and_then(|calls| calls.remove(&call));
                if let Some(id) = id {
                    self.cancelled(id);
                }
            }
            Event::ClientDisconnected { client } => {
                let calls = self.floor.callers.remove(&client).unwrap_or_default();
                let mut left: Vec<u64> = calls.into_values().collect();
                left.sort_unstable();
                left.into_iter().for_each(|id| self.cancelled(id));
            }
            Event::AttemptEnded { connection: link, result: ended } => self.answered(link, *ended),
            Event::ConnectionLost { connection: link, loss: why, begun_requests: begun } => {
                for InflightAttempt { id, attempt: shot, sent_at: at } in
                    self.floor.nodes.on_connection_lost(link)
                {
                    let Some(kept) = self.floor.kept.get_mut(&id) else { continue };
                    kept.links[shot] = None;
                    // A connection reset while it was idle says nothing of its node.
                    let outcome = match why {
                        ConnectionLoss::Unreachable => Outcome::ConnectFailed,
                        ConnectionLoss::Broken if begun.contains(&kept.asked.request_id) => {
                            Outcome::ConnectionLost
                        }
                        ConnectionLoss::Broken | ConnectionLoss::LocalShortage => Outcome::NotSent,
                    };
                    self.floor.end(id, shot, outcome, now.saturating_sub(at));
                }
            }
            Event::AttemptNotSent { connection: link, request_id: name } => {
                if let Some(InflightAttempt { id, attempt: shot, .. }) =
                    self.floor.nodes.on_not_sent(link, &name)
                    && let Some(kept) = self.floor.kept.get_mut(&id)
                {
                    kept.links[shot] = None;
                    self.floor.end(id, shot, Outcome::NotSent, Ns::MAX);
                }
            }
            Event::Discovery(fact) => self.on_discovery_event(fact),
            Event::PeerCalled { client, call, body } => {
                if !self.floor.duties.forward_call(client, call, body) {
                    self.floor.tell(
                        client,
                        call,
                        now + self.floor.common.limits.default_write_timeout,
                        Response::Failed,
                    );
                }
            }
            Event::PeerCallAnswered { client, call, body: said } => {
                let body = said.and_then(|said| {
                    let mut body = self.floor.common.memory_budget.allocate_body(said.len())?;
                    body.bytes_mut().copy_from_slice(&said);
                    Some(Arc::new(body))
                });
                let say = body.map_or(Response::Failed, |body| Response::Success(Some(body)));
                self.floor.tell(client, call, now + self.floor.common.limits.default_write_timeout, say);
            }
            Event::CoordinationReloaded(setting) => self.floor.duties.reconfigure(*setting),
            Event::HealthReports(found) => {
                for (name, load) in found {
                    if let Some(node) = self.floor.nodes.index_of(&name) {
                        self.hand.router.record_load(now, node, load);
                    }
                }
            }
            Event::Shutdown => {
                if self.stopped.is_none() {
                    tracing::info!("stopping in_hand={}", self.floor.kept.len());
                    self.floor.duties.stop();
                    self.stopped = Some(now);
                }
            }
            Event::LogCounters => self.log_counters(),
            Event::ClientsFinished => self.finished = true,
            Event::ThreadEnded("clients") if self.finished => {}
            Event::ThreadEnded(name) => return Err(format!("thread {name} ended")),
        }
        Ok(())
    }

    /// The events that are known at the start.
    pub fn apply_known_events(&mut self, events: Vec<NumberedEvent>) {
        // All of their starts first: of several that are known at once the latest bounds the ages of the others.
        for event in &events {
            if let DiscoveryEvent::Endpoints { endpoints: members, .. } = &event.event {
                self.floor.nodes.observe_starts(members);
            }
        }
        events.into_iter().for_each(|event| self.on_discovery_event(event.event));
    }

    pub fn on_discovery_event(&mut self, fact: DiscoveryEvent) {
        let now = self.floor.now;
        self.floor.counters.discovery_events += 1;
        match fact {
            DiscoveryEvent::Endpoints { endpoints: members, is_snapshot: whole } => {
                let oldest = self.floor.kept.first_key_value().map_or(self.next, |(id, _)| *id);
                let Floor { nodes, upper, duties, .. } = &mut self.floor;
                let mut lines = nodes.update_endpoints(&members, whole, oldest, self.next);
                duties.update_endpoints(&members, whole);
                upper.update_parents(&mut lines, whole, |node| nodes.name(node).to_owned());
                self.ready |= !lines.is_empty();
                self.hand.router.update_endpoints(now, &lines, whole);
            }
            DiscoveryEvent::Purge { object, group } => {
                // What waits for its connection asked for copies from before.
                let Floor { nodes, kept, .. } = &mut self.floor;
                nodes.withdraw(|out, _, _| {
                    kept.get(&out.id).is_some_and(|k| match object {
                        Some(object) => k.asked.object == object,
                        None => k.asked.group == group,
                    })
                });
                // It was made no later than now. The time that its maker wrote on it is of another wall clock than
                // this machine's, either of which may be off: an age measured between the two can be too long.
                self.hand.router.record_purge(now, object, group, 0);
            }
            DiscoveryEvent::Hierarchy(told) => {
                if let Some((lines, in_force)) = self.floor.upper.adopt(&told) {
                    self.hand.router.update_endpoints(now, &lines, false);
                    self.floor.duties.hierarchy_applied(in_force);
                    // One that finds no room is said with the next event, or when the feed is called again.
                    let _ = self.floor.in_force.try_send(in_force);
                }
            }
        }
    }

    fn asked(&mut self, asked: Box<IncomingRequest>) {
        let (client, call, f) = (asked.client, asked.call, &mut self.floor);
        if asked.cancellation.is_cancelled() {
            f.counters.received += 1;
            f.counters.cancelled += 1;
            return;
        }
        let calls = f.callers.entry(client).or_default();
        if self.finishing
            || calls.len() >= f.common.limits.max_open_per_client
            || f.kept.len() >= f.common.limits.max_requests
        {
            return self.unfit(client, call, true);
        }
        let id = self.next;
        // A name is one lookup's: what another asks for under it could be answered with what is not its own.
        let first = *f.names.entry(asked.request_id).or_insert(id);
        let same = |k: &Kept| {
            (k.asked.object, k.asked.part, k.asked.class) == (asked.object, asked.part, asked.class)
        };
        if f.kept.get(&first).is_some_and(|k| !same(k)) {
            return self.unfit(client, call, false);
        }
        self.next += 1;
        calls.insert(call.number, id);
        f.counters.received += 1;
        f.duties.record_request(asked.object, asked.part, asked.class);
        let deadline = (asked.arrived_at + asked.budget).saturating_sub(f.common.limits.answer_margin);
        let lookup = Request {
            object: asked.object,
            part: asked.part,
            group: asked.group,
            class: asked.class,
            size_kb: asked.size_kb,
            arrived_at: asked.arrived_at,
            deadline,
            is_client_retry: asked.is_client_retry,
            is_write: false,
            attempts: Vec::new(),
        };
        f.kept.insert(
            id,
            Kept {
                asked,
                deadline,
                links: Vec::new(),
                before: Vec::new(),
                earlier: Vec::new(),
                answered: false,
                upper: f.upper.active().cloned(),
            },
        );
        self.hand.admit(id, lookup, f.now, f);
    }

    fn unfit(&mut self, client: ClientId, call: CallId, crowded: bool) {
        let c = &mut self.floor.counters;
        c.received += 1;
        let say = if crowded {
            c.rejected_overload += 1;
            c.rejected += 1;
            Response::Rejected { retry_after_ms: 0 }
        } else {
            c.unusable += 1;
            c.failed += 1;
            Response::Failed
        };
        let until = self.floor.now + self.floor.common.limits.default_write_timeout;
        self.floor.tell(client, call, until, say);
    }

    /// What its client has withdrawn is over, though the event that says so waits behind others still.
    fn heed(&mut self, id: u64) {
        if self.floor.kept.get(&id).is_some_and(|k| k.asked.cancellation.is_cancelled()) {
            self.cancelled(id);
        }
    }

    fn cancelled(&mut self, id: u64) {
        let Some(kept) = self.floor.kept.get_mut(&id).filter(|k| !k.answered) else { return };
        kept.answered = true;
        let sends = kept.links.len();
        self.floor.counters.cancelled += 1;
        self.hand.abandon(id, &mut self.floor);
        (0..sends).for_each(|shot| self.floor.give_up(id, shot, Outcome::Cancelled));
    }

    fn answered(&mut self, link: NodeConnectionId, ended: AttemptEnded) {
        let node = self.floor.nodes.node_of(link);
        if let (Some(load), Some(node)) = (ended.load, node) {
            self.hand.router.record_load(self.floor.now, node, load);
        }
        let Some(InflightAttempt { id, attempt: shot, sent_at: at }) =
            self.floor.nodes.on_answer(link, &ended.request_id, ended.ended_at)
        else {
            return;
        };
        let Some(kept) = self.floor.kept.get_mut(&id) else { return };
        kept.links[shot] = None;
        let mut outcome = ended.outcome;
        if let Some(copy) = ended.copy {
            let held = kept.asked.client_tag.as_deref();
            if copy.body.is_none() && held != Some(&*copy.tag) {
                // Nothing to pass on: the client holds no copy that was named as current.
                outcome = Outcome::Error;
            } else {
                let body = copy.body.filter(|_| copy.tag.is_empty() || held != Some(&*copy.tag));
                self.floor.answer(id, Response::Success(body));
            }
        }
        let (took, over) = (ended.ended_at.saturating_sub(at), outcome == Outcome::Success);
        self.ended(
            id,
            shot,
            AttemptResult { outcome, elapsed: took, is_cache_hit: ended.is_cache_hit, is_final: over },
        );
    }
}
