//! Errors in settings files, with their positions.

use std::fmt;

/// An error in a settings file: its position, the problem and the remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The key, with the word of its form and the keys that contain it, such as `node.sources[1]`. Empty for an error
    /// that concerns the text itself or the word of a form.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to fix it; may be empty.
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

/// The value of a form with its line, so that checks across several forms can report the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The line on which the form begins, from 1.
    pub line: usize,
    /// The value.
    pub value: T,
}

impl<T> Located<T> {
    /// Creates an error of the form or of one of its keys. Its position is the first column of the form's line.
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
