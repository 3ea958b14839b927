//! An event of the control feed. It is checked when it is received. Its content is then stored and sent as received,
//! except that line ends become spaces.

use std::net::SocketAddr;

use sablecross_hierarchy::Admission;
use sablecross_hierarchy::spec::HierarchySpec;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// Event numbers are below this limit, because larger JSON numbers are not exact.
pub const MAX_EVENT_NUMBER: u64 = 1 << 53;

/// Why an event is malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// The event is larger than the limit.
    #[error("the event has {bytes} bytes, more than {limit}")]
    TooLarge {
        /// Size of the event in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The event is not the JSON object that the protocol requires.
    #[error("the event is no JSON as the feed has it: {0}")]
    InvalidJson(String),
    /// The event's number is not below [`MAX_EVENT_NUMBER`].
    #[error("the event number {0} is not below {MAX_EVENT_NUMBER}, past which JSON numbers are not exact")]
    NumberTooLarge(u64),
    /// The event has no content.
    #[error("the event has no members, purge or hierarchy")]
    Empty,
    /// The event has more than one kind of content.
    #[error("the event has more than one of members, purge and hierarchy")]
    MultipleKinds,
    /// The list of endpoints is malformed.
    #[error("members: {0}")]
    InvalidMembers(String),
    /// One endpoint of the list is malformed.
    #[error("members: endpoint {index} ({name}): {reason}")]
    InvalidEndpoint {
        /// Index of the endpoint in the list.
        index: usize,
        /// Name of the endpoint; empty if it can't be parsed.
        name: String,
        /// What is wrong.
        reason: String,
    },
    /// The purge is malformed.
    #[error("purge: {0}")]
    InvalidPurge(String),
    /// The hierarchy is malformed.
    #[error("hierarchy: {0}")]
    InvalidHierarchy(String),
}

/// The kind of an event, as far as a relay needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A list of endpoints.
    Members {
        /// Whether the list is complete; otherwise it holds changes.
        is_snapshot: bool,
    },
    /// A purge of objects.
    Purge {
        /// Unix time in milliseconds at which the purge was created.
        created_unix_ms: u64,
    },
    /// A hierarchy of cache nodes.
    Hierarchy,
}

/// A well-formed event. It keeps the received JSON text, on one line and without the event's number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    kind: EventKind,
    body: String,
}

/// A received event with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedEvent {
    /// Number of the event, if the JSON has one.
    pub number: Option<u64>,
    /// The event without its number.
    pub event: Event,
}

/// The endpoints of a list event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// Whether the list is complete; otherwise it holds changes.
    pub is_snapshot: bool,
    /// The endpoints in the order of the event.
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint of a list event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint, which is unique in a list.
    pub name: String,
    /// Whether the status is `gone`, so that the endpoint has to be removed from the list.
    pub is_gone: bool,
    /// The JSON object as received.
    pub json: String,
}

impl Event {
    /// Parses an event of at most `max_bytes` bytes.
    pub fn parse(text: &[u8], max_bytes: usize) -> Result<ParsedEvent, EventError> {
        if text.len() > max_bytes {
            return Err(EventError::TooLarge { bytes: text.len(), limit: max_bytes });
        }
        let text = std::str::from_utf8(text).map_err(|e| EventError::InvalidJson(e.to_string()))?;
        let raw: RawEvent = serde_json::from_str(text).map_err(|e| EventError::InvalidJson(e.to_string()))?;
        if let Some(number) = raw.n.filter(|number| *number >= MAX_EVENT_NUMBER) {
            return Err(EventError::NumberTooLarge(number));
        }
        let (key, value, kind) = match (raw.members, raw.purge, raw.hierarchy) {
            (Some(members), None, None) => {
                let is_snapshot = parse_members(members.get())?.is_snapshot;
                ("members", members, EventKind::Members { is_snapshot })
            }
            (None, Some(purge), None) => ("purge", purge, check_purge(purge.get())?),
            (None, None, Some(hierarchy)) => ("hierarchy", hierarchy, check_hierarchy(hierarchy.get())?),
            (None, None, None) => return Err(EventError::Empty),
            _ => return Err(EventError::MultipleKinds),
        };
        // JSON strings hold no raw line ends, so all line ends stand between tokens and may become spaces.
        let body = format!("{{\"{key}\":{}}}", value.get().replace(['\n', '\r'], " "));
        Ok(ParsedEvent { number: raw.n, event: Event { kind, body } })
    }

    /// Returns a list event that changes nothing. It is the first entry of each leader, and replaces an event that
    /// can't be parsed.
    pub fn empty_update() -> Event {
        let body = r#"{"members":{"index":0,"snapshot":false,"endpoints":[]}}"#.to_owned();
        Event { kind: EventKind::Members { is_snapshot: false }, body }
    }

