//! Keys held, bounded in number and time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;

use super::Digest;

/// Claims held at the same time; about 25 MB.
pub(super) const MAX_CLAIMS: usize = 200_000;

/// Longest time that one claim is kept.
const MAX_TTL: Duration = Duration::from_hours(1);

#[derive(Clone, Copy, Debug)]
struct Claim {
    call: u64,
    expires_at: Time,
}

/// Claims by key and by time.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    claims: BTreeMap<Digest, Claim>,
    expiries: BTreeSet<(Time, Digest)>,
}

impl ClaimTable {
    pub(super) fn is_held_by_another(&mut self, now: Time, digest: Digest, call: u64) -> bool {
        self.expire(now);
        self.claims
            .get(&digest)
            .is_some_and(|claim| claim.call != call)
    }

    /// Holds a key that no other call holds. Tells whether there was room.
    pub(super) fn claim(&mut self, now: Time, digest: Digest, call: u64, ttl: Duration) -> bool {
        self.release(now, digest, call);
        if self.claims.len() >= MAX_CLAIMS {
            return false;
        }
        let expires_at = now + ttl.min(MAX_TTL);
        self.claims.insert(digest, Claim { call, expires_at });
        self.expiries.insert((expires_at, digest));
        true
    }

    pub(super) fn release(&mut self, now: Time, digest: Digest, call: u64) {
        self.expire(now);
        let Some(&claim) = self.claims.get(&digest) else {
            return;
        };
        if claim.call == call {
            self.claims.remove(&digest);
            self.expiries.remove(&(claim.expires_at, digest));
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(expires_at, digest)) = self.expiries.first() {
            if expires_at > now {
                return;
            }
            self.expiries.pop_first();
            self.claims.remove(&digest);
        }
    }
}
