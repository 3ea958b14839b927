//! Grants the lease of one role.

use serde::{Deserialize, Serialize};

use crate::{Member, Ns};

/// A request of a [`LeaseCandidate`](crate::LeaseCandidate) to a voter. The reply repeats `round`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Asks whether the lease would be granted, and which is the highest term. A pre-vote changes nothing at the
    /// voter, so that a candidate that reaches only a minority of the voters can't raise terms.
    #[serde(rename = "Look")]
    PreVote {
        /// The candidate's round of requests.
        round: u64,
        /// The candidate.
        from: Member,
    },
    /// Asks for the lease at this term, or for its renewal.
    #[serde(rename = "Claim")]
    Acquire {
        /// The candidate's round of requests.
        round: u64,
        /// The candidate, or the holder that renews.
        from: Member,
        /// The requested term; the term of the lease for a renewal.
        term: u64,
        /// The duration of the lease.
        lease: Ns,
    },
    /// The holder releases the lease before it expires. There is no reply.
    Release {
        /// The holder.
        from: Member,
        /// The term of its lease.
        term: u64,
        /// A successor that may acquire the lease at once. Without a successor, any candidate may.
        to: Option<Member>,
    },
}

/// A voter's reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseReply {
    /// Reply to [`LeaseRequest::PreVote`].
    #[serde(rename = "Seen")]
    PreVoteResult {
        /// The round of the request.
        round: u64,
        /// The highest term that the voter knows of.
        #[serde(rename = "highest")]
        highest_term: u64,
        /// Another member that currently holds the lease.
        #[serde(rename = "held")]
        holder: Option<LeaseHolder>,
    },
    /// The lease is granted or renewed.
    Granted {
        /// The round of the request.
        round: u64,
        /// The granted term.
        term: u64,
    },
    /// Another member holds the lease, or the requested term is not above the highest one.
    #[serde(rename = "Refused")]
    Rejected {
        /// The round of the request.
        round: u64,
        /// The highest term that the voter knows of.
        #[serde(rename = "highest")]
        highest_term: u64,
        /// Another member that currently holds the lease.
        #[serde(rename = "held")]
        holder: Option<LeaseHolder>,
    },
}

/// A member that holds a lease, as a voter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Member, Ns)", into = "(Member, Ns)")]
pub struct LeaseHolder {
    /// The holder.
    pub member: Member,
    /// How long the lease remains granted at the voter.
    pub remaining: Ns,
}

impl From<(Member, Ns)> for LeaseHolder {
    fn from((member, remaining): (Member, Ns)) -> LeaseHolder {
        LeaseHolder { member, remaining }
    }
}

impl From<LeaseHolder> for (Member, Ns) {
    fn from(holder: LeaseHolder) -> (Member, Ns) {
        (holder.member, holder.remaining)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    to: Member,
    term: u64,
    until: Ns,
}

/// Extends a lease by 1 percent, in case the holder's clock runs slower than the voter's.
fn with_clock_drift_margin(lease: Ns) -> Ns {
    lease + lease / 100
}

/// Grants the lease of one role to one member at a time.
///
/// A voter keeps nothing on disk, so it forgets its grants when it restarts. After a restart it is silent: it does
/// not reply until every lease that it may have granted has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseVoter {
    highest_term: u64,
    grant: Option<Grant>,
    silent_until: Ns,
    max_lease: Ns,
}

impl LeaseVoter {
    /// Creates a voter that may have granted leases before a restart and has forgotten them. `max_lease` bounds the
    /// duration of a lease and must be the same at all voters.
    pub fn after_restart(now: Ns, max_lease: Ns) -> LeaseVoter {
        LeaseVoter {
            highest_term: 0,
            grant: None,
            silent_until: now + with_clock_drift_margin(max_lease),
            max_lease,
        }
    }

    /// Creates a voter that has certainly granted nothing before. It replies at once.
    pub fn first_start(now: Ns, max_lease: Ns) -> LeaseVoter {
        LeaseVoter { silent_until: now, ..LeaseVoter::after_restart(now, max_lease) }
    }

    /// The highest term that the voter has granted or learned of.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Records a term that was learned elsewhere, so that the next lease needs a higher one.
    pub fn observe_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    /// The remaining time of the silence after a restart, if the voter is still silent.
    pub fn silent_for(&self, now: Ns) -> Option<Ns> {
        (now < self.silent_until).then(|| self.silent_until - now)
    }

    /// Returns who holds the lease and for how long.
    pub fn holder(&self, now: Ns) -> Option<LeaseHolder> {
        let grant = self.grant.filter(|grant| now < grant.until)?;
        Some(LeaseHolder { member: grant.to, remaining: grant.until - now })
    }

    /// Handles a request. There is no reply to a release, or to any request while the voter is silent.
    pub fn on_request(&mut self, now: Ns, request: LeaseRequest) -> Option<LeaseReply> {
        if self.silent_for(now).is_some() {
            if let LeaseRequest::Acquire { term, .. } = request {
                self.observe_term(term);
            }
            return None;
        }
        match request {
            LeaseRequest::PreVote { round, from } => {
                let holder = self.other_holder(now, from);
                Some(LeaseReply::PreVoteResult { round, highest_term: self.highest_term, holder })
            }
            LeaseRequest::Acquire { round, from, term, lease } => {
                Some(self.on_acquire(now, round, from, term, lease))
            }
            LeaseRequest::Release { from, term, to } => {
                self.on_release(from, term, to);
                None
            }
        }
    }

    fn other_holder(&self, now: Ns, candidate: Member) -> Option<LeaseHolder> {
        self.holder(now).filter(|holder| holder.member != candidate)
    }

    fn is_granted(&self, to: Member, term: u64) -> bool {
        self.grant.is_some_and(|grant| (grant.to, grant.term) == (to, term))
    }

    fn on_acquire(&mut self, now: Ns, round: u64, from: Member, term: u64, lease: Ns) -> LeaseReply {
        let holder = self.other_holder(now, from);
        let is_renewal = self.is_granted(from, term);
        let is_stale = term < self.highest_term || term == self.highest_term && !is_renewal;
        if holder.is_some() || is_stale {
            return LeaseReply::Rejected { round, highest_term: self.highest_term, holder };
        }
        self.highest_term = term;
        // A delayed renewal that arrives after a later one must not shorten the lease.
        let earliest = self.grant.filter(|_| is_renewal).map_or(0, |grant| grant.until);
        let until = (now + with_clock_drift_margin(lease.min(self.max_lease))).max(earliest);
        self.grant = Some(Grant { to: from, term, until });
        LeaseReply::Granted { round, term }
    }

    /// Releases the lease. A named successor becomes the grantee for the rest of the lease, so that it can acquire
    /// the lease before other candidates.
    fn on_release(&mut self, from: Member, term: u64, to: Option<Member>) {
        if let Some(grant) = self.grant.filter(|_| self.is_granted(from, term)) {
            self.grant = to.map(|to| Grant { to, ..grant });
        }
    }
}
