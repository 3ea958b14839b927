//! One instance of the router: a director of the simulated deployment.

use std::collections::HashMap;

use sablecross::{Attempt, AttemptSpec, EndpointUpdate, LoadReport, Ns, Request, Router};
use sablecross_inflight::{AttemptResult, InflightTable, Transport, settings};

use crate::error::{AdapterError, Result};
use crate::event::{Address, Event, ListScope, Order, Returned, SheetEntry};
use crate::reply::Reply;

/// The position of the check's generation in a timer's handle; the bits below it hold the number of the request.
const GENERATION_SHIFT: u32 = 32;

/// One director with its requests in flight.
pub(crate) struct Instance {
    inflight: InflightTable,
    nodes: NodeIndex,
    /// The names of the values in a load report, in the order in which nodes send the values.
    report_names: Vec<String>,
}

/// Maps the addresses of nodes to the indices that the router uses, and back.
#[derive(Default)]
struct NodeIndex {
    by_address: HashMap<Address, usize>,
    addresses: Vec<Address>,
}

impl NodeIndex {
    /// Returns the index of a node, and assigns the next free index to a node that is not known yet.
    fn get_or_assign(&mut self, address: Address) -> usize {
        let next = self.addresses.len();
        let index = *self.by_address.entry(address).or_insert(next);
        if index == next {
            self.addresses.push(address);
        }
        index
    }
}

/// Writes the decisions for one instance into the reply.
struct ReplyTransport<'a> {
    director: u32,
    addresses: &'a [Address],
    reply: &'a mut Reply,
}

impl Transport for ReplyTransport<'_> {
    fn send(&mut self, id: u64, spec: &AttemptSpec, _prior: &[Attempt]) {
        let [node, source] = [spec.node, spec.source.unwrap_or(spec.node)].map(|n| self.addresses[n]);
        self.reply.read_through(self.director, id as u32, spec, node, source);
    }

    fn reject(&mut self, id: u64, retry_after: Ns) {
        self.reply.busy(self.director, id as u32, retry_after);
    }

    fn fail(&mut self, id: u64) {
        self.reply.respond_error(self.director, id as u32);
    }

    fn cancel(&mut self, id: u64, attempt: usize) {
        self.reply.call_off(self.director, id as u32, attempt as u16);
    }

    fn withdraw(&mut self, id: u64, attempt: usize) {
        self.cancel(id, attempt);
    }

    /// The router never asks for this: the simulator carries out actions without delay, so the adapter reports no
    /// wakeup delay.
    fn time_out(&mut self, id: u64, attempt: usize) {
        self.cancel(id, attempt);
    }

    fn schedule_check(&mut self, id: u64, generation: u32, after: Ns) {
        self.reply.defer(self.director, after, u64::from(generation) << GENERATION_SHIFT | id);
    }

    // The simulator begins an attempt as soon as it is sent.
    fn drop_unbegun(&mut self, _id: u64, _attempt: usize) {}

    fn release(&mut self, _id: u64, _may_have_executed: bool) {}
}

impl Instance {
    /// Starts an instance. The text of its settings has one `path=value` pair per line; lines without `=` are ignored.
    pub(crate) fn open(text: &str, seed: u64, now: Ns) -> Result<Instance> {
        let lines = text.lines().filter_map(|line| line.split_once('='));
        let map: settings::SettingsMap =
            lines.map(|(path, value)| (path.to_owned(), value.to_owned())).collect();
        let settings = settings::decode(&map).map_err(|error| AdapterError::Settings(error.to_string()))?;
        Ok(Instance {
            inflight: InflightTable::new(Router::new(settings, seed, now)),
            nodes: NodeIndex::default(),
            report_names: map.list("report.names").unwrap_or_default(),
        })
    }

    /// Whether the instance has to subscribe to changes of the endpoint list.
    pub(crate) fn must_subscribe_to_endpoint_list(&self) -> bool {
        self.inflight.router.must_subscribe_to_endpoint_list()
    }

