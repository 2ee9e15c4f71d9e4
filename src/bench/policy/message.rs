//! Frames between entries and the gates of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::call::Reason;
use crate::gate::LoadReport;

/// From an entry to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) enum Request {
    /// Run a call.
    Call(Call),
    /// Take back a call that is still queued.
    Recall {
        /// Key of the call on this connection.
        id: u64,
    },
    /// Report the load.
    Probe {
        /// Key of the probe on this connection.
        id: u64,
    },
}

/// One call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) id: u64,
    pub(super) worth: u32,
    pub(super) left: Duration,
    pub(super) work: Duration,
    /// Whether the gate was passed elsewhere.
    pub(super) admitted: bool,
}

/// From a gate to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Answer {
    pub(super) id: u64,
    pub(super) result: Outcome,
    pub(super) load: LoadReport,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) enum Outcome {
    /// The gate let it through; the result follows.
    Admitted,
    /// It ran.
    Done,
    /// It was not run.
    Refused(Reason),
    /// It failed.
    Failed,
    /// The load was reported.
    Probed,
}

/// Encodes a frame. Encoding plain values into memory cannot fail.
pub(super) fn encode(frame: &impl Serialize) -> Bytes {
    let bytes = bincode::serde::encode_to_vec(frame, bincode::config::standard());
    Bytes::from(bytes.unwrap_or_default())
}

/// Decodes a frame.
pub(super) fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(frame, _)| frame)
}
