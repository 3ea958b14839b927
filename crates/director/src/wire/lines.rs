//! The lines that nodes speak.

use std::io::Write;

use sablecross::{Load, Ns, Outcome, Send};
use sablecross_inhand::settings;

use crate::exchange::{Asked, Name};
use crate::plain::clock::MS;

/// The head of an answer, parsed where it lies.
#[derive(Debug, PartialEq)]
pub struct Head<'a> {
    pub name: Name,
    pub outcome: Outcome,
    pub hit: Option<bool>,
    pub load: Option<Load>,
    pub tag: Option<&'a str>,
    /// The client's copy is the one that would be served.
    pub unchanged: bool,
    pub length: usize,
}

/// The notes by their numbers, from 1.
const NOTES: [&str; 5] = ["HIT", "MISS", "MISS_ORIGIN", "COLLAPSED", "STALE"];

/// An answer's head in a line without its end; none where it is none.
pub fn head(line: &[u8]) -> Option<Head<'_>> {
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let (name, word, fields, length) = (words.next()?, words.next()?, words.next()?, words.next()?);
    if words.next().is_some() {
        return None;
    }
    let name = name.as_bytes().try_into().ok()?;
    let (outcome, unchanged) = match word {
        "ACK" => (Outcome::Satisfied, false),
        "NOMOD" => (Outcome::Satisfied, true),
        "NOENT" => (Outcome::Miss, false),
        "AGAIN" => (Outcome::Full, false),
        "EIO" => (Outcome::Error, false),
        "STALE" => (Outcome::NeverSent, false),
        _ => return None,
    };
    let mut head = Head {
        name,
        outcome,
        hit: None,
        load: None,
        tag: None,
        unchanged,
        length: length.parse().ok().filter(|&n| n == 0 || !unchanged)?,
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        match field.split_once('=')? {
            ("how", note) => {
                let number = NOTES.iter().position(|n| *n == note).map_or(0, |i| i as u32 + 1);
                head.hit = settings::hit(number);
            }
            ("stats", stats) => {
                let values = stats.split(';').filter_map(|s| s.split_once(':'));
                let values = values.filter_map(|(name, v)| Some((name, v.parse().ok()?)));
                head.load = Some(settings::load(values));
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
    pub fn line(&self, left: Ns) -> Vec<u8> {
        let wait = milliseconds(left).to_string();
        [&self.before_wait, wait.as_bytes(), &self.after_wait].concat()
    }
}

fn milliseconds(ns: Ns) -> u64 {
    (ns / MS).max(1)
}

/// The head of a send. `way` is a field of our own, for installations with more than two tiers.
pub fn pull(asked: &Asked, send: &Send, kind: &str, source: Option<&str>, way: Option<&str>) -> PullHead {
    let before_wait = format!(
        "PULL {} class={kind},key={:016x},part={},wait=",
        text(&asked.name),
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
    if send.keep > 0 {
        put(format_args!(",prio={}", send.keep));
    }
    if let Some(oldest) = send.oldest {
        put(format_args!(",within={}", ms(oldest)));
    }
    match (send.join, send.renew) {
        (true, true) => put(format_args!(",f=collapse+refresh")),
        (true, false) => put(format_args!(",f=collapse")),
        (false, true) => put(format_args!(",f=refresh")),
        (false, false) => {}
    }
    if let Some(tag) = &asked.tag {
        put(format_args!(",mine={tag}"));
    }
    if let Some(mark) = &asked.mark {
        put(format_args!(",once={mark}"));
    }
    put(format_args!(" {}\r\n", asked.body.bytes().len()));
    PullHead { before_wait: before_wait.into_bytes(), after_wait: line }
}

pub fn kill(name: &Name) -> Vec<u8> {
    format!("KILL {}\r\n", text(name)).into_bytes()
}

/// A name as it is written.
pub fn text(name: &Name) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
