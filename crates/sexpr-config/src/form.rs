//! Deserializes and validates one form, and finds the position of an error in its text.

use garde::Validate;
use lexpr::Datum;
use lexpr::datum::{self, Ref};
use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_path_to_error::Segment;

/// An error within one form. Line and column count from 0. The line, and on the first line also the column, are
/// relative to the start of the form.
pub(crate) struct FormError {
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) key: String,
    pub(crate) problem: String,
    pub(crate) remedy: &'static str,
}

/// A segment of the path to a value in a form.
#[derive(Clone, Debug)]
enum PathSegment {
    /// The word at the start of a form.
    Word(String),
    Key(String),
    /// An index into a list.
    Item(usize),
}

/// A deserialized value, or an error with the path to the value that caused it. The error is returned as a value,
/// because the errors of the deserializer itself have no path.
struct ResultWithPath<T>(Result<T, PathError>);

struct PathError {
    path: Vec<PathSegment>,
    problem: String,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ResultWithPath<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(ResultWithPath(serde_path_to_error::deserialize(deserializer).map_err(|error| {
            let path = error.path().iter().filter_map(|segment| match segment {
                Segment::Map { key } => Some(PathSegment::Key(key.clone())),
                Segment::Seq { index } => Some(PathSegment::Item(*index)),
                Segment::Enum { variant } => Some(PathSegment::Word(variant.clone())),
                Segment::Unknown => None,
            });
            PathError { path: path.collect(), problem: error.inner().to_string() }
        })))
    }
}

/// Deserializes one form and validates it.
pub(crate) fn parse_form<T>(text: &str) -> Result<T, Vec<FormError>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let datum = datum::from_str(text).map_err(|error| vec![syntax_error(&error)])?;
    let value = deserialize::<T>(&datum).map_err(|error| vec![error])?;
    match value.validate() {
        Ok(()) => Ok(value),
        Err(report) => Err(validation_errors(&datum, &report)),
    }
}

fn syntax_error(error: &lexpr::parse::Error) -> FormError {
    let location = error.location();
    FormError {
        line: location.map_or(0, |location| location.line().saturating_sub(1)),
        column: location.map_or(0, |location| location.column()),
        key: String::new(),
        problem: format!("not an S-expression: {error}"),
        remedy: "",
    }
}

fn deserialize<T: DeserializeOwned>(datum: &Datum) -> Result<T, FormError> {
    let result: ResultWithPath<T> = serde_lexpr::from_value(datum.value())
        .map_err(|error| form_error(datum, &[], error.to_string(), "write (word (key . value) ...)"))?;
    result.0.map_err(|PathError { mut path, problem }| {
        // The path may end before the unknown key. The error message names the key, so it is appended to the path.
        if let Some(unknown) = unknown_field(&problem)
            && !matches!(path.last(), Some(PathSegment::Key(last)) if last == unknown)
        {
            path.push(PathSegment::Key(unknown.into()));
        }
        form_error(datum, &path, problem, "")
    })
}

/// Returns the key that an error message of serde names as unknown.
fn unknown_field(problem: &str) -> Option<&str> {
    problem.strip_prefix("unknown field `")?.split('`').next()
}

fn validation_errors(datum: &Datum, report: &garde::Report) -> Vec<FormError> {
    let word = first_word(datum.as_ref()).map(|word| PathSegment::Word(word.into()));
    let errors = report.iter().map(|(field_path, error)| {
        let mut path: Vec<PathSegment> = word.clone().into_iter().collect();
        path.extend(key_path(&field_path.to_string()));
        form_error(datum, &path, error.to_string(), "")
    });
    errors.collect()
}

/// Converts a path of Rust fields, such as `0.sources[1]`, to the path of keys in a settings file.
fn key_path(field_path: &str) -> Vec<PathSegment> {
    let path = field_path.replace('[', ".").replace(']', "");
    let path = path.trim_start_matches('.');
    // The content of an enum variant is its field 0, which has no key in the file.
    let path = path.strip_prefix("0.").unwrap_or(path);
    let segments = path.split('.').filter(|segment| !segment.is_empty());
    segments
        .map(|segment| match segment.parse() {
            Ok(index) => PathSegment::Item(index),
            // Fields have names in snake case, keys in kebab case.
            Err(_) => PathSegment::Key(segment.replace('_', "-")),
        })
        .collect()
}

fn form_error(datum: &Datum, path: &[PathSegment], problem: String, remedy: &'static str) -> FormError {
    let (innermost, key) = locate(datum.as_ref(), path);
    let start = innermost.span().start();
    FormError { line: start.line().saturating_sub(1), column: start.column(), key, problem, remedy }
}

/// Returns the word at the start of a form.
fn first_word<'a>(form: Ref<'a>) -> Option<&'a str> {
    form.as_pair().and_then(|(word, _)| word.value().as_symbol())
}

/// Follows a path as far as the form contains it. Returns the last key or list item that was found, or else the form,
/// and the path as text.
fn locate<'a>(form: Ref<'a>, path: &[PathSegment]) -> (Ref<'a>, String) {
    let (mut current, mut innermost, mut path_text) = (form, form, String::new());
    for segment in path {
        match segment {
            PathSegment::Word(word) => {
                path_text += word;
                if let Some((first, rest)) = current.as_pair()
                    && first.value().as_symbol() == Some(word)
                {
                    current = rest;
                }
            }
            PathSegment::Key(key) => {
                if !path_text.is_empty() {
                    path_text.push('.');
                }
                path_text += key;
                let Some((key, value)) = find_entry(current, key) else { break };
                (innermost, current) = (key, value);
            }
            PathSegment::Item(index) => {
                path_text += &format!("[{index}]");
                let item = current.list_iter().and_then(|mut items| items.nth(*index));
                let Some(item) = item else { break };
                (innermost, current) = (item, item);
            }
        }
    }
    (innermost, path_text)
}

/// Returns the key and the value of the first entry `(key . value)` of a list that has this key.
fn find_entry<'a>(list: Ref<'a>, key: &str) -> Option<(Ref<'a>, Ref<'a>)> {
    let mut entries = list.list_iter()?;
    entries.find_map(|entry| {
        let (first, rest) = entry.as_pair()?;
        (first.value().as_symbol() == Some(key)).then_some((first, rest))
    })
}
