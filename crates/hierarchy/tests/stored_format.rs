//! Pins the serialized form of versions in events and settings files, their defaults and errors, and the digest on which
//! all participants have to agree.

use sablecross_hierarchy::spec::{self, HierarchySpec, SpecForm};

/// Each field of the header and of node e has a value other than its default.
const SETTINGS: &str = r#"(hierarchy (version . 3) (ceiling . 500) (margin . 0.1) (cold-from . 0.3) (warm-after-ms . 21000)
  (fall-multiple . 2.5) (siblings . #t) (hold-ms . 1) (settle-ms . 2) (give-up-ms . 30001))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "e") (tier . 2) (sources "o") (capacity . 800) (demand . 100) (hit . 0.5) (share . 64) (since-ms . 7))
"#;

const EVENT: &str = r#"{"head":{"version":3,"ceiling":500.0,"margin":0.1,"cold-from":0.3,"warm-after-ms":21000,"fall-multiple":2.5,"siblings":true,"hold-ms":1,"settle-ms":2,"give-up-ms":30001},"nodes":[{"name":"o","tier":0,"sources":[],"capacity":900.0,"demand":0.0,"hit":0.0,"share":256,"since-ms":0},{"name":"e","tier":2,"sources":["o"],"capacity":800.0,"demand":100.0,"hit":0.5,"share":64,"since-ms":7}]}"#;

/// An event with the required fields only.
const MINIMAL: &str =
    r#"{"head":{"version":1,"ceiling":100.0},"nodes":[{"name":"o","tier":0,"capacity":9.0}]}"#;

/// The minimal event with the defaults of all other fields.
const DEFAULTS: &str = r#"{"head":{"version":1,"ceiling":100.0,"margin":0.2,"cold-from":0.25,"warm-after-ms":20000,"fall-multiple":2.0,"siblings":false,"hold-ms":3000,"settle-ms":5000,"give-up-ms":30000},"nodes":[{"name":"o","tier":0,"sources":[],"capacity":9.0,"demand":0.0,"hit":0.0,"share":256,"since-ms":0}]}"#;

fn event(settings: &str) -> String {
    let (number, version) = spec::parse_settings("test", settings, None).expect("a version");
    serde_json::to_string(&HierarchySpec::from_hierarchy(number, &version)).expect("encoded")
}

fn decoded(event: &str) -> HierarchySpec {
    serde_json::from_str(event).expect("decoded")
}

#[test]
fn event_encoding_is_unchanged() {
    assert_eq!(event(SETTINGS), EVENT);
    assert_eq!(serde_json::to_string(&decoded(EVENT)).expect("encoded"), EVENT);
    assert_eq!(serde_json::to_string(&decoded(MINIMAL)).expect("encoded"), DEFAULTS);
    // An unknown key is an error at each level.
    for (key, odd) in [("\"head\"", "\"odd\""), ("\"version\"", "\"odd\""), ("\"tier\"", "\"odd\"")] {
        assert!(serde_json::from_str::<HierarchySpec>(&EVENT.replacen(key, odd, 1)).is_err(), "{key}");
    }
}

#[test]
fn settings_file_text_is_unchanged() {
    assert_eq!(decoded(EVENT).to_settings_text(), SETTINGS);
    assert_eq!(event(&decoded(EVENT).to_settings_text()), EVENT);
    let minimal = "(hierarchy (version . 1) (ceiling . 100))(node (name . \"o\") (tier . 0) (capacity . 9))";
    assert_eq!(event(minimal), DEFAULTS);
}

#[test]
fn form_encodings_are_unchanged() {
    let head = r#"{"hierarchy":{"version":1,"ceiling":100.0,"margin":0.2,"cold-from":0.25,"warm-after-ms":20000,"fall-multiple":2.0,"siblings":false,"hold-ms":3000,"settle-ms":5000,"give-up-ms":30000}}"#;
    let node = r#"{"node":{"name":"o","tier":0,"sources":["p"],"capacity":9.0,"demand":0.0,"hit":0.0,"share":256,"since-ms":0}}"#;
    for text in [head, node] {
        let form: SpecForm = serde_json::from_str(text).expect("decoded");
        assert_eq!(serde_json::to_string(&form).expect("encoded"), text);
    }
}

/// Each process numbers nodes itself, so the digest depends on the names of nodes and not on their numbers.
#[test]
fn digests_are_unchanged() {
    let digest = |event: &str| decoded(event).to_hierarchy(None).expect("a version").1.digest();
    assert_eq!(digest(EVENT), 7_011_968_916_858_173_960);
    assert_eq!(digest(DEFAULTS), 9_500_622_338_283_066_805);
    assert_eq!(digest(MINIMAL), digest(DEFAULTS));
}

/// The error for a value out of its range names the key as it is spelled in the file.
#[test]
fn errors_name_the_keys_of_the_file() {
    let head = |keys: &str| {
        format!(
            "(hierarchy (version . 1) (ceiling . 1){keys})\n(node (name . \"o\") (tier . 0) (capacity . 9))"
        )
    };
    let node = |keys: &str| format!("(hierarchy (version . 1) (ceiling . 1))\n(node (name . \"o\") {keys})");
    let cases = [
        (head("").replace("(version . 1)", "(version . 0)"), "f.scm:1:13: hierarchy.version: lower than 1"),
        (head("").replace("(ceiling . 1)", "(ceiling . -1)"), "f.scm:1:27: hierarchy.ceiling: lower than 0"),
        (head("(margin . 0.95)"), "f.scm:1:40: hierarchy.margin: greater than 0.9"),
        (head("(cold-from . 2.0)"), "f.scm:1:40: hierarchy.cold-from: greater than 1"),
        (head("(warm-after-ms . 86400001)"), "f.scm:1:40: hierarchy.warm-after-ms: greater than 86400000"),
        (head("(fall-multiple . 101.0)"), "f.scm:1:40: hierarchy.fall-multiple: greater than 100"),
        (head("(siblings . 3)"), "f.scm:1:40: hierarchy.siblings: invalid type: number, expected boolean"),
        (head("(hold-ms . 86400001)"), "f.scm:1:40: hierarchy.hold-ms: greater than 86400000"),
        (head("(settle-ms . 86400001)"), "f.scm:1:40: hierarchy.settle-ms: greater than 86400000"),
        (head("(give-up-ms . 0)"), "f.scm:1:40: hierarchy.give-up-ms: lower than 1"),
        (
            head("(odd . 0)"),
            "f.scm:1:40: hierarchy.odd: unknown field `odd`, expected one of `version`, `ceiling`, `margin`, `cold-from`, `warm-after-ms`, `fall-multiple`, `siblings`, `hold-ms`, `settle-ms`, `give-up-ms`",
        ),
        (node("(tier . 8) (capacity . 9)"), "f.scm:2:21: node.tier: greater than 7"),
        (node("(tier . 0) (capacity . -1)"), "f.scm:2:32: node.capacity: lower than 0"),
        (node("(tier . 0) (capacity . 9) (demand . -1)"), "f.scm:2:47: node.demand: lower than 0"),
        (node("(tier . 0) (capacity . 9) (hit . 1.5)"), "f.scm:2:47: node.hit: greater than 1"),
        (node("(tier . 0) (capacity . 9) (share . 257)"), "f.scm:2:47: node.share: greater than 256"),
        (
            node("(tier . 0) (capacity . 9) (since-ms . -1)"),
            "f.scm:2:47: node.since-ms: invalid value: integer `-1`, expected u64",
        ),
        (
            node("(tier . 0) (capacity . 9)").replace("\"o\"", "\"a b\""),
            "f.scm:2:8: node.name: letters, digits and . _ : - only",
        ),
        (
            node("(tier . 0) (capacity . 9)").replace("\"o\"", "\"\""),
            "f.scm:2:8: node.name: length is lower than 1",
        ),
        (
            node("(tier . 0) (capacity . 9) (odd . 1)"),
            "f.scm:2:47: node.odd: unknown field `odd`, expected one of `name`, `tier`, `sources`, `capacity`, `demand`, `hit`, `share`, `since-ms`",
        ),
        (node("(tier . 0)"), "f.scm:2:1: node: missing field `capacity`"),
        (
            node("(tier . 1) (capacity . 9) (sources \"p\" \"p\")"),
            "f.scm:2:1: node.sources[0]: o: no node is called p (add a form for it, or remove it) | f.scm:2:1: node.sources[1]: o: no node is called p (add a form for it, or remove it) | f.scm:2:1: node.sources[1]: o: p is listed twice (keep one)",
        ),
        (
            head("") + "(node (name . \"o\") (tier . 0) (capacity . 9))",
            "f.scm:2:1: node.name: o is already defined on line 2 (give each node one form)",
        ),
        (
            head("") + "(hierarchy (version . 1) (ceiling . 1))",
            "f.scm:2:1: hierarchy: a second form (keep one (hierarchy ...))",
        ),
        (
            "(node (name . \"o\") (tier . 0) (capacity . 9))".into(),
            "f.scm:1:1: hierarchy: no (hierarchy ...) form (begin with (hierarchy (version . 1) (ceiling . 100)))",
        ),
        ("(knot)".into(), "f.scm:1:1: unknown variant `knot`, expected `hierarchy` or `node`"),
    ];
    for (text, expected) in cases {
        let errors = spec::parse_settings("f.scm", &text, None).expect_err("invalid");
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(lines.join(" | "), expected, "{text}");
    }
}
