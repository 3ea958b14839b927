//! What the dispatcher does with the events of discovery: endpoints, purges, versions of the parent hierarchy.

use sablecross::Ns;

use super::action_executor::ActionExecutor;
use super::dispatcher::Dispatcher;
use crate::discovery_event::{DiscoveryEvent, Endpoint, NumberedEvent};
use crate::parent_hierarchy::VersionAnnouncement;

impl Dispatcher {
    /// Takes in the events that are known at the start.
    pub(crate) fn apply_known_events(&mut self, events: Vec<NumberedEvent>) {
        // The starts of all nodes first: of several that are known at once the latest bounds the ages of the others.
        for event in &events {
            if let DiscoveryEvent::Endpoints { endpoints, .. } = &event.event {
                self.executor.nodes.observe_starts(endpoints);
            }
        }
        events.into_iter().for_each(|event| self.on_discovery_event(event.event));
    }

    /// Takes in one event.
    pub(crate) fn on_discovery_event(&mut self, event: DiscoveryEvent) {
        self.executor.counters.discovery_events += 1;
        match event {
            DiscoveryEvent::Endpoints { endpoints, is_snapshot } => {
                self.on_endpoints(&endpoints, is_snapshot);
            }
            DiscoveryEvent::Purge { object, group } => self.on_purge(object, group),
            DiscoveryEvent::Hierarchy(version) => self.on_hierarchy_version(&version),
        }
    }

    fn on_endpoints(&mut self, endpoints: &[Endpoint], is_snapshot: bool) {
        let ActionExecutor { nodes, requests, .. } = &mut self.executor;
        let mut updates =
            nodes.update_endpoints(endpoints, is_snapshot, requests.oldest_key(), requests.next_key());
        self.coordination.update_endpoints(endpoints, is_snapshot);
        self.hierarchy.update_parents(&mut updates, is_snapshot, |node| nodes.name(node).to_owned());
        self.has_endpoints |= !updates.is_empty();
        self.table.router.update_endpoints(self.executor.now, &updates, is_snapshot);
    }

    fn on_purge(&mut self, object: Option<u64>, group: u32) {
        // An attempt that waits for its connection asks for a copy from before the purge.
        let ActionExecutor { nodes, requests, .. } = &mut self.executor;
        nodes.withdraw(|candidate| {
            requests.get(candidate.key).is_some_and(|request| match object {
                Some(object) => request.incoming.object == object,
                None => request.incoming.group == group,
            })
        });
        // It was made no later than now. The time that its maker wrote on it is of another wall clock than this
        // machine's, either of which may be off: an age measured between the two can be too long.
        const AGE: Ns = 0;
        self.table.router.record_purge(self.executor.now, object, group, AGE);
    }

    fn on_hierarchy_version(&mut self, version: &VersionAnnouncement) {
        if let Some((updates, applied)) = self.hierarchy.adopt(version) {
            self.table.router.update_endpoints(self.executor.now, &updates, false);
            self.coordination.hierarchy_applied(applied);
            // One that finds no room is reported with the next event, or when discovery is called again.
            let _ = self.applied_versions.try_send(applied);
        }
    }
}
