//! Stand-ins for the discovery source and the nodes, on loopback.

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

/// What a feed tells: so many at once when it is called, spread over the time before; then at a rate, in
/// batches.
#[derive(Clone, Copy)]
pub(super) struct FeedScript {
    pub(super) initial_purges: u64,
    pub(super) initial_span_ms: f64,
    pub(super) events_per_s: f64,
    pub(super) batch_interval: Duration,
    pub(super) sends_changes: bool,
}

pub(super) const QUIET: FeedScript = FeedScript {
    initial_purges: 0,
    initial_span_ms: 0.0,
    events_per_s: 0.0,
    batch_interval: Duration::from_millis(100),
    sends_changes: false,
};

pub(super) struct StubServer {
    pub(super) address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves each connection by a thread of its own until it is dropped.
pub(super) fn serve_connections(
    serve: impl Fn(TcpStream, &AtomicBool) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<StubServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (at, over) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
    let (serve, ends) = (Arc::new(serve), Arc::clone(&over));
    thread::spawn(move || {
        for link in listener.incoming().flatten() {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            let (serve, ends) = (Arc::clone(&serve), Arc::clone(&ends));
            // A connection that breaks off is made again by its director.
            thread::spawn(move || serve(link, &ends));
        }
    });
    Ok(StubServer { address: at, stop: over })
}

pub(super) fn serve_feed(mut link: TcpStream, over: &AtomicBool, told: FeedScript) -> io::Result<()> {
    link.set_nodelay(true)?;
    let mut asked = BufReader::new(link.try_clone()?);
    let mut line = String::new();
    while asked.read_line(&mut line)? > 2 {
        line.clear();
    }
    link.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let (now, mut n) = (unix_ms(), 2);
    let mut text = String::new();
    for at in 0..told.initial_purges {
        text += &discovery::purge_event_at(
            n,
            now - ((told.initial_purges - at) as f64 / told.initial_purges as f64 * told.initial_span_ms)
                as u64,
        );
        n += 1;
    }
    link.write_all(text.as_bytes())?;
    let (begun, mut said, mut alive) = (Instant::now(), 0u64, 0u64);
    while !over.load(Ordering::Relaxed) {
        let passed = begun.elapsed();
        text.clear();
        while (said as f64) < passed.as_secs_f64() * told.events_per_s {
            text += &if told.sends_changes {
                discovery::change_event(n)
            } else {
                discovery::purge_event_at(n, unix_ms())
            };
            (n, said) = (n + 1, said + 1);
            if told.batch_interval.is_zero() {
                link.write_all(text.as_bytes())?;
                text.clear();
            }
        }
        if passed.as_secs() > alive {
            alive = passed.as_secs();
            text += ": .\n\n";
        }
        link.write_all(text.as_bytes())?;
        thread::sleep(told.batch_interval.max(Duration::from_millis(1)));
    }
    Ok(())
}

/// A node that has all there is, and answers at once with a body of this length.
pub(super) fn serve_node(mut link: TcpStream, over: &AtomicBool, length: usize) -> io::Result<()> {
    link.set_nodelay(true)?;
    let mut reader = BufReader::new(link.try_clone()?);
    let body = vec![b'x'; length];
    let mut line = String::new();
    while !over.load(Ordering::Relaxed) {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (Some("PULL"), Some(id), Some(_), Some(asked)) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            continue;
        };
        let asked: u64 = asked.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        io::copy(&mut (&mut reader).take(asked + 2), &mut io::sink())?;
        let issued = unix_ms();
        let mut out =
            format!("{id} ACK how=HIT,entity=00000000000000a1,issued={issued} {length}\r\n").into_bytes();
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        link.write_all(&out)?;
    }
    Ok(())
}
