//! The driver of changes of the hierarchy, as a duty that one member of a fleet owns at a time.
//!
//! Its log lies in the duty's register, which a majority of the voters keeps: nothing is told before the entry that
//! says so is surely kept, and a new owner goes on from what it reads there. An old owner that wakes late can neither
//! write to the register nor have a version passed on by voters that know of the new one; what it told before was kept,
//! so the new owner tells the same.
//!
//! No I/O: the caller carries `Order`s out and tells what it hears.

use std::collections::{BTreeMap, VecDeque};

use sablecross_duty::word::Entry;
use sablecross_duty::{Member, Ns, Token};
use sablecross_hierarchy::change::No;
use sablecross_hierarchy::spec::{self, Told};
use sablecross_hierarchy::{Act, Driver, Hierarchy, Input, Record};
use thiserror::Error;

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// To the register, whole; `kept` is to be told once it surely is.
    Keep(Vec<u8>),
    /// To all members, until each has it in force.
    Publish {
        number: u64,
        bytes: Vec<u8>,
    },
    Note(String),
}

/// Why a wish came to nothing.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Declined {
    #[error("{0}")]
    Faulty(String),
    #[error("{0}")]
    Driver(#[from] No),
    #[error("what the register holds is being read: ask again")]
    Reading,
}

/// A version as members are told it.
pub fn told(bytes: &[u8]) -> Result<Told, String> {
    rmp_serde::from_slice(bytes).map_err(|e| e.to_string())
}

enum Stage {
    /// Until the register was read.
    Reading,
    /// Nothing was ever kept: the first wish is the version in force.
    Empty,
    Drives(Box<Driver>),
}

/// The first length of the register's content, so that one of an earlier form is told from a damaged one.
const FORM: u8 = 1;
/// More than a call between members can carry.
const LARGEST: usize = 200_000;

pub struct Driving {
    token: Token,
    stage: Stage,
    /// What the register holds, or is to hold: the log since its last start.
    log: Vec<Record>,
    /// What the driver wants done; behind an entry that is not kept yet everything waits.
    waits: VecDeque<Act>,
    unkept: Option<Vec<u8>>,
    /// Members by number: their lives, and since when they are missed.
    members: BTreeMap<u32, (u64, Option<Ns>)>,
    gone_after: Ns,
    last_no: Option<String>,
    orders: Vec<Order>,
}

fn party(number: u32) -> sablecross_hierarchy::change::Party {
    format!("member-{number}").into()
}

