//! How a node reads and answers requests of directors: attempts, health checks and cache warming.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use sablecross_coordination::FencingToken;
use sablecross_director::coordination::HealthCheckTag;

use super::{
    COLLAPSE_MULTIPLE, CutDirection, DelayedAnswer, HealthCheck, Node, NodeState, NodesByName,
    RequestAfterRestart, SLOW_START_INITIAL_SHARE, SLOW_START_WINDOW_SECONDS, Seconds, SenderInSecond, Tier,
};
use crate::clock::unix_ms;
use crate::pull_request::{PullRequest, PullRequestError};
use crate::threads::lock;

/// The longest time that accepted work may wait. A request that would wait longer is rejected as overload.
const MAX_QUEUE_SECONDS: f64 = 0.6;
/// The network delay of each answer, in addition to the work.
const NETWORK_DELAY_SECONDS: f64 = 0.002;
/// The duration of a fetch from the origin.
const ORIGIN_FETCH_SECONDS: f64 = 0.02;
/// The outage of a cold node that collapsed.
const COLLAPSED_SECONDS: f64 = 2.0;
/// Load is counted in tenths of a second and summed over the current tenth and the nine before it.
const TENTHS_PER_SECOND: f64 = 10.0;
const EARLIER_TENTHS: usize = 9;

/// The outcome of an attempt, and when its answer is due.
enum PullOutcome {
    Copy {
        due: Seconds,
        issued_ms: u64,
        is_hit: bool,
    },
    Miss {
        due: Seconds,
    },
    Overloaded {
        due: Seconds,
    },
    Error {
        due: Seconds,
    },
    /// The fencing token is older than one that was already admitted, or belongs to another holder of the same term.
    Fenced {
        due: Seconds,
        newest: HealthCheckTag,
    },
    /// No answer is sent.
    Silence,
}

impl PullOutcome {
    /// The due time and the bytes of the answer, if there is one.
    fn encode(&self, tag: &str) -> Option<(Seconds, Vec<u8>)> {
        let (due, word, fields, body) = match self {
            PullOutcome::Copy { due, issued_ms, is_hit } => {
                let how = if *is_hit { "HIT" } else { "MISS" };
                let fields = format!("how={how},entity={issued_ms:016x},issued={issued_ms}");
                (due, "ACK", fields, format!("{issued_ms:016x}"))
            }
            PullOutcome::Miss { due } => (due, "NOENT", "-".into(), String::new()),
            PullOutcome::Overloaded { due } => (due, "AGAIN", "-".into(), String::new()),
            PullOutcome::Error { due } => (due, "EIO", "-".into(), String::new()),
            PullOutcome::Fenced { due, newest } => (due, "STALE", format!("newest={newest}"), String::new()),
            PullOutcome::Silence => return None,
        };
        let bytes = format!("{tag} {word} {fields} {}\r\n{body}\r\n", body.len());
        Some((*due, bytes.into_bytes()))
    }
}

/// The newest admitted token, in the form in which nodes report it.
fn newest_tag(token: FencingToken) -> HealthCheckTag {
    HealthCheckTag { token, sequence: 0 }
}

/// The number of the director, with which an attempt's tag begins.
fn director_of(tag: &str) -> usize {
    tag.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0) as usize
}

impl NodeState {
    /// Counts a request. Returns the number of requests in the last second.
    fn count_request(&mut self, now: Seconds) -> u32 {
        let tenth = (now * TENTHS_PER_SECOND) as usize;
        let requests = &mut self.counts.requests;
        if requests.len() <= tenth {
            requests.resize(tenth + 1, 0);
        }
        requests[tenth] += 1;
        requests[tenth.saturating_sub(EARLIER_TENTHS)..].iter().sum()
    }

    /// The share of the node's capacity that it can serve now, which grows during slow start.
    fn warm_share(&self, now: Seconds) -> f64 {
        let Some(cold_since) = self.counts.cold_since else { return 1.0 };
        let grown = (1.0 - SLOW_START_INITIAL_SHARE) * (now - cold_since) / SLOW_START_WINDOW_SECONDS;
        (SLOW_START_INITIAL_SHARE + grown).min(1.0)
    }
}

