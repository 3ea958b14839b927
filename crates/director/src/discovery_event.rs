//! Discovery events, decoded from JSON.

use std::net::SocketAddr;

use sablecross::{EndpointState, Ns};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::clock::NS_PER_MS;
use crate::parent_hierarchy::VersionAnnouncement;

/// The content of an event.
#[derive(Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The list of endpoints, or changes to it.
    Endpoints {
        /// The listed endpoints.
        endpoints: Vec<Endpoint>,
        /// Whether the list is complete, so that all other endpoints are gone.
        is_snapshot: bool,
    },
    /// A purge: copies from before it must no longer be served. The time at which it was made is not read, because it
    /// was measured by another clock.
    Purge {
        /// The purged object, or `None` if all objects of the group are purged.
        object: Option<u64>,
        /// The group of objects.
        group: u32,
    },
    /// A version of the parent hierarchy, for programs that are built with the feature `hierarchy`.
    Hierarchy(Box<VersionAnnouncement>),
}

/// A node, as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its unique name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Its cell within the zone.
    pub cell: usize,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// The Unix time of its start in nanoseconds, by the clock of the source that lists it; 0 if it started long ago.
    pub started_at: Ns,
}

/// An event with its number. Numbers increase by one from event to event.
#[derive(Debug)]
pub struct NumberedEvent {
    /// The number.
    pub number: u64,
    /// Its content.
    pub event: DiscoveryEvent,
}

/// The events that a configuration holds.
#[derive(Debug)]
pub struct KnownEvents {
    /// The number of the last known event.
    pub last: u64,
    /// The events.
    pub events: Vec<NumberedEvent>,
}

/// Why an event can't be used.
#[derive(Debug, Error)]
pub enum DiscoveryEventError {
    /// The event has no number.
    #[error("an event has no number")]
    NoNumber,
    /// The event with this number can't be used.
    #[error("event {number}: {cause}")]
    Unusable {
        /// The number of the event.
        number: u64,
        /// Why the event can't be used.
        cause: EventCause,
    },
}

/// Why an event with a number can't be used.
#[derive(Debug, Error)]
pub enum EventCause {
    /// The event is not of a known kind.
    #[error("neither members, a purge nor a hierarchy")]
    UnknownKind,
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Fields(#[from] serde_json::Error),
    /// The key of a purge is not a hexadecimal number.
    #[error("key is not a 64-bit hexadecimal number")]
    NoObject,
    /// An endpoint has an unknown status.
    #[error("{endpoint}: unknown status {status}")]
    UnknownStatus {
        /// The name of the endpoint.
        endpoint: String,
        /// The status.
        status: String,
    },
    /// The version of the hierarchy can't be used.
    #[error("{0}")]
    Hierarchy(String),
}

#[derive(Deserialize)]
#[serde(expecting = "a list of endpoints")]
struct RawEndpoints {
    snapshot: bool,
    endpoints: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
#[serde(expecting = "an endpoint")]
struct RawEndpoint {
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
#[serde(expecting = "a purge")]
struct RawPurge {
    key: Option<String>,
    #[serde(default)]
    group: u32,
}

impl NumberedEvent {
    /// Decodes an event.
    ///
    /// # Errors
    /// Names the number of the event, if it has one, and the cause.
    pub fn from_json(event: &Value) -> Result<NumberedEvent, DiscoveryEventError> {
        let number = event.get("n").and_then(Value::as_u64).ok_or(DiscoveryEventError::NoNumber)?;
        let event = DiscoveryEvent::from_json(event)
            .map_err(|cause| DiscoveryEventError::Unusable { number, cause })?;
        Ok(NumberedEvent { number, event })
    }
}

impl DiscoveryEvent {
    fn from_json(event: &Value) -> Result<DiscoveryEvent, EventCause> {
        if let Some(members) = event.get("members") {
            let listed = RawEndpoints::deserialize(members)?;
            let endpoints = listed.endpoints.into_iter().map(decode_endpoint).collect::<Result<_, _>>()?;
            Ok(DiscoveryEvent::Endpoints { endpoints, is_snapshot: listed.snapshot })
        } else if let Some(purge) = event.get("purge") {
            let purge = RawPurge::deserialize(purge)?;
            let object = purge.key.map(|key| u64::from_str_radix(&key, 16)).transpose();
            let object = object.map_err(|_| EventCause::NoObject)?;
            Ok(DiscoveryEvent::Purge { object, group: purge.group })
        } else if let Some(hierarchy) = event.get("hierarchy") {
            let version = VersionAnnouncement::from_event(hierarchy)
                .map_err(|error| EventCause::Hierarchy(error.to_string()))?;
            Ok(DiscoveryEvent::Hierarchy(Box::new(version)))
        } else {
            Err(EventCause::UnknownKind)
        }
    }
}

fn decode_endpoint(raw: RawEndpoint) -> Result<Endpoint, EventCause> {
    let state = match raw.status.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        _ => return Err(EventCause::UnknownStatus { endpoint: raw.name, status: raw.status }),
    };
    Ok(Endpoint {
        name: raw.name,
        address: raw.address,
        zone: raw.zone,
        kind: raw.kind,
        cell: raw.group,
        state,
        started_at: raw.since_ms.saturating_mul(NS_PER_MS),
    })
}
