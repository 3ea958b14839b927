//! The log on disk, and the recovery of a rollout from it.

use std::path::Path;

use sablecross_controller_log::{ControllerLog, ControllerLogError};
use sablecross_coordination::{FencingToken, Member};
use sablecross_hierarchy::spec::{HierarchySpec, parse_settings};
use sablecross_hierarchy::{Hierarchy, Rollout, RolloutAction, RolloutInput, RolloutRecord};

const SETTINGS: &str = r#"(hierarchy (version . 1) (ceiling . 500) (hold-ms . 1) (settle-ms . 1))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "a") (tier . 1) (sources "o") (capacity . 900) (hit . 0.5))
(node (name . "e") (tier . 2) (sources "a") (capacity . 900) (demand . 100) (hit . 0.5))"#;

fn first_version() -> (u64, Hierarchy) {
    parse_settings("first", SETTINGS, None).unwrap()
}

/// Returns the first version with another source added to one node.
fn second_version(first: &Hierarchy) -> Hierarchy {
    let settings = SETTINGS.replace("(sources \"a\")", "(sources \"a\" \"o\")");
    parse_settings("second", &settings, Some(first)).unwrap().1
}

fn checkpoint(number: u64, version: &Hierarchy) -> RolloutRecord {
    let version = HierarchySpec::from_hierarchy(number, version);
    RolloutRecord::Checkpoint { number, next_change: 1, version }
}

/// Returns the records of a rollout whose change has started.
fn records_of_a_change() -> Vec<RolloutRecord> {
    let (number, first) = first_version();
    let mut rollout = Rollout::new(number, first.clone(), ["d".into()]).unwrap();
    rollout.handle(RolloutInput::Propose { target: second_version(&first) }, 0).unwrap();
    let records = rollout.take_actions().into_iter().filter_map(|action| match action {
        RolloutAction::Persist(record) => Some(record),
        _ => None,
    });
    records.collect()
}

fn read_back(file: &Path) -> Vec<RolloutRecord> {
    ControllerLog::open(file).unwrap().1
}

#[test]
fn any_number_of_records_is_read_back() {
    let directory = tempfile::tempdir().unwrap();
    let records = records_of_a_change();
    assert_eq!(records.len(), 3, "{records:?}");
    for written in 0..=records.len() {
        let file = directory.path().join(format!("{written}.redb"));
        let mut log = ControllerLog::open(&file).unwrap().0;
        for record in &records[..written] {
            log.append(record).unwrap();
        }
        // Only one process at a time can have the log open.
        assert!(matches!(ControllerLog::open(&file), Err(ControllerLogError::Open { .. })));
        drop(log);
        let read = read_back(&file);
        assert_eq!(read, records[..written]);
        let recovered = Rollout::recover(&read, ["d".into()], 0);
        assert_eq!(recovered.is_ok(), written > 0);
        if let Ok(rollout) = recovered {
            // A step whose record was stored is published again with the same number.
            assert_eq!(rollout.published().number, if written == 3 { 2 } else { 1 });
        }
    }
}

#[test]
fn a_checkpoint_removes_earlier_records() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("log.redb");
    let (number, version) = first_version();
    let mut log = ControllerLog::open(&file).unwrap().0;
    for number in number..number + 5 {
        log.append(&checkpoint(number, &version)).unwrap();
        log.append(&RolloutRecord::StepCommitted { number }).unwrap();
    }
    drop(log);
    let last = number + 4;
    assert_eq!(read_back(&file), [checkpoint(last, &version), RolloutRecord::StepCommitted { number: last }]);
}

#[test]
fn opening_a_file_that_is_not_a_database_fails() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("log.redb");
    std::fs::write(&file, b"no database").unwrap();
    let error = ControllerLog::open(&file).map(|_| ()).unwrap_err();
    assert!(matches!(error, ControllerLogError::Open { .. }), "{error}");
    assert!(error.to_string().contains("log.redb: the log can't be opened"), "{error}");
}

#[test]
fn error_names_the_index_of_a_damaged_record() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("log.redb");
    drop(ControllerLog::open(&file).unwrap());
    let database = redb::Database::open(&file).unwrap();
    let transaction = database.begin_write().unwrap();
    let records = redb::TableDefinition::<u64, &[u8]>::new("records");
    transaction.open_table(records).unwrap().insert(7, &b"{\"odd\":1}"[..]).unwrap();
    transaction.commit().unwrap();
    drop(database);
    let error = ControllerLog::open(&file).map(|_| ()).unwrap_err();
    assert!(matches!(error, ControllerLogError::Decode { index: 7, .. }), "{error}");
    assert!(error.to_string().starts_with("entry 7 of the log can't be read: unknown variant"), "{error}");
}

#[test]
fn former_holders_are_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("fenced.redb");
    let (number, version) = first_version();
    let record = checkpoint(number, &version);
    let token = |term, number| FencingToken { term, holder: Member { number, incarnation: 1 } };
    let mut log = ControllerLog::open(&file).unwrap().0;
    assert_eq!(log.newest_token().unwrap(), FencingToken::default());
    // Each entry: term, holder, whether the record is stored. Of two holders of one term, only the first is admitted.
    let cases = [(3, 1, true), (3, 1, true), (2, 2, false), (3, 2, false), (4, 2, true), (3, 1, false)];
    let mut newest = FencingToken::default();
    for (term, holder, is_stored) in cases {
        let token = token(term, holder);
        let result = log.append_as(token, &record);
        assert_eq!(result.is_ok(), is_stored, "term {term} of {holder}: {result:?}");
        match result {
            Ok(()) => newest = token,
            Err(error) => {
                assert!(matches!(error, ControllerLogError::StaleToken(_)), "{error}");
                assert!(error.to_string().contains("acquire the lease again"), "{error}");
                // The error names the term that the next lease has to exceed.
                assert!(error.to_string().contains(&format!("term {} of member", newest.term)), "{error}");
            }
        }
        assert_eq!(log.newest_token().unwrap(), newest);
    }
    drop(log);
    // The token is stored with the records, so that a delayed former holder is rejected after the log was reopened,
    // too.
    let (mut log, records) = ControllerLog::open(&file).unwrap();
    assert_eq!((records.len(), log.newest_token().unwrap()), (1, token(4, 2)));
    assert!(log.append_as(token(3, 1), &record).is_err());
    log.append(&record).unwrap();
    assert_eq!(log.newest_token().unwrap(), token(4, 2), "a record without a token keeps the newest token");
}
