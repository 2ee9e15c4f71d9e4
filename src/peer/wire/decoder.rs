//! Decodes frames from a byte stream that arrives in chunks of any size.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use serde::Deserialize;

use super::{HEADER_BYTES, MAX_BODY_BYTES, MAX_MESSAGE_BYTES, kind};

/// Error of a frame that cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Malformed {
    /// a frame of {bytes} bytes exceeds the size limit; check what is connected to the peer port
    TooLong {
        /// Payload length in bytes, as announced by the header or as encoded.
        bytes: usize,
    },
    /// a message of kind {kind} cannot be encoded or decoded; compare the versions of both nodes
    Message {
        /// Kind of the frame (see [`kind`]).
        kind: u8,
    },
}

impl std::error::Error for Malformed {}

/// A frame with its payload not yet decoded, or a part of a body frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawFrame {
    /// A part of a body; a body frame may arrive in several parts.
    Body(Bytes),
    /// Kind and payload of any other frame, complete.
    Message(u8, Bytes),
}

/// Incremental frame decoder. Buffers at most one message and one chunk.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Bytes,
    body_remaining: usize,
}

impl Decoder {
    /// Appends a received chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.buffer.is_empty() {
            self.buffer = chunk;
            return;
        }
        let mut joined = BytesMut::with_capacity(self.buffer.len() + chunk.len());
        joined.extend_from_slice(&self.buffer);
        joined.extend_from_slice(&chunk);
        self.buffer = joined.freeze();
    }

    /// Whether a frame has been received in part.
    #[must_use]
    pub fn has_partial_frame(&self) -> bool {
        self.body_remaining > 0 || !self.buffer.is_empty()
    }

    /// Returns the next frame or part of a body, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed::TooLong`] if the announced length exceeds the limit of the kind, before
    /// the payload is buffered.
    pub fn next_frame(&mut self) -> Result<Option<RawFrame>, Malformed> {
        if self.body_remaining > 0 {
            return Ok(self.take_body_part());
        }
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [a, b, c, d, _version, kind] = *header;
        let bytes = u32::from_be_bytes([a, b, c, d]) as usize;
        if kind == kind::BODY {
            return self.start_body(bytes);
        }
        if bytes > MAX_MESSAGE_BYTES {
            return Err(Malformed::TooLong { bytes });
        }
        if self.buffer.len() < HEADER_BYTES + bytes {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        Ok(Some(RawFrame::Message(kind, self.buffer.split_to(bytes))))
    }

    /// Consumes the header of a body frame and returns its first part, if any has arrived.
    fn start_body(&mut self, bytes: usize) -> Result<Option<RawFrame>, Malformed> {
        if bytes > MAX_BODY_BYTES {
            return Err(Malformed::TooLong { bytes });
        }
        self.buffer.advance(HEADER_BYTES);
        self.body_remaining = bytes;
        if bytes == 0 {
            return Ok(Some(RawFrame::Body(Bytes::new())));
        }
        Ok(self.take_body_part())
    }

    /// Returns what has arrived of the current body frame.
    fn take_body_part(&mut self) -> Option<RawFrame> {
        if self.buffer.is_empty() {
            return None;
        }
        let part = self
            .buffer
            .split_to(self.body_remaining.min(self.buffer.len()));
        self.body_remaining -= part.len();
        Some(RawFrame::Body(part))
    }
}

/// Decodes the message of a frame. Fields added by later versions are skipped.
///
/// # Errors
///
/// Returns [`Malformed::Message`] if the payload is not a message of this kind.
pub fn decode_message<'de, M: Deserialize<'de>>(
    kind: u8,
    payload: &'de [u8],
) -> Result<M, Malformed> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::borrow_decode_from_slice(payload, config)
        .map(|(message, _)| message)
        .map_err(|_| Malformed::Message { kind })
}
