//! The soak in its short form, with the fault library.

use std::process::Command;

fn sablecross(words: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_sablecross")).args(words).output().expect("runs")
}

/// Runs soaks with the fault library, in a folder of their own; what they print, if no rule was broken.
fn clean_soaks(name: &str, words: &[&str]) -> String {
    let tests = std::env::current_exe().expect("its own name");
    let library = tests.with_file_name("libsablecross_fault_injection.so").display().to_string();
    let folder = std::env::temp_dir().join(format!("sablecross-{name}-{}", std::process::id()));
    let place = folder.display().to_string();
    let out = sablecross(&[&["soak", "--faults", &library, "--folder", &place], words].concat());
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}{}", String::from_utf8_lossy(&out.stderr));
    std::fs::remove_dir_all(folder).expect("removed");
    text
}

#[test]
fn a_short_soak_breaks_no_rule() {
    let words = ["--seed", "11", "--seconds", "10", "--directors", "4", "--caches", "4", "--clients", "4"];
    let text = clean_soaks("soak", &words);
    assert!(text.contains(" requests") && text.contains(" faults"), "{text}");
}

/// The soak of CI: every run plays the same plans. The long run is started by hand (docs/on-call.md).
#[test]
fn soaks_of_a_minute_in_all_break_no_rule() {
    let words = ["--seed", "1", "--soaks", "3", "--seconds", "15", "--directors", "8"];
    let text = clean_soaks("soaks", &words);
    assert_eq!(text.matches("own threads late").count(), 3, "{text}");
}

#[test]
fn a_soak_that_cannot_be_names_its_cause() {
    let out = sablecross(&["soak", "--director", "/nowhere/director"]);
    let log = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    assert!(log.contains("/nowhere/director") && log.lines().count() == 1, "{log}");
    assert_eq!(sablecross(&["soak", "--seconds", "1"]).status.code(), Some(2));
}
