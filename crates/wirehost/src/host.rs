//! The instances, their lookups in hand and their timers.

use std::collections::HashMap;

use sablecross::{Choice, Listed, Load, Lookup, Next, Ns, Outcome, Route, Sent, State};

use crate::codec::{Address, Reader, Reply, Result};
use crate::settings;

struct Held {
    lookup: Lookup,
    ended: bool,
    /// The latest timer set; earlier ones are passed over.
    timer: u32,
}

struct Instance {
    choice: Choice,
    report: settings::Report,
    nodes: HashMap<Address, usize>,
    addresses: Vec<Address>,
    held: HashMap<u32, Held>,
}

#[derive(Clone, Copy)]
struct Entry {
    cell: u16,
    zone: u16,
    state: State,
    started: Ns,
    machine: u16,
    address: Address,
}

#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Instance>,
    sheets: HashMap<u32, Vec<Entry>>,
    reply: Reply,
}

impl Instance {
    fn index(&mut self, address: Address) -> usize {
        let next = self.addresses.len();
        let index = *self.nodes.entry(address).or_insert(next);
        if index == next {
            self.addresses.push(address);
        }
        index
    }

    /// The load report of a record, where one came along.
    fn load(&self, r: &mut Reader) -> Result<Option<Load>> {
        let n = r.u8()?;
        let mut load = Load::default();
        for i in 0..usize::from(n) {
            let value = Some(f64::from(r.f32()?)).filter(|v| v.is_finite());
            if self.report.busy == Some(i) {
                load.busy = value;
            } else if self.report.link == Some(i) {
                load.link = value;
            }
        }
        Ok((n > 0).then_some(load))
    }

    /// Asks the module where to send a lookup and carries that out.
    fn step(&mut self, director: u32, txn: u32, now: Ns, reply: &mut Reply) {
        let Some(held) = self.held.get_mut(&txn).filter(|h| !h.ended) else { return };
        match self.choice.route(now, &held.lookup) {
            Route::Send(send) => {
                let node = self.addresses[send.node];
                let source = self.addresses[send.source.unwrap_or(send.node)];
                reply.read_through(director, txn, &send, [node, source]);
                let sent = Sent { node: send.node, source: send.source, at: now, result: None };
                held.lookup.sends.push(sent);
            }
            Route::NotYet => {}
            Route::Nack { pause } => {
                reply.nack(director, txn, pause);
                held.ended = true;
            }
            Route::Fail => {
                reply.fail(director, txn);
                held.ended = true;
            }
        }
        if held.ended {
            self.drop_if_idle(txn);
        } else if let Some(wait) = self.choice.patience(now, &held.lookup) {
            held.timer = held.timer.wrapping_add(1);
            reply.timer(director, wait, u64::from(held.timer) << 32 | u64::from(txn));
        }
    }

    fn drop_if_idle(&mut self, txn: u32) {
        let idle = |h: &Held| h.ended && h.lookup.sends.iter().all(|s| s.result.is_some());
        if self.held.get(&txn).is_some_and(idle) {
            self.held.remove(&txn);
        }
    }

    fn returned(
        &mut self,
        director: u32,
        txn: u32,
        r: &mut Reader,
        now: Ns,
        reply: &mut Reply,
    ) -> Result<()> {
        let shot = usize::from(r.u16()?);
        let address = r.array()?;
        let outcome = match r.u8()? {
            0 => Outcome::Satisfied,
            5 => Outcome::Error,
            11 => Outcome::Full,
            110 => Outcome::TimedOut,
            111 => Outcome::Unconnected,
            104 => Outcome::Broken,
            125 => Outcome::Cancelled,
            114 => Outcome::NeverSent,
            2 => Outcome::Miss,
            other => return Err(format!("unknown outcome {other}")),
        };
        let took = Ns::from(r.u32()?) * 1_000;
        let over = r.u8()? != 0;
        let hit = match r.u32()? {
            1 | 5 => Some(true),
            2..=4 => Some(false),
            _ => None,
        };
        r.u32()?;
        if let Some(load) = self.load(r)?
            && let Some(&node) = self.nodes.get(&address)
        {
            self.choice.reported(now, node, load);
        }
        let Some(held) = self.held.get_mut(&txn) else { return Ok(()) };
        let Some(sent) = held.lookup.sends.get_mut(shot) else { return Ok(()) };
        sent.result = Some(outcome);
        let next = self.choice.after(now, &held.lookup, shot, took, hit);
        let ended = held.ended;
        held.ended |= over;
        match next {
            Next::Done { call_off } if call_off && !ended => {
                for (i, s) in held.lookup.sends.iter().enumerate() {
                    if s.result.is_none() {
                        reply.call_off(director, txn, i as u16);
                    }
                }
            }
            Next::Again => self.step(director, txn, now, reply),
            Next::Done { .. } | Next::Wait => {}
        }
        self.drop_if_idle(txn);
        Ok(())
    }
}

