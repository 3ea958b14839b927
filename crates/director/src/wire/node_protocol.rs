//! The line protocol between directors and nodes.

use std::fmt::Write;

use sablecross::{AttemptSpec, LoadReport, Ns, Outcome};
use sablecross_inflight::settings;

use crate::clock::NS_PER_MS;
use crate::events::{IncomingRequest, RequestId};

/// Terminates each line and each body.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// The values of an answer's `how` field, which says where the answer came from. A value's number is its index plus 1.
const CACHE_STATUSES: [&str; 5] = ["HIT", "MISS", "MISS_ORIGIN", "COLLAPSED", "STALE"];

/// The head line of an answer, parsed in place.
#[derive(Debug, PartialEq)]
pub struct AnswerHead<'a> {
    /// The request that is answered.
    pub request_id: RequestId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether a cached copy was served; `None` if the node does not report it.
    pub is_cache_hit: Option<bool>,
    /// The node's load report, if the answer has one.
    pub load: Option<LoadReport>,
    /// The tag of the served copy.
    pub tag: Option<&'a str>,
    /// Whether the copy that the client holds is the current one.
    pub is_unchanged: bool,
    /// The length of the body that follows, in bytes.
    pub body_length: usize,
}

/// Parses the head line of an answer, given without its line end. Returns `None` if the line is malformed.
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
            ("how", status) => head.is_cache_hit = is_cache_hit(status),
            ("stats", stats) => head.load = Some(parse_load(stats)),
            ("entity", tag) => head.tag = Some(tag),
            _ => {}
        }
    }
    Some(head)
}

fn is_cache_hit(status: &str) -> Option<bool> {
    let number = CACHE_STATUSES.iter().position(|known| *known == status).map_or(0, |index| index as u32 + 1);
    settings::is_cache_hit(number)
}

fn parse_load(stats: &str) -> LoadReport {
    let values = stats.split(';').filter_map(|value| value.split_once(':'));
    settings::load_report(values.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
}

/// The line of an attempt without the value of its `wait` field: the time that is left for the answer is known only when
/// the line is written.
#[derive(Debug, Default)]
pub struct PullHead {
    before_wait: Vec<u8>,
    after_wait: Vec<u8>,
}

impl PullHead {
    /// The complete line with its line end; `time_left` is written as the `wait` field.
    pub fn with_wait(&self, time_left: Ns) -> Vec<u8> {
        let wait = milliseconds(time_left).to_string();
        [&self.before_wait, wait.as_bytes(), &self.after_wait].concat()
    }
}

/// Converts to whole milliseconds, at least 1: a node is never given a time of 0.
fn milliseconds(ns: Ns) -> u64 {
    (ns / NS_PER_MS).max(1)
}

/// Builds the line of an attempt. `fill_path` becomes the `way` field, an extension of the node protocol for hierarchies
/// with more than two tiers.
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
        // Writing to a string can't fail.
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

/// The `KILL` line, which cancels the attempt of a request.
pub fn kill_line(request_id: &RequestId) -> Vec<u8> {
    format!("KILL {}\r\n", request_id_text(request_id)).into_bytes()
}

/// The text form of a request id, as it is written on the wire.
pub fn request_id_text(request_id: &RequestId) -> &str {
    std::str::from_utf8(request_id).unwrap_or_default()
}
