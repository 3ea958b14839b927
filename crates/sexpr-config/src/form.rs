//! Reads one form into a value, and finds the place of an error in its text.

use garde::Validate;
use lexpr::Datum;
use lexpr::datum::{self, Ref};
use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_path_to_error::Segment;

/// An error within one form. Line and column count from 0, from where the form begins.
pub(crate) struct FormError {
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) key: String,
    pub(crate) problem: String,
    pub(crate) remedy: &'static str,
}

/// A step on the path to a value.
#[derive(Clone, Debug)]
enum PathSegment {
    /// The word that a form begins with.
    Word(String),
    Key(String),
    /// An index into a list.
    Item(usize),
}

/// A deserialized value, or an error with the path to it. It carries the path out of a deserializer that keeps none.
struct Traced<T>(Result<T, PathError>);

struct PathError {
    path: Vec<PathSegment>,
    problem: String,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Traced<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Traced(serde_path_to_error::deserialize(deserializer).map_err(|error| {
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

/// Reads one form and validates it.
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
    let traced: Traced<T> = serde_lexpr::from_value(datum.value())
        .map_err(|error| form_error(datum, &[], error.to_string(), "write (word (key . value) ...)"))?;
    traced.0.map_err(|PathError { mut path, problem }| {
        // The path ends before an unknown key; the error names it.
        if let Some(unknown) = unknown_field(&problem)
            && !matches!(path.last(), Some(PathSegment::Key(last)) if last == unknown)
        {
            path.push(PathSegment::Key(unknown.into()));
        }
        form_error(datum, &path, problem, "")
    })
}

/// The key that serde's error names as unknown.
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

/// The keys of a path of Rust fields, such as `0.sources[1]`.
fn key_path(field_path: &str) -> Vec<PathSegment> {
    let path = field_path.replace('[', ".").replace(']', "");
    let path = path.trim_start_matches('.');
    // The content of an enum's variant is its field 0, which the file does not name.
    let path = path.strip_prefix("0.").unwrap_or(path);
    let segments = path.split('.').filter(|segment| !segment.is_empty());
    segments
        .map(|segment| match segment.parse() {
            Ok(index) => PathSegment::Item(index),
            // Fields are in snake case, keys in kebab case.
            Err(_) => PathSegment::Key(segment.replace('_', "-")),
        })
        .collect()
}

fn form_error(datum: &Datum, path: &[PathSegment], problem: String, remedy: &'static str) -> FormError {
    let (place, key) = locate(datum.as_ref(), path);
    let start = place.span().start();
    FormError { line: start.line().saturating_sub(1), column: start.column(), key, problem, remedy }
}

/// The word that a form begins with.
fn first_word<'a>(form: Ref<'a>) -> Option<&'a str> {
    form.as_pair().and_then(|(word, _)| word.value().as_symbol())
}

/// The innermost place on a path that the text contains, and the name of the path.
fn locate<'a>(form: Ref<'a>, path: &[PathSegment]) -> (Ref<'a>, String) {
    let (mut current, mut place, mut name) = (form, form, String::new());
    for segment in path {
        match segment {
            PathSegment::Word(word) => {
                name += word;
                if let Some((first, rest)) = current.as_pair()
                    && first.value().as_symbol() == Some(word)
                {
                    current = rest;
                }
            }
            PathSegment::Key(key) => {
                if !name.is_empty() {
                    name.push('.');
                }
                name += key;
                let Some((key, value)) = find_entry(current, key) else { break };
                (place, current) = (key, value);
            }
            PathSegment::Item(index) => {
                name += &format!("[{index}]");
                let item = current.list_iter().and_then(|mut items| items.nth(*index));
                let Some(item) = item else { break };
                (place, current) = (item, item);
            }
        }
    }
    (place, name)
}

/// The key and the value of the first entry `(key . value)` of a list.
fn find_entry<'a>(list: Ref<'a>, key: &str) -> Option<(Ref<'a>, Ref<'a>)> {
    let mut entries = list.list_iter()?;
    entries.find_map(|entry| {
        let (first, rest) = entry.as_pair()?;
        (first.value().as_symbol() == Some(key)).then_some((first, rest))
    })
}
