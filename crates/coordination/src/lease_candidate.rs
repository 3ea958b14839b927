//! Acquires the lease of one role from the voters, renews it and hands it over.

use crate::lease_voter::{LeaseReply, LeaseRequest};
use crate::voter_set::VoterSet;
use crate::{FencingToken, Member, Ns};

/// Multiplier and increment of the linear congruential generator (Knuth's MMIX) that randomizes the delays of
/// attempts.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Each failed attempt in a row doubles the random part of the next delay, up to this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The holder renews its lease this many times per lease duration.
const RENEWALS_PER_LEASE: Ns = 4;

/// Lease settings, which must be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The number of voters.
    pub voter_count: u32,
    /// The duration of a lease.
    pub duration: Ns,
    /// How long a candidate waits for the replies to one round of requests.
    pub round_timeout: Ns,
    /// An attempt is delayed by this time for each candidate with a lower rank, plus a random part of up to this time
    /// that doubles with each failed attempt.
    pub attempt_spacing: Ns,
}

/// An action that the caller has to carry out for a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CandidateAction {
    /// Send a request to the voter with this index.
    Send(u32, LeaseRequest),
    /// The candidate holds the lease. Effects with this token are allowed while [`LeaseCandidate::token`] returns it.
    Acquired(FencingToken),
    /// The candidate no longer holds the lease.
    Ended {
        /// The term of the lease.
        term: u64,
        /// Why the lease ended.
        reason: LeaseEnd,
    },
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseEnd {
    /// No majority of the voters renewed the lease in time.
    Expired,
    /// The holder released the lease.
    HandedOver,
    /// A guard or a voter knows of a later holder, or a newer incarnation has replaced this member.
    Rejected,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CandidateState {
    Waiting {
        until: Ns,
    },
    PreVoting {
        since: Ns,
        replied: VoterSet,
    },
    Acquiring {
        since: Ns,
        term: u64,
        granted: VoterSet,
    },
    /// `until` counts from when the round that a majority granted was sent. The lease therefore ends at the holder
    /// before it ends at the voters.
    Holding {
        term: u64,
        until: Ns,
        renewal: Option<Renewal>,
        next_renewal: Ns,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    since: Ns,
    granted: VoterSet,
}

/// A member that wants to hold a role. It waits for its next attempt, asks the voters whether the lease is free (the
/// pre-vote), acquires the lease from a majority of them, and renews it until it is handed over, rejected or expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseCandidate {
    me: Member,
    config: LeaseConfig,
    /// Position among the candidates of the role. A lower rank attempts earlier.
    rank: u32,
    round: u64,
    highest_term: u64,
    state: CandidateState,
    /// Number of failed attempts in a row.
    failures: u32,
    random_state: u64,
}

impl LeaseCandidate {
    /// Creates a candidate that waits for its first attempt. `seed` randomizes its delays and should differ between
    /// members.
    pub fn new(me: Member, rank: u32, config: LeaseConfig, seed: u64, now: Ns) -> LeaseCandidate {
        let mut candidate = LeaseCandidate {
            me,
            config,
            rank,
            round: 0,
            highest_term: 0,
            state: CandidateState::Waiting { until: now },
            failures: 0,
            random_state: seed,
        };
        candidate.begin_wait(now, 0);
        candidate
    }

    /// Returns the token while the lease is held. Callers must check it immediately before each effect.
    pub fn token(&self, now: Ns) -> Option<FencingToken> {
        match self.state {
            CandidateState::Holding { term, until, .. } if now < until => {
                Some(FencingToken { term, holder: self.me })
            }
            _ => None,
        }
    }

    /// Returns when a held lease ends unless it is renewed.
    pub fn lease_until(&self) -> Option<Ns> {
        if let CandidateState::Holding { until, .. } = self.state { Some(until) } else { None }
    }

    /// Returns when to call [`step`](Self::step) next.
    pub fn next_wakeup(&self) -> Ns {
        match &self.state {
            CandidateState::Waiting { until } => *until,
            CandidateState::PreVoting { since, .. } | CandidateState::Acquiring { since, .. } => {
                since + self.config.round_timeout
            }
            CandidateState::Holding { until, next_renewal, .. } => (*until).min(*next_renewal),
        }
    }

    /// Does what is due: begins an attempt, gives up on a timed-out one, renews the lease or ends it.
    pub fn step(&mut self, now: Ns) -> Vec<CandidateAction> {
        let timed_out = |since: Ns| now >= since + self.config.round_timeout;
        match self.state {
            CandidateState::Waiting { until } if now >= until => self.begin_pre_vote(now),
            CandidateState::PreVoting { since, .. } | CandidateState::Acquiring { since, .. }
                if timed_out(since) =>
            {
                self.fail(now, 0)
            }
            CandidateState::Holding { term, until, .. } if now >= until => {
                self.begin_wait(now, 0);
                vec![CandidateAction::Ended { term, reason: LeaseEnd::Expired }]
            }
            CandidateState::Holding { term, until, next_renewal, .. } if now >= next_renewal => {
                self.begin_renewal(now, term, until)
            }
            _ => Vec::new(),
        }
    }

    /// Handles a voter's reply. From a reply to an earlier round only the highest term is used.
    pub fn on_reply(&mut self, now: Ns, voter: u32, reply: LeaseReply) -> Vec<CandidateAction> {
        let round = match reply {
            LeaseReply::PreVoteResult { round, highest_term, .. }
            | LeaseReply::Rejected { round, highest_term, .. } => {
                self.highest_term = self.highest_term.max(highest_term);
                round
            }
            LeaseReply::Granted { round, .. } => round,
        };
        if round != self.round || voter >= self.config.voter_count.min(VoterSet::CAPACITY) {
            return Vec::new();
        }
        match reply {
            LeaseReply::PreVoteResult { holder, .. } => {
                self.on_pre_vote_result(now, voter, holder.map(|holder| holder.remaining))
            }
            LeaseReply::Granted { .. } => self.on_granted(now, voter),
            LeaseReply::Rejected { holder, .. } => match self.state {
                CandidateState::Acquiring { .. } => {
                    self.fail(now, holder.map_or(0, |holder| holder.remaining))
                }
                _ => Vec::new(),
            },
        }
    }

    /// A guard rejected the token: the lease is lost, and the next attempt uses a term above `highest_term`.
    pub fn on_rejected(&mut self, now: Ns, highest_term: u64) -> Vec<CandidateAction> {
        self.highest_term = self.highest_term.max(highest_term);
        let CandidateState::Holding { term, .. } = self.state else { return Vec::new() };
        let mut actions = vec![CandidateAction::Ended { term, reason: LeaseEnd::Rejected }];
        actions.extend(self.fail(now, 0));
        actions
    }

    /// Releases the lease before it expires, as at a planned stop. A named successor may acquire it at once. The
    /// caller must have completed all effects of the role before this call.
    pub fn hand_over(&mut self, now: Ns, to: Option<Member>) -> Vec<CandidateAction> {
        let CandidateState::Holding { term, .. } = self.state else { return Vec::new() };
        self.begin_wait(now, self.config.duration);
        let mut actions = vec![CandidateAction::Ended { term, reason: LeaseEnd::HandedOver }];
        actions.extend(self.send_to_all(LeaseRequest::Release { from: self.me, term, to }));
        actions
    }

    /// Applies a change of one voter. Replies to earlier rounds no longer count. A held lease continues and is
    /// renewed at once, which is safe because majorities of two sets that differ by one voter have a voter in common.
    pub fn reconfigure(&mut self, now: Ns, rank: u32, config: LeaseConfig) {
        (self.config, self.rank) = (config, rank);
        self.round += 1;
        match &mut self.state {
            CandidateState::Holding { renewal, next_renewal, .. } => {
                (*renewal, *next_renewal) = (None, now);
            }
            CandidateState::Waiting { .. } => {}
            CandidateState::PreVoting { .. } | CandidateState::Acquiring { .. } => self.begin_wait(now, 0),
        }
    }

    /// Moves the next attempt to `at` if that is earlier, because the lease was handed over to this member.
    pub fn schedule_attempt(&mut self, at: Ns) {
        if let CandidateState::Waiting { until } = &mut self.state {
            *until = at.min(*until);
        }
    }

    /// Delays the next attempt by `min_delay`, a part that grows with the rank, and a random part that grows with
    /// each failure.
    fn begin_wait(&mut self, now: Ns, min_delay: Ns) {
        self.random_state = self.random_state.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        let spread = self.config.attempt_spacing << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let jitter = if spread > 0 { (self.random_state >> 33) % spread } else { 0 };
        let by_rank = u64::from(self.rank) * self.config.attempt_spacing;
        self.state = CandidateState::Waiting { until: now + min_delay + by_rank + jitter };
    }

    /// Ends an attempt or a lease without success and releases it, because grants from a minority of the voters would
    /// block other candidates until they expire.
    fn fail(&mut self, now: Ns, min_delay: Ns) -> Vec<CandidateAction> {
        let released = match self.state {
            CandidateState::Acquiring { term, .. } | CandidateState::Holding { term, .. } => {
                self.send_to_all(LeaseRequest::Release { from: self.me, term, to: None })
            }
            CandidateState::Waiting { .. } | CandidateState::PreVoting { .. } => Vec::new(),
        };
        self.failures += 1;
        self.begin_wait(now, min_delay);
        released
    }

    fn send_to_all(&self, request: LeaseRequest) -> Vec<CandidateAction> {
        (0..self.config.voter_count).map(|voter| CandidateAction::Send(voter, request)).collect()
    }

    fn send_acquire(&mut self, term: u64) -> Vec<CandidateAction> {
        self.round += 1;
        self.send_to_all(LeaseRequest::Acquire {
            round: self.round,
            from: self.me,
            term,
            lease: self.config.duration,
        })
    }

    fn begin_pre_vote(&mut self, now: Ns) -> Vec<CandidateAction> {
        self.round += 1;
        self.state = CandidateState::PreVoting { since: now, replied: VoterSet::default() };
        self.send_to_all(LeaseRequest::PreVote { round: self.round, from: self.me })
    }

    fn begin_renewal(&mut self, now: Ns, term: u64, until: Ns) -> Vec<CandidateAction> {
        let renewal = Some(Renewal { since: now, granted: VoterSet::default() });
        let next_renewal = now + self.config.duration / RENEWALS_PER_LEASE;
        self.state = CandidateState::Holding { term, until, renewal, next_renewal };
        self.send_acquire(term)
    }

    /// `other_remaining`: how long the lease of another member remains granted, if one holds it.
    fn on_pre_vote_result(
        &mut self,
        now: Ns,
        voter: u32,
        other_remaining: Option<Ns>,
    ) -> Vec<CandidateAction> {
        let CandidateState::PreVoting { replied, .. } = &mut self.state else { return Vec::new() };
        if let Some(remaining) = other_remaining {
            self.failures = 0;
            self.begin_wait(now, remaining);
            return Vec::new();
        }
        replied.insert(voter);
        if !replied.is_majority_of(self.config.voter_count) {
            return Vec::new();
        }
        let term = self.highest_term + 1;
        self.state = CandidateState::Acquiring { since: now, term, granted: VoterSet::default() };
        self.send_acquire(term)
    }

    fn on_granted(&mut self, now: Ns, voter: u32) -> Vec<CandidateAction> {
        let (voter_count, duration) = (self.config.voter_count, self.config.duration);
        match &mut self.state {
            CandidateState::Acquiring { since, term, granted } => {
                granted.insert(voter);
                let (term, until) = (*term, *since + duration);
                if !granted.is_majority_of(voter_count) || now >= until {
                    return Vec::new();
                }
                self.failures = 0;
                let next_renewal = now + duration / RENEWALS_PER_LEASE;
                self.state = CandidateState::Holding { term, until, renewal: None, next_renewal };
                vec![CandidateAction::Acquired(FencingToken { term, holder: self.me })]
            }
            CandidateState::Holding { until, renewal: Some(renewal), .. } => {
                renewal.granted.insert(voter);
                if renewal.granted.is_majority_of(voter_count) && now < *until {
                    *until = (*until).max(renewal.since + duration);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
