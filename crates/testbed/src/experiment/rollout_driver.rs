//! Carries out changes of the hierarchy as a controller does, over links that delay, duplicate and lose versions. The
//! driver is also killed and recovered from its log.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_controller_log::{ControllerLog, ControllerLogError};
use sablecross_hierarchy::rollout::Participant;
use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{
    Hierarchy, NodeId, NumberedVersion, Rollout, RolloutAction, RolloutInput, RolloutRecord,
};

use crate::client_load::BUDGET_MS;
use crate::clock::unix_ms;
use crate::discovery_stub::{AppliedReport, DiscoveryStub};
use crate::node_stub::Node;
use crate::process::{TrialError, io_error};
use crate::settings::Experiment;
use crate::trial_state::TrialState;

/// Requests to a node that has left the hierarchy count as stray from this long after the end of the last lookup that
/// began before the node left.
const STRAY_GRACE_MS: u64 = 2_000;
/// The longest delay of a version on its way to a parent, without faults.
const MAX_VERSION_DELAY_MS: u64 = 100;
/// The longest delay of a version on its way to a parent, with faults.
const MAX_VERSION_DELAY_WITH_FAULTS_MS: u64 = 700;
const DUPLICATE_PROBABILITY: f64 = 0.3;
const LOSS_PROBABILITY: f64 = 0.2;
/// The probability that the driver is killed before an action of a change.
const KILL_PROBABILITY: f64 = 0.04;
/// The probability, for each call of `RolloutDriver::step` during a change, that a parent fails for
/// `PARENT_FAILURE_MS`.
const PARENT_FAILURE_PROBABILITY: f64 = 0.000_5;
const PARENT_FAILURE_MS: u64 = 1_000;
/// The interval at which a version is published again until all participants have applied it, and at which health is
/// reported to the rollout.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long the driver retries writes to a failing disk.
const DISK_RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between two retries of a write.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A version on its way to a parent.
struct DelayedVersion {
    due: Instant,
    /// The parent's index in `RolloutDriver::parents`.
    parent: usize,
    number: u64,
    version: Hierarchy,
}

/// A purge on its way to a node.
pub(super) struct DelayedPurge {
    pub(super) due: Instant,
    pub(super) node: Arc<Node>,
    pub(super) object: u64,
    /// When the purge was made, in Unix milliseconds.
    pub(super) made_ms: u64,
}

/// The hierarchy controller and its links to the participants.
pub(super) struct RolloutDriver<'a> {
    experiment: &'a Experiment,
    pub(super) rng: Pcg32,
    pub(super) rollout: Rollout,
    log: ControllerLog,
    log_file: PathBuf,
    pub(super) discovery: DiscoveryStub,
    parents: Vec<Arc<Node>>,
    participants: Vec<Participant>,
    delayed_versions: Vec<DelayedVersion>,
    pub(super) delayed_purges: Vec<DelayedPurge>,
    trial: Arc<TrialState>,
    /// How often the driver was killed.
    pub(super) kills: u64,
    /// Log lines of the rollout, rejected inputs, and injected failures of parents.
    pub(super) notes: Vec<String>,
    next_retry: Instant,
    /// The committed version for which `announce_departures` last set the times.
    departures_announced_version: u64,
}

