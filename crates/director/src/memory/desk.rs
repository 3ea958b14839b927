//! The desk: one thread owns the module, the lookups in hand and the timers. It waits for events alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use sablecross::rules::{self, Chosen, Earlier, Violation};
use sablecross::{Choice, Effect, Lookup, Ns, Outcome, Send};
use sablecross_inhand::{Carrier, End, Hand};

use crate::common::Common;
use crate::duty::Duties;
use crate::exchange::{Asked, Call, Client, Ended, Event, Link, LinkLoss, Name};
use crate::plain::clock::MS;
use crate::plain::counters::{self, Counters};
use crate::plain::facts::{Fact, Numbered};
use crate::upper::{Current, InForce, Upper};
use crate::wire::clients::{Outlet, Reply, Say};
use crate::wire::lines::text;
use crate::wire::nodes::{Nodes, Out};

struct Kept {
    asked: Box<Asked>,
    deadline: Ns,
    /// The connection on which each of its sends is out.
    links: Vec<Option<Link>>,
    /// All connections that carried one.
    before: Vec<Link>,
    /// What the rules ask of its attempts.
    earlier: Vec<Earlier>,
    answered: bool,
    /// The hierarchy by which it is filled, as it was when it came.
    upper: Option<Arc<Current>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    TimeOut { id: u64, shot: usize },
    Ask { id: u64, turn: u32 },
}

/// Carries out what the module decides.
struct Floor {
    now: Ns,
    common: Arc<Common>,
    nodes: Nodes,
    outlet: Outlet,
    /// Answers for which there was no room on the way to the clients.
    untold: VecDeque<Reply>,
    /// Its lookups in hand by their numbers, for each connection of a client.
    callers: HashMap<Client, HashMap<u32, u64>>,
    /// By their numbers, which rise.
    kept: BTreeMap<u64, Kept>,
    /// The lookup in hand of each name.
    names: HashMap<Name, u64>,
    timers: BinaryHeap<Reverse<(Ns, Timer)>>,
    /// At so many, those of lookups that are out of hand are dropped.
    most_timers: usize,
    /// Ends of sends that came without an event.
    ends: VecDeque<(u64, usize, End)>,
    counters: Counters,
    /// By object kind.
    effects: Vec<Effect>,
    upper: Upper,
    duties: Duties,
    /// To the feed's thread: what is in force.
    in_force: Sender<InForce>,
}

