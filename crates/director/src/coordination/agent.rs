//! The thread that carries out the decisions of the [`Coordinator`].
//!
//! It owns the connections to voters and health-checked nodes, waits for all of them and for messages from the
//! dispatcher at the same time, and never blocks on a single one. The roles that this director may hold are in the
//! submodules `hierarchy` and `warming`.

mod hierarchy;
mod warming;

use std::io;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, TryRecvError};
use mio::event::Event as Readiness;
use mio::{Events, Poll, Token, Waker};
use sablecross::{LoadReport, Ns, Settings, split_mix64};
use sablecross_coordination::messages::{AppliedVersion, HealthObservation, HealthState, Request, RoleId};
use sablecross_coordination::{Action, Coordinator, FencingToken, LeaseEnd, Member};

use self::hierarchy::HierarchyRole;
use self::warming::WarmingRole;
use super::checked_nodes::CheckedNodes;
use super::endpoint_list::EndpointList;
use super::voter_connections::VoterConnections;
use super::{AgentEvent, RequestCounts};
use crate::clock::NS_PER_MS;
use crate::coordination_settings::{CoordinationSettings, HIERARCHY_ROLE, WARMING_ROLE, role_name};
use crate::discovery_event::Endpoint;
use crate::events::{CallId, ClientId, Event};
use crate::os_error::is_retryable;
use crate::shared::SharedContext;

const WAKER_TOKEN: Token = Token(usize::MAX);
const POLL_EVENT_CAPACITY: usize = 256;
/// The longest time between two wakeups of the thread.
const MAX_POLL_WAIT: Ns = 250 * NS_PER_MS;
/// Health observations of this age or older are not passed to the router as load reports.
const MAX_LOAD_REPORT_AGE: Ns = 1_000 * NS_PER_MS;
/// How long the thread keeps running after the request to stop, so that its roles are handed over.
const HANDOVER_PERIOD: Ns = 300 * NS_PER_MS;

/// The coordination agent: the state and the connections of its thread.
pub struct Agent {
    coordinator: Coordinator,
    shared: Arc<SharedContext>,
    inbox: Receiver<AgentEvent>,
    poll: Poll,
    voters: VoterConnections,
    /// Whether this director checks the health of nodes.
    checks_health: bool,
    nodes: CheckedNodes,
    endpoints: EndpointList,
    hierarchy: HierarchyRole,
    warming: WarmingRole,
    stop_requested_at: Option<Ns>,
}

