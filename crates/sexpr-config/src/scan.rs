//! Cuts a text into its forms and finds parentheses that don't match.

use super::MAX_FORM_BYTES;

/// How deep parentheses may lie in one another.
const DEEPEST: usize = 64;

/// A form by its bytes, and where it begins, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormSpan {
    pub from: usize,
    pub to: usize,
    pub line: usize,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScanError {
    pub line: usize,
    pub column: usize,
    pub problem: &'static str,
    pub remedy: &'static str,
}

pub fn split_forms(text: &str) -> Result<Vec<FormSpan>, ScanError> {
    let mut pieces = Vec::new();
    let mut open: Vec<FormSpan> = Vec::new();
    let (mut line, mut begins) = (1, 0);
    let mut chars = text.char_indices().peekable();
    while let Some((at, c)) = chars.next() {
        let column = at - begins + 1;
        let flaw = |what, todo| Err(ScanError { line, column, problem: what, remedy: todo });
        match c {
            '\n' => (line, begins) = (line + 1, at + 1),
            ';' => while chars.next_if(|&(_, c)| c != '\n').is_some() {},
            '"' => {
                let (mut ended, mut masked) = (false, false);
                for (at, c) in chars.by_ref() {
                    match c {
                        '\n' => (line, begins) = (line + 1, at + 1),
                        '"' if !masked => {
                            ended = true;
                            break;
                        }
                        _ => {}
                    }
                    masked = c == '\\' && !masked;
                }
                if !ended {
                    return Err(ScanError {
                        line,
                        column,
                        problem: "a string that never ends",
                        remedy: "close it with \"",
                    });
                }
            }
            // A character, also one that is a parenthesis.
            '#' if chars.next_if(|&(_, c)| c == '\\').is_some() => {
                chars.next();
            }
            '(' | '[' => {
                if open.len() == DEEPEST {
                    return flaw("parentheses lie too deep in one another", "write (word (key . value) ...)");
                }
                open.push(FormSpan { from: at, to: at, line, column });
            }
            ')' | ']' => {
                let Some(piece) = open.pop() else {
                    return flaw("a parenthesis that closes nothing", "remove it, or open one before");
                };
                if open.is_empty() {
                    let piece = FormSpan { to: at + 1, ..piece };
                    if piece.to - piece.from > MAX_FORM_BYTES {
                        let todo = "split it: a form has 16 KiB at most";
                        return Err(ScanError {
                            line: piece.line,
                            column: piece.column,
                            problem: "a form too long",
                            remedy: todo,
                        });
                    }
                    pieces.push(piece);
                }
            }
            c if open.is_empty() && !c.is_whitespace() => {
                return flaw("a word outside of all forms", "write (word (key . value) ...)");
            }
            _ => {}
        }
    }
    match open.first() {
        None => Ok(pieces),
        Some(p) => Err(ScanError {
            line: p.line,
            column: p.column,
            problem: "a parenthesis that is never closed",
            remedy: "close the form that begins here",
        }),
    }
}
