//! Values that all directors share whatever version they run (ranks of nodes, positions of objects, owners on the
//! ring), and log lines in the form that operators match.

#[allow(dead_code)]
mod support;

use sablecross::invariants::Violation;
use sablecross::*;
use support::*;

#[test]
fn ranks_are_stable() {
    let cases = [
        ("", 0xcbf2_9ce4_8422_2325),
        ("a", 0xaf63_dc4c_8601_ec8c),
        ("edge-1", 0xf1d7_a8b4_352b_c316),
        ("upper-a:9000", 0xbef3_61c7_a19a_a6dc),
    ];
    for (name, value) in cases {
        assert_eq!(rank(name), value, "{name}");
    }
}

#[test]
fn ring_positions_are_stable() {
    let mixed = [
        (0, 0xe220_a839_7b1d_cdaf),
        (1, 0x910a_2dec_8902_5cc1),
        (77, 0x6258_cbe0_7c1f_f081),
        (u64::MAX, 0xe4d9_7177_1b65_2c20),
    ];
    for (number, value) in mixed {
        assert_eq!(split_mix64(number), value, "{number}");
    }
    let copies = [
        (0, 0, 0xa706_dd2f_4d19_7e6f),
        (77, 0, 0xe5a0_ace1_2514_ee45),
        (77, 1, 0x3973_5f77_b4cc_4e3d),
        (1 << 52, 9, 0xab24_c5d7_fe01_f1ff),
    ];
    for (object, part, position) in copies {
        assert_eq!(cache_position(object, part), position, "{object} {part}");
    }
    let fills = [(0, 0xe4d9_7177_1b65_2c20), (77, 0x1dbe_7211_92d4_100d), (1 << 52, 0x71a9_9a03_6bf2_4b40)];
    for (object, position) in fills {
        assert_eq!(parent_position(object), position, "{object}");
    }
}

#[test]
fn ring_owners_are_stable() {
    let member =
        |(node, name, withheld_virtual_nodes)| RingMember { rank: rank(name), node, withheld_virtual_nodes };
    let members =
        [(0, "edge-1", 0), (1, "edge-2", 0), (2, "edge-3", 64), (3, "edge-4", 256)].map(member).to_vec();
    let ring = HashRing::build(members);
    let owners = |is_eligible: &dyn Fn(usize) -> bool| -> Vec<usize> {
        (0..24)
            .map(|object| ring.owner(cache_position(object, 0), is_eligible).expect("one is eligible"))
            .collect()
    };
    assert_eq!(owners(&|_| true), [1, 0, 2, 2, 0, 0, 1, 0, 0, 0, 0, 0, 2, 2, 0, 2, 1, 1, 1, 2, 2, 1, 2, 0]);
    assert_eq!(
        owners(&|member| member != 1),
        [0, 0, 2, 2, 0, 0, 0, 0, 0, 0, 0, 0, 2, 2, 0, 2, 0, 2, 2, 2, 2, 0, 2, 0]
    );
    let nearest: Vec<usize> = ring.walk_from(cache_position(77, 0)).take(24).collect();
    assert_eq!(nearest, [0, 1, 1, 1, 1, 1, 0, 1, 1, 0, 2, 1, 1, 0, 0, 0, 1, 1, 1, 0, 1, 0, 1, 1]);
    // Each full member has 256 virtual nodes; one that withholds some has fewer.
    assert_eq!(ring.walk_from(0).count(), 256 + 256 + 192);
    assert_eq!(ring.owner(3, |_| false), None);
}

#[test]
fn endpoint_list_change_is_logged() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    assert_eq!(router.take_log_lines(), [""; 0]);
    router.update_endpoints(START, &endpoint_list(5, 1), true);
    assert_eq!(router.take_log_lines(), ["list members=5 before=4", "list members=1 before=2"]);
}

#[test]
fn ejection_and_restoration_are_logged() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for object in 0..400 {
        let now = START + object * 40 * MS;
        let mut request = new_request(object, now);
        if let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) {
            let is_failure = spec.node == 2 && object < 80;
            let outcome = if is_failure { Outcome::Error } else { Outcome::Success };
            finish_last(&mut router, now + 10 * MS, &mut request, outcome);
        }
    }
    assert_eq!(router.take_log_lines(), ["down node=2 failing=0.40", "up node=2 failing=0.32"]);
}

#[test]
fn overload_is_logged() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for (start, latency) in [(0, 120 * MS), (40 * SEC, 3 * SEC), (90 * SEC, 120 * MS)] {
        for object in 0..200 {
            route_and_finish(
                &mut router,
                START + start + object * 40 * MS,
                object,
                latency,
                Outcome::Success,
            );
        }
    }
    assert_eq!(router.take_log_lines(), ["jam late=0.19", "jam over late=0.13"]);
}

#[test]
fn burst_is_logged() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    let mut now = START + MS;
    for count in [40, 60, 50, 45, 55, 50, 62, 41, 50, 47, 53, 50] {
        for i in 0..count * 4 {
            route_and_finish(&mut router, now + i, 10_000 + i, MS, Outcome::Success);
        }
        now += 2 * SEC + 3 * MS;
    }
    for i in 0..400 {
        route_and_finish(&mut router, now + i * MS, 3, MS, Outcome::Success);
    }
    route_and_finish(&mut router, now + 5 * SEC, 3, MS, Outcome::Success);
    route_and_finish(&mut router, now + 8 * SEC, 3, MS, Outcome::Success);
    assert_eq!(router.take_log_lines(), ["burst object=3 rate=8700 over=8649", "burst over objects=1"]);
}

/// The director's log line `violation request=R rule=W` names the rule by these words.
#[test]
fn violation_names_are_stable() {
    let names = [
        (Violation::AnsweredTwice, "AnsweredTwice"),
        (Violation::AttemptAfterAnswer, "AttemptAfterAnswer"),
        (Violation::AttemptAfterDeadline, "AttemptAfterDeadline"),
        (Violation::AttemptForGoneClient, "AttemptForGoneClient"),
        (Violation::NodeNotReady, "NodeNotReady"),
        (Violation::SourceNotReady, "SourceNotReady"),
        (Violation::EffectRepeated, "EffectRepeated"),
    ];
    for (violation, name) in names {
        assert_eq!(format!("{violation:?}"), name);
    }
}
