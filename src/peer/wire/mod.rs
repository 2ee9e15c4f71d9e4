//! Frames between two nodes, several to a stream of h2.
//!
//! A frame is a length of four bytes, a version, a kind and a payload. The
//! payload of [`kind::BODY`] is raw; every other payload is one message in
//! bincode. A message is a counted list of fields: fields that this version
//! does not know are skipped, and fields that the sender did not know take
//! their default. A frame of an unknown kind is dropped.

mod decoder;
mod encoder;
mod field;
mod message;

#[cfg(test)]
mod tests;

pub use decoder::{Decoder, Malformed, RawFrame, decode_message};
pub use encoder::Encoder;
pub use message::{
    ClaimRequestMessage, ClaimResponseMessage, Failed, LoadUpdateMessage, PlanRecords, Recall,
    Refused, RequestHead, ResponseHead, Trailers,
};

/// Version of the frames that this node sends.
pub const VERSION: u8 = 1;

/// Bytes of length, version and kind.
pub const HEADER_BYTES: usize = 6;

/// Longest payload of a message.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Longest payload of a body frame.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// What a frame holds.
pub mod kind {
    /// Up: the request's head. Message [`Open`](super::Open).
    pub const REQUEST_HEAD: u8 = 1;
    /// Both ways: a part of the body.
    pub const BODY: u8 = 2;
    /// Both ways: trailers. Message [`Trailers`](super::Trailers).
    pub const TRAILERS: u8 = 3;
    /// Both ways: request or answer is whole.
    pub const END: u8 = 4;
    /// Up, on a stream of its own: withdraw a call of this link if it is still
    /// queued. Message [`Recall`](super::Recall).
    pub const RECALL: u8 = 5;
    /// Down: the gate let the call through.
    pub const ADMITTED: u8 = 6;
    /// Down: not run. Message [`Refused`](super::Refused).
    pub const REFUSED: u8 = 7;
    /// Down: outcome unknown. Message [`Failed`](super::Failed).
    pub const FAILED: u8 = 8;
    /// Up: a question about an idempotency key. Message [`Claim`](super::Claim).
    pub const CLAIM_REQUEST: u8 = 10;
    /// Down: the answer to it. Message [`Claimed`](super::Claimed).
    pub const CLAIM_RESPONSE: u8 = 11;
    /// Both ways: what the sender knows of the operators' records. Message
    /// [`Bulletin`](super::Bulletin).
    pub const PLAN_RECORDS: u8 = 12;
    /// Up: asks to be told the load of the gate whenever it changes. No payload.
    pub const LOAD_SUBSCRIBE: u8 = 13;
    /// Down: the load of the gate. Message [`Loaded`](super::Loaded).
    pub const LOAD_UPDATE: u8 = 14;
    /// Down: the answer's head. Message [`Head`](super::Head).
    pub const RESPONSE_HEAD: u8 = 9;
}