impl Host {
    /// Takes the records of one batch; the reply's frame comes back.
    pub fn batch(&mut self, number: u32, now: Ns, count: u32, body: &[u8]) -> Result<Vec<u8>> {
        self.reply = Reply::default();
        let mut r = Reader::new(body);
        for _ in 0..count {
            self.record(&mut r, now)?;
        }
        if !r.is_empty() {
            return Err("bytes left over in batch".into());
        }
        Ok(self.reply.frame(number))
    }

    fn record(&mut self, r: &mut Reader, now: Ns) -> Result<()> {
        let code = r.u8()?;
        if code == 0 {
            return self.sheet(r);
        }
        let director = r.u32()?;
        if code == 3 {
            return self.open(director, r, now);
        }
        let reply = &mut self.reply;
        let known = self.instances.get_mut(&director);
        if code == 10 {
            self.instances.remove(&director);
            return Ok(());
        }
        let inst = known.ok_or_else(|| format!("record {code} for no open instance {director}"))?;
        match code {
            1 => {
                let txn = r.u32()?;
                if let Some(held) = inst.held.get_mut(&txn) {
                    held.ended = true;
                }
                inst.drop_if_idle(txn);
            }
            2 => {
                let object = r.u64()?;
                let ago = Ns::from(r.u32()?) * 1_000;
                let group = u32::from(r.u16()?);
                inst.choice.purged(now, (object != 0).then_some(object), group, ago);
            }
            4 => {
                r.take(16)?;
            }
            5 => {
                let scope = r.u8()?;
                let slot = r.u32()?;
                r.u32()?;
                if scope > 3 {
                    return Err(format!("unknown list scope {scope}"));
                }
                if scope == 3 && inst.choice.asks_for_list() {
                    reply.follow_list(director);
                }
                if scope < 3 {
                    let entries = self.sheets.get(&slot).ok_or("list names no sheet")?;
                    let lines: Vec<Listed> = entries
                        .iter()
                        .map(|e| Listed {
                            node: inst.index(e.address),
                            rank: e.address.iter().fold(0, |a, &b| a << 8 | u64::from(b)),
                            zone: usize::from(e.zone),
                            machine: usize::from(e.machine),
                            cell: usize::from(e.cell),
                            started: e.started,
                            state: e.state,
                        })
                        .collect();
                    inst.choice.listed(now, &lines, scope != 0);
                }
            }
            6 => {
                let txn = r.u32()?;
                let part = r.whole()?;
                r.u32()?;
                let object = r.u64()?;
                let kind = usize::from(r.u8()?);
                let group = r.whole()?;
                let size_kb = f64::from(r.f32()?);
                let deadline = r.u64()?.saturating_mul(1_000);
                let attrs = r.u16()?;
                if !inst.choice.knows_kind(kind) || !size_kb.is_finite() {
                    return Err(format!("lookup of unknown kind {kind} or size {size_kb}"));
                }
                let lookup = Lookup {
                    object,
                    part,
                    group,
                    kind,
                    size_kb,
                    arrived: now,
                    deadline,
                    repeat: attrs & 2 != 0,
                    write: attrs & 4 != 0,
                    sends: Vec::new(),
                };
                inst.held.insert(txn, Held { lookup, ended: false, timer: 0 });
                inst.step(director, txn, now, reply);
            }
            7 => {
                r.u16()?;
                let n = usize::from(r.u16()?);
                r.take(n)?;
            }
            8 => {
                let txn = r.u32()?;
                inst.returned(director, txn, r, now, reply)?;
            }
            9 => {
                r.take(11)?;
                let n = usize::from(r.u8()?);
                r.take(n * 4)?;
            }
            11 => {
                let handle = r.u64()?;
                let (timer, txn) = ((handle >> 32) as u32, handle as u32);
                if inst.held.get(&txn).is_some_and(|h| h.timer == timer) {
                    inst.step(director, txn, now, reply);
                }
            }
            other => return Err(format!("unknown record code {other}")),
        }
        for line in inst.choice.notes() {
            reply.print(director, &line);
        }
        Ok(())
    }

    fn sheet(&mut self, r: &mut Reader) -> Result<()> {
        let slot = r.u32()?;
        let count = r.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            let cell = r.u16()?;
            r.f32()?;
            let zone = r.u16()?;
            let state = match r.u8()? {
                1 => State::Ready,
                2 => State::Gone,
                3 => State::Draining,
                other => return Err(format!("unknown node state {other}")),
            };
            let started = r.u64()?.saturating_mul(1_000);
            let machine = r.u16()?;
            let address = r.array()?;
            entries.push(Entry { cell, zone, state, started, machine, address });
        }
        self.sheets.insert(slot, entries);
        Ok(())
    }

    fn open(&mut self, director: u32, r: &mut Reader, now: Ns) -> Result<()> {
        let seed = r.u64()?;
        let n = r.u32()? as usize;
        let text = std::str::from_utf8(r.take(n)?).map_err(|_| "settings are not text")?;
        let (set, report) = settings::decode(text)?;
        let choice = Choice::new(set, seed, now);
        if choice.asks_for_list() {
            self.reply.follow_list(director);
        }
        let inst =
            Instance { choice, report, nodes: HashMap::new(), addresses: Vec::new(), held: HashMap::new() };
        self.instances.insert(director, inst);
        Ok(())
    }
}
