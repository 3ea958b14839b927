//! Handles the signals to stop, to log the counters and to reload the configuration.

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
use crate::wire::discovery_client::FeedChange;

/// The signals that are handled.
pub(super) const HANDLED_SIGNALS: [i32; 3] = [SIGHUP, SIGTERM, SIGUSR1];

/// How long a reload is retried if the configuration can't be read or is incomplete.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between these retries.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The part of the configuration that can't change while the director runs.
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
    feed_changes: Sender<FeedChange>,
    /// The changes of the feeds that the discovery client has not received yet. If the queue is full, the oldest one is
    /// removed to make room for a new one, so that no signal has to wait while a feed is down.
    pending_feed_changes: Receiver<FeedChange>,
    /// The time until which a failed reload is retried.
    reload_deadline: Option<Instant>,
}

impl SignalHandler {
    /// Creates a handler. `pending_feed_changes` is the receiving end of `feed_changes`.
    pub(super) fn new(
        signals: Signals,
        fixed: FixedConfig,
        events: Sender<Event>,
        feed_changes: Sender<FeedChange>,
        pending_feed_changes: Receiver<FeedChange>,
    ) -> SignalHandler {
        SignalHandler { signals, fixed, events, feed_changes, pending_feed_changes, reload_deadline: None }
    }

    /// Handles signals until the dispatcher is gone. A failed reload is retried for a while, during which other signals
    /// are handled: the file may still be being written, or no descriptor may be left to read it.
    pub(super) fn run(mut self) {
        loop {
            for signal in self.next_signals() {
                if self.on_signal(signal).is_err() {
                    return;
                }
            }
            if let Some(deadline) = self.reload_deadline {
                self.reload(deadline);
            }
        }
    }

    fn next_signals(&mut self) -> Vec<i32> {
        if self.reload_deadline.is_some() {
            std::thread::sleep(RELOAD_RETRY_INTERVAL);
            self.signals.pending().collect()
        } else {
            self.signals.wait().collect()
        }
    }

    fn on_signal(&mut self, signal: i32) -> Result<(), SendError<Event>> {
        match signal {
            SIGHUP => {
                self.reload_deadline = Some(Instant::now() + RELOAD_TIMEOUT);
                self.reload_coordination()?;
                self.reload_hierarchy()
            }
            SIGTERM => self.events.send(Event::Shutdown),
            _ => self.events.send(Event::LogCounters),
        }
    }

    fn reload(&mut self, deadline: Instant) {
        match self.reload_config() {
            Ok(()) => self.reload_deadline = None,
            Err(e) if Instant::now() < deadline && e.is_transient() => tracing::debug!("reload retry: {e}"),
            Err(e) => {
                tracing::error!("reload failed, the old configuration stays: {e}");
                self.reload_deadline = None;
            }
        }
    }

    /// Reloads the configuration. Only the feeds and the known events of discovery are applied; all other changes
    /// require a restart. An invalid configuration changes nothing.
    fn reload_config(&self) -> Result<(), ConfigLoadError> {
        let config = Config::load()?;
        let unchanged = [
            ("name", self.fixed.name == config.name),
            ("listen", self.fixed.listen == config.listen),
            ("settings", self.fixed.settings == config.settings),
        ];
        for (key, _) in unchanged.iter().filter(|(_, is_unchanged)| !is_unchanged) {
            tracing::warn!("reload: {key}: has changed, which takes effect after a restart");
        }
        tracing::info!("reload feed={} known={}", config.feeds[0], config.known.last);
        let mut latest = FeedChange { feeds: config.feeds, known: config.known };
        while let Err(TrySendError::Full(returned)) = self.feed_changes.try_send(latest) {
            latest = returned;
            let _ = self.pending_feed_changes.try_recv();
        }
        Ok(())
    }

    /// Reloads the settings file of coordination. Returns an error if the dispatcher is gone.
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

    /// Reloads the settings file of the hierarchy. Returns an error if the dispatcher is gone.
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
