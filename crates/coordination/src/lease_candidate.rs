//! A claimant's seat at one duty: it waits, looks, claims, owns, renews, hands over.

use crate::voter::{LeaseReply, LeaseRequest};
use crate::{FencingToken, Member, Ns};

/// The same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub voter_count: u32,
    pub duration: Ns,
    /// A round of asking is over after this.
    pub round_timeout: Ns,
    /// Claims are held back by this for each place in the order of claimants, and by chance for as much again.
    pub claim_spacing: Ns,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CandidateAction {
    /// To each of the voters by its number.
    Send(u32, LeaseRequest),
    /// From here on effects are allowed with this token, for as long as `token` says so.
    Acquired(FencingToken),
    /// The duty rests here: `by` the end of the lease, a hand-over or a refusal.
    Ended { term: u64, reason: LeaseEnd },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseEnd {
    Expired,
    HandedOver,
    Rejected,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Place {
    Waits {
        until: Ns,
    },
    Looks {
        since: Ns,
        seen: u64,
    },
    Claims {
        since: Ns,
        term: u64,
        granted: u64,
    },
    /// `until` counts from when the round that a majority granted was sent.
    Owns {
        term: u64,
        until: Ns,
        renewal: Option<Renewal>,
        next: Ns,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    since: Ns,
    granted: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseCandidate {
    me: Member,
    rules: LeaseConfig,
    /// Its place in the order of claimants.
    order: u32,
    round: u64,
    highest: u64,
    place: Place,
    /// Claims that came to nothing, one after another.
    failed: u32,
    chance: u64,
}

impl LeaseCandidate {
    /// `chance`: any number, another at each member.
    pub fn new(me: Member, order: u32, rules: LeaseConfig, chance: u64, now: Ns) -> LeaseCandidate {
        let place = Place::Waits { until: now };
        let mut seat = LeaseCandidate { me, rules, order, round: 0, highest: 0, place, failed: 0, chance };
        seat.wait(now, 0);
        seat
    }

    /// The token for an effect now; none: it is no owner. To be asked right before each effect.
    pub fn token(&self, now: Ns) -> Option<FencingToken> {
        match self.place {
            Place::Owns { term, until, .. } if now < until => Some(FencingToken { term, holder: self.me }),
            _ => None,
        }
    }

    pub fn lease_until(&self) -> Option<Ns> {
        if let Place::Owns { until, .. } = self.place { Some(until) } else { None }
    }

    /// When `step` is to be called next.
    pub fn next_wakeup(&self) -> Ns {
        match &self.place {
            Place::Waits { until } => *until,
            Place::Looks { since, .. } | Place::Claims { since, .. } => since + self.rules.round_timeout,
            Place::Owns { until, next, .. } => (*until).min(*next),
        }
    }

    fn majority(&self, of: u64) -> bool {
        of.count_ones() * 2 > self.rules.voter_count
    }

    /// Waits before the next look: at least so long, and by place and chance, longer after each failure.
    fn wait(&mut self, now: Ns, least: Ns) {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let apart = self.rules.claim_spacing << self.failed.min(4);
        let by_chance = if apart > 0 { (self.chance >> 33) % apart } else { 0 };
        let until = now + least + u64::from(self.order) * self.rules.claim_spacing + by_chance;
        self.place = Place::Waits { until };
    }

    /// It came to nothing: what few voters granted would stand in the way of all till it ends, so it is given back.
    fn fails(&mut self, now: Ns, least: Ns) -> Vec<CandidateAction> {
        let back = match self.place {
            Place::Claims { term, .. } | Place::Owns { term, .. } => {
                self.tell(LeaseRequest::Release { from: self.me, term, to: None })
            }
            Place::Waits { .. } | Place::Looks { .. } => Vec::new(),
        };
        self.failed += 1;
        self.wait(now, least);
        back
    }

    fn tell(&self, ask: LeaseRequest) -> Vec<CandidateAction> {
        (0..self.rules.voter_count).map(|v| CandidateAction::Send(v, ask)).collect()
    }

    fn claim(&mut self, term: u64) -> Vec<CandidateAction> {
        self.round += 1;
        self.tell(LeaseRequest::Acquire {
            round: self.round,
            from: self.me,
            term,
            lease: self.rules.duration,
        })
    }

    /// What time brings.
    pub fn step(&mut self, now: Ns) -> Vec<CandidateAction> {
        let over = |since: Ns| now >= since + self.rules.round_timeout;
        match self.place.clone() {
            Place::Waits { until } if now >= until => {
                self.round += 1;
                self.place = Place::Looks { since: now, seen: 0 };
                self.tell(LeaseRequest::PreVote { round: self.round, from: self.me })
            }
            Place::Looks { since, .. } | Place::Claims { since, .. } if over(since) => self.fails(now, 0),
            Place::Owns { term, until, .. } if now >= until => {
                self.wait(now, 0);
                vec![CandidateAction::Ended { term, reason: LeaseEnd::Expired }]
            }
            Place::Owns { term, until, next, .. } if now >= next => {
                let renewal = Some(Renewal { since: now, granted: 0 });
                self.place = Place::Owns { term, until, renewal, next: now + self.rules.duration / 4 };
                self.claim(term)
            }
            _ => Vec::new(),
        }
    }

    /// A voter's reply. One to an earlier round is passed over.
    pub fn on_reply(&mut self, now: Ns, voter: u32, reply: LeaseReply) -> Vec<CandidateAction> {
        let round = match reply {
            LeaseReply::PreVoteResult { round, .. }
            | LeaseReply::Granted { round, .. }
            | LeaseReply::Rejected { round, .. } => round,
        };
        if let LeaseReply::PreVoteResult { highest_term: highest, .. }
        | LeaseReply::Rejected { highest_term: highest, .. } = reply
        {
            self.highest = self.highest.max(highest);
        }
        if round != self.round || voter >= self.rules.voter_count.min(64) {
            return Vec::new();
        }
        let bit = 1u64 << voter;
        match (&mut self.place, reply) {
            (Place::Looks { .. }, LeaseReply::PreVoteResult { holder: Some((_, left)), .. }) => {
                // Somebody owns it: to look again once that may be over.
                self.failed = 0;
                self.wait(now, left);
                Vec::new()
            }
            (Place::Looks { seen, .. }, LeaseReply::PreVoteResult { .. }) => {
                *seen |= bit;
                let seen = *seen;
                if !self.majority(seen) {
                    return Vec::new();
                }
                let term = self.highest + 1;
                self.place = Place::Claims { since: now, term, granted: 0 };
                self.claim(term)
            }
            (Place::Claims { granted, .. }, LeaseReply::Granted { .. }) => {
                *granted |= bit;
                let (granted, Place::Claims { since, term, .. }) = (*granted, self.place.clone()) else {
                    return Vec::new();
                };
                let until = since + self.rules.duration;
                if !self.majority(granted) || now >= until {
                    return Vec::new();
                }
                self.failed = 0;
                self.place = Place::Owns { term, until, renewal: None, next: now + self.rules.duration / 4 };
                vec![CandidateAction::Acquired(FencingToken { term, holder: self.me })]
            }
            (Place::Claims { .. }, LeaseReply::Rejected { holder: held, .. }) => {
                self.fails(now, held.map_or(0, |(_, left)| left))
            }
            (Place::Owns { until, renewal: Some(r), .. }, LeaseReply::Granted { .. }) => {
                r.granted |= bit;
                if r.granted.count_ones() * 2 > self.rules.voter_count && now < *until {
                    *until = (*until).max(r.since + self.rules.duration);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A gate refused its token: it is none, and knows past which term to claim.
    pub fn on_rejected(&mut self, now: Ns, highest: u64) -> Vec<CandidateAction> {
        self.highest = self.highest.max(highest);
        let Place::Owns { term, .. } = self.place else { return Vec::new() };
        let mut acts = vec![CandidateAction::Ended { term, reason: LeaseEnd::Rejected }];
        acts.extend(self.fails(now, 0));
        acts
    }

    /// Gives the duty up before its lease ends, as at a planned stop; the named one may have it at once. The caller has
    /// ended every effect in hand before.
    pub fn hand_over(&mut self, now: Ns, to: Option<Member>) -> Vec<CandidateAction> {
        let Place::Owns { term, .. } = self.place else { return Vec::new() };
        self.wait(now, self.rules.duration);
        let mut acts = vec![CandidateAction::Ended { term, reason: LeaseEnd::HandedOver }];
        acts.extend(self.tell(LeaseRequest::Release { from: self.me, term, to }));
        acts
    }

    /// The voters have changed, by one: what they said before counts no more, a lease that is held goes on and is renewed at
    /// once. A majority of either set has a voter in common with one of the other.
    pub fn reconfigure(&mut self, now: Ns, order: u32, rules: LeaseConfig) {
        (self.rules, self.order) = (rules, order);
        self.round += 1;
        match &mut self.place {
            Place::Owns { renewal, next, .. } => (*renewal, *next) = (None, now),
            Place::Waits { .. } => {}
            Place::Looks { .. } | Place::Claims { .. } => self.wait(now, 0),
        }
    }

    /// It may look then: it was told that the duty is its own to take.
    pub fn schedule_claim(&mut self, at: Ns) {
        if let Place::Waits { until } = &mut self.place {
            *until = at.min(*until);
        }
    }
}
