//! Runs a scale trial from start to end.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::evaluation::{Counts, Evaluation, FaultWindow, Sample};
use super::installation::{ActiveFault, Installation};
use super::pool_messages::{PoolCommand, shared_ns};
use super::report::Report;
use super::settings::ScaleTrial;
use super::source::{PublishTarget, Source, first_event};
use super::tier::{Program, Tier, purge_retention_ms};
use crate::discovery_stub::DiscoveryStub;
use crate::process::{TrialError, io_error, machine_memory_mb};
use crate::schedule::take_due;
use crate::trial_state::TrialState;

/// Memory of a simulated director without purges. This figure and the next three have some margin; the size of a trial
/// is checked with them before its start.
const SIMULATED_MB: f64 = 0.7;
/// Memory of one purge that a simulated director keeps.
const PURGE_MB: f64 = 0.000_08;
/// Memory of a real director.
const REAL_MB: f64 = 12.0;
/// Memory of a relay.
const RELAY_MB: f64 = 64.0;
const MAX_PROCESSES: usize = 400;
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// An action that runs at a scheduled time.
pub(super) enum ScheduledAction {
    /// Begins the fault at this index of the settings.
    Begin(usize),
    /// Ends the fault at this index of the settings.
    End(usize),
    KillDirector(usize),
    StartDirector(usize),
}

/// Fails if a trial needs more than half of the machine's memory or more than `MAX_PROCESSES` processes.
fn check_size(settings: &ScaleTrial) -> Result<(), TrialError> {
    let kept_seconds = (purge_retention_ms(settings) as f64 / 1e3).min(settings.seconds as f64);
    let bursts: f64 = settings.faults.iter().map(|fault| fault.count as f64).sum();
    let known_purges = settings.purges * kept_seconds + bursts;
    let needed_mb = settings.hollow as f64 * (SIMULATED_MB + PURGE_MB * known_purges)
        + settings.real as f64 * REAL_MB
        + settings.relays as f64 * RELAY_MB;
    let half_mb = machine_memory_mb() / 2.0;
    if needed_mb > half_mb {
        return Err(TrialError::TooLarge(format!(
            "{needed_mb:.0} MB of memory are needed, half of the machine is {half_mb:.0} MB"
        )));
    }
    let processes = settings.real + settings.relays + settings.process_count();
    if processes > MAX_PROCESSES {
        return Err(TrialError::TooLarge(format!(
            "{processes} processes, at most {MAX_PROCESSES} are allowed"
        )));
    }
    Ok(())
}

/// Runs a trial.
///
/// `program` is this program with other arguments; configurations and logs go to `folder`. `progress` gets a line each
/// second and at each fault.
///
/// # Errors
///
/// Returns an error if the machine is too small for the trial, a file, socket or process of the trial can't be created,
/// a process does not serve in time, or the endpoint list can't be published. Violations are not errors: the report
/// lists them.
pub fn run(
    settings: &ScaleTrial,
    program: Program,
    folder: &Path,
    mut progress: impl FnMut(&str),
) -> Result<Report, TrialError> {
    check_size(settings)?;
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let has_ended = Arc::new(AtomicBool::new(false));
    let state = Arc::new(TrialState::new(Instant::now()));
    let (tier, target) = start_tier(settings, program, folder, &state, &has_ended)?;
    let Some((source, first_number)) = Source::start(settings, target) else {
        return Err(TrialError::TooLarge("the endpoint list could not be published".into()));
    };
    let known = known_events(settings, first_number);
    let mut installation = Installation::start(settings, program, folder, tier, &known, &has_ended)?;
    let connected_after = installation.wait_until_connected()?.as_secs_f64();
    let (simulated, real) = (settings.hollow, settings.real);
    progress(&format!(
        "{simulated} simulated and {real} real directors connected after {connected_after:.1} s"
    ));

    let mut load = LoadPhase::new(settings, installation, source, first_number);
    load.run(&mut progress)?;
    let report = load.finish()?;
    has_ended.store(true, Ordering::Relaxed);
    state.finish();
    Ok(report)
}

/// Starts the relays, and the one source if no relay votes.
fn start_tier(
    settings: &ScaleTrial,
    program: Program,
    folder: &Path,
    state: &Arc<TrialState>,
    has_ended: &Arc<AtomicBool>,
) -> Result<(Tier, PublishTarget), TrialError> {
    if settings.voters > 0 {
        let tier = Tier::start(settings, program, folder, None, has_ended)?;
        let voters = tier.voters();
        return Ok((tier, PublishTarget::Relays(voters)));
    }
    let source = DiscoveryStub::start(state, channel().0).map_err(io_error("the discovery source"))?;
    let tier = match settings.relays {
        0 => Tier::without_relays(source.address, has_ended)?,
        _ => Tier::start(settings, program, folder, Some(source.address), has_ended)?,
    };
    Ok((tier, PublishTarget::Source(source)))
}

/// The events that directors know at their start: a snapshot of the endpoint list.
fn known_events(settings: &ScaleTrial, number: u64) -> Value {
    let text = format!("{{\"n\":{number},{}}}", first_event(settings));
    let event: Value = serde_json::from_str(&text).unwrap_or_default();
    json!({"n": number, "events": [event]})
}

/// The phase of a trial in which events are published and faults are injected.
struct LoadPhase<'a> {
    settings: &'a ScaleTrial,
    installation: Installation<'a>,
    source: Source,
    /// The number of the first event, the snapshot of the endpoint list.
    first_number: u64,
    start: Instant,
    /// The start by the shared clock.
    start_ns: u64,
    /// Actions to run, with their times in seconds from the start.
    actions: Vec<(f64, ScheduledAction)>,
    /// Faults that are in force, by their index in the settings.
    active: BTreeMap<usize, ActiveFault>,
    windows: Vec<FaultWindow>,
    /// The sample at the end of the warm-up.
    first_sample: Option<Sample>,
    max_wake_delay: f64,
    /// The last second for which a progress line was printed.
    reported_second: u64,
}

