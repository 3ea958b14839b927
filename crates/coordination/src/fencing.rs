//! Fencing: the token that accompanies each effect, and the guard that checks it where the effect takes place.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Member;

/// The token that accompanies each effect of a role's holder. The term grows with each change of the holder.
///
/// Voters keep nothing on disk, so they may forget a grant and grant the same term twice. A [`FencingGuard`] then
/// admits the first holder of that term that reaches it and rejects the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The term of the lease. 0 means that there is no lease; it is never admitted.
    pub term: u64,
    /// The holder of the lease.
    #[serde(rename = "owner")]
    pub holder: Member,
}

/// A token was rejected. Its sender no longer holds the role and has to acquire the lease at a term above `highest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "stale token: term {} is rejected, term {} of member {} is in force: acquire the lease again",
    .token.term, .highest.term, .highest.holder.number
)]
pub struct StaleToken {
    /// The rejected token.
    pub token: FencingToken,
    /// The newest token that the guard has admitted.
    pub highest: FencingToken,
}

/// Admits effects of the newest holder only. The check must be atomic with the effect, for example under the same
/// lock or in the same transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: FencingToken,
    rejected: u64,
}

impl FencingGuard {
    /// Restores a guard that had admitted this token as its newest one.
    pub fn with_highest(highest: FencingToken) -> FencingGuard {
        FencingGuard { highest, rejected: 0 }
    }

    /// Admits a token with a higher term than all before, or the newest token again.
    ///
    /// # Errors
    ///
    /// Returns [`StaleToken`] for an older term, for another holder of the same term, and for term 0.
    pub fn admit(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        let newer = token.term > self.highest.term || token == self.highest;
        if newer && token.term > 0 {
            self.highest = token;
            return Ok(());
        }
        self.rejected += 1;
        Err(StaleToken { token, highest: self.highest })
    }

    /// The newest token admitted so far.
    pub fn highest(&self) -> FencingToken {
        self.highest
    }

    /// The number of rejected tokens. Each rejection prevented an effect.
    pub fn rejected_count(&self) -> u64 {
        self.rejected
    }
}
