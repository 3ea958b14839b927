//! The connections to nodes: one thread holds them all, makes them, writes sends and reads answers. It waits for
//! any of them, and never for one alone.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

use super::node_connection::{CloseReason, NodeConnection};
pub use super::node_connection::{Content, OutgoingMessage};
use crate::counters;
use crate::events::{CancellationFlag, ConnectionLoss, Event, NodeConnectionId, RequestId};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::{is_local_shortage, is_network_trouble, is_would_block};
use crate::shared::SharedContext;

pub enum ConnectionCommand {
    Connect {
        connection: NodeConnectionId,
        address: SocketAddr,
        deadline: Ns,
    },
    Send {
        connection: NodeConnectionId,
        message: OutgoingMessage,
    },
    Kill {
        connection: NodeConnectionId,
        request_id: RequestId,
    },
    /// Some of its sends were withdrawn: what is not begun of them is not to be.
    Withdraw(NodeConnectionId),
    Close(NodeConnectionId),
}

/// The desk's way to the connections.
pub struct CommandSender {
    orders: Sender<ConnectionCommand>,
    waker: Waker,
}

impl CommandSender {
    /// False if there are more than can be kept.
    pub fn send(&self, order: ConnectionCommand) -> bool {
        let given = self.orders.try_send(order).is_ok();
        // It wakes by itself before long.
        let _ = self.waker.wake();
        given
    }
}

const ORDERS: Token = Token(usize::MAX);

pub struct NodeConnectionServer {
    poll: Poll,
    orders: Receiver<ConnectionCommand>,
    of: Arc<SharedContext>,
    wires: BTreeMap<NodeConnectionId, NodeConnection>,
    /// Connections that have more to say than their share.
    more: Vec<NodeConnectionId>,
    sweep_at: Ns,
    log: LogRateLimiter,
}

impl NodeConnectionServer {
    pub fn new(of: &Arc<SharedContext>) -> io::Result<(NodeConnectionServer, CommandSender)> {
        let poll = Poll::new()?;
        let (orders, from_desk) = bounded(of.limits.command_queue_length);
        let orders = CommandSender { orders, waker: Waker::new(poll.registry(), ORDERS)? };
        Ok((
            NodeConnectionServer {
                poll,
                orders: from_desk,
                of: Arc::clone(of),
                wires: BTreeMap::new(),
                more: Vec::new(),
                sweep_at: 0,
                log: LogRateLimiter::default(),
            },
            orders,
        ))
    }

