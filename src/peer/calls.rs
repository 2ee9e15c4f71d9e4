//! Calls that came over one link and have no answer yet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::backend::Progress;

/// Running and queued calls of one link by their ids.
#[derive(Debug, Default)]
pub(super) struct ActiveCalls {
    by_id: Mutex<BTreeMap<u64, Arc<Progress>>>,
}

/// A call that can be recalled as long as this is held.
pub(super) struct ActiveCall<'a> {
    calls: &'a ActiveCalls,
    call: u64,
    pub(super) progress: Arc<Progress>,
}

impl ActiveCalls {
    pub(super) fn register(&self, call: u64) -> ActiveCall<'_> {
        let progress = Arc::new(Progress::default());
        self.lock().insert(call, Arc::clone(&progress));
        ActiveCall {
            calls: self,
            call,
            progress,
        }
    }

    /// Recalls a call; one that is not known any more needs no recall.
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
