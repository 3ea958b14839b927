//! The bytes of every message of the simulator's wire, held against `data/wire.txt`, and the settings of `data/settings.txt`.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = include_str!("data/settings.txt");
const WIRE: &str = include_str!("data/wire.txt");

struct Batch {
    clock: u64,
    why: &'static str,
    records: Vec<Vec<u8>>,
    answers: Vec<Vec<u8>>,
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    let byte = |i: usize| u8::from_str_radix(&digits[i..i + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Starts instance 3 with seed 9.
fn open() -> Vec<u8> {
    let mut record = bytes("03 00000003 0000000000000009");
    record.extend((SETTINGS.len() as u32).to_be_bytes());
    record.extend(SETTINGS.as_bytes());
    record
}

fn batches() -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for line in WIRE.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let (mark, rest) = line.split_once(' ').expect("a mark and its text");
        if mark == "batch" {
            let (clock, why) = rest.split_once(' ').expect("a clock and a reason");
            let clock = clock.parse().expect("microseconds");
            batches.push(Batch { clock, why, records: Vec::new(), answers: Vec::new() });
            continue;
        }
        let batch = batches.last_mut().expect("a batch begins first");
        match (mark, rest) {
            ("<", "open") => batch.records.push(open()),
            ("<", hex) => batch.records.push(bytes(hex)),
            (">", hex) => batch.answers.push(bytes(hex)),
            _ => panic!("neither sent nor answered: {line}"),
        }
    }
    batches
}

fn request_frame(number: usize, batch: &Batch) -> Vec<u8> {
    let body = batch.records.concat();
    let mut frame = (number as u32).to_be_bytes().to_vec();
    frame.extend((12 + body.len() as u32).to_be_bytes());
    frame.extend(batch.clock.to_be_bytes());
    frame.extend((batch.records.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn reply_frame(number: usize, batch: &Batch) -> Vec<u8> {
    let body = batch.answers.concat();
    let mut frame = (number as u32).to_be_bytes().to_vec();
    frame.extend((batch.answers.len() as u32).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

#[test]
fn each_message_has_its_bytes() {
    let batches = batches();
    let input: Vec<u8> = batches.iter().enumerate().flat_map(|(n, batch)| request_frame(n, batch)).collect();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    child.stdin.take().expect("piped").write_all(&input).expect("written");
    let output = child.wait_with_output().expect("ends");
    assert!(output.status.success());
    let mut left = &output.stdout[..];
    for (n, batch) in batches.iter().enumerate() {
        let expected = reply_frame(n, batch);
        let (frame, rest) = left.split_at(expected.len().min(left.len()));
        assert_eq!(frame, expected, "batch {n}: {}", batch.why);
        left = rest;
    }
    assert!(left.is_empty(), "nothing more is answered");
}
