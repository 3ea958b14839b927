//! Runs instances of the router for the operators' simulator: reads batches of events from standard input and writes a
//! reply to each batch to standard output.

mod error;
mod event;
mod host;
mod instance;
mod record_reader;
mod reply;

use std::io::{Read, Write, stdin, stdout};
use std::process::ExitCode;

use error::{AdapterError, Result};
use host::Host;
use record_reader::RecordReader;

/// Bytes of a batch's header: its number, its length, the clock in microseconds and the number of records.
const HEADER_BYTES: usize = 20;
/// Bytes of the header that the batch's length includes: the clock and the number of records.
const COUNTED_HEADER_BYTES: u32 = 12;

fn main() -> ExitCode {
    match serve(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_BIN_NAME"));
            ExitCode::FAILURE
        }
    }
}

/// Answers batch by batch until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    while let Some(header) = read_header(&mut input)? {
        let mut reader = RecordReader::new(&header);
        let (number, length) = (reader.u32()?, reader.u32()?);
        let (clock, count) = (reader.u64()?, reader.u32()?);
        let length = length.checked_sub(COUNTED_HEADER_BYTES).ok_or(AdapterError::BatchTooShort)?;
        let body = read_body(&mut input, length)?;
        let now = clock.checked_mul(1_000).ok_or(AdapterError::ClockOutOfRange)?;
        let frame = host.handle_batch(number, now, count, &body)?;
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the header of the next batch; returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>> {
    let mut header = [0; HEADER_BYTES];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..])? {
            0 if filled == 0 => return Ok(None),
            0 => return Err(AdapterError::TruncatedHeader),
            count => filled += count,
        }
    }
    Ok(Some(header))
}

fn read_body(input: &mut impl Read, length: u32) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let count = input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
    if count != length as usize {
        return Err(AdapterError::TruncatedBatch);
    }
    Ok(body)
}
