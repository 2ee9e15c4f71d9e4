//! Reads frames from the chunks in which they arrive.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use serde::Deserialize;

use super::{HEADER_BYTES, MAX_BODY_BYTES, MAX_MESSAGE_BYTES, kind};

/// Why bytes are no frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Malformed {
    /// a frame of {bytes} bytes is longer than allowed; check what is connected to the peer port
    TooLong {
        /// Length that was announced.
        bytes: usize,
    },
    /// the message of kind {kind} cannot be read; compare the versions of both nodes
    Message {
        /// Kind of the frame.
        kind: u8,
    },
}

impl std::error::Error for Malformed {}

/// A frame, or a part of a body frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawFrame {
    /// A part of a body.
    Body(Bytes),
    /// A whole frame of another kind.
    Message(u8, Bytes),
}

/// Reads frames; holds at most one message and one chunk.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Bytes,
    body_remaining: usize,
}

impl Decoder {
    /// Adds a chunk.
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

    /// Whether a frame has begun and is not whole.
    #[must_use]
    pub fn has_partial_frame(&self) -> bool {
        self.body_remaining > 0 || !self.buffer.is_empty()
    }

    /// The next frame, if it is here.
    ///
    /// # Errors
    ///
    /// Fails when the announced length is over the limit of its kind.
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

/// Reads the message of a frame. Fields added by later versions are skipped.
///
/// # Errors
///
/// Fails when the payload is not such a message.
pub fn decode_message<'de, M: Deserialize<'de>>(
    kind: u8,
    payload: &'de [u8],
) -> Result<M, Malformed> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::borrow_decode_from_slice(payload, config)
        .map(|(message, _)| message)
        .map_err(|_| Malformed::Message { kind })
}