impl<'a> RolloutDriver<'a> {
    /// Starts with the first version, which all parents have applied. The rollout log is written to `folder`.
    pub(super) fn start(
        experiment: &'a Experiment,
        first: &Hierarchy,
        parents: Vec<Arc<Node>>,
        discovery: DiscoveryStub,
        trial: &Arc<TrialState>,
        folder: &Path,
    ) -> Result<RolloutDriver<'a>, TrialError> {
        for parent in &parents {
            parent.offer(1, first);
        }
        let directors = (0..experiment.directors).map(|number| format!("director-{number}").into());
        let participants: Vec<Participant> =
            directors.chain(parents.iter().map(|parent| Participant::from(parent.name.as_str()))).collect();
        let log_file = folder.join("driver.redb");
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&log_file);
        let mut driver = RolloutDriver {
            experiment,
            rng: Pcg32::seed_from_u64(experiment.seed + 1),
            rollout: Rollout::new(1, first.clone(), participants.clone())?,
            log: ControllerLog::open(&log_file)?.0,
            log_file,
            discovery,
            parents,
            participants,
            delayed_versions: Vec::new(),
            delayed_purges: Vec::new(),
            trial: Arc::clone(trial),
            kills: 0,
            notes: Vec::new(),
            next_retry: Instant::now(),
            departures_announced_version: 1,
        };
        driver.carry_out_actions()?;
        Ok(driver)
    }

    /// The wall clock in nanoseconds, the unit of time of the rollout.
    fn now_ns() -> u64 {
        unix_ms() * 1_000_000
    }

    /// Draws whether a fault of this probability happens now. Without faults in the settings, none does.
    fn draw_fault(&mut self, probability: f64) -> bool {
        self.experiment.faults && self.rng.random::<f64>() < probability
    }

    fn announce(&mut self, number: u64, version: &Hierarchy) {
        if let Ok(text) = serde_json::to_string(&HierarchySpec::from_hierarchy(number, version)) {
            self.discovery.publish(&format!("\"hierarchy\":{text}"));
        }
        let max_delay_ms = match self.experiment.faults {
            true => MAX_VERSION_DELAY_WITH_FAULTS_MS,
            false => MAX_VERSION_DELAY_MS,
        };
        let copies = if self.draw_fault(DUPLICATE_PROBABILITY) { 2 } else { 1 };
        for _ in 0..copies {
            for parent in 0..self.parents.len() {
                // A lost version is published again until all participants have applied it.
                if self.draw_fault(LOSS_PROBABILITY) {
                    continue;
                }
                let due = Instant::now() + Duration::from_millis(self.rng.random_range(0..max_delay_ms));
                let version = version.clone();
                self.delayed_versions.push(DelayedVersion { due, parent, number, version });
            }
        }
    }

    fn is_changing(&self) -> bool {
        self.rollout.progress().is_some()
    }

    fn carry_out_actions(&mut self) -> Result<(), TrialError> {
        loop {
            let actions = self.rollout.take_actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                if self.experiment.faults && self.is_changing() && self.draw_fault(KILL_PROBABILITY) {
                    self.restart()?;
                    break;
                }
                match action {
                    RolloutAction::Persist(record) => write_with_retry(&mut self.log, &record)?,
                    RolloutAction::Log(line) => self.notes.push(line),
                    RolloutAction::Publish { number, version } => {
                        self.trial.count(|second| second.version = number);
                        self.announce(number, &version);
                    }
                }
            }
        }
    }

    /// Simulates a crash of the driver between two actions, and recovers it from its log.
    fn restart(&mut self) -> Result<(), TrialError> {
        self.kills += 1;
        let folder = tempfile::tempdir().map_err(io_error("creating a temporary folder"))?;
        // The old log must release its file before the file is opened again.
        let placeholder = ControllerLog::open(&folder.path().join("spare"))?.0;
        drop(std::mem::replace(&mut self.log, placeholder));
        let (log, records) = ControllerLog::open(&self.log_file)?;
        self.log = log;
        self.rollout = Rollout::recover(&records, self.participants.clone(), Self::now_ns())?;
        Ok(())
    }

    /// Passes an input to the rollout and carries out the resulting actions.
    pub(super) fn handle(&mut self, input: RolloutInput) -> Result<(), TrialError> {
        // A rejected input is recorded in the notes, and the experiment goes on.
        if let Err(e) = self.rollout.handle(input, Self::now_ns()) {
            self.notes.push(format!("rejected: {e}"));
        }
        self.carry_out_actions()
    }

    /// Delivers everything that is due, injects faults, and advances the rollout.
    pub(super) fn step(&mut self, reports: &Receiver<AppliedReport>) -> Result<(), TrialError> {
        let now = Instant::now();
        self.deliver_versions(now)?;
        self.deliver_purges(now);
        self.handle_reports(reports)?;
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.announce_again();
            self.report_health()?;
        }
        self.maybe_fail_parent();
        self.announce_departures();
        if self.rollout.next_wakeup().is_some_and(|wakeup| wakeup <= Self::now_ns()) {
            self.handle(RolloutInput::Tick)?;
        }
        Ok(())
    }

    fn deliver_versions(&mut self, now: Instant) -> Result<(), TrialError> {
        let (due, later): (Vec<DelayedVersion>, Vec<DelayedVersion>) =
            std::mem::take(&mut self.delayed_versions).into_iter().partition(|delayed| delayed.due <= now);
        self.delayed_versions = later;
        for DelayedVersion { parent, number, version, .. } in due {
            let (number, digest) = self.parents[parent].offer(number, &version);
            let participant = self.parents[parent].name.as_str().into();
            self.handle(RolloutInput::VersionApplied { participant, number, digest })?;
        }
        Ok(())
    }

    fn deliver_purges(&mut self, now: Instant) {
        self.delayed_purges.retain(|purge| {
            let is_due = purge.due <= now;
            if is_due {
                purge.node.purge(purge.object, purge.made_ms);
            }
            !is_due
        });
    }

    /// Passes the directors' reports of applied versions to the rollout.
    fn handle_reports(&mut self, reports: &Receiver<AppliedReport>) -> Result<(), TrialError> {
        for report in reports.try_iter() {
            self.handle(RolloutInput::VersionApplied {
                participant: report.participant.as_str().into(),
                number: report.number,
                digest: u64::from_str_radix(&report.digest, 16).unwrap_or(0),
            })?;
        }
        Ok(())
    }

    /// Announces the published version again if participants have not applied it.
    fn announce_again(&mut self) {
        if self.rollout.missing_participants().is_empty() {
            return;
        }
        let NumberedVersion { number, version } = self.rollout.published();
        let version = version.clone();
        self.announce(number, &version);
    }

    fn report_health(&mut self) -> Result<(), TrialError> {
        let origin = self.trial.last_complete_second().origin_fetches as f64;
        let published = self.rollout.published().version;
        let down = self.parents.iter().filter(|parent| parent.is_down());
        let down_nodes: Vec<NodeId> = down.filter_map(|parent| published.node_id(&parent.name)).collect();
        self.handle(RolloutInput::HealthReport { origin_load: origin, down_nodes })
    }

    /// With a small probability, makes a parent fail during a change.
    fn maybe_fail_parent(&mut self) {
        if self.experiment.faults && self.is_changing() && self.draw_fault(PARENT_FAILURE_PROBABILITY) {
            let parent = self.rng.random_range(0..self.parents.len());
            self.parents[parent].fail_for(PARENT_FAILURE_MS);
            self.notes.push(format!("fault: {} fails for 1 s", self.parents[parent].name));
        }
    }

    /// Sets the time from which requests are stray at each parent that is in neither the committed nor the published
    /// version.
    fn announce_departures(&mut self) {
        let NumberedVersion { number: committed_number, version: committed } = self.rollout.committed();
        let NumberedVersion { number: published_number, version: published } = self.rollout.published();
        if committed_number == self.departures_announced_version && published_number == committed_number {
            return;
        }
        let stray_after_ms = unix_ms() + BUDGET_MS + 100 + STRAY_GRACE_MS;
        for parent in &self.parents {
            let is_in_hierarchy =
                [committed, published].iter().any(|version| version.node_id(&parent.name).is_some());
            parent.set_stray_after((!is_in_hierarchy).then_some(stray_after_ms));
        }
        self.departures_announced_version = committed_number;
    }

    /// Publishes a hierarchy in one step, without a plan, for comparison with planned changes.
    pub(super) fn apply_at_once(&mut self, target: Hierarchy) -> Result<(), TrialError> {
        let number = self.rollout.published().number + 1;
        self.trial.count(|second| second.version = number);
        self.announce(number, &target);
        // The rollout restarts from this version, so that later changes start from it.
        self.log.append(&RolloutRecord::Checkpoint {
            number,
            next_change: 1,
            version: HierarchySpec::from_hierarchy(number, &target),
        })?;
        self.rollout = Rollout::new(number, target, self.participants.clone())?;
        self.rollout.take_actions();
        Ok(())
    }

    /// The number of changes by outcome, from the log lines of the rollout.
    pub(super) fn outcomes(&self) -> BTreeMap<String, u64> {
        let mut outcomes = BTreeMap::new();
        for line in self.notes.iter().filter(|line| line.contains(" ended how=")) {
            let outcome =
                line.split("how=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or_default();
            *outcomes.entry(outcome.to_owned()).or_insert(0) += 1;
        }
        outcomes
    }
}

/// Writes a record to the log. Later actions must not happen before the record is written, so the write is retried
/// while the disk is full or fails.
fn write_with_retry(log: &mut ControllerLog, record: &RolloutRecord) -> Result<(), ControllerLogError> {
    let start = Instant::now();
    loop {
        match log.append(record) {
            Err(ControllerLogError::Write(_) | ControllerLogError::Open { .. })
                if start.elapsed() < DISK_RETRY_TIMEOUT =>
            {
                std::thread::sleep(DISK_RETRY_INTERVAL);
            }
            done => return done,
        }
    }
}
