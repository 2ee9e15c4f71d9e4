//! Compressed JSON, as nodes pass it on.
//!
//! Records of the operators are packed once for each version, and a node passes on the bytes that
//! it received. A large configuration therefore costs a relay no more than its transfer.

use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::Record;

/// Maximum size of unpacked JSON, in bytes. The store limits one value to a megabyte.
const MAX_JSON_BYTES: u64 = 16 * 1024 * 1024;

/// Packs a value. Returns `None` if it cannot be serialised.
#[must_use]
pub fn pack<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    compress(&serde_json::to_vec(value).ok()?)
}

/// Unpacks a value. Returns `None` if the bytes are damaged or too long.
#[must_use]
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut json = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    let mut bounded = decoder.take(MAX_JSON_BYTES + 1);
    bounded.read_to_end(&mut json).ok()?;
    let is_short = u64::try_from(json.len()).is_ok_and(|length| length <= MAX_JSON_BYTES);
    is_short
        .then(|| serde_json::from_slice(&json).ok())
        .flatten()
}

/// Operators' records, packed; clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedRecords(Arc<[u8]>);

impl PackedRecords {
    /// Packs records. Returns `None` if they cannot be serialised.
    #[must_use]
    pub fn pack(records: &[Record]) -> Option<Self> {
        pack(&records).map(|bytes| Self(bytes.into()))
    }

    /// Packs records that are JSON already.
    #[must_use]
    pub fn from_json(json: &[u8]) -> Option<Self> {
        compress(json).map(|bytes| Self(bytes.into()))
    }

    /// Takes bytes that a peer sent; [`Self::unpack`] checks them.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// The compressed bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Unpacks the records. Returns `None` if the bytes are damaged or too long.
    #[must_use]
    pub fn unpack(&self) -> Option<Vec<Record>> {
        unpack(&self.0)
    }
}

fn compress(json: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json).ok()?;
    encoder.finish().ok()
}
