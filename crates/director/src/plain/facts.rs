//! What the control feed tells, as plain values, decoded from its events.

use std::net::SocketAddr;

use sablecross::{Ns, State};
use serde::Deserialize;
use serde_json::Value;

use super::clock::MS;
use crate::upper::Told;

/// What an event of the feed says.
#[derive(Debug, PartialEq)]
pub enum Fact {
    Members {
        members: Vec<Member>,
        whole: bool,
    },
    /// Of an object, or with none of a whole group. When it was made is not read: it is measured by another clock.
    Purge {
        object: Option<u64>,
        group: u32,
    },
    /// A version of the hierarchy of upper caches, where this program knows them.
    Hierarchy(Box<Told>),
}

/// A line of the list of nodes, as the feed names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub state: State,
    /// The Unix time of its start, by the clock of whoever lists it; 0: long ago.
    pub started: Ns,
}

#[derive(Debug)]
pub struct Numbered {
    pub n: u64,
    pub fact: Fact,
}

/// The events of the start.
#[derive(Debug)]
pub struct Known {
    pub last: u64,
    pub events: Vec<Numbered>,
}

#[derive(Deserialize)]
struct RawMembers {
    snapshot: bool,
    endpoints: Vec<RawMember>,
}

#[derive(Deserialize)]
struct RawMember {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    group: usize,
    status: String,
    since_ms: u64,
}

#[derive(Deserialize)]
struct RawPurge {
    key: Option<String>,
    #[serde(default)]
    group: u32,
}

impl Numbered {
    pub fn of(event: &Value) -> Result<Numbered, String> {
        let n = event.get("n").and_then(Value::as_u64).ok_or("an event has no number")?;
        let bad = |e: serde_json::Error| format!("event {n}: {e}");
        let fact = if let Some(raw) = event.get("members") {
            let raw = RawMembers::deserialize(raw).map_err(bad)?;
            let members = raw.endpoints.into_iter().map(member).collect::<Result<_, _>>();
            Fact::Members { members: members.map_err(|e| format!("event {n}: {e}"))?, whole: raw.snapshot }
        } else if let Some(raw) = event.get("purge") {
            let raw = RawPurge::deserialize(raw).map_err(bad)?;
            let object = raw.key.map(|k| u64::from_str_radix(&k, 16)).transpose();
            let object = object.map_err(|_| format!("event {n}: key is no object"))?;
            Fact::Purge { object, group: raw.group }
        } else if let Some(raw) = event.get("hierarchy") {
            Fact::Hierarchy(Box::new(Told::of(raw).map_err(|e| format!("event {n}: {e}"))?))
        } else {
            return Err(format!("event {n}: neither members nor a purge"));
        };
        Ok(Numbered { n, fact })
    }
}

fn member(raw: RawMember) -> Result<Member, String> {
    let state = match raw.status.as_str() {
        "ready" => State::Ready,
        "draining" => State::Draining,
        "gone" => State::Gone,
        other => return Err(format!("{}: unknown status {other}", raw.name)),
    };
    let (name, address, zone, kind, cell) = (raw.name, raw.address, raw.zone, raw.kind, raw.group);
    Ok(Member { name, address, zone, kind, cell, state, started: raw.since_ms.saturating_mul(MS) })
}
