//! Reads and writes the wire's bytes; every short read is an error.

pub type Address = [u8; 6];
pub type Result<T> = std::result::Result<T, String>;

pub struct Reader<'a> {
    bytes: &'a [u8],
}

macro_rules! number {
    ($name:ident, $kind:ty) => {
        pub fn $name(&mut self) -> Result<$kind> {
            Ok(<$kind>::from_be_bytes(self.array()?))
        }
    };
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        let (head, rest) = self.bytes.split_at_checked(n).ok_or("truncated record")?;
        self.bytes = rest;
        Ok(head)
    }

    pub fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        self.take(N)?.try_into().map_err(|_| "truncated record".into())
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);

    /// A whole number that the wire sends as a float.
    pub fn whole(&mut self) -> Result<u32> {
        let x = self.f32()?;
        if x >= 0.0 && x < u32::MAX as f32 && x.fract() == 0.0 {
            return Ok(x as u32);
        }
        Err(format!("not a whole number: {x}"))
    }
}

#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    fn record(&mut self, code: u8, director: u32) {
        self.count += 1;
        self.bytes.push(code);
        self.bytes.extend(director.to_be_bytes());
    }

    pub fn read_through(
        &mut self,
        director: u32,
        txn: u32,
        send: &sablecross::AttemptSpec,
        to: [Address; 2],
    ) {
        self.record(68, director);
        self.bytes.extend(txn.to_be_bytes());
        self.bytes.extend(micros(send.max_age.map_or(0, |a| a.max(1_000))).to_be_bytes());
        self.bytes.push(u8::from(send.coalesce) | u8::from(send.refresh) << 3);
        self.bytes.extend(to[0]);
        self.bytes.extend(to[1]);
        self.bytes.extend(micros(send.timeout.max(1_000)).to_be_bytes());
        self.bytes.push(send.retention_rank);
    }

    pub fn nack(&mut self, director: u32, txn: u32, pause: u64) {
        self.record(69, director);
        self.bytes.extend(txn.to_be_bytes());
        self.bytes.extend(micros(pause).to_be_bytes());
    }

    pub fn fail(&mut self, director: u32, txn: u32) {
        self.record(71, director);
        self.bytes.extend(txn.to_be_bytes());
    }

    pub fn call_off(&mut self, director: u32, txn: u32, shot: u16) {
        self.record(74, director);
        self.bytes.extend(txn.to_be_bytes());
        self.bytes.extend(shot.to_be_bytes());
    }

    pub fn timer(&mut self, director: u32, wait: u64, handle: u64) {
        self.record(72, director);
        self.bytes.extend(micros(wait).max(1).to_be_bytes());
        self.bytes.extend(handle.to_be_bytes());
    }

    pub fn follow_list(&mut self, director: u32) {
        self.record(70, director);
        self.bytes.push(1);
    }

    pub fn print(&mut self, director: u32, line: &str) {
        self.record(66, director);
        let line = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
        self.bytes.extend((line.len() as u16).to_be_bytes());
        self.bytes.extend(line);
    }

    /// The reply's frame for the batch of this number.
    pub fn frame(&self, batch: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.bytes.len());
        out.extend(batch.to_be_bytes());
        out.extend(self.count.to_be_bytes());
        out.extend((self.bytes.len() as u32).to_be_bytes());
        out.extend(&self.bytes);
        out
    }
}

fn micros(ns: u64) -> u32 {
    u32::try_from(ns / 1_000).unwrap_or(u32::MAX)
}
