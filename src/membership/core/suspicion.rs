//! Accusations received for each instance: which monitors report that it does not respond.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::{Epoch, InstanceId};

/// Accusations by accused instance and accuser.
#[derive(Clone, Debug, Default)]
pub(super) struct AccusationLog {
    accusations: BTreeMap<InstanceId, BTreeMap<InstanceId, AccusationRecord>>,
}

#[derive(Clone, Copy, Debug)]
struct AccusationRecord {
    epoch: Epoch,
    made_at: Time,
}

impl AccusationLog {
    pub(super) fn add(
        &mut self,
        now: Time,
        witness: InstanceId,
        accused: InstanceId,
        epoch: Epoch,
    ) {
        let record = AccusationRecord {
            epoch,
            made_at: now,
        };
        self.accusations
            .entry(accused)
            .or_default()
            .insert(witness, record);
    }

    /// Number of accusers of `accused` whose accusation is not older than `ttl`.
    pub(super) fn count(
        &self,
        now: Time,
        accused: InstanceId,
        epoch: Epoch,
        ttl: Duration,
    ) -> usize {
        let is_valid =
            |record: &&AccusationRecord| record.epoch == epoch && now.since(record.made_at) <= ttl;
        self.accusations
            .get(&accused)
            .map_or(0, |records| records.values().filter(is_valid).count())
    }

    /// Removes the accusation of `accused` by `witness`.
    pub(super) fn withdraw(&mut self, witness: InstanceId, accused: InstanceId) {
        if let Some(records) = self.accusations.get_mut(&accused) {
            records.remove(&witness);
        }
    }

    /// Drops everything older than `ttl`.
    pub(super) fn prune(&mut self, now: Time, ttl: Duration) {
        self.accusations.retain(|_, records| {
            records.retain(|_, record| now.since(record.made_at) <= ttl);
            !records.is_empty()
        });
    }

    pub(super) fn clear(&mut self) {
        self.accusations.clear();
    }
}
