//! The state machine of the hierarchy controller.

use std::collections::VecDeque;

use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingToken, Member, Ns};
use sablecross_hierarchy::rollout::RolloutError;
use sablecross_hierarchy::spec::{ConfigError, parse_settings};
use sablecross_hierarchy::{Hierarchy, Rollout, RolloutAction, RolloutInput, RolloutRecord};
use thiserror::Error;

use crate::membership::{Membership, MembershipChange, participant};
use crate::register_log::{DecodeError, EncodeError, RegisterLog, encode_spec};

/// Stands for the file name of a proposal in errors of its settings.
const PROPOSAL_FILE: &str = "proposal";

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Replace the content of the register with these bytes, and call [`HierarchyController::on_persisted`] once a
    /// majority of the voters has stored them.
    Persist(Vec<u8>),
    /// Send the version to all members, and repeat it until each member has applied it.
    Publish {
        /// The number of the version.
        number: u64,
        /// The encoded version; see [`decode_spec`](crate::decode_spec).
        bytes: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposalError {
    /// The proposal is not UTF-8 text.
    #[error(transparent)]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The proposal is not a valid settings file.
    #[error("{}", join_errors(.0))]
    InvalidSettings(Vec<ConfigError>),
    /// The rollout rejected the version.
    #[error(transparent)]
    Rollout(#[from] RolloutError),
    /// The register has not been read yet, or its content is invalid.
    #[error(
        "the register has not been read yet, or its content is invalid (see the log): propose again later"
    )]
    NotReady,
}

fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Why a rollout can't be recovered from the content of the register.
#[derive(Debug, Error)]
enum RecoveryError {
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Rollout(#[from] RolloutError),
}

/// The state of the rollout, as far as it is known.
enum State {
    /// The register has not been read yet, or its content is invalid.
    ReadingRegister,
    /// Nothing was ever stored. The first proposal becomes the committed version.
    Empty,
    Running(Box<Rollout>),
}

/// The current write to the register.
#[derive(Debug, PartialEq)]
enum PendingWrite {
    None,
    /// These bytes have been written, but a majority has not confirmed them yet.
    Unconfirmed(Vec<u8>),
    /// The log is too long for the register. Nothing more is written or published.
    Blocked,
}

/// Rolls out changes of the hierarchy while this member holds the role.
pub struct HierarchyController {
    token: FencingToken,
    state: State,
    /// The content of the register, including an unconfirmed write.
    log: RegisterLog,
    /// Actions of the rollout that have not been carried out because an earlier record is not stored yet.
    pending_actions: VecDeque<RolloutAction>,
    pending_write: PendingWrite,
    membership: Membership,
    last_rejection: Option<ProposalError>,
    actions: Vec<ControllerAction>,
}

impl HierarchyController {
    /// Creates the controller when the role was acquired with this token. A member that is missing for `gone_after`
    /// nanoseconds is considered permanently gone.
    pub fn new(token: FencingToken, gone_after: Ns) -> HierarchyController {
        HierarchyController {
            token,
            state: State::ReadingRegister,
            log: RegisterLog::default(),
            pending_actions: VecDeque::new(),
            pending_write: PendingWrite::None,
            membership: Membership::new(gone_after),
            last_rejection: None,
            actions: Vec::new(),
        }
    }

    /// The token with which the role was acquired.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes the actions that are due. The caller has to carry them out in this order.
    pub fn take_actions(&mut self) -> Vec<ControllerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The rollout, once the register has been read and contains one.
    pub fn rollout(&self) -> Option<&Rollout> {
        if let State::Running(rollout) = &self.state { Some(rollout) } else { None }
    }

    /// One status line for operators. The command line tool searches it for `no change runs`, `0 missing` and
    /// `last refused`.
    pub fn status(&self) -> String {
        let status = match &self.state {
            State::ReadingRegister => "reading the register".into(),
            State::Empty => "no version yet".into(),
            State::Running(rollout) => rollout_status(rollout),
        };
        match &self.last_rejection {
            Some(error) => format!("{status}; last refused: {error}"),
            None => status,
        }
    }

