//! The relays of a trial: their settings, processes, regions, and the links between them and to the real directors, which
//! this program passes on and cuts.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use sablecross_relay_server::settings::MemberForm;

use super::settings::Scale;
use super::source::owner;
use crate::director_process::PortAllocator;
use crate::fleet::link_proxy::{HeldDirections, LinkProxies, Pair, PlannedLink};
use crate::process::{ChildProcess, TrialError, io_error};

const WITHIN: Duration = Duration::from_secs(30);

/// This program under other words.
pub type Program<'a> = &'a dyn Fn(&[&str]) -> Command;

pub struct Relay {
    pub name: String,
    pub at: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    process: ChildProcess,
    /// CPU seconds of its lives before this one.
    used: f64,
    pub down: bool,
}

impl Relay {
    fn spawn(program: Program, file: &Path, log: &Path) -> Result<ChildProcess, TrialError> {
        let mut command = program(&["relay", "run", "--with-parent"]);
        command.arg(file).stdout(Stdio::null());
        ChildProcess::start(&mut command, log, "a relay")
    }

    pub fn cpu(&self) -> f64 {
        self.used + if self.down { 0.0 } else { self.process.cpu_seconds() }
    }

    pub fn memory(&self) -> f64 {
        self.process.resident_mb()
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    pub fn kill(&mut self) -> Result<(), TrialError> {
        (self.used, self.down) = (self.cpu(), true);
        self.process.kill().map_err(io_error("a relay's end"))
    }

    pub fn start(&mut self, program: Program) -> Result<(), TrialError> {
        self.process = Relay::spawn(program, &self.file, &self.log)?;
        self.down = false;
        Ok(())
    }

    /// It serves nobody, or has no owner to follow.
    fn silent(&self) -> TrialError {
        TrialError::NotServing {
            name: self.name.clone(),
            within: WITHIN.as_secs(),
            log: self.log.display().to_string(),
        }
    }

    /// Whether it ended by itself.
    pub fn ended(&mut self) -> bool {
        !self.down && self.process.has_exited()
    }
}

/// The relays with the links between them; with none, the feeds of the star.
pub struct Tier {
    pub relays: Vec<Relay>,
    /// What directors call.
    pub feeds: Vec<SocketAddr>,
    voters: usize,
    regions: usize,
    ways: LinkProxies,
}

impl Tier {
    pub fn star(feed: SocketAddr, over: &Arc<AtomicBool>) -> Result<Tier, TrialError> {
        let ways = LinkProxies::between(Vec::new(), over).map_err(io_error("links"))?;
        Ok(Tier { relays: Vec::new(), feeds: vec![feed], voters: 0, regions: 1, ways })
    }

