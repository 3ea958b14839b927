//! The state after all events up to a number: a log begins with it, and subscribers that are behind it are sent it.

use std::collections::BTreeMap;

use sablecross_coordination::FencingToken;
use serde::{Deserialize, Serialize};

use crate::event::{Event, EventKind, frame};

/// A hierarchy and the number of its event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HierarchyEvent {
    /// Number of the event.
    pub number: u64,
    /// The event's JSON without its number.
    pub body: String,
}

/// The state after all events up to a number, without purges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last number that the snapshot includes.
    pub number: u64,
    /// The number with which the snapshot's epoch began. Nothing of that epoch is sent to subscribers before a
    /// majority stores an entry with a higher number.
    #[serde(rename = "began")]
    pub epoch_start: u64,
    /// Token of the entry with the snapshot's number.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// Whether the snapshot has a complete list. Without one, subscribers that are behind the snapshot are sent nothing
    /// until the first event after the snapshot is a complete list.
    #[serde(rename = "listed")]
    pub has_list: bool,
    /// The highest index that the publisher gave the list.
    #[serde(rename = "index")]
    pub list_index: u64,
    /// The JSON of each endpoint, by name.
    pub members: BTreeMap<String, String>,
    /// The latest hierarchy.
    pub hierarchy: Option<HierarchyEvent>,
}

impl Snapshot {
    /// Applies the event with this number to the state.
    pub(crate) fn apply(&mut self, number: u64, token: FencingToken, event: &Event) {
        self.number = number;
        self.token = token;
        match event.kind() {
            EventKind::Purge { .. } => {}
            EventKind::Hierarchy => {
                self.hierarchy = Some(HierarchyEvent { number, body: event.body().to_owned() });
            }
            EventKind::Members { .. } => self.apply_members(event),
        }
    }

    fn apply_members(&mut self, event: &Event) {
        let Some(list) = event.endpoints() else { return };
        if list.is_snapshot {
            self.members.clear();
            self.has_list = true;
        }
        self.list_index = self.list_index.max(event.index().unwrap_or(0));
        for endpoint in list.endpoints {
            if endpoint.is_gone {
                self.members.remove(&endpoint.name);
            } else {
                self.members.insert(endpoint.name, endpoint.json);
            }
        }
    }

    /// Returns the bytes of the endpoints' names and JSON and of the hierarchy.
    pub(crate) fn size_bytes(&self) -> usize {
        let members: usize = self.members.iter().map(|(name, json)| name.len() + json.len()).sum();
        members + self.hierarchy.as_ref().map_or(0, |hierarchy| hierarchy.body.len())
    }

    fn to_list_event(&self) -> Event {
        Event::snapshot(self.list_index, self.members.values().map(String::as_str))
    }

    /// Returns the frames for a subscriber whose cursor is below the snapshot's number.
    ///
    /// The subscriber's stream may break after any frame, and it may continue at another relay whose snapshot is
    /// lower. It must not miss anything there, whichever frames it received:
    ///
    /// - The complete list is sent under the snapshot's number, unless the hierarchy below is sent under that number.
    /// - A hierarchy that the subscriber doesn't have is sent before that, under the hierarchy's own number.
    /// - Before that hierarchy, the current complete list is sent as well, under the number before the hierarchy's,
    ///   unless the hierarchy is the next event after the cursor. A subscriber that received the list and continues
    ///   elsewhere is sent the later changes to it again, which leads to the same list.
    pub(crate) fn to_frames(&self, cursor: u64) -> Vec<u8> {
        let list = self.to_list_event();
        let mut out = Vec::new();
        let mut cursor = cursor;
        if let Some(hierarchy) = self.hierarchy.as_ref().filter(|hierarchy| hierarchy.number > cursor) {
            if cursor + 1 < hierarchy.number {
                out.extend_from_slice(&list.to_frame(hierarchy.number - 1));
            }
            out.extend_from_slice(&frame(hierarchy.number, &hierarchy.body));
            cursor = hierarchy.number;
        }
        if cursor < self.number {
            out.extend_from_slice(&list.to_frame(self.number));
        }
        out
    }
}
