//! All sizes, counts and times that bound this program; what to decide within them is the module's.

use std::time::Duration;

use sablecross::Ns;

use super::clock::MS;

#[derive(Debug)]
pub struct Limits {
    /// Connections: of clients, to nodes in all, to one node; descriptors kept spare for the rest.
    pub clients: usize,
    pub links: usize,
    pub links_a_node: usize,
    /// Open on one connection of a client, past which more are refused, and past which no more is read of it; open on
    /// one to a node.
    pub open_a_client: usize,
    pub unanswered_a_client: usize,
    pub open_a_link: usize,
    pub lookups: usize,
    /// Bytes: of one body, of all bodies in hand, of a message without its body, of a line.
    pub body: usize,
    pub bodies: usize,
    pub head: usize,
    pub line: usize,
    /// How deep the values of a message lie in one another, and how many there are.
    pub depth: usize,
    pub values: usize,
    /// Messages of one connection that can't be used, before it is closed.
    pub unfit: usize,
    /// What is read at first of a client, and messages that one connection may say, or events that are heard, in
    /// one turn.
    pub first_read: usize,
    pub turns: usize,
    /// Queues: to the desk, to the clients, to the nodes, to the feed's.
    pub events: usize,
    pub replies: usize,
    pub orders: usize,
    pub moves: usize,
    /// The stack of each thread beside the main one.
    pub stack: usize,
    pub feed_event: usize,
    /// Times: to connect to a node; after which an idle connection is not used again, and one
    /// that was silent since it took a send that was given up.
    pub dial: Ns,
    pub idle: Ns,
    pub quiet: Ns,
    /// An answer is decided this much before its client gives up.
    pub margin: Ns,
    pub longest_budget: Ns,
    /// The largest size that a client may tell, in KB.
    pub largest_kb: f64,
    /// The time that an answer without a deadline has to be written.
    pub undated: Ns,
    /// The time in which a client's message has to come whole; after which one that said something before counts
    /// as gone; in which a new one is not blamed for its silence.
    pub half_said: Ns,
    pub idle_client: Ns,
    pub settled: Ns,
    /// The pause before a call that failed for want of descriptors, memory or ports is made again.
    pub shortage_pause: Ns,
    /// The pause before an attempt is looked at again whose client is not known to be there.
    pub confirm_pause: Ns,
    /// No wait for clients is longer: a process that stood still finds out by a wait that ended late.
    pub longest_wait: Ns,
    /// How often idle connections are looked for.
    pub sweep: Ns,
    /// An answer is not begun any more so long after its client gave up.
    pub overdue: Ns,
    /// What is begun in time may be finished this much later: cut short, it would end all that is open beside it.
    pub finish: Ns,
    /// Silence of the feed that is a dead link, how often it is looked whether it has moved meanwhile, and the
    /// pause after a failed call.
    pub feed_silence: Duration,
    pub feed_poll: Duration,
    pub feed_pause: Duration,
    /// After the signal to stop: how long new lookups come still.
    pub stopping: Ns,
    /// How often it is looked then whether all has been written.
    pub stop_poll: Ns,
    /// How long a connection that is ended has to take its last bytes, and how many such there are.
    pub last_bytes: Ns,
    pub ending: usize,
}

impl Limits {
    /// From what the machine allows and what the nodes' side is told to do.
    pub fn of(sockets: usize, memory_mb: usize, dial: Ns, keepalive: Ns) -> Limits {
        Limits {
            clients: sockets / 3 + 8,
            links: (sockets / 2).saturating_sub(16).max(4),
            links_a_node: (sockets / 16).max(4),
            open_a_client: 32,
            unanswered_a_client: 64,
            open_a_link: 32,
            lookups: 16 * memory_mb.max(1),
            body: 240_000,
            bodies: (memory_mb << 20) / 4,
            head: 16 << 10,
            line: 4 << 10,
            depth: 6,
            values: 256,
            unfit: 8,
            first_read: 2 << 10,
            turns: 64,
            events: 4_096,
            replies: 8_192,
            orders: 8_192,
            moves: 4,
            stack: 512 << 10,
            feed_event: 4 << 20,
            dial,
            idle: keepalive * 4 / 5,
            quiet: 250 * MS,
            margin: 20 * MS,
            longest_budget: 600_000 * MS,
            largest_kb: 1e6,
            undated: 1_000 * MS,
            half_said: 2_000 * MS,
            idle_client: 8_000 * MS,
            settled: 200 * MS,
            shortage_pause: 10 * MS,
            confirm_pause: 2 * MS,
            longest_wait: 50 * MS,
            sweep: 250 * MS,
            overdue: 400 * MS,
            finish: 40 * MS,
            feed_silence: Duration::from_secs(2),
            feed_poll: Duration::from_millis(100),
            feed_pause: Duration::from_millis(100),
            stopping: 700 * MS,
            stop_poll: 10 * MS,
            last_bytes: 250 * MS,
            ending: (sockets / 32).max(2),
        }
    }
}
