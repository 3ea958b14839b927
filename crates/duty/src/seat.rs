//! A claimant's seat at one duty: it waits, looks, claims, owns, renews, hands over.

use crate::voter::{Ask, Reply};
use crate::{Member, Ns, Token};

/// The same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    pub voters: u32,
    pub lease: Ns,
    /// A round of asking is over after this.
    pub round: Ns,
    /// Claims are held back by this for each place in the order of claimants, and by chance for as much again.
    pub apart: Ns,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Act {
    /// To each of the voters by its number.
    Tell(u32, Ask),
    /// From here on effects are allowed with this token, for as long as `token` says so.
    Begins(Token),
    /// The duty rests here: `by` the end of the lease, a hand-over or a refusal.
    Ends { term: u64, by: End },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    Expired,
    HandedOver,
    Refused,
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
pub struct Seat {
    me: Member,
    rules: Rules,
    /// Its place in the order of claimants.
    order: u32,
    round: u64,
    highest: u64,
    place: Place,
    /// Claims that came to nothing, one after another.
    failed: u32,
    chance: u64,
}

impl Seat {
    /// `chance`: any number, another at each member.
    pub fn new(me: Member, order: u32, rules: Rules, chance: u64, now: Ns) -> Seat {
        let place = Place::Waits { until: now };
        let mut seat = Seat { me, rules, order, round: 0, highest: 0, place, failed: 0, chance };
        seat.wait(now, 0);
        seat
    }

    /// The token for an effect now; none: it is no owner. To be asked right before each effect.
    pub fn token(&self, now: Ns) -> Option<Token> {
        match self.place {
            Place::Owns { term, until, .. } if now < until => Some(Token { term, owner: self.me }),
            _ => None,
        }
    }

    pub fn owns_until(&self) -> Option<Ns> {
        if let Place::Owns { until, .. } = self.place { Some(until) } else { None }
    }

    /// When `step` is to be called next.
    pub fn next(&self) -> Ns {
        match &self.place {
            Place::Waits { until } => *until,
            Place::Looks { since, .. } | Place::Claims { since, .. } => since + self.rules.round,
            Place::Owns { until, next, .. } => (*until).min(*next),
        }
    }

    fn majority(&self, of: u64) -> bool {
        of.count_ones() * 2 > self.rules.voters
    }

    /// Waits before the next look: at least so long, and by place and chance, longer after each failure.
    fn wait(&mut self, now: Ns, least: Ns) {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let apart = self.rules.apart << self.failed.min(4);
        let by_chance = if apart > 0 { (self.chance >> 33) % apart } else { 0 };
        let until = now + least + u64::from(self.order) * self.rules.apart + by_chance;
        self.place = Place::Waits { until };
    }

    /// It came to nothing: what few voters granted would stand in the way of all till it ends, so it is given back.
    fn fails(&mut self, now: Ns, least: Ns) -> Vec<Act> {
        let back = match self.place {
            Place::Claims { term, .. } | Place::Owns { term, .. } => {
                self.tell(Ask::Release { from: self.me, term, to: None })
            }
            Place::Waits { .. } | Place::Looks { .. } => Vec::new(),
        };
        self.failed += 1;
        self.wait(now, least);
        back
    }

    fn tell(&self, ask: Ask) -> Vec<Act> {
        (0..self.rules.voters).map(|v| Act::Tell(v, ask)).collect()
    }

    fn claim(&mut self, term: u64) -> Vec<Act> {
        self.round += 1;
        self.tell(Ask::Claim { round: self.round, from: self.me, term, lease: self.rules.lease })
    }

    /// What time brings.
    pub fn step(&mut self, now: Ns) -> Vec<Act> {
        let over = |since: Ns| now >= since + self.rules.round;
        match self.place.clone() {
            Place::Waits { until } if now >= until => {
                self.round += 1;
                self.place = Place::Looks { since: now, seen: 0 };
                self.tell(Ask::Look { round: self.round, from: self.me })
            }
            Place::Looks { since, .. } | Place::Claims { since, .. } if over(since) => self.fails(now, 0),
            Place::Owns { term, until, .. } if now >= until => {
                self.wait(now, 0);
                vec![Act::Ends { term, by: End::Expired }]
            }
            Place::Owns { term, until, next, .. } if now >= next => {
                let renewal = Some(Renewal { since: now, granted: 0 });
                self.place = Place::Owns { term, until, renewal, next: now + self.rules.lease / 4 };
                self.claim(term)
            }
            _ => Vec::new(),
        }
    }

    /// A voter's reply. One to an earlier round is passed over.
    pub fn hear(&mut self, now: Ns, voter: u32, reply: Reply) -> Vec<Act> {
        let round = match reply {
            Reply::Seen { round, .. } | Reply::Granted { round, .. } | Reply::Refused { round, .. } => round,
        };
        if let Reply::Seen { highest, .. } | Reply::Refused { highest, .. } = reply {
            self.highest = self.highest.max(highest);
        }
        if round != self.round || voter >= self.rules.voters.min(64) {
            return Vec::new();
        }
        let bit = 1u64 << voter;
        match (&mut self.place, reply) {
            (Place::Looks { .. }, Reply::Seen { held: Some((_, left)), .. }) => {
                // Somebody owns it: to look again once that may be over.
                self.failed = 0;
                self.wait(now, left);
                Vec::new()
            }
            (Place::Looks { seen, .. }, Reply::Seen { .. }) => {
                *seen |= bit;
                let seen = *seen;
                if !self.majority(seen) {
                    return Vec::new();
                }
                let term = self.highest + 1;
                self.place = Place::Claims { since: now, term, granted: 0 };
                self.claim(term)
            }
            (Place::Claims { granted, .. }, Reply::Granted { .. }) => {
                *granted |= bit;
                let (granted, Place::Claims { since, term, .. }) = (*granted, self.place.clone()) else {
                    return Vec::new();
                };
                let until = since + self.rules.lease;
                if !self.majority(granted) || now >= until {
                    return Vec::new();
                }
                self.failed = 0;
                self.place = Place::Owns { term, until, renewal: None, next: now + self.rules.lease / 4 };
                vec![Act::Begins(Token { term, owner: self.me })]
            }
            (Place::Claims { .. }, Reply::Refused { held, .. }) => {
                self.fails(now, held.map_or(0, |(_, left)| left))
            }
            (Place::Owns { until, renewal: Some(r), .. }, Reply::Granted { .. }) => {
                r.granted |= bit;
                if r.granted.count_ones() * 2 > self.rules.voters && now < *until {
                    *until = (*until).max(r.since + self.rules.lease);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A gate refused its token: it is none, and knows past which term to claim.
    pub fn refused(&mut self, now: Ns, highest: u64) -> Vec<Act> {
        self.highest = self.highest.max(highest);
        let Place::Owns { term, .. } = self.place else { return Vec::new() };
        let mut acts = vec![Act::Ends { term, by: End::Refused }];
        acts.extend(self.fails(now, 0));
        acts
    }

    /// Gives the duty up before its lease ends, as at a planned stop; the named one may have it at once. The caller has
    /// ended every effect in hand before.
    pub fn hand_over(&mut self, now: Ns, to: Option<Member>) -> Vec<Act> {
        let Place::Owns { term, .. } = self.place else { return Vec::new() };
        self.wait(now, self.rules.lease);
        let mut acts = vec![Act::Ends { term, by: End::HandedOver }];
        acts.extend(self.tell(Ask::Release { from: self.me, term, to }));
        acts
    }

    /// The voters have changed, by one: what they said before counts no more, a lease that is held goes on and is renewed at
    /// once. A majority of either set has a voter in common with one of the other.
    pub fn settles(&mut self, now: Ns, order: u32, rules: Rules) {
        (self.rules, self.order) = (rules, order);
        self.round += 1;
        match &mut self.place {
            Place::Owns { renewal, next, .. } => (*renewal, *next) = (None, now),
            Place::Waits { .. } => {}
            Place::Looks { .. } | Place::Claims { .. } => self.wait(now, 0),
        }
    }

    /// It may look then: it was told that the duty is its own to take.
    pub fn called(&mut self, at: Ns) {
        if let Place::Waits { until } = &mut self.place {
            *until = at.min(*until);
        }
    }
}
