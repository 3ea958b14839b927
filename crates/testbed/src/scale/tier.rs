//! The relays of a trial: their settings, processes and regions, and the links between them.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use sablecross_relay_server::settings::MemberForm;

use super::evaluation::{ProcessUse, RelayBytes};
use super::settings::ScaleTrial;
use super::source::leader;
use crate::fleet::link_proxy::{HeldDirections, LinkProxies, Pair, PlannedLink};
use crate::ports::{PortAllocator, ReservedPort, addresses_of};
use crate::process::{ChildProcess, TrialError, io_error};

/// Timeout for the relays to serve and to elect a leader.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a command of this program with other arguments.
pub(crate) type Program<'a> = &'a dyn Fn(&[&str]) -> Command;

/// One relay.
pub(crate) struct Relay {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    process: ChildProcess,
    /// CPU time of the relay's earlier processes.
    earlier_cpu_seconds: f64,
    /// Whether the trial killed the relay and has not restarted it.
    is_killed: bool,
}

impl Relay {
    /// Starts a relay with these settings; its files go to the folder.
    fn start(
        number: usize,
        address: SocketAddr,
        settings: &str,
        program: Program,
        folder: &Path,
    ) -> Result<Relay, TrialError> {
        let name = format!("relay-{number}");
        let (file, log) = (folder.join(format!("{name}.scm")), folder.join(format!("{name}.log")));
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&log);
        std::fs::write(&file, settings).map_err(io_error(file.display().to_string()))?;
        let process = Relay::spawn(program, &file, &log)?;
        Ok(Relay { name, address, file, log, process, earlier_cpu_seconds: 0.0, is_killed: false })
    }

    fn spawn(program: Program, file: &Path, log: &Path) -> Result<ChildProcess, TrialError> {
        let mut command = program(&["relay", "run", "--with-parent"]);
        command.arg(file).stdout(Stdio::null());
        ChildProcess::start(&mut command, log, "a relay")
    }

    fn cpu_seconds(&self) -> f64 {
        let current = if self.is_killed { 0.0 } else { self.process.cpu_seconds() };
        self.earlier_cpu_seconds + current
    }

    /// CPU time of all processes of this relay, and memory of the current one.
    pub(crate) fn process_use(&self) -> ProcessUse {
        ProcessUse { cpu_seconds: self.cpu_seconds(), memory_mb: self.process.resident_mb() }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Kills the relay; `restart` starts it again.
    pub(crate) fn kill(&mut self) -> Result<(), TrialError> {
        self.earlier_cpu_seconds = self.cpu_seconds();
        self.is_killed = true;
        self.process.kill().map_err(io_error("killing a relay"))
    }

    /// Restarts the relay after it was killed. It begins without its earlier state.
    pub(crate) fn restart(&mut self, program: Program) -> Result<(), TrialError> {
        self.process = Relay::spawn(program, &self.file, &self.log)?;
        self.is_killed = false;
        Ok(())
    }

    /// The error for a relay that does not serve or has no leader in time.
    fn not_serving(&self) -> TrialError {
        TrialError::NotServing {
            name: self.name.clone(),
            within: START_TIMEOUT.as_secs(),
            log: self.log.display().to_string(),
        }
    }

    /// Whether the relay exited without being killed by the trial.
    pub(crate) fn has_exited(&mut self) -> bool {
        !self.is_killed && self.process.has_exited()
    }
}

/// The relays with the links between them, or the one source that serves in their place.
pub(crate) struct Tier {
    pub(crate) relays: Vec<Relay>,
    /// Where directors connect: the relays, or the source.
    pub(crate) feeds: Vec<SocketAddr>,
    voter_count: usize,
    regions: usize,
    links: LinkProxies,
    /// The reserved ports of the relays.
    _ports: Vec<ReservedPort>,
}

impl Tier {
    /// A tier without relays: directors connect to the source.
    pub(crate) fn without_relays(
        source: SocketAddr,
        has_ended: &Arc<AtomicBool>,
    ) -> Result<Tier, TrialError> {
        let links = LinkProxies::start_planned(Vec::new(), has_ended).map_err(io_error("links"))?;
        Ok(Tier {
            relays: Vec::new(),
            feeds: vec![source],
            voter_count: 0,
            regions: 1,
            links,
            _ports: Vec::new(),
        })
    }

