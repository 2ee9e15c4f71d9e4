//! Everything one node has learned about instances.
//!
//! Entries form a lattice: of two entries for one instance the one with the
//! higher epoch wins, then the one with the higher standing. Merging is
//! commutative, associative and idempotent, so the order and number of
//! messages do not matter.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Epoch, Instance, InstanceId};
use crate::clock::Time;

/// Digests that a roster is divided into.
pub const BUCKETS: usize = 64;
/// Time after which an instance that is down or leaving counts as gone.
const GONE_AFTER: Duration = Duration::from_mins(10);
/// Time after which an instance that is gone is forgotten.
const FORGET_AFTER: Duration = Duration::from_hours(24);

/// What is held of an instance. Later variants supersede earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum MemberStatus {
    /// Takes new work.
    Present,
    /// Peers agree that it does not answer.
    Down,
    /// Takes no new work and finishes what it has.
    Leaving,
    /// Has left, or has been down for long.
    Gone,
}

/// One instance with its standing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Its announcement.
    pub instance: Instance,
    /// Its standing under that announcement.
    pub standing: MemberStatus,
}

impl Entry {
    /// Key of the instance.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.instance.name)
    }

    fn hash(&self) -> u64 {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard());
        xxh3_64(&bytes.unwrap_or_default())
    }
}

#[derive(Clone, Debug)]
struct StoredEntry {
    entry: Entry,
    hash: u64,
    changed_at: Time,
}

impl StoredEntry {
    fn order(&self) -> (Epoch, MemberStatus, u64) {
        (self.entry.instance.epoch, self.entry.standing, self.hash)
    }
}

/// Entries by instance.
#[derive(Clone, Debug)]
pub struct Roster {
    known: BTreeMap<InstanceId, StoredEntry>,
    buckets: [u64; BUCKETS],
    generation: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            buckets: [0; BUCKETS],
            generation: 0,
        }
    }
}

impl Roster {
    /// Takes in `entry` unless a newer one is known. Tells whether anything
    /// changed.
    pub fn merge(&mut self, now: Time, entry: Entry) -> bool {
        let id = entry.id();
        let new = StoredEntry {
            hash: entry.hash(),
            entry,
            changed_at: now,
        };
        if let Some(known) = self.known.get(&id) {
            if new.order() <= known.order() {
                return false;
            }
            let known = known.clone();
            self.toggle_digest(id, &known);
        }
        self.toggle_digest(id, &new);
        self.known.insert(id, new);
        self.generation += 1;
        true
    }

    /// Marks an instance down under its epoch `epoch`.
    pub fn set_standing(
        &mut self,
        now: Time,
        id: InstanceId,
        epoch: Epoch,
        standing: MemberStatus,
    ) -> bool {
        let Some(known) = self.known.get(&id) else {
            return false;
        };
        if known.entry.instance.epoch != epoch {
            return false;
        }
        let entry = Entry {
            standing,
            ..known.entry.clone()
        };
        self.merge(now, entry)
    }

    /// The entry of an instance.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Entry> {
        self.known.get(&id).map(|known| &known.entry)
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Entry)> {
        self.known.iter().map(|(id, known)| (*id, &known.entry))
    }

    /// Changes with every change of the entries.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Digest of everything that is not gone.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Digests by bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Entries of the buckets that differ from `peer_buckets`.
    #[must_use]
    pub fn differing(&self, peer_buckets: &[u64]) -> Vec<Entry> {
        let differs =
            |id: InstanceId| peer_buckets.get(bucket(id)) != Some(&self.buckets[bucket(id)]);
        self.iter()
            .filter(|(id, _)| differs(*id))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Lets entries go whose time has passed.
    pub fn prune(&mut self, now: Time) {
        self.known.retain(|_, known| {
            known.entry.standing != MemberStatus::Gone || now.since(known.changed_at) < FORGET_AFTER
        });
        let expired: Vec<Entry> = self
            .known
            .values()
            .filter(|known| is_expired(known, now))
            .map(|known| Entry {
                standing: MemberStatus::Gone,
                ..known.entry.clone()
            })
            .collect();
        for entry in expired {
            self.merge(now, entry);
        }
    }

    fn toggle_digest(&mut self, id: InstanceId, known: &StoredEntry) {
        if known.entry.standing != MemberStatus::Gone {
            self.buckets[bucket(id)] ^= known.hash;
        }
    }
}

fn is_expired(known: &StoredEntry, now: Time) -> bool {
    let may_expire = matches!(
        known.entry.standing,
        MemberStatus::Down | MemberStatus::Leaving
    );
    may_expire && now.since(known.changed_at) >= GONE_AFTER
}

fn bucket(id: InstanceId) -> usize {
    usize::from(id.0.to_le_bytes()[0]) % BUCKETS
}
