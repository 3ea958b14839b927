//! The connections to nodes: one thread holds them all, makes them, writes sends and reads answers. It waits for
//! any of them, and never for one alone.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use sablecross::Ns;

pub use super::link::{Content, Send};
use super::link::{Over, Wire};
use crate::common::Common;
use crate::exchange::{Event, Link, LinkLoss, Name, Withdrawn};
use crate::plain::counters;
use crate::plain::os_error::{is_local_shortage, is_network_trouble, is_pause};
use crate::plain::sparing::Sparing;

pub enum Order {
    Dial {
        link: Link,
        address: SocketAddr,
        by: Ns,
    },
    Pull {
        link: Link,
        send: Send,
    },
    Kill {
        link: Link,
        name: Name,
    },
    /// Some of its sends were withdrawn: what is not begun of them is not to be.
    Withdraw(Link),
    Close(Link),
}

/// The desk's way to the connections.
pub struct Orders {
    orders: Sender<Order>,
    waker: Waker,
}

impl Orders {
    /// False if there are more than can be kept.
    pub fn give(&self, order: Order) -> bool {
        let given = self.orders.try_send(order).is_ok();
        // It wakes by itself before long.
        let _ = self.waker.wake();
        given
    }
}

const ORDERS: Token = Token(usize::MAX);

pub struct Links {
    poll: Poll,
    orders: Receiver<Order>,
    of: Arc<Common>,
    wires: BTreeMap<Link, Wire>,
    /// Connections that have more to say than their share.
    more: Vec<Link>,
    sweep_at: Ns,
    log: Sparing,
}

impl Links {
    pub fn new(of: &Arc<Common>) -> io::Result<(Links, Orders)> {
        let poll = Poll::new()?;
        let (orders, from_desk) = bounded(of.limits.orders);
        let orders = Orders { orders, waker: Waker::new(poll.registry(), ORDERS)? };
        Ok((
            Links {
                poll,
                orders: from_desk,
                of: Arc::clone(of),
                wires: BTreeMap::new(),
                more: Vec::new(),
                sweep_at: 0,
                log: Sparing::default(),
            },
            orders,
        ))
    }

    /// Serves for ever, or until the desk is gone.
    pub fn serve(mut self) {
        let limits = &Arc::clone(&self.of).limits;
        let mut events = Events::with_capacity(limits.turns);
        loop {
            let wait =
                if self.more.is_empty() { self.of.clock.until(self.sweep_at) } else { Default::default() };
            if let Err(e) = self.poll.poll(&mut events, Some(wait))
                && !is_pause(&e)
            {
                return tracing::error!("connections to nodes: {e}");
            }
            let mut again = std::mem::take(&mut self.more);
            let mut writable = Vec::new();
            for event in events.iter().filter(|event| event.token() != ORDERS) {
                let link = event.token().0 as Link;
                if event.is_writable() {
                    self.with(link, |wire, _| wire.rise());
                    writable.push(link);
                }
                again.push(link);
            }
            again.sort_unstable();
            again.dedup();
            // What has come first: nothing is begun on a connection whose end is here already.
            again.into_iter().for_each(|link| self.read(link));
            for link in writable {
                self.with(link, |wire, of| wire.write(of));
            }
            loop {
                match self.orders.try_recv() {
                    Ok(order) => self.order(order),
                    Err(e) if e.is_empty() => break,
                    Err(_) => return,
                }
            }
            let now = self.of.clock.now();
            if now >= self.sweep_at {
                self.sweep(now);
                let dialing = self.wires.values().any(|wire| !wire.up);
                let unmade = self.wires.values().any(|wire| wire.stream.is_none());
                self.sweep_at = now
                    + match (unmade, dialing) {
                        (true, _) => limits.shortage_pause,
                        (false, true) => limits.margin,
                        (false, false) => limits.sweep,
                    };
            }
            if self.wires.values().any(|wire| wire.unconfirmed) {
                self.sweep_at = self.sweep_at.min(now + limits.confirm_pause);
            }
        }
    }

    fn with<T>(&mut self, link: Link, run: impl FnOnce(&mut Wire, &Common) -> Result<T, Over>) -> Option<T> {
        let wire = self.wires.get_mut(&link)?;
        run(wire, &self.of).map_err(|why| self.lose(link, why)).ok()
    }

