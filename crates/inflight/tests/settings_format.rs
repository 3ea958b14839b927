//! Checks the settings format that operators write: every key, every value of an enumeration, and the error message for
//! each missing or invalid setting. Keys and messages are literals.

use sablecross::{DeduplicationScope, Effect, LoadReport, RequestClass, Settings};
use sablecross_inflight::settings::{self, SettingsMap};

/// Every key that is read, with a distinct value where possible, followed by keys that are not read.
const ALL_SETTINGS: [(&str, &str); 54] = [
    ("az", "1"),
    ("index", "2"),
    ("discovery", "on_request"),
    ("periodUs", "1000"),
    ("classes.count", "5"),
    ("classes.0.effect", "idempotent"),
    ("classes.0.aimUs", "300000"),
    ("classes.0.aimStretch", "1.5"),
    ("classes.0.worth", "2"),
    ("classes.1.effect", "at_most_once"),
    ("classes.1.aimUs", "200000"),
    ("classes.1.worth", "1"),
    ("classes.2.effect", "deduplicated"),
    ("classes.2.group", "all"),
    ("classes.2.memorySpanUs", "5000000"),
    ("classes.2.aimUs", "1"),
    ("classes.2.worth", "0.5"),
    ("classes.3.effect", "deduplicated"),
    ("classes.3.group", "zone"),
    ("classes.3.memorySpanUs", "6000000"),
    ("classes.3.aimUs", "2"),
    ("classes.3.worth", "0.25"),
    ("classes.4.effect", "deduplicated"),
    ("classes.4.group", "cell"),
    ("classes.4.memorySpanUs", "18446744073709551615"),
    ("classes.4.aimUs", "3"),
    ("classes.4.worth", "0"),
    ("ceilings.mayCancel", "true"),
    ("ceilings.parallelTries", "false"),
    ("ceilings.retryAfter", "true"),
    ("ceilings.maxRetryAfterUs", "2000000"),
    ("ceilings.sendCap", "6"),
    ("ceilings.dialTimeoutUs", "400000"),
    ("ceilings.keepaliveUs", "30000000"),
    ("guarantees.coldFrom", "0.25"),
    ("guarantees.warmAfterUs", "18000000"),
    ("guarantees.fallMultiple", "3"),
    ("extra.freshForUs", "0,20000000,1,2,3"),
    ("extra.usableAfterUs", "4,5,6,7,8"),
    ("extra.multiPart", "true,false,false,false,false"),
    ("extra.neverKept", "false,true,false,false,false"),
    ("extra.midKind", "1"),
    ("extra.masterKind", "2"),
    ("extra.direct", "true"),
    ("extra.joins", "false"),
    ("extra.streamKbPerS", "9000.5"),
    ("extra.clearedWithinUs", "6000000"),
    ("extra.parentStartsAt", "0.08"),
    ("extra.parentColdUs", "20000000"),
    ("extra.upperFallMultiple", "2"),
    ("extra.zoneBalancers", "3,4"),
    // These keys are not read.
    ("unheardOf.a.0", "1"),
    ("guarantees.fallUs", "1000000"),
    ("classes.0.deadlineUs", "4000000"),
];

const MAX_DURATION_NS: u64 = 31_622_400_000_000_000;

