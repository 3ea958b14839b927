//! Why the adapter stops.

use std::io;

use thiserror::Error;

/// A fault of the input, or of the pipes. The adapter ends with it, as one line.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    #[error("truncated batch header")]
    TruncatedHeader,
    #[error("batch length too small")]
    BatchTooShort,
    #[error("truncated batch")]
    TruncatedBatch,
    #[error("bytes left over in batch")]
    TrailingBytes,
    #[error("impossible clock")]
    ClockOutOfRange,
    #[error("truncated record")]
    TruncatedRecord,
    #[error("not a whole number: {0}")]
    NotWhole(f32),
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    #[error("record {code} for no open instance {director}")]
    UnknownInstance { code: u8, director: u32 },
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    #[error("unknown node state {0}")]
    UnknownNodeState(u8),
    #[error("list names no sheet")]
    UnknownSheet,
    #[error("lookup of unknown kind {class} or size {size_kb}")]
    UnknownClassOrSize { class: usize, size_kb: f64 },
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    #[error("settings are not text")]
    SettingsNotText,
    #[error("{0}")]
    Settings(String),
    #[error(transparent)]
    Io(#[from] io::Error),
}

pub(crate) type Result<T> = std::result::Result<T, AdapterError>;
