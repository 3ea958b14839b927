//! Checks that errors name their line and key, and that long, deep or malformed texts yield an error and never a crash.

use garde::Validate;
use sablecross_sexpr_config::{Located, parse_forms};
use serde::Deserialize;

#[derive(Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    #[serde(rename_all = "kebab-case")]
    Node {
        #[garde(length(min = 1, max = 8))]
        name: String,
        #[garde(range(max = 7))]
        tier: u8,
        #[garde(skip)]
        #[serde(default)]
        sources: Vec<String>,
        #[garde(range(min = 0.0, max = 1.0))]
        #[serde(default)]
        hit_part: f64,
    },
}

fn errors(text: &str) -> Vec<String> {
    parse_forms::<Form>("f", text).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn parses_forms_in_order_with_their_lines() {
    let text = "; a comment with (\n(node (name . \"a\") (tier . 0))\n\n  (node (name . \"b)\") (tier . 1)\n (sources \"a\" \"c\") (hit-part . 0.5))";
    let forms = parse_forms::<Form>("f", text).unwrap();
    assert_eq!(forms.iter().map(|f| f.line).collect::<Vec<_>>(), [2, 4]);
    let b = Form::Node { name: "b)".into(), tier: 1, sources: vec!["a".into(), "c".into()], hit_part: 0.5 };
    assert_eq!(forms[1], Located { line: 4, value: b });
    assert_eq!(parse_forms::<Form>("f", " ; nothing\n").unwrap(), []);
}

#[test]
fn errors_name_line_and_key() {
    let cases = [
        ("(node (name . \"a\")\n (tier . \"x\"))", "f:2:", "node.tier: invalid type"),
        ("(node (name . \"a\")\n (tier . 9))", "f:2:", "node.tier: "),
        ("(node (name . \"a\") (tier . 1)\n\n (hit-part . 1.5))", "f:3:", "node.hit-part: "),
        ("(node (name . \"a\")\n (teir . 1))", "f:2:", "node.teir: unknown field"),
        ("\n(node (name . \"a\"))", "f:2:1: ", "missing field `tier`"),
        ("(node (name . \"a\") (tier . 1)\n (sources \"a\" 7))", "f:2:", "node.sources[1]: invalid type"),
        ("(knot (name . \"a\"))", "f:1:", "unknown variant"),
        ("(node (name . \"a\") (tier . 999))", "f:1:", "node.tier: "),
        ("(node (name . \"a\") (tier . -1))", "f:1:", "node.tier: "),
        ("(node (name . \"a\") (tier . 1) (tier . 2))", "f:1:", "duplicate field"),
        ("(node\n (name . \"a\"", "f:1:1: ", "never closed"),
        ("(node)\n)", "f:2:1: ", "unmatched closing parenthesis"),
        ("(node (name . \"a))", "f:1:15: ", "unterminated string"),
        ("node", "f:1:1: ", "outside of any form"),
        ("(node . )", "f:1:", "not an S-expression"),
        ("(node 5)", "f:1:", ""),
    ];
    for (text, position, problem) in cases {
        let lines = errors(text);
        assert!(lines[0].starts_with(position) && lines[0].contains(problem), "{text:?}: {lines:?}");
    }
}

#[test]
fn reports_every_invalid_form() {
    let text = "(node (tier . 1))\n(node (name . \"a\") (tier . 1))\n(node (name . \"\") (tier . 8))";
    let lines = errors(text);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[1].starts_with("f:3:") && lines[2].starts_with("f:3:"), "{lines:?}");
}

#[test]
fn rejects_long_deep_and_truncated_texts_without_a_crash() {
    let deep = "(".repeat(100_000);
    assert!(errors(&deep)[0].contains("too deep"));
    let long = format!("(node (name . \"a\") (tier . 1) (sources {}))", "\"a\" ".repeat(100_000));
    assert!(errors(&long)[0].contains("too long"));
    let many = "(node (name . \"a\") (tier . 1))\n".repeat(100_000);
    assert_eq!(parse_forms::<Form>("f", &many).unwrap().len(), 100_000);
    let invalid = "(node (tier . 1))\n".repeat(100_000);
    assert_eq!(errors(&invalid).len(), 20);
    let complete = "(node (name . \"ä\") (tier . 1))";
    for end in complete.char_indices().map(|(i, _)| i) {
        assert_eq!(parse_forms::<Form>("f", &complete[..end]).is_ok(), end == 0, "{}", &complete[..end]);
    }
}
