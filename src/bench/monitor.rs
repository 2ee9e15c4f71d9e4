//! Asks nodes for the plan version they have in force.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarpc::context;
use tokio_util::task::AbortOnDropHandle;

use super::promises::{Ledger, Versions};
use crate::clock::{Clock, Time};
use crate::membership::{self, Status};
use crate::plan::Version;

const INTERVAL: Duration = Duration::from_millis(250);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Inner {
    nodes: BTreeSet<SocketAddr>,
    versions: Versions,
    ledger: Ledger,
}

/// Watches nodes in the background until it is dropped.
#[derive(Debug)]
pub struct Monitor {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    _asking: AbortOnDropHandle<()>,
}

impl Monitor {
    /// A monitor that watches no node yet.
    #[must_use]
    pub fn start() -> Self {
        let clock = Clock::start();
        let inner = Arc::default();
        let asking = tokio::spawn(ask_all(clock, Arc::clone(&inner)));
        Self {
            clock,
            inner,
            _asking: AbortOnDropHandle::new(asking),
        }
    }

    /// Watches a node that was started, or resumed after a pause.
    pub fn watch(&self, node: SocketAddr) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        inner.nodes.insert(node);
        inner.versions.resume(now, node);
    }

    /// Ignores a node that is about to be stopped, killed or frozen.
    pub fn ignore(&self, node: SocketAddr) {
        lock(&self.inner).nodes.remove(&node);
    }

    /// Expects every node to have a version in force soon.
    pub fn expect(&self, version: Version) {
        let now = self.clock.now();
        lock(&self.inner).versions.accept(now, version);
    }

    /// Checks made so far.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        lock(&self.inner).ledger.clone()
    }
}

/// Asks a node for its status.
///
/// # Errors
///
/// Fails when the node does not answer in time.
pub async fn status(node: SocketAddr) -> io::Result<Status> {
    let asking = async {
        let client = membership::connect(node).await?;
        client
            .status(context::current())
            .await
            .map_err(io::Error::other)
    };
    tokio::time::timeout(ANSWER_TIMEOUT, asking).await?
}

async fn ask_all(clock: Clock, inner: Arc<Mutex<Inner>>) {
    loop {
        let nodes = lock(&inner).nodes.clone();
        for node in nodes {
            tokio::spawn(ask(node, clock.now(), Arc::clone(&inner)));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn ask(node: SocketAddr, asked: Time, inner: Arc<Mutex<Inner>>) {
    let Ok(status) = status(node).await else {
        return;
    };
    let mut guard = lock(&inner);
    let inner = &mut *guard;
    if inner.nodes.contains(&node) {
        let ledger = &mut inner.ledger;
        inner
            .versions
            .observe(asked, node, status.plan_version, ledger);
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}
