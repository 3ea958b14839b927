//! All sizes, counts and times that bound this program; what to decide within them is the module's.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

#[derive(Debug)]
pub struct Limits {
    /// Connections: of clients, to nodes in all, to one node; descriptors kept spare for the rest.
    pub max_client_connections: usize,
    pub max_node_connections: usize,
    pub max_connections_per_node: usize,
    /// Open on one connection of a client, past which more are refused, and past which no more is read of it; open on
    /// one to a node.
    pub max_open_per_client: usize,
    pub max_unanswered_per_client: usize,
    pub max_open_per_connection: usize,
    pub max_requests: usize,
    /// Bytes: of one body, of all bodies in hand, of a message without its body, of a line.
    pub max_body_bytes: usize,
    pub body_memory_bytes: usize,
    pub max_head_bytes: usize,
    pub max_line_bytes: usize,
    /// How deep the values of a message lie in one another, and how many there are.
    pub max_nesting_depth: usize,
    pub max_values: usize,
    /// Messages of one connection that can't be used, before it is closed.
    pub max_unusable_messages: usize,
    /// What is read at first of a client, and messages that one connection may say, or events that are heard, in
    /// one turn.
    pub initial_read_bytes: usize,
    pub max_messages_per_turn: usize,
    /// Queues: to the desk, to the clients, to the nodes, to the feed's.
    pub event_queue_length: usize,
    pub response_queue_length: usize,
    pub command_queue_length: usize,
    pub feed_move_queue_length: usize,
    /// The stack of each thread beside the main one.
    pub thread_stack_bytes: usize,
    pub max_feed_event_bytes: usize,
    /// Times: to connect to a node; after which an idle connection is not used again, and one
    /// that was silent since it took a send that was given up.
    pub connect_timeout: Ns,
    pub node_idle_timeout: Ns,
    pub silence_threshold: Ns,
    /// An answer is decided this much before its client gives up.
    pub answer_margin: Ns,
    pub max_budget: Ns,
    /// The largest size that a client may tell, in KB.
    pub max_size_kb: f64,
    /// The time that an answer without a deadline has to be written.
    pub default_write_timeout: Ns,
    /// The time in which a client's message has to come whole; after which one that said something before counts
    /// as gone; in which a new one is not blamed for its silence.
    pub partial_message_timeout: Ns,
    pub client_idle_timeout: Ns,
    pub new_client_grace: Ns,
    /// The pause before a call that failed for want of descriptors, memory or ports is made again.
    pub shortage_retry_interval: Ns,
    /// The pause before an attempt is looked at again whose client is not known to be there.
    pub client_check_interval: Ns,
    /// No wait for clients is longer: a process that stood still finds out by a wait that ended late.
    pub max_poll_wait: Ns,
    /// How often idle connections are looked for.
    pub sweep_interval: Ns,
    /// An answer is not begun any more so long after its client gave up.
    pub max_answer_lateness: Ns,
    /// What is begun in time may be finished this much later: cut short, it would end all that is open beside it.
    pub write_finish_grace: Ns,
    /// Silence of the feed that is a dead link, how often it is looked whether it has moved meanwhile, and the
    /// pause after a failed call.
    pub feed_silence_timeout: Duration,
    pub feed_poll_interval: Duration,
    pub feed_retry_delay: Duration,
    /// After the signal to stop: how long new lookups come still.
    pub shutdown_delay: Ns,
    /// How often it is looked then whether all has been written.
    pub shutdown_poll_interval: Ns,
    /// How long a connection that is ended has to take its last bytes, and how many such there are.
    pub closing_timeout: Ns,
    pub max_closing_clients: usize,
}

impl Limits {
    /// From what the machine allows and what the nodes' side is told to do.
    pub fn new(sockets: usize, memory_mb: usize, dial: Ns, keepalive: Ns) -> Limits {
        Limits {
            max_client_connections: sockets / 3 + 8,
            max_node_connections: (sockets / 2).saturating_sub(16).max(4),
            max_connections_per_node: (sockets / 16).max(4),
            max_open_per_client: 32,
            max_unanswered_per_client: 64,
            max_open_per_connection: 32,
            max_requests: 16 * memory_mb.max(1),
            max_body_bytes: 240_000,
            body_memory_bytes: (memory_mb << 20) / 4,
            max_head_bytes: 16 << 10,
            max_line_bytes: 4 << 10,
            max_nesting_depth: 6,
            max_values: 256,
            max_unusable_messages: 8,
            initial_read_bytes: 2 << 10,
            max_messages_per_turn: 64,
            event_queue_length: 4_096,
            response_queue_length: 8_192,
            command_queue_length: 8_192,
            feed_move_queue_length: 4,
            thread_stack_bytes: 512 << 10,
            max_feed_event_bytes: 4 << 20,
            connect_timeout: dial,
            node_idle_timeout: keepalive * 4 / 5,
            silence_threshold: 250 * NS_PER_MS,
            answer_margin: 20 * NS_PER_MS,
            max_budget: 600_000 * NS_PER_MS,
            max_size_kb: 1e6,
            default_write_timeout: 1_000 * NS_PER_MS,
            partial_message_timeout: 2_000 * NS_PER_MS,
            client_idle_timeout: 8_000 * NS_PER_MS,
            new_client_grace: 200 * NS_PER_MS,
            shortage_retry_interval: 10 * NS_PER_MS,
            client_check_interval: 2 * NS_PER_MS,
            max_poll_wait: 50 * NS_PER_MS,
            sweep_interval: 250 * NS_PER_MS,
            max_answer_lateness: 400 * NS_PER_MS,
            write_finish_grace: 40 * NS_PER_MS,
            feed_silence_timeout: Duration::from_secs(2),
            feed_poll_interval: Duration::from_millis(100),
            feed_retry_delay: Duration::from_millis(100),
            shutdown_delay: 700 * NS_PER_MS,
            shutdown_poll_interval: 10 * NS_PER_MS,
            closing_timeout: 250 * NS_PER_MS,
            max_closing_clients: (sockets / 32).max(2),
        }
    }
}
