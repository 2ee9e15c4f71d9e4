//! Claims on idempotency keys.
//!
//! Before a non-idempotent call with a key is sent to a gate, its entry claims
//! the key at two holders in different availability zones, and asks two more
//! nodes whether they hold it from the time of an earlier view. Holders are
//! found by rendezvous hashing, so that every entry finds the same ones. A node
//! that has seen both holders of an earlier view go says so, and the call is
//! refused as unknown. docs/design/calls.md states the exact promise.

mod rank;
mod table;
#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::clock::Time;
use crate::membership::View;

use rank::ViewHistory;
use table::ClaimTable;

pub use rank::{HOLDER_NODES, QUERIED_NODES, rank_nodes};

/// Time for which a claim is kept after the call's deadline.
pub const CLAIM_RETENTION: Duration = Duration::from_mins(10);

/// Hash of service, tenant and key, which alone travels between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub u128);

impl Digest {
    /// Digest of a key within its service and tenant.
    #[must_use]
    pub fn of(service: &str, tenant: &str, key: &[u8]) -> Self {
        let mut input = Vec::with_capacity(service.len() + tenant.len() + key.len() + 2);
        input.extend_from_slice(service.as_bytes());
        input.push(0);
        input.extend_from_slice(tenant.as_bytes());
        input.push(0);
        input.extend_from_slice(key);
        Self(xxh3_128(&input))
    }
}

/// What a node is asked to do with a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum ClaimAction {
    /// Tell whether it is held.
    #[default]
    Query = 0,
    /// Hold it for the call.
    Claim = 1,
    /// Forget it: the call did not run.
    Release = 2,
}

/// What a node says of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum ClaimStatus {
    /// It cannot tell.
    #[default]
    Unknown = 0,
    /// It is free, or held for this very call.
    Free = 1,
    /// Another call holds it.
    Held = 2,
}

impl ClaimAction {
    /// The intent with this number on the wire.
    #[must_use]
    pub const fn from_number(number: u8) -> Self {
        match number {
            1 => Self::Claim,
            2 => Self::Release,
            _ => Self::Query,
        }
    }
}

impl ClaimStatus {
    /// The verdict with this number on the wire.
    #[must_use]
    pub const fn from_number(number: u8) -> Self {
        match number {
            1 => Self::Free,
            2 => Self::Held,
            _ => Self::Unknown,
        }
    }
}

/// A question about one key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The key.
    pub digest: Digest,
    /// Call that asks.
    pub call: u64,
    /// Regions that may hold it; empty for any.
    pub regions: &'a [String],
    /// What to do.
    pub intent: ClaimAction,
    /// Time for which to keep a claim.
    pub keep: Duration,
}

/// Claims that this node holds, and the views it has seen.
#[derive(Debug, Default)]
pub struct Claims {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: ClaimTable,
    history: ViewHistory,
}

impl Claims {
    /// Takes note of the view at `now`.
    pub fn on_view(&self, now: Time, view: &Arc<View>) {
        self.lock().history.record(now, view);
    }

    /// Answers a question.
    pub fn handle(&self, now: Time, request: &ClaimRequest<'_>) -> ClaimStatus {
        let mut inner = self.lock();
        let ClaimRequest { digest, call, .. } = *request;
        if request.intent == ClaimAction::Release {
            inner.table.release(now, digest, call);
            return ClaimStatus::Free;
        }
        if inner.table.is_held_by_another(now, digest, call) {
            return ClaimStatus::Held;
        }
        if inner
            .history
            .may_have_lost_claims(now, digest, request.regions)
        {
            return ClaimStatus::Unknown;
        }
        let is_accepted = request.intent == ClaimAction::Query
            || inner.table.claim(now, digest, call, request.keep);
        if is_accepted {
            ClaimStatus::Free
        } else {
            ClaimStatus::Unknown
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
