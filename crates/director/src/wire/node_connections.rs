//! The thread that holds all connections to nodes: it makes them, writes messages and reads answers. It waits for any
//! of them, and never for one alone.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

use super::node_connection::{CloseReason, NodeConnection};
use super::outgoing_message::OutgoingMessage;
use crate::counters;
use crate::events::{ConnectionLoss, Event, NodeConnectionId, RequestId};
use crate::log_rate_limiter::LogRateLimiter;
use crate::os_error::{is_local_shortage, is_network_trouble, is_would_block};
use crate::shared::SharedContext;

/// What the dispatcher has a connection do.
pub enum ConnectionCommand {
    /// Makes a connection.
    Connect {
        /// The number under which it is named from then on.
        connection: NodeConnectionId,
        /// The node's address.
        address: SocketAddr,
        /// By when it must be established.
        deadline: Ns,
    },
    /// Writes a message, once those before it are written.
    Send {
        /// The connection.
        connection: NodeConnectionId,
        /// The message.
        message: OutgoingMessage,
    },
    /// Tells the node that an attempt is not wanted any more.
    Kill {
        /// The connection that carried it.
        connection: NodeConnectionId,
        /// The request of the attempt.
        request_id: RequestId,
    },
    /// Some of its messages were withdrawn: those that are not begun are dropped.
    Withdraw(NodeConnectionId),
    /// Closes a connection without a word of it.
    Close(NodeConnectionId),
}

/// The dispatcher's way to the connections.
pub struct CommandSender {
    commands: Sender<ConnectionCommand>,
    waker: Waker,
}

impl CommandSender {
    /// Queues a command; false if the queue is full.
    pub fn send(&self, command: ConnectionCommand) -> bool {
        let is_sent = self.commands.try_send(command).is_ok();
        // The thread wakes by itself before long.
        let _ = self.waker.wake();
        is_sent
    }
}

const COMMANDS: Token = Token(usize::MAX);

/// All connections to nodes.
pub struct NodeConnectionServer {
    poll: Poll,
    commands: Receiver<ConnectionCommand>,
    shared: Arc<SharedContext>,
    connections: BTreeMap<NodeConnectionId, NodeConnection>,
    /// Connections of which no more than their share was read.
    readable: Vec<NodeConnectionId>,
    next_sweep: Ns,
    log: LogRateLimiter,
}

/// What some connection waits for.
#[derive(Clone, Copy, Debug, Default)]
struct PendingWork {
    /// It could not be made yet.
    needs_retry: bool,
    /// It is not established yet.
    is_connecting: bool,
    /// Its client is to be looked at.
    awaits_client_check: bool,
}

impl NodeConnectionServer {
    /// A server without connections, and the way to it.
    pub fn new(shared: &Arc<SharedContext>) -> io::Result<(NodeConnectionServer, CommandSender)> {
        let poll = Poll::new()?;
        let (commands, from_dispatcher) = bounded(shared.limits.command_queue_length);
        let sender = CommandSender { commands, waker: Waker::new(poll.registry(), COMMANDS)? };
        let server = NodeConnectionServer {
            poll,
            commands: from_dispatcher,
            shared: Arc::clone(shared),
            connections: BTreeMap::new(),
            readable: Vec::new(),
            next_sweep: 0,
            log: LogRateLimiter::default(),
        };
        Ok((server, sender))
    }

