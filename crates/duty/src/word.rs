//! What the members of a fleet say to the voters, and what these answer. One call holds several words; none waits for
//! another, and each may be lost, doubled or late.

use serde::{Deserialize, Serialize};

use crate::voter::{Ask, Reply};
use crate::{Member, Ns, Token, Want};

/// A duty by its number.
pub type Duty = u16;

/// The duty of dealing chores to those who are alive.
pub const DEALING: Duty = 0;

/// Which deal of chores: the term of the dealer and the number of its deal, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub term: u64,
    pub number: u64,
}

/// Deals of one term have numbers below this.
const DEALS: u64 = 1 << 24;

impl Stamp {
    /// What goes along with an effect of whoever holds a share by this deal: gates take it as any other token.
    pub fn token(self, owner: Member) -> Token {
        Token { term: self.term.saturating_mul(DEALS) | self.number.min(DEALS - 1), owner }
    }

    /// The deal of such a token.
    pub fn of(token: Token) -> Stamp {
        Stamp { term: token.term / DEALS, number: token.term % DEALS }
    }
}

/// To whom chores are dealt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    #[serde(rename = "stamp")]
    pub stamp: Stamp,
    #[serde(rename = "dealer")]
    pub dealer: Member,
    /// In the order of their numbers.
    pub members: Vec<Member>,
}

/// How a box was found.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// With how busy it is, from 0 to 1, where it says so.
    #[serde(rename = "Well")]
    Well(Option<f32>),
    #[serde(rename = "Ailing")]
    Ailing,
    /// No answer in time.
    #[serde(rename = "Silent")]
    Silent,
}

/// What a probe found, so long ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    #[serde(rename = "chore")]
    pub chore: u64,
    pub age: Ns,
    pub state: State,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    pub from: Member,
    #[serde(rename = "words")]
    pub words: Vec<Word>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// I am alive and go by this deal.
    #[serde(rename = "Here")]
    Here(Stamp),
    /// I end.
    #[serde(rename = "Leaves")]
    Leaves,
    #[serde(rename = "Ask")]
    Ask(Duty, Ask),
    /// The dealer's, to be kept and passed on.
    #[serde(rename = "Deal")]
    Deal(Roster),
    /// The dealer lives, and that deal is in force still.
    #[serde(rename = "Deals")]
    Deals(Token, Stamp),
    #[serde(rename = "Found")]
    Found(Vec<Finding>),
    /// What I am asked for most, with how often of late.
    #[serde(rename = "Hot")]
    Hot(Vec<(Want, f32)>),
    /// What was found since that number?
    #[serde(rename = "Facts")]
    Facts(u64),
    /// A gate was passed by a later term than the one I was given.
    #[serde(rename = "Behind")]
    Behind(Duty, u64),
    /// The register of a duty: its owner reads it, or writes it whole.
    #[serde(rename = "Read")]
    Read(Duty, Token),
    #[serde(rename = "Write")]
    Write(Duty, Entry),
    /// The owner's: to be passed on to all members, unless a later one is.
    #[serde(rename = "Tell")]
    Tell {
        #[serde(rename = "duty")]
        duty: Duty,
        #[serde(rename = "by")]
        by: Token,
        number: u64,
        bytes: Vec<u8>,
    },
    /// The number of what I was told last of a duty; and what I have in force of it, by number and digest.
    #[serde(rename = "Has")]
    Has(Duty, u64, (u64, u64)),
    /// A voter that begins anew asks another what it met.
    #[serde(rename = "Learn")]
    Learn(Duty),
    /// What an operator wants of a duty.
    #[serde(rename = "Wish")]
    Wish(Duty, Vec<u8>),
    #[serde(rename = "Show")]
    Show,
    HandOver(Duty, Option<u32>),
}

/// What a register holds: the count of its changes, by whom the last one was written, and what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    #[serde(rename = "count")]
    pub count: u64,
    #[serde(rename = "by")]
    pub by: Token,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    #[serde(rename = "Said")]
    Said(Duty, Reply),
    /// A newer deal than yours, whole, or what has changed since yours.
    #[serde(rename = "Dealt")]
    Dealt(Roster),
    #[serde(rename = "Moved")]
    Moved {
        since: Stamp,
        #[serde(rename = "stamp")]
        stamp: Stamp,
        #[serde(rename = "dealer")]
        dealer: Member,
        joined: Vec<Member>,
        left: Vec<Member>,
    },
    /// To the dealer: the deal that is kept here.
    #[serde(rename = "Keeps")]
    Keeps(Stamp),
    /// The dealer was heard of lately, and this is its deal.
    #[serde(rename = "Holds")]
    Holds(Stamp),
    /// A later life of your number has spoken: you are none, or your clock was set back.
    Displaced(u64),
    #[serde(rename = "Facts")]
    Facts {
        #[serde(rename = "upto")]
        upto: u64,
        #[serde(rename = "findings")]
        findings: Vec<Finding>,
    },
    /// Its token is older than this one.
    #[serde(rename = "Old")]
    Old(Duty, Token),
    /// What the register holds. `whole`: what was written before is surely known here.
    #[serde(rename = "Kept")]
    Kept {
        #[serde(rename = "duty")]
        duty: Duty,
        #[serde(rename = "to")]
        to: Token,
        #[serde(rename = "entry")]
        entry: Entry,
        #[serde(rename = "whole")]
        whole: bool,
    },
    #[serde(rename = "Wrote")]
    Wrote {
        #[serde(rename = "duty")]
        duty: Duty,
        #[serde(rename = "by")]
        by: Token,
        #[serde(rename = "count")]
        count: u64,
    },
    #[serde(rename = "Learnt")]
    Learnt(Duty, Token, bool),
    /// Of a duty's owner, later than what you were told.
    #[serde(rename = "Told")]
    Told(Duty, u64, Vec<u8>),
    #[serde(rename = "Shown")]
    Shown(Shown),
    /// Whether a hand-over has begun here.
    #[serde(rename = "HandsOver")]
    HandsOver(Duty, bool),
    /// A wish was heard by the owner, or who that is.
    #[serde(rename = "Wished")]
    Wished(Duty, Result<(), String>),
}

/// What operators see of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    #[serde(rename = "me")]
    pub me: Member,
    /// Whose number votes here, if one does, and for how long it keeps silent still.
    pub voter: Option<u32>,
    #[serde(rename = "silent")]
    pub silent: Ns,
    #[serde(rename = "duties")]
    pub duties: Vec<Held>,
    #[serde(rename = "roster")]
    pub roster: Roster,
    /// For how long its chores are its own still; 0: not now.
    #[serde(rename = "holds")]
    pub holds: Ns,
    #[serde(rename = "chores")]
    pub chores: u32,
    #[serde(rename = "probes")]
    pub probes: u64,
    /// Words and effects of old owners that were refused: here as a voter, here as a member, and of this one at gates.
    #[serde(rename = "refused")]
    pub refused: u64,
    #[serde(rename = "passed_over")]
    pub passed_over: u64,
    #[serde(rename = "was_refused")]
    pub was_refused: u64,
    /// What an own duty says of itself.
    #[serde(rename = "status")]
    pub status: Vec<(Duty, String)>,
}

/// A duty as a voter, or its owner, sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Held {
    #[serde(rename = "duty")]
    pub duty: Duty,
    #[serde(rename = "highest")]
    pub highest: u64,
    #[serde(rename = "owner")]
    pub owner: Option<(Member, Ns)>,
    /// The token and for how long, where this member owns it.
    #[serde(rename = "own")]
    pub own: Option<(Token, Ns)>,
}