    /// Serves for ever, or until the desk is gone.
    pub fn run(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.max_messages_per_turn);
        loop {
            let wait =
                if self.more.is_empty() { self.of.clock.until(self.sweep_at) } else { Default::default() };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !is_would_block(&e)
            {
                return tracing::error!("connections to nodes: {e}");
            }
            let mut again = std::mem::take(&mut self.more);
            let mut writable = Vec::new();
            for event in events.iter().filter(|event| event.token() != ORDERS) {
                let link = event.token().0 as NodeConnectionId;
                if event.is_writable() {
                    self.with(link, |wire, _| wire.check_connected());
                    writable.push(link);
                }
                again.push(link);
            }
            again.sort_unstable();
            again.dedup();
            // What has come first: nothing is begun on a connection whose end is here already.
            again.into_iter().for_each(|link| self.read(link));
            for link in writable {
                self.with(link, |wire, of| wire.write(of));
            }
            loop {
                match self.orders.try_recv() {
                    Ok(order) => self.order(order),
                    Err(e) if e.is_empty() => break,
                    Err(_) => return,
                }
            }
            let now = self.of.clock.now();
            if now >= self.sweep_at {
                self.sweep(now);
                let dialing = self.wires.values().any(|wire| !wire.is_up);
                let unmade = self.wires.values().any(|wire| wire.stream.is_none());
                self.sweep_at = now
                    + match (unmade, dialing) {
                        (true, _) => limits.shortage_retry_interval,
                        (false, true) => limits.answer_margin,
                        (false, false) => limits.sweep_interval,
                    };
            }
            if self.wires.values().any(|wire| wire.awaits_client_check) {
                self.sweep_at = self.sweep_at.min(now + limits.client_check_interval);
            }
        }
    }

    fn with<T>(
        &mut self,
        link: NodeConnectionId,
        run: impl FnOnce(&mut NodeConnection, &SharedContext) -> Result<T, CloseReason>,
    ) -> Option<T> {
        let wire = self.wires.get_mut(&link)?;
        run(wire, &self.of).map_err(|why| self.lose(link, why)).ok()
    }

    fn read(&mut self, link: NodeConnectionId) {
        if self.with(link, |wire, of| wire.read(of)) == Some(true) {
            self.more.push(link);
        }
    }

    fn order(&mut self, order: ConnectionCommand) {
        let (link, send) = match order {
            ConnectionCommand::Connect { connection: link, address, deadline: by } => {
                return self.dial(link, address, by);
            }
            ConnectionCommand::Close(link) => return drop(self.wires.remove(&link)),
            ConnectionCommand::Withdraw(link) => {
                self.with(link, |wire, of| wire.write(of));
                return;
            }
            ConnectionCommand::Send { connection: link, message: send } => {
                // Its end may have come since it was looked at: what is not begun on it has never run.
                if self.wires.get(&link).is_some_and(|wire| wire.is_up) {
                    self.read(link);
                }
                (link, send)
            }
            ConnectionCommand::Kill { connection: link, request_id: name } => {
                let until = self.of.clock.now() + self.of.limits.default_write_timeout;
                let (off, withdrawn) = (CancellationFlag::default(), CancellationFlag::default());
                (
                    link,
                    OutgoingMessage {
                        request_id: name,
                        content: Content::Kill { deadline: until },
                        withdrawal: off,
                        client_cancellation: withdrawn,
                    },
                )
            }
        };
        self.with(link, |wire, of| {
            wire.queue.push_back(send);
            wire.write(of)
        });
    }

    fn dial(&mut self, link: NodeConnectionId, address: SocketAddr, by: Ns) {
        let wire = NodeConnection::new(link, address, by, &self.of);
        self.wires.insert(link, wire);
        self.connect(link);
        // It must be given up in its time, if it does not come up.
        self.sweep_at = self.sweep_at.min(self.of.clock.now() + self.of.limits.answer_margin);
    }

    /// Makes a connection. What this machine is short of passes: it is tried again for as long as it may take to
    /// come up, and its sends wait.
    fn connect(&mut self, link: NodeConnectionId) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let made = TcpStream::connect(wire.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(link as usize), interest)?;
            // Without it sends are but slower.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match made {
            Ok(stream) => wire.stream = Some(stream),
            Err(e) if is_local_shortage(&e) => {
                let lasting = if is_network_trouble(&e) {
                    CloseReason::Unreachable
                } else {
                    CloseReason::LocalShortage
                };
                wire.shortage_reason = lasting;
                wire.next_connect_at = self.of.clock.now() + self.of.limits.shortage_retry_interval;
                self.sweep_at = self.sweep_at.min(wire.next_connect_at);
                counters::add(&self.of.counters.shortages, 1);
                let address = wire.address;
                self.log.warn(self.of.clock.now(), || format!("link {link} to {address} waits: {e}"));
            }
            Err(e) => {
                tracing::debug!("link {link} to {}: {e}", wire.address);
                self.lose(link, CloseReason::Unreachable);
            }
        }
    }

    /// Makes what could not be made; ends what did not come up, or does not take what it is given, in time.
    fn sweep(&mut self, now: Ns) {
        let unmade = self
            .wires
            .iter()
            .filter(|(_, w)| w.stream.is_none() && now >= w.next_connect_at && now < w.connect_deadline);
        let unmade: Vec<NodeConnectionId> = unmade.map(|(link, _)| *link).collect();
        unmade.into_iter().for_each(|link| self.connect(link));
        let late = self.wires.values().filter(|w| !w.is_up && now >= w.connect_deadline);
        let late: Vec<(NodeConnectionId, CloseReason)> = late
            .map(|w| (w.id, if w.stream.is_none() { w.shortage_reason } else { CloseReason::Unreachable }))
            .collect();
        late.into_iter().for_each(|(link, why)| self.lose(link, why));
        let waiting = self.wires.iter().filter(|(_, w)| !w.queue.is_empty()).map(|(link, _)| *link);
        for link in waiting.collect::<Vec<NodeConnectionId>>() {
            self.with(link, |wire, of| wire.write(of));
        }
    }

    /// A connection is over. What was not begun to be written on it never ran.
    fn lose(&mut self, link: NodeConnectionId, why: CloseReason) {
        let Some(mut wire) = self.wires.remove(&link) else { return };
        // Whole answers may have come before the end: they are owed.
        for _ in 0..self.of.limits.max_messages_per_turn {
            if !wire.is_up || wire.read(&self.of) != Ok(true) {
                break;
            }
        }
        if let CloseReason::ProtocolError(why) = why {
            counters::add(&self.of.counters.bad_lines, 1);
            let address = wire.address;
            self.log.warn(self.of.clock.now(), || format!("link {link} to {address}: {why}"));
        }
        let why = match why {
            _ if wire.is_up => ConnectionLoss::Broken,
            CloseReason::LocalShortage => ConnectionLoss::LocalShortage,
            _ => ConnectionLoss::Unreachable,
        };
        let _ = self.of.events.send(Event::ConnectionLost {
            connection: link,
            loss: why,
            begun_requests: wire.begun,
        });
    }
}
