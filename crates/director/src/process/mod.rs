//! Start and stop.

pub mod config;
mod logging;
mod signals;
mod startup;

use std::process::ExitCode;
use std::sync::Arc;

use crossbeam_channel::bounded;
use sablecross::Router;
use sablecross_discovery::{EventCursor, FeedSelector};
use signal_hook::iterator::Signals;

use config::{Config, ConfigLoadError};
use logging::LogWriter;
use signals::ReloadContext;
use startup::StartupRetry;

use crate::coordination::CoordinationHandle;
use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::dispatch::dispatcher::Dispatcher;
use crate::name_table::NameTable;
use crate::parent_hierarchy::{ParentHierarchy, VersionAnnouncement};
use crate::shared::SharedContext;
use crate::wire::client_server::ClientServer;
use crate::wire::discovery_client::DiscoveryClient;
use crate::wire::node_connections::NodeConnectionServer;
use crate::wire::node_pool::NodePool;

/// A whole life with its log, as a program's.
pub fn run() -> ExitCode {
    let starting = StartupRetry::new();
    let journal = LogWriter::start(&starting);
    let code = match serve_requests(&starting) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    };
    journal.flush();
    code
}

/// The configuration; one that can't be read for a moment is read again.
fn load(starting: &StartupRetry) -> Result<Config, ConfigLoadError> {
    loop {
        match Config::load() {
            Err(ConfigLoadError::Unreadable { why, .. }) if starting.may_retry(&why) => {}
            done => return done,
        }
    }
}

/// A whole life, from the configuration to the last answer.
fn serve_requests(starting: &StartupRetry) -> Result<(), String> {
    // First of all: a signal that comes during the start must not end the program.
    let caught =
        starting.retry(|| Signals::new(signals::HANDLED_SIGNALS)).map_err(|e| format!("signals: {e}"))?;
    let config = load(starting).map_err(|e| e.to_string())?;
    let (to_feed, moves) = bounded(config.limits.feed_move_queue_length);
    let fixed = ReloadContext::new(&config, moves.clone());
    let coordination = CoordinationSettings::from_env().transpose().map_err(|e| e.to_string())?;
    let names = NameTable { answers_peers: coordination.is_some(), ..config.names };
    let (common, to_desk) = SharedContext::new(names, config.limits);
    let limits = &common.limits;
    let at_listen = |e| format!("listen: {}: {e}", config.listen);
    let listened = starting.retry(|| ClientServer::bind(config.listen, &common));
    let (clients, outlet) = listened.map_err(at_listen)?;
    let listen = clients.local_addr().map_err(at_listen)?;
    let (to_say, in_force) = bounded(limits.feed_move_queue_length);
    let linked = starting.retry(|| NodeConnectionServer::new(&common));
    let (links, orders) = linked.map_err(|e| format!("connections to nodes: {e}"))?;
    let nodes = NodePool::new(orders, Arc::clone(&common));
    let upper = ParentHierarchy::new(config.settings.parent_kind);
    let at_duty = |e| format!("duties: {e}");
    let (duties, agent) =
        CoordinationHandle::start(coordination, &config.settings, &common).map_err(at_duty)?;
    let choice = Router::new(config.settings, config.seed, common.clock.now());
    let mut desk = Dispatcher::new(choice, nodes, outlet, Arc::clone(&common), upper, duties, to_say);
    let hierarchy =
        VersionAnnouncement::from_settings_file().transpose().map_err(|error| error.to_string())?;
    let (home, others) = config.feeds.split_first().ok_or("feed: missing")?;
    let follower = DiscoveryClient {
        cursor: EventCursor::after_number(config.known.last),
        feeds: FeedSelector::new(&config.name, *home, others),
        shared: Arc::clone(&common),
        moves,
        is_up: true,
        is_first_call: true,
        director_name: config.name.clone(),
        applied_versions: in_force,
        pending_report: None,
    };

    let (stack, events) = (limits.thread_stack_bytes, &common.events);
    let at_thread = |name: &'static str| move |e| format!("thread {name}: {e}");
    let heard = common.events.clone();
    let hear = move || signals::handle_signals(caught, &fixed, &heard, &to_feed);
    starting.spawn_essential("signals", stack, events, hear).map_err(at_thread("signals"))?;
    starting.spawn_essential("feed", stack, events, move || follower.run()).map_err(at_thread("feed"))?;
    starting.spawn_essential("links", stack, events, move || links.run()).map_err(at_thread("links"))?;
    starting
        .spawn_essential("clients", stack, events, move || clients.run())
        .map_err(at_thread("clients"))?;
    if let Some(agent) = agent {
        // Lookups never depend on it.
        let run = move || agent.serve();
        let began = std::thread::Builder::new().name("duty".into()).stack_size(stack).spawn(run);
        began.map_err(at_thread("duty"))?;
    }
    if let Some(told) = hierarchy {
        desk.on_discovery_event(DiscoveryEvent::Hierarchy(Box::new(told)));
    }
    desk.apply_known_events(config.known.events);
    tracing::info!("serving name={} listen={listen}", config.name);

    let served = desk.run(&to_desk);
    desk.log_counters();
    served
}
