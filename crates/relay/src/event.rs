//! An event of the control feed: checked once when it is taken in, then kept and told as the bytes it came
//! as.

use std::net::SocketAddr;

use sablecross_hierarchy::Admission;
use sablecross_hierarchy::spec::Told as Spec;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// Numbers stay below this: past it no JSON number is exact.
pub const MOST_NUMBER: u64 = 1 << 53;

/// An event that is refused: what is wrong with it, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("the event has {bytes} bytes, more than {most}")]
    TooLarge { bytes: usize, most: usize },
    #[error("the event is no JSON as the feed has it: {0}")]
    Json(String),
    #[error("the event's number {0} is past what JSON holds exactly")]
    Number(u64),
    #[error("the event has no members, purge or hierarchy")]
    Empty,
    #[error("the event has more than one of members, purge and hierarchy")]
    Several,
    #[error("members: {0}")]
    Members(String),
    #[error("members: endpoint {place} ({name}): {why}")]
    Endpoint { place: usize, name: String, why: String },
    #[error("purge: {0}")]
    Purge(String),
    #[error("hierarchy: {0}")]
    Hierarchy(String),
}

/// What an event is about, as far as a relay has to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The whole list, or what has changed of it.
    Members {
        whole: bool,
    },
    /// Made at this Unix millisecond.
    Purge {
        at: u64,
    },
    Hierarchy,
}

/// One that was checked. Its bytes are those it came as, on one line and without its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    kind: Kind,
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
    pub gone: bool,
    pub raw: String,
}

fn why(e: serde_json::Error) -> String {
    e.to_string()
}

fn endpoints(members: &str) -> Result<(bool, Vec<Endpoint>), Fault> {
    let list: Members = serde_json::from_str(members).map_err(|e| Fault::Members(why(e)))?;
    let one = |(place, raw): (usize, &RawValue)| {
        let line: Line = serde_json::from_str(raw.get()).map_err(|e| {
            let name = serde_json::from_str::<Name>(raw.get()).map(|n| n.name).unwrap_or_default();
            Fault::Endpoint { place, name, why: why(e) }
        })?;
        Ok(Endpoint { name: line.name, gone: line.status == Status::Gone, raw: raw.get().to_owned() })
    };
    let all = list.endpoints.into_iter().enumerate().map(one).collect::<Result<Vec<_>, Fault>>()?;
    Ok((list.snapshot, all))
}

fn purge(text: &str) -> Result<Kind, Fault> {
    let p: Purge = serde_json::from_str(text).map_err(|e| Fault::Purge(why(e)))?;
    match (&p.key, p.group) {
        (None, None) => return Err(Fault::Purge("it names neither a key nor a group".into())),
        (Some(key), _) if u64::from_str_radix(key, 16).is_err() => {
            return Err(Fault::Purge(format!("key {key:?} is no object")));
        }
        _ => {}
    }
    Ok(Kind::Purge { at: p.at })
}

fn hierarchy(text: &str) -> Result<Kind, Fault> {
    let spec: Spec = serde_json::from_str(text).map_err(|e| Fault::Hierarchy(why(e)))?;
    let (_, version) = spec.hierarchy(None).map_err(Fault::Hierarchy)?;
    // As directors check it: one that they would pass over is not told.
    Admission::sound(&version).map_err(|e| Fault::Hierarchy(e.to_string()))?;
    Ok(Kind::Hierarchy)
}

impl Event {
    /// Reads an event, with its number if it has one. It may have `most` bytes.
    pub fn read(text: &[u8], most: usize) -> Result<(Option<u64>, Event), Fault> {
        if text.len() > most {
            return Err(Fault::TooLarge { bytes: text.len(), most });
        }
        let text = std::str::from_utf8(text).map_err(|e| Fault::Json(e.to_string()))?;
        let raw: Raw = serde_json::from_str(text).map_err(|e| Fault::Json(why(e)))?;
        if let Some(n) = raw.n.filter(|n| *n >= MOST_NUMBER) {
            return Err(Fault::Number(n));
        }
        let (name, value, kind) = match (raw.members, raw.purge, raw.hierarchy) {
            (Some(m), None, None) => {
                ("members", m, endpoints(m.get()).map(|(whole, _)| Kind::Members { whole })?)
            }
            (None, Some(p), None) => ("purge", p, purge(p.get())?),
            (None, None, Some(h)) => ("hierarchy", h, hierarchy(h.get())?),
            (None, None, None) => return Err(Fault::Empty),
            _ => return Err(Fault::Several),
        };
        // Ends of lines stand between values alone: within strings JSON has none.
        let body = format!("{{\"{name}\":{}}}", value.get().replace(['\n', '\r'], " "));
        Ok((raw.n, Event { kind, body }))
    }

    /// A list event that changes nothing: the first of an owner, and what stands for one that nobody can
    /// read.
    pub fn nothing() -> Event {
        let body = r#"{"members":{"index":0,"snapshot":false,"endpoints":[]}}"#.to_owned();
        Event { kind: Kind::Members { whole: false }, body }
    }

    /// A whole list of these endpoints.
    pub fn whole<'a>(index: u64, raw: impl Iterator<Item = &'a str>) -> Event {
        let list = raw.collect::<Vec<_>>().join(",");
        let body = format!(r#"{{"members":{{"index":{index},"snapshot":true,"endpoints":[{list}]}}}}"#);
        Event { kind: Kind::Members { whole: true }, body }
    }

    pub fn kind(&self) -> Kind {
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
    pub fn frame(&self, number: u64) -> Vec<u8> {
        format!("id: {number}\ndata: {{\"n\":{number},{}\n\n", &self.body[1..]).into_bytes()
    }
}
