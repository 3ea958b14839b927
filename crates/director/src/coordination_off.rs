//! The interface of the module `coordination` for builds without the feature of that name. There is no agent, and the
//! handle does nothing.

use std::io;
use std::sync::Arc;

use sablecross::Settings;

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::Endpoint;
use crate::events::{CallId, ClientId};
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

/// The coordination agent, of which this build has none.
pub enum Agent {}

impl Agent {
    /// Never called, as there is no agent.
    pub fn serve(self) {
        match self {}
    }
}

/// A handle without an agent, which does nothing.
#[derive(Default)]
pub struct CoordinationHandle;

impl CoordinationHandle {
    /// Creates a handle without an agent.
    pub fn start(
        _: Option<CoordinationSettings>,
        _: &Settings,
        _: &Arc<SharedContext>,
    ) -> io::Result<(CoordinationHandle, Option<Agent>)> {
        Ok((CoordinationHandle, None))
    }

    /// Does nothing.
    pub fn record_request(&self, _object: u64, _part: u32, _class: usize) {}

    /// Returns false, as there is no agent to answer the call.
    pub fn forward_call(&self, _client: ClientId, _call: CallId, _body: Vec<u8>) -> bool {
        false
    }

    /// Does nothing.
    pub fn update_endpoints(&self, _endpoints: &[Endpoint], _is_snapshot: bool) {}

    /// Never called, as there are no settings.
    pub fn reconfigure(&self, settings: CoordinationSettings) {
        match settings {}
    }

    /// Does nothing.
    pub fn hierarchy_applied(&self, _applied: AppliedVersion) {}

    /// Does nothing.
    pub fn stop(&self) {}
}
