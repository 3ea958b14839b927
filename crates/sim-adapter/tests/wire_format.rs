//! Sends the records of `data/wire.txt` to the adapter, with the settings of `data/settings.txt`, and compares the
//! bytes of every reply with those in the file.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = include_str!("data/settings.txt");
const WIRE: &str = include_str!("data/wire.txt");

struct Batch {
    /// In microseconds.
    clock: u64,
    /// What the batch checks.
    description: &'static str,
    records: Vec<Vec<u8>>,
    expected_actions: Vec<Vec<u8>>,
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    let byte = |i: usize| u8::from_str_radix(&digits[i..i + 2], 16).expect("hexadecimal");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// The record that starts instance 3 with seed 9.
fn open_instance_record() -> Vec<u8> {
    let mut record = decode_hex("03 00000003 0000000000000009");
    record.extend((SETTINGS.len() as u32).to_be_bytes());
    record.extend(SETTINGS.as_bytes());
    record
}

/// Parses `data/wire.txt`, whose head describes its format.
fn parse_batches() -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for line in WIRE.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let (keyword, rest) = line.split_once(' ').expect("a keyword and its arguments");
        if keyword == "batch" {
            let (clock, description) = rest.split_once(' ').expect("a clock and a description");
            let clock = clock.parse().expect("microseconds");
            batches.push(Batch { clock, description, records: Vec::new(), expected_actions: Vec::new() });
            continue;
        }
        let batch = batches.last_mut().expect("a batch before its records");
        match (keyword, rest) {
            ("<", "open") => batch.records.push(open_instance_record()),
            ("<", hex) => batch.records.push(decode_hex(hex)),
            (">", hex) => batch.expected_actions.push(decode_hex(hex)),
            _ => panic!("neither a record nor an action: {line}"),
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
    let body = batch.expected_actions.concat();
    let mut frame = (number as u32).to_be_bytes().to_vec();
    frame.extend((batch.expected_actions.len() as u32).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

#[test]
fn replies_match_the_recorded_bytes() {
    let batches = parse_batches();
    let input: Vec<u8> = batches.iter().enumerate().flat_map(|(n, batch)| request_frame(n, batch)).collect();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child.stdin.take().expect("piped").write_all(&input).expect("written");
    let output = child.wait_with_output().expect("adapter exits");
    assert!(output.status.success());
    let mut remaining = &output.stdout[..];
    for (n, batch) in batches.iter().enumerate() {
        let expected = reply_frame(n, batch);
        let (frame, rest) = remaining.split_at(expected.len().min(remaining.len()));
        assert_eq!(frame, expected, "batch {n}: {}", batch.description);
        remaining = rest;
    }
    assert!(remaining.is_empty(), "no bytes after the last reply");
}
