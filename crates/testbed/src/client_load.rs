//! Client load: each client has a connection to one director and sends one lookup at a time, at a fixed interval. The
//! encoding of requests and answers is shared by all trials.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rmp::{decode, encode};
use sablecross::parent_position;

use crate::clock::unix_ms;
use crate::threads::lock;
use crate::trial_state::TrialState;

/// The time budget of a client's lookup. The directors' settings have the same value.
pub(crate) const BUDGET_MS: u64 = 800;
/// How long after a purge older copies may still be served.
const PURGE_GRACE_MS: u64 = 2_500;
/// How much longer than the budget a client waits before it counts a lookup as unanswered.
const ANSWER_TOLERANCE_MS: u64 = 3_000;
/// The request class of all lookups.
const REQUEST_CLASS: &str = "footage";
/// The number of hexadecimal digits at the start of an answer's body that hold the issue time of the copy.
const ISSUED_TIME_DIGITS: usize = 16;

/// The time and latency of a lookup that succeeded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedLatency {
    /// The second of the trial in which the answer arrived.
    pub(crate) second: u64,
    pub(crate) micros: u64,
}

/// The counts of one client.
#[derive(Default)]
pub(crate) struct ClientStats {
    pub(crate) requests: u64,
    pub(crate) succeeded: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    /// Requests that ended without an answer.
    pub(crate) unanswered: u64,
    /// Answers without a matching lookup, repeated answers, bytes that are not a valid answer, and successes whose body
    /// does not begin with an issue time.
    pub(crate) unexpected: u64,
    /// Answers with a copy from before a purge, to lookups sent after the grace period of the purge.
    pub(crate) stale: u64,
    /// The latencies of the requests that succeeded.
    pub(crate) latencies: Vec<TimedLatency>,
}

/// The time of the last purge of each object, in Unix milliseconds.
pub(crate) type Purges = Arc<Mutex<HashMap<u64, u64>>>;

/// A client of one director.
pub(crate) struct Client {
    pub(crate) director: SocketAddr,
    /// The client's number, from 1.
    pub(crate) number: u64,
    pub(crate) seed: u64,
    /// The number of distinct objects that clients look up.
    pub(crate) objects: u64,
    /// The time between two lookups.
    pub(crate) interval: Duration,
    pub(crate) purges: Purges,
    pub(crate) trial: Arc<TrialState>,
}

/// A director's answer.
pub enum Response {
    /// The object's bytes.
    Success(Vec<u8>),
    /// The request was rejected and may be sent again.
    Rejected,
    /// The request has failed.
    Failed,
}

impl Client {
    /// Sends lookups until the trial is over.
    pub(crate) fn run(self) -> ClientStats {
        let mut stats = ClientStats::default();
        let mut rng = Pcg32::seed_from_u64(self.seed ^ self.number.wrapping_mul(0x9e37_79b9));
        let mut connection = None;
        let mut call = 0u32;
        let mut next = Instant::now() + self.interval.mul_f64(rng.random());
        while !self.trial.is_over() {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            // Skip lookups that are overdue, so that a slow answer is not followed by a burst of lookups.
            next = (next + self.interval).max(Instant::now());
            let object = (self.objects as f64 * rng.random::<f64>().powi(3)) as u64;
            if connection.is_none() {
                connection = TcpStream::connect(self.director).ok();
                call = 0;
            }
            let Some(stream) = connection.as_mut() else { continue };
            call += 1;
            if self.send_lookup(stream, call, object, &mut stats).is_err() {
                connection = None;
            }
        }
        stats
    }

    /// Sends one lookup, waits for its answer and counts it. After an error the connection must not be used again.
    fn send_lookup(
        &self,
        stream: &mut TcpStream,
        call: u32,
        object: u64,
        stats: &mut ClientStats,
    ) -> io::Result<()> {
        let (sent, sent_ms) = (Instant::now(), unix_ms());
        stats.requests += 1;
        let answer = self.exchange(stream, call, object, stats.requests);
        let latency = sent.elapsed();
        match answer {
            Ok(Response::Success(body)) => {
                self.on_success(object, &body, sent_ms, latency, stats);
            }
            Ok(Response::Rejected) => {
                stats.rejected += 1;
                self.trial.count(|second| second.rejected += 1);
            }
            Ok(Response::Failed) => {
                stats.failed += 1;
                self.trial.count(|second| second.failed += 1);
            }
            Err(e) => {
                if e.kind() == ErrorKind::InvalidData {
                    stats.unexpected += 1;
                } else {
                    stats.unanswered += 1;
                }
                return Err(e);
            }
        }
        Ok(())
    }

