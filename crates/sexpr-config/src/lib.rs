//! Settings files as S-expressions. A file is a sequence of forms, `(word (key . value) ...)`; each is read on its
//! own into one variant of an enum that serde derives, then checked by garde. A fault names the file, the line,
//! the key, what is wrong and what to do.
//!
//! Forms are cut apart here, before lexpr reads them: its lists are freed by recursion, so one list of a hundred
//! thousand entries would overflow a small stack, and a parenthesis that is missing is named by the line on
//! which it was opened, not by the end of the file.

mod scan;

use std::fmt;

use garde::Validate;
use lexpr::datum::{self, Ref};
use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_path_to_error::Segment;

/// Bytes of a whole file, and of one form.
pub const MAX_FILE_BYTES: usize = 64 << 20;
pub const MAX_FORM_BYTES: usize = 16 << 10;

/// What is wrong with a settings file, where, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    /// Both from 1.
    pub line: usize,
    pub column: usize,
    /// The key at fault, with the forms round it; empty where the text itself is.
    pub key: String,
    pub problem: String,
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)?;
        if self.remedy.is_empty() { Ok(()) } else { write!(f, " ({})", self.remedy) }
    }
}

impl std::error::Error for ConfigError {}

/// One form of a file: its value and where it begins, so that a check across forms can name it too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    pub line: usize,
    pub value: T,
}

impl<T> Located<T> {
    /// A fault of this form as a whole, or of one of its keys.
    pub fn error(
        &self,
        file: &str,
        key: &str,
        what: impl Into<String>,
        todo: impl Into<String>,
    ) -> ConfigError {
        ConfigError {
            file: file.into(),
            line: self.line,
            column: 1,
            key: key.into(),
            problem: what.into(),
            remedy: todo.into(),
        }
    }
}

/// The error of a value with the way to it, carried out of a deserializer that keeps no places.
struct Traced<T>(Result<T, (Vec<Step>, String)>);

#[derive(Clone, Debug)]
enum Step {
    Key(String),
    Item(usize),
    Word(String),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Traced<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Ok(Traced(serde_path_to_error::deserialize(from).map_err(|e| {
            let steps = e.path().iter().filter_map(|segment| match segment {
                Segment::Map { key } => Some(Step::Key(key.clone())),
                Segment::Seq { index } => Some(Step::Item(*index)),
                Segment::Enum { variant } => Some(Step::Word(variant.clone())),
                Segment::Unknown => None,
            });
            (steps.collect(), e.inner().to_string())
        })))
    }
}

/// Reads all forms of a file; every fault found is told, up to a few.
pub fn parse_forms<T>(file: &str, text: &str) -> Result<Vec<Located<T>>, Vec<ConfigError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let fault = |line, column, key: String, what: String, todo: &str| ConfigError {
        file: file.into(),
        line,
        column,
        key,
        problem: what,
        remedy: todo.into(),
    };
    if text.len() > MAX_FILE_BYTES {
        let what = format!("{} bytes, of {MAX_FILE_BYTES} at most", text.len());
        return Err(vec![fault(1, 1, String::new(), what, "split it")]);
    }
    let pieces = scan::split_forms(text).map_err(|flaw| {
        vec![fault(flaw.line, flaw.column, String::new(), flaw.problem.into(), flaw.remedy)]
    })?;
    let mut forms = Vec::with_capacity(pieces.len());
    let mut faults = Vec::new();
    for piece in pieces {
        match one::<T>(&text[piece.from..piece.to]) {
            Ok(value) => forms.push(Located { line: piece.line, value }),
            Err(found) => faults.extend(found.into_iter().map(|f| {
                let column = if f.line == 0 { piece.column + f.column } else { f.column + 1 };
                fault(piece.line + f.line, column, f.key, f.what, f.todo)
            })),
        }
        if faults.len() >= MOST_FAULTS {
            break;
        }
    }
    if faults.is_empty() { Ok(forms) } else { Err(faults) }
}

/// So many faults are enough to mend at a time.
const MOST_FAULTS: usize = 20;

/// A fault within one form; lines and columns from 0, from where it begins.
struct Flaw {
    line: usize,
    column: usize,
    key: String,
    what: String,
    todo: &'static str,
}

fn one<T>(text: &str) -> Result<T, Vec<Flaw>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let datum = datum::from_str(text).map_err(|e| {
        let at = e.location();
        vec![Flaw {
            line: at.map_or(0, |l| l.line().saturating_sub(1)),
            column: at.map_or(0, |l| l.column()),
            key: String::new(),
            what: format!("not an S-expression: {e}"),
            todo: "",
        }]
    })?;
    let flaw = |steps: &[Step], what: String, todo| {
        let (place, key) = locate(datum.as_ref(), steps);
        let start = place.span().start();
        Flaw { line: start.line().saturating_sub(1), column: start.column(), key, what, todo }
    };
    let traced: Traced<T> = serde_lexpr::from_value(datum.value())
        .map_err(|e| vec![flaw(&[], e.to_string(), "write (word (key . value) ...)")])?;
    let value = traced.0.map_err(|(mut steps, what)| {
        // A key that is not known is not on the way; the words of the error name it.
        if let Some(name) = what.strip_prefix("unknown field `").and_then(|w| w.split('`').next())
            && !matches!(steps.last(), Some(Step::Key(last)) if last == name)
        {
            steps.push(Step::Key(name.into()));
        }
        vec![flaw(&steps, what, "")]
    })?;
    value.validate().map_err(|report| {
        let word = head(datum.as_ref()).map(|w| Step::Word(w.into()));
        let flaws = report.iter().map(|(path, e)| {
            let mut steps: Vec<Step> = word.clone().into_iter().collect();
            // What a variant holds is its field 0, which the file does not name.
            let path = path.to_string().replace('[', ".").replace(']', "");
            let path = path.trim_start_matches('.');
            let path = path.strip_prefix("0.").unwrap_or(path);
            steps.extend(path.split('.').filter(|p| !p.is_empty()).map(|p| match p.parse() {
                Ok(index) => Step::Item(index),
                // Fields are named in Rust, keys in the file.
                Err(_) => Step::Key(p.replace('_', "-")),
            }));
            flaw(&steps, e.to_string(), "")
        });
        flaws.collect::<Vec<_>>()
    })?;
    Ok(value)
}

fn head<'a>(form: Ref<'a>) -> Option<&'a str> {
    form.as_pair().and_then(|(word, _)| word.value().as_symbol())
}

/// The innermost place on the way that the text has, and the name of the way.
fn locate<'a>(form: Ref<'a>, steps: &[Step]) -> (Ref<'a>, String) {
    let (mut at, mut place, mut name) = (form, form, String::new());
    for step in steps {
        let dot = if name.is_empty() { "" } else { "." };
        match step {
            Step::Word(word) => {
                name += word;
                if let Some((first, rest)) = at.as_pair()
                    && first.value().as_symbol() == Some(word)
                {
                    at = rest;
                }
            }
            Step::Key(key) => {
                name += &format!("{dot}{key}");
                // The word of a form stands before its keys where the way does not name it.
                let entry = at.list_iter().into_iter().flatten().find_map(|entry| {
                    let (first, rest) = entry.as_pair()?;
                    (first.value().as_symbol() == Some(key)).then_some((first, rest))
                });
                let Some((first, rest)) = entry else { break };
                (place, at) = (first, rest);
            }
            Step::Item(index) => {
                name += &format!("[{index}]");
                let Some(item) = at.list_iter().and_then(|mut items| items.nth(*index)) else { break };
                (place, at) = (item, item);
            }
        }
    }
    (place, name)
}
