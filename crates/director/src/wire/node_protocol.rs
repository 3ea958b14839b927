//! The lines that nodes speak.

use std::io::Write;

use sablecross::{AttemptSpec, LoadReport, Ns, Outcome};
use sablecross_inflight::settings;

use crate::clock::NS_PER_MS;
use crate::events::{IncomingRequest, RequestId};

/// The head of an answer, parsed where it lies.
#[derive(Debug, PartialEq)]
pub struct AnswerHead<'a> {
    pub request_id: RequestId,
    pub outcome: Outcome,
    pub is_cache_hit: Option<bool>,
    pub load: Option<LoadReport>,
    pub tag: Option<&'a str>,
    /// The client's copy is the one that would be served.
    pub is_unchanged: bool,
    pub body_length: usize,
}

/// The notes by their numbers, from 1.
const NOTES: [&str; 5] = ["HIT", "MISS", "MISS_ORIGIN", "COLLAPSED", "STALE"];

/// An answer's head in a line without its end; none where it is none.
pub fn parse_answer_head(line: &[u8]) -> Option<AnswerHead<'_>> {
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let (name, word, fields, length) = (words.next()?, words.next()?, words.next()?, words.next()?);
    if words.next().is_some() {
        return None;
    }
    let name = name.as_bytes().try_into().ok()?;
    let (outcome, unchanged) = match word {
        "ACK" => (Outcome::Success, false),
        "NOMOD" => (Outcome::Success, true),
        "NOENT" => (Outcome::Miss, false),
        "AGAIN" => (Outcome::Overloaded, false),
        "EIO" => (Outcome::Error, false),
        "STALE" => (Outcome::NotSent, false),
        _ => return None,
    };
    let mut head = AnswerHead {
        request_id: name,
        outcome,
        is_cache_hit: None,
        load: None,
        tag: None,
        is_unchanged: unchanged,
        body_length: length.parse().ok().filter(|&n| n == 0 || !unchanged)?,
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        match field.split_once('=')? {
            ("how", note) => {
                let number = NOTES.iter().position(|n| *n == note).map_or(0, |i| i as u32 + 1);
                head.is_cache_hit = settings::is_cache_hit(number);
            }
            ("stats", stats) => {
                let values = stats.split(';').filter_map(|s| s.split_once(':'));
                let values = values.filter_map(|(name, v)| Some((name, v.parse().ok()?)));
                head.load = Some(settings::load_report(values));
            }
            ("entity", tag) => head.tag = Some(tag),
            _ => {}
        }
    }
    Some(head)
}

/// The head of a send, but for the time that its client has left, which is known when it is written.
#[derive(Debug, Default)]
pub struct PullHead {
    before_wait: Vec<u8>,
    after_wait: Vec<u8>,
}

impl PullHead {
    /// The whole line with its end, told so much time.
    pub fn with_wait(&self, left: Ns) -> Vec<u8> {
        let wait = milliseconds(left).to_string();
        [&self.before_wait, wait.as_bytes(), &self.after_wait].concat()
    }
}

fn milliseconds(ns: Ns) -> u64 {
    (ns / NS_PER_MS).max(1)
}

/// The head of a send. `way` is a field of our own, for installations with more than two tiers.
pub fn pull_head(
    asked: &IncomingRequest,
    send: &AttemptSpec,
    kind: &str,
    source: Option<&str>,
    way: Option<&str>,
) -> PullHead {
    let before_wait = format!(
        "PULL {} class={kind},key={:016x},part={},wait=",
        request_id_text(&asked.request_id),
        asked.object,
        asked.part
    );
    let mut line = Vec::with_capacity(128);
    let ms = milliseconds;
    // Writing into memory does not fail.
    let mut put = |text: std::fmt::Arguments| {
        let _ = line.write_fmt(text);
    };
    if let Some(source) = source {
        put(format_args!(",miss={source}"));
    }
    if let Some(way) = way {
        put(format_args!(",way={way}"));
    }
    if send.retention_rank > 0 {
        put(format_args!(",prio={}", send.retention_rank));
    }
    if let Some(oldest) = send.max_age {
        put(format_args!(",within={}", ms(oldest)));
    }
    match (send.coalesce, send.refresh) {
        (true, true) => put(format_args!(",f=collapse+refresh")),
        (true, false) => put(format_args!(",f=collapse")),
        (false, true) => put(format_args!(",f=refresh")),
        (false, false) => {}
    }
    if let Some(tag) = &asked.client_tag {
        put(format_args!(",mine={tag}"));
    }
    if let Some(mark) = &asked.idempotency_key {
        put(format_args!(",once={mark}"));
    }
    put(format_args!(" {}\r\n", asked.body.bytes().len()));
    PullHead { before_wait: before_wait.into_bytes(), after_wait: line }
}

pub fn kill_line(name: &RequestId) -> Vec<u8> {
    format!("KILL {}\r\n", request_id_text(name)).into_bytes()
}

/// A name as it is written.
pub fn request_id_text(name: &RequestId) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
