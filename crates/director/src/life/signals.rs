//! What signals ask for: to stop, to report, to read the configuration again.

use std::net::SocketAddr;

use crossbeam_channel::{Receiver, Sender, TrySendError};
use sablecross::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use super::config::Config;
use crate::exchange::Event;
use crate::plain::facts::Fact;
use crate::terms::Setting;
use crate::upper::Told;
use crate::wire::feed::Move;

pub const HEARD: [i32; 3] = [SIGHUP, SIGTERM, SIGUSR1];

/// What of the configuration stays as it was at the start.
pub struct Fixed {
    name: String,
    listen: SocketAddr,
    settings: Settings,
    /// Moves that the feed's thread has not come to yet: a later one takes the place of the oldest, so that no
    /// signal waits behind a feed that is down.
    overtaken: Receiver<Move>,
}

impl Fixed {
    pub fn of(config: &Config, overtaken: Receiver<Move>) -> Fixed {
        let Config { name, listen, settings, .. } = config;
        Fixed { name: name.clone(), listen: *listen, settings: settings.clone(), overtaken }
    }

    /// Reads the configuration again: the feed moves, all else takes a restart. A faulty one changes nothing.
    fn reload(&self, moves: &Sender<Move>) {
        let config = match Config::load() {
            Ok(config) => config,
            Err(e) => return tracing::error!("reload failed, the old configuration stays: {e}"),
        };
        let same = [
            ("name", self.name == config.name),
            ("listen", self.listen == config.listen),
            ("settings", self.settings == config.settings),
        ];
        for (key, _) in same.iter().filter(|(_, same)| !same) {
            tracing::warn!("reload: {key}: has changed, which takes a restart");
        }
        tracing::info!("reload feed={} known={}", config.feeds[0], config.known.last);
        let mut latest = (config.feeds, config.known);
        while let Err(TrySendError::Full(back)) = moves.try_send(latest) {
            latest = back;
            let _ = self.overtaken.try_recv();
        }
    }
}

/// Hears signals for ever, or until the desk is gone.
pub fn hear(mut signals: Signals, fixed: &Fixed, events: &Sender<Event>, moves: &Sender<Move>) {
    for signal in signals.forever() {
        let told = match signal {
            SIGHUP => {
                fixed.reload(moves);
                let settled = Setting::read().map(|read| match read {
                    Ok(setting) => events.send(Event::Settle(Box::new(setting))).is_ok(),
                    Err(e) => {
                        tracing::error!("reload failed, the old duties stay: {e}");
                        true
                    }
                });
                if settled == Some(false) {
                    return;
                }
                match Told::read() {
                    Some(Ok(told)) => events.send(Event::Fact(Fact::Hierarchy(Box::new(told)))),
                    Some(Err(e)) => {
                        tracing::error!("reload failed, the old hierarchy stays: {e}");
                        continue;
                    }
                    None => continue,
                }
            }
            SIGTERM => events.send(Event::Stop),
            _ => events.send(Event::Report),
        };
        if told.is_err() {
            return;
        }
    }
}
