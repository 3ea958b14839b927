//! Tests of the line fit, the capacity model and the tables of docs/CAPACITY.md.

use sablecross_capacity::{LinearFit, Point, discovery, model, report, router};

const SETTINGS: &str = include_str!("../../../docs/capacity.scm");
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn points(cost_at: impl Fn(f64) -> f64) -> Vec<Point> {
    [10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0].map(|size| Point { size, value: cost_at(size) }).to_vec()
}

#[test]
fn a_linear_cost_is_fitted_without_a_residual_or_a_bend() {
    let line = LinearFit::least_squares(&points(|size| 3.0 * size + 7.0)).expect("a line");
    assert!((line.slope - 3.0).abs() < 1e-9 && (line.intercept - 7.0).abs() < 1e-6, "{line:?}");
    assert!(
        line.max_relative_residual < 1e-9 && line.bend_at.is_none() && (line.slope_ratio - 1.0).abs() < 1e-9,
        "{line:?}"
    );
    assert!((line.value_at(200.0) - 607.0).abs() < 1e-6);
}

#[test]
fn a_quadratic_cost_bends_at_the_first_size_more_than_a_quarter_above_the_line() {
    let line = LinearFit::least_squares(&points(|size| size + size * size / 10_000.0)).expect("a line");
    assert_eq!(line.bend_at, Some(3_000.0), "{line:?}");
    assert!(line.slope_ratio > 1.3, "{line:?}");
    // A cost whose growth decreases does not bend.
    let line = LinearFit::least_squares(&points(f64::sqrt)).expect("a line");
    assert_eq!(line.bend_at, None, "{line:?}");
}

#[test]
fn small_and_large_sizes_have_the_same_weight() {
    let mut all = points(|size| 2.0 * size);
    all[5].value *= 1.3;
    let line = LinearFit::least_squares(&all).expect("a line");
    assert!((line.value_at(10.0) - 20.0).abs() < 3.0, "{line:?}");
    assert!(line.max_relative_residual > 0.1 && line.max_relative_residual < 0.3, "{line:?}");
}

#[test]
fn no_line_is_fitted_without_three_finite_points_of_different_sizes() {
    assert_eq!(LinearFit::least_squares(&points(|size| size)[..2]), None);
    assert_eq!(LinearFit::least_squares(&[Point { size: 5.0, value: 1.0 }; 5]), None);
    assert_eq!(LinearFit::least_squares(&points(|size| if size > 500.0 { f64::NAN } else { size })), None);
    let flat = LinearFit::least_squares(&points(|_| 0.0)).expect("a line of zeroes");
    assert_eq!((flat.slope, flat.intercept, flat.bend_at), (0.0, 0.0, None));
}

#[test]
fn the_page_contains_the_tables_computed_from_the_settings() {
    let model = model::parse("docs/capacity.scm", SETTINGS).expect("docs/capacity.scm is valid");
    let new = report::replace_tables(PAGE, &model.tables())
        .expect("the page has the begin and end lines of the tables");
    let differs = new.lines().zip(PAGE.lines()).find(|(new, old)| new != old);
    assert_eq!(differs, None, "the page is out of date: run sablecross capacity --write docs/CAPACITY.md");
    assert!(new == PAGE, "the computed tables are longer or shorter than those of the page");
}

#[test]
fn rows_without_a_figure_and_rows_over_budget_are_listed() {
    let measured_form = "(figure (name . \"scale-relay-core\") (what . \"a\") (unit . \"% of a core\") (value 130.0) \
                  (run \"b\") (command . \"c\"))";
    let lines: Vec<&str> = SETTINGS.lines().filter(|l| !l.contains("scale-relay-core")).collect();
    let with = |form: &str| model::parse("a", &format!("{}\n{form}", lines.join("\n")));
    let open_form =
        "(figure (name . \"scale-relay-core\") (what . \"a\") (unit . \"% of a core\") (command . \"c\"))";
    let model = with(open_form).expect("valid settings");
    let report::Verdicts { over_budget, not_measured } = model.verdicts();
    let relay = "plain relay: processor time".to_owned();
    assert!(not_measured.contains(&relay) && !over_budget.contains(&relay), "{not_measured:?}");
    assert!(model.tables().contains("| plain relay | processor time | - | waits for `scale-relay-core` |"));
    let model = with(measured_form).expect("valid settings");
    let report::Verdicts { over_budget, not_measured } = model.verdicts();
    assert!(over_budget.contains(&relay) && !not_measured.contains(&relay), "{over_budget:?}");
    assert!(model.tables().contains("**not carried**: 130 % of a core of 100 % of a core"));
    let errors = with("").expect_err("a required name is missing");
    assert!(errors[0].to_string().contains("scale-relay-core"), "{errors:?}");
    let twice = with(&format!("{open_form}\n{open_form}")).expect_err("a name that appears twice");
    assert!(twice[0].to_string().contains("appears twice"), "{twice:?}");
}

#[test]
fn a_page_without_the_begin_and_end_lines_is_rejected() {
    assert_eq!(report::replace_tables("no lines", "x"), None);
    assert_eq!(
        report::replace_tables(&format!("{} {}", report::TABLES_END, report::TABLES_BEGIN), "x"),
        None
    );
    let page = format!("a\n{}\nold\n{}\nb\n", report::TABLES_BEGIN, report::TABLES_END);
    let new = report::replace_tables(&page, "new\n").expect("the page has the begin and end lines");
    assert_eq!(new, format!("a\n{}\nnew\n{}\nb\n", report::TABLES_BEGIN, report::TABLES_END));
}

#[test]
fn counted_bytes_match_the_settings() {
    let model = model::parse("docs/capacity.scm", SETTINGS).expect("docs/capacity.scm is valid");
    assert_eq!(model.slope("feed-purge-bytes").round() as usize, discovery::purge_event(10_000_000).len());
    let list = model.measured_or_predicted("feed-list-bytes", 490.0);
    assert!(
        (list - discovery::snapshot_event(10_000_000, 490).len() as f64).abs() <= 0.0005 * list,
        "{list}"
    );
}

#[test]
fn measured_endpoint_lists_have_zones_and_parents_like_the_target() {
    for nodes in [10, 20, 490] {
        let (list, settings) = (router::endpoint_list(nodes), router::settings(nodes));
        assert_eq!(list.len(), nodes);
        assert!(list.iter().all(|l| l.zone < settings.directors_per_zone.len()));
        assert!(
            list.iter().any(|l| l.zone == settings.zone && l.machine_kind == 0),
            "no cache in the director's zone"
        );
        let parents = list.iter().filter(|l| l.machine_kind == 1).count();
        assert!((nodes / 5..=nodes / 3).contains(&parents), "{parents}");
    }
}