    /// Serves until the dispatcher is gone.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.max_messages_per_turn);
        loop {
            let wait = if self.readable.is_empty() {
                self.shared.clock.until(self.next_sweep)
            } else {
                Duration::ZERO
            };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !is_would_block(&e)
            {
                return tracing::error!("connections to nodes: {e}");
            }
            self.handle_socket_events(&events);
            if !self.handle_commands() {
                return;
            }
            self.sweep_if_due();
        }
    }

    /// What has come is read before anything is written: nothing is begun on a connection whose end is here already.
    fn handle_socket_events(&mut self, events: &Events) {
        let mut readable = std::mem::take(&mut self.readable);
        let mut writable = Vec::new();
        for event in events.iter().filter(|event| event.token() != COMMANDS) {
            let id = event.token().0 as NodeConnectionId;
            if event.is_writable() {
                self.with_connection(id, |connection, _| connection.check_connected());
                writable.push(id);
            }
            readable.push(id);
        }
        readable.sort_unstable();
        readable.dedup();
        readable.into_iter().for_each(|id| self.read(id));
        writable.into_iter().for_each(|id| self.write(id));
    }

    /// Carries out the commands that wait; false if the dispatcher is gone.
    fn handle_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(command) => self.handle_command(command),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn handle_command(&mut self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Connect { connection, address, deadline } => {
                self.open(connection, address, deadline);
            }
            ConnectionCommand::Close(id) => drop(self.connections.remove(&id)),
            ConnectionCommand::Withdraw(id) => self.write(id),
            ConnectionCommand::Send { connection, message } => {
                // Its end may have come since it was looked at: what is not begun on it has never run.
                if self.connections.get(&connection).is_some_and(|connection| connection.is_up) {
                    self.read(connection);
                }
                self.send(connection, message);
            }
            ConnectionCommand::Kill { connection, request_id } => {
                let deadline = self.shared.clock.now() + self.shared.limits.default_write_timeout;
                self.send(connection, OutgoingMessage::kill(request_id, deadline));
            }
        }
    }

    /// Runs something on a connection, which ends if that fails.
    fn with_connection<T>(
        &mut self,
        id: NodeConnectionId,
        run: impl FnOnce(&mut NodeConnection, &SharedContext) -> Result<T, CloseReason>,
    ) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        run(connection, &self.shared).map_err(|reason| self.close(id, reason)).ok()
    }

    fn read(&mut self, id: NodeConnectionId) {
        if self.with_connection(id, |connection, shared| connection.read(shared)) == Some(true) {
            self.readable.push(id);
        }
    }

    fn write(&mut self, id: NodeConnectionId) {
        self.with_connection(id, |connection, shared| connection.write(shared));
    }

    fn send(&mut self, id: NodeConnectionId, message: OutgoingMessage) {
        self.with_connection(id, |connection, shared| {
            connection.queue.push_back(message);
            connection.write(shared)
        });
    }

    fn open(&mut self, id: NodeConnectionId, address: SocketAddr, deadline: Ns) {
        self.connections.insert(id, NodeConnection::new(id, address, deadline, &self.shared));
        self.connect(id);
        // It must be abandoned in its time, if it is not established.
        self.next_sweep = self.next_sweep.min(self.shared.clock.now() + self.shared.limits.answer_margin);
    }

    /// Makes a connection. What this machine is short of passes: it is tried again for as long as it may take to be
    /// established, and its messages wait.
    fn connect(&mut self, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let made = TcpStream::connect(connection.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(id as usize), interest)?;
            // Without it messages are but slower.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match made {
            Ok(stream) => connection.stream = Some(stream),
            Err(e) if is_local_shortage(&e) => {
                connection.shortage_reason = if is_network_trouble(&e) {
                    ConnectionLoss::Unreachable
                } else {
                    ConnectionLoss::LocalShortage
                };
                connection.next_connect_at =
                    self.shared.clock.now() + self.shared.limits.shortage_retry_interval;
                self.next_sweep = self.next_sweep.min(connection.next_connect_at);
                counters::add(&self.shared.counters.shortages, 1);
                let address = connection.address;
                self.log.warn(self.shared.clock.now(), || format!("connection {id} to {address} waits: {e}"));
            }
            Err(e) => {
                tracing::debug!("connection {id} to {}: {e}", connection.address);
                self.close(id, CloseReason::Lost(ConnectionLoss::Unreachable));
            }
        }
    }

    fn sweep_if_due(&mut self) {
        let now = self.shared.clock.now();
        let is_due = now >= self.next_sweep;
        if is_due {
            self.sweep(now);
        }
        let limits = &self.shared.limits;
        let pending = self.pending_work();
        if is_due {
            let interval = match pending {
                PendingWork { needs_retry: true, .. } => limits.shortage_retry_interval,
                PendingWork { is_connecting: true, .. } => limits.answer_margin,
                _ => limits.sweep_interval,
            };
            self.next_sweep = now + interval;
        }
        if pending.awaits_client_check {
            self.next_sweep = self.next_sweep.min(now + limits.client_check_interval);
        }
    }

    fn pending_work(&self) -> PendingWork {
        let mut pending = PendingWork::default();
        for connection in self.connections.values() {
            pending.needs_retry |= connection.stream.is_none();
            pending.is_connecting |= !connection.is_up;
            pending.awaits_client_check |= connection.awaits_client_check;
        }
        pending
    }

    /// Makes what could not be made; ends what is not established, or does not take what it is given, in time.
    fn sweep(&mut self, now: Ns) {
        let unmade = self.connections.values().filter(|connection| {
            connection.stream.is_none()
                && now >= connection.next_connect_at
                && now < connection.connect_deadline
        });
        let unmade: Vec<NodeConnectionId> = unmade.map(|connection| connection.id).collect();
        unmade.into_iter().for_each(|id| self.connect(id));
        let overdue = self
            .connections
            .values()
            .filter(|connection| !connection.is_up && now >= connection.connect_deadline);
        let overdue: Vec<(NodeConnectionId, ConnectionLoss)> =
            overdue.map(|connection| (connection.id, connection.connect_failure())).collect();
        for (id, loss) in overdue {
            self.close(id, CloseReason::Lost(loss));
        }
        let waiting = self.connections.values().filter(|connection| !connection.queue.is_empty());
        let waiting: Vec<NodeConnectionId> = waiting.map(|connection| connection.id).collect();
        waiting.into_iter().for_each(|id| self.write(id));
    }

    /// A connection is over. What was not begun to be written on it never ran.
    fn close(&mut self, id: NodeConnectionId, reason: CloseReason) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        // Complete answers may have come before the end: they count.
        for _ in 0..self.shared.limits.max_messages_per_turn {
            if !connection.is_up || connection.read(&self.shared) != Ok(true) {
                break;
            }
        }
        if let CloseReason::Fault(fault) = reason {
            counters::add(&self.shared.counters.bad_lines, 1);
            let address = connection.address;
            self.log.warn(self.shared.clock.now(), || format!("connection {id} to {address}: {fault}"));
        }
        let loss = match reason {
            _ if connection.is_up => ConnectionLoss::Broken,
            CloseReason::Lost(ConnectionLoss::LocalShortage) => ConnectionLoss::LocalShortage,
            CloseReason::Lost(_) | CloseReason::Fault(_) => ConnectionLoss::Unreachable,
        };
        let begun_requests = connection.begun;
        let _ = self.shared.events.send(Event::ConnectionLost { connection: id, loss, begun_requests });
    }
}
