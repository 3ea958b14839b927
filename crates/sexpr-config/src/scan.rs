//! Splits a text into its top-level forms, and finds parentheses that don't match.

use std::iter::Peekable;
use std::str::CharIndices;

use super::MAX_FORM_BYTES;

/// How deep parentheses may be nested.
const MAX_DEPTH: usize = 64;
const FORM_SYNTAX: &str = "write (word (key . value) ...)";

/// A form by its bytes in the text, and where it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FormSpan {
    pub(crate) start: usize,
    pub(crate) end: usize,
    /// The line, from 1.
    pub(crate) line: usize,
    /// The column in bytes, from 1.
    pub(crate) column: usize,
}

/// Why a text can't be split, with the place of that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ScanError {
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) problem: &'static str,
    pub(crate) remedy: &'static str,
}

/// A place in the text.
#[derive(Clone, Copy)]
struct Place {
    offset: usize,
    line: usize,
    column: usize,
}

impl Place {
    fn error<T>(self, problem: &'static str, remedy: &'static str) -> Result<T, ScanError> {
        Err(ScanError { line: self.line, column: self.column, problem, remedy })
    }
}

struct Scanner<'a> {
    chars: Peekable<CharIndices<'a>>,
    line: usize,
    /// The offset at which the line begins.
    line_start: usize,
    /// Where the parentheses that are open were opened, the outermost first.
    open: Vec<Place>,
    forms: Vec<FormSpan>,
}

/// The forms of a text, in their order.
pub(crate) fn split_forms(text: &str) -> Result<Vec<FormSpan>, ScanError> {
    let mut scanner = Scanner {
        chars: text.char_indices().peekable(),
        line: 1,
        line_start: 0,
        open: Vec::new(),
        forms: Vec::new(),
    };
    while let Some((offset, c)) = scanner.chars.next() {
        scanner.scan(offset, c)?;
    }
    match scanner.open.first() {
        None => Ok(scanner.forms),
        Some(place) => place.error("a parenthesis that is never closed", "close the form that begins here"),
    }
}

impl Scanner<'_> {
    fn scan(&mut self, offset: usize, c: char) -> Result<(), ScanError> {
        let place = Place { offset, line: self.line, column: offset - self.line_start + 1 };
        match c {
            '\n' => self.start_line(offset),
            ';' => while self.chars.next_if(|&(_, c)| c != '\n').is_some() {},
            '"' => self.skip_string(place)?,
            // A character literal, also one of a parenthesis.
            '#' if self.chars.next_if(|&(_, c)| c == '\\').is_some() => {
                self.chars.next();
            }
            '(' | '[' => self.open(place)?,
            ')' | ']' => self.close(place)?,
            c if self.open.is_empty() && !c.is_whitespace() => {
                return place.error("a word outside of all forms", FORM_SYNTAX);
            }
            _ => {}
        }
        Ok(())
    }

    fn start_line(&mut self, newline: usize) {
        self.line += 1;
        self.line_start = newline + 1;
    }

    /// Skips the rest of a string whose opening quote was read.
    fn skip_string(&mut self, place: Place) -> Result<(), ScanError> {
        let mut is_escaped = false;
        while let Some((offset, c)) = self.chars.next() {
            match c {
                '\n' => self.start_line(offset),
                '"' if !is_escaped => return Ok(()),
                _ => {}
            }
            is_escaped = c == '\\' && !is_escaped;
        }
        // The column is that of the opening quote, the line the last one.
        Place { line: self.line, ..place }.error("a string that never ends", "close it with \"")
    }

    fn open(&mut self, place: Place) -> Result<(), ScanError> {
        if self.open.len() == MAX_DEPTH {
            return place.error("parentheses lie too deep in one another", FORM_SYNTAX);
        }
        self.open.push(place);
        Ok(())
    }

    fn close(&mut self, place: Place) -> Result<(), ScanError> {
        let Some(opening) = self.open.pop() else {
            return place.error("a parenthesis that closes nothing", "remove it, or open one before");
        };
        if !self.open.is_empty() {
            return Ok(());
        }
        let Place { offset: start, line, column } = opening;
        let end = place.offset + 1;
        if end - start > MAX_FORM_BYTES {
            return opening.error("a form too long", "split it: a form has 16 KiB at most");
        }
        self.forms.push(FormSpan { start, end, line, column });
        Ok(())
    }
}