    /// Where some vote, it waits until one of them owns the feed; where none does, they follow this `source`.
    pub fn start(
        s: &Scale,
        program: Program,
        folder: &Path,
        source: Option<SocketAddr>,
        over: &Arc<AtomicBool>,
    ) -> Result<Tier, TrialError> {
        let mut ports = PortAllocator::new();
        let mut feeds: Vec<SocketAddr> = Vec::new();
        while feeds.len() < s.relays {
            let at = ports.allocate().map_err(io_error("a port"))?;
            if !feeds.contains(&at) {
                feeds.push(at);
            }
        }
        let pairs = (0..s.relays).flat_map(|a| (0..s.relays).map(move |b| (a, b))).filter(|(a, b)| a != b);
        let planned = pairs.map(|pair| PlannedLink { pair, to: feeds[pair.1], from: Ipv4Addr::LOCALHOST });
        let ways = LinkProxies::between(planned.collect(), over).map_err(io_error("links between relays"))?;
        let mut relays = Vec::new();
        for (n, at) in feeds.iter().enumerate() {
            let (file, log) = (folder.join(format!("relay-{n}.scm")), folder.join(format!("relay-{n}.log")));
            let _ = std::fs::remove_file(&log);
            let text = Tier::settings(s, n, &feeds, source, &ways);
            std::fs::write(&file, text).map_err(io_error(file.display().to_string()))?;
            let process = Relay::spawn(program, &file, &log)?;
            relays.push(Relay {
                name: format!("relay-{n}"),
                at: *at,
                file,
                log,
                process,
                used: 0.0,
                down: false,
            });
        }
        let begun = Instant::now();
        for relay in &mut relays {
            while TcpStream::connect(relay.at).is_err() {
                if relay.ended() || begun.elapsed() > WITHIN {
                    return Err(relay.silent());
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        while s.voters > 0 && owner(&feeds).is_none() {
            if begun.elapsed() > WITHIN {
                return Err(relays[0].silent());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(Tier { relays, feeds, voters: s.voters, regions: s.regions, ways })
    }

    /// Each has links of its own to all others.
    fn settings(
        s: &Scale,
        own: usize,
        feeds: &[SocketAddr],
        source: Option<SocketAddr>,
        ways: &LinkProxies,
    ) -> String {
        let mut text = format!(
            "(relay (number . {own}) (batch-ms . {}) (ack-ms . {}) (missed-ms . {}) (cleared-ms . {CLEARED_MS}) (held-ms . {}) \
             (slack-ms . {SLACK_MS}))\n",
            s.batch_ms,
            s.ack_ms,
            (5 * s.ack_ms).max(1_000),
            s.held_ms
        );
        for (n, at) in feeds.iter().enumerate() {
            let at = ways.address(own, n).unwrap_or(*at);
            let votes = if n < s.voters { " (votes . #t)" } else { "" };
            text += &format!("(member (number . {n}) (address . \"{at}\"){votes})\n");
        }
        text + &source.map(|at| format!("(upstream (address . \"{at}\"))\n")).unwrap_or_default()
    }

    /// The region of a relay or of a director.
    pub fn region(&self, number: usize) -> usize {
        number % self.regions
    }

    /// Those that vote, as publishers know them.
    pub fn voting(&self) -> Vec<MemberForm> {
        let all = (0..).zip(&self.feeds).take(self.voters);
        all.map(|(number, at)| MemberForm { number, address: *at, votes: true }).collect()
    }

    /// Feeds of a director: those of its own region first, turn by turn, then others.
    pub fn feeds_of(&self, director: usize, most: usize) -> Vec<SocketAddr> {
        let turn = director / self.regions;
        let (own, others): (Vec<usize>, Vec<usize>) =
            (0..self.feeds.len()).partition(|n| self.region(*n) == self.region(director));
        let around = |of: Vec<usize>, by: usize| {
            let first = if of.is_empty() { 0 } else { by % of.len() };
            let turned: Vec<usize> = of[first..].iter().chain(&of[..first]).copied().collect();
            turned
        };
        let all = around(own, turn).into_iter().chain(around(others, director));
        all.take(most).map(|n| self.feeds[n]).collect()
    }

    /// The owner of the feed, or a plain relay by chance.
    pub fn owner(&self) -> Option<usize> {
        owner(&self.feeds)
    }

    pub fn plain(&self, chance: usize) -> usize {
        self.voters + chance % (self.relays.len() - self.voters).max(1)
    }

    pub fn holds(&self, which: impl Fn(&Pair) -> bool, held: HeldDirections) {
        self.ways.pairs().filter(|p| which(p)).for_each(|p| self.ways.hold(*p, held));
    }

    /// Bytes that a relay asked others, was answered by them, was asked by them and answered them.
    pub fn bytes(&self, relay: usize) -> [u64; 4] {
        let ([asked, heard], [came, told]) =
            (self.ways.bytes(|p| p.0 == relay), self.ways.bytes(|p| p.1 == relay));
        [asked, heard, came, told]
    }
}

/// How long caches have to clear what is purged, and how far clocks may be apart: both in settings of relays.
const CLEARED_MS: u64 = 1_000;
const SLACK_MS: u64 = 2_000;

/// After so long a purge binds no more, by what relays go by.
pub fn binds_ms(s: &Scale) -> u64 {
    CLEARED_MS + s.held_ms
}
