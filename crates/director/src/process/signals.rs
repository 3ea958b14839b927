//! What signals ask for: to stop, to report, to read the configuration again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, TrySendError};
use sablecross::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use super::config::{Config, ConfigLoadError};
use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::events::Event;
use crate::parent_hierarchy::VersionAnnouncement;
use crate::wire::discovery_client::FeedMove;

pub const HANDLED_SIGNALS: [i32; 3] = [SIGHUP, SIGTERM, SIGUSR1];

/// What of the configuration stays as it was at the start.
pub struct ReloadContext {
    name: String,
    listen: SocketAddr,
    settings: Settings,
    /// Moves that the feed's thread has not come to yet: a later one takes the place of the oldest, so that no
    /// signal waits behind a feed that is down.
    overtaken: Receiver<FeedMove>,
}

impl ReloadContext {
    pub fn new(config: &Config, overtaken: Receiver<FeedMove>) -> ReloadContext {
        let Config { name, listen, settings, .. } = config;
        ReloadContext { name: name.clone(), listen: *listen, settings: settings.clone(), overtaken }
    }

    /// Reads the configuration again: the feed moves, all else takes a restart. A faulty one changes nothing.
    fn reload(&self, moves: &Sender<FeedMove>) -> Result<(), ConfigLoadError> {
        let config = Config::load()?;
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
        Ok(())
    }
}

/// How long a configuration that can't be read, or not whole, is read again, and how often.
const RELOAD_PATIENCE: Duration = Duration::from_secs(3);
const RELOAD_PAUSE: Duration = Duration::from_millis(50);

/// Reads the files of the duties and the hierarchy again; false once the desk is gone.
fn reload_more(events: &Sender<Event>) -> bool {
    let setting = CoordinationSettings::from_env().and_then(|read| {
        read.map_err(|e| tracing::error!("reload failed, coordination settings stay as they were: {e}")).ok()
    });
    if let Some(setting) = setting
        && events.send(Event::CoordinationReloaded(Box::new(setting))).is_err()
    {
        return false;
    }
    let told = VersionAnnouncement::from_settings_file().and_then(|read| {
        read.map_err(|e| tracing::error!("reload failed, the old hierarchy stays: {e}")).ok()
    });
    told.is_none_or(|told| events.send(Event::Discovery(DiscoveryEvent::Hierarchy(Box::new(told)))).is_ok())
}

/// Hears signals for ever, or until the desk is gone. A reload that fails is tried again for a while, during which
/// other signals are heard: the file may be in the midst of being written, or no descriptor be left to read it.
pub fn handle_signals(
    mut signals: Signals,
    fixed: &ReloadContext,
    events: &Sender<Event>,
    moves: &Sender<FeedMove>,
) {
    let mut reload_by: Option<Instant> = None;
    loop {
        let heard: Vec<i32> = if reload_by.is_some() {
            std::thread::sleep(RELOAD_PAUSE);
            signals.pending().collect()
        } else {
            signals.wait().collect()
        };
        for signal in heard {
            let told = match signal {
                SIGHUP => {
                    reload_by = Some(Instant::now() + RELOAD_PATIENCE);
                    if !reload_more(events) {
                        return;
                    }
                    Ok(())
                }
                SIGTERM => events.send(Event::Shutdown),
                _ => events.send(Event::LogCounters),
            };
            if told.is_err() {
                return;
            }
        }
        if let Some(by) = reload_by {
            match fixed.reload(moves) {
                Ok(()) => reload_by = None,
                Err(e) if Instant::now() < by && e.is_transient() => tracing::debug!("reload waits: {e}"),
                Err(e) => {
                    tracing::error!("reload failed, the old configuration stays: {e}");
                    reload_by = None;
                }
            }
        }
    }
}
