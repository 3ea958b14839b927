//! How old what a relay knows of the leader is, and the comment that carries it along a chain of relays.

use sablecross_coordination::{FencingToken, Member, Ns};

const NS_PER_MS: Ns = 1_000_000;

/// How old what a relay knows of the leader is. Ages add up along the chain, and only the leader sets them back:
/// relays that follow one another in a circle grow old together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staleness {
    /// When the leader was last known to lead, by this program's clock.
    since: Option<Ns>,
    /// The leader.
    pub leader: Option<FencingToken>,
}

/// What a comment of an upstream relay says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessComment {
    /// Nanoseconds since the leader was last known to lead; `Ns::MAX` if it never was.
    pub age: Ns,
    /// The leader, with incarnation 0.
    pub leader: Option<FencingToken>,
}

impl Staleness {
    /// Nothing is known yet.
    pub fn unknown() -> Staleness {
        Staleness { since: None, leader: None }
    }

    /// Takes in what was known `age` nanoseconds ago. What is older than the last changes nothing.
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

    /// Nanoseconds since the leader was last known to lead; `Ns::MAX` if it never was.
    pub fn age(&self, now: Ns) -> Ns {
        self.since.map_or(Ns::MAX, |since| now.saturating_sub(since))
    }

    /// The comment for subscribers: `: fresh AGE_MS owner NUMBER term T`, with `-` for what is unknown.
    pub fn to_comment(&self, now: Ns) -> String {
        let or_dash = |value: Option<u64>| value.map_or("-".into(), |value| value.to_string());
        let age = or_dash(self.since.map(|_| self.age(now).div_ceil(NS_PER_MS)));
        let leader = or_dash(self.leader.map(|token| token.holder.number.into()));
        let term = or_dash(self.leader.map(|token| token.term));
        format!(": fresh {age} owner {leader} term {term}\n\n")
    }

    /// Reads such a comment; none if it is another one, as of a feed outside.
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
