//! Bodies of the HTTP calls that docs/STORE.md describes.

use serde::{Deserialize, Serialize};

use super::{Lease, Record, Revision};

/// Path of [`Get`].
pub const GET: &str = "/v1/get";
/// Path of [`List`].
pub const LIST: &str = "/v1/list";
/// Path of [`Write`](super::Write).
pub const WRITE: &str = "/v1/write";
/// Path of [`Grant`].
pub const GRANT: &str = "/v1/grant";
/// Path of [`Renew`].
pub const RENEW: &str = "/v1/renew";
/// Path of [`Revoke`].
pub const REVOKE: &str = "/v1/revoke";
/// Path of [`Watch`].
pub const WATCH: &str = "/v1/watch";

/// Reads one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Get {
    /// Key to read.
    pub key: String,
}

/// Answer to [`Get`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Got {
    /// The record, if there is one.
    pub record: Option<Record>,
}

/// Reads all keys under a prefix; answered by a [`Listing`](super::Listing).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct List {
    /// Start of the keys.
    pub prefix: String,
}

/// Answer to a [`Write`](super::Write).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Written {
    /// It took effect.
    Applied(Revision),
    /// It did not take effect; what is there instead.
    NotApplied(Option<Record>),
}

/// Takes a lease; answered by a [`Lease`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// Extends a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// Lease to extend.
    pub lease: Lease,
}

/// Answer to [`Renew`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renewed {
    /// Whether the lease still existed.
    pub alive: bool,
}

/// Ends a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Revoke {
    /// Lease to end.
    pub lease: Lease,
}

/// Waits for changes; answered by [`Watched`](super::Watched).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Watch {
    /// Start of the keys.
    pub prefix: String,
    /// Changes up to this revision are known.
    pub after: Revision,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}
