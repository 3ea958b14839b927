//! Splits a text into its top-level forms and detects unbalanced parentheses.

use std::iter::Peekable;
use std::str::CharIndices;

use super::MAX_FORM_BYTES;

/// The maximum nesting depth of parentheses.
const MAX_DEPTH: usize = 64;
const FORM_SYNTAX: &str = "write (word (key . value) ...)";

/// The byte range of a form in the text, and the position at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FormSpan {
    pub(crate) start: usize,
    pub(crate) end: usize,
    /// The line, from 1.
    pub(crate) line: usize,
    /// The column in bytes, from 1.
    pub(crate) column: usize,
}

/// Why a text cannot be split into forms, and the position of the problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ScanError {
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) problem: &'static str,
    pub(crate) remedy: &'static str,
}

/// A position in the text.
#[derive(Clone, Copy)]
struct Position {
    /// In bytes, from 0.
    offset: usize,
    /// From 1.
    line: usize,
    /// In bytes, from 1.
    column: usize,
}

impl Position {
    fn error<T>(self, problem: &'static str, remedy: &'static str) -> Result<T, ScanError> {
        Err(ScanError { line: self.line, column: self.column, problem, remedy })
    }
}

struct Scanner<'a> {
    chars: Peekable<CharIndices<'a>>,
    line: usize,
    /// The offset at which the current line begins.
    line_start: usize,
    /// The positions of the parentheses that are still open, the outermost first.
    open_parentheses: Vec<Position>,
    forms: Vec<FormSpan>,
}

/// Returns the forms of a text in the order in which they appear.
pub(crate) fn split_forms(text: &str) -> Result<Vec<FormSpan>, ScanError> {
    let mut scanner = Scanner {
        chars: text.char_indices().peekable(),
        line: 1,
        line_start: 0,
        open_parentheses: Vec::new(),
        forms: Vec::new(),
    };
    while let Some((offset, c)) = scanner.chars.next() {
        scanner.scan(offset, c)?;
    }
    match scanner.open_parentheses.first() {
        None => Ok(scanner.forms),
        Some(start) => start.error("a parenthesis that is never closed", "close the form that begins here"),
    }
}

impl Scanner<'_> {
    /// Handles one character, and the rest of the comment, string or character literal that it begins.
    fn scan(&mut self, offset: usize, c: char) -> Result<(), ScanError> {
        let position = Position { offset, line: self.line, column: offset - self.line_start + 1 };
        match c {
            '\n' => self.start_line(offset),
            ';' => while self.chars.next_if(|&(_, c)| c != '\n').is_some() {},
            '"' => self.skip_string(position)?,
            // A character literal. Its character is skipped, because it may be a parenthesis.
            '#' if self.chars.next_if(|&(_, c)| c == '\\').is_some() => {
                self.chars.next();
            }
            '(' | '[' => self.open_parenthesis(position)?,
            ')' | ']' => self.close_parenthesis(position)?,
            c if self.open_parentheses.is_empty() && !c.is_whitespace() => {
                return position.error("text outside of any form", FORM_SYNTAX);
            }
            _ => {}
        }
        Ok(())
    }

    fn start_line(&mut self, newline: usize) {
        self.line += 1;
        self.line_start = newline + 1;
    }

    /// Skips the rest of a string after its opening quote, whose position is `start`.
    fn skip_string(&mut self, start: Position) -> Result<(), ScanError> {
        let mut is_escaped = false;
        while let Some((offset, c)) = self.chars.next() {
            match c {
                '\n' => self.start_line(offset),
                '"' if !is_escaped => return Ok(()),
                _ => {}
            }
            is_escaped = c == '\\' && !is_escaped;
        }
        // The error has the column of the opening quote, but the line at which the text ends.
        Position { line: self.line, ..start }.error("unterminated string", "close it with \"")
    }

    fn open_parenthesis(&mut self, position: Position) -> Result<(), ScanError> {
        if self.open_parentheses.len() == MAX_DEPTH {
            return position.error("parentheses nested too deeply", FORM_SYNTAX);
        }
        self.open_parentheses.push(position);
        Ok(())
    }

    /// Closes the innermost open parenthesis. If it is the outermost one, a form ends here.
    fn close_parenthesis(&mut self, position: Position) -> Result<(), ScanError> {
        let Some(opening) = self.open_parentheses.pop() else {
            return position.error("unmatched closing parenthesis", "remove it, or add the opening one");
        };
        if !self.open_parentheses.is_empty() {
            return Ok(());
        }
        let Position { offset: start, line, column } = opening;
        let end = position.offset + 1;
        if end - start > MAX_FORM_BYTES {
            return opening.error("form too long", "split it: a form may have at most 16 KiB");
        }
        self.forms.push(FormSpan { start, end, line, column });
        Ok(())
    }
}
