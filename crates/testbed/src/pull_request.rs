//! An attempt as a node reads it from its connection: `PULL <tag> <fields> <body length>`, then a body.
//!
//! All stand-in nodes read this line; which fields they need differs, so fields are parsed when they are asked for.

use std::io::{self, Read};

use thiserror::Error;

#[cfg(test)]
mod tests;

const COMMAND: &str = "PULL";
/// What follows each body.
const BODY_END: &[u8] = b"\r\n";

/// The line of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PullRequest<'a> {
    /// What the director calls the attempt; the answer begins with it.
    pub(crate) tag: &'a str,
    fields: &'a str,
    body_length: usize,
}

/// Why a line is no attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum PullRequestError {
    #[error("another command than {COMMAND}")]
    OtherCommand,
    #[error("{COMMAND} without exactly a tag, fields and a length")]
    Malformed,
}

impl<'a> PullRequest<'a> {
    /// Reads a line, with or without its end. A length that is no number counts as 0.
    pub(crate) fn parse(line: &'a str) -> Result<PullRequest<'a>, PullRequestError> {
        let mut words = line.trim_end().split(' ');
        if words.next() != Some(COMMAND) {
            return Err(PullRequestError::OtherCommand);
        }
        let (Some(tag), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(PullRequestError::Malformed);
        };
        Ok(PullRequest { tag, fields, body_length: length.parse().unwrap_or(0) })
    }

    /// Reads and drops the body, which follows the line.
    pub(crate) fn skip_body(&self, reader: &mut impl Read) -> io::Result<()> {
        reader.read_exact(&mut vec![0; self.body_length + BODY_END.len()])
    }

    /// A field's text; the first one of this name counts.
    pub(crate) fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// The object that is asked for.
    pub(crate) fn object(&self) -> Option<u64> {
        u64::from_str_radix(self.field("key")?, 16).ok()
    }

    /// The node to fill from if there is no copy.
    pub(crate) fn source(&self) -> Option<&'a str> {
        self.field("miss")
    }

    /// How long the client waits.
    pub(crate) fn wait_ms(&self) -> Option<u64> {
        self.field("wait")?.parse().ok()
    }

    /// How old a copy may be; none: of any age.
    pub(crate) fn max_age_ms(&self) -> Option<u64> {
        self.field("within")?.parse().ok().filter(|age| *age > 0)
    }

    /// The tag of the copy that the client has.
    pub(crate) fn held_tag(&self) -> Option<&'a str> {
        self.field("mine")
    }

    /// The sources beyond the first one, in order, where the director names the path of a fill.
    pub(crate) fn path(&self) -> Vec<String> {
        self.names("way")
    }

    /// The nodes that a fill has come through.
    pub(crate) fn visited(&self) -> Vec<String> {
        self.names("came")
    }

    fn names(&self, field: &str) -> Vec<String> {
        self.field(field).map(|list| list.split('+').map(str::to_owned).collect()).unwrap_or_default()
    }
}