    /// Handles an event of this instance and writes the resulting actions and log lines into the reply.
    pub(crate) fn handle(
        &mut self,
        director: u32,
        event: Event,
        sheets: &HashMap<u32, Vec<SheetEntry>>,
        now: Ns,
        reply: &mut Reply,
    ) -> Result<()> {
        match event {
            Event::DirectoryUpdate { scope: ListScope::Failed, .. } => {
                if self.must_subscribe_to_endpoint_list() {
                    reply.stream_changes(director);
                }
            }
            Event::DirectoryUpdate { scope, slot } => {
                let entries = sheets.get(&slot).ok_or(AdapterError::UnknownSheet)?;
                self.update_endpoints(entries, scope == ListScope::Snapshot, now);
            }
            Event::Invalidated { object, group, age } => {
                self.inflight.router.record_purge(now, object, group, age);
            }
            Event::Order(order) => self.admit(director, &order, now, reply)?,
            Event::Returned(returned) => self.on_returned(director, &returned, now, reply),
            Event::Aborted { id } => {
                let mut transport = ReplyTransport { director, addresses: &self.nodes.addresses, reply };
                self.inflight.abandon(u64::from(id), &mut transport);
            }
            Event::TimeoutFired { handle } => {
                let generation = (handle >> GENERATION_SHIFT) as u32;
                let id = handle & u64::from(u32::MAX);
                let mut transport = ReplyTransport { director, addresses: &self.nodes.addresses, reply };
                self.inflight.check(id, generation, now, &mut transport);
            }
            Event::Ignored => {}
        }
        for line in self.inflight.router.take_log_lines() {
            reply.print(director, &line);
        }
        Ok(())
    }

    fn update_endpoints(&mut self, entries: &[SheetEntry], is_snapshot: bool, now: Ns) {
        let update = |entry: &SheetEntry| EndpointUpdate {
            node: self.nodes.get_or_assign(entry.address),
            rank: entry.address.iter().fold(0, |rank, &byte| rank << 8 | u64::from(byte)),
            zone: usize::from(entry.zone),
            machine_kind: usize::from(entry.machine_kind),
            cell: usize::from(entry.cell),
            started_at: entry.started_at,
            state: entry.state,
            withheld_virtual_nodes: 0,
        };
        let updates: Vec<EndpointUpdate> = entries.iter().map(update).collect();
        self.inflight.router.update_endpoints(now, &updates, is_snapshot);
    }

    fn admit(&mut self, director: u32, order: &Order, now: Ns, reply: &mut Reply) -> Result<()> {
        let &Order { class, size_kb, .. } = order;
        if !self.inflight.router.has_class(class) || !size_kb.is_finite() {
            return Err(AdapterError::UnknownClassOrSize { class, size_kb });
        }
        let request = Request {
            object: order.object,
            part: order.part,
            group: order.group,
            class,
            size_kb,
            arrived_at: now,
            deadline: order.deadline,
            is_client_retry: order.is_client_retry,
            is_write: order.is_write,
            attempts: Vec::new(),
        };
        let mut transport = ReplyTransport { director, addresses: &self.nodes.addresses, reply };
        self.inflight.admit(u64::from(order.id), request, now, &mut transport);
        Ok(())
    }

    fn on_returned(&mut self, director: u32, returned: &Returned, now: Ns, reply: &mut Reply) {
        if let Some(load) = self.load_report(returned.load_report)
            && let Some(&node) = self.nodes.by_address.get(&returned.address)
        {
            self.inflight.router.record_load(now, node, load);
        }
        let result = AttemptResult {
            outcome: returned.outcome,
            elapsed: returned.elapsed,
            is_cache_hit: settings::is_cache_hit(returned.note),
            is_final: returned.is_final,
        };
        let mut transport = ReplyTransport { director, addresses: &self.nodes.addresses, reply };
        self.inflight.on_attempt_result(
            u64::from(returned.id),
            returned.attempt,
            result,
            now,
            &mut transport,
        );
    }

    /// Decodes the values of a load report; returns `None` if there are no values.
    fn load_report(&self, values: &[[u8; 4]]) -> Option<LoadReport> {
        let values = values.iter().map(|bytes| f64::from(f32::from_be_bytes(*bytes)));
        let is_empty = values.len() == 0;
        let named_values = self.report_names.iter().map(String::as_str).zip(values);
        (!is_empty).then(|| settings::load_report(named_values))
    }
}