impl Driving {
    /// From the moment at which the duty is owned. A member that is missed for `gone_after` is taken for gone for good.
    pub fn begin(token: Token, gone_after: Ns) -> Driving {
        Driving {
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

    pub fn token(&self) -> Token {
        self.token
    }

    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The driver, once the register was read and holds one.
    pub fn driver(&self) -> Option<&Driver> {
        if let Stage::Drives(driver) = &self.stage { Some(driver) } else { None }
    }

    /// For operators.
    pub fn status(&self) -> String {
        let said = match &self.stage {
            Stage::Reading => "reads the register".into(),
            Stage::Empty => "no version yet".into(),
            Stage::Drives(d) => {
                let run = d.running().map_or("no change runs".into(), |(change, back, left)| {
                    format!("change {change} runs{}, {left} steps left", if back { " back" } else { "" })
                });
                format!(
                    "version {} told, {} in force everywhere, {run}, {} missing",
                    d.told().0,
                    d.in_force().0,
                    d.missing().len()
                )
            }
        };
        let no = self.last_no.as_ref().map_or(String::new(), |no| format!("; last refused: {no}"));
        said + &no
    }

    /// The register surely holds this: what was read first, then each `Keep`.
    pub fn kept(&mut self, now: Ns, entry: &Entry) {
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
            Some((&FORM, rest)) => rmp_serde::from_slice::<Vec<Record>>(rest).map_err(|e| e.to_string()),
            _ => Err("another form".into()),
        };
        let found = records.and_then(|records| {
            let parties = self.members.keys().map(|n| party(*n)).collect::<Vec<_>>();
            let driver = Driver::recover(&records, parties, now).map_err(|no| no.to_string())?;
            Ok((records, driver))
        });
        match found {
            Ok((records, driver)) => {
                self.log = records;
                self.stage = Stage::Drives(Box::new(driver));
                self.take();
            }
            // It is left alone: an operator has to look.
            Err(e) => self.orders.push(Order::Note(format!("hierarchy log of the register unreadable: {e}"))),
        }
    }

    /// A version that an operator wants, as a settings file's text.
    pub fn wish(&mut self, now: Ns, text: &[u8]) -> Result<(), Declined> {
        let done = self.wished(now, text);
        self.last_no = done.as_ref().err().map(ToString::to_string);
        if let Err(no) = &done {
            self.orders.push(Order::Note(format!("hierarchy wish declined: {no}")));
        }
        self.go_on();
        done
    }

    fn wished(&mut self, now: Ns, text: &[u8]) -> Result<(), Declined> {
        let text = std::str::from_utf8(text).map_err(|e| Declined::Faulty(e.to_string()))?;
        let known = self.driver().map(|d| d.told().1.clone());
        let (number, aim) = spec::read("wish", text, known.as_ref()).map_err(|f| {
            Declined::Faulty(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        })?;
        match &mut self.stage {
            Stage::Reading => Err(Declined::Reading),
            Stage::Empty => {
                let parties = self.members.keys().map(|n| party(*n)).collect::<Vec<_>>();
                let driver = Driver::new(number, aim, parties)?;
                self.stage = Stage::Drives(Box::new(driver));
                self.take();
                Ok(())
            }
            Stage::Drives(driver) => {
                driver.hear(Input::Propose { aim }, now)?;
                self.take();
                Ok(())
            }
        }
    }

    /// Who is alive, by the deal in force. One that is missing may be cut off and go on by what it has: it counts until it is back,
    /// another life of it is there, or it was missed for so long that it is taken for gone.
    pub fn members(&mut self, now: Ns, alive: &[Member]) {
        for m in alive {
            let before = self.members.insert(m.number, (m.life, None));
            if before.is_some_and(|(life, _)| life != m.life) {
                // Its earlier life is gone, and it begins with nothing in force.
                self.hear(now, Input::Gone { party: party(m.number) });
            }
            if before.is_none_or(|(life, _)| life != m.life) {
                self.hear(now, Input::InForce { party: party(m.number), number: 0, digest: 0 });
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
            self.orders.push(Order::Note(format!("hierarchy member gone number={number}")));
            self.hear(now, Input::Gone { party: party(number) });
        }
    }

    /// What a member says that it has in force.
    pub fn in_force(&mut self, now: Ns, from: Member, number: u64, digest: u64) {
        // A word of an earlier life came late.
        if self.members.get(&from.number).is_some_and(|(life, _)| *life == from.life) {
            self.hear(now, Input::InForce { party: party(from.number), number, digest });
        }
    }

    /// Takes back the change that runs.
    pub fn take_back(&mut self, now: Ns) -> Result<(), Declined> {
        if let Stage::Drives(driver) = &mut self.stage {
            driver.hear(Input::TakeBack, now)?;
            self.take();
            self.go_on();
        }
        Ok(())
    }

    /// What time brings.
    pub fn step(&mut self, now: Ns) {
        let due = self.driver().and_then(Driver::wake).is_some_and(|w| w <= now);
        if due {
            self.hear(now, Input::Tick);
        }
    }

    pub fn next(&self) -> Ns {
        let missed = self.members.values().filter_map(|(_, m)| m.map(|m| m + self.gone_after)).min();
        let wake = self.driver().and_then(Driver::wake);
        missed.into_iter().chain(wake).min().unwrap_or(Ns::MAX)
    }

    fn hear(&mut self, now: Ns, input: Input) {
        if let Stage::Drives(driver) = &mut self.stage {
            if let Err(no) = driver.hear(input, now) {
                self.orders.push(Order::Note(format!("hierarchy: {no}")));
            }
            self.take();
            self.go_on();
        }
    }

    fn take(&mut self) {
        if let Stage::Drives(driver) = &mut self.stage {
            self.waits.extend(driver.acts());
        }
    }

    /// Does what stands before the next entry that is not kept.
    fn go_on(&mut self) {
        while self.unkept.is_none() {
            let Some(act) = self.waits.pop_front() else { return };
            match act {
                Act::Note(line) => self.orders.push(Order::Note(line)),
                Act::Publish { number, version } => self.publish(number, &version),
                Act::Write(record) => {
                    if matches!(record, Record::Start { .. }) {
                        self.log.clear();
                    }
                    self.log.push(record);
                    // Entries that follow at once are kept with it.
                    while let Some(Act::Write(_)) = self.waits.front() {
                        if let Some(Act::Write(next)) = self.waits.pop_front() {
                            if matches!(next, Record::Start { .. }) {
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
                self.orders.push(Order::Keep(bytes));
            }
            // Nothing more is told: what is in force stays.
            Ok(()) => {
                self.unkept = Some(Vec::new());
                let line = format!(
                    "hierarchy log too long bytes={} most={LARGEST}: make smaller changes",
                    bytes.len()
                );
                self.orders.push(Order::Note(line));
            }
            Err(e) => self.orders.push(Order::Note(format!("hierarchy log not to be written: {e}"))),
        }
    }

    fn publish(&mut self, number: u64, version: &Hierarchy) {
        match rmp_serde::to_vec(&Told::of(number, version)) {
            Ok(bytes) => self.orders.push(Order::Publish { number, bytes }),
            Err(e) => self.orders.push(Order::Note(format!("hierarchy not to be told: {e}"))),
        }
    }
}
