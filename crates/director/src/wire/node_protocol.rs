//! The lines that nodes speak.

use std::fmt::Write;

use sablecross::{AttemptSpec, LoadReport, Ns, Outcome};
use sablecross_inflight::settings;

use crate::clock::NS_PER_MS;
use crate::events::{IncomingRequest, RequestId};

/// The end of each line, and of each body.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// The notes of where an answer came from, by their numbers, from 1.
const CACHE_NOTES: [&str; 5] = ["HIT", "MISS", "MISS_ORIGIN", "COLLAPSED", "STALE"];

/// The head of an answer, parsed where it lies.
#[derive(Debug, PartialEq)]
pub struct AnswerHead<'a> {
    /// The request that it answers.
    pub request_id: RequestId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether it came from a cached copy, where the node reports it.
    pub is_cache_hit: Option<bool>,
    /// The node's load report.
    pub load: Option<LoadReport>,
    /// The tag of the copy.
    pub tag: Option<&'a str>,
    /// The copy that the client holds is the current one.
    pub is_unchanged: bool,
    /// The length of the body that follows, in bytes.
    pub body_length: usize,
}

/// The head of an answer in a line without its end; none if it is none.
pub fn parse_answer_head(line: &[u8]) -> Option<AnswerHead<'_>> {
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let (id, status, fields, length) = (words.next()?, words.next()?, words.next()?, words.next()?);
    if words.next().is_some() {
        return None;
    }
    let request_id = id.as_bytes().try_into().ok()?;
    let (outcome, is_unchanged) = match status {
        "ACK" => (Outcome::Success, false),
        "NOMOD" => (Outcome::Success, true),
        "NOENT" => (Outcome::Miss, false),
        "AGAIN" => (Outcome::Overloaded, false),
        "EIO" => (Outcome::Error, false),
        "STALE" => (Outcome::NotSent, false),
        _ => return None,
    };
    let body_length = length.parse().ok().filter(|&length| length == 0 || !is_unchanged)?;
    let mut head = AnswerHead {
        request_id,
        outcome,
        is_cache_hit: None,
        load: None,
        tag: None,
        is_unchanged,
        body_length,
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        match field.split_once('=')? {
            ("how", note) => head.is_cache_hit = is_cache_hit(note),
            ("stats", stats) => head.load = Some(parse_load(stats)),
            ("entity", tag) => head.tag = Some(tag),
            _ => {}
        }
    }
    Some(head)
}

fn is_cache_hit(note: &str) -> Option<bool> {
    let number = CACHE_NOTES.iter().position(|known| *known == note).map_or(0, |index| index as u32 + 1);
    settings::is_cache_hit(number)
}

fn parse_load(stats: &str) -> LoadReport {
    let values = stats.split(';').filter_map(|value| value.split_once(':'));
    settings::load_report(values.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
}

/// The line of an attempt, but for the time that its client has left, which is known when it is written.
#[derive(Debug, Default)]
pub struct PullHead {
    before_wait: Vec<u8>,
    after_wait: Vec<u8>,
}

impl PullHead {
    /// The complete line with its end.
    pub fn with_wait(&self, time_left: Ns) -> Vec<u8> {
        let wait = milliseconds(time_left).to_string();
        [&self.before_wait, wait.as_bytes(), &self.after_wait].concat()
    }
}

/// A node is given a millisecond at least.
fn milliseconds(ns: Ns) -> u64 {
    (ns / NS_PER_MS).max(1)
}

/// The line of an attempt. `fill_path` is a field of our own, for installations with more than two tiers.
pub fn pull_head(
    request: &IncomingRequest,
    spec: &AttemptSpec,
    class: &str,
    source: Option<&str>,
    fill_path: Option<&str>,
) -> PullHead {
    let before_wait = format!(
        "PULL {} class={class},key={:016x},part={},wait=",
        request_id_text(&request.request_id),
        request.object,
        request.part
    );
    let mut after_wait = String::with_capacity(128);
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        // Writing into memory does not fail.
        let _ = write!(after_wait, ",{name}={value}");
    };
    if let Some(source) = source {
        field("miss", &source);
    }
    if let Some(path) = fill_path {
        field("way", &path);
    }
    if spec.retention_rank > 0 {
        field("prio", &spec.retention_rank);
    }
    if let Some(max_age) = spec.max_age {
        field("within", &milliseconds(max_age));
    }
    match (spec.coalesce, spec.refresh) {
        (true, true) => field("f", &"collapse+refresh"),
        (true, false) => field("f", &"collapse"),
        (false, true) => field("f", &"refresh"),
        (false, false) => {}
    }
    if let Some(tag) = &request.client_tag {
        field("mine", tag);
    }
    if let Some(key) = &request.idempotency_key {
        field("once", key);
    }
    let _ = write!(after_wait, " {}\r\n", request.body.bytes().len());
    PullHead { before_wait: before_wait.into_bytes(), after_wait: after_wait.into_bytes() }
}

/// The line that kills a request's attempt.
pub fn kill_line(request_id: &RequestId) -> Vec<u8> {
    format!("KILL {}\r\n", request_id_text(request_id)).into_bytes()
}

/// A request's id as it is written.
pub fn request_id_text(request_id: &RequestId) -> &str {
    std::str::from_utf8(request_id).unwrap_or_default()
}
