//! Clients: each has a connection to one director and asks by the clock, one lookup at a time.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rmp::{decode, encode};
use sablecross::parent_position;

use crate::clock::unix_ms;
use crate::node_stub::TrialState;
use crate::threads::lock;

/// How long a client waits; the directors' settings say the same.
pub const BUDGET_MS: u64 = 800;
/// A purge is known everywhere this much later.
pub const GRACE_MS: u64 = 2_500;

/// What one client saw.
#[derive(Default)]
pub struct ClientStats {
    pub requests: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Ended with no answer, and answered what was not asked or twice.
    pub unanswered: u64,
    pub unexpected: u64,
    /// Answered with a copy from before a purge, after its grace.
    pub stale: u64,
    /// By the second of the experiment, microseconds.
    pub latencies: Vec<(u64, u64)>,
}

/// When each object was purged last.
pub type Purges = Arc<Mutex<HashMap<u64, u64>>>;

pub struct Client {
    pub director: SocketAddr,
    pub number: u64,
    pub seed: u64,
    pub objects: u64,
    pub every: Duration,
    pub purges: Purges,
    pub common: Arc<TrialState>,
}

pub enum Response {
    Success(Vec<u8>),
    Rejected,
    Failed,
}

impl Client {
    pub fn run(self) -> ClientStats {
        let mut seen = ClientStats::default();
        let mut rng = Pcg32::seed_from_u64(self.seed ^ self.number.wrapping_mul(0x9e37_79b9));
        let mut stream = None;
        let mut call = 0u32;
        let mut next = Instant::now() + self.every.mul_f64(rng.random());
        while !self.common.is_over() {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            // No backlog: a slow answer does not make a burst of the next ones.
            next = (next + self.every).max(Instant::now());
            let object = (self.objects as f64 * rng.random::<f64>().powi(3)) as u64;
            if stream.is_none() {
                stream = TcpStream::connect(self.director).ok();
                call = 0;
            }
            let Some(link) = stream.as_mut() else { continue };
            call += 1;
            let (sent, sent_ms) = (Instant::now(), unix_ms());
            seen.requests += 1;
            let answer = link
                .set_read_timeout(Some(Duration::from_millis(BUDGET_MS + 3_000)))
                .and_then(|()| link.set_nodelay(true))
                .and_then(|()| self.write(link, call, object, seen.requests))
                .and_then(|()| read_response(link, call));
            let took = sent.elapsed();
            match answer {
                Ok(Response::Success(body)) => {
                    seen.succeeded += 1;
                    self.common.count(|s| s.satisfied += 1);
                    let issued = std::str::from_utf8(body.get(..16).unwrap_or_default());
                    let issued = issued.ok().and_then(|i| u64::from_str_radix(i, 16).ok());
                    let purged = lock(&self.purges).get(&object).copied();
                    let bound = purged.filter(|at| sent_ms > at + GRACE_MS);
                    seen.unexpected += u64::from(issued.is_none());
                    seen.stale += u64::from(bound.zip(issued).is_some_and(|(at, issued)| issued < at));
                    let at = self.common.begun.elapsed().as_secs();
                    seen.latencies.push((at, took.as_micros() as u64));
                }
                Ok(Response::Rejected) => {
                    seen.rejected += 1;
                    self.common.count(|s| s.nacked += 1);
                }
                Ok(Response::Failed) => {
                    seen.failed += 1;
                    self.common.count(|s| s.failed += 1);
                }
                Err(e) => {
                    if e.kind() == std::io::ErrorKind::InvalidData {
                        seen.unexpected += 1;
                    } else {
                        seen.unanswered += 1;
                    }
                    stream = None;
                }
            }
        }
        seen
    }

    fn write(&self, link: &mut TcpStream, call: u32, object: u64, number: u64) -> std::io::Result<()> {
        link.write_all(&encode_request(self.number << 32 | number, call, object))
    }
}

/// Encodes a lookup of an object, as a client writes it.
pub fn encode_request(request: u64, call: u32, object: u64) -> Vec<u8> {
    let request = format!("{request:016x}");
    let budget = BUDGET_MS.to_string();
    // Sizes of 4 to 16 KB: lookups differ in the cost of their transfer, and so in what they are worth.
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
    encode_call(call, "footage", &fields)
}

/// Encodes a MessagePack-RPC request: its method is the request class, its arguments are the fields and no body.
pub(crate) fn encode_call(call: u32, class: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut message = vec![0x94, 0];
    // Writing into memory does not fail.
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

fn invalid_data<E>(_: E) -> std::io::Error {
    std::io::ErrorKind::InvalidData.into()
}

/// Reads the answer to this call. Any other is strange; a reset or a silence is the connection's error.
fn read_response(link: &mut TcpStream, call: u32) -> std::io::Result<Response> {
    let (number, answer) = read_any_response(link)?;
    if number == call { Ok(answer) } else { Err(invalid_data(())) }
}

/// Reads the next answer and the number of its call.
pub fn read_any_response(link: &mut impl Read) -> std::io::Result<(u32, Response)> {
    let mut first = [0; 1];
    link.read_exact(&mut first)?;
    if first != [0x94] {
        return Err(invalid_data(()));
    }
    let kind: u8 = decode::read_int(link).map_err(invalid_data)?;
    let number: u32 = decode::read_int(link).map_err(invalid_data)?;
    if kind != 1 {
        return Err(invalid_data(()));
    }
    link.read_exact(&mut first)?;
    if first == [0x92] {
        let word = read_text(link)?;
        skip_fields(link)?;
        decode::read_nil(link).map_err(invalid_data)?;
        return Ok((number, if word == "Rejected" { Response::Rejected } else { Response::Failed }));
    }
    if first != [0xc0] || decode::read_array_len(link).map_err(invalid_data)? != 2 {
        return Err(invalid_data(()));
    }
    let length = decode::read_bin_len(link).map_err(invalid_data)?;
    let mut body = vec![0; length as usize];
    link.read_exact(&mut body)?;
    skip_fields(link)?;
    Ok((number, Response::Success(body)))
}

fn read_text(link: &mut impl Read) -> std::io::Result<String> {
    let length = decode::read_str_len(link).map_err(invalid_data)?;
    let mut text = vec![0; length as usize];
    link.read_exact(&mut text)?;
    String::from_utf8(text).map_err(invalid_data)
}

fn skip_fields(link: &mut impl Read) -> std::io::Result<()> {
    for _ in 0..decode::read_map_len(link).map_err(invalid_data)? {
        read_text(link)?;
        read_text(link)?;
    }
    Ok(())
}

/// Percentiles of latencies, in microseconds.
pub fn histogram(of: impl Iterator<Item = u64>) -> Histogram<u64> {
    let mut all = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that a histogram can have");
    of.for_each(|us| all.saturating_record(us.max(1)));
    all
}
