//! The state machine of the controller.

use std::collections::VecDeque;

use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingToken, Member, Ns};
use sablecross_hierarchy::rollout::RolloutError;
use sablecross_hierarchy::spec::{ConfigError, parse_settings};
use sablecross_hierarchy::{Hierarchy, Rollout, RolloutAction, RolloutInput, RolloutRecord};
use thiserror::Error;

use crate::membership::{Membership, MembershipChange, participant};
use crate::register_log::{DecodeError, EncodeError, RegisterLog, encode_spec};

/// The name of a proposal in the errors of its settings.
const PROPOSAL_FILE: &str = "proposal";

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Write this to the register as its whole content, and call [`HierarchyController::on_persisted`] once a majority
    /// has stored it.
    Persist(Vec<u8>),
    /// Send the version to all members, repeatedly until each has applied it.
    Publish {
        /// The number of the version.
        number: u64,
        /// The version; see [`decode_spec`](crate::decode_spec).
        bytes: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposalError {
    /// The proposal is not text.
    #[error(transparent)]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The proposal is not the text of a settings file.
    #[error("{}", join_errors(.0))]
    InvalidSettings(Vec<ConfigError>),
    /// The rollout rejected the version.
    #[error(transparent)]
    Rollout(#[from] RolloutError),
    /// The register has not been read yet.
    #[error("the register is being read: propose again")]
    NotReady,
}

fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Why the content of the register can't be continued from.
#[derive(Debug, Error)]
enum RecoveryError {
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Rollout(#[from] RolloutError),
}

/// What is known of the rollout.
enum State {
    /// The register has not been read yet, or can't be.
    ReadingRegister,
    /// Nothing was ever stored: the first proposal becomes the committed version.
    Empty,
    Running(Box<Rollout>),
}

/// What is written to the register.
#[derive(Debug, PartialEq)]
enum PendingWrite {
    None,
    /// These bytes have not been confirmed.
    Unconfirmed(Vec<u8>),
    /// The log is too long for the register: nothing more is written, and nothing more is sent.
    Blocked,
}

/// Rolls changes out while this member holds the role.
pub struct HierarchyController {
    token: FencingToken,
    state: State,
    /// The content of the register, or what is being written to it.
    log: RegisterLog,
    /// The actions of the rollout that are not carried out yet; all wait for a record that is not stored yet.
    waiting: VecDeque<RolloutAction>,
    pending_write: PendingWrite,
    membership: Membership,
    last_rejection: Option<ProposalError>,
    actions: Vec<ControllerAction>,
}

impl HierarchyController {
    /// Starts when the role was acquired with this token. A member that is missing for `gone_after` nanoseconds is
    /// considered gone for good.
    pub fn new(token: FencingToken, gone_after: Ns) -> HierarchyController {
        HierarchyController {
            token,
            state: State::ReadingRegister,
            log: RegisterLog::default(),
            waiting: VecDeque::new(),
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

    /// Takes the actions that are due, in the order in which they have to be carried out.
    pub fn take_actions(&mut self) -> Vec<ControllerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The rollout, once the register was read and contains one.
    pub fn rollout(&self) -> Option<&Rollout> {
        if let State::Running(rollout) = &self.state { Some(rollout) } else { None }
    }

    /// One line for operators. The command line looks for `no change runs`, `0 missing` and `last refused` in it.
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

    /// A majority stores this content of the register: first the one that was read, then each that was written.
    pub fn on_persisted(&mut self, now: Ns, value: &RegisterValue) {
        if matches!(self.state, State::ReadingRegister) {
            self.recover(now, &value.bytes);
        } else if matches!(&self.pending_write, PendingWrite::Unconfirmed(bytes) if *bytes == value.bytes) {
            self.pending_write = PendingWrite::None;
        }
        self.carry_out_waiting();
    }

    fn recover(&mut self, now: Ns, bytes: &[u8]) {
        if bytes.is_empty() {
            self.state = State::Empty;
            return;
        }
        match self.recover_rollout(now, bytes) {
            Ok((log, rollout)) => {
                self.log = log;
                self.run(rollout);
            }
            // The register stays as it is: an operator has to look at it.
            Err(error) => self.log_line(format!("hierarchy log of the register unreadable: {error}")),
        }
    }

    fn recover_rollout(&self, now: Ns, bytes: &[u8]) -> Result<(RegisterLog, Rollout), RecoveryError> {
        let log = RegisterLog::decode(bytes)?;
        let rollout = Rollout::recover(log.records(), self.membership.participants(), now)?;
        Ok((log, rollout))
    }

    fn run(&mut self, rollout: Rollout) {
        self.state = State::Running(Box::new(rollout));
        self.take_rollout_actions();
    }

    /// An operator proposes a version, as the text of a settings file.
    ///
    /// # Errors
    /// Why it was rejected; that is logged, and part of the status.
    pub fn propose(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let result = self.try_propose(now, text);
        if let Err(error) = &result {
            self.log_line(format!("hierarchy proposal rejected: {error}"));
        }
        self.last_rejection = result.as_ref().err().cloned();
        self.carry_out_waiting();
        result
    }

    fn try_propose(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let text = std::str::from_utf8(text)?;
        let known = self.rollout().map(|rollout| rollout.published().version.clone());
        let (number, version) =
            parse_settings(PROPOSAL_FILE, text, known.as_ref()).map_err(ProposalError::InvalidSettings)?;
        match &mut self.state {
            State::ReadingRegister => return Err(ProposalError::NotReady),
            State::Empty => {
                let rollout = Rollout::new(number, version, self.membership.participants())?;
                self.run(rollout);
            }
            State::Running(rollout) => {
                rollout.handle(RolloutInput::Propose { target: version }, now)?;
                self.take_rollout_actions();
            }
        }
        Ok(())
    }

    /// The members that are alive, by the assignment in force.
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

    /// A member reports the version that it applies.
    pub fn on_version_applied(&mut self, now: Ns, from: Member, number: u64, digest: u64) {
        if self.membership.is_current(from) {
            let participant = participant(from.number);
            self.handle(now, RolloutInput::VersionApplied { participant, number, digest });
        }
    }

    /// Rolls the running change back.
    ///
    /// # Errors
    /// If no change is running.
    pub fn roll_back(&mut self, now: Ns) -> Result<(), ProposalError> {
        if let State::Running(rollout) = &mut self.state {
            rollout.handle(RolloutInput::RollBack, now)?;
            self.take_rollout_actions();
            self.carry_out_waiting();
        }
        Ok(())
    }

    /// Does what is due at this time; see [`HierarchyController::next_wakeup`].
    pub fn tick(&mut self, now: Ns) {
        let wakeup = self.rollout().and_then(Rollout::next_wakeup);
        if wakeup.is_some_and(|wakeup| wakeup <= now) {
            self.handle(now, RolloutInput::Tick);
        }
    }

    /// When to call [`HierarchyController::update_members`] and [`HierarchyController::tick`] again at the latest.
    pub fn next_wakeup(&self) -> Ns {
        let rollout = self.rollout().and_then(Rollout::next_wakeup);
        self.membership.next_deadline().into_iter().chain(rollout).min().unwrap_or(Ns::MAX)
    }

    fn handle(&mut self, now: Ns, input: RolloutInput) {
        let State::Running(rollout) = &mut self.state else { return };
        if let Err(error) = rollout.handle(input, now) {
            self.log_line(format!("hierarchy input rejected: {error}"));
        }
        self.take_rollout_actions();
        self.carry_out_waiting();
    }

    fn take_rollout_actions(&mut self) {
        if let State::Running(rollout) = &mut self.state {
            self.waiting.extend(rollout.take_actions());
        }
    }

    /// Carries out what comes before the next record that is not stored yet, and starts to write that.
    fn carry_out_waiting(&mut self) {
        while self.pending_write == PendingWrite::None {
            let Some(action) = self.waiting.pop_front() else { return };
            match action {
                RolloutAction::Log(line) => self.log_line(line),
                RolloutAction::Publish { number, version } => self.publish(number, &version),
                RolloutAction::Persist(record) => self.persist(record),
            }
        }
    }

    /// Writes a record to the register, together with those that follow it directly.
    fn persist(&mut self, record: RolloutRecord) {
        self.log.append(record);
        while let Some(RolloutAction::Persist(_)) = self.waiting.front() {
            if let Some(RolloutAction::Persist(next)) = self.waiting.pop_front() {
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
                    // Nothing more is sent: the versions that members apply stay.
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
            let back = if progress.is_rollback { " as a rollback" } else { "" };
            format!("change {} runs{back}, {} steps left", progress.change, progress.remaining_steps)
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
