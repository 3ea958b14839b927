//! MessagePack-RPC messages of clients, and of calls between directors.

mod decode;
mod encode;
mod skipped_call;
mod value_length;

use thiserror::Error;

pub use decode::{decode, decode_response};
pub use encode::{ResponseFrame, encode_call, encode_error, encode_health, encode_success};
pub use skipped_call::SkippedCall;

/// A message from a client or from another director.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request for an object.
    Request {
        /// The number of the call.
        call: u32,
        /// The fields of the request.
        fields: RequestFields<'a>,
        /// The body that is passed on to the node.
        body: &'a [u8],
    },
    /// A health check: asks whether the director is ready for requests.
    HealthCheck {
        /// The number of the call.
        call: u32,
    },
    /// Cancels a call.
    Cancel {
        /// The number of the cancelled call.
        call: u32,
    },
    /// A coordination call from another director.
    PeerCall {
        /// The number of the call.
        call: u32,
        /// The encoded coordination messages.
        body: &'a [u8],
    },
    /// A complete call whose bytes were discarded.
    Skipped {
        /// The number of the call.
        call: u32,
    },
    /// A call whose number is known, but whose content is invalid.
    Unusable {
        /// The number of the call.
        call: u32,
        /// Why the content is invalid.
        cause: MessageError,
    },
}

/// The fields of a request, borrowed from the message.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The request id: 16 hex digits, passed on unchanged to nodes.
    pub request_id: [u8; 16],
    /// The index of the request class.
    pub class: usize,
    /// How long the client waits, in milliseconds.
    pub budget_ms: u64,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The group of the object, by which it may be purged.
    pub group: u32,
    /// The size of the object in KB; 0 if it is not known.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<&'a str>,
    /// The key by which nodes recognize a repeat of a deduplicated request.
    pub idempotency_key: Option<&'a str>,
    /// Whether the client has marked the request as a retry.
    pub is_client_retry: bool,
}

/// Why bytes could not be decoded to a message.
#[derive(Debug, Error, PartialEq)]
pub enum DecodeError {
    /// The message is incomplete: more bytes must be received.
    #[error("the message is incomplete")]
    Incomplete,
    /// The bytes are not a valid message, whatever follows.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}

/// Why a message is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum MessageError {
    /// A value has another type than its place requires.
    #[error("a value has the wrong type")]
    WrongType,
    /// A value is not an integer within the range that its place requires.
    #[error("a value is not an integer in the valid range")]
    NumberOutOfRange,
    /// The message is longer than the limit.
    #[error("the message is too long")]
    TooLong,
    /// A value is longer than a body may be, or the message holds more values than the limit.
    #[error("a value is too long, or there are too many values")]
    ValueTooLong,
    /// Values are nested deeper than the limit.
    #[error("values are nested too deep")]
    TooDeep,
    /// A value has a type that no message uses.
    #[error("a value has a type that no message uses")]
    UnknownType,
    /// Reading a value failed.
    #[error("unreadable")]
    Unreadable,
    /// A value is shorter than its length says.
    #[error("a value is truncated")]
    Truncated,
    /// The message is neither a request nor a notification.
    #[error("neither a request nor a notification")]
    UnknownKind,
    /// The message is a notification other than `cancelRequest`.
    #[error("unknown notification")]
    UnknownNotification,
    /// The method is not the name of a request class.
    #[error("unknown method")]
    UnknownMethod,
    /// The parameters of a request are not a map of fields and a body.
    #[error("the parameters are not fields and a body")]
    InvalidParameters,
    /// A field name, field value or method is not a string.
    #[error("a name or value is not a string")]
    NotAString,
    /// A required field is missing.
    #[error("a required field is missing")]
    MissingField,
    /// A field is not a number.
    #[error("a field is not a number")]
    NotANumber,
    /// A field can't be written as a word of a line to a node.
    #[error("a field is empty, too long or not alphanumeric")]
    NotAWord,
    /// A field is not 16 lowercase hex digits.
    #[error("a field is not 16 lowercase hex digits")]
    NotHexDigits,
    /// The `budget` field is out of range.
    #[error("budget out of range")]
    BudgetOutOfRange,
    /// The `mem` field is out of range.
    #[error("size out of range")]
    SizeOutOfRange,
    /// The message is not a response.
    #[error("not a response")]
    NotAResponse,
    /// The result of a response is not a body and fields.
    #[error("the result is not a body and fields")]
    InvalidResult,
}