    /// Starts the relays and waits until they serve. If some vote, it also waits until one of them is the leader; if
    /// none votes, they follow `source`.
    pub(crate) fn start(
        settings: &ScaleTrial,
        program: Program,
        folder: &Path,
        source: Option<SocketAddr>,
        has_ended: &Arc<AtomicBool>,
    ) -> Result<Tier, TrialError> {
        let ports = PortAllocator::new().allocate_all(settings.relays)?;
        let feeds = addresses_of(&ports);
        let links = link_relays(&feeds, has_ended)?;
        let mut relays = Vec::new();
        for (number, address) in feeds.iter().enumerate() {
            let text = relay_settings(settings, number, &feeds, source, &links);
            relays.push(Relay::start(number, *address, &text, program, folder)?);
        }
        let begun = Instant::now();
        wait_until_serving(&mut relays, begun)?;
        while settings.voters > 0 && leader(&feeds).is_none() {
            if begun.elapsed() > START_TIMEOUT {
                return Err(relays[0].not_serving());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(Tier {
            relays,
            feeds,
            voter_count: settings.voters,
            regions: settings.regions,
            links,
            _ports: ports,
        })
    }

    /// The region of a relay or of a director.
    pub(crate) fn region(&self, number: usize) -> usize {
        number % self.regions
    }

    /// The relays that vote, as publishers know them.
    pub(crate) fn voters(&self) -> Vec<MemberForm> {
        let voters = (0..).zip(&self.feeds).take(self.voter_count);
        voters.map(|(number, address)| MemberForm { number, address: *address, votes: true }).collect()
    }

    /// The `count` relays that a director may connect to, those of its own region first. The lists are rotated so that
    /// directors spread over the relays.
    pub(crate) fn feeds_of(&self, director: usize, count: usize) -> Vec<SocketAddr> {
        let (own, others): (Vec<usize>, Vec<usize>) =
            (0..self.feeds.len()).partition(|relay| self.region(*relay) == self.region(director));
        let turn = director / self.regions;
        let relays = rotated(&own, turn).into_iter().chain(rotated(&others, director));
        relays.take(count).map(|relay| self.feeds[relay]).collect()
    }

    /// The addresses of the relays of a region, and those of all others.
    pub(crate) fn feeds_by_region(&self, region: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..self.feeds.len()).partition(|relay| self.region(*relay) == region);
        let feeds = |relays: Vec<usize>| relays.into_iter().map(|relay| self.feeds[relay]).collect();
        (feeds(inside), feeds(outside))
    }

    /// The relay that is the leader now.
    pub(crate) fn leader(&self) -> Option<usize> {
        leader(&self.feeds)
    }

    /// Selects one of the relays that do not vote by a random number.
    pub(crate) fn non_voter(&self, drawn: usize) -> usize {
        self.voter_count + drawn % (self.relays.len() - self.voter_count).max(1)
    }

    /// Holds back data on the selected links in the given directions.
    pub(crate) fn hold(&self, is_selected: impl Fn(&Pair) -> bool, held: HeldDirections) {
        for pair in self.links.pairs().filter(|pair| is_selected(pair)) {
            self.links.hold(*pair, held);
        }
    }

    /// Bytes that a relay exchanged with other relays, in calls of either side.
    pub(crate) fn bytes(&self, relay: usize) -> RelayBytes {
        let [requests_sent, answers_received] = self.links.bytes(|pair| pair.0 == relay);
        let [requests_received, answers_sent] = self.links.bytes(|pair| pair.1 == relay);
        RelayBytes { sent: requests_sent + answers_sent, received: answers_received + requests_received }
    }
}

/// The list rotated to the left by `by` places, modulo its length.
fn rotated(list: &[usize], by: usize) -> Vec<usize> {
    let mut list = list.to_vec();
    if !list.is_empty() {
        let first = by % list.len();
        list.rotate_left(first);
    }
    list
}

/// Creates a link from each relay to each other relay.
fn link_relays(feeds: &[SocketAddr], has_ended: &Arc<AtomicBool>) -> Result<LinkProxies, TrialError> {
    let pairs = (0..feeds.len()).flat_map(|a| (0..feeds.len()).map(move |b| (a, b)));
    let planned = pairs.filter(|(a, b)| a != b).map(|pair| PlannedLink {
        pair,
        to: feeds[pair.1],
        from: Ipv4Addr::LOCALHOST,
    });
    LinkProxies::start_planned(planned.collect(), has_ended).map_err(io_error("links between relays"))
}

fn wait_until_serving(relays: &mut [Relay], since: Instant) -> Result<(), TrialError> {
    for relay in relays {
        while TcpStream::connect(relay.address).is_err() {
            if relay.has_exited() || since.elapsed() > START_TIMEOUT {
                return Err(relay.not_serving());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// The settings of a relay, in which the other relays have the addresses of its links to them.
fn relay_settings(
    settings: &ScaleTrial,
    own: usize,
    feeds: &[SocketAddr],
    source: Option<SocketAddr>,
    links: &LinkProxies,
) -> String {
    let mut text = format!(
        "(relay (number . {own}) (batch-ms . {}) (ack-ms . {}) (missed-ms . {}) (cleared-ms . {CLEARED_MS}) (held-ms . {}) \
         (slack-ms . {SLACK_MS}))\n",
        settings.batch_ms,
        settings.ack_ms,
        (5 * settings.ack_ms).max(1_000),
        settings.held_ms
    );
    for (number, address) in feeds.iter().enumerate() {
        let address = links.address(own, number).unwrap_or(*address);
        let votes = if number < settings.voters { " (votes . #t)" } else { "" };
        text += &format!("(member (number . {number}) (address . \"{address}\"){votes})\n");
    }
    if let Some(source) = source {
        text += &format!("(upstream (address . \"{source}\"))\n");
    }
    text
}

/// Time in which caches clear a purged object, as relays are told.
const CLEARED_MS: u64 = 1_000;
/// Largest sum of clock differences and the delivery time of a purge that relays allow for.
const SLACK_MS: u64 = 2_000;

/// How long a purge is active after it was made, in milliseconds. Relays keep it for at least `SLACK_MS` longer.
pub(crate) fn purge_retention_ms(settings: &ScaleTrial) -> u64 {
    CLEARED_MS + settings.held_ms
}
