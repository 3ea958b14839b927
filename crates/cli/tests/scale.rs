//! Short scale trials that are checked by the same rules as full ones, and errors of settings, which name the key.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

/// Runs a scale trial with these settings and further arguments.
fn scale(text: &str, folder: &Path, args: &[&str]) -> Output {
    let file = folder.join("trial.scm");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sablecross"));
    command.arg("scale").arg(&file).arg("--out").arg(folder.join("out")).args(args);
    command.output().unwrap()
}

fn report(folder: &Path) -> Value {
    let text = std::fs::read_to_string(folder.join("out/report.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// The keys of the report that have to be 0.
const ZERO_KEYS: [&str; 9] = [
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

/// Guards against events that directors miss, get twice or get out of order when relays fail. Two hundred simulated
/// directors and five real ones are behind four relays, three of them voters; the leader and another relay are killed,
/// directors restart, and a thousand purges are queued at once.
#[test]
fn two_hundred_directors_miss_no_event_when_relays_fail() {
    let text = "(scale (name . \"short\") (seed . 3) (seconds . 22) (warm-up . 4) (hollow . 200) (real . 5) (relays . 4) (voters . 3)
      (regions . 2) (nodes . 120) (zones . 8) (purges . 35.0) (changes . 1.0) (ack-ms . 1000)
      (faults
        ((kind . kill-relay) (at . 4) (lasts . 2))
        ((kind . restart-directors) (at . 5) (lasts . 8) (count . 40))
        ((kind . kill-owner) (at . 9) (lasts . 3))
        ((kind . kill-directors) (at . 14) (lasts . 1) (of . 0.3))
        ((kind . burst) (at . 17) (lasts . 0) (count . 1000))))";
    let folder = tempfile::tempdir().unwrap();
    let output = scale(text, folder.path(), &[]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{printed}\n{}", String::from_utf8_lossy(&output.stderr));
    let report = report(folder.path());
    for key in ZERO_KEYS {
        assert_eq!(report[key], 0, "{key}: {printed}");
    }
    assert!(report["published"].as_u64().unwrap() > 1_500, "{printed}");
    assert!(report["restarts"].as_u64().unwrap() > 60, "{printed}");
    assert!(report["roles"].as_array().unwrap().len() == 4 && printed.contains("KillOwner"), "{printed}");
}

#[test]
fn a_star_trial_has_the_same_load_and_no_relays() {
    let text = "(scale (name . \"star\") (seconds . 6) (warm-up . 2) (hollow . 50) (real . 2) (relays . 3) (voters . 3)
      (nodes . 60) (zones . 4) (purges . 20.0) (changes . 1.0) (faults ((kind . kill-owner) (at . 3))))";
    let folder = tempfile::tempdir().unwrap();
    let output = scale(text, folder.path(), &["--star", "--hollow", "40", "--seed", "8"]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{printed}\n{}", String::from_utf8_lossy(&output.stderr));
    assert!(printed.contains("40 simulated and 2 real directors, one source, no relays"), "{printed}");
    assert!(report(folder.path())["published"].as_u64().unwrap() > 60, "{printed}");
}

#[test]
fn errors_of_settings_name_the_key() {
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
            "scale.faults: one affects plain relays",
        ),
        (
            format!("{head} (faults ((kind . kill-directors) (at . 8) (lasts . 3))))"),
            "scale.faults: one lasts past",
        ),
        (format!("{head} (faults ((kind . kill-all) (at . 8))))"), "kill-all"),
        (format!("{head}) {head})"), "a second scale"),
    ];
    let folder = tempfile::tempdir().unwrap();
    for (text, message) in cases {
        let output = scale(&text, folder.path(), &[]);
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && printed.contains(message), "{message}: {printed}");
    }
    let valid = format!("{head})");
    for (args, message) in [(["--hollow", "20001"], "hollow"), (["--seconds", "4"], "seconds")] {
        let output = scale(&valid, folder.path(), &args);
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && printed.contains(message), "{message}: {printed}");
    }
    // A trial that would not fit into half of the machine's memory is not started.
    let huge =
        valid.replace("(purges . 1.0)", "(purges . 10000.0)").replace("(seconds . 9)", "(seconds . 3600)");
    let output = scale(&huge, folder.path(), &["--hollow", "20000"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("does not fit"), "{output:?}");
}
