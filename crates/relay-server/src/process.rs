//! A relay's life: the log, signals, the end.

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

/// Which parts are heard, and from which level on; `json`: each line is an object. As a director has them.
const FILTER: &str = "RUST_LOG";
const FORM: &str = "SABLECROSS_LOG";

fn journal() {
    let asked = std::env::var(FILTER).unwrap_or_default();
    let filter = asked.parse::<Targets>().ok().filter(|_| !asked.is_empty());
    let filter = filter.unwrap_or_else(|| Targets::new().with_default(Level::INFO));
    let lines = fmt::layer().with_writer(stderr).with_ansi(false);
    let layer = match std::env::var(FORM).as_deref() {
        Ok("json") => lines.json().flatten_event(true).with_filter(filter).boxed(),
        _ => lines.with_filter(filter).boxed(),
    };
    // A program that has begun its log already keeps that.
    let _ = Registry::default().with(layer).try_init();
}

/// Runs a relay until SIGTERM, and the little while in which it hands over and ends its streams.
pub fn run(setting: RelayServerConfig) -> Result<(), ServerError> {
    journal();
    let mut signals = Signals::new([SIGTERM, SIGUSR1]).map_err(|e| ServerError::Io("signals", e))?;
    let (server, inbox) = Server::new(setting)?;
    let heard = move || {
        for signal in signals.forever() {
            if !inbox.tell(if signal == SIGTERM { ServerEvent::Stop } else { ServerEvent::LogStatus }) {
                return;
            }
        }
    };
    spawn("signals".into(), heard).map_err(|e| ServerError::Io("a thread", e))?;
    server.serve()
}

/// Ends this program with the one that started it, however that ends: then the pipe that it reads is closed.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}
