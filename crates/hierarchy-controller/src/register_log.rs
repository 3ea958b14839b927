//! The stored form of the controller's log, and of the versions that members are sent: MessagePack, by the order of
//! the fields.

use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{Hierarchy, RolloutRecord};
use thiserror::Error;

/// The first byte of the register's content. Another one is of another version of the program, not of damage.
const FORMAT: u8 = 1;
/// The largest content of the register in bytes; more than that does not fit into a call between members.
const MAX_LOG_BYTES: usize = 200_000;

/// Why bytes of the register, or of a message, can't be read.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The register was written in a format that this program does not know.
    #[error("it has the unknown format {0}")]
    UnknownFormat(u8),
    /// There is nothing.
    #[error("it is empty")]
    Empty,
    /// The bytes are not what they should be.
    #[error(transparent)]
    MessagePack(#[from] rmp_serde::decode::Error),
}

/// Why the log can't be written to the register.
#[derive(Debug, Error)]
pub(crate) enum EncodeError {
    /// The log is too long. It becomes short again when the running change ends.
    #[error("hierarchy log too long bytes={bytes} max_bytes={MAX_LOG_BYTES}: make smaller changes")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// A record can't be encoded.
    #[error("hierarchy log can't be encoded: {0}")]
    MessagePack(#[from] rmp_serde::encode::Error),
}

/// The records of a rollout since its last checkpoint, as the register stores them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RegisterLog {
    records: Vec<RolloutRecord>,
}

impl RegisterLog {
    /// The records, the oldest first.
    pub(crate) fn records(&self) -> &[RolloutRecord] {
        &self.records
    }

    /// Adds a record. A checkpoint takes the place of all records before it.
    pub(crate) fn append(&mut self, record: RolloutRecord) {
        if matches!(record, RolloutRecord::Checkpoint { .. }) {
            self.records.clear();
        }
        self.records.push(record);
    }

    /// The content of the register.
    ///
    /// # Errors
    /// If it is too long, or can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = vec![FORMAT];
        rmp_serde::encode::write(&mut bytes, &self.records)?;
        if bytes.len() > MAX_LOG_BYTES {
            return Err(EncodeError::TooLong { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Reads the content of the register.
    ///
    /// # Errors
    /// If it has another format, or is damaged.
    pub(crate) fn decode(bytes: &[u8]) -> Result<RegisterLog, DecodeError> {
        let (&format, records) = bytes.split_first().ok_or(DecodeError::Empty)?;
        if format != FORMAT {
            return Err(DecodeError::UnknownFormat(format));
        }
        Ok(RegisterLog { records: rmp_serde::from_slice(records)? })
    }
}

/// The message by which members are sent a version.
///
/// # Errors
/// If it can't be encoded.
pub(crate) fn encode_spec(number: u64, version: &Hierarchy) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(&HierarchySpec::from_hierarchy(number, version))
}

/// Reads the message by which members are sent a version.
///
/// # Errors
/// If the bytes are no version.
pub fn decode_spec(bytes: &[u8]) -> Result<HierarchySpec, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
