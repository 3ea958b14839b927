//! Coordination with other directors, for installations in which directors may communicate with each other: the thread
//! that communicates with voters and health-checked nodes, and the dispatcher's handle to it. Decisions are made by
//! `sablecross-coordination`.
//!
//! | module | content |
//! | --- | --- |
//! | `agent` | the thread, which carries out decisions |
//! | `voter_connections`, `checked_nodes`, `outbound_connection` | non-blocking connections |
//! | `health_check` | health checks and fetch requests on the wire |
//! | `endpoint_list` | the known caches, and the objects that each of them owns |
//! | `member_client` | a single call from outside the fleet, for operators |

mod agent;
mod checked_nodes;
mod endpoint_list;
mod health_check;
mod member_client;
mod outbound_connection;
mod voter_connections;

use std::io;
use std::sync::{Arc, Mutex};

use crossbeam_channel::{Sender, bounded};
use mio::Waker;
use sablecross::Settings;
use sablecross_coordination::HotObject;
use sablecross_estimators::SpaceSaving;

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::Endpoint;
use crate::events::{CallId, ClientId};
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;

pub use crate::coordination_settings as settings;
pub use agent::Agent;
pub use health_check::{HealthCheckTag, InvalidTag};
pub use member_client::call_member;

/// The maximum number of objects for which requests are counted.
const MAX_COUNTED_OBJECTS: usize = 64;

/// The number of recent requests of this director's clients, by object. The counts decay with each report of them.
type RequestCounts = Arc<Mutex<SpaceSaving<HotObject>>>;

/// A message from the dispatcher to the agent.
enum AgentEvent {
    /// A call from another director or an operator.
    PeerCall { client: ClientId, call: CallId, body: Vec<u8> },
    /// The endpoint list has changed.
    EndpointsChanged { endpoints: Vec<Endpoint>, is_snapshot: bool },
    /// The dispatcher now applies this version of the hierarchy.
    HierarchyApplied(AppliedVersion),
    /// The settings were reloaded.
    Reconfigure(Box<CoordinationSettings>),
    /// The program is about to end.
    Stop,
}

struct AgentLink {
    inbox: Sender<AgentEvent>,
    waker: Arc<Waker>,
    /// The request counts, if caches are warmed.
    request_counts: Option<RequestCounts>,
}

/// The dispatcher's handle to the agent. Without settings there is no agent, and messages are dropped.
#[derive(Default)]
pub struct CoordinationHandle(Option<AgentLink>);

impl CoordinationHandle {
    /// Creates the handle, and the agent whose [`Agent::serve`] is to run in a thread of its own.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the agent's poll can't be created.
    pub fn start(
        coordination: Option<CoordinationSettings>,
        settings: &Settings,
        shared: &Arc<SharedContext>,
    ) -> io::Result<(CoordinationHandle, Option<Agent>)> {
        let Some(coordination) = coordination else { return Ok((CoordinationHandle::default(), None)) };
        let (inbox, from_dispatcher) = bounded(shared.limits.event_queue_length);
        let is_warming = coordination.warming.is_some();
        let request_counts = is_warming.then(|| Arc::new(Mutex::new(SpaceSaving::new(MAX_COUNTED_OBJECTS))));
        let (agent, waker) =
            Agent::new(coordination, settings, Arc::clone(shared), from_dispatcher, request_counts.clone())?;
        Ok((CoordinationHandle(Some(AgentLink { inbox, waker, request_counts })), Some(agent)))
    }

    /// Sends a message to the agent. Returns false if there is no agent or its queue is full.
    fn send(&self, event: AgentEvent) -> bool {
        let Some(AgentLink { inbox, waker, .. }) = &self.0 else { return false };
        let is_sent = inbox.try_send(event).is_ok();
        // If waking fails, the agent handles the message when it wakes up by itself, a little later.
        let _ = waker.wake();
        is_sent
    }

    /// Counts a client's request.
    pub fn record_request(&self, object: u64, part: u32, class: usize) {
        let counts = self.0.as_ref().and_then(|link| link.request_counts.as_ref());
        // The request is not counted if the agent is reading the counts at this moment.
        if let Some(mut counts) = counts.and_then(|counts| counts.try_lock().ok()) {
            counts.add(HotObject { object, part, class: class as u16 }, 1.0);
        }
    }

    /// Forwards another director's call to the agent, which answers it. Returns false if there is no agent or its queue
    /// is full.
    pub fn forward_call(&self, client: ClientId, call: CallId, body: Vec<u8>) -> bool {
        self.send(AgentEvent::PeerCall { client, call, body })
    }

    /// Reports a change of the endpoint list: all endpoints for a snapshot, otherwise only the changed ones.
    pub fn update_endpoints(&self, endpoints: &[Endpoint], is_snapshot: bool) {
        if self.0.is_some() {
            // If the queue is full, the agent misses this change until a snapshot or a later change lists the same
            // nodes. Meanwhile it checks the health of too many or too few nodes.
            self.send(AgentEvent::EndpointsChanged { endpoints: endpoints.to_vec(), is_snapshot });
        }
    }

    /// Passes reloaded settings to the agent.
    pub fn reconfigure(&self, settings: CoordinationSettings) {
        if !self.send(AgentEvent::Reconfigure(Box::new(settings))) {
            tracing::error!("reload: coordination: the settings take effect after a restart");
        }
    }

    /// Reports that the dispatcher now applies this version of the hierarchy.
    pub fn hierarchy_applied(&self, applied: AppliedVersion) {
        if self.0.is_some() {
            // If the queue is full, the report is lost until this version, or a newer one, is announced again. The
            // holder of the hierarchy role waits meanwhile.
            self.send(AgentEvent::HierarchyApplied(applied));
        }
    }

    /// Tells the agent that the program is about to end, so that its roles are handed over.
    pub fn stop(&self) {
        self.send(AgentEvent::Stop);
    }
}
