//! Keys held, bounded in number and time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;

use super::Digest;

/// Claims held at the same time; about 25 MB.
pub(super) const CAPACITY: usize = 200_000;

/// Longest time that one claim is kept.
const MAX_KEEP: Duration = Duration::from_hours(1);

#[derive(Clone, Copy, Debug)]
struct Held {
    call: u64,
    expires: Time,
}

/// Claims by key and by time.
#[derive(Debug, Default)]
pub(super) struct Table {
    held: BTreeMap<Digest, Held>,
    expiries: BTreeSet<(Time, Digest)>,
}

impl Table {
    pub(super) fn is_held_by_another(&mut self, now: Time, digest: Digest, call: u64) -> bool {
        self.expire(now);
        self.held.get(&digest).is_some_and(|held| held.call != call)
    }

    /// Holds a key that no other call holds. Tells whether there was room.
    pub(super) fn claim(&mut self, now: Time, digest: Digest, call: u64, keep: Duration) -> bool {
        self.release(now, digest, call);
        if self.held.len() >= CAPACITY {
            return false;
        }
        let expires = now + keep.min(MAX_KEEP);
        self.held.insert(digest, Held { call, expires });
        self.expiries.insert((expires, digest));
        true
    }

    pub(super) fn release(&mut self, now: Time, digest: Digest, call: u64) {
        self.expire(now);
        let Some(&held) = self.held.get(&digest) else {
            return;
        };
        if held.call == call {
            self.held.remove(&digest);
            self.expiries.remove(&(held.expires, digest));
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(expires, digest)) = self.expiries.first() {
            if expires > now {
                return;
            }
            self.expiries.pop_first();
            self.held.remove(&digest);
        }
    }
}
