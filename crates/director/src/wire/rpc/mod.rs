//! MessagePack-RPC, as clients speak it and as directors call one another.

mod decode;
mod encode;
mod value_length;

use thiserror::Error;

pub use decode::{decode, decode_response};
pub use encode::{ResponseFrame, encode_call, encode_error, encode_health, encode_success};

/// What a client or another director sends.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request for an object.
    Request {
        /// The number of the call.
        call: u32,
        /// What is asked for.
        fields: RequestFields<'a>,
        /// The body that goes along.
        body: &'a [u8],
    },
    /// Whether the director is ready for requests.
    HealthCheck {
        /// The number of the call.
        call: u32,
    },
    /// The answer to a call is not wanted any more.
    Cancel {
        /// The number of that call.
        call: u32,
    },
    /// Another director calls, on behalf of the fleet.
    PeerCall {
        /// The number of the call.
        call: u32,
        /// Its messages, which the coordination reads.
        body: &'a [u8],
    },
    /// The number of a call is known, but what it asks for can't be used.
    Unusable {
        /// The number of the call.
        call: u32,
        /// Why it can't be used.
        cause: MessageError,
    },
}

/// The fields of a request as they lie in the message.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The 16 hex digits that name the request all its way.
    pub request_id: [u8; 16],
    /// The index of its class.
    pub class: usize,
    /// The time that its client waits, in milliseconds.
    pub budget_ms: u64,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group, by which it may be purged.
    pub group: u32,
    /// The size of the object, in KB; 0: not known.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<&'a str>,
    /// By which nodes know a repeat of a deduplicated request.
    pub idempotency_key: Option<&'a str>,
    /// The client has marked it as a repeat of an earlier request.
    pub is_client_retry: bool,
}

/// Why bytes are no message.
#[derive(Debug, Error, PartialEq)]
pub enum DecodeError {
    /// More must come.
    #[error("not complete")]
    Incomplete,
    /// Whatever comes, it is none.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum MessageError {
    /// A value is of another type than belongs there.
    #[error("not of the type that belongs there")]
    WrongType,
    /// A number is out of the range that belongs there.
    #[error("not a number of the range that belongs there")]
    NumberOutOfRange,
    /// The message is longer than one may be.
    #[error("message too long")]
    TooLong,
    /// A value is longer, or holds more values, than one may.
    #[error("too long")]
    ValueTooLong,
    /// Its values are nested too deep.
    #[error("nested too deep")]
    TooDeep,
    /// A value is of a type that no message holds.
    #[error("a type that no message holds")]
    UnknownType,
    /// A value can't be read.
    #[error("unreadable")]
    Unreadable,
    /// A value ends before its length.
    #[error("cut short")]
    CutShort,
    /// It is neither a request nor a notice.
    #[error("neither a request nor a notice")]
    UnknownKind,
    /// It is a notice other than a cancel.
    #[error("unknown notice")]
    UnknownNotice,
    /// No request class has the name of its method.
    #[error("unknown method")]
    UnknownMethod,
    /// Its parameters are not fields and a body.
    #[error("not fields and a body")]
    NotFieldsAndBody,
    /// A name or value is no text.
    #[error("not a text")]
    NotText,
    /// A field that must be there is missing.
    #[error("a field is missing")]
    MissingField,
    /// A field is not a number.
    #[error("a field is not a number")]
    NotANumber,
    /// A field can't stand in a line to a node.
    #[error("a field is no word")]
    NotAWord,
    /// A field is not 16 hex digits.
    #[error("not 16 hex digits")]
    NotHexDigits,
    /// The client's time is out of range.
    #[error("budget out of range")]
    BudgetOutOfRange,
    /// The size is out of range.
    #[error("size out of range")]
    SizeOutOfRange,
    /// It is not a response.
    #[error("no answer")]
    NotAResponse,
    /// A response is not a body and fields.
    #[error("not a body and fields")]
    NotBodyAndFields,
}
