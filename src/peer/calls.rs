//! Registry of the calls received over one link that have no response yet.
//!
//! A recall arrives on a stream of its own, so the call it names is looked up here by its id.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::backend::Progress;

/// Running and queued calls of one link, by call id.
#[derive(Debug, Default)]
pub(super) struct ActiveCalls {
    by_id: Mutex<BTreeMap<u64, Arc<Progress>>>,
}

/// Registration of one call; dropping it removes the call from the registry.
pub(super) struct ActiveCall<'a> {
    calls: &'a ActiveCalls,
    call: u64,
    pub(super) progress: Arc<Progress>,
}

impl ActiveCalls {
    /// Adds a call, which can be recalled until the returned registration is dropped.
    pub(super) fn register(&self, call: u64) -> ActiveCall<'_> {
        let progress = Arc::new(Progress::default());
        self.lock().insert(call, Arc::clone(&progress));
        ActiveCall {
            calls: self,
            call,
            progress,
        }
    }

    /// Signals a recall to the call. A call that has already ended is ignored.
    pub(super) fn recall(&self, call: u64) {
        if let Some(progress) = self.lock().get(&call) {
            progress.recall.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Progress>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.call);
    }
}
