//! The encoding of the controller's log and of the versions that are sent to members: MessagePack, with fields by
//! position.

use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{Hierarchy, RolloutRecord};
use thiserror::Error;

/// The first byte of the register's content. A different value means that a program with another format wrote the
/// content, not that the content is damaged.
const FORMAT_VERSION: u8 = 1;
/// The largest content of the register in bytes. More does not fit into one call between members.
const MAX_LOG_BYTES: usize = 200_000;

/// Why the content of the register or a message can't be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The register was written in a format that this program does not support.
    #[error("format {0} is not supported, only format {FORMAT_VERSION} is")]
    UnknownFormat(u8),
    /// The content is empty.
    #[error("the content is empty")]
    Empty,
    /// The bytes are not a valid encoding.
    #[error(transparent)]
    MessagePack(#[from] rmp_serde::decode::Error),
}

/// Why the log can't be written to the register.
#[derive(Debug, Error)]
pub(crate) enum EncodeError {
    /// The log is too long. Only the checkpoint at the end of a change shortens it.
    #[error("hierarchy log too long bytes={bytes} max_bytes={MAX_LOG_BYTES}: make smaller changes")]
    TooLong {
        /// The length of the encoded log.
        bytes: usize,
    },
    /// A record can't be encoded.
    #[error("hierarchy log can't be encoded: {0}")]
    MessagePack(#[from] rmp_serde::encode::Error),
}

/// The records of a rollout since its last checkpoint, as stored in the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RegisterLog {
    records: Vec<RolloutRecord>,
}

impl RegisterLog {
    /// The records, oldest first.
    pub(crate) fn records(&self) -> &[RolloutRecord] {
        &self.records
    }

    /// Appends a record. A checkpoint replaces all records before it.
    pub(crate) fn append(&mut self, record: RolloutRecord) {
        if matches!(record, RolloutRecord::Checkpoint { .. }) {
            self.records.clear();
        }
        self.records.push(record);
    }

    /// Encodes the log as the content of the register.
    ///
    /// # Errors
    /// Returns an error if the content is too long or can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = vec![FORMAT_VERSION];
        rmp_serde::encode::write(&mut bytes, &self.records)?;
        if bytes.len() > MAX_LOG_BYTES {
            return Err(EncodeError::TooLong { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes the content of the register.
    ///
    /// # Errors
    /// Returns an error if the content has another format or is damaged.
    pub(crate) fn decode(bytes: &[u8]) -> Result<RegisterLog, DecodeError> {
        let (&format, records) = bytes.split_first().ok_or(DecodeError::Empty)?;
        if format != FORMAT_VERSION {
            return Err(DecodeError::UnknownFormat(format));
        }
        Ok(RegisterLog { records: rmp_serde::from_slice(records)? })
    }
}

/// Encodes a version as the message that is sent to members.
///
/// # Errors
/// Returns an error if the version can't be encoded.
pub(crate) fn encode_spec(number: u64, version: &Hierarchy) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(&HierarchySpec::from_hierarchy(number, version))
}

/// Decodes the message by which members receive a version.
///
/// # Errors
/// Returns an error if the bytes are not a valid version.
pub fn decode_spec(bytes: &[u8]) -> Result<HierarchySpec, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
