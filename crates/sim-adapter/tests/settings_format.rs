//! Checks the settings that the simulator sends: every key that is read, with every kind of value that it accepts.

use sablecross::{DeduplicationScope, Effect, RequestClass, Settings};
use sablecross_inflight::settings;

const SETTINGS: &str = include_str!("data/settings.txt");

/// A part of the settings text, its replacement, and the effect on the decoded settings.
type Change = (&'static str, &'static str, fn(&mut Settings));

fn decode(text: &str) -> Result<Settings, String> {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    settings::decode(&pairs.map(|(path, value)| (path.to_owned(), value.to_owned())).collect())
        .map_err(|error| error.to_string())
}

/// The settings that `data/settings.txt` decodes to.
fn expected_settings() -> Settings {
    let idempotent = RequestClass {
        latency_objective: 250_000_000,
        latency_objective_stretch: None,
        priority_weight: 1.0,
        effect: Effect::Idempotent,
        fresh_for: 0,
        stale_for: 0,
        is_multipart: false,
        is_uncacheable: false,
    };
    Settings {
        zone: 2,
        director_index: 0,
        directors_per_zone: vec![0, 0, 1],
        request_classes: vec![
            idempotent.clone(),
            RequestClass {
                effect: Effect::Deduplicated { within: DeduplicationScope::All, window: 5_000_000_000 },
                ..idempotent.clone()
            },
            RequestClass {
                priority_weight: 2.0,
                effect: Effect::SideEffecting,
                is_uncacheable: true,
                ..idempotent.clone()
            },
            RequestClass {
                latency_objective: 400_000_000,
                latency_objective_stretch: Some(1.6),
                fresh_for: 20_000_000_000,
                stale_for: 30_000_000_000,
                is_multipart: true,
                ..idempotent
            },
        ],
        parent_kind: Some(1),
        origin_kind: 2,
        must_subscribe_to_endpoint_list: true,
        may_cancel: true,
        may_hedge: true,
        may_send_retry_after: true,
        max_retry_after: 2_000_000_000,
        max_attempts: 6,
        slow_start_initial_share: 0.23,
        slow_start_window: 18_000_000_000,
        collapse_multiple: 3.0,
        parent_slow_start_initial_share: 0.078,
        parent_slow_start_window: 20_000_000_000,
        parent_collapse_multiple: 2.0,
        stream_kb_per_s: 2_700.0,
        may_bypass_cache: true,
        may_coalesce: true,
        purge_propagation_window: 6_000_000_000,
        tick: 2_000_000,
    }
}

#[test]
fn decodes_every_setting_from_its_key() {
    assert_eq!(decode(SETTINGS), Ok(expected_settings()));
    let changes: [Change; 16] = [
        ("az=2", "az=1", |s| s.zone = 1),
        ("index=0", "index=4", |s| s.director_index = 4),
        ("zoneBalancers=0,0,1", "zoneBalancers=3,0,1", |s| s.directors_per_zone = vec![3, 0, 1]),
        ("midKind=1", "midKind=-1", |s| s.parent_kind = None),
        ("masterKind=2", "masterKind=0", |s| s.origin_kind = 0),
        ("discovery=on_request", "discovery=pushed", |s| s.must_subscribe_to_endpoint_list = false),
        ("mayCancel=true", "mayCancel=false", |s| s.may_cancel = false),
        ("parallelTries=true", "parallelTries=false", |s| s.may_hedge = false),
        ("retryAfter=true", "retryAfter=false", |s| s.may_send_retry_after = false),
        ("direct=true", "direct=false", |s| s.may_bypass_cache = false),
        ("joins=true", "joins=false", |s| s.may_coalesce = false),
        ("periodUs=2000", "periodUs=5000", |s| s.tick = 5_000_000),
        // Durations of more than 366 days are clamped.
        ("clearedWithinUs=6000000", "clearedWithinUs=99999999999999", |s| {
            s.purge_propagation_window = 366 * 86_400 * 1_000_000_000;
        }),
        ("group=all", "group=zone", |s| {
            s.request_classes[1].effect =
                Effect::Deduplicated { within: DeduplicationScope::Zone, window: 5_000_000_000 };
        }),
        ("group=all", "group=cell", |s| {
            s.request_classes[1].effect =
                Effect::Deduplicated { within: DeduplicationScope::Cell, window: 5_000_000_000 };
        }),
        ("aimStretch=1.6", "aimStretch=0", |s| s.request_classes[3].latency_objective_stretch = Some(0.0)),
    ];
    for (from, to, change) in changes {
        let mut settings = expected_settings();
        change(&mut settings);
        assert!(SETTINGS.contains(from), "{from}");
        assert_eq!(decode(&SETTINGS.replace(from, to)), Ok(settings), "{to}");
    }
}

/// All keys are required except `report.names` and the stretch of a class's latency objective; the error names the
/// missing key.
#[test]
fn error_names_the_missing_key() {
    for line in SETTINGS.lines() {
        let (key, _) = line.split_once('=').expect("a key and a value");
        let without: Vec<&str> = SETTINGS.lines().filter(|other| *other != line).collect();
        let decoded = decode(&without.join("\n"));
        if key.ends_with("aimStretch") || key == "report.names" {
            assert!(decoded.is_ok(), "{key}");
        } else {
            assert_eq!(decoded, Err(format!("setting missing: {key}")));
        }
    }
}

#[test]
fn error_names_the_key_and_its_invalid_value() {
    let cases = [
        ("az=2", "az=x", "bad setting: az=x"),
        ("az=2", "az=9", "bad setting: extra.zoneBalancers has no item 9, which az names"),
        ("classes.count=4", "classes.count=0", "bad setting: classes.count=0"),
        ("0.effect=idempotent", "0.effect=once", "bad setting: classes.0.effect=once"),
        ("group=all", "group=rack", "bad setting: classes.1.group=rack"),
        ("freshForUs=0,0,0,20000000", "freshForUs=0,0", "bad setting: extra.freshForUs has no item 2"),
        ("multiPart=false,", "multiPart=no,", "bad setting: extra.multiPart=no,false,false,true"),
        ("coldFrom=0.23", "coldFrom=1.5", "bad setting: guarantees.coldFrom=1.5"),
        ("streamKbPerS=2700.0", "streamKbPerS=-1", "bad setting: extra.streamKbPerS=-1"),
        ("streamKbPerS=2700.0", "streamKbPerS=inf", "bad setting: extra.streamKbPerS=inf"),
    ];
    for (from, to, error) in cases {
        assert!(SETTINGS.contains(from), "{from}");
        assert_eq!(decode(&SETTINGS.replacen(from, to, 1)), Err(error.to_owned()), "{to}");
    }
}

/// Load reports are decoded by the names of their values, notes by their numbers.
#[test]
fn decodes_load_reports_and_cache_notes() {
    let report = [("active", 3.0), ("cpu", 0.5), ("x0", 0.1), ("x1", 0.75)];
    let load = settings::load_report(report.into_iter());
    assert_eq!((load.cpu_utilization, load.link_utilization), (Some(0.5), Some(0.75)));
    let load = settings::load_report([("cpu", f64::NAN), ("rps", 7.0)].into_iter());
    assert_eq!((load.cpu_utilization, load.link_utilization), (None, None));
    let hits = [None, Some(true), Some(false), Some(false), Some(false), Some(true), None, None];
    for (note, hit) in hits.into_iter().enumerate() {
        assert_eq!(settings::is_cache_hit(note as u32), hit, "{note}");
    }
}
