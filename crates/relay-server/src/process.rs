//! A relay's process: its log, its signals, its end.

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

/// Which parts are logged, and from which level on; as for directors.
const FILTER_VARIABLE: &str = "RUST_LOG";
/// `json`: each line is an object; as for directors.
const FORMAT_VARIABLE: &str = "SABLECROSS_LOG";

fn start_logging() {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let filter = filter.parse::<Targets>().ok().filter(|_| !filter.is_empty());
    let filter = filter.unwrap_or_else(|| Targets::new().with_default(Level::INFO));
    let lines = fmt::layer().with_writer(stderr).with_ansi(false);
    let layer = match std::env::var(FORMAT_VARIABLE).as_deref() {
        Ok("json") => lines.json().flatten_event(true).with_filter(filter).boxed(),
        _ => lines.with_filter(filter).boxed(),
    };
    // A program that logs already keeps its own way.
    let _ = Registry::default().with(layer).try_init();
}

/// Runs a relay until SIGTERM, and for the short time in which it hands over and ends its streams. SIGUSR1 logs its
/// status.
pub fn run(config: RelayServerConfig) -> Result<(), ServerError> {
    start_logging();
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

/// Ends this program with the one that started it, however that ends: then the pipe that this one reads is closed.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}
