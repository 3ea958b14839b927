//! The result of a soak.

use std::collections::BTreeMap;
use std::fmt;

use super::invariants::{Rule, Violation};
use super::lateness::Lateness;

/// How many violations are printed.
const PRINTED_VIOLATIONS: usize = 20;

/// What a soak found. Printed, it has the counters, the violations by rule and the first of them in full.
pub struct SoakReport {
    /// The violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// What was counted, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// The number of planned faults.
    pub faults: usize,
    /// How late the soak's own threads were.
    pub lateness: Lateness,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} faults", self.faults)?;
        writeln!(f, "{}", self.lateness)?;
        for (name, count) in &self.counts {
            writeln!(f, "{count:>9} {name}")?;
        }
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        for (rule, count) in by_rule {
            writeln!(f, "violations of {rule:?}: {count}")?;
        }
        self.violations.iter().take(PRINTED_VIOLATIONS).try_for_each(|violation| writeln!(f, "{violation}"))
    }
}
