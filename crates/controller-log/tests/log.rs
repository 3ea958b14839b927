//! The log on disk, and a driver that goes on from it.

use sablecross_controller_log::ControllerLog;
use sablecross_coordination::{FencingToken, Member};
use sablecross_hierarchy::{Rollout, RolloutAction, RolloutInput, RolloutRecord, spec};

const OLD: &str = r#"(hierarchy (version . 1) (ceiling . 500) (hold-ms . 1) (settle-ms . 1))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "a") (tier . 1) (sources "o") (capacity . 900) (hit . 0.5))
(node (name . "e") (tier . 2) (sources "a") (capacity . 900) (demand . 100) (hit . 0.5))"#;

#[test]
fn what_was_written_is_there_after_an_end_at_any_entry() {
    let folder = tempfile::tempdir().unwrap();
    let (number, old) = spec::parse_settings("old", OLD, None).unwrap();
    let new =
        spec::parse_settings("new", &OLD.replace("(sources \"a\")", "(sources \"a\" \"o\")"), Some(&old))
            .unwrap()
            .1;
    let mut ends = 0;
    for end in 0..8 {
        let file = folder.path().join(format!("{end}.redb"));
        let mut kept = 0;
        let mut driver = Rollout::new(number, old.clone(), ["d".into()]).unwrap();
        driver.handle(RolloutInput::Propose { target: new.clone() }, 0).unwrap();
        let mut log = ControllerLog::open(&file).unwrap().0;
        for act in driver.take_actions() {
            if let RolloutAction::Persist(record) = act
                && kept < end
            {
                log.append(&record).unwrap();
                kept += 1;
            }
        }
        // One writer at a time.
        assert!(ControllerLog::open(&file).is_err());
        drop(log);
        let (log, records) = ControllerLog::open(&file).unwrap();
        assert_eq!(records.len(), kept);
        drop(log);
        let recovered = Rollout::recover(&records, ["d".into()], 0);
        assert_eq!(recovered.is_ok(), kept > 0);
        if let Ok(driver) = recovered {
            // The step that was kept is told again, under its number.
            assert_eq!(driver.published().0, if kept >= 3 { 2 } else { 1 });
            ends += 1;
        }
    }
    assert_eq!(ends, 7);
}

#[test]
fn a_start_makes_what_was_before_needless() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("log.redb");
    let (number, old) = spec::parse_settings("old", OLD, None).unwrap();
    let start = |n| RolloutRecord::Checkpoint {
        number: n,
        next_change: 1,
        version: spec::HierarchySpec::from_hierarchy(n, &old),
    };
    let mut log = ControllerLog::open(&file).unwrap().0;
    for n in number..number + 5 {
        log.append(&start(n)).unwrap();
        log.append(&RolloutRecord::StepCommitted { number: n }).unwrap();
    }
    drop(log);
    let records = ControllerLog::open(&file).unwrap().1;
    assert_eq!(records, [start(number + 4), RolloutRecord::StepCommitted { number: number + 4 }]);
    std::fs::write(&file, b"no database").unwrap();
    assert!(ControllerLog::open(&file).is_err());
}

#[test]
fn an_old_owner_writes_nothing_and_is_told_so() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fenced.redb");
    let (number, old) = spec::parse_settings("old", OLD, None).unwrap();
    let start = RolloutRecord::Checkpoint {
        number,
        next_change: 1,
        version: spec::HierarchySpec::from_hierarchy(number, &old),
    };
    let token = |term, number| FencingToken { term, holder: Member { number, incarnation: 1 } };
    let mut log = ControllerLog::open(&file).unwrap().0;
    assert_eq!(log.newest_token().unwrap(), FencingToken::default());
    // (term, owner, taken): of two owners of one term the first is it.
    let cases = [(3, 1, true), (3, 1, true), (2, 2, false), (3, 2, false), (4, 2, true), (3, 1, false)];
    for (term, owner, taken) in cases {
        let said = log.append_as(token(term, owner), &start);
        assert_eq!(said.is_ok(), taken, "term {term} of {owner}: {said:?}");
        if let Err(e) = said {
            assert!(e.to_string().contains("acquire the lease again"), "{e}");
        }
    }
    drop(log);
    // Kept with what was written: an owner that slept through a restart of the log is refused as well.
    let (mut log, records) = ControllerLog::open(&file).unwrap();
    assert_eq!((records.len(), log.newest_token().unwrap()), (1, token(4, 2)));
    assert!(log.append_as(token(3, 1), &start).is_err());
    log.append(&start).unwrap();
    assert_eq!(log.newest_token().unwrap(), token(4, 2), "what has no owner changes none");
}
