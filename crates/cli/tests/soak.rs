//! Short soaks with the fault injection library.

use std::process::Command;

fn sablecross(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_sablecross")).args(args).output().expect("runs")
}

/// Runs soaks with the fault injection library in a new folder, and asserts that no rule is violated. Returns what they
/// print.
fn run_clean_soaks(name: &str, args: &[&str]) -> String {
    let executable = std::env::current_exe().expect("its own name");
    let library = executable.with_file_name("libsablecross_fault_injection.so").display().to_string();
    let folder = std::env::temp_dir().join(format!("sablecross-{name}-{}", std::process::id()));
    let place = folder.display().to_string();
    let out = sablecross(&[&["soak", "--faults", &library, "--folder", &place], args].concat());
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}{}", String::from_utf8_lossy(&out.stderr));
    std::fs::remove_dir_all(folder).expect("removed");
    text
}

#[test]
fn a_short_soak_violates_no_rule() {
    let args = ["--seed", "11", "--seconds", "10", "--directors", "4", "--caches", "4", "--clients", "4"];
    let text = run_clean_soaks("soak", &args);
    assert!(text.contains(" requests") && text.contains(" faults"), "{text}");
}

/// The soaks of CI, whose seeds are fixed so that every run executes the same fault plans. Longer soaks are run by hand
/// (docs/on-call.md).
#[test]
fn three_soaks_with_fixed_seeds_violate_no_rule() {
    let args = ["--seed", "1", "--soaks", "3", "--seconds", "15", "--directors", "8"];
    let text = run_clean_soaks("soaks", &args);
    assert_eq!(text.matches("own threads late").count(), 3, "{text}");
}

#[test]
fn a_soak_that_cannot_start_reports_the_cause() {
    let out = sablecross(&["soak", "--director", "/nowhere/director"]);
    let log = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    assert!(log.contains("/nowhere/director") && log.lines().count() == 1, "{log}");
    assert_eq!(sablecross(&["soak", "--seconds", "1"]).status.code(), Some(2));
}
