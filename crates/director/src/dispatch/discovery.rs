//! How the dispatcher applies discovery events: endpoint lists, purges and versions of the parent hierarchy.

use sablecross::Ns;

use super::action_executor::ActionExecutor;
use super::dispatcher::Dispatcher;
use crate::discovery_event::{DiscoveryEvent, Endpoint, NumberedEvent};
use crate::parent_hierarchy::VersionAnnouncement;

impl Dispatcher {
    /// Applies the events that are known at startup.
    pub(crate) fn apply_known_events(&mut self, events: Vec<NumberedEvent>) {
        // The start times of all nodes are observed first: the latest of them bounds the ages of the other nodes.
        for event in &events {
            if let DiscoveryEvent::Endpoints { endpoints, .. } = &event.event {
                self.executor.nodes.observe_starts(endpoints);
            }
        }
        events.into_iter().for_each(|event| self.on_discovery_event(event.event));
    }

    /// Applies one event.
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
        // An attempt that still waits for its connection would accept a copy from before the purge, so it is withdrawn.
        let ActionExecutor { nodes, requests, .. } = &mut self.executor;
        nodes.withdraw(|candidate| {
            requests.get(candidate.key).is_some_and(|request| match object {
                Some(object) => request.incoming.object == object,
                None => request.incoming.group == group,
            })
        });
        // A purge was made no later than now, so its age is at least 0. Its timestamp comes from another machine's wall
        // clock. Either clock may be wrong, and an age computed from both could be too large.
        const AGE: Ns = 0;
        self.table.router.record_purge(self.executor.now, object, group, AGE);
    }

    fn on_hierarchy_version(&mut self, version: &VersionAnnouncement) {
        if let Some((updates, applied)) = self.hierarchy.adopt(version) {
            self.table.router.update_endpoints(self.executor.now, &updates, false);
            self.coordination.hierarchy_applied(applied);
            // If the queue is full, this version is not reported until it, or a newer one, is announced again.
            let _ = self.applied_versions.try_send(applied);
        }
    }
}
