//! Who has said of whom that it does not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::{Epoch, Id};

/// Accusations by the accused.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnesses {
    accusations: BTreeMap<Id, BTreeMap<Id, Statement>>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    epoch: Epoch,
    made: Time,
}

impl Witnesses {
    pub(super) fn add(&mut self, now: Time, witness: Id, accused: Id, epoch: Epoch) {
        let statement = Statement { epoch, made: now };
        self.accusations
            .entry(accused)
            .or_default()
            .insert(witness, statement);
    }

    /// Witnesses against `accused` whose word is not older than `life`.
    pub(super) fn count(&self, now: Time, accused: Id, epoch: Epoch, life: Duration) -> usize {
        let counts =
            |statement: &&Statement| statement.epoch == epoch && now.since(statement.made) <= life;
        self.accusations
            .get(&accused)
            .map_or(0, |statements| statements.values().filter(counts).count())
    }

    /// Drops the word of `witness` against `accused`.
    pub(super) fn withdraw(&mut self, witness: Id, accused: Id) {
        if let Some(statements) = self.accusations.get_mut(&accused) {
            statements.remove(&witness);
        }
    }

    /// Drops everything older than `life`.
    pub(super) fn prune(&mut self, now: Time, life: Duration) {
        self.accusations.retain(|_, statements| {
            statements.retain(|_, statement| now.since(statement.made) <= life);
            !statements.is_empty()
        });
    }

    pub(super) fn clear(&mut self) {
        self.accusations.clear();
    }
}
