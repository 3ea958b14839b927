//! The version that a participant applies. Its number only rises.

use crate::version::Hierarchy;

/// What a director or cache node keeps of the versions that it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionHolder {
    number: u64,
    version: Option<Hierarchy>,
}

/// What became of a version that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is applied from now on.
    Accepted,
    /// It was applied before.
    Unchanged,
    /// It is older than the applied one, and ignored.
    Older,
    /// It has the number of the applied one and another content. It is ignored, and must not be reported as applied.
    Conflicting,
}

impl VersionHolder {
    /// A holder without a version.
    pub fn new() -> VersionHolder {
        VersionHolder::default()
    }

    /// The number of the applied version; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The applied version. A request keeps a clone of the version that it was routed by.
    pub fn version(&self) -> Option<&Hierarchy> {
        self.version.as_ref()
    }

    /// Applies the version if it is newer than the current one.
    pub fn offer(&mut self, number: u64, version: &Hierarchy) -> OfferOutcome {
        if number < self.number || number == 0 {
            return OfferOutcome::Older;
        }
        if number == self.number {
            let is_same = self.version.as_ref().is_some_and(|held| held.digest() == version.digest());
            return if is_same { OfferOutcome::Unchanged } else { OfferOutcome::Conflicting };
        }
        self.number = number;
        self.version = Some(version.clone());
        OfferOutcome::Accepted
    }
}
