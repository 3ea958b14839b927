//! What all events up to a number come to: where a log begins, and what subscribers are sent that are behind that.

use std::collections::BTreeMap;

use sablecross_coordination::FencingToken;
use serde::{Deserialize, Serialize};

use crate::event::{Event, EventKind, frame};

/// A hierarchy and the number of the event that brought it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HierarchyEvent {
    /// Number of the event.
    pub number: u64,
    /// The event's JSON without its number.
    pub body: String,
}

/// What all events up to a number come to, but for purges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last number that it includes.
    pub number: u64,
    /// The number that its epoch began with: nothing of that is sent to subscribers before a majority stores
    /// what follows.
    #[serde(rename = "began")]
    pub epoch_start: u64,
    /// Token of the entry with the snapshot's number.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// A complete list is known. Until then nothing can be sent to subscribers that are behind.
    #[serde(rename = "listed")]
    pub has_list: bool,
    /// The latest index of the list, as its publisher counts.
    #[serde(rename = "index")]
    pub list_index: u64,
    /// The endpoints' JSON by their names.
    pub members: BTreeMap<String, String>,
    /// The latest hierarchy.
    pub hierarchy: Option<HierarchyEvent>,
}

impl Snapshot {
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

    pub(crate) fn size_bytes(&self) -> usize {
        let members: usize = self.members.iter().map(|(name, json)| name.len() + json.len()).sum();
        members + self.hierarchy.as_ref().map_or(0, |hierarchy| hierarchy.body.len())
    }

    fn to_list_event(&self) -> Event {
        Event::snapshot(self.list_index, self.members.values().map(String::as_str))
    }

    /// What a subscriber is sent whose number is lower. Its stream may break after each event, and it may go on at
    /// another relay, whose snapshot is lower: so it must miss nothing there, whichever of these it got. The
    /// complete list goes under the snapshot's number. A hierarchy that the subscriber doesn't have goes under
    /// its own number before that, and before it the list once more, as it stands now: who has got that is sent
    /// the changes since then again, which changes nothing in the end.
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
