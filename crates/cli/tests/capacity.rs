//! `sablecross capacity` and `sablecross slopes` as an operator calls them.

use std::path::Path;
use std::process::{Command, Output};

fn sablecross(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_sablecross")).args(args).current_dir(root).output().expect("it runs")
}

fn said(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_tables_are_printed_and_written_between_the_marks() {
    let out = sablecross(&["capacity"]);
    assert_eq!(out.status.code(), Some(0), "{}", said(&out.stderr));
    let dir = tempfile::tempdir().expect("a directory");
    let page = dir.path().join("page.md");
    std::fs::write(&page, "a\n<!-- capacity: begin -->\nold\n<!-- capacity: end -->\nb\n").expect("a page");
    let name = page.display().to_string();
    let wrote = sablecross(&["capacity", "--write", &name]);
    assert_eq!(wrote.status.code(), Some(0), "{}", said(&wrote.stderr));
    let new = std::fs::read_to_string(&page).expect("the page");
    assert!(
        new.starts_with("a\n<!-- capacity: begin -->\nWhat is measured") && new.ends_with("end -->\nb\n")
    );
    assert!(new.contains(&said(&out.stdout)));
    std::fs::write(&page, "no marks\n").expect("a page");
    let refused = sablecross(&["capacity", "--write", &name]);
    assert_eq!(refused.status.code(), Some(2));
    assert_eq!(std::fs::read_to_string(&page).expect("the page"), "no marks\n");
}

#[test]
fn a_faulty_sheet_is_named_by_line_and_key() {
    let dir = tempfile::tempdir().expect("a directory");
    let sheet = dir.path().join("sheet.scm");
    std::fs::write(&sheet, "(target (directors . many))\n").expect("a sheet");
    let out = sablecross(&["capacity", &sheet.display().to_string()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(said(&out.stderr).contains("sheet.scm:1:"), "{}", said(&out.stderr));
}

#[test]
fn costs_are_listed_and_an_unknown_one_is_refused() {
    let out = sablecross(&["slopes", "--names", "--only", "feed"]);
    assert_eq!(out.status.code(), Some(0));
    assert_eq!(said(&out.stdout).lines().count(), 6, "{}", said(&out.stdout));
    let out = sablecross(&["slopes", "--only", "nothing"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(said(&out.stderr).contains("no cost begins so"), "{}", said(&out.stderr));
}

#[test]
fn a_cost_is_measured_again_as_a_form() {
    let out = sablecross(&["slopes", "--only", "duties-roster", "--forms", "a run"]);
    assert_eq!(out.status.code(), Some(0), "{}", said(&out.stderr));
    let form = said(&out.stdout);
    assert!(
        form.starts_with("(slope (name . \"duties-roster-bytes\")") && form.contains("(run . \"a run\"))"),
        "{form}"
    );
}
