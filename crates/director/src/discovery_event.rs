//! What the control feed tells, as plain values, decoded from its events.

use std::net::SocketAddr;

use sablecross::{EndpointState, Ns};
use serde::Deserialize;
use serde_json::Value;

use crate::clock::NS_PER_MS;
use crate::parent_hierarchy::VersionAnnouncement;

/// What an event of the feed says.
#[derive(Debug, PartialEq)]
pub enum DiscoveryEvent {
    Endpoints {
        endpoints: Vec<Endpoint>,
        is_snapshot: bool,
    },
    /// Of an object, or with none of a whole group. When it was made is not read: it is measured by another clock.
    Purge {
        object: Option<u64>,
        group: u32,
    },
    /// A version of the hierarchy of upper caches, where this program knows them.
    Hierarchy(Box<VersionAnnouncement>),
}

/// A line of the list of nodes, as the feed names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub state: EndpointState,
    /// The Unix time of its start, by the clock of whoever lists it; 0: long ago.
    pub started_at: Ns,
}

#[derive(Debug)]
pub struct NumberedEvent {
    pub number: u64,
    pub event: DiscoveryEvent,
}

/// The events of the start.
#[derive(Debug)]
pub struct KnownEvents {
    pub last: u64,
    pub events: Vec<NumberedEvent>,
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

impl NumberedEvent {
    pub fn from_json(event: &Value) -> Result<NumberedEvent, String> {
        let n = event.get("n").and_then(Value::as_u64).ok_or("an event has no number")?;
        let bad = |e: serde_json::Error| format!("event {n}: {e}");
        let fact = if let Some(raw) = event.get("members") {
            let raw = RawMembers::deserialize(raw).map_err(bad)?;
            let members = raw.endpoints.into_iter().map(member).collect::<Result<_, _>>();
            DiscoveryEvent::Endpoints {
                endpoints: members.map_err(|e| format!("event {n}: {e}"))?,
                is_snapshot: raw.snapshot,
            }
        } else if let Some(raw) = event.get("purge") {
            let raw = RawPurge::deserialize(raw).map_err(bad)?;
            let object = raw.key.map(|k| u64::from_str_radix(&k, 16)).transpose();
            let object = object.map_err(|_| format!("event {n}: key is no object"))?;
            DiscoveryEvent::Purge { object, group: raw.group }
        } else if let Some(raw) = event.get("hierarchy") {
            DiscoveryEvent::Hierarchy(Box::new(
                VersionAnnouncement::from_event(raw).map_err(|e| format!("event {n}: {e}"))?,
            ))
        } else {
            return Err(format!("event {n}: neither members nor a purge"));
        };
        Ok(NumberedEvent { number: n, event: fact })
    }
}

fn member(raw: RawMember) -> Result<Endpoint, String> {
    let state = match raw.status.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        other => return Err(format!("{}: unknown status {other}", raw.name)),
    };
    let (name, address, zone, kind, cell) = (raw.name, raw.address, raw.zone, raw.kind, raw.group);
    Ok(Endpoint {
        name,
        address,
        zone,
        kind,
        cell,
        state,
        started_at: raw.since_ms.saturating_mul(NS_PER_MS),
    })
}
