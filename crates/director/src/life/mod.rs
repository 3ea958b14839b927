//! Start and stop.

pub mod clock;
pub mod config;
pub mod counters;
pub mod limits;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::{io, thread};

use crossbeam_channel::{Sender, bounded};
use sablecross::Choice;
use signal_hook::consts::{SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

pub use clock::Clock;

use crate::exchange::Event;
use crate::memory::{bodies::Room, desk::Desk};
use crate::wire::clients::{self, Clients};
use crate::wire::feed::Follower;
use crate::wire::nodes::{Links, Nodes};

/// A named thread with a small stack.
pub fn thread(name: &str, stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(stack).spawn(run).map(drop)
}

/// Tells the desk when a thread that must not end does, even by a panic.
struct Vital(&'static str, Sender<Event>);

impl Drop for Vital {
    fn drop(&mut self) {
        let _ = self.1.send(Event::Died(self.0));
    }
}

/// A whole life, from the configuration to the last answer.
pub fn run() -> Result<(), String> {
    let config = config::Config::load()?;
    let clock = Clock::start();
    let limits = config.limits;
    let counters = Arc::new(counters::Shared::default());
    let room = Room::of(limits.bodies);
    let unwritten = Arc::new(AtomicUsize::new(0));
    let (events, to_desk) = bounded(limits.events);
    let links = Arc::new(Links {
        limits: limits.clone(),
        clock,
        counters: Arc::clone(&counters),
        room: Arc::clone(&room),
        events: events.clone(),
    });
    let nodes = Nodes::new(links, config.names.clone());
    let choice = Choice::new(config.settings, config.seed, clock.now());
    let mut desk =
        Desk::new(choice, nodes, limits.clone(), clock, Arc::clone(&counters), Arc::clone(&unwritten));
    config.known.events.into_iter().for_each(|event| desk.fact(event.fact));

    let vital = |name: &'static str, stack: usize, run: Box<dyn FnOnce() + Send>| {
        let ending = Vital(name, events.clone());
        let started = thread(name, stack, move || {
            let _ending = ending;
            run();
        });
        started.map_err(|e| format!("thread {name}: {e}"))
    };
    let mut signals = Signals::new([SIGTERM, SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let heard = events.clone();
    vital(
        "signals",
        limits.stack,
        Box::new(move || {
            for signal in signals.forever() {
                let event = if signal == SIGTERM { Event::Stop } else { Event::Report };
                if heard.send(event).is_err() {
                    return;
                }
            }
        }),
    )?;
    let follower = Follower {
        address: config.feed,
        last: config.known.last,
        limits: limits.clone(),
        counters: Arc::clone(&counters),
        room: Arc::clone(&room),
        events: events.clone(),
        gap: None,
        up: true,
    };
    vital("feed", limits.feed_stack, Box::new(move || follower.follow()))?;
    let listener = TcpListener::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let listen = listener.local_addr().unwrap_or(config.listen);
    let clients = Arc::new(Clients {
        names: config.names,
        limits: limits.clone(),
        clock,
        counters,
        room,
        events: events.clone(),
        unwritten,
    });
    vital("accept", limits.stack, Box::new(move || clients::accept(&listener, &clients)))?;
    log::info!("serving name={} listen={listen}", config.name);

    let served = desk.serve(&to_desk);
    desk.report();
    desk.close();
    thread::sleep(limits.last_bytes);
    served
}