/// The settings that [`ALL_SETTINGS`] decode to.
fn expected_settings() -> Settings {
    let class = |latency_objective, latency_objective_stretch, priority_weight, effect| RequestClass {
        latency_objective,
        latency_objective_stretch,
        priority_weight,
        effect,
        fresh_for: 0,
        stale_for: 0,
        is_multipart: false,
        is_uncacheable: false,
    };
    let deduplicated = |within, window| Effect::Deduplicated { within, window };
    Settings {
        zone: 1,
        director_index: 2,
        directors_per_zone: vec![3, 4],
        request_classes: vec![
            RequestClass {
                fresh_for: 0,
                stale_for: 4_000,
                is_multipart: true,
                ..class(300_000_000, Some(1.5), 2.0, Effect::Idempotent)
            },
            RequestClass {
                fresh_for: 20_000_000_000,
                stale_for: 5_000,
                is_uncacheable: true,
                ..class(200_000_000, None, 1.0, Effect::SideEffecting)
            },
            RequestClass {
                fresh_for: 1_000,
                stale_for: 6_000,
                ..class(1_000, None, 0.5, deduplicated(DeduplicationScope::All, 5_000_000_000))
            },
            RequestClass {
                fresh_for: 2_000,
                stale_for: 7_000,
                ..class(2_000, None, 0.25, deduplicated(DeduplicationScope::Zone, 6_000_000_000))
            },
            RequestClass {
                fresh_for: 3_000,
                stale_for: 8_000,
                ..class(3_000, None, 0.0, deduplicated(DeduplicationScope::Cell, MAX_DURATION_NS))
            },
        ],
        parent_kind: Some(1),
        origin_kind: 2,
        must_subscribe_to_endpoint_list: true,
        may_cancel: true,
        may_hedge: false,
        may_send_retry_after: true,
        max_retry_after: 2_000_000_000,
        max_attempts: 6,
        slow_start_initial_share: 0.25,
        slow_start_window: 18_000_000_000,
        collapse_multiple: 3.0,
        parent_slow_start_initial_share: 0.08,
        parent_slow_start_window: 20_000_000_000,
        parent_collapse_multiple: 2.0,
        stream_kb_per_s: 9_000.5,
        may_bypass_cache: true,
        may_coalesce: false,
        purge_propagation_window: 6_000_000_000,
        tick: 1_000_000,
    }
}

/// [`ALL_SETTINGS`] with another value for `key`, or without `key` if the value is `None`.
fn settings_with(key: &str, value: Option<&str>) -> SettingsMap {
    assert!(ALL_SETTINGS.iter().any(|(k, _)| *k == key), "{key}");
    let value_of = |k: &str, v: &str| if k == key { value.map(str::to_owned) } else { Some(v.to_owned()) };
    ALL_SETTINGS.iter().filter_map(|(k, v)| Some(((*k).to_owned(), value_of(k, v)?))).collect()
}

fn error_message(map: &SettingsMap) -> Option<String> {
    settings::decode(map).err().map(|error| error.to_string())
}

#[test]
fn decodes_every_key() {
    assert_eq!(
        settings::decode(&settings_with("az", Some("1"))).expect("valid settings"),
        expected_settings()
    );
    let map = settings_with("az", Some("1"));
    assert_eq!(map.duration("ceilings.dialTimeoutUs").expect("valid settings"), 400_000_000);
    assert_eq!(map.duration("ceilings.keepaliveUs").expect("valid settings"), 30_000_000_000);
    assert_eq!(map.text("discovery").expect("valid settings"), "on_request");
    assert_eq!(map.list::<u32>("extra.zoneBalancers").expect("valid settings"), [3, 4]);
    assert_eq!(map.get::<f64>("extra.streamKbPerS").expect("valid settings"), 9_000.5);
}

#[test]
fn decodes_special_values_and_missing_optional_keys() {
    let check = |key, value, settings| {
        assert_eq!(settings::decode(&settings_with(key, value)).expect(key), settings, "{key}={value:?}");
    };
    check("extra.midKind", Some("-1"), Settings { parent_kind: None, ..expected_settings() });
    for discovery in ["pushed", "anything"] {
        check(
            "discovery",
            Some(discovery),
            Settings { must_subscribe_to_endpoint_list: false, ..expected_settings() },
        );
    }
    check("periodUs", Some("99999999999999999"), Settings { tick: MAX_DURATION_NS, ..expected_settings() });
    check("unheardOf.a.0", None, expected_settings());
    let mut without_stretch = expected_settings();
    without_stretch.request_classes[0].latency_objective_stretch = None;
    check("classes.0.aimStretch", None, without_stretch);
    // `decode` does not read these keys, so they may be missing.
    for key in ["ceilings.dialTimeoutUs", "ceilings.keepaliveUs", "guarantees.fallUs"] {
        check(key, None, expected_settings());
    }
}

