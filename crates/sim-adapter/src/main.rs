//! Hosts instances of the decision module on the simulator's wire: standard input to standard output.

mod codec;
mod host;

use std::io::{Read, Write, stdin, stdout};
use std::process::ExitCode;

use codec::{Reader, Result};

fn serve(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut host = host::Host::default();
    let mut header = [0; 20];
    loop {
        let mut filled = 0;
        while filled < header.len() {
            match input.read(&mut header[filled..]).map_err(|e| e.to_string())? {
                0 if filled == 0 => return Ok(()),
                0 => return Err("truncated batch header".into()),
                n => filled += n,
            }
        }
        let mut r = Reader::new(&header);
        let (number, size, clock, count) = (r.u32()?, r.u32()?, r.u64()?, r.u32()?);
        let size = size.checked_sub(12).ok_or("batch length too small")?;
        let mut body = Vec::new();
        let got = input.by_ref().take(u64::from(size)).read_to_end(&mut body);
        if got.map_err(|e| e.to_string())? != size as usize {
            return Err("truncated batch".into());
        }
        let now = clock.checked_mul(1_000).ok_or("impossible clock")?;
        let frame = host.batch(number, now, count, &body)?;
        output.write_all(&frame).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

fn main() -> ExitCode {
    match serve(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sablecross-sim-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
