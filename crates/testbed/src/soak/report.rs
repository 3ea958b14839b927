//! The result of a soak.

use std::collections::BTreeMap;
use std::fmt;

use super::fault_log::FaultSpan;
use super::invariants::{OBSERVER_TOLERANCE, Rule, Violation};
use super::judge::NearestColdNode;
use super::lateness::Lateness;

#[cfg(test)]
mod tests;

/// How many violations are printed.
const PRINTED_VIOLATIONS: usize = 20;
/// Faults that ended so many seconds before a violation are printed with it.
const FAULT_AFTERMATH: f64 = 1.0;

/// What a soak says of the directors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// A rule was broken.
    Failed,
    /// The soak's own threads were later than the tolerance that each bound has for them.
    NotJudged,
}

/// What a soak found. Printed, it has the counters, the violations by rule and the first of them in full.
pub struct SoakReport {
    /// The violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// What was counted, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// How near a cold node came to its collapse; none if no cold node was called.
    pub nearest_cold_node: Option<NearestColdNode>,
    /// The number of planned faults.
    pub planned_faults: usize,
    /// What was injected, and when.
    pub faults: Vec<FaultSpan>,
    /// How late the soak's own threads were.
    pub lateness: Lateness,
}

impl SoakReport {
    /// What it says of the directors.
    pub fn verdict(&self) -> Verdict {
        if self.lateness.latest() > OBSERVER_TOLERANCE {
            Verdict::NotJudged
        } else if self.violations.is_empty() {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }

    fn write_violation(&self, f: &mut fmt::Formatter<'_>, violation: &Violation) -> fmt::Result {
        writeln!(f, "{violation}")?;
        let is_near =
            |fault: &&FaultSpan| fault.from <= violation.at && fault.to >= violation.at - FAULT_AFTERMATH;
        for fault in self.faults.iter().filter(is_near) {
            writeln!(f, "            {:.3} to {:.3} s: {}", fault.from, fault.to, fault.what)?;
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
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        for (rule, count) in by_rule {
            writeln!(f, "violations of {rule:?}: {count}")?;
        }
        if self.verdict() == Verdict::NotJudged {
            writeln!(f, "not judged: the machine was too busy")?;
        }
        self.violations.iter().take(PRINTED_VIOLATIONS).try_for_each(|v| self.write_violation(f, v))
    }
}
