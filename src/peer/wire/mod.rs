//! Binary framing of the messages between two nodes; a stream of HTTP/2 carries several frames.
//!
//! A frame consists of a payload length (four bytes, big-endian), a version (one byte), a kind
//! (one byte) and the payload. The payload of [`kind::BODY`] is raw bytes; every other payload is
//! one message in bincode.
//!
//! Versions of nodes may differ during an upgrade. A message is therefore a list of fields with
//! its length in front: fields that the receiver does not know are skipped, and fields that the
//! sender did not know take their default. A frame of an unknown kind is dropped.

mod decoder;
mod encoder;
mod field;
mod message;

#[cfg(test)]
mod tests;

pub use decoder::{Decoder, Malformed, RawFrame, decode_message};
pub use encoder::Encoder;
pub use message::{
    ClaimRequestMessage, ClaimResponseMessage, CoordinationMessage, DeparturesMessage, Failed,
    LoadUpdateMessage, PlanRecords, ProgressMessage, Recall, Refused, RequestHead, ResponseHead,
    Trailers,
};

/// Version of the frames that this node sends.
pub const VERSION: u8 = 1;

/// Size of a frame header (length, version and kind), in bytes.
pub const HEADER_BYTES: usize = 6;

/// Maximum payload of a message frame, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Maximum payload of a body frame, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Kinds of frames. "To the gate" and "to the entry" give the direction.
pub mod kind {
    /// To the gate: starts a call. Message [`RequestHead`](super::RequestHead).
    pub const REQUEST_HEAD: u8 = 1;
    /// Both directions: a part of a body, as raw bytes.
    pub const BODY: u8 = 2;
    /// Both directions: trailers. Message [`Trailers`](super::Trailers).
    pub const TRAILERS: u8 = 3;
    /// Both directions: the request or response is complete. No payload.
    pub const END: u8 = 4;
    /// To the gate, on a stream of its own: withdraws a call of the same link if it is still
    /// queued. Message [`Recall`](super::Recall).
    pub const RECALL: u8 = 5;
    /// To the entry: the gate has admitted the call; the rest of the body may be sent. No payload.
    pub const ADMITTED: u8 = 6;
    /// To the entry: the call did not run. Message [`Refused`](super::Refused).
    pub const REFUSED: u8 = 7;
    /// To the entry: the outcome of the call is unknown. Message [`Failed`](super::Failed).
    pub const FAILED: u8 = 8;
    /// First frame of a claim request for an idempotency key. Message
    /// [`ClaimRequestMessage`](super::ClaimRequestMessage).
    pub const CLAIM_REQUEST: u8 = 10;
    /// Reply to a claim request. Message [`ClaimResponseMessage`](super::ClaimResponseMessage).
    pub const CLAIM_RESPONSE: u8 = 11;
    /// Both directions: the plan records that the sender knows. Message
    /// [`PlanRecords`](super::PlanRecords).
    pub const PLAN_RECORDS: u8 = 12;
    /// To the gate: subscribes to its load reports. No payload.
    pub const LOAD_SUBSCRIBE: u8 = 13;
    /// To the entry: a load report. Message [`LoadUpdateMessage`](super::LoadUpdateMessage).
    pub const LOAD_UPDATE: u8 = 14;
    /// To a relay: subscribes to its progress. No payload.
    pub const PROGRESS_SUBSCRIBE: u8 = 15;
    /// To a subscriber: how much the relay knows. Message
    /// [`ProgressMessage`](super::ProgressMessage).
    pub const PROGRESS: u8 = 16;
    /// Both directions: departures that a node acknowledged, as the sender knows them. Message
    /// [`DeparturesMessage`](super::DeparturesMessage).
    pub const DEPARTURES: u8 = 17;
    /// To a coordinator: what a node reports. Message
    /// [`CoordinationMessage`](super::CoordinationMessage).
    pub const REPORT: u8 = 18;
    /// From a coordinator: directives for the node that reported. Message
    /// [`CoordinationMessage`](super::CoordinationMessage).
    pub const DIRECTIVES: u8 = 19;
    /// To the entry: starts a response. Message [`ResponseHead`](super::ResponseHead).
    pub const RESPONSE_HEAD: u8 = 9;
}
