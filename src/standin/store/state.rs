//! Keys, leases and history of the stand-in. Pure: it is given the time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::store::{
    Change, Expect, Lease, Listing, Record, Revision, Watched, Write, protocol::Written,
};

/// Changes kept for watches.
const HISTORY_CHANGES: usize = 20_000;

/// Everything the store keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    revision: Revision,
    entries: BTreeMap<String, Record>,
    leases: BTreeMap<u64, Term>,
    history: VecDeque<Change>,
    compacted: Revision,
    last_lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    ttl: Duration,
    end: Time,
}

impl State {
    pub(super) fn get(&self, key: &str) -> Option<Record> {
        self.entries.get(key).cloned()
    }

    pub(super) fn list(&self, prefix: &str) -> Listing {
        let records = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, record)| record.clone())
            .collect();
        Listing {
            revision: self.revision,
            records,
        }
    }

    pub(super) fn write(&mut self, write: Write) -> Written {
        let present = self.entries.get(&write.key);
        let holds = match write.expect {
            Expect::Anything => true,
            Expect::Absent => present.is_none(),
            Expect::Revision(revision) => present.is_some_and(|record| record.revision == revision),
        };
        let lease_gone = write
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease.0));
        if !holds || lease_gone {
            return Written::NotApplied(present.cloned());
        }
        let Some(value) = write.value else {
            self.delete(&write.key);
            return Written::Applied(self.revision);
        };
        self.revision.0 += 1;
        let record = Record {
            key: write.key.clone(),
            value,
            revision: self.revision,
            write_id: write.id,
            lease: write.lease,
        };
        self.remember(Change::Put(record.clone()));
        self.entries.insert(write.key, record);
        Written::Applied(self.revision)
    }

    pub(super) fn grant(&mut self, now: Time, ttl: Duration) -> Lease {
        self.last_lease += 1;
        let term = Term {
            ttl,
            end: now + ttl,
        };
        self.leases.insert(self.last_lease, term);
        Lease(self.last_lease)
    }

    pub(super) fn renew(&mut self, now: Time, lease: Lease) -> bool {
        let Some(term) = self.leases.get_mut(&lease.0) else {
            return false;
        };
        term.end = now + term.ttl;
        true
    }

    pub(super) fn revoke(&mut self, lease: Lease) {
        self.leases.remove(&lease.0);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, record)| record.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Ends the leases whose time has passed.
    pub(super) fn lapse(&mut self, now: Time) {
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, term)| term.end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.revoke(Lease(lease));
        }
    }

    /// Ends all leases.
    pub(super) fn end_leases(&mut self) {
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        for lease in leases {
            self.revoke(Lease(lease));
        }
    }

    /// Changes under `prefix` after `after`; nothing while there are none.
    pub(super) fn changes(&self, prefix: &str, after: Revision) -> Option<Watched> {
        if after < self.compacted {
            return Some(Watched::Compacted);
        }
        let changes: Vec<Change> = self
            .history
            .iter()
            .skip_while(|change| revision(change) <= after)
            .filter(|change| key(change).starts_with(prefix))
            .cloned()
            .collect();
        if changes.is_empty() {
            return None;
        }
        Some(Watched::Changes {
            revision: self.revision,
            changes,
        })
    }

    pub(super) const fn revision(&self) -> Revision {
        self.revision
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.revision.0 += 1;
        self.remember(Change::Delete {
            key: key.to_owned(),
            revision: self.revision,
        });
    }

    fn remember(&mut self, change: Change) {
        self.history.push_back(change);
        if self.history.len() > HISTORY_CHANGES
            && let Some(dropped) = self.history.pop_front()
        {
            self.compacted = revision(&dropped);
        }
    }
}

const fn revision(change: &Change) -> Revision {
    match change {
        Change::Put(record) => record.revision,
        Change::Delete { revision, .. } => *revision,
    }
}

fn key(change: &Change) -> &str {
    match change {
        Change::Put(record) => &record.key,
        Change::Delete { key, .. } => key,
    }
}
