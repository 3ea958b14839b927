//! The driver of changes of the hierarchy, as a duty that one member of a fleet owns at a time.
//!
//! Its log lies in the duty's register, which a majority of the voters keeps: nothing is told before the entry that
//! says so is surely kept, and a new owner goes on from what it reads there. An old owner that wakes late can neither
//! write to the register nor have a version passed on by voters that know of the new one; what it told before was kept,
//! so the new owner tells the same.
//!
//! No I/O: the caller carries `Order`s out and tells what it hears.

use std::collections::{BTreeMap, VecDeque};

use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingToken, Member, Ns};
use sablecross_hierarchy::rollout::RolloutError;
use sablecross_hierarchy::spec::{self, HierarchySpec};
use sablecross_hierarchy::{Hierarchy, Rollout, RolloutAction, RolloutInput, RolloutRecord};
use thiserror::Error;

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// To the register, whole; `kept` is to be told once it surely is.
    Persist(Vec<u8>),
    /// To all members, until each has it in force.
    Publish {
        number: u64,
        bytes: Vec<u8>,
    },
    Log(String),
}

/// Why a wish came to nothing.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposalError {
    #[error("{0}")]
    Invalid(String),
    #[error("{0}")]
    Rollout(#[from] RolloutError),
    #[error("what the register holds is being read: ask again")]
    NotReady,
}

/// A version as members are told it.
pub fn decode_spec(bytes: &[u8]) -> Result<HierarchySpec, String> {
    rmp_serde::from_slice(bytes).map_err(|e| e.to_string())
}

enum Stage {
    /// Until the register was read.
    Reading,
    /// Nothing was ever kept: the first wish is the version in force.
    Empty,
    Drives(Box<Rollout>),
}

/// The first length of the register's content, so that one of an earlier form is told from a damaged one.
const FORM: u8 = 1;
/// More than a call between members can carry.
const LARGEST: usize = 200_000;

pub struct HierarchyController {
    token: FencingToken,
    stage: Stage,
    /// What the register holds, or is to hold: the log since its last start.
    log: Vec<RolloutRecord>,
    /// What the driver wants done; behind an entry that is not kept yet everything waits.
    waits: VecDeque<RolloutAction>,
    unkept: Option<Vec<u8>>,
    /// Members by number: their lives, and since when they are missed.
    members: BTreeMap<u32, (u64, Option<Ns>)>,
    gone_after: Ns,
    last_no: Option<String>,
    orders: Vec<ControllerAction>,
}

fn party(number: u32) -> sablecross_hierarchy::rollout::Participant {
    format!("member-{number}").into()
}

impl HierarchyController {
    /// From the moment at which the duty is owned. A member that is missed for `gone_after` is taken for gone for good.
    pub fn new(token: FencingToken, gone_after: Ns) -> HierarchyController {
        HierarchyController {
            token,
            stage: Stage::Reading,
            log: Vec::new(),
            waits: VecDeque::new(),
            unkept: None,
            members: BTreeMap::new(),
            gone_after,
            last_no: None,
            orders: Vec::new(),
        }
    }

    pub fn token(&self) -> FencingToken {
        self.token
    }

    pub fn take_actions(&mut self) -> Vec<ControllerAction> {
        std::mem::take(&mut self.orders)
    }

    /// The driver, once the register was read and holds one.
    pub fn rollout(&self) -> Option<&Rollout> {
        if let Stage::Drives(driver) = &self.stage { Some(driver) } else { None }
    }

    /// For operators.
    pub fn status(&self) -> String {
        let said = match &self.stage {
            Stage::Reading => "reads the register".into(),
            Stage::Empty => "no version yet".into(),
            Stage::Drives(d) => {
                let run = d.progress().map_or("no change runs".into(), |(change, back, left)| {
                    format!("change {change} runs{}, {left} steps left", if back { " back" } else { "" })
                });
                format!(
                    "version {} told, {} in force everywhere, {run}, {} missing",
                    d.published().0,
                    d.committed().0,
                    d.missing_participants().len()
                )
            }
        };
        let no = self.last_no.as_ref().map_or(String::new(), |no| format!("; last refused: {no}"));
        said + &no
    }