pub struct Desk {
    hand: Hand,
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
        self.ends.push_back((id, shot, End { outcome, took, hit: None, over: false }));
    }

    fn tell(&mut self, client: Client, call: Call, until: Ns, say: Say) {
        if let Some(calls) = self.callers.get_mut(&client) {
            calls.remove(&call.number);
        }
        self.untold.push_back(Reply { client, call, until, say });
        self.tell_on();
    }

    /// Hands over the answers that found no room, in their order. No more wait than clients may leave unanswered.
    fn tell_on(&mut self) {
        while let Some(reply) = self.untold.pop_front() {
            if let Err(reply) = self.outlet.tell(reply) {
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
            self.most_timers = self.common.limits.events + 2 * self.timers.len();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// The one final answer.
    fn answer(&mut self, id: u64, say: Say) {
        let Some(kept) = self.kept.get_mut(&id) else { return };
        if let Err(why) = rules::check_answer(kept.answered) {
            // Of two copies that are out at once both may be satisfied: the second one is for nobody.
            if !matches!(say, Say::Satisfied(_)) {
                self.counters.violation(text(&kept.asked.name), why);
            }
            return;
        }
        kept.answered = true;
        let (client, call, until) =
            (kept.asked.client, kept.asked.call, kept.deadline + self.common.limits.margin);
        self.counters.late += u64::from(self.now >= until);
        match say {
            Say::Satisfied(ref body) => {
                self.counters.satisfied += 1;
                self.counters.unchanged += u64::from(body.is_none());
            }
            Say::Nacked { .. } => self.counters.nacked += 1,
            Say::Failed | Say::Alive(_) => self.counters.failed += 1,
        }
        self.tell(client, call, until, say);
    }

    /// Whether the rules let this attempt be made.
    fn check(&self, id: u64, send: &Send) -> Result<(), Violation> {
        let Some(kept) = self.kept.get(&id) else { return Err(Violation::AttemptAfterAnswer) };
        let chosen = Chosen {
            effect: self.effects.get(kept.asked.kind).copied().unwrap_or(Effect::SideEffecting),
            answered: kept.answered,
            client_gone: kept.asked.withdrawn.said(),
            deadline: kept.deadline,
            node: self.nodes.state(send.node),
            source: send.source.map(|source| self.nodes.state(source)),
            earlier: &kept.earlier,
        };
        chosen.check(self.now)
    }

    /// An attempt that a rule forbids was never made.
    fn refuse(&mut self, id: u64, shot: usize, why: Violation) {
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.links.push(None);
            kept.earlier.push(Earlier { at: self.now, outcome: Some(Outcome::NeverSent) });
            // A client may go in the moment in which the attempt is chosen.
            if why != Violation::AttemptForGoneClient {
                self.counters.violation(text(&kept.asked.name), why);
            }
        }
        self.end(id, shot, Outcome::NeverSent, Ns::MAX);
    }

    /// Gives a send up; its end comes from the queue.
    fn give_up(&mut self, id: u64, shot: usize, outcome: Outcome) {
        let Some(kept) = self.kept.get_mut(&id) else { return };
        let Some(link) = kept.links.get_mut(shot).and_then(Option::take) else { return };
        let out = self.nodes.give_up(link, &kept.asked.name, self.now);
        let took = out.map_or(0, |out| self.now.saturating_sub(out.at));
        self.end(id, shot, outcome, took);
    }
}

impl Carrier for Floor {
    fn send(&mut self, id: u64, shot: usize, send: &Send) {
        if let Err(refused) = self.check(id, send) {
            self.refuse(id, shot, refused);
            return;
        }
        let Some(kept) = self.kept.get_mut(&id) else { return };
        let out = Out { id, shot, at: self.now };
        kept.earlier.push(Earlier { at: self.now, outcome: None });
        tracing::debug!(
            "request {} attempt {shot} to {} from {}",
            text(&kept.asked.name),
            self.nodes.name(send.node),
            send.source.map_or("-", |source| self.nodes.name(source)),
        );
        self.counters.sends += 1;
        self.counters.further += u64::from(shot > 0);
        let way = kept
            .upper
            .as_ref()
            .zip(send.source)
            .and_then(|(upper, source)| upper.way(self.nodes.name(source), kept.asked.object));
        let link = self.nodes.pull(out, &kept.asked, send, way.as_deref(), &kept.before);
        kept.links.push(link.ok());
        kept.before.extend(link.ok());
        match link {
            Ok(_) => self.timer(self.now + send.time_out, Timer::TimeOut { id, shot }),
            // It never went out: that it came back at once tells nothing of how quick its node is.
            Err(outcome) => self.end(id, shot, outcome, Ns::MAX),
        }
    }

    fn nack(&mut self, id: u64, pause: Ns) {
        self.answer(id, Say::Nacked { pause_ms: pause / MS });
    }

    fn fail(&mut self, id: u64) {
        self.answer(id, Say::Failed);
    }

    fn call_off(&mut self, id: u64, shot: usize) {
        self.give_up(id, shot, Outcome::Cancelled);
    }

    fn ask_again(&mut self, id: u64, turn: u32, wait: Ns) {
        self.timer(self.now + wait, Timer::Ask { id, turn });
    }

    fn dropped(&mut self, id: u64) {
        if let Some(kept) = self.kept.remove(&id)
            && self.names.get(&kept.asked.name) == Some(&id)
        {
            self.names.remove(&kept.asked.name);
        }
    }
}

impl Desk {
    pub fn new(
        choice: Choice,
        nodes: Nodes,
        outlet: Outlet,
        common: Arc<Common>,
        upper: Upper,
        duties: Duties,
        in_force: Sender<InForce>,
    ) -> Desk {
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
        Desk {
            hand: Hand::new(choice),
            floor,
            next: 0,
            ready: false,
            stopped: None,
            finishing: false,
            finished: false,
        }
    }

    /// Serves until it was told to stop and nothing is open. A vital thread that ends is an error.
    pub fn serve(&mut self, events: &Receiver<Event>) -> Result<(), String> {
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
                next.min(self.floor.now + self.floor.common.limits.stop_poll)
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
        let stopping = self.floor.common.limits.stopping;
        if !self.finishing && self.stopped.is_some_and(|at| self.floor.now >= at + stopping) {
            self.finishing = true;
            self.floor.outlet.finish();
        }
    }

    pub fn report(&mut self) {
        let f = &mut self.floor;
        f.counters.in_hand = f.kept.values().filter(|k| !k.answered).count() as u64;
        (f.counters.links, f.counters.links_open) = (f.nodes.opened(), f.nodes.open() as u64);
        tracing::info!("counters {} {}{}", f.counters, f.common.counters, counters::usage());
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
                    self.hand.ask(id, turn, self.floor.now, &mut self.floor);
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
        for line in self.hand.choice.notes() {
            tracing::info!("{line}");
        }
    }

    fn ended(&mut self, id: u64, shot: usize, end: End) {
        self.floor.counters.end(end.outcome);
        if let Some(kept) = self.floor.kept.get_mut(&id) {
            tracing::debug!("request {} attempt {shot} ended {:?}", text(&kept.asked.name), end.outcome);
            if let Some(earlier) = kept.earlier.get_mut(shot) {
                earlier.outcome = Some(end.outcome);
            }
        }
        self.heed(id);
        self.hand.ended(id, shot, end, self.floor.now, &mut self.floor);
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        let now = self.floor.now;
        match event {
            Event::Asked(asked) => self.asked(asked),
            Event::Unfit { client, call, crowded } => self.unfit(client, call, crowded),
            Event::Alive { client, call } => {
                let alive = Say::Alive(self.ready && self.stopped.is_none());
                self.floor.tell(client, call, now + self.floor.common.limits.undated, alive);
            }
            Event::Cancelled { client, call } => {
                let id = self.floor.callers.get_mut(&client).and_then(|calls| calls.remove(&call));
                if let Some(id) = id {
                    self.cancelled(id);
                }
            }
            Event::Left { client } => {
                let calls = self.floor.callers.remove(&client).unwrap_or_default();
                let mut left: Vec<u64> = calls.into_values().collect();
                left.sort_unstable();
                left.into_iter().for_each(|id| self.cancelled(id));
            }
            Event::Ended { link, ended } => self.answered(link, *ended),
            Event::Lost { link, why, begun } => {
                for Out { id, shot, at } in self.floor.nodes.lost(link) {
                    let Some(kept) = self.floor.kept.get_mut(&id) else { continue };
                    kept.links[shot] = None;
                    // A connection reset while it was idle says nothing of its node.
                    let outcome = match why {
                        LinkLoss::Unreachable => Outcome::Unconnected,
                        LinkLoss::Broken if begun.contains(&kept.asked.name) => Outcome::Broken,
                        LinkLoss::Broken | LinkLoss::Shortage => Outcome::NeverSent,
                    };
                    self.floor.end(id, shot, outcome, now.saturating_sub(at));
                }
            }
            Event::Unbegun { link, name } => {
                if let Some(Out { id, shot, .. }) = self.floor.nodes.unbegun(link, &name)
                    && let Some(kept) = self.floor.kept.get_mut(&id)
                {
                    kept.links[shot] = None;
                    self.floor.end(id, shot, Outcome::NeverSent, Ns::MAX);
                }
            }
            Event::Fact(fact) => self.fact(fact),
            Event::Called { client, call, body } => {
                if !self.floor.duties.called(client, call, body) {
                    self.floor.tell(client, call, now + self.floor.common.limits.undated, Say::Failed);
                }
            }
            Event::PeerSaid { client, call, said } => {
                let body = said.and_then(|said| {
                    let mut body = self.floor.common.room.body(said.len())?;
                    body.bytes_mut().copy_from_slice(&said);
                    Some(Arc::new(body))
                });
                let say = body.map_or(Say::Failed, |body| Say::Satisfied(Some(body)));
                self.floor.tell(client, call, now + self.floor.common.limits.undated, say);
            }
            Event::Settle(setting) => self.floor.duties.settle(*setting),
            Event::Found(found) => {
                for (name, load) in found {
                    if let Some(node) = self.floor.nodes.number_of(&name) {
                        self.hand.choice.reported(now, node, load);
                    }
                }
            }
            Event::Stop => {
                if self.stopped.is_none() {
                    tracing::info!("stopping in_hand={}", self.floor.kept.len());
                    self.floor.duties.stop();
                    self.stopped = Some(now);
                }
            }
            Event::Report => self.report(),
            Event::Finished => self.finished = true,
            Event::Died("clients") if self.finished => {}
            Event::Died(name) => return Err(format!("thread {name} ended")),
        }
        Ok(())
    }

    /// The events that are known at the start.
    pub fn known(&mut self, events: Vec<Numbered>) {
        // All of their starts first: of several that are known at once the latest bounds the ages of the others.
        for event in &events {
            if let Fact::Members { members, .. } = &event.fact {
                self.floor.nodes.observe(members);
            }
        }
        events.into_iter().for_each(|event| self.fact(event.fact));
    }

    pub fn fact(&mut self, fact: Fact) {
        let now = self.floor.now;
        self.floor.counters.facts += 1;
        match fact {
            Fact::Members { members, whole } => {
                let oldest = self.floor.kept.first_key_value().map_or(self.next, |(id, _)| *id);
                let Floor { nodes, upper, duties, .. } = &mut self.floor;
                let mut lines = nodes.listed(&members, whole, oldest, self.next);
                duties.listed(&members, whole);
                upper.list(&mut lines, whole, |node| nodes.name(node).to_owned());
                self.ready |= !lines.is_empty();
                self.hand.choice.listed(now, &lines, whole);
            }
            Fact::Purge { object, group } => {
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
                self.hand.choice.purged(now, object, group, 0);
            }
            Fact::Hierarchy(told) => {
                if let Some((lines, in_force)) = self.floor.upper.take(&told) {
                    self.hand.choice.listed(now, &lines, false);
                    self.floor.duties.in_force(in_force);
                    // One that finds no room is said with the next event, or when the feed is called again.
                    let _ = self.floor.in_force.try_send(in_force);
                }
            }
        }
    }

    fn asked(&mut self, asked: Box<Asked>) {
        let (client, call, f) = (asked.client, asked.call, &mut self.floor);
        if asked.withdrawn.said() {
            f.counters.taken += 1;
            f.counters.cancelled += 1;
            return;
        }
        let calls = f.callers.entry(client).or_default();
        if self.finishing
            || calls.len() >= f.common.limits.open_a_client
            || f.kept.len() >= f.common.limits.lookups
        {
            return self.unfit(client, call, true);
        }
        let id = self.next;
        // A name is one lookup's: what another asks for under it could be answered with what is not its own.
        let first = *f.names.entry(asked.name).or_insert(id);
        let same =
            |k: &Kept| (k.asked.object, k.asked.part, k.asked.kind) == (asked.object, asked.part, asked.kind);
        if f.kept.get(&first).is_some_and(|k| !same(k)) {
            return self.unfit(client, call, false);
        }
        self.next += 1;
        calls.insert(call.number, id);
        f.counters.taken += 1;
        f.duties.asked(asked.object, asked.part, asked.kind);
        let deadline = (asked.arrived + asked.budget).saturating_sub(f.common.limits.margin);
        let lookup = Lookup {
            object: asked.object,
            part: asked.part,
            group: asked.group,
            kind: asked.kind,
            size_kb: asked.size_kb,
            arrived: asked.arrived,
            deadline,
            repeat: asked.repeat,
            write: false,
            sends: Vec::new(),
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
                upper: f.upper.current().cloned(),
            },
        );
        self.hand.take(id, lookup, f.now, f);
    }

    fn unfit(&mut self, client: Client, call: Call, crowded: bool) {
        let c = &mut self.floor.counters;
        c.taken += 1;
        let say = if crowded {
            c.crowded += 1;
            c.nacked += 1;
            Say::Nacked { pause_ms: 0 }
        } else {
            c.unfit += 1;
            c.failed += 1;
            Say::Failed
        };
        let until = self.floor.now + self.floor.common.limits.undated;
        self.floor.tell(client, call, until, say);
    }

    /// What its client has withdrawn is over, though the event that says so waits behind others still.
    fn heed(&mut self, id: u64) {
        if self.floor.kept.get(&id).is_some_and(|k| k.asked.withdrawn.said()) {
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

    fn answered(&mut self, link: Link, ended: Ended) {
        let node = self.floor.nodes.node(link);
        if let (Some(load), Some(node)) = (ended.load, node) {
            self.hand.choice.reported(self.floor.now, node, load);
        }
        let Some(Out { id, shot, at }) = self.floor.nodes.ended(link, &ended.name, ended.at) else { return };
        let Some(kept) = self.floor.kept.get_mut(&id) else { return };
        kept.links[shot] = None;
        let mut outcome = ended.outcome;
        if let Some(copy) = ended.copy {
            let held = kept.asked.tag.as_deref();
            if copy.body.is_none() && held != Some(&*copy.tag) {
                // Nothing to pass on: the client holds no copy that was named as current.
                outcome = Outcome::Error;
            } else {
                let body = copy.body.filter(|_| copy.tag.is_empty() || held != Some(&*copy.tag));
                self.floor.answer(id, Say::Satisfied(body));
            }
        }
        let (took, over) = (ended.at.saturating_sub(at), outcome == Outcome::Satisfied);
        self.ended(id, shot, End { outcome, took, hit: ended.hit, over });
    }
}
