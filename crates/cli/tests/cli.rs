//! Tests of the command line's exit codes, messages and output forms.

use std::path::PathBuf;
use std::process::Command;

fn sample(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name)
}

/// Runs a command. Returns its exit code and the text of both output streams.
fn run(args: &[&str]) -> (i32, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_sablecross")).args(args).output().unwrap();
    let text = [out.stdout, out.stderr].map(|b| String::from_utf8(b).unwrap()).concat();
    (out.status.code().unwrap(), text)
}

#[test]
fn exit_codes_and_messages() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (sample("hierarchy.scm"), sample("hierarchy-grown.scm"));
    let (old, new) = (old.to_str().unwrap(), new.to_str().unwrap());
    let text = std::fs::read_to_string(old).unwrap();
    let file = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    };
    let cycle = text.replace("(hierarchy (", "(hierarchy (siblings . #t) (");
    let cycle = cycle.replacen("(sources \"origin\")", "(sources \"upper-b\")", 1);
    let cycle = cycle.replace(
        "\"upper-b\") (tier . 1) (sources \"origin\")",
        "\"upper-b\") (tier . 1) (sources \"upper-a\")",
    );
    let cycle = file("cycle.scm", &cycle);
    let typo = file("typo.scm", &text.replace("capacity . 200", "capcity . 200"));
    let narrow = file(
        "narrow.scm",
        &std::fs::read_to_string(new).unwrap().replace("(ceiling . 150)", "(ceiling . 101)"),
    );
    let cases: Vec<(Vec<&str>, i32, &str)> = vec![
        (vec!["hierarchy", "check", old, new], 0, "6 nodes: valid"),
        (vec!["hierarchy", "check", &cycle], 1, "a fill could run in a loop: upper-"),
        (vec!["hierarchy", "check", old, &typo], 1, "typo.scm:4:37: node.capcity: unknown field"),
        (vec!["hierarchy", "check"], 2, "Usage"),
        (vec!["hierarchy", "show", &typo], 2, "node.capcity"),
        (vec!["hierarchy", "show", "nowhere.scm"], 2, "nowhere.scm: No such file"),
        (vec!["hierarchy", "show", old], 0, "upper-a                 1       200       400   100%  origin"),
        (vec!["hierarchy", "show", old, "--form", "dot"], 0, "digraph"),
        (vec!["hierarchy", "diff", old, old], 0, "0 differences"),
        (vec!["hierarchy", "diff", old, new], 1, "upper-c joins tier 1 over origin"),
        (vec!["hierarchy", "diff", new, &narrow], 1, "rules: ceiling 150 to 101\n"),
        (vec!["hierarchy", "plan", old, new], 0, "version 1 to 2 in "),
        (vec!["hierarchy", "plan", old, &narrow], 1, "moves the origin could get 8"),
        (vec!["hierarchy", "plan", old, &cycle], 1, "rejected: a fill could run in a loop"),
        (vec!["lab", "run", old], 2, "unknown variant `hierarchy`"),
    ];
    for (args, expected_code, message) in cases {
        let (code, text) = run(&args);
        assert!(code == expected_code && text.contains(message), "{args:?}: {code}\n{text}");
    }
}

#[test]
fn each_step_of_a_plan_is_a_file_that_can_be_checked() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (sample("hierarchy.scm"), sample("hierarchy-grown.scm"));
    let (old, new) = (old.to_str().unwrap(), new.to_str().unwrap());
    let steps = folder.path().to_str().unwrap();
    let (code, text) = run(&["hierarchy", "plan", old, new, "--form", "json", "--steps", steps]);
    assert_eq!(code, 0, "{text}");
    let plan: serde_json::Value = serde_json::from_str(&text).unwrap();
    let count = plan["steps"].as_array().unwrap().len();
    assert!(count >= 2 && plan["fewest"] == true, "{text}");
    for k in 1..=count {
        let file = folder.path().join(format!("step-{k}.scm"));
        let (code, text) = run(&["hierarchy", "check", file.to_str().unwrap()]);
        assert!(code == 0 && text.contains(&format!("version {}", k + 1)), "{text}");
    }
    let last = folder.path().join(format!("step-{count}.scm"));
    assert_eq!(run(&["hierarchy", "diff", new, last.to_str().unwrap()]).0, 0);
}
