//! Tests of the verdict of a soak and its printed report.

use super::super::evidence::Evidence;
use super::super::lateness::Delays;
use super::*;

/// When the late threads of the soak were due.
const DUE: f64 = 5.0;

fn delays(duration: f64) -> Delays {
    let mut delays = Delays::default();
    delays.record(TimeSpan { from: DUE, to: DUE + duration });
    delays
}

fn report(worst: f64, violations: Vec<Violation>) -> SoakReport {
    SoakReport {
        violations,
        counts: BTreeMap::new(),
        nearest_cold_node: None,
        planned_faults: 0,
        faults: vec![FaultSpan { description: "a pause".into(), from: 1.0, to: 2.5 }],
        lateness: Lateness { p999: 0.001, samples: delays(worst), writes: delays(0.001) },
    }
}

fn exact(rule: Rule) -> Violation {
    Violation { rule, at: DUE, evidence: Evidence::Exact, detail: "request 7".into() }
}

fn observed(rule: Rule, from: f64, to: f64) -> Violation {
    Violation {
        rule,
        at: to,
        evidence: Evidence::Observed(TimeSpan { from, to }),
        detail: "request 7".into(),
    }
}

/// Guards against violations that only a busy machine causes, and against real ones that it hides.
#[test]
fn a_soak_without_a_judged_violation_is_not_judged_past_the_tolerance() {
    assert_eq!(report(0.099, vec![]).verdict(), Verdict::Passed);
    let beside = || vec![observed(Rule::Lost, 4.0, 5.05)];
    assert_eq!(report(0.099, beside()).verdict(), Verdict::Failed);
    for (violations, worst, longest_write) in
        [(vec![], 0.101, 0.0), (vec![], 0.0, 0.101), (beside(), 0.101, 0.0), (beside(), 0.0, 0.101)]
    {
        let lateness = Lateness { p999: 0.001, samples: delays(worst), writes: delays(longest_write) };
        let report = SoakReport { lateness, ..report(worst, violations) };
        assert_eq!(report.verdict(), Verdict::NotJudged);
        assert!(report.to_string().contains("not judged: the machine was too busy"), "{report}");
    }
}

/// Covers all rules that compare times which threads of the soak took.
#[test]
fn a_violation_by_observed_times_is_judged_if_no_soak_thread_was_late_meanwhile() {
    for rule in [
        Rule::Lost,
        Rule::ClientGone,
        Rule::WaitTooLong,
        Rule::Drained,
        Rule::Purged,
        Rule::EffectTwice,
        Rule::Crash,
        Rule::SlowStart,
    ] {
        // Threads of the soak were late from 5 to 5.2 s.
        for (from, to, expected) in [
            (3.0, 4.99, Verdict::Failed),
            (3.0, 5.01, Verdict::NotJudged),
            (5.05, 5.1, Verdict::NotJudged),
            (3.0, 7.0, Verdict::NotJudged),
            (5.19, 7.0, Verdict::NotJudged),
            (5.21, 7.0, Verdict::Failed),
        ] {
            let report = report(0.2, vec![observed(rule, from, to)]);
            assert_eq!(report.verdict(), expected, "{rule:?} from {from} to {to}");
        }
    }
}

#[test]
fn a_violation_with_exact_evidence_fails_on_any_machine() {
    for rule in [
        Rule::EffectTwice,
        Rule::WrongBytes,
        Rule::Stray,
        Rule::Unknown,
        Rule::Inside,
        Rule::Crash,
        Rule::ClientGone,
        Rule::WaitTooLong,
    ] {
        for late in [0.0, 0.2, 60.0] {
            let report = report(late, vec![observed(Rule::Lost, 4.0, 6.0), exact(rule)]);
            assert_eq!(report.verdict(), Verdict::Failed, "{rule:?} with own threads late by {late} s");
            assert!(!report.to_string().contains("too busy"), "{report}");
        }
    }
}

#[test]
fn violations_are_counted_and_printed_by_whether_they_are_judged() {
    let lost = |from, to| observed(Rule::Lost, from, to);
    let text =
        report(0.2, vec![lost(4.0, 5.1), lost(4.0, 6.0), lost(5.5, 7.0), exact(Rule::Stray)]).to_string();
    let lines: Vec<&str> = text.lines().collect();
    let position =
        |line: &str| lines.iter().position(|l| *l == line).unwrap_or_else(|| panic!("{line} in {text}"));
    position("violations of Lost: 1");
    position("violations of Stray: 1");
    position("violations of Lost, not judged: 2");
    let judged = position("  7.000 s Lost: request 7 [judged]");
    assert_eq!(lines[judged + 1], "  5.000 s Stray: request 7 [judged]");
    let not_judged = position("  5.100 s Lost: request 7 [not judged]");
    assert!(judged < not_judged, "{text}");
    assert_eq!(lines[not_judged + 1], "            5.000 to 5.200 s: own threads late");
    assert_eq!(text.matches("own threads late").count(), 3, "{text}");
}

/// Guards against a judged violation that is not printed because a busy machine causes many others.
#[test]
fn judged_violations_are_printed_first() {
    let mut violations = vec![observed(Rule::Lost, 4.0, 6.0); PRINTED_VIOLATIONS];
    violations.push(exact(Rule::WrongBytes));
    let text = report(0.2, violations).to_string();
    assert!(text.contains("WrongBytes: request 7 [judged]"), "{text}");
    assert_eq!(text.matches("request 7").count(), PRINTED_VIOLATIONS, "{text}");
}

#[test]
fn a_violation_is_printed_with_faults_in_force_and_recent_ones() {
    for (at, is_recent) in [(0.9, false), (1.1, true), (3.4, true), (3.6, false)] {
        let text = report(0.0, vec![observed(Rule::Lost, at, at)]).to_string();
        assert!(text.contains("request 7"), "{text}");
        assert_eq!(text.contains("a pause"), is_recent, "{text}");
    }
}