    /// A majority of the voters stores this content of the register. The first call passes the content that was read,
    /// and later calls pass content that was written.
    pub fn on_persisted(&mut self, now: Ns, value: &RegisterValue) {
        if matches!(self.state, State::ReadingRegister) {
            self.recover(now, &value.bytes);
        } else if matches!(&self.pending_write, PendingWrite::Unconfirmed(bytes) if *bytes == value.bytes) {
            self.pending_write = PendingWrite::None;
        }
        self.execute_pending_actions();
    }

    fn recover(&mut self, now: Ns, bytes: &[u8]) {
        if bytes.is_empty() {
            self.state = State::Empty;
            return;
        }
        match self.recover_rollout(now, bytes) {
            Ok((log, rollout)) => {
                self.log = log;
                self.start_rollout(rollout);
            }
            // The register keeps its content, so that an operator can inspect it.
            Err(error) => self.log_line(format!("hierarchy log of the register unreadable: {error}")),
        }
    }

    fn recover_rollout(&self, now: Ns, bytes: &[u8]) -> Result<(RegisterLog, Rollout), RecoveryError> {
        let log = RegisterLog::decode(bytes)?;
        let rollout = Rollout::recover(log.records(), self.membership.participants(), now)?;
        Ok((log, rollout))
    }

    fn start_rollout(&mut self, rollout: Rollout) {
        self.state = State::Running(Box::new(rollout));
        self.queue_rollout_actions();
    }

    /// Handles an operator's proposal of a version, given as the text of a settings file.
    ///
    /// # Errors
    /// Returns why the proposal was rejected. The error is also logged and shown in the status.
    pub fn propose(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let result = self.try_propose(now, text);
        if let Err(error) = &result {
            self.log_line(format!("hierarchy proposal rejected: {error}"));
        }
        self.last_rejection = result.as_ref().err().cloned();
        self.execute_pending_actions();
        result
    }

    fn try_propose(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let text = std::str::from_utf8(text)?;
        let published = self.rollout().map(|rollout| rollout.published().version.clone());
        let (number, version) = parse_settings(PROPOSAL_FILE, text, published.as_ref())
            .map_err(ProposalError::InvalidSettings)?;
        match &mut self.state {
            State::ReadingRegister => return Err(ProposalError::NotReady),
            State::Empty => {
                let rollout = Rollout::new(number, version, self.membership.participants())?;
                self.start_rollout(rollout);
            }
            State::Running(rollout) => {
                rollout.handle(RolloutInput::Propose { target: version }, now)?;
                self.queue_rollout_actions();
            }
        }
        Ok(())
    }

    /// Updates the members to those that are alive according to the current assignment.
    pub fn update_members(&mut self, now: Ns, alive: &[Member]) {
        for change in self.membership.update(now, alive) {
            match change {
                MembershipChange::Joined(number) => self.on_member_joined(now, number),
                MembershipChange::Restarted(number) => {
                    self.on_member_gone(now, number);
                    self.on_member_joined(now, number);
                }
                MembershipChange::Gone(number) => {
                    self.log_line(format!("hierarchy member gone number={number}"));
                    self.on_member_gone(now, number);
                }
            }
        }
    }

    fn on_member_joined(&mut self, now: Ns, number: u32) {
        let participant = participant(number);
        self.handle(now, RolloutInput::VersionApplied { participant, number: 0, digest: 0 });
    }

    fn on_member_gone(&mut self, now: Ns, number: u32) {
        self.handle(now, RolloutInput::ParticipantGone { participant: participant(number) });
    }

    /// Handles a member's report of the version that it applies.
    pub fn on_version_applied(&mut self, now: Ns, from: Member, number: u64, digest: u64) {
        if self.membership.is_current(from) {
            let participant = participant(from.number);
            self.handle(now, RolloutInput::VersionApplied { participant, number, digest });
        }
    }

