//! What a soak says of the directors.

use super::*;

fn report(worst: f64, violations: Vec<Violation>) -> SoakReport {
    SoakReport {
        violations,
        counts: BTreeMap::new(),
        nearest_cold_node: None,
        planned_faults: 0,
        faults: vec![FaultSpan { what: "a pause".into(), from: 1.0, to: 2.5 }],
        lateness: Lateness { p999: 0.001, worst, longest_write: 0.001 },
    }
}

fn violation(at: f64) -> Violation {
    Violation { rule: Rule::Lost, at, detail: "request 7".into() }
}

/// Guards against marks that a busy machine makes, and against marks that it hides.
#[test]
fn a_soak_whose_own_threads_were_later_than_the_tolerance_is_not_judged() {
    assert_eq!(report(0.099, vec![]).verdict(), Verdict::Passed);
    assert_eq!(report(0.099, vec![violation(1.0)]).verdict(), Verdict::Failed);
    for (violations, worst, longest_write) in
        [(vec![], 0.101, 0.0), (vec![violation(1.0)], 0.101, 0.0), (vec![violation(1.0)], 0.0, 0.101)]
    {
        let lateness = Lateness { p999: 0.001, worst, longest_write };
        let report = SoakReport { lateness, ..report(worst, violations) };
        assert_eq!(report.verdict(), Verdict::NotJudged);
        assert!(report.to_string().contains("not judged"), "{report}");
    }
}

#[test]
fn a_violation_is_printed_with_the_faults_in_force_and_those_just_over() {
    for (at, is_near) in [(0.9, false), (1.1, true), (3.4, true), (3.6, false)] {
        let text = report(0.0, vec![violation(at)]).to_string();
        assert!(text.contains("request 7"), "{text}");
        assert_eq!(text.contains("a pause"), is_near, "{text}");
    }
}
