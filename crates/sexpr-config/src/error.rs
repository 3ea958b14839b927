//! Errors of settings, with their places.

use std::fmt;

/// What is wrong with a settings file, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The key with the forms that contain it, as in `node.sources[1]`; empty for an error of the text itself.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do; may be empty.
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)?;
        if self.remedy.is_empty() { Ok(()) } else { write!(f, " ({})", self.remedy) }
    }
}

impl std::error::Error for ConfigError {}

/// The value of a form with its place, so that checks across forms can name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The line on which the form begins, from 1.
    pub line: usize,
    /// The value.
    pub value: T,
}

impl<T> Located<T> {
    /// An error of the form, or of one of its keys.
    pub fn error(
        &self,
        file: &str,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> ConfigError {
        ConfigError {
            file: file.into(),
            line: self.line,
            column: 1,
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}