impl<'a> LoadPhase<'a> {
    fn new(
        settings: &'a ScaleTrial,
        installation: Installation<'a>,
        source: Source,
        first_number: u64,
    ) -> LoadPhase<'a> {
        let mut actions = Vec::new();
        for (number, fault) in settings.faults.iter().enumerate() {
            actions.push((fault.at, ScheduledAction::Begin(number)));
            actions.push((fault.at + fault.lasts, ScheduledAction::End(number)));
        }
        LoadPhase {
            settings,
            installation,
            source,
            first_number,
            start: Instant::now(),
            start_ns: shared_ns(),
            actions,
            active: BTreeMap::new(),
            windows: Vec::new(),
            first_sample: None,
            max_wake_delay: 0.0,
            reported_second: 0,
        }
    }

    fn run(&mut self, progress: &mut impl FnMut(&str)) -> Result<(), TrialError> {
        let mut last_step = Instant::now();
        while self.start.elapsed() < Duration::from_secs(self.settings.seconds) {
            std::thread::sleep(STEP_INTERVAL);
            let delay = last_step.elapsed().as_secs_f64() - STEP_INTERVAL.as_secs_f64();
            self.max_wake_delay = self.max_wake_delay.max(delay);
            let now = self.start.elapsed().as_secs_f64();
            self.source.step(self.settings, now);
            while let Some(action) = take_due(&mut self.actions, now) {
                self.execute(action, now, progress)?;
            }
            self.installation.take_reports();
            if self.first_sample.is_none() && now >= self.settings.warm_up as f64 {
                self.first_sample = Some(self.installation.sample());
            }
            if now as u64 > self.reported_second {
                self.reported_second = now as u64;
                let published = self.source.load_events().len();
                progress(&self.installation.progress_line(self.reported_second, published));
            }
            last_step = Instant::now();
        }
        Ok(())
    }

    fn execute(
        &mut self,
        action: ScheduledAction,
        now: f64,
        progress: &mut impl FnMut(&str),
    ) -> Result<(), TrialError> {
        match action {
            ScheduledAction::Begin(number) => self.begin_fault(number, now, progress),
            ScheduledAction::End(number) => self.end_fault(number),
            ScheduledAction::KillDirector(director) => {
                self.installation.send_to_all(&PoolCommand::Kill(vec![director]))
            }
            ScheduledAction::StartDirector(director) => {
                self.installation.send_to_all(&PoolCommand::Start(vec![director]))
            }
        }
    }

    fn begin_fault(
        &mut self,
        number: usize,
        now: f64,
        progress: &mut impl FnMut(&str),
    ) -> Result<(), TrialError> {
        let fault = &self.settings.faults[number];
        let active = self.installation.begin_fault(fault, now, &mut self.actions, &self.source)?;
        let relay = active.relay.map_or(String::new(), |relay| format!(" relay-{relay}"));
        let what = format!("{:?}{relay} directors {}", fault.kind, active.directors.len());
        progress(&format!("{now:>6.1} s  {what}"));
        self.windows.push(FaultWindow { what, number, from_ns: shared_ns(), to_ns: 0 });
        self.active.insert(number, active);
        Ok(())
    }

    fn end_fault(&mut self, number: usize) -> Result<(), TrialError> {
        if let Some(active) = self.active.remove(&number) {
            self.installation.end_fault(&active)?;
        }
        for window in self.windows.iter_mut().filter(|window| window.number == number) {
            window.to_ns = shared_ns();
        }
        Ok(())
    }

    /// Ends the faults, waits until the last event is applied everywhere, and collects all counts.
    fn finish(mut self) -> Result<Report, TrialError> {
        for active in self.active.values() {
            self.installation.end_fault(active)?;
        }
        for window in self.windows.iter_mut().filter(|window| window.to_ns == 0) {
            window.to_ns = shared_ns();
        }
        let last_sample = self.installation.sample();
        let first_sample = self.first_sample.take().unwrap_or_else(|| last_sample.clone());
        // Starts the directors whose restart was scheduled after the end of the load.
        self.installation.send_to_all(&PoolCommand::Start((0..self.settings.hollow).collect()))?;
        let counts = self.counts()?;
        let relays: Vec<String> =
            self.installation.tier.relays.iter().map(|relay| relay.name.clone()).collect();
        let evaluation = Evaluation {
            settings: self.settings,
            counts: &counts,
            first: &first_sample,
            last: &last_sample,
            relays: &relays,
            faults: &self.windows,
        };
        Ok(evaluation.report())
    }

    fn counts(&mut self) -> Result<Counts, TrialError> {
        let settle = Duration::from_secs(self.settings.settle);
        self.source.finish(settle);
        let numbers = self.source.confirmed_events();
        let last_number = numbers.iter().map(|event| event.number).max().unwrap_or(self.first_number);
        let installation = &mut self.installation;
        let behind = installation.wait_for_number(last_number, settle);
        let reals_behind = installation.wait_for_reals(last_number, settle);
        let exited = installation.exited();
        let reported = installation.reported_numbers();
        let finished = installation.finish(&self.source)?;
        let silent = installation.pool_count() - finished.len();
        Ok(Counts {
            start_ns: self.start_ns,
            load_events: self.source.load_events(),
            publish_retries: self.source.retries(),
            progress: installation.progress(),
            silent,
            finished,
            behind,
            reals_behind,
            reals_skipped: installation.events_skipped_by_reals(),
            exited,
            max_wake_delay: self.max_wake_delay,
            reported,
        })
    }
}
