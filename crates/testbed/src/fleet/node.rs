//! Stand-in caches, parents and origin of a fleet trial: each works at its own speed, counts what comes by tenth of a
//! second and by director, and is slowed, stopped, cut off, reset and restarted.

mod requests;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sablecross_coordination::{FencingGuard, FencingToken};
use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::copies::Copies;
use crate::threads::{lock, spawn};

/// Seconds from the start of the load.
pub(crate) type Seconds = f64;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// At the edge.
    Cache,
    /// Between caches and the origin.
    Parent,
    /// Has every object.
    Origin,
}

/// Slow start: the share of its capacity that a cold node bears at first.
pub(crate) const SLOW_START_INITIAL_SHARE: f64 = 0.25;
/// Slow start: the time after which a node bears all of its capacity, in seconds.
pub(crate) const SLOW_START_WINDOW_SECONDS: f64 = 6.0;
/// Slow start: the multiple of what it bears at which a cold node collapses.
pub(crate) const COLLAPSE_MULTIPLE: f64 = 3.0;

/// How long the thread that sends answers waits at most, in microseconds: the end of the trial is seen then.
const MAX_WAIT_US: u64 = 50_000;

/// Which direction of the links between a node and some directors is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutDirection {
    /// Requests are lost.
    To,
    /// Answers are lost.
    From,
}

/// A director that sent something in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SenderInSecond {
    pub(crate) second: u32,
    pub(crate) director: usize,
}

/// A request of a director at a node that began anew.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestAfterRestart {
    pub(crate) at: Seconds,
    /// Whether there was a copy.
    pub(crate) is_hit: bool,
}

/// A health check as it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCheck {
    pub(crate) at: Seconds,
    pub(crate) token: FencingToken,
    /// Whether the guard let it through.
    pub(crate) is_admitted: bool,
}

/// What of a node's work a report needs.
#[derive(Clone, Default)]
pub(crate) struct NodeCounts {
    /// Requests by tenth of a second.
    pub(crate) requests: Vec<u32>,
    pub(crate) senders: HashSet<SenderInSecond>,
    /// When it was last started cold.
    pub(crate) cold_since: Option<Seconds>,
    pub(crate) collapses: u64,
    /// Requests after the grace that followed its leaving.
    pub(crate) stray_requests: u64,
    pub(crate) health_checks: Vec<HealthCheck>,
    /// Requests that warmed it, and those of an old holder that were refused.
    pub(crate) warming_requests: u64,
    pub(crate) warming_refused: u64,
    pub(crate) after_restart: Vec<RequestAfterRestart>,
}

struct NodeState {
    copies: Copies,
    /// When the work that it has accepted is done.
    free_at: Seconds,
    /// How many times longer than usual it works.
    slowdown: f64,
    stopped_until: Seconds,
    /// Until when it is down: crashed, or collapsed.
    down_until: Seconds,
    /// When it has left the list, grace included.
    stray_after: Option<Seconds>,
    /// By director.
    cuts: HashMap<usize, CutDirection>,
    connections: Vec<Arc<TcpStream>>,
    health_check_guard: FencingGuard,
    warming_guard: FencingGuard,
    /// Members whose health checks are delayed, until when.
    delayed_health_checks: HashMap<usize, Seconds>,
    counts: NodeCounts,
}

/// An answer that is not due yet.
struct DelayedAnswer {
    due: Seconds,
    /// Answers of one connection that are due together go out in this order.
    order: u64,
    stream: Arc<TcpStream>,
    bytes: Vec<u8>,
}

/// What a node is made from.
pub(crate) struct NodeSettings {
    pub(crate) name: String,
    pub(crate) tier: Tier,
    /// Requests a second that it bears.
    pub(crate) capacity: f64,
    pub(crate) max_copies: usize,
    /// Whether effects of an old holder are refused.
    pub(crate) rejects_stale_tokens: bool,
}

/// One node.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) tier: Tier,
    /// Requests a second that it bears.
    pub(crate) capacity: f64,
    pub(crate) address: SocketAddr,
    max_copies: usize,
    rejects_stale_tokens: bool,
    started: Instant,
    over: Arc<AtomicBool>,
    state: Mutex<NodeState>,
    delayed_answers: Mutex<Sender<DelayedAnswer>>,
}

/// All nodes by name.
pub(crate) type NodesByName = Arc<HashMap<String, Arc<Node>>>;

