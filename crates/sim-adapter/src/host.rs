//! The instances, their lookups in hand and their timers.

use std::collections::HashMap;

use sablecross::{
    Attempt, AttemptSpec, EndpointState, EndpointUpdate, LoadReport, Ns, Outcome, Request, Router,
};
use sablecross_inflight::{AttemptResult, InflightTable, Transport, settings};

use crate::codec::{Address, Reader, Reply, Result};

struct Instance {
    hand: InflightTable,
    /// The names of the values in a load report.
    report: Vec<String>,
    nodes: HashMap<Address, usize>,
    addresses: Vec<Address>,
}

/// Writes what the module decides for one instance into the reply.
struct Actions<'a> {
    director: u32,
    addresses: &'a [Address],
    reply: &'a mut Reply,
}

impl Transport for Actions<'_> {
    fn send(&mut self, id: u64, send: &AttemptSpec, _: &[Attempt]) {
        let to = [send.node, send.source.unwrap_or(send.node)].map(|n| self.addresses[n]);
        self.reply.read_through(self.director, id as u32, send, to);
    }

    fn reject(&mut self, id: u64, pause: Ns) {
        self.reply.nack(self.director, id as u32, pause);
    }

    fn fail(&mut self, id: u64) {
        self.reply.fail(self.director, id as u32);
    }

    fn cancel(&mut self, id: u64, shot: usize) {
        self.reply.call_off(self.director, id as u32, shot as u16);
    }

    fn schedule_check(&mut self, id: u64, turn: u32, wait: Ns) {
        self.reply.timer(self.director, wait, u64::from(turn) << 32 | id);
    }

    fn release(&mut self, _: u64) {}
}

#[derive(Clone, Copy)]
struct Entry {
    cell: u16,
    zone: u16,
    state: EndpointState,
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
    fn load(&self, r: &mut Reader) -> Result<Option<LoadReport>> {
        let n = r.u8()?;
        let (values, _) = r.take(4 * usize::from(n))?.as_chunks();
        let values = values.iter().map(|v| f64::from(f32::from_be_bytes(*v)));
        let named = self.report.iter().map(String::as_str).zip(values);
        Ok((n > 0).then(|| settings::load_report(named)))
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
            0 => Outcome::Success,
            5 => Outcome::Error,
            11 => Outcome::Overloaded,
            110 => Outcome::TimedOut,
            111 => Outcome::ConnectFailed,
            104 => Outcome::ConnectionLost,
            125 => Outcome::Cancelled,
            114 => Outcome::NotSent,
            2 => Outcome::Miss,
            other => return Err(format!("unknown outcome {other}")),
        };
        let took = Ns::from(r.u32()?) * 1_000;
        let over = r.u8()? != 0;
        let hit = settings::is_cache_hit(r.u32()?);
        r.u32()?;
        if let Some(load) = self.load(r)?
            && let Some(&node) = self.nodes.get(&address)
        {
            self.hand.router.record_load(now, node, load);
        }
        let mut to = Actions { director, addresses: &self.addresses, reply };
        self.hand.on_attempt_result(
            u64::from(txn),
            shot,
            AttemptResult { outcome, elapsed: took, is_cache_hit: hit, is_final: over },
            now,
            &mut to,
        );
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
                let mut to = Actions { director, addresses: &inst.addresses, reply };
                inst.hand.abandon(u64::from(txn), &mut to);
            }
            2 => {
                let object = r.u64()?;
                let ago = Ns::from(r.u32()?) * 1_000;
                let group = u32::from(r.u16()?);
                inst.hand.router.record_purge(now, (object != 0).then_some(object), group, ago);
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
                if scope == 3 && inst.hand.router.polls_endpoint_list() {
                    reply.follow_list(director);
                }
                if scope < 3 {
                    let entries = self.sheets.get(&slot).ok_or("list names no sheet")?;
                    let lines: Vec<EndpointUpdate> = entries
                        .iter()
                        .map(|e| EndpointUpdate {
                            node: inst.index(e.address),
                            rank: e.address.iter().fold(0, |a, &b| a << 8 | u64::from(b)),
                            zone: usize::from(e.zone),
                            machine_kind: usize::from(e.machine),
                            cell: usize::from(e.cell),
                            started_at: e.started,
                            state: e.state,
                            withheld_virtual_nodes: 0,
                        })
                        .collect();
                    inst.hand.router.update_endpoints(now, &lines, scope != 0);
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
                if !inst.hand.router.has_class(kind) || !size_kb.is_finite() {
                    return Err(format!("lookup of unknown kind {kind} or size {size_kb}"));
                }
                let lookup = Request {
                    object,
                    part,
                    group,
                    class: kind,
                    size_kb,
                    arrived_at: now,
                    deadline,
                    is_client_retry: attrs & 2 != 0,
                    is_write: attrs & 4 != 0,
                    attempts: Vec::new(),
                };
                let mut to = Actions { director, addresses: &inst.addresses, reply };
                inst.hand.admit(u64::from(txn), lookup, now, &mut to);
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
                let (turn, id) = ((handle >> 32) as u32, handle & u64::from(u32::MAX));
                let mut to = Actions { director, addresses: &inst.addresses, reply };
                inst.hand.check(id, turn, now, &mut to);
            }
            other => return Err(format!("unknown record code {other}")),
        }
        for line in inst.hand.router.take_log_lines() {
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
                1 => EndpointState::Ready,
                2 => EndpointState::Gone,
                3 => EndpointState::Draining,
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
        let owned = |(path, value): (&str, &str)| (path.to_owned(), value.to_owned());
        let pairs: settings::SettingsMap =
            text.lines().filter_map(|l| l.split_once('=')).map(owned).collect();
        let choice = Router::new(settings::decode(&pairs).map_err(|e| e.to_string())?, seed, now);
        if choice.polls_endpoint_list() {
            self.reply.follow_list(director);
        }
        let report = pairs.list("report.names").unwrap_or_default();
        let hand = InflightTable::new(choice);
        let inst = Instance { hand, report, nodes: HashMap::new(), addresses: Vec::new() };
        self.instances.insert(director, inst);
        Ok(())
    }
}
