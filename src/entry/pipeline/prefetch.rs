//! Calls that were started before their turn.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::Response;
use http::request::Parts;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

use super::scanner::Head;
use crate::call::Body;
use crate::entry::Entry;

/// Prefetched calls of one connection, by the number of their request.
#[derive(Debug)]
pub(super) struct Prefetches {
    limit: usize,
    calls: BTreeMap<u64, Prefetched>,
}

/// A call that was started before its turn; cancelled when dropped.
#[derive(Debug)]
pub(super) struct Prefetched {
    /// The request as the scanner read it.
    head: Parts,
    call: JoinHandle<Option<Response<Body>>>,
    _permit: OwnedSemaphorePermit,
}

impl Prefetches {
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit,
            calls: BTreeMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Starts a call. Returns whether later requests of the connection may be started as well.
    pub(super) fn start(&mut self, entry: &Arc<Entry>, index: u64, head: &Head<'_, '_>) -> bool {
        if self.calls.len() >= self.limit || entry.parts.stopping.is_cancelled() {
            return true;
        }
        let Some(head) = head.to_parts() else {
            return false;
        };
        let permits = Arc::clone(&entry.prefetch_permits);
        let Ok(permit) = permits.try_acquire_owned() else {
            return true;
        };
        let entry = Arc::clone(entry);
        let ahead = head.clone();
        let call = tokio::spawn(async move { entry.handle_ahead(ahead).await });
        let prefetched = Prefetched {
            head,
            call,
            _permit: permit,
        };
        self.calls.insert(index, prefetched);
        true
    }

    /// Takes the call of a request that hyper has read. A call of another request would mean that
    /// the scanner and hyper disagree, so all are given up then.
    pub(super) fn take(&mut self, index: u64, head: &Parts) -> Option<Prefetched> {
        let prefetched = self.calls.remove(&index)?;
        if prefetched.is_for(head) {
            return Some(prefetched);
        }
        log::warn!("a pipelined request was read in two ways; its connection is served in turn");
        self.calls.clear();
        self.limit = 0;
        None
    }
}

impl Prefetched {
    /// The response; `None` if the call was left to its turn.
    pub(super) async fn response(mut self) -> Option<Response<Body>> {
        // A panic of the task has been printed already.
        (&mut self.call).await.ok().flatten()
    }

    fn is_for(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.headers == head.headers
    }
}

impl Drop for Prefetched {
    fn drop(&mut self) {
        self.call.abort();
    }
}
