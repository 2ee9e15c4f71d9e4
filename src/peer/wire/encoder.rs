//! Encodes frames.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;

use super::{HEADER_BYTES, MAX_MESSAGE_BYTES, Malformed, VERSION, kind};

/// Collects encoded frames that are sent together.
#[derive(Debug, Default)]
pub struct Encoder {
    buffer: BytesMut,
}

impl Encoder {
    /// Creates an encoder with an initial capacity in bytes.
    #[must_use]
    pub fn with_capacity(bytes: usize) -> Self {
        Self {
            buffer: BytesMut::with_capacity(bytes),
        }
    }

    /// Adds a frame that contains a message.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed::TooLong`] if the encoded message exceeds [`MAX_MESSAGE_BYTES`]; nothing
    /// is added then.
    pub fn push_message<M: Serialize>(&mut self, kind: u8, message: &M) -> Result<(), Malformed> {
        let frame_start = self.buffer.len();
        self.push_header(kind, 0);
        let mut writer = (&mut self.buffer).writer();
        bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
            .map_err(|_| Malformed::Message { kind })?;
        let payload = self.buffer.len() - frame_start - HEADER_BYTES;
        if payload > MAX_MESSAGE_BYTES {
            self.buffer.truncate(frame_start);
            return Err(Malformed::TooLong { bytes: payload });
        }
        let length = u32::try_from(payload).unwrap_or(u32::MAX);
        self.buffer[frame_start..frame_start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    /// Adds a frame without a payload.
    pub fn push_empty(&mut self, kind: u8) {
        self.push_header(kind, 0);
    }

    /// Adds a body frame with a copy of `part`.
    pub fn push_body(&mut self, part: &[u8]) {
        self.push_body_header(part.len());
        self.buffer.extend_from_slice(part);
    }

    /// Adds the header of a body frame whose payload of `bytes` bytes the caller sends separately.
    pub fn push_body_header(&mut self, bytes: usize) {
        self.push_header(kind::BODY, u32::try_from(bytes).unwrap_or(u32::MAX));
    }

    /// Whether no frame is collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the collected frames and leaves the encoder empty.
    pub fn take(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    fn push_header(&mut self, kind: u8, bytes: u32) {
        self.buffer.put_u32(bytes);
        self.buffer.put_u8(VERSION);
        self.buffer.put_u8(kind);
    }
}
