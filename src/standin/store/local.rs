//! The stand-in within the process of its caller, for tests in virtual time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock::Time;
use crate::store::protocol::Written;
use crate::store::{
    Client, Error, Expect, Lease, Listing, Outcome, Record, Result, Revision, Watched, Write,
    WriteId,
};

use super::Counters;
use super::state::State;

/// Time after which a call without an answer fails, beside the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A store that is called directly. Clones share it.
#[derive(Clone, Debug)]
pub struct Local {
    shared: Arc<Shared>,
    /// Whether answers to the calls of this caller are lost.
    is_silent: Arc<AtomicBool>,
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
    silent: bool,
}

impl Default for Local {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                started: Instant::now(),
                inner: Mutex::default(),
                changed: Notify::new(),
            }),
            is_silent: Arc::default(),
        }
    }
}

impl Local {
    /// The same store for a caller of its own, whose answers may be lost.
    #[must_use]
    pub fn for_caller(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            is_silent: Arc::default(),
        }
    }

    /// The same as [`Self::silent`], for the calls of this caller alone.
    pub fn silent_to_caller(&self, silent: bool) {
        self.is_silent.store(silent, Ordering::Relaxed);
    }

    fn loses_answers(&self) -> bool {
        self.lock().silent || self.is_silent.load(Ordering::Relaxed)
    }

    /// Calls so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Whether calls fail without any effect.
    pub fn down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Ends all leases, as a store does whose leases run on while it is down.
    pub fn end_leases(&self) {
        self.lock().state.end_leases();
        self.shared.changed.notify_waiters();
    }

    /// Writes without a condition and without a lease; returns the revision.
    #[must_use]
    pub fn put(&self, key: &str, value: &str) -> Revision {
        let mut inner = self.lock();
        inner.state.write(Write {
            key: key.to_owned(),
            value: Some(value.to_owned()),
            expect: Expect::Anything,
            lease: None,
            id: WriteId(0),
        });
        let revision = inner.state.revision();
        drop(inner);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Whether calls are carried out and their answers are lost, also those of calls that wait.
    pub fn silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Fails after `limit` if the store has been silent before or after the call.
    async fn answer<T>(&self, limit: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
        let started = Instant::now();
        let was_silent = self.loses_answers();
        let answer = call.await;
        if was_silent || self.loses_answers() {
            tokio::time::sleep_until(started + limit).await;
            return Err(Error::Unreachable {
                address: "local".to_owned(),
                cause: "no answer in time".to_owned(),
            });
        }
        answer
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
        let call = async { self.call(|calls| &mut calls.lists, |state| state.list(prefix)) };
        self.answer(CALL_TIMEOUT, call).await
    }

    async fn write(&self, write: Write) -> Result<Outcome> {
        let call = async { self.call(|calls| &mut calls.writes, |state| state.write(write)) };
        let written = self.answer(CALL_TIMEOUT, call).await?;
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
        let call =
            async { self.call(|calls| &mut calls.renewals, |state| state.renew(now, lease)) };
        self.answer(CALL_TIMEOUT, call).await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.call(|calls| &mut calls.revocations, |state| state.revoke(lease))
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
        let call = self.wait_for_changes(prefix, after, wait);
        self.answer(wait + CALL_TIMEOUT, call).await
    }
}

impl Local {
    async fn wait_for_changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched> {
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
