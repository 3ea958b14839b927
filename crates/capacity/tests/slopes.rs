//! The fit, the capacity model and the tables of the page.

use sablecross_capacity::{LinearFit, Point, discovery, model, report, router};

const SHEET: &str = include_str!("../../../docs/capacity.scm");
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn points(of: impl Fn(f64) -> f64) -> Vec<Point> {
    [10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0].map(|size| Point { size, value: of(size) }).to_vec()
}

#[test]
fn a_straight_cost_is_fitted_without_a_residual_or_a_bend() {
    let line = LinearFit::least_squares(&points(|size| 3.0 * size + 7.0)).expect("a line");
    assert!((line.slope - 3.0).abs() < 1e-9 && (line.intercept - 7.0).abs() < 1e-6, "{line:?}");
    assert!(
        line.max_relative_residual < 1e-9 && line.bend_at.is_none() && (line.slope_ratio - 1.0).abs() < 1e-9,
        "{line:?}"
    );
    assert!((line.value_at(200.0) - 607.0).abs() < 1e-6);
}

#[test]
fn a_cost_that_grows_with_the_square_bends_at_the_first_size_past_a_quarter() {
    let line = LinearFit::least_squares(&points(|size| size + size * size / 10_000.0)).expect("a line");
    assert_eq!(line.bend_at, Some(3_000.0), "{line:?}");
    assert!(line.slope_ratio > 1.3, "{line:?}");
    // One that grows by less and less does not bend.
    let line = LinearFit::least_squares(&points(f64::sqrt)).expect("a line");
    assert_eq!(line.bend_at, None, "{line:?}");
}

#[test]
fn small_sizes_count_as_much_as_large_ones() {
    let mut all = points(|size| 2.0 * size);
    all[5].value *= 1.3;
    let line = LinearFit::least_squares(&all).expect("a line");
    assert!((line.value_at(10.0) - 20.0).abs() < 3.0, "{line:?}");
    assert!(line.max_relative_residual > 0.1 && line.max_relative_residual < 0.3, "{line:?}");
}

#[test]
fn no_line_goes_through_too_little() {
    assert_eq!(LinearFit::least_squares(&points(|size| size)[..2]), None);
    assert_eq!(LinearFit::least_squares(&[Point { size: 5.0, value: 1.0 }; 5]), None);
    assert_eq!(LinearFit::least_squares(&points(|size| if size > 500.0 { f64::NAN } else { size })), None);
    let flat = LinearFit::least_squares(&points(|_| 0.0)).expect("a line of zeroes");
    assert_eq!((flat.slope, flat.intercept, flat.bend_at), (0.0, 0.0, None));
}

#[test]
fn the_page_holds_the_tables_that_the_sheet_gives() {
    let sheet = model::parse("docs/capacity.scm", SHEET).expect("docs/capacity.scm is whole");
    let new = report::replace_tables(PAGE, &sheet.tables()).expect("the page has its marks");
    let differs = new.lines().zip(PAGE.lines()).find(|(new, old)| new != old);
    assert_eq!(differs, None, "sablecross capacity --write docs/CAPACITY.md brings the page up");
    assert!(new == PAGE, "the tables are longer or shorter than the page's");
}

#[test]
fn what_waits_for_a_run_is_said_and_what_is_past_its_budget_too() {
    let filled = "(figure (name . \"scale-relay-core\") (what . \"a\") (unit . \"% of a core\") (value 130.0) \
                  (run \"b\") (command . \"c\"))";
    let lines: Vec<&str> = SHEET.lines().filter(|l| !l.contains("scale-relay-core")).collect();
    let with = |form: &str| model::parse("a", &format!("{}\n{form}", lines.join("\n")));
    let open =
        "(figure (name . \"scale-relay-core\") (what . \"a\") (unit . \"% of a core\") (command . \"c\"))";
    let sheet = with(open).expect("a sheet");
    let report::Verdicts { over_budget: past, not_measured: waits } = sheet.verdicts();
    let relay = "plain relay: processor".to_owned();
    assert!(waits.contains(&relay) && !past.contains(&relay), "{waits:?}");
    assert!(sheet.tables().contains("| plain relay | processor | - | waits for `scale-relay-core` |"));
    let sheet = with(filled).expect("a sheet");
    let report::Verdicts { over_budget: past, not_measured: waits } = sheet.verdicts();
    assert!(past.contains(&relay) && !waits.contains(&relay), "{past:?}");
    assert!(sheet.tables().contains("**not carried**: 130 % of a core of 100 % of a core"));
    let faults = with("").expect_err("a name that is needed is missing");
    assert!(faults[0].to_string().contains("scale-relay-core"), "{faults:?}");
    let twice = with(&format!("{open}\n{open}")).expect_err("a name that appears twice");
    assert!(twice[0].to_string().contains("appears twice"), "{twice:?}");
}

#[test]
fn pages_without_marks_are_left_alone() {
    assert_eq!(report::replace_tables("no marks", "x"), None);
    assert_eq!(
        report::replace_tables(&format!("{} {}", report::TABLES_END, report::TABLES_BEGIN), "x"),
        None
    );
    let page = format!("a\n{}\nold\n{}\nb\n", report::TABLES_BEGIN, report::TABLES_END);
    let new = report::replace_tables(&page, "new\n").expect("marks");
    assert_eq!(new, format!("a\n{}\nnew\n{}\nb\n", report::TABLES_BEGIN, report::TABLES_END));
}

#[test]
fn counted_bytes_are_those_of_the_sheet() {
    let sheet = model::parse("docs/capacity.scm", SHEET).expect("docs/capacity.scm is whole");
    assert_eq!(sheet.slope("feed-purge-bytes").round() as usize, discovery::purge_event(10_000_000).len());
    let list = sheet.measured_or_predicted("feed-list-bytes", 490.0);
    assert!(
        (list - discovery::snapshot_event(10_000_000, 490).len() as f64).abs() <= 0.0005 * list,
        "{list}"
    );
}

#[test]
fn the_lists_that_are_measured_are_shaped_like_the_target() {
    for nodes in [10, 20, 490] {
        let (list, set) = (router::endpoint_list(nodes), router::settings(nodes));
        assert_eq!(list.len(), nodes);
        assert!(list.iter().all(|l| l.zone < set.directors_per_zone.len()));
        assert!(list.iter().any(|l| l.zone == set.zone && l.machine_kind == 0), "no cache in the own zone");
        let parents = list.iter().filter(|l| l.machine_kind == 1).count();
        assert!((nodes / 5..=nodes / 3).contains(&parents), "{parents}");
    }
}
