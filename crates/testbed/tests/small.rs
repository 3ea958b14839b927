//! Tests of an experiment with a small installation: real directors, changes of the hierarchy with faults, and every
//! lookup must get exactly one outcome.

use std::process::Command;

use sablecross_testbed::{Experiment, TrialReport, run, settings};

fn experiment(more_keys: &str) -> Experiment {
    let text = format!(
        "(experiment (name . \"test\") (seed . 7) (seconds . 14) (warm-up . 2) (directors . 2) (caches . 4) (uppers . 5)
         (rate . 60) (objects . 500) (kept . 200) (ceiling . 200) {more_keys})"
    );
    settings::parse("test", &text).unwrap()
}

#[test]
fn changes_with_faults_cause_no_violation() {
    let folder = tempfile::tempdir().unwrap();
    let director = || Command::new(env!("CARGO_BIN_EXE_lab-director"));
    let e = experiment("(rewirings . 4) (faults . #t) (purges . 4)");
    let report = run(&e, &director, folder.path(), |_| {}).unwrap();
    assert_eq!(report.violations(), [] as [&str; 0], "{report}\n{:#?}", report.notes);
    assert!(report.satisfied > 200 && report.satisfied * 100 > report.lookups * 90, "{report}");
    assert_eq!(report.lookups, report.satisfied + report.rejected + report.failed);
    assert!(report.changes > 0 && report.change_outcomes.values().sum::<u64>() > 0, "{:?}", report.notes);
    // The log shows that the director has applied the version that the driver published.
    let log = std::fs::read_to_string(folder.path().join("director-0.log")).unwrap();
    assert!(log.contains("hierarchy in force version=2"), "{log}");
    report.write(folder.path()).unwrap();
    assert!(std::fs::read_to_string(folder.path().join("plot.svg")).unwrap().contains("ceiling"));
}

#[test]
fn invalid_experiments_are_rejected_by_key() {
    let cases = [
        ("", "no (experiment ...) form"),
        ("(experiment (name . \"x\"))", "missing field `seconds`"),
        (
            "(experiment (name . \"x\") (seconds . 1) (directors . 1) (caches . 1) (uppers . 1) (rate . 1) (objects . 1) (kept . 1) (ceiling . 1))",
            "experiment.seconds",
        ),
        (
            "(experiment (name . \"x\") (seconds . 2) (directors . 1) (caches . 1) (uppers . 1) (rate . 1) (objects . 1) (kept . 1) (ceiling . 1))",
            "experiment.warm-up: longer",
        ),
    ];
    for (text, what) in cases {
        let error = settings::parse("f", text).unwrap_err()[0].to_string();
        assert!(error.contains(what), "{error}");
    }
}
