//! An event of the control feed: checked once when it is taken in, then kept and told as the bytes it came
//! as.

use std::net::SocketAddr;

use sablecross_hierarchy::Admission;
use sablecross_hierarchy::spec::HierarchySpec as Spec;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// Numbers stay below this: past it no JSON number is exact.
pub const MAX_EVENT_NUMBER: u64 = 1 << 53;

/// An event that is refused: what is wrong with it, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    #[error("the event has {bytes} bytes, more than {most}")]
    TooLarge { bytes: usize, most: usize },
    #[error("the event is no JSON as the feed has it: {0}")]
    InvalidJson(String),
    #[error("the event's number {0} is past what JSON holds exactly")]
    NumberTooLarge(u64),
    #[error("the event has no members, purge or hierarchy")]
    Empty,
    #[error("the event has more than one of members, purge and hierarchy")]
    MultipleKinds,
    #[error("members: {0}")]
    InvalidMembers(String),
    #[error("members: endpoint {place} ({name}): {why}")]
    InvalidEndpoint { place: usize, name: String, why: String },
    #[error("purge: {0}")]
    InvalidPurge(String),
    #[error("hierarchy: {0}")]
    InvalidHierarchy(String),
}

/// What an event is about, as far as a relay has to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The whole list, or what has changed of it.
    Members {
        is_snapshot: bool,
    },
    /// Made at this Unix millisecond.
    Purge {
        created_unix_ms: u64,
    },
    Hierarchy,
}

/// One that was checked. Its bytes are those it came as, on one line and without its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    kind: EventKind,
    body: String,
}

#[derive(Deserialize)]
struct Raw<'a> {
    n: Option<u64>,
    #[serde(borrow)]
    members: Option<&'a RawValue>,
    #[serde(borrow)]
    purge: Option<&'a RawValue>,
    #[serde(borrow)]
    hierarchy: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Members<'a> {
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Name {
    #[serde(default)]
    name: String,
}

/// What a director needs of an endpoint.
#[derive(Deserialize)]
#[allow(dead_code)]
struct Line {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    group: usize,
    status: Status,
    since_ms: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Status {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize)]
struct Purge {
    key: Option<String>,
    group: Option<u32>,
    at: u64,
}

/// An endpoint of a list event: its name, whether it has gone, and its JSON as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub name: String,
    pub is_gone: bool,
    pub json: String,
}

fn why(e: serde_json::Error) -> String {
    e.to_string()
}

fn endpoints(members: &str) -> Result<(bool, Vec<Endpoint>), EventError> {
    let list: Members = serde_json::from_str(members).map_err(|e| EventError::InvalidMembers(why(e)))?;
    let one = |(place, raw): (usize, &RawValue)| {
        let line: Line = serde_json::from_str(raw.get()).map_err(|e| {
            let name = serde_json::from_str::<Name>(raw.get()).map(|n| n.name).unwrap_or_default();
            EventError::InvalidEndpoint { place, name, why: why(e) }
        })?;
        Ok(Endpoint { name: line.name, is_gone: line.status == Status::Gone, json: raw.get().to_owned() })
    };
    let all = list.endpoints.into_iter().enumerate().map(one).collect::<Result<Vec<_>, EventError>>()?;
    Ok((list.snapshot, all))
}

fn purge(text: &str) -> Result<EventKind, EventError> {
    let p: Purge = serde_json::from_str(text).map_err(|e| EventError::InvalidPurge(why(e)))?;
    match (&p.key, p.group) {
        (None, None) => return Err(EventError::InvalidPurge("it names neither a key nor a group".into())),
        (Some(key), _) if u64::from_str_radix(key, 16).is_err() => {
            return Err(EventError::InvalidPurge(format!("key {key:?} is no object")));
        }
        _ => {}
    }
    Ok(EventKind::Purge { created_unix_ms: p.at })
}

fn hierarchy(text: &str) -> Result<EventKind, EventError> {
    let spec: Spec = serde_json::from_str(text).map_err(|e| EventError::InvalidHierarchy(why(e)))?;
    let (_, version) =
        spec.to_hierarchy(None).map_err(|error| EventError::InvalidHierarchy(error.to_string()))?;
    // As directors check it: one that they would pass over is not told.
    Admission::check_structure(&version).map_err(|e| EventError::InvalidHierarchy(e.to_string()))?;
    Ok(EventKind::Hierarchy)
}

impl Event {
    /// Reads an event, with its number if it has one. It may have `most` bytes.
    pub fn parse(text: &[u8], most: usize) -> Result<(Option<u64>, Event), EventError> {
        if text.len() > most {
            return Err(EventError::TooLarge { bytes: text.len(), most });
        }
        let text = std::str::from_utf8(text).map_err(|e| EventError::InvalidJson(e.to_string()))?;
        let raw: Raw = serde_json::from_str(text).map_err(|e| EventError::InvalidJson(why(e)))?;
        if let Some(n) = raw.n.filter(|n| *n >= MAX_EVENT_NUMBER) {
            return Err(EventError::NumberTooLarge(n));
        }
        let (name, value, kind) = match (raw.members, raw.purge, raw.hierarchy) {
            (Some(m), None, None) => (
                "members",
                m,
                endpoints(m.get()).map(|(whole, _)| EventKind::Members { is_snapshot: whole })?,
            ),
            (None, Some(p), None) => ("purge", p, purge(p.get())?),
            (None, None, Some(h)) => ("hierarchy", h, hierarchy(h.get())?),
            (None, None, None) => return Err(EventError::Empty),
            _ => return Err(EventError::MultipleKinds),
        };
        // Ends of lines stand between values alone: within strings JSON has none.
        let body = format!("{{\"{name}\":{}}}", value.get().replace(['\n', '\r'], " "));
        Ok((raw.n, Event { kind, body }))
    }

    /// A list event that changes nothing: the first of an owner, and what stands for one that nobody can
    /// read.
    pub fn empty_update() -> Event {
        let body = r#"{"members":{"index":0,"snapshot":false,"endpoints":[]}}"#.to_owned();
        Event { kind: EventKind::Members { is_snapshot: false }, body }
    }

    /// A whole list of these endpoints.
    pub fn snapshot<'a>(index: u64, raw: impl Iterator<Item = &'a str>) -> Event {
        let list = raw.collect::<Vec<_>>().join(",");
        let body = format!(r#"{{"members":{{"index":{index},"snapshot":true,"endpoints":[{list}]}}}}"#);
        Event { kind: EventKind::Members { is_snapshot: true }, body }
    }

    pub fn kind(&self) -> EventKind {
        self.kind
    }

    /// `{"purge":{...}}`: without its number.
    pub fn body(&self) -> &str {
        &self.body
    }

    /// The endpoints of a list event, and whether they are the whole list.
    pub fn endpoints(&self) -> Option<(bool, Vec<Endpoint>)> {
        let raw: Raw = serde_json::from_str(&self.body).ok()?;
        endpoints(raw.members?.get()).ok()
    }

    /// The index of a list event, as its publisher counted it.
    pub fn index(&self) -> Option<u64> {
        #[derive(Deserialize)]
        struct Index {
            index: Option<u64>,
        }
        let raw: Raw = serde_json::from_str(&self.body).ok()?;
        serde_json::from_str::<Index>(raw.members?.get()).ok()?.index
    }

    /// As it is on the wire.
    pub fn to_frame(&self, number: u64) -> Vec<u8> {
        format!("id: {number}\ndata: {{\"n\":{number},{}\n\n", &self.body[1..]).into_bytes()
    }
}
