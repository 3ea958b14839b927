//! The lines that nodes speak.

use std::io::Write;

use sablecross::{Load, Outcome, Send};
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

/// The head of a send, with the line's end.
/// `way` is a field of our own, for installations with more than two tiers.
pub fn pull(asked: &Asked, send: &Send, kind: &str, source: Option<&str>, way: Option<&str>) -> Vec<u8> {
    let mut line = Vec::with_capacity(256);
    let ms = |ns: u64| (ns / MS).max(1);
    // Writing into memory does not fail.
    let mut put = |text: std::fmt::Arguments| {
        let _ = line.write_fmt(text);
    };
    put(format_args!(
        "PULL {} class={kind},key={:016x},part={}",
        text(&asked.name),
        asked.object,
        asked.part
    ));
    put(format_args!(",wait={}", ms(send.time_out)));
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
    line
}

pub fn kill(name: &Name) -> Vec<u8> {
    format!("KILL {}\r\n", text(name)).into_bytes()
}

fn text(name: &Name) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