    /// Returns an event with the complete list of these endpoints, each a JSON object.
    pub fn snapshot<'a>(index: u64, endpoints: impl Iterator<Item = &'a str>) -> Event {
        let list = endpoints.collect::<Vec<_>>().join(",");
        let body = format!(r#"{{"members":{{"index":{index},"snapshot":true,"endpoints":[{list}]}}}}"#);
        Event { kind: EventKind::Members { is_snapshot: true }, body }
    }

    /// Returns the kind of the event.
    pub fn kind(&self) -> EventKind {
        self.kind
    }

    /// Returns the JSON text without the event's number, for example `{"purge":{...}}`.
    pub fn body(&self) -> &str {
        &self.body
    }

    /// Returns the endpoints of a list event, or `None` for other kinds.
    pub fn endpoints(&self) -> Option<EndpointList> {
        let raw: RawEvent = serde_json::from_str(&self.body).ok()?;
        parse_members(raw.members?.get()).ok()
    }

    /// Returns the index that the publisher gave a list event.
    pub fn index(&self) -> Option<u64> {
        #[derive(Deserialize)]
        struct ListIndex {
            index: Option<u64>,
        }
        let raw: RawEvent = serde_json::from_str(&self.body).ok()?;
        serde_json::from_str::<ListIndex>(raw.members?.get()).ok()?.index
    }

    /// Returns the bytes that subscribers are sent for the event under this number.
    pub fn to_frame(&self, number: u64) -> Vec<u8> {
        frame(number, &self.body)
    }
}

/// Returns the bytes that subscribers are sent for an event's body under this number.
pub(crate) fn frame(number: u64, body: &str) -> Vec<u8> {
    format!("id: {number}\ndata: {{\"n\":{number},{}\n\n", &body[1..]).into_bytes()
}

/// Returns the number of bytes in a frame that precede the part of the body after its `{`.
pub(crate) fn frame_head_len(number: u64) -> usize {
    let digits = number.checked_ilog10().map_or(1, |log| log as usize + 1);
    "id: \ndata: {\"n\":,".len() + 2 * digits
}

#[derive(Deserialize)]
struct RawEvent<'a> {
    n: Option<u64>,
    #[serde(borrow)]
    members: Option<&'a RawValue>,
    #[serde(borrow)]
    purge: Option<&'a RawValue>,
    #[serde(borrow)]
    hierarchy: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawMembers<'a> {
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct EndpointName {
    #[serde(default)]
    name: String,
}

/// The fields that directors require of an endpoint. Parsing checks that all of them are present and well-formed.
#[derive(Deserialize)]
#[allow(dead_code)]
struct EndpointFields {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    group: usize,
    status: EndpointStatus,
    since_ms: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum EndpointStatus {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize)]
struct PurgeFields {
    key: Option<String>,
    group: Option<u32>,
    #[serde(rename = "at")]
    created_unix_ms: u64,
}

fn parse_members(members: &str) -> Result<EndpointList, EventError> {
    let raw: RawMembers =
        serde_json::from_str(members).map_err(|e| EventError::InvalidMembers(e.to_string()))?;
    let endpoints = raw.endpoints.into_iter().enumerate();
    let endpoints = endpoints.map(|(index, endpoint)| parse_endpoint(index, endpoint.get()));
    Ok(EndpointList { is_snapshot: raw.snapshot, endpoints: endpoints.collect::<Result<_, _>>()? })
}

fn parse_endpoint(index: usize, json: &str) -> Result<Endpoint, EventError> {
    let fields: EndpointFields = serde_json::from_str(json).map_err(|error| {
        let name = serde_json::from_str::<EndpointName>(json).map(|named| named.name).unwrap_or_default();
        EventError::InvalidEndpoint { index, name, reason: error.to_string() }
    })?;
    let is_gone = fields.status == EndpointStatus::Gone;
    Ok(Endpoint { name: fields.name, is_gone, json: json.to_owned() })
}

fn check_purge(json: &str) -> Result<EventKind, EventError> {
    let purge: PurgeFields =
        serde_json::from_str(json).map_err(|e| EventError::InvalidPurge(e.to_string()))?;
    match (&purge.key, purge.group) {
        (None, None) => Err(EventError::InvalidPurge("it names neither a key nor a group".into())),
        (Some(key), _) if u64::from_str_radix(key, 16).is_err() => {
            Err(EventError::InvalidPurge(format!("key {key:?} is not a hexadecimal object id")))
        }
        _ => Ok(EventKind::Purge { created_unix_ms: purge.created_unix_ms }),
    }
}

/// Checks a hierarchy as directors do, so that no relay sends one that directors would reject.
fn check_hierarchy(json: &str) -> Result<EventKind, EventError> {
    let spec: HierarchySpec =
        serde_json::from_str(json).map_err(|e| EventError::InvalidHierarchy(e.to_string()))?;
    let (_, version) = spec.to_hierarchy(None).map_err(|e| EventError::InvalidHierarchy(e.to_string()))?;
    Admission::check_structure(&version).map_err(|e| EventError::InvalidHierarchy(e.to_string()))?;
    Ok(EventKind::Hierarchy)
}
