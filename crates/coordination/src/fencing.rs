//! Fencing: the token that accompanies each effect, and the check at the effect.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Member;

/// Accompanies each effect of a role's holder. The term grows with each change of the holder.
///
/// Voters without a disk may forget a grant and grant the same term twice. A [`FencingGuard`] then admits the holder
/// that it met first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The term of the lease; 0 is no lease and never admitted.
    pub term: u64,
    /// Who holds the lease.
    #[serde(rename = "owner")]
    pub holder: Member,
}

/// A token was rejected: its bearer does not hold the role any more and has to acquire a term above `highest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "stale token: term {} is rejected, term {} of member {} is in force: acquire the lease again",
    .token.term, .highest.term, .highest.holder.number
)]
pub struct StaleToken {
    /// The rejected token.
    pub token: FencingToken,
    /// The highest token that the guard has admitted.
    pub highest: FencingToken,
}

/// Admits the effects of the newest holder only. The check must be atomic with the effect: under the same lock, in the
/// same commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: FencingToken,
    rejected: u64,
}

impl FencingGuard {
    /// A guard that has admitted this token before, as restored from disk.
    pub fn with_highest(highest: FencingToken) -> FencingGuard {
        FencingGuard { highest, rejected: 0 }
    }

    /// Admits a token with a higher term than any before, or the highest token again.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] for an older term, for another holder of the same term, and for term 0.
    pub fn admit(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        let newer = token.term > self.highest.term || token == self.highest;
        if newer && token.term > 0 {
            self.highest = token;
            return Ok(());
        }
        self.rejected += 1;
        Err(StaleToken { token, highest: self.highest })
    }

    /// The highest token admitted so far.
    pub fn highest(&self) -> FencingToken {
        self.highest
    }

    /// How many tokens were rejected: effects of former holders that would have done harm.
    pub fn rejected_count(&self) -> u64 {
        self.rejected
    }
}
