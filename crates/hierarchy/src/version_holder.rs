//! The version that a participant applies. The version's number never decreases.

use crate::version::Hierarchy;

/// The newest version that a director or cache node was sent, which it applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionHolder {
    number: u64,
    version: Option<Hierarchy>,
}

/// The result of [`VersionHolder::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is newer and applied from now on.
    Accepted,
    /// The version is applied already.
    Unchanged,
    /// The version is older than the applied one, or its number is 0. It is ignored.
    Older,
    /// The version has the number of the applied one but different content. It is ignored, and must not be reported as
    /// applied.
    Conflicting,
}

impl VersionHolder {
    /// Creates a holder without a version.
    pub fn new() -> VersionHolder {
        VersionHolder::default()
    }

    /// The number of the applied version, or 0 if no version is applied.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The applied version. Each request keeps a clone of the version by which it was routed.
    pub fn version(&self) -> Option<&Hierarchy> {
        self.version.as_ref()
    }

    /// Applies the version if its number is larger than that of the current one.
    pub fn offer(&mut self, number: u64, version: &Hierarchy) -> OfferOutcome {
        if number < self.number || number == 0 {
            return OfferOutcome::Older;
        }
        if number == self.number {
            let is_same = self.version.as_ref().is_some_and(|applied| applied.digest() == version.digest());
            return if is_same { OfferOutcome::Unchanged } else { OfferOutcome::Conflicting };
        }
        self.number = number;
        self.version = Some(version.clone());
        OfferOutcome::Accepted
    }
}
