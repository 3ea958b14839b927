//! Parses and validates settings files that are written as S-expressions.
//!
//! A file is a sequence of forms, `(word (key . value) ...)`. Each form is deserialized into one variant of an enum
//! that derives serde's `Deserialize`, and then checked by garde's `Validate`. An error names the file, the line, the
//! key, the problem and the remedy.
//!
//! The text is split into forms before lexpr parses each form, for two reasons. lexpr frees lists recursively, so a
//! single list of a hundred thousand entries would overflow a small stack. And a missing closing parenthesis is
//! reported at the beginning of its form instead of the end of the file.

mod error;
mod form;
mod scan;

use garde::Validate;
use serde::de::DeserializeOwned;

pub use crate::error::{ConfigError, Located};
use crate::form::{FormError, parse_form};
use crate::scan::{FormSpan, split_forms};

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;
/// The maximum size of a form, in bytes.
pub const MAX_FORM_BYTES: usize = 16 << 10;
/// The number of errors after which the rest of a file is not checked.
const MAX_ERRORS: usize = 20;

/// Parses and validates all forms of a file. `file` is its name, which is only used in errors.
///
/// # Errors
/// All errors that were found. After about 20 errors the rest of the file is not checked.
pub fn parse_forms<T>(file: &str, text: &str) -> Result<Vec<Located<T>>, Vec<ConfigError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    if text.len() > MAX_FILE_BYTES {
        let problem = format!("the file has {} bytes, at most {MAX_FILE_BYTES} are allowed", text.len());
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

/// Creates an error that concerns the text itself and thus has no key.
fn text_error(file: &str, line: usize, column: usize, problem: String, remedy: &str) -> ConfigError {
    ConfigError { file: file.into(), line, column, key: String::new(), problem, remedy: remedy.into() }
}

/// Converts an error of a form, whose position is relative to the form, to its position in the file.
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
