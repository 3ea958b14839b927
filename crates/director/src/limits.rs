//! All sizes, counts and times that bound this program. What is decided within them is the router's.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// The bounds of the program. Times are in nanoseconds.
#[derive(Debug)]
pub struct Limits {
    /// Connections of clients.
    pub max_client_connections: usize,
    /// Connections to all nodes.
    pub max_node_connections: usize,
    /// Connections to one node.
    pub max_connections_per_node: usize,
    /// Calls open on one connection of a client, past which more are rejected.
    pub max_open_per_client: usize,
    /// Calls open on one connection of a client, past which no more is read of it.
    pub max_unanswered_per_client: usize,
    /// Attempts outstanding on one connection to a node.
    pub max_open_per_connection: usize,
    /// Requests in flight.
    pub max_requests: usize,
    /// The length of one body.
    pub max_body_bytes: usize,
    /// The memory of all bodies and of buffers that have grown.
    pub body_memory_bytes: usize,
    /// The length of a message without its body.
    pub max_head_bytes: usize,
    /// The length of a line of a node.
    pub max_line_bytes: usize,
    /// How deep the values of a message may be nested.
    pub max_nesting_depth: usize,
    /// How many values a message may hold.
    pub max_values: usize,
    /// Messages of one connection that can't be used, at which it is closed.
    pub max_unusable_messages: usize,
    /// The length of the buffer of a client's connection, before it grows.
    pub initial_read_bytes: usize,
    /// Messages that are read of one connection, or events that are taken, before others have their turn.
    pub max_messages_per_turn: usize,
    /// Events that wait for the dispatcher.
    pub event_queue_length: usize,
    /// Responses that wait for the clients' thread.
    pub response_queue_length: usize,
    /// Commands that wait for the node connections' thread.
    pub command_queue_length: usize,
    /// Moves of the feed, and applied versions, that wait for the discovery thread.
    pub feed_move_queue_length: usize,
    /// The stack of each thread beside the main one.
    pub thread_stack_bytes: usize,
    /// The length of an event of discovery.
    pub max_feed_event_bytes: usize,
    /// The time in which a connection must be established.
    pub connect_timeout: Ns,
    /// The time after which an idle connection to a node is not used again.
    pub node_idle_timeout: Ns,
    /// A connection that has been silent for so long, since it took an attempt that is abandoned, is not used again.
    pub silence_threshold: Ns,
    /// A request is answered this much before its client's deadline.
    pub answer_margin: Ns,
    /// The longest time that a client may give a request.
    pub max_budget: Ns,
    /// The largest size that a client may name, in KB.
    pub max_size_kb: f64,
    /// The time in which a message without a deadline of its own must be written.
    pub default_write_timeout: Ns,
    /// The time in which a message of a client must be complete, and in which its first one must come.
    pub partial_message_timeout: Ns,
    /// The time after which a connection of a client that sends nothing more is closed.
    pub client_idle_timeout: Ns,
    /// The time in which a new connection is not blamed for its silence.
    pub new_client_grace: Ns,
    /// The pause before a call that failed for want of descriptors, memory or ports is made again.
    pub shortage_retry_interval: Ns,
    /// The pause before an attempt is looked at again whose client is not known to be there.
    pub client_check_interval: Ns,
    /// The longest wait for clients: a process that was stopped finds out by a wait that ended late.
    pub max_poll_wait: Ns,
    /// How often connections are looked at without a cause of their own.
    pub sweep_interval: Ns,
    /// A response is not begun any more so long after its client's deadline.
    pub max_answer_lateness: Ns,
    /// What is begun in time may be finished this much later: cut short, it would end all that is open beside it.
    pub write_finish_grace: Ns,
    /// Silence of the event stream after which it counts as dead.
    pub feed_silence_timeout: Duration,
    /// How often it is looked, while the stream is silent, whether the feed has moved.
    pub feed_poll_interval: Duration,
    /// The pause after a call of the feed that failed or ended at once.
    pub feed_retry_delay: Duration,
    /// How long requests are still taken after the signal to stop.
    pub shutdown_delay: Ns,
    /// How often it is looked during a shutdown whether all is written.
    pub shutdown_poll_interval: Ns,
    /// How long a client's connection that is closed has to take its last bytes.
    pub closing_timeout: Ns,
    /// Connections of clients that are closed and not ended yet.
    pub max_closing_clients: usize,
}

impl Limits {
    /// From what the machine allows, and the times that the settings give for connections to nodes. `sockets` counts
    /// file descriptors: those that no limit here uses are spare for connections that are closing, the event stream,
    /// the listener and the log.
    pub fn new(sockets: usize, memory_mb: usize, connect_timeout: Ns, keepalive: Ns) -> Limits {
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
            connect_timeout,
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
