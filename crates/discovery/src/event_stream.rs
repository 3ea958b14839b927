//! Parser of the response to one call: an HTTP head, then a plain or chunked body that consists of blocks of lines,
//! each of which ends with an empty line (server-sent events).

use thiserror::Error;

const MAX_HEADERS: usize = 32;
/// The line end that follows the data of a chunk.
const CHUNK_END_LEN: usize = 2;

/// The line ends of the last line of a block and of the empty line behind it.
const BLOCK_END: &[u8] = b"\n\n";

/// What a feed sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The call was accepted, and events follow.
    Connected,
    /// An event.
    Event {
        /// The number in the event's `id` field, if it has a valid one.
        id: Option<u64>,
        /// The content of the event's `data` fields.
        data: String,
    },
    /// A comment, which shows that the feed is alive.
    Comment(String),
}

/// Why a call has ended.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The status code is not 200.
    #[error("answer {0}")]
    UnexpectedStatus(u16),
    /// The response head is not valid HTTP, or has too many headers.
    #[error("not HTTP: {0}")]
    NotHttp(httparse::Error),
    /// The size of a chunk can't be parsed.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// The last chunk was received.
    #[error("stream ended")]
    Ended,
    /// The head or an event has too many bytes.
    #[error("the head or an event is too long")]
    TooLong,
    /// The connection was closed before the head was complete.
    #[error("connection closed before the response head was complete")]
    EndedInHead,
}

/// How the next bytes of the response are interpreted.
#[derive(Debug)]
enum BodyState {
    /// The head is not complete yet.
    Head,
    Plain,
    Chunked {
        /// Bytes of the current chunk that are still missing.
        left: usize,
        /// Whether a chunk was read before, whose line end then precedes the next chunk size.
        has_begun: bool,
    },
}

/// The decoded body. Lines may end in CR, LF or both, also mixed; here each ends in LF.
#[derive(Debug, Default)]
struct BodyText {
    text: Vec<u8>,
    /// Whether the last byte that was added was a CR, which has ended its line, so that an LF behind it ends no other.
    follows_cr: bool,
}

impl BodyText {
    fn push(&mut self, bytes: &[u8]) {
        self.text.reserve(bytes.len());
        for &byte in bytes {
            match byte {
                b'\n' if self.follows_cr => {}
                b'\r' => self.text.push(b'\n'),
                other => self.text.push(other),
            }
            self.follows_cr = byte == b'\r';
        }
    }
}

/// Parses one response incrementally.
#[derive(Debug)]
pub struct EventStreamParser {
    /// Received bytes of the head, or of chunks that are not decoded yet.
    raw: Vec<u8>,
    body_text: BodyText,
    /// Number of bytes of `body_text` that were returned as items, or skipped as blocks without an item.
    consumed: usize,
    /// Position up to which `body_text` has been searched for the end of the next block.
    searched: usize,
    body: BodyState,
    max_bytes: usize,
}

impl EventStreamParser {
    /// Creates a parser that rejects an event longer than `max_bytes`, and a head that is incomplete after more bytes
    /// than that.
    pub fn new(max_bytes: usize) -> EventStreamParser {
        EventStreamParser {
            raw: Vec::new(),
            body_text: BodyText::default(),
            consumed: 0,
            searched: 0,
            body: BodyState::Head,
            max_bytes,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if matches!(self.body, BodyState::Plain) {
            self.body_text.push(bytes);
        } else {
            self.raw.extend_from_slice(bytes);
        }
    }

    /// Handles the end of the connection. Returns an error if the head was not complete.
    pub fn finish(&self) -> Result<(), StreamError> {
        if matches!(self.body, BodyState::Head) { Err(StreamError::EndedInHead) } else { Ok(()) }
    }

    /// Returns the number of received bytes that were not returned as items yet.
    pub fn buffered_bytes(&self) -> usize {
        self.raw.len() + self.body_text.text.len() - self.consumed
    }

    /// Returns the next item, or `None` if no further item is complete.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, StreamError> {
        if matches!(self.body, BodyState::Head) {
            return self.parse_head();
        }
        self.decode_chunks()?;
        while let Some(end) = self.find_block_end() {
            let block = &self.body_text.text[self.consumed..end];
            if block.len() > self.max_bytes {
                return Err(StreamError::TooLong);
            }
            let item = parse_block(block);
            self.consumed = end + BLOCK_END.len();
            self.searched = self.consumed;
            if item.is_some() {
                return Ok(item);
            }
        }
        self.body_text.text.drain(..self.consumed);
        self.searched -= self.consumed;
        self.consumed = 0;
        if self.body_text.text.len() > self.max_bytes { Err(StreamError::TooLong) } else { Ok(None) }
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
            self.body_text.push(&std::mem::take(&mut self.raw));
        }
        Ok(Some(StreamItem::Connected))
    }

    /// Decodes complete and partial chunks into `text`.
    fn decode_chunks(&mut self) -> Result<(), StreamError> {
        let BodyState::Chunked { left, has_begun } = &mut self.body else { return Ok(()) };
        let mut consumed_bytes = 0;
        let result = loop {
            let rest = &self.raw[consumed_bytes..];
            if *left > 0 {
                let n = rest.len().min(*left);
                if n == 0 {
                    break Ok(());
                }
                self.body_text.push(&rest[..n]);
                *left -= n;
                consumed_bytes += n;
                continue;
            }
            let line_end_len = if *has_begun { CHUNK_END_LEN } else { 0 };
            let Some(size_line) = rest.get(line_end_len..) else { break Ok(()) };
            match httparse::parse_chunk_size(size_line) {
                Ok(httparse::Status::Complete((_, 0))) => break Err(StreamError::Ended),
                Ok(httparse::Status::Complete((length, size))) => {
                    *left = usize::try_from(size).map_err(|_| StreamError::InvalidChunkSize)?;
                    *has_begun = true;
                    consumed_bytes += line_end_len + length;
                }
                Ok(httparse::Status::Partial) => break Ok(()),
                Err(_) => break Err(StreamError::InvalidChunkSize),
            }
        };
        self.raw.drain(..consumed_bytes);
        // Blocks that were complete before the end of the chunks are returned first.
        if result.is_err() && self.find_block_end().is_some() { Ok(()) } else { result }
    }

    /// Returns the end of the first block that was not returned yet: the position after its last line, where the line end
    /// of an empty line follows that of its own.
    fn find_block_end(&mut self) -> Option<usize> {
        let rest = &self.body_text.text[self.searched..];
        let end = rest.windows(BLOCK_END.len()).position(|bytes| bytes == BLOCK_END);
        match end {
            Some(offset) => Some(self.searched + offset),
            None => {
                // The last byte may be the first one of the block's end.
                self.searched += rest.len().saturating_sub(BLOCK_END.len() - 1);
                None
            }
        }
    }
}

fn is_chunked_encoding(header: &httparse::Header) -> bool {
    header.name.eq_ignore_ascii_case("transfer-encoding")
        && header.value.to_ascii_lowercase().ends_with(b"chunked")
}

/// Parses a block of lines. Returns `None` if it has neither data nor a comment.
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
