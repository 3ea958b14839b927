//! Without the feature `duty` a director does nothing on behalf of others: there is nobody to tell.

use std::io;
use std::sync::Arc;

use sablecross::Settings;

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::Endpoint;
use crate::events::{CallId, ClientId};
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

pub enum Agent {}

impl Agent {
    pub fn serve(self) {
        match self {}
    }
}

#[derive(Default)]
pub struct CoordinationHandle;

impl CoordinationHandle {
    pub fn start(
        _: Option<CoordinationSettings>,
        _: &Settings,
        _: &Arc<SharedContext>,
    ) -> io::Result<(CoordinationHandle, Option<Agent>)> {
        Ok((CoordinationHandle, None))
    }

    pub fn record_request(&self, _object: u64, _part: u32, _kind: usize) {}

    pub fn forward_call(&self, _client: ClientId, _call: CallId, _body: Vec<u8>) -> bool {
        false
    }

    pub fn update_endpoints(&self, _members: &[Endpoint], _whole: bool) {}

    pub fn reconfigure(&self, setting: CoordinationSettings) {
        match setting {}
    }

    pub fn hierarchy_applied(&self, _in_force: AppliedVersion) {}

    pub fn stop(&self) {}
}