    fn read(&mut self, link: Link) {
        if self.with(link, |wire, of| wire.read(of)) == Some(true) {
            self.more.push(link);
        }
    }

    fn order(&mut self, order: Order) {
        let (link, send) = match order {
            Order::Dial { link, address, by } => return self.dial(link, address, by),
            Order::Close(link) => return drop(self.wires.remove(&link)),
            Order::Withdraw(link) => {
                self.with(link, |wire, of| wire.write(of));
                return;
            }
            Order::Pull { link, send } => {
                // Its end may have come since it was looked at: what is not begun on it has never run.
                if self.wires.get(&link).is_some_and(|wire| wire.up) {
                    self.read(link);
                }
                (link, send)
            }
            Order::Kill { link, name } => {
                let until = self.of.clock.now() + self.of.limits.undated;
                let (off, withdrawn) = (Withdrawn::default(), Withdrawn::default());
                (link, Send { name, content: Content::Kill { until }, off, withdrawn })
            }
        };
        self.with(link, |wire, of| {
            wire.sends.push_back(send);
            wire.write(of)
        });
    }

    fn dial(&mut self, link: Link, address: SocketAddr, by: Ns) {
        let wire = Wire::new(link, address, by, &self.of);
        self.wires.insert(link, wire);
        self.connect(link);
        // It must be given up in its time, if it does not come up.
        self.sweep_at = self.sweep_at.min(self.of.clock.now() + self.of.limits.margin);
    }

    /// Makes a connection. What this machine is short of passes: it is tried again for as long as it may take to
    /// come up, and its sends wait.
    fn connect(&mut self, link: Link) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let made = TcpStream::connect(wire.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(link as usize), interest)?;
            // Without it sends are but slower.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        });
        match made {
            Ok(stream) => wire.stream = Some(stream),
            Err(e) if is_local_shortage(&e) => {
                let lasting = if is_network_trouble(&e) { Over::Unreachable } else { Over::Shortage };
                wire.shortage = lasting;
                wire.connect_at = self.of.clock.now() + self.of.limits.shortage_pause;
                self.sweep_at = self.sweep_at.min(wire.connect_at);
                counters::add(&self.of.counters.shortages, 1);
                let address = wire.address;
                self.log.warn(self.of.clock.now(), || format!("link {link} to {address} waits: {e}"));
            }
            Err(e) => {
                tracing::debug!("link {link} to {}: {e}", wire.address);
                self.lose(link, Over::Unreachable);
            }
        }
    }

    /// Makes what could not be made; ends what did not come up, or does not take what it is given, in time.
    fn sweep(&mut self, now: Ns) {
        let unmade =
            self.wires.iter().filter(|(_, w)| w.stream.is_none() && now >= w.connect_at && now < w.by);
        let unmade: Vec<Link> = unmade.map(|(link, _)| *link).collect();
        unmade.into_iter().for_each(|link| self.connect(link));
        let late = self.wires.values().filter(|w| !w.up && now >= w.by);
        let late: Vec<(Link, Over)> =
            late.map(|w| (w.link, if w.stream.is_none() { w.shortage } else { Over::Unreachable })).collect();
        late.into_iter().for_each(|(link, why)| self.lose(link, why));
        let waiting = self.wires.iter().filter(|(_, w)| !w.sends.is_empty()).map(|(link, _)| *link);
        for link in waiting.collect::<Vec<Link>>() {
            self.with(link, |wire, of| wire.write(of));
        }
    }

    /// A connection is over. What was not begun to be written on it never ran.
    fn lose(&mut self, link: Link, why: Over) {
        let Some(mut wire) = self.wires.remove(&link) else { return };
        // Whole answers may have come before the end: they are owed.
        for _ in 0..self.of.limits.turns {
            if !wire.up || wire.read(&self.of) != Ok(true) {
                break;
            }
        }
        if let Over::Fault(why) = why {
            counters::add(&self.of.counters.bad_lines, 1);
            let address = wire.address;
            self.log.warn(self.of.clock.now(), || format!("link {link} to {address}: {why}"));
        }
        let why = match why {
            _ if wire.up => LinkLoss::Broken,
            Over::Shortage => LinkLoss::Shortage,
            _ => LinkLoss::Unreachable,
        };
        let _ = self.of.events.send(Event::Lost { link, why, begun: wire.begun });
    }
}
