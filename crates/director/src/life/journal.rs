//! The log: a line for each event on standard error, with its fields, as text or as JSON.

use std::io::stderr;

use tracing::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, fmt};

/// Which parts are heard, and from which level on: `info` if it is not set or can't be read.
const FILTER: &str = "RUST_LOG";
/// `json`: each line is an object.
const FORM: &str = "SABLECROSS_LOG";

/// Once, at the start of the program.
pub fn begin() {
    let asked = std::env::var(FILTER).unwrap_or_default();
    let filter = asked.parse::<Targets>().ok().filter(|_| !asked.is_empty());
    let filter = filter.unwrap_or_else(|| Targets::new().with_default(Level::INFO));
    let lines = fmt::layer().with_writer(stderr).with_ansi(false);
    let layer = match std::env::var(FORM).as_deref() {
        Ok("json") => lines.json().flatten_event(true).with_filter(filter).boxed(),
        _ => lines.with_filter(filter).boxed(),
    };
    Registry::default().with(layer).init();
}
