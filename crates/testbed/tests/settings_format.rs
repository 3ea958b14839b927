//! The settings forms of trials: the spelling of every key in files, and the default values of omitted keys.

use sablecross_testbed::{fleet, scale, settings};

/// Parsed settings as JSON, with the names of their keys.
fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the settings can be encoded")
}

#[test]
fn every_key_of_an_experiment_is_parsed() {
    let text = r#"(experiment (name . "all") (seed . 7) (seconds . 60) (warm-up . 5) (directors . 3) (caches . 18) (uppers . 11)
        (rate . 300) (objects . 8000) (kept . 180) (ceiling . 200.0) (hit . 0.25) (rewirings . 6) (chains . #f) (plan . #f)
        (faults . #t) (ways . #t) (purges . 2))"#;
    let read = settings::parse("all.scm", text).expect("valid settings");
    let expected = r#"{"name":"all","seed":7,"seconds":60,"warm-up":5,"directors":3,"caches":18,"uppers":11,"rate":300,"objects":8000,"kept":180,"ceiling":200.0,"hit":0.25,"rewirings":6,"chains":false,"plan":false,"faults":true,"ways":true,"purges":2}"#;
    assert_eq!(json(&read), expected);
}

#[test]
fn omitted_keys_of_an_experiment_get_their_defaults() {
    let text = r#"(experiment (name . "few") (seconds . 60) (directors . 3) (caches . 18) (uppers . 11) (rate . 300)
        (objects . 8000) (kept . 180) (ceiling . 200.0))"#;
    let read = settings::parse("few.scm", text).expect("valid settings");
    let expected = r#"{"name":"few","seed":0,"seconds":60,"warm-up":3,"directors":3,"caches":18,"uppers":11,"rate":300,"objects":8000,"kept":180,"ceiling":200.0,"hit":0.5,"rewirings":0,"chains":true,"plan":true,"faults":false,"ways":false,"purges":0}"#;
    assert_eq!(json(&read), expected);
}

#[test]
fn every_key_of_a_fleet_trial_is_parsed() {
    let text = r#"(fleet (name . "all") (seed . 7) (seconds . 70) (warm-up . 6) (directors . 100) (caches . 12) (parents . 5)
        (rate . 300.0) (objects . 20000) (kept . 600) (load . 0.5) (hits . 0.4) (uneven . 2.0) (speeds . 0.1) (hot . 0.2)
        (late-lists . 3.0) (most . 2.5) (least . 0.1) (satisfied . 0.6)
        (duties ((voters . 5) (lease-ms . 1000) (beat-ms . 400) (probe-ms . 500) (rounds . 12) (round-s . 6.0) (warming . #t)
                 (change-s . 9.0) (gap-s . 4.0) (burst . 3.0) (no-gate . #t)))
        (faults ((kind . stop-caches) (at . 1.0) (lasts . 2.0) (of . 0.5) (by . 3.0))))"#;
    let read = fleet::settings::parse("all.scm", text).expect("valid settings");
    let expected = r#"{"name":"all","seed":7,"seconds":70,"warm-up":6,"directors":100,"caches":12,"parents":5,"rate":300.0,"objects":20000,"kept":600,"load":0.5,"hits":0.4,"uneven":2.0,"speeds":0.1,"hot":0.2,"late-lists":3.0,"duties":{"voters":5,"lease-ms":1000,"beat-ms":400,"probe-ms":500,"rounds":12,"round-s":6.0,"warming":true,"change-s":9.0,"gap-s":4.0,"burst":3.0,"no-gate":true},"faults":[{"kind":"stop-caches","at":1.0,"lasts":2.0,"of":0.5,"by":3.0}],"most":2.5,"least":0.1,"satisfied":0.6}"#;
    assert_eq!(json(&read), expected);
}

#[test]
fn omitted_keys_of_a_fleet_trial_get_their_defaults() {
    let text = r#"(fleet (name . "few") (seconds . 70) (directors . 100) (caches . 12) (parents . 5) (rate . 300.0)
        (objects . 20000) (kept . 600)
        (duties ((voters . 5) (lease-ms . 1000) (beat-ms . 400) (probe-ms . 500))))"#;
    let read = fleet::settings::parse("few.scm", text).expect("valid settings");
    let expected = r#"{"name":"few","seed":0,"seconds":70,"warm-up":4,"directors":100,"caches":12,"parents":5,"rate":300.0,"objects":20000,"kept":600,"load":0.6,"hits":0.5,"uneven":1.0,"speeds":0.0,"hot":0.0,"late-lists":0.0,"duties":{"voters":5,"lease-ms":1000,"beat-ms":400,"probe-ms":500,"rounds":0,"round-s":5.0,"warming":false,"change-s":0.0,"gap-s":600.0,"burst":100.0,"no-gate":false},"faults":[],"most":100.0,"least":0.0,"satisfied":0.0}"#;
    assert_eq!(json(&read), expected);
}

/// The JSON of a fault of this kind, parsed in a trial that has coordination and can have every kind of fault.
fn fleet_fault_json(kind: &str) -> String {
    let text = format!(
        r#"(fleet (name . "k") (seconds . 70) (directors . 100) (caches . 12) (parents . 5) (rate . 300.0) (objects . 20000)
            (kept . 600) (duties ((voters . 5) (lease-ms . 1000) (beat-ms . 400) (probe-ms . 500)))
            (faults ((kind . {kind}) (at . 1.0))))"#
    );
    json(&fleet::settings::parse("k.scm", &text).expect("valid settings").faults)
}

#[test]
fn every_fault_kind_of_a_fleet_trial_is_parsed() {
    let kinds = [
        "stop-caches",
        "stop-parents",
        "slow-caches",
        "slow-parents",
        "crash-caches",
        "cut-to",
        "cut-from",
        "reset",
        "stop-directors",
        "kill-directors",
        "stop-voters",
        "kill-voters",
        "stop-owner",
        "kill-owner",
        "stop-driver",
        "kill-driver",
        "hold-to",
        "hold-from",
        "part",
        "reset-ways",
        "hold-probes",
    ];
    for kind in kinds {
        let expected = format!(r#"[{{"kind":"{kind}","at":1.0,"lasts":1.0,"of":0.0,"by":1.0}}]"#);
        assert_eq!(fleet_fault_json(kind), expected);
    }
}

#[test]
fn every_key_of_a_scale_trial_is_parsed() {
    let text = r#"(scale (name . "all") (seed . 7) (seconds . 100) (warm-up . 6) (settle . 20) (hollow . 400) (processes . 2)
        (real . 5) (relays . 13) (voters . 5) (regions . 4) (feeds . 3) (nodes . 490) (zones . 64) (purges . 35.0)
        (changes . 0.25) (ack-ms . 1500) (batch-ms . 90) (held-ms . 4000) (purge-within . 8.0) (change-within . 4.0)
        (core . 0.02) (memory-mb . 60.0) (bytes . 6000.0) (relay-core . 0.5)
        (faults ((kind . restart-directors) (at . 5.0) (lasts . 9.0) (of . 0.5) (count . 480))))"#;
    let read = scale::settings::parse("all.scm", text).expect("valid settings");
    let expected = r#"{"name":"all","seed":7,"seconds":100,"warm-up":6,"settle":20,"hollow":400,"processes":2,"real":5,"relays":13,"voters":5,"regions":4,"feeds":3,"nodes":490,"zones":64,"purges":35.0,"changes":0.25,"ack-ms":1500,"batch-ms":90,"held-ms":4000,"purge-within":8.0,"change-within":4.0,"core":0.02,"memory-mb":60.0,"bytes":6000.0,"relay-core":0.5,"faults":[{"kind":"restart-directors","at":5.0,"lasts":9.0,"of":0.5,"count":480}]}"#;
    assert_eq!(json(&read), expected);
}

#[test]
fn omitted_keys_of_a_scale_trial_get_their_defaults() {
    let text = r#"(scale (name . "few") (seconds . 100) (hollow . 400) (nodes . 490) (zones . 64) (purges . 35.0) (changes . 0.25))"#;
    let read = scale::settings::parse("few.scm", text).expect("valid settings");
    let expected = r#"{"name":"few","seed":0,"seconds":100,"warm-up":5,"settle":30,"hollow":400,"processes":0,"real":0,"relays":0,"voters":0,"regions":1,"feeds":4,"nodes":490,"zones":64,"purges":35.0,"changes":0.25,"ack-ms":2000,"batch-ms":100,"held-ms":120000,"purge-within":8.2,"change-within":5.0,"core":0.022,"memory-mb":64.0,"bytes":7000.0,"relay-core":1.0,"faults":[]}"#;
    assert_eq!(json(&read), expected);
}

#[test]
fn every_fault_kind_of_a_scale_trial_is_parsed() {
    let kinds = [
        "kill-relay",
        "stop-relay",
        "kill-owner",
        "stop-owner",
        "cut-to",
        "cut-from",
        "cut-region",
        "kill-directors",
        "restart-directors",
        "slow-directors",
        "burst",
    ];
    for kind in kinds {
        let text = format!(
            r#"(scale (name . "k") (seconds . 100) (hollow . 400) (relays . 13) (voters . 5) (nodes . 490) (zones . 64)
                (purges . 35.0) (changes . 0.25) (faults ((kind . {kind}) (at . 5.0))))"#
        );
        let read = scale::settings::parse("k.scm", &text).expect("valid settings");
        let expected = format!(r#"[{{"kind":"{kind}","at":5.0,"lasts":1.0,"of":0.0,"count":0}}]"#);
        assert_eq!(json(&read.faults), expected);
    }
}

/// Sets one key of a complete form to a value out of its bounds, and returns the first error.
fn bounds_error(form: &str, complete: &str, key: &str, value: &str) -> String {
    let cut = complete.find(&format!("({key} . "));
    let text = match cut {
        Some(from) => {
            let to = from + complete[from..].find(')').expect("a closed pair");
            format!("{}({key} . {value}{}", &complete[..from], &complete[to..])
        }
        None => format!("{} ({key} . {value}))", complete.strip_suffix(')').expect("a closed form")),
    };
    let errors = match form {
        "experiment" => settings::parse("f.scm", &text).map(drop),
        "fleet" => fleet::settings::parse("f.scm", &text).map(drop),
        _ => scale::settings::parse("f.scm", &text).map(drop),
    };
    errors.expect_err("a value out of bounds")[0].to_string()
}

/// Checks for each key that a value out of its bounds gives an error that names the key as the file spells it.
fn assert_errors_name_key(form: &str, complete: &str, keys: &[(&str, &str)]) {
    for (key, value) in keys {
        let error = bounds_error(form, complete, key, value);
        assert!(error.starts_with("f.scm:"), "{error}");
        assert!(error.contains(&format!(" {form}.{key}: ")), "{form}.{key}: {error}");
    }
}

#[test]
fn bounds_of_an_experiment_are_named_by_key() {
    let complete = r#"(experiment (name . "n") (seconds . 60) (directors . 3) (caches . 18) (uppers . 11) (rate . 300)
        (objects . 8000) (kept . 180) (ceiling . 200.0))"#;
    let keys = [
        ("name", "\"\""),
        ("seconds", "1"),
        ("warm-up", "601"),
        ("directors", "0"),
        ("caches", "0"),
        ("uppers", "0"),
        ("rate", "0"),
        ("objects", "0"),
        ("kept", "0"),
        ("ceiling", "0.5"),
        ("hit", "1.5"),
        ("rewirings", "1001"),
        ("purges", "101"),
    ];
    assert_errors_name_key("experiment", complete, &keys);
}

#[test]
fn bounds_of_a_fleet_trial_are_named_by_key() {
    let complete = r#"(fleet (name . "n") (seconds . 70) (directors . 100) (caches . 12) (parents . 5) (rate . 300.0)
        (objects . 20000) (kept . 600))"#;
    let keys = [
        ("name", "\"\""),
        ("seconds", "1"),
        ("warm-up", "601"),
        ("directors", "0"),
        ("caches", "0"),
        ("parents", "0"),
        ("rate", "0.5"),
        ("objects", "0"),
        ("kept", "0"),
        ("load", "0.01"),
        ("hits", "1.5"),
        ("uneven", "0.5"),
        ("speeds", "1.5"),
        ("hot", "1.5"),
        ("late-lists", "61.0"),
        ("most", "0.5"),
        ("least", "1.5"),
        ("satisfied", "1.5"),
    ];
    assert_errors_name_key("fleet", complete, &keys);
}

#[test]
fn bounds_of_a_scale_trial_are_named_by_key() {
    let complete = r#"(scale (name . "n") (seconds . 100) (hollow . 400) (nodes . 490) (zones . 64) (purges . 35.0) (changes . 0.25))"#;
    let keys = [
        ("name", "\"\""),
        ("seconds", "1"),
        ("warm-up", "601"),
        ("settle", "0"),
        ("hollow", "0"),
        ("processes", "65"),
        ("real", "201"),
        ("relays", "65"),
        ("voters", "10"),
        ("regions", "0"),
        ("feeds", "0"),
        ("nodes", "0"),
        ("zones", "0"),
        ("purges", "10001.0"),
        ("changes", "1001.0"),
        ("ack-ms", "1"),
        ("batch-ms", "0"),
        ("held-ms", "1"),
        ("purge-within", "0.01"),
        ("change-within", "0.01"),
        ("core", "1.5"),
        ("memory-mb", "0.5"),
        ("bytes", "0.5"),
        ("relay-core", "17.0"),
    ];
    assert_errors_name_key("scale", complete, &keys);
}
