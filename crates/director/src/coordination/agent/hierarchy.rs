//! The hierarchy role: carries out changes of the hierarchy, and announces published versions to the dispatcher.

use sablecross::Ns;
use sablecross_coordination::FencingToken;
use sablecross_coordination::messages::RegisterValue;
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController};

use super::Agent;
use crate::coordination_settings::HIERARCHY_ROLE;
use crate::discovery_event::DiscoveryEvent;
use crate::events::Event;
use crate::parent_hierarchy::VersionAnnouncement;

/// The state of the hierarchy role: the hierarchy controller, while this director holds the role.
pub(super) struct HierarchyRole {
    member_gone_after: Ns,
    controller: Option<HierarchyController>,
}

impl HierarchyRole {
    /// Creates the state of a director that does not hold the role. A change of the hierarchy stops waiting for a
    /// member that has been missing for `member_gone_after`.
    pub(super) fn new(member_gone_after: Ns) -> HierarchyRole {
        HierarchyRole { member_gone_after, controller: None }
    }

    /// Creates the controller when the role is acquired.
    pub(super) fn begin(&mut self, token: FencingToken) {
        self.controller = Some(HierarchyController::new(token, self.member_gone_after));
    }

    /// Drops the controller when the role is lost.
    pub(super) fn end(&mut self) {
        self.controller = None;
    }

    /// Returns when the controller's next action is due.
    pub(super) fn next_wakeup(&self) -> Ns {
        self.controller.as_ref().map_or(Ns::MAX, HierarchyController::next_wakeup)
    }

    /// Tells the controller that the register stores this value, if the value was written under the controller's token.
    pub(super) fn on_register_stored(&mut self, now: Ns, value: &RegisterValue) {
        if let Some(controller) =
            self.controller.as_mut().filter(|controller| controller.token() == value.token)
        {
            controller.on_persisted(now, value);
        }
    }

    /// Passes a version that an operator proposes to the controller.
    pub(super) fn propose(&mut self, now: Ns, version: &[u8]) {
        if let Some(controller) = self.controller.as_mut() {
            // The controller reports why it rejects a proposal in the log and in the status for operators.
            let _ = controller.propose(now, version);
        }
    }
}

impl Agent {
    /// Advances a change of the hierarchy while this director holds the role.
    pub(super) fn step_hierarchy(&mut self, now: Ns) {
        let Some(controller) = self.hierarchy.controller.as_mut() else { return };
        let coordinator = &mut self.coordinator;
        controller.update_members(now, &coordinator.assignment().members);
        for version in coordinator.applied_versions(HIERARCHY_ROLE) {
            let applied = version.applied;
            controller.on_version_applied(now, version.member, applied.number, applied.digest);
        }
        controller.tick(now);
        let token = controller.token();
        for action in controller.take_actions() {
            // The lease is checked before each action, and the remaining actions are dropped once it has expired: the
            // voters reject them only after they have admitted the fencing token of another holder.
            if coordinator.token(now, HIERARCHY_ROLE) != Some(token) {
                break;
            }
            match action {
                ControllerAction::Persist(bytes) => coordinator.write_register(now, HIERARCHY_ROLE, bytes),
                ControllerAction::Publish { number, bytes } => {
                    coordinator.publish(now, HIERARCHY_ROLE, number, bytes);
                }
                ControllerAction::Log(line) => tracing::info!("{line}"),
            }
        }
        coordinator.set_role_report(HIERARCHY_ROLE, controller.status());
        self.execute_actions(now);
    }

    /// Announces a published version to the dispatcher.
    pub(super) fn announce_hierarchy(&self, bytes: &[u8]) {
        match VersionAnnouncement::from_controller(bytes) {
            Ok(announcement) => {
                let event = DiscoveryEvent::Hierarchy(Box::new(announcement));
                // The dispatcher outlives this thread, except at the end of the program, when the version is no longer
                // needed.
                let _ = self.shared.events.send(Event::Discovery(event));
            }
            Err(e) => tracing::warn!("published hierarchy can't be used: {e}"),
        }
    }
}