impl Agent {
    /// Creates the agent, and the waker that wakes it up when a message is put into its inbox.
    pub(super) fn new(
        settings: CoordinationSettings,
        router_settings: &Settings,
        shared: Arc<SharedContext>,
        inbox: Receiver<AgentEvent>,
        request_counts: Option<RequestCounts>,
    ) -> io::Result<(Agent, Arc<Waker>)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since_epoch.map_or(1, |elapsed| elapsed.as_millis() as u64);
        let number = u32::try_from(router_settings.director_index).unwrap_or(u32::MAX);
        let seed = split_mix64(incarnation ^ router_settings.director_index as u64);
        let now = shared.clock.now();
        let voters = VoterConnections::new(&settings.config.voters, &settings.voter_addresses);
        tracing::info!(number, incarnation, voters = voters.len(), "coordination member");
        let agent = Agent {
            coordinator: Coordinator::new(Member { number, incarnation }, settings.config, seed, now),
            shared,
            inbox,
            poll,
            voters,
            checks_health: settings.checks_health,
            nodes: CheckedNodes::new(),
            endpoints: EndpointList::new(router_settings),
            hierarchy: HierarchyRole::new(settings.member_gone_after),
            warming: WarmingRole::new(settings.warming, router_settings, request_counts, now),
            stop_requested_at: None,
        };
        Ok((agent, waker))
    }

    /// Runs until the dispatcher has ended, the handover period after a request to stop has passed, or polling fails.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(POLL_EVENT_CAPACITY);
        loop {
            let now = self.shared.clock.now();
            self.step(now);
            let timeout = self.shared.clock.until(self.next_wakeup(now));
            if let Err(e) = self.poll.poll(&mut events, Some(timeout))
                && !is_retryable(&e)
            {
                return tracing::error!("coordination: {e}");
            }
            let now = self.shared.clock.now();
            for event in &events {
                self.on_readiness(event, now);
            }
            if !self.handle_inbox(now) {
                return;
            }
            let registry = self.poll.registry();
            self.voters.close_stuck(registry, now);
            self.nodes.close_stuck(registry, now);
        }
    }

    fn step(&mut self, now: Ns) {
        self.coordinator.step(now);
        self.execute_actions(now);
        self.step_hierarchy(now);
        self.step_warming(now);
    }

    fn next_wakeup(&self, now: Ns) -> Ns {
        let roles = self.hierarchy.next_wakeup().min(self.warming.next_wakeup());
        self.coordinator.next_wakeup().min(roles).min(now + MAX_POLL_WAIT)
    }

    fn on_readiness(&mut self, event: &Readiness, now: Ns) {
        let Token(token) = event.token();
        if event.token() == WAKER_TOKEN {
            return;
        }
        if event.is_writable() {
            self.on_writable(token, now);
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.on_readable(token, now);
        }
    }

    fn on_writable(&mut self, token: usize, now: Ns) {
        let registry = self.poll.registry();
        if token < self.voters.len() {
            self.voters.on_writable(token, registry, now);
        } else if let Some(target) = self.nodes.target_of(token) {
            self.nodes.on_writable(target, registry, now);
        }
    }

    fn on_readable(&mut self, token: usize, now: Ns) {
        if token < self.voters.len() {
            self.read_voter(token, now);
        } else if let Some(target) = self.nodes.target_of(token) {
            self.read_node(target, now);
        }
    }

    fn read_voter(&mut self, index: usize, now: Ns) {
        let replies = self.voters.on_readable(index, &self.shared.limits, self.poll.registry(), now);
        for call in replies {
            self.coordinator.on_replies(now, index as u32, call.call_id, call.replies);
        }
        self.execute_actions(now);
    }

    fn read_node(&mut self, target: u64, now: Ns) {
        let answers = self.nodes.on_readable(target, self.poll.registry(), now);
        for outcome in answers.fetches {
            self.warming.on_fetch_ended(now, target, outcome);
        }
        for check in answers.checks {
            self.coordinator.on_check_result(now, target, check.token, check.result);
        }
        self.execute_actions(now);
    }

    /// Handles the messages from the dispatcher. Returns false when the thread is to end.
    fn handle_inbox(&mut self, now: Ns) -> bool {
        loop {
            match self.inbox.try_recv() {
                Ok(event) => self.handle_event(event, now),
                Err(TryRecvError::Empty) => {
                    return self.stop_requested_at.is_none_or(|at| now < at + HANDOVER_PERIOD);
                }
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn handle_event(&mut self, event: AgentEvent, now: Ns) {
        match event {
            AgentEvent::PeerCall { client, call, body } => self.on_peer_call(client, call, &body, now),
            AgentEvent::EndpointsChanged { endpoints, is_snapshot } => {
                self.on_endpoints_changed(&endpoints, is_snapshot, now);
            }
            AgentEvent::Reconfigure(settings) => self.reconfigure(*settings, now),
            AgentEvent::HierarchyApplied(applied) => {
                let applied = AppliedVersion { number: applied.number, digest: applied.digest };
                self.coordinator.set_applied_version(now, HIERARCHY_ROLE, applied);
            }
            AgentEvent::Stop => {
                if self.stop_requested_at.is_none() {
                    self.stop_requested_at = Some(now);
                    self.coordinator.leave(now);
                }
            }
        }
    }

    fn on_peer_call(&mut self, client: ClientId, call: CallId, body: &[u8], now: Ns) {
        let body = match rmp_serde::from_slice::<Request>(body) {
            Ok(Request { from, messages }) => {
                let replies = self.coordinator.on_request(now, from, &messages);
                self.execute_actions(now);
                rmp_serde::to_vec(&replies).ok()
            }
            Err(e) => {
                tracing::debug!("coordination call of client {client}: {e}");
                None
            }
        };
        // The dispatcher outlives this thread, except at the end of the program, when the answer is no longer needed.
        let _ = self.shared.events.send(Event::PeerCallAnswered { client, call, body });
    }

    fn on_endpoints_changed(&mut self, endpoints: &[Endpoint], is_snapshot: bool, now: Ns) {
        self.endpoints.update(endpoints, is_snapshot);
        if self.checks_health {
            self.nodes.update(endpoints, is_snapshot, self.poll.registry(), now);
            self.coordinator.update_targets(now, &self.nodes.targets());
        }
    }

    /// Applies reloaded settings. They may have one voter more or one voter less, the voters in another order, or other
    /// addresses of voters. With any other change of `config`, nothing is applied. Changes of `checks_health`,
    /// `warming` and `member_gone_after` are ignored until a restart.
    fn reconfigure(&mut self, settings: CoordinationSettings, now: Ns) {
        let voters = settings.config.voters.clone();
        if let Err(e) = self.coordinator.reconfigure(now, settings.config) {
            return tracing::error!("reload failed, coordination settings stay as they were: {e}");
        }
        self.voters.add_addresses(&voters, settings.voter_addresses);
        self.execute_actions(now);
        self.voters.apply_addresses(&voters, self.poll.registry(), now);
        tracing::info!(voters = voters.len(), "reload coordination");
    }

    /// Executes the coordinator's actions, and the actions that result from them.
    fn execute_actions(&mut self, now: Ns) {
        loop {
            let actions = self.coordinator.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action, now);
            }
        }
    }

    fn execute(&mut self, action: Action, now: Ns) {
        match action {
            Action::Call { voter, call_id, messages } => {
                let from = self.coordinator.me();
                self.voters.call(from, voter, call_id, messages, self.poll.registry(), now);
            }
            Action::CheckHealth { target, token } => {
                self.nodes.send_check(target, token, self.poll.registry(), now);
            }
            Action::HealthObservations(observations) => self.report_load(&observations),
            Action::Log(line) => tracing::info!("{line}"),
            Action::VotersChanged(voters) => self.voters.replace(&voters, self.poll.registry(), now),
            Action::RoleAcquired { role, token } => self.on_role_acquired(role, token),
            Action::RoleLost { role, term, reason } => self.on_role_lost(role, term, reason),
            Action::RegisterStored { role, value } if role == HIERARCHY_ROLE => {
                self.hierarchy.on_register_stored(now, &value);
            }
            Action::Proposal { role, bytes } if role == HIERARCHY_ROLE => self.hierarchy.propose(now, &bytes),
            Action::Published { role, bytes } if role == HIERARCHY_ROLE => self.announce_hierarchy(&bytes),
            Action::RegisterStored { .. } | Action::Proposal { .. } | Action::Published { .. } => {}
        }
    }

    fn on_role_acquired(&mut self, role: RoleId, token: FencingToken) {
        tracing::info!(name = %role_name(role), term = token.term, "coordination role acquired");
        match role {
            HIERARCHY_ROLE => self.hierarchy.begin(token),
            WARMING_ROLE => self.warming.begin(token),
            _ => {}
        }
    }

    fn on_role_lost(&mut self, role: RoleId, term: u64, reason: LeaseEnd) {
        tracing::info!(name = %role_name(role), term, ?reason, "coordination role lost");
        match role {
            HIERARCHY_ROLE => self.hierarchy.end(),
            WARMING_ROLE => self.warming.end(),
            _ => {}
        }
    }

    /// Passes recent health observations that contain a utilization to the router.
    fn report_load(&self, observations: &[HealthObservation]) {
        let fresh = observations.iter().filter(|observation| observation.age < MAX_LOAD_REPORT_AGE);
        let reports: Vec<(String, LoadReport)> = fresh
            .filter_map(|observation| {
                let HealthState::Healthy(Some(utilization)) = observation.state else { return None };
                let name = self.nodes.name(observation.target)?.to_owned();
                let cpu_utilization = Some(f64::from(utilization));
                Some((name, LoadReport { cpu_utilization, link_utilization: None }))
            })
            .collect();
        if !reports.is_empty() {
            // If the queue is full, the reports are dropped: the next observation follows soon.
            let _ = self.shared.events.try_send(Event::HealthReports(reports));
        }
    }
}
