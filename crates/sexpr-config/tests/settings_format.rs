//! Checks the text of errors and the syntax of settings files, because operators see and write both.

use garde::Validate;
use sablecross_sexpr_config::{ConfigError, Located, parse_forms};
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize, Serialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Form {
    Node(#[garde(dive)] Node),
}

#[derive(Debug, Deserialize, Serialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Node {
    #[garde(length(min = 1, max = 8))]
    name: String,
    #[garde(skip)]
    #[serde(default)]
    sources: Vec<String>,
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    hit_part: f64,
    #[garde(skip)]
    #[serde(default)]
    checked: bool,
}

#[test]
fn prints_an_error_as_one_line_of_position_key_problem_and_remedy() {
    let cases = [
        (
            ("f.scm", 3, 9, "node.tier", "greater than 7", "use 7"),
            "f.scm:3:9: node.tier: greater than 7 (use 7)",
        ),
        (("f.scm", 3, 9, "node.tier", "greater than 7", ""), "f.scm:3:9: node.tier: greater than 7"),
        (("f.scm", 1, 1, "", "no form", "add one"), "f.scm:1:1: no form (add one)"),
        (("", 0, 0, "", "no form", ""), ":0:0: no form"),
    ];
    for ((file, line, column, key, problem, remedy), expected) in cases {
        let (file, key, problem, remedy) = (file.into(), key.into(), problem.into(), remedy.into());
        let error = ConfigError { file, line, column, key, problem, remedy };
        assert_eq!(error.to_string(), expected);
    }
    let form = Located { line: 4, value: () };
    assert_eq!(form.error("f", "node", "twice", "keep one").to_string(), "f:4:1: node: twice (keep one)");
}

#[test]
fn parses_each_kind_of_value() {
    let node = |name: &str, sources: &[&str], hit_part, checked| {
        let sources = sources.iter().map(|s| (*s).to_owned()).collect();
        Form::Node(Node { name: name.into(), sources, hit_part, checked })
    };
    let text = "; a comment\n(node (name . \"a\"))\n(node (name . \"b\") (sources \"a\" \"c\")\n  (hit-part . 0.5) (checked . #t))\n";
    let expected = [(2, node("a", &[], 0.0, false)), (3, node("b", &["a", "c"], 0.5, true))];
    let expected = expected.map(|(line, value)| Located { line, value });
    assert_eq!(parse_forms::<Form>("f", text).expect("forms"), expected);
}

#[test]
fn prints_each_kind_of_error() {
    let long = format!("(node (name . \"a\") (sources {}))", "\"a\" ".repeat(5_000));
    let cases = [
        (
            "(node (name . \"\")\n (hit-part . 1.5))",
            "f:2:3: node.hit-part: greater than 1 | f:1:8: node.name: length is lower than 1",
        ),
        (
            "(node (name . \"a\") (sources \"a\" 7))",
            "f:1:33: node.sources[1]: invalid type: number, expected a string",
        ),
        (
            "(node (name . \"a\") (hit-part . \"x\"))",
            "f:1:21: node.hit-part: invalid type: string \"x\", expected a number",
        ),
        ("(node (name . \"a\") (name . \"b\"))", "f:1:1: node: duplicate field `name`"),
        (
            "(node (name . \"a\") (odd . 1))",
            "f:1:21: node.odd: unknown field `odd`, expected one of `name`, `sources`, `hit-part`, `checked`",
        ),
        ("\n(node)", "f:2:1: node: missing field `name`"),
        ("(knot)", "f:1:1: unknown variant `knot`, expected `node`"),
        ("(node . )", "f:1:10: not an S-expression: expected value at line 1 column 9"),
        ("(node 5)", "f:1:1: node: invalid type: number, expected cons cell"),
        ("(5)", "f:1:1: invalid type: number, expected symbol"),
        ("()", "f:1:1: invalid type: null value, expected symbol or cons cell"),
        ("(node", "f:1:1: a parenthesis that is never closed (close the form that begins here)"),
        ("(node)\n)", "f:2:1: unmatched closing parenthesis (remove it, or add the opening one)"),
        ("(node (name . \"a))", "f:1:15: unterminated string (close it with \")"),
        ("node", "f:1:1: text outside of any form (write (word (key . value) ...))"),
        (
            "((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((((",
            "f:1:65: parentheses nested too deeply (write (word (key . value) ...))",
        ),
        (&long, "f:1:1: form too long (split it: a form may have at most 16 KiB)"),
    ];
    for (text, expected) in cases {
        let errors = parse_forms::<Form>("f", text).expect_err("invalid");
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(lines.join(" | "), expected, "{text}");
    }
}
