//! The side of a director or node that takes versions: numbers rise, older ones never come back.

use crate::version::Hierarchy;

#[derive(Clone, Debug, PartialEq)]
pub struct VersionHolder {
    number: u64,
    version: Option<Hierarchy>,
}

/// What became of a version that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// In force from now on.
    Accepted,
    /// In force already.
    Unchanged,
    /// Older than what is in force: passed over.
    Older,
    /// The number in force, with another content: passed over, and not to be said to be in force.
    Conflicting,
}

impl Default for VersionHolder {
    fn default() -> Self {
        VersionHolder::new()
    }
}

impl VersionHolder {
    pub fn new() -> VersionHolder {
        VersionHolder { number: 0, version: None }
    }

    /// The number in force; 0: none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The version in force. A lookup keeps what it was routed by: a clone costs two counts of references.
    pub fn version(&self) -> Option<&Hierarchy> {
        self.version.as_ref()
    }

    pub fn offer(&mut self, number: u64, version: &Hierarchy) -> OfferOutcome {
        if number < self.number || number == 0 {
            return OfferOutcome::Older;
        }
        if number == self.number {
            let same = self.version.as_ref().is_some_and(|v| v.digest() == version.digest());
            return if same { OfferOutcome::Unchanged } else { OfferOutcome::Conflicting };
        }
        (self.number, self.version) = (number, Some(version.clone()));
        OfferOutcome::Accepted
    }
}