    /// Rolls back the running change. Has no effect if there is no rollout.
    ///
    /// # Errors
    /// Returns an error if there is a rollout but no change is running.
    pub fn roll_back(&mut self, now: Ns) -> Result<(), ProposalError> {
        if let State::Running(rollout) = &mut self.state {
            rollout.handle(RolloutInput::RollBack, now)?;
            self.queue_rollout_actions();
            self.execute_pending_actions();
        }
        Ok(())
    }

    /// Does everything that is due at this time; see [`HierarchyController::next_wakeup`].
    pub fn tick(&mut self, now: Ns) {
        let wakeup = self.rollout().and_then(Rollout::next_wakeup);
        if wakeup.is_some_and(|wakeup| wakeup <= now) {
            self.handle(now, RolloutInput::Tick);
        }
    }

    /// Returns when to call [`HierarchyController::update_members`] and [`HierarchyController::tick`] again at the
    /// latest.
    pub fn next_wakeup(&self) -> Ns {
        let rollout = self.rollout().and_then(Rollout::next_wakeup);
        self.membership.next_deadline().into_iter().chain(rollout).min().unwrap_or(Ns::MAX)
    }

    fn handle(&mut self, now: Ns, input: RolloutInput) {
        let State::Running(rollout) = &mut self.state else { return };
        if let Err(error) = rollout.handle(input, now) {
            self.log_line(format!("hierarchy input rejected: {error}"));
        }
        self.queue_rollout_actions();
        self.execute_pending_actions();
    }

    fn queue_rollout_actions(&mut self) {
        if let State::Running(rollout) = &mut self.state {
            self.pending_actions.extend(rollout.take_actions());
        }
    }

    /// Carries out the pending actions up to the next record, and starts to write that record.
    fn execute_pending_actions(&mut self) {
        while self.pending_write == PendingWrite::None {
            let Some(action) = self.pending_actions.pop_front() else { return };
            match action {
                RolloutAction::Log(line) => self.log_line(line),
                RolloutAction::Publish { number, version } => self.publish(number, &version),
                RolloutAction::Persist(record) => self.persist(record),
            }
        }
    }

    /// Writes a record to the register, together with the records that directly follow it.
    fn persist(&mut self, record: RolloutRecord) {
        self.log.append(record);
        while let Some(RolloutAction::Persist(_)) = self.pending_actions.front() {
            if let Some(RolloutAction::Persist(next)) = self.pending_actions.pop_front() {
                self.log.append(next);
            }
        }
        self.write_log();
    }

    fn write_log(&mut self) {
        match self.log.encode() {
            Ok(bytes) => {
                self.pending_write = PendingWrite::Unconfirmed(bytes.clone());
                self.actions.push(ControllerAction::Persist(bytes));
            }
            Err(error) => {
                if matches!(error, EncodeError::TooLong { .. }) {
                    // Nothing more is published either: the members keep the versions that they apply.
                    self.pending_write = PendingWrite::Blocked;
                }
                self.log_line(error.to_string());
            }
        }
    }

    fn publish(&mut self, number: u64, version: &Hierarchy) {
        match encode_spec(number, version) {
            Ok(bytes) => self.actions.push(ControllerAction::Publish { number, bytes }),
            Err(error) => self.log_line(format!("hierarchy version can't be encoded: {error}")),
        }
    }

    fn log_line(&mut self, line: String) {
        self.actions.push(ControllerAction::Log(line));
    }
}

fn rollout_status(rollout: &Rollout) -> String {
    let change = match rollout.progress() {
        Some(progress) => {
            let suffix = if progress.is_rollback { " as a rollback" } else { "" };
            format!("change {} runs{suffix}, {} steps left", progress.change, progress.remaining_steps)
        }
        None => "no change runs".into(),
    };
    format!(
        "version {} published, {} committed, {change}, {} missing",
        rollout.published().number,
        rollout.committed().number,
        rollout.missing_participants().len()
    )
}
