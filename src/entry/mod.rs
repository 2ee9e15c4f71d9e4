//! HTTP reverse proxy for callers: forwards each request to a backend server.
//!
//! The head of a request is checked against the plan before its body is read. The router then
//! chooses a backend server, and the call goes to its gate: over a link to another node, or
//! directly for the backend server beside this node. The response goes back to the caller as a
//! stream. Failed attempts are retried within a retry budget, slow idempotent calls may get a
//! hedged request, and calls with an idempotency key claim it first. docs/CALLS.md lists every
//! refusal.
//!
//! An [`Entry`] shares the router, the links and the gate with the rest of its node. Its own
//! state is the call age estimate of each route.
//!
//! ```no_run
//! # use std::sync::{Arc, Mutex};
//! # use monsooncove::{backend, call, clock::Clock, peer, routing::{Location, Router}};
//! # async fn sketch(executor: Arc<backend::Executor>, location: Location) -> std::io::Result<()> {
//! use monsooncove::entry::{self, Entry, Parts};
//! use tokio::net::TcpListener;
//! use tokio_util::sync::CancellationToken;
//!
//! let router = Router::new(monsooncove::routing::Settings::default(), location.clone(), 1);
//! let observer = Arc::new(call::NoopObserver);
//! let links = peer::Links::new(peer::Settings::default(), observer.clone());
//! let entry = Entry::new(Parts {
//!     location,
//!     service: "odber".to_owned(),
//!     snapshot_source: executor.snapshot_source.clone(),
//!     router: Arc::new(Mutex::new(router)),
//!     executor,
//!     links: Arc::new(links),
//!     clock: Clock::start(),
//!     dialect: Arc::new(monsooncove::dialect::Native),
//!     observer,
//!     local: Arc::default(),
//!     ids: Arc::new(call::IdGenerator::new(1)),
//!     stopping: CancellationToken::new(),
//!     settings: entry::Settings::default(),
//! });
//! let shutdown = CancellationToken::new();
//! let listener = TcpListener::bind("127.0.0.1:0").await?;
//! let server = tokio::spawn(entry::serve(listener, entry, shutdown.clone()));
//!
//! // Closes the listener, waits for running calls, then returns.
//! shutdown.cancel();
//! server.await?;
//! # Ok(())
//! # }
//! ```
//!
//! `executor` and `Parts` share one clock. The node calls
//! [`Router::update`](crate::routing::Router::update) on every change of the plan or the view.

mod attempt;
mod call_age;
mod claim;
mod forward;
mod hedge;
mod pipeline;
mod progress;
mod request;
mod request_body;
mod response_body;
mod response_buffer;
mod retry_after;
mod server;
mod settings;
#[cfg(test)]
pub(crate) mod tests;

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::backend::Executor;
use crate::call::{IdGenerator, Observer, SnapshotSource};
use crate::clock::{Clock, Time};
use crate::coordination::Local;
use crate::dialect::Dialect;
use crate::peer::Links;
use crate::routing::{Location, Router};

use call_age::CallAgeEstimator;

pub use retry_after::RetryAdvice;
pub use server::serve;
pub use settings::Settings;

/// Largest number of calls of one node that are started before their turn.
const MAX_PREFETCHED_CALLS: usize = 256;

/// Components and settings of an [`Entry`].
pub struct Parts {
    /// Instance, region and availability zone of the node.
    pub location: Location,
    /// Service of requests that name none.
    pub service: String,
    /// Source of the plan in force and the known instances.
    pub snapshot_source: Arc<dyn SnapshotSource>,
    /// Chooses a backend server for each attempt.
    pub router: Arc<Mutex<Router>>,
    /// Gate and backend server beside this node.
    pub executor: Arc<Executor>,
    /// Links to other nodes.
    pub links: Arc<Links>,
    /// Clock of the node.
    pub clock: Clock,
    /// Request and response headers that callers use.
    pub dialect: Arc<dyn Dialect>,
    /// Receiver of metrics, traces and decision lines.
    pub observer: Arc<dyn Observer>,
    /// Rate limits of tenants.
    pub local: Arc<Local>,
    /// Source of call and span ids.
    pub ids: Arc<IdGenerator>,
    /// Cancelled when the node stops. HTTP/1 responses then carry `connection: close`, so that
    /// callers connect to another node.
    pub stopping: CancellationToken,
    /// Limits and retry settings.
    pub settings: Settings,
}

/// The entry of one node.
pub struct Entry {
    parts: Parts,
    connections: TaskTracker,
    call_ages: Mutex<CallAgeEstimator>,
    /// Calls of this node that may be started before their turn.
    prefetch_permits: Arc<Semaphore>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("place", &self.parts.location)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Creates an entry, to be passed to [`serve`].
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            connections: TaskTracker::new(),
            call_ages: Mutex::default(),
            prefetch_permits: Arc::new(Semaphore::new(MAX_PREFETCHED_CALLS)),
        })
    }

    /// Number of open connections of callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Estimates how long the caller has been waiting, including earlier attempts of its own.
    /// Zero unless [`Settings::estimates_call_age`] is set.
    fn call_age(&self, now: Time, route: &str, time_left: Duration) -> Duration {
        if !self.parts.settings.estimates_call_age {
            return Duration::ZERO;
        }
        let ages = self.call_ages.lock();
        let mut ages = ages.unwrap_or_else(PoisonError::into_inner);
        ages.estimate(now, route, time_left)
    }

    /// Locks the router. A poisoned lock is safe to use: each method of the router leaves it in a
    /// valid state, so a panic in another holder of the lock cannot corrupt it.
    fn router(&self) -> MutexGuard<'_, Router> {
        let router = self.parts.router.lock();
        router.unwrap_or_else(PoisonError::into_inner)
    }
}
