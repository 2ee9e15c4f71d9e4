//! Idle connections to the backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use hyper::client::conn::http1::SendRequest;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::call::Body;

/// Connections that may be used again, the last used one first.
#[derive(Debug)]
pub(super) struct Pool {
    idle: Mutex<Vec<Idle>>,
    capacity: usize,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
    kept: Option<Duration>,
}

impl Pool {
    pub(super) fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::new(Vec::new()),
            capacity,
        })
    }

    /// Takes a connection that has been idle for less than `max_idle`.
    pub(super) fn take(&self, max_idle: Duration) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            let max_idle = last.kept.map_or(max_idle, |kept| kept.min(max_idle));
            let old = last.since.elapsed() >= max_idle;
            if !old && last.sender.is_ready() {
                return Some(last.sender);
            }
        }
        None
    }

    /// Keeps a connection as soon as its last exchange has ended.
    /// `kept` is the time for which the other side keeps it.
    pub(super) fn give_back(
        self: &Arc<Self>,
        mut sender: SendRequest<Body>,
        kept: Option<Duration>,
    ) {
        match sender.ready().now_or_never() {
            Some(Ok(())) => self.keep(sender, kept),
            Some(Err(_)) => {}
            None => {
                // At the end of the process there is no runtime any more, and nothing to keep.
                let Ok(runtime) = Handle::try_current() else {
                    return;
                };
                let pool = Arc::clone(self);
                runtime.spawn(async move {
                    if sender.ready().await.is_ok() {
                        pool.keep(sender, kept);
                    }
                });
            }
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    fn keep(&self, sender: SendRequest<Body>, kept: Option<Duration>) {
        let mut idle = self.lock();
        if idle.len() < self.capacity {
            idle.push(Idle {
                sender,
                since: Instant::now(),
                kept,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
