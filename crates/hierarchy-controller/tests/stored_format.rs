//! The encodings of the register's content and of the messages to members: MessagePack, as hexadecimal literals.

use sablecross_coordination::messages::RegisterValue;
use sablecross_coordination::{FencingToken, Member};
use sablecross_hierarchy::spec::{self, HierarchySpec};
use sablecross_hierarchy::{RolloutOutcome, RolloutRecord};
use sablecross_hierarchy_controller::{ControllerAction, HierarchyController, decode_spec};

const SEC: u64 = 1_000_000_000;

/// Each field has a different value.
const SETTINGS: &str = r#"(hierarchy (version . 3) (ceiling . 500) (margin . 0.1) (cold-from . 0.3) (warm-after-ms . 21000)
  (fall-multiple . 2.5) (siblings . #t) (hold-ms . 1) (settle-ms . 2) (give-up-ms . 30001))
(node (name . "o") (tier . 0) (capacity . 900))
(node (name . "e") (tier . 2) (sources "o") (capacity . 800) (demand . 100) (hit . 0.5) (share . 64) (since-ms . 7))"#;

/// The encoding of the same version: an array of the header and the nodes, each an array of its fields in order.
const SPEC: &str = "929a03cb407f400000000000cb3fb999999999999acb3fd3333333333333cd5208cb4004000000000000c30102cd7531\
    9298a16f0090cb408c200000000000cb0000000000000000cb0000000000000000cd010000\
    98a1650291a16fcb4089000000000000cb4059000000000000cb3fe00000000000004007";

fn version() -> HierarchySpec {
    let (number, hierarchy) = spec::parse_settings("test", SETTINGS, None).expect("a version");
    HierarchySpec::from_hierarchy(number, &hierarchy)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex")).collect()
}

/// One record of each variant, with and without optional fields. `SPEC` stands for the encoding of the version.
fn examples() -> Vec<(RolloutRecord, &'static str)> {
    let ended = |change, outcome| RolloutRecord::Ended { change, outcome };
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

fn register_value(bytes: Vec<u8>) -> RegisterValue {
    RegisterValue { sequence: 1, token: FencingToken::default(), bytes }
}

#[test]
fn version_encoding_is_unchanged() {
    assert_eq!(hex(&rmp_serde::to_vec(&version()).expect("encoded")), SPEC);
    assert_eq!(decode_spec(&bytes(SPEC)).expect("decoded"), version());
}

#[test]
fn record_encodings_are_unchanged() {
    for (record, text) in examples() {
        let text = text.replace("SPEC", SPEC);
        assert_eq!(hex(&rmp_serde::to_vec(&record).expect("encoded")), text, "{record:?}");
        assert_eq!(rmp_serde::from_slice::<RolloutRecord>(&bytes(&text)).expect("decoded"), record);
    }
}

/// Checks what a new holder writes and publishes for the first version: the format version and an array of records in
/// the register, and the version alone in the message.
#[test]
fn register_starts_with_the_format_version() {
    let mut controller = new_controller();
    controller.on_persisted(0, &register_value(Vec::new()));
    controller.propose(0, SETTINGS.as_bytes()).expect("accepted");
    let start = "81a57374617274930301SPEC".replace("SPEC", SPEC);
    let register = format!("0191{start}");
    let actions = controller.take_actions();
    let [ControllerAction::Persist(stored)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(hex(stored), register);
    controller.on_persisted(0, &register_value(stored.clone()));
    let actions = controller.take_actions();
    let [ControllerAction::Publish { number: 3, bytes: sent }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(hex(sent), SPEC);
}

/// A register with records of every kind, as an earlier version of the program wrote it, is read and continued from.
#[test]
fn register_of_an_earlier_program_version_is_read() {
    let records: String = examples().iter().map(|(_, text)| text.replace("SPEC", SPEC)).collect();
    let mut controller = new_controller();
    // The format version, then an array of 13 records.
    controller.on_persisted(0, &register_value(bytes(&format!("019d{records}"))));
    let rollout = controller.rollout().expect("read");
    assert_eq!((rollout.published().number, rollout.committed().number, rollout.progress()), (6, 6, None));
    let actions = controller.take_actions();
    let sent = actions.iter().find_map(|action| match action {
        ControllerAction::Publish { number, bytes } => Some((*number, bytes.clone())),
        _ => None,
    });
    let (number, sent) = sent.expect("sent");
    // The version is published with the number of its step.
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
    // No rollout is recovered from a register with another format.
    let mut other = new_controller();
    other.on_persisted(0, &register_value(bytes(&format!("029d{records}"))));
    assert!(other.rollout().is_none());
}
