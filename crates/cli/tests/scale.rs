//! Scale trials: the short form, with every verdict the same, and faulty settings by key.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn scale(text: &str, folder: &Path, more: &[&str]) -> Output {
    let file = folder.join("trial.scm");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sablecross"));
    command.arg("scale").arg(&file).arg("--out").arg(folder.join("out")).args(more);
    command.output().unwrap()
}

fn report(folder: &Path) -> Value {
    let text = std::fs::read_to_string(folder.join("out/report.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

const NONE: [&str; 9] = [
    "missed",
    "disorder",
    "twice",
    "differs",
    "wrong_lists",
    "unconfirmed",
    "skipped",
    "reals_behind",
    "ended",
];

/// Two hundred hollow directors and five real ones behind three relays: the owner and another are killed, directors begin
/// anew, a thousand purges come in a second.
#[test]
fn two_hundred_directors_miss_nothing_behind_relays_that_fail() {
    let text = "(scale (name . \"short\") (seed . 3) (seconds . 22) (warm-up . 4) (hollow . 200) (real . 5) (relays . 4) (voters . 3)
      (regions . 2) (nodes . 120) (zones . 8) (purges . 35.0) (changes . 1.0) (ack-ms . 1000)
      (faults
        ((kind . kill-relay) (at . 4) (lasts . 2))
        ((kind . restart-directors) (at . 5) (lasts . 8) (count . 40))
        ((kind . kill-owner) (at . 9) (lasts . 3))
        ((kind . kill-directors) (at . 14) (lasts . 1) (of . 0.3))
        ((kind . burst) (at . 17) (lasts . 0) (count . 1000))))";
    let folder = tempfile::tempdir().unwrap();
    let done = scale(text, folder.path(), &[]);
    let said = String::from_utf8_lossy(&done.stdout).into_owned();
    assert_eq!(done.status.code(), Some(0), "{said}\n{}", String::from_utf8_lossy(&done.stderr));
    let report = report(folder.path());
    for key in NONE {
        assert_eq!(report[key], 0, "{key}: {said}");
    }
    assert!(report["published"].as_u64().unwrap() > 1_500, "{said}");
    assert!(report["restarts"].as_u64().unwrap() > 60, "{said}");
    assert!(report["roles"].as_array().unwrap().len() == 4 && said.contains("KillOwner"), "{said}");
}

#[test]
fn a_star_has_the_same_load_and_no_relay() {
    let text = "(scale (name . \"star\") (seconds . 6) (warm-up . 2) (hollow . 50) (real . 2) (relays . 3) (voters . 3)
      (nodes . 60) (zones . 4) (purges . 20.0) (changes . 1.0) (faults ((kind . kill-owner) (at . 3))))";
    let folder = tempfile::tempdir().unwrap();
    let done = scale(text, folder.path(), &["--star", "--hollow", "40", "--seed", "8"]);
    let said = String::from_utf8_lossy(&done.stdout).into_owned();
    assert_eq!(done.status.code(), Some(0), "{said}\n{}", String::from_utf8_lossy(&done.stderr));
    assert!(said.contains("40 simulated and 2 real directors, one source, no relays"), "{said}");
    assert!(report(folder.path())["published"].as_u64().unwrap() > 60, "{said}");
}

#[test]
fn faulty_trials_are_refused_by_key() {
    let head = "(scale (name . \"x\") (seconds . 9) (hollow . 4) (nodes . 60) (zones . 4) (purges . 1.0) (changes . 1.0)";
    let cases = [
        (String::new(), "no (scale ...) form"),
        ("(scale (name . \"x\"))".into(), "missing field `seconds`"),
        (format!("{head} (hollw . 3))"), "hollw"),
        (format!("{head} (warm-up . 9))"), "scale.warm-up: longer"),
        (format!("{head} (real . 201))"), "scale.real"),
        (format!("{head} (relays . 2) (voters . 3))"), "scale.voters"),
        (
            format!("{head} (faults ((kind . kill-owner) (at . 1))))"),
            "scale.faults: one strikes plain relays",
        ),
        (
            format!("{head} (faults ((kind . kill-directors) (at . 8) (lasts . 3))))"),
            "scale.faults: one lasts past",
        ),
        (format!("{head} (faults ((kind . kill-all) (at . 8))))"), "kill-all"),
        (format!("{head}) {head})"), "a second scale"),
    ];
    let folder = tempfile::tempdir().unwrap();
    for (text, what) in cases {
        let done = scale(&text, folder.path(), &[]);
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(done.status.code() == Some(2) && said.contains(what), "{what}: {said}");
    }
    let fits = format!("{head})");
    for (more, what) in [(["--hollow", "20001"], "hollow"), (["--seconds", "4"], "seconds")] {
        let done = scale(&fits, folder.path(), &more);
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(done.status.code() == Some(2) && said.contains(what), "{what}: {said}");
    }
    // What would not fit into half of the machine's memory is not begun.
    let huge =
        fits.replace("(purges . 1.0)", "(purges . 10000.0)").replace("(seconds . 9)", "(seconds . 3600)");
    let done = scale(&huge, folder.path(), &["--hollow", "20000"]);
    assert!(String::from_utf8_lossy(&done.stderr).contains("does not fit"), "{done:?}");
}