impl Node {
    /// Reads and answers the requests on one connection.
    pub(super) fn answer_requests(&self, stream: &Arc<TcpStream>, nodes: &NodesByName) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(&**stream);
        let mut line = String::new();
        let mut answers = 0u64;
        let connection = u64::from(stream.peer_addr()?.port()) << 32;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 || self.is_over() {
                return Ok(());
            }
            let request = match PullRequest::parse(&line) {
                Ok(request) => request,
                Err(PullRequestError::OtherCommand) => {
                    if let Some(answer) = self.answer_other_command(&line) {
                        (&**stream).write_all(answer.as_bytes())?;
                    }
                    continue;
                }
                Err(PullRequestError::Malformed) => return Ok(()),
            };
            let outcome = self.answer_pull(&request, nodes);
            request.skip_body(&mut reader)?;
            answers += 1;
            if let Some((due, bytes)) = outcome.encode(request.tag) {
                let stream = Arc::clone(stream);
                let answer = DelayedAnswer { due, order: connection | answers, stream, bytes };
                // The thread that sends answers ends with the trial; the answer is not needed then.
                let _ = lock(&self.delayed_answers).send(answer);
            }
        }
    }

    fn answer_pull(&self, request: &PullRequest, nodes: &NodesByName) -> PullOutcome {
        let warming = request.field("duty").and_then(|tag| tag.parse::<HealthCheckTag>().ok());
        let object = request.object().unwrap_or(0);
        // A stopped process goes on reading once it is continued.
        let stopped = lock(&self.state).stopped_until - self.now();
        if stopped > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(stopped));
        }
        let director = match warming {
            Some(tag) => tag.token.holder.number as usize,
            None => director_of(request.tag),
        };
        if let Some(newest) = warming.and_then(|tag| self.refuse_warming(tag)) {
            return PullOutcome::Fenced { due: self.now(), newest };
        }
        let source = request.source().and_then(|name| nodes.get(name));
        self.pull(director, object, source, warming.is_some())
    }

    /// Answers a health check (`METER <tag>`). Other commands get no answer.
    fn answer_other_command(&self, line: &str) -> Option<String> {
        let mut words = line.trim_end().split(' ');
        if words.next() != Some("METER") {
            return None;
        }
        self.answer_health_check(words.next()?)
    }

    /// Answers a health check after any injected delay. The token is checked and the health check counted under one lock,
    /// so that no newer token can come between them.
    fn answer_health_check(&self, text: &str) -> Option<String> {
        let tag: HealthCheckTag = text.parse().ok()?;
        let member = tag.token.holder.number as usize;
        let delay = {
            let state = lock(&self.state);
            let delayed_until = state.delayed_health_checks.get(&member).copied().unwrap_or(0.0);
            delayed_until.max(state.stopped_until) - self.now()
        };
        if delay > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(delay));
        }
        let now = self.now();
        let mut state = lock(&self.state);
        if now < state.down_until || state.cuts.get(&member) == Some(&CutDirection::To) {
            return None;
        }
        let refused = state.health_check_guard.admit(tag.token).err().filter(|_| self.rejects_stale_tokens);
        let is_admitted = refused.is_none();
        state.counts.health_checks.push(HealthCheck { at: now, token: tag.token, is_admitted });
        let is_cut = state.cuts.contains_key(&member);
        let busy = ((state.free_at - now) / MAX_QUEUE_SECONDS).clamp(0.0, 1.0);
        drop(state);
        let answer = match refused {
            Some(stale) => format!("{text} STALE newest={} 0\r\n\r\n", newest_tag(stale.highest)),
            None => format!("{text} READY stats=cpu:{busy:.3} 0\r\n\r\n"),
        };
        (!is_cut).then_some(answer)
    }

    /// Counts a cache warming request. Returns the newest admitted token if the request's token is stale.
    fn refuse_warming(&self, tag: HealthCheckTag) -> Option<HealthCheckTag> {
        let mut state = lock(&self.state);
        match state.warming_guard.admit(tag.token) {
            Err(stale) if self.rejects_stale_tokens => {
                state.counts.warming_refused += 1;
                Some(newest_tag(stale.highest))
            }
            _ => {
                state.counts.warming_requests += 1;
                None
            }
        }
    }

    fn pull(
        &self,
        director: usize,
        object: u64,
        source: Option<&Arc<Node>>,
        is_warming: bool,
    ) -> PullOutcome {
        let now = self.now();
        let is_cut = {
            let mut state = lock(&self.state);
            if state.cuts.get(&director) == Some(&CutDirection::To) {
                return PullOutcome::Silence;
            }
            state.counts.senders.insert(SenderInSecond { second: now as u32, director });
            state.counts.stray_requests +=
                u64::from(state.stray_after.is_some_and(|stray_after| now > stray_after));
            state.cuts.contains_key(&director)
        };
        if !is_warming {
            self.note_after_restart(now, object);
        }
        let outcome = self.copy_or_fill(now, object, source);
        if is_cut { PullOutcome::Silence } else { outcome }
    }

    fn note_after_restart(&self, now: Seconds, object: u64) {
        let is_hit = self.copy(object).is_some();
        let mut state = lock(&self.state);
        if state.counts.cold_since.is_some() {
            state.counts.after_restart.push(RequestAfterRestart { at: now, is_hit });
        }
    }

    /// Answers from a copy, or fills one from the source.
    ///
    /// A fill starts when the request arrives, not when this node's own work is done: a source computes its queue from
    /// requests that arrive in the order of their times.
    fn copy_or_fill(&self, now: Seconds, object: u64, source: Option<&Arc<Node>>) -> PullOutcome {
        let done_at = match self.work(now) {
            Ok(done_at) => done_at,
            Err(refusal) => return refusal,
        };
        match (self.copy(object), source) {
            (Some(issued_ms), _) => PullOutcome::Copy { due: done_at, issued_ms, is_hit: true },
            (None, Some(source)) => match source.fill(now, object) {
                Some((filled_at, issued_ms)) => {
                    self.keep(object, issued_ms);
                    let due = done_at.max(filled_at) + NETWORK_DELAY_SECONDS;
                    PullOutcome::Copy { due, issued_ms, is_hit: false }
                }
                None => PullOutcome::Error { due: done_at },
            },
            (None, None) if self.tier == Tier::Origin => {
                PullOutcome::Copy { due: done_at, issued_ms: unix_ms(), is_hit: false }
            }
            (None, None) => PullOutcome::Miss { due: done_at },
        }
    }

    /// Serves the fill of another node, from a copy or from the origin, whose latency is constant here. Returns when the
    /// fill is done, and when the copy was issued (Unix milliseconds).
    fn fill(&self, now: Seconds, object: u64) -> Option<(Seconds, u64)> {
        let done_at = self.work(now).ok()?;
        if let Some(issued_ms) = self.copy(object) {
            return Some((done_at, issued_ms));
        }
        let issued_ms = unix_ms();
        self.keep(object, issued_ms);
        Some((done_at + ORIGIN_FETCH_SECONDS, issued_ms))
    }

    /// Counts a request and queues its work. Returns when the work will be done, plus the network delay of its answer,
    /// or the outcome if the work is not accepted.
    fn work(&self, now: Seconds) -> Result<Seconds, PullOutcome> {
        let due = now + NETWORK_DELAY_SECONDS;
        let mut state = lock(&self.state);
        let load = state.count_request(now);
        if now < state.down_until {
            return Err(PullOutcome::Error { due });
        }
        let share = state.warm_share(now);
        if share < 1.0 && f64::from(load) > COLLAPSE_MULTIPLE * share * self.capacity {
            state.counts.collapses += 1;
            state.down_until = now + COLLAPSED_SECONDS;
            return Err(PullOutcome::Error { due });
        }
        let begins_at = now.max(state.free_at);
        if begins_at - now > MAX_QUEUE_SECONDS {
            return Err(PullOutcome::Overloaded { due });
        }
        state.free_at = begins_at + state.slowdown / (self.capacity * share);
        Ok(state.free_at + NETWORK_DELAY_SECONDS)
    }

    /// When the copy of an object was issued (Unix milliseconds), if there is one.
    fn copy(&self, object: u64) -> Option<u64> {
        lock(&self.state).copies.issued_ms.get(&object).copied()
    }

    fn keep(&self, object: u64, issued_ms: u64) {
        lock(&self.state).copies.keep(object, issued_ms, self.max_copies);
    }
}
