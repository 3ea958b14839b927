//! At the effect: the highest token is kept, and what is older is refused.

use thiserror::Error;

use crate::Token;

/// A refusal, and what the refused has to know: it is no owner any more, and a new claim goes past this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an old owner's token: term {} is refused, term {} of member {} is in force: claim the duty anew", .token.term, .highest.term, .highest.owner.number)]
pub struct Old {
    pub token: Token,
    pub highest: Token,
}

/// The check is to be one step with the effect: under the same lock, in the same commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    highest: Token,
    refused: u64,
}

impl Gate {
    /// With what was kept on disk.
    pub fn with(highest: Token) -> Gate {
        Gate { highest, refused: 0 }
    }

    /// Lets one through whose token is the newest met, and keeps it.
    pub fn pass(&mut self, token: Token) -> Result<(), Old> {
        let newer = token.term > self.highest.term || token == self.highest;
        if newer && token.term > 0 {
            self.highest = token;
            return Ok(());
        }
        self.refused += 1;
        Err(Old { token, highest: self.highest })
    }

    pub fn highest(&self) -> Token {
        self.highest
    }

    /// How many were refused: each is an old owner that would have done harm.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
