//! Notices about certificates that expire soon.

use std::collections::BTreeSet;

use crate::generation::{CertificateValidity, Generation};
use crate::{DAY, Ns};

/// Days before a certificate's expiry at which a notice is issued. Another one is issued once the certificate has
/// expired.
const NOTICE_DAYS: [u64; 3] = [30, 7, 1];

/// A notice that a certificate expires soon or has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryNotice {
    /// Validity of the certificate.
    pub validity: CertificateValidity,
    /// Whole days until the expiry; 0 if less than a day is left or the certificate has expired.
    pub days_left: u64,
}

/// A notice that was issued.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IssuedNotice {
    subject: String,
    not_after: Ns,
    days_before: u64,
}

/// Issues each notice about each certificate once.
#[derive(Debug, Default)]
pub struct ExpiryWatch {
    issued: BTreeSet<IssuedNotice>,
}

impl ExpiryWatch {
    /// Returns the notices that are due and were not issued before. Forgets the notices of certificates that are no
    /// longer in use.
    pub fn check(&mut self, generation: &Generation, now: Ns) -> Vec<ExpiryNotice> {
        let validities = &generation.validities;
        self.issued.retain(|issued| {
            validities.iter().any(|v| v.subject == issued.subject && v.not_after == issued.not_after)
        });
        let mut notices = Vec::new();
        for validity in validities {
            let left = validity.not_after.saturating_sub(now);
            let Some(days_before) = due_notice_days(left) else { continue };
            let (subject, not_after) = (validity.subject.clone(), validity.not_after);
            if self.issued.insert(IssuedNotice { subject, not_after, days_before }) {
                notices.push(ExpiryNotice { validity: validity.clone(), days_left: left / DAY });
            }
        }
        notices
    }
}

/// Returns the days of the latest notice that is due when this much time is left, or `None` if none is due. Earlier
/// notices that were missed are skipped.
fn due_notice_days(left: Ns) -> Option<u64> {
    if left == 0 {
        return Some(0);
    }
    NOTICE_DAYS.into_iter().filter(|days| left <= days * DAY).min()
}
