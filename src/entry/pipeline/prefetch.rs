//! Calls that were started before their turn.
//!
//! A server may process pipelined requests side by side only if all of them are safe (RFC 9112,
//! 9.3.2). A call is therefore started ahead only if every request of its connection from the one in
//! turn up to it is safe. Until then its request waits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, header};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

use super::scanner::Head;
use crate::call::Body;
use crate::entry::Entry;
use crate::entry::request::is_idempotent;
use crate::headers;

/// Prefetched calls of one connection, by the number of their request.
#[derive(Debug)]
pub(super) struct Prefetches {
    limit: usize,
    calls: BTreeMap<u64, Prefetched>,
    in_turn: Option<InTurn>,
    /// Safe requests behind one that is not.
    safe: BTreeSet<u64>,
    /// Those whose calls may still be started.
    waiting: BTreeMap<u64, Parts>,
    /// Number of the first request behind the one in turn that is not known to be safe.
    safe_until: u64,
}

/// The request in turn.
#[derive(Debug)]
struct InTurn {
    index: u64,
    /// What decides on its route; `None` if its method is not safe.
    head: Option<Parts>,
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
            in_turn: None,
            safe: BTreeSet::new(),
            waiting: BTreeMap::new(),
            safe_until: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Takes in a complete request behind the one in turn, and starts its call if it may run beside
    /// those before it. Returns whether later requests of the connection may be started as well.
    pub(super) fn find(&mut self, entry: &Arc<Entry>, index: u64, head: &Head<'_, '_>) -> bool {
        let Some(head) = head.to_parts() else {
            return false;
        };
        if is_idempotent(entry, &head) {
            self.safe.insert(index);
            if self.calls.len() + self.waiting.len() < self.limit {
                self.waiting.insert(index, head);
            }
            self.start_waiting(entry);
        }
        true
    }

    /// Takes in that hyper has read the next request, so that the one before it has been answered.
    pub(super) fn set_in_turn(&mut self, entry: &Arc<Entry>, index: u64, head: &Parts) {
        let is_safe = matches!(head.method, Method::GET | Method::HEAD);
        let head = is_safe.then(|| routing_head(head));
        self.in_turn = Some(InTurn { index, head });
        self.safe = self.safe.split_off(&(index + 1));
        self.waiting = self.waiting.split_off(&(index + 1));
        if !self.waiting.is_empty() {
            self.start_waiting(entry);
        }
    }

    /// Starts the calls that follow the request in turn without an unsafe one in between.
    fn start_waiting(&mut self, entry: &Arc<Entry>) {
        let Some(InTurn { index, head }) = &self.in_turn else {
            return;
        };
        if !head.as_ref().is_some_and(|head| is_idempotent(entry, head)) {
            return;
        }
        self.safe_until = self.safe_until.max(index + 1);
        while self.safe.remove(&self.safe_until) {
            if let Some(head) = self.waiting.remove(&self.safe_until) {
                self.start(entry, self.safe_until, head);
            }
            self.safe_until += 1;
        }
    }

    /// Starts a call, unless the node stops or has no room for it; then it is left to its turn.
    fn start(&mut self, entry: &Arc<Entry>, index: u64, head: Parts) {
        if entry.parts.stopping.is_cancelled() {
            return;
        }
        let permits = Arc::clone(&entry.prefetch_permits);
        let Ok(permit) = permits.try_acquire_owned() else {
            return;
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
        self.waiting.clear();
        self.limit = 0;
        None
    }
}

/// The parts of a head that decide on its route.
fn routing_head(head: &Parts) -> Parts {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = head.method.clone();
    parts.uri = head.uri.clone();
    parts.headers = HeaderMap::with_capacity(2);
    for name in [header::HOST, headers::SERVICE] {
        if let Some(value) = head.headers.get(&name) {
            parts.headers.insert(name, value.clone());
        }
    }
    parts
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
