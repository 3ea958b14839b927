//! Parses attempts as nodes receive them: the line `PULL <tag> <fields> <body length>`, followed by a body.
//!
//! All stub nodes read this line, but they need different fields. Fields are therefore parsed on access.

use std::io::{self, Read};

use thiserror::Error;

#[cfg(test)]
mod tests;

const COMMAND: &str = "PULL";
/// The bytes that follow each body.
const BODY_END: &[u8] = b"\r\n";

/// The parsed line of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PullRequest<'a> {
    /// The director's identifier of the attempt, with which the answer begins.
    pub(crate) tag: &'a str,
    fields: &'a str,
    body_length: usize,
}

/// The reason why a line is not a valid attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum PullRequestError {
    #[error("the command is not {COMMAND}")]
    OtherCommand,
    #[error("{COMMAND} needs exactly a tag, fields and a length")]
    Malformed,
}

impl<'a> PullRequest<'a> {
    /// Parses a line with or without its line end. A length that is not a number counts as 0.
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

    /// Reads and discards the body, which follows the line.
    pub(crate) fn skip_body(&self, reader: &mut impl Read) -> io::Result<()> {
        reader.read_exact(&mut vec![0; self.body_length + BODY_END.len()])
    }

    /// The value of a field. If a name occurs more than once, the first occurrence counts.
    pub(crate) fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// The requested object.
    pub(crate) fn object(&self) -> Option<u64> {
        u64::from_str_radix(self.field("key")?, 16).ok()
    }

    /// The node to fill from if this node has no copy.
    pub(crate) fn source(&self) -> Option<&'a str> {
        self.field("miss")
    }

    /// How long the client waits, in milliseconds.
    pub(crate) fn wait_ms(&self) -> Option<u64> {
        self.field("wait")?.parse().ok()
    }

    /// The highest accepted age of a copy in milliseconds. `None` means any age.
    pub(crate) fn max_age_ms(&self) -> Option<u64> {
        self.field("within")?.parse().ok().filter(|age| *age > 0)
    }

    /// The entity tag of the copy that the client has.
    pub(crate) fn client_copy_tag(&self) -> Option<&'a str> {
        self.field("mine")
    }

    /// The sources after the first one, in order, if the director names the path of a fill.
    pub(crate) fn path(&self) -> Vec<String> {
        self.names("way")
    }

    /// The nodes that a fill has passed.
    pub(crate) fn visited(&self) -> Vec<String> {
        self.names("came")
    }

    fn names(&self, field: &str) -> Vec<String> {
        self.field(field).map(|list| list.split('+').map(str::to_owned).collect()).unwrap_or_default()
    }
}
