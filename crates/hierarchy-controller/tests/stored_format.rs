//! The bytes of the register and of what members are sent: MessagePack, written out in hex.

use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingToken, Member};
use sablecross_hierarchy::spec::{self, HierarchySpec};
use sablecross_hierarchy::{RolloutOutcome, RolloutRecord};
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController, decode_spec};

const SEC: u64 = 1_000_000_000;

/// Every field has a value of its own.
const TEXT: &str = r#"(hierarchy (version . 3) (ceiling . 500) (margin . 0.1) (cold-from . 0.3) (warm-after-ms . 21000)
  (fall-multiple . 2.5) (siblings . #t) (hold-ms . 1) (settle-ms . 2) (give-up-ms . 30001))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "e") (tier . 2) (sources "o") (capacity . 800) (demand . 100) (hit . 0.5) (share . 64) (since-ms . 7))"#;

/// The same version as an array of its header and its nodes, each an array of its fields in their order.
const SPEC: &str = "929a03cb407f400000000000cb3fb999999999999acb3fd3333333333333cd5208cb4004000000000000c30102cd7531\
    9298a16f0090cb408c200000000000cb0000000000000000cb0000000000000000cd010000\
    98a1650291a16fcb4089000000000000cb4059000000000000cb3fe00000000000004007";

fn version() -> HierarchySpec {
    let (number, hierarchy) = spec::parse_settings("test", TEXT, None).expect("a version");
    HierarchySpec::from_hierarchy(number, &hierarchy)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex")).collect()
}

/// Every variant, with optional fields present and absent. `SPEC` stands for the version's bytes.
fn examples() -> Vec<(RolloutRecord, &'static str)> {
    let ended = |change, how| RolloutRecord::Ended { change, outcome: how };
    vec![
        (
            RolloutRecord::Checkpoint { number: 4, next_change: 9, version: version() },
            "81a57374617274930409SPEC",
        ),
        (
            RolloutRecord::Started { change: 9, target: version(), baseline: version() },
            "81a5626567756e9309SPECSPEC",
        ),
        (
            RolloutRecord::StepStarted { change: 9, number: 5, is_rollback: false, version: version() },
            "81a473746570940905c2SPEC",
        ),
        (RolloutRecord::StepCommitted { number: 5 }, "81a8696e2d666f7263659105"),
        (RolloutRecord::Queued { target: Some(version()) }, "81a5776169747391SPEC"),
        (RolloutRecord::Queued { target: None }, "81a5776169747391c0"),
        (RolloutRecord::RollbackStarted { change: 9 }, "81a46261636b9109"),
        (
            RolloutRecord::StepStarted { change: 9, number: 6, is_rollback: true, version: version() },
            "81a473746570940906c3SPEC",
        ),
        (RolloutRecord::StepCommitted { number: 6 }, "81a8696e2d666f7263659106"),
        (ended(9, RolloutOutcome::RolledBack), "81a5656e6465649209ab726f6c6c65642d6261636b"),
        (ended(10, RolloutOutcome::Completed), "81a5656e646564920aa4646f6e65"),
        (ended(11, RolloutOutcome::Superseded), "81a5656e646564920baa73757065727365646564"),
        (ended(12, RolloutOutcome::Abandoned), "81a5656e646564920ca46c656674"),
    ]
}

fn new_controller() -> HierarchyController {
    HierarchyController::new(FencingToken { term: 3, holder: Member { number: 1, incarnation: 1 } }, SEC)
}

fn entry(bytes: Vec<u8>) -> RegisterValue {
    RegisterValue { sequence: 1, token: FencingToken::default(), bytes }
}

#[test]
fn a_version_has_these_bytes() {
    assert_eq!(hex(&rmp_serde::to_vec(&version()).expect("encoded")), SPEC);
    assert_eq!(decode_spec(&bytes(SPEC)).expect("decoded"), version());
}

#[test]
fn each_record_has_these_bytes() {
    for (record, text) in examples() {
        let text = text.replace("SPEC", SPEC);
        assert_eq!(hex(&rmp_serde::to_vec(&record).expect("encoded")), text, "{record:?}");
        assert_eq!(rmp_serde::from_slice::<RolloutRecord>(&bytes(&text)).expect("decoded"), record);
    }
}

/// What the first version makes a new holder store and send: the format, an array of records, and the version alone.
#[test]
fn the_register_begins_with_its_format() {
    let mut controller = new_controller();
    controller.on_persisted(0, &entry(Vec::new()));
    controller.propose(0, TEXT.as_bytes()).expect("accepted");
    let start = "81a57374617274930301SPEC".replace("SPEC", SPEC);
    let register = format!("0191{start}");
    let actions = controller.take_actions();
    let [ControllerAction::Persist(stored)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(hex(stored), register);
    controller.on_persisted(0, &entry(stored.clone()));
    let actions = controller.take_actions();
    let [ControllerAction::Publish { number: 3, bytes: sent }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(hex(sent), SPEC);
}

/// A register that an earlier program left, with every kind of record, is read and continued from.
#[test]
fn a_register_of_the_first_program_is_read() {
    let records: String = examples().iter().map(|(_, text)| text.replace("SPEC", SPEC)).collect();
    let mut controller = new_controller();
    // The format, then an array of 13.
    controller.on_persisted(0, &entry(bytes(&format!("019d{records}"))));
    let rollout = controller.rollout().expect("read");
    assert_eq!((rollout.published().number, rollout.committed().number, rollout.progress()), (6, 6, None));
    let actions = controller.take_actions();
    let sent = actions.iter().find_map(|action| match action {
        ControllerAction::Publish { number, bytes } => Some((*number, bytes.clone())),
        _ => None,
    });
    let (number, sent) = sent.expect("sent");
    // The version goes by the number of its step.
    assert_eq!(
        (number, decode_spec(&sent).expect("a version")),
        (
            6,
            HierarchySpec {
                header: spec::SpecHeader { version: 6, ..version().header },
                nodes: version().nodes
            }
        )
    );
    // Another format is left as it is.
    let mut other = new_controller();
    other.on_persisted(0, &entry(bytes(&format!("029d{records}"))));
    assert!(other.rollout().is_none());
}
