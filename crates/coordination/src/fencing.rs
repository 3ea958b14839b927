//! At the effect: the highest token is kept, and what is older is refused.

use thiserror::Error;

use crate::FencingToken;

/// A refusal, and what the refused has to know: it is no owner any more, and a new claim goes past this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an old owner's token: term {} is refused, term {} of member {} is in force: claim the duty anew", .token.term, .highest.term, .highest.holder.number)]
pub struct StaleToken {
    pub token: FencingToken,
    pub highest: FencingToken,
}

/// The check is to be one step with the effect: under the same lock, in the same commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: FencingToken,
    refused: u64,
}

impl FencingGuard {
    /// With what was kept on disk.
    pub fn with_highest(highest: FencingToken) -> FencingGuard {
        FencingGuard { highest, refused: 0 }
    }

    /// Lets one through whose token is the newest met, and keeps it.
    pub fn admit(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        let newer = token.term > self.highest.term || token == self.highest;
        if newer && token.term > 0 {
            self.highest = token;
            return Ok(());
        }
        self.refused += 1;
        Err(StaleToken { token, highest: self.highest })
    }

    pub fn highest(&self) -> FencingToken {
        self.highest
    }

    /// How many were refused: each is an old owner that would have done harm.
    pub fn rejected_count(&self) -> u64 {
        self.refused
    }
}
