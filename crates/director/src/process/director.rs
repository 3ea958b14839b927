//! Assembles a director and starts its threads.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::bounded;
use sablecross::Router;
use sablecross_discovery::FeedSelector;
use signal_hook::iterator::Signals;
use thiserror::Error;

use super::config::{Config, ConfigLoadError};
use super::signals::{FixedConfig, HANDLED_SIGNALS, SignalHandler};
use super::startup::StartupRetry;
use crate::coordination::{Agent, CoordinationHandle};
use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::{DiscoveryEvent, KnownEvents};
use crate::dispatch::{DispatchError, Dispatcher};
use crate::event_queues::EventQueues;
use crate::name_table::NameTable;
use crate::parent_hierarchy::{ParentHierarchy, VersionAnnouncement};
use crate::shared::SharedContext;
use crate::wire::client_server::ClientServer;
use crate::wire::discovery_client::DiscoveryClient;
use crate::wire::node_connections::NodeConnectionServer;
use crate::wire::node_pool::NodePool;
use crate::wire::response_sender::ResponseSender;

/// Why a director can't start, or has stopped before a shutdown was complete.
#[derive(Debug, Error)]
pub(super) enum RunError {
    #[error("signals: handlers can't be registered: {0}")]
    Signals(io::Error),
    #[error(transparent)]
    Config(#[from] ConfigLoadError),
    #[error("feed: missing")]
    NoFeed,
    /// The settings file of coordination or of the hierarchy can't be read or is invalid.
    #[error(transparent)]
    SettingsFile(Box<dyn StdError + Send + Sync>),
    #[error("listen: {address}: {cause}")]
    Listen { address: SocketAddr, cause: io::Error },
    #[error("connections to nodes: the poll can't be created: {0}")]
    NodeConnections(io::Error),
    #[error("coordination: the poll can't be created: {0}")]
    Coordination(io::Error),
    #[error("thread {name}: can't be started: {cause}")]
    Thread { name: &'static str, cause: io::Error },
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
}

/// The parts of a director, before its threads are started.
struct Director {
    name: String,
    listen: SocketAddr,
    shared: Arc<SharedContext>,
    events: EventQueues,
    dispatcher: Dispatcher,
    signals: SignalHandler,
    discovery: DiscoveryClient,
    nodes: NodeConnectionServer,
    clients: ClientServer,
    agent: Option<Agent>,
    hierarchy: Option<VersionAnnouncement>,
    known: KnownEvents,
}

/// Runs a director until it has been stopped, or can no longer serve.
pub(super) fn run(startup: &StartupRetry) -> Result<(), RunError> {
    // Signals are handled before anything else, because a signal during startup must not end the program.
    let signals = startup.retry(|| Signals::new(HANDLED_SIGNALS)).map_err(RunError::Signals)?;
    let config = load_config(startup)?;
    Director::assemble(signals, config, startup)?.serve(startup)
}

/// Loads the configuration. If the file can't be read because of a transient error, it is read again.
fn load_config(startup: &StartupRetry) -> Result<Config, ConfigLoadError> {
    loop {
        match Config::load() {
            Err(ConfigLoadError::Unreadable { cause, .. }) if startup.may_retry(&cause) => {}
            result => return result,
        }
    }
}

impl Director {
    fn assemble(signals: Signals, config: Config, startup: &StartupRetry) -> Result<Director, RunError> {
        let (feed_changes, pending_feed_changes) = bounded(config.limits.discovery_queue_length);
        let fixed = FixedConfig::new(&config);
        let settings = CoordinationSettings::from_env().transpose();
        let settings = settings.map_err(|e| RunError::SettingsFile(e.into()))?;
        let names = NameTable { answers_peers: settings.is_some(), ..config.names };
        let (shared, events) = SharedContext::new(names, config.limits);
        let signals = SignalHandler::new(
            signals,
            fixed,
            shared.events.clone(),
            feed_changes,
            pending_feed_changes.clone(),
        );

        let (clients, responses, listen) = bind_clients(config.listen, &shared, startup)?;
        let (applied_versions, applied) = bounded(shared.limits.discovery_queue_length);
        let (nodes, commands) =
            startup.retry(|| NodeConnectionServer::new(&shared)).map_err(RunError::NodeConnections)?;
        let pool = NodePool::new(commands, Arc::clone(&shared));
        let parents = ParentHierarchy::new(config.settings.parent_kind);
        let (coordination, agent) =
            CoordinationHandle::start(settings, &config.settings, &shared).map_err(RunError::Coordination)?;
        let router = Router::new(config.settings, config.seed, shared.clock.now())
            .with_max_objects(shared.limits.max_remembered_objects);
        let dispatcher = Dispatcher::new(
            router,
            pool,
            responses,
            Arc::clone(&shared),
            parents,
            coordination,
            applied_versions,
        );
        let hierarchy = VersionAnnouncement::from_settings_file().transpose();
        let hierarchy = hierarchy.map_err(|e| RunError::SettingsFile(e.into()))?;
        let (home, others) = config.feeds.split_first().ok_or(RunError::NoFeed)?;
        let discovery = DiscoveryClient::new(
            config.name.clone(),
            FeedSelector::new(&config.name, *home, others),
            config.known.last,
            pending_feed_changes,
            applied,
            Arc::clone(&shared),
        );
        Ok(Director {
            name: config.name,
            listen,
            shared,
            events,
            dispatcher,
            signals,
            discovery,
            nodes,
            clients,
            agent,
            hierarchy,
            known: config.known,
        })
    }

    fn serve(self, startup: &StartupRetry) -> Result<(), RunError> {
        let Director { shared, signals, discovery, nodes, clients, mut dispatcher, mut events, .. } = self;
        let spawn = |name: &'static str, run: Box<dyn FnOnce() + Send>| {
            let stack_bytes = shared.limits.thread_stack_bytes;
            let spawned = startup.spawn_essential(name, stack_bytes, &shared.events, run);
            spawned.map_err(|cause| RunError::Thread { name, cause })
        };
        spawn("signals", Box::new(move || signals.run()))?;
        spawn("discovery", Box::new(move || discovery.run()))?;
        spawn("nodes", Box::new(move || nodes.run()))?;
        spawn("clients", Box::new(move || clients.run()))?;
        if let Some(agent) = self.agent {
            spawn_agent(agent, shared.limits.thread_stack_bytes)?;
        }
        if let Some(version) = self.hierarchy {
            dispatcher.on_discovery_event(DiscoveryEvent::Hierarchy(Box::new(version)));
        }
        dispatcher.apply_known_events(self.known.events);
        tracing::info!("serving name={} listen={}", self.name, self.listen);

        let served = dispatcher.run(&mut events);
        dispatcher.log_counters();
        Ok(served?)
    }
}

/// Listens for clients. Also returns the address, as the system chooses a port if none is set.
fn bind_clients(
    address: SocketAddr,
    shared: &Arc<SharedContext>,
    startup: &StartupRetry,
) -> Result<(ClientServer, ResponseSender, SocketAddr), RunError> {
    let listen_error = |cause| RunError::Listen { address, cause };
    let (clients, responses) = startup.retry(|| ClientServer::bind(address, shared)).map_err(listen_error)?;
    let listen = clients.local_addr().map_err(listen_error)?;
    Ok((clients, responses, listen))
}

/// Starts the coordination thread. Requests never depend on it, so the director keeps serving when it ends.
fn spawn_agent(agent: Agent, stack_bytes: usize) -> Result<(), RunError> {
    const NAME: &str = "coordination";
    let spawned = thread::Builder::new().name(NAME.into()).stack_size(stack_bytes).spawn(|| agent.serve());
    spawned.map(drop).map_err(|cause| RunError::Thread { name: NAME, cause })
}
