//! Tests of the keys of docs/capacity.scm and the JSON, forms and text of a cost, which stay the same when Rust
//! identifiers change.

use sablecross_capacity::{Cost, LinearFit, MeasurementKind, Point, model};
use serde_json::json;

/// A settings file with every form and every key. The keys `bend` and `command` of a slope and the keys `value` and
/// `run` of a figure may be left out.
const ALL_KEYS: &str = r#"
(target (directors . 11) (nodes . 12) (regions . 13) (zones . 14) (machines . 15) (lookups . 16) (busiest . 17) (bits . 18)
  (purges . 19) (changes-a-day . 20) (restarts-a-day . 21) (cut-s . 22))
(budget (core . 31) (memory-mb . 32) (bytes . 33) (machine-core . 34) (purge-s . 35) (change-s . 36))
(assumed (head . 41) (comment . 42) (call . 43) (connection . 14) (batch-ms . 45) (ack-ms . 46) (binds-s . 47) (slack-s . 48)
  (machine-link . 1000001) (descriptors . 49) (connections . 50) (body . 51))
(slope (name . "first") (unit . "us") (over . "nodes") (slope . 2.5) (intercept . 0.5) (worst . 7.5) (bend . 20)
  (points (10 26) (20 51) (30 76)) (run . "2026-12-02 04:58") (command "measure it"))
(slope (name . "second") (unit . "ns") (over . "purges") (slope . 1.5) (intercept . 0.25) (worst . 3)
  (points (1 2) (2 3) (3 5)) (run . "a run"))
(figure (name . "third") (what . "a figure") (unit . "s") (value 0.5) (run "another run") (command . "run it"))
(figure (name . "fourth") (what . "an open figure") (unit . "B") (command . "run it later"))
"#;

/// Returns `ALL_KEYS` with a figure without a value for each name in docs/capacity.scm, which include all names that
/// the tables need.
fn complete() -> String {
    let settings = include_str!("../../../docs/capacity.scm");
    let names = settings.split("(name . \"").skip(1).filter_map(|rest| rest.split('"').next());
    let open_figure =
        |name: &str| format!("(figure (name . {name:?}) (what . \"w\") (unit . \"u\") (command . \"c\"))\n");
    ALL_KEYS.to_owned() + &names.map(open_figure).collect::<String>()
}

#[test]
fn every_key_and_every_default_is_read() {
    let model = model::parse("all.scm", &complete()).expect("valid settings with every key");
    let text = format!("{:?}", (&model.target, &model.budget, &model.assumptions));
    let values = text.split(|c: char| !c.is_ascii_digit() && c != '.').filter(|v| !v.is_empty());
    let values: Vec<f64> = values.filter_map(|v| v.parse().ok()).collect();
    let expected = [
        11.0,
        12.0,
        13.0,
        14.0,
        15.0,
        16.0,
        17.0,
        18.0,
        19.0,
        20.0,
        21.0,
        22.0,
        31.0,
        32.0,
        33.0,
        34.0,
        35.0,
        36.0,
        41.0,
        42.0,
        43.0,
        14.0,
        45.0,
        46.0,
        47.0,
        48.0,
        1_000_001.0,
        49.0,
        50.0,
        51.0,
    ];
    assert_eq!(values, expected, "{text}");
    let first = format!("{:?}", model.slopes["first"]);
    for part in
        ["\"first\"", "2.5", "0.5", "7.5", "20.0", "\"us\"", "\"nodes\"", "(10.0, 26.0)", "(30.0, 76.0)"]
    {
        assert!(first.contains(part), "{part} in {first}");
    }
    assert!(first.contains("\"2026-12-02 04:58\"") && first.contains("Some(\"measure it\")"), "{first}");
    let second = format!("{:?}", model.slopes["second"]);
    assert!(second.contains("0.0") && second.ends_with("None }"), "{second}");
    let third = format!("{:?}", model.figures["third"]);
    for part in ["\"a figure\"", "\"s\"", "Some(0.5)", "Some(\"another run\")", "\"run it\""] {
        assert!(third.contains(part), "{part} in {third}");
    }
    let fourth = format!("{:?}", model.figures["fourth"]);
    assert_eq!(fourth.matches("None").count(), 2, "{fourth}");
    assert_eq!(model.slope_names, ["first", "second"]);
}

#[test]
fn an_unknown_key_and_a_value_out_of_range_are_named_by_the_key() {
    model::parse("all.scm", &complete()).expect("the settings are valid before the change");
    let error_after_replacing = |from: &str, to: &str| {
        let errors = model::parse("all.scm", &complete().replace(from, to)).expect_err("invalid settings");
        errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    assert!(error_after_replacing("(regions . 13)", "(region . 13)").contains("region"));
    for (from, to, key) in [
        ("(regions . 13)", "(regions . 0)", "regions"),
        ("(busiest . 17)", "(busiest . 101)", "busiest"),
        ("(changes-a-day . 20)", "(changes-a-day . 0)", "changes"),
        ("(cut-s . 22)", "(cut-s . 0)", "cut"),
        ("(memory-mb . 32)", "(memory-mb . 0)", "memory"),
        ("(head . 41)", "(head . 1)", "head"),
        ("(slack-s . 48)", "(slack-s . 10001)", "slack"),
    ] {
        let error = error_after_replacing(from, to);
        assert!(error.contains("all.scm:") && error.contains(key), "{error}");
    }
}

fn cost(kind: MeasurementKind) -> Cost {
    let points = vec![
        Point { size: 1.0, value: 3.0 },
        Point { size: 2.0, value: 5.0 },
        Point { size: 3.0, value: 7.0 },
    ];
    Cost { name: "a-name", description: "what is measured", size_unit: "nodes", unit: "us", kind, points }
}

#[test]
fn the_json_of_a_cost_keeps_its_spelling() {
    let line = LinearFit {
        slope: 2.0,
        intercept: 1.0,
        max_relative_residual: 0.5,
        slope_ratio: 1.5,
        bend_at: Some(3.0),
    };
    let text = json!({"cost": cost(MeasurementKind::Timed), "line": line}).to_string();
    let expected = r#"{"cost":{"how":"timed","name":"a-name","over":"nodes","points":[{"size":1.0,"value":3.0},{"size":2.0,"value":5.0},{"size":3.0,"value":7.0}],"unit":"us","what":"what is measured"},"line":{"bend":3.0,"intercept":1.0,"slope":2.0,"turn":1.5,"worst":0.5}}"#;
    assert_eq!(text, expected);
    assert_eq!(json!(LinearFit { bend_at: None, ..line })["bend"], json!(null));
    assert_eq!(
        json!([MeasurementKind::Counted, MeasurementKind::Timed, MeasurementKind::Resident]).to_string(),
        r#"["counted","timed","resident"]"#
    );
}

#[test]
fn the_form_and_the_text_of_a_cost_keep_their_spelling() {
    let line = LinearFit {
        slope: 2.0,
        intercept: 1.0,
        max_relative_residual: 0.5,
        slope_ratio: 1.5,
        bend_at: Some(3.0),
    };
    let form = "(slope (name . \"a-name\") (unit . \"us\") (over . \"nodes\")\n  (slope . 2.000) (intercept . 1.000) \
                (worst . 50.0) (bend . 3)\n  (points (1 3.000) (2 5.000) (3 7.000))\n ";
    assert_eq!(cost(MeasurementKind::Counted).to_form(&line), form);
    assert!(
        cost(MeasurementKind::Resident)
            .to_string()
            .starts_with("a-name: what is measured (resident, us over nodes)\n")
    );
}
