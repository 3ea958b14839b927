//! What signals ask for: to stop, to log the counters, to read the configuration again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, SendError, Sender, TrySendError};
use sablecross::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use super::config::{Config, ConfigLoadError};
use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::events::Event;
use crate::parent_hierarchy::VersionAnnouncement;
use crate::wire::discovery_client::FeedMove;

/// The signals that are handled.
pub(super) const HANDLED_SIGNALS: [i32; 3] = [SIGHUP, SIGTERM, SIGUSR1];

/// How long a configuration that can't be read, or not all of it, is read again, and how often.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What of the configuration can't change while the director runs.
pub(super) struct FixedConfig {
    name: String,
    listen: SocketAddr,
    settings: Settings,
}

impl FixedConfig {
    pub(super) fn new(config: &Config) -> FixedConfig {
        FixedConfig { name: config.name.clone(), listen: config.listen, settings: config.settings.clone() }
    }
}

/// Handles signals.
pub(super) struct SignalHandler {
    signals: Signals,
    fixed: FixedConfig,
    events: Sender<Event>,
    moves: Sender<FeedMove>,
    /// Moves that the discovery client has not come to yet: a later one takes the place of the oldest, so that no
    /// signal waits behind a feed that is down.
    superseded_moves: Receiver<FeedMove>,
    /// Until when a reload that failed is tried again.
    reload_until: Option<Instant>,
}

impl SignalHandler {
    /// `superseded_moves` is the other end of `moves`.
    pub(super) fn new(
        signals: Signals,
        fixed: FixedConfig,
        events: Sender<Event>,
        moves: Sender<FeedMove>,
        superseded_moves: Receiver<FeedMove>,
    ) -> SignalHandler {
        SignalHandler { signals, fixed, events, moves, superseded_moves, reload_until: None }
    }

    /// Handles signals until the dispatcher is gone. A reload that fails is tried again for a while, during which
    /// other signals are handled: the file may just be being written, or no descriptor be left to read it.
    pub(super) fn run(mut self) {
        loop {
            for signal in self.next_signals() {
                if self.on_signal(signal).is_err() {
                    return;
                }
            }
            if let Some(until) = self.reload_until {
                self.reload(until);
            }
        }
    }

    fn next_signals(&mut self) -> Vec<i32> {
        if self.reload_until.is_some() {
            std::thread::sleep(RELOAD_RETRY_INTERVAL);
            self.signals.pending().collect()
        } else {
            self.signals.wait().collect()
        }
    }

    fn on_signal(&mut self, signal: i32) -> Result<(), SendError<Event>> {
        match signal {
            SIGHUP => {
                self.reload_until = Some(Instant::now() + RELOAD_TIMEOUT);
                self.reload_coordination()?;
                self.reload_hierarchy()
            }
            SIGTERM => self.events.send(Event::Shutdown),
            _ => self.events.send(Event::LogCounters),
        }
    }

    fn reload(&mut self, until: Instant) {
        match self.reload_config() {
            Ok(()) => self.reload_until = None,
            Err(e) if Instant::now() < until && e.is_transient() => tracing::debug!("reload waits: {e}"),
            Err(e) => {
                tracing::error!("reload failed, the old configuration stays: {e}");
                self.reload_until = None;
            }
        }
    }

    /// Reads the configuration again: discovery moves, all else takes a restart. A faulty one changes nothing.
    fn reload_config(&self) -> Result<(), ConfigLoadError> {
        let config = Config::load()?;
        let unchanged = [
            ("name", self.fixed.name == config.name),
            ("listen", self.fixed.listen == config.listen),
            ("settings", self.fixed.settings == config.settings),
        ];
        for (key, _) in unchanged.iter().filter(|(_, is_unchanged)| !is_unchanged) {
            tracing::warn!("reload: {key}: has changed, which takes a restart");
        }
        tracing::info!("reload feed={} known={}", config.feeds[0], config.known.last);
        let mut latest = FeedMove { feeds: config.feeds, known: config.known };
        while let Err(TrySendError::Full(returned)) = self.moves.try_send(latest) {
            latest = returned;
            let _ = self.superseded_moves.try_recv();
        }
        Ok(())
    }

    /// Reads the coordination's settings file again; an error once the dispatcher is gone.
    fn reload_coordination(&self) -> Result<(), SendError<Event>> {
        match CoordinationSettings::from_env() {
            Some(Ok(settings)) => self.events.send(Event::CoordinationReloaded(Box::new(settings))),
            Some(Err(e)) => {
                tracing::error!("reload failed, coordination settings stay as they were: {e}");
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Reads the hierarchy's settings file again; an error once the dispatcher is gone.
    fn reload_hierarchy(&self) -> Result<(), SendError<Event>> {
        match VersionAnnouncement::from_settings_file() {
            Some(Ok(version)) => {
                self.events.send(Event::Discovery(DiscoveryEvent::Hierarchy(Box::new(version))))
            }
            Some(Err(e)) => {
                tracing::error!("reload failed, the old hierarchy stays: {e}");
                Ok(())
            }
            None => Ok(()),
        }
    }
}
