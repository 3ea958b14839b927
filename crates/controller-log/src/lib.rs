//! The write-ahead log of the hierarchy controller, in a database file. A record is durable before any action that
//! depends on it is carried out. Records that a checkpoint makes obsolete are removed in the same transaction.

use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use sablecross_coordination::{FencingGuard, FencingToken, Member, StaleToken};
use sablecross_hierarchy::RolloutRecord;
use thiserror::Error;

/// The records as JSON, by their index in the log.
const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// The newest token with which a record was written: its term, and the number and incarnation of its holder.
const NEWEST_TOKEN: TableDefinition<(), (u64, u32, u64)> = TableDefinition::new("newest");

/// Why the log can't be opened, read or written.
#[derive(Debug, Error)]
pub enum ControllerLogError {
    /// The file is not a database, or another process has it open.
    #[error("{}: the log can't be opened (is another controller using it?): {cause}", .file.display())]
    Open {
        /// The file.
        file: PathBuf,
        /// The error of the database.
        cause: redb::Error,
    },
    /// The record is not stored, so no action that depends on it may be carried out. The caller may retry the write.
    #[error(
        "the log can't be written, so no version is published until a write succeeds (is the disk full?): {0}"
    )]
    Write(#[source] redb::Error),
    /// The tables can't be read.
    #[error("the log can't be read: {0}")]
    Read(#[source] redb::Error),
    /// A stored record is not valid JSON of a record.
    #[error("entry {index} of the log can't be read: {cause}")]
    Decode {
        /// The index of the record.
        index: u64,
        /// Why the record can't be decoded.
        cause: serde_json::Error,
    },
    /// A record can't be encoded as JSON.
    #[error("entry {index} of the log can't be encoded: {cause}")]
    Encode {
        /// The index that the record would have.
        index: u64,
        /// Why the record can't be encoded.
        cause: serde_json::Error,
    },
    /// A newer holder of the role has written to the log.
    #[error("the log rejects this holder: {0}")]
    StaleToken(#[from] StaleToken),
}

/// The result of appending a record.
enum AppendOutcome {
    Stored,
    /// The token was rejected as stale.
    Rejected(StaleToken),
}

/// An open log. Only one process at a time can have it open.
pub struct ControllerLog {
    file: PathBuf,
    /// `None` after a failed write, because the database then rejects all writes until it is opened again.
    database: Option<Database>,
    next_index: u64,
}

impl ControllerLog {
    /// Opens the log, or creates it. Returns the log and its records, oldest first.
    ///
    /// # Errors
    /// Returns an error if the file can't be opened or a record can't be read.
    pub fn open(file: &Path) -> Result<(ControllerLog, Vec<RolloutRecord>), ControllerLogError> {
        let mut log = ControllerLog { file: file.to_path_buf(), database: None, next_index: 0 };
        let entries = read_entries(log.database()?).map_err(ControllerLogError::Read)?;
        let mut records = Vec::with_capacity(entries.len());
        for (index, bytes) in entries {
            let record = serde_json::from_slice(&bytes);
            records.push(record.map_err(|cause| ControllerLogError::Decode { index, cause })?);
            log.next_index = index + 1;
        }
        Ok((log, records))
    }

    /// Appends a record. When this returns, the record survives a crash of the process or the machine.
    ///
    /// # Errors
    /// Returns an error if the record is not stored.
    pub fn append(&mut self, record: &RolloutRecord) -> Result<(), ControllerLogError> {
        self.append_fenced(None, record)
    }

    /// Appends a record on behalf of the holder of a role. A token that is older than the newest stored one, or that
    /// belongs to another holder of the same term, is rejected in the transaction that would store the record.
    ///
    /// # Errors
    /// Returns an error if the record is not stored.
    pub fn append_as(
        &mut self,
        token: FencingToken,
        record: &RolloutRecord,
    ) -> Result<(), ControllerLogError> {
        self.append_fenced(Some(token), record)
    }

    /// Returns the newest token with which a record was written. A new holder needs a higher term.
    ///
    /// # Errors
    /// Returns an error if the log can't be read.
    pub fn newest_token(&mut self) -> Result<FencingToken, ControllerLogError> {
        read_newest_token(self.database()?).map_err(ControllerLogError::Read)
    }

    fn append_fenced(
        &mut self,
        token: Option<FencingToken>,
        record: &RolloutRecord,
    ) -> Result<(), ControllerLogError> {
        let index = self.next_index;
        let bytes =
            serde_json::to_vec(record).map_err(|cause| ControllerLogError::Encode { index, cause })?;
        let is_checkpoint = matches!(record, RolloutRecord::Checkpoint { .. });
        match write_entry(self.database()?, token, index, &bytes, is_checkpoint) {
            Ok(AppendOutcome::Stored) => {
                self.next_index += 1;
                Ok(())
            }
            Ok(AppendOutcome::Rejected(stale)) => Err(stale.into()),
            Err(error) => {
                self.database = None;
                Err(ControllerLogError::Write(error))
            }
        }
    }

    /// Returns the database, and opens it first if necessary.
    fn database(&mut self) -> Result<&Database, ControllerLogError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => open_database(&self.file)
                .map_err(|cause| ControllerLogError::Open { file: self.file.clone(), cause })?,
        };
        Ok(self.database.insert(database))
    }
}

/// Opens or creates the file, and creates both tables if they don't exist.
fn open_database(file: &Path) -> Result<Database, redb::Error> {
    let database = Database::create(file)?;
    let transaction = database.begin_write()?;
    transaction.open_table(RECORDS)?;
    transaction.open_table(NEWEST_TOKEN)?;
    transaction.commit()?;
    Ok(database)
}

fn read_entries(database: &Database) -> Result<Vec<(u64, Vec<u8>)>, redb::Error> {
    let transaction = database.begin_read()?;
    let table = transaction.open_table(RECORDS)?;
    let mut entries = Vec::new();
    for entry in table.iter()? {
        let (index, bytes) = entry?;
        entries.push((index.value(), bytes.value().to_vec()));
    }
    Ok(entries)
}

fn read_newest_token(database: &Database) -> Result<FencingToken, redb::Error> {
    let transaction = database.begin_read()?;
    Ok(stored_token(&transaction.open_table(NEWEST_TOKEN)?)?)
}

fn write_entry(
    database: &Database,
    token: Option<FencingToken>,
    index: u64,
    bytes: &[u8],
    is_checkpoint: bool,
) -> Result<AppendOutcome, redb::Error> {
    let transaction = database.begin_write()?;
    {
        if let Some(token) = token {
            let mut newest = transaction.open_table(NEWEST_TOKEN)?;
            let mut guard = FencingGuard::with_highest(stored_token(&newest)?);
            if let Err(stale) = guard.admit(token) {
                return Ok(AppendOutcome::Rejected(stale));
            }
            newest.insert((), (token.term, token.holder.number, token.holder.incarnation))?;
        }
        let mut records = transaction.open_table(RECORDS)?;
        if is_checkpoint {
            records.retain(|_, _| false)?;
        }
        records.insert(index, bytes)?;
    }
    transaction.commit()?;
    Ok(AppendOutcome::Stored)
}

fn stored_token(table: &impl ReadableTable<(), (u64, u32, u64)>) -> Result<FencingToken, redb::StorageError> {
    let stored = table.get(())?.map(|stored| stored.value());
    Ok(stored.map_or(FencingToken::default(), |(term, number, incarnation)| FencingToken {
        term,
        holder: Member { number, incarnation },
    }))
}
