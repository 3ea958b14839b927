//! A voter for one duty.

use serde::{Deserialize, Serialize};

use crate::{Member, Ns};

/// What a claimant asks of a voter. `round` comes back with the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Would a claim be granted, and past which term? Changes nothing, so that one who is cut off from most voters
    /// drives no term up (pre-vote).
    #[serde(rename = "Look")]
    PreVote { round: u64, from: Member },
    /// Grant, or renew, this term for so long.
    #[serde(rename = "Claim")]
    Acquire { round: u64, from: Member, term: u64, lease: Ns },
    /// The owner needs it no more; `to` may have it at once.
    Release { from: Member, term: u64, to: Option<Member> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The highest term met, who holds it still, and for how long.
    #[serde(rename = "Seen")]
    PreVoteResult {
        round: u64,
        #[serde(rename = "highest")]
        highest_term: u64,
        #[serde(rename = "held")]
        holder: Option<(Member, Ns)>,
    },
    Granted {
        round: u64,
        term: u64,
    },
    /// Not now: as another holds it, or the term is old.
    #[serde(rename = "Refused")]
    Rejected {
        round: u64,
        #[serde(rename = "highest")]
        highest_term: u64,
        #[serde(rename = "held")]
        holder: Option<(Member, Ns)>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    to: Member,
    term: u64,
    until: Ns,
}

/// A lease as it may last by a clock that runs a hundredth slower.
fn by_any_clock(lease: Ns) -> Ns {
    lease + lease / 100
}

/// Grants a duty to one at a time. Without a lasting disk a voter that begins anew has forgotten what it granted: it
/// keeps silent until every lease it may have granted is over. With one it begins `with` what it kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    highest: u64,
    grant: Option<Grant>,
    silent_until: Ns,
    longest: Ns,
}

impl Voter {
    /// Without memory. `longest` bounds every lease, the same at all voters.
    pub fn without_memory(now: Ns, longest: Ns) -> Voter {
        Voter { highest: 0, grant: None, silent_until: now + by_any_clock(longest), longest }
    }

    /// At the very first start of all, or with the highest term that a disk kept: what was granted then may hold still.
    pub fn restored(highest: u64, now: Ns, longest: Ns, first: bool) -> Voter {
        let anew = Voter::without_memory(now, longest);
        Voter { highest, silent_until: if first { now } else { anew.silent_until }, ..anew }
    }

    pub fn highest_term(&self) -> u64 {
        self.highest
    }

    /// A later term was met elsewhere: claims go past it.
    pub fn observe_term(&mut self, term: u64) {
        self.highest = self.highest.max(term);
    }

    /// Whether it says nothing yet, and for how long.
    pub fn silent_for(&self, now: Ns) -> Option<Ns> {
        (now < self.silent_until).then(|| self.silent_until - now)
    }

    /// The owner by this voter, and how long it grants that still.
    pub fn holder(&self, now: Ns) -> Option<(Member, Ns)> {
        self.grant.filter(|g| now < g.until).map(|g| (g.to, g.until - now))
    }

    /// None: it says nothing.
    pub fn on_request(&mut self, now: Ns, ask: LeaseRequest) -> Option<LeaseReply> {
        if self.silent_for(now).is_some() {
            // What it learns of terms meanwhile it keeps.
            if let LeaseRequest::Acquire { term, .. } = ask {
                self.highest = self.highest.max(term);
            }
            return None;
        }
        match ask {
            LeaseRequest::PreVote { round, from } => {
                let held = self.holder(now).filter(|(owner, _)| *owner != from);
                Some(LeaseReply::PreVoteResult { round, highest_term: self.highest, holder: held })
            }
            LeaseRequest::Acquire { round, from, term, lease } => {
                let held = self.holder(now).filter(|(owner, _)| *owner != from);
                let renews = self.grant.is_some_and(|g| (g.to, g.term) == (from, term));
                if held.is_some() || term < self.highest || term == self.highest && !renews {
                    return Some(LeaseReply::Rejected { round, highest_term: self.highest, holder: held });
                }
                self.highest = term;
                // A renewal that was overtaken on its way shortens nothing.
                let before = self.grant.filter(|_| renews).map_or(0, |g| g.until);
                let until = (now + by_any_clock(lease.min(self.longest))).max(before);
                self.grant = Some(Grant { to: from, term, until });
                Some(LeaseReply::Granted { round, term })
            }
            LeaseRequest::Release { from, term, to } => {
                if let Some(g) = self.grant.filter(|g| (g.to, g.term) == (from, term)) {
                    // The named one has the rest of the lease to claim it before others.
                    self.grant = to.map(|to| Grant { to, ..g });
                }
                None
            }
        }
    }
}
