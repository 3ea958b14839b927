//! Staleness: the time since a relay last knew the leader to lead, and the comment that carries it along a chain of
//! relays.

use sablecross_coordination::{FencingToken, Member, Ns};

const NS_PER_MS: Ns = 1_000_000;

/// The time at which a relay last knew the leader to lead. Ages add up along a chain of relays, and only the leader, or
/// an external feed that is followed, resets them. If relays follow one another in a cycle, the ages of all of them
/// grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staleness {
    /// When the leader was last known to lead, by this process's clock; `None` if it never was.
    since: Option<Ns>,
    /// Token of that leader, if known.
    pub leader: Option<FencingToken>,
}

/// The content of a staleness comment of an upstream relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessComment {
    /// Nanoseconds since the leader was last known to lead; `Ns::MAX` if it never was.
    pub age: Ns,
    /// The leader, with incarnation 0.
    pub leader: Option<FencingToken>,
}

impl Staleness {
    /// Returns the state of a relay that knows of no leader.
    pub fn unknown() -> Staleness {
        Staleness { since: None, leader: None }
    }

    /// Records that the leader was known to lead `age` nanoseconds ago. Older information than the recorded one is
    /// ignored.
    pub fn record(&mut self, now: Ns, age: Ns, leader: Option<FencingToken>) {
        if age == Ns::MAX {
            return;
        }
        let since = now.saturating_sub(age);
        if self.since.is_none_or(|known| since >= known) {
            self.since = Some(since);
            self.leader = leader.or(self.leader);
        }
    }

    /// Returns the nanoseconds since the leader was last known to lead; `Ns::MAX` if it never was.
    pub fn age(&self, now: Ns) -> Ns {
        self.since.map_or(Ns::MAX, |since| now.saturating_sub(since))
    }

    /// Returns the comment for subscribers: `: fresh AGE_MS owner NUMBER term T`, with `-` for unknown values.
    pub fn to_comment(&self, now: Ns) -> String {
        let or_dash = |value: Option<u64>| value.map_or("-".into(), |value| value.to_string());
        let age = or_dash(self.since.map(|_| self.age(now).div_ceil(NS_PER_MS)));
        let leader = or_dash(self.leader.map(|token| token.holder.number.into()));
        let term = or_dash(self.leader.map(|token| token.term));
        format!(": fresh {age} owner {leader} term {term}\n\n")
    }

    /// Parses a staleness comment. Returns `None` for any other comment, such as one of an external feed.
    pub fn parse_comment(comment: &str) -> Option<StalenessComment> {
        let mut words = comment.trim().trim_start_matches(':').split_whitespace();
        if words.next() != Some("fresh") {
            return None;
        }
        let age = match words.next()? {
            "-" => Ns::MAX,
            age => age.parse::<Ns>().ok()?.saturating_mul(NS_PER_MS),
        };
        let mut value_of = |key: &str| words.next().filter(|word| *word == key).and_then(|_| words.next());
        let number = value_of("owner").and_then(|word| word.parse().ok());
        let term = value_of("term").and_then(|word| word.parse().ok());
        let leader = number
            .zip(term)
            .map(|(number, term)| FencingToken { term, holder: Member { number, incarnation: 0 } });
        Some(StalenessComment { age, leader })
    }
}
