//! Whom a plain relay follows: the next of those named once the one it follows is silent, or has itself heard
//! nothing of the owner for too long.

use sablecross_coordination::{FencingToken, Ns};

/// How old what a relay knows of the owner is. It adds up along the chain, and nobody sets it back but the
/// owner: relays that follow one another in a circle grow old together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staleness {
    /// When the owner said it, by this program's clock; none: never heard of.
    since: Option<Ns>,
    /// Who it was.
    pub leader: Option<FencingToken>,
}

impl Staleness {
    pub fn unknown() -> Staleness {
        Staleness { since: None, leader: None }
    }

    /// The owner's word, so old already. One that is older than the last changes nothing.
    pub fn record(&mut self, now: Ns, age: Ns, owner: Option<FencingToken>) {
        if age == Ns::MAX {
            return;
        }
        let since = now.saturating_sub(age);
        if self.since.is_none_or(|s| since >= s) {
            self.since = Some(since);
            self.leader = owner.or(self.leader);
        }
    }

    /// Nanoseconds since the owner said it; the most there is if it never did.
    pub fn age(&self, now: Ns) -> Ns {
        self.since.map_or(Ns::MAX, |s| now.saturating_sub(s))
    }

    /// The comment that tells it: `: fresh AGE_MS owner NUMBER term T`, with `-` for what is unknown.
    pub fn to_comment(&self, now: Ns) -> String {
        let age = self.since.map_or("-".into(), |_| self.age(now).div_ceil(1_000_000).to_string());
        let owner = self.leader.map_or("-".into(), |t| t.holder.number.to_string());
        let term = self.leader.map_or("-".into(), |t| t.term.to_string());
        format!(": fresh {age} owner {owner} term {term}\n\n")
    }

    /// What such a comment says: the age in nanoseconds, and the owner. None if it is another comment, as an
    /// outside feed's.
    pub fn parse_comment(comment: &str) -> Option<(Ns, Option<FencingToken>)> {
        let mut words = comment.trim().trim_start_matches(':').split_whitespace();
        if words.next() != Some("fresh") {
            return None;
        }
        let age = words.next()?;
        let age = if age == "-" { Ns::MAX } else { age.parse::<Ns>().ok()?.saturating_mul(1_000_000) };
        let mut after = |name: &str| words.next().filter(|w| *w == name).and_then(|_| words.next());
        let owner = after("owner").and_then(|w| w.parse().ok());
        let term = after("term").and_then(|w| w.parse().ok());
        let token = owner.zip(term).map(|(number, term)| FencingToken {
            term,
            holder: sablecross_coordination::Member { number, incarnation: 0 },
        });
        Some((age, token))
    }
}

/// The upstreams of a relay, by their place in its settings, the first one preferred.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    many: usize,
    at: usize,
    /// An age past this, and the next one is followed.
    stale: Ns,
    /// How long one is given to show that it is fresh.
    patience: Ns,
    /// After so long elsewhere the first is tried again.
    home: Ns,
    since: Ns,
}

impl UpstreamSelector {
    pub fn new(many: usize, stale: Ns, patience: Ns, home: Ns, now: Ns) -> UpstreamSelector {
        UpstreamSelector { many, at: 0, stale, patience, home, since: now }
    }

    /// The place of the one to follow now; none are named: none.
    pub fn current(&self) -> Option<usize> {
        (self.many > 0).then_some(self.at)
    }

    fn turn(&mut self, now: Ns, to: usize) {
        (self.at, self.since) = (to, now);
    }

    /// The call failed, or the stream ended in an error: the next one.
    pub fn on_failed(&mut self, now: Ns) {
        if self.many > 0 {
            self.turn(now, (self.at + 1) % self.many);
        }
    }

    /// Looks at how old it is what this one tells. True: another one is to be followed from here on.
    pub fn check(&mut self, now: Ns, age: Ns) -> bool {
        if self.many < 2 {
            return false;
        }
        let followed = now.saturating_sub(self.since);
        if age > self.stale && followed > self.patience {
            self.on_failed(now);
            return true;
        }
        if self.at != 0 && age <= self.stale && followed > self.home {
            self.turn(now, 0);
            return true;
        }
        false
    }
}
