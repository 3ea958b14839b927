//! Runs a relay as a process: sets up logging, handles signals, and exits.

use std::io::stderr;

use signal_hook::consts::{SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use tracing::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, fmt};

use crate::peers::{ServerEvent, spawn};
use crate::server::{Server, ServerError};
use crate::settings::RelayServerConfig;

/// Names the targets to log, each with its lowest level, as for directors.
const LOG_FILTER_VARIABLE: &str = "RUST_LOG";
/// With the value `json`, each log line is a JSON object, as for directors.
const LOG_FORMAT_VARIABLE: &str = "SABLECROSS_LOG";

fn init_logging() {
    let filter = std::env::var(LOG_FILTER_VARIABLE).unwrap_or_default();
    let filter = filter.parse::<Targets>().ok().filter(|_| !filter.is_empty());
    let filter = filter.unwrap_or_else(|| Targets::new().with_default(Level::INFO));
    let lines = fmt::layer().with_writer(stderr).with_ansi(false);
    let layer = match std::env::var(LOG_FORMAT_VARIABLE).as_deref() {
        Ok("json") => lines.json().flatten_event(true).with_filter(filter).boxed(),
        _ => lines.with_filter(filter).boxed(),
    };
    // If the program has installed a subscriber already, that one stays.
    let _ = Registry::default().with(layer).try_init();
}

/// Runs a relay until SIGTERM. After the signal it hands over leadership and ends its streams, which takes less than a
/// second. SIGUSR1 logs the relay's status.
pub fn run(config: RelayServerConfig) -> Result<(), ServerError> {
    init_logging();
    let mut signals = Signals::new([SIGTERM, SIGUSR1]).map_err(ServerError::io("handling signals"))?;
    let (server, inbox) = Server::new(config)?;
    let forward_signals = move || {
        for signal in signals.forever() {
            let event = if signal == SIGTERM { ServerEvent::Stop } else { ServerEvent::LogStatus };
            if !inbox.send(event) {
                return;
            }
        }
    };
    spawn("signals".into(), forward_signals).map_err(ServerError::io("starting a thread"))?;
    server.serve()
}

/// Exits this process when its parent ends, for whatever reason: standard input, a pipe from the parent, is then
/// closed.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}
