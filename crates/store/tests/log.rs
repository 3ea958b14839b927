//! The log on disk, and a driver that goes on from it.

use sablecross_duty::{Member, Token};
use sablecross_hierarchy::{Act, Driver, Input, Record, spec};
use sablecross_store::Log;

const OLD: &str = r#"(hierarchy (version . 1) (ceiling . 500) (hold-ms . 1) (settle-ms . 1))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "a") (tier . 1) (sources "o") (capacity . 900) (hit . 0.5))
(node (name . "e") (tier . 2) (sources "a") (capacity . 900) (demand . 100) (hit . 0.5))"#;

#[test]
fn what_was_written_is_there_after_an_end_at_any_entry() {
    let folder = tempfile::tempdir().unwrap();
    let (number, old) = spec::read("old", OLD, None).unwrap();
    let new =
        spec::read("new", &OLD.replace("(sources \"a\")", "(sources \"a\" \"o\")"), Some(&old)).unwrap().1;
    let mut ends = 0;
    for end in 0..8 {
        let file = folder.path().join(format!("{end}.redb"));
        let mut kept = 0;
        let mut driver = Driver::new(number, old.clone(), ["d".into()]).unwrap();
        driver.hear(Input::Propose { aim: new.clone() }, 0).unwrap();
        let mut log = Log::open(&file).unwrap().0;
        for act in driver.acts() {
            if let Act::Write(record) = act
                && kept < end
            {
                log.write(&record).unwrap();
                kept += 1;
            }
        }
        // One writer at a time.
        assert!(Log::open(&file).is_err());
        drop(log);
        let (log, records) = Log::open(&file).unwrap();
        assert_eq!(records.len(), kept);
        drop(log);
        let recovered = Driver::recover(&records, ["d".into()], 0);
        assert_eq!(recovered.is_ok(), kept > 0);
        if let Ok(driver) = recovered {
            // The step that was kept is told again, under its number.
            assert_eq!(driver.told().0, if kept >= 3 { 2 } else { 1 });
            ends += 1;
        }
    }
    assert_eq!(ends, 7);
}

#[test]
fn a_start_makes_what_was_before_needless() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("log.redb");
    let (number, old) = spec::read("old", OLD, None).unwrap();
    let start = |n| Record::Start { number: n, next_change: 1, version: spec::Told::of(n, &old) };
    let mut log = Log::open(&file).unwrap().0;
    for n in number..number + 5 {
        log.write(&start(n)).unwrap();
        log.write(&Record::InForce { number: n }).unwrap();
    }
    drop(log);
    let records = Log::open(&file).unwrap().1;
    assert_eq!(records, [start(number + 4), Record::InForce { number: number + 4 }]);
    std::fs::write(&file, b"no database").unwrap();
    assert!(Log::open(&file).is_err());
}

#[test]
fn an_old_owner_writes_nothing_and_is_told_so() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fenced.redb");
    let (number, old) = spec::read("old", OLD, None).unwrap();
    let start = Record::Start { number, next_change: 1, version: spec::Told::of(number, &old) };
    let token = |term, number| Token { term, owner: Member { number, life: 1 } };
    let mut log = Log::open(&file).unwrap().0;
    assert_eq!(log.newest().unwrap(), Token::default());
    // (term, owner, taken): of two owners of one term the first is it.
    let cases = [(3, 1, true), (3, 1, true), (2, 2, false), (3, 2, false), (4, 2, true), (3, 1, false)];
    for (term, owner, taken) in cases {
        let said = log.write_as(token(term, owner), &start);
        assert_eq!(said.is_ok(), taken, "term {term} of {owner}: {said:?}");
        if let Err(e) = said {
            assert!(e.to_string().contains("claim the duty anew"), "{e}");
        }
    }
    drop(log);
    // Kept with what was written: an owner that slept through a restart of the log is refused as well.
    let (mut log, records) = Log::open(&file).unwrap();
    assert_eq!((records.len(), log.newest().unwrap()), (1, token(4, 2)));
    assert!(log.write_as(token(3, 1), &start).is_err());
    log.write(&start).unwrap();
    assert_eq!(log.newest().unwrap(), token(4, 2), "what has no owner changes none");
}
