//! Coordination with other directors, where they may talk to one another: the thread that speaks with voters and checked
//! nodes, and the dispatcher's handle of it. Decisions are made by `sablecross-coordination`.
//!
//! | module | content |
//! | --- | --- |
//! | `agent` | the thread: carries out decisions |
//! | `voter_connections`, `checked_nodes`, `outbound_connection` | connections, without blocking |
//! | `health_check` | health checks and fetches on the wire |
//! | `endpoint_list` | which caches there are and what belongs to them |
//! | `member_client` | one call from outside the fleet, for operators |

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

/// Counts of requests are kept for so many objects.
const COUNTED_OBJECTS: usize = 64;

/// How often this director's clients request which object.
type RequestCounts = Arc<Mutex<SpaceSaving<HotObject>>>;

/// What the dispatcher hands on to the agent.
enum AgentEvent {
    /// Another director, or an operator, has called.
    PeerCall { client: ClientId, call: CallId, body: Vec<u8> },
    /// The list of endpoints has changed.
    EndpointsChanged { endpoints: Vec<Endpoint>, is_snapshot: bool },
    /// The dispatcher applies this version of the hierarchy now.
    HierarchyApplied(AppliedVersion),
    /// The settings were read again.
    Reconfigure(Box<CoordinationSettings>),
    /// The program is about to end.
    Stop,
}

struct AgentLink {
    inbox: Sender<AgentEvent>,
    waker: Arc<Waker>,
    /// Counted where caches are warmed.
    request_counts: Option<RequestCounts>,
}

/// The dispatcher's handle of the agent. Without settings there is no agent, and nothing happens.
#[derive(Default)]
pub struct CoordinationHandle(Option<AgentLink>);

impl CoordinationHandle {
    /// The handle, and the agent whose [`Agent::serve`] is to run in a thread of its own.
    ///
    /// # Errors
    ///
    /// The operating system's, if it has no poll for the agent.
    pub fn start(
        coordination: Option<CoordinationSettings>,
        settings: &Settings,
        shared: &Arc<SharedContext>,
    ) -> io::Result<(CoordinationHandle, Option<Agent>)> {
        let Some(coordination) = coordination else { return Ok((CoordinationHandle::default(), None)) };
        let (inbox, from_dispatcher) = bounded(shared.limits.event_queue_length);
        let is_warming = coordination.warming.is_some();
        let request_counts = is_warming.then(|| Arc::new(Mutex::new(SpaceSaving::new(COUNTED_OBJECTS))));
        let (agent, waker) =
            Agent::new(coordination, settings, Arc::clone(shared), from_dispatcher, request_counts.clone())?;
        Ok((CoordinationHandle(Some(AgentLink { inbox, waker, request_counts })), Some(agent)))
    }

    /// Hands an event on; false if there is no agent or no room.
    fn send(&self, event: AgentEvent) -> bool {
        let Some(AgentLink { inbox, waker, .. }) = &self.0 else { return false };
        let is_sent = inbox.try_send(event).is_ok();
        // Without it the agent wakes up a little later.
        let _ = waker.wake();
        is_sent
    }

    /// Counts a request of a client.
    pub fn record_request(&self, object: u64, part: u32, class: usize) {
        let counts = self.0.as_ref().and_then(|link| link.request_counts.as_ref());
        // A request is not counted while the agent reads the counts.
        if let Some(mut counts) = counts.and_then(|counts| counts.try_lock().ok()) {
            counts.add(HotObject { object, part, class: class as u16 }, 1.0);
        }
    }

    /// Hands a peer's call to the agent, which answers it; false if there is no agent or no room.
    pub fn forward_call(&self, client: ClientId, call: CallId, body: Vec<u8>) -> bool {
        self.send(AgentEvent::PeerCall { client, call, body })
    }

    /// The list of endpoints has changed: all of them in a snapshot, else the changed ones.
    pub fn update_endpoints(&self, endpoints: &[Endpoint], is_snapshot: bool) {
        if self.0.is_some() {
            // Without room the agent lacks the change until the next one: a node too many or too few is checked.
            self.send(AgentEvent::EndpointsChanged { endpoints: endpoints.to_vec(), is_snapshot });
        }
    }

    /// Takes over settings that were read again.
    pub fn reconfigure(&self, settings: CoordinationSettings) {
        if !self.send(AgentEvent::Reconfigure(Box::new(settings))) {
            tracing::error!("reload: coordination: it takes a restart");
        }
    }

    /// The dispatcher applies this version of the hierarchy now.
    pub fn hierarchy_applied(&self, applied: AppliedVersion) {
        if self.0.is_some() {
            // Without room it is reported with the next version; the holder of the hierarchy role waits meanwhile.
            self.send(AgentEvent::HierarchyApplied(applied));
        }
    }

    /// The program is about to end: roles are handed over.
    pub fn stop(&self) {
        self.send(AgentEvent::Stop);
    }
}
