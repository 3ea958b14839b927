//! The log of the driver on disk: each entry is there before anything that follows from it is done. What a
//! `Start` makes needless goes in the same commit.

use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use sablecross_coordination::{FencingGuard, FencingToken, Member, StaleToken};
use sablecross_hierarchy::RolloutRecord;
use thiserror::Error;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// The newest token that wrote: its term, the owner's number and life.
const NEWEST: TableDefinition<(), (u64, u32, u64)> = TableDefinition::new("newest");

#[derive(Debug, Error)]
pub enum ControllerLogError {
    #[error("{file}: the log can't be opened (is another driver running on it?): {why}")]
    Open { file: String, why: redb::Error },
    /// Nothing follows from the entry. It may be written again: the file is opened anew for that.
    #[error("the log can't be written, so nothing more is told until it can be (is the disk full?): {0}")]
    Write(redb::Error),
    #[error("entry {at} of the log can't be read: {why}")]
    Read { at: u64, why: String },
    #[error("the log takes nothing of this owner: {0}")]
    StaleToken(#[from] StaleToken),
}

pub struct ControllerLog {
    file: PathBuf,
    /// None after a write that failed: the database refuses all others then, until it is opened again.
    database: Option<Database>,
    next: u64,
}

impl ControllerLog {
    /// Opens the log, or begins one; the entries that it has.
    pub fn open(file: &Path) -> Result<(ControllerLog, Vec<RolloutRecord>), ControllerLogError> {
        let mut log = ControllerLog { file: file.to_path_buf(), database: None, next: 0 };
        log.database()?;
        let records = log.records()?;
        log.next = records.last().map_or(0, |(at, _)| at + 1);
        Ok((log, records.into_iter().map(|(_, r)| r).collect()))
    }

    /// The database, opened if it is not. The tables are there from the first opening on.
    fn database(&mut self) -> Result<&Database, ControllerLogError> {
        let failed =
            |why: redb::Error| ControllerLogError::Open { file: self.file.display().to_string(), why };
        let database = match self.database.take() {
            Some(database) => database,
            None => opened(&self.file).map_err(failed)?,
        };
        Ok(self.database.insert(database))
    }

    fn records(&mut self) -> Result<Vec<(u64, RolloutRecord)>, ControllerLogError> {
        let database = self.database()?;
        let read = || -> Result<Vec<(u64, Vec<u8>)>, redb::Error> {
            let read = database.begin_read()?;
            let table = read.open_table(RECORDS)?;
            let mut all = Vec::new();
            for entry in table.iter()? {
                let (at, bytes) = entry?;
                all.push((at.value(), bytes.value().to_vec()));
            }
            Ok(all)
        };
        let all = read().map_err(|why| ControllerLogError::Read { at: 0, why: why.to_string() })?;
        let parse = |(at, bytes): (u64, Vec<u8>)| match serde_json::from_slice(&bytes) {
            Ok(record) => Ok((at, record)),
            Err(e) => Err(ControllerLogError::Read { at, why: e.to_string() }),
        };
        all.into_iter().map(parse).collect()
    }

    /// Keeps an entry; once this returns it survives the end of the program and of the machine.
    pub fn append(&mut self, record: &RolloutRecord) -> Result<(), ControllerLogError> {
        self.keep(None, record)
    }

    /// The same on behalf of the owner of a duty: one whose token is older than the newest that wrote is refused, in
    /// the same commit that would have kept the entry.
    pub fn append_as(
        &mut self,
        token: FencingToken,
        record: &RolloutRecord,
    ) -> Result<(), ControllerLogError> {
        self.keep(Some(token), record)
    }

    /// The newest token that wrote: who opens the log claims past its term.
    pub fn newest_token(&mut self) -> Result<FencingToken, ControllerLogError> {
        let database = self.database()?;
        let read = || -> Result<FencingToken, redb::Error> {
            let read = database.begin_read()?;
            Ok(kept_token(&read.open_table(NEWEST)?)?)
        };
        read().map_err(|why| ControllerLogError::Read { at: 0, why: why.to_string() })
    }

    fn keep(&mut self, by: Option<FencingToken>, record: &RolloutRecord) -> Result<(), ControllerLogError> {
        let bytes = serde_json::to_vec(record)
            .map_err(|e| ControllerLogError::Read { at: self.next, why: e.to_string() })?;
        let starts = matches!(record, RolloutRecord::Checkpoint { .. });
        let at = self.next;
        let database = self.database()?;
        let kept = || -> Result<Result<(), StaleToken>, redb::Error> {
            let write = database.begin_write()?;
            {
                if let Some(by) = by {
                    let mut newest = write.open_table(NEWEST)?;
                    if let Err(old) = FencingGuard::with_highest(kept_token(&newest)?).admit(by) {
                        return Ok(Err(old));
                    }
                    newest.insert((), (by.term, by.holder.number, by.holder.incarnation))?;
                }
                let mut table = write.open_table(RECORDS)?;
                if starts {
                    table.retain(|_, _| false)?;
                }
                table.insert(at, &*bytes)?;
            }
            write.commit()?;
            Ok(Ok(()))
        };
        match kept() {
            Ok(kept) => kept?,
            Err(why) => {
                self.database = None;
                return Err(ControllerLogError::Write(why));
            }
        }
        self.next += 1;
        Ok(())
    }
}

fn opened(file: &Path) -> Result<Database, redb::Error> {
    let database = Database::create(file)?;
    let write = database.begin_write()?;
    write.open_table(RECORDS)?;
    write.open_table(NEWEST)?;
    write.commit()?;
    Ok(database)
}

fn kept_token(from: &impl ReadableTable<(), (u64, u32, u64)>) -> Result<FencingToken, redb::StorageError> {
    let kept = from.get(())?.map(|kept| kept.value());
    Ok(kept.map_or(FencingToken::default(), |(term, number, life)| FencingToken {
        term,
        holder: Member { number, incarnation: life },
    }))
}
