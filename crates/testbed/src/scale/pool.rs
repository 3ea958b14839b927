//! A process of simulated directors: one thread for all their sockets, commands by its standard input, reports by its
//! standard output.

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
/// How often directors do what is due by the clock.
const TURN_LENGTH: Duration = Duration::from_millis(20);
/// How often the process reports its progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The first calls are spread over this time.
const START_SPREAD: Duration = Duration::from_secs(2);

struct Pool {
    poll: Poll,
    shared: Shared,
    /// By token.
    directors: Vec<SimulatedDirector>,
    /// Where each number of the trial is among them.
    places: BTreeMap<usize, usize>,
    binds_ms: u64,
}

fn bad(why: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

fn send_report(word: &PoolReport) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, word)?;
    out.write_all(b"\n")?;
    out.flush()
}

/// Runs a process of simulated directors until the trial has its result, or has ended.
///
/// # Errors
///
/// If standard output or the poll fails, or a command can't be read.
pub fn run() -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let (sender, commands) = channel();
    spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let command = serde_json::from_str(&line).map_err(bad);
            if sender.send(command).is_err() || waker.wake().is_err() {
                return;
            }
        }
        // The trial is gone.
        std::process::exit(0);
    });
    let first: io::Result<PoolCommand> = commands.recv().map_err(bad)?;
    let PoolCommand::Begin { config, directors, binds_ms } = first? else { return Err(bad("no beginning")) };
    let config = Config::parse(&config).map_err(bad)?;
    let shared = Shared {
        tick: PoolProgress { most: config.known.last, ..PoolProgress::default() },
        config,
        clock: Clock::start(),
        began: Instant::now(),
        found: Finished::default(),
        came: BTreeMap::new(),
        limbo: Vec::new(),
    };
    let places = directors.iter().enumerate().map(|(place, own)| (own.number, place)).collect();
    let many = directors.len().max(1) as u32;
    let hollow = directors.into_iter().enumerate();
    let hollow = hollow
        .map(|(n, own)| SimulatedDirector::new(own, Token(n + 1), &shared, START_SPREAD * n as u32 / many));
    Pool { poll, directors: hollow.collect(), shared, places, binds_ms }.serve(&commands)
}

impl Pool {
    fn serve(mut self, commands: &Receiver<io::Result<PoolCommand>>) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        let (mut next_turn, mut next_report) = (Instant::now(), Instant::now());
        loop {
            match self.poll.poll(&mut events, Some(next_turn.saturating_duration_since(Instant::now()))) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in events.iter().filter(|e| e.token() != WAKER) {
                self.directors[event.token().0 - 1].ready(&mut self.shared);
            }
            loop {
                match commands.try_recv() {
                    Ok(command) => {
                        if self.carry_out(command?)? {
                            return Ok(());
                        }
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            if Instant::now() < next_turn {
                continue;
            }
            next_turn = Instant::now() + TURN_LENGTH;
            let registry = self.poll.registry();
            self.directors.iter_mut().for_each(|h| h.tick(&mut self.shared, registry));
            if Instant::now() >= next_report {
                next_report = Instant::now() + REPORT_INTERVAL;
                self.report_progress()?;
            }
        }
    }

    fn report_progress(&mut self) -> io::Result<()> {
        let on = self.directors.iter().filter(|h| h.is_on());
        let tick = &mut self.shared.tick;
        tick.at = shared_ns();
        tick.alive = on.clone().count();
        tick.up = on.clone().filter(|h| h.is_up()).count();
        tick.least = on.map(SimulatedDirector::last).min().unwrap_or(tick.most);
        send_report(&PoolReport::Tick(*tick))
    }

    /// Carries out a command. Whether it was the last one.
    fn carry_out(&mut self, command: PoolCommand) -> io::Result<bool> {
        let Pool { directors, places, shared, .. } = self;
        let mut each = |numbers: &[usize], to: &mut dyn FnMut(&mut SimulatedDirector, &mut Shared)| {
            for place in numbers.iter().filter_map(|n| places.get(n)) {
                to(&mut directors[*place], shared);
            }
        };
        match command {
            PoolCommand::Begin { .. } => return Err(bad("a second beginning")),
            PoolCommand::Kill(who) => each(&who, &mut |h, shared| h.kill(shared)),
            PoolCommand::Start(who) => each(&who, &mut |h, shared| h.start(shared)),
            PoolCommand::Cut(who, from) => each(&who, &mut |h, _| h.cut.extend(&from)),
            PoolCommand::Slow(who, slow) => each(&who, &mut |h, shared| {
                h.slow = slow;
                h.ready(shared);
            }),
            PoolCommand::Heal => {
                // What came meanwhile was never seen: the sockets are looked at anew.
                for h in directors.iter_mut().filter(|h| !h.cut.is_empty()) {
                    h.cut.clear();
                    h.ready(shared);
                }
                shared.limbo.clear();
            }
            PoolCommand::Finish { told, list } => {
                for h in directors.iter().filter(|h| h.is_on()) {
                    h.finish(&told, &list, self.binds_ms, shared);
                }
                shared.found.came = std::mem::take(&mut shared.came).into_values().collect();
                send_report(&PoolReport::Finished(Box::new(std::mem::take(&mut shared.found))))?;
                return Ok(true);
            }
        }
        Ok(false)
    }
}
