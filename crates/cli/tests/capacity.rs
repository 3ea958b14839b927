//! Tests of the commands `sablecross capacity` and `sablecross cost-slopes`, which is called by its alias `slopes`.

use std::path::Path;
use std::process::{Command, Output};

fn sablecross(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_sablecross")).args(args).current_dir(root).output().expect("it runs")
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_tables_are_printed_and_written_between_the_markers() {
    let out = sablecross(&["capacity"]);
    assert_eq!(out.status.code(), Some(0), "{}", to_text(&out.stderr));
    let dir = tempfile::tempdir().expect("a directory");
    let page = dir.path().join("page.md");
    std::fs::write(&page, "a\n<!-- capacity: begin -->\nold\n<!-- capacity: end -->\nb\n").expect("a page");
    let name = page.display().to_string();
    let written = sablecross(&["capacity", "--write", &name]);
    assert_eq!(written.status.code(), Some(0), "{}", to_text(&written.stderr));
    let new = std::fs::read_to_string(&page).expect("the page");
    assert!(
        new.starts_with("a\n<!-- capacity: begin -->\nWhat is measured") && new.ends_with("end -->\nb\n")
    );
    assert!(new.contains(&to_text(&out.stdout)));
    std::fs::write(&page, "no marks\n").expect("a page");
    let rejected = sablecross(&["capacity", "--write", &name]);
    assert_eq!(rejected.status.code(), Some(2));
    assert_eq!(std::fs::read_to_string(&page).expect("the page"), "no marks\n");
}

#[test]
fn errors_of_the_capacity_file_name_file_and_line() {
    let dir = tempfile::tempdir().expect("a directory");
    let sheet = dir.path().join("sheet.scm");
    std::fs::write(&sheet, "(target (directors . many))\n").expect("a sheet");
    let out = sablecross(&["capacity", &sheet.display().to_string()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(to_text(&out.stderr).contains("sheet.scm:1:"), "{}", to_text(&out.stderr));
}

#[test]
fn costs_are_listed_and_an_unknown_prefix_is_rejected() {
    let out = sablecross(&["slopes", "--names", "--only", "feed"]);
    assert_eq!(out.status.code(), Some(0));
    assert_eq!(to_text(&out.stdout).lines().count(), 6, "{}", to_text(&out.stdout));
    let out = sablecross(&["slopes", "--only", "nothing"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(to_text(&out.stderr).contains("no cost has this prefix"), "{}", to_text(&out.stderr));
}

#[test]
fn a_measured_cost_is_printed_as_a_form() {
    let out = sablecross(&["slopes", "--only", "duties-roster", "--forms", "a run"]);
    assert_eq!(out.status.code(), Some(0), "{}", to_text(&out.stderr));
    let form = to_text(&out.stdout);
    assert!(
        form.starts_with("(slope (name . \"duties-roster-bytes\")") && form.contains("(run . \"a run\"))"),
        "{form}"
    );
}
