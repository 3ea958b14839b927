//! All sizes, counts and times that limit this program. Decisions within these limits are made by the router.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// The limits of the program. Times are in nanoseconds.
#[derive(Debug)]
pub struct Limits {
    /// The maximum number of client connections.
    pub max_client_connections: usize,
    /// The maximum number of connections to all nodes together.
    pub max_node_connections: usize,
    /// The maximum number of connections to one node.
    pub max_connections_per_node: usize,
    /// The number of open calls on one client connection at which further calls are rejected.
    pub max_open_per_client: usize,
    /// The number of open calls on one client connection at which no more is read from it, until fewer than
    /// `max_open_per_client` are open.
    pub max_unanswered_per_client: usize,
    /// The maximum number of attempts that are outstanding on one connection to a node.
    pub max_open_per_connection: usize,
    /// The number of abandoned attempts on one connection to a node, whose answers may still come, at which the connection
    /// is not used again.
    pub max_abandoned_per_connection: usize,
    /// The maximum number of requests in flight.
    pub max_requests: usize,
    /// The maximum number of objects, and of parts of objects, of which the router remembers requests that have ended.
    pub max_remembered_objects: usize,
    /// The maximum length of a body.
    pub max_body_bytes: usize,
    /// The maximum memory for all bodies, and for buffers that have grown.
    pub body_memory_bytes: usize,
    /// The maximum length of a message without its body.
    pub max_head_bytes: usize,
    /// The maximum length of a line from a node.
    pub max_line_bytes: usize,
    /// The maximum nesting depth of the values of a message.
    pub max_nesting_depth: usize,
    /// The maximum number of values in a message.
    pub max_values: usize,
    /// The number of unusable messages on one client connection at which it is closed.
    pub max_unusable_messages: usize,
    /// The length of the read buffer of a client connection, before it grows.
    pub initial_read_bytes: usize,
    /// The maximum number of messages that are read from one connection, or of events that are handled, before others
    /// have their turn.
    pub max_messages_per_turn: usize,
    /// The maximum number of ids of ended requests that may have taken effect, which must not be sent again.
    pub max_executed_ids: usize,
    /// How long such an id is remembered.
    pub executed_id_lifetime: Ns,
    /// The capacity of the queue of events to the dispatcher, without those of discovery.
    pub event_queue_length: usize,
    /// The capacity of the queue of discovery events to the dispatcher.
    pub discovery_event_queue_length: usize,
    /// The capacity of the queue of responses to the client thread.
    pub response_queue_length: usize,
    /// The capacity of the queue of commands to the node thread.
    pub command_queue_length: usize,
    /// The capacity of each of the two queues to the discovery thread, one for changes of the feeds and one for applied
    /// versions of the hierarchy.
    pub discovery_queue_length: usize,
    /// The stack size of each thread other than the main thread and the log thread.
    pub thread_stack_bytes: usize,
    /// The maximum length of a discovery event.
    pub max_feed_event_bytes: usize,
    /// The time within which a connection must be established.
    pub connect_timeout: Ns,
    /// How long a connection to a node may be idle before it is no longer used.
    pub node_idle_timeout: Ns,
    /// If a connection to a node has been silent for this long since it took an attempt, and that attempt is abandoned,
    /// the connection is not used again.
    pub silence_threshold: Ns,
    /// How long before its client's deadline a request is answered at the latest.
    pub answer_margin: Ns,
    /// The longest time that a client may allow for a request.
    pub max_budget: Ns,
    /// The largest object size that a client may state, in KB.
    pub max_size_kb: f64,
    /// The time within which a message without a deadline of its own must be written.
    pub default_write_timeout: Ns,
    /// The time within which a client must send its first message completely, and go on with a later one.
    pub partial_message_timeout: Ns,
    /// The mean rate at which later messages must be received, so that a client can't keep one incomplete for long.
    pub min_message_bytes_per_s: u64,
    /// How long a client connection may be idle before it is closed.
    pub client_idle_timeout: Ns,
    /// The time after which an idle client connection that has sent no message since it was accepted is evicted before
    /// other idle connections.
    pub new_client_grace: Ns,
    /// The delay before a system call that failed for lack of descriptors, memory or ports is retried.
    pub shortage_retry_interval: Ns,
    /// The delay before the next check of an attempt that waits until its client is known to be connected.
    pub client_check_interval: Ns,
    /// The longest wait of the client thread. A wait that ends later shows that the process was stopped.
    pub max_poll_wait: Ns,
    /// The interval between periodic checks of all connections, in addition to checks that an event triggers.
    pub sweep_interval: Ns,
    /// How long after its client's deadline a response may still begin to be written, and one that was begun may be
    /// completed if others are owed on the connection. Later it is dropped.
    pub max_answer_lateness: Ns,
    /// How long after its deadline a message that was begun in time may still be completed.
    pub write_finish_grace: Ns,
    /// The duration of silence after which the event stream counts as dead, and after which another call is made beside one
    /// that the feed has not accepted.
    pub feed_silence_timeout: Duration,
    /// How long a call that the feed has not accepted is kept at first, while others are made beside it.
    pub feed_call_patience: Duration,
    /// How often the discovery thread checks whether the feeds have changed, while the stream is silent.
    pub feed_poll_interval: Duration,
    /// The delay after a call of the feed that ended within this time without a new event.
    pub feed_retry_delay: Duration,
    /// How long requests are still accepted after the signal to stop.
    pub shutdown_delay: Ns,
    /// How often the progress of a shutdown is checked, and how often sending is retried while the response queue is
    /// full.
    pub shutdown_poll_interval: Ns,
    /// How long a client connection that is being closed may take to receive its last bytes.
    pub closing_timeout: Ns,
    /// The maximum number of client connections that are being closed.
    pub max_closing_clients: usize,
}

