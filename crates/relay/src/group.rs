//! The group of voters: one of them at a time takes events in and numbers them; what a majority keeps is told.

use std::collections::BTreeMap;

use sablecross_duty::{Ask, Member, Ns, Reply as Said, Rules as SeatRules, Token};
use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::log::{Base, Entry, Log};
use crate::relay::{Do, Refusal, Status};
use crate::upstream::Freshness;

/// The same at all voters.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The names of the voters' relays, by their places.
    pub names: Vec<String>,
    pub seat: SeatRules,
    /// A call to a voter without an answer is over after this.
    pub patience: Ns,
    /// The owner speaks to each voter at least this often.
    pub beat: Ns,
    /// Most bytes of entries in one call.
    pub most_call: usize,
    /// Voters that all, or most, began anew go on with what is left once all have spoken, or a majority after this time.
    pub anew_after: Ns,
    /// A purge may be made so far ahead of the owner's clock.
    pub ahead: Ns,
    pub defences: Defences,
}

/// What may be left out, to see that the trials find it. All true, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Defences {
    /// Voters refuse older tokens.
    pub gate: bool,
    /// Entries are kept only behind the one that the owner had before them.
    pub previous: bool,
    /// Only what a majority keeps is told.
    pub majority: bool,
    /// A voter that began anew asks others before it speaks.
    pub learning: bool,
    /// Answers of a voter's earlier life do not count beside those that know of a later one.
    pub lives: bool,
}

impl Default for Defences {
    fn default() -> Defences {
        Defences { gate: true, previous: true, majority: true, learning: true, lives: true }
    }
}

/// What a voter holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// When the log began anew, Unix ms: what was numbered before that is another log.
    pub era: u64,
    /// Its last entry, with its owner's token, and the last that may be told.
    pub last: (u64, Token),
    pub committed: u64,
    /// Where what was asked for begins before the entries that are left.
    pub base: Option<Base>,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Of the duty of feeding.
    Duty(Ask),
    /// By a voter that begins anew: what do you hold?
    Learn,
    /// By a new owner: older ones are shut out from here on; what do you hold after this number of this era?
    Read { by: Token, era: u64, after: u64 },
    /// By the owner: keep these behind the previous one, and tell up to `committed`.
    Keep {
        by: Token,
        era: u64,
        previous: (u64, Token),
        base: Option<Base>,
        entries: Vec<Entry>,
        committed: u64,
    },
}

/// The body of a call between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The place of the caller, and the latest lives of all that it knows of.
    pub from: u32,
    pub lives: Vec<u64>,
    pub call: Call,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub lives: Vec<u64>,
    pub answer: Answer,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It says nothing yet.
    #[default]
    Nothing,
    Duty(Said),
    /// To one that begins anew: the newest token met, and whether all that was kept is known here.
    Learnt {
        promised: Token,
        sure: bool,
        held: Held,
    },
    /// To a new owner.
    Held {
        by: Token,
        sure: bool,
        held: Held,
    },
    /// Kept up to this number; all that count here have the floor in force.
    Kept {
        by: Token,
        upto: u64,
        floor: u64,
    },
    /// What is before that is not as the owner has it: what it has in common ends here at the latest.
    Has {
        by: Token,
        era: u64,
        committed: u64,
    },
    /// A newer owner was met.
    Old(Token),
}

#[derive(Debug)]
pub struct Group {
    rules: Rules,
    log: Log,
    _place: u32,
    _me: Member,
    _waits: BTreeMap<u64, u64>,
}

impl Group {
    pub fn new(me: Member, place: u32, rules: Rules, log: Log, _chance: u64, _now: Ns) -> Group {
        Group { rules, log, _place: place, _me: me, _waits: BTreeMap::new() }
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn log_mut(&mut self) -> &mut Log {
        &mut self.log
    }

    /// The token under which it is the source now.
    pub fn token(&self, _now: Ns) -> Option<Token> {
        None
    }

    /// The owner that was heard of last.
    pub fn owner(&self, _now: Ns) -> Option<Member> {
        None
    }

    pub fn next(&self) -> Ns {
        self.rules.beat
    }

    pub fn fresh(&self, _now: Ns) -> Freshness {
        Freshness::never()
    }

    pub fn step(&mut self, _now: Ns, _unix: u64) -> Vec<Do> {
        Vec::new()
    }

    pub fn called(&mut self, _now: Ns, _unix: u64, _request: Request, _floor: u64) -> (Reply, Vec<Do>) {
        (Reply::default(), Vec::new())
    }

    /// With the name and the floor of the voter, where it said so.
    pub fn answered(
        &mut self,
        _now: Ns,
        _unix: u64,
        _voter: u32,
        _number: u64,
        _reply: Reply,
    ) -> (Option<(String, u64)>, Vec<Do>) {
        (None, Vec::new())
    }

    pub fn publish(
        &mut self,
        _now: Ns,
        _unix: u64,
        _ticket: u64,
        _mark: Option<&str>,
        _event: Event,
        _most_log: usize,
    ) -> Result<Vec<Do>, Refusal> {
        Err(Refusal::NotOwner(None))
    }

    pub fn hand_over(&mut self, _now: Ns) -> Vec<Do> {
        Vec::new()
    }

    pub fn shows(&self, _now: Ns, _status: &mut Status) {}
}
