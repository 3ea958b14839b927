//! Stub servers on loopback that take the place of the discovery source and the nodes.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::discovery;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The events that a stub discovery source sends. It sends the initial purges as soon as a director connects, with times
/// spread over the `initial_span_ms` milliseconds before; then it sends events at a fixed rate, in batches. If
/// `batch_interval` is zero, it sends each event on its own.
#[derive(Clone, Copy)]
pub(super) struct FeedScript {
    pub(super) initial_purges: u64,
    pub(super) initial_span_ms: f64,
    pub(super) events_per_s: f64,
    pub(super) batch_interval: Duration,
    pub(super) sends_changes: bool,
}

/// A script without events: the source sends only the comments that keep the stream alive.
pub(super) const KEEPALIVES_ONLY: FeedScript = FeedScript {
    initial_purges: 0,
    initial_span_ms: 0.0,
    events_per_s: 0.0,
    batch_interval: Duration::from_millis(100),
    sends_changes: false,
};

/// A server on loopback that stops when it is dropped.
pub(super) struct StubServer {
    pub(super) address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The connection wakes the listener thread, which then sees `stop`.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves each connection on a thread of its own until the returned server is dropped.
pub(super) fn serve_connections(
    serve: impl Fn(TcpStream, &AtomicBool) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<StubServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (address, stop) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
    let (serve, stop_accepting) = (Arc::new(serve), Arc::clone(&stop));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stop_accepting.load(Ordering::Relaxed) {
                return;
            }
            let (serve, stop) = (Arc::clone(&serve), Arc::clone(&stop_accepting));
            // The error of a connection is ignored: the director reconnects after it.
            thread::spawn(move || serve(stream, &stop));
        }
    });
    Ok(StubServer { address, stop })
}

/// Answers one request of a director with an event stream.
pub(super) fn serve_feed(mut stream: TcpStream, stop: &AtomicBool, script: FeedScript) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while request.read_line(&mut line)? > 2 {
        line.clear();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let (now, mut n) = (unix_ms(), 2);
    let mut text = String::new();
    for index in 0..script.initial_purges {
        text += &discovery::purge_event_at(
            n,
            now - ((script.initial_purges - index) as f64 / script.initial_purges as f64
                * script.initial_span_ms) as u64,
        );
        n += 1;
    }
    stream.write_all(text.as_bytes())?;
    let (started, mut sent, mut last_keepalive_s) = (Instant::now(), 0u64, 0u64);
    while !stop.load(Ordering::Relaxed) {
        let elapsed = started.elapsed();
        text.clear();
        while (sent as f64) < elapsed.as_secs_f64() * script.events_per_s {
            text += &if script.sends_changes {
                discovery::change_event(n)
            } else {
                discovery::purge_event_at(n, unix_ms())
            };
            (n, sent) = (n + 1, sent + 1);
            if script.batch_interval.is_zero() {
                stream.write_all(text.as_bytes())?;
                text.clear();
            }
        }
        if elapsed.as_secs() > last_keepalive_s {
            last_keepalive_s = elapsed.as_secs();
            text += ": .\n\n";
        }
        stream.write_all(text.as_bytes())?;
        thread::sleep(script.batch_interval.max(Duration::from_millis(1)));
    }
    Ok(())
}

/// Answers each attempt at once with a cache hit whose body has `body_length` bytes.
pub(super) fn serve_node(mut stream: TcpStream, stop: &AtomicBool, body_length: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let body = vec![b'x'; body_length];
    let mut line = String::new();
    while !stop.load(Ordering::Relaxed) {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (Some("PULL"), Some(id), Some(_), Some(request_length)) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            continue;
        };
        let request_length: u64 = request_length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        io::copy(&mut (&mut reader).take(request_length + 2), &mut io::sink())?;
        let issued = unix_ms();
        let mut out = format!("{id} ACK how=HIT,entity=00000000000000a1,issued={issued} {body_length}\r\n")
            .into_bytes();
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        stream.write_all(&out)?;
    }
    Ok(())
}
