//! Work on behalf of the fleet, where directors may talk: settings, the thread that speaks with voters and boxes, and the
//! desk's way to it. What is decided stands in `sablecross-coordination`; here is what carries it.

mod agent;
mod connections;
mod health_check;

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, TrySendError, bounded};
use mio::Waker;
use sablecross::Settings;
use sablecross_coordination::HotObject;
use sablecross_coordination::messages::{Reply, Request};
use sablecross_estimators::SpaceSaving;

use crate::discovery_event::Endpoint;
use crate::events::{CallId, ClientId};
use crate::limits::Limits;
use crate::name_table::PEER_CALL_METHOD;
use crate::parent_hierarchy::AppliedVersion;
use crate::shared::SharedContext;
use crate::wire::rpc::{self, DecodeError};

pub use crate::coordination_settings as settings;
use crate::coordination_settings::CoordinationSettings;
pub use agent::Agent;
pub use health_check::HealthCheckTag;

/// What the desk hands on.
pub enum AgentEvent {
    PeerCall {
        client: ClientId,
        call: CallId,
        body: Vec<u8>,
    },
    /// The list as it was told.
    EndpointsChanged {
        endpoints: Vec<Endpoint>,
        is_snapshot: bool,
    },
    /// The hierarchy that the desk has in force now.
    HierarchyApplied(AppliedVersion),
    /// The settings were read again.
    Reconfigure(Box<CoordinationSettings>),
    Stop,
}

/// What this director is asked for most.
type Hot = Arc<Mutex<SpaceSaving<HotObject>>>;

/// Of so many objects it is known how often they were asked for.
const MOST_HOT: usize = 64;

struct Way {
    to_agent: Sender<AgentEvent>,
    waker: Arc<Waker>,
    hot: Option<Hot>,
}

/// The desk's way to the duties; without settings there is none.
#[derive(Default)]
pub struct CoordinationHandle(Option<Way>);

impl CoordinationHandle {
    /// With the other end, which `Agent::serve` runs in a thread of its own.
    pub fn start(
        setting: Option<CoordinationSettings>,
        settings: &Settings,
        common: &Arc<SharedContext>,
    ) -> io::Result<(CoordinationHandle, Option<Agent>)> {
        let Some(setting) = setting else { return Ok((CoordinationHandle::default(), None)) };
        let (to_agent, from_desk) = bounded(common.limits.event_queue_length);
        let hot = setting.warming.is_some().then(|| Arc::new(Mutex::new(SpaceSaving::new(MOST_HOT))));
        let (agent, waker) = Agent::new(setting, settings, Arc::clone(common), from_desk, hot.clone())?;
        Ok((CoordinationHandle(Some(Way { to_agent, waker, hot })), Some(agent)))
    }

    fn tell(&self, what: AgentEvent) -> bool {
        let Some(Way { to_agent, waker, .. }) = &self.0 else { return false };
        let told =
            !matches!(to_agent.try_send(what), Err(TrySendError::Full(_) | TrySendError::Disconnected(_)));
        // It wakes by itself before long.
        let _ = waker.wake();
        told
    }

    /// A lookup was taken in.
    pub fn record_request(&self, object: u64, part: u32, kind: usize) {
        let hot = self.0.as_ref().and_then(|way| way.hot.as_ref());
        // While the other thread reads it, one is not counted.
        if let Some(mut hot) = hot.and_then(|hot| hot.try_lock().ok()) {
            hot.add(HotObject { object, part, class: kind as u16 }, 1.0);
        }
    }

    /// Hands a call over; false if there are more than can be kept, or nobody to take it.
    pub fn forward_call(&self, client: ClientId, call: CallId, body: Vec<u8>) -> bool {
        self.tell(AgentEvent::PeerCall { client, call, body })
    }

    pub fn update_endpoints(&self, members: &[Endpoint], whole: bool) {
        if self.0.is_some() {
            // With no room it lacks a change of the list until the next one: a box too many or too few is probed.
            self.tell(AgentEvent::EndpointsChanged { endpoints: members.to_vec(), is_snapshot: whole });
        }
    }

    pub fn reconfigure(&self, setting: CoordinationSettings) {
        if !self.tell(AgentEvent::Reconfigure(Box::new(setting))) {
            tracing::error!("reload: duties: they take a restart");
        }
    }

    pub fn hierarchy_applied(&self, in_force: AppliedVersion) {
        if self.0.is_some() {
            // With no room it is said with the next version; the owner waits for it meanwhile.
            self.tell(AgentEvent::HierarchyApplied(in_force));
        }
    }

    pub fn stop(&self) {
        self.tell(AgentEvent::Stop);
    }
}

/// One call by whoever looks from outside: what is answered in time.
pub fn call_member(at: SocketAddr, request: &Request, time: Duration) -> io::Result<Vec<Reply>> {
    let bad = |e: String| io::Error::new(ErrorKind::InvalidData, e);
    let until = Instant::now() + time;
    let mut stream = TcpStream::connect_timeout(&at, time)?;
    stream.set_read_timeout(Some(time))?;
    let body = rmp_serde::to_vec(request).map_err(|e| bad(e.to_string()))?;
    stream.write_all(&rpc::encode_call(1, PEER_CALL_METHOD, &body))?;
    let limits = Limits::new(64, 64, 0, 0);
    let mut bytes = Vec::new();
    loop {
        match rpc::decode_response(&bytes, &limits) {
            Ok((_, Some(body), _)) => return rmp_serde::from_slice(body).map_err(|e| bad(e.to_string())),
            Ok((_, None, _)) => {
                return Err(bad("it answers no calls of duties (is SABLECROSS_DUTY set there?)".into()));
            }
            Err(DecodeError::Invalid(error)) => return Err(bad(error.to_string())),
            Err(DecodeError::Incomplete) if Instant::now() >= until => return Err(ErrorKind::TimedOut.into()),
            Err(DecodeError::Incomplete) => {}
        }
        let mut more = [0; 4_096];
        match stream.read(&mut more)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => bytes.extend_from_slice(&more[..n]),
        }
    }
}