    /// The register surely holds this: what was read first, then each `Keep`.
    pub fn on_persisted(&mut self, now: Ns, entry: &RegisterValue) {
        if matches!(self.stage, Stage::Reading) {
            self.recover(now, &entry.bytes);
        } else if self.unkept.as_ref() == Some(&entry.bytes) {
            self.unkept = None;
        }
        self.go_on();
    }

    fn recover(&mut self, now: Ns, bytes: &[u8]) {
        if bytes.is_empty() {
            self.stage = Stage::Empty;
            return;
        }
        let records = match bytes.split_first() {
            Some((&FORM, rest)) => {
                rmp_serde::from_slice::<Vec<RolloutRecord>>(rest).map_err(|e| e.to_string())
            }
            _ => Err("another form".into()),
        };
        let found = records.and_then(|records| {
            let parties = self.members.keys().map(|n| party(*n)).collect::<Vec<_>>();
            let driver = Rollout::recover(&records, parties, now).map_err(|no| no.to_string())?;
            Ok((records, driver))
        });
        match found {
            Ok((records, driver)) => {
                self.log = records;
                self.stage = Stage::Drives(Box::new(driver));
                self.take();
            }
            // It is left alone: an operator has to look.
            Err(e) => self
                .orders
                .push(ControllerAction::Log(format!("hierarchy log of the register unreadable: {e}"))),
        }
    }

    /// A version that an operator wants, as a settings file's text.
    pub fn propose(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let done = self.wished(now, text);
        self.last_no = done.as_ref().err().map(ToString::to_string);
        if let Err(no) = &done {
            self.orders.push(ControllerAction::Log(format!("hierarchy wish declined: {no}")));
        }
        self.go_on();
        done
    }