#[test]
fn error_names_the_missing_key() {
    let optional = [
        "classes.0.aimStretch",
        "ceilings.dialTimeoutUs",
        "ceilings.keepaliveUs",
        "unheardOf.a.0",
        "guarantees.fallUs",
        "classes.0.deadlineUs",
    ];
    for (key, _) in ALL_SETTINGS.iter().filter(|(key, _)| !optional.contains(key)) {
        assert_eq!(error_message(&settings_with(key, None)), Some(format!("setting missing: {key}")));
    }
}

#[test]
fn error_names_the_key_and_its_invalid_value() {
    let unchecked = ["discovery", "ceilings.dialTimeoutUs", "ceilings.keepaliveUs"];
    let unchecked = |key: &str| unchecked.contains(&key) || ALL_SETTINGS[51..].iter().any(|(k, _)| *k == key);
    for (key, _) in ALL_SETTINGS.iter().filter(|(key, _)| !unchecked(key)) {
        assert_eq!(error_message(&settings_with(key, Some("odd"))), Some(format!("bad setting: {key}=odd")));
    }
    let cases = [
        ("classes.count", "0", "bad setting: classes.count=0"),
        ("classes.count", "6", "setting missing: classes.5.effect"),
        ("classes.0.worth", "-1", "bad setting: classes.0.worth=-1"),
        ("classes.0.worth", "NaN", "bad setting: classes.0.worth=NaN"),
        ("classes.0.aimStretch", "inf", "bad setting: classes.0.aimStretch=inf"),
        ("guarantees.coldFrom", "1.5", "bad setting: guarantees.coldFrom=1.5"),
        ("extra.parentStartsAt", "1e308", &format!("bad setting: extra.parentStartsAt=1{}", "0".repeat(308))),
        ("extra.freshForUs", "1,2", "bad setting: extra.freshForUs has no item 2"),
        ("extra.usableAfterUs", "", "bad setting: extra.usableAfterUs has no item 0"),
        ("extra.multiPart", "true", "bad setting: extra.multiPart has no item 1"),
        ("extra.neverKept", "true,true,true", "bad setting: extra.neverKept has no item 3"),
        ("extra.zoneBalancers", "3", "bad setting: extra.zoneBalancers has no item 1, which az names"),
        ("az", "7", "bad setting: extra.zoneBalancers has no item 7, which az names"),
        ("extra.zoneBalancers", "3,-4", "bad setting: extra.zoneBalancers=3,-4"),
        ("periodUs", "-1", "bad setting: periodUs=-1"),
    ];
    for (key, value, expected) in cases {
        assert_eq!(
            error_message(&settings_with(key, Some(value))).as_deref(),
            Some(expected),
            "{key}={value}"
        );
    }
}

#[test]
fn decodes_load_reports_and_cache_notes() {
    let values = [("active", 7.0), ("cpu", 0.61), ("x0", 0.2), ("x1", 0.3)];
    let LoadReport { cpu_utilization: cpu, link_utilization: link } =
        settings::load_report(values.into_iter());
    assert_eq!((cpu, link), (Some(0.61), Some(0.3)));
    let LoadReport { cpu_utilization: cpu, link_utilization: link } =
        settings::load_report([("cpu", f64::NAN), ("x1", f64::INFINITY)].into_iter());
    assert_eq!((cpu, link), (None, None));
    let hits: Vec<_> = (0..7).map(settings::is_cache_hit).collect();
    assert_eq!(hits, [None, Some(true), Some(false), Some(false), Some(false), Some(true), None]);
}
