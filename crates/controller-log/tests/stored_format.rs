//! The stored form of the log: each record as JSON, the tables of the database, and a file written by an earlier
//! version of the program.

use std::path::Path;

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use sablecross_controller_log::ControllerLog;
use sablecross_coordination::{FencingToken, Member};
use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{RolloutOutcome, RolloutRecord};

/// A version in which each field has a different value, and in which one node has the default values.
const SPEC: &str = r#"{"head":{"version":3,"ceiling":500.0,"margin":0.1,"cold-from":0.3,"warm-after-ms":21000,"fall-multiple":2.5,"siblings":true,"hold-ms":1,"settle-ms":2,"give-up-ms":30001},"nodes":[{"name":"o","tier":0,"sources":[],"capacity":900.0,"demand":0.0,"hit":0.0,"share":256,"since-ms":0},{"name":"e","tier":2,"sources":["o"],"capacity":800.0,"demand":100.0,"hit":0.5,"share":64,"since-ms":7}]}"#;

fn spec() -> HierarchySpec {
    serde_json::from_str(SPEC).expect("a version")
}

/// One record of each variant, with and without optional fields. `SPEC` stands for the JSON of the version.
fn examples() -> Vec<(RolloutRecord, &'static str)> {
    let version = spec();
    let ended = |change, outcome| RolloutRecord::Ended { change, outcome };
    vec![
        (
            RolloutRecord::Checkpoint { number: 4, next_change: 9, version: version.clone() },
            r#"{"start":{"number":4,"next_change":9,"version":SPEC}}"#,
        ),
        (
            RolloutRecord::Started { change: 9, target: version.clone(), baseline: version.clone() },
            r#"{"begun":{"change":9,"aim":SPEC,"home":SPEC}}"#,
        ),
        (
            RolloutRecord::StepStarted { change: 9, number: 5, is_rollback: false, version: version.clone() },
            r#"{"step":{"change":9,"number":5,"back":false,"version":SPEC}}"#,
        ),
        (RolloutRecord::StepCommitted { number: 5 }, r#"{"in-force":{"number":5}}"#),
        (RolloutRecord::Queued { target: Some(version.clone()) }, r#"{"waits":{"aim":SPEC}}"#),
        (RolloutRecord::Queued { target: None }, r#"{"waits":{"aim":null}}"#),
        (RolloutRecord::RollbackStarted { change: 9 }, r#"{"back":{"change":9}}"#),
        (
            RolloutRecord::StepStarted { change: 9, number: 6, is_rollback: true, version },
            r#"{"step":{"change":9,"number":6,"back":true,"version":SPEC}}"#,
        ),
        (ended(9, RolloutOutcome::RolledBack), r#"{"ended":{"change":9,"how":"rolled-back"}}"#),
        (ended(10, RolloutOutcome::Completed), r#"{"ended":{"change":10,"how":"done"}}"#),
        (ended(11, RolloutOutcome::Superseded), r#"{"ended":{"change":11,"how":"superseded"}}"#),
        (ended(12, RolloutOutcome::Abandoned), r#"{"ended":{"change":12,"how":"left"}}"#),
    ]
}

#[test]
fn record_encodings_are_unchanged() {
    for (record, text) in examples() {
        let text = text.replace("SPEC", SPEC);
        assert_eq!(serde_json::to_string(&record).expect("encoded"), text);
        assert_eq!(serde_json::from_str::<RolloutRecord>(&text).expect("decoded"), record);
    }
}

/// The content of the tables.
#[derive(Debug, PartialEq)]
struct Tables {
    records: Vec<(u64, String)>,
    /// The term, and the number and incarnation of the holder.
    newest_token: Option<(u64, u32, u64)>,
}

/// Reads the tables without this crate, by their names and types only.
fn read_tables(file: &Path) -> Tables {
    let database = Database::open(file).expect("opened");
    let read = database.begin_read().expect("read");
    let records = read.open_table(TableDefinition::<u64, &[u8]>::new("records")).expect("the records");
    let newest = read.open_table(TableDefinition::<(), (u64, u32, u64)>::new("newest")).expect("the token");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
    let records = records.iter().expect("entries").map(|entry| {
        let (at, bytes) = entry.expect("an entry");
        (at.value(), text(bytes.value()))
    });
    let newest_token = newest.get(()).expect("read").map(|token| token.value());
    Tables { records: records.collect(), newest_token }
}

/// The tables after `write_examples`.
fn example_tables() -> Tables {
    let texts = examples().into_iter().map(|(_, text)| text.replace("SPEC", SPEC));
    let records = texts.enumerate().map(|(index, text)| (index as u64, text)).collect();
    Tables { records, newest_token: Some((7, 2, 1_700_000_000_123)) }
}

fn token(term: u64) -> FencingToken {
    FencingToken { term, holder: Member { number: 2, incarnation: 1_700_000_000_123 } }
}

/// Writes all examples in the way in which `data/log-0.1.0.redb` was written.
fn write_examples(file: &Path) {
    let (mut log, before) = ControllerLog::open(file).expect("opened");
    assert!(before.is_empty());
    for (record, _) in examples() {
        log.append_as(token(7), &record).expect("written");
    }
}

#[test]
fn database_tables_are_unchanged() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("log.redb");
    drop(ControllerLog::open(&file).expect("opened"));
    assert_eq!(read_tables(&file), Tables { records: Vec::new(), newest_token: None });
    write_examples(&file);
    assert_eq!(read_tables(&file), example_tables());
}

/// `data/log-0.1.0.redb` was written by `write_examples` with the program of commit 6b53750 (version 0.1.0, redb 4)
/// into a new file, and then compacted with `redb::Database::compact`. The file must never be written again, because
/// it shows that later versions of the program can read it.
#[test]
fn log_of_an_earlier_program_version_is_read_and_continued() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("log.redb");
    let old = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/log-0.1.0.redb");
    std::fs::write(&file, std::fs::read(old).expect("the old file")).expect("copied");
    assert_eq!(read_tables(&file), example_tables());

    let (mut log, records) = ControllerLog::open(&file).expect("opened");
    let mut expected: Vec<RolloutRecord> = examples().into_iter().map(|(record, _)| record).collect();
    assert_eq!(records, expected);
    assert_eq!(log.newest_token().expect("read"), token(7));

    // New records follow the existing ones, and an older token is still rejected.
    let next = RolloutRecord::StepCommitted { number: 8 };
    assert!(log.append_as(token(6), &next).is_err());
    log.append_as(token(8), &next).expect("written");
    drop(log);
    let (mut log, records) = ControllerLog::open(&file).expect("opened again");
    expected.push(next);
    assert_eq!(records, expected);
    assert_eq!(log.newest_token().expect("read"), token(8));
    drop(log);
    let tables = read_tables(&file);
    assert_eq!(tables.records.last(), Some(&(12, r#"{"in-force":{"number":8}}"#.into())));
    assert_eq!(tables.newest_token, Some((8, 2, 1_700_000_000_123)));
}
