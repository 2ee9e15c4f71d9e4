//! Takes calls from callers and brings them to a backend server.
//!
//! A request is checked against the plan before its body is read; then a
//! backend server is chosen and the call goes to its gate, over a link or, for
//! the backend server beside this node, directly. docs/CALLS.md lists every
//! refusal.
//!
//! ```no_run
//! # use std::sync::{Arc, Mutex};
//! # use monsooncove::{backend, call, clock::Clock, peer, routing::{Place, Router}};
//! # async fn sketch(executor: Arc<backend::Executor>, place: Place) -> std::io::Result<()> {
//! use monsooncove::entry::{self, Entry, Parts};
//! use tokio::net::TcpListener;
//! use tokio_util::sync::CancellationToken;
//!
//! let router = Router::new(monsooncove::routing::Settings::default(), place.clone(), 1);
//! let observer = Arc::new(call::Ignore);
//! let links = peer::Links::new(peer::Settings::default(), observer.clone());
//! let entry = Entry::new(Parts {
//!     place,
//!     service: "odber".to_owned(),
//!     snapshot_source: executor.snapshot source.clone(),
//!     router: Arc::new(Mutex::new(router)),
//!     executor,
//!     links: Arc::new(links),
//!     clock: Clock::start(),
//!     dialect: Arc::new(monsooncove::dialect::Native),
//!     observer,
//!     ids: Arc::new(call::Ids::new(1)),
//!     stopping: CancellationToken::new(),
//!     settings: entry::Settings::default(),
//! });
//! let shutdown = CancellationToken::new();
//! let listener = TcpListener::bind("127.0.0.1:0").await?;
//! let server = tokio::spawn(entry::serve(listener, entry, shutdown.clone()));
//!
//! // Closes the listener, finishes what runs, then returns.
//! shutdown.cancel();
//! server.await?;
//! # Ok(())
//! # }
//! ```
//!
//! `executor` and `Parts` share one clock; the node keeps `router` up to date
//! by [`Router::update`](crate::routing::Router::update) on every change.

mod attempt;
mod call_age;
mod claim;
mod forward;
mod hedge;
mod progress;
mod request;
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

use tokio_util::sync::CancellationToken;

use crate::backend::Executor;
use crate::call::{Ids, Observer, SnapshotSource};
use crate::clock::{Clock, Time};
use crate::dialect::Dialect;
use crate::peer::Links;
use crate::routing::{Place, Router};

use call_age::CallAgeEstimator;

pub use retry_after::RetryAdvice;
pub use server::serve;
pub use settings::Settings;

/// What an entry is made of.
pub struct Parts {
    /// Where the node runs.
    pub place: Place,
    /// Service that a request without a service name means.
    pub service: String,
    /// Plan in force and instances known.
    pub snapshot_source: Arc<dyn SnapshotSource>,
    /// Choice among backend servers.
    pub router: Arc<Mutex<Router>>,
    /// Gate and backend server beside this node.
    pub executor: Arc<Executor>,
    /// Links to other nodes.
    pub links: Arc<Links>,
    /// Clock of the node.
    pub clock: Clock,
    /// Headers of callers.
    pub dialect: Arc<dyn Dialect>,
    /// Metrics and traces.
    pub observer: Arc<dyn Observer>,
    /// Source of call and span ids.
    pub ids: Arc<Ids>,
    /// Whether the node is stopping, so that callers are asked to connect elsewhere.
    pub stopping: CancellationToken,
    /// Limits on callers.
    pub settings: Settings,
}

/// The entry of one node.
pub struct Entry {
    parts: Parts,
    call_ages: Mutex<CallAgeEstimator>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("place", &self.parts.place)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// An entry that is ready to [`serve`].
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            call_ages: Mutex::default(),
        })
    }

    /// How long the caller of a call has been waiting already.
    fn call_age(&self, now: Time, route: &str, time_left: Duration) -> Duration {
        if !self.parts.settings.estimates_call_age {
            return Duration::ZERO;
        }
        let ages = self.call_ages.lock();
        let mut ages = ages.unwrap_or_else(PoisonError::into_inner);
        ages.estimate(now, route, time_left)
    }

    /// Every step of the router leaves it valid, so a panic elsewhere does too.
    fn router(&self) -> MutexGuard<'_, Router> {
        let router = self.parts.router.lock();
        router.unwrap_or_else(PoisonError::into_inner)
    }
}
