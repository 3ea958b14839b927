//! Runs the adapter on frames that are built byte by byte, valid and invalid ones.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "az=2\nindex=0\nextra.zoneBalancers=0,0,1\nclasses.count=1\nclasses.0.effect=idempotent\n\
    classes.0.aimUs=250000\nclasses.0.worth=1.0\nextra.freshForUs=0\nextra.usableAfterUs=0\nextra.multiPart=false\n\
    extra.neverKept=false\nextra.midKind=1\nextra.masterKind=2\ndiscovery=pushed\nceilings.mayCancel=true\n\
    ceilings.parallelTries=true\nceilings.retryAfter=true\nceilings.maxRetryAfterUs=2000000\nceilings.sendCap=6\n\
    guarantees.coldFrom=0.23\nguarantees.warmAfterUs=18000000\nguarantees.fallMultiple=3.0\n\
    guarantees.fallUs=1000000\nextra.parentStartsAt=0.078\nextra.parentColdUs=20000000\n\
    extra.upperFallMultiple=2.0\nextra.streamKbPerS=2700.0\nextra.direct=true\nextra.joins=true\n\
    extra.clearedWithinUs=6000000\nperiodUs=2000\nsomething.new=7\n";

fn frame(number: u32, clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = number.to_be_bytes().to_vec();
    out.extend((12 + body.len() as u32).to_be_bytes());
    out.extend(clock.to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut out = vec![code];
    fields.iter().for_each(|field| out.extend(*field));
    out
}

/// The record that starts instance 3 with seed 9.
fn open_instance(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    record(3, &[&3_u32.to_be_bytes(), &9_u64.to_be_bytes(), &length, settings.as_bytes()])
}

/// A sheet with one cache, one parent and the origin.
fn sheet() -> Vec<u8> {
    let mut out = record(0, &[&[0; 4], &3_u32.to_be_bytes()]);
    for (n, zone) in [(0_u8, 2_u16), (1, 0), (2, 0)] {
        out.extend([0, 0, 0x3f, 0x80, 0, 0]);
        out.extend(zone.to_be_bytes());
        out.push(1);
        out.extend([0; 8]);
        out.extend([0, n]);
        out.extend([10, 0, 0, n, 0x23, 0x28]);
    }
    out
}

/// A directory update with the complete list of the sheet.
fn directory_update() -> Vec<u8> {
    record(5, &[&3_u32.to_be_bytes(), &[2], &[0; 4], &[0, 0, 0, 41]])
}

fn order(request: u32, kind: u8) -> Vec<u8> {
    let (id, size_kb, deadline) = (request.to_be_bytes(), 11_f32.to_be_bytes(), 9_000_000_u64.to_be_bytes());
    let object = 77_u64.to_be_bytes();
    record(6, &[&3_u32.to_be_bytes(), &id, &[0; 8], &object, &[kind], &[0; 4], &size_kb, &deadline, &[0, 0]])
}

fn returned(request: u32, outcome: u8) -> Vec<u8> {
    let id = request.to_be_bytes();
    record(
        8,
        &[&3_u32.to_be_bytes(), &id, &[0, 0], &[10, 0, 0, 0, 0x23, 0x28], &[outcome], &[0; 4], &[0], &[0; 9]],
    )
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    // The adapter may exit before it has read all of its input, so this write may fail.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("adapter exits")
}

/// A batch that starts the instance and gives it the list of nodes, with `more` records at its end.
fn start_frame(more: Vec<Vec<u8>>) -> Vec<u8> {
    let mut records = vec![open_instance(SETTINGS), sheet(), directory_update()];
    records.extend(more);
    frame(1, 5_000_000, &records)
}

#[test]
fn invalid_input_ends_the_adapter_with_one_line_of_error() {
    let cut = |mut frame: Vec<u8>, bytes: usize| {
        frame.truncate(frame.len() - bytes);
        frame
    };
    let without = |key: &str| {
        let kept: Vec<&str> = SETTINGS.lines().filter(|line| !line.starts_with(key)).collect();
        frame(1, 1, &[open_instance(&kept.join("\n"))])
    };
    let with = |from: &str, to: &str| frame(1, 1, &[open_instance(&SETTINGS.replace(from, to))]);
    let cases = [
        (cut(frame(1, 1, &[]), 7), "truncated batch header"),
        (cut(start_frame(vec![order(5, 0)]), 3), "truncated batch"),
        (frame(1, 1, &[vec![5, 0, 0]]), "truncated record"),
        (start_frame(vec![record(99, &[&3_u32.to_be_bytes()])]), "unknown record code 99"),
        (start_frame(vec![order(5, 4)]), "unknown kind"),
        (start_frame(vec![order(5, 0), returned(5, 77)]), "unknown outcome 77"),
        (frame(1, 1, &[order(5, 0)]), "no open instance"),
        (frame(1, 1, &[open_instance(SETTINGS), directory_update()]), "unknown sheet"),
        (vec![0, 0, 0, 1, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], "length too small"),
        (without("periodUs"), "setting missing: periodUs"),
        (with("coldFrom=0.23", "coldFrom=NaN"), "bad setting"),
        (with("coldFrom=0.23", "coldFrom=-1"), "bad setting"),
        (with("effect=idempotent", "effect=other"), "bad setting"),
        (with("classes.count=1", "classes.count=2"), "setting missing: classes.1.effect"),
        (with("coldFrom=0.23", "coldFrom=1.5"), "bad setting"),
        (with("az=2", "az=7"), "bad setting"),
        (with("classes.count=1", "classes.count=0"), "bad setting"),
    ];
    for (input, message) in cases {
        let out = run_adapter(&input);
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && out.stdout.is_empty(), "{message}");
        assert!(
            stderr.contains(message) && stderr.lines().count() == 1 && !stderr.contains("panicked"),
            "{message}: {stderr}"
        );
    }
}

#[test]
fn replies_to_each_batch_in_order() {
    let mut input = frame(0, 1, &[]);
    input.extend(start_frame(vec![order(5, 0)]));
    // A result, a timer and an abort of requests that are not in flight are ignored.
    let timer = record(11, &[&3_u32.to_be_bytes(), &99_u64.to_be_bytes()]);
    let aborted = record(1, &[&3_u32.to_be_bytes(), &98_u32.to_be_bytes()]);
    input.extend(frame(2, 5_002_000, &[returned(97, 0), timer, aborted, returned(5, 0)]));
    let out = run_adapter(&input);
    assert!(out.status.success() && out.stderr.is_empty());
    assert_eq!(out.stdout[..12], [0; 12], "an empty batch has an empty reply");
    let second_reply = &out.stdout[12..];
    assert_eq!(second_reply[..4], [0, 0, 0, 1]);
    let attempt = second_reply
        .windows(9)
        .position(|w| w == [68, 0, 0, 0, 3, 0, 0, 0, 5])
        .expect("an attempt of request 5");
    assert_eq!(second_reply[attempt + 14..attempt + 26], [10, 0, 0, 0, 0x23, 0x28, 10, 0, 0, 1, 0x23, 0x28]);
    assert_eq!(second_reply[second_reply.len() - 12..], [0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0]);
}
