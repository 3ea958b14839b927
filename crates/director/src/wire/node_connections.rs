//! The thread that serves all connections to nodes: it connects, writes messages and reads answers. It polls all
//! connections together and never blocks on a single one.

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
use crate::os_error::{is_local_shortage, is_network_unreachable, is_retryable};
use crate::shared::SharedContext;

/// A command from the dispatcher to the node thread.
pub enum ConnectionCommand {
    /// Opens a connection.
    Connect {
        /// The id of the new connection.
        connection: NodeConnectionId,
        /// The node's address.
        address: SocketAddr,
        /// The time by which the connection must be established.
        deadline: Ns,
    },
    /// Queues a message behind the connection's earlier messages.
    Send {
        /// The connection.
        connection: NodeConnectionId,
        /// The message.
        message: OutgoingMessage,
    },
    /// Tells the node that an attempt is cancelled.
    Kill {
        /// The connection that carried the attempt.
        connection: NodeConnectionId,
        /// The request of the attempt.
        request_id: RequestId,
    },
    /// Drops the messages of a connection that were withdrawn and are not begun.
    Withdraw(NodeConnectionId),
    /// Closes a connection without reporting it as lost.
    Close(NodeConnectionId),
}

/// The dispatcher's handle for sending commands to the node connections.
pub struct CommandSender {
    commands: Sender<ConnectionCommand>,
    waker: Waker,
}

impl CommandSender {
    /// Queues a command. Returns false if the queue is full.
    pub fn send(&self, command: ConnectionCommand) -> bool {
        let is_sent = self.commands.try_send(command).is_ok();
        // If waking fails, the thread handles the command when its poll times out.
        let _ = self.waker.wake();
        is_sent
    }
}

const COMMANDS: Token = Token(usize::MAX);

/// Serves all connections to nodes.
pub struct NodeConnectionServer {
    poll: Poll,
    commands: Receiver<ConnectionCommand>,
    shared: Arc<SharedContext>,
    connections: BTreeMap<NodeConnectionId, NodeConnection>,
    /// Connections that used up their reads for one turn and may have more to read.
    readable: Vec<NodeConnectionId>,
    next_sweep: Ns,
    log: LogRateLimiter,
}

/// What connections are waiting for. Each flag is set if at least one connection waits for it.
#[derive(Clone, Copy, Debug, Default)]
struct PendingWork {
    /// Its socket could not be created, and connecting has to be retried.
    needs_retry: bool,
    /// It is not established yet.
    is_connecting: bool,
    /// Its first message waits for a check that the client is still connected.
    awaits_client_check: bool,
}

impl NodeConnectionServer {
    /// Creates a server without connections, and the handle for sending commands to it.
    pub fn new(shared: &Arc<SharedContext>) -> io::Result<(NodeConnectionServer, CommandSender)> {
        let poll = Poll::new()?;
        let (commands, command_receiver) = bounded(shared.limits.command_queue_length);
        let sender = CommandSender { commands, waker: Waker::new(poll.registry(), COMMANDS)? };
        let server = NodeConnectionServer {
            poll,
            commands: command_receiver,
            shared: Arc::clone(shared),
            connections: BTreeMap::new(),
            readable: Vec::new(),
            next_sweep: 0,
            log: LogRateLimiter::default(),
        };
        Ok((server, sender))
    }

    /// Serves until the dispatcher has dropped its command sender, or polling fails.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.max_messages_per_turn);
        loop {
            let wait = if self.readable.is_empty() {
                self.shared.clock.until(self.next_sweep)
            } else {
                Duration::ZERO
            };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !is_retryable(&e)
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

    /// Reads all readable connections before it writes, so that no message is begun on a connection whose end has
    /// already been received.
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

    /// Executes all queued commands. Returns false if the dispatcher is gone.
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
                // The connection may have ended since it was last read. Reading it first keeps the message from being
                // begun on an ended connection: an attempt that was not begun is known never to have run.
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

    /// Runs an operation on a connection, and closes the connection if the operation fails.
    fn with_connection<T>(
        &mut self,
        id: NodeConnectionId,
        operation: impl FnOnce(&mut NodeConnection, &SharedContext) -> Result<T, CloseReason>,
    ) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        operation(connection, &self.shared).map_err(|reason| self.close(id, reason)).ok()
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
        // The next sweep must come early enough to give the connection up at its deadline.
        self.next_sweep = self.next_sweep.min(self.shared.clock.now() + self.shared.limits.answer_margin);
    }

    /// Starts to connect. A shortage of a resource on this machine is taken to be temporary: connecting is tried again
    /// until the connection's deadline, and its messages wait meanwhile.
    fn connect(&mut self, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let connected = TcpStream::connect(connection.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(id as usize), interest)?;
            // A failure here only adds latency.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match connected {
            Ok(stream) => connection.stream = Some(stream),
            Err(e) if is_local_shortage(&e) => {
                connection.shortage_loss = if is_network_unreachable(&e) {
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

    /// Retries connections that have no socket yet, closes those that are not established by their deadline, and writes
    /// queued messages, which closes the connections that do not take a message in time.
    fn sweep(&mut self, now: Ns) {
        let unconnected = self.connections.values().filter(|connection| {
            connection.stream.is_none()
                && now >= connection.next_connect_at
                && now < connection.connect_deadline
        });
        let unconnected: Vec<NodeConnectionId> = unconnected.map(|connection| connection.id).collect();
        unconnected.into_iter().for_each(|id| self.connect(id));
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

    /// Closes a connection and reports it as lost, with the requests whose attempts were begun on it. Attempts that were
    /// not begun never ran.
    fn close(&mut self, id: NodeConnectionId, reason: CloseReason) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        // Complete answers that were received before the end still count.
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
