//! Short keys of instances, for digests, ranks and wire messages.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an instance's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Key of the instance called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Rendezvous score of `self` for `key`; the highest score wins.
    #[must_use]
    pub fn score(self, key: Self) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.0.to_le_bytes());
        bytes[8..].copy_from_slice(&self.0.to_le_bytes());
        xxh3_64(&bytes)
    }
}
