//! The result of a soak.

use std::collections::BTreeMap;
use std::fmt;

use super::evidence::TimeSpan;
use super::fault_log::FaultSpan;
use super::invariants::{Rule, Violation};
use super::lateness::Lateness;
use super::rule_checker::NearestColdNode;

#[cfg(test)]
mod tests;

/// How many violations are printed at most.
const PRINTED_VIOLATIONS: usize = 20;
/// Faults that ended at most this long before a violation are printed with it.
const RECENT_FAULT_SECONDS: f64 = 1.0;

/// The verdict of a soak on the directors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken, and no thread of the soak was late by more than `OBSERVER_TOLERANCE_SECONDS`.
    Passed,
    /// A rule was broken, and no late thread of the soak can have caused that.
    Failed,
    /// Threads of the soak were late by more than the tolerance. They may have caused all violations that were seen,
    /// and others may have gone unnoticed.
    NotJudged,
}

/// The result of a soak. Its printed form has the counters, the number of violations of each rule, and the first
/// violations in full, with those that are judged before those that are not.
pub struct SoakReport {
    /// The violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// The counters by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// The cold node that came closest to a collapse; none if no cold node was called.
    pub nearest_cold_node: Option<NearestColdNode>,
    /// The number of planned faults.
    pub planned_faults: usize,
    /// The faults that were injected, and when.
    pub faults: Vec<FaultSpan>,
    /// How late the threads of the soak were.
    pub lateness: Lateness,
}

impl SoakReport {
    /// Returns the verdict on the directors.
    pub fn verdict(&self) -> Verdict {
        if self.violations.iter().any(|violation| self.is_judged(violation)) {
            Verdict::Failed
        } else if self.lateness.is_past_tolerance() {
            Verdict::NotJudged
        } else {
            Verdict::Passed
        }
    }

    /// Whether a violation counts against the directors: no late thread of the soak can have caused it.
    pub fn is_judged(&self, violation: &Violation) -> bool {
        self.lateness.invalidating(&violation.evidence).next().is_none()
    }

    /// Returns the violations that are judged, or those that are not, in the order in which they were found.
    fn violations_by(&self, judged: bool) -> impl Iterator<Item = &Violation> {
        self.violations.iter().filter(move |violation| self.is_judged(violation) == judged)
    }

    /// Writes the number of violations of each rule; `note` follows the name of the rule.
    fn write_counts(&self, f: &mut fmt::Formatter<'_>, judged: bool, note: &str) -> fmt::Result {
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in self.violations_by(judged) {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        by_rule.iter().try_for_each(|(rule, count)| writeln!(f, "violations of {rule:?}{note}: {count}"))
    }

    fn write_violation(&self, f: &mut fmt::Formatter<'_>, violation: &Violation) -> fmt::Result {
        let judged = if self.is_judged(violation) { "judged" } else { "not judged" };
        writeln!(f, "{violation} [{judged}]")?;
        for TimeSpan { from, to } in self.lateness.invalidating(&violation.evidence) {
            writeln!(f, "            {from:.3} to {to:.3} s: own threads late")?;
        }
        let is_recent = |fault: &&FaultSpan| {
            fault.from <= violation.at && fault.to >= violation.at - RECENT_FAULT_SECONDS
        };
        for fault in self.faults.iter().filter(is_recent) {
            writeln!(f, "            {:.3} to {:.3} s: {}", fault.from, fault.to, fault.description)?;
        }
        Ok(())
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} faults", self.planned_faults)?;
        writeln!(f, "{}", self.lateness)?;
        for (name, count) in &self.counts {
            writeln!(f, "{count:>9} {name}")?;
        }
        match &self.nearest_cold_node {
            Some(nearest) => writeln!(f, "nearest cold node: {nearest}")?,
            None => writeln!(f, "nearest cold node: none was called")?,
        }
        self.write_counts(f, true, "")?;
        self.write_counts(f, false, ", not judged")?;
        if self.verdict() == Verdict::NotJudged {
            writeln!(f, "not judged: the machine was too busy")?;
        }
        let judged_first = self.violations_by(true).chain(self.violations_by(false));
        judged_first.take(PRINTED_VIOLATIONS).try_for_each(|violation| self.write_violation(f, violation))
    }
}
