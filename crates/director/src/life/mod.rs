//! Start and stop.

pub mod config;
mod journal;
mod signals;
mod starting;

use std::process::ExitCode;
use std::sync::Arc;

use crossbeam_channel::bounded;
use sablecross::Choice;
use sablecross_feed::{Cursor, Feeds};
use signal_hook::iterator::Signals;

use config::{Config, LoadError};
use journal::Journal;
use signals::Fixed;
use starting::Starting;

use crate::common::Common;
use crate::duty::Duties;
use crate::memory::desk::Desk;
use crate::plain::facts::Fact;
use crate::plain::names::Names;
use crate::terms::Setting;
use crate::upper::{Told, Upper};
use crate::wire::clients::Clients;
use crate::wire::feed::Follower;
use crate::wire::links::Links;
use crate::wire::nodes::Nodes;

/// A whole life with its log, as a program's.
pub fn start() -> ExitCode {
    let starting = Starting::begin();
    let journal = Journal::begin(&starting);
    let code = match run(&starting) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    };
    journal.end();
    code
}

/// The configuration; one that can't be read for a moment is read again.
fn load(starting: &Starting) -> Result<Config, LoadError> {
    loop {
        match Config::load() {
            Err(LoadError::Unreadable { why, .. }) if starting.may_retry(&why) => {}
            done => return done,
        }
    }
}

/// A whole life, from the configuration to the last answer.
fn run(starting: &Starting) -> Result<(), String> {
    // First of all: a signal that comes during the start must not end the program.
    let caught = starting.retry(|| Signals::new(signals::HEARD)).map_err(|e| format!("signals: {e}"))?;
    let config = load(starting).map_err(|e| e.to_string())?;
    let (to_feed, moves) = bounded(config.limits.moves);
    let fixed = Fixed::of(&config, moves.clone());
    let duty = Setting::read().transpose()?;
    let names = Names { duties: duty.is_some(), ..config.names };
    let (common, to_desk) = Common::new(names, config.limits);
    let limits = &common.limits;
    let at_listen = |e| format!("listen: {}: {e}", config.listen);
    let listened = starting.retry(|| Clients::listen(config.listen, &common));
    let (clients, outlet) = listened.map_err(at_listen)?;
    let listen = clients.address().map_err(at_listen)?;
    let (to_say, in_force) = bounded(limits.moves);
    let linked = starting.retry(|| Links::new(&common));
    let (links, orders) = linked.map_err(|e| format!("connections to nodes: {e}"))?;
    let nodes = Nodes::new(orders, Arc::clone(&common));
    let upper = Upper::new(config.settings.parent_kind);
    let at_duty = |e| format!("duties: {e}");
    let (duties, agent) = Duties::start(duty, &config.settings, &common).map_err(at_duty)?;
    let choice = Choice::new(config.settings, config.seed, common.clock.now());
    let mut desk = Desk::new(choice, nodes, outlet, Arc::clone(&common), upper, duties, to_say);
    let hierarchy = Told::read().transpose()?;
    let (home, others) = config.feeds.split_first().ok_or("feed: missing")?;
    let follower = Follower {
        cursor: Cursor::after(config.known.last),
        feeds: Feeds::new(&config.name, *home, others),
        common: Arc::clone(&common),
        moves,
        up: true,
        first: true,
        party: config.name.clone(),
        in_force,
        word: None,
    };

    let (stack, events) = (limits.stack, &common.events);
    let at_thread = |name: &'static str| move |e| format!("thread {name}: {e}");
    let heard = common.events.clone();
    let hear = move || signals::hear(caught, &fixed, &heard, &to_feed);
    starting.spawn_vital("signals", stack, events, hear).map_err(at_thread("signals"))?;
    starting.spawn_vital("feed", stack, events, move || follower.follow()).map_err(at_thread("feed"))?;
    starting.spawn_vital("links", stack, events, move || links.serve()).map_err(at_thread("links"))?;
    starting.spawn_vital("clients", stack, events, move || clients.serve()).map_err(at_thread("clients"))?;
    if let Some(agent) = agent {
        // Lookups never depend on it.
        let run = move || agent.serve();
        let began = std::thread::Builder::new().name("duty".into()).stack_size(stack).spawn(run);
        began.map_err(at_thread("duty"))?;
    }
    if let Some(told) = hierarchy {
        desk.fact(Fact::Hierarchy(Box::new(told)));
    }
    desk.known(config.known.events);
    tracing::info!("serving name={} listen={listen}", config.name);

    let served = desk.serve(&to_desk);
    desk.report();
    served
}
