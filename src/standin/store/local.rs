//! The stand-in within the process of its caller, for tests in virtual time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock::Time;
use crate::store::protocol::Written;
use crate::store::{
    Client, Error, Lease, Listing, Outcome, Record, Result, Revision, Watched, Write,
};

use super::Counters;
use super::state::State;

/// A store that is called directly. Clones share it.
#[derive(Clone, Debug)]
pub struct Local {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    counters: Counters,
    down: bool,
}

impl Default for Local {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                started: Instant::now(),
                inner: Mutex::default(),
                changed: Notify::new(),
            }),
        }
    }
}

impl Local {
    /// Calls so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Whether calls fail without any effect.
    pub fn down(&self, down: bool) {
        self.lock().down = down;
    }

    fn now(&self) -> Time {
        Time::ZERO + self.shared.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let inner = self.shared.inner.lock();
        let mut inner = inner.unwrap_or_else(PoisonError::into_inner);
        inner.state.lapse(self.now());
        inner
    }

    /// Makes one call.
    fn call<T>(
        &self,
        count: impl FnOnce(&mut Counters) -> &mut u64,
        call: impl FnOnce(&mut State) -> T,
    ) -> Result<T> {
        let mut inner = self.lock();
        if inner.down {
            return Err(Error::Unreachable {
                address: "local".to_owned(),
                cause: "the store is down".to_owned(),
            });
        }
        *count(&mut inner.counters) += 1;
        let answer = call(&mut inner.state);
        drop(inner);
        self.shared.changed.notify_waiters();
        Ok(answer)
    }
}

impl Client for Local {
    async fn get(&self, key: &str) -> Result<Option<Record>> {
        self.call(|calls| &mut calls.gets, |state| state.get(key))
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.call(|calls| &mut calls.lists, |state| state.list(prefix))
    }

    async fn write(&self, write: Write) -> Result<Outcome> {
        let written = self.call(|calls| &mut calls.writes, |state| state.write(write))?;
        Ok(match written {
            Written::Applied(revision) => Outcome::Applied(revision),
            Written::NotApplied(record) => Outcome::NotApplied(record),
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease> {
        let now = self.now();
        self.call(|calls| &mut calls.grants, |state| state.grant(now, ttl))
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        let now = self.now();
        self.call(|calls| &mut calls.renewals, |state| state.renew(now, lease))
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.call(|calls| &mut calls.revocations, |state| state.revoke(lease))
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
        self.call(|calls| &mut calls.watches, |_| ())?;
        let end = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            let found = self.lock().state.changes(prefix, after);
            if let Some(watched) = found {
                return Ok(watched);
            }
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, changed).await.is_err() {
                return Ok(Watched::Changes {
                    revision: self.lock().state.revision(),
                    changes: Vec::new(),
                });
            }
        }
    }
}
