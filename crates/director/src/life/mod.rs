//! Start and stop.

pub mod config;
mod journal;
mod signals;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Sender, bounded};
use sablecross::Choice;
use sablecross_feed::{Cursor, Feeds};
use signal_hook::iterator::Signals;

use config::Config;
use signals::Fixed;

use crate::common::Common;
use crate::duty::Duties;
use crate::exchange::Event;
use crate::memory::desk::Desk;
use crate::plain::facts::Fact;
use crate::plain::names::Names;
use crate::terms::Setting;
use crate::upper::{Told, Upper};
use crate::wire::clients::Clients;
use crate::wire::feed::Follower;
use crate::wire::links::Links;
use crate::wire::nodes::Nodes;

/// Tells the desk when a thread that must not end does, even by a panic.
struct Vital(&'static str, Sender<Event>);

impl Drop for Vital {
    fn drop(&mut self) {
        let _ = self.1.send(Event::Died(self.0));
    }
}

/// A whole life with its log, as a program's.
pub fn start() -> ExitCode {
    journal::begin();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// A whole life, from the configuration to the last answer.
pub fn run() -> Result<(), String> {
    let config = Config::load()?;
    let (to_feed, moves) = bounded(config.limits.moves);
    let fixed = Fixed::of(&config, moves.clone());
    let duty = Setting::read().transpose()?;
    let names = Names { duties: duty.is_some(), ..config.names };
    let (common, to_desk) = Common::new(names, config.limits);
    let limits = &common.limits;
    let at_listen = |e| format!("listen: {}: {e}", config.listen);
    let (clients, outlet) = Clients::listen(config.listen, &common).map_err(at_listen)?;
    let listen = clients.address().map_err(at_listen)?;
    let (to_say, in_force) = bounded(limits.moves);
    let (links, orders) = Links::new(&common).map_err(|e| format!("connections to nodes: {e}"))?;
    let nodes = Nodes::new(orders, Arc::clone(&common));
    let upper = Upper::new(config.settings.parent_kind);
    let at_duty = |e| format!("duties: {e}");
    let (duties, agent) = Duties::start(duty, &config.settings, &common).map_err(at_duty)?;
    let choice = Choice::new(config.settings, config.seed, common.clock.now());
    let mut desk = Desk::new(choice, nodes, outlet, Arc::clone(&common), upper, duties, to_say);
    if let Some(told) = Told::read() {
        desk.fact(Fact::Hierarchy(Box::new(told?)));
    }
    desk.known(config.known.events);

    let vital = |name: &'static str, run: Box<dyn FnOnce() + Send>| {
        let ending = Vital(name, common.events.clone());
        let started = thread::Builder::new().name(name.into()).stack_size(limits.stack).spawn(move || {
            let _ending = ending;
            run();
        });
        started.map_err(|e| format!("thread {name}: {e}"))
    };
    let caught = Signals::new(signals::HEARD).map_err(|e| format!("signals: {e}"))?;
    let heard = common.events.clone();
    let hear = Box::new(move || signals::hear(caught, &fixed, &heard, &to_feed));
    vital("signals", hear)?;
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
    vital("feed", Box::new(move || follower.follow()))?;
    vital("links", Box::new(move || links.serve()))?;
    vital("clients", Box::new(move || clients.serve()))?;
    if let Some(agent) = agent {
        // Lookups never depend on it.
        let run = move || agent.serve();
        let began = thread::Builder::new().name("duty".into()).stack_size(limits.stack).spawn(run);
        began.map_err(|e| format!("thread duty: {e}"))?;
    }
    tracing::info!("serving name={} listen={listen}", config.name);

    let served = desk.serve(&to_desk);
    desk.report();
    served
}
