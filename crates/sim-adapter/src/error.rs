//! The errors that end the adapter.

use std::io;

use thiserror::Error;

/// An error in the input, or a failure to read or write the pipes. The adapter prints it as one line and exits.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    #[error("truncated batch header")]
    TruncatedHeader,
    #[error("batch length too small")]
    BatchTooShort,
    #[error("truncated batch")]
    TruncatedBatch,
    #[error("unread bytes after the last record of the batch")]
    TrailingBytes,
    #[error("batch clock out of range")]
    ClockOutOfRange,
    #[error("truncated record")]
    TruncatedRecord,
    #[error("not an unsigned 32-bit integer: {0}")]
    NotAnInteger(f32),
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    #[error("record code {code}: no open instance {director}")]
    UnknownInstance { code: u8, director: u32 },
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    #[error("unknown node state {0}")]
    UnknownNodeState(u8),
    #[error("directory update refers to an unknown sheet")]
    UnknownSheet,
    #[error("order of unknown kind {class} or with a size that is not finite: {size_kb} kB")]
    UnknownClassOrSize { class: usize, size_kb: f64 },
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    #[error("settings are not valid UTF-8")]
    SettingsNotText,
    #[error("{0}")]
    Settings(String),
    #[error(transparent)]
    Io(#[from] io::Error),
}

pub(crate) type Result<T> = std::result::Result<T, AdapterError>;
