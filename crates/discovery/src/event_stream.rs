//! The response to one call: an HTTP head, then a body, plain or in chunks, of blocks of lines that end with an empty
//! line.

use thiserror::Error;

const MAX_HEADERS: usize = 32;
/// The line end that follows the data of a chunk.
const CHUNK_END_LEN: usize = 2;

/// What a feed sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The call was accepted: events follow.
    Connected,
    /// An event.
    Event {
        /// The number that precedes it, if one does.
        id: Option<u64>,
        /// Its JSON.
        data: String,
    },
    /// A comment, which shows that the feed is up.
    Comment(String),
}

/// Why a call is over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The status code is not 200.
    #[error("answer {0}")]
    UnexpectedStatus(u16),
    /// The head isn't HTTP.
    #[error("not HTTP: {0}")]
    NotHttp(httparse::Error),
    /// The length of a chunk can't be read.
    #[error("bad chunk")]
    BadChunk,
    /// The last chunk has come.
    #[error("stream ended")]
    Ended,
    /// The head or an event has too many bytes.
    #[error("an event is too long")]
    TooLong,
    /// The connection was closed within the head.
    #[error("ended in its head")]
    EndedInHead,
}

#[derive(Debug)]
enum BodyState {
    /// The head is not complete yet.
    Head,
    Plain,
    Chunked {
        /// Bytes left of the current chunk.
        left: usize,
        /// A chunk was read, so that its line end precedes the next one.
        has_begun: bool,
    },
}

/// Where a block of lines ends.
struct BlockEnd {
    at: usize,
    /// Bytes of the line ends.
    len: usize,
}

/// Reads one response as its bytes come.
#[derive(Debug)]
pub struct EventStreamParser {
    /// The head, or chunks that are not unpacked.
    raw: Vec<u8>,
    /// The text of the body.
    text: Vec<u8>,
    /// How much of the text was returned as items.
    consumed: usize,
    /// Up to here the text has no further end of a block.
    searched: usize,
    body: BodyState,
    max_bytes: usize,
}

impl EventStreamParser {
    /// Neither the head nor an event may be longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> EventStreamParser {
        EventStreamParser {
            raw: Vec::new(),
            text: Vec::new(),
            consumed: 0,
            searched: 0,
            body: BodyState::Head,
            max_bytes,
        }
    }

    /// Adds bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        let target = if matches!(self.body, BodyState::Plain) { &mut self.text } else { &mut self.raw };
        target.extend_from_slice(bytes);
    }

    /// The connection was closed; an error if that was within the head.
    pub fn finish(&self) -> Result<(), StreamError> {
        if matches!(self.body, BodyState::Head) { Err(StreamError::EndedInHead) } else { Ok(()) }
    }

    /// Bytes that are kept of what is not complete.
    pub fn buffered_bytes(&self) -> usize {
        self.raw.len() + self.text.len() - self.consumed
    }

    /// The next item, if it is complete.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, StreamError> {
        if matches!(self.body, BodyState::Head) {
            return self.parse_head();
        }
        self.unpack_chunks()?;
        while let Some(end) = self.find_block_end() {
            let block = &self.text[self.consumed..end.at];
            if block.len() > self.max_bytes {
                return Err(StreamError::TooLong);
            }
            let item = parse_block(block);
            self.consumed = end.at + end.len;
            self.searched = self.consumed;
            if item.is_some() {
                return Ok(item);
            }
        }
        self.text.drain(..self.consumed);
        self.searched -= self.consumed;
        self.consumed = 0;
        if self.text.len() > self.max_bytes { Err(StreamError::TooLong) } else { Ok(None) }
    }

    fn parse_head(&mut self) -> Result<Option<StreamItem>, StreamError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.raw).map_err(StreamError::NotHttp)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if self.raw.len() > self.max_bytes => return Err(StreamError::TooLong),
            httparse::Status::Partial => return Ok(None),
        };
        if response.code != Some(200) {
            return Err(StreamError::UnexpectedStatus(response.code.unwrap_or(0)));
        }
        let is_chunked = response.headers.iter().any(is_chunked_encoding);
        self.raw.drain(..length);
        if is_chunked {
            self.body = BodyState::Chunked { left: 0, has_begun: false };
        } else {
            self.body = BodyState::Plain;
            self.text = std::mem::take(&mut self.raw);
        }
        Ok(Some(StreamItem::Connected))
    }

    /// Moves the data of chunks to the text.
    fn unpack_chunks(&mut self) -> Result<(), StreamError> {
        let BodyState::Chunked { left, has_begun } = &mut self.body else { return Ok(()) };
        let mut used = 0;
        let result = loop {
            let rest = &self.raw[used..];
            if *left > 0 {
                let n = rest.len().min(*left);
                if n == 0 {
                    break Ok(());
                }
                self.text.extend_from_slice(&rest[..n]);
                *left -= n;
                used += n;
                continue;
            }
            let line_end_len = if *has_begun { CHUNK_END_LEN } else { 0 };
            let Some(size_line) = rest.get(line_end_len..) else { break Ok(()) };
            match httparse::parse_chunk_size(size_line) {
                Ok(httparse::Status::Complete((_, 0))) => break Err(StreamError::Ended),
                Ok(httparse::Status::Complete((length, size))) => {
                    *left = usize::try_from(size).map_err(|_| StreamError::BadChunk)?;
                    *has_begun = true;
                    used += line_end_len + length;
                }
                Ok(httparse::Status::Partial) => break Ok(()),
                Err(_) => break Err(StreamError::BadChunk),
            }
        };
        self.raw.drain(..used);
        // What was complete before the end is returned first.
        if result.is_err() && self.find_block_end().is_some() { Ok(()) } else { result }
    }

    /// The end of the first block that was not returned.
    fn find_block_end(&mut self) -> Option<BlockEnd> {
        let text = &self.text;
        let mut start = self.searched;
        while let Some(offset) = text[start..].iter().position(|byte| *byte == b'\n') {
            let line_end = start + offset;
            let rest = &text[line_end + 1..];
            if rest.starts_with(b"\n") {
                return Some(BlockEnd { at: line_end, len: 2 });
            }
            if line_end > self.consumed && text[line_end - 1] == b'\r' && rest.starts_with(b"\r\n") {
                return Some(BlockEnd { at: line_end - 1, len: 4 });
            }
            if rest.len() < 2 {
                // The block's end may still come.
                self.searched = line_end;
                return None;
            }
            start = line_end + 1;
        }
        self.searched = text.len();
        None
    }
}

fn is_chunked_encoding(header: &httparse::Header) -> bool {
    header.name.eq_ignore_ascii_case("transfer-encoding")
        && header.value.to_ascii_lowercase().ends_with(b"chunked")
}

/// What a block of lines says; nothing if it has neither data nor a comment.
fn parse_block(block: &[u8]) -> Option<StreamItem> {
    let block = String::from_utf8_lossy(block);
    let mut id = None;
    let mut data = String::new();
    let mut comment = None;
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
        return comment.map(|comment| StreamItem::Comment(comment.to_owned()));
    }
    Some(StreamItem::Event { id, data })
}