    fn wished(&mut self, now: Ns, text: &[u8]) -> Result<(), ProposalError> {
        let text = std::str::from_utf8(text).map_err(|e| ProposalError::Invalid(e.to_string()))?;
        let known = self.rollout().map(|d| d.published().1.clone());
        let (number, aim) = spec::parse_settings("wish", text, known.as_ref()).map_err(|f| {
            ProposalError::Invalid(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        })?;
        match &mut self.stage {
            Stage::Reading => Err(ProposalError::NotReady),
            Stage::Empty => {
                let parties = self.members.keys().map(|n| party(*n)).collect::<Vec<_>>();
                let driver = Rollout::new(number, aim, parties)?;
                self.stage = Stage::Drives(Box::new(driver));
                self.take();
                Ok(())
            }
            Stage::Drives(driver) => {
                driver.handle(RolloutInput::Propose { target: aim }, now)?;
                self.take();
                Ok(())
            }
        }
    }

    /// Who is alive, by the deal in force. One that is missing may be cut off and go on by what it has: it counts until it is back,
    /// another life of it is there, or it was missed for so long that it is taken for gone.
    pub fn update_members(&mut self, now: Ns, alive: &[Member]) {
        for m in alive {
            let before = self.members.insert(m.number, (m.incarnation, None));
            if before.is_some_and(|(life, _)| life != m.incarnation) {
                // Its earlier life is gone, and it begins with nothing in force.
                self.hear(now, RolloutInput::ParticipantGone { participant: party(m.number) });
            }
            if before.is_none_or(|(life, _)| life != m.incarnation) {
                self.hear(
                    now,
                    RolloutInput::VersionApplied { participant: party(m.number), number: 0, digest: 0 },
                );
            }
        }
        let mut gone = Vec::new();
        for (number, (_, missed)) in &mut self.members {
            if !alive.iter().any(|m| m.number == *number) {
                let since = *missed.get_or_insert(now);
                if now >= since + self.gone_after {
                    gone.push(*number);
                }
            }
        }
        for number in gone {
            self.members.remove(&number);
            self.orders.push(ControllerAction::Log(format!("hierarchy member gone number={number}")));
            self.hear(now, RolloutInput::ParticipantGone { participant: party(number) });
        }
    }

    /// What a member says that it has in force.
    pub fn on_version_applied(&mut self, now: Ns, from: Member, number: u64, digest: u64) {
        // A word of an earlier life came late.
        if self.members.get(&from.number).is_some_and(|(life, _)| *life == from.incarnation) {
            self.hear(now, RolloutInput::VersionApplied { participant: party(from.number), number, digest });
        }
    }

    /// Takes back the change that runs.
    pub fn roll_back(&mut self, now: Ns) -> Result<(), ProposalError> {
        if let Stage::Drives(driver) = &mut self.stage {
            driver.handle(RolloutInput::RollBack, now)?;
            self.take();
            self.go_on();
        }
        Ok(())
    }

    /// What time brings.
    pub fn tick(&mut self, now: Ns) {
        let due = self.rollout().and_then(Rollout::next_wakeup).is_some_and(|w| w <= now);
        if due {
            self.hear(now, RolloutInput::Tick);
        }
    }

    pub fn next_wakeup(&self) -> Ns {
        let missed = self.members.values().filter_map(|(_, m)| m.map(|m| m + self.gone_after)).min();
        let wake = self.rollout().and_then(Rollout::next_wakeup);
        missed.into_iter().chain(wake).min().unwrap_or(Ns::MAX)
    }

    fn hear(&mut self, now: Ns, input: RolloutInput) {
        if let Stage::Drives(driver) = &mut self.stage {
            if let Err(no) = driver.handle(input, now) {
                self.orders.push(ControllerAction::Log(format!("hierarchy: {no}")));
            }
            self.take();
            self.go_on();
        }
    }

    fn take(&mut self) {
        if let Stage::Drives(driver) = &mut self.stage {
            self.waits.extend(driver.take_actions());
        }
    }

    /// Does what stands before the next entry that is not kept.
    fn go_on(&mut self) {
        while self.unkept.is_none() {
            let Some(act) = self.waits.pop_front() else { return };
            match act {
                RolloutAction::Log(line) => self.orders.push(ControllerAction::Log(line)),
                RolloutAction::Publish { number, version } => self.publish(number, &version),
                RolloutAction::Persist(record) => {
                    if matches!(record, RolloutRecord::Checkpoint { .. }) {
                        self.log.clear();
                    }
                    self.log.push(record);
                    // Entries that follow at once are kept with it.
                    while let Some(RolloutAction::Persist(_)) = self.waits.front() {
                        if let Some(RolloutAction::Persist(next)) = self.waits.pop_front() {
                            if matches!(next, RolloutRecord::Checkpoint { .. }) {
                                self.log.clear();
                            }
                            self.log.push(next);
                        }
                    }
                    self.keep();
                }
            }
        }
    }

    fn keep(&mut self) {
        let mut bytes = vec![FORM];
        match rmp_serde::encode::write(&mut bytes, &self.log) {
            Ok(()) if bytes.len() <= LARGEST => {
                self.unkept = Some(bytes.clone());
                self.orders.push(ControllerAction::Persist(bytes));
            }
            // Nothing more is told: what is in force stays.
            Ok(()) => {
                self.unkept = Some(Vec::new());
                let line = format!(
                    "hierarchy log too long bytes={} most={LARGEST}: make smaller changes",
                    bytes.len()
                );
                self.orders.push(ControllerAction::Log(line));
            }
            Err(e) => {
                self.orders.push(ControllerAction::Log(format!("hierarchy log not to be written: {e}")))
            }
        }
    }

    fn publish(&mut self, number: u64, version: &Hierarchy) {
        match rmp_serde::to_vec(&HierarchySpec::from_hierarchy(number, version)) {
            Ok(bytes) => self.orders.push(ControllerAction::Publish { number, bytes }),
            Err(e) => self.orders.push(ControllerAction::Log(format!("hierarchy not to be told: {e}"))),
        }
    }
}
