//! Calls as the store counts them.

use serde::{Deserialize, Serialize};

/// Calls since the start, read by `GET /-/counters`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// `get` calls.
    pub gets: u64,
    /// `list` calls.
    pub lists: u64,
    /// `watch` calls.
    pub watches: u64,
    /// `write` calls.
    pub writes: u64,
    /// `grant` calls.
    pub grants: u64,
    /// `renew` calls.
    pub renewals: u64,
    /// `revoke` calls.
    pub revocations: u64,
    /// Watches waiting at the moment.
    pub waiting: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Bytes of the bodies received.
    pub bytes_in: u64,
    /// Bytes of the bodies sent.
    pub bytes_out: u64,
}

impl Counters {
    /// Calls that count against the read rate.
    #[must_use]
    pub const fn total_reads(&self) -> u64 {
        self.gets + self.lists + self.watches
    }

    /// Calls that count against the write rate.
    #[must_use]
    pub const fn total_writes(&self) -> u64 {
        self.writes + self.grants + self.renewals + self.revocations
    }
}
