//! Notices of certificates that expire soon.

use std::collections::BTreeSet;

use crate::generation::{CertificateValidity, Generation};
use crate::{DAY, Ns};

/// How many days before the expiry of a certificate there is a notice; one more comes when it has expired.
const NOTICE_DAYS: [u64; 3] = [30, 7, 1];

/// A certificate that expires soon, or has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryNotice {
    /// The certificate.
    pub validity: CertificateValidity,
    /// The whole days that are left; 0: it expires today, or has expired.
    pub days_left: u64,
}

/// A notice that was given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GivenNotice {
    subject: String,
    not_after: Ns,
    days_before: u64,
}

/// Gives each notice of each certificate once.
#[derive(Debug, Default)]
pub struct ExpiryWatch {
    given: BTreeSet<GivenNotice>,
}

impl ExpiryWatch {
    /// The notices that are due and were not given before. Those of certificates that are no longer in use are forgotten.
    pub fn check(&mut self, generation: &Generation, now: Ns) -> Vec<ExpiryNotice> {
        let validities = &generation.validities;
        self.given.retain(|given| {
            validities.iter().any(|v| v.subject == given.subject && v.not_after == given.not_after)
        });
        let mut notices = Vec::new();
        for validity in validities {
            let left = validity.not_after.saturating_sub(now);
            let Some(days_before) = notice_due(left) else { continue };
            let (subject, not_after) = (validity.subject.clone(), validity.not_after);
            if self.given.insert(GivenNotice { subject, not_after, days_before }) {
                notices.push(ExpiryNotice { validity: validity.clone(), days_left: left / DAY });
            }
        }
        notices
    }
}

/// The latest notice that is due with so much time left. Earlier ones that were missed need not be given any more.
fn notice_due(left: Ns) -> Option<u64> {
    if left == 0 {
        return Some(0);
    }
    NOTICE_DAYS.into_iter().filter(|days| left <= days * DAY).min()
}
