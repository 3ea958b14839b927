//! A process of simulated directors. One thread serves all their sockets; the process reads commands from standard
//! input and writes reports to standard output.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token, Waker};
use sablecross_director::clock::Clock;
use sablecross_director::process::config::Config;

use super::pool_messages::{Finished, PoolCommand, PoolProgress, PoolReport, shared_ns};
use super::simulated_director::{Shared, SimulatedDirector};
use crate::threads::spawn;

const WAKER: Token = Token(0);
/// How often the timers of the directors run.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);
/// How often the process reports its progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The first connections of the directors are spread over this time.
const START_SPREAD: Duration = Duration::from_secs(2);

/// The simulated directors of this process with their event loop.
struct Pool {
    poll: Poll,
    shared: Shared,
    /// The director with token `n` is at index `n - 1`; token 0 is the waker's.
    directors: Vec<SimulatedDirector>,
    /// The index in `directors` by the director's number in the trial.
    indexes: BTreeMap<usize, usize>,
    /// Age in milliseconds after which a snapshot may leave a purge out.
    purge_retention_ms: u64,
}

fn invalid_data(why: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

fn send_report(report: &PoolReport) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, report)?;
    out.write_all(b"\n")?;
    out.flush()
}

/// Runs a process of simulated directors until it has reported its result or standard input ends.
///
/// # Errors
///
/// Returns an error if standard output or the poll fails, or a command can't be read.
pub fn run() -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let (sender, commands) = channel();
    spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let command = serde_json::from_str(&line).map_err(invalid_data);
            if sender.send(command).is_err() || waker.wake().is_err() {
                return;
            }
        }
        // The trial closed standard input or has exited.
        std::process::exit(0);
    });
    let first: io::Result<PoolCommand> = commands.recv().map_err(invalid_data)?;
    let PoolCommand::Begin { config, directors, purge_retention_ms } = first? else {
        return Err(invalid_data("the first command is not Begin"));
    };
    let config = Config::parse(&config).map_err(invalid_data)?;
    let shared = Shared {
        progress: PoolProgress { highest_applied: config.known.last, ..PoolProgress::default() },
        config,
        clock: Clock::start(),
        started: Instant::now(),
        result: Finished::default(),
        arrivals: BTreeMap::new(),
        dropped_behind_cut: Vec::new(),
    };
    let indexes = directors.iter().enumerate().map(|(index, identity)| (identity.number, index)).collect();
    let count = directors.len().max(1) as u32;
    let simulated = directors.into_iter().enumerate();
    let simulated = simulated.map(|(n, identity)| {
        SimulatedDirector::new(identity, Token(n + 1), &shared, START_SPREAD * n as u32 / count)
    });
    Pool { poll, directors: simulated.collect(), shared, indexes, purge_retention_ms }.serve(&commands)
}

impl Pool {
    fn serve(mut self, commands: &Receiver<io::Result<PoolCommand>>) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        let (mut next_timer, mut next_report) = (Instant::now(), Instant::now());
        loop {
            match self.poll.poll(&mut events, Some(next_timer.saturating_duration_since(Instant::now()))) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in events.iter().filter(|e| e.token() != WAKER) {
                self.directors[event.token().0 - 1].on_socket_ready(&mut self.shared);
            }
            loop {
                match commands.try_recv() {
                    Ok(command) => {
                        if self.execute(command?)? {
                            return Ok(());
                        }
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            if Instant::now() < next_timer {
                continue;
            }
            next_timer = Instant::now() + TIMER_INTERVAL;
            let registry = self.poll.registry();
            self.directors.iter_mut().for_each(|director| director.on_timer(&mut self.shared, registry));
            if Instant::now() >= next_report {
                next_report = Instant::now() + REPORT_INTERVAL;
                self.report_progress()?;
            }
        }
    }

    fn report_progress(&mut self) -> io::Result<()> {
        let running = self.directors.iter().filter(|director| director.is_running());
        let progress = &mut self.shared.progress;
        progress.at_ns = shared_ns();
        progress.running = running.clone().count();
        progress.connected = running.clone().filter(|director| director.was_connected()).count();
        progress.lowest_applied =
            running.map(SimulatedDirector::last_applied).min().unwrap_or(progress.highest_applied);
        send_report(&PoolReport::Tick(*progress))
    }

    /// Executes a command. Returns whether it was the last one.
    fn execute(&mut self, command: PoolCommand) -> io::Result<bool> {
        let Pool { directors, indexes, shared, .. } = self;
        let mut for_each =
            |numbers: &[usize], action: &mut dyn FnMut(&mut SimulatedDirector, &mut Shared)| {
                for index in numbers.iter().filter_map(|n| indexes.get(n)) {
                    action(&mut directors[*index], shared);
                }
            };
        match command {
            PoolCommand::Begin { .. } => return Err(invalid_data("Begin is allowed only once")),
            PoolCommand::Kill(numbers) => for_each(&numbers, &mut |director, shared| director.kill(shared)),
            PoolCommand::Start(numbers) => for_each(&numbers, &mut |director, shared| director.start(shared)),
            PoolCommand::Cut(numbers, feeds) => {
                for_each(&numbers, &mut |director, _| director.cut_feeds.extend(&feeds))
            }
            PoolCommand::Slow(numbers, reads_slowly) => for_each(&numbers, &mut |director, shared| {
                director.reads_slowly = reads_slowly;
                director.on_socket_ready(shared);
            }),
            PoolCommand::Heal => {
                // Directors ignored readiness events during the cut, and these do not come again: each socket is
                // tried once.
                for director in directors.iter_mut().filter(|director| !director.cut_feeds.is_empty()) {
                    director.cut_feeds.clear();
                    director.on_socket_ready(shared);
                }
                shared.dropped_behind_cut.clear();
            }
            PoolCommand::Finish { published, list } => {
                for director in directors.iter().filter(|director| director.is_running()) {
                    director.compare_with_published(&published, &list, self.purge_retention_ms, shared);
                }
                shared.result.arrivals = std::mem::take(&mut shared.arrivals).into_values().collect();
                send_report(&PoolReport::Finished(Box::new(std::mem::take(&mut shared.result))))?;
                return Ok(true);
            }
        }
        Ok(false)
    }
}
