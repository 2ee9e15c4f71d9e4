//! An in-memory store whose next answers can be scripted.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::yield_now;

use crate::store::{
    Client, Error, Expect, Lease, Listing, Outcome, Record, Result, Revision, Watched, Write,
};

/// What happens to one call instead of a plain answer.
#[derive(Clone, Debug)]
pub enum Fault {
    /// It never reaches the store.
    Down,
    /// A write takes effect and its answer is lost.
    AnswerLost,
    /// A write is lost on its way, and nobody can tell.
    WriteLost,
    /// A write is held back on its way; see [`Store::release`].
    WriteHeld,
    /// A read is answered with the value before the last write.
    Stale,
    /// A read is answered with the first value ever.
    Oldest,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    records: BTreeMap<String, Record>,
    before: BTreeMap<String, Vec<Record>>,
    reads: VecDeque<Option<Fault>>,
    writes: VecDeque<Option<Fault>>,
    held: Vec<Write>,
    down: bool,
    written: Vec<Write>,
    applied: Vec<Write>,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Scripts the next reads; plain answers after that.
    pub fn reads(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state().reads = faults.into_iter().collect();
    }

    /// Scripts the next writes; plain answers after that.
    pub fn writes(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state().writes = faults.into_iter().collect();
    }

    /// Whether calls fail.
    pub fn down(&self, down: bool) {
        self.state().down = down;
    }

    /// Lets the writes held back arrive now.
    pub fn release(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.held) {
            state.apply(write);
        }
    }

    /// Writes that arrived, whether they took effect or not.
    pub fn written(&self) -> Vec<Write> {
        self.state().written.clone()
    }

    /// Writes that took effect.
    pub fn applied(&self) -> Vec<Write> {
        self.state().applied.clone()
    }

    /// Keys that exist.
    pub fn keys(&self) -> Vec<String> {
        self.state().records.keys().cloned().collect()
    }
}

impl State {
    fn before(&self, key: &str) -> Option<&[Record]> {
        self.before.get(key).map(Vec::as_slice)
    }

    fn apply(&mut self, write: Write) -> Outcome {
        self.written.push(write.clone());
        let current = self.records.get(&write.key).cloned();
        let holds = match write.expect {
            Expect::Anything => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current
                .as_ref()
                .is_some_and(|record| record.revision == revision),
        };
        if !holds {
            return Outcome::NotApplied(current);
        }
        self.applied.push(write.clone());
        self.revision += 1;
        let revision = Revision(self.revision);
        if let Some(current) = current {
            self.before
                .entry(write.key.clone())
                .or_default()
                .push(current);
        }
        match write.value {
            None => drop(self.records.remove(&write.key)),
            Some(value) => {
                let record = Record {
                    key: write.key.clone(),
                    value,
                    revision,
                    write_id: write.id,
                    lease: write.lease,
                };
                self.records.insert(write.key, record);
            }
        }
        Outcome::Applied(revision)
    }
}

fn unreachable() -> Error {
    Error::Unreachable {
        address: "127.0.0.1:1".into(),
        cause: "connection refused".into(),
    }
}

impl Client for Store {
    async fn get(&self, key: &str) -> Result<Option<Record>> {
        yield_now().await;
        let mut state = self.state();
        match state.reads.pop_front().flatten() {
            Some(Fault::Stale) => Ok(state.before(key).and_then(<[_]>::last).cloned()),
            Some(Fault::Oldest) => Ok(state.before(key).and_then(<[_]>::first).cloned()),
            Some(_) => Err(unreachable()),
            None if state.down => Err(unreachable()),
            None => Ok(state.records.get(key).cloned()),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let state = self.state();
        let records = state.records.values();
        Ok(Listing {
            revision: Revision(state.revision),
            records: records
                .filter(|record| record.key.starts_with(prefix))
                .cloned()
                .collect(),
        })
    }

    async fn write(&self, write: Write) -> Result<Outcome> {
        yield_now().await;
        let mut state = self.state();
        match state.writes.pop_front().flatten() {
            Some(Fault::AnswerLost) => {
                state.apply(write);
                Ok(Outcome::Unknown)
            }
            Some(Fault::WriteLost) => Ok(Outcome::Unknown),
            Some(Fault::WriteHeld) => {
                state.held.push(write);
                Ok(Outcome::Unknown)
            }
            Some(_) => Err(unreachable()),
            None if state.down => Err(unreachable()),
            None => Ok(state.apply(write)),
        }
    }

    async fn grant(&self, _ttl: Duration) -> Result<Lease> {
        Err(unreachable())
    }

    async fn renew(&self, _lease: Lease) -> Result<bool> {
        Err(unreachable())
    }

    async fn revoke(&self, _lease: Lease) -> Result<()> {
        Err(unreachable())
    }

    async fn watch(&self, _prefix: &str, _after: Revision, _wait: Duration) -> Result<Watched> {
        Err(unreachable())
    }
}
