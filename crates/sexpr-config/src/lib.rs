//! Settings files as S-expressions.
//!
//! A file is a sequence of forms, `(word (key . value) ...)`. Each form is read into one variant of an enum that derives
//! serde's `Deserialize`, and then checked by garde's `Validate`. An error names the file, the line, the key, the
//! problem and the remedy.
//!
//! The text is split into forms before lexpr parses each of them. lexpr frees lists by recursion, so that one list of a
//! hundred thousand entries would overflow a small stack; and a missing parenthesis is reported at the line on which it
//! was opened, not at the end of the file.

mod error;
mod form;
mod scan;

use garde::Validate;
use serde::de::DeserializeOwned;

pub use crate::error::{ConfigError, Located};
use crate::form::{FormError, parse_form};
use crate::scan::{FormSpan, split_forms};

/// The largest file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;
/// The largest form, in bytes.
pub const MAX_FORM_BYTES: usize = 16 << 10;
/// The number of errors after which the rest of a file is not read.
const MAX_ERRORS: usize = 20;

/// Reads all forms of a file, whose name is only used in errors.
///
/// # Errors
/// All errors found; after about 20 the rest of the file is not read.
pub fn parse_forms<T>(file: &str, text: &str) -> Result<Vec<Located<T>>, Vec<ConfigError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    if text.len() > MAX_FILE_BYTES {
        let problem = format!("{} bytes, of {MAX_FILE_BYTES} at most", text.len());
        return Err(vec![text_error(file, 1, 1, problem, "split it")]);
    }
    let spans = split_forms(text).map_err(|error| {
        vec![text_error(file, error.line, error.column, error.problem.into(), error.remedy)]
    })?;
    let mut forms = Vec::with_capacity(spans.len());
    let mut errors = Vec::new();
    for span in spans {
        match parse_form::<T>(&text[span.start..span.end]) {
            Ok(value) => forms.push(Located { line: span.line, value }),
            Err(found) => errors.extend(found.into_iter().map(|error| locate_error(file, span, error))),
        }
        if errors.len() >= MAX_ERRORS {
            break;
        }
    }
    if errors.is_empty() { Ok(forms) } else { Err(errors) }
}

/// An error of the text itself, without a key.
fn text_error(file: &str, line: usize, column: usize, problem: String, remedy: &str) -> ConfigError {
    ConfigError { file: file.into(), line, column, key: String::new(), problem, remedy: remedy.into() }
}

/// The error of a form, at its place in the file.
fn locate_error(file: &str, span: FormSpan, error: FormError) -> ConfigError {
    let is_on_first_line = error.line == 0;
    ConfigError {
        file: file.into(),
        line: span.line + error.line,
        column: if is_on_first_line { span.column + error.column } else { error.column + 1 },
        key: error.key,
        problem: error.problem,
        remedy: error.remedy.into(),
    }
}
