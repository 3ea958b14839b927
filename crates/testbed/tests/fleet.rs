//! Trials of small fleets: real directors under injected faults, and every lookup must get exactly one outcome.

use std::process::Command;

use sablecross_testbed::TrialReport;
use sablecross_testbed::fleet::{run, settings};

#[test]
fn faults_between_processes_lose_no_lookup_and_collapse_no_cold_cache() {
    let text = "(fleet (name . \"test\") (seed . 3) (seconds . 22) (warm-up . 2) (directors . 8) (caches . 5) (parents . 3)
        (rate . 80) (objects . 3000) (kept . 600) (uneven . 3) (late-lists . 1) (hot . 0.1)
        (faults
          ((kind . stop-caches) (at . 3) (lasts . 1.5))
          ((kind . cut-to) (at . 5.5) (lasts . 1.5) (of . 0.4))
          ((kind . cut-from) (at . 7.5) (lasts . 1) (of . 0.4))
          ((kind . slow-parents) (at . 9) (lasts . 1.5) (by . 4))
          ((kind . stop-directors) (at . 11) (lasts . 1.5) (of . 0.3))
          ((kind . kill-directors) (at . 13) (lasts . 0.3) (of . 0.7))
          ((kind . reset) (at . 15.5) (lasts . 0) (of . 0.5))
          ((kind . crash-caches) (at . 16.5) (lasts . 1.5) (of . 0.4))))";
    let trial = settings::parse("test", text).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let director = || Command::new(env!("CARGO_BIN_EXE_lab-director"));
    let report = run(&trial, &director, folder.path(), |_| {}).unwrap();
    assert_eq!(report.violations(), [] as [&str; 0], "{report}");
    let t = report.total;
    assert_eq!(t.asked, t.satisfied + t.rejected + t.failed + t.excused, "{report}");
    assert!(t.satisfied * 2 > t.asked, "{report}");
    assert_eq!(report.aftermath.len(), 8);
    // All 5 caches, 3 parents and the origin are in the report, and requests arrived at them.
    assert!(
        report.requests.len() == 9 && report.requests.values().flatten().sum::<u32>() > 1_000,
        "{report}"
    );
    report.write(folder.path()).unwrap();
    assert!(std::fs::read_to_string(folder.path().join("plot.svg")).unwrap().contains("each cache"));
}

/// Six directors share out the health checks of all nodes, while role holders and other directors are killed or
/// stopped, and links between members and voters are held back, partitioned and reset. No health check of a former
/// holder may be accepted, and the gaps between health checks must stay within the limit.
#[test]
fn each_role_has_one_holder_at_a_time_and_health_checks_stay_regular() {
    let text = "(fleet (name . \"duty\") (seed . 5) (seconds . 34) (warm-up . 5) (directors . 6) (caches . 5) (parents . 2)
        (rate . 40) (objects . 2000) (kept . 600)
        (duties ((voters . 3) (lease-ms . 1000) (beat-ms . 200) (probe-ms . 500) (gap-s . 10) (burst . 4) (change-s . 6) (warming . #t)))
        (faults
          ((kind . kill-owner) (at . 6) (lasts . 2))
          ((kind . kill-driver) (at . 8.3) (lasts . 2))
          ((kind . stop-owner) (at . 12) (lasts . 3))
          ((kind . hold-probes) (at . 14.5) (lasts . 5) (of . 0.5))
          ((kind . stop-directors) (at . 15) (lasts . 3) (of . 0.5))
          ((kind . part) (at . 21) (lasts . 3))
          ((kind . hold-to) (at . 25) (lasts . 2) (of . 0.7))
          ((kind . reset-ways) (at . 27) (lasts . 0) (of . 1))
          ((kind . crash-caches) (at . 19) (lasts . 1) (of . 0.2))
          ((kind . kill-voters) (at . 28) (lasts . 0.5) (of . 1))))";
    let trial = settings::parse("test", text).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let director = || Command::new(env!("CARGO_BIN_EXE_lab-director"));
    let report = run(&trial, &director, folder.path(), |_| {}).unwrap();
    assert_eq!(report.violations(), [] as [&str; 0], "{report}");
    let coordination = report.coordination.as_ref().unwrap();
    assert!(
        coordination.leases >= 4 && coordination.holder_faults == 3 && coordination.without_takeover == 0,
        "{report}"
    );
    assert!(coordination.changes_ended >= 1 && coordination.regressions == 0, "{report}");
    assert!(coordination.health_checks > 200 && coordination.warming_requests > 0, "{report}");
}

#[test]
fn invalid_trials_are_rejected_by_key() {
    let cases = [
        ("", "no (fleet ...) form"),
        ("(fleet (name . \"x\"))", "missing field `seconds`"),
        ("(fleet (name . \"x\") (seconds . 4) (warm-up . 4) (directors . 1) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1))", "fleet.warm-up"),
        ("(fleet (name . \"x\") (seconds . 9) (directors . 401) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1))", "fleet.directors"),
        ("(fleet (name . \"x\") (seconds . 9) (directors . 1) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1)
          (faults ((kind . reset) (at . 8.5) (lasts . 2))))", "fleet.faults"),
        ("(fleet (name . \"x\") (seconds . 9) (directors . 1) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1)
          (faults ((kind . rest) (at . 1))))", "rest"),
        ("(fleet (name . \"x\") (seconds . 9) (directors . 1) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1)
          (faults ((kind . stop-owner) (at . 1))))", "there are no duties"),
        ("(fleet (name . \"x\") (seconds . 9) (directors . 2) (caches . 1) (parents . 1) (rate . 1) (objects . 1) (kept . 1)
          (duties ((voters . 3) (lease-ms . 1000) (beat-ms . 200) (probe-ms . 500))))", "fleet.duties.voters"),
    ];
    for (text, what) in cases {
        let error = settings::parse("f", text).unwrap_err()[0].to_string();
        assert!(error.contains(what), "{error}");
    }
}