impl Limits {
    /// Derives the limits from what the machine allows, and from the times that the settings give for connections to
    /// nodes. `sockets` is a number of file descriptors: those that the limits of client and node connections leave are
    /// for connections that are closing, the event stream, the listener and the log.
    pub fn new(sockets: usize, memory_mb: usize, connect_timeout: Ns, keepalive: Ns) -> Limits {
        Limits {
            max_client_connections: sockets / 3 + 8,
            max_node_connections: (sockets / 2).saturating_sub(16).max(4),
            max_connections_per_node: (sockets / 16).max(4),
            max_open_per_client: 32,
            max_unanswered_per_client: 64,
            max_open_per_connection: 32,
            max_abandoned_per_connection: 256,
            max_requests: 16 * memory_mb.max(1),
            // Both tables of the router together take about 180 bytes for each.
            max_remembered_objects: 512 * memory_mb.max(1),
            max_executed_ids: 256 * memory_mb.max(1),
            executed_id_lifetime: 60_000 * NS_PER_MS,
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
            discovery_event_queue_length: 64,
            response_queue_length: 8_192,
            command_queue_length: 8_192,
            discovery_queue_length: 4,
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
            min_message_bytes_per_s: 16 << 10,
            client_idle_timeout: 8_000 * NS_PER_MS,
            new_client_grace: 200 * NS_PER_MS,
            shortage_retry_interval: 10 * NS_PER_MS,
            client_check_interval: 2 * NS_PER_MS,
            max_poll_wait: 50 * NS_PER_MS,
            sweep_interval: 250 * NS_PER_MS,
            max_answer_lateness: 400 * NS_PER_MS,
            write_finish_grace: 40 * NS_PER_MS,
            feed_silence_timeout: Duration::from_secs(2),
            // What the feed has to tell counts as known to the director after 7 s.
            feed_call_patience: Duration::from_secs(8),
            feed_poll_interval: Duration::from_millis(100),
            feed_retry_delay: Duration::from_millis(100),
            shutdown_delay: 700 * NS_PER_MS,
            shutdown_poll_interval: 10 * NS_PER_MS,
            closing_timeout: 250 * NS_PER_MS,
            max_closing_clients: (sockets / 32).max(2),
        }
    }
}