    fn exchange(&self, stream: &mut TcpStream, call: u32, object: u64, number: u64) -> io::Result<Response> {
        stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS + ANSWER_TOLERANCE_MS)))?;
        stream.set_nodelay(true)?;
        stream.write_all(&encode_request(self.number << 32 | number, call, object))?;
        read_response(stream, call)
    }

    fn on_success(&self, object: u64, body: &[u8], sent_ms: u64, latency: Duration, stats: &mut ClientStats) {
        stats.succeeded += 1;
        self.trial.count(|second| second.satisfied += 1);
        let issued_ms = issued_ms_of(body);
        let purged_ms = lock(&self.purges).get(&object).copied();
        let oldest_ms = purged_ms.filter(|purged| sent_ms > purged + PURGE_GRACE_MS);
        stats.unexpected += u64::from(issued_ms.is_none());
        stats.stale += u64::from(oldest_ms.zip(issued_ms).is_some_and(|(oldest, issued)| issued < oldest));
        let second = self.trial.started.elapsed().as_secs();
        stats.latencies.push(TimedLatency { second, micros: latency.as_micros() as u64 });
    }
}

/// When the copy in an answer was issued, in Unix milliseconds.
fn issued_ms_of(body: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(body.get(..ISSUED_TIME_DIGITS).unwrap_or_default()).ok()?;
    u64::from_str_radix(digits, 16).ok()
}

/// Encodes a lookup of an object as a client sends it.
pub fn encode_request(request: u64, call: u32, object: u64) -> Vec<u8> {
    let request = format!("{request:016x}");
    let budget = BUDGET_MS.to_string();
    // Sizes of 4 to 16 KB, so that lookups differ in transfer cost and therefore in value.
    let size_kb = (4 + parent_position(object) % 13).to_string();
    let object = format!("{object:016x}");
    let fields = [
        ("rid", &*request),
        ("budget", &*budget),
        ("obj", &*object),
        ("piece", "0"),
        ("lot", "1"),
        ("mem", &*size_kb),
    ];
    encode_call(call, REQUEST_CLASS, &fields)
}

/// Encodes a MessagePack-RPC request. The method is the request class, the arguments are the fields and an empty body.
pub(crate) fn encode_call(call: u32, class: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut message = vec![0x94, 0];
    // Writing to a `Vec` does not fail.
    let _ = encode::write_uint(&mut message, u64::from(call));
    let _ = encode::write_str(&mut message, class);
    let _ = encode::write_array_len(&mut message, 2);
    let _ = encode::write_map_len(&mut message, fields.len() as u32);
    for text in fields.iter().flat_map(|(name, value)| [name, value]) {
        let _ = encode::write_str(&mut message, text);
    }
    message.extend([0xc4, 0]);
    message
}

fn invalid_data<E>(_: E) -> io::Error {
    ErrorKind::InvalidData.into()
}

/// Reads the answer to this call. An answer to another call is an error of kind `InvalidData`.
fn read_response(stream: &mut TcpStream, call: u32) -> io::Result<Response> {
    let (number, answer) = read_any_response(stream)?;
    if number == call { Ok(answer) } else { Err(invalid_data(())) }
}

/// Reads the next answer. Returns the number of its call and the answer.
///
/// # Errors
///
/// Returns `ErrorKind::InvalidData` for bytes that are not a valid answer, and also if the connection fails where a
/// number or a length is expected. Otherwise returns the error of the connection.
pub fn read_any_response(stream: &mut impl Read) -> io::Result<(u32, Response)> {
    let mut byte = [0; 1];
    stream.read_exact(&mut byte)?;
    if byte != [0x94] {
        return Err(invalid_data(()));
    }
    let kind: u8 = decode::read_int(stream).map_err(invalid_data)?;
    let call: u32 = decode::read_int(stream).map_err(invalid_data)?;
    if kind != 1 {
        return Err(invalid_data(()));
    }
    stream.read_exact(&mut byte)?;
    match byte {
        // An array: the error. The result is nil.
        [0x92] => Ok((call, read_failure(stream)?)),
        // Nil in place of the error. The result follows.
        [0xc0] => Ok((call, read_success(stream)?)),
        _ => Err(invalid_data(())),
    }
}

fn read_failure(stream: &mut impl Read) -> io::Result<Response> {
    let word = read_text(stream)?;
    skip_fields(stream)?;
    decode::read_nil(stream).map_err(invalid_data)?;
    Ok(if word == "Rejected" { Response::Rejected } else { Response::Failed })
}

fn read_success(stream: &mut impl Read) -> io::Result<Response> {
    if decode::read_array_len(stream).map_err(invalid_data)? != 2 {
        return Err(invalid_data(()));
    }
    let length = decode::read_bin_len(stream).map_err(invalid_data)?;
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body)?;
    skip_fields(stream)?;
    Ok(Response::Success(body))
}

fn read_text(stream: &mut impl Read) -> io::Result<String> {
    let length = decode::read_str_len(stream).map_err(invalid_data)?;
    let mut text = vec![0; length as usize];
    stream.read_exact(&mut text)?;
    String::from_utf8(text).map_err(invalid_data)
}

fn skip_fields(stream: &mut impl Read) -> io::Result<()> {
    for _ in 0..decode::read_map_len(stream).map_err(invalid_data)? {
        read_text(stream)?;
        read_text(stream)?;
    }
    Ok(())
}

/// A histogram of latencies in microseconds, from which percentiles are read.
pub(crate) fn histogram(micros: impl Iterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    micros.for_each(|us| histogram.saturating_record(us.max(1)));
    histogram
}
