//! Bytes that have come and are not used yet; heads are parsed where they lie.

use std::io::{self, ErrorKind, Read};

pub struct Intake {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
    first: usize,
    most: usize,
}

impl Intake {
    /// Grows from its first size to hold a message of at most this size.
    pub fn new(first: usize, most: usize) -> Intake {
        Intake { bytes: vec![0; first], from: 0, to: 0, first, most }
    }

    pub fn seen(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn used(&mut self, n: usize) {
        self.from = (self.from + n).min(self.to);
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
            if self.bytes.len() > self.first {
                self.bytes = vec![0; self.first];
            }
        }
    }

    /// Reads more; false at the end.
    pub fn more(&mut self, mut source: impl Read) -> io::Result<bool> {
        if self.to == self.bytes.len() {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
            if self.to == self.bytes.len() {
                if self.to >= self.most {
                    return Err(io::Error::new(ErrorKind::InvalidData, "too long"));
                }
                self.bytes.resize((2 * self.to).min(self.most), 0);
            }
        }
        let n = read(&mut source, &mut self.bytes[self.to..])?;
        self.to += n;
        Ok(n > 0)
    }

    /// Fills a buffer from what has come, the rest straight from the source.
    pub fn fill(&mut self, out: &mut [u8], mut source: impl Read) -> io::Result<()> {
        let here = out.len().min(self.to - self.from);
        out[..here].copy_from_slice(&self.seen()[..here]);
        self.used(here);
        source.read_exact(&mut out[here..])
    }
}

fn read(source: &mut impl Read, to: &mut [u8]) -> io::Result<usize> {
    loop {
        match source.read(to) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
