//! The answer to one call: an HTTP head, a body plain or in chunks, blocks of lines that an empty line ends.

use thiserror::Error;

/// What a feed says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The call was answered: events follow.
    Connected,
    /// An event, with the number that stands before it if one does.
    Event { id: Option<u64>, data: String },
    /// A comment, which shows that the feed lives.
    Comment(String),
}

/// Why a call is over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    #[error("answer {0}")]
    UnexpectedStatus(u16),
    #[error("not HTTP: {0}")]
    NotHttp(httparse::Error),
    #[error("bad chunk")]
    BadChunk,
    #[error("stream ended")]
    Ended,
    #[error("an event is too long")]
    TooLong,
    #[error("ended in its head")]
    EndedInHead,
}

#[derive(Debug)]
enum Body {
    /// The head is not whole yet.
    Head,
    Plain,
    /// Bytes left of this chunk; whether one was read, so that a line's end stands before the next.
    Chunks {
        left: usize,
        begun: bool,
    },
}

/// Reads one answer, as its bytes come.
#[derive(Debug)]
pub struct EventStreamParser {
    /// What has come, as it came, where it is not text yet.
    raw: Vec<u8>,
    text: Vec<u8>,
    /// Of the text: what was said, and up to where no block ends.
    used: usize,
    seen: usize,
    body: Body,
    most: usize,
}

impl EventStreamParser {
    /// No head and no event is longer than `most` bytes.
    pub fn new(most: usize) -> EventStreamParser {
        EventStreamParser { raw: Vec::new(), text: Vec::new(), used: 0, seen: 0, body: Body::Head, most }
    }

    /// More bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        if matches!(self.body, Body::Plain) {
            self.text.extend_from_slice(bytes);
        } else {
            self.raw.extend_from_slice(bytes);
        }
    }

    /// The connection has ended; an error if that was within the head.
    pub fn finish(&self) -> Result<(), StreamError> {
        if matches!(self.body, Body::Head) { Err(StreamError::EndedInHead) } else { Ok(()) }
    }

    /// Bytes that are kept for what has not come whole.
    pub fn buffered_bytes(&self) -> usize {
        self.raw.len() + self.text.len() - self.used
    }

    /// The next thing that is said, if it has come whole.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, StreamError> {
        if matches!(self.body, Body::Head) {
            return self.head();
        }
        self.unchunk()?;
        while let Some((at, width)) = self.block() {
            let block = &self.text[self.used..at];
            if block.len() > self.most {
                return Err(StreamError::TooLong);
            }
            let said = read(block);
            self.used = at + width;
            self.seen = self.used;
            if said.is_some() {
                return Ok(said);
            }
        }
        self.text.drain(..self.used);
        (self.seen, self.used) = (self.seen - self.used, 0);
        if self.text.len() > self.most { Err(StreamError::TooLong) } else { Ok(None) }
    }

    fn head(&mut self) -> Result<Option<StreamItem>, StreamError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        match answer.parse(&self.raw) {
            Ok(httparse::Status::Complete(length)) => {
                if answer.code != Some(200) {
                    return Err(StreamError::UnexpectedStatus(answer.code.unwrap_or(0)));
                }
                let chunked = answer.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.to_ascii_lowercase().ends_with(b"chunked")
                });
                self.raw.drain(..length);
                if chunked {
                    self.body = Body::Chunks { left: 0, begun: false };
                } else {
                    self.body = Body::Plain;
                    self.text = std::mem::take(&mut self.raw);
                }
                Ok(Some(StreamItem::Connected))
            }
            Ok(httparse::Status::Partial) if self.raw.len() > self.most => Err(StreamError::TooLong),
            Ok(httparse::Status::Partial) => Ok(None),
            Err(e) => Err(StreamError::NotHttp(e)),
        }
    }

    /// Moves what has come in chunks to the text.
    fn unchunk(&mut self) -> Result<(), StreamError> {
        let Body::Chunks { left, begun } = &mut self.body else { return Ok(()) };
        let mut from = 0;
        let done = loop {
            let come = &self.raw[from..];
            if *left > 0 {
                let n = come.len().min(*left);
                if n == 0 {
                    break Ok(());
                }
                self.text.extend_from_slice(&come[..n]);
                (*left, from) = (*left - n, from + n);
                continue;
            }
            let skip = if *begun { 2 } else { 0 };
            let Some(line) = come.get(skip..) else { break Ok(()) };
            match httparse::parse_chunk_size(line) {
                Ok(httparse::Status::Complete((_, 0))) => break Err(StreamError::Ended),
                Ok(httparse::Status::Complete((length, size))) => {
                    *left = usize::try_from(size).map_err(|_| StreamError::BadChunk)?;
                    *begun = true;
                    from += skip + length;
                }
                Ok(httparse::Status::Partial) => break Ok(()),
                Err(_) => break Err(StreamError::BadChunk),
            }
        };
        self.raw.drain(..from);
        // What came whole before the end is said first.
        if done.is_err() && self.block().is_some() { Ok(()) } else { done }
    }

    /// Where the first block ends that was not said, and how wide its end is.
    fn block(&mut self) -> Option<(usize, usize)> {
        let text = &self.text;
        let mut at = self.seen;
        while let Some(n) = text[at..].iter().position(|b| *b == b'\n') {
            let line = at + n;
            if text[line + 1..].starts_with(b"\n") {
                return Some((line, 2));
            }
            if line > self.used && text[line - 1] == b'\r' && text[line + 1..].starts_with(b"\r\n") {
                return Some((line - 1, 4));
            }
            if text.len() - line < 3 {
                // Its end may still come.
                self.seen = line;
                return None;
            }
            at = line + 1;
        }
        self.seen = text.len();
        None
    }
}

/// What a block of lines says; nothing, if it is empty.
fn read(block: &[u8]) -> Option<StreamItem> {
    let block = String::from_utf8_lossy(block);
    let (mut id, mut data, mut comment) = (None, String::new(), None);
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.parse().ok(),
            "data" if data.is_empty() => data.push_str(value),
            "data" => data = data + "\n" + value,
            "" if line.starts_with(':') => comment = Some(value),
            _ => {}
        }
    }
    if data.is_empty() {
        return comment.map(|c| StreamItem::Comment(c.to_owned()));
    }
    Some(StreamItem::Event { id, data })
}