impl Node {
    /// Listens on a port of its own. Connections are accepted after `serve`.
    pub(crate) fn start(
        settings: NodeSettings,
        started: Instant,
        over: &Arc<AtomicBool>,
    ) -> io::Result<(Arc<Node>, TcpListener)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (sender, answers) = channel();
        let node = Arc::new(Node {
            name: settings.name,
            tier: settings.tier,
            capacity: settings.capacity,
            address: listener.local_addr()?,
            max_copies: settings.max_copies,
            rejects_stale_tokens: settings.rejects_stale_tokens,
            started,
            over: Arc::clone(over),
            state: Mutex::new(NodeState {
                copies: Copies::default(),
                free_at: 0.0,
                slowdown: 1.0,
                stopped_until: 0.0,
                down_until: 0.0,
                stray_after: None,
                cuts: HashMap::new(),
                connections: Vec::new(),
                health_check_guard: FencingGuard::default(),
                warming_guard: FencingGuard::default(),
                delayed_health_checks: HashMap::new(),
                counts: NodeCounts::default(),
            }),
            delayed_answers: Mutex::new(sender),
        });
        let own = Arc::clone(&node);
        spawn(move || own.send_delayed_answers(&answers));
        Ok((node, listener))
    }

    /// Accepts connections, once all nodes are there.
    pub(crate) fn serve(self: &Arc<Node>, listener: TcpListener, nodes: &NodesByName) {
        let (own, nodes) = (Arc::clone(self), Arc::clone(nodes));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.is_over() {
                    return;
                }
                if own.now() < lock(&own.state).down_until {
                    continue;
                }
                let (own, nodes, stream) = (Arc::clone(&own), Arc::clone(&nodes), Arc::new(stream));
                lock(&own.state).connections.push(Arc::clone(&stream));
                spawn(move || {
                    // A connection that ends in the middle is its peer's matter.
                    let _ = own.answer_requests(&stream, &nodes);
                });
            }
        });
    }

    fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Writes answers when they are due.
    fn send_delayed_answers(&self, answers: &Receiver<DelayedAnswer>) {
        let mut waiting: BTreeMap<(u64, u64), DelayedAnswer> = BTreeMap::new();
        while !self.is_over() {
            let now_us = (self.now() * 1e6) as u64;
            while let Some(due) = waiting.first_entry().filter(|entry| entry.key().0 <= now_us) {
                let answer = due.remove();
                // A director that has gone needs no answer.
                let _ = (&*answer.stream).write_all(&answer.bytes);
            }
            let next_us =
                waiting.keys().next().map_or(MAX_WAIT_US, |(due_us, _)| (due_us - now_us).min(MAX_WAIT_US));
            if let Ok(answer) = answers.recv_timeout(Duration::from_micros(next_us)) {
                waiting.insert(((answer.due * 1e6) as u64, answer.order), answer);
            }
        }
    }

    // ---- faults ----

    /// Works so many times longer from now on.
    pub(crate) fn slow_down(&self, factor: f64) {
        lock(&self.state).slowdown = factor;
    }

    /// Answers nothing for so many seconds, and goes on with what came meanwhile.
    pub(crate) fn stop(&self, seconds: f64) {
        lock(&self.state).stopped_until = self.now() + seconds;
    }

    /// Cuts the links to these directors in one direction; none: they work again.
    pub(crate) fn set_cut(&self, directors: impl Iterator<Item = usize>, cut: Option<CutDirection>) {
        let mut state = lock(&self.state);
        for director in directors {
            match cut {
                Some(cut) => state.cuts.insert(director, cut),
                None => state.cuts.remove(&director),
            };
        }
    }

    /// Health checks of these directors arrive when so many seconds are over.
    pub(crate) fn delay_health_checks(&self, directors: &[usize], seconds: f64) {
        let until = self.now() + seconds;
        lock(&self.state).delayed_health_checks.extend(directors.iter().map(|d| (*d, until)));
    }

    /// Resets all its connections.
    pub(crate) fn reset_connections(&self) {
        for connection in std::mem::take(&mut lock(&self.state).connections) {
            // One that has ended is as good.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ends, until it is restarted.
    pub(crate) fn crash(&self) {
        lock(&self.state).down_until = Seconds::INFINITY;
        self.reset_connections();
    }

    /// Begins anew, cold and empty. Returns when, in Unix milliseconds.
    pub(crate) fn restart_cold(&self) -> u64 {
        let mut state = lock(&self.state);
        state.copies = Copies::default();
        state.health_check_guard = FencingGuard::default();
        state.warming_guard = FencingGuard::default();
        state.down_until = 0.0;
        state.stray_after = None;
        state.counts.after_restart.clear();
        state.counts.cold_since = Some(self.now());
        unix_ms()
    }

    /// It has left the list: nothing is to come after so many seconds.
    pub(crate) fn leave(&self, grace: f64) {
        lock(&self.state).stray_after = Some(self.now() + grace);
    }

    /// What it has counted up to now.
    pub(crate) fn counts(&self) -> NodeCounts {
        lock(&self.state).counts.clone()
    }
}
