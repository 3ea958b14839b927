//! The log: one line for each event on standard error, with its fields, as text or as JSON.
//!
//! A separate thread writes the lines. The reader of standard error may stop reading, exit, or have no disk space left:
//! the threads that serve requests never wait for that. Lines that find the queue full are dropped and counted.

use std::io::{self, Write, stderr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, fmt};

use super::startup::StartupRetry;

/// The environment variable that selects which modules are logged, and from which level on. The filter is `info` if the
/// variable is not set or can't be parsed.
const FILTER_VARIABLE: &str = "RUST_LOG";
/// The environment variable that selects the format of the lines. With `json`, each line is a JSON object.
const FORMAT_VARIABLE: &str = "SABLECROSS_LOG";
/// The maximum number of lines that wait to be written.
const QUEUE_LENGTH: usize = 4_096;
const STACK_BYTES: usize = 128 << 10;
/// How long the end of the program waits for room in the queue, and then again for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Message {
    Line(Vec<u8>),
    /// All lines before this message are to be written; then the sender is dropped.
    Flush(Sender<()>),
}

/// The writer of the threads that log, which queues their lines.
#[derive(Clone)]
struct LineQueue {
    messages: Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.messages.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the program ends. A line that can't be written is lost, because the error can't be reported
/// anywhere else.
fn write_lines(messages: &Receiver<Message>, dropped: &AtomicU64) {
    for message in messages {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(written) => {
                drop(written);
                continue;
            }
        };
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(stderr(), "{lost} log lines were dropped here");
        }
        let _ = stderr().write_all(&line);
    }
}

/// The log of the program.
pub(super) struct LogWriter {
    messages: Option<Sender<Message>>,
}

impl LogWriter {
    /// Starts the log. This is called once, when the program starts. If the thread can't be started, lines are written
    /// directly.
    pub(super) fn start(startup: &StartupRetry) -> LogWriter {
        let (messages, waiting) = bounded(QUEUE_LENGTH);
        let dropped = Arc::new(AtomicU64::new(0));
        let started = startup.retry(|| {
            let (waiting, dropped) = (waiting.clone(), Arc::clone(&dropped));
            let body = move || write_lines(&waiting, &dropped);
            thread::Builder::new().name("log".into()).stack_size(STACK_BYTES).spawn(body)
        });
        let queue = LineQueue { messages: messages.clone(), dropped };
        match started {
            Ok(_) => subscribe(BoxMakeWriter::new(move || queue.clone())),
            Err(_) => subscribe(BoxMakeWriter::new(stderr)),
        }
        LogWriter { messages: started.is_ok().then_some(messages) }
    }

    /// Waits for a bounded time until the last lines are written.
    pub(super) fn flush(self) {
        let Some(messages) = self.messages else { return };
        let (written, done) = bounded(0);
        if messages.send_timeout(Message::Flush(written), FLUSH_TIMEOUT).is_ok() {
            // This wait ends when the log thread drops the sender, after it has written all lines before the message.
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn subscribe(writer: BoxMakeWriter) {
    let directives = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let filter = directives.parse::<Targets>().ok().filter(|_| !directives.is_empty());
    let filter = filter.unwrap_or_else(|| Targets::new().with_default(Level::INFO));
    // An error of the log must not be logged, because that would panic.
    let lines = fmt::layer().with_writer(writer).with_ansi(false).log_internal_errors(false);
    let layer = match std::env::var(FORMAT_VARIABLE).as_deref() {
        Ok("json") => lines.json().flatten_event(true).with_filter(filter).boxed(),
        _ => lines.with_filter(filter).boxed(),
    };
    Registry::default().with(layer).init();
}
